//! Clients that are no longer permitted on their server are moved at a rate that holds over all
//! processes, however many there are.

use beaconflow_affinity::*;

/// The moves of a fleet within `span_s` seconds. The first third of the processes has most of the
/// clients, and each process calls at its own interval.
fn total_moved(processes: u32, per_s: f64, span_s: u64, seed: u64) -> u64 {
    let mut total_moved = 0;
    for process in 0..processes {
        let mut rebalancer = Rebalancer::new(per_s, processes, seed ^ u64::from(process) << 20);
        let clients = if process < processes.div_ceil(3) {
            5_000
        } else {
            40
        };
        rebalancer.set_pending((0..clients).map(|key| (Key(key), None)));
        let interval_ms = 37 + u64::from(process) * 131 % 900;
        let mut now = 1_000_000 + u64::from(process) * 7;
        while now < 1_000_000 + span_s * 1_000 {
            total_moved += rebalancer.take_permitted(now).len() as u64;
            now += interval_ms;
        }
    }
    total_moved
}

#[test]
fn limits_fleet_rate_for_any_process_count() {
    for processes in [1, 2, 3, 48, 100, 300] {
        for per_s in [0.5, 4.0, 50.0] {
            let (span_s, seeds) = (60, 5);
            let total: u64 = (0..seeds)
                .map(|seed| total_moved(processes, per_s, span_s, seed * 977 + 5))
                .sum();
            let max_moves = per_s * (span_s * seeds) as f64;
            let tolerance = 4.0 * max_moves.sqrt();
            assert!(
                (total as f64) < max_moves + tolerance,
                "{processes} processes, {per_s}/s: {total} moves, allowance {max_moves}"
            );
            // The processes that have clients to move use a good part of the allowance.
            assert!(
                total as f64 > max_moves / 4.0 - tolerance,
                "{processes} processes, {per_s}/s: {total} moves, allowance {max_moves}"
            );
        }
    }
}

#[test]
fn unused_allowance_expires_and_groups_stay_together() {
    let mut rebalancer = Rebalancer::new(10.0, 1, 3);
    let group = |key: u64| Some(Group(key % 3));
    rebalancer.set_pending((0..90).map(|key| (Key(key), group(key))));
    assert!(
        rebalancer.take_permitted(1_000_000).is_empty(),
        "expected no moves at the first call"
    );
    let first = rebalancer.take_permitted(1_000_000 + 3_600_000);
    assert_eq!(
        (first.len(), rebalancer.pending_count()),
        (10, 80),
        "expected the allowance of one second after an hour"
    );
    assert!(first.iter().all(|key| group(key.0) == Some(Group(0))));
    assert!(
        rebalancer.take_permitted(1_000_000).is_empty(),
        "expected no moves when the clock goes backwards"
    );
    rebalancer.set_process_count(1_000_000);
    assert!(rebalancer.take_permitted(1_000_000 + 3_601_000).len() <= 1);
}
