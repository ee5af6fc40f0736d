//! Assessment of servers by the site's own evidence while discovery is out of reach.
//!
//! The rules are those of `beaconflow-edge`.

use std::collections::{BTreeMap, BTreeSet};

use beaconflow_edge::{AssessedServer, HealthReport, HealthReports, ServerHealth, assess_servers};
use beaconflow_policy::AttemptOutcome;
use tracing::info;

use super::Millis;
use crate::core::{ServerIdentity, SiteAssessment};
use crate::discovery::{ListedServer, ServerLifecycle};

/// A healthy server is reported at most at this interval.
const HEALTHY_REPORT_INTERVAL_MS: Millis = 5_000;
/// Evidence that a server is healthy counts for this long.
const HEALTHY_EVIDENCE_MS: Millis = 30_000;
/// Evidence is kept for this long, including a server's own announcement of its drain.
const EVIDENCE_RETENTION_MS: Millis = 600_000;

/// The site's evidence and assessments.
#[derive(Default)]
pub(super) struct SiteEvidence {
    reports: HealthReports,
    /// Assessments last sent to the core.
    published: BTreeMap<String, SiteAssessment>,
    /// Servers whose former drains are retained, in any state of the uplink.
    retained_drains: BTreeSet<String>,
    /// Servers with established connections here.
    pub(super) servers_in_use: BTreeSet<String>,
}

/// The health of a server as the end of an attempt shows it, if it does.
pub(super) fn health_from_outcome(outcome: Option<AttemptOutcome>) -> Option<ServerHealth> {
    match outcome {
        None | Some(AttemptOutcome::Served) => Some(ServerHealth::Healthy),
        Some(AttemptOutcome::Rejected) => Some(ServerHealth::Busy),
        Some(AttemptOutcome::TimedOut) => Some(ServerHealth::Unresponsive),
        Some(AttemptOutcome::ConnectFailed | AttemptOutcome::Reset) => Some(ServerHealth::Refused),
        Some(AttemptOutcome::ServerError | AttemptOutcome::Cancelled | AttemptOutcome::NotSent) => {
            None
        }
    }
}

impl SiteEvidence {
    /// Records own evidence; returns the report to publish, unless it repeats a recent one.
    pub(super) fn record_own(
        &mut self,
        now: Millis,
        own_name: &str,
        server: &ServerIdentity,
        health: ServerHealth,
    ) -> Option<HealthReport> {
        let known = self
            .reports
            .for_server(&server.name)
            .find(|report| report.origin == own_name);
        let is_repeated = known.is_some_and(|report| {
            report.health == health
                && now.saturating_sub(report.observed_at_ms) < HEALTHY_REPORT_INTERVAL_MS
        });
        if is_repeated && health == ServerHealth::Healthy {
            return None;
        }
        Some(
            self.reports
                .observe(now, own_name, &server.name, server.started_at_ms, health),
        )
    }

    /// Records a peer's evidence.
    pub(super) fn record_peer(&mut self, report: HealthReport) {
        self.reports.insert(report);
    }

    /// Replaces the servers whose former drains are retained; returns whether they changed.
    pub(super) fn set_retained_drains(&mut self, drains: BTreeSet<String>) -> bool {
        let has_changed = drains != self.retained_drains;
        self.retained_drains = drains;
        has_changed
    }

