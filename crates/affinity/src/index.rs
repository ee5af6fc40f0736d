//! Maps a hash to a 24-bit id in four bytes: open addressing, with eight bits of the hash in the
//! slot, so that other entries are seldom compared.

use crate::entry::NO_ID;

/// The load factor is at most three fifths.
const SLOTS_PER_ENTRY: (usize, usize) = (5, 3);

pub(crate) struct Index {
    /// Eight bits of the hash and the id plus one; 0 for an empty slot.
    slots: Vec<u32>,
}

impl Index {
    pub(crate) fn for_entries(max_entries: usize) -> Index {
        Index {
            slots: vec![
                0;
                (max_entries * SLOTS_PER_ENTRY.0)
                    .div_ceil(SLOTS_PER_ENTRY.1)
                    .max(8)
            ],
        }
    }

    fn home_slot(&self, hash: u64) -> usize {
        ((u128::from(hash) * self.slots.len() as u128) >> 64) as usize
    }

    fn next_slot(&self, slot_index: usize) -> usize {
        if slot_index + 1 == self.slots.len() {
            0
        } else {
            slot_index + 1
        }
    }

    /// The id under this hash for which `is_match` returns true.
    pub(crate) fn find(&self, hash: u64, mut is_match: impl FnMut(u32) -> bool) -> Option<u32> {
        self.position(hash, &mut is_match)
            .map(|slot_index| id_of(self.slots[slot_index]))
    }

    fn position(&self, hash: u64, is_match: &mut impl FnMut(u32) -> bool) -> Option<usize> {
        let mut slot_index = self.home_slot(hash);
        while self.slots[slot_index] != 0 {
            if self.slots[slot_index] >> 24 == u32::from(hash as u8)
                && is_match(id_of(self.slots[slot_index]))
            {
                return Some(slot_index);
            }
            slot_index = self.next_slot(slot_index);
        }
        None
    }

    /// Adds an id that is not in the index yet.
    pub(crate) fn insert(&mut self, hash: u64, id: u32) {
        let mut slot_index = self.home_slot(hash);
        while self.slots[slot_index] != 0 {
            slot_index = self.next_slot(slot_index);
        }
        self.slots[slot_index] = pack_slot(hash, id);
    }

    /// Replaces the id under a hash.
    pub(crate) fn replace(&mut self, hash: u64, old_id: u32, new_id: u32) {
        if let Some(slot_index) = self.position(hash, &mut |id| id == old_id) {
            self.slots[slot_index] = pack_slot(hash, new_id);
        }
    }

    /// Removes an id, and moves later entries of the probe sequence back toward their home slots.
    pub(crate) fn remove(&mut self, hash: u64, id: u32, hash_of: impl Fn(u32) -> u64) {
        let Some(mut vacant) = self.position(hash, &mut |other| other == id) else {
            return;
        };
        let mut slot_index = self.next_slot(vacant);
        while self.slots[slot_index] != 0 {
            let home_slot = self.home_slot(hash_of(id_of(self.slots[slot_index])));
            if self.distance(home_slot, slot_index) >= self.distance(vacant, slot_index) {
                self.slots[vacant] = self.slots[slot_index];
                vacant = slot_index;
            }
            slot_index = self.next_slot(slot_index);
        }
        self.slots[vacant] = 0;
    }

    fn distance(&self, from: usize, to: usize) -> usize {
        if to >= from {
            to - from
        } else {
            to + self.slots.len() - from
        }
    }

    pub(crate) fn bytes(&self) -> usize {
        self.slots.capacity() * 4
    }
}

fn pack_slot(hash: u64, id: u32) -> u32 {
    (u32::from(hash as u8) << 24) | ((id + 1) & NO_ID)
}

fn id_of(slot: u32) -> u32 {
    (slot & NO_ID) - 1
}
