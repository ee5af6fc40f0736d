//! Health reports on servers: merging in any order, ageing, limits, and recovery.

use std::collections::BTreeMap;

use beaconflow_edge::*;
use proptest::prelude::*;

const SLOW_START_MS: Millis = 60_000;
const START: Millis = 1_000_000;

fn assessed_servers(names: &[&str]) -> Vec<AssessedServer> {
    names
        .iter()
        .map(|name| AssessedServer {
            server: (*name).into(),
            weight: 1_000,
            started_ms: 0,
        })
        .collect()
}

fn assess(reports: &HealthReports, now: Millis) -> BTreeMap<String, ServerAssessment> {
    assess_servers(
        &assessed_servers(&["s1", "s2", "s3", "s4"]),
        reports,
        now,
        SLOW_START_MS,
    )
}

/// A number of processes report the same finding on a server.
fn report_from(
    reports: &mut HealthReports,
    now: Millis,
    processes: usize,
    server: &str,
    health: ServerHealth,
) {
    for n in 0..processes {
        reports.observe(now, &format!("n{n}"), server, 0, health);
    }
}

#[test]
fn ejects_unresponsive_server_and_restores_its_weight() {
    let mut all = HealthReports::new();
    report_from(&mut all, START, 1, "s1", ServerHealth::Unresponsive);
    assert_eq!(
        assess(&all, START)["s1"].ejected_for,
        None,
        "one timeout is not enough evidence"
    );
    report_from(&mut all, START, 2, "s1", ServerHealth::Unresponsive);
    assert_eq!(
        assess(&all, START)["s1"],
        ServerAssessment {
            ejected_for: Some(ServerHealth::Unresponsive),
            weight_permille: 0,
            slow_start_since: None
        }
    );
    // The evidence fades, and the weight returns in steps.
    let weight = |now| assess(&all, now)["s1"].weight_permille;
    let weights: Vec<u64> = (0..50)
        .map(|second| weight(START + second * 1_000))
        .collect();
    let first = weights
        .iter()
        .position(|weight| *weight > 0)
        .expect("the weight returns when the evidence has faded");
    assert!(
        weights.is_sorted() && first < 30 && weights[first] <= 100,
        "{weights:?}"
    );
    assert_eq!(weights[45], 1_000);
}

/// A recovered server must not receive the load of the whole site at once.
#[test]
fn ramps_weight_when_server_recovers() {
    let mut all = HealthReports::new();
    report_from(&mut all, START, 3, "s1", ServerHealth::Unresponsive);
    report_from(&mut all, START + 2_000, 3, "s1", ServerHealth::Healthy);
    let weight = |after: Millis| assess(&all, START + 2_000 + after)["s1"].weight_permille;
    assert_eq!(
        [weight(0), weight(5_000), weight(10_000)],
        [100, 600, 1_000]
    );
}

/// A process with a broken network path must not get healthy servers ejected.
#[test]
fn outvotes_reporter_when_its_own_path_fails() {
    let mut all = HealthReports::new();
    report_from(&mut all, START - 1_000, 9, "s1", ServerHealth::Healthy);
    for _ in 0..4 {
        all.observe(START, "n0", "s1", 0, ServerHealth::Unresponsive);
    }
    assert!(
        assess(&all, START)["s1"].ejected_for.is_some(),
        "healthy reports from before the fault do not count"
    );
    for n in 1..9 {
        all.observe(
            START + 500,
            &format!("n{n}"),
            "s1",
            0,
            ServerHealth::Healthy,
        );
    }
    assert_eq!(assess(&all, START + 500)["s1"].ejected_for, None);
}

/// One report of an announced drain is enough; it applies until the server restarts.
#[test]
fn keeps_drain_notice_until_server_restarts() {
    let mut all = HealthReports::new();
    all.observe(START, "n0", "s1", 5, ServerHealth::Draining);
    let much_later = START + 300_000;
    assert_eq!(
        assess(&all, much_later)["s1"].ejected_for,
        Some(ServerHealth::Draining)
    );
    all.observe(
        much_later,
        "n1",
        "s1",
        much_later - 1_000,
        ServerHealth::Healthy,
    );
    let restarted = &assess(&all, much_later)["s1"];
    assert_eq!(
        (restarted.ejected_for, restarted.slow_start_since),
        (None, Some(much_later - 1_000)),
        "the restarted server is used again, in slow start"
    );
    assert_eq!(
        assess(&all, much_later + SLOW_START_MS)["s1"].slow_start_since,
        None
    );
    // Other reports on the former start are void as well.
    for _ in 0..6 {
        all.observe(
            START,
            &format!("n{}", all.iter().count()),
            "s2",
            5,
            ServerHealth::Unresponsive,
        );
    }
    all.observe(
        START + 2_000,
        "n9",
        "s2",
        START + 1_000,
        ServerHealth::Healthy,
    );
    assert_eq!(assess(&all, START + 2_000)["s2"].ejected_for, None);
}

