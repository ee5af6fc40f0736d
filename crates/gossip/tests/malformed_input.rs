//! Decoding of arbitrary and corrupted input, and of records of newer versions.

mod common;

use beaconflow_gossip::*;
use common::*;
use proptest::prelude::*;

const VALIDITY_MS: Millis = 600_000;

/// A process that knows facts of every kind.
fn store_with_every_kind() -> FactStore {
    let mut store = process("a", 1);
    for (subject, value) in facts_of_every_kind() {
        let fact = store
            .observe(&subject, &value, VALIDITY_MS, START_MS)
            .expect("the observation is stored");
        assert_eq!(
            (fact.subject, fact.value),
            (subject, value),
            "a stored fact is read back unchanged"
        );
    }
    store
}

#[test]
fn transmits_every_fact_kind_unchanged() {
    let (mut from, mut to) = (store_with_every_kind(), process("b", 1));
    assert_eq!(send_gossip(&mut from, &mut to, START_MS).len(), 11);
    assert_eq!(
        facts_without_ages(&to, START_MS),
        facts_without_ages(&from, START_MS)
    );
}

/// An encoded length-delimited field.
fn field(number: u8, bytes: &[u8]) -> Vec<u8> {
    let mut encoded = vec![number << 3 | 2, bytes.len() as u8];
    encoded.extend(bytes);
    encoded
}

#[test]
fn forwards_unknown_fields_and_kinds_unchanged() {
    let newer_packet = |kind: u8| {
        let value = [field(1, b"s9"), field(14, b"new field in a value")].concat();
        let known_fields = [
            vec![8, kind],
            field(2, &[0; 9]),
            field(4, b"newer"),
            vec![56, 9, 72, 200, 1],
        ]
        .concat();
        let record = [
            known_fields,
            field(11, &value),
            field(15, b"new field in a fact"),
        ]
        .concat();
        (field(1, &field(1, &record)), record)
    };
    // A placement with additional fields, evidence that this version cannot read, and an unknown kind.
    for kind in [6, 3, 99] {
        let (packet, record) = newer_packet(kind);
        let (mut older, mut other) = (process("older", 1), process("other", 1));
        assert_eq!(
            older
                .merge_packet(&packet, START_MS)
                .expect("valid input")
                .len(),
            1
        );
        let gossip = older.gossip_payload(MAX_DATAGRAM_BYTES, START_MS);
        assert!(
            gossip.windows(record.len()).any(|window| window == record),
            "kind {kind} is forwarded byte for byte"
        );
        other.merge_packet(&gossip, START_MS).expect("valid input");
        let pages = other
            .answer_summary(
                &process("third", 1).summary(MAX_DATAGRAM_BYTES),
                MAX_DATAGRAM_BYTES,
                4,
                START_MS,
            )
            .expect("valid input");
        assert!(
            pages
                .concat()
                .windows(record.len())
                .any(|window| window == record)
        );
        assert_eq!(
            older.placement(PlacementKey::Client(0), START_MS).is_some(),
            kind == 6
        );
        assert_eq!(older.rejected_facts(), 0);
    }
}

#[test]
fn rejects_fact_when_version_exceeds_maximum() {
    let record = [
        vec![8, 6],
        field(2, &[0; 9]),
        vec![56],
        vec![255; 9],
        vec![1, 72, 100],
    ]
    .concat();
    let mut store = process("a", 1);
    assert_eq!(
        store.merge_packet(&field(1, &field(1, &record)), START_MS),
        Ok(vec![])
    );
    assert_eq!(store.rejected_facts(), 1);
    assert_eq!(
        store.merge_packet(&vec![0; 2 << 20], START_MS),
        Err(DecodeError::TooLong)
    );
    assert_eq!(
        store.merge_packet(&[255; 9], START_MS),
        Err(DecodeError::Malformed)
    );
}

#[test]
fn rejects_invalid_observations() {
    let mut store = process("a", 1);
    assert_eq!(
        store.observe(
            &client(1),
            &Value::SlowStartSends(1.0),
            VALIDITY_MS,
            START_MS
        ),
        Err(ObserveError::Senseless)
    );
    for amount in [f64::NAN, f64::INFINITY, -1.0] {
        let subject = Subject::SlowStartSends("s".into());
        assert_eq!(
            store.observe(
                &subject,
                &Value::SlowStartSends(amount),
                VALIDITY_MS,
                START_MS
            ),
            Err(ObserveError::Senseless)
        );
    }
    let known_kind = Subject::Unknown {
        kind: Subject::ListVersion.kind() as u32 + 1,
        key: vec![],
        is_per_process: true,
    };
    assert_eq!(
        store.observe(&known_kind, &Value::Unknown(vec![]), VALIDITY_MS, START_MS),
        Err(ObserveError::Senseless)
    );
    assert_eq!(
        store.observe(&client(1), &placed_on("s"), 0, START_MS),
        Err(ObserveError::NotKept)
    );
}

/// Passes bytes to all code that decodes input, and checks that the state stays within its limits.
fn read_everywhere(bytes: &[u8]) {
    let mut store = store_with_every_kind();
    let _ = store.merge_packet(bytes, START_MS);
    let _ = store.import([bytes], 5, START_MS);
    let _ = FactStore::read_exported(bytes, 5, START_MS);
    if let Ok(pages) = store.answer_summary(bytes, MAX_DATAGRAM_BYTES, 3, START_MS) {
        assert!(pages.len() <= 3 && pages.iter().all(|page| page.len() <= MAX_DATAGRAM_BYTES));
    }
    for kind in FactKind::ALL {
        assert!(store.usage(kind).0 <= Bounds::default().of_kind(kind).max_bytes);
        store.iter(kind, START_MS).for_each(drop);
    }
    let _ = (
        store.server_entries(START_MS),
        store.assess_server("s1", START_MS),
        store.slow_start_sent("s1", START_MS),
        store.failure_count(5, START_MS),
    );
    // The process still gossips and compares digests, including those of a range that the input named.
    let peer = process("peer", 1);
    for _ in 0..4 {
        assert!(store.gossip_payload(MAX_DATAGRAM_BYTES, START_MS).len() <= MAX_DATAGRAM_BYTES);
        let summary = store.summary(MAX_DATAGRAM_BYTES);
        assert!(
            summary.len() <= MAX_DATAGRAM_BYTES
                && peer
                    .answer_summary(&summary, MAX_DATAGRAM_BYTES, 3, START_MS)
                    .is_ok()
        );
    }
    store.expire(Millis::MAX);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(300) })]

    #[test]
    fn reads_or_rejects_arbitrary_bytes(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        read_everywhere(&bytes);
    }

    #[test]
    fn reads_or_rejects_corrupted_or_truncated_bytes(
        action in 0..4_u8,
        changes in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..6),
        cut in any::<prop::sample::Index>(),
    ) {
        let mut store = store_with_every_kind();
        let mut bytes = match action {
            0 => store.gossip_payload(MAX_DATAGRAM_BYTES, START_MS),
            1 => store.summary(MAX_DATAGRAM_BYTES),
            2 => store.answer_summary(&process("b", 1).summary(MAX_DATAGRAM_BYTES), MAX_DATAGRAM_BYTES, 1, START_MS).expect("valid input").remove(0),
            _ => store.export(&FactKind::ALL, START_MS).remove(changes.len()),
        };
        for (at, byte) in changes {
            let at = at.index(bytes.len());
            bytes[at] = byte;
        }
        bytes.truncate(cut.index(bytes.len() + 1));
        read_everywhere(&bytes);
    }
}
