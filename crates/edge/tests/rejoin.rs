//! Rejoining: merging, migrations and their rate, and the quota of servers in slow start.

use beaconflow_edge::*;
use proptest::prelude::*;

const NOW: Millis = 10_000_000;
const SLOW_START_MS: Millis = 60_000;
const COMPLETE_LIST: ListOrigin = ListOrigin {
    is_complete: true,
    is_same_incarnation: true,
};

fn known_server(server: &str) -> KnownServer {
    KnownServer {
        server: server.into(),
        readiness: Readiness::Serving,
        started_ms: 5,
        weight: 1_000,
        ejected_for: None,
        connections: 9,
    }
}

fn listed_server(server: &str, readiness: Readiness, started_ms: Millis) -> ListedServer {
    ListedServer {
        server: server.into(),
        readiness,
        started_ms,
        weight: 2_000,
    }
}

#[test]
fn migrates_only_off_draining_or_gone_servers() {
    let known = [
        known_server("same"),
        known_server("drains"),
        known_server("gone"),
        known_server("absent"),
        known_server("again"),
    ];
    let list = [
        listed_server("same", Readiness::Serving, 5),
        listed_server("drains", Readiness::Draining, 5),
        listed_server("gone", Readiness::Removed, 5),
        listed_server("again", Readiness::Serving, NOW - 1_000),
        listed_server("new", Readiness::Serving, NOW - 2_000),
        listed_server("new-drains", Readiness::Draining, 5),
    ];
    let plan = plan_rejoin(NOW, &known, &list, COMPLETE_LIST, SLOW_START_MS);
    let migrations: Vec<(&str, MigrationReason)> = plan
        .migrations
        .iter()
        .map(|migration| (migration.server.as_str(), migration.reason))
        .collect();
    assert_eq!(
        migrations,
        [
            ("absent", MigrationReason::Removed),
            ("drains", MigrationReason::Draining),
            ("gone", MigrationReason::Removed)
        ]
    );
    let kept: Vec<(&str, u64, Option<Millis>)> = plan
        .kept
        .iter()
        .map(|server| {
            (
                server.server.as_str(),
                server.weight,
                server.slow_start_since,
            )
        })
        .collect();
    assert_eq!(
        kept,
        [
            ("again", 2_000, Some(NOW - 1_000)),
            ("new", 2_000, Some(NOW - 2_000)),
            ("same", 2_000, None)
        ]
    );
}

/// A delta, or the list of a discovery that lost its state, does not show that a server is gone.
#[test]
fn keeps_unlisted_servers_when_list_is_inconclusive() {
    for list in [
        ListOrigin {
            is_same_incarnation: false,
            ..COMPLETE_LIST
        },
        ListOrigin {
            is_complete: false,
            ..COMPLETE_LIST
        },
    ] {
        let plan = plan_rejoin(
            NOW,
            &[known_server("a"), known_server("b")],
            &[listed_server("b", Readiness::Serving, 5)],
            list,
            SLOW_START_MS,
        );
        assert_eq!(plan.migrations, []);
        assert_eq!(plan.kept.len(), 2);
    }
}

/// An announced drain outlasts the list, but not a restart of the server.
#[test]
fn keeps_drain_notice_when_list_says_serving() {
    let drained = KnownServer {
        ejected_for: Some(ServerHealth::Draining),
        ..known_server("a")
    };
    let plan = |start| {
        plan_rejoin(
            NOW,
            std::slice::from_ref(&drained),
            &[listed_server("a", Readiness::Serving, start)],
            COMPLETE_LIST,
            SLOW_START_MS,
        )
    };
    assert_eq!(plan(5).kept[0].ejected_for, Some(ServerHealth::Draining));
    let restarted = plan(NOW - 10);
    assert_eq!(
        (
            restarted.kept[0].ejected_for,
            restarted.kept[0].slow_start_since
        ),
        (None, Some(NOW - 10))
    );
    assert_eq!(restarted.migrations, []);
}

fn override_record(id: &str, kind: OverrideKind, created_at: Millis) -> OverrideRecord {
    OverrideRecord {
        id: id.into(),
        subject: "g4".into(),
        kind,
        origin_site: String::new(),
        server_site: "moy".into(),
        created_at,
        changed_at: created_at,
        expires_at: NOW + 1_000,
        is_removed: false,
    }
}

