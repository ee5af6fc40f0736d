//! Replication of payloads: gossip to a few members, pages to members that lack state, and the
//! limit on bytes.

use beaconflow_membership::testing::{Fleet, NetworkConditions, NumberPayload, keys, profile};
use beaconflow_membership::{Input, MAX_DATAGRAM_BYTES, Settings};

fn fleet(n: u16, settings: &Settings) -> Fleet<NumberPayload> {
    let mut fleet = Fleet::new(NetworkConditions::new(5));
    fleet.network.loss_per_mille = 50;
    for at in 0..n {
        let profile = profile(&format!("p{at:02}"), 1_000 + at, &[1_000, 1_001]);
        fleet.add_with(profile, keys(1), settings.clone(), NumberPayload::default());
    }
    fleet.run_for(10_000);
    fleet
}

fn knows(fleet: &Fleet<NumberPayload>, at: usize, numbers: usize) -> bool {
    fleet.node(at).payload().known.len() == numbers
}

#[test]
fn spreads_gossip_to_all_within_two_seconds() {
    let mut fleet = fleet(30, &Settings::default());
    for number in 0..20 {
        let at = number as usize;
        fleet.processes[at]
            .node
            .as_mut()
            .expect("the process is running")
            .payload_mut()
            .learn(number);
        fleet.handle_input(at, Input::GossipSoon);
        let known_count = at + 1;
        assert!(fleet.run_until(2_000, |fleet| (0..30).all(|at| knows(
            fleet,
            at,
            known_count
        ))));
    }
}

#[test]
fn sends_missing_pages_to_new_process() {
    let mut fleet = fleet(3, &Settings::default());
    for at in 0..3 {
        fleet.processes[at]
            .node
            .as_mut()
            .expect("the process is running")
            .payload_mut()
            .known
            .extend(0..4_000);
    }
    let new_process = fleet.add(profile("late", 2_000, &[1_000]), NumberPayload::default());
    // 32 KB in pages of about 1000 bytes, four in each round, until none is missing.
    assert!(fleet.run_until(6_000, |fleet| knows(fleet, new_process, 4_000)));
}

/// Guards against a process that asked its peers before they had read their memory and asks again a second later only.
#[test]
fn requested_state_comes_from_whichever_peer_has_it() {
    let mut fleet = fleet(5, &Settings::default());
    fleet.network.loss_per_mille = 0;
    fleet.processes[3]
        .node
        .as_mut()
        .expect("the process is running")
        .payload_mut()
        .known
        .extend(0..40);
    fleet.handle_input(0, Input::RequestState);
    assert!(fleet.run_until(100, |fleet| knows(fleet, 0, 40)));
}

#[test]
fn limits_payload_bytes_per_second() {
    let settings = Settings {
        payload_bytes_per_s: 10_000,
        ..Settings::default()
    };
    let mut fleet = fleet(4, &settings);
    for at in 0..4 {
        fleet.processes[at]
            .node
            .as_mut()
            .expect("the process is running")
            .payload_mut()
            .pending = (0..600).map(|n| (n, 1_000_000)).collect();
    }
    let before = fleet.counts();
    fleet.run_for(60_000);
    for (before, after) in before.iter().zip(fleet.counts()) {
        let per_s = (after.sent_bytes - before.sent_bytes) / 60;
        // The SWIM messages come on top of the limit.
        assert!((8_000..12_000).contains(&per_s), "{per_s} bytes per second");
        assert!(after.rate_limited > 100);
    }
    assert!(fleet.node(0).payload().largest_capacity > MAX_DATAGRAM_BYTES * 3 / 4);
}
