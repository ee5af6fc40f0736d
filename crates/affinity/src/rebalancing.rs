//! At what rate clients are moved that stand where a new version no longer has them: so many a second over all
//! processes.

use std::collections::VecDeque;

use crate::{Group, Key, Millis, mix};

/// What was not used lapses after so long, in milliseconds.
const MAX_ACCRUAL: Millis = 1_000;

/// Those that wait to be dealt anew, and this process's part of the fleet's allowance. A part of less than one is odds.
/// Guards against hundreds of processes that each round up.
#[derive(Clone, Debug)]
pub struct Rebalancer {
    per_s: f64,
    processes: u32,
    asked: Option<Millis>,
    waiting: VecDeque<Key>,
    draws: u64,
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
            asked: None,
            waiting: VecDeque::new(),
            draws: mix(seed),
        }
    }

    /// How many processes there are now.
    pub fn shared_by(&mut self, processes: u32) {
        self.processes = processes.max(1);
    }

    /// Those that stand where they no longer may, in place of those before. A group goes together.
    pub fn begin(&mut self, clients: impl IntoIterator<Item = (Key, Option<Group>)>) {
        let mut clients: Vec<(Key, Option<Group>)> = clients.into_iter().collect();
        clients.sort_unstable_by_key(|(key, group)| (*group, *key));
        self.waiting = clients.into_iter().map(|(key, _)| key).collect();
    }

    /// How many wait.
    pub fn left(&self) -> usize {
        self.waiting.len()
    }

    /// Those to be moved now. Whoever ended meanwhile is passed over by the caller.
    pub fn take_permitted(&mut self, now: Millis) -> Vec<Key> {
        let waited = now
            .saturating_sub(self.asked.unwrap_or(now))
            .min(MAX_ACCRUAL);
        self.asked = Some(now.max(self.asked.unwrap_or(now)));
        let part = self.per_s / f64::from(self.processes) * waited as f64 / 1_000.0;
        self.draws = mix(self.draws);
        let draw = (self.draws >> 11) as f64 / (1_u64 << 53) as f64;
        let due = part.floor() as usize + usize::from(draw < part.fract());
        self.waiting.drain(..due.min(self.waiting.len())).collect()
    }
}
