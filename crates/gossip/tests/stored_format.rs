//! Records as the first released version wrote them must stay readable and be written with the same bytes.

mod common;

use beaconflow_gossip::*;
use common::*;

/// One record of every kind per line, in hexadecimal digits.
const RECORDS: &str = include_str!("data/records.hex");
const VALIDITY_MS: Millis = 600_000;

fn store_with_every_kind() -> FactStore {
    let mut store = process("a", 1);
    for (subject, value) in facts_of_every_kind() {
        store
            .observe(&subject, &value, VALIDITY_MS, START_MS)
            .expect("a valid fact");
    }
    store
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn bytes(hex: &str) -> Vec<u8> {
    let digits = |at| u8::from_str_radix(&hex[at..at + 2], 16).expect("hexadecimal digits");
    (0..hex.len()).step_by(2).map(digits).collect()
}

#[test]
fn writes_every_record_kind_as_first_released() {
    let written: Vec<String> = store_with_every_kind()
        .export(&FactKind::ALL, START_MS + 7)
        .iter()
        .map(|record| hex(record))
        .collect();
    assert_eq!(written.join("\n"), RECORDS.trim_end());
}

#[test]
fn reads_every_record_kind_as_first_released() {
    let records: Vec<Vec<u8>> = RECORDS.lines().map(bytes).collect();
    let mut restored = process("b", 1);
    restored.import(records.iter().map(Vec::as_slice), 0, START_MS + 7);
    assert_eq!(
        facts_without_ages(&restored, START_MS + 7),
        facts_without_ages(&store_with_every_kind(), START_MS + 7)
    );
}
