//! A site during ten minutes without its uplink, compared with the same ten minutes without an
//! outage.

mod model;

use model::{START, Simulation, SimulationResult};

const OUTAGE: std::ops::Range<u64> = START + 60_000..START + 660_000;

fn simulate(per_site: usize, seed: u64, has_outage: bool) -> SimulationResult {
    let mut simulation = Simulation::new(
        per_site,
        seed,
        0.05,
        if has_outage { OUTAGE } else { START..START },
    );
    if !has_outage {
        // Counts the clients of the same ten minutes.
        simulation.count_clients_during(OUTAGE);
    }
    simulation.run(START + 780_000);
    simulation.result
}

fn served_share(result: &SimulationResult) -> f64 {
    f64::from(result.served) / f64::from(result.clients)
}

/// Checks the share of clients served, the probes, the migrations, and the time until all processes
/// have merged.
fn check_ten_minute_outage(per_site: usize, seeds: std::ops::Range<u64>) {
    let mut merge_delays: Vec<u64> = Vec::new();
    for seed in seeds {
        let (result, baseline) = (
            simulate(per_site, seed, true),
            simulate(per_site, seed, false),
        );
        let served = served_share(&result) / served_share(&baseline);
        assert!(
            served >= 0.99 && served_share(&result) >= 0.99,
            "share served {}, without outage {}: {result:?}",
            served_share(&result),
            served_share(&baseline)
        );
        assert_eq!(
            (
                result.isolated_processes,
                result.isolated_processes_elsewhere
            ),
            (per_site, 0),
            "all processes of the site are isolated, and no others"
        );
        let probes_by_minute: Vec<u32> = (1..10)
            .map(|minute| result.probes.get(&minute).copied().unwrap_or(0))
            .collect();
        assert!(
            probes_by_minute.iter().all(|probes| *probes <= 40),
            "at most 40 probes a minute, got {:?}",
            result.probes
        );
        let migrated: Vec<&String> = result
            .migrated
            .iter()
            .filter(|(_, migrated)| **migrated > 0)
            .map(|(name, _)| name)
            .collect();
        assert!(
            migrated
                .iter()
                .all(|name| ["s2", "s4"].contains(&name.as_str())),
            "only s2 and s4 are migrated off: {:?}",
            result.migrated
        );
        assert!(
            !migrated.is_empty(),
            "servers that drained unnoticed are migrated off"
        );
        assert!(
            result.max_migrations_per_s <= 5 + per_site / 3,
            "{} migrations in a second",
            result.max_migrations_per_s
        );
        assert_eq!(result.merged_at.len(), per_site, "each process merges once");
        assert!(
            result.max_simultaneous_polls <= per_site.div_ceil(3) + 2,
            "{} simultaneous polls",
            result.max_simultaneous_polls
        );
        assert_eq!(result.overload_count, 0);
        assert!(result.has_converged);
        let first = result.merged_at.iter().min().copied().unwrap_or(0);
        merge_delays.extend(result.merged_at.iter().map(|at| at - first));
        println!(
            "{per_site} processes, seed {seed}: served {:.4} of the share without outage ({:.4}), probes per minute {probes_by_minute:?}, \
             in the first minute {:?}, migrated {:?} (at most {} a second), first merge after {} ms, at most {} polls at once",
            served,
            served_share(&baseline),
            result.probes.get(&0),
            result.migrated,
            result.max_migrations_per_s,
            first - OUTAGE.end,
            result.max_simultaneous_polls,
        );
    }
    merge_delays.sort_unstable();
    let p99 = merge_delays[(merge_delays.len() * 99).div_ceil(100) - 1];
    println!(
        "{per_site} processes: merged p50 {} p99 {p99} ms after the first process",
        merge_delays[merge_delays.len() / 2]
    );
    assert!(p99 <= 5_000, "{merge_delays:?}");
}

#[test]
fn survives_ten_minute_outage_with_5_processes() {
    check_ten_minute_outage(5, 0..5);
}

#[test]
fn survives_ten_minute_outage_with_30_processes() {
    check_ten_minute_outage(30, 0..1);
}
