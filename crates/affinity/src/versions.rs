//! Versions of the configuration, and which of two is the newer: an order that all processes come to alike.
//!
//! A version is newer if its reign is later, else if the operator's serial number is higher, else if it was seen first
//! later, else by its digest. A process that changes over to a version older than its own begins a new reign: that is a
//! rollback, and the version is current again. One that starts with an old version begins none. A version that nobody
//! was seen to run for five minutes is older than any that runs.

use std::collections::BTreeMap;
use std::fmt;

use crate::Millis;
use crate::placement::MAX_CLOCK_LEAD_MS;

/// A version that nobody ran for so long is over, in milliseconds. Guards against placements of a version that was taken
/// back by restarts, and that nobody's rules would judge.
const IDLE_TIMEOUT_MS: Millis = 300_000;
/// Versions remembered at most; those that ran longest ago give way.
const MAX_VERSIONS: usize = 256;

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
    pub term: u32,
    /// The operator's serial number; 0 if none is given.
    pub serial: u64,
    /// When it became current, by the first to see it.
    pub adopted_at: Millis,
    /// When somebody was last seen to run it.
    pub last_run_at: Millis,
}

impl VersionFact {
    fn rank(&self, now: Millis) -> impl Ord {
        let is_running = now <= self.last_run_at.saturating_add(IDLE_TIMEOUT_MS);
        (
            is_running,
            self.term,
            self.serial,
            self.adopted_at,
            self.version,
        )
    }

    /// The later reign, and its first sight; the highest serial number and the last run.
    fn merge(&mut self, other: &VersionFact) {
        if other.term > self.term {
            (self.term, self.adopted_at) = (other.term, other.adopted_at);
        } else if other.term == self.term {
            self.adopted_at = self.adopted_at.min(other.adopted_at);
        }
        self.serial = self.serial.max(other.serial);
        self.last_run_at = self.last_run_at.max(other.last_run_at);
    }
}

/// What a change of version is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdoptOutcome {
    /// None: it was current.
    Same,
    /// To a newer one, or a start with the newest known.
    Newer,
    /// A start with an older one than is known.
    Older,
    /// Back to an older one, which is the newest from now on.
    Rollback,
}

impl fmt::Display for AdoptOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            AdoptOutcome::Same => "the same as before",
            AdoptOutcome::Newer => "the newest known",
            AdoptOutcome::Older => "older than one that is known",
            AdoptOutcome::Rollback => "a version from before, the newest from now on",
        })
    }
}

/// The versions that a process knows of.
#[derive(Clone, Debug, Default)]
pub struct Versions {
    facts_by_version: BTreeMap<Version, VersionFact>,
    current: Option<Version>,
    /// Nobody else has told of the current one: it is new, or it is too early to know.
    is_current_unconfirmed: bool,
}

impl Versions {
    /// The version that this process runs.
    pub fn current(&self) -> Option<Version> {
        self.current
    }

    /// All facts, to be told to peers and kept.
    pub fn facts(&self) -> impl Iterator<Item = &VersionFact> {
        self.facts_by_version.values()
    }

    /// This process runs another version from now on, with the operator's serial number or 0.
    pub fn adopt(&mut self, version: Version, serial: u64, now: Millis) -> AdoptOutcome {
        let before = self.current.replace(version);
        let term = self.max_term();
        let adopted_at = before
            .and_then(|before| self.facts_by_version.get(&before))
            .map_or(now, |old| now.max(old.adopted_at + 1));
        self.is_current_unconfirmed = !self.facts_by_version.contains_key(&version)
            || before == Some(version) && self.is_current_unconfirmed;
        let new_fact = VersionFact {
            version,
            term,
            serial,
            adopted_at,
            last_run_at: now,
        };
        let fact = self.facts_by_version.entry(version).or_insert(new_fact);
        fact.serial = fact.serial.max(serial);
        fact.last_run_at = fact.last_run_at.max(now);
        let adopted = match before {
            Some(before) if before == version => AdoptOutcome::Same,
            Some(before) if !self.is_newer(version, before, now) => {
                if let Some(fact) = self.facts_by_version.get_mut(&version) {
                    (fact.term, fact.adopted_at) = (term + 1, now);
                }
                AdoptOutcome::Rollback
            }
            None if self
                .facts_by_version
                .keys()
                .any(|other| self.is_newer(*other, version, now)) =>
            {
                AdoptOutcome::Older
            }
            _ => AdoptOutcome::Newer,
        };
        self.prune();
        adopted
    }

    /// This process still runs its version.
    pub fn refresh_current_version(&mut self, now: Millis) -> Option<VersionFact> {
        let fact = self.facts_by_version.get_mut(&self.current?)?;
        fact.last_run_at = fact.last_run_at.max(now);
        Some(*fact)
    }

    /// What a peer tells of a version; whether it was news. What is dated far ahead is not believed.
    pub fn merge(&mut self, received: &VersionFact, now: Millis) -> bool {
        if received.adopted_at.max(received.last_run_at) > now.saturating_add(MAX_CLOCK_LEAD_MS)
            || received.term > self.max_term() + u32::from(u16::MAX)
        {
            return false;
        }
        let is_own = self.current == Some(received.version);
        self.is_current_unconfirmed &= !is_own;
        let fact = self
            .facts_by_version
            .entry(received.version)
            .or_insert(VersionFact {
                last_run_at: 0,
                ..*received
            });
        let before = *fact;
        fact.merge(received);
        let has_changed = before != *fact;
        // A start that had heard of nobody could not know how many rollbacks there were.
        if self.is_current_unconfirmed
            && let Some(own) = self
                .current
                .and_then(|own| self.facts_by_version.get_mut(&own))
        {
            own.term = own.term.max(received.term);
        }
        self.prune();
        has_changed
    }

    /// Whether one version is newer than another. What is not known here is older than what is.
    pub fn is_newer(&self, one: Version, than: Version, now: Millis) -> bool {
        let rank = |version| {
            self.facts_by_version
                .get(&version)
                .map(|fact| fact.rank(now))
        };
        one != than && rank(one) > rank(than)
    }

    /// What is known of a version.
    pub fn get(&self, version: Version) -> Option<&VersionFact> {
        self.facts_by_version.get(&version)
    }

    fn max_term(&self) -> u32 {
        self.facts_by_version
            .values()
            .map(|fact| fact.term)
            .max()
            .unwrap_or(0)
    }

    fn prune(&mut self) {
        while self.facts_by_version.len() > MAX_VERSIONS {
            let others = self
                .facts_by_version
                .values()
                .filter(|fact| Some(fact.version) != self.current);
            let Some(oldest) = others.min_by_key(|fact| (fact.last_run_at, fact.version)) else {
                return;
            };
            let oldest = oldest.version;
            self.facts_by_version.remove(&oldest);
        }
    }
}
