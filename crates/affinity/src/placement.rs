//! What is known of one client: a fact that processes tell each other, and how two of them become one.

use std::cmp::Ordering;

use crate::versions::Version;
use crate::{Group, Key, Millis, Tag, mix};

/// Bits of a stamp that tell processes apart.
const ORIGIN_BITS: u32 = 20;
/// A key that stood so many times while it stood already is several clients'. Of one client's ends one in 25 is not heard
/// of in time where a twentieth of all messages is lost, five in a row once in ten million.
pub(crate) const SHARED: u8 = 5;
/// What is dated further ahead than this is not believed, in milliseconds. Guards against a clock that is a year ahead
/// and would have the last word for a year.
pub(crate) const AHEAD: Millis = 60_000;

/// When a placement was made, and by whom: the later one holds. A process makes one that is later than all that it
/// knows of the client, so that a slow clock does not undo what it has just seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Stamp(pub u64);

impl Stamp {
    /// A stamp of this moment, later than an earlier one.
    pub(crate) fn after(earlier: Option<Stamp>, now: Millis, origin: u64) -> Stamp {
        let at = earlier.map_or(now, |earlier| now.max(earlier.at() + 1));
        Stamp(at << ORIGIN_BITS | u64::from(origin_of(origin)))
    }

    pub(crate) fn origin(self) -> u32 {
        self.0 as u32 & ((1 << ORIGIN_BITS) - 1)
    }

    /// Its moment.
    pub fn at(self) -> Millis {
        self.0 >> ORIGIN_BITS
    }
}

/// What a stamp shows of a process's name.
pub(crate) fn origin_of(process: u64) -> u32 {
    mix(process) as u32 & ((1 << ORIGIN_BITS) - 1)
}

/// How a standing connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub enum How {
    /// It broke, from whichever side.
    Broke = 1,
    /// The client ended it.
    Left,
    /// The process that relayed it is no more.
    BalancerDied,
    /// It was moved: its server leaves, or a new version has it there no longer.
    MovedLeaving,
    /// It was moved: messages were late there.
    MovedLate,
    /// It was moved: its server had more than its part, or another had room.
    MovedUneven,
}

/// What a placement is now. Ended is later than standing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    /// The client's connection stands.
    Established,
    /// It ended.
    Ended(How),
}

impl State {
    /// Its number in messages and on the disk.
    pub fn byte(self) -> u8 {
        match self {
            State::Established => 0,
            State::Ended(how) => how as u8,
        }
    }

    /// The state of a number; standing for one that means nothing here.
    pub fn of(byte: u8) -> State {
        use How::{BalancerDied, Broke, Left, MovedLate, MovedLeaving, MovedUneven};
        let ended = [
            Broke,
            Left,
            BalancerDied,
            MovedLeaving,
            MovedLate,
            MovedUneven,
        ];
        let how = usize::from(byte)
            .checked_sub(1)
            .and_then(|at| ended.get(at));
        how.map_or(State::Established, |how| State::Ended(*how))
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
    pub encode_version: Version,
    /// When, and by whom.
    pub stamp: Stamp,
    /// When it was last seen to stand, or ended: seconds since the start of 1970.
    pub seen_s: u32,
    /// What it is now.
    pub state: State,
    /// How often its client had come while it stood, up to 5: then the key is several clients', which nobody can tell
    /// apart.
    pub twins: u8,
}

impl Placement {
    /// When it was made.
    pub fn since(&self) -> Millis {
        self.stamp.at()
    }

    /// Which of two says more of a client. The later stamp; of one stamp, ended before standing, then what was seen
    /// later. The rest is for a tie of two processes alone: any order does, as long as it is everybody's.
    pub fn order(&self, other: &Placement) -> Ordering {
        let rank = |one: &Placement| {
            (
                one.stamp,
                one.state,
                one.seen_s,
                one.twins,
                one.server,
                one.encode_version,
                one.group,
                one.key,
            )
        };
        rank(self).cmp(&rank(other))
    }
}

/// Why a placement is not taken in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refused {
    /// It is past its life.
    Expired,
    /// It is dated more than a minute ahead.
    Ahead,
    /// All that is held is worth more, or too many servers or versions are named.
    NoRoom,
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
    Refused(Refused),
}
