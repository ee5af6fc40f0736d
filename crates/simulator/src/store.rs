//! The session store shared by all gateways: a limited number of concurrent calls, the others queue in FIFO order.

use std::collections::VecDeque;

use crate::random::RandomSource;
use crate::{Nanos, nanos};

/// Model of the session store. Calls are identified by number.
#[derive(Debug)]
pub struct Store {
    at_once: usize,
    mean_s: f64,
    busy: usize,
    waiting: VecDeque<u64>,
    stalled_until: Nanos,
}

impl Store {
    /// A store that runs up to `at_once` calls concurrently; call times are exponential with mean `mean_s`.
    pub fn new(at_once: usize, mean_s: f64) -> Store {
        Store {
            at_once: at_once.max(1),
            mean_s,
            busy: 0,
            waiting: VecDeque::new(),
            stalled_until: 0,
        }
    }

    /// Throughput in calls per second when the store is saturated.
    pub fn max_calls_per_s(&self) -> f64 {
        self.at_once as f64 / self.mean_s
    }

    /// Stalls the store: calls that start from now on end no earlier than `until`.
    pub fn stall(&mut self, until: Nanos) {
        self.stalled_until = self.stalled_until.max(until);
    }

    /// Submits a call. Returns when it ends if it starts at once, or `None` if it is queued.
    pub fn call(&mut self, now: Nanos, call: u64, rng: &mut RandomSource) -> Option<Nanos> {
        if self.busy < self.at_once {
            self.busy += 1;
            return Some(self.call_end_at(now, rng));
        }
        self.waiting.push_back(call);
        None
    }

    /// Completes a call. Returns the queued call that starts next and when that one ends.
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
