//! Slots by a moment, to the second.

use std::collections::{BTreeMap, VecDeque};

use crate::Millis;

/// Slots noted under moments. Notes are never taken back: whoever reads one asks the slot whether it still holds, and
/// stale ones are swept once they are the larger part.
#[derive(Clone, Debug, Default)]
pub(crate) struct TimeIndex {
    buckets: BTreeMap<u64, VecDeque<u32>>,
    entry_count: usize,
}

/// Notes that are not worth a sweep.
const SWEEP_MIN_ENTRIES: usize = 1_024;

/// The span of time that a moment is noted under.
pub(crate) fn bucket_of(time: Millis) -> u64 {
    time >> 10
}

impl TimeIndex {
    /// Notes a slot.
    pub fn insert(&mut self, time: Millis, slot: u32) {
        self.buckets
            .entry(bucket_of(time))
            .or_default()
            .push_back(slot);
        self.entry_count += 1;
    }

    /// Whether stale notes are the larger part beside so many live slots.
    pub fn needs_sweep(&self, live_slots: usize) -> bool {
        self.entry_count > 2 * live_slots + SWEEP_MIN_ENTRIES
    }

    /// Keeps only notes that hold.
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

    /// Takes out the earliest note, the first one of its day, if its day comes before that of the limit.
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