#[test]
fn merges_overrides_by_rule_table() {
    let old = override_record("old", OverrideKind::Weight, 10);
    let ids = |merged: &MergedOverrides| {
        merged
            .active
            .iter()
            .map(|record| record.id.clone())
            .collect::<Vec<_>>()
    };
    let merge =
        |left: &[OverrideRecord], right: &[OverrideRecord]| merge_overrides(left, right, NOW);
    assert_eq!(
        ids(&merge(
            std::slice::from_ref(&old),
            std::slice::from_ref(&old)
        )),
        ["old"]
    );
    // Removed on one side, changed later on the other.
    let removed = OverrideRecord {
        is_removed: true,
        changed_at: 20,
        ..old.clone()
    };
    let changed = OverrideRecord {
        expires_at: NOW + 9_000,
        changed_at: 30,
        ..old.clone()
    };
    let merged = merge(&[removed], std::slice::from_ref(&changed));
    assert_eq!(
        (ids(&merged).len(), merged.dropped[0].1),
        (0, "the override was removed on one side")
    );
    assert_eq!(
        merge(&[changed], std::slice::from_ref(&old)).active[0].expires_at,
        NOW + 9_000
    );
    // Two changes at the same time: the one that expires sooner is kept.
    let sooner = OverrideRecord {
        expires_at: NOW + 10,
        changed_at: 30,
        ..old.clone()
    };
    let later = OverrideRecord {
        expires_at: NOW + 20,
        changed_at: 30,
        ..old.clone()
    };
    assert_eq!(merge(&[later], &[sooner]).active[0].expires_at, NOW + 10);
    let ended = OverrideRecord {
        expires_at: NOW,
        ..old.clone()
    };
    assert_eq!(ids(&merge(&[ended], &[])).len(), 0);
    // Made in the isolated site: one for its own server, one for a server of another site.
    let here = OverrideRecord {
        origin_site: "moy".into(),
        ..override_record("here", OverrideKind::Weight, 50)
    };
    let beyond = OverrideRecord {
        server_site: "ard".into(),
        id: "beyond".into(),
        ..here.clone()
    };
    let outside = override_record("outside", OverrideKind::Out, 40);
    let merged = merge(&[here.clone(), beyond], &[outside]);
    assert_eq!(ids(&merged), ["here", "outside"]);
    assert_eq!(
        merged.shadowed,
        [("here".to_owned(), "outside".to_owned())],
        "`out` shadows a weight"
    );
    let later = OverrideRecord {
        origin_site: String::new(),
        ..override_record("later", OverrideKind::Weight, 60)
    };
    assert_eq!(
        merge(&[here], &[later]).shadowed,
        [("here".to_owned(), "later".to_owned())]
    );
}

fn override_records() -> impl Strategy<Value = Vec<OverrideRecord>> {
    let kind = prop::sample::select(vec![
        OverrideKind::Weight,
        OverrideKind::Out,
        OverrideKind::Pin,
    ]);
    let record = (
        0..6_u32,
        0..2_u32,
        kind,
        0..3_usize,
        0..4_u64,
        0..4_u64,
        any::<bool>(),
    );
    let record = record.prop_map(
        |(id, subject, kind, origin, changed_at, lifetime_ms, removed)| OverrideRecord {
            id: id.to_string(),
            subject: subject.to_string(),
            kind,
            origin_site: ["", "moy", "ard"][origin].into(),
            changed_at,
            expires_at: NOW - 1 + lifetime_ms,
            is_removed: removed,
            ..override_record("", kind, changed_at)
        },
    );
    prop::collection::vec(record, 0..8)
}

