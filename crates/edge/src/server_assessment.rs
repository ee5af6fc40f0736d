//! What each server of the site gets, by the evidence of all of its processes.

use std::collections::BTreeMap;

use crate::Millis;
use crate::health_reports::{FADE, HealthReport, HealthReports, RAMP, ServerHealth};

/// `BUSY` is soon over.
const BUSY: Millis = 5_000;
/// A server's own word that it drains holds until it starts anew, and for so long at most.
const DRAINS: Millis = 600_000;
/// Evidence, in hundredths of one witness, from which on a server is passed over.
const ENOUGH: u64 = 150;
/// Thousandths of the site's weight that may be passed over.
const MOST_PASSED: u64 = 500;
/// Steps in which a server that is well again gets its part back; it begins with the first.
const STEPS: u64 = 10;

/// A server of the site as last listed.
#[derive(Clone, Debug, PartialEq)]
pub struct Known {
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
struct Case<'a> {
    known: &'a Known,
    finding: Option<ServerHealth>,
    points: u64,
    weight_permille: u64,
    slow_start_since: Option<Millis>,
}

/// What each server gets at this moment. All who have the same evidence give the same.
pub fn standings(
    known: &[Known],
    judgements: &HealthReports,
    now: Millis,
    slow_start_ms: Millis,
) -> BTreeMap<String, ServerAssessment> {
    let mut cases: Vec<Case> = known
        .iter()
        .map(|one| case(one, judgements, now, slow_start_ms))
        .collect();
    // The gravest first; by name where there is nothing between two.
    cases.sort_by(|a, b| {
        (b.finding, b.points)
            .cmp(&(a.finding, a.points))
            .then_with(|| a.known.server.cmp(&b.known.server))
    });
    let total: u64 = known.iter().map(|one| one.weight).sum();
    // Guards against a fault of this site's own eyes: a farm that looks all bad is served as if all were good.
    let all = cases.iter().all(|case| case.finding.is_some());
    let mut left = if all { 0 } else { total * MOST_PASSED / 1_000 };
    let standing = |case: Case| {
        let fits = case.known.weight <= left;
        let ejected_for = case.finding.filter(|_| fits);
        if ejected_for.is_some() {
            left -= case.known.weight;
        }
        let weight_permille = if ejected_for.is_some() {
            0
        } else {
            case.weight_permille
        };
        (
            case.known.server.clone(),
            ServerAssessment {
                ejected_for,
                weight_permille,
                slow_start_since: case.slow_start_since,
            },
        )
    };
    cases.into_iter().map(standing).collect()
}

fn case<'a>(
    known: &'a Known,
    judgements: &HealthReports,
    now: Millis,
    slow_start_ms: Millis,
) -> Case<'a> {
    let all: Vec<&HealthReport> = judgements.of(&known.server).collect();
    let life = all
        .iter()
        .map(|one| one.started_ms)
        .max()
        .unwrap_or(0)
        .max(known.started_ms);
    // What was said of an earlier start is void.
    let all: Vec<&HealthReport> = all
        .into_iter()
        .filter(|one| one.started_ms == life)
        .collect();
    let restarted = (life > known.started_ms).then_some(life);
    let slow_start_since = restarted
        .max(returned(&all))
        .filter(|at| now < at.saturating_add(slow_start_ms));
    let (finding, points) = weigh(&all, now);
    Case {
        known,
        finding,
        points,
        weight_permille: risen(&all, now),
        slow_start_since,
    }
}

