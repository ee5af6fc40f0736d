//! Fleet features under failures on the virtual clock: recovery, affinity, shared failure counts and uplink detection,
//! each on and off.

use beaconflow_simulator::engine::Engine;
use beaconflow_simulator::measures::FleetFigures;
use beaconflow_simulator::policies::Policy;
use beaconflow_simulator::scenario::Scenario;
use proptest::prelude::*;

const ROLL: &str = include_str!("../scenarios/config-roll.toml");
const HERD: &str = include_str!("../scenarios/herd.toml");
const UPLINK: &str = include_str!("../scenarios/uplink-lost.toml");
const POWER: &str = include_str!("../scenarios/power-loss.toml");

/// Runs a scenario with the given text replacements, asserts that no rule is broken, and returns the fleet figures.
fn run_fleet(text: &str, changes: &[(&str, &str)]) -> FleetFigures {
    let mut text = text.to_owned();
    for (from, to) in changes {
        assert!(text.contains(from), "the scenario contains no {from:?}");
        text = text.replace(from, to);
    }
    let scenario = Scenario::parse(&text).expect("the scenario is valid");
    let mut engine = Engine::new(&scenario, Policy::Beaconflow);
    engine.run(|_| true);
    assert_eq!(engine.checker.violations(), [], "{changes:?}");
    engine.measures.fleet.clone()
}

const SMALL: [(&str, &str); 4] = [
    ("balancers = 30", "balancers = 5"),
    ("gateways = 40", "gateways = 4"),
    ("standing = 20000", "standing = 2000"),
    ("groups = 2000", "groups = 200"),
];

fn ratio(fleet: &FleetFigures) -> f64 {
    fleet
        .power
        .and_then(|power| power.ratio())
        .expect("99% of the former worth is connected again")
}

#[test]
fn recovery_refills_fleet_faster_without_overloading_cold_gateways() {
    let staged = run_fleet(POWER, &SMALL);
    assert!(staged.fallen == 0 && ratio(&staged) <= 1.3, "{staged:?}");
    assert!(
        staged.most_sent > 0.2,
        "expected clients to be sent to cold gateways: {staged:?}"
    );
    // Without staged admission the policy engine waits until the gateways are warm.
    let without = run_fleet(
        POWER,
        &[&SMALL[..], &[("recovery = true", "recovery = false")]].concat(),
    );
    assert!(ratio(&without) > 1.4, "{without:?}");
}

#[test]
fn recovery_overloads_no_gateway_when_disks_and_datagrams_are_lost() {
    let lost = (
        "balancers = \"all\"",
        "balancers = \"all\"\ndisks_lost = [0, 2, 4]",
    );
    let fleet = run_fleet(
        POWER,
        &[&SMALL[..], &[lost, ("lost = 0.05", "lost = 0.5")]].concat(),
    );
    assert!(fleet.fallen == 0 && ratio(&fleet) <= 1.4, "{fleet:?}");
}

fn regained_fraction(fleet: &FleetFigures) -> f64 {
    assert!(fleet.owed > 3_000, "{fleet:?}");
    fleet.landed as f64 / fleet.owed as f64
}

#[test]
fn affinity_survives_config_roll_and_peer_partition() {
    let fleet = run_fleet(ROLL, &[]);
    assert!(
        regained_fraction(&fleet) >= 0.995 && fleet.redealt > 50,
        "{fleet:?}"
    );
    // Only changed weights make the policy engine rebalance; without them a new configuration migrates only the clients
    // of gateways that it no longer contains.
    let fleet = run_fleet(ROLL, &[("weights = [[3, 2.0], [4, 0.5]]", "")]);
    assert!(
        regained_fraction(&fleet) >= 0.995 && fleet.evened == 0,
        "{fleet:?}"
    );
    let cut = "[[failure]]\nkind = \"peers-cut\"\nat_s = 30\nfor_s = 3\nbalancers = [0, 1]\n";
    let without = run_fleet(ROLL, &[("affinity = true", ""), (cut, "")]);
    assert!(regained_fraction(&without) < 0.9, "{without:?}");
}

