//! An index of slots by time, with a resolution of 1,024 ms.

use std::collections::{BTreeMap, VecDeque};

use crate::Millis;

/// Slots in buckets of time. Entries are not removed when a slot changes: the reader checks whether the slot still
/// matches its bucket, and a sweep removes stale entries once they outnumber the others.
#[derive(Clone, Debug, Default)]
pub(crate) struct TimeIndex {
    buckets: BTreeMap<u64, VecDeque<u32>>,
    entry_count: usize,
}

/// The number of entries below which a sweep is not worth its cost.
const SWEEP_MIN_ENTRIES: usize = 1_024;

/// The bucket of a time; a bucket spans 1,024 ms.
pub(crate) fn bucket_of(time: Millis) -> u64 {
    time >> 10
}

impl TimeIndex {
    /// Adds an entry for a slot.
    pub fn insert(&mut self, time: Millis, slot: u32) {
        self.buckets
            .entry(bucket_of(time))
            .or_default()
            .push_back(slot);
        self.entry_count += 1;
    }

    /// Whether stale entries outnumber those of `live` slots.
    pub fn needs_sweep(&self, live_slots: usize) -> bool {
        self.entry_count > 2 * live_slots + SWEEP_MIN_ENTRIES
    }

    /// Removes duplicate entries and those that `is_current` rejects.
    pub fn sweep(&mut self, is_current: impl Fn(u32, u64) -> bool) {
        self.buckets.retain(|bucket, slots| {
            slots.make_contiguous().sort_unstable();
            let mut previous = None;
            slots.retain(|slot| {
                previous.replace(*slot) != Some(*slot) && is_current(*slot, *bucket)
            });
            !slots.is_empty()
        });
        self.entry_count = self.buckets.values().map(VecDeque::len).sum();
    }

    /// Removes the first entry of the earliest bucket and returns its slot and bucket; `None` if that bucket is not
    /// before the one of the given limit.
    pub fn pop_earliest(&mut self, before: Option<Millis>) -> Option<(u32, u64)> {
        let mut first = self.buckets.first_entry()?;
        let bucket = *first.key();
        if before.is_some_and(|time| bucket >= bucket_of(time)) {
            return None;
        }
        let slot = first.get_mut().pop_front();
        if first.get().is_empty() {
            first.remove();
        }
        self.entry_count = self.entry_count.saturating_sub(1);
        slot.map(|slot| (slot, bucket))
    }
}
