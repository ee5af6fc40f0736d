//! Who is there when processes pause, die, start anew, change names, double or part.

use beaconflow_membership::testing::{Fleet, Rules, Silent, keys, profile};
use beaconflow_membership::{Configuration, Event, Input, Profile, Settings};

const NAMES: [&str; 5] = ["a", "b", "c", "d", "e"];
const LONG: u64 = 60_000;

fn five(seed: u64) -> Fleet<Silent> {
    let mut rules = Rules::new(seed);
    rules.lost = 50;
    let mut fleet = Fleet::new(rules);
    for (at, name) in NAMES.iter().enumerate() {
        fleet.add(place(name, at), Silent::default());
    }
    assert!(fleet.run_until(LONG, |fleet| fleet.all_know(&first_lives())));
    fleet
}

fn place(name: &str, at: usize) -> Profile {
    profile(name, 1_000 + at as u16, &[1_000, 1_001])
}

fn first_lives() -> Vec<(&'static str, u64)> {
    NAMES.map(|name| (name, 1)).to_vec()
}

fn took_its_time(fleet: &mut Fleet<Silent>, members: &[(&str, u64)]) {
    assert!(
        fleet.run_until(LONG, |fleet| fleet.all_know(members)),
        "known: {:?}",
        fleet.events
    );
}

#[test]
fn a_killed_process_is_gone_for_all_and_the_bodies_are_told() {
    let mut fleet = five(1);
    fleet.kill(4);
    took_its_time(&mut fleet, &first_lives()[..4]);
    assert_eq!(fleet.node(0).body().members, 4);
}

#[test]
fn one_that_leaves_is_gone_at_once() {
    let mut fleet = five(2);
    fleet.hand(4, Input::Leave);
    fleet.kill(4);
    assert!(fleet.run_until(2_000, |fleet| fleet.all_know(&first_lives()[..4])));
}

#[test]
fn a_paused_process_is_gone_and_comes_back_when_it_wakes() {
    let mut fleet = five(3);
    fleet.pause(2);
    fleet.run_for(10_000);
    let others = [("a", 1), ("b", 1), ("d", 1), ("e", 1)];
    assert!(fleet.all_know(&others));
    let paused_at = fleet.now;
    fleet.resume(2);
    assert!(fleet.run_until(5_000, |fleet| fleet.all_know(&first_lives())));
    assert!(
        fleet
            .told(2)
            .any(|event| matches!(event, Event::Woke(gap) if *gap > 9_000))
    );
    // It blamed nobody for its own absence, and its life is the same.
    fleet.run_for(LONG);
    let late_downs = fleet
        .events
        .iter()
        .filter(|(at, _, event)| *at >= paused_at && is_down(event));
    assert_eq!(late_downs.count(), 0);
    assert!(fleet.node(2).me().renewal > 0 && fleet.node(2).me().incarnation == 1);
}

fn is_down(event: &Event) -> bool {
    matches!(event, Event::Down(_))
}

#[test]
fn a_node_run_a_little_late_blames_nobody() {
    let mut fleet = five(4);
    fleet.rules.lost = 0;
    for _ in 0..60 {
        fleet.pause(0);
        fleet.run_for(900);
        // What lies in the socket comes after the turn: the worst order.
        fleet.hand(0, Input::Tick);
        fleet.resume(0);
        fleet.run_for(300);
    }
    assert_eq!(fleet.node(0).counts().suspected, 0);
    assert!(!fleet.events.iter().any(|(_, _, event)| is_down(event)));
}

#[test]
fn a_restart_under_the_same_name_ends_the_life_before() {
    for address in [2, 9] {
        let mut fleet = five(5);
        fleet.kill(2);
        fleet.run_for(300);
        fleet.add(
            Profile {
                incarnation: 2,
                seed: 77,
                ..place("c", address)
            },
            Silent::default(),
        );
        let now = [("a", 1), ("b", 1), ("c", 2), ("d", 1), ("e", 1)];
        assert!(fleet.run_until(5_000, |fleet| fleet.all_know(&now)));
        let restarted = |event: &Event| match event {
            Event::Restarted { was, now } => {
                (was.incarnation, now.incarnation) == (1, 2) && &*now.name == "c"
            }
            _ => false,
        };
        assert!(
            (0..5)
                .filter(|at| *at != 2)
                .all(|at| fleet.told(at).any(restarted))
        );
        assert!(
            !fleet
                .events
                .iter()
                .any(|(_, _, event)| matches!(event, Event::Doubled { .. }))
        );
        fleet.run_for(LONG);
        assert!(fleet.all_know(&now));
    }
}

