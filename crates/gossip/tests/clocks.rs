//! Ages, and processes whose clocks are wrong.

mod common;

use beaconflow_gossip::*;
use common::*;

const YEAR_MS: i64 = 365 * 24 * 3_600_000;
const VALIDITY_MS: Millis = 60_000;

/// A fleet in which the clock of process 0 is wrong by this offset and process 0 has made a placement.
fn fleet_with_clock_offset(clock_offset_ms: i64) -> SimulatedFleet {
    let mut fleet = SimulatedFleet::new(5, 0.1, 3);
    fleet.clock_offsets_ms[0] = clock_offset_ms;
    let clock = fleet.clock(0);
    fleet.stores[0]
        .observe(&client(1), &placed_on("s1"), VALIDITY_MS, clock)
        .expect("the observation is stored");
    fleet
}

#[test]
fn expires_facts_on_time_when_origin_clock_is_wrong() {
    for clock_offset_ms in [YEAR_MS, -(START_MS as i64), 3_000, -3_000] {
        let mut fleet = fleet_with_clock_offset(clock_offset_ms);
        assert!(fleet.rounds_until_converged(20).is_some());
        let started_at = fleet.now;
        // All processes keep forwarding the fact to each other while it is valid.
        let all_expired = |fleet: &SimulatedFleet| {
            fleet
                .stores
                .iter()
                .all(|store| store.usage(FactKind::Placement).1 == 0)
        };
        while !all_expired(&fleet) && fleet.now < started_at + 3 * VALIDITY_MS {
            fleet.round();
            let is_known = fleet.stores[3]
                .placement(PlacementKey::Client(1), fleet.clock(3))
                .is_some();
            assert!(
                is_known || fleet.now >= START_MS + VALIDITY_MS - 1_000,
                "expired after {} ms",
                fleet.now - START_MS
            );
        }
        // Allows for the resolution of the time index and the rounds spent in transit.
        assert!(
            fleet.now <= START_MS + VALIDITY_MS + 5_000,
            "kept for {} ms with a clock {clock_offset_ms} ms ahead",
            fleet.now - START_MS
        );
    }
}

#[test]
fn replaces_fact_when_origin_clock_is_wrong() {
    for clock_offset_ms in [YEAR_MS, -(START_MS as i64)] {
        let mut fleet = fleet_with_clock_offset(clock_offset_ms);
        assert!(fleet.rounds_until_converged(20).is_some());
        let (right_clock, wrong_clock) = (fleet.clock(2), fleet.clock(0));
        fleet.stores[2]
            .observe(&client(1), &placed_on("s2"), VALIDITY_MS, right_clock)
            .expect("the observation is stored");
        assert!(fleet.rounds_until_converged(20).is_some());
        assert_eq!(
            fleet.stores[0]
                .placement(PlacementKey::Client(1), wrong_clock)
                .map(|placement| placement.server),
            Some("s2")
        );
        // The process with the wrong clock can replace the fact again.
        fleet.stores[0]
            .observe(&client(1), &placed_on("s3"), VALIDITY_MS, wrong_clock)
            .expect("the observation is stored");
        assert!(fleet.rounds_until_converged(20).is_some());
        assert_eq!(
            fleet.stores[4]
                .placement(PlacementKey::Client(1), fleet.now)
                .map(|placement| placement.server),
            Some("s3")
        );
    }
}

#[test]
fn caps_lifetime_when_fact_claims_unlimited_validity() {
    let mut bounds = Bounds::default();
    bounds.of_kind_mut(FactKind::Placement).max_lifetime_ms = Millis::MAX;
    let mut faulty = FactStore::new(
        Origin {
            name: "faulty".into(),
            incarnation: 1,
        },
        bounds,
    );
    faulty
        .observe(&client(1), &placed_on("s1"), Millis::MAX, START_MS)
        .expect("the observation is stored");
    let mut store = process("one", 1);
    send_gossip(&mut faulty, &mut store, START_MS);
    let max_lifetime_ms = Bounds::default()
        .of_kind(FactKind::Placement)
        .max_lifetime_ms;
    assert!(
        store
            .placement(PlacementKey::Client(1), START_MS + max_lifetime_ms - 1)
            .is_some()
    );
    assert!(
        store
            .placement(PlacementKey::Client(1), START_MS + max_lifetime_ms)
            .is_none()
    );
    store.expire(START_MS + max_lifetime_ms + 2_000);
    assert_eq!(store.usage(FactKind::Placement), (0, 0));
}

#[test]
fn keeps_greater_age_when_copies_differ() {
    let (mut first, mut store) = (process("first", 1), process("one", 1));
    first
        .observe(&client(1), &placed_on("s1"), VALIDITY_MS, START_MS)
        .expect("the observation is stored");
    let early_packet = first.gossip_payload(MAX_DATAGRAM_BYTES, START_MS);
    let late_packet = first.gossip_payload(MAX_DATAGRAM_BYTES, START_MS + 40_000);
    // The early datagram was delayed, so that the age in it is too low.
    store
        .merge_packet(&early_packet, START_MS + 40_000)
        .expect("valid input");
    assert_eq!(
        store
            .get(&client(1), "", START_MS + 40_000)
            .map(|fact| fact.observed_at),
        Some(START_MS + 40_000)
    );
    store
        .merge_packet(&late_packet, START_MS + 40_000)
        .expect("valid input");
    assert!(
        store
            .placement(PlacementKey::Client(1), START_MS + VALIDITY_MS - 1)
            .is_some()
    );
    assert!(
        store
            .placement(PlacementKey::Client(1), START_MS + VALIDITY_MS)
            .is_none()
    );
    store.expire(START_MS + VALIDITY_MS + 2_000);
    assert_eq!(
        store.usage(FactKind::Placement),
        (0, 0),
        "the fact expires at the time given by the greater age"
    );
}

#[test]
fn adds_downtime_to_age_when_importing_records() {
    let mut previous_store = process("a", 1);
    previous_store
        .observe(&client(1), &placed_on("s1"), VALIDITY_MS, START_MS)
        .expect("the observation is stored");
    let records = previous_store.export(&[FactKind::Placement], START_MS + 20_000);
    // The clock restarts in 1970; the caller that read the disk states the downtime.
    for (downtime_ms, is_known) in [(30_000, true), (39_999, true), (40_000, false)] {
        let mut restarted_store = process("a", 2);
        restarted_store.import(records.iter().map(Vec::as_slice), downtime_ms, 100_000);
        assert_eq!(
            restarted_store
                .placement(PlacementKey::Client(1), 100_000)
                .is_some(),
            is_known,
            "downtime of {downtime_ms} ms"
        );
    }
    let fact = FactStore::read_exported(&records[0], 30_000, 100_000).expect("a valid record");
    assert_eq!(
        (fact.subject, fact.observed_at, fact.origin_observed_at),
        (client(1), 50_000, START_MS)
    );
}
