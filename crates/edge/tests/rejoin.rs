//! Rejoining: what is merged, who is moved, how fast, and what cold servers are sent meanwhile.

use beaconflow_edge::*;
use proptest::prelude::*;

const T: Millis = 10_000_000;
const COLD: Millis = 60_000;
const LIST: ListOrigin = ListOrigin {
    is_complete: true,
    same_incarnation: true,
};

fn held(server: &str) -> IslandServer {
    IslandServer {
        server: server.into(),
        ready: Ready::Serving,
        started_ms: 5,
        weight: 1_000,
        ejected_for: None,
        established: 9,
    }
}

fn listed(server: &str, ready: Ready, started_ms: Millis) -> Listed {
    Listed {
        server: server.into(),
        ready,
        started_ms,
        weight: 2_000,
    }
}

#[test]
fn only_what_drains_or_is_gone_is_left() {
    let island = [
        held("same"),
        held("drains"),
        held("gone"),
        held("absent"),
        held("again"),
    ];
    let list = [
        listed("same", Ready::Serving, 5),
        listed("drains", Ready::Draining, 5),
        listed("gone", Ready::Gone, 5),
        listed("again", Ready::Serving, T - 1_000),
        listed("new", Ready::Serving, T - 2_000),
        listed("new-drains", Ready::Draining, 5),
    ];
    let plan = plan_rejoin(T, &island, &list, LIST, COLD);
    let moves: Vec<(&str, Why)> = plan
        .moves
        .iter()
        .map(|one| (one.server.as_str(), one.why))
        .collect();
    assert_eq!(
        moves,
        [
            ("absent", Why::Gone),
            ("drains", Why::Drains),
            ("gone", Why::Gone)
        ]
    );
    let keep: Vec<(&str, u64, Option<Millis>)> = plan
        .keep
        .iter()
        .map(|one| (one.server.as_str(), one.weight, one.slow_start_since))
        .collect();
    assert_eq!(
        keep,
        [
            ("again", 2_000, Some(T - 1_000)),
            ("new", 2_000, Some(T - 2_000)),
            ("same", 2_000, None)
        ]
    );
}

#[test]
fn what_is_not_listed_stays_where_the_list_can_not_know() {
    for list in [
        ListOrigin {
            same_incarnation: false,
            ..LIST
        },
        ListOrigin {
            is_complete: false,
            ..LIST
        },
    ] {
        let plan = plan_rejoin(
            T,
            &[held("a"), held("b")],
            &[listed("b", Ready::Serving, 5)],
            list,
            COLD,
        );
        assert_eq!(plan.moves, []);
        assert_eq!(plan.keep.len(), 2);
    }
}

#[test]
fn a_drain_by_its_own_word_outlives_the_list_but_not_a_new_start() {
    let drained = IslandServer {
        ejected_for: Some(ServerHealth::Drains),
        ..held("a")
    };
    let plan = |start| {
        plan_rejoin(
            T,
            std::slice::from_ref(&drained),
            &[listed("a", Ready::Serving, start)],
            LIST,
            COLD,
        )
    };
    assert_eq!(plan(5).keep[0].ejected_for, Some(ServerHealth::Drains));
    let anew = plan(T - 10);
    assert_eq!(
        (anew.keep[0].ejected_for, anew.keep[0].slow_start_since),
        (None, Some(T - 10))
    );
    assert_eq!(anew.moves, []);
}

fn change(id: &str, doing: Doing, made_at: Millis) -> Change {
    Change {
        id: id.into(),
        subject: "g4".into(),
        doing,
        made_in: String::new(),
        server_site: "moy".into(),
        made_at,
        changed_at: made_at,
        ends_at: T + 1_000,
        removed: false,
    }
}