#[test]
fn slow_starts_server_when_it_reappears() {
    let mut all = HealthReports::new();
    report_from(&mut all, START, 2, "s1", ServerHealth::Refused);
    report_from(&mut all, START + 4_000, 1, "s1", ServerHealth::Healthy);
    assert_eq!(
        assess(&all, START + 4_100)["s1"].slow_start_since,
        Some(START + 4_000)
    );
    // A server that only stopped answering has not restarted.
    report_from(&mut all, START, 2, "s2", ServerHealth::Unresponsive);
    report_from(&mut all, START + 4_000, 2, "s2", ServerHealth::Healthy);
    assert_eq!(assess(&all, START + 4_100)["s2"].slow_start_since, None);
}

/// If all servers look unhealthy, none is ejected.
#[test]
fn ejects_half_of_weight_at_most() {
    let mut all = HealthReports::new();
    let ejected = |all: &HealthReports| {
        assess(all, START)
            .values()
            .filter(|assessment| assessment.ejected_for.is_some())
            .count()
    };
    let ejected_counts = ["s1", "s2", "s3", "s4"].map(|server| {
        report_from(&mut all, START, 3, server, ServerHealth::Unresponsive);
        ejected(&all)
    });
    assert_eq!(ejected_counts, [1, 2, 2, 0]);
    // Servers with the most severe findings are ejected first.
    let mut all = HealthReports::new();
    report_from(&mut all, START, 3, "s1", ServerHealth::Unresponsive);
    report_from(&mut all, START, 2, "s2", ServerHealth::Removed);
    report_from(&mut all, START, 2, "s3", ServerHealth::Removed);
    let assessments = assess(&all, START);
    let ejected: Vec<bool> = assessments
        .values()
        .map(|assessment| assessment.ejected_for.is_some())
        .collect();
    assert_eq!(ejected, [false, true, true, false]);
}

fn health_report() -> impl Strategy<Value = HealthReport> {
    let health = || {
        use ServerHealth::*;
        prop::sample::select(vec![
            Healthy,
            Busy,
            Unresponsive,
            Refused,
            Draining,
            Removed,
        ])
    };
    let previous = prop::option::of((0..50_u64, health(), 1..5_u32));
    let previous = previous.prop_map(|finding| {
        finding.map(|(until_ms, health, weight)| PreviousFinding {
            until_ms,
            health,
            weight,
        })
    });
    let times = (0..50_u64, 0..50_u64, 0..3_u64);
    // More processes than are kept, so that eviction is covered too.
    (times, health(), 1..5_u32, previous, 0..3_u32, 0..90_u32).prop_map(
        |((since_ms, observed_at_ms, started_ms), health, weight, previous, server, origin)| {
            HealthReport {
                observed_at_ms,
                health,
                weight,
                since_ms,
                previous,
                started_ms,
                server: format!("s{server}"),
                origin: format!("n{origin}"),
            }
        },
    )
}

fn collect(all: &[HealthReport]) -> HealthReports {
    let mut reports = HealthReports::new();
    all.iter()
        .for_each(|report| _ = reports.insert(report.clone()));
    reports
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(60) })]

    #[test]
    fn merges_reports_commutatively_associatively_and_idempotently(
        one in prop::collection::vec(health_report(), 0..300),
        two in prop::collection::vec(health_report(), 0..300),
        three in prop::collection::vec(health_report(), 0..300),
    ) {
        let [a, b, c] = [collect(&one), collect(&two), collect(&three)];
        let merge = |x: &HealthReports, y: &HealthReports| { let mut x = x.clone(); x.merge(y); x };
        prop_assert_eq!(merge(&a, &b), merge(&b, &a));
        prop_assert_eq!(merge(&merge(&a, &b), &c), merge(&a, &merge(&b, &c)));
        prop_assert_eq!(&merge(&a, &a), &a);
        prop_assert_eq!(merge(&merge(&a, &b), &b), merge(&a, &b));
        prop_assert!(["s0", "s1", "s2"].iter().all(|server| merge(&a, &b).for_server(server).count() <= 64));
        // All reports at once, in another order, and some twice.
        let mut whole: Vec<HealthReport> = [three, one.clone(), two, one].concat();
        whole.reverse();
        prop_assert_eq!(collect(&whole), merge(&merge(&a, &b), &c));
    }

    #[test]
    fn bounds_weights_and_ejections_for_any_reports(
        all in prop::collection::vec(health_report(), 0..200),
        now in 0..100_000_u64,
    ) {
        let servers = assessed_servers(&["s0", "s1", "s2", "s3"]);
        let assessments = assess_servers(&servers, &collect(&all), now, SLOW_START_MS);
        prop_assert_eq!(assessments.len(), 4);
        let ejected = assessments.values().filter(|assessment| assessment.ejected_for.is_some());
        prop_assert!(ejected.clone().count() <= 2);
        prop_assert!(ejected.clone().all(|assessment| assessment.weight_permille == 0));
        let not_ejected = assessments.values().filter(|assessment| assessment.ejected_for.is_none());
        prop_assert!(not_ejected.clone().all(|assessment| (100..=1_000).contains(&assessment.weight_permille)));
    }
}
