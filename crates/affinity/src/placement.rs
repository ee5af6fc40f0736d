//! The placement of one client: a fact that processes exchange, and the order by which two facts
//! about a client are merged.

use std::cmp::Ordering;

use crate::versions::Version;
use crate::{Group, Key, Millis, Tag, mix64};

/// Number of bits of a stamp that identify the process.
const ORIGIN_BIT_COUNT: u32 = 20;
/// Consecutive overlapping connections after which a key counts as shared by several clients. Where
/// a twentieth of all messages is lost, one in 25 connection ends of a single client is not
/// received in time, and five in a row are missed once in ten million.
pub(crate) const SHARED_KEY_OVERLAPS: u8 = 5;
/// Facts dated further ahead than this are rejected. Guards against a clock that is a year ahead,
/// whose facts would otherwise take precedence for a year.
pub(crate) const MAX_CLOCK_LEAD_MS: Millis = 60_000;

/// The time at which a placement was made, and the process that made it; the later stamp takes
/// precedence. A process gives a new placement a later stamp than any it knows for the client, so
/// that a slow clock does not undo what the process has just observed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Stamp(pub u64);

impl Stamp {
    /// Creates a stamp for `now`, or for the millisecond after `earlier` if that is later.
    pub(crate) fn after(earlier: Option<Stamp>, now: Millis, origin: u64) -> Stamp {
        let timestamp_ms = earlier.map_or(now, |earlier| now.max(earlier.timestamp_ms() + 1));
        Stamp(timestamp_ms << ORIGIN_BIT_COUNT | u64::from(origin_bits(origin)))
    }

    pub(crate) fn origin(self) -> u32 {
        self.0 as u32 & ((1 << ORIGIN_BIT_COUNT) - 1)
    }

    /// The time of the placement, in Unix milliseconds.
    pub fn timestamp_ms(self) -> Millis {
        self.0 >> ORIGIN_BIT_COUNT
    }
}

/// The bits by which a stamp identifies a process.
pub(crate) fn origin_bits(process: u64) -> u32 {
    mix64(process) as u32 & ((1 << ORIGIN_BIT_COUNT) - 1)
}

/// The reason for which an established connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub enum EndReason {
    /// Either side lost or broke the connection.
    ConnectionLost = 1,
    /// The client closed the connection.
    ClosedByClient,
    /// The balancer process that relayed the connection died.
    BalancerDied,
    /// The client was migrated because the server is leaving, or because a new version of the
    /// configuration no longer permits the client there.
    MigratedServerLeaving,
    /// The client was migrated because messages were late on the server.
    MigratedSlowMessages,
    /// The client was migrated because its server had more than its share of the load, or another
    /// server had room.
    MigratedRebalancing,
}

/// Whether the connection of a placement is established. Of two states under one stamp, ended takes
/// precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PlacementState {
    /// The connection is established as far as is known.
    Established,
    /// The connection has ended.
    Ended(EndReason),
}

impl PlacementState {
    /// The number of the state in messages and in stored data.
    pub fn to_byte(self) -> u8 {
        match self {
            PlacementState::Established => 0,
            PlacementState::Ended(reason) => reason as u8,
        }
    }

    /// The state with this number; `Established` for an unknown number.
    pub fn from_byte(byte: u8) -> PlacementState {
        use EndReason::{
            BalancerDied, ClosedByClient, ConnectionLost, MigratedRebalancing,
            MigratedServerLeaving, MigratedSlowMessages,
        };
        let end_reasons = [
            ConnectionLost,
            ClosedByClient,
            BalancerDied,
            MigratedServerLeaving,
            MigratedSlowMessages,
            MigratedRebalancing,
        ];
        let reason = usize::from(byte)
            .checked_sub(1)
            .and_then(|index| end_reasons.get(index));
        reason.map_or(PlacementState::Established, |reason| {
            PlacementState::Ended(*reason)
        })
    }
}

/// The server on which a client was last placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Placement {
    /// The client, equal at every process.
    pub key: Key,
    /// The group of the client, if it has one.
    pub group: Option<Group>,
    /// The server to which the client was connected.
    pub server: Tag,
    /// The version of the configuration under which the server was selected.
    pub config_version: Version,
    /// The time of the placement and the process that made it.
    pub stamp: Stamp,
    /// The Unix time in seconds at which the connection was last seen established, or ended.
    pub seen_s: u32,
    /// The state as of `seen_s`.
    pub state: PlacementState,
    /// Consecutive times that a client with this key connected while its previous connection was
    /// still established, at most 5. At 5 the key is shared by several clients that cannot be told
    /// apart.
    pub overlap_count: u8,
}

impl Placement {
    /// The time of the placement, in Unix milliseconds.
    pub fn placed_at(&self) -> Millis {
        self.stamp.timestamp_ms()
    }

    /// Compares two placements of a client; the greater one takes precedence. The later stamp is
    /// greater; under one stamp an ended placement is greater than an established one, then the one
    /// seen later. The remaining fields only break ties between two processes, where any order does
    /// as long as it is the same everywhere.
    pub fn cmp_precedence(&self, other: &Placement) -> Ordering {
        let rank = |placement: &Placement| {
            (
                placement.stamp,
                placement.state,
                placement.seen_s,
                placement.overlap_count,
                placement.server,
                placement.config_version,
                placement.group,
                placement.key,
            )
        };
        rank(self).cmp(&rank(other))
    }
}

/// The reason for which a placement is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementError {
    /// The placement is older than [`crate::Limits::ttl_s`].
    Expired,
    /// The placement is dated more than a minute ahead of the local clock.
    DatedAhead,
    /// Every held placement has a higher retention rank, or there are too many distinct servers or
    /// versions.
    AtCapacity,
}

/// The result of merging a placement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// The client was unknown; the placement was added.
    New,
    /// The placement takes precedence over the known one and replaced it.
    Newer,
    /// The known placement is equal or takes precedence; nothing changed.
    Known,
    /// The placement was rejected; nothing was added.
    Rejected(PlacementError),
}
