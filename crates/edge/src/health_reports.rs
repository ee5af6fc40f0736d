//! What the processes of a site make of its servers, put together.
//!
//! Of each process and server the latest judgement counts, and of two at one moment the graver. Merging is so
//! commutative, associative and idempotent: all who heard the same know the same, in whatever order it came.

use std::collections::BTreeMap;

use crate::Millis;

/// Most processes whose judgement of one server is kept; the latest are.
const MAX_ORIGINS: usize = 64;
/// Most servers; the first by name are kept. Guards against names without end.
const MAX_SERVERS: usize = 4_096;
/// The weight of one process's evidence at most.
const MAX_WEIGHT: u32 = 4;
/// Evidence fades to nothing over this span.
pub(crate) const EVIDENCE_VALID_MS: Millis = 30_000;
/// Who is well again gets its part back over this span.
pub(crate) const RAMP_MS: Millis = 10_000;

/// What a server was found to be; the graver last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ServerHealth {
    /// It took a new connection.
    Healthy,
    /// It said `BUSY`.
    Busy,
    /// It did not answer.
    Unresponsive,
    /// It refused a connection.
    Refused,
    /// It said that it drains (`MOVE`).
    Draining,
    /// It is gone.
    Gone,
}

/// What a process found before its present judgement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PreviousFinding {
    /// When it was last witnessed.
    pub until_ms: Millis,
    /// What it was.
    pub health: ServerHealth,
    /// How much evidence there was.
    pub weight: u32,
}

/// One process's judgement of one server.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct HealthReport {
    /// When it was last witnessed.
    pub observed_at_ms: Millis,
    /// What the server was found to be.
    pub health: ServerHealth,
    /// How much evidence there is.
    pub weight: u32,
    /// Since when it has been found so without a break.
    pub since_ms: Millis,
    /// What it was found to be before, where that was not well.
    pub previous: Option<PreviousFinding>,
    /// When the server started, as far as was known; what is said of an earlier start is void.
    pub started_ms: Millis,
    /// The server's name in the list.
    pub server: String,
    /// The process that witnessed it.
    pub origin: String,
}

/// The judgements of all processes of a site.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HealthReports {
    by_server: BTreeMap<String, BTreeMap<String, HealthReport>>,
}

impl HealthReports {
    /// None.
    pub fn new() -> HealthReports {
        HealthReports::default()
    }

    /// This process has found a server, of this start, to be something; gives what others are to be told.
    pub fn observe(
        &mut self,
        now: Millis,
        origin: &str,
        server: &str,
        started_ms: Millis,
        health: ServerHealth,
    ) -> HealthReport {
        let previous_report = self
            .by_server
            .get(server)
            .and_then(|origins| origins.get(origin));
        let previous_report =
            previous_report.filter(|previous_report| previous_report.started_ms == started_ms);
        // A judgement is felt for as long as its end is.
        let previous_report = previous_report.filter(|previous_report| {
            now.saturating_sub(previous_report.observed_at_ms) <= EVIDENCE_VALID_MS + RAMP_MS
        });
        let (mut since_ms, mut weight, mut previous) = (now, 1, None);
        match previous_report {
            Some(previous_report) if previous_report.health == health => {
                let is_unexpired =
                    now.saturating_sub(previous_report.observed_at_ms) <= EVIDENCE_VALID_MS;
                let carried_weight = if is_unexpired {
                    previous_report.weight
                } else {
                    0
                };
                weight = carried_weight.saturating_add(1).min(MAX_WEIGHT);
                (since_ms, previous) = (previous_report.since_ms, previous_report.previous);
            }
            Some(previous_report) if previous_report.health != ServerHealth::Healthy => {
                let (until_ms, health, weight) = (
                    previous_report.observed_at_ms,
                    previous_report.health,
                    previous_report.weight,
                );
                previous = Some(PreviousFinding {
                    until_ms,
                    health,
                    weight,
                });
            }
            _ => {}
        }
        let (server, origin) = (server.to_owned(), origin.to_owned());
        let report = HealthReport {
            observed_at_ms: now,
            health,
            weight,
            since_ms,
            previous,
            started_ms,
            server,
            origin,
        };
        self.insert(report.clone());
        report
    }

    /// Takes a judgement in; gives whether it said anything new.
    pub fn insert(&mut self, report: HealthReport) -> bool {
        let origins = self.by_server.entry(report.server.clone()).or_default();
        match origins.get(&report.origin) {
            Some(previous_report) if *previous_report >= report => return false,
            _ => {}
        }
        let (server, origin) = (report.server.clone(), report.origin.clone());
        origins.insert(origin.clone(), report);
        if origins.len() > MAX_ORIGINS {
            let oldest = origins.values().min().map(|report| report.origin.clone());
            oldest.map(|oldest| origins.remove(&oldest));
        }
        if self.by_server.len() > MAX_SERVERS {
            self.by_server.pop_last();
        }
        self.by_server
            .get(&server)
            .is_some_and(|origins| origins.contains_key(&origin))
    }

    /// Takes in all that another process knows.
    pub fn merge(&mut self, other: &HealthReports) {
        for report in other.iter() {
            self.insert(report.clone());
        }
    }

    /// All of them, in order.
    pub fn iter(&self) -> impl Iterator<Item = &HealthReport> {
        self.by_server.values().flat_map(BTreeMap::values)
    }

    /// Those of a server.
    pub fn for_server(&self, server: &str) -> impl Iterator<Item = &HealthReport> {
        self.by_server
            .get(server)
            .into_iter()
            .flat_map(BTreeMap::values)
    }

    /// Forgets what says nothing any more: all that was last witnessed before.
    pub fn prune(&mut self, min_observed_at: Millis) {
        for origins in self.by_server.values_mut() {
            origins.retain(|_, report| report.observed_at_ms >= min_observed_at);
        }
        self.by_server.retain(|_, origins| !origins.is_empty());
    }
}
