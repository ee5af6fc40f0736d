//! The server list: changes, restarts, draining servers and failed discovery calls.

mod common;

use beaconflow_policy::Balancer;
use beaconflow_policy::*;
use common::*;

fn polled_settings() -> Settings {
    Settings {
        discovery: DiscoveryMode::Polled,
        ..settings()
    }
}

#[test]
fn polled_list_calls_are_repeated_with_jitter() {
    let mut delays = std::collections::BTreeSet::new();
    for seed in 0..8 {
        let mut actions = Vec::new();
        let mut balancer =
            Balancer::new(polled_settings(), seed).expect("the settings are in range");
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
            panic!("expected a single timer: {actions:?}")
        };
        delays.insert(after);
        actions.clear();
        balancer.handle(1 + after, Event::TimerFired(timer), &mut actions);
        assert_eq!(actions, [Action::WatchServerList]);
    }
    assert!(
        delays.len() > 6,
        "only {} different delays of 8 balancers",
        delays.len()
    );
}

#[test]
fn failed_call_keeps_the_list() {
    let mut balancer = TestBalancer::with_servers(polled_settings(), 2);
    balancer.update_list(ListUpdate::Failed(0), Vec::new());
    assert_eq!(attempted_servers(&balancer.request(1, IDEMPOTENT)).len(), 1);
}

#[test]
fn only_a_snapshot_removes_missing_servers() {
    let mut balancer = TestBalancer::with_servers(settings(), 2);
    balancer.update_list(ListUpdate::Delta, vec![entry(1)]);
    let attempted: Vec<ServerId> = (0..4)
        .flat_map(|id| attempted_servers(&balancer.request(id, IDEMPOTENT)))
        .collect();
    assert!(attempted.contains(&ServerId(0)) && attempted.contains(&ServerId(1)));
    balancer.update_list(ListUpdate::Snapshot, vec![entry(1)]);
    for id in 10..14 {
        assert_eq!(
            attempted_servers(&balancer.request(id, IDEMPOTENT)),
            [ServerId(1)]
        );
    }
}

/// Placements on server 0 within 40 requests in a second, after an update that lists it as started
/// `age` ago.
fn placements_on_started_server(update: ListUpdate, age: Nanos) -> usize {
    let mut balancer = TestBalancer::with_servers(settings(), 4);
    balancer.now = 100 * SECOND;
    balancer.connect_at_interval(0..80, 25 * MS);
    let started = ServerEntry {
        started_at: balancer.now - age,
        ..entry(0)
    };
    balancer.update_list(
        update,
        std::iter::once(started).chain((1..4).map(entry)).collect(),
    );
    let placed = attempted_servers(&balancer.connect_at_interval(100..140, 25 * MS));
    placed.iter().filter(|id| id.0 == 0).count()
}

#[test]
fn slow_start_applies_to_every_update_kind() {
    for update in [ListUpdate::Delta, ListUpdate::Snapshot, ListUpdate::Cached] {
        let in_slow_start = placements_on_started_server(update, 0);
        let warm = placements_on_started_server(update, 30 * SECOND);
        assert!(
            in_slow_start * 2 < warm,
            "{update:?}: {in_slow_start} placements in slow start, {warm} on a warm server"
        );
        assert!(warm >= 8, "{update:?}: {warm} placements on a warm server");
    }
}

#[test]
fn new_servers_fill_at_warm_servers_rate() {
    let mut balancer = TestBalancer::with_servers(settings(), 2);
    balancer.now = 100 * SECOND;
    balancer.connect_at_interval(0..100, 50 * MS);
    let new = |server| ServerEntry {
        started_at: balancer.now - 4 * SECOND,
        ..entry(server)
    };
    let added: Vec<ServerEntry> = (2..12).map(new).collect();
    balancer.update_list(ListUpdate::Delta, added);
    let mut on_new = 0;
    for id in 100..300 {
        let mut actions = balancer.request(id, IDEMPOTENT);
        balancer.establish_first_attempts(&actions);
        for warm_connection in [0, 1] {
            balancer.measure(warm_connection, ConnectionMetric::MessageLatency(80 * MS));
        }
        actions.extend(balancer.advance(10 * MS));
        balancer.establish_first_attempts(&actions);
        on_new += attempted_servers(&actions)
            .iter()
            .filter(|server| server.0 >= 2)
            .count();
    }
    // The load of the warm servers (100 connections / 2 servers / warm-up time of 20 s), times the load
    // factor 1.6, the overload multiple 3, ten new servers and their capacity 0.4 gives the expected rate
    // per second; it grows as the warm servers fill.
    assert!(
        (60..=140).contains(&on_new),
        "{on_new} of 200 placements in two seconds on the new servers"
    );
}