#[test]
fn overrides_of_both_sides_are_merged_by_the_table() {
    let old = change("old", Doing::Weight, 10);
    let ids = |merged: &MergedOverrides| {
        merged
            .hold
            .iter()
            .map(|one| one.id.clone())
            .collect::<Vec<_>>()
    };
    let merge = |one: &[Change], other: &[Change]| merge_overrides(one, other, T);
    assert_eq!(
        ids(&merge(
            std::slice::from_ref(&old),
            std::slice::from_ref(&old)
        )),
        ["old"]
    );
    // Removed on one side, changed later on the other.
    let removed = Change {
        removed: true,
        changed_at: 20,
        ..old.clone()
    };
    let changed = Change {
        ends_at: T + 9_000,
        changed_at: 30,
        ..old.clone()
    };
    let merged = merge(&[removed], std::slice::from_ref(&changed));
    assert_eq!(
        (ids(&merged).len(), merged.dropped[0].1),
        (0, "it was removed on one side")
    );
    assert_eq!(
        merge(&[changed], std::slice::from_ref(&old)).hold[0].ends_at,
        T + 9_000
    );
    // Two at once: the one that ends sooner.
    let sooner = Change {
        ends_at: T + 10,
        changed_at: 30,
        ..old.clone()
    };
    let later = Change {
        ends_at: T + 20,
        changed_at: 30,
        ..old.clone()
    };
    assert_eq!(merge(&[later], &[sooner]).hold[0].ends_at, T + 10);
    let ended = Change {
        ends_at: T,
        ..old.clone()
    };
    assert_eq!(ids(&merge(&[ended], &[])).len(), 0);
    // Made on the island: for a server of it, and for one beyond.
    let here = Change {
        made_in: "moy".into(),
        ..change("here", Doing::Weight, 50)
    };
    let beyond = Change {
        server_site: "ard".into(),
        id: "beyond".into(),
        ..here.clone()
    };
    let outside = change("outside", Doing::Out, 40);
    let merged = merge(&[here.clone(), beyond], &[outside]);
    assert_eq!(ids(&merged), ["here", "outside"]);
    assert_eq!(
        merged.shadowed,
        [("here".to_owned(), "outside".to_owned())],
        "out shadows a weight"
    );
    let later = Change {
        made_in: String::new(),
        ..change("later", Doing::Weight, 60)
    };
    assert_eq!(
        merge(&[here], &[later]).shadowed,
        [("here".to_owned(), "later".to_owned())]
    );
}

fn changes() -> impl Strategy<Value = Vec<Change>> {
    let doing = prop::sample::select(vec![Doing::Weight, Doing::Out, Doing::Pin]);
    let one = (
        0..6_u32,
        0..2_u32,
        doing,
        0..3_usize,
        0..4_u64,
        0..4_u64,
        any::<bool>(),
    );
    let one = one.prop_map(
        |(id, subject, doing, made, changed_at, ends, removed)| Change {
            id: id.to_string(),
            subject: subject.to_string(),
            doing,
            made_in: ["", "moy", "ard"][made].into(),
            changed_at,
            ends_at: T - 1 + ends,
            removed,
            ..change("", doing, changed_at)
        },
    );
    prop::collection::vec(one, 0..8)
}

