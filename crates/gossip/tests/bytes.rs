//! Bytes of strangers, of newer programs, and none at all.

mod common;

use beaconflow_gossip::*;
use common::*;
use proptest::prelude::*;

const LONG: Millis = 600_000;

/// A process that knows something of each kind.
fn filled() -> FactStore {
    let mut one = process("a", 1);
    for (subject, value) in one_of_each_kind() {
        let fact = one.observe(&subject, &value, LONG, START).expect("taken");
        assert_eq!(
            (fact.subject, fact.value),
            (subject, value),
            "what is written is read back"
        );
    }
    one
}

#[test]
fn all_kinds_reach_a_peer_as_they_are() {
    let (mut from, mut to) = (filled(), process("b", 1));
    assert_eq!(tell(&mut from, &mut to, START).len(), 11);
    assert_eq!(all_of(&to, START), all_of(&from, START));
}

/// A length-delimited field.
fn field(number: u8, bytes: &[u8]) -> Vec<u8> {
    let mut all = vec![number << 3 | 2, bytes.len() as u8];
    all.extend(bytes);
    all
}

#[test]
fn fields_and_kinds_of_a_newer_program_are_passed_on_unread() {
    let newer = |kind: u8| {
        let value = [field(1, b"s9"), field(14, b"new in the value")].concat();
        let plain = [
            vec![8, kind],
            field(2, &[0; 9]),
            field(4, b"newer"),
            vec![56, 9, 72, 200, 1],
        ]
        .concat();
        let record = [plain, field(11, &value), field(15, b"new in the fact")].concat();
        (field(1, &field(1, &record)), record)
    };
    // A placement with more to it, a sight of a server that is none here, and a kind that is none here.
    for kind in [6, 3, 99] {
        let (packet, record) = newer(kind);
        let (mut older, mut other) = (process("older", 1), process("other", 1));
        assert_eq!(older.take(&packet, START).expect("sound").len(), 1);
        let told = older.gossip_payload(ROOM, START);
        assert!(
            told.windows(record.len()).any(|window| window == record),
            "kind {kind} byte for byte"
        );
        other.take(&told, START).expect("sound");
        let pages = other
            .answer(&process("third", 1).summary(ROOM), ROOM, 4, START)
            .expect("sound");
        assert!(
            pages
                .concat()
                .windows(record.len())
                .any(|window| window == record)
        );
        assert_eq!(
            older.placement(Holder::Client(0), START).is_some(),
            kind == 6
        );
        assert_eq!(older.refused(), 0);
    }
}

#[test]
fn a_fact_that_could_never_be_outdone_is_refused_and_counted() {
    let record = [
        vec![8, 6],
        field(2, &[0; 9]),
        vec![56],
        vec![255; 9],
        vec![1, 72, 100],
    ]
    .concat();
    let mut one = process("a", 1);
    assert_eq!(one.take(&field(1, &field(1, &record)), START), Ok(vec![]));
    assert_eq!(one.refused(), 1);
    assert_eq!(one.take(&vec![0; 2 << 20], START), Err(Unreadable::TooLong));
    assert_eq!(one.take(&[255; 9], START), Err(Unreadable::Malformed));
}

#[test]
fn senseless_observations_are_refused() {
    let mut one = process("a", 1);
    assert_eq!(
        one.observe(&client(1), &Value::ColdSent(1.0), LONG, START),
        Err(Refused::Senseless)
    );
    for amount in [f64::NAN, f64::INFINITY, -1.0] {
        let cold = Subject::ColdSent("s".into());
        assert_eq!(
            one.observe(&cold, &Value::ColdSent(amount), LONG, START),
            Err(Refused::Senseless)
        );
    }
    let known = Subject::Unknown {
        kind: Subject::List.kind() as u32 + 1,
        key: vec![],
        owned: true,
    };
    assert_eq!(
        one.observe(&known, &Value::Unknown(vec![]), LONG, START),
        Err(Refused::Senseless)
    );
    assert_eq!(
        one.observe(&client(1), &stands("s"), 0, START),
        Err(Refused::NotKept)
    );
}

/// Hands bytes to all that reads any; what comes of it is bounded.
fn read_everywhere(bytes: &[u8]) {
    let mut one = filled();
    let _ = one.take(bytes, START);
    let _ = one.import([bytes], 5, START);
    let _ = FactStore::read(bytes, 5, START);
    if let Ok(pages) = one.answer(bytes, ROOM, 3, START) {
        assert!(pages.len() <= 3 && pages.iter().all(|page| page.len() <= ROOM));
    }
    for kind in Kind::ALL {
        assert!(one.size(kind).0 <= Bounds::default().of(kind).bytes);
        one.iter(kind, START).for_each(drop);
    }
    let _ = (
        one.list(START),
        one.assess_server("s1", START),
        one.slow_start_sent("s1", START),
        one.failures(5, START),
    );
    // It still tells and compares, also in a stretch that a stranger named.
    let peer = process("peer", 1);
    for _ in 0..4 {
        assert!(one.gossip_payload(ROOM, START).len() <= ROOM);
        let summary = one.summary(ROOM);
        assert!(summary.len() <= ROOM && peer.answer(&summary, ROOM, 3, START).is_ok());
    }
    one.expire(Millis::MAX);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(300) })]

    #[test]
    fn arbitrary_bytes_are_read_or_refused(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        read_everywhere(&bytes);
    }

    #[test]
    fn sound_bytes_with_some_changed_or_cut_are_read_or_refused(
        what in 0..4_u8,
        changes in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..6),
        cut in any::<prop::sample::Index>(),
    ) {
        let mut one = filled();
        let mut bytes = match what {
            0 => one.gossip_payload(ROOM, START),
            1 => one.summary(ROOM),
            2 => one.answer(&process("b", 1).summary(ROOM), ROOM, 1, START).expect("sound").remove(0),
            _ => one.export(&Kind::ALL, START).remove(changes.len()),
        };
        for (at, byte) in changes {
            let at = at.index(bytes.len());
            bytes[at] = byte;
        }
        bytes.truncate(cut.index(bytes.len() + 1));
        read_everywhere(&bytes);
    }
}
