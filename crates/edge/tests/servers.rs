//! Judgements of servers: merged in any order, aged, bounded, and given back.

use std::collections::BTreeMap;

use beaconflow_edge::*;
use proptest::prelude::*;

const COLD: Millis = 60_000;
const T: Millis = 1_000_000;

fn known(names: &[&str]) -> Vec<Known> {
    names
        .iter()
        .map(|name| Known {
            server: (*name).into(),
            weight: 1_000,
            started_ms: 0,
        })
        .collect()
}

fn of(judgements: &HealthReports, now: Millis) -> BTreeMap<String, ServerAssessment> {
    standings(&known(&["s1", "s2", "s3", "s4"]), judgements, now, COLD)
}

/// So many processes find a server to be something.
fn witness(
    judgements: &mut HealthReports,
    now: Millis,
    by: usize,
    server: &str,
    judged: ServerHealth,
) {
    for n in 0..by {
        judgements.observe(now, &format!("n{n}"), server, 0, judged);
    }
}

#[test]
fn a_server_that_hangs_is_passed_over_by_all_and_gets_its_whole_part_back() {
    let mut all = HealthReports::new();
    witness(&mut all, T, 1, "s1", ServerHealth::Hung);
    assert_eq!(
        of(&all, T)["s1"].ejected_for,
        None,
        "one time-out is little"
    );
    witness(&mut all, T, 2, "s1", ServerHealth::Hung);
    assert_eq!(
        of(&all, T)["s1"],
        ServerAssessment {
            ejected_for: Some(ServerHealth::Hung),
            weight_permille: 0,
            slow_start_since: None
        }
    );
    // It fades, and the part comes back in steps.
    let part = |now| of(&all, now)["s1"].weight_permille;
    let parts: Vec<u64> = (0..50).map(|second| part(T + second * 1_000)).collect();
    let first = parts.iter().position(|part| *part > 0).expect("it fades");
    assert!(
        parts.is_sorted() && first < 30 && parts[first] <= 100,
        "{parts:?}"
    );
    assert_eq!(parts[45], 1_000);
}

#[test]
fn found_well_again_it_comes_back_sooner_but_no_herd_turns_to_it() {
    let mut all = HealthReports::new();
    witness(&mut all, T, 3, "s1", ServerHealth::Hung);
    witness(&mut all, T + 2_000, 3, "s1", ServerHealth::Well);
    let part = |after: Millis| of(&all, T + 2_000 + after)["s1"].weight_permille;
    assert_eq!([part(0), part(5_000), part(10_000)], [100, 600, 1_000]);
}

#[test]
fn one_whose_own_path_is_broken_is_outvoted() {
    let mut all = HealthReports::new();
    witness(&mut all, T - 1_000, 9, "s1", ServerHealth::Well);
    for _ in 0..4 {
        all.observe(T, "n0", "s1", 0, ServerHealth::Hung);
    }
    assert!(
        of(&all, T)["s1"].ejected_for.is_some(),
        "what others saw before says nothing of now"
    );
    for n in 1..9 {
        all.observe(T + 500, &format!("n{n}"), "s1", 0, ServerHealth::Well);
    }
    assert_eq!(of(&all, T + 500)["s1"].ejected_for, None);
}

#[test]
fn a_drain_by_its_own_word_needs_one_witness_and_lasts_until_it_starts_anew() {
    let mut all = HealthReports::new();
    all.observe(T, "n0", "s1", 5, ServerHealth::Drains);
    let later = T + 300_000;
    assert_eq!(
        of(&all, later)["s1"].ejected_for,
        Some(ServerHealth::Drains)
    );
    all.observe(later, "n1", "s1", later - 1_000, ServerHealth::Well);
    let back = &of(&all, later)["s1"];
    assert_eq!(
        (back.ejected_for, back.slow_start_since),
        (None, Some(later - 1_000)),
        "a new start, and cold"
    );
    assert_eq!(of(&all, later + COLD)["s1"].slow_start_since, None);
    // Nor does anything else that was said of its former life count.
    for _ in 0..6 {
        all.observe(
            T,
            &format!("n{}", all.iter().count()),
            "s2",
            5,
            ServerHealth::Hung,
        );
    }
    all.observe(T + 2_000, "n9", "s2", T + 1_000, ServerHealth::Well);
    assert_eq!(of(&all, T + 2_000)["s2"].ejected_for, None);
}

