//! Limits the rate at which clients are migrated off servers that a new version of the configuration
//! no longer permits them on. The limit applies to all processes together.

use std::collections::VecDeque;

use crate::{Group, Key, Millis, mix64};

/// Time for which an unused quota accrues at most.
const MAX_ACCRUAL_MS: Millis = 1_000;

/// The clients that wait to be migrated, and this process's quota of the fleet's limit. The
/// fraction of a quota below one is applied as a probability. Guards against hundreds of processes
/// that each round up.
#[derive(Clone, Debug)]
pub struct Rebalancer {
    per_s: f64,
    processes: u32,
    last_drawn_at: Option<Millis>,
    pending: VecDeque<Key>,
    random_state: u64,
}

impl Rebalancer {
    /// Creates a limiter of `per_s` migrations per second over all processes; `seed` must differ between
    /// processes.
    pub fn new(per_s: f64, processes: u32, seed: u64) -> Rebalancer {
        let per_s = if per_s.is_finite() {
            per_s.max(0.0)
        } else {
            0.0
        };
        Rebalancer {
            per_s,
            processes: processes.max(1),
            last_drawn_at: None,
            pending: VecDeque::new(),
            random_state: mix64(seed),
        }
    }

    /// Sets the number of processes that share the limit.
    pub fn set_process_count(&mut self, processes: u32) {
        self.processes = processes.max(1);
    }

    /// Replaces the waiting clients with those that are no longer permitted on their server.
    /// Clients of a group are migrated one after another.
    pub fn set_pending(&mut self, clients: impl IntoIterator<Item = (Key, Option<Group>)>) {
        let mut clients: Vec<(Key, Option<Group>)> = clients.into_iter().collect();
        clients.sort_unstable_by_key(|(key, group)| (*group, *key));
        self.pending = clients.into_iter().map(|(key, _)| key).collect();
    }

    /// The number of waiting clients.
    pub fn pending_count(&self) -> usize {
        self.pending.len()
    }

    /// Takes the clients to move now. The caller skips clients whose connection has ended
    /// meanwhile.
    pub fn take_permitted(&mut self, now: Millis) -> Vec<Key> {
        let elapsed_ms = now
            .saturating_sub(self.last_drawn_at.unwrap_or(now))
            .min(MAX_ACCRUAL_MS);
        self.last_drawn_at = Some(now.max(self.last_drawn_at.unwrap_or(now)));
        let quota = self.per_s / f64::from(self.processes) * elapsed_ms as f64 / 1_000.0;
        self.random_state = mix64(self.random_state);
        let draw = (self.random_state >> 11) as f64 / (1_u64 << 53) as f64;
        let count = quota.floor() as usize + usize::from(draw < quota.fract());
        self.pending
            .drain(..count.min(self.pending.len()))
            .collect()
    }
}
