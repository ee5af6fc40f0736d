//! Administration API: the server list and the counters.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use beaconflow_overrides::Effect;
use beaconflow_policy::ServerState;
use serde_json::{Value, json};

use crate::core::{CoreSnapshot, ServerSnapshot};
use crate::fleet::{self, FleetHandle};
use crate::front::nats::tenants::Tenants;
use crate::http::Reply;
use crate::overrides::{NamedCore, OverrideManager, OverrideView};

pub(super) fn no_answer(front: &str) -> Reply {
    Reply::error(503, format!("the core of {front} does not answer"))
}

fn core_snapshot((front, core): &NamedCore) -> Result<CoreSnapshot, Reply> {
    core.snapshot().ok_or_else(|| no_answer(front))
}

/// The counters of each front, and of tenants if there are any.
pub(super) fn counts(cores: &[NamedCore], tenants: Option<&Arc<Tenants>>) -> Result<Reply, Reply> {
    let mut fronts = serde_json::Map::new();
    for core @ (front, _) in cores {
        let snapshot = core_snapshot(core)?;
        let ends: BTreeMap<&str, u64> = snapshot.counts.outcomes_by_name().collect();
        let counts = &snapshot.counts;
        let row = json!({
            "open": snapshot.open_requests, "standing": snapshot.established, "opened": counts.opened, "adopted": counts.adopted,
            "served": counts.served, "unavailable": counts.rejected, "failed": counts.failed,
            "left": counts.left, "moved": counts.migrated, "pinned": counts.pinned, "passes": counts.attempts,
            "ends": ends,
        });
        fronts.insert((*front).to_owned(), row);
    }
    let mut body = json!({ "fronts": fronts });
    if let Some(tenants) = tenants {
        body["tenants"] = json!(tenants.open_connections());
        body["store_away"] = tenants.is_store_unavailable().into();
    }
    Ok(Reply::new(200, body))
}

/// All servers with their listed and their effective state, and why the two differ.
pub(super) fn list(
    cores: &[NamedCore],
    override_manager: &OverrideManager,
    fleet: Option<&FleetHandle>,
) -> Result<Reply, Reply> {
    let overrides = override_manager.list();
    let mut by_server: HashMap<&str, Vec<&OverrideView>> = HashMap::new();
    for view in &overrides {
        by_server
            .entry(view.record.kind.server())
            .or_default()
            .push(view);
    }
    let (mut servers, mut warnings) = (Vec::new(), Vec::new());
    for core @ (front, _) in cores {
        let snapshot = core_snapshot(core)?;
        if !snapshot.coverage.is_empty() {
            warnings.push(format!("{}: overrides leave {}", front, snapshot.coverage));
        }
        if snapshot.has_lost_overrides {
            warnings.push(format!(
                "{front}: an internal error disabled all overrides until a restart"
            ));
        }
        servers.extend(
            snapshot
                .servers
                .iter()
                .map(|server| server_json(front, server, by_server.get(server.name.as_str()))),
        );
    }
    let mut body = json!({ "servers": servers, "warnings": warnings });
    if let Some(fleet) = fleet {
        body["fleet"] = fleet_status(&fleet.status_snapshot());
    }
    Ok(Reply::new(200, body))
}

/// The fleet as this process sees it.
fn fleet_status(status: &fleet::FleetStatus) -> Value {
    let (processes, size) = status.processes;
    json!({
        "name": status.name, "site": status.site, "boot": status.incarnation, "processes": processes, "size": size,
        "recovery": status.recovery, "deferred": status.deferred, "failing": status.failing_clients,
        "uplink": status.uplink, "placements": status.placements, "version": status.version,
        "refused": status.refused_datagrams, "kept": status.is_persistent,
    })
}

/// A server with its listed and its effective state.
fn server_json(
    front: &str,
    server: &ServerSnapshot,
    overrides: Option<&Vec<&OverrideView>>,
) -> Value {
    let state_and_weight =
        |state: ServerState, weight: f64| json!({ "state": state_name(state), "weight": weight });
    json!({
        "front": front, "name": server.name, "address": server.address.to_string(), "zone": server.zone,
        "standing": server.established, "leaving": server.state.1 != ServerState::Ready,
        "listed": state_and_weight(server.state.0, server.weight.0), "effective": state_and_weight(server.state.1, server.weight.1),
        "why": difference_reasons(front, server, overrides),
    })
}

/// Reasons why a server's effective state differs from the listed one: overrides, the site's
/// evidence, or the ramp after one of them.
fn difference_reasons(
    front: &str,
    server: &ServerSnapshot,
    overrides: Option<&Vec<&OverrideView>>,
) -> Vec<String> {
    let is_in_effect = |view: &&OverrideView| {
        let effect = view.effects.iter().find(|(at, _)| *at == front);
        effect.is_some_and(|(_, effect)| *effect == Effect::InEffect)
    };
    let describe = |view: &OverrideView| {
        let (record, remaining_s) = (&view.record, view.remaining_ms / 1_000);
        format!(
            "override {} ({}, {remaining_s} s left): {}",
            record.id,
            record.kind.name(),
            record.why
        )
    };
    let mut reasons: Vec<String> = overrides
        .into_iter()
        .flatten()
        .copied()
        .filter(is_in_effect)
        .map(describe)
        .collect();
    if let Some(site) = &server.assessment {
        let skipped = site
            .skip_reason
            .as_ref()
            .map(|why| format!("skipped based on this site's evidence: {why}"));
        let reduced = || {
            format!(
                "{:.0}% of its weight based on this site's evidence",
                site.weight_factor * 100.0
            )
        };
        reasons.extend(skipped.or_else(|| (site.weight_factor < 1.0).then(reduced)));
        reasons.extend(
            (site.restarted_at > 0).then(|| "restarted while the uplink was lost".to_owned()),
        );
    }
    if reasons.is_empty() && server.state.0 == server.state.1 && server.weight.0 != server.weight.1
    {
        reasons.push("its weight is ramping up after an override".into());
    }
    reasons
}

fn state_name(state: ServerState) -> &'static str {
    match state {
        ServerState::Ready => "ready",
        ServerState::OutOfService => "out",
        ServerState::Draining => "draining",
        ServerState::Removed => "gone",
    }
}
