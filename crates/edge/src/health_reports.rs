//! Reports of a site's processes on the health of its servers, merged.
//!
//! The latest report of each process on each server counts; of two with the same time, the one with
//! the more severe finding. This makes merging commutative, associative and idempotent: processes
//! that received the same reports hold the same data, whatever the order of arrival.

use std::collections::BTreeMap;

use crate::Millis;

/// Maximum number of processes whose reports on one server are kept; the latest reports are kept.
const MAX_ORIGINS: usize = 64;
/// Maximum number of servers; the first by name are kept. Bounds memory against an unlimited number
/// of names.
const MAX_SERVERS: usize = 4_096;
/// Maximum weight of one process's report.
const MAX_WEIGHT: u32 = 4;
/// Evidence loses its weight linearly over this span.
pub(crate) const EVIDENCE_VALID_MS: Millis = 30_000;
/// A recovered server gets its weight back over this span.
pub(crate) const RAMP_MS: Millis = 10_000;

/// Observed health of a server, in ascending order of severity.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ServerHealth {
    /// The server accepted a new connection.
    Healthy,
    /// The server answered `BUSY`.
    Busy,
    /// The server did not answer.
    Unresponsive,
    /// The server refused a connection.
    Refused,
    /// The server announced that it is draining (`MOVE`).
    Draining,
    /// The server is gone.
    Removed,
}

/// Finding of a process before its present one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PreviousFinding {
    /// When it was last observed.
    pub until_ms: Millis,
    /// Health that was observed.
    pub health: ServerHealth,
    /// Weight of the evidence.
    pub weight: u32,
}

/// One process's report on one server. Reports are ordered by their fields from first to last.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct HealthReport {
    /// When the finding was last observed.
    pub observed_at_ms: Millis,
    /// Observed health of the server.
    pub health: ServerHealth,
    /// Weight of the evidence: the number of observations, up to a limit.
    pub weight: u32,
    /// Start of the uninterrupted series of equal observations.
    pub since_ms: Millis,
    /// Previous finding, unless it was healthy.
    pub previous: Option<PreviousFinding>,
    /// Start time of the server, as far as known. Reports on an earlier start are void.
    pub started_ms: Millis,
    /// Name of the server in the list.
    pub server: String,
    /// Process that made the observation.
    pub origin: String,
}

/// Reports of all processes of a site.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HealthReports {
    by_server: BTreeMap<String, BTreeMap<String, HealthReport>>,
}

impl HealthReports {
    /// Creates an empty set.
    pub fn new() -> HealthReports {
        HealthReports::default()
    }

    /// Records an observation by the process `origin` of a server with the given start time;
    /// returns the report to publish.
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
        // An earlier report has an effect until the weight of the server is fully restored.
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

    /// Inserts a report; returns whether it changed anything.
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

    /// Inserts all reports of another process.
    pub fn merge(&mut self, other: &HealthReports) {
        for report in other.iter() {
            self.insert(report.clone());
        }
    }

    /// All reports, ordered by server and origin.
    pub fn iter(&self) -> impl Iterator<Item = &HealthReport> {
        self.by_server.values().flat_map(BTreeMap::values)
    }

    /// Reports on a server, ordered by origin.
    pub fn for_server(&self, server: &str) -> impl Iterator<Item = &HealthReport> {
        self.by_server
            .get(server)
            .into_iter()
            .flat_map(BTreeMap::values)
    }

    /// Removes reports last observed before `min_observed_at`.
    pub fn prune(&mut self, min_observed_at: Millis) {
        for origins in self.by_server.values_mut() {
            origins.retain(|_, report| report.observed_at_ms >= min_observed_at);
        }
        self.by_server.retain(|_, origins| !origins.is_empty());
    }
}
