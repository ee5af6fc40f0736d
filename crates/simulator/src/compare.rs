//! Statistical comparison of two scenarios or policies: paired seeds and a bootstrap confidence interval.

use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

use crate::engine::Engine;
use crate::policies::Policy;
use crate::random::RandomSource;
use crate::scenario::Scenario;

/// Number of bootstrap resamples.
const RESAMPLES: usize = 4_000;

/// The compared figures of one run.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Figures {
    /// Fraction of clients that were connected within their latency objective.
    pub in_time: f64,
    /// 99th percentile of the connection setup time over all classes, in milliseconds.
    pub p99_ms: f64,
    /// Lowest fraction of clients connected in time over all accounts.
    pub worst_account: f64,
    /// Attempts per client that requested a connection.
    pub attempts: f64,
    /// Fraction of reconnecting clients that got their previous gateway back, of those whose gateway was available.
    pub landed: f64,
    /// Migrations per client that requested a connection.
    pub moves: f64,
    /// Cold gateways that crashed from overload.
    pub fallen: f64,
    /// Time until 99% of the former worth was connected again after a power loss, divided by the time of an ideal refill.
    /// `None` without a power loss; if 99% is never reached, the rest of the run counts as the time.
    pub power_recovery_ratio: Option<f64>,
    /// Number of rule violations.
    pub violations: u64,
}

/// Names of the figures, and whether a higher value is better.
pub const FIGURES: [(&str, bool); 8] = [
    ("in time", true),
    ("set-up p99, ms", false),
    ("worst account in time", true),
    ("attempts a client", false),
    ("got their gateway again", true),
    ("moves a client", false),
    ("cold gateways fallen", false),
    ("power back, over all-seeing", false),
];

impl Figures {
    /// The figure at an index of [`FIGURES`]; `None` if the run has no such figure.
    pub fn get(&self, index: usize) -> Option<f64> {
        match index {
            7 => self.power_recovery_ratio,
            _ => Some(
                [
                    self.in_time,
                    self.p99_ms,
                    self.worst_account,
                    self.attempts,
                    self.landed,
                    self.moves,
                    self.fallen,
                ][index],
            ),
        }
    }
}

/// Runs a scenario to its end and returns its figures.
pub fn run_scenario(scenario: &Scenario, policy: Policy) -> Figures {
    let mut engine = Engine::new(scenario, policy);
    engine.run(|_| true);
    let measures = &engine.measures;
    let mut took =
        hdrhistogram::Histogram::<u64>::new(3).expect("3 significant digits are supported");
    let (mut wanted, mut in_time) = (0, 0);
    for class in &measures.classes {
        took.add(&class.took).expect("the histogram resizes itself");
        (wanted, in_time) = (wanted + class.wanted, in_time + class.in_time);
    }
    let active_accounts = measures
        .accounts
        .iter()
        .filter(|account| account.wanted > 0);
    Figures {
        in_time: in_time as f64 / wanted.max(1) as f64,
        p99_ms: took.value_at_quantile(0.99) as f64 / 1e3,
        worst_account: active_accounts
            .map(crate::measures::ServiceCounts::fraction_in_time)
            .fold(1.0, f64::min),
        attempts: measures.sum(|second| second.attempts) as f64 / wanted.max(1) as f64,
        landed: measures.fleet.landed as f64 / measures.fleet.owed.max(1) as f64,
        moves: measures.sum(|second| second.moved) as f64 / wanted.max(1) as f64,
        fallen: measures.fleet.fallen as f64,
        power_recovery_ratio: measures.fleet.power.map(|power| {
            let remaining_time = engine.now().saturating_sub(power.back_at.unwrap_or(0));
            power
                .ratio()
                .unwrap_or(remaining_time as f64 / power.ideal_refill_time.max(1) as f64)
        }),
        violations: engine.checker.violation_count,
    }
}

/// Runs both sides with the same seeds, on one thread per core; `on_pair_done` is called with the index of each
/// finished pair.
pub fn run_pairs(
    sides: [(&Scenario, Policy); 2],
    seeds: std::ops::Range<u64>,
    on_pair_done: impl Fn(usize) + Sync,
) -> Vec<[Figures; 2]> {
    let count = (seeds.end - seeds.start) as usize;
    let (next, done) = (
        AtomicUsize::new(0),
        Mutex::new(vec![[Figures::default(); 2]; count]),
    );
    let cores = std::thread::available_parallelism()
        .map_or(1, usize::from)
        .min(count.max(1));
    std::thread::scope(|scope| {
        for _ in 0..cores {
            scope.spawn(|| {
                loop {
                    let index = next.fetch_add(1, Ordering::Relaxed);
                    if index >= count {
                        return;
                    }
                    let pair = sides.map(|(scenario, policy)| {
                        let scenario = Scenario {
                            seed: seeds.start + index as u64,
                            ..scenario.clone()
                        };
                        run_scenario(&scenario, policy)
                    });
                    done.lock()
                        .expect("no thread panics while it holds the lock")[index] = pair;
                    on_pair_done(index);
                }
            });
        }
    });
    done.into_inner()
        .expect("no thread panics while it holds the lock")
}

/// Mean difference (second minus first) of the pairs, and the lower and upper bound of its 95% bootstrap interval.
pub fn mean_difference(pairs: &[(f64, f64)], seed: u64) -> (f64, f64, f64) {
    let differences: Vec<f64> = pairs.iter().map(|(first, second)| second - first).collect();
    let count = differences.len();
    if count == 0 {
        return (0.0, 0.0, 0.0);
    }
    let mean = differences.iter().sum::<f64>() / count as f64;
    let mut rng = RandomSource::new(seed, 77);
    let mut means: Vec<f64> = (0..RESAMPLES)
        .map(|_| {
            (0..count)
                .map(|_| differences[rng.uniform_index(count)])
                .sum::<f64>()
                / count as f64
        })
        .collect();
    means.sort_by(f64::total_cmp);
    (
        mean,
        means[RESAMPLES / 40],
        means[RESAMPLES - 1 - RESAMPLES / 40],
    )
}
