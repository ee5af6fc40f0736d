//! Transports in memory: one that keeps to all, and such as have one defect each, which the suite has to find.

use std::collections::VecDeque;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use super::{End, LinkFault, Pair, Received, Subject, Traits};

/// What is wrong with a transport.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    /// Nothing.
    None,
    /// Each second message overtakes the one before.
    Swaps,
    /// The same, where times are uneven.
    SwapsWhenUneven,
    /// What is sent during a cut is gone.
    Loses,
    /// It takes the first piece for the whole.
    CutsShort,
    /// At an end it gives what there is of a message for the whole.
    GivesHalf,
    /// What the weather doubles comes twice.
    Doubles,
    /// It takes messages of any length.
    TakesAll,
    /// It holds only so much, and loses what is beyond.
    Overflows,
    /// It moves nobody off a far end that is silent.
    Waits,
    /// It says nothing of an end.
    Lingers,
    /// It makes a reset of an end, and an end of a reset.
    Confuses,
}

const LONGEST: usize = 100;
const SILENCE: Duration = Duration::from_millis(60);
/// What one that overflows holds.
const CAPACITY: usize = 250;

#[derive(Clone, Copy, PartialEq)]
enum Over {
    No,
    InOrder,
    Broken,
}

/// One direction of a pair.
struct ModelDirection {
    messages: VecDeque<String>,
    held: VecDeque<String>,
    part: String,
    over: Over,
    /// The oldest message that has not been answered.
    asked: Option<Instant>,
}

struct State {
    weather: LinkFault,
    ways: Vec<ModelDirection>,
}

type Shared = Arc<(Mutex<State>, Condvar)>;

/// The transport.
pub struct InMemory {
    defect: Defect,
    shared: Shared,
}

impl InMemory {
    /// One with this defect.
    pub fn new(defect: Defect) -> InMemory {
        let state = State {
            weather: LinkFault::Fair,
            ways: Vec::new(),
        };
        InMemory {
            defect,
            shared: Arc::new((Mutex::new(state), Condvar::new())),
        }
    }
}

fn lock(shared: &Shared) -> MutexGuard<'_, State> {
    // Plain values, sound at every moment.
    shared.0.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Subject for InMemory {
    fn traits(&self) -> Traits {
        Traits {
            ordered: true,
            reliable: true,
            once: true,
            ends: true,
            longest: LONGEST,
            silence: Some(SILENCE),
        }
    }

    /// Nothing here has to go anywhere.
    fn patience(&self) -> Duration {
        Duration::from_secs(1)
    }

    fn pair(&mut self) -> Pair {
        let first = {
            let mut state = lock(&self.shared);
            let way = || ModelDirection {
                messages: VecDeque::new(),
                held: VecDeque::new(),
                part: String::new(),
                over: Over::No,
                asked: None,
            };
            state.ways.extend([way(), way()]);
            state.ways.len() - 2
        };
        let end = |out, into, is_near| MemoryEnd {
            defect: self.defect,
            shared: Arc::clone(&self.shared),
            out,
            into,
            is_near,
            moved: false,
        };
        (
            Box::new(end(first, first + 1, true)),
            Box::new(end(first + 1, first, false)),
        )
    }

    fn weather(&mut self, weather: LinkFault) {
        let mut state = lock(&self.shared);
        state.weather = weather;
        if weather != LinkFault::Cut {
            for way in &mut state.ways {
                let held = std::mem::take(&mut way.held);
                way.messages.extend(held);
            }
        }
        self.shared.1.notify_all();
    }
}

struct MemoryEnd {
    defect: Defect,
    shared: Shared,
    out: usize,
    into: usize,
    is_near: bool,
    moved: bool,
}

impl MemoryEnd {
    fn ends(&self, over: Over) {
        let defect = self.defect;
        let over = match over {
            Over::InOrder if defect == Defect::Confuses => Over::Broken,
            Over::Broken if defect == Defect::Confuses => Over::InOrder,
            _ if defect == Defect::Lingers => Over::No,
            over => over,
        };
        lock(&self.shared).ways[self.out].over = over;
        self.shared.1.notify_all();
    }
}

impl End for MemoryEnd {
    fn send(&mut self, message: &str) -> Result<(), String> {
        let (defect, out) = (self.defect, self.out);
        if message.len() > LONGEST && defect != Defect::TakesAll {
            return Err("too long".into());
        }
        let mut state = lock(&self.shared);
        let weather = state.weather;
        state.ways[self.into].asked = None;
        let way = &mut state.ways[out];
        way.asked.get_or_insert_with(Instant::now);
        let message = match weather {
            LinkFault::Pieces(size) if defect == Defect::CutsShort => message[..size].to_owned(),
            _ => message.to_owned(),
        };
        if weather == LinkFault::Cut {
            if defect != Defect::Loses {
                way.held.push_back(message);
            }
            return Ok(());
        }
        if defect == Defect::Overflows && way.messages.len() >= CAPACITY {
            return Ok(());
        }
        if weather == LinkFault::Doubled && defect == Defect::Doubles {
            way.messages.push_back(message.clone());
        }
        way.messages.push_back(message);
        let count = way.messages.len();
        let swaps = defect == Defect::Swaps
            || defect == Defect::SwapsWhenUneven && weather == LinkFault::Uneven;
        if swaps && count.is_multiple_of(2) {
            way.messages.swap(count - 1, count - 2);
        }
        self.shared.1.notify_all();
        Ok(())
    }

    fn send_partial(&mut self, message: &str, bytes: usize) {
        lock(&self.shared).ways[self.out].part = message[..bytes].to_owned();
    }

    fn hear(&mut self, within: Duration) -> Received {
        let until = Instant::now() + within;
        let mut state = lock(&self.shared);
        loop {
            let asked = state.ways[self.out].asked;
            let way = &mut state.ways[self.into];
            if way.over == Over::Broken {
                return Received::Reset;
            }
            if let Some(message) = way.messages.pop_front() {
                return Received::Message(message);
            }
            let part = std::mem::take(&mut way.part);
            if way.over == Over::InOrder && self.defect == Defect::GivesHalf && !part.is_empty() {
                return Received::Message(part);
            }
            way.part = part;
            if way.over == Over::InOrder || self.moved {
                return Received::Ended;
            }
            let now = Instant::now();
            let gives_up = asked
                .filter(|_| self.is_near && self.defect != Defect::Waits)
                .map(|asked| asked + SILENCE);
            if gives_up.is_some_and(|at| at <= now) {
                self.moved = true;
                return Received::Moved;
            }
            if until <= now {
                return Received::Nothing;
            }
            let wait = gives_up.map_or(until, |at| at.min(until)) - now;
            state = self
                .shared
                .1
                .wait_timeout(state, wait)
                .unwrap_or_else(PoisonError::into_inner)
                .0;
        }
    }

    fn finish(&mut self) {
        self.ends(Over::InOrder);
    }

    fn reset(self: Box<Self>) {
        self.ends(Over::Broken);
    }
}
