//! A placement packed into 32 bytes.

use crate::placement::{Placement, PlacementState, SHARED_KEY_OVERLAPS};

/// Ids of entries and group counts have 24 bits; this value stands for no id.
pub(crate) const NO_ID: u32 = 0xff_ffff;
/// Maximum number of entries, below the reserved ids.
pub(crate) const MAX_ENTRIES: usize = 0xff_fff0;

/// Position of the overlap count in its byte; the bits below hold the state.
const OVERLAP_SHIFT: u32 = 4;

/// The version id is split over the bytes that two of the three 24-bit ids leave free.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Entry {
    pub(crate) key: u64,
    pub(crate) stamp: u64,
    pub(crate) seen_s: u32,
    count_state: u32,
    prev_version: u32,
    next_version: u32,
}

impl Entry {
    pub(crate) fn new(placement: &Placement, count_id: u32, version_id: u16) -> Entry {
        let [high, low] = version_id.to_be_bytes();
        Entry {
            key: placement.key.0,
            stamp: placement.stamp.0,
            seen_s: placement.seen_s,
            count_state: pack(
                count_id,
                placement.state.to_byte()
                    | placement.overlap_count.min(SHARED_KEY_OVERLAPS) << OVERLAP_SHIFT,
            ),
            prev_version: pack(NO_ID, high),
            next_version: pack(NO_ID, low),
        }
    }

    /// An unused entry.
    pub(crate) fn vacant() -> Entry {
        let [vacant, no_link] = [pack(NO_ID, 0); 2];
        Entry {
            key: 0,
            stamp: 0,
            seen_s: 0,
            count_state: vacant,
            prev_version: no_link,
            next_version: no_link,
        }
    }

    pub(crate) fn group_count_id(&self) -> u32 {
        self.count_state >> 8
    }

    pub(crate) fn state(&self) -> PlacementState {
        PlacementState::from_byte(self.count_state as u8 & ((1 << OVERLAP_SHIFT) - 1))
    }

    pub(crate) fn overlap_count(&self) -> u8 {
        self.count_state as u8 >> OVERLAP_SHIFT
    }

    pub(crate) fn is_established(&self) -> bool {
        self.state() == PlacementState::Established
    }

    pub(crate) fn version_id(&self) -> u16 {
        u16::from_be_bytes([self.prev_version as u8, self.next_version as u8])
    }

    /// The previous entry in the age bucket, or the next free entry if this one is unused.
    pub(crate) fn prev(&self) -> u32 {
        self.prev_version >> 8
    }

    pub(crate) fn next(&self) -> u32 {
        self.next_version >> 8
    }

    pub(crate) fn set_prev(&mut self, id: u32) {
        self.prev_version = pack(id, self.prev_version as u8);
    }

    pub(crate) fn set_next(&mut self, id: u32) {
        self.next_version = pack(id, self.next_version as u8);
    }
}

fn pack(id: u32, byte: u8) -> u32 {
    id << 8 | u32::from(byte)
}
