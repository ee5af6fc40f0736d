//! Limits of a table, and its counts.

use crate::entry::MAX_ENTRIES;

/// Most bytes that one placement takes, including its share of all tables.
const BYTES_PER_PLACEMENT: usize = 64;
/// The maximum size of a table; the smaller of the two bounds applies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bound {
    /// Maximum number of placements; at most 16,777,200.
    pub entries: usize,
    /// Maximum number of bytes, at 64 bytes per placement.
    pub bytes: usize,
}

/// The settings of a table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The maximum size of the table.
    pub bound: Bound,
    /// Seconds after which a placement expires, counted from when it was last seen established or
    /// ended.
    pub ttl_s: u32,
    /// Seconds for which a client that was migrated off a server for late messages or for
    /// rebalancing is not sent back there.
    pub return_delay_s: u32,
    /// Number of members of a group on a server from which on the server is no home for more of
    /// them; 0 disables group homes.
    pub max_group_per_server: u32,
}

impl Limits {
    /// The maximum number of placements by both bounds, at least 1.
    pub(crate) fn max_placements(&self) -> usize {
        self.bound
            .entries
            .min(self.bound.bytes / BYTES_PER_PLACEMENT)
            .clamp(1, MAX_ENTRIES)
    }

    /// The names of the settings that are out of range, as an operator writes them.
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

/// The size of a table, and what has happened since it was created.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Placements in the table.
    pub entries: usize,
    /// Placements in the table whose connection is established.
    pub established: usize,
    /// Placements removed because they expired.
    pub expired: u64,
    /// Placements evicted from a full table.
    pub evicted: u64,
    /// Merged placements that were rejected, for any reason.
    pub rejected: u64,
}
