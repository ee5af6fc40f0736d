//! Fronts: the wires that clients and application servers speak. A front frames and words; it decides nothing.

pub mod nats;
pub mod platform;

use std::ops::Range;
use std::time::Duration;

use crate::core::Opening;
use crate::core::lifecycle::State;
use crate::net;
use crate::pass::{Asking, PassError};
use crate::prober::Question;

/// A wire.
pub trait Front: Send + Sync + 'static {
    /// A client's opening that has been read and found sound.
    type Request: Send;
    /// What is kept of it, to speak for the client to application servers.
    type Greeting: Send + Sync;

    /// Whether [`Front::admit`] may wait for something, and so wants a thread of its own.
    const ADMIT_WAITS: bool = false;

    /// The name under which its log lines stand.
    fn name(&self) -> &'static str;

    /// The stack of a pass's or an admission's thread.
    fn stack(&self) -> usize {
        net::STACK
    }

    /// What a client is told before it says anything.
    fn greet(&self) -> Vec<u8> {
        Vec::new()
    }

    /// A client that has sent nothing by then is let go.
    fn opening_wait(&self) -> Duration;

    /// One that has begun its opening, and has not sent the whole of it by then.
    fn begun_opening_wait(&self) -> Duration {
        self.opening_wait()
    }

    /// Longest line of an opening, with its end.
    fn longest_opening(&self) -> usize;

    /// Most bytes that are kept of what a client sends beyond its opening before its connection stands.
    fn most_early(&self) -> usize;

    /// What a client's line means before its connection is opened. Waits for nothing.
    fn first(&self, line: &[u8], now: u64) -> First<Self::Request>;

    /// The words that tell what the program is at; nothing ready is taken for a yes.
    fn state(&self, _at: State, _ready: bool) -> &'static [u8] {
        b""
    }

    /// The opening of a standing connection, from which another process can take it over; nothing where none can.
    fn opening<'a>(&self, _of: &'a Self::Greeting) -> Option<&'a [u8]> {
        None
    }

    /// Why there is no opening, for a client that sent none in time or too long a line.
    fn no_opening(&self, why: NoOpening) -> Refusal;

    /// Admits a client; may ask a store.
    fn admit(&self, request: Self::Request) -> Result<(Opening, Self::Greeting), Refusal>;

    /// Speaks for a client to an application server until its connection stands. Gives the bytes for the client
    /// that go before what the server sends from now on.
    fn pass(
        &self,
        asking: &mut Asking<'_>,
        greeting: &Self::Greeting,
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

    /// The question for a server's load, if the wire has one.
    fn load_question(&self) -> Option<Question> {
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

/// What a line before the opening means.
pub enum First<R> {
    /// It is answered, and another one follows.
    Reply(&'static [u8]),
    /// It asks whether clients are taken, and another one follows.
    Asks,
    /// It opens a connection.
    Opening(R),
    /// It breaks the wire's rules.
    Refused(Refusal),
}

/// Why nothing could be made of what a client sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoOpening {
    /// It was not whole in time.
    Late,
    /// Its line is too long.
    TooLong,
    /// More came with it than a client may send before its connection stands.
    Piled,
}

/// A client that is turned away before the core hears of it.
#[derive(Debug)]
pub struct Refusal {
    /// What is written to it.
    pub answer: Vec<u8>,
    /// For the log.
    pub why: String,
}

impl Refusal {
    /// A refusal.
    pub fn new(answer: &[u8], why: impl Into<String>) -> Refusal {
        Refusal {
            answer: answer.to_vec(),
            why: why.into(),
        }
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
    fn follow(
        &mut self,
        bytes: &[u8],
        seen: &mut dyn FnMut(Seen) -> bool,
    ) -> Result<Followed, FrameFault>;

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
