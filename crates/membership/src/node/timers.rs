//! Timers of the SWIM library, and the byte budget of payloads.

use std::collections::BTreeMap;
use std::sync::Arc;

use foca::Timer;

use crate::{Member, Millis};

#[derive(Debug, Default)]
pub(super) struct Timers {
    queue: BTreeMap<(Millis, u64), Timer<Member>>,
    last_sequence: u64,
    /// Timers that remove down members, one for each name. The general queue would grow with each
    /// return of a member that comes and goes.
    forget_timers: BTreeMap<Arc<str>, (Millis, Timer<Member>)>,
}

impl Timers {
    pub fn add(&mut self, due_at: Millis, timer: Timer<Member>) {
        if let Timer::RemoveDown(member) = &timer {
            self.forget_timers
                .insert(member.name.clone(), (due_at, timer));
            return;
        }
        self.last_sequence += 1;
        self.queue.insert((due_at, self.last_sequence), timer);
    }

    pub fn next_due_at(&self) -> Option<Millis> {
        self.queue.first_key_value().map(|((due_at, _), _)| *due_at)
    }

    pub fn pop(&mut self, now: Millis) -> Option<Timer<Member>> {
        let first = self
            .queue
            .first_entry()
            .filter(|first| first.key().0 <= now)?;
        Some(first.remove())
    }

    /// Delays all queued timers.
    pub fn postpone(&mut self, by: Millis) {
        let queue = std::mem::take(&mut self.queue);
        self.queue = queue
            .into_iter()
            .map(|((due_at, sequence), timer)| ((due_at + by, sequence), timer))
            .collect();
    }

    pub fn take_forget_timers(&mut self, now: Millis) -> Vec<Timer<Member>> {
        self.forget_timers
            .extract_if(.., |_, (due_at, _)| *due_at <= now)
            .map(|(_, (_, timer))| timer)
            .collect()
    }
}

/// Token bucket of payload bytes. It refills at a constant rate, and holds the bytes of one second
/// at most.
#[derive(Debug)]
pub(super) struct Budget {
    bytes_per_s: u64,
    available: u64,
    refilled_at: Millis,
}

impl Budget {
    pub fn new(bytes_per_s: u64) -> Self {
        Self {
            bytes_per_s,
            available: bytes_per_s,
            refilled_at: 0,
        }
    }

    /// Whether a datagram of this size may be sent now.
    pub fn allows(&mut self, bytes: usize, now: Millis) -> bool {
        let earned = self
            .bytes_per_s
            .saturating_mul(now.saturating_sub(self.refilled_at))
            / 1_000;
        // The refill time advances only with whole bytes; otherwise frequent calls would lose time
        // to rounding.
        if earned > 0 {
            self.available = self.available.saturating_add(earned).min(self.bytes_per_s);
            self.refilled_at = now;
        }
        self.available >= bytes as u64
    }

    pub fn spend(&mut self, bytes: u64) {
        self.available = self.available.saturating_sub(bytes);
    }
}
