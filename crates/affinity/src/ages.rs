//! Entries by the time at which they were last seen: those that ended apart from those that stand.

use std::collections::BTreeMap;

use crate::entry::{Entry, NONE};

/// Into so many parts a life is divided: what is of one part is of one age.
const PARTS: u32 = 1_024;

pub(crate) struct Ages {
    /// Seconds of one part.
    grain: u32,
    ended: BTreeMap<u32, u32>,
    standing: BTreeMap<u32, u32>,
}

/// How much an entry is worth keeping: ended before standing, then by age.
pub(crate) type Worth = (bool, u32);

impl Ages {
    pub(crate) fn of_life(life_s: u32) -> Ages {
        Ages {
            grain: (life_s / PARTS).max(1),
            ended: BTreeMap::new(),
            standing: BTreeMap::new(),
        }
    }

    pub(crate) fn worth(&self, is_standing: bool, seen_s: u32) -> Worth {
        (is_standing, seen_s / self.grain)
    }

    fn list(&mut self, is_standing: bool) -> &mut BTreeMap<u32, u32> {
        if is_standing {
            &mut self.standing
        } else {
            &mut self.ended
        }
    }

    pub(crate) fn enter(&mut self, entries: &mut [Entry], id: u32) {
        let (is_standing, age) = self.worth(
            entries[id as usize].is_standing(),
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
        let (is_standing, age) = self.worth(one.is_standing(), one.seen_s);
        let list = self.list(is_standing);
        if after == NONE {
            list.remove(&age);
        } else {
            list.insert(age, after);
        }
    }

    /// What gives way first: what ended longest ago; of those that stand, the one not seen for longest.
    pub(crate) fn first_to_go(&self) -> Option<(Worth, u32)> {
        let first = |list: &BTreeMap<u32, u32>, is_standing| {
            list.first_key_value()
                .map(|(age, id)| ((is_standing, *age), *id))
        };
        first(&self.ended, false).or_else(|| first(&self.standing, true))
    }

    /// One that was last seen before this second, if there is one.
    pub(crate) fn older_than(&self, seen_s: u32) -> Option<u32> {
        let first = |list: &BTreeMap<u32, u32>| list.first_key_value().map(|(age, id)| (*age, *id));
        let oldest = first(&self.ended)
            .into_iter()
            .chain(first(&self.standing))
            .min()?;
        // A part counts as past when all of it is.
        (oldest.0.saturating_add(1).saturating_mul(self.grain) <= seen_s).then_some(oldest.1)
    }
}
