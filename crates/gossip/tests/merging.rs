//! Merging in any order, with duplicates, loss and partitions.

mod common;

use beaconflow_gossip::*;
use common::*;
use proptest::prelude::*;

/// An observation by one process, made some time after the previous one.
#[derive(Clone, Debug)]
struct Operation {
    process_index: usize,
    action: u8,
    key: u64,
    number: u64,
    delay_ms: Millis,
}

fn operations(max_count: usize) -> impl Strategy<Value = Vec<Operation>> {
    // Often in the same millisecond, so that only the origin and the value distinguish two facts.
    let delay_ms = prop::sample::select([0, 0, 0, 1, 250].as_slice());
    let operation = (0..7_usize, 0..9_u8, 0..3_u64, 0..5_u64, delay_ms).prop_map(
        |(process_index, action, key, number, delay_ms)| Operation {
            process_index,
            action,
            key,
            number,
            delay_ms,
        },
    );
    prop::collection::vec(operation, 1..max_count)
}

/// No fact expires during a test of this file; expiry is covered by `clocks.rs`.
const VALIDITY_MS: Millis = 600_000;

fn apply(store: &mut FactStore, operation: &Operation, now: Millis) {
    let Operation {
        action,
        key,
        number,
        ..
    } = operation;
    let server = format!("s{key}");
    let lifecycle = if number % 2 == 0 {
        Lifecycle::Serving
    } else {
        Lifecycle::Draining
    };
    let (subject, value) = match action {
        0 => (
            Subject::ServerEntry(server),
            entry(1 + number / 3, *number, lifecycle),
        ),
        1 => {
            let list_version = ListVersion {
                position: ListPosition {
                    incarnation: 1,
                    generation: *number,
                },
                digest: *key,
            };
            (Subject::ListVersion, Value::ListVersion(list_version))
        }
        2 => {
            return drop(store.record_evidence(
                &server,
                ServerEvidence {
                    observed: ObservedHealth::Hung,
                    weight: 1.0,
                },
                VALIDITY_MS,
                now,
            ));
        }
        3 => return drop(store.record_slow_start_send(&server, 1.0, VALIDITY_MS, now)),
        4 => return drop(store.record_placement_failure(*key, VALIDITY_MS, now)),
        5 => return drop(store.record_placement_success(*key, VALIDITY_MS, now)),
        6 => (client(*key), placed_on(&format!("s{number}"))),
        7 => {
            let override_set = Override::Set {
                expires_at: now + VALIDITY_MS,
                bytes: vec![*number as u8; 40],
            };
            let value = if *number == 0 {
                Override::Removed
            } else {
                override_set
            };
            (Subject::Override(vec![*key as u8]), Value::Override(value))
        }
        _ => (
            Subject::Configuration,
            Value::Configuration(Configuration {
                digest: *key,
                number: *number,
            }),
        ),
    };
    store
        .observe(&subject, &value, VALIDITY_MS, now)
        .expect("a valid observation is stored or superseded");
}

fn exported_records(operations: &[Operation]) -> (Vec<Vec<u8>>, Millis) {
    let mut stores: Vec<FactStore> = (0..7)
        .map(|index| process(&format!("p{index}"), index % 3))
        .collect();
    let (mut now, mut records) = (START_MS, Vec::new());
    for operation in operations {
        now += operation.delay_ms;
        apply(&mut stores[operation.process_index], operation, now);
        records.extend(stores[operation.process_index].export(&FactKind::ALL, now));
    }
    (records, now)
}

/// All facts of a process, with their ages.
fn records_with_ages(store: &FactStore, now: Millis) -> Vec<Vec<u8>> {
    let mut records = store.export(&FactKind::ALL, now);
    records.sort();
    records
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(120) })]

    /// Guards against a merge that depends on the order of facts: the same facts in another order, with duplicates, or
    /// merged in groups first must give the same state.
    #[test]
    fn merges_alike_with_reordering_duplicates_and_grouping(
        operations in operations(30),
        order in prop::collection::vec(any::<prop::sample::Index>(), 200),
        split in any::<prop::sample::Index>(),
    ) {
        let (records, now) = exported_records(&operations);
        let merged = |records: &[Vec<u8>]| {
            let mut store = process("reader", 1);
            store.import(records.iter().map(Vec::as_slice), 0, now);
            store
        };
        let expected = records_with_ages(&merged(&records), now);
        let mut shuffled = records.clone();
        for index in &order {
            let (a, b) = (index.index(shuffled.len()), shuffled.len() - 1);
            shuffled.swap(a, b);
            shuffled.push(records[index.index(records.len())].clone());
        }
        prop_assert_eq!(&records_with_ages(&merged(&shuffled), now), &expected);
        let (left, right) = records.split_at(split.index(records.len()));
        let mut grouped = merged(right);
        grouped.import(records_with_ages(&merged(left), now).iter().map(Vec::as_slice), 0, now);
        prop_assert_eq!(&records_with_ages(&grouped, now), &expected);
        grouped.import(expected.iter().map(Vec::as_slice), 0, now);
        prop_assert_eq!(&records_with_ages(&grouped, now), &expected);
    }

    /// Guards against facts that neither gossip nor anti-entropy delivers: all processes must reach the same state in
    /// spite of heavy loss and a partition that heals.
    #[test]
    fn converges_with_loss_and_healed_partition(
        count in 3..8_usize,
        loss_rate in 0.05..0.6,
        split in 1..3_usize,
        operations in operations(60),
        seed in any::<u64>(),
    ) {
        let mut fleet = SimulatedFleet::new(count, loss_rate, seed);
        for (index, operation) in operations.iter().enumerate() {
            fleet.partition_size = if index > operations.len() / 3 { split } else { 0 };
            let (process_index, now) = (operation.process_index % count, fleet.now);
            apply(&mut fleet.stores[process_index], operation, now);
            fleet.round();
        }
        fleet.partition_size = 0;
        prop_assert!(fleet.rounds_until_converged(200).is_some(), "{:#?}", fleet.stores.iter().map(|store| facts_without_ages(store, fleet.now)).collect::<Vec<_>>());
    }
}