/// Whether the evidence is enough to pass a server over, and how much there is.
fn weigh(all: &[&HealthReport], now: Millis) -> (Option<ServerHealth>, u64) {
    let ill = || {
        all.iter()
            .filter(|one| one.health != ServerHealth::Well && aged(one, now) > 0)
    };
    let points: u64 = ill().map(|one| aged(one, now)).sum();
    let began = ill().map(|one| one.since_ms).min().unwrap_or(now);
    // Who found the server well after others had begun to find it ill speaks for it; who did before does not.
    let speaks =
        |one: &&&HealthReport| one.health == ServerHealth::Well && one.observed_at_ms > began;
    let well: u64 = all.iter().filter(speaks).map(|one| aged(one, now)).sum();
    if all.iter().any(|one| drains(one, all, now)) {
        return (Some(ServerHealth::Drains), points);
    }
    (
        ill()
            .map(|one| one.health)
            .max()
            .filter(|_| points >= ENOUGH && points > well),
        points,
    )
}

/// Whether the server said that it drains, and nobody has found it well since.
fn drains(one: &HealthReport, all: &[&HealthReport], now: Millis) -> bool {
    let since = |other: &&HealthReport| {
        other.health == ServerHealth::Well && other.since_ms > one.observed_at_ms
    };
    one.health == ServerHealth::Drains
        && now.saturating_sub(one.observed_at_ms) < DRAINS
        && !all.iter().any(since)
}

/// How long evidence of a kind is felt.
fn validity(judged: ServerHealth) -> Millis {
    if judged == ServerHealth::Busy {
        BUSY
    } else {
        FADE
    }
}

/// What is left of a judgement's weight, in hundredths.
fn aged(one: &HealthReport, now: Millis) -> u64 {
    let holds = validity(one.health);
    let left = holds.saturating_sub(now.saturating_sub(one.observed_at_ms));
    u64::from(one.weight) * 100 * left / holds
}

/// What was last held against a server by a process: when, what, and by how much evidence.
fn against(one: &HealthReport) -> Option<(Millis, ServerHealth, u32)> {
    match one.before {
        _ if one.health != ServerHealth::Well => Some((one.observed_at_ms, one.health, one.weight)),
        Some(before) if before.health != ServerHealth::Well => {
            Some((before.until_ms, before.health, before.weight))
        }
        _ => None,
    }
}

/// The last time that a server was found ill by enough evidence of these kinds.
fn last_finding(all: &[&HealthReport], kinds: &[ServerHealth]) -> Option<(Millis, ServerHealth)> {
    let ill = || {
        all.iter()
            .filter_map(|one| against(one))
            .filter(|(_, judged, _)| kinds.contains(judged))
    };
    let (last, judged, _) = ill().max()?;
    let weight: u64 = ill()
        .filter(|(at, ..)| last - at <= FADE)
        .map(|(.., weight)| u64::from(weight) * 100)
        .sum();
    (weight >= ENOUGH).then_some((last, judged))
}

/// The first time that it was found well after that.
fn well_after(all: &[&HealthReport], at: Millis) -> Option<Millis> {
    let well = all
        .iter()
        .filter(|one| one.health == ServerHealth::Well && one.since_ms > at);
    well.map(|one| one.since_ms).min()
}

/// When a server that was not there was there again: it has started anew between.
fn returned(all: &[&HealthReport]) -> Option<Millis> {
    let (at, _) = last_finding(all, &[ServerHealth::Refused, ServerHealth::Gone])?;
    well_after(all, at)
}

/// The part of a server that is not passed over, in thousandths: it rises from the moment that it was found well
/// again, or that the evidence against it has faded. Guards against all of a site turning to it at once.
fn risen(all: &[&HealthReport], now: Millis) -> u64 {
    let kinds = [
        ServerHealth::Busy,
        ServerHealth::Hung,
        ServerHealth::Refused,
        ServerHealth::Drains,
        ServerHealth::Gone,
    ];
    let Some((at, judged)) = last_finding(all, &kinds) else {
        return 1_000;
    };
    let faded = at.saturating_add(validity(judged));
    let began = well_after(all, at).unwrap_or(faded).min(faded);
    let step = now.saturating_sub(began) * STEPS / RAMP + 1;
    step.min(STEPS) * 1_000 / STEPS
}
