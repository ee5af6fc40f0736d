//! One placement in 32 bytes.

use crate::placement::{Placement, SHARED, State};

/// Numbers of entries and spots have 24 bits; this one is none.
pub(crate) const NONE: u32 = 0xff_ffff;
/// Most entries.
pub(crate) const MOST: usize = 0xff_fff0;

/// The state's bits are below the twins'.
const TWINS_AT: u32 = 4;

/// The version's number is parted over what the three 24-bit numbers leave free.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Entry {
    pub(crate) key: u64,
    pub(crate) stamp: u64,
    pub(crate) seen_s: u32,
    spot_state: u32,
    before_version: u32,
    after_version: u32,
}

impl Entry {
    pub(crate) fn new(of: &Placement, spot: u32, version: u16) -> Entry {
        let [high, low] = version.to_be_bytes();
        Entry {
            key: of.key.0,
            stamp: of.stamp.0,
            seen_s: of.seen_s,
            spot_state: pack(spot, of.state.byte() | of.twins.min(SHARED) << TWINS_AT),
            before_version: pack(NONE, high),
            after_version: pack(NONE, low),
        }
    }

    /// No entry.
    pub(crate) fn none() -> Entry {
        let [free, link] = [pack(NONE, 0); 2];
        Entry {
            key: 0,
            stamp: 0,
            seen_s: 0,
            spot_state: free,
            before_version: link,
            after_version: link,
        }
    }

    pub(crate) fn group_count(&self) -> u32 {
        self.spot_state >> 8
    }

    pub(crate) fn state(&self) -> State {
        State::of(self.spot_state as u8 & ((1 << TWINS_AT) - 1))
    }

    pub(crate) fn twins(&self) -> u8 {
        self.spot_state as u8 >> TWINS_AT
    }

    pub(crate) fn is_established(&self) -> bool {
        self.state() == State::Established
    }

    pub(crate) fn version(&self) -> u16 {
        u16::from_be_bytes([self.before_version as u8, self.after_version as u8])
    }

    /// The entry before it in its age, or the next free one.
    pub(crate) fn before(&self) -> u32 {
        self.before_version >> 8
    }

    pub(crate) fn after(&self) -> u32 {
        self.after_version >> 8
    }

    pub(crate) fn set_before(&mut self, id: u32) {
        self.before_version = pack(id, self.before_version as u8);
    }

    pub(crate) fn set_after(&mut self, id: u32) {
        self.after_version = pack(id, self.after_version as u8);
    }
}

fn pack(id: u32, byte: u8) -> u32 {
    id << 8 | u32::from(byte)
}