#[test]
fn a_lost_boot_number_is_found_again_from_the_fleet() {
    // The number before, or a much older one.
    for incarnation in [1, 7] {
        let mut fleet = five(6);
        fleet.kill(3);
        fleet.add(
            Profile {
                incarnation: 7,
                seed: 99,
                ..place("d", 3)
            },
            Silent::default(),
        );
        took_its_time(
            &mut fleet,
            &[("a", 1), ("b", 1), ("c", 1), ("d", 7), ("e", 1)],
        );
        fleet.kill(5);
        // A seed that draws a lower life than 99 does: the same boot number alone does not win.
        let seed = (0..)
            .find(|seed| fleet_life(*seed) < fleet_life(99))
            .expect("one of them is lower");
        let again = fleet.add(
            Profile {
                incarnation,
                seed,
                ..place("d", 3)
            },
            Silent::default(),
        );
        took_its_time(
            &mut fleet,
            &[("a", 1), ("b", 1), ("c", 1), ("d", 8), ("e", 1)],
        );
        assert!(
            fleet
                .told(again)
                .any(|event| *event == Event::BootRaised(8))
        );
        assert!(!fleet.node(again).is_displaced());
    }
}

fn fleet_life(seed: u64) -> u64 {
    let mut fleet = Fleet::new(Rules::new(1));
    fleet.add(
        Profile {
            seed,
            ..place("x", 0)
        },
        Silent::default(),
    );
    fleet.node(0).me().start_nonce
}

#[test]
fn of_two_processes_of_one_name_the_later_counts_and_the_other_is_told() {
    for incarnation in [0, 2] {
        let mut fleet = five(7);
        let second = fleet.add(
            Profile {
                incarnation,
                ..place("c", 8)
            },
            Silent::default(),
        );
        let (winner, loser) = if incarnation > 1 {
            (second, 2)
        } else {
            (2, second)
        };
        assert!(fleet.run_until(LONG, |fleet| fleet.node(loser).is_displaced()));
        fleet.run_for(5_000);
        let boots = (
            fleet.node(winner).me().incarnation,
            fleet.node(loser).me().incarnation,
        );
        let (winner_at, loser_at) = (fleet.seats[winner].address, fleet.seats[loser].address);
        let is_named = |event: &Event| match event {
            Event::Doubled {
                holder,
                other,
                other_boot,
            } => {
                (holder.address, *other) == (winner_at, loser_at)
                    && (holder.incarnation, *other_boot) == boots
            }
            _ => false,
        };
        assert!(
            fleet
                .events
                .iter()
                .any(|(_, _, event)| is_named(event) && event.is_fault())
        );
        let displaced =
            |event: &Event| matches!(event, Event::Displaced { by } if by.address == winner_at);
        assert!(fleet.told(loser).any(displaced));
        assert_eq!(fleet.node(loser).members().len(), 0);
        for at in [0, 1, 3, 4] {
            let known = fleet
                .node(at)
                .members()
                .find(|member| &*member.name == "c")
                .expect("c is there");
            assert_eq!((known.address, known.incarnation), (winner_at, boots.0));
        }
        // Neither flaps, however long it lasts; and when the winner is gone the other is let in.
        let events = fleet.events.len();
        fleet.run_for(5 * LONG);
        assert!(
            !fleet.events[events..]
                .iter()
                .any(|(_, _, event)| is_down(event))
        );
        fleet.kill(winner);
        let raised = boots.0 + 1;
        took_its_time(
            &mut fleet,
            &[("a", 1), ("b", 1), ("c", raised), ("d", 1), ("e", 1)],
        );
    }
}

#[test]
fn a_process_that_took_another_name_takes_the_place_of_the_one_before() {
    let mut fleet = five(8);
    fleet.kill(4);
    fleet.add(
        Profile {
            incarnation: 2,
            seed: 55,
            ..place("z", 4)
        },
        Silent::default(),
    );
    // Well before the silence of the old name would tell.
    let now = [("a", 1), ("b", 1), ("c", 1), ("d", 1), ("z", 2)];
    assert!(fleet.run_until(2_500, |fleet| fleet.all_know(&now)));
    let renamed = |event: &Event| matches!(event, Event::Renamed { was, now } if (&*was.name, &*now.name) == ("e", "z"));
    assert!(fleet.events.iter().any(|(_, _, event)| renamed(event)));
}

