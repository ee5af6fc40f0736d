//! Versions of the configuration, and which of two is the newer: an order that all processes come to alike.
//!
//! A version is newer if its reign is later, else if the operator's serial number is higher, else if it was seen first
//! later, else by its digest. A process that changes over to a version older than its own begins a new reign: that is a
//! rollback, and the version is current again. One that starts with an old version begins none. A version that nobody
//! was seen to run for five minutes is older than any that runs.

use std::collections::BTreeMap;
use std::fmt;

use crate::Millis;
use crate::placement::AHEAD;

/// A version that nobody ran for so long is over, in milliseconds. Guards against placements of a version that was taken
/// back by restarts, and that nobody's rules would judge.
const IDLE_TIMEOUT: Millis = 300_000;
/// Versions remembered at most; those that ran longest ago give way.
const MOST: usize = 256;

/// A digest of what a configuration says of routing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Version(pub u128);

impl fmt::Display for Version {
    /// The first eight digits: enough to tell versions apart in a log.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}", self.0 >> 96)
    }
}

/// What processes tell each other of a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VersionFact {
    /// Which.
    pub version: Version,
    /// How many rollbacks there were before it became current.
    pub reign: u32,
    /// The operator's serial number; 0 if none is given.
    pub serial: u64,
    /// When it became current, by the first to see it.
    pub since: Millis,
    /// When somebody was last seen to run it.
    pub runs: Millis,
}

impl VersionFact {
    fn rank(&self, now: Millis) -> impl Ord {
        let is_run = now <= self.runs.saturating_add(IDLE_TIMEOUT);
        (is_run, self.reign, self.serial, self.since, self.version)
    }

    /// The later reign, and its first sight; the highest serial number and the last run.
    fn merge(&mut self, other: &VersionFact) {
        if other.reign > self.reign {
            (self.reign, self.since) = (other.reign, other.since);
        } else if other.reign == self.reign {
            self.since = self.since.min(other.since);
        }
        self.serial = self.serial.max(other.serial);
        self.runs = self.runs.max(other.runs);
    }
}

/// What a change of version is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Adopted {
    /// None: it was current.
    Same,
    /// To a newer one, or a start with the newest known.
    Newer,
    /// A start with an older one than is known.
    Older,
    /// Back to an older one, which is the newest from now on.
    Rollback,
}

impl fmt::Display for Adopted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Adopted::Same => "the same as before",
            Adopted::Newer => "the newest known",
            Adopted::Older => "older than one that is known",
            Adopted::Rollback => "a version from before, the newest from now on",
        })
    }
}

/// The versions that a process knows of.
#[derive(Clone, Debug, Default)]
pub struct Versions {
    all: BTreeMap<Version, VersionFact>,
    current: Option<Version>,
    /// Nobody else has told of the current one: it is new, or it is too early to know.
    own_word_alone: bool,
}

impl Versions {
    /// The version that this process runs.
    pub fn current(&self) -> Option<Version> {
        self.current
    }

    /// All facts, to be told to peers and kept.
    pub fn facts(&self) -> impl Iterator<Item = &VersionFact> {
        self.all.values()
    }

    /// This process runs another version from now on, with the operator's serial number or 0.
    pub fn adopt(&mut self, version: Version, serial: u64, now: Millis) -> Adopted {
        let before = self.current.replace(version);
        let reign = self.last_reign();
        let since = before
            .and_then(|before| self.all.get(&before))
            .map_or(now, |old| now.max(old.since + 1));
        self.own_word_alone =
            !self.all.contains_key(&version) || before == Some(version) && self.own_word_alone;
        let fresh = VersionFact {
            version,
            reign,
            serial,
            since,
            runs: now,
        };
        let fact = self.all.entry(version).or_insert(fresh);
        fact.serial = fact.serial.max(serial);
        fact.runs = fact.runs.max(now);
        let adopted = match before {
            Some(before) if before == version => Adopted::Same,
            Some(before) if !self.is_newer(version, before, now) => {
                if let Some(fact) = self.all.get_mut(&version) {
                    (fact.reign, fact.since) = (reign + 1, now);
                }
                Adopted::Rollback
            }
            None if self
                .all
                .keys()
                .any(|other| self.is_newer(*other, version, now)) =>
            {
                Adopted::Older
            }
            _ => Adopted::Newer,
        };
        self.prune();
        adopted
    }

    /// This process still runs its version.
    pub fn still_runs(&mut self, now: Millis) -> Option<VersionFact> {
        let fact = self.all.get_mut(&self.current?)?;
        fact.runs = fact.runs.max(now);
        Some(*fact)
    }

    /// What a peer tells of a version; whether it was news. What is dated far ahead is not believed.
    pub fn merge(&mut self, told: &VersionFact, now: Millis) -> bool {
        if told.since.max(told.runs) > now.saturating_add(AHEAD)
            || told.reign > self.last_reign() + u32::from(u16::MAX)
        {
            return false;
        }
        let is_own = self.current == Some(told.version);
        self.own_word_alone &= !is_own;
        let fact = self
            .all
            .entry(told.version)
            .or_insert(VersionFact { runs: 0, ..*told });
        let before = *fact;
        fact.merge(told);
        let is_news = before != *fact;
        // A start that had heard of nobody could not know how many rollbacks there were.
        if self.own_word_alone
            && let Some(own) = self.current.and_then(|own| self.all.get_mut(&own))
        {
            own.reign = own.reign.max(told.reign);
        }
        self.prune();
        is_news
    }

    /// Whether one version is newer than another. What is not known here is older than what is.
    pub fn is_newer(&self, one: Version, than: Version, now: Millis) -> bool {
        let rank = |version| self.all.get(&version).map(|fact| fact.rank(now));
        one != than && rank(one) > rank(than)
    }

    /// What is known of a version.
    pub fn get(&self, version: Version) -> Option<&VersionFact> {
        self.all.get(&version)
    }

    fn last_reign(&self) -> u32 {
        self.all.values().map(|fact| fact.reign).max().unwrap_or(0)
    }

    fn prune(&mut self) {
        while self.all.len() > MOST {
            let others = self
                .all
                .values()
                .filter(|fact| Some(fact.version) != self.current);
            let Some(oldest) = others.min_by_key(|fact| (fact.runs, fact.version)) else {
                return;
            };
            let oldest = oldest.version;
            self.all.remove(&oldest);
        }
    }
}
