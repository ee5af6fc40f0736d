//! At what rate clients are moved that stand where a new version no longer has them: so many a second over all
//! processes.

use std::collections::VecDeque;

use crate::{Group, Key, Millis, mix64};

/// What was not used lapses after so long, in milliseconds.
const MAX_ACCRUAL_MS: Millis = 1_000;

/// Those that wait to be dealt anew, and this process's part of the fleet's allowance. A part of less than one is odds.
/// Guards against hundreds of processes that each round up.
#[derive(Clone, Debug)]
pub struct Rebalancer {
    per_s: f64,
    processes: u32,
    last_drawn_at: Option<Millis>,
    pending: VecDeque<Key>,
    random_state: u64,
}

impl Rebalancer {
    /// So many a second over so many processes; each process has a seed of its own.
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

    /// How many processes there are now.
    pub fn set_process_count(&mut self, processes: u32) {
        self.processes = processes.max(1);
    }

    /// Those that stand where they no longer may, in place of those before. A group goes together.
    pub fn set_pending(&mut self, clients: impl IntoIterator<Item = (Key, Option<Group>)>) {
        let mut clients: Vec<(Key, Option<Group>)> = clients.into_iter().collect();
        clients.sort_unstable_by_key(|(key, group)| (*group, *key));
        self.pending = clients.into_iter().map(|(key, _)| key).collect();
    }

    /// How many wait.
    pub fn pending_count(&self) -> usize {
        self.pending.len()
    }

    /// Those to be moved now. Whoever ended meanwhile is passed over by the caller.
    pub fn take_permitted(&mut self, now: Millis) -> Vec<Key> {
        let elapsed_ms = now
            .saturating_sub(self.last_drawn_at.unwrap_or(now))
            .min(MAX_ACCRUAL_MS);
        self.last_drawn_at = Some(now.max(self.last_drawn_at.unwrap_or(now)));
        let allowance = self.per_s / f64::from(self.processes) * elapsed_ms as f64 / 1_000.0;
        self.random_state = mix64(self.random_state);
        let draw = (self.random_state >> 11) as f64 / (1_u64 << 53) as f64;
        let count = allowance.floor() as usize + usize::from(draw < allowance.fract());
        self.pending
            .drain(..count.min(self.pending.len()))
            .collect()
    }
}
