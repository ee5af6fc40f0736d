//! A site through ten minutes without its uplink, beside the same ten minutes with it.

mod model;

use model::{Outcome10, T, World};

const LOST: std::ops::Range<u64> = T + 60_000..T + 660_000;

fn play(per_site: usize, seed: u64, lost: bool) -> Outcome10 {
    let mut world = World::new(per_site, seed, 0.05, if lost { LOST } else { T..T });
    if !lost {
        // The clients of the same ten minutes are counted.
        world.count(LOST);
    }
    world.run(T + 780_000);
    world.out
}

fn share(out: &Outcome10) -> f64 {
    f64::from(out.served) / f64::from(out.clients)
}

/// The clients' share, the probes, the moves, and the time until all know the same.
fn ten_minutes(per_site: usize, seeds: std::ops::Range<u64>) {
    let mut late: Vec<u64> = Vec::new();
    for seed in seeds {
        let (out, without) = (play(per_site, seed, true), play(per_site, seed, false));
        let served = share(&out) / share(&without);
        assert!(
            served >= 0.99 && share(&out) >= 0.99,
            "served {} of {}: {out:?}",
            share(&out),
            share(&without)
        );
        assert_eq!(
            (out.islanded, out.others_islanded),
            (per_site, 0),
            "all of the site, and none else"
        );
        let steady: Vec<u32> = (1..10)
            .map(|minute| out.probes.get(&minute).copied().unwrap_or(0))
            .collect();
        assert!(
            steady.iter().all(|probes| *probes <= 40),
            "by minute: {:?}",
            out.probes
        );
        let moved: Vec<&String> = out
            .moved
            .iter()
            .filter(|(_, moved)| **moved > 0)
            .map(|(name, _)| name)
            .collect();
        assert!(
            moved
                .iter()
                .all(|name| ["s2", "s4"].contains(&name.as_str())),
            "{:?}",
            out.moved
        );
        assert!(!moved.is_empty(), "what drained unseen is emptied");
        assert!(
            out.moved_at_once <= 5 + per_site / 3,
            "{} in a second",
            out.moved_at_once
        );
        assert_eq!(out.merged.len(), per_site, "each merges once");
        assert!(
            out.herd <= per_site.div_ceil(3) + 2,
            "{} calls at once",
            out.herd
        );
        assert_eq!(out.tipped, 0);
        assert!(out.agreed);
        let first = out.merged.iter().min().copied().unwrap_or(0);
        late.extend(out.merged.iter().map(|at| at - first));
        println!(
            "{per_site} processes, seed {seed}: served {:.4} of what is without loss ({:.4}), probes a minute {steady:?}, \
             first {:?}, moved {:?} ({} in a second at most), back after {} ms, herd {}",
            served,
            share(&without),
            out.probes.get(&0),
            out.moved,
            out.moved_at_once,
            first - LOST.end,
            out.herd,
        );
    }
    late.sort_unstable();
    let p99 = late[(late.len() * 99).div_ceil(100) - 1];
    println!(
        "{per_site} processes: all know the same p50 {} p99 {p99} ms after the first",
        late[late.len() / 2]
    );
    assert!(p99 <= 5_000, "{late:?}");
}

#[test]
fn ten_minutes_on_the_island_with_5_processes() {
    ten_minutes(5, 0..5);
}

#[test]
fn ten_minutes_on_the_island_with_30_processes() {
    ten_minutes(30, 0..1);
}
