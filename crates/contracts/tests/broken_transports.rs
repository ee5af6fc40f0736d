//! Each case of the suite catches what it is there for.

use std::collections::BTreeSet;

use beaconflow_contracts::transports::model::{Defect, InMemory};
use beaconflow_contracts::transports::{Case, assert_conforms, cases};

const TABLE: &[(Defect, &str)] = &[
    (Defect::Swaps, "order"),
    (Defect::SwapsWhenUneven, "uneven times"),
    (Defect::Loses, "loss"),
    (Defect::CutsShort, "half messages"),
    (Defect::GivesHalf, "half a message and an end"),
    (Defect::Doubles, "doubled"),
    (Defect::TakesAll, "oversized"),
    (Defect::Overflows, "a slow peer"),
    (Defect::Waits, "a silent peer"),
    (Defect::Lingers, "end for end"),
    (Defect::Confuses, "reset for reset"),
];

/// The cases that a transport with this defect fails.
fn failed(defect: Defect) -> BTreeSet<&'static str> {
    let fails = |case: &Case| (case.run)(&mut InMemory::new(defect)).is_err();
    cases()
        .iter()
        .filter(|case| fails(case))
        .map(|case| case.name)
        .collect()
}

#[test]
fn in_memory() {
    assert_conforms(|| InMemory::new(Defect::None));
}

#[test]
fn a_transport_with_one_defect_fails_the_case_that_is_there_for_it() {
    std::thread::scope(|scope| {
        for (defect, case) in TABLE {
            scope.spawn(move || {
                let failed = failed(*defect);
                assert!(
                    failed.contains(case),
                    "{defect:?} fails {failed:?}, and not {case}"
                );
            });
        }
    });
}

#[test]
fn each_case_has_a_defect() {
    let all: Vec<&str> = cases().iter().map(|case| case.name).collect();
    let caught: Vec<&str> = TABLE.iter().map(|(_, case)| *case).collect();
    assert_eq!(all, caught);
}