#[test]
fn shared_failure_counts_change_retry_delays() {
    // Keeps the number of gateways of the file, so that many clients are rejected repeatedly by different balancers.
    let small = [("balancers = 30", "balancers = 3")];
    let refused = |text: &str| {
        let text = small
            .iter()
            .fold(text.to_owned(), |text, (from, to)| text.replace(from, to));
        let scenario = Scenario::parse(&text).expect("the scenario is valid");
        let mut engine = Engine::new(&scenario, Policy::Beaconflow);
        engine.run(|_| true);
        assert_eq!(engine.checker.violations(), []);
        assert_eq!(
            engine.measures.seconds.last().map(|second| second.standing),
            Some(10_000)
        );
        engine.measures.sum(|second| second.refused)
    };
    let (shared, own) = (
        refused(HERD),
        refused(&HERD.replace("shared_n = true", "shared_n = false")),
    );
    assert!(shared != own && own > 100, "{shared} {own}");
}

#[test]
fn isolated_zone_serves_clients_and_merges_once() {
    let short = [
        ("seconds = 720", "seconds = 180"),
        ("for_s = 600", "for_s = 90"),
        ("at_s = 120\nfor_s = 120", "at_s = 50\nfor_s = 40"),
        ("at_s = 300\nfor_s = 30", "at_s = 70\nfor_s = 10"),
        (
            "at_s = 500\ngone_after_s = 180",
            "at_s = 100\ngone_after_s = 60",
        ),
    ];
    let part = |fleet: &FleetFigures| fleet.island_served as f64 / fleet.island_wanted as f64;
    let lost = run_fleet(UPLINK, &short);
    let none = run_fleet(
        UPLINK,
        &[&short[..], &[("zone = 2", "zone = 2\nway = \"none\"")]].concat(),
    );
    assert!(
        lost.island_wanted > 500 && part(&lost) >= 0.97 * part(&none),
        "{lost:?} {none:?}"
    );
    // Each balancer of the zone merges exactly once, and the last soon after the first.
    let (first, last) = (
        lost.merges.iter().min().copied(),
        lost.merges.iter().max().copied(),
    );
    assert_eq!(lost.merges.len(), 5, "{lost:?}");
    assert!(
        last.zip(first)
            .is_some_and(|(last, first)| last - first <= 5_000_000_000),
        "{:?}",
        lost.merges
    );
    // The whole zone sends few probes across the failed uplink.
    assert!(
        (1..=120).contains(&lost.probes) && none.probes == 0,
        "{} {}",
        lost.probes,
        none.probes
    );
    assert!(none.merges.is_empty());
}

/// Generates one to five fleet failures that may overlap in any order.
fn failures() -> impl Strategy<Value = String> {
    let failure =
        (0..9_u32, 0..16_u32, 1..8_u32, 0..4_u32).prop_map(|(kind, at, duration, which)| {
            let head = |name: &str| format!("[[failure]]\nkind = \"{name}\"\nat_s = {at}\n");
            match kind {
                0 => format!(
                    "{}for_s = {duration}\nbalancers = \"all\"\ngateways = \"all\"\n",
                    head("power-loss")
                ),
                1 => format!(
                    "{}for_s = {duration}\nbalancers = [{which}]\ndisks_lost = [{which}]\n",
                    head("power-loss")
                ),
                2 => format!(
                    "{}for_s = {duration}\nzone = 1\nflap_s = {which}\n",
                    head("uplink-lost")
                ),
                3 => format!(
                    "{}step_s = {duration}\nremoved = [{which}]\nrenamed = [4]\n",
                    head("config-roll")
                ),
                4 => format!(
                    "{}for_s = {duration}\nbalancers = [{which}]\n",
                    head("peers-cut")
                ),
                5 => format!(
                    "{}for_s = {duration}\ngateways = [{which}, 5]\n",
                    head("crash")
                ),
                6 => format!(
                    "{}gone_after_s = {duration}\nfor_s = 3\ngateways = [{which}]\n",
                    head("drain")
                ),
                7 => format!("{}for_s = {duration}\n", head("discovery-away")),
                _ => format!("{}for_s = {duration}\ngateways = [{which}]\n", head("hang")),
            }
        });
    prop::collection::vec(failure, 1..6).prop_map(|all| all.concat())
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(6) })]

    #[test]
    fn no_rule_breaks_under_random_fleet_failures(failures in failures(), seed in any::<u64>()) {
        let text = format!(
            "seed = {}\nseconds = 20\nbalancers = 4\ngateways = 6\nzones = 2\n[[class]]\nname = \"a\"\naim_ms = 400\n\
             deadline_ms = 2000\na_second = 20\nstanding = 100\nlife_s = 10\nload_us = 20000\n[fleet]\nrecovery = true\n\
             affinity = true\nedge = true\nshared_n = true\nfalls = true\nlost = 0.1\n{failures}",
            seed >> 1
        );
        let scenario = Scenario::parse(&text).expect("the scenario is valid");
        let mut engine = Engine::new(&scenario, Policy::Beaconflow);
        engine.run(|_| true);
        prop_assert_eq!(engine.checker.violations(), &[][..]);
    }
}

