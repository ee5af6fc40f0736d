//! The library's timers and the bound on bytes.

use std::collections::BTreeMap;
use std::sync::Arc;

use foca::Timer;

use crate::{Member, Millis};

#[derive(Debug, Default)]
pub(super) struct Timers {
    queue: BTreeMap<(Millis, u64), Timer<Member>>,
    queued: u64,
    /// When which name is forgotten. One for each name: guards against a queue that grows with each return of a
    /// member that comes and goes.
    forget: BTreeMap<Arc<str>, (Millis, Timer<Member>)>,
}

impl Timers {
    pub fn add(&mut self, due: Millis, timer: Timer<Member>) {
        if let Timer::RemoveDown(member) = &timer {
            self.forget.insert(member.name.clone(), (due, timer));
            return;
        }
        self.queued += 1;
        self.queue.insert((due, self.queued), timer);
    }

    pub fn next(&self) -> Option<Millis> {
        self.queue.first_key_value().map(|((due, _), _)| *due)
    }

    pub fn pop(&mut self, now: Millis) -> Option<Timer<Member>> {
        let first = self
            .queue
            .first_entry()
            .filter(|first| first.key().0 <= now)?;
        Some(first.remove())
    }

    /// All are due that much later.
    pub fn put_off(&mut self, by: Millis) {
        let queue = std::mem::take(&mut self.queue);
        self.queue = queue
            .into_iter()
            .map(|((due, n), timer)| ((due + by, n), timer))
            .collect();
    }

    pub fn take_forget_timers(&mut self, now: Millis) -> Vec<Timer<Member>> {
        self.forget
            .extract_if(.., |_, (due, _)| *due <= now)
            .map(|(_, (_, timer))| timer)
            .collect()
    }
}

/// How many bytes bodies may still fill: so many a second, and what was left over of one second.
#[derive(Debug)]
pub(super) struct Budget {
    per_s: u64,
    left: u64,
    at: Millis,
}

impl Budget {
    pub fn new(per_s: u64) -> Self {
        Self {
            per_s,
            left: per_s,
            at: 0,
        }
    }

    /// Whether a datagram of this size may go out now.
    pub fn has(&mut self, bytes: usize, now: Millis) -> bool {
        let earned = self.per_s.saturating_mul(now.saturating_sub(self.at)) / 1_000;
        // Guards against time that is lost to rounding when asked often.
        if earned > 0 {
            self.left = self.left.saturating_add(earned).min(self.per_s);
            self.at = now;
        }
        self.left >= bytes as u64
    }

    pub fn spend(&mut self, bytes: u64) {
        self.left = self.left.saturating_sub(bytes);
    }
}
