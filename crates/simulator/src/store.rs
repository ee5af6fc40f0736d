//! The session store that all gateways share: so many calls at once, the others wait in turn.

use std::collections::VecDeque;

use crate::random::RandomSource;
use crate::{Nanos, nanos};

/// The store. A call is known by its number.
#[derive(Debug)]
pub struct Store {
    at_once: usize,
    mean_s: f64,
    busy: usize,
    waiting: VecDeque<u64>,
    stalled_until: Nanos,
}

impl Store {
    /// A store that works on so many calls at once, each for this long on average (exponential).
    pub fn new(at_once: usize, mean_s: f64) -> Store {
        Store {
            at_once: at_once.max(1),
            mean_s,
            busy: 0,
            waiting: VecDeque::new(),
            stalled_until: 0,
        }
    }

    /// Calls a second when it is never idle.
    pub fn max_calls_per_s(&self) -> f64 {
        self.at_once as f64 / self.mean_s
    }

    /// No call ends before that moment.
    pub fn stall(&mut self, until: Nanos) {
        self.stalled_until = self.stalled_until.max(until);
    }

    /// A call comes: when it ends, if it is worked on at once.
    pub fn call(&mut self, now: Nanos, call: u64, rng: &mut RandomSource) -> Option<Nanos> {
        if self.busy < self.at_once {
            self.busy += 1;
            return Some(self.call_end_at(now, rng));
        }
        self.waiting.push_back(call);
        None
    }

    /// A call has ended: the next one that is worked on, and when that ends.
    pub fn call_done(&mut self, now: Nanos, rng: &mut RandomSource) -> Option<(u64, Nanos)> {
        let Some(next) = self.waiting.pop_front() else {
            self.busy = self.busy.saturating_sub(1);
            return None;
        };
        Some((next, self.call_end_at(now, rng)))
    }

    fn call_end_at(&self, now: Nanos, rng: &mut RandomSource) -> Nanos {
        now.max(self.stalled_until)
            .saturating_add(nanos(rng.exponential(self.mean_s)))
    }
}