#[test]
fn converges_only_after_partition_heals() {
    let mut fleet = SimulatedFleet::new(5, 0.05, 1);
    fleet.partition_size = 2;
    let now = fleet.now;
    fleet.stores[0]
        .observe(&client(1), &placed_on("s1"), VALIDITY_MS, now)
        .expect("the observation is stored");
    assert_eq!(fleet.rounds_until_converged(100), None);
    fleet.partition_size = 0;
    assert!(fleet.rounds_until_converged(20).is_some());
}

#[test]
fn keeps_later_fact_in_any_arrival_order() {
    let (mut a, mut b, mut c) = (process("a", 1), process("b", 1), process("c", 1));
    a.observe(&client(1), &placed_on("s1"), VALIDITY_MS, START_MS)
        .expect("the observation is stored");
    send_gossip(&mut a, &mut b, START_MS);
    // The clock of this process is behind, but the version goes beyond the one it knows.
    let later = b
        .observe(&client(1), &placed_on("s2"), VALIDITY_MS, START_MS - 5_000)
        .expect("the observation is stored");
    assert_eq!(later.version, START_MS + 1);
    send_gossip(&mut b, &mut c, START_MS);
    send_gossip(&mut a, &mut c, START_MS);
    assert_eq!(
        c.placement(PlacementKey::Client(1), START_MS)
            .map(|placement| placement.server),
        Some("s2")
    );
    let changes = send_gossip(&mut b, &mut a, START_MS);
    let server = |fact: Option<Fact>| match fact.map(|fact| fact.value) {
        Some(Value::Placement(Some(placement))) => placement.server,
        other => panic!("expected a placement, found {other:?}"),
    };
    let servers: Vec<_> = changes
        .iter()
        .map(|change| (server(change.before()), server(change.after())))
        .collect();
    assert_eq!(servers, [("s1".to_owned(), "s2".to_owned())]);
    assert_eq!(
        run_anti_entropy(&mut b, &mut a, START_MS),
        0,
        "both processes know the same facts"
    );
}

#[test]
fn gossips_received_fact_until_transmission_limit() {
    let mut stores: Vec<FactStore> = (0..4)
        .map(|index| process(&format!("p{index}"), 1))
        .collect();
    stores
        .iter_mut()
        .for_each(|store| store.set_member_count(4));
    stores[0]
        .observe(&client(1), &placed_on("s1"), VALIDITY_MS, START_MS)
        .expect("the observation is stored");
    for index in 0..3 {
        let (from, to) = stores.split_at_mut(index + 1);
        assert_eq!(send_gossip(&mut from[index], &mut to[0], START_MS).len(), 1);
    }
    // 3 log2(4) + 2 transmissions in total; a duplicate received counts as one.
    let duplicate = stores[3].gossip_payload(MAX_DATAGRAM_BYTES, START_MS);
    (0..3).for_each(|_| assert_eq!(stores[2].merge_packet(&duplicate, START_MS), Ok(vec![])));
    let transmissions = (0..20)
        .take_while(|_| {
            !stores[2]
                .gossip_payload(MAX_DATAGRAM_BYTES, START_MS)
                .is_empty()
        })
        .count();
    assert_eq!(transmissions, 8 - 1 - 3);
}

#[test]
fn converges_when_processes_share_name_and_incarnation() {
    let [mut a, mut b] = ["s1", "s2"].map(|server| {
        let mut store = process("doubled", 1);
        store
            .observe(&client(1), &placed_on(server), VALIDITY_MS, START_MS)
            .expect("the observation is stored");
        store
    });
    let (from_a, from_b) = (
        a.gossip_payload(MAX_DATAGRAM_BYTES, START_MS),
        b.gossip_payload(MAX_DATAGRAM_BYTES, START_MS),
    );
    a.merge_packet(&from_b, START_MS).expect("valid input");
    b.merge_packet(&from_a, START_MS).expect("valid input");
    assert_eq!(
        facts_without_ages(&a, START_MS),
        facts_without_ages(&b, START_MS)
    );
}
