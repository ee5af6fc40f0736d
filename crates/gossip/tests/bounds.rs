//! Eviction when a kind or the gossip queue reaches its limit.

mod common;

use beaconflow_gossip::*;
use common::*;

const VALIDITY_MS: Millis = 3_600_000;
const MAX_BYTES: usize = 100_000;

fn store_with_small_limit(kind: FactKind) -> FactStore {
    let mut bounds = Bounds::default();
    bounds.of_kind_mut(kind).max_bytes = MAX_BYTES;
    FactStore::new(
        Origin {
            name: "a".into(),
            incarnation: 1,
        },
        bounds,
    )
}

fn has_placement(store: &FactStore, key: u64, now: Millis) -> bool {
    store.placement(PlacementKey::Client(key), now).is_some()
}

#[test]
fn evicts_oldest_facts_when_kind_is_full() {
    let mut store = store_with_small_limit(FactKind::Placement);
    for key in 0..5_000 {
        store
            .observe(
                &client(key),
                &placed_on("s1"),
                VALIDITY_MS,
                START_MS + key * 1_100,
            )
            .expect("the newest fact is stored");
        assert!(store.usage(FactKind::Placement).0 <= MAX_BYTES);
    }
    let (now, (_, count)) = (START_MS + 5_000 * 1_100, store.usage(FactKind::Placement));
    assert!(count > 200);
    let kept_keys: Vec<u64> = (0..5_000)
        .filter(|key| has_placement(&store, *key, now))
        .collect();
    assert_eq!(
        kept_keys,
        (5_000 - count as u64..5_000).collect::<Vec<_>>(),
        "only the newest facts are kept"
    );
}

#[test]
fn evicts_expired_facts_before_older_ones() {
    let mut store = store_with_small_limit(FactKind::Placement);
    store
        .observe(&client(0), &placed_on("s1"), VALIDITY_MS, START_MS)
        .expect("the observation is stored");
    let mut key = 0;
    // These placements are valid for a short time and newer than the first one.
    while store.usage(FactKind::Placement).0 + 400 < MAX_BYTES {
        key += 1;
        store
            .observe(&client(key), &placed_on("s1"), 5_000, START_MS + 2_000)
            .expect("the observation is stored");
    }
    let later = START_MS + 60_000;
    (1_000..1_100).for_each(|key| {
        drop(
            store
                .observe(&client(key), &placed_on("s1"), VALIDITY_MS, later)
                .expect("the observation is stored"),
        )
    });
    assert!(
        has_placement(&store, 0, later)
            && (1_000..1_100).all(|key| has_placement(&store, key, later))
    );
    assert_eq!(store.usage(FactKind::Placement).1, 101);
}

#[test]
fn ignores_fact_when_older_than_all_kept() {
    let (mut store, mut peer) = (store_with_small_limit(FactKind::Placement), process("b", 1));
    peer.observe(&client(9_999), &placed_on("s1"), VALIDITY_MS, START_MS)
        .expect("the observation is stored");
    (0..2_000).for_each(|key| {
        drop(store.observe(
            &client(key),
            &placed_on("s1"),
            VALIDITY_MS,
            START_MS + 9_000,
        ))
    });
    let before = store.usage(FactKind::Placement);
    assert_eq!(send_gossip(&mut peer, &mut store, START_MS + 10_000), []);
    assert_eq!(
        store.usage(FactKind::Placement),
        before,
        "no newer fact is evicted"
    );
}

