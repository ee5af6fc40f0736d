//! The server list: news, restarts, drains, and a list out of reach.

mod common;

use beaconflow_policy::*;
use common::*;

fn asked() -> Settings {
    Settings {
        discovery: DiscoveryMode::Polled,
        ..settings()
    }
}

#[test]
fn a_list_that_must_be_asked_for_is_watched_from_the_start_and_after_failures_at_jittered_times() {
    let mut waits = std::collections::BTreeSet::new();
    for seed in 0..8 {
        let mut actions = Vec::new();
        let mut balancer = beaconflow_policy::Balancer::new(asked(), seed).expect("in range");
        balancer.handle(
            0,
            Event::ServerList {
                update: ListUpdate::Cached,
                entries: vec![entry(0)],
            },
            &mut actions,
        );
        assert!(actions.contains(&Action::WatchServerList));
        actions.clear();
        balancer.handle(
            1,
            Event::ServerList {
                update: ListUpdate::Failed(0),
                entries: Vec::new(),
            },
            &mut actions,
        );
        let [Action::SetTimer { after, timer }] = actions[..] else {
            panic!("{actions:?}")
        };
        waits.insert(after);
        actions.clear();
        balancer.handle(1 + after, Event::TimerFired(timer), &mut actions);
        assert_eq!(actions, [Action::WatchServerList]);
    }
    assert!(waits.len() > 6, "gateways ask again at different times");
}

#[test]
fn a_failed_call_keeps_the_old_list() {
    let mut gateway = Gateway::with_servers(asked(), 2);
    gateway.list(ListUpdate::Failed(0), Vec::new());
    assert_eq!(attempts(&gateway.arrive(1, SAFE)).len(), 1);
}

#[test]
fn a_server_that_a_full_list_leaves_out_is_gone_and_one_left_out_of_changes_is_not() {
    let mut gateway = Gateway::with_servers(settings(), 2);
    gateway.list(ListUpdate::Delta, vec![entry(1)]);
    let both: Vec<ServerId> = (0..4)
        .flat_map(|id| attempts(&gateway.arrive(id, SAFE)))
        .collect();
    assert!(both.contains(&ServerId(0)) && both.contains(&ServerId(1)));
    gateway.list(ListUpdate::Snapshot, vec![entry(1)]);
    for id in 10..14 {
        assert_eq!(attempts(&gateway.arrive(id, SAFE)), [ServerId(1)]);
    }
}

/// Placements on server 0 in a second of 40 arrivals, after it was listed as started `age` ago.
fn placements_on_a_cold_server(kind: ListUpdate, age: Nanos) -> usize {
    let mut gateway = Gateway::with_servers(settings(), 4);
    gateway.now = 100 * SECOND;
    gateway.stream(0..80, 25 * MS);
    let cold = ServerEntry {
        started_at: gateway.now - age,
        ..entry(0)
    };
    gateway.list(
        kind,
        std::iter::once(cold).chain((1..4).map(entry)).collect(),
    );
    let placed = attempts(&gateway.stream(100..140, 25 * MS));
    placed.iter().filter(|id| id.0 == 0).count()
}

#[test]
fn a_cold_server_gets_less_than_its_budget_also_when_a_cached_list_tells_of_it() {
    for kind in [ListUpdate::Delta, ListUpdate::Snapshot, ListUpdate::Cached] {
        let cold = placements_on_a_cold_server(kind, 0);
        let warm = placements_on_a_cold_server(kind, 30 * SECOND);
        assert!(cold * 2 < warm, "{kind:?}: {cold} cold, {warm} warm");
        assert!(warm >= 8, "{kind:?}: {warm} warm");
    }
}

