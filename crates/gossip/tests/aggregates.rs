//! Queries that combine the facts of several processes.

mod common;

use beaconflow_gossip::*;
use common::*;

const VALIDITY_MS: Millis = 60_000;

/// Three processes that have not communicated yet.
fn three_processes() -> [FactStore; 3] {
    ["a", "b", "c"].map(|name| process(name, 1))
}

fn gossip_to_all(stores: &mut [FactStore; 3], now: Millis) {
    for from in 0..3 {
        let bytes = stores[from].gossip_payload(MAX_DATAGRAM_BYTES, now);
        for to in (0..3).filter(|to| *to != from && !bytes.is_empty()) {
            stores[to].merge_packet(&bytes, now).expect("valid input");
        }
    }
}

#[test]
fn sums_caps_voids_and_expires_placement_failures() {
    let mut stores = three_processes();
    let record_failure = |store: &mut FactStore, now| {
        drop(
            store
                .record_placement_failure(5, VALIDITY_MS, now)
                .expect("the observation is stored"),
        )
    };
    record_failure(&mut stores[0], START_MS);
    record_failure(&mut stores[0], START_MS + 1);
    record_failure(&mut stores[1], START_MS + 2);
    gossip_to_all(&mut stores, START_MS + 10);
    assert!(
        stores
            .iter()
            .all(|store| store.failure_count(5, START_MS + 10) == 3
                && store.failure_count(6, START_MS + 10) == 0)
    );
    (0..9).for_each(|step| record_failure(&mut stores[step as usize % 2], START_MS + 20 + step));
    gossip_to_all(&mut stores, START_MS + 40);
    assert!(
        stores
            .iter()
            .all(|store| store.failure_count(5, START_MS + 40) == MAX_COUNTED_FAILURES)
    );
    // A successful placement at the third process voids all failures counted so far.
    stores[2]
        .record_placement_success(5, VALIDITY_MS, START_MS + 50)
        .expect("the observation is stored");
    gossip_to_all(&mut stores, START_MS + 60);
    assert!(
        stores
            .iter()
            .all(|store| store.failure_count(5, START_MS + 60) == 0)
    );
    // Processes that count further failures start from zero.
    record_failure(&mut stores[2], START_MS + 70);
    record_failure(&mut stores[0], START_MS + 71);
    gossip_to_all(&mut stores, START_MS + 80);
    assert!(
        stores
            .iter()
            .all(|store| store.failure_count(5, START_MS + 80) == 2),
        "voided failures do not count again"
    );
    assert!(
        stores
            .iter()
            .all(|store| store.failure_count(5, START_MS + 71 + VALIDITY_MS) == 0),
        "failures expire"
    );
}

#[test]
fn sums_and_decays_slow_start_sends() {
    let mut stores = three_processes();
    stores[0]
        .record_slow_start_send("s1", 4.0, VALIDITY_MS, START_MS)
        .expect("the observation is stored");
    stores[1]
        .record_slow_start_send("s1", 2.0, VALIDITY_MS, START_MS)
        .expect("the observation is stored");
    gossip_to_all(&mut stores, START_MS);
    let sent = |stores: &[FactStore; 3], now| {
        stores
            .each_ref()
            .map(|store| store.slow_start_sent("s1", now))
    };
    assert_eq!(sent(&stores, START_MS), [6.0; 3]);
    let after_half_life = START_MS + Bounds::default().slow_start_half_life_ms;
    assert_eq!(sent(&stores, after_half_life), [3.0; 3]);
    stores[0]
        .record_slow_start_send("s1", 1.0, VALIDITY_MS, after_half_life)
        .expect("the observation is stored");
    assert_eq!(
        stores[0].slow_start_sent("s1", after_half_life),
        4.0,
        "the process adds to its decayed count"
    );
    gossip_to_all(&mut stores, after_half_life);
    gossip_to_all(&mut stores, after_half_life);
    assert_eq!(
        sent(&stores, after_half_life),
        [4.0; 3],
        "a fact received twice counts once"
    );
}

#[test]
fn assesses_server_by_decayed_and_bounded_evidence() {
    let mut stores = three_processes();
    let record_evidence = |store: &mut FactStore, observed, weight, now| {
        store
            .record_evidence("s1", ServerEvidence { observed, weight }, VALIDITY_MS, now)
            .expect("the observation is stored");
    };
    record_evidence(&mut stores[0], ObservedHealth::Hung, 0.4, START_MS);
    gossip_to_all(&mut stores, START_MS);
    assert_eq!(
        stores[1].assess_server("s1", START_MS),
        None,
        "the evidence is below the minimum weight"
    );
    // The limit on the weight of one process keeps it from outvoting two others.
    record_evidence(&mut stores[0], ObservedHealth::Hung, 1_000.0, START_MS);
    record_evidence(&mut stores[1], ObservedHealth::Healthy, 3.0, START_MS);
    record_evidence(&mut stores[2], ObservedHealth::Healthy, 3.0, START_MS);
    gossip_to_all(&mut stores, START_MS);
    let assessment = ServerAssessment {
        observed: ObservedHealth::Healthy,
        weight: 6.0,
        contrary_weight: 4.0,
        witness_count: 3,
        age: 0,
    };
    assert!(
        stores
            .iter()
            .all(|store| store.assess_server("s1", START_MS) == Some(assessment))
    );
    // The newer fact of a process replaces its older one, and evidence decays.
    let half_life = Bounds::default().evidence_half_life_ms;
    record_evidence(
        &mut stores[1],
        ObservedHealth::Hung,
        1.0,
        START_MS + half_life,
    );
    gossip_to_all(&mut stores, START_MS + half_life);
    let assessment = ServerAssessment {
        observed: ObservedHealth::Hung,
        weight: 3.0,
        contrary_weight: 1.5,
        witness_count: 3,
        age: 0,
    };
    assert_eq!(
        stores[2].assess_server("s1", START_MS + half_life),
        Some(assessment)
    );
    assert_eq!(
        stores[2].assess_server("s1", START_MS + half_life + 4 * half_life),
        None,
        "decayed evidence is below the minimum weight"
    );
}
