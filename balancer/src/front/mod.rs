//! Fronts: the wires that clients and application servers speak. A front frames and words; it decides nothing.

pub mod nats;
pub mod platform;

use std::net::TcpStream;
use std::ops::Range;
use std::time::{Duration, Instant};

use crate::core::Opening;
use crate::net::{self, Intake, ReadError};
use crate::stages::send::PassError;

/// A wire.
pub trait Front: Send + Sync + 'static {
    /// What is kept of a client's opening, to speak for it to application servers.
    type Greeting: Send + Sync;

    /// The name under which its log lines stand.
    fn name(&self) -> &'static str;

    /// The stack of a transaction's thread.
    fn stack(&self) -> usize {
        net::STACK
    }

    /// Most bytes that are kept of what a client sends before its connection stands.
    fn most_early(&self) -> usize;

    /// Reads a client's opening, answering what comes before it.
    fn take_in(
        &self,
        client: &TcpStream,
        intake: &mut Intake,
        now: u64,
    ) -> Result<(Opening, Self::Greeting), OpeningError>;

    /// Speaks for a client to an application server until its connection stands. `recheck` is asked just before
    /// the first byte. Gives the bytes for the client that go before what the server sends from now on, and
    /// leaves in `intake` what was read ahead.
    fn pass(
        &self,
        server: &TcpStream,
        greeting: &Self::Greeting,
        until: Instant,
        recheck: &dyn Fn() -> bool,
        intake: &mut Intake,
    ) -> Result<Vec<u8>, PassError>;

    /// The words of a final answer, or of a move.
    fn say(&self, word: Word) -> Vec<u8>;

    /// Follows what clients send on a standing connection.
    fn client_framer(&self) -> Box<dyn Framer>;

    /// Follows what application servers send on a standing connection.
    fn server_framer(&self) -> Box<dyn Framer>;

    /// The balancer's own question to a standing server, if the wire has one.
    fn probe(&self) -> Option<Probe> {
        None
    }

    /// A client's message unanswered for so long means a silent application server.
    fn silence(&self) -> Duration;
}

/// What a client is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Word {
    /// Unavailable, and when to come back if that is told.
    Unavailable(Option<Duration>),
    /// Failed.
    Failed,
    /// Come again: the connection ends in order.
    Move,
}

/// Why there is no opening.
#[derive(Debug)]
pub enum OpeningError {
    /// The peer ended, broke off or fell silent before it asked for anything.
    Gone(ReadError),
    /// It spoke, and is given this answer.
    Refused {
        /// What is written to it.
        answer: Vec<u8>,
        /// For the log.
        why: String,
    },
}

impl From<ReadError> for OpeningError {
    fn from(error: ReadError) -> OpeningError {
        OpeningError::Gone(error)
    }
}

/// What a framer sees go by.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Seen {
    /// A message that a sound server answers at once.
    Asked,
    /// Such an answer; all that was asked before it is answered.
    Answered,
    /// Such an answer to the oldest question alone.
    AnsweredOldest,
    /// The connection's load, in microseconds of work a second.
    Load(f64),
    /// The server has served the connection to its end.
    Goodbye,
    /// The server sends its client away.
    SentAway,
    /// The server says that it is about to leave.
    Leaving,
    /// News that is the server's and the balancer's alone.
    Private,
}

/// How far a framer followed some bytes.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Followed {
    /// Bytes that may go on; the rest begins a message whose meaning shows only when it is whole, and is to be
    /// handed over again with what comes next.
    pub consumed: usize,
    /// Where the last boundary between messages lies, if one lies in them.
    pub boundary: Option<usize>,
    /// Whole messages among them that do not go on.
    pub dropped: Vec<Range<usize>>,
}

/// Follows one direction of a standing connection.
pub trait Framer: Send {
    /// Follows bytes and asks of each message seen whether it goes on.
    fn follow(&mut self, bytes: &[u8], seen: &mut dyn FnMut(Seen) -> bool) -> Result<Followed, FrameFault>;

    /// Whether the bytes so far end between two messages.
    fn is_between(&self) -> bool;
}

/// A question of the balancer's own to a server, where a wire has one.
#[derive(Clone, Copy, Debug)]
pub struct Probe {
    /// What is written, between two messages.
    pub words: &'static [u8],
    /// It is asked when nothing has been asked for so long.
    pub after: Duration,
}

/// Bytes that break the wire's rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FrameFault {
    /// What the peer that sent them is told, if it is told anything.
    pub answer: &'static str,
}
