//! What is known of one client: a fact that processes tell each other, and how two of them become one.

use std::cmp::Ordering;

use crate::versions::Version;
use crate::{Group, Key, Millis, Tag, mix64};

/// Bits of a stamp that tell processes apart.
const ORIGIN_BIT_COUNT: u32 = 20;
/// A key that stood so many times while it stood already is several clients'. Of one client's ends one in 25 is not heard
/// of in time where a twentieth of all messages is lost, five in a row once in ten million.
pub(crate) const SHARED_KEY_OVERLAPS: u8 = 5;
/// What is dated further ahead than this is not believed, in milliseconds. Guards against a clock that is a year ahead
/// and would have the last word for a year.
pub(crate) const MAX_CLOCK_LEAD_MS: Millis = 60_000;

/// When a placement was made, and by whom: the later one holds. A process makes one that is later than all that it
/// knows of the client, so that a slow clock does not undo what it has just seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Stamp(pub u64);

impl Stamp {
    /// A stamp of this moment, later than an earlier one.
    pub(crate) fn after(earlier: Option<Stamp>, now: Millis, origin: u64) -> Stamp {
        let timestamp_ms = earlier.map_or(now, |earlier| now.max(earlier.timestamp_ms() + 1));
        Stamp(timestamp_ms << ORIGIN_BIT_COUNT | u64::from(origin_bits(origin)))
    }

    pub(crate) fn origin(self) -> u32 {
        self.0 as u32 & ((1 << ORIGIN_BIT_COUNT) - 1)
    }

    /// Its moment.
    pub fn timestamp_ms(self) -> Millis {
        self.0 >> ORIGIN_BIT_COUNT
    }
}

/// What a stamp shows of a process's name.
pub(crate) fn origin_bits(process: u64) -> u32 {
    mix64(process) as u32 & ((1 << ORIGIN_BIT_COUNT) - 1)
}

/// How a standing connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub enum EndReason {
    /// It broke, from whichever side.
    ConnectionLost = 1,
    /// The client ended it.
    ClosedByClient,
    /// The process that relayed it is no more.
    BalancerDied,
    /// It was moved: its server leaves, or a new version has it there no longer.
    MigratedServerLeaving,
    /// It was moved: messages were late there.
    MigratedSlowMessages,
    /// It was moved: its server had more than its part, or another had room.
    MigratedRebalancing,
}

/// What a placement is now. Ended is later than standing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PlacementState {
    /// The client's connection stands.
    Established,
    /// It ended.
    Ended(EndReason),
}

impl PlacementState {
    /// Its number in messages and on the disk.
    pub fn to_byte(self) -> u8 {
        match self {
            PlacementState::Established => 0,
            PlacementState::Ended(reason) => reason as u8,
        }
    }

    /// The state of a number; standing for one that means nothing here.
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

/// Where a client was placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Placement {
    /// Which client.
    pub key: Key,
    /// Its group.
    pub group: Option<Group>,
    /// The server that it got.
    pub server: Tag,
    /// The version that it was dealt under.
    pub config_version: Version,
    /// When, and by whom.
    pub stamp: Stamp,
    /// When it was last seen to stand, or ended: seconds since the start of 1970.
    pub seen_s: u32,
    /// What it is now.
    pub state: PlacementState,
    /// How often its client had come while it stood, up to 5: then the key is several clients', which nobody can tell
    /// apart.
    pub overlap_count: u8,
}

impl Placement {
    /// When it was made.
    pub fn placed_at(&self) -> Millis {
        self.stamp.timestamp_ms()
    }

    /// Which of two says more of a client. The later stamp; of one stamp, ended before standing, then what was seen
    /// later. The rest is for a tie of two processes alone: any order does, as long as it is everybody's.
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

/// Why a placement is not taken in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementError {
    /// It is past its life.
    Expired,
    /// It is dated more than a minute ahead.
    DatedAhead,
    /// All that is held is worth more, or too many servers or versions are named.
    AtCapacity,
}

/// What became of a placement that was heard of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// Its client was not known.
    New,
    /// It says more than what was known.
    Newer,
    /// It says no more.
    Known,
    /// It was not taken in.
    Rejected(PlacementError),
}
