//! How many clients of a group a server has: one spot for each group on each server.

use crate::entry::NONE;
use crate::index::Index;
use crate::mix;
use crate::names::Names;

/// The next spot of one that is in no group.
const LOOSE: u32 = NONE - 1;

/// 16 bytes: the group; the server's life, the count and the next spot of the group.
#[derive(Clone, Copy)]
struct GroupCount {
    group: u64,
    rest: u64,
}

impl GroupCount {
    fn new(group: u64, life: u16, count: u32, next: u32) -> GroupCount {
        GroupCount {
            group,
            rest: u64::from(life) << 48 | u64::from(count) << 24 | u64::from(next),
        }
    }

    fn incarnation(self) -> u16 {
        (self.rest >> 48) as u16
    }

    fn count(self) -> u32 {
        (self.rest >> 24) as u32 & NONE
    }

    fn next(self) -> u32 {
        self.rest as u32 & NONE
    }

    fn with_count(self, count: u32) -> GroupCount {
        GroupCount::new(self.group, self.incarnation(), count, self.next())
    }

    fn with_next(self, next: u32) -> GroupCount {
        GroupCount::new(self.group, self.incarnation(), self.count(), next)
    }
}

pub(crate) struct GroupCounts {
    all: Vec<GroupCount>,
    free: u32,
    heads: Index,
    seed: u64,
}

impl GroupCounts {
    pub(crate) fn for_entries(most: usize, seed: u64) -> GroupCounts {
        // One more than entries: a client's new spot is taken before the old one is given back.
        let seed = mix(seed);
        GroupCounts {
            all: Vec::with_capacity(most + 1),
            free: NONE,
            heads: Index::for_entries(most),
            seed,
        }
    }

    pub(crate) fn incarnation(&self, spot: u32) -> u16 {
        self.all[spot as usize].incarnation()
    }

    pub(crate) fn group(&self, spot: u32) -> Option<u64> {
        let one = self.all[spot as usize];
        (one.next() != LOOSE).then_some(one.group)
    }

    fn hash(&self, group: u64) -> u64 {
        mix(group ^ self.seed)
    }

    fn head(&self, group: u64) -> Option<u32> {
        self.heads.find(self.hash(group), |spot| {
            self.all[spot as usize].group == group
        })
    }

    /// The servers' lives that hold a group, and how many of it.
    pub(crate) fn of_group(&self, group: u64) -> impl Iterator<Item = (u16, u32)> {
        let mut at = self.head(group).unwrap_or(NONE);
        std::iter::from_fn(move || {
            let spot = *self.all.get(at as usize)?;
            at = spot.next();
            Some((spot.incarnation(), spot.count()))
        })
    }

    /// Counts one more of a group on a server.
    pub(crate) fn take(&mut self, names: &mut Names, group: Option<u64>, life: u16) -> u32 {
        let (spot, before) = match group {
            Some(group) => self.find(group, life),
            None => (names.get(life).loose, NONE),
        };
        if spot == NONE {
            return self.begin(names, group, life);
        }
        let one = self.all[spot as usize];
        self.all[spot as usize] = one.with_count(one.count() + 1);
        if before != NONE {
            self.bring_forward(spot, before);
        }
        spot
    }

    /// A group's spot on a server and the one before it.
    fn find(&self, group: u64, life: u16) -> (u32, u32) {
        let (mut at, mut before) = (self.head(group).unwrap_or(NONE), NONE);
        while at != NONE && self.all[at as usize].incarnation() != life {
            (before, at) = (at, self.all[at as usize].next());
        }
        (at, before)
    }

    /// What is asked for again is found soon.
    fn bring_forward(&mut self, spot: u32, before: u32) {
        let one = self.all[spot as usize];
        let Some(head) = self.head(one.group) else {
            return;
        };
        self.all[before as usize] = self.all[before as usize].with_next(one.next());
        self.all[spot as usize] = one.with_next(head);
        self.heads.change(self.hash(one.group), head, spot);
    }

    fn begin(&mut self, names: &mut Names, group: Option<u64>, life: u16) -> u32 {
        let head = group.map(|group| self.head(group));
        let next = head.map_or(LOOSE, |head| head.unwrap_or(NONE));
        let one = GroupCount::new(group.unwrap_or(0), life, 1, next);
        let spot = match self.free {
            NONE => {
                self.all.push(one);
                self.all.len() as u32 - 1
            }
            free => {
                self.free = self.all[free as usize].next();
                self.all[free as usize] = one;
                free
            }
        };
        names.take(life);
        match (group, head.flatten()) {
            (Some(group), Some(head)) => self.heads.change(self.hash(group), head, spot),
            (Some(group), None) => self.heads.enter(self.hash(group), spot),
            (None, _) => names.set_loose(life, spot),
        }
        spot
    }

    /// Counts one less.
    pub(crate) fn give_back(&mut self, names: &mut Names, spot: u32) {
        let one = self.all[spot as usize];
        if one.count() > 1 {
            self.all[spot as usize] = one.with_count(one.count() - 1);
            return;
        }
        if one.next() == LOOSE {
            names.set_loose(one.incarnation(), NONE);
        } else {
            self.unlink(spot);
        }
        self.all[spot as usize] = GroupCount::new(0, 0, 0, self.free);
        self.free = spot;
        names.give_back(one.incarnation());
    }

    fn unlink(&mut self, spot: u32) {
        let one = self.all[spot as usize];
        let hash = self.hash(one.group);
        match self.find(one.group, one.incarnation()) {
            (_, NONE) if one.next() == NONE => {
                let (all, seed) = (&self.all, self.seed);
                self.heads
                    .strike(hash, spot, |id| mix(all[id as usize].group ^ seed));
            }
            (_, NONE) => self.heads.change(hash, spot, one.next()),
            (_, before) => {
                self.all[before as usize] = self.all[before as usize].with_next(one.next())
            }
        }
    }

    pub(crate) fn bytes(&self) -> usize {
        self.all.capacity() * size_of::<GroupCount>() + self.heads.bytes()
    }
}
