//! From a hash to a 24-bit number in four bytes: open addressing, with eight bits of the hash in the slot, so that others'
//! entries are seldom looked at.

use crate::entry::NONE;

/// It is full to three fifths at most.
const SLOTS_PER_ENTRY: (usize, usize) = (5, 3);

pub(crate) struct Index {
    /// Eight bits of the hash, and the number plus one; 0 is empty.
    slots: Vec<u32>,
}

impl Index {
    pub(crate) fn for_entries(most: usize) -> Index {
        Index {
            slots: vec![
                0;
                (most * SLOTS_PER_ENTRY.0)
                    .div_ceil(SLOTS_PER_ENTRY.1)
                    .max(8)
            ],
        }
    }

    fn home(&self, hash: u64) -> usize {
        ((u128::from(hash) * self.slots.len() as u128) >> 64) as usize
    }

    fn next(&self, at: usize) -> usize {
        if at + 1 == self.slots.len() {
            0
        } else {
            at + 1
        }
    }

    /// The number of this hash that is the one looked for.
    pub(crate) fn find(&self, hash: u64, mut is_it: impl FnMut(u32) -> bool) -> Option<u32> {
        self.place(hash, &mut is_it)
            .map(|at| number(self.slots[at]))
    }

    fn place(&self, hash: u64, is_it: &mut impl FnMut(u32) -> bool) -> Option<usize> {
        let mut at = self.home(hash);
        while self.slots[at] != 0 {
            if self.slots[at] >> 24 == u32::from(hash as u8) && is_it(number(self.slots[at])) {
                return Some(at);
            }
            at = self.next(at);
        }
        None
    }

    /// Enters a number that is not in it.
    pub(crate) fn enter(&mut self, hash: u64, id: u32) {
        let mut at = self.home(hash);
        while self.slots[at] != 0 {
            at = self.next(at);
        }
        self.slots[at] = slot(hash, id);
    }

    /// Has a hash lead to another number.
    pub(crate) fn change(&mut self, hash: u64, from: u32, to: u32) {
        if let Some(at) = self.place(hash, &mut |id| id == from) {
            self.slots[at] = slot(hash, to);
        }
    }

    /// Takes a number out, and moves up those behind it that it kept from their place.
    pub(crate) fn strike(&mut self, hash: u64, id: u32, hash_of: impl Fn(u32) -> u64) {
        let Some(mut hole) = self.place(hash, &mut |other| other == id) else {
            return;
        };
        let mut at = self.next(hole);
        while self.slots[at] != 0 {
            let home = self.home(hash_of(number(self.slots[at])));
            if self.distance(home, at) >= self.distance(hole, at) {
                self.slots[hole] = self.slots[at];
                hole = at;
            }
            at = self.next(at);
        }
        self.slots[hole] = 0;
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

fn slot(hash: u64, id: u32) -> u32 {
    (u32::from(hash as u8) << 24) | ((id + 1) & NONE)
}

fn number(slot: u32) -> u32 {
    (slot & NONE) - 1
}
