//! Limits and counts of a placement table.

use crate::entry::MAX_ENTRIES;

/// Maximum memory of one placement in bytes, including its share of all internal tables.
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
    /// Seconds for which a client is not sent back to a server that it was migrated off because its
    /// messages were late or for rebalancing.
    pub return_delay_s: u32,
    /// Number of members of a group on one server from which on the server is not advised to further
    /// members of the group; 0 disables placing members of a group together.
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

    /// The settings that are out of range, by their names in the operator's configuration.
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
    /// Placements received from peers or read from stored data that were rejected when merged, for any
    /// reason.
    pub rejected: u64,
}
