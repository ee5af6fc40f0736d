//! Changes that wait for the disk, the last of each subject, bounded in bytes.

use std::collections::{BTreeMap, BTreeSet};

use super::{Change, Record};

/// Overhead of a waiting change: its tree node and two allocations, in bytes.
const OVERHEAD: usize = 96;

type Key = (u32, Vec<u8>);

/// The last change of each kind and subject.
#[derive(Debug, Default)]
pub(super) struct Queue {
    values: BTreeMap<Key, (u64, Vec<u8>)>,
    forgotten: BTreeSet<Key>,
    bytes: usize,
}

fn cost(key: &Key, value: &[u8]) -> usize {
    OVERHEAD + key.1.len() + value.len()
}

impl Queue {
    /// Adds a change in place of an earlier one of its subject, and evicts changes beyond the
    /// bound; returns how many. Records of the highest kind number are evicted first, and among
    /// them the greatest subject; removals are evicted last, since the removed records would
    /// otherwise be read again.
    pub(super) fn put(&mut self, change: Change, bound: usize) -> u64 {
        match change {
            Change::Keep(Record {
                kind,
                subject,
                value,
                observed_at_ms,
            }) => {
                let key = (kind, subject);
                self.clear(&key);
                self.bytes += cost(&key, &value);
                self.values.insert(key, (observed_at_ms, value));
            }
            Change::Forget { kind, subject } => {
                let key = (kind, subject);
                self.clear(&key);
                self.bytes += cost(&key, &[]);
                self.forgotten.insert(key);
            }
        }
        let mut gave_way = 0;
        while self.bytes > bound && self.evict_one() {
            gave_way += 1;
        }
        gave_way
    }

    fn clear(&mut self, key: &Key) {
        if let Some((_, value)) = self.values.remove(key) {
            self.bytes -= cost(key, &value);
        }
        if self.forgotten.remove(key) {
            self.bytes -= cost(key, &[]);
        }
    }

    fn evict_one(&mut self) -> bool {
        if let Some((key, (_, value))) = self.values.pop_last() {
            self.bytes -= cost(&key, &value);
            return true;
        }
        let gone = self.forgotten.pop_last();
        gone.inspect(|key| self.bytes -= cost(key, &[])).is_some()
    }

    /// Adds later changes over these.
    pub(super) fn take_over(&mut self, later: Queue, bound: usize) -> u64 {
        later
            .into_changes()
            .map(|change| self.put(change, bound))
            .sum()
    }

    pub(super) fn len(&self) -> usize {
        self.values.len() + self.forgotten.len()
    }

    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }

    /// All waiting changes.
    pub(super) fn into_changes(self) -> impl Iterator<Item = Change> {
        let forgotten = self
            .forgotten
            .into_iter()
            .map(|(kind, subject)| Change::Forget { kind, subject });
        let kept = self
            .values
            .into_iter()
            .map(|((kind, subject), (observed_at_ms, value))| {
                Change::Keep(Record {
                    kind,
                    subject,
                    value,
                    observed_at_ms,
                })
            });
        kept.chain(forgotten)
    }
}

#[cfg(test)]
mod tests;
