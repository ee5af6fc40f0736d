//! What an operator sets, and what is counted.

use crate::entry::MAX_ENTRIES;

/// What one placement takes at most, with its part of all tables.
const BYTES_PER_PLACEMENT: usize = 64;
/// How much is held at most.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bound {
    /// Placements; 16,777,200 at most.
    pub entries: usize,
    /// Bytes, at 64 for each placement.
    pub bytes: usize,
}

/// The figures that an operator sets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// How much is held at most.
    pub bound: Bound,
    /// A placement is forgotten so many seconds after it was last seen to stand, or ended.
    pub ttl_s: u32,
    /// A client that was moved off a server for lateness or to even out is not led back for so many seconds.
    pub return_delay_s: u32,
    /// A server that has so many of a group is no home to more of it; 0: groups have no home.
    pub max_group_per_server: u32,
}

impl Limits {
    /// How many placements that are.
    pub(crate) fn max_placements(&self) -> usize {
        self.bound
            .entries
            .min(self.bound.bytes / BYTES_PER_PLACEMENT)
            .clamp(1, MAX_ENTRIES)
    }

    /// The fields that are out of their range.
    pub fn invalid_fields(&self) -> Vec<&'static str> {
        let checks = [
            (
                "entries",
                self.bound.entries == 0 || self.bound.entries > MAX_ENTRIES,
            ),
            ("bytes", self.bound.bytes < BYTES_PER_PLACEMENT),
            ("life_s", self.ttl_s == 0),
            ("away_s", self.return_delay_s > self.ttl_s),
        ];
        checks
            .into_iter()
            .filter(|(_, is_invalid)| *is_invalid)
            .map(|(field, _)| field)
            .collect()
    }
}

/// What is held and what happened.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Placements held.
    pub entries: usize,
    /// Of these, those that stand.
    pub established: usize,
    /// Forgotten at the end of their life.
    pub expired: u64,
    /// Given way at the bound.
    pub evicted: u64,
    /// Not taken in, for whatever reason.
    pub rejected: u64,
}
