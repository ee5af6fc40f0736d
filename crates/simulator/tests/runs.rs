//! Whole runs on the virtual clock: runs are deterministic per seed and break no rule under any failures.

use beaconflow_simulator::compare::{mean_difference, run_pairs, run_scenario};
use beaconflow_simulator::engine::Engine;
use beaconflow_simulator::policies::Policy;
use beaconflow_simulator::scenario::Scenario;
use proptest::prelude::*;

const HANG: &str = include_str!("../scenarios/hang.toml");
const RESETS: &str = include_str!("../scenarios/resets.toml");
const FLOOD: &str = include_str!("../scenarios/flood.toml");

fn run(scenario: &Scenario) -> Engine<'_> {
    let mut engine = Engine::new(scenario, Policy::Beaconflow);
    engine.run(|_| true);
    engine
}

#[test]
fn runs_are_deterministic_per_seed() {
    let mut scenario = Scenario::parse(HANG).expect("the scenario is valid");
    let digest = |scenario: &Scenario| {
        let engine = run(scenario);
        format!("{:?} {:?}", engine.measures.events, engine.measures.seconds)
    };
    let (first, second) = (digest(&scenario), digest(&scenario));
    assert_eq!(first, second);
    scenario.seed += 1;
    assert_ne!(first, digest(&scenario));
}

#[test]
fn shipped_scenarios_break_no_rule_and_serve_clients() {
    // Under resets most clients currently miss the objective (docs/design/lab.md).
    for (name, text, least) in [
        ("hang", HANG, 0.95),
        ("resets", RESETS, 0.1),
        ("flood", FLOOD, 0.95),
    ] {
        let scenario = Scenario::parse(text).expect("the scenario is valid");
        let engine = run(&scenario);
        assert_eq!(engine.checker.violations(), [], "{name}");
        for served in engine
            .measures
            .classes
            .iter()
            .chain(&engine.measures.accounts)
        {
            assert!(
                served.fraction_in_time() >= least,
                "{name}, {}: only {:.3} connected in time",
                served.name,
                served.fraction_in_time()
            );
        }
    }
}

#[test]
fn parse_reports_unknown_references_with_line_numbers() {
    let text = "seconds = 10\nbalancers = 1\ngateways = 2\n[[class]]\nname = \"a\"\naim_ms = 1\ndeadline_ms = 1\n\
                a_second = 1\nlife_s = 0\nload_us = 1\n[[failure]]\nkind = \"hang\"\nat_s = 1\nfor_s = 1\n\
                gateways = [1, 5]\n[[failure]]\nkind = \"flood\"\nat_s = 11\nfor_s = 1\nclients = 1\naccount = \"x\"\n\
                [[failure]]\nkind = \"store-stalled\"\nat_s = 1\nfor_s = 1\n";
    let errors = Scenario::parse(text)
        .expect_err("the scenario is invalid")
        .0;
    assert_eq!(
        errors,
        [
            "class a: life_s and load_us must be above 0",
            "line 11: gateways: 5 is out of range, must be below 2",
            "line 16: at_s: must be from 0 to the scenario's 10 s",
            "line 16: account: \"x\" is not an account of the scenario",
            "line 22: store-stalled: the scenario has no store",
        ]
    );
    let error = Scenario::parse("seconds = 10\nbalancer = 1\n")
        .expect_err("the scenario is invalid")
        .0;
    assert!(
        error[0].starts_with("line 2: unknown field `balancer`"),
        "{error:?}"
    );
}

#[test]
fn baseline_policies_break_no_rule() {
    let scenario = Scenario::parse(HANG).expect("the scenario is valid");
    for policy in ["round-robin", "least-connections", "random-of-two"] {
        let policy: Policy = policy.parse().expect("the policy is known");
        let figures = run_scenario(&scenario, policy);
        assert!(
            figures.violations == 0 && figures.in_time > 0.5,
            "{policy}: {figures:?}"
        );
    }
    assert!(
        "first-fit"
            .parse::<Policy>()
            .is_err_and(|error| error.contains("random-of-two"))
    );
}

