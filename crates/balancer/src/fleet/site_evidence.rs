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
/// Evidence is kept for this long; so is a server's own notice of its drain.
const EVIDENCE_RETENTION_MS: Millis = 600_000;

/// The site's evidence and assessments.
#[derive(Default)]
pub(super) struct SiteEvidence {
    judgements: HealthReports,
    /// Assessments last sent to the core.
    published: BTreeMap<String, SiteAssessment>,
    /// Servers whose former drains are held, whatever the uplink.
    retained_drains: BTreeSet<String>,
    /// Servers with established connections here.
    pub(super) servers_in_use: BTreeSet<String>,
}

/// What the end of an attempt says about its server, if anything.
pub(super) fn health_from_outcome(how: Option<AttemptOutcome>) -> Option<ServerHealth> {
    match how {
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
    /// Records own evidence; returns what to publish, if it is news.
    pub(super) fn record_own(
        &mut self,
        now: Millis,
        me: &str,
        server: &ServerIdentity,
        server_health: ServerHealth,
    ) -> Option<HealthReport> {
        let known = self
            .judgements
            .for_server(&server.name)
            .find(|one| one.origin == me);
        let is_same = known.is_some_and(|one| {
            one.health == server_health
                && now.saturating_sub(one.observed_at_ms) < HEALTHY_REPORT_INTERVAL_MS
        });
        if is_same && server_health == ServerHealth::Healthy {
            return None;
        }
        Some(
            self.judgements
                .observe(now, me, &server.name, server.started_at_ms, server_health),
        )
    }

    /// Records a peer's evidence.
    pub(super) fn record_peer(&mut self, one: HealthReport) {
        self.judgements.insert(one);
    }

    /// Replaces the servers whose former drains are held; returns whether they changed.
    pub(super) fn set_retained_drains(&mut self, drains: BTreeSet<String>) -> bool {
        let is_news = drains != self.retained_drains;
        self.retained_drains = drains;
        is_news
    }

    /// The assessments for the core, if they changed. While the site is isolated all servers are
    /// assessed, and `unproven` is the reason to skip one without recent evidence of health.
    /// Afterwards only servers assessed before are, until they match the list.
    pub(super) fn assess(
        &mut self,
        now: Millis,
        endpoints: &BTreeMap<String, ListedServer>,
        (apart, unproven): (bool, Option<&str>),
        slow_start_ms: Millis,
    ) -> Option<BTreeMap<String, SiteAssessment>> {
        if !apart && self.published.is_empty() && self.retained_drains.is_empty() {
            return None;
        }
        self.judgements
            .prune(now.saturating_sub(EVIDENCE_RETENTION_MS));
        let serving = endpoints
            .values()
            .filter(|one| one.lifecycle == ServerLifecycle::Serving);
        let known: Vec<AssessedServer> = serving.map(known).collect();
        let mut parts = BTreeMap::new();
        for (server, standing) in assess_servers(&known, &self.judgements, now, slow_start_ms) {
            let drains =
                self.retained_drains.contains(&server) && self.retained_drains.len() < known.len();
            if !apart && !drains && !self.published.contains_key(&server) {
                continue;
            }
            let unproven = unproven.filter(|_| apart && !self.is_healthy(&server, now));
            let judged = standing
                .ejected_for
                .filter(|_| apart || self.is_still_skipped(&server))
                .map(describe);
            let held = drains.then_some("it drained when it was last heard of");
            let part = SiteAssessment {
                skip_reason: judged.or(held).or(unproven).map(str::to_owned),
                weight_factor: standing.weight_permille as f64 / 1_000.0,
                restarted_at: standing.slow_start_since.unwrap_or(0),
            };
            if part.skip_reason.is_some() || part.weight_factor < 1.0 || part.restarted_at > 0 {
                parts.insert(server, part);
            }
        }
        if parts == self.published {
            return None;
        }
        self.log_changes(&parts);
        self.published = parts.clone();
        Some(parts)
    }

    /// Whether a server is still skipped by evidence, and not for a former drain.
    fn is_still_skipped(&self, server: &str) -> bool {
        !self.retained_drains.contains(server) && self.published.contains_key(server)
    }

    fn is_healthy(&self, server: &str, now: Millis) -> bool {
        let is_well = |one: &HealthReport| {
            one.health == ServerHealth::Healthy
                && now.saturating_sub(one.observed_at_ms) <= HEALTHY_EVIDENCE_MS
        };
        self.servers_in_use.contains(server) || self.judgements.for_server(server).any(is_well)
    }

    fn log_changes(&self, parts: &BTreeMap<String, SiteAssessment>) {
        let passed = |parts: &BTreeMap<String, SiteAssessment>, server: &String| {
            parts.get(server).and_then(|part| part.skip_reason.clone())
        };
        let named: BTreeSet<&String> = self.published.keys().chain(parts.keys()).collect();
        for server in named {
            match (passed(&self.published, server), passed(parts, server)) {
                (before, Some(why)) if before.as_ref() != Some(&why) => {
                    info!(part = "edge", server, why, "skipped");
                }
                (Some(_), None) => info!(part = "edge", server, "skipped no longer"),
                _ => {}
            }
        }
    }
}

fn known(listed: &ListedServer) -> AssessedServer {
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

/// A server's health in words for people.
fn describe(judged: ServerHealth) -> &'static str {
    match judged {
        ServerHealth::Healthy => "it is well",
        ServerHealth::Busy => "it says that it is busy",
        ServerHealth::Unresponsive => "it does not answer",
        ServerHealth::Refused => "it takes no connection",
        ServerHealth::Draining => "it says itself that it drains",
        ServerHealth::Gone => "it is gone",
    }
}

#[cfg(test)]
mod tests;