#[test]
fn fleet_restarted_as_a_whole_is_used() {
    let mut balancer = TestBalancer::new(settings());
    balancer.now = 100 * SECOND;
    let started = |server| ServerEntry {
        started_at: balancer.now - 30 * SECOND,
        ..entry(server)
    };
    balancer.update_list(ListUpdate::Snapshot, (0..4).map(started).collect());
    balancer.connect_at_interval(0..100, 100 * MS);
    let restarted = |server| ServerEntry {
        started_at: balancer.now,
        ..entry(server)
    };
    balancer.update_list(ListUpdate::Snapshot, (0..4).map(restarted).collect());
    let placed = [100..150, 150..250]
        .map(|ids| attempted_servers(&balancer.connect_at_interval(ids, 100 * MS)).len());
    assert!(
        placed[0] > 5 && placed[1] > 5,
        "placements in the first 5 s and the next 10 s: {placed:?}"
    );
}

#[test]
fn fleet_in_slow_start_is_used_partly() {
    let mut balancer = TestBalancer::new(settings());
    balancer.now = 100 * SECOND;
    let started = |server| ServerEntry {
        started_at: balancer.now - SECOND,
        ..entry(server)
    };
    balancer.update_list(ListUpdate::Cached, (0..4).map(started).collect());
    let placed = attempted_servers(&balancer.connect_at_interval(0..100, 100 * MS)).len();
    assert!(
        (10..=80).contains(&placed),
        "{placed} of 100 requests were placed"
    );
}

#[test]
fn failing_server_is_ejected_unless_alone() {
    let mut balancer = TestBalancer::with_servers(settings(), 3);
    let failing = attempted_servers(&balancer.request(0, IDEMPOTENT))[0];
    balancer.end_attempt(0, 0, AttemptOutcome::ConnectFailed);
    for id in 1..6 {
        assert_ne!(
            attempted_servers(&balancer.request(id, IDEMPOTENT))[0],
            failing
        );
    }
    let mut single_server = TestBalancer::with_servers(settings(), 1);
    single_server.request(0, IDEMPOTENT);
    single_server.end_attempt(0, 0, AttemptOutcome::ConnectFailed);
    assert_eq!(
        attempted_servers(&single_server.request(1, IDEMPOTENT)),
        [ServerId(0)]
    );
}

#[test]
fn invalid_settings_are_rejected_by_field() {
    let mut invalid = settings();
    invalid.rules.initial_capacity = 0.0;
    let error = Balancer::new(invalid, 1)
        .err()
        .expect("an initial capacity of 0 is out of range");
    assert_eq!(
        error.to_string(),
        "setting out of range: rules.initial_capacity"
    );
    let mut without_classes = settings();
    without_classes.classes.clear();
    assert!(Balancer::new(without_classes, 1).is_err());
}

#[test]
fn restart_ends_the_ejection_of_a_server() {
    let mut balancer = TestBalancer::with_servers(settings(), 2);
    balancer.now = 100 * SECOND;
    let failing = attempted_servers(&balancer.request(0, IDEMPOTENT))[0];
    balancer.end_attempt(0, 0, AttemptOutcome::ConnectFailed);
    let restarted = ServerEntry {
        started_at: balancer.now - 30 * SECOND,
        ..entry(failing.0)
    };
    balancer.update_list(ListUpdate::Delta, vec![restarted]);
    let placed: Vec<ServerId> = (1..5)
        .flat_map(|id| attempted_servers(&balancer.request(id, IDEMPOTENT)))
        .collect();
    assert!(placed.contains(&failing));
}

