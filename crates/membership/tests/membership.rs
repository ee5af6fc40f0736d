//! Membership while processes pause, crash, restart, change names, have conflicting names or are
//! partitioned.

use beaconflow_membership::testing::{Fleet, NetworkConditions, SilentPayload, keys, profile};
use beaconflow_membership::{Configuration, Event, Input, Profile, Settings};

const NAMES: [&str; 5] = ["a", "b", "c", "d", "e"];
const MINUTE_MS: u64 = 60_000;

fn fleet_of_five(seed: u64) -> Fleet<SilentPayload> {
    let mut network = NetworkConditions::new(seed);
    network.loss_per_mille = 50;
    let mut fleet = Fleet::new(network);
    for (at, name) in NAMES.iter().enumerate() {
        fleet.add(process_profile(name, at), SilentPayload::default());
    }
    assert!(fleet.run_until(MINUTE_MS, |fleet| fleet.all_know(&initial_members())));
    fleet
}

fn process_profile(name: &str, at: usize) -> Profile {
    profile(name, 1_000 + at as u16, &[1_000, 1_001])
}

fn initial_members() -> Vec<(&'static str, u64)> {
    NAMES.map(|name| (name, 1)).to_vec()
}

fn assert_eventually_known(fleet: &mut Fleet<SilentPayload>, members: &[(&str, u64)]) {
    assert!(
        fleet.run_until(MINUTE_MS, |fleet| fleet.all_know(members)),
        "members differ from the expected ones; events: {:?}",
        fleet.events
    );
}

#[test]
fn removes_killed_process_and_reports_member_count() {
    let mut fleet = fleet_of_five(1);
    fleet.kill(4);
    assert_eventually_known(&mut fleet, &initial_members()[..4]);
    assert_eq!(fleet.node(0).payload().member_count, 4);
}

#[test]
fn removes_leaving_process_within_two_seconds() {
    let mut fleet = fleet_of_five(2);
    fleet.handle_input(4, Input::Leave);
    fleet.kill(4);
    assert!(fleet.run_until(2_000, |fleet| fleet.all_know(&initial_members()[..4])));
}

#[test]
fn removes_paused_process_until_it_resumes() {
    let mut fleet = fleet_of_five(3);
    fleet.pause(2);
    fleet.run_for(10_000);
    let others = [("a", 1), ("b", 1), ("d", 1), ("e", 1)];
    assert!(fleet.all_know(&others));
    let resumed_at = fleet.now;
    fleet.resume(2);
    assert!(fleet.run_until(5_000, |fleet| fleet.all_know(&initial_members())));
    assert!(
        fleet
            .events_of(2)
            .any(|event| matches!(event, Event::PauseDetected(pause_ms) if *pause_ms > 9_000))
    );
    // The resumed process declared no peer down because of its own pause, and kept its incarnation.
    fleet.run_for(MINUTE_MS);
    let late_downs = fleet
        .events
        .iter()
        .filter(|(at, _, event)| *at >= resumed_at && is_down(event));
    assert_eq!(late_downs.count(), 0);
    assert!(
        fleet.node(2).local_member().renewal > 0 && fleet.node(2).local_member().incarnation == 1
    );
}

fn is_down(event: &Event) -> bool {
    matches!(event, Event::Down(_))
}

#[test]
fn suspects_no_peer_when_node_runs_late() {
    let mut fleet = fleet_of_five(4);
    fleet.network.loss_per_mille = 0;
    for _ in 0..60 {
        fleet.pause(0);
        fleet.run_for(900);
        // The timer fires before the queued datagrams are handled, which is the worst order.
        fleet.handle_input(0, Input::Tick);
        fleet.resume(0);
        fleet.run_for(300);
    }
    assert_eq!(fleet.node(0).counts().suspected, 0);
    assert!(!fleet.events.iter().any(|(_, _, event)| is_down(event)));
}

#[test]
fn replaces_previous_incarnation_on_restart() {
    for address in [2, 9] {
        let mut fleet = fleet_of_five(5);
        fleet.kill(2);
        fleet.run_for(300);
        fleet.add(
            Profile {
                incarnation: 2,
                seed: 77,
                ..process_profile("c", address)
            },
            SilentPayload::default(),
        );
        let expected = [("a", 1), ("b", 1), ("c", 2), ("d", 1), ("e", 1)];
        assert!(fleet.run_until(5_000, |fleet| fleet.all_know(&expected)));
        let is_restart = |event: &Event| match event {
            Event::Restarted { previous, current } => {
                (previous.incarnation, current.incarnation) == (1, 2) && &*current.name == "c"
            }
            _ => false,
        };
        assert!(
            (0..5)
                .filter(|at| *at != 2)
                .all(|at| fleet.events_of(at).any(is_restart))
        );
        assert!(
            !fleet
                .events
                .iter()
                .any(|(_, _, event)| matches!(event, Event::NameConflictFound { .. }))
        );
        fleet.run_for(MINUTE_MS);
        assert!(fleet.all_know(&expected));
    }
}

