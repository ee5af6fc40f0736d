//! The slow-start budget is divided over a fleet: for any number of balancers and any distribution
//! of traffic among them, no server in slow start gets more than the rules allow, up to chance.

mod common;

use common::fleet::*;
use common::*;

use proptest::prelude::*;
use rand::SeedableRng;
use rand_pcg::Pcg32;

/// Steps before the servers restart.
const STEPS_BEFORE_RESTART: usize = 300;
const STEPS_AFTER_RESTART: usize = 150;

/// Fraction of all windows in which chance alone may take one server over [`with_chance`]. Each
/// balancer draws for itself, and one such moment falls into up to twenty overlapping windows. The
/// capacity of the servers is assumed to be low; see [`overload_attempts`].
const MAX_EXCEEDED_FRACTION: f64 = 0.03;

/// The most attempts where `allowed` are expected, with what the operators attribute to chance.
fn with_chance(allowed: f64) -> f64 {
    allowed + 2.0 * allowed.sqrt() + 2.0
}

/// Cumulative traffic of a fleet in which the `n`-th busiest balancer has `n^-exponent` times the
/// traffic of the first.
fn uneven_traffic(balancers: u32, exponent: f64) -> Vec<f64> {
    let mut cumulative = 0.0;
    let shares = (1..=balancers).map(|rank| f64::from(rank).powf(-exponent));
    shares
        .map(|share| {
            cumulative += share;
            cumulative
        })
        .collect()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 16, ..ProptestConfig::default() })]

    #[test]
    fn slow_start_budget_holds_for_any_fleet(
        balancers in prop_oneof![2_u32..=3, 4_u32..=30, 31_u32..=300],
        exponent in 0.0..1.2_f64,
        restarted in 1..=SERVERS / 2,
        has_groups in any::<bool>(),
        seed in any::<u64>(),
    ) {
        let cumulative_traffic = uneven_traffic(balancers, exponent);
        let rng = Pcg32::seed_from_u64(seed);
        let mut fleet = Fleet { cumulative_traffic, rng, has_groups, ..Fleet::new(balancers) };
        (0..STEPS_BEFORE_RESTART).for_each(|_| fleet.advance());
        let (first, since) = (SERVERS - restarted, fleet.step);
        fleet.restart_servers_from(first);
        (0..STEPS_AFTER_RESTART).for_each(|_| fleet.advance());
        let window = settings().rules.overload_window / STEP;
        let (mut windows, mut exceeded) = (0, 0);
        for start in since..fleet.step - window {
            let allowed = overload_attempts(start - since);
            let counts = &fleet.attempts_within(start..start + window)[first as usize..];
            let total = counts.iter().sum::<f64>();
            let max_total = with_chance(allowed * f64::from(restarted));
            prop_assert!(
                total <= max_total,
                "all restarted servers, {} steps after the restart: {total} attempts, at most {max_total} expected",
                start - since
            );
            windows += counts.len();
            exceeded += counts.iter().filter(|count| **count > with_chance(allowed)).count();
        }
        let max_exceeded = MAX_EXCEEDED_FRACTION * windows as f64;
        prop_assert!(
            exceeded as f64 <= max_exceeded,
            "single restarted servers exceeded the limit in {exceeded} of {windows} windows"
        );
        // One or two servers may be preferred by no group within so short a time.
        prop_assert!(
            restarted < 3 || fleet.connection_share_from(first) > 0.0,
            "the restarted servers hold no connections"
        );
    }
}
