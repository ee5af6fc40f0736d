//! Entries by the time at which they were last seen: those that ended apart from those that stand.

use std::collections::BTreeMap;

use crate::entry::{Entry, NONE};

/// Into so many parts a life is divided: what is of one part is of one age.
const AGE_BUCKETS: u32 = 1_024;

pub(crate) struct Ages {
    /// Seconds of one part.
    grain: u32,
    ended: BTreeMap<u32, u32>,
    established: BTreeMap<u32, u32>,
}

/// How much an entry is worth keeping: ended before standing, then by age.
pub(crate) type RetentionRank = (bool, u32);

impl Ages {
    pub(crate) fn with_ttl(life_s: u32) -> Ages {
        Ages {
            grain: (life_s / AGE_BUCKETS).max(1),
            ended: BTreeMap::new(),
            established: BTreeMap::new(),
        }
    }

    pub(crate) fn retention_rank(&self, is_standing: bool, seen_s: u32) -> RetentionRank {
        (is_standing, seen_s / self.grain)
    }

    fn list(&mut self, is_standing: bool) -> &mut BTreeMap<u32, u32> {
        if is_standing {
            &mut self.established
        } else {
            &mut self.ended
        }
    }

    pub(crate) fn enter(&mut self, entries: &mut [Entry], id: u32) {
        let (is_standing, age) = self.retention_rank(
            entries[id as usize].is_established(),
            entries[id as usize].seen_s,
        );
        let head = self.list(is_standing).insert(age, id).unwrap_or(NONE);
        entries[id as usize].set_before(NONE);
        entries[id as usize].set_after(head);
        if head != NONE {
            entries[head as usize].set_before(id);
        }
    }

    pub(crate) fn leave(&mut self, entries: &mut [Entry], id: u32) {
        let one = entries[id as usize];
        let (before, after) = (one.before(), one.after());
        if after != NONE {
            entries[after as usize].set_before(before);
        }
        if before != NONE {
            entries[before as usize].set_after(after);
            return;
        }
        let (is_standing, age) = self.retention_rank(one.is_established(), one.seen_s);
        let list = self.list(is_standing);
        if after == NONE {
            list.remove(&age);
        } else {
            list.insert(age, after);
        }
    }

    /// What gives way first: what ended longest ago; of those that stand, the one not seen for longest.
    pub(crate) fn first_to_go(&self) -> Option<(RetentionRank, u32)> {
        let first = |list: &BTreeMap<u32, u32>, is_standing| {
            list.first_key_value()
                .map(|(age, id)| ((is_standing, *age), *id))
        };
        first(&self.ended, false).or_else(|| first(&self.established, true))
    }

    /// One that was last seen before this second, if there is one.
    pub(crate) fn older_than(&self, seen_s: u32) -> Option<u32> {
        let first = |list: &BTreeMap<u32, u32>| list.first_key_value().map(|(age, id)| (*age, *id));
        let oldest = first(&self.ended)
            .into_iter()
            .chain(first(&self.established))
            .min()?;
        // A part counts as past when all of it is.
        (oldest.0.saturating_add(1).saturating_mul(self.grain) <= seen_s).then_some(oldest.1)
    }
}
