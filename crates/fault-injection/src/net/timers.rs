//! Scheduled actions of the relay, sorted by time. Actions due at the same time run in the order they were scheduled.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

use crate::fault::Fault;

/// A scheduled action.
pub(super) enum TimerKind {
    /// Forward data of the connection with this number.
    Pump(usize),
    /// Deliver a datagram: sender, receiver and content.
    Deliver(String, String, Vec<u8>),
    /// Apply a fault of a script: link and fault.
    Play(String, Fault),
}

struct Timer {
    at: Instant,
    number: u64,
    kind: TimerKind,
}

impl PartialEq for Timer {
    fn eq(&self, other: &Timer) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Timer {}

impl PartialOrd for Timer {
    fn partial_cmp(&self, other: &Timer) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Timer {
    fn cmp(&self, other: &Timer) -> Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

/// All scheduled actions.
#[derive(Default)]
pub(super) struct Timers {
    waiting: BinaryHeap<Reverse<Timer>>,
    scheduled: u64,
}

impl Timers {
    /// Schedules an action.
    pub(super) fn schedule(&mut self, at: Instant, kind: TimerKind) {
        self.scheduled += 1;
        self.waiting.push(Reverse(Timer {
            at,
            number: self.scheduled,
            kind,
        }));
    }

    /// The time until the next action is due; `None` if none is scheduled.
    pub(super) fn time_to_next(&self) -> Option<Duration> {
        let Reverse(first) = self.waiting.peek()?;
        Some(first.at.saturating_duration_since(Instant::now()))
    }

    /// Removes and returns the first action that is due.
    pub(super) fn take_expired(&mut self) -> Option<TimerKind> {
        let Reverse(first) = self.waiting.peek()?;
        if first.at > Instant::now() {
            return None;
        }
        self.waiting.pop().map(|Reverse(timer)| timer.kind)
    }
}
