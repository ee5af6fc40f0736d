//! What each server of the site gets, by the evidence of all of its processes.

use std::collections::BTreeMap;

use crate::Millis;
use crate::health_reports::{
    EVIDENCE_VALID_MS, HealthReport, HealthReports, RAMP_MS, ServerHealth,
};

/// `BUSY` is soon over.
const BUSY_VALID_MS: Millis = 5_000;
/// A server's own word that it drains holds until it starts anew, and for so long at most.
const DRAIN_NOTICE_VALID_MS: Millis = 600_000;
/// Evidence, in hundredths of one witness, from which on a server is passed over.
const EJECTION_THRESHOLD: u64 = 150;
/// Thousandths of the site's weight that may be passed over.
const MAX_EJECTED_PERMILLE: u64 = 500;
/// Steps in which a server that is well again gets its part back; it begins with the first.
const RAMP_STEPS: u64 = 10;

/// A server of the site as last listed.
#[derive(Clone, Debug, PartialEq)]
pub struct AssessedServer {
    /// Its name.
    pub server: String,
    /// Its weight, in thousandths.
    pub weight: u64,
    /// When it started, as the list has it; 0 for long ago.
    pub started_ms: Millis,
}

/// What a server gets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerAssessment {
    /// Why it is passed over, if it is.
    pub ejected_for: Option<ServerHealth>,
    /// Thousandths of its weight that it gets.
    pub weight_permille: u64,
    /// When it started anew while nobody could list it: it is cold from then on.
    pub slow_start_since: Option<Millis>,
}

/// One server's evidence put together.
struct EvidenceSummary<'a> {
    server: &'a AssessedServer,
    finding: Option<ServerHealth>,
    negative_weight: u64,
    weight_permille: u64,
    slow_start_since: Option<Millis>,
}

/// What each server gets at this moment. All who have the same evidence give the same.
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
    // The gravest first; by name where there is nothing between two.
    summaries.sort_by(|a, b| {
        (b.finding, b.negative_weight)
            .cmp(&(a.finding, a.negative_weight))
            .then_with(|| a.server.server.cmp(&b.server.server))
    });
    let total: u64 = servers.iter().map(|server| server.weight).sum();
    // Guards against a fault of this site's own eyes: a farm that looks all bad is served as if all were good.
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
    // What was said of an earlier start is void.
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

/// Whether the evidence is enough to pass a server over, and how much there is.
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
    // Who found the server well after others had begun to find it ill speaks for it; who did before does not.
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

/// Whether the server said that it drains, and nobody has found it well since.
fn is_draining(report: &HealthReport, all: &[&HealthReport], now: Millis) -> bool {
    let has_recovered = |other: &&HealthReport| {
        other.health == ServerHealth::Healthy && other.since_ms > report.observed_at_ms
    };
    report.health == ServerHealth::Draining
        && now.saturating_sub(report.observed_at_ms) < DRAIN_NOTICE_VALID_MS
        && !all.iter().any(has_recovered)
}

/// How long evidence of a kind is felt.
fn validity_ms(health: ServerHealth) -> Millis {
    if health == ServerHealth::Busy {
        BUSY_VALID_MS
    } else {
        EVIDENCE_VALID_MS
    }
}

/// What is left of a judgement's weight, in hundredths.
fn remaining_weight(report: &HealthReport, now: Millis) -> u64 {
    let valid_ms = validity_ms(report.health);
    let remaining_ms = valid_ms.saturating_sub(now.saturating_sub(report.observed_at_ms));
    u64::from(report.weight) * 100 * remaining_ms / valid_ms
}

/// What was last held against a server by a process: when, what, and by how much evidence.
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

/// The last time that a server was found ill by enough evidence of these kinds.
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

/// The first time that it was found well after that.
fn recovered_at(all: &[&HealthReport], at: Millis) -> Option<Millis> {
    let healthy = all
        .iter()
        .filter(|report| report.health == ServerHealth::Healthy && report.since_ms > at);
    healthy.map(|report| report.since_ms).min()
}

/// When a server that was not there was there again: it has started anew between.
fn reappeared_at(all: &[&HealthReport]) -> Option<Millis> {
    let (at, _) = last_finding(all, &[ServerHealth::Refused, ServerHealth::Gone])?;
    recovered_at(all, at)
}

/// The part of a server that is not passed over, in thousandths: it rises from the moment that it was found well
/// again, or that the evidence against it has faded. Guards against all of a site turning to it at once.
fn ramp_permille(all: &[&HealthReport], now: Millis) -> u64 {
    let kinds = [
        ServerHealth::Busy,
        ServerHealth::Unresponsive,
        ServerHealth::Refused,
        ServerHealth::Draining,
        ServerHealth::Gone,
    ];
    let Some((at, health)) = last_finding(all, &kinds) else {
        return 1_000;
    };
    let expires_at = at.saturating_add(validity_ms(health));
    let ramp_start = recovered_at(all, at).unwrap_or(expires_at).min(expires_at);
    let steps_done = now.saturating_sub(ramp_start) * RAMP_STEPS / RAMP_MS + 1;
    steps_done.min(RAMP_STEPS) * 1_000 / RAMP_STEPS
}
