//! The server list and the counts, over the administration API.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use beaconflow_overrides::Effect;
use beaconflow_policy::ServerState;
use serde_json::{Value, json};

use crate::core::{Look, ServerLook};
use crate::fleet::{self, Way};
use crate::front::nats::tenants::Tenants;
use crate::http::Reply;
use crate::overrides::{Keeper, NamedCore, Shown};

pub(super) fn no_answer(front: &str) -> Reply {
    Reply::error(503, format!("the core of {front} does not answer"))
}

fn look((front, core): &NamedCore) -> Result<Look, Reply> {
    core.look().ok_or_else(|| no_answer(front))
}

/// What has been counted, by front.
pub(super) fn counts(cores: &[NamedCore], tenants: Option<&Arc<Tenants>>) -> Result<Reply, Reply> {
    let mut fronts = serde_json::Map::new();
    for core @ (front, _) in cores {
        let look = look(core)?;
        let ends: BTreeMap<&str, u64> = look.counts.ends().collect();
        let counts = &look.counts;
        let row = json!({
            "open": look.open, "standing": look.standing, "opened": counts.opened, "adopted": counts.adopted,
            "served": counts.served, "unavailable": counts.unavailable, "failed": counts.failed,
            "left": counts.left, "moved": counts.moved, "pinned": counts.pinned, "passes": counts.passes,
            "ends": ends,
        });
        fronts.insert((*front).to_owned(), row);
    }
    let mut body = json!({ "fronts": fronts });
    if let Some(tenants) = tenants {
        body["tenants"] = json!(tenants.open());
        body["store_away"] = tenants.store_is_away().into();
    }
    Ok(Reply::new(200, body))
}

/// Every listed server, as it is listed and as the decisions see it, and why the two differ.
pub(super) fn list(
    cores: &[NamedCore],
    keeper: &Keeper,
    fleet: Option<&Way>,
) -> Result<Reply, Reply> {
    let overrides = keeper.list();
    let mut by_server: HashMap<&str, Vec<&Shown>> = HashMap::new();
    for shown in &overrides {
        by_server
            .entry(shown.one.kind.server())
            .or_default()
            .push(shown);
    }
    let (mut servers, mut warnings) = (Vec::new(), Vec::new());
    for core @ (front, _) in cores {
        let look = look(core)?;
        if !look.judgement.is_sound() {
            warnings.push(format!("{}: overrides leave {}", front, look.judgement));
        }
        if look.overrides_lost {
            warnings.push(format!(
                "{front}: a fault in the overrides was met; none hold there until a restart"
            ));
        }
        servers.extend(
            look.farm
                .iter()
                .map(|server| row(front, server, by_server.get(server.name.as_str()))),
        );
    }
    let mut body = json!({ "servers": servers, "warnings": warnings });
    if let Some(fleet) = fleet {
        body["fleet"] = fleet_status(&fleet.look());
    }
    Ok(Reply::new(200, body))
}

/// What this process knows together with the others.
fn fleet_status(status: &fleet::Status) -> Value {
    let (processes, size) = status.processes;
    json!({
        "name": status.name, "site": status.site, "boot": status.boot, "processes": processes, "size": size,
        "recovery": status.recovery, "deferred": status.deferred, "failing": status.failing,
        "uplink": status.uplink, "placements": status.placements, "version": status.version,
        "refused": status.refused, "kept": status.kept,
    })
}

/// A server as it is listed and as the decisions see it.
fn row(front: &str, server: &ServerLook, overrides: Option<&Vec<&Shown>>) -> Value {
    let side = |state: ServerState, weight: f64| json!({ "state": name(state), "weight": weight });
    json!({
        "front": front, "name": server.name, "address": server.address.to_string(), "zone": server.zone,
        "standing": server.standing, "leaving": server.state.1 != ServerState::Ready,
        "listed": side(server.state.0, server.weight.0), "effective": side(server.state.1, server.weight.1),
        "why": why_they_differ(front, server, overrides),
    })
}

/// Why a server is not as it is listed: overrides, the site's own evidence, or what is left of either.
fn why_they_differ(
    front: &str,
    server: &ServerLook,
    overrides: Option<&Vec<&Shown>>,
) -> Vec<String> {
    let holds = |shown: &&Shown| {
        let effect = shown.effects.iter().find(|(at, _)| *at == front);
        effect.is_some_and(|(_, effect)| *effect == Effect::InEffect)
    };
    let words = |shown: &Shown| {
        let (one, left) = (&shown.one, shown.remaining / 1_000);
        format!(
            "override {} ({}, {left} s left): {}",
            one.id,
            one.kind.name(),
            one.why
        )
    };
    let mut why: Vec<String> = overrides
        .into_iter()
        .flatten()
        .copied()
        .filter(holds)
        .map(words)
        .collect();
    if let Some(site) = &server.site {
        let passed = site
            .passed
            .as_ref()
            .map(|why| format!("passed over by this site's evidence: {why}"));
        let rises = || {
            format!(
                "{:.0}% of its weight by this site's evidence",
                site.part * 100.0
            )
        };
        why.extend(passed.or_else(|| (site.part < 1.0).then(rises)));
        why.extend(
            (site.cold_since > 0).then(|| "started anew while the uplink was lost".to_owned()),
        );
    }
    if why.is_empty() && server.state.0 == server.state.1 && server.weight.0 != server.weight.1 {
        why.push("its weight is on its way back after an override".into());
    }
    why
}

fn name(state: ServerState) -> &'static str {
    match state {
        ServerState::Ready => "ready",
        ServerState::OutOfService => "out",
        ServerState::Draining => "draining",
        ServerState::Removed => "gone",
    }
}
