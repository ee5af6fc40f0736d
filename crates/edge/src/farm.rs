//! What each server of the site gets, by the evidence of all of its processes.

use std::collections::BTreeMap;

use crate::Millis;
use crate::judge::{FADE, Judged, Judgement, Judgements, RAMP};

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
pub struct Standing {
    /// Why it is passed over, if it is.
    pub passed: Option<Judged>,
    /// Thousandths of its weight that it gets.
    pub part: u64,
    /// When it started anew while nobody could list it: it is cold from then on.
    pub cold_since: Option<Millis>,
}

/// One server's evidence put together.
struct Case<'a> {
    known: &'a Known,
    ill: Option<Judged>,
    points: u64,
    part: u64,
    cold_since: Option<Millis>,
}

/// What each server gets at this moment. All who have the same evidence give the same.
pub fn standings(
    known: &[Known],
    judgements: &Judgements,
    now: Millis,
    cold_ms: Millis,
) -> BTreeMap<String, Standing> {
    let mut cases: Vec<Case> = known
        .iter()
        .map(|one| case(one, judgements, now, cold_ms))
        .collect();
    // The gravest first; by name where there is nothing between two.
    cases.sort_by(|a, b| {
        (b.ill, b.points)
            .cmp(&(a.ill, a.points))
            .then_with(|| a.known.server.cmp(&b.known.server))
    });
    let total: u64 = known.iter().map(|one| one.weight).sum();
    // Guards against a fault of this site's own eyes: a farm that looks all bad is served as if all were good.
    let all = cases.iter().all(|case| case.ill.is_some());
    let mut left = if all { 0 } else { total * MOST_PASSED / 1_000 };
    let standing = |case: Case| {
        let fits = case.known.weight <= left;
        let passed = case.ill.filter(|_| fits);
        if passed.is_some() {
            left -= case.known.weight;
        }
        let part = if passed.is_some() { 0 } else { case.part };
        (
            case.known.server.clone(),
            Standing {
                passed,
                part,
                cold_since: case.cold_since,
            },
        )
    };
    cases.into_iter().map(standing).collect()
}

fn case<'a>(known: &'a Known, judgements: &Judgements, now: Millis, cold_ms: Millis) -> Case<'a> {
    let all: Vec<&Judgement> = judgements.of(&known.server).collect();
    let life = all
        .iter()
        .map(|one| one.started_ms)
        .max()
        .unwrap_or(0)
        .max(known.started_ms);
    // What was said of an earlier start is void.
    let all: Vec<&Judgement> = all
        .into_iter()
        .filter(|one| one.started_ms == life)
        .collect();
    let restarted = (life > known.started_ms).then_some(life);
    let cold_since = restarted
        .max(returned(&all))
        .filter(|at| now < at.saturating_add(cold_ms));
    let (ill, points) = weigh(&all, now);
    Case {
        known,
        ill,
        points,
        part: risen(&all, now),
        cold_since,
    }
}

/// Whether the evidence is enough to pass a server over, and how much there is.
fn weigh(all: &[&Judgement], now: Millis) -> (Option<Judged>, u64) {
    let ill = || {
        all.iter()
            .filter(|one| one.judged != Judged::Well && aged(one, now) > 0)
    };
    let points: u64 = ill().map(|one| aged(one, now)).sum();
    let began = ill().map(|one| one.since_ms).min().unwrap_or(now);
    // Who found the server well after others had begun to find it ill speaks for it; who did before does not.
    let speaks = |one: &&&Judgement| one.judged == Judged::Well && one.witnessed_ms > began;
    let well: u64 = all.iter().filter(speaks).map(|one| aged(one, now)).sum();
    if all.iter().any(|one| drains(one, all, now)) {
        return (Some(Judged::Drains), points);
    }
    (
        ill()
            .map(|one| one.judged)
            .max()
            .filter(|_| points >= ENOUGH && points > well),
        points,
    )
}

/// Whether the server said that it drains, and nobody has found it well since.
fn drains(one: &Judgement, all: &[&Judgement], now: Millis) -> bool {
    let since =
        |other: &&Judgement| other.judged == Judged::Well && other.since_ms > one.witnessed_ms;
    one.judged == Judged::Drains
        && now.saturating_sub(one.witnessed_ms) < DRAINS
        && !all.iter().any(since)
}

/// How long evidence of a kind is felt.
fn holds(judged: Judged) -> Millis {
    if judged == Judged::Busy { BUSY } else { FADE }
}

/// What is left of a judgement's weight, in hundredths.
fn aged(one: &Judgement, now: Millis) -> u64 {
    let holds = holds(one.judged);
    let left = holds.saturating_sub(now.saturating_sub(one.witnessed_ms));
    u64::from(one.weight) * 100 * left / holds
}

/// What was last held against a server by a process: when, what, and by how much evidence.
fn against(one: &Judgement) -> Option<(Millis, Judged, u32)> {
    match one.before {
        _ if one.judged != Judged::Well => Some((one.witnessed_ms, one.judged, one.weight)),
        Some(before) if before.judged != Judged::Well => {
            Some((before.until_ms, before.judged, before.weight))
        }
        _ => None,
    }
}

/// The last time that a server was found ill by enough evidence of these kinds.
fn last_ill(all: &[&Judgement], kinds: &[Judged]) -> Option<(Millis, Judged)> {
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
fn well_after(all: &[&Judgement], at: Millis) -> Option<Millis> {
    let well = all
        .iter()
        .filter(|one| one.judged == Judged::Well && one.since_ms > at);
    well.map(|one| one.since_ms).min()
}

/// When a server that was not there was there again: it has started anew between.
fn returned(all: &[&Judgement]) -> Option<Millis> {
    let (at, _) = last_ill(all, &[Judged::Refused, Judged::Gone])?;
    well_after(all, at)
}

/// The part of a server that is not passed over, in thousandths: it rises from the moment that it was found well
/// again, or that the evidence against it has faded. Guards against all of a site turning to it at once.
fn risen(all: &[&Judgement], now: Millis) -> u64 {
    let kinds = [
        Judged::Busy,
        Judged::Hung,
        Judged::Refused,
        Judged::Drains,
        Judged::Gone,
    ];
    let Some((at, judged)) = last_ill(all, &kinds) else {
        return 1_000;
    };
    let faded = at.saturating_add(holds(judged));
    let began = well_after(all, at).unwrap_or(faded).min(faded);
    let step = now.saturating_sub(began) * STEPS / RAMP + 1;
    step.min(STEPS) * 1_000 / STEPS
}
