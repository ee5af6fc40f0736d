//! What the relay does later, in order of time; what is due at one moment comes in the order in which it was entered.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

use crate::fault::Fault;

/// Something that is due at a moment.
pub(super) enum TimerKind {
    /// A connection has something to forward.
    Pump(usize),
    /// A datagram arrives: from whom, to whom, and its bytes.
    Deliver(String, String, Vec<u8>),
    /// A line of a script: a link, and what is done to it.
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

/// All timers.
#[derive(Default)]
pub(super) struct Timers {
    waiting: BinaryHeap<Reverse<Timer>>,
    scheduled: u64,
}

impl Timers {
    /// Enters something that is due at a moment.
    pub(super) fn schedule(&mut self, at: Instant, kind: TimerKind) {
        self.scheduled += 1;
        self.waiting.push(Reverse(Timer {
            at,
            number: self.scheduled,
            kind,
        }));
    }

    /// How long nothing is due; nothing where none waits.
    pub(super) fn time_to_next(&self) -> Option<Duration> {
        let Reverse(first) = self.waiting.peek()?;
        Some(first.at.saturating_duration_since(Instant::now()))
    }

    /// Takes out the first one that is due by now.
    pub(super) fn take_expired(&mut self) -> Option<TimerKind> {
        let Reverse(first) = self.waiting.peek()?;
        if first.at > Instant::now() {
            return None;
        }
        self.waiting.pop().map(|Reverse(timer)| timer.kind)
    }
}
