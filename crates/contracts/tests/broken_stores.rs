//! Each case of the store suite detects the defect it is meant for.

use std::collections::BTreeSet;

use beaconflow_contracts::stores::model::{Defect, InMemory};
use beaconflow_contracts::stores::{Subject, cases};

const DEFECTS_AND_CASES: &[(Defect, &str)] = &[
    (Defect::IgnoresPutAfterRemove, "last change persists"),
    (Defect::DefersPuts, "put is durable on return"),
    (Defect::SplitsBatches, "batch is atomic"),
    (Defect::DefersRemoves, "power loss at each write"),
    (Defect::RecoversInPlace, "power loss while opening"),
    (Defect::AcknowledgesWhenFull, "full"),
    (Defect::AcknowledgesWhenReadOnly, "read-only"),
    (Defect::DefersWhenSlow, "slow writes"),
    (Defect::IgnoresClear, "cleared while open"),
    (Defect::OpensNewerSchema, "newer data is preserved"),
    (Defect::AllowsSecondOpen, "second open"),
    (Defect::TreatsSilenceAsSuccess, "silent server"),
    (Defect::TreatsPartialReplyAsSuccess, "partial reply"),
    (Defect::RejectsRetry, "reset during reply"),
    (Defect::AcceptsMismatchedReply, "delayed replies"),
    (Defect::TreatsLoadingAsEmpty, "loading server"),
];

/// Names of the cases that a store with this defect fails.
fn failed_cases(defect: Defect) -> BTreeSet<&'static str> {
    let make_subject = || Box::new(InMemory::new(defect)) as Box<dyn Subject>;
    cases()
        .into_iter()
        .filter(|case| (case.run)(&make_subject).is_err())
        .map(|case| case.name)
        .collect()
}

#[test]
fn fails_matching_case_when_store_has_defect() {
    assert!(
        failed_cases(Defect::None).is_empty(),
        "a store without a defect fails a case"
    );
    for (defect, case) in DEFECTS_AND_CASES {
        let failed = failed_cases(*defect);
        assert!(
            failed.contains(case),
            "a store that {defect:?} fails {failed:?}, not {case}"
        );
    }
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