#[test]
fn a_server_that_was_away_and_is_back_is_cold() {
    let mut all = HealthReports::new();
    witness(&mut all, T, 2, "s1", ServerHealth::Refused);
    witness(&mut all, T + 4_000, 1, "s1", ServerHealth::Well);
    assert_eq!(of(&all, T + 4_100)["s1"].slow_start_since, Some(T + 4_000));
    // One that only hung has not started anew.
    witness(&mut all, T, 2, "s2", ServerHealth::Hung);
    witness(&mut all, T + 4_000, 2, "s2", ServerHealth::Well);
    assert_eq!(of(&all, T + 4_100)["s2"].slow_start_since, None);
}

#[test]
fn at_most_half_is_passed_over_and_all_bad_is_as_all_good() {
    let mut all = HealthReports::new();
    let passed = |all: &HealthReports| {
        of(all, T)
            .values()
            .filter(|one| one.ejected_for.is_some())
            .count()
    };
    let found = ["s1", "s2", "s3", "s4"].map(|server| {
        witness(&mut all, T, 3, server, ServerHealth::Hung);
        passed(&all)
    });
    assert_eq!(found, [1, 2, 2, 0]);
    // The gravest go first.
    let mut all = HealthReports::new();
    witness(&mut all, T, 3, "s1", ServerHealth::Hung);
    witness(&mut all, T, 2, "s2", ServerHealth::Gone);
    witness(&mut all, T, 2, "s3", ServerHealth::Gone);
    let standing = of(&all, T);
    let passed: Vec<bool> = standing
        .values()
        .map(|one| one.ejected_for.is_some())
        .collect();
    assert_eq!(passed, [false, true, true, false]);
}

fn judgement() -> impl Strategy<Value = HealthReport> {
    let judged = || {
        use ServerHealth::*;
        prop::sample::select(vec![Well, Busy, Hung, Refused, Drains, Gone])
    };
    let before = prop::option::of((0..50_u64, judged(), 1..5_u32));
    let before = before.prop_map(|one| {
        one.map(|(until_ms, health, weight)| Before {
            until_ms,
            health,
            weight,
        })
    });
    let times = (0..50_u64, 0..50_u64, 0..3_u64);
    // More processes than are kept, so that what gives way is tried too.
    (times, judged(), 1..5_u32, before, 0..3_u32, 0..90_u32).prop_map(
        |((since_ms, observed_at_ms, started_ms), health, weight, before, server, origin)| {
            HealthReport {
                observed_at_ms,
                health,
                weight,
                since_ms,
                before,
                started_ms,
                server: format!("s{server}"),
                origin: format!("n{origin}"),
            }
        },
    )
}

fn put(all: &[HealthReport]) -> HealthReports {
    let mut judgements = HealthReports::new();
    all.iter().for_each(|one| _ = judgements.put(one.clone()));
    judgements
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(60) })]

    #[test]
    fn merging_is_commutative_associative_and_idempotent(
        one in prop::collection::vec(judgement(), 0..300),
        two in prop::collection::vec(judgement(), 0..300),
        three in prop::collection::vec(judgement(), 0..300),
    ) {
        let [a, b, c] = [put(&one), put(&two), put(&three)];
        let merge = |x: &HealthReports, y: &HealthReports| { let mut x = x.clone(); x.merge(y); x };
        prop_assert_eq!(merge(&a, &b), merge(&b, &a));
        prop_assert_eq!(merge(&merge(&a, &b), &c), merge(&a, &merge(&b, &c)));
        prop_assert_eq!(&merge(&a, &a), &a);
        prop_assert_eq!(merge(&merge(&a, &b), &b), merge(&a, &b));
        prop_assert!(["s0", "s1", "s2"].iter().all(|server| merge(&a, &b).of(server).count() <= 64));
        // All at once, in any order, doubled.
        let mut whole: Vec<HealthReport> = [three, one.clone(), two, one].concat();
        whole.reverse();
        prop_assert_eq!(put(&whole), merge(&merge(&a, &b), &c));
    }

    #[test]
    fn parts_are_parts_and_never_more_than_half_is_passed_over(
        all in prop::collection::vec(judgement(), 0..200),
        now in 0..100_000_u64,
    ) {
        let servers = known(&["s0", "s1", "s2", "s3"]);
        let standing = standings(&servers, &put(&all), now, COLD);
        prop_assert_eq!(standing.len(), 4);
        let passed = standing.values().filter(|one| one.ejected_for.is_some());
        prop_assert!(passed.clone().count() <= 2);
        prop_assert!(passed.clone().all(|one| one.weight_permille == 0));
        let served = standing.values().filter(|one| one.ejected_for.is_none());
        prop_assert!(served.clone().all(|one| (100..=1_000).contains(&one.weight_permille)));
    }
}