#[test]
fn many_cold_servers_fill_at_the_rate_of_the_warm_ones_not_at_their_own() {
    let mut gateway = Gateway::with_servers(settings(), 2);
    gateway.now = 100 * SECOND;
    gateway.stream(0..100, 50 * MS);
    let cold = |server| ServerEntry {
        started_at: gateway.now - 4 * SECOND,
        ..entry(server)
    };
    let enlarged: Vec<ServerEntry> = (2..12).map(cold).collect();
    gateway.list(ListUpdate::Delta, enlarged);
    let mut on_cold = 0;
    for id in 100..300 {
        let mut actions = gateway.arrive(id, SAFE);
        gateway.settle(&actions);
        for warm in [0, 1] {
            gateway.note(warm, ConnectionMetric::MessageLatency(80 * MS));
        }
        actions.extend(gateway.pass(10 * MS));
        gateway.settle(&actions);
        on_cold += attempts(&actions)
            .iter()
            .filter(|server| server.0 >= 2)
            .count();
    }
    // What stood on two, on the ten: 100 / 2 / 20 s * 1.6 * 3 * 10 * 0.4 in a second, and more as the warm ones fill.
    assert!(
        (60..=140).contains(&on_cold),
        "{on_cold} of 200 in two seconds"
    );
}

#[test]
fn a_fleet_that_is_cold_as_a_whole_is_still_used() {
    let mut gateway = Gateway::new(settings());
    gateway.now = 100 * SECOND;
    let started = |server| ServerEntry {
        started_at: gateway.now - 30 * SECOND,
        ..entry(server)
    };
    gateway.list(ListUpdate::Snapshot, (0..4).map(started).collect());
    gateway.stream(0..100, 100 * MS);
    let anew = |server| ServerEntry {
        started_at: gateway.now,
        ..entry(server)
    };
    gateway.list(ListUpdate::Snapshot, (0..4).map(anew).collect());
    let placed = [100..150, 150..250].map(|ids| attempts(&gateway.stream(ids, 100 * MS)).len());
    assert!(placed[0] > 5 && placed[1] > 5, "{placed:?}");
}

#[test]
fn a_fleet_first_seen_cold_is_used_with_care() {
    let mut gateway = Gateway::new(settings());
    gateway.now = 100 * SECOND;
    let young = |server| ServerEntry {
        started_at: gateway.now - SECOND,
        ..entry(server)
    };
    gateway.list(ListUpdate::Cached, (0..4).map(young).collect());
    let placed = attempts(&gateway.stream(0..100, 100 * MS)).len();
    assert!((10..=80).contains(&placed), "{placed} of 100");
}

#[test]
fn a_server_with_failed_set_ups_is_left_alone_for_a_while_but_never_the_whole_fleet() {
    let mut gateway = Gateway::with_servers(settings(), 3);
    let ill = attempts(&gateway.arrive(0, SAFE))[0];
    gateway.end(0, 0, AttemptOutcome::ConnectFailed);
    for id in 1..6 {
        assert_ne!(attempts(&gateway.arrive(id, SAFE))[0], ill);
    }
    let mut lonely = Gateway::with_servers(settings(), 1);
    lonely.arrive(0, SAFE);
    lonely.end(0, 0, AttemptOutcome::ConnectFailed);
    assert_eq!(attempts(&lonely.arrive(1, SAFE)), [ServerId(0)]);
}

#[test]
fn settings_out_of_range_are_refused_by_name() {
    let mut wrong = settings();
    wrong.rules.initial_capacity = 0.0;
    let error = beaconflow_policy::Balancer::new(wrong, 1)
        .err()
        .expect("refused");
    assert_eq!(
        error.to_string(),
        "setting out of range: rules.initial_capacity"
    );
    let mut none = settings();
    none.classes.clear();
    assert!(beaconflow_policy::Balancer::new(none, 1).is_err());
}

#[test]
fn a_restart_clears_what_was_held_against_the_old_process() {
    let mut gateway = Gateway::with_servers(settings(), 2);
    gateway.now = 100 * SECOND;
    let ill = attempts(&gateway.arrive(0, SAFE))[0];
    gateway.end(0, 0, AttemptOutcome::ConnectFailed);
    let warm_again = ServerEntry {
        started_at: gateway.now - 30 * SECOND,
        ..entry(ill.0)
    };
    gateway.list(ListUpdate::Delta, vec![warm_again]);
    let placed: Vec<ServerId> = (1..5)
        .flat_map(|id| attempts(&gateway.arrive(id, SAFE)))
        .collect();
    assert!(placed.contains(&ill));
}

