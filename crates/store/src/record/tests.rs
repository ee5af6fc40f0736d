use super::*;

fn pin() -> Override {
    Override {
        id: OverrideId(7),
        kind: OverrideKind::Pin {
            subject: Subject::Tenant("north".into()),
            server: "s1".into(),
            strictness: Strictness::Strict,
        },
        who: "ada".into(),
        why: "why".into(),
        created_at: 1,
        expires_at: 2,
        removed_at: Some(2),
        revision: 3,
        forced: true,
        replay: Some(Replay {
            key: "k".into(),
            body: vec![1, 2],
        }),
    }
}

#[test]
fn what_is_written_is_read_back() {
    for kind in [
        pin().kind,
        OverrideKind::Out {
            server: "s".into(),
            moves_per_s: Some(0.5),
        },
        OverrideKind::Out {
            server: "s".into(),
            moves_per_s: None,
        },
        OverrideKind::Weight {
            server: "s".into(),
            factor: 0.25,
        },
        OverrideKind::Pin {
            subject: Subject::Group("g".into()),
            server: "s".into(),
            strictness: Strictness::Prefer,
        },
    ] {
        let one = Override { kind, ..pin() };
        assert_eq!(decode(&encode(&one)), Some(one));
    }
}

#[test]
fn records_of_other_programs_are_read_or_refused_but_never_misread() {
    // An older one without the later fields.
    let older = Record {
        removed_at: None,
        replay: None,
        ..Record::decode(&encode(&pin())[..]).expect("sound")
    };
    let read = decode(&older.encode_to_vec()).expect("an older record");
    assert_eq!((read.removed_at, read.replay), (None, None));
    // A newer one with a field that is not known here: field 99, a varint.
    let mut newer = encode(&pin());
    newer.extend([0x98, 0x06, 0x01]);
    assert_eq!(decode(&newer), Some(pin()));
    // A kind that is not known, a weight of nothing, and no record at all.
    assert_eq!(
        decode(
            &Record {
                kind: None,
                ..older.clone()
            }
            .encode_to_vec()
        ),
        None
    );
    let naught = KindRecord::Weight(WeightRecord {
        server: "s".into(),
        factor: 0.0,
    });
    assert_eq!(
        decode(
            &Record {
                kind: Some(naught),
                ..older
            }
            .encode_to_vec()
        ),
        None
    );
    assert_eq!(decode(b"\xff\xff\xff"), None);
}
