//! Slots by a moment, to the second.

use std::collections::{BTreeMap, VecDeque};

use crate::Millis;

/// Slots noted under moments. Notes are never taken back: whoever reads one asks the slot whether it still holds, and
/// stale ones are swept once they are the larger part.
#[derive(Clone, Debug, Default)]
pub(crate) struct Calendar {
    days: BTreeMap<u64, VecDeque<u32>>,
    notes: usize,
}

/// Notes that are not worth a sweep.
const FEW: usize = 1_024;

/// The span of time that a moment is noted under.
pub(crate) fn day(at: Millis) -> u64 {
    at >> 10
}

impl Calendar {
    /// Notes a slot.
    pub fn note(&mut self, at: Millis, slot: u32) {
        self.days.entry(day(at)).or_default().push_back(slot);
        self.notes += 1;
    }

    /// Whether stale notes are the larger part beside so many live slots.
    pub fn is_stale(&self, live: usize) -> bool {
        self.notes > 2 * live + FEW
    }

    /// Keeps only notes that hold.
    pub fn sweep(&mut self, holds: impl Fn(u32, u64) -> bool) {
        self.days.retain(|day, slots| {
            slots.make_contiguous().sort_unstable();
            let mut last = None;
            slots.retain(|slot| last.replace(*slot) != Some(*slot) && holds(*slot, *day));
            !slots.is_empty()
        });
        self.notes = self.days.values().map(VecDeque::len).sum();
    }

    /// Takes out the earliest note, the first one of its day, if its day comes before that of the limit.
    pub fn pop(&mut self, before: Option<Millis>) -> Option<(u32, u64)> {
        let mut first = self.days.first_entry()?;
        let on = *first.key();
        if before.is_some_and(|at| on >= day(at)) {
            return None;
        }
        let slot = first.get_mut().pop_front();
        if first.get().is_empty() {
            first.remove();
        }
        self.notes = self.notes.saturating_sub(1);
        slot.map(|slot| (slot, on))
    }
}