#[test]
fn parse_reports_invalid_fleet_fields() {
    let errors = |from: &str, to: &str| {
        assert!(POWER.contains(from), "the scenario contains no {from:?}");
        Scenario::parse(&POWER.replace(from, to))
            .expect_err("the scenario is invalid")
            .0
            .join("; ")
    };
    for (from, to, expected) in [
        (
            "lost = 0.05",
            "lost = 1.0",
            "fleet.lost: must be at least 0 and below 1",
        ),
        (
            "lost = 0.05",
            "delay_ms = -1",
            "fleet.delay_ms: must be from 0 to 60000",
        ),
        (
            "lost = 0.05",
            "slack = -1",
            "fleet.slack: must be at least 0",
        ),
        (
            "lost = 0.05",
            "borne = -1",
            "fleet.borne: must be at least 0",
        ),
        (
            "standing = 20000",
            "standing = 0",
            "fleet.borne: must be above 0 unless a class has standing connections",
        ),
        ("lost = 0.05", "lots = 0.05", "unknown field `lots`"),
        ("for_s = 5", "for_s = 0", "line 35: for_s: must be above 0"),
        (
            "balancers = \"all\"",
            "balancers = \"some\"",
            "line 35: balancers: must be \"all\" or a list of numbers, not \"some\"",
        ),
        (
            "gateways = \"all\"",
            "gateways = [40]",
            "line 35: gateways: 40 is out of range, must be below 40",
        ),
        (
            "gateways = \"all\"",
            "disks_lost = [30]",
            "line 35: disks_lost: 30 is out of range, must be below 30",
        ),
        (
            "balancers = \"all\"\ngateways = \"all\"",
            "",
            "line 35: balancers, gateways: at least one of them is required",
        ),
    ] {
        let errors = errors(from, to);
        assert!(errors.contains(expected), "{to}: {errors}");
    }
    for (from, to, expected) in [
        (
            "zone = 2",
            "zone = 3",
            "zone: must be at least 1 and below the scenario's 3 zones",
        ),
        (
            "zone = 2",
            "zone = 0",
            "zone: must be at least 1 and below the scenario's 3 zones",
        ),
        ("for_s = 600", "for_s = 0", "for_s: must be above 0"),
        (
            "for_s = 600",
            "for_s = 600\nflap_s = -1",
            "flap_s: must be at least 0",
        ),
        (
            "for_s = 600",
            "for_s = 600\nway = \"up\"",
            "unknown variant `up`",
        ),
        (
            "balancers = 15",
            "balancers = 2",
            "zones: must not exceed the number of balancers or gateways",
        ),
    ] {
        let errors = Scenario::parse(&UPLINK.replace(from, to))
            .expect_err("the scenario is invalid")
            .0
            .join("; ");
        assert!(errors.contains(expected), "{to}: {errors}");
    }
    let roll = |from: &str, to: &str| {
        Scenario::parse(&ROLL.replace(from, to))
            .expect_err("the scenario is invalid")
            .0
            .join("; ")
    };
    let every: Vec<u32> = (0..40).collect();
    let none_is_there = roll("added = [39]", &format!("added = {every:?}"));
    assert!(
        none_is_there.contains("added: each zone must have a gateway from the start"),
        "{none_is_there}"
    );
    for (from, to, expected) in [
        ("step_s = 12", "step_s = -1", "step_s: must be at least 0"),
        (
            "weights = [[3, 2.0], [4, 0.5]]",
            "weights = [[3, 0.0]]",
            "weights: every weight must be above 0",
        ),
        (
            "weights = [[3, 2.0], [4, 0.5]]",
            "weights = [[40, 1.0]]",
            "weights: 40 is out of range, must be below 40",
        ),
        (
            "removed = [7]",
            "removed = [40]",
            "removed: 40 is out of range, must be below 40",
        ),
        (
            "balancers = [0, 1]",
            "balancers = [5]",
            "balancers: 5 is out of range, must be below 5",
        ),
        (
            "affinity = true",
            "",
            "peers-cut: the scenario has no gossip between balancers",
        ),
    ] {
        let errors = roll(from, to);
        assert!(errors.contains(expected), "{to}: {errors}");
    }
}