fn listed_any() -> impl Strategy<Value = Vec<Listed>> {
    let ready = prop::sample::select(vec![Ready::Serving, Ready::Draining, Ready::Gone]);
    let one = (0..8_u32, ready, 0..2_u64)
        .prop_map(|(id, ready, start)| listed(&id.to_string(), ready, 5 + start));
    prop::collection::vec(one, 0..8)
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(300) })]

    #[test]
    fn which_side_is_named_first_makes_no_difference(one in changes(), other in changes()) {
        let merged = merge_overrides(&one, &other, T);
        prop_assert_eq!(&merged, &merge_overrides(&other, &one, T));
        let again = merge_overrides(&merged.hold, &merged.hold, T);
        prop_assert_eq!(again.hold, merged.hold);
        prop_assert!(merged.dropped.iter().chain(&[]).all(|(_, why)| !why.is_empty()));
    }

    #[test]
    fn nobody_is_moved_because_the_list_looks_different(
        list in listed_any(), ids in prop::collection::btree_set(0..8_u32, 0..8), is_complete in any::<bool>(),
        same_incarnation in any::<bool>(),
    ) {
        let island: Vec<IslandServer> = ids.iter().map(|id| held(&id.to_string())).collect();
        let plan = plan_rejoin(T, &island, &list, ListOrigin { is_complete, same_incarnation }, COLD);
        for one in &plan.moves {
            let asked = match list.iter().rfind(|listed| listed.server == one.server) {
                Some(listed) => listed.ready != Ready::Serving,
                None => is_complete && same_incarnation,
            };
            prop_assert!(asked, "{:?} by {:?}", one, list);
        }
        let known = plan.keep.iter().filter(|keep| island.iter().any(|held| held.server == keep.server)).count();
        prop_assert_eq!(known + plan.moves.len(), island.len(), "nothing is lost of what was held");
    }

    #[test]
    fn moves_of_all_processes_keep_to_one_rate(
        processes in 1..60_u32, rate in 0.5..20.0_f64, every in 50..1_500_u64, seed in any::<u64>(),
    ) {
        let mut all: Vec<Pace> = (0..processes)
            .map(|n| Pace::new(rate, processes, seed ^ u64::from(n), 0)).collect();
        let (mut moved, mut worst) = (0, 0_usize);
        let span = 60_000;
        for now in (0..=span).step_by(every as usize) {
            let step: usize = all.iter_mut().map(|pace| pace.permitted(now, 1_000)).sum();
            (moved, worst) = (moved + step, worst.max(step));
        }
        let due = rate * span as f64 / 1_000.0;
        prop_assert!(moved as f64 <= due + f64::from(processes), "{} of {}", moved, due);
        prop_assert!(every > 1_000 || moved as f64 >= due * 0.9 - f64::from(processes), "{} of {}", moved, due);
        let in_step = rate * every as f64 / 1_000.0;
        prop_assert!(worst as f64 <= in_step * 2.0 + 4.0 * in_step.sqrt() + 3.0, "{} at once, {} due", worst, in_step);
    }

    /// Sites in any groups that hear each other, changing; processes come and go.
    #[test]
    fn parts_of_the_cold_budget_come_to_one_at_most(
        spells in prop::collection::vec((prop::array::uniform3(0..3_u8), prop::array::uniform3(1..9_u32)), 1..12),
    ) {
        let sites = ["moy", "ard", "bray"];
        let (apart, cold) = (3_600_000, COLD);
        let mut live = [5_u32; 3];
        let mut counts = sites.map(|site| Counts::new(site, 5, apart, cold));
        let mut now = 0;
        let hear = |counts: &mut [Counts; 3], now, groups: [u8; 3], live: [u32; 3], before: [u32; 3]| {
            for own in 0..3 {
                for other in 0..3 {
                    // Of another site it is heard a second late.
                    let there = if own == other { live[other] } else { before[other] };
                    let heard = if groups[own] == groups[other] { there } else { 0 };
                    counts[own].site_reported(now, sites[other], heard);
                }
            }
        };
        hear(&mut counts, 0, [0; 3], live, live);
        for (groups, lives) in spells {
            for second in 0..90_u64 {
                now += 1_000;
                // Processes start and end in the middle of a spell.
                let before = live;
                if second == 40 { live = lives; }
                hear(&mut counts, now, groups, live, before);
                let sum: f64 = (0..3).map(|own| counts[own].slow_start_quota().share(1.0) * f64::from(live[own])).sum();
                prop_assert!(sum <= 1.0 + 1e-9, "{} at {} by {:?} of {:?}", sum, now, groups, live);
            }
        }
    }
}

#[test]
fn a_long_island_ends_its_hold_on_the_cold_budget() {
    let mut counts = Counts::new("moy", 5, 600_000, COLD);
    counts.site_reported(0, "ard", 5);
    counts.site_reported(1_000, "ard", 0);
    assert_eq!(counts.slow_start_quota(), SlowStartQuota { of: 5, all: 50 });
    counts.settle(1_000 + 600_000 + COLD);
    assert_eq!(counts.slow_start_quota(), SlowStartQuota { of: 5, all: 25 });
}

#[test]
fn a_process_that_slept_has_not_saved_its_moves_up() {
    let mut pace = Pace::new(5.0, 1, 7, 0);
    assert!(pace.permitted(3_600_000, 1_000) <= 6);
}
