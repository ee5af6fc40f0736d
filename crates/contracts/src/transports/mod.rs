//! What every transport of messages must keep to.
//!
//! A transport is brought here as a [`Subject`]: how two ends are joined, how the weather between them is made, and its
//! [`Properties`]: what it declares of itself where transports differ by design. A declared trait is tested too.

mod cases;
pub mod model;

use std::time::Duration;

pub use cases::cases;

/// Longer than anything here takes on a loaded machine.
pub const TIMEOUT: Duration = Duration::from_secs(10);
/// For what must not come. It costs a good run this long.
pub const ABSENCE_WAIT: Duration = Duration::from_millis(150);

/// What a transport declares of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Properties {
    /// Whether messages come in the order in which they were sent.
    pub is_ordered: bool,
    /// Whether what was sent comes, also after bad weather; if not, what was sent in fair weather does.
    pub is_reliable: bool,
    /// Whether a message comes once where the weather doubles it.
    pub deduplicates: bool,
    /// Whether an end has an end: in order or by a reset, which the other end hears as what it was.
    pub signals_close: bool,
    /// Longest message; a longer one is refused, and never comes.
    pub max_message_bytes: usize,
    /// A far end that leaves a message unanswered for so long is given up, and the near end is told to move. Nothing
    /// where silence is none of the transport's business.
    pub silence_timeout: Option<Duration>,
}

/// What lies between two ends. It holds for all of a subject's pairs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkFault {
    /// Nothing does.
    None,
    /// Nothing passes, and nobody is told.
    Partition,
    /// Messages come in pieces of so many bytes.
    Fragments(usize),
    /// All that can be doubled is.
    Duplicate,
    /// Each thing takes a time by chance.
    Jitter,
}

/// What an end hears.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Received {
    /// A whole message.
    Message(String),
    /// Nothing in the time given.
    Nothing,
    /// It is told to come again elsewhere.
    MoveRequested,
    /// The other end has ended in order.
    Closed,
    /// It was reset.
    Reset,
}

/// One end. Messages are plain words without spaces.
pub trait End: Send {
    /// Sends a message; an error where the transport won't take it.
    fn send(&mut self, message: &str) -> Result<(), String>;

    /// Sends so many bytes of what a message is on the wire, and no more. Only asked of transports with ends.
    fn send_partial(&mut self, message: &str, bytes: usize);

    /// The next thing that is received in a time.
    fn receive(&mut self, within: Duration) -> Received;

    /// From now on it answers nothing by itself, as far as its wire has such answers.
    fn stop_answering(&mut self) {}

    /// Ends its sending in order.
    fn finish(&mut self);

    /// Breaks it off.
    fn reset(self: Box<Self>);
}

/// The near and the far end: near is who asks.
pub type Pair = (Box<dyn End>, Box<dyn End>);

/// A transport under test.
pub trait Subject {
    /// What it declares.
    fn properties(&self) -> Properties;

    /// What has not come by then never comes.
    fn delivery_timeout(&self) -> Duration {
        TIMEOUT
    }

    /// Two ends, joined.
    fn pair(&mut self) -> Pair;

    /// Makes the weather.
    fn set_fault(&mut self, fault: LinkFault);
}

/// What was found wrong.
pub type CaseResult = Result<(), String>;

/// One case of the suite.
pub struct Case {
    /// Its name.
    pub name: &'static str,
    /// Puts a transport through it.
    pub run: fn(&mut dyn Subject) -> CaseResult,
}

/// Puts a transport through every case, each time a new one; tells all that it fails.
pub fn assert_conforms<S: Subject>(make: impl Fn() -> S) {
    let run_case = |case: Case| {
        (case.run)(&mut make())
            .err()
            .map(|reason| format!("{}: {reason}", case.name))
    };
    let failed: Vec<String> = cases().into_iter().filter_map(run_case).collect();
    assert!(failed.is_empty(), "{failed:#?}");
}
