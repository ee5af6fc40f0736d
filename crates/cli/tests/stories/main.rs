//! Stories of a whole fleet through failure: real processes, servers and discovery, with links between any two that break.
//!
//! Each says in its name what has to hold. `BEACONFLOW_WITHOUT=affinity` (or `edge`, `memory`, `fleet`) leaves a mechanism
//! out at all processes: the table in `docs/design/fleet-memory-stories.md` says which stories fail then.

mod affinity;
mod combined;
mod edge;
mod power;

use std::collections::BTreeMap;

use beaconflow_fault_injection::{ClientConfig, Fleet, FleetConfig, FleetOptions, Rules};

/// The processes of a fleet, by number.
const ALL: [usize; 5] = [0, 1, 2, 3, 4];
const PROGRAM: &str = env!("CARGO_BIN_EXE_beaconflow");

/// Five processes and six servers that know things together, in one site.
fn fleet_config(seed: u64) -> FleetConfig {
    fleet_config_with_sites(seed, &[("north", 5)])
}

/// The same in these sites.
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

/// Clients of no group: nothing but what is remembered of them leads them back to their server.
fn clients(count: usize) -> impl Iterator<Item = ClientConfig> {
    (0..count).map(|number| ClientConfig::without_group(&format!("k{number}"), "chat", "acme"))
}

/// A fleet with its clients standing, and all that one knows known to the others; gives where each client stands.
fn start_with_clients(
    fleet_config: FleetConfig,
    count: usize,
) -> (Fleet, BTreeMap<String, String>) {
    let mut fleet = Fleet::new(fleet_config);
    fleet.start_all();
    wait_for_all_members(&fleet);
    let clients_started = fleet.record.step("clients come");
    fleet.start_clients(clients(count));
    let placed = fleet.wait_all_established_since(clients_started);
    wait_for_placements(&fleet, count);
    (fleet, placed)
}

/// Whether the processes know anything together in this run.
fn shares_state(fleet: &Fleet) -> bool {
    fleet.options().is_some_and(|options| options.fleet)
}

/// Waits until each process knows all others to be there.
fn wait_for_all_members(fleet: &Fleet) {
    let count = fleet.balancers.len();
    for number in (0..count).filter(|_| shares_state(fleet)) {
        fleet.wait_for_status(number, "all are there", |status| {
            status["processes"] == count
        });
    }
}

/// Waits until each process remembers so many clients.
fn wait_for_placements(fleet: &Fleet, count: usize) {
    wait_for_placements_except(fleet, count, &[]);
}

/// The same, but for some that do not run.
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

/// Each of these is at the server where it was, unless that was tried first and did not take it, as on a machine with much
/// to do; if not, the first that is not is told of.
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
            "{} of {} are elsewhere: {moved:?}\n{}",
            moved.len(),
            before.len(),
            fleet.record.client_history(first)
        );
    }
}

/// The power is lost to all processes, and discovery with it; the servers have power of their own.
fn cut_power(fleet: &mut Fleet) {
    fleet.discovery.go_down();
    fleet.kill(&ALL);
    fleet.wait_until_available(0);
}

/// All processes serve again, and each client has come to stand since a place in the record, at the server where it was.
fn assert_all_returned_since(fleet: &Fleet, since: usize, before: &BTreeMap<String, String>) {
    fleet.wait_until_available(ALL.len());
    let after = fleet.wait_all_established_since(since);
    assert_placements_kept(fleet, before, &after);
}

/// How most stories end: all clients stand, each where it was, and every rule was kept.
fn finish_with_placements_kept(fleet: Fleet, before: &BTreeMap<String, String>) {
    let after = fleet.wait_all_established();
    assert_placements_kept(&fleet, before, &after);
    fleet.finish(&Rules::default()).assert_no_violations();
}
