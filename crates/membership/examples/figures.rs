//! Convergence times and traffic on a virtual clock.
//!
//! `cargo run --release --example figures -p beaconflow-membership`
//!
//! For fleets of 5, 30 and 300 processes with 5% loss, measures the time until all processes know
//! each other after a simultaneous start, until all know that one was killed, until two partitioned
//! halves merge, and until all know a new fact; false failure detections; and the traffic of an
//! idle fleet.

use beaconflow_membership::testing::{Fleet, NetworkConditions, NumberPayload, profile};
use beaconflow_membership::{Event, Input, Millis};

const LOSS_PER_MILLE: u32 = 50;
const QUIET_PERIOD_MS: Millis = 600_000;

fn start_fleet(n: u16, loss_per_mille: u32, seed: u64) -> Fleet<NumberPayload> {
    let mut network = NetworkConditions::new(seed);
    network.loss_per_mille = loss_per_mille;
    let mut fleet = Fleet::new(network);
    let seeds = [1_000, 1_001, 1_002, 1_003, 1_004];
    for at in 0..n {
        fleet.add(
            profile(&format!("balancer-{at:03}"), 1_000 + at, &seeds),
            NumberPayload::default(),
        );
    }
    fleet
}

fn all_know(fleet: &Fleet<NumberPayload>, others: usize) -> bool {
    fleet
        .processes
        .iter()
        .filter_map(|process| process.node.as_ref())
        .all(|node| node.members().len() == others)
}

fn summary(durations: &mut [Millis]) -> String {
    durations.sort_unstable();
    format!(
        "median {} ms, maximum {} ms of {} samples",
        durations[durations.len() / 2],
        durations[durations.len() - 1],
        durations.len()
    )
}

fn time_until_known(fleet: &mut Fleet<NumberPayload>, others: usize) -> Millis {
    let start = fleet.now;
    let is_reached = fleet.run_until(120_000, |fleet| all_know(fleet, others));
    assert!(
        is_reached,
        "not all processes know each other after two minutes"
    );
    fleet.now - start
}

fn main() {
    for n in [5u16, 30, 300] {
        let runs = if n == 300 { 5 } else { 20 };
        let (mut join_times, mut detection_times, mut merge_times) =
            (Vec::new(), Vec::new(), Vec::new());
        for seed in 0..runs {
            let mut fleet = start_fleet(n, LOSS_PER_MILLE, seed);
            join_times.push(time_until_known(&mut fleet, usize::from(n) - 1));
            fleet.run_for(5_000 + seed * 37);
            fleet.kill(usize::from(n) / 2);
            detection_times.push(time_until_known(&mut fleet, usize::from(n) - 2));
            let mut fleet = start_fleet(n, LOSS_PER_MILLE, seed + 100);
            fleet.run_for(10_000);
            let addresses: Vec<_> = fleet
                .processes
                .iter()
                .map(|process| process.address)
                .collect();
            let (left, right) = addresses.split_at(addresses.len() / 2);
            fleet.network.partition(left, right);
            fleet.run_for(30_000);
            fleet.network.cut_links.clear();
            merge_times.push(time_until_known(&mut fleet, usize::from(n) - 1));
        }
        println!(
            "{n}: simultaneous start until all are known: {}",
            summary(&mut join_times)
        );
        println!(
            "{n}: one killed until all know: {}",
            summary(&mut detection_times)
        );
        println!(
            "{n}: partition of 30 s healed until all are known: {}",
            summary(&mut merge_times)
        );
        measure_gossip(n);
        measure_quiet_fleet(n, LOSS_PER_MILLE);
        measure_quiet_fleet(n, 0);
    }
}

/// Publishes a hundred facts, one after another, each by another process.
fn measure_gossip(n: u16) {
    let mut fleet = start_fleet(n, LOSS_PER_MILLE, 9);
    fleet.run_for(30_000);
    let mut durations: Vec<Millis> = (0..100u64)
        .map(|number| {
            let (publisher, start) = (number as usize * 7 % usize::from(n), fleet.now);
            fleet.processes[publisher]
                .node
                .as_mut()
                .expect("the process is running")
                .payload_mut()
                .learn(number);
            fleet.handle_input(publisher, Input::GossipSoon);
            let mut uninformed: Vec<usize> = (0..usize::from(n)).collect();
            assert!(fleet.run_until(30_000, |fleet| {
                uninformed.retain(|at| !fleet.node(*at).payload().known.contains(&number));
                uninformed.is_empty()
            }));
            let duration = fleet.now - start;
            fleet.run_for(1_000);
            duration
        })
        .collect();
    println!(
        "{n}: fact published until all know it: {}",
        summary(&mut durations)
    );
}

/// Runs the fleet for ten minutes without changes.
fn measure_quiet_fleet(n: u16, loss_per_mille: u32) {
    let mut fleet = start_fleet(n, loss_per_mille, 7);
    fleet.run_for(30_000);
    let (before, event_count) = (fleet.counts(), fleet.events.len());
    fleet.run_for(QUIET_PERIOD_MS);
    let downs = fleet.events[event_count..]
        .iter()
        .filter(|(_, _, event)| matches!(event, Event::Down(_)))
        .count();
    let after = fleet.counts();
    let rate_per_process = |of: fn(&beaconflow_membership::Counts) -> u64| {
        let sum: u64 = after.iter().map(of).sum::<u64>() - before.iter().map(of).sum::<u64>();
        sum as f64 / f64::from(n) / (QUIET_PERIOD_MS / 1_000) as f64
    };
    println!(
        "{n}: ten idle minutes, {}% lost: {downs} false downs, {:.0} suspicions; each sends {:.0} bytes/s in {:.1} datagrams/s",
        loss_per_mille / 10,
        rate_per_process(|counts| counts.suspected)
            * f64::from(n)
            * (QUIET_PERIOD_MS / 1_000) as f64,
        rate_per_process(|counts| counts.sent_bytes),
        rate_per_process(|counts| counts.sent),
    );
}
