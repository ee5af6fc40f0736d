//! Each case of the suite catches what it is there for.

use std::collections::BTreeSet;

use beaconflow_contracts::stores::model::{Defect, InMemory};
use beaconflow_contracts::stores::{Subject, cases};

const DEFECTS_AND_CASES: &[(Defect, &str)] = &[
    (Defect::RejectsPutAfterRemove, "the last put holds"),
    (Defect::DefersPuts, "durable on return"),
    (Defect::SplitsBatches, "all or none"),
    (Defect::DefersRemoves, "killed at each write"),
    (Defect::RecoversInPlace, "killed while it opens"),
    (Defect::AcknowledgesWhenFull, "full"),
    (Defect::AcknowledgesWhenReadOnly, "read-only"),
    (Defect::DefersWhenSlow, "slow"),
    (Defect::IgnoresClear, "emptied under its reader"),
    (Defect::OpensNewerSchema, "newer schema"),
    (Defect::AllowsSecondOpen, "opened twice"),
    (Defect::TreatsSilenceAsSuccess, "a silent server"),
    (Defect::TreatsPartialReplyAsSuccess, "half an answer"),
    (Defect::RejectsRetry, "a reset in the middle"),
    (Defect::AcceptsMismatchedReply, "late answers"),
    (Defect::TreatsLoadingAsEmpty, "a loading server"),
];

/// The cases that a store with this defect fails.
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
    assert!(failed_cases(Defect::None).is_empty());
    for (defect, case) in DEFECTS_AND_CASES {
        let failed = failed_cases(*defect);
        assert!(
            failed.contains(case),
            "{defect:?} fails {failed:?}, and not {case}"
        );
    }
}

#[test]
fn lists_one_defect_for_each_case() {
    let case_names: Vec<&str> = cases().iter().map(|case| case.name).collect();
    let covered_cases: Vec<&str> = DEFECTS_AND_CASES.iter().map(|(_, case)| *case).collect();
    assert_eq!(case_names, covered_cases);
}