#[test]
fn comparison_detects_difference_only_where_one_exists() {
    let scenario = Scenario::parse(&HANG.replace("seconds = 60", "seconds = 40"))
        .expect("the scenario is valid");
    let sides = |other| [(&scenario, Policy::Beaconflow), (&scenario, other)];
    let same = run_pairs(sides(Policy::Beaconflow), 1..5, |_| ());
    assert!(
        same.iter().all(|[first, second]| first == second),
        "the same seeds give the same runs"
    );
    let round_robin = run_pairs(sides(Policy::RoundRobin), 1..5, |_| ());
    let in_time: Vec<(f64, f64)> = round_robin
        .iter()
        .map(|[first, second]| (first.in_time, second.in_time))
        .collect();
    let (mean, low, high) = mean_difference(&in_time, 1);
    assert!(
        low <= mean && mean <= high && high < 0.0,
        "round-robin keeps using the hung gateway: {mean} {low} {high}"
    );
    let noise = [
        (1.0, 1.1),
        (1.0, 0.9),
        (1.0, 1.05),
        (1.0, 0.95),
        (1.0, 1.02),
        (1.0, 0.98),
    ];
    let (_, low, high) = mean_difference(&noise, 1);
    assert!(low < 0.0 && high > 0.0);
}

/// Generates up to five failures that may overlap in any order.
fn failures() -> impl Strategy<Value = String> {
    let failure =
        (0..8_u32, 0..18_u32, 1..8_u32, 0..4_u32).prop_map(|(kind, at, duration, which)| {
            let head = |name: &str| format!("[[failure]]\nkind = \"{name}\"\nat_s = {at}\n");
            match kind {
                0 => format!("{}for_s = {duration}\ngateways = [{which}]\n", head("hang")),
                1 => format!(
                    "{}for_s = {duration}\ngateways = [{which}]\n",
                    head("crash")
                ),
                2 => format!(
                    "{}gone_after_s = {duration}\nfor_s = 3\ngateways = [{which}]\n",
                    head("drain")
                ),
                3 => format!(
                    "{}for_s = {duration}\npart_a_second = 0.05\nset_ups = 0.1\n",
                    head("resets")
                ),
                4 => format!("{}for_s = {duration}\n", head("store-stalled")),
                5 => format!(
                    "{}for_s = {duration}\nbalancer = {}\n",
                    head("balancer-killed"),
                    which % 2
                ),
                6 => format!("{}for_s = {duration}\n", head("discovery-away")),
                _ => format!("{}within_s = 0.5\npart = 0.5\n", head("reconnect")),
            }
        });
    prop::collection::vec(failure, 0..6).prop_map(|all| all.concat())
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(40) })]

    #[test]
    fn no_rule_breaks_under_random_failures(failures in failures(), seed in any::<u64>()) {
        let text = format!(
            "seed = {}\nseconds = 20\nbalancers = 2\ngateways = 4\nstore = {{ at_once = 4, mean_ms = 10 }}\n\
             [[class]]\nname = \"a\"\naim_ms = 400\ndeadline_ms = 2000\na_second = 20\nstanding = 100\nlife_s = 10\n\
             load_us = 20000\nload_sigma = 0.5\nchanges_s = 4\n{failures}",
            seed >> 1
        );
        let scenario = Scenario::parse(&text).expect("the scenario is valid");
        let engine = run(&scenario);
        prop_assert_eq!(engine.checker.violations(), &[][..]);
    }
}

/// A process that two overlapping failures keep down restarts once, when the last of them ends. Restarting a balancer
/// that is already up would lose its waiting requests, here those to gateways that hang.
#[test]
fn overlapping_failures_end_with_the_last() {
    let failure = |kind: &str, at: u32, duration: u32, which: &str| {
        format!("[[failure]]\nkind = \"{kind}\"\nat_s = {at}\nfor_s = {duration}\n{which}\n")
    };
    let all = "gateways = [0, 1]";
    for (kind, which) in [("balancer-killed", "balancer = 0"), ("crash", all)] {
        let text = format!(
            "seed = 7\nseconds = 9\nbalancers = 1\ngateways = 2\n[[class]]\nname = \"a\"\naim_ms = 400\n\
             deadline_ms = 2000\na_second = 10\nlife_s = 10\nload_us = 20000\n{}{}{}",
            failure(kind, 1, 2, which),
            failure(kind, 2, 5, which),
            failure("hang", 6, 3, all),
        );
        let scenario = Scenario::parse(&text).expect("the scenario is valid");
        let engine = run(&scenario);
        assert_eq!(engine.checker.violations(), [], "{kind}");
        let established: u64 = engine.measures.seconds[3..7]
            .iter()
            .map(|second| second.stood)
            .sum();
        assert_eq!(
            established, 0,
            "{kind}: no connections between the ends of the two failures"
        );
    }
}