#[test]
fn two_halves_that_meet_again_know_each_other() {
    let mut fleet = five(9);
    let addresses: Vec<_> = fleet.seats.iter().map(|seat| seat.address).collect();
    fleet.rules.part(&addresses[..2], &addresses[2..]);
    fleet.run_for(30_000);
    let known = |fleet: &Fleet<Silent>, at: usize| fleet.node(at).members().len();
    assert_eq!((known(&fleet, 0), known(&fleet, 4)), (1, 2));
    fleet.rules.cut.clear();
    assert!(fleet.run_until(10_000, |fleet| fleet.all_know(&first_lives())));
    fleet.run_for(LONG);
    assert!(fleet.all_know(&first_lives()));
}

#[test]
fn halves_that_lost_each_other_while_one_was_alone_meet_by_their_seeds() {
    let mut fleet = Fleet::new(Rules::new(10));
    let (a, b) = (place("a", 0).address, place("b", 1).address);
    fleet.rules.part(&[a], &[b]);
    fleet.add(place("a", 0), Silent::default());
    fleet.add(place("b", 1), Silent::default());
    fleet.run_for(LONG);
    fleet.rules.cut.clear();
    assert!(fleet.run_until(10_000, |fleet| fleet.all_know(&[("a", 1), ("b", 1)])));
}

#[test]
fn a_new_configuration_is_known_without_anybody_going_down() {
    let mut fleet = five(11);
    let configuration = Configuration {
        digest: [9; 32],
        order: 4,
    };
    fleet.hand(1, Input::Configured(configuration));
    let known = |fleet: &Fleet<Silent>| {
        [0, 2, 3, 4].iter().all(|at| {
            let member = fleet
                .node(*at)
                .members()
                .find(|member| &*member.name == "b");
            member.is_some_and(|member| member.configuration == configuration)
        })
    };
    assert!(fleet.run_until(5_000, known));
    assert!(
        fleet.told(0).any(
            |event| matches!(event, Event::Changed { now, .. } if now.configuration.order == 4)
        )
    );
    fleet.run_for(LONG);
    assert!(known(&fleet) && !fleet.events.iter().any(|(_, _, event)| is_down(event)));
}

#[test]
fn a_link_lost_one_way_and_a_bad_net_take_nobody_down() {
    let mut fleet = five(12);
    let (a, b) = (fleet.seats[0].address, fleet.seats[1].address);
    fleet.rules.cut.insert((a, b));
    fleet.rules.lost = 200;
    fleet.run_for(5 * LONG);
    assert!(fleet.all_know(&first_lives()));
    assert!(!fleet.events.iter().any(|(_, _, event)| is_down(event)));
    // Whoever was suspected spoke up, and that was the end of it.
    assert!(
        fleet
            .counts()
            .iter()
            .map(|counts| counts.suspected)
            .sum::<u64>()
            > 10
    );
    assert!(fleet.counts().iter().all(|counts| counts.renewals == 0));
}

#[test]
fn a_newcomer_to_many_knows_them_within_two_seconds() {
    let mut fleet = Fleet::new(Rules::new(13));
    fleet.rules.lost = 50;
    for at in 0..60 {
        fleet.add(place(&format!("p{at}"), at), Silent::default());
    }
    fleet.run_for(20_000);
    let late = fleet.add(place("late", 90), Silent::default());
    assert!(fleet.run_until(2_000, |fleet| fleet.node(late).members().len() == 60));
}

#[test]
fn a_fleet_changes_its_key_without_losing_anybody() {
    let mut fleet = five(14);
    let (old, new) = (keys(1).current, keys(2).current);
    let both = [
        (old.clone(), Some(new.clone())),
        (new.clone(), Some(old)),
        (new, None),
    ];
    for (current, other) in both {
        for at in 0..5 {
            let keys = beaconflow_membership::Keys {
                current: current.clone(),
                other: other.clone(),
            };
            fleet.hand(at, Input::Keys(Box::new(keys)));
            fleet.run_for(1_500);
        }
    }
    fleet.run_for(20_000);
    assert!(fleet.all_know(&first_lives()));
    assert!(!fleet.events.iter().any(|(_, _, event)| is_down(event)));
    // One that still has the old key alone is outside.
    let late = fleet.add_with(
        place("f", 5),
        keys(1),
        Settings::default(),
        Silent::default(),
    );
    fleet.run_for(20_000);
    assert_eq!(fleet.node(late).members().len(), 0);
}
