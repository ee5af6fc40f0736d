//! Failures of a whole fleet: real processes, servers and discovery, with faults on the links between any two of them.
//!
//! The name of each test says what has to hold. `BEACONFLOW_WITHOUT=affinity` (or `edge`, `memory`, `fleet`) disables a
//! mechanism at all processes; the table in `docs/design/fleet-memory-stories.md` lists the tests that fail then.

mod affinity;
mod combined;
mod edge;
mod power;

use std::collections::BTreeMap;

use beaconflow_fault_injection::{ClientConfig, Fleet, FleetConfig, FleetOptions, Rules};

/// Numbers of all processes of a fleet.
const ALL: [usize; 5] = [0, 1, 2, 3, 4];
const PROGRAM: &str = env!("CARGO_BIN_EXE_beaconflow");

/// Five processes with shared state and six servers, in one site.
fn fleet_config(seed: u64) -> FleetConfig {
    fleet_config_with_sites(seed, &[("north", 5)])
}

/// Like `fleet_config`, with the processes in these sites.
fn fleet_config_with_sites(seed: u64, sites: &[(&str, usize)]) -> FleetConfig {
    let options = FleetOptions::with_sites(sites);
    let options = match std::env::var("BEACONFLOW_WITHOUT") {
        Ok(mechanism) => options.without(&mechanism),
        Err(_) => options,
    };
    let balancers = sites.iter().map(|(_, count)| count).sum();
    FleetConfig {
        options: Some(options),
        balancers,
        ..FleetConfig::new(PROGRAM, seed)
    }
}

/// Clients without a group: only a remembered placement brings them back to their server.
fn clients(count: usize) -> impl Iterator<Item = ClientConfig> {
    (0..count).map(|number| ClientConfig::without_group(&format!("k{number}"), "chat", "acme"))
}

/// Starts a fleet, connects its clients and waits until every process knows all placements; returns each client's server.
fn start_with_clients(
    fleet_config: FleetConfig,
    count: usize,
) -> (Fleet, BTreeMap<String, String>) {
    let mut fleet = Fleet::new(fleet_config);
    fleet.start_all();
    wait_for_all_members(&fleet);
    let clients_started = fleet.record.step("clients connect");
    fleet.start_clients(clients(count));
    let placed = fleet.wait_all_established_since(clients_started);
    wait_for_placements(&fleet, count);
    (fleet, placed)
}

/// Whether the processes share state in this run.
fn shares_state(fleet: &Fleet) -> bool {
    fleet.options().is_some_and(|options| options.fleet)
}

/// Waits until each process sees all others as members.
fn wait_for_all_members(fleet: &Fleet) {
    let count = fleet.balancers.len();
    for number in (0..count).filter(|_| shares_state(fleet)) {
        fleet.wait_for_status(number, "all processes are members", |status| {
            status["processes"] == count
        });
    }
}

/// Waits until each process knows the placements of this many clients.
fn wait_for_placements(fleet: &Fleet, count: usize) {
    wait_for_placements_except(fleet, count, &[]);
}

/// Like `wait_for_placements`, except for processes that do not run.
fn wait_for_placements_except(fleet: &Fleet, count: usize, stopped: &[usize]) {
    let shares_placements = fleet
        .options()
        .is_some_and(|options| options.fleet && options.affinity);
    for number in
        (0..fleet.balancers.len()).filter(|number| shares_placements && !stopped.contains(number))
    {
        fleet.wait_for_status(number, "all placements are known", |status| {
            status["placements"] == count
        });
    }
}

/// Checks that each client is at its previous server, unless an attempt there failed first, as happens on a loaded machine.
/// The panic contains the history of the first displaced client.
fn assert_placements_kept(
    fleet: &Fleet,
    before: &BTreeMap<String, String>,
    after: &BTreeMap<String, String>,
) {
    let is_displaced = |(client, server): &(&String, &String)| {
        after.get(*client) != Some(server) && !fleet.record.has_failed_attempt(client, server)
    };
    let moved: Vec<&String> = before
        .iter()
        .filter(is_displaced)
        .map(|(client, _)| client)
        .collect();
    if let Some(first) = moved.first() {
        panic!(
            "{} of {} clients are at other servers: {moved:?}\n{}",
            moved.len(),
            before.len(),
            fleet.record.client_history(first)
        );
    }
}

/// Kills all processes and takes discovery down; the servers keep running, as on a separate power supply.
fn cut_power(fleet: &mut Fleet) {
    fleet.discovery.go_down();
    fleet.kill(&ALL);
    fleet.wait_until_available(0);
}

/// Checks that all processes serve again and that each client was established at its previous server since a position in
/// the record.
fn assert_all_returned_since(fleet: &Fleet, since: usize, before: &BTreeMap<String, String>) {
    fleet.wait_until_available(ALL.len());
    let after = fleet.wait_all_established_since(since);
    assert_placements_kept(fleet, before, &after);
}

/// Checks at the end of a test that each client is established at its previous server and that no rule was violated.
fn finish_with_placements_kept(fleet: Fleet, before: &BTreeMap<String, String>) {
    let after = fleet.wait_all_established();
    assert_placements_kept(&fleet, before, &after);
    fleet.finish(&Rules::default()).assert_no_violations();
}
