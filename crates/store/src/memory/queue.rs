//! Changes that wait for the disk, the last of each subject, within a bound in bytes.

use std::collections::{BTreeMap, BTreeSet};

use super::{Change, Record};

/// What a waiting change costs beside its bytes: its place in the tree and two allocations.
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
    /// Puts a change in the place of what waits for the same subject, and makes room within the bound: tells how
    /// many changes gave way. First go records of the kind with the highest number, and in it those of the greatest
    /// subject; what is to be forgotten goes last, as it would be read again as if it held.
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

    /// Puts later changes over these.
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

    /// All that waits.
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
