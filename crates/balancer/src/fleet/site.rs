//! What the site's processes make of its servers by their own evidence, while discovery's word does not come.
//!
//! The judgement is `beaconflow-edge`'s. Here it meets what the core saw and what the peers tell of theirs.

use std::collections::{BTreeMap, BTreeSet};

use beaconflow_edge::{Judged, Judgement, Judgements, Known, standings};
use beaconflow_policy::AttemptOutcome;
use tracing::info;

use super::Millis;
use crate::core::{Seen, SitePart};
use crate::farm::{Lifecycle, Listed};

/// A server that is well is told of no more often than this. Guards against a word for each connection.
const AGAIN: Millis = 5_000;
/// Evidence that a server is well speaks for it this long.
const WELL: Millis = 30_000;
/// Evidence is kept for so long: a server's own word that it drains holds for as long.
const KEPT: Millis = 600_000;

/// The evidence, and what it comes to.
#[derive(Default)]
pub(super) struct Site {
    judgements: Judgements,
    /// As the core was last told.
    told: BTreeMap<String, SitePart>,
    /// Servers that drained when they were last heard of; they hold whatever the uplink.
    drains: BTreeSet<String>,
    /// Servers at which connections stood here when they were last counted.
    pub(super) standing: BTreeSet<String>,
}

/// What an end of a pass says of its server, if it says anything.
pub(super) fn judged(how: Option<AttemptOutcome>) -> Option<Judged> {
    match how {
        None | Some(AttemptOutcome::Served) => Some(Judged::Well),
        Some(AttemptOutcome::Rejected) => Some(Judged::Busy),
        Some(AttemptOutcome::TimedOut) => Some(Judged::Hung),
        Some(AttemptOutcome::ConnectFailed | AttemptOutcome::Reset) => Some(Judged::Refused),
        Some(AttemptOutcome::ServerError | AttemptOutcome::Cancelled | AttemptOutcome::NotSent) => {
            None
        }
    }
}

impl Site {
    /// This process saw a server to be so; gives what the others are to be told, if that is news.
    pub(super) fn saw(
        &mut self,
        now: Millis,
        me: &str,
        server: &Seen,
        judged: Judged,
    ) -> Option<Judgement> {
        let known = self
            .judgements
            .of(&server.name)
            .find(|one| one.origin == me);
        let is_same = known.is_some_and(|one| {
            one.judged == judged && now.saturating_sub(one.witnessed_ms) < AGAIN
        });
        if is_same && judged == Judged::Well {
            return None;
        }
        Some(
            self.judgements
                .witness(now, me, &server.name, server.started_ms, judged),
        )
    }

    /// Another process of the site saw it.
    pub(super) fn heard(&mut self, one: Judgement) {
        self.judgements.put(one);
    }

    /// Servers whose former drains hold from now on; says whether they are others than before.
    pub(super) fn hold(&mut self, drains: BTreeSet<String>) -> bool {
        let is_news = drains != self.drains;
        self.drains = drains;
        is_news
    }

    /// What the core is to be told, if it is other than before. While the site is `apart` all servers go by its
    /// evidence, and `unproven` says why one that nobody found well lately is passed over, if it is. After that only
    /// those do that went by it before, until they are as listed.
    pub(super) fn parts(
        &mut self,
        now: Millis,
        farm: &BTreeMap<String, Listed>,
        (apart, unproven): (bool, Option<&str>),
        cold_ms: Millis,
    ) -> Option<BTreeMap<String, SitePart>> {
        if !apart && self.told.is_empty() && self.drains.is_empty() {
            return None;
        }
        self.judgements.prune(now.saturating_sub(KEPT));
        let serving = farm
            .values()
            .filter(|one| one.lifecycle == Lifecycle::Serving);
        let known: Vec<Known> = serving.map(known).collect();
        let mut parts = BTreeMap::new();
        for (server, standing) in standings(&known, &self.judgements, now, cold_ms) {
            let drains = self.drains.contains(&server) && self.drains.len() < known.len();
            if !apart && !drains && !self.told.contains_key(&server) {
                continue;
            }
            let unproven = unproven.filter(|_| apart && !self.is_well(&server, now));
            let judged = standing
                .passed
                .filter(|_| apart || self.goes_on(&server))
                .map(words);
            let held = drains.then_some("it drained when it was last heard of");
            let part = SitePart {
                passed: judged.or(held).or(unproven).map(str::to_owned),
                part: standing.part as f64 / 1_000.0,
                cold_since: standing.cold_since.unwrap_or(0),
            };
            if part.passed.is_some() || part.part < 1.0 || part.cold_since > 0 {
                parts.insert(server, part);
            }
        }
        if parts == self.told {
            return None;
        }
        self.say(&parts);
        self.told = parts.clone();
        Some(parts)
    }

    /// It was passed over by evidence, not for a former drain.
    fn goes_on(&self, server: &str) -> bool {
        !self.drains.contains(server) && self.told.contains_key(server)
    }

    fn is_well(&self, server: &str, now: Millis) -> bool {
        let is_well = |one: &Judgement| {
            one.judged == Judged::Well && now.saturating_sub(one.witnessed_ms) <= WELL
        };
        self.standing.contains(server) || self.judgements.of(server).any(is_well)
    }

    fn say(&self, parts: &BTreeMap<String, SitePart>) {
        let passed = |parts: &BTreeMap<String, SitePart>, server: &String| {
            parts.get(server).and_then(|part| part.passed.clone())
        };
        let named: BTreeSet<&String> = self.told.keys().chain(parts.keys()).collect();
        for server in named {
            match (passed(&self.told, server), passed(parts, server)) {
                (before, Some(why)) if before.as_ref() != Some(&why) => {
                    info!(part = "edge", server, why, "passed over");
                }
                (Some(_), None) => info!(part = "edge", server, "passed over no longer"),
                _ => {}
            }
        }
    }
}

fn known(listed: &Listed) -> Known {
    let weight = if listed.weight.is_finite() && listed.weight > 0.0 {
        listed.weight
    } else {
        1.0
    };
    Known {
        server: listed.instance_id.clone(),
        weight: (weight * 1_000.0).min(1e12) as u64,
        started_ms: listed.started_at_ms,
    }
}

/// What a server was found to be, for people.
fn words(judged: Judged) -> &'static str {
    match judged {
        Judged::Well => "it is well",
        Judged::Busy => "it says that it is busy",
        Judged::Hung => "it does not answer",
        Judged::Refused => "it takes no connection",
        Judged::Drains => "it says itself that it drains",
        Judged::Gone => "it is gone",
    }
}

#[cfg(test)]
mod tests;