fn listed_servers() -> impl Strategy<Value = Vec<ListedServer>> {
    let readiness = prop::sample::select(vec![
        Readiness::Serving,
        Readiness::Draining,
        Readiness::Removed,
    ]);
    let server = (0..8_u32, readiness, 0..2_u64)
        .prop_map(|(id, readiness, start)| listed_server(&id.to_string(), readiness, 5 + start));
    prop::collection::vec(server, 0..8)
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(300) })]

    #[test]
    fn merges_overrides_independently_of_argument_order(left in override_records(), right in override_records()) {
        let merged = merge_overrides(&left, &right, NOW);
        prop_assert_eq!(&merged, &merge_overrides(&right, &left, NOW));
        let again = merge_overrides(&merged.active, &merged.active, NOW);
        prop_assert_eq!(again.active, merged.active);
        prop_assert!(merged.dropped.iter().chain(&[]).all(|(_, reason)| !reason.is_empty()));
    }

    #[test]
    fn migrates_nothing_when_list_merely_differs(
        list in listed_servers(), ids in prop::collection::btree_set(0..8_u32, 0..8), is_complete in any::<bool>(),
        is_same_incarnation in any::<bool>(),
    ) {
        let known: Vec<KnownServer> = ids.iter().map(|id| known_server(&id.to_string())).collect();
        let plan = plan_rejoin(NOW, &known, &list, ListOrigin { is_complete, is_same_incarnation }, SLOW_START_MS);
        for migration in &plan.migrations {
            let is_requested = match list.iter().rfind(|listed| listed.server == migration.server) {
                Some(listed) => listed.readiness != Readiness::Serving,
                None => is_complete && is_same_incarnation,
            };
            prop_assert!(is_requested, "{:?} is not justified by the list {:?}", migration, list);
        }
        let kept = plan.kept.iter().filter(|keep| known.iter().any(|known| known.server == keep.server)).count();
        prop_assert_eq!(kept + plan.migrations.len(), known.len(), "every known server is kept or migrated off");
    }

    #[test]
    fn keeps_migrations_within_fleet_rate(
        processes in 1..60_u32, rate in 0.5..20.0_f64, every in 50..1_500_u64, seed in any::<u64>(),
    ) {
        let mut all: Vec<MigrationPacer> = (0..processes)
            .map(|n| MigrationPacer::new(rate, processes, seed ^ u64::from(n), 0)).collect();
        let (mut moved, mut worst) = (0, 0_usize);
        let span = 60_000;
        for now in (0..=span).step_by(every as usize) {
            let step: usize = all.iter_mut().map(|pace| pace.permitted(now, 1_000)).sum();
            (moved, worst) = (moved + step, worst.max(step));
        }
        let due = rate * span as f64 / 1_000.0;
        prop_assert!(moved as f64 <= due + f64::from(processes), "{} migrations, {} due", moved, due);
        prop_assert!(every > 1_000 || moved as f64 >= due * 0.9 - f64::from(processes), "{} migrations, {} due", moved, due);
        let due_per_step = rate * every as f64 / 1_000.0;
        prop_assert!(worst as f64 <= due_per_step * 2.0 + 4.0 * due_per_step.sqrt() + 3.0, "{} migrations in one step, {} due", worst, due_per_step);
    }

    /// The sum of all quotas has to stay within the budget while sites are partitioned into
    /// changing groups, and processes start and stop.
    #[test]
    fn keeps_sum_of_slow_start_quotas_within_one(
        phases in prop::collection::vec((prop::array::uniform3(0..3_u8), prop::array::uniform3(1..9_u32)), 1..12),
    ) {
        let sites = ["moy", "ard", "bray"];
        let (max_isolation_ms, slow_start_ms) = (3_600_000, SLOW_START_MS);
        let mut live = [5_u32; 3];
        let mut counts = sites.map(|site| ProcessCounts::new(site, 5, max_isolation_ms, slow_start_ms));
        let mut now = 0;
        let exchange_counts = |counts: &mut [ProcessCounts; 3], now, groups: [u8; 3], live: [u32; 3], previous: [u32; 3]| {
            for own in 0..3 {
                for other in 0..3 {
                    // News of another site arrives a second late.
                    let count = if own == other { live[other] } else { previous[other] };
                    let visible = if groups[own] == groups[other] { count } else { 0 };
                    counts[own].record_site(now, sites[other], visible);
                }
            }
        };
        exchange_counts(&mut counts, 0, [0; 3], live, live);
        for (groups, next_live) in phases {
            for second in 0..90_u64 {
                now += 1_000;
                // Processes start and stop in the middle of a phase.
                let previous = live;
                if second == 40 { live = next_live; }
                exchange_counts(&mut counts, now, groups, live, previous);
                let sum: f64 = (0..3).map(|own| counts[own].slow_start_quota().of_limit(1.0) * f64::from(live[own])).sum();
                prop_assert!(sum <= 1.0 + 1e-9, "sum of quotas is {} at {} ms, groups {:?}, processes {:?}", sum, now, groups, live);
            }
        }
    }
}

/// A site that is silent for longer than it may be isolated no longer holds a share of the quota.
#[test]
fn frees_slow_start_quota_after_long_silence() {
    let mut counts = ProcessCounts::new("moy", 5, 600_000, SLOW_START_MS);
    counts.record_site(0, "ard", 5);
    counts.record_site(1_000, "ard", 0);
    assert_eq!(
        counts.slow_start_quota(),
        SlowStartQuota {
            numerator: 5,
            denominator: 50
        }
    );
    counts.update(1_000 + 600_000 + SLOW_START_MS);
    assert_eq!(
        counts.slow_start_quota(),
        SlowStartQuota {
            numerator: 5,
            denominator: 25
        }
    );
}

/// A paused process must not start all missed migrations at once when it resumes.
#[test]
fn accumulates_no_migrations_during_process_pause() {
    let mut pace = MigrationPacer::new(5.0, 1, 7, 0);
    assert!(pace.permitted(3_600_000, 1_000) <= 6);
}
