//! Records as the first released program wrote them: they are read, and written byte for byte alike.

mod common;

use beaconflow_gossip::*;
use common::*;

/// One record a line, in hexadecimal digits, of every kind.
const RECORDS: &str = include_str!("data/records.hex");
const LONG: Millis = 600_000;

fn known() -> FactStore {
    let mut known = process("a", 1);
    for (subject, value) in one_of_each_kind() {
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
