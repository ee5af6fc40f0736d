//! Fronts: the protocols of clients and servers. A front parses and encodes messages; decisions are
//! made by the core.

pub mod nats;
pub mod platform;

use std::ops::Range;
use std::time::Duration;

use crate::attempt::{AttemptError, ServerExchange};
use crate::core::ClientRequest;
use crate::core::lifecycle::LifecycleState;
use crate::net;
use crate::prober::LoadProbe;

/// A protocol, as used by the acceptor, the attempts and the relay.
pub trait Front: Send + Sync + 'static {
    /// A client's parsed request for a connection.
    type Request: Send;
    /// The part of the request that the handshake with a server needs.
    type ServerHandshake: Send + Sync;

    /// Whether [`Front::admit`] may block and needs a thread of its own.
    const ADMIT_BLOCKS: bool = false;

    /// Name of the front in the log.
    fn name(&self) -> &'static str;

    /// Stack size of an attempt's or an admission's thread.
    fn thread_stack_bytes(&self) -> usize {
        net::THREAD_STACK_BYTES
    }

    /// Bytes that a client is sent on connect.
    fn banner(&self) -> Vec<u8> {
        Vec::new()
    }

    /// Time after which a client that has sent nothing is closed.
    fn handshake_timeout(&self) -> Duration;

    /// Time after which a client that has begun its handshake is closed if it is not complete.
    fn partial_handshake_timeout(&self) -> Duration {
        self.handshake_timeout()
    }

    /// Longest handshake line, with its end.
    fn max_handshake_line(&self) -> usize;

    /// Most bytes kept of what a client sends beyond its handshake before it is connected.
    fn max_early_bytes(&self) -> usize;

    /// Parses a line of a client's handshake. Does not block.
    fn parse_handshake(&self, line: &[u8], now: u64) -> HandshakeLine<Self::Request>;

    /// Parses the line of an established connection that another process hands over.
    fn parse_transferred(&self, line: &[u8], now: u64) -> HandshakeLine<Self::Request> {
        self.parse_handshake(line, now)
    }

    /// The answer to a readiness query.
    fn readiness_answer(&self, _state: LifecycleState, _is_ready: bool) -> &'static [u8] {
        b""
    }

    /// The line from which another process can take over an established connection, if it can.
    fn handover_line<'a>(&self, _handshake: &'a Self::ServerHandshake) -> Option<&'a [u8]> {
        None
    }

    /// The rejection of an incomplete or oversized handshake.
    fn handshake_error(&self, error: HandshakeError) -> Rejection;

    /// Admits a client without blocking, or returns the request if that needs [`Front::admit`].
    fn admit_at_once(
        &self,
        request: Self::Request,
    ) -> Result<Admission<Self::ServerHandshake>, Self::Request> {
        if Self::ADMIT_BLOCKS {
            Err(request)
        } else {
            Ok(self.admit(request))
        }
    }

    /// The account that a request claims. Admissions that block serve the accounts in turn.
    fn account<'a>(&self, _request: &'a Self::Request) -> &'a str {
        ""
    }

    /// Admits a client; may call a store.
    ///
    /// # Errors
    ///
    /// Returns the rejection to send.
    fn admit(&self, request: Self::Request) -> Admission<Self::ServerHandshake>;

    /// Exchanges the handshake with a server. Returns the bytes for the client that precede the
    /// server's own.
    ///
    /// # Errors
    ///
    /// Returns how far the attempt got.
    fn request_connection(
        &self,
        exchange: &mut ServerExchange<'_>,
        server_handshake: &Self::ServerHandshake,
    ) -> Result<Vec<u8>, AttemptError>;

    /// Encodes a final answer or a migration.
    fn encode(&self, message: ClientMessage) -> Vec<u8>;

    /// A framer for what clients send on an established connection.
    fn client_framer(&self) -> Box<dyn Framer>;

    /// A framer for what servers send on an established connection.
    fn server_framer(&self) -> Box<dyn Framer>;

    /// The probe for a server's load, if the protocol has one.
    fn load_probe(&self) -> Option<LoadProbe> {
        None
    }

    /// How long servers may leave clients without an answer, at present.
    fn response_limits(&self) -> ResponseLimits;
}

