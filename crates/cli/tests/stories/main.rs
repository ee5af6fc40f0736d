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
fn shape(seed: u64) -> FleetConfig {
    shape_at(seed, &[("north", 5)])
}

/// The same in these sites.
fn shape_at(seed: u64, sites: &[(&str, usize)]) -> FleetConfig {
    let all = FleetOptions::with_sites(sites);
    let together = match std::env::var("BEACONFLOW_WITHOUT") {
        Ok(mechanism) => all.without(&mechanism),
        Err(_) => all,
    };
    let balancers = sites.iter().map(|(_, count)| count).sum();
    FleetConfig {
        options: Some(together),
        balancers,
        ..FleetConfig::new(PROGRAM, seed)
    }
}

/// Clients of no group: nothing but what is remembered of them leads them back to their server.
fn clients(count: usize) -> impl Iterator<Item = ClientConfig> {
    (0..count).map(|number| ClientConfig::without_group(&format!("k{number}"), "chat", "acme"))
}

/// A fleet with its clients standing, and all that one knows known to the others; gives where each client stands.
fn serving(shape: FleetConfig, count: usize) -> (Fleet, BTreeMap<String, String>) {
    let mut fleet = Fleet::new(shape);
    fleet.start_all();
    all_there(&fleet);
    let begun = fleet.record.step("clients come");
    fleet.start_clients(clients(count));
    let placed = fleet.wait_all_established_since(begun);
    all_know(&fleet, count);
    (fleet, placed)
}

/// Whether the processes know anything together in this run.
fn together(fleet: &Fleet) -> bool {
    fleet.options().is_some_and(|together| together.fleet)
}

/// Waits until each process knows all others to be there.
fn all_there(fleet: &Fleet) {
    let count = fleet.balancers.len();
    for number in (0..count).filter(|_| together(fleet)) {
        fleet.wait_for_status(number, "all are there", |said| said["processes"] == count);
    }
}

/// Waits until each process remembers so many clients.
fn all_know(fleet: &Fleet, count: usize) {
    all_know_but(fleet, count, &[]);
}

/// The same, but for some that do not run.
fn all_know_but(fleet: &Fleet, count: usize, dead: &[usize]) {
    let remembers = fleet
        .options()
        .is_some_and(|together| together.fleet && together.affinity);
    for number in (0..fleet.balancers.len()).filter(|number| remembers && !dead.contains(number)) {
        fleet.wait_for_status(number, "all placements are known", |said| {
            said["placements"] == count
        });
    }
}

/// Each of these is at the server where it was, unless that was tried first and did not take it, as on a machine with much
/// to do; if not, the first that is not is told of.
fn stay(fleet: &Fleet, before: &BTreeMap<String, String>, after: &BTreeMap<String, String>) {
    let gone = |(client, server): &(&String, &String)| {
        after.get(*client) != Some(server) && !fleet.record.has_failed_attempt(client, server)
    };
    let moved: Vec<&String> = before
        .iter()
        .filter(gone)
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
fn power_is_lost(fleet: &mut Fleet) {
    fleet.discovery.go_down();
    fleet.kill(&ALL);
    fleet.wait_until_available(0);
}

/// All processes serve again, and each client has come to stand since a place in the record, at the server where it was.
fn all_stayed_since(fleet: &Fleet, since: usize, before: &BTreeMap<String, String>) {
    fleet.wait_until_available(ALL.len());
    let after = fleet.wait_all_established_since(since);
    stay(fleet, before, &after);
}

/// How most stories end: all clients stand, each where it was, and every rule was kept.
fn all_stayed(fleet: Fleet, before: &BTreeMap<String, String>) {
    let after = fleet.wait_all_established();
    stay(&fleet, before, &after);
    fleet.finish(&Rules::default()).assert_no_violations();
}
