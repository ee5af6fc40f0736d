//! Assessment of each server of the site by the evidence of all its processes.

use std::collections::BTreeMap;

use crate::Millis;
use crate::health_reports::{
    EVIDENCE_VALID_MS, HealthReport, HealthReports, RAMP_MS, ServerHealth,
};

/// A `BUSY` answer is short-lived evidence.
const BUSY_VALID_MS: Millis = 5_000;
/// A server's announcement of its drain applies until it restarts, and for this long at most.
const DRAIN_NOTICE_VALID_MS: Millis = 600_000;
/// Weight of evidence, in hundredths of one report, from which on a server is ejected.
const EJECTION_THRESHOLD: u64 = 150;
/// Thousandths of the total weight of the site that may be ejected.
const MAX_EJECTED_PERMILLE: u64 = 500;
/// Steps in which a recovered server gets its weight back; it starts with the first.
const RAMP_STEPS: u64 = 10;

/// A server of the site as last listed.
#[derive(Clone, Debug, PartialEq)]
pub struct AssessedServer {
    /// Name of the server.
    pub server: String,
    /// Weight in thousandths.
    pub weight: u64,
    /// Start time in the list; 0 if long ago.
    pub started_ms: Millis,
}

/// Assessment of a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerAssessment {
    /// Finding for which it is ejected, if it is.
    pub ejected_for: Option<ServerHealth>,
    /// Thousandths of its weight that it gets.
    pub weight_permille: u64,
    /// Start time from which it is in slow start, if it restarted while no list could report it.
    pub slow_start_since: Option<Millis>,
}

/// Combined evidence on one server.
struct EvidenceSummary<'a> {
    server: &'a AssessedServer,
    finding: Option<ServerHealth>,
    negative_weight: u64,
    weight_permille: u64,
    slow_start_since: Option<Millis>,
}

/// Assesses each server at `now`. The same evidence gives the same result at all processes.
pub fn assess_servers(
    servers: &[AssessedServer],
    reports: &HealthReports,
    now: Millis,
    slow_start_ms: Millis,
) -> BTreeMap<String, ServerAssessment> {
    let mut summaries: Vec<EvidenceSummary> = servers
        .iter()
        .map(|server| summarize(server, reports, now, slow_start_ms))
        .collect();
    // Most severe findings first; ties are broken by name.
    summaries.sort_by(|a, b| {
        (b.finding, b.negative_weight)
            .cmp(&(a.finding, a.negative_weight))
            .then_with(|| a.server.server.cmp(&b.server.server))
    });
    let total: u64 = servers.iter().map(|server| server.weight).sum();
    // If all servers look unhealthy, this site's own view is probably at fault, so none is ejected.
    let all_suspect = summaries.iter().all(|summary| summary.finding.is_some());
    let mut ejectable_weight = if all_suspect {
        0
    } else {
        total * MAX_EJECTED_PERMILLE / 1_000
    };
    let assess = |summary: EvidenceSummary| {
        let may_eject = summary.server.weight <= ejectable_weight;
        let ejected_for = summary.finding.filter(|_| may_eject);
        if ejected_for.is_some() {
            ejectable_weight -= summary.server.weight;
        }
        let weight_permille = if ejected_for.is_some() {
            0
        } else {
            summary.weight_permille
        };
        (
            summary.server.server.clone(),
            ServerAssessment {
                ejected_for,
                weight_permille,
                slow_start_since: summary.slow_start_since,
            },
        )
    };
    summaries.into_iter().map(assess).collect()
}

fn summarize<'a>(
    server: &'a AssessedServer,
    reports: &HealthReports,
    now: Millis,
    slow_start_ms: Millis,
) -> EvidenceSummary<'a> {
    let all: Vec<&HealthReport> = reports.for_server(&server.server).collect();
    let latest_start = all
        .iter()
        .map(|report| report.started_ms)
        .max()
        .unwrap_or(0)
        .max(server.started_ms);
    // Reports on an earlier start are void.
    let reports_of_start: Vec<&HealthReport> = all
        .into_iter()
        .filter(|report| report.started_ms == latest_start)
        .collect();
    let listed_restart = (latest_start > server.started_ms).then_some(latest_start);
    let slow_start_since = listed_restart
        .max(reappeared_at(&reports_of_start))
        .filter(|at| now < at.saturating_add(slow_start_ms));
    let (finding, negative_weight) = weigh_evidence(&reports_of_start, now);
    EvidenceSummary {
        server,
        finding,
        negative_weight,
        weight_permille: ramp_permille(&reports_of_start, now),
        slow_start_since,
    }
}

