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
fn round_trips_every_kind_of_override() {
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
        let original = Override { kind, ..pin() };
        assert_eq!(decode(&encode(&original)), Some(original));
    }
}

#[test]
fn decodes_other_versions_and_rejects_malformed_records() {
    // An older record without the later fields.
    let older = Record {
        removed_at: None,
        replay: None,
        ..Record::decode(&encode(&pin())[..]).expect("the encoded record decodes")
    };
    let decoded = decode(&older.encode_to_vec()).expect("an older record decodes");
    assert_eq!((decoded.removed_at, decoded.replay), (None, None));
    // A newer record with an unknown field: field 99, a varint.
    let mut newer = encode(&pin());
    newer.extend([0x98, 0x06, 0x01]);
    assert_eq!(decode(&newer), Some(pin()));
    // An unknown kind, a weight factor of 0, and bytes that are not a record.
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
    let zero_weight = KindRecord::Weight(WeightRecord {
        server: "s".into(),
        factor: 0.0,
    });
    assert_eq!(
        decode(
            &Record {
                kind: Some(zero_weight),
                ..older
            }
            .encode_to_vec()
        ),
        None
    );
    assert_eq!(decode(b"\xff\xff\xff"), None);
}
