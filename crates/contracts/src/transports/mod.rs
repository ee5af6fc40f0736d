//! Conformance suite for message transports.
//!
//! A transport under test implements [`Subject`]: how two ends are connected, how faults of the link between them are
//! injected, and its [`Properties`], which declare where transports differ by design. Declared properties are tested
//! too.

mod cases;
pub mod model;

use std::time::Duration;

pub use cases::cases;

/// Longer than any step of a case takes on a loaded machine.
pub const TIMEOUT: Duration = Duration::from_secs(10);
/// How long a case waits to see that nothing arrives. A passing run spends all of this time.
pub const ABSENCE_WAIT: Duration = Duration::from_millis(150);

/// Properties that a transport declares and the suite verifies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Properties {
    /// Whether messages arrive in the order in which they were sent.
    pub is_ordered: bool,
    /// Whether messages sent during a link fault arrive after it; otherwise only those sent without a fault do.
    pub is_reliable: bool,
    /// Whether a message arrives once when the link duplicates it.
    pub deduplicates: bool,
    /// Whether the other end is notified of an orderly close and of a reset, and can tell them apart.
    pub signals_close: bool,
    /// Maximum message length in bytes; a longer message is refused and never delivered.
    pub max_message_bytes: usize,
    /// Time after which a far end that leaves a message unanswered is given up and the near end is told to move. `None`
    /// if the transport does not detect silence.
    pub silence_timeout: Option<Duration>,
}

/// The fault of the links between two ends. It applies to all pairs of a subject.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkFault {
    /// No fault.
    None,
    /// Nothing passes, and neither end is notified.
    Partition,
    /// Messages arrive in fragments of this many bytes.
    Fragments(usize),
    /// Everything that can be duplicated is.
    Duplicate,
    /// Each transmission has a random delay.
    Jitter,
}

/// What an end receives.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Received {
    /// A complete message.
    Message(String),
    /// Nothing arrived in the given time.
    Nothing,
    /// The end is told to reconnect to another server.
    MoveRequested,
    /// The other end closed the connection in an orderly way.
    Closed,
    /// The connection was reset.
    Reset,
}

/// One end of a connection. Messages are single words without spaces.
pub trait End: Send {
    /// Sends a message; returns an error if the transport refuses it.
    fn send(&mut self, message: &str) -> Result<(), String>;

    /// Sends only the first bytes of an encoded message: `bytes` bytes of its payload. Called only on transports that
    /// signal a close.
    fn send_partial(&mut self, message: &str, bytes: usize);

    /// Waits up to `within` for the next message or notification.
    fn receive(&mut self, within: Duration) -> Received;

    /// Stops automatic replies, such as to keepalives, if the protocol has them.
    fn stop_answering(&mut self) {}

    /// Closes the sending direction in an orderly way.
    fn finish(&mut self);

    /// Resets the connection.
    fn reset(self: Box<Self>);
}

/// The near end, which initiates the connection, and the far end.
pub type Pair = (Box<dyn End>, Box<dyn End>);

/// A transport under test.
pub trait Subject {
    /// Properties that the transport declares.
    fn properties(&self) -> Properties;

    /// Time after which a message that has not arrived counts as lost.
    fn delivery_timeout(&self) -> Duration {
        TIMEOUT
    }

    /// Creates two connected ends.
    fn pair(&mut self) -> Pair;

    /// Sets the fault of all links, those of existing pairs included.
    fn set_fault(&mut self, fault: LinkFault);
}

/// Result of a case; the error describes how the transport violates the contract.
pub type CaseResult = Result<(), String>;

/// One case of the suite.
pub struct Case {
    /// Name of the case in failure reports.
    pub name: &'static str,
    /// Runs the case against a transport and reports the first violation.
    pub run: fn(&mut dyn Subject) -> CaseResult,
}

/// Runs every case against a new transport.
///
/// # Panics
///
/// If any case fails; the message lists all failed cases.
pub fn assert_conforms<S: Subject>(make: impl Fn() -> S) {
    let run_case = |case: Case| {
        (case.run)(&mut make())
            .err()
            .map(|reason| format!("{}: {reason}", case.name))
    };
    let failed: Vec<String> = cases().into_iter().filter_map(run_case).collect();
    assert!(
        failed.is_empty(),
        "the transport violates its contract: {failed:#?}"
    );
}
