//! What every transport of messages must keep to.
//!
//! A transport is brought here as a [`Subject`]: how two ends are joined, how the weather between them is made, and its
//! [`Traits`]: what it declares of itself where transports differ by design. A declared trait is tested too.

mod cases;
pub mod model;

use std::time::Duration;

pub use cases::cases;

/// Longer than anything here takes on a loaded machine.
pub const TIMEOUT: Duration = Duration::from_secs(10);
/// For what must not come. It costs a good run this long.
pub const NEVER: Duration = Duration::from_millis(150);

/// What a transport declares of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Traits {
    /// Whether messages come in the order in which they were sent.
    pub ordered: bool,
    /// Whether what was sent comes, also after bad weather; if not, what was sent in fair weather does.
    pub reliable: bool,
    /// Whether a message comes once where the weather doubles it.
    pub once: bool,
    /// Whether an end has an end: in order or by a reset, which the other end hears as what it was.
    pub ends: bool,
    /// Longest message; a longer one is refused, and never comes.
    pub longest: usize,
    /// A far end that leaves a message unanswered for so long is given up, and the near end is told to move. Nothing
    /// where silence is none of the transport's business.
    pub silence: Option<Duration>,
}

/// What lies between two ends. It holds for all of a subject's pairs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkFault {
    /// Nothing does.
    Fair,
    /// Nothing passes, and nobody is told.
    Cut,
    /// Messages come in pieces of so many bytes.
    Pieces(usize),
    /// All that can be doubled is.
    Doubled,
    /// Each thing takes a time by chance.
    Uneven,
}

/// What an end hears.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Received {
    /// A whole message.
    Message(String),
    /// Nothing in the time given.
    Nothing,
    /// It is told to come again elsewhere.
    Moved,
    /// The other end has ended in order.
    Ended,
    /// It was reset.
    Reset,
}

/// One end. Messages are plain words without spaces.
pub trait End: Send {
    /// Sends a message; an error where the transport won't take it.
    fn send(&mut self, message: &str) -> Result<(), String>;

    /// Sends so many bytes of what a message is on the wire, and no more. Only asked of transports with ends.
    fn send_partial(&mut self, message: &str, bytes: usize);

    /// The next thing that is heard in a time.
    fn hear(&mut self, within: Duration) -> Received;

    /// From now on it answers nothing by itself, as far as its wire has such answers.
    fn falls_silent(&mut self) {}

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
    fn traits(&self) -> Traits;

    /// What has not come by then never comes.
    fn patience(&self) -> Duration {
        TIMEOUT
    }

    /// Two ends, joined.
    fn pair(&mut self) -> Pair;

    /// Makes the weather.
    fn weather(&mut self, weather: LinkFault);
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
    let fails = |case: Case| {
        (case.run)(&mut make())
            .err()
            .map(|why| format!("{}: {why}", case.name))
    };
    let failed: Vec<String> = cases().into_iter().filter_map(fails).collect();
    assert!(failed.is_empty(), "{failed:#?}");
}