#[test]
fn recovers_lost_incarnation_from_fleet() {
    // The incarnation number is lost: it repeats the previous one, or goes back to a much older
    // one.
    for incarnation in [1, 7] {
        let mut fleet = fleet_of_five(6);
        fleet.kill(3);
        fleet.add(
            Profile {
                incarnation: 7,
                seed: 99,
                ..process_profile("d", 3)
            },
            SilentPayload::default(),
        );
        assert_eventually_known(
            &mut fleet,
            &[("a", 1), ("b", 1), ("c", 1), ("d", 7), ("e", 1)],
        );
        fleet.kill(5);
        // A seed with a lower start nonce than seed 99, so that the same incarnation alone does not
        // win.
        let seed = (0..)
            .find(|seed| start_nonce_for_seed(*seed) < start_nonce_for_seed(99))
            .expect("some seed draws a lower start nonce");
        let restarted = fleet.add(
            Profile {
                incarnation,
                seed,
                ..process_profile("d", 3)
            },
            SilentPayload::default(),
        );
        assert_eventually_known(
            &mut fleet,
            &[("a", 1), ("b", 1), ("c", 1), ("d", 8), ("e", 1)],
        );
        assert!(
            fleet
                .events_of(restarted)
                .any(|event| *event == Event::IncarnationRaised(8))
        );
        assert!(!fleet.node(restarted).is_displaced());
    }
}

fn start_nonce_for_seed(seed: u64) -> u64 {
    let mut fleet = Fleet::new(NetworkConditions::new(1));
    fleet.add(
        Profile {
            seed,
            ..process_profile("x", 0)
        },
        SilentPayload::default(),
    );
    fleet.node(0).local_member().start_nonce
}

#[test]
fn displaces_earlier_incarnation_on_name_conflict() {
    for incarnation in [0, 2] {
        let mut fleet = fleet_of_five(7);
        let second = fleet.add(
            Profile {
                incarnation,
                ..process_profile("c", 8)
            },
            SilentPayload::default(),
        );
        let (winner, loser) = if incarnation > 1 {
            (second, 2)
        } else {
            (2, second)
        };
        assert!(fleet.run_until(MINUTE_MS, |fleet| fleet.node(loser).is_displaced()));
        fleet.run_for(5_000);
        let incarnations = (
            fleet.node(winner).local_member().incarnation,
            fleet.node(loser).local_member().incarnation,
        );
        let (winner_at, loser_at) = (
            fleet.processes[winner].address,
            fleet.processes[loser].address,
        );
        let is_expected_conflict = |event: &Event| match event {
            Event::NameConflictFound {
                holder,
                other_address,
                other_incarnation,
            } => {
                (holder.address, *other_address) == (winner_at, loser_at)
                    && (holder.incarnation, *other_incarnation) == incarnations
            }
            _ => false,
        };
        assert!(
            fleet
                .events
                .iter()
                .any(|(_, _, event)| is_expected_conflict(event) && event.is_fault())
        );
        let is_displacement = |event: &Event| matches!(event, Event::Displaced { holder } if holder.address == winner_at);
        assert!(fleet.events_of(loser).any(is_displacement));
        assert_eq!(fleet.node(loser).members().len(), 0);
        for at in [0, 1, 3, 4] {
            let known = fleet
                .node(at)
                .members()
                .find(|member| &*member.name == "c")
                .expect("c is a live member");
            assert_eq!(
                (known.address, known.incarnation),
                (winner_at, incarnations.0)
            );
        }
        // Neither process flaps in five minutes. Once the winner is gone, the other one joins.
        let event_count = fleet.events.len();
        fleet.run_for(5 * MINUTE_MS);
        assert!(
            !fleet.events[event_count..]
                .iter()
                .any(|(_, _, event)| is_down(event))
        );
        fleet.kill(winner);
        let raised_incarnation = incarnations.0 + 1;
        assert_eventually_known(
            &mut fleet,
            &[
                ("a", 1),
                ("b", 1),
                ("c", raised_incarnation),
                ("d", 1),
                ("e", 1),
            ],
        );
    }
}

#[test]
fn replaces_previous_name_at_same_address() {
    let mut fleet = fleet_of_five(8);
    fleet.kill(4);
    fleet.add(
        Profile {
            incarnation: 2,
            seed: 55,
            ..process_profile("z", 4)
        },
        SilentPayload::default(),
    );
    // Before the failure of the old name could be detected.
    let expected = [("a", 1), ("b", 1), ("c", 1), ("d", 1), ("z", 2)];
    assert!(fleet.run_until(2_500, |fleet| fleet.all_know(&expected)));
    let is_rename = |event: &Event| matches!(event, Event::Renamed { previous, current } if (&*previous.name, &*current.name) == ("e", "z"));
    assert!(fleet.events.iter().any(|(_, _, event)| is_rename(event)));
}

