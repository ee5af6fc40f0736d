//! Records as the first released program wrote them: they are read, and written byte for byte alike.

mod common;

use beaconflow_gossip::*;
use common::*;

/// One record a line, in hexadecimal digits, of every kind.
const RECORDS: &str = include_str!("data/records.hex");
const LONG: Millis = 600_000;

fn known() -> FactStore {
    let mut known = process("a", 1);
    let made = Override::Made {
        expires_at: START + LONG,
        bytes: vec![9; 30],
    };
    let held = ListVersion {
        position: Position {
            incarnation: 1,
            generation: 4,
        },
        digest: 3,
    };
    let unknown = Subject::Unknown {
        kind: 77,
        key: vec![1, 2],
        owned: true,
    };
    let facts = [
        (
            Subject::Listed("s1".into()),
            entry(1, 4, Lifecycle::Draining),
        ),
        (Subject::List, Value::List(held)),
        (
            Subject::Standing("s1".into()),
            Value::Standing(Evidence {
                seen: Seen::Refused,
                weight: 2.0,
            }),
        ),
        (Subject::ColdSent("s1".into()), Value::ColdSent(3.5)),
        (
            Subject::Failures(5),
            Value::Failures(Failures {
                count: 2,
                voided: Some(10),
            }),
        ),
        (client(5), stands("s1")),
        (Subject::Placement(Holder::Group(5)), Value::Placement(None)),
        (Subject::Override(vec![1]), Value::Override(made)),
        (
            Subject::Override(vec![2]),
            Value::Override(Override::Removed),
        ),
        (
            Subject::Configuration,
            Value::Configuration(Configuration {
                digest: 1,
                number: 2,
            }),
        ),
        (unknown, Value::Unknown(vec![1, 2, 3])),
    ];
    for (subject, value) in facts {
        known
            .observe(&subject, &value, LONG, START)
            .expect("a valid fact");
    }
    known
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn bytes(hex: &str) -> Vec<u8> {
    let digits = |at| u8::from_str_radix(&hex[at..at + 2], 16).expect("hexadecimal digits");
    (0..hex.len()).step_by(2).map(digits).collect()
}

#[test]
fn writes_every_kind_of_record_as_it_was_first_written() {
    let written: Vec<String> = known()
        .export(&Kind::ALL, START + 7)
        .iter()
        .map(|one| hex(one))
        .collect();
    assert_eq!(written.join("\n"), RECORDS.trim_end());
}

#[test]
fn reads_every_kind_of_record_that_was_first_written() {
    let records: Vec<Vec<u8>> = RECORDS.lines().map(bytes).collect();
    let mut restored = process("b", 1);
    restored.import(records.iter().map(Vec::as_slice), 0, START + 7);
    assert_eq!(all_of(&restored, START + 7), all_of(&known(), START + 7));
}