#[test]
fn evicts_other_facts_when_value_grows() {
    let mut store = store_with_small_limit(FactKind::Override);
    let override_with_length = |len| {
        Value::Override(Override::Set {
            expires_at: START_MS + VALIDITY_MS,
            bytes: vec![1; len],
        })
    };
    for id in 0..200_u8 {
        store
            .observe(
                &Subject::Override(vec![id]),
                &override_with_length(300),
                VALIDITY_MS,
                START_MS + u64::from(id) * 1_100,
            )
            .expect("the observation is stored");
    }
    for id in 150..200_u8 {
        store
            .observe(
                &Subject::Override(vec![id]),
                &override_with_length(4_000),
                VALIDITY_MS,
                START_MS + 500_000,
            )
            .expect("the observation is stored");
        assert!(store.usage(FactKind::Override).0 <= MAX_BYTES);
    }
    let too_long = store.observe(
        &Subject::Override(vec![1]),
        &override_with_length(9_000),
        VALIDITY_MS,
        START_MS,
    );
    assert_eq!(too_long, Err(ObserveError::TooLong));
}

#[test]
fn keeps_overrides_when_placements_are_full() {
    let mut store = store_with_small_limit(FactKind::Placement);
    let removed = Value::Override(Override::Removed);
    (0..50_u8).for_each(|id| {
        drop(store.observe(
            &Subject::Override(vec![id]),
            &removed,
            VALIDITY_MS,
            START_MS,
        ))
    });
    (0..20_000).for_each(|key| {
        drop(store.observe(&client(key), &placed_on("s1"), VALIDITY_MS, START_MS + key))
    });
    assert_eq!(
        store.iter(FactKind::Override, START_MS + 20_000).count(),
        50
    );
}

#[test]
fn keeps_removal_as_long_as_removed_fact() {
    let (mut store, mut peer) = (process("a", 1), process("b", 1));
    let subject = Subject::Override(vec![1]);
    let override_set = Value::Override(Override::Set {
        expires_at: START_MS + VALIDITY_MS,
        bytes: vec![1],
    });
    store
        .observe(&subject, &override_set, VALIDITY_MS, START_MS)
        .expect("the observation is stored");
    send_gossip(&mut store, &mut peer, START_MS);
    // The removal itself claims to be valid for a second only.
    store
        .observe(
            &subject,
            &Value::Override(Override::Removed),
            1_000,
            START_MS + 1,
        )
        .expect("the observation is stored");
    let later = START_MS + VALIDITY_MS / 2;
    store.expire(later);
    assert_eq!(store.get(&subject, "", later), None);
    run_anti_entropy(&mut peer, &mut store, later);
    assert_eq!(
        store.get(&subject, "", later),
        None,
        "a removed override does not come back"
    );
    run_anti_entropy(&mut store, &mut peer, later);
    assert_eq!(peer.get(&subject, "", later), None);
    for store in [&mut store, &mut peer] {
        store.expire(START_MS + VALIDITY_MS + 5_000);
        assert_eq!(store.usage(FactKind::Override), (0, 0));
    }
}

#[test]
fn drops_most_transmitted_fact_when_gossip_queue_is_full() {
    let bounds = Bounds {
        max_gossiped_facts: 10,
        ..Bounds::default()
    };
    let mut store = FactStore::new(
        Origin {
            name: "a".into(),
            incarnation: 1,
        },
        bounds,
    );
    (0..10)
        .for_each(|key| drop(store.observe(&client(key), &placed_on("s1"), VALIDITY_MS, START_MS)));
    assert!(!store.gossip_payload(400, START_MS).is_empty());
    store
        .observe(&client(10), &placed_on("s1"), VALIDITY_MS, START_MS)
        .expect("the observation is stored");
    let mut received = std::collections::BTreeSet::new();
    let mut peer = process("b", 1);
    for _ in 0..100 {
        let packet = store.gossip_payload(400, START_MS);
        assert!(packet.len() <= 400);
        received.extend(
            peer.merge_packet(&packet, START_MS)
                .expect("valid input")
                .iter()
                .filter_map(FactChange::subject),
        );
    }
    assert!(
        received.contains(&client(10)),
        "a new fact displaces one that was transmitted before"
    );
    assert_eq!(received.len(), 10);
    assert_eq!(
        store.gossip_payload(400, START_MS),
        Vec::<u8>::new(),
        "every fact reached the transmission limit"
    );
}