#[test]
fn merges_halves_after_partition_heals() {
    let mut fleet = fleet_of_five(9);
    let addresses: Vec<_> = fleet
        .processes
        .iter()
        .map(|process| process.address)
        .collect();
    fleet.network.partition(&addresses[..2], &addresses[2..]);
    fleet.run_for(30_000);
    let known = |fleet: &Fleet<SilentPayload>, at: usize| fleet.node(at).members().len();
    assert_eq!((known(&fleet, 0), known(&fleet, 4)), (1, 2));
    fleet.network.cut_links.clear();
    assert!(fleet.run_until(10_000, |fleet| fleet.all_know(&initial_members())));
    fleet.run_for(MINUTE_MS);
    assert!(fleet.all_know(&initial_members()));
}

#[test]
fn merges_isolated_processes_through_seeds() {
    let mut fleet = Fleet::new(NetworkConditions::new(10));
    let (a, b) = (
        process_profile("a", 0).address,
        process_profile("b", 1).address,
    );
    fleet.network.partition(&[a], &[b]);
    fleet.add(process_profile("a", 0), SilentPayload::default());
    fleet.add(process_profile("b", 1), SilentPayload::default());
    fleet.run_for(MINUTE_MS);
    fleet.network.cut_links.clear();
    assert!(fleet.run_until(10_000, |fleet| fleet.all_know(&[("a", 1), ("b", 1)])));
}

#[test]
fn announces_new_configuration_without_downs() {
    let mut fleet = fleet_of_five(11);
    let configuration = Configuration {
        digest: [9; 32],
        order: 4,
    };
    fleet.handle_input(1, Input::SetConfiguration(configuration));
    let known = |fleet: &Fleet<SilentPayload>| {
        [0, 2, 3, 4].iter().all(|at| {
            let member = fleet
                .node(*at)
                .members()
                .find(|member| &*member.name == "b");
            member.is_some_and(|member| member.configuration == configuration)
        })
    };
    assert!(fleet.run_until(5_000, known));
    assert!(fleet.events_of(0).any(
        |event| matches!(event, Event::Changed { current, .. } if current.configuration.order == 4)
    ));
    fleet.run_for(MINUTE_MS);
    assert!(known(&fleet) && !fleet.events.iter().any(|(_, _, event)| is_down(event)));
}

#[test]
fn keeps_members_with_one_way_cut_and_loss() {
    let mut fleet = fleet_of_five(12);
    let (a, b) = (fleet.processes[0].address, fleet.processes[1].address);
    fleet.network.cut_links.insert((a, b));
    fleet.network.loss_per_mille = 200;
    fleet.run_for(5 * MINUTE_MS);
    assert!(fleet.all_know(&initial_members()));
    assert!(!fleet.events.iter().any(|(_, _, event)| is_down(event)));
    // All suspicions were refuted, and no process had to announce a new identity.
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
fn new_process_learns_members_within_two_seconds() {
    let mut fleet = Fleet::new(NetworkConditions::new(13));
    fleet.network.loss_per_mille = 50;
    for at in 0..60 {
        fleet.add(
            process_profile(&format!("p{at}"), at),
            SilentPayload::default(),
        );
    }
    fleet.run_for(20_000);
    let new_process = fleet.add(process_profile("late", 90), SilentPayload::default());
    assert!(fleet.run_until(2_000, |fleet| fleet.node(new_process).members().len() == 60));
}

#[test]
fn rotates_key_without_losing_members() {
    let mut fleet = fleet_of_five(14);
    let (old, new) = (keys(1).current, keys(2).current);
    let key_stages = [
        (old.clone(), Some(new.clone())),
        (new.clone(), Some(old)),
        (new, None),
    ];
    for (current, other) in key_stages {
        for at in 0..5 {
            let keys = beaconflow_membership::Keys {
                current: current.clone(),
                other: other.clone(),
            };
            fleet.handle_input(at, Input::SetKeys(Box::new(keys)));
            fleet.run_for(1_500);
        }
    }
    fleet.run_for(20_000);
    assert!(fleet.all_know(&initial_members()));
    assert!(!fleet.events.iter().any(|(_, _, event)| is_down(event)));
    // A process that has only the old key stays out.
    let new_process = fleet.add_with(
        process_profile("f", 5),
        keys(1),
        Settings::default(),
        SilentPayload::default(),
    );
    fleet.run_for(20_000);
    assert_eq!(fleet.node(new_process).members().len(), 0);
}