    /// The assessments for the core, if they changed. While the site is isolated all servers are
    /// assessed, and `unproven_reason` is the reason to skip one without recent evidence of health.
    /// Afterwards only servers assessed before are, until they match the list.
    pub(super) fn assess(
        &mut self,
        now: Millis,
        endpoints: &BTreeMap<String, ListedServer>,
        (is_isolated, unproven_reason): (bool, Option<&str>),
        slow_start_ms: Millis,
    ) -> Option<BTreeMap<String, SiteAssessment>> {
        if !is_isolated && self.published.is_empty() && self.retained_drains.is_empty() {
            return None;
        }
        self.reports
            .prune(now.saturating_sub(EVIDENCE_RETENTION_MS));
        let serving = endpoints
            .values()
            .filter(|server| server.lifecycle == ServerLifecycle::Serving);
        let assessed: Vec<AssessedServer> = serving.map(assessed_server).collect();
        let mut assessments = BTreeMap::new();
        for (server, result) in assess_servers(&assessed, &self.reports, now, slow_start_ms) {
            let is_drain_retained = self.retained_drains.contains(&server)
                && self.retained_drains.len() < assessed.len();
            if !is_isolated && !is_drain_retained && !self.published.contains_key(&server) {
                continue;
            }
            let unproven_reason =
                unproven_reason.filter(|_| is_isolated && !self.is_healthy(&server, now));
            let ejection_reason = result
                .ejected_for
                .filter(|_| is_isolated || self.is_still_skipped(&server))
                .map(describe);
            let drain_reason =
                is_drain_retained.then_some("the server was draining when last heard of");
            let assessment = SiteAssessment {
                skip_reason: ejection_reason
                    .or(drain_reason)
                    .or(unproven_reason)
                    .map(str::to_owned),
                weight_factor: result.weight_permille as f64 / 1_000.0,
                restarted_at: result.slow_start_since.unwrap_or(0),
            };
            if assessment.skip_reason.is_some()
                || assessment.weight_factor < 1.0
                || assessment.restarted_at > 0
            {
                assessments.insert(server, assessment);
            }
        }
        if assessments == self.published {
            return None;
        }
        self.log_changes(&assessments);
        self.published = assessments.clone();
        Some(assessments)
    }

    /// Whether a server is still skipped by evidence, and not for a former drain.
    fn is_still_skipped(&self, server: &str) -> bool {
        !self.retained_drains.contains(server) && self.published.contains_key(server)
    }

    fn is_healthy(&self, server: &str, now: Millis) -> bool {
        let is_healthy_report = |report: &HealthReport| {
            report.health == ServerHealth::Healthy
                && now.saturating_sub(report.observed_at_ms) <= HEALTHY_EVIDENCE_MS
        };
        self.servers_in_use.contains(server)
            || self.reports.for_server(server).any(is_healthy_report)
    }

    fn log_changes(&self, assessments: &BTreeMap<String, SiteAssessment>) {
        let skip_reason = |assessments: &BTreeMap<String, SiteAssessment>, server: &String| {
            assessments
                .get(server)
                .and_then(|assessment| assessment.skip_reason.clone())
        };
        let names: BTreeSet<&String> = self.published.keys().chain(assessments.keys()).collect();
        for server in names {
            match (
                skip_reason(&self.published, server),
                skip_reason(assessments, server),
            ) {
                (before, Some(why)) if before.as_ref() != Some(&why) => {
                    info!(part = "edge", server, why, "server skipped");
                }
                (Some(_), None) => info!(part = "edge", server, "server no longer skipped"),
                _ => {}
            }
        }
    }
}

fn assessed_server(listed: &ListedServer) -> AssessedServer {
    let weight = if listed.weight.is_finite() && listed.weight > 0.0 {
        listed.weight
    } else {
        1.0
    };
    AssessedServer {
        server: listed.instance_id.clone(),
        weight: (weight * 1_000.0).min(1e12) as u64,
        started_ms: listed.started_at_ms,
    }
}

/// Description of a server's health for operators.
fn describe(health: ServerHealth) -> &'static str {
    match health {
        ServerHealth::Healthy => "the server is healthy",
        ServerHealth::Busy => "the server reports that it is busy",
        ServerHealth::Unresponsive => "the server does not answer",
        ServerHealth::Refused => "the server refuses connections",
        ServerHealth::Draining => "the server announced that it drains",
        ServerHealth::Removed => "the server is gone",
    }
}

#[cfg(test)]
mod tests;