/// The finding for which to eject the server, if the evidence is enough, and the weight of the
/// evidence.
fn weigh_evidence(all: &[&HealthReport], now: Millis) -> (Option<ServerHealth>, u64) {
    let negative = || {
        all.iter().filter(|report| {
            report.health != ServerHealth::Healthy && remaining_weight(report, now) > 0
        })
    };
    let negative_weight: u64 = negative().map(|report| remaining_weight(report, now)).sum();
    let first_negative_at = negative()
        .map(|report| report.since_ms)
        .min()
        .unwrap_or(now);
    // A report of health counts against the finding only if it was observed after others began to
    // report the fault.
    let counts = |report: &&&HealthReport| {
        report.health == ServerHealth::Healthy && report.observed_at_ms > first_negative_at
    };
    let healthy_weight: u64 = all
        .iter()
        .filter(counts)
        .map(|report| remaining_weight(report, now))
        .sum();
    if all.iter().any(|report| is_draining(report, all, now)) {
        return (Some(ServerHealth::Draining), negative_weight);
    }
    (
        negative()
            .map(|report| report.health)
            .max()
            .filter(|_| negative_weight >= EJECTION_THRESHOLD && negative_weight > healthy_weight),
        negative_weight,
    )
}

/// Whether the server announced its drain and no process has found it healthy since.
fn is_draining(report: &HealthReport, all: &[&HealthReport], now: Millis) -> bool {
    let has_recovered = |other: &&HealthReport| {
        other.health == ServerHealth::Healthy && other.since_ms > report.observed_at_ms
    };
    report.health == ServerHealth::Draining
        && now.saturating_sub(report.observed_at_ms) < DRAIN_NOTICE_VALID_MS
        && !all.iter().any(has_recovered)
}

/// How long evidence of this kind counts.
fn validity_ms(health: ServerHealth) -> Millis {
    if health == ServerHealth::Busy {
        BUSY_VALID_MS
    } else {
        EVIDENCE_VALID_MS
    }
}

/// Remaining weight of a report, in hundredths.
fn remaining_weight(report: &HealthReport, now: Millis) -> u64 {
    let valid_ms = validity_ms(report.health);
    let remaining_ms = valid_ms.saturating_sub(now.saturating_sub(report.observed_at_ms));
    u64::from(report.weight) * 100 * remaining_ms / valid_ms
}

/// The last fault that a process observed: its time, kind and weight.
fn last_negative(report: &HealthReport) -> Option<(Millis, ServerHealth, u32)> {
    match report.previous {
        _ if report.health != ServerHealth::Healthy => {
            Some((report.observed_at_ms, report.health, report.weight))
        }
        Some(previous) if previous.health != ServerHealth::Healthy => {
            Some((previous.until_ms, previous.health, previous.weight))
        }
        _ => None,
    }
}

/// The last time at which enough evidence showed a fault of these kinds.
fn last_finding(all: &[&HealthReport], kinds: &[ServerHealth]) -> Option<(Millis, ServerHealth)> {
    let negative = || {
        all.iter()
            .filter_map(|report| last_negative(report))
            .filter(|(_, health, _)| kinds.contains(health))
    };
    let (last, health, _) = negative().max()?;
    let weight: u64 = negative()
        .filter(|(at, ..)| last - at <= EVIDENCE_VALID_MS)
        .map(|(.., weight)| u64::from(weight) * 100)
        .sum();
    (weight >= EJECTION_THRESHOLD).then_some((last, health))
}

/// The first time after `at` at which the server was found healthy.
fn recovered_at(all: &[&HealthReport], at: Millis) -> Option<Millis> {
    let healthy = all
        .iter()
        .filter(|report| report.health == ServerHealth::Healthy && report.since_ms > at);
    healthy.map(|report| report.since_ms).min()
}

/// When an unreachable server became reachable again, which means that it restarted in between.
fn reappeared_at(all: &[&HealthReport]) -> Option<Millis> {
    let (at, _) = last_finding(all, &[ServerHealth::Refused, ServerHealth::Removed])?;
    recovered_at(all, at)
}

/// Thousandths of its weight that a server gets when it is not ejected. They rise from the time at
/// which it was found healthy again, or at which the evidence against it expired, so that not all
/// processes of the site send to it at once.
fn ramp_permille(all: &[&HealthReport], now: Millis) -> u64 {
    let kinds = [
        ServerHealth::Busy,
        ServerHealth::Unresponsive,
        ServerHealth::Refused,
        ServerHealth::Draining,
        ServerHealth::Removed,
    ];
    let Some((at, health)) = last_finding(all, &kinds) else {
        return 1_000;
    };
    let expires_at = at.saturating_add(validity_ms(health));
    let ramp_start = recovered_at(all, at).unwrap_or(expires_at).min(expires_at);
    let steps_done = now.saturating_sub(ramp_start) * RAMP_STEPS / RAMP_MS + 1;
    steps_done.min(RAMP_STEPS) * 1_000 / RAMP_STEPS
}