/// The request for the core and the handshake for the server, or the rejection of a client.
pub type Admission<H> = Result<(ClientRequest, H), Rejection>;

/// A message to a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientMessage {
    /// Rejected, with a retry-after where clients honour one.
    Rejected(Option<Duration>),
    /// The attempts failed, and the request may have been executed.
    Failed,
    /// The client is to reconnect; the connection closes normally.
    Migrate,
}

/// A parsed line of a handshake.
pub enum HandshakeLine<R> {
    /// A line with an immediate reply; another line follows.
    Reply(&'static [u8]),
    /// A readiness query; another line follows.
    ReadinessQuery,
    /// A request for a connection.
    Connect(R),
    /// A protocol violation.
    Rejected(Rejection),
}

/// Why a handshake is not complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HandshakeError {
    /// The handshake was not complete in time.
    TimedOut,
    /// The line is too long.
    TooLong,
    /// More bytes came with it than a client may send before it is connected.
    ExtraBytes,
}

/// A rejection before the core learns of the client.
#[derive(Debug)]
pub struct Rejection {
    /// The bytes that the client is sent.
    pub answer: Vec<u8>,
    /// The reason, for the log.
    pub reason: String,
}

impl Rejection {
    /// Creates a rejection.
    pub fn new(answer: &[u8], reason: impl Into<String>) -> Rejection {
        Rejection {
            answer: answer.to_vec(),
            reason: reason.into(),
        }
    }
}

/// The kind of a message, as classified by a framer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum MessageKind {
    /// A message that a healthy server answers at once.
    Request,
    /// An answer to everything that was sent before it.
    AnswerToAll,
    /// An answer to the oldest unanswered message.
    AnswerToOldest,
    /// The connection's load, in microseconds of work per second.
    Load(f64),
    /// The server has finished serving the connection.
    Goodbye,
    /// The server redirects its client.
    Redirect,
    /// The server announces its shutdown.
    ShutdownNotice,
    /// A message for the balancer alone.
    BalancerOnly,
}

/// How far a framer has advanced.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct FrameProgress {
    /// Bytes that may be relayed. The rest begins an incomplete message and is presented again with
    /// what follows.
    pub consumed: usize,
    /// The last boundary between messages, if there is one.
    pub boundary: Option<usize>,
    /// Complete messages that are not relayed.
    pub dropped: Vec<Range<usize>>,
}

/// Frames one direction of an established connection.
pub trait Framer: Send {
    /// Advances over bytes; `on_message` returns whether a message is relayed.
    ///
    /// # Errors
    ///
    /// Fails on a protocol violation.
    fn advance(
        &mut self,
        bytes: &[u8],
        on_message: &mut dyn FnMut(MessageKind) -> bool,
    ) -> Result<FrameProgress, ProtocolError>;

    /// Whether the bytes read up to now end between two messages.
    fn is_at_boundary(&self) -> bool;
}

/// A connection that returns nothing from a running server is moved or ended within this time.
pub const MAX_SILENCE: Duration = Duration::from_secs(7);

/// How long servers may leave clients without an answer.
#[derive(Clone, Copy, Debug)]
pub struct ResponseLimits {
    /// A server that leaves a message unanswered for this long is unresponsive.
    pub response_timeout: Duration,
    /// The keepalive for established connections, if the protocol has one.
    pub keepalive: Option<Keepalive>,
}

/// A protocol's keepalive.
#[derive(Clone, Copy, Debug)]
pub struct Keepalive {
    /// The message, written between two others.
    pub request: &'static [u8],
    /// Sent if the server has not been asked for this long.
    pub idle_interval: Duration,
}

/// A protocol violation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProtocolError {
    /// The error message for the peer; empty if the protocol has none.
    pub answer: &'static str,
}