/// Many balancers that each sent a client to a new server at once would overload it.
#[test]
fn new_server_gets_nothing_at_first() {
    let mut balancer = TestBalancer::with_servers(settings(), 3);
    balancer.now = 100 * SECOND;
    balancer.update_list(
        ListUpdate::Delta,
        vec![ServerEntry {
            state: ServerState::Removed,
            ..entry(0)
        }],
    );
    balancer.connect_at_interval(0..200, 50 * MS);
    balancer.update_list(
        ListUpdate::Delta,
        vec![ServerEntry {
            started_at: balancer.now,
            ..entry(0)
        }],
    );
    for id in 1000..1006 {
        assert_ne!(
            attempted_servers(&balancer.request(id, IDEMPOTENT)),
            [ServerId(0)]
        );
    }
}

/// A change of the list counts as known 6 s after discovery had it, so a failed call is repeated within 5 s
/// even if the deadlines of the classes allow a longer backoff.
#[test]
fn failed_list_call_is_repeated_in_time() {
    let mut settings = polled_settings();
    for class in &mut settings.classes {
        class.deadline = 100 * SECOND;
    }
    let mut balancer = TestBalancer::with_servers(settings, 1);
    for _ in 0..30 {
        let timer_count = balancer.timers.len();
        balancer.update_list(ListUpdate::Failed(0), Vec::new());
        let (fires_at, _) = balancer.timers[timer_count];
        assert!(fires_at - balancer.now <= 5 * SECOND);
    }
}

/// Many balancers whose only warm server is removed share the slow-start budget of the new one.
#[test]
fn balancers_share_budget_of_new_server() {
    let mut sent = 0;
    for seed in 0..60 {
        let mut balancer = TestBalancer::with_servers(settings(), 1);
        balancer.policy = Balancer::new(settings(), seed).expect("the settings are in range");
        balancer.update_list(ListUpdate::Snapshot, vec![entry(0)]);
        balancer.now = 100 * SECOND;
        for id in 0..10 {
            balancer.request(id, IDEMPOTENT);
            balancer.establish(id, 0);
            balancer.advance(10 * SECOND);
        }
        balancer.update_list(
            ListUpdate::Delta,
            vec![ServerEntry {
                started_at: balancer.now,
                ..entry(1)
            }],
        );
        balancer.advance(10 * SECOND);
        balancer.update_list(
            ListUpdate::Delta,
            vec![ServerEntry {
                state: ServerState::Removed,
                ..entry(0)
            }],
        );
        sent += attempted_servers(&balancer.request(100, IDEMPOTENT)).len();
    }
    // By the decayed rate, 9.5 clients per second came to the warm server. The new one is at 0.6 of its
    // capacity; the overload multiple 3 over the window of two seconds gives 9.5 * 0.6 * 3 * 2 = 34.
    assert!(
        (1..=42).contains(&sent),
        "{sent} of 60 balancers send a client at once"
    );
}

#[test]
fn leaving_server_is_emptied_gradually_and_completely() {
    for state in [ServerState::Draining, ServerState::Removed] {
        let mut balancer = TestBalancer::with_servers(settings(), 2);
        for id in 0..20 {
            let adopted = Event::ConnectionAdopted {
                request: connect_request(id, IDEMPOTENT, balancer.now),
                server: ServerId(0),
            };
            balancer.handle(adopted);
        }
        balancer.update_list(ListUpdate::Delta, vec![ServerEntry { state, ..entry(0) }]);
        let migrations: Vec<usize> = (0..30).map(|_| balancer.advance(SECOND).len()).collect();
        assert!(
            migrations[0] <= 14 && migrations.iter().sum::<usize>() == 20,
            "{state:?}: migrations per second of 20 connections: {migrations:?}"
        );
        // The servers that replace it are in slow start and can't take all its clients at once.
        balancer.advance(10 * SECOND);
        let new = |server| ServerEntry {
            started_at: balancer.now,
            ..entry(server)
        };
        let replacement = (2..6)
            .map(new)
            .chain([ServerEntry { state, ..entry(1) }])
            .collect();
        balancer.update_list(ListUpdate::Delta, replacement);
        for id in 100..200 {
            let adopted = Event::ConnectionAdopted {
                request: connect_request(id, IDEMPOTENT, balancer.now),
                server: ServerId(1),
            };
            balancer.handle(adopted);
        }
        let migrations = balancer.advance(SECOND).len();
        let max_migrations = if state == ServerState::Removed {
            65
        } else {
            15
        };
        assert!(
            (1..=max_migrations).contains(&migrations),
            "{state:?}: {migrations} of 100 connections migrated within a second"
        );
    }
}
