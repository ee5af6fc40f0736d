//! The slow-start allowance is divided over a fleet: however many processes there are and however unevenly clients come
//! to them, no cold server gets more than the rules allow, beyond what chance alone explains.

mod common;

use common::fleet::*;
use common::*;

use proptest::prelude::*;
use rand::SeedableRng;
use rand_pcg::Pcg32;

/// Steps before servers restart, and after it.
const BEFORE: usize = 300;
const AFTER: usize = 150;

/// The part of all windows of one server in which chance alone may go beyond that: each process draws for itself, and one
/// such moment stands in up to twenty windows, which overlap. What servers bear is assumed low here: see `bears`.
const RARELY: f64 = 0.03;

/// What a server that may be sent so many requests is sent at most, with what the operators put down to chance.
fn with_chance(allowed: f64) -> f64 {
    allowed + 2.0 * allowed.sqrt() + 2.0
}

/// Up to each gateway, the traffic of a fleet in which the `n`-th busiest has the `n`-th part, to a power, of the first's.
fn uneven(gateways: u32, power: f64) -> Vec<f64> {
    let mut up_to = 0.0;
    let parts = (1..=gateways).map(|place| f64::from(place).powf(-power));
    parts
        .map(|part| {
            up_to += part;
            up_to
        })
        .collect()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 16, ..ProptestConfig::default() })]

    #[test]
    fn no_cold_server_gets_more_than_its_allowance_and_what_is_chance(
        gateways in prop_oneof![2_u32..=3, 4_u32..=30, 31_u32..=300],
        power in 0.0..1.2_f64,
        cold in 1..=SERVERS / 2,
        grouped in any::<bool>(),
        seed in any::<u64>(),
    ) {
        let (traffic, rng) = (uneven(gateways, power), Pcg32::seed_from_u64(seed));
        let mut fleet = Fleet { traffic, rng, grouped, ..Fleet::of(gateways) };
        (0..BEFORE).for_each(|_| fleet.pass());
        let (first, since) = (SERVERS - cold, fleet.step);
        fleet.restart(first);
        (0..AFTER).for_each(|_| fleet.pass());
        let fall = settings().rules.overload_window / STEP;
        let (mut windows, mut beyond) = (0, 0);
        for start in since..fleet.step - fall {
            let allowed = bears(start - since);
            let sent = &fleet.sent_within(start..start + fall)[first as usize..];
            let (sum, most) = (sent.iter().sum::<f64>(), with_chance(allowed * f64::from(cold)));
            prop_assert!(sum <= most, "all cold servers, {} steps on: {sum} of {most}", start - since);
            windows += sent.len();
            beyond += sent.iter().filter(|sent| **sent > with_chance(allowed)).count();
        }
        let rare = RARELY * windows as f64;
        prop_assert!(beyond as f64 <= rare, "one cold server: {beyond} of {windows} windows");
        // One server alone may be no group's within so short a time.
        prop_assert!(cold < 3 || fleet.share_from(first) > 0.0, "the cold servers are used");
    }
}
