//! Figures of the membership on a virtual clock: `cargo run --release --example figures -p beaconflow-membership`.
//!
//! For fleets of 5, 30 and 300 processes with 5% of all datagrams lost: how long until all know each other after all
//! start in one moment, until all know that one was killed, until two halves know each other again, until all know a fact that
//! one tells; how many are
//! declared down though they live; and what a quiet fleet sends.

use beaconflow_membership::testing::{Fleet, Numbers, Rules, profile};
use beaconflow_membership::{Event, Input, Millis};

const LOST: u32 = 50;
const TEN_MINUTES: Millis = 600_000;

fn started(n: u16, lost: u32, seed: u64) -> Fleet<Numbers> {
    let mut rules = Rules::new(seed);
    rules.lost = lost;
    let mut fleet = Fleet::new(rules);
    let seeds = [1_000, 1_001, 1_002, 1_003, 1_004];
    for at in 0..n {
        fleet.add(
            profile(&format!("balancer-{at:03}"), 1_000 + at, &seeds),
            Numbers::default(),
        );
    }
    fleet
}

fn all_know(fleet: &Fleet<Numbers>, others: usize) -> bool {
    fleet
        .seats
        .iter()
        .filter_map(|seat| seat.node.as_ref())
        .all(|node| node.members().len() == others)
}

fn shown(took: &mut [Millis]) -> String {
    took.sort_unstable();
    format!(
        "median {} ms, longest {} ms of {}",
        took[took.len() / 2],
        took[took.len() - 1],
        took.len()
    )
}

fn time_until(fleet: &mut Fleet<Numbers>, others: usize) -> Millis {
    let start = fleet.now;
    let is_so = fleet.run_until(120_000, |fleet| all_know(fleet, others));
    assert!(is_so, "not so after two minutes");
    fleet.now - start
}

fn main() {
    for n in [5u16, 30, 300] {
        let runs = if n == 300 { 5 } else { 20 };
        let (mut joins, mut kills, mut meets) = (Vec::new(), Vec::new(), Vec::new());
        for seed in 0..runs {
            let mut fleet = started(n, LOST, seed);
            joins.push(time_until(&mut fleet, usize::from(n) - 1));
            fleet.run_for(5_000 + seed * 37);
            fleet.kill(usize::from(n) / 2);
            kills.push(time_until(&mut fleet, usize::from(n) - 2));
            let mut fleet = started(n, LOST, seed + 100);
            fleet.run_for(10_000);
            let addresses: Vec<_> = fleet.seats.iter().map(|seat| seat.address).collect();
            let (one, other) = addresses.split_at(addresses.len() / 2);
            fleet.rules.part(one, other);
            fleet.run_for(30_000);
            fleet.rules.cut.clear();
            meets.push(time_until(&mut fleet, usize::from(n) - 1));
        }
        println!("{n}: all start, all known: {}", shown(&mut joins));
        println!("{n}: one killed, all know: {}", shown(&mut kills));
        println!(
            "{n}: two halves after 30 s apart, all known: {}",
            shown(&mut meets)
        );
        facts(n);
        quiet(n, LOST);
        quiet(n, 0);
    }
}

/// A hundred facts, one after another, each told by another process.
fn facts(n: u16) {
    let mut fleet = started(n, LOST, 9);
    fleet.run_for(30_000);
    let mut took: Vec<Millis> = (0..100u64)
        .map(|number| {
            let (teller, start) = (number as usize * 7 % usize::from(n), fleet.now);
            fleet.seats[teller]
                .node
                .as_mut()
                .expect("lives")
                .body_mut()
                .learn(number);
            fleet.hand(teller, Input::Say);
            let mut left: Vec<usize> = (0..usize::from(n)).collect();
            assert!(fleet.run_until(30_000, |fleet| {
                left.retain(|at| !fleet.node(*at).body().known.contains(&number));
                left.is_empty()
            }));
            let took = fleet.now - start;
            fleet.run_for(1_000);
            took
        })
        .collect();
    println!("{n}: a fact is known by all: {}", shown(&mut took));
}

/// Ten minutes in which nothing happens.
fn quiet(n: u16, lost: u32) {
    let mut fleet = started(n, lost, 7);
    fleet.run_for(30_000);
    let (before, told) = (fleet.counts(), fleet.events.len());
    fleet.run_for(TEN_MINUTES);
    let downs = fleet.events[told..]
        .iter()
        .filter(|(_, _, event)| matches!(event, Event::Down(_)))
        .count();
    let after = fleet.counts();
    let grown = |of: fn(&beaconflow_membership::Counts) -> u64| {
        let sum: u64 = after.iter().map(of).sum::<u64>() - before.iter().map(of).sum::<u64>();
        sum as f64 / f64::from(n) / (TEN_MINUTES / 1_000) as f64
    };
    println!(
        "{n}: quiet ten minutes, {}% lost: {downs} false downs, {:.0} suspicions; each sends {:.0} bytes/s in {:.1} datagrams/s",
        lost / 10,
        grown(|counts| counts.suspected) * f64::from(n) * (TEN_MINUTES / 1_000) as f64,
        grown(|counts| counts.sent_bytes),
        grown(|counts| counts.sent),
    );
}
