//! Simulates five processes and 10,000 clients on a virtual clock. A twentieth of the messages
//! between processes is lost, a process dies, servers drain and restart, and the network is
//! partitioned for 3 s, while a new version of the configuration is rolled out, rolled back or
//! skips one.

mod support;

use support::fleet::{Action, Fleet, Stats};

/// The failures of every run: a server drains and restarts, a process dies and starts again, and
/// the network is partitioned while two versions run.
fn common_failures() -> Vec<(u64, Action)> {
    vec![
        (40_000, Action::Drain(1)),
        (70_000, Action::Restart(1)),
        (90_000, Action::Crash(3)),
        (95_000, Action::Start(3, 0)),
        (160_000, Action::SetPartition(true)),
        (163_000, Action::SetPartition(false)),
    ]
}

fn run_scenario(name: &str, seed: u64, changes: &[(u64, Action)]) -> Stats {
    let mut script = common_failures();
    script.extend_from_slice(changes);
    let stats = Fleet::new(seed).run(script, 320_000);
    println!("{name}, seed {seed}: {stats:?}");
    stats
}

fn assert_affinity_kept(stats: &Stats) {
    assert!(stats.expected_returns > 10_000, "{stats:?}");
    let return_ratio = stats.successful_returns as f64 / stats.expected_returns as f64;
    assert!(
        return_ratio >= 0.995,
        "too few clients returned to their server ({return_ratio}): {stats:?}"
    );
    assert_eq!(
        (
            stats.moved_by_version,
            stats.flaps,
            stats.returned_too_early
        ),
        (0, 0, 0),
        "{stats:?}"
    );
    // A process cannot know a fact that was lost twice.
    assert!(stats.flaps_by_loss <= 4, "{stats:?}");
}

#[test]
fn keeps_affinity_during_two_minute_rollout() {
    for seed in [1, 2, 3] {
        let adopt = |process: usize| (120_000 + 30_000 * process as u64, Action::Adopt(process, 1));
        let stats = run_scenario("roll", seed, &[0, 1, 2, 3, 4].map(adopt));
        assert_affinity_kept(&stats);
        // Clients that are no longer permitted on their server are moved, at 40 a second over all
        // processes.
        assert!(
            stats.rebalanced > 200,
            "expected more than 200 moved clients: {stats:?}"
        );
        assert!(stats.max_rebalanced_in_10_s <= 400 + 80, "{stats:?}");
        assert_eq!(stats.not_rebalanced, 0, "{stats:?}");
    }
}

#[test]
fn keeps_affinity_during_rollback() {
    for seed in [1, 2] {
        let rollout =
            [0, 1, 2].map(|process| (120_000 + 20_000 * process as u64, Action::Adopt(process, 1)));
        let rollback =
            [0, 1, 2].map(|process| (190_000 + 20_000 * process as u64, Action::Adopt(process, 0)));
        assert_affinity_kept(&run_scenario(
            "rollback",
            seed,
            &[rollout, rollback].concat(),
        ));
    }
}

#[test]
fn keeps_affinity_when_rollout_skips_version() {
    for seed in [1, 2] {
        let first = [
            (120_000, Action::Adopt(0, 1)),
            (130_000, Action::Adopt(1, 1)),
        ];
        let rest = [2, 0, 3, 1, 4]
            .map(|process| (140_000 + 20_000 * process as u64, Action::Adopt(process, 2)));
        assert_affinity_kept(&run_scenario(
            "skip",
            seed,
            &[&first[..], &rest[..]].concat(),
        ));
    }
}

#[test]
fn restart_with_old_version_keeps_rollout() {
    let adopt = |process: usize| (120_000 + 30_000 * process as u64, Action::Adopt(process, 1));
    let restart = [(155_000, Action::Crash(4)), (158_000, Action::Start(4, 0))];
    assert_affinity_kept(&run_scenario(
        "old start",
        1,
        &[&restart[..], &[0, 1, 2, 3, 4].map(adopt)[..]].concat(),
    ));
}
