//! Each case of the suite catches what it is there for.

use std::collections::BTreeSet;

use beaconflow_contracts::stores::model::{Defect, InMemory};
use beaconflow_contracts::stores::{Subject, cases};

const TABLE: &[(Defect, &str)] = &[
    (Defect::RemovesForGood, "the last put holds"),
    (Defect::WritesBehind, "durable on return"),
    (Defect::RowByRow, "all or none"),
    (Defect::RemovesBehind, "killed at each write"),
    (Defect::MendsInPlace, "killed while it opens"),
    (Defect::TakesAllWhenFull, "full"),
    (Defect::TakesAllWhenReadOnly, "read-only"),
    (Defect::BehindWhenSlow, "slow"),
    (Defect::HoldsTheRemoved, "emptied under its reader"),
    (Defect::ReadsTheNewer, "newer schema"),
    (Defect::OpensTwice, "opened twice"),
    (Defect::SilenceIsYes, "a silent server"),
    (Defect::HalfIsWhole, "half an answer"),
    (Defect::RepeatIsRefused, "a reset in the middle"),
    (Defect::AnyAnswerDoes, "late answers"),
    (Defect::LoadingIsEmpty, "a loading server"),
];

/// The cases that a store with this defect fails.
fn failed(defect: Defect) -> BTreeSet<&'static str> {
    let make = || Box::new(InMemory::new(defect)) as Box<dyn Subject>;
    cases()
        .into_iter()
        .filter(|case| (case.run)(&make).is_err())
        .map(|case| case.name)
        .collect()
}

#[test]
fn a_store_with_one_defect_fails_the_case_that_is_there_for_it() {
    assert!(failed(Defect::None).is_empty());
    for (defect, case) in TABLE {
        let failed = failed(*defect);
        assert!(
            failed.contains(case),
            "{defect:?} fails {failed:?}, and not {case}"
        );
    }
}

#[test]
fn each_case_has_a_defect() {
    let all: Vec<&str> = cases().iter().map(|case| case.name).collect();
    let caught: Vec<&str> = TABLE.iter().map(|(_, case)| *case).collect();
    assert_eq!(all, caught);
}
