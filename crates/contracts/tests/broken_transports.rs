//! Each case of the suite catches what it is there for.

use std::collections::BTreeSet;

use beaconflow_contracts::transports::model::{Defect, InMemory};
use beaconflow_contracts::transports::{Case, assert_conforms, cases};

const DEFECTS_AND_CASES: &[(Defect, &str)] = &[
    (Defect::Reorders, "order"),
    (Defect::ReordersUnderJitter, "uneven times"),
    (Defect::LosesDuringPartition, "loss"),
    (Defect::TruncatesFragments, "half messages"),
    (Defect::DeliversPartialAtClose, "half a message and an end"),
    (Defect::DeliversDuplicates, "doubled"),
    (Defect::AcceptsOversized, "oversized"),
    (Defect::DropsWhenFull, "a slow peer"),
    (Defect::NeverTimesOut, "a silent peer"),
    (Defect::HidesClose, "end for end"),
    (Defect::SwapsCloseAndReset, "reset for reset"),
];

/// The cases that a transport with this defect fails.
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
                    "{defect:?} fails {failed:?}, and not {case}"
                );
            });
        }
    });
}

#[test]
fn lists_one_defect_for_each_case() {
    let case_names: Vec<&str> = cases().iter().map(|case| case.name).collect();
    let covered_cases: Vec<&str> = DEFECTS_AND_CASES.iter().map(|(_, case)| *case).collect();
    assert_eq!(case_names, covered_cases);
}
