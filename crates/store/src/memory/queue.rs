//! Queue of changes to be written: the last change of each subject, bounded in bytes.

use std::collections::{BTreeMap, BTreeSet};

use super::{Change, Record};

/// Overhead of a queued change in bytes: its tree node and two allocations.
const CHANGE_OVERHEAD_BYTES: usize = 96;

type Key = (u32, Vec<u8>);

/// The last change of each kind and subject.
#[derive(Debug, Default)]
pub(super) struct Queue {
    values: BTreeMap<Key, (u64, Vec<u8>)>,
    deleted: BTreeSet<Key>,
    bytes: usize,
}

fn cost_bytes(key: &Key, value: &[u8]) -> usize {
    CHANGE_OVERHEAD_BYTES + key.1.len() + value.len()
}

impl Queue {
    /// Adds a change in place of an earlier one of its subject, and evicts changes beyond
    /// `max_bytes`; returns how many. Records of the highest kind are evicted first, and among them
    /// the greatest subject. Deletions are evicted last, since the deleted records would otherwise
    /// be read again at the next start.
    pub(super) fn put(&mut self, change: Change, max_bytes: usize) -> u64 {
        match change {
            Change::Put(Record {
                kind,
                subject,
                value,
                observed_at_ms,
            }) => {
                let key = (kind, subject);
                self.remove(&key);
                self.bytes += cost_bytes(&key, &value);
                self.values.insert(key, (observed_at_ms, value));
            }
            Change::Delete { kind, subject } => {
                let key = (kind, subject);
                self.remove(&key);
                self.bytes += cost_bytes(&key, &[]);
                self.deleted.insert(key);
            }
        }
        let mut evicted = 0;
        while self.bytes > max_bytes && self.evict_one() {
            evicted += 1;
        }
        evicted
    }

    fn remove(&mut self, key: &Key) {
        if let Some((_, value)) = self.values.remove(key) {
            self.bytes -= cost_bytes(key, &value);
        }
        if self.deleted.remove(key) {
            self.bytes -= cost_bytes(key, &[]);
        }
    }

    fn evict_one(&mut self) -> bool {
        if let Some((key, (_, value))) = self.values.pop_last() {
            self.bytes -= cost_bytes(&key, &value);
            return true;
        }
        let removed = self.deleted.pop_last();
        removed
            .inspect(|key| self.bytes -= cost_bytes(key, &[]))
            .is_some()
    }

    /// Adds the changes of a later queue, which replace earlier ones; returns how many were evicted.
    pub(super) fn append(&mut self, later: Queue, max_bytes: usize) -> u64 {
        later
            .into_changes()
            .map(|change| self.put(change, max_bytes))
            .sum()
    }

    pub(super) fn len(&self) -> usize {
        self.values.len() + self.deleted.len()
    }

    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }

    /// All queued changes, records before deletions.
    pub(super) fn into_changes(self) -> impl Iterator<Item = Change> {
        let deleted = self
            .deleted
            .into_iter()
            .map(|(kind, subject)| Change::Delete { kind, subject });
        let stored = self
            .values
            .into_iter()
            .map(|((kind, subject), (observed_at_ms, value))| {
                Change::Put(Record {
                    kind,
                    subject,
                    value,
                    observed_at_ms,
                })
            });
        stored.chain(deleted)
    }
}

#[cfg(test)]
mod tests;