#[test]
fn nothing_goes_to_a_cold_server_at_the_moment_of_the_news() {
    let mut gateway = Gateway::with_servers(settings(), 3);
    gateway.now = 100 * SECOND;
    gateway.list(
        ListUpdate::Delta,
        vec![ServerEntry {
            state: ServerState::Removed,
            ..entry(0)
        }],
    );
    gateway.stream(0..200, 50 * MS);
    gateway.list(
        ListUpdate::Delta,
        vec![ServerEntry {
            started_at: gateway.now,
            ..entry(0)
        }],
    );
    for id in 1000..1006 {
        assert_ne!(attempts(&gateway.arrive(id, SAFE)), [ServerId(0)]);
    }
}

#[test]
fn a_failed_list_is_asked_for_again_before_old_word_counts_as_told() {
    let mut slow = asked();
    for class in &mut slow.classes {
        class.deadline = 100 * SECOND;
    }
    let mut gateway = Gateway::with_servers(slow, 1);
    for _ in 0..30 {
        let known = gateway.timers.len();
        gateway.list(ListUpdate::Failed(0), Vec::new());
        let (due, _) = gateway.timers[known];
        assert!(due - gateway.now <= 5 * SECOND);
    }
}

#[test]
fn gateways_that_all_turn_to_a_cold_server_at_once_keep_to_one_budget_together() {
    let mut sent = 0;
    for seed in 0..60 {
        let mut gateway = Gateway::with_servers(settings(), 1);
        gateway.balancer =
            beaconflow_policy::Balancer::new(settings(), seed).expect("the settings are in range");
        gateway.list(ListUpdate::Snapshot, vec![entry(0)]);
        gateway.now = 100 * SECOND;
        for id in 0..10 {
            gateway.arrive(id, SAFE);
            gateway.establish(id, 0);
            gateway.pass(10 * SECOND);
        }
        gateway.list(
            ListUpdate::Delta,
            vec![ServerEntry {
                started_at: gateway.now,
                ..entry(1)
            }],
        );
        gateway.pass(10 * SECOND);
        gateway.list(
            ListUpdate::Delta,
            vec![ServerEntry {
                state: ServerState::Removed,
                ..entry(0)
            }],
        );
        sent += attempts(&gateway.arrive(100, SAFE)).len();
    }
    // A faded 9.5 clients a second stood on the warm server; 0.6 warm, three times that, for two seconds: 34.
    assert!(
        (1..=42).contains(&sent),
        "{sent} of 60 gateways send at once"
    );
}

#[test]
fn clients_are_moved_off_a_server_that_leaves_bit_by_bit_and_to_the_last() {
    for state in [ServerState::Draining, ServerState::Removed] {
        let mut gateway = Gateway::with_servers(settings(), 2);
        for id in 0..20 {
            let standing = Event::ConnectionAdopted {
                request: arrival(id, SAFE, gateway.now),
                server: ServerId(0),
            };
            gateway.tell(standing);
        }
        gateway.list(ListUpdate::Delta, vec![ServerEntry { state, ..entry(0) }]);
        let moves: Vec<usize> = (0..30).map(|_| gateway.pass(SECOND).len()).collect();
        assert!(
            moves[0] <= 14 && moves.iter().sum::<usize>() == 20,
            "{state:?}: {moves:?}"
        );
        // Those that replace it are cold: the one that stays would have all of them at once.
        gateway.pass(10 * SECOND);
        let cold = |server| ServerEntry {
            started_at: gateway.now,
            ..entry(server)
        };
        let released = (2..6)
            .map(cold)
            .chain([ServerEntry { state, ..entry(1) }])
            .collect();
        gateway.list(ListUpdate::Delta, released);
        for id in 100..200 {
            let standing = Event::ConnectionAdopted {
                request: arrival(id, SAFE, gateway.now),
                server: ServerId(1),
            };
            gateway.tell(standing);
        }
        let at_once = gateway.pass(SECOND).len();
        let most = if state == ServerState::Removed {
            65
        } else {
            15
        };
        assert!(
            (1..=most).contains(&at_once),
            "{state:?}: {at_once} of 100 in a second"
        );
    }
}
