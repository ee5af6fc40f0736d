//! Versions of the configuration and their order, which all processes agree on.
//!
//! The newer of two versions is the one with the later term, then the higher serial number of the
//! operator, then the later first adoption, then the greater digest. A process that switches to a
//! version older than its own starts a new term: this is a rollback, and the version becomes
//! current again. A process that starts with an old version starts no term. A version that no
//! process was seen to run for five minutes is older than any running one.

use std::collections::BTreeMap;
use std::fmt;

use crate::Millis;
use crate::placement::MAX_CLOCK_LEAD_MS;

/// Time after which a version that no process runs is older than any running one. If an
/// operator reverts a version by restarts, no process runs it any more, but it would stay the newest,
/// and no process would check the placements made under it against its own rules.
const IDLE_TIMEOUT_MS: Millis = 300_000;
/// Maximum number of versions remembered; the least recently run one is dropped first.
const MAX_VERSIONS: usize = 256;

/// A digest of the routing part of a configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Version(pub u128);

impl fmt::Display for Version {
    /// Writes the first eight hexadecimal digits, which tell versions apart in a log.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}", self.0 >> 96)
    }
}

/// What processes publish to each other about a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VersionFact {
    /// The version that the fact is about.
    pub version: Version,
    /// The number of rollbacks before the version became current.
    pub term: u32,
    /// The serial number of the operator; 0 if none is given.
    pub serial: u64,
    /// The time at which the version became current, as first seen by any process.
    pub adopted_at: Millis,
    /// The time at which any process was last seen to run the version.
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

    /// Keeps the later term with its earliest adoption, the higher serial number and the later run.
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

/// How a version that a process switches to compares with the versions that it knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdoptOutcome {
    /// The version was already current.
    Same,
    /// The version is newer than the previous one or, at the start, the newest known.
    Newer,
    /// The process started with a version older than a known one.
    Older,
    /// The version is older than the previous one, and the newest from now on.
    Rollback,
}

impl fmt::Display for AdoptOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            AdoptOutcome::Same => "already the current version",
            AdoptOutcome::Newer => "the newest known version",
            AdoptOutcome::Older => "older than a known version",
            AdoptOutcome::Rollback => "a rollback to an earlier version, which is now the newest",
        })
    }
}

/// The versions that a process knows.
#[derive(Clone, Debug, Default)]
pub struct Versions {
    facts_by_version: BTreeMap<Version, VersionFact>,
    current: Option<Version>,
    /// Whether no other process has reported the current version yet: it is new, or facts of peers
    /// have not arrived.
    is_current_unconfirmed: bool,
}

impl Versions {
    /// The version that this process runs; `None` before the first adoption.
    pub fn current(&self) -> Option<Version> {
        self.current
    }

    /// All facts, to publish to peers and to store.
    pub fn facts(&self) -> impl Iterator<Item = &VersionFact> {
        self.facts_by_version.values()
    }

    /// Switches this process to a version, with the serial number of the operator or 0.
    pub fn adopt(&mut self, version: Version, serial: u64, now: Millis) -> AdoptOutcome {
        let previous = self.current.replace(version);
        let term = self.max_term();
        let adopted_at = previous
            .and_then(|previous| self.facts_by_version.get(&previous))
            .map_or(now, |old| now.max(old.adopted_at + 1));
        self.is_current_unconfirmed = !self.facts_by_version.contains_key(&version)
            || previous == Some(version) && self.is_current_unconfirmed;
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
        let outcome = match previous {
            Some(previous) if previous == version => AdoptOutcome::Same,
            Some(previous) if !self.is_newer(version, previous, now) => {
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
        outcome
    }

    /// Records that this process still runs its version, and returns the fact to publish.
    pub fn refresh_current_version(&mut self, now: Millis) -> Option<VersionFact> {
        let fact = self.facts_by_version.get_mut(&self.current?)?;
        fact.last_run_at = fact.last_run_at.max(now);
        Some(*fact)
    }

    /// Merges a peer's fact about a version; returns whether anything changed. Ignores facts whose
    /// times are too far ahead of `now` or whose term is more than 65,535 above the highest known.
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
        // A process that adopted its version before facts of peers arrived gave it too low a term if
        // there had been rollbacks.
        if self.is_current_unconfirmed
            && let Some(own_fact) = self
                .current
                .and_then(|version| self.facts_by_version.get_mut(&version))
        {
            own_fact.term = own_fact.term.max(received.term);
        }
        self.prune();
        has_changed
    }

    /// Whether `version` is newer than `reference`. An unknown version is older than a known one.
    pub fn is_newer(&self, version: Version, reference: Version, now: Millis) -> bool {
        let rank = |version| {
            self.facts_by_version
                .get(&version)
                .map(|fact| fact.rank(now))
        };
        version != reference && rank(version) > rank(reference)
    }

    /// The known facts about a version.
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
