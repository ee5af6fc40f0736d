//! Whether this program takes clients: one state, that of its core. No I/O.
//!
//! What is told of it from outside, `PING` on the clients' side and `GET /status` on the operators', reads the same
//! state, which the core shows in an atomic: nobody who asks waits for the core.

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU64, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// A core that has not turned for so long is not at work. It turns at least once a second.
const SILENCE: Duration = Duration::from_secs(3);

/// What a program is at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum State {
    /// It does not listen yet, knows no application server, or is still gathering what was known before.
    Starting,
    /// It takes clients.
    Serving,
    /// It was told to stand by: its clients are moved, it takes none, and it stays.
    Standby,
    /// It was told to leave: its clients are moved, and it ends.
    Leaving,
}

impl State {
    const ALL: [State; 4] = [
        State::Starting,
        State::Serving,
        State::Standby,
        State::Leaving,
    ];

    /// Its name for people.
    pub fn name(self) -> &'static str {
        match self {
            State::Starting => "starting",
            State::Serving => "serving",
            State::Standby => "standby",
            State::Leaving => "leaving",
        }
    }
}

/// What changes the state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Word {
    /// The listener is served, or no longer.
    Listens(bool),
    /// A list of application servers has been taken in.
    Knows,
    /// What was known before the start is being gathered, or no longer.
    Recovers(bool),
    /// An operator wants it to stand by.
    Standby,
    /// An operator wants it to take clients.
    Active,
    /// It is to leave.
    Leave,
}

/// A word that can't be followed in the present state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused(pub State);

impl fmt::Display for Refused {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the program is {}", self.0.name())
    }
}

/// The state and what it follows from.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lifecycle {
    listens: bool,
    knows: bool,
    recovers: bool,
    stands_by: bool,
    leaves: bool,
}

impl Lifecycle {
    /// The present state.
    pub fn state(&self) -> State {
        match self {
            Lifecycle { leaves: true, .. } => State::Leaving,
            Lifecycle {
                stands_by: true, ..
            } => State::Standby,
            Lifecycle {
                listens: true,
                knows: true,
                recovers: false,
                ..
            } => State::Serving,
            _ => State::Starting,
        }
    }

    /// Follows a word; one that says what holds already does no harm. What leaves takes no more orders.
    pub fn take(&mut self, word: Word) -> Result<State, Refused> {
        match word {
            Word::Listens(listens) => self.listens = listens,
            Word::Knows => self.knows = true,
            Word::Recovers(recovers) => self.recovers = recovers,
            Word::Leave => self.leaves = true,
            Word::Standby | Word::Active if self.leaves => return Err(Refused(State::Leaving)),
            Word::Standby => self.stands_by = true,
            Word::Active => self.stands_by = false,
        }
        Ok(self.state())
    }
}

/// The state as it is shown to other threads.
#[derive(Clone, Debug)]
pub struct Shown(Arc<Face>);

#[derive(Debug)]
struct Face {
    state: AtomicU8,
    /// When the core last turned, in milliseconds since the origin.
    turned_at: AtomicU64,
    origin: Instant,
    /// Clients whose openings have not been heard out, as the listener's thread tells.
    openings: AtomicUsize,
    /// Nobody is heard out any more: the program is about to be gone.
    hears_nobody: AtomicBool,
}

impl Default for Shown {
    fn default() -> Shown {
        Shown::since(Instant::now())
    }
}

impl Shown {
    fn since(origin: Instant) -> Shown {
        let (state, turned_at) = (AtomicU8::new(State::Starting as u8), AtomicU64::new(0));
        let (openings, hears_nobody) = (AtomicUsize::new(0), AtomicBool::new(false));
        Shown(Arc::new(Face {
            state,
            turned_at,
            origin,
            openings,
            hears_nobody,
        }))
    }

    /// So many clients have not been heard out.
    pub fn has_openings(&self, count: usize) {
        self.0.openings.store(count, Ordering::SeqCst);
    }

    /// Clients that have not been heard out are let go from now on.
    pub fn hears_nobody(&self) {
        self.0.hears_nobody.store(true, Ordering::SeqCst);
    }

    /// Whether clients are still heard out.
    pub fn hears_openings(&self) -> bool {
        !self.0.hears_nobody.load(Ordering::SeqCst)
    }

    /// How many clients have not been heard out.
    pub fn openings(&self) -> usize {
        self.0.openings.load(Ordering::SeqCst)
    }

    /// Shows a state.
    pub fn show(&self, state: State) {
        self.0.state.store(state as u8, Ordering::SeqCst);
    }

    /// The core has turned.
    pub fn turned(&self) {
        let since = u64::try_from(self.0.origin.elapsed().as_millis()).unwrap_or(u64::MAX);
        self.0.turned_at.store(since, Ordering::Relaxed);
    }

    /// The present state.
    pub fn state(&self) -> State {
        let at = usize::from(self.0.state.load(Ordering::SeqCst));
        State::ALL.get(at).copied().unwrap_or(State::Starting)
    }

    /// Whether the core is at work.
    pub fn works(&self) -> bool {
        let turned = Duration::from_millis(self.0.turned_at.load(Ordering::Relaxed));
        self.0.origin.elapsed().saturating_sub(turned) < SILENCE
    }

    /// Whether clients are taken.
    pub fn is_ready(&self) -> bool {
        self.state() == State::Serving && self.works()
    }
}

#[cfg(test)]
mod tests;
