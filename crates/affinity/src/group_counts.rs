//! Counts the clients of each group on each server incarnation.

use crate::entry::NO_ID;
use crate::index::Index;
use crate::interning::ServerIncarnations;
use crate::mix64;

/// Value of `next` in a count of clients without a group.
const UNGROUPED: u32 = NO_ID - 1;

/// 16 bytes: the group, and packed into `packed` the id of the server incarnation, the count and
/// the id of the next count of the group.
#[derive(Clone, Copy)]
struct GroupCount {
    group: u64,
    packed: u64,
}

impl GroupCount {
    fn new(group: u64, incarnation_id: u16, count: u32, next: u32) -> GroupCount {
        GroupCount {
            group,
            packed: u64::from(incarnation_id) << 48 | u64::from(count) << 24 | u64::from(next),
        }
    }

    fn incarnation(self) -> u16 {
        (self.packed >> 48) as u16
    }

    fn count(self) -> u32 {
        (self.packed >> 24) as u32 & NO_ID
    }

    fn next(self) -> u32 {
        self.packed as u32 & NO_ID
    }

    fn with_count(self, count: u32) -> GroupCount {
        GroupCount::new(self.group, self.incarnation(), count, self.next())
    }

    fn with_next(self, next: u32) -> GroupCount {
        GroupCount::new(self.group, self.incarnation(), self.count(), next)
    }
}

pub(crate) struct GroupCounts {
    counts: Vec<GroupCount>,
    free: u32,
    first_ids: Index,
    seed: u64,
}

impl GroupCounts {
    pub(crate) fn for_entries(max_entries: usize, seed: u64) -> GroupCounts {
        // One more than entries, because a client's new count is acquired before the old one is
        // released.
        let seed = mix64(seed);
        GroupCounts {
            counts: Vec::with_capacity(max_entries + 1),
            free: NO_ID,
            first_ids: Index::for_entries(max_entries),
            seed,
        }
    }

    pub(crate) fn incarnation(&self, count_id: u32) -> u16 {
        self.counts[count_id as usize].incarnation()
    }

    pub(crate) fn group(&self, count_id: u32) -> Option<u64> {
        let group_count = self.counts[count_id as usize];
        (group_count.next() != UNGROUPED).then_some(group_count.group)
    }

    fn hash(&self, group: u64) -> u64 {
        mix64(group ^ self.seed)
    }

    fn first_of_group(&self, group: u64) -> Option<u32> {
        self.first_ids.find(self.hash(group), |count_id| {
            self.counts[count_id as usize].group == group
        })
    }

    /// The server incarnations that have members of a group, and how many.
    pub(crate) fn of_group(&self, group: u64) -> impl Iterator<Item = (u16, u32)> {
        let mut id = self.first_of_group(group).unwrap_or(NO_ID);
        std::iter::from_fn(move || {
            let count = *self.counts.get(id as usize)?;
            id = count.next();
            Some((count.incarnation(), count.count()))
        })
    }

    /// Adds one client of a group on a server incarnation; returns the id of the count.
    pub(crate) fn increment(
        &mut self,
        servers: &mut ServerIncarnations,
        group: Option<u64>,
        incarnation_id: u16,
    ) -> u32 {
        let (count_id, prev) = match group {
            Some(group) => self.find(group, incarnation_id),
            None => (servers.get(incarnation_id).ungrouped_count_id, NO_ID),
        };
        if count_id == NO_ID {
            return self.add(servers, group, incarnation_id);
        }
        let group_count = self.counts[count_id as usize];
        self.counts[count_id as usize] = group_count.with_count(group_count.count() + 1);
        if prev != NO_ID {
            self.move_to_front(count_id, prev);
        }
        count_id
    }

    /// The ids of the count of a group on a server incarnation and of the count before it in the
    /// list.
    fn find(&self, group: u64, incarnation_id: u16) -> (u32, u32) {
        let (mut id, mut prev) = (self.first_of_group(group).unwrap_or(NO_ID), NO_ID);
        while id != NO_ID && self.counts[id as usize].incarnation() != incarnation_id {
            (prev, id) = (id, self.counts[id as usize].next());
        }
        (id, prev)
    }

    /// Moves a count to the front of the list, so that it is found sooner next time.
    fn move_to_front(&mut self, count_id: u32, prev: u32) {
        let group_count = self.counts[count_id as usize];
        let Some(first_id) = self.first_of_group(group_count.group) else {
            return;
        };
        self.counts[prev as usize] = self.counts[prev as usize].with_next(group_count.next());
        self.counts[count_id as usize] = group_count.with_next(first_id);
        self.first_ids
            .replace(self.hash(group_count.group), first_id, count_id);
    }

    fn add(
        &mut self,
        servers: &mut ServerIncarnations,
        group: Option<u64>,
        incarnation_id: u16,
    ) -> u32 {
        let first_id = group.map(|group| self.first_of_group(group));
        let next = first_id.map_or(UNGROUPED, |first_id| first_id.unwrap_or(NO_ID));
        let group_count = GroupCount::new(group.unwrap_or(0), incarnation_id, 1, next);
        let count_id = match self.free {
            NO_ID => {
                self.counts.push(group_count);
                self.counts.len() as u32 - 1
            }
            free => {
                self.free = self.counts[free as usize].next();
                self.counts[free as usize] = group_count;
                free
            }
        };
        servers.acquire(incarnation_id);
        match (group, first_id.flatten()) {
            (Some(group), Some(first_id)) => {
                self.first_ids.replace(self.hash(group), first_id, count_id)
            }
            (Some(group), None) => self.first_ids.insert(self.hash(group), count_id),
            (None, _) => servers.set_ungrouped_count_id(incarnation_id, count_id),
        }
        count_id
    }

    /// Subtracts one client, and frees a count that reaches 0.
    pub(crate) fn decrement(&mut self, servers: &mut ServerIncarnations, count_id: u32) {
        let group_count = self.counts[count_id as usize];
        if group_count.count() > 1 {
            self.counts[count_id as usize] = group_count.with_count(group_count.count() - 1);
            return;
        }
        if group_count.next() == UNGROUPED {
            servers.set_ungrouped_count_id(group_count.incarnation(), NO_ID);
        } else {
            self.unlink(count_id);
        }
        self.counts[count_id as usize] = GroupCount::new(0, 0, 0, self.free);
        self.free = count_id;
        servers.release(group_count.incarnation());
    }

    fn unlink(&mut self, count_id: u32) {
        let group_count = self.counts[count_id as usize];
        let hash = self.hash(group_count.group);
        match self.find(group_count.group, group_count.incarnation()) {
            (_, NO_ID) if group_count.next() == NO_ID => {
                let (counts, seed) = (&self.counts, self.seed);
                self.first_ids
                    .remove(hash, count_id, |id| mix64(counts[id as usize].group ^ seed));
            }
            (_, NO_ID) => self.first_ids.replace(hash, count_id, group_count.next()),
            (_, prev) => {
                self.counts[prev as usize] =
                    self.counts[prev as usize].with_next(group_count.next())
            }
        }
    }

    pub(crate) fn bytes(&self) -> usize {
        self.counts.capacity() * size_of::<GroupCount>() + self.first_ids.bytes()
    }
}
