//! What nodes carry for others: rumours to a few, pages to whoever lacks them, never too much.

use beaconflow_membership::testing::{Fleet, Numbers, Rules, keys, profile};
use beaconflow_membership::{Input, LARGEST, Settings};

fn fleet(n: u16, settings: &Settings) -> Fleet<Numbers> {
    let mut fleet = Fleet::new(Rules::new(5));
    fleet.rules.lost = 50;
    for at in 0..n {
        let profile = profile(&format!("p{at:02}"), 1_000 + at, &[1_000, 1_001]);
        fleet.add_with(profile, keys(1), settings.clone(), Numbers::default());
    }
    fleet.run_for(10_000);
    fleet
}

fn knows(fleet: &Fleet<Numbers>, at: usize, numbers: usize) -> bool {
    fleet.node(at).body().known.len() == numbers
}

#[test]
fn what_is_said_is_known_by_all_within_two_seconds() {
    let mut fleet = fleet(30, &Settings::default());
    for number in 0..20 {
        let at = number as usize;
        fleet.seats[at]
            .node
            .as_mut()
            .expect("lives")
            .body_mut()
            .learn(number);
        fleet.hand(at, Input::Say);
        let all = at + 1;
        assert!(fleet.run_until(2_000, |fleet| (0..30).all(|at| knows(fleet, at, all))));
    }
}

#[test]
fn a_newcomer_is_given_the_pages_in_a_few_rounds() {
    let mut fleet = fleet(3, &Settings::default());
    for at in 0..3 {
        fleet.seats[at]
            .node
            .as_mut()
            .expect("lives")
            .body_mut()
            .known
            .extend(0..4_000);
    }
    let late = fleet.add(profile("late", 2_000, &[1_000]), Numbers::default());
    // 32 KB in pages of a thousand bytes: four at a time, at each round, until there are no more.
    assert!(fleet.run_until(6_000, |fleet| knows(fleet, late, 4_000)));
}

#[test]
fn bodies_fill_no_more_bytes_than_they_may() {
    let settings = Settings {
        bytes_per_s: 10_000,
        ..Settings::default()
    };
    let mut fleet = fleet(4, &settings);
    for at in 0..4 {
        fleet.seats[at]
            .node
            .as_mut()
            .expect("lives")
            .body_mut()
            .news = (0..600).map(|n| (n, 1_000_000)).collect();
    }
    let before = fleet.counts();
    fleet.run_for(60_000);
    for (before, after) in before.iter().zip(fleet.counts()) {
        let per_s = (after.sent_bytes - before.sent_bytes) / 60;
        // What finds out who is there comes on top.
        assert!((8_000..12_000).contains(&per_s), "{per_s} bytes a second");
        assert!(after.rate_limited > 100);
    }
    assert!(fleet.node(0).body().largest_room > LARGEST * 3 / 4);
}
