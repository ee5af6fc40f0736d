//! Each case of the transport suite detects the defect it is meant for.

use std::collections::BTreeSet;

use beaconflow_contracts::transports::model::{Defect, InMemory};
use beaconflow_contracts::transports::{Case, assert_conforms, cases};

const DEFECTS_AND_CASES: &[(Defect, &str)] = &[
    (Defect::Reorders, "preserves order"),
    (Defect::ReordersUnderJitter, "delivers under jitter"),
    (Defect::LosesDuringPartition, "recovers from partition"),
    (Defect::TruncatesFragments, "reassembles fragments"),
    (
        Defect::DeliversPartialAtClose,
        "discards partial message at close",
    ),
    (Defect::DeliversDuplicates, "handles duplicates"),
    (Defect::AcceptsOversized, "refuses oversized"),
    (Defect::DropsWhenFull, "tolerates slow receiver"),
    (Defect::NeverTimesOut, "gives up silent peer"),
    (Defect::HidesClose, "passes on close"),
    (Defect::SwapsCloseAndReset, "passes on reset"),
];

/// Names of the cases that a transport with this defect fails.
fn failed_cases(defect: Defect) -> BTreeSet<&'static str> {
    let is_failed = |case: &Case| (case.run)(&mut InMemory::new(defect)).is_err();
    cases()
        .iter()
        .filter(|case| is_failed(case))
        .map(|case| case.name)
        .collect()
}

#[test]
fn in_memory_transport_conforms() {
    assert_conforms(|| InMemory::new(Defect::None));
}

#[test]
fn fails_matching_case_when_transport_has_defect() {
    std::thread::scope(|scope| {
        for (defect, case) in DEFECTS_AND_CASES {
            scope.spawn(move || {
                let failed = failed_cases(*defect);
                assert!(
                    failed.contains(case),
                    "a transport that {defect:?} fails {failed:?}, not {case}"
                );
            });
        }
    });
}

#[test]
fn lists_one_defect_for_each_case() {
    let case_names: Vec<&str> = cases().iter().map(|case| case.name).collect();
    let covered_cases: Vec<&str> = DEFECTS_AND_CASES.iter().map(|(_, case)| *case).collect();
    assert_eq!(
        case_names, covered_cases,
        "the table covers every case once, in order"
    );
}
