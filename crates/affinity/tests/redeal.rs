//! What no longer holds is moved at a rate that all processes keep together, however many there are.

use beaconflow_affinity::*;

/// Moves of a fleet in so many seconds, with most of the clients at the first few processes and calls at times of each
/// one's own.
fn moved(processes: u32, per_s: f64, span_s: u64, seed: u64) -> u64 {
    let mut moved = 0;
    for rank in 0..processes {
        let mut one = Rebalancer::new(per_s, processes, seed ^ u64::from(rank) << 20);
        let clients = if rank < processes.div_ceil(3) {
            5_000
        } else {
            40
        };
        one.begin((0..clients).map(|key| (Key(key), None)));
        let step = 37 + u64::from(rank) * 131 % 900;
        let mut now = 1_000_000 + u64::from(rank) * 7;
        while now < 1_000_000 + span_s * 1_000 {
            moved += one.take_permitted(now).len() as u64;
            now += step;
        }
    }
    moved
}

#[test]
fn the_rate_is_the_fleets_at_any_count_of_processes() {
    for processes in [1, 2, 3, 48, 100, 300] {
        for per_s in [0.5, 4.0, 50.0] {
            let (span, seeds) = (60, 5);
            let all: u64 = (0..seeds)
                .map(|seed| moved(processes, per_s, span, seed * 977 + 5))
                .sum();
            let most = per_s * (span * seeds) as f64;
            let chance = 4.0 * most.sqrt();
            assert!(
                (all as f64) < most + chance,
                "{processes} processes, {per_s}/s: {all} of {most}"
            );
            // And it is used, by those that have whom to move.
            assert!(
                all as f64 > most / 4.0 - chance,
                "{processes} processes, {per_s}/s: {all} of {most}"
            );
        }
    }
}

#[test]
fn what_was_not_used_lapses_and_groups_go_together() {
    let mut one = Rebalancer::new(10.0, 1, 3);
    let group = |key: u64| Some(Group(key % 3));
    one.begin((0..90).map(|key| (Key(key), group(key))));
    assert!(one.take_permitted(1_000_000).is_empty(), "nobody at once");
    let first = one.take_permitted(1_000_000 + 3_600_000);
    assert_eq!(
        (first.len(), one.left()),
        (10, 80),
        "a second's worth after an hour"
    );
    assert!(first.iter().all(|key| group(key.0) == Some(Group(0))));
    assert!(
        one.take_permitted(1_000_000).is_empty(),
        "a clock that goes back gives nothing"
    );
    one.shared_by(1_000_000);
    assert!(one.take_permitted(1_000_000 + 3_601_000).len() <= 1);
}
