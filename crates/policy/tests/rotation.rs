//! The weighted rotation, and the placements that depart from it.

mod common;

use beaconflow_policy::*;
use common::*;

/// Message latencies relative to the objective of 120 ms: a sign of overload, and one over the
/// objective, which leads to migrations.
const OVERLOAD_SIGN: ConnectionMetric = ConnectionMetric::MessageLatency(80 * MS);
const OVER_OBJECTIVE: ConnectionMetric = ConnectionMetric::MessageLatency(130 * MS);

fn share_of(placed: &[ServerId], server: u32) -> f64 {
    placed.iter().filter(|id| id.0 == server).count() as f64 / placed.len() as f64
}

#[test]
fn placements_follow_listed_weights() {
    let mut balancer = TestBalancer::new(settings());
    let weights = [1.0, 2.0, 5.0];
    let weighted = |id: u32| ServerEntry {
        weight: weights[id as usize],
        ..entry(id)
    };
    balancer.update_list(ListUpdate::Snapshot, (0..3).map(weighted).collect());
    let placed = fill(&mut balancer, 80);
    for (server, share) in [(0, 0.125), (1, 0.25), (2, 0.625)] {
        assert!(
            (share_of(&placed, server) - share).abs() < 0.03,
            "server {server}"
        );
    }
}

#[test]
fn servers_without_weight_get_equal_shares() {
    let mut balancer = TestBalancer::new(settings());
    balancer.update_list(
        ListUpdate::Snapshot,
        (0..4)
            .map(|id| ServerEntry {
                weight: 0.0,
                ..entry(id)
            })
            .collect(),
    );
    let placed: Vec<ServerId> = (0..8)
        .flat_map(|id| attempted_servers(&balancer.request(id, IDEMPOTENT)))
        .collect();
    for server in 0..4 {
        assert_eq!(share_of(&placed, server), 0.25);
    }
}

/// A request of a group.
fn group_request(request: u64, group: u64) -> ConnectRequest {
    ConnectRequest {
        group: Some(GroupId(group)),
        ..connect_request(request, IDEMPOTENT, SECOND)
    }
}

/// Balancers agree on the first server of a group.
#[test]
fn group_is_placed_together_until_server_fills() {
    let mut first_servers = Vec::new();
    for seed in 0..2 {
        let mut balancer = TestBalancer::with_servers(settings(), 6);
        for extra in 0..30 * (seed + 1) {
            balancer.connect(connect_request(1000 + extra, IDEMPOTENT, SECOND));
        }
        let placed: Vec<ServerId> = (0..2)
            .flat_map(|id| balancer.connect(group_request(id, 77)))
            .collect();
        assert_eq!(placed[0], placed[1]);
        first_servers.push(placed[0]);
        let many: Vec<ServerId> = (10..40)
            .flat_map(|id| balancer.connect(group_request(id, 77)))
            .collect();
        assert!(
            share_of(&many, placed[0].0) < 1.0,
            "a server far over the mean should be skipped"
        );
    }
    assert_eq!(first_servers[0], first_servers[1]);
}

/// Establishes connections, numbered from 0, by the rotation; returns their servers.
fn fill(balancer: &mut TestBalancer, count: u64) -> Vec<ServerId> {
    fill_from(balancer, 0, count)
}

fn fill_from(balancer: &mut TestBalancer, first: u64, count: u64) -> Vec<ServerId> {
    let mut placed = Vec::new();
    for id in first..first + count {
        placed.extend(attempted_servers(&balancer.request(id, IDEMPOTENT)));
        balancer.establish(id, 0);
    }
    placed
}

/// A class that nobody at the server uses has no part in what its messages may take.
#[test]
fn messages_are_judged_by_the_class_of_their_connection() {
    for (objective, latency, is_paused) in [
        (10, 50, false),
        (10, 59, false),
        (10, 61, true),
        (900, 80, true),
    ] {
        let mut settings = settings();
        settings.classes[KEYED_ALL].message_latency_objective = objective * MS;
        let mut balancer = TestBalancer::with_servers(settings, 1);
        fill(&mut balancer, 10);
        let actions = balancer.measure(0, ConnectionMetric::MessageLatency(latency * MS));
        assert!(actions.is_empty(), "no client is migrated: {actions:?}");
        balancer.close(1, 0, AttemptOutcome::Served);
        balancer.close(2, 0, AttemptOutcome::Served);
        let attempts = attempted_servers(&balancer.request(50, IDEMPOTENT)).len();
        assert_eq!(
            attempts == 0,
            is_paused,
            "objective {objective} ms of another class, latency {latency} ms"
        );
    }
}

/// One overloaded server is skipped; if all are overloaded, requests are rejected.
#[test]
fn overloaded_servers_get_no_new_connections() {
    let mut balancer = TestBalancer::with_servers(settings(), 3);
    let placed = fill(&mut balancer, 30);
    balancer.measure(0, OVERLOAD_SIGN);
    let next: Vec<ServerId> = (100..106)
        .flat_map(|id| attempted_servers(&balancer.request(id, IDEMPOTENT)))
        .collect();
    assert_eq!(next.len(), 6);
    assert!(
        !next.contains(&placed[0]),
        "the overloaded server should be skipped"
    );
    balancer.measure(1, OVERLOAD_SIGN);
    balancer.measure(2, OVERLOAD_SIGN);
    let mut answers = balancer.request(200, IDEMPOTENT);
    answers.extend(balancer.advance(3 * SECOND));
    assert!(is_rejected(&answers, 200));
    balancer.advance(60 * SECOND);
    assert_eq!(
        attempted_servers(&balancer.request(300, IDEMPOTENT)).len(),
        1,
        "the load ceilings should rise again"
    );
}

#[test]
fn slow_messages_migrate_the_heaviest_connection() {
    let mut balancer = TestBalancer::with_servers(settings(), 2);
    balancer.advance(10 * SECOND);
    let placed = fill(&mut balancer, 12);
    let on_server: Vec<u64> = (0..12)
        .filter(|id| placed[*id as usize] == ServerId(0))
        .collect();
    balancer.measure(on_server[3], ConnectionMetric::Load(9e5));
    balancer.measure(on_server[1], ConnectionMetric::Load(1e5));
    let actions = balancer.measure(on_server[0], OVER_OBJECTIVE);
    assert_eq!(
        actions.first(),
        Some(&Action::Migrate(
            RequestId(on_server[3]),
            MigrationReason::SlowMessages
        ))
    );
}

/// A balancer with `connections` spread over `servers`, after messages over their objective on
/// `slow` of the connections.
fn balancer_with_slow_connections(servers: u32, connections: u64, slow: u64) -> TestBalancer {
    let mut balancer = TestBalancer::with_servers(settings(), servers);
    for id in 0..connections {
        let server = ServerId(id as u32 % servers);
        balancer.handle(Event::ConnectionAdopted {
            request: connect_request(id, IDEMPOTENT, 0),
            server,
        });
    }
    for id in 0..slow {
        balancer.measure(id, OVER_OBJECTIVE);
    }
    balancer.advance(SECOND + SECOND / 2);
    balancer
}

#[test]
fn load_limit_applies_while_servers_are_slow() {
    let mut balancer = balancer_with_slow_connections(40, 30, 24);
    let answers = [
        balancer.request(100, IDEMPOTENT),
        balancer.advance(2 * SECOND),
    ]
    .concat();
    assert!(
        attempted_servers(&answers).is_empty(),
        "servers without connections of this balancer should not circumvent the load limit"
    );
    assert!(is_rejected(&answers, 100));
    balancer.advance(8 * SECOND);
    assert_eq!(
        attempted_servers(&balancer.request(101, IDEMPOTENT)).len(),
        1,
        "the limit should rise after messages meet their objective again"
    );
    let mut with_few_slow = balancer_with_slow_connections(40, 30, 5);
    assert_eq!(
        attempted_servers(&with_few_slow.request(100, IDEMPOTENT)).len(),
        1,
        "a few slow servers should not limit the total load"
    );
}

#[test]
fn slow_server_counts_after_last_migration() {
    let mut balancer = balancer_with_slow_connections(20, 12, 8);
    let answers = [
        balancer.request(100, IDEMPOTENT),
        balancer.advance(2 * SECOND),
    ]
    .concat();
    assert!(
        attempted_servers(&answers).is_empty(),
        "the load limit should hold: {answers:?}"
    );
}

#[test]
fn load_limit_has_floor_during_long_shortage() {
    let mut balancer = balancer_with_slow_connections(40, 30, 24);
    for _ in 0..8 {
        for id in 0..30 {
            balancer.measure(id, OVER_OBJECTIVE);
        }
        balancer.advance(SECOND);
    }
    let placed = (100..130)
        .filter(|id| !attempted_servers(&balancer.request(*id, IDEMPOTENT)).is_empty())
        .count();
    assert!(
        placed >= 6,
        "only {placed} connections placed; part of the former load should be allowed"
    );
}

/// With many connections on each server, the load ceilings of the servers suffice.
#[test]
fn load_limit_is_unused_with_many_connections() {
    let mut balancer = balancer_with_slow_connections(4, 24, 3);
    assert_eq!(
        attempted_servers(&balancer.request(100, IDEMPOTENT)),
        [ServerId(3)]
    );
}

#[test]
fn group_prefers_server_with_most_connections() {
    for holder in 0..4 {
        let mut balancer = TestBalancer::with_servers(settings(), 4);
        balancer.handle(Event::ConnectionAdopted {
            request: group_request(0, 5),
            server: ServerId((holder + 1) % 4),
        });
        for id in 1..3 {
            balancer.handle(Event::ConnectionAdopted {
                request: group_request(id, 5),
                server: ServerId(holder),
            });
        }
        fill_from(&mut balancer, 50, 20);
        assert_eq!(
            attempted_servers(&balancer.handle(Event::ConnectRequested(group_request(3, 5)))),
            [ServerId(holder)]
        );
        balancer.establish(3, 0);
        for id in 0..4 {
            balancer.close(id, 0, AttemptOutcome::Served);
        }
        let preferred =
            attempted_servers(&balancer.handle(Event::ConnectRequested(group_request(4, 5))));
        let fresh = attempted_servers(
            &TestBalancer::with_servers(settings(), 4)
                .handle(Event::ConnectRequested(group_request(4, 5))),
        );
        assert_eq!(
            preferred, fresh,
            "ended connections should not affect the preference"
        );
    }
}

#[test]
fn small_group_keeps_few_servers_under_overload() {
    let mut balancer = TestBalancer::with_servers(settings(), 20);
    balancer.advance(10 * SECOND);
    fill(&mut balancer, 60);
    let group_request = |id: u64, now| ConnectRequest {
        group: Some(GroupId(9)),
        ..connect_request(id, IDEMPOTENT, now)
    };
    let mut used = std::collections::BTreeSet::new();
    for id in 100..110 {
        for server in attempted_servers(
            &balancer.handle(Event::ConnectRequested(group_request(id, balancer.now))),
        ) {
            used.insert(server);
            balancer.establish(id, 0);
            balancer.measure(id, OVERLOAD_SIGN);
        }
    }
    assert!(
        used.len() <= 5,
        "the group uses {} of 20 servers",
        used.len()
    );
}

/// The rotation follows the listed weights alone, wherever a server is.
#[test]
fn zones_do_not_change_the_rotation() {
    for zones in [1, 2, 6] {
        let mut balancer = TestBalancer::new(settings());
        let in_zone = |server: u32| ServerEntry {
            zone: ZoneId(server % zones),
            ..entry(server)
        };
        balancer.update_list(ListUpdate::Snapshot, (0..6).map(in_zone).collect());
        let placed = fill(&mut balancer, 60);
        for server in 0..6 {
            let count = placed.iter().filter(|id| id.0 == server).count();
            assert!(
                (9..=11).contains(&count),
                "{count} of 60 connections on server {server} with {zones} zones"
            );
        }
    }
}

/// A balancer with one server under a load ceiling of 900 that has eight connections of load 100.
fn balancer_with_load_ceiling(settings: Settings) -> TestBalancer {
    let mut balancer = TestBalancer::with_servers(settings, 1);
    fill(&mut balancer, 10);
    for id in 0..10 {
        balancer.measure(id, ConnectionMetric::Load(100.0));
    }
    balancer.measure(0, OVERLOAD_SIGN);
    balancer.close(0, 0, AttemptOutcome::Served);
    balancer.close(1, 0, AttemptOutcome::Served);
    balancer.now += 2 * SECOND;
    balancer
}

#[test]
fn only_light_connection_fits_near_load_ceiling() {
    let mut balancer = balancer_with_load_ceiling(settings());
    let with_load = |id, load| ConnectRequest {
        expected_load: Some(load),
        ..connect_request(id, IDEMPOTENT, 3 * SECOND)
    };
    assert!(
        attempted_servers(&balancer.handle(Event::ConnectRequested(with_load(50, 500.0))))
            .is_empty()
    );
    assert_eq!(
        attempted_servers(&balancer.handle(Event::ConnectRequested(with_load(51, 50.0)))).len(),
        1
    );
}

#[test]
fn server_below_ceiling_is_paused_after_overload() {
    let mut balancer = TestBalancer::with_servers(settings(), 1);
    fill(&mut balancer, 10);
    balancer.measure(0, OVERLOAD_SIGN);
    for id in 0..8 {
        balancer.close(id, 0, AttemptOutcome::Served);
    }
    assert!(attempted_servers(&balancer.request(50, IDEMPOTENT)).is_empty());
    balancer.now += 2 * SECOND;
    assert_eq!(
        attempted_servers(&balancer.request(51, IDEMPOTENT)).len(),
        1
    );
}

/// Connections that fit on a server some seconds after a period of overload, which began with 20
/// connections and left four.
fn connections_that_fit_after_overload(seconds: u64) -> usize {
    let mut balancer = TestBalancer::with_servers(settings(), 2);
    balancer.advance(10 * SECOND);
    for id in 0..20 {
        balancer.handle(Event::ConnectionAdopted {
            request: connect_request(id, IDEMPOTENT, 0),
            server: ServerId(0),
        });
        balancer.handle(Event::ConnectionAdopted {
            request: connect_request(100 + id, IDEMPOTENT, 0),
            server: ServerId(1),
        });
    }
    for second in 0..16 {
        balancer.measure(19, OVERLOAD_SIGN);
        balancer.measure(119, OVERLOAD_SIGN);
        balancer.close(second, 0, AttemptOutcome::Served);
        balancer.advance(SECOND);
    }
    for _ in 0..seconds {
        balancer.advance(SECOND);
    }
    balancer.measure(119, OVERLOAD_SIGN);
    fill_from(&mut balancer, 200, 40).len()
}

/// While queued work drains, cuts lower the ceiling below the load that the server can carry.
#[test]
fn ceiling_recovers_quickly_when_far_below_onset() {
    let fitting = connections_that_fit_after_overload(6);
    assert!(
        (4..=8).contains(&fitting),
        "{fitting} connections fit in addition to the four that remained"
    );
}

/// The room that a request needs follows from its load; no class is refused before another.
#[test]
fn classes_of_equal_load_need_equal_room() {
    for class in [IDEMPOTENT, KEYED_ALL] {
        let attempts = |load| {
            let mut balancer = balancer_with_load_ceiling(settings());
            let request = ConnectRequest {
                expected_load: Some(load),
                ..connect_request(50, class, 3 * SECOND)
            };
            attempted_servers(&balancer.handle(Event::ConnectRequested(request))).len()
        };
        assert_eq!(attempts(190.0), 1, "class {class}");
        assert_eq!(attempts(210.0), 0, "class {class}");
    }
}

#[test]
fn placements_follow_changed_weights() {
    let mut balancer = TestBalancer::with_servers(settings(), 2);
    let weighted = |first, second| {
        vec![
            ServerEntry {
                weight: first,
                ..entry(0)
            },
            ServerEntry {
                weight: second,
                ..entry(1)
            },
            ServerEntry { ..entry(2) },
        ]
    };
    for (round, (first, second)) in [(4.0, 1.0), (1.0, 4.0), (0.0, f64::NAN)]
        .into_iter()
        .enumerate()
    {
        balancer.update_list(ListUpdate::Snapshot, weighted(first, second));
        let first_id = 1000 * round as u64;
        let placed = fill_from(&mut balancer, first_id, 60);
        for id in first_id..first_id + 60 {
            balancer.close(id, 0, AttemptOutcome::Served);
        }
        let (first_share, second_share) = (share_of(&placed, 0), share_of(&placed, 1));
        match round {
            0 => assert!(
                first_share > 2.0 * second_share,
                "shares {first_share} and {second_share} for weights 4 and 1"
            ),
            1 => assert!(
                second_share > 2.0 * first_share,
                "shares {first_share} and {second_share} for weights 1 and 4"
            ),
            _ => assert!(
                (first_share - second_share).abs() < 0.05,
                "shares {first_share} and {second_share} for invalid weights"
            ),
        }
    }
}

#[test]
fn balancers_begin_the_rotation_at_different_servers() {
    let first_server = |seed| {
        let mut balancer = Balancer::new(settings(), seed).expect("the settings are in range");
        let mut actions = Vec::new();
        let entries = (0..20).map(entry).collect();
        balancer.handle(
            SECOND,
            Event::ServerList {
                update: ListUpdate::Snapshot,
                entries,
            },
            &mut actions,
        );
        balancer.handle(
            SECOND,
            Event::ConnectRequested(connect_request(1, IDEMPOTENT, SECOND)),
            &mut actions,
        );
        attempted_servers(&actions)[0]
    };
    let firsts: std::collections::BTreeSet<ServerId> = (0..20).map(first_server).collect();
    assert!(
        firsts.len() >= 8,
        "20 balancers begin at {} servers",
        firsts.len()
    );
}

/// Balancers that see few requests of a group begin with the same server.
#[test]
fn large_group_begins_at_different_servers() {
    let first_servers = |of_group: u64| -> std::collections::BTreeSet<ServerId> {
        let first_server = |rank| {
            let mut balancer = TestBalancer::with_servers(
                Settings {
                    balancers: 8,
                    rank,
                    ..settings()
                },
                40,
            );
            for id in 0..20 {
                let group = if id < of_group { 7 << 40 } else { id };
                balancer.connect(group_request(id, group));
                if id < of_group {
                    balancer.close(id, 0, AttemptOutcome::Reset);
                    balancer.handle(Event::ConnectionAdopted {
                        request: group_request(100 + id, group),
                        server: ServerId(99),
                    });
                }
            }
            attempted_servers(&balancer.handle(Event::ConnectRequested(group_request(50, 7 << 40))))
                [0]
        };
        (0..8).map(first_server).collect()
    };
    assert_eq!(first_servers(0).len(), 1);
    assert!(
        first_servers(16).len() >= 5,
        "first servers of 8 balancers: {:?}",
        first_servers(16)
    );
}

/// The servers that the actions probe.
fn probed_servers(actions: &[Action]) -> Vec<ServerId> {
    let server_of = |action: &Action| match action {
        Action::ProbeServer(server) => Some(*server),
        _ => None,
    };
    actions.iter().filter_map(server_of).collect()
}

fn probing_balancer(servers: u32) -> TestBalancer {
    let mut settings = settings();
    settings.limits.can_probe = true;
    TestBalancer::with_servers(settings, servers)
}

#[test]
fn server_reporting_full_load_gets_no_attempt() {
    let mut balancer = probing_balancer(3);
    let actions = balancer.request(1, IDEMPOTENT);
    assert!(attempted_servers(&actions).is_empty());
    let first = probed_servers(&actions)[0];
    let second = probed_servers(&balancer.handle(Event::ProbeAnswered {
        server: first,
        answer: ProbeAnswer::Load(0.95),
    }))[0];
    assert_ne!(first, second);
    let sent = balancer.handle(Event::ProbeAnswered {
        server: second,
        answer: ProbeAnswer::Load(0.3),
    });
    assert_eq!(attempted_servers(&sent), [second]);
    assert!(
        attempted_servers(&balancer.handle(Event::ProbeAnswered {
            server: second,
            answer: ProbeAnswer::Load(0.3)
        }))
        .is_empty()
    );
}

/// A probe without an answer must not delay the final answer of its request either.
#[test]
fn failed_probe_counts_as_full_load() {
    let mut balancer = probing_balancer(3);
    let first = probed_servers(&balancer.request(1, IDEMPOTENT))[0];
    let second = probed_servers(&balancer.handle(Event::ProbeAnswered {
        server: first,
        answer: ProbeAnswer::Unhealthy,
    }))[0];
    assert_ne!(first, second);
    let answers = balancer.advance(5 * SECOND);
    assert!(
        is_rejected(&answers, 1),
        "the request should be rejected: {answers:?}"
    );
    let late_answer = balancer.handle(Event::ProbeAnswered {
        server: second,
        answer: ProbeAnswer::Load(0.1),
    });
    assert!(
        attempted_servers(&late_answer).is_empty(),
        "the request has been answered"
    );
}

#[test]
fn pause_is_longer_with_few_connections() {
    let pause_s = |connections: u64| -> u64 {
        let mut balancer = TestBalancer::with_servers(settings(), 2);
        balancer.handle(Event::ConnectionAdopted {
            request: connect_request(900, IDEMPOTENT, 0),
            server: ServerId(0),
        });
        for id in 0..connections {
            balancer.handle(Event::ConnectionAdopted {
                request: connect_request(id, IDEMPOTENT, 0),
                server: ServerId(1),
            });
        }
        balancer.measure(0, OVERLOAD_SIGN);
        balancer.update_list(
            ListUpdate::Delta,
            vec![ServerEntry {
                state: ServerState::Removed,
                ..entry(0)
            }],
        );
        for id in 0..connections {
            balancer.close(id, 0, AttemptOutcome::Served);
        }
        for second in 0..60 {
            let now = balancer.now;
            let mut placed = attempted_servers(&balancer.handle(Event::ConnectRequested(
                connect_request(1000 + second, IDEMPOTENT, now),
            )));
            placed.extend(attempted_servers(&balancer.advance(SECOND)));
            if !placed.is_empty() {
                return second;
            }
        }
        60
    };
    assert!((1..=2).contains(&pause_s(12)));
    let with_one = pause_s(1);
    assert!(
        (5..=16).contains(&with_one),
        "pause of {with_one} s with one connection"
    );
}

#[test]
fn load_report_does_not_override_the_ceiling() {
    let mut balancer = probing_balancer(1);
    for id in 0..10 {
        balancer.handle(Event::ConnectionAdopted {
            request: connect_request(id, IDEMPOTENT, 0),
            server: ServerId(0),
        });
    }
    balancer.measure(0, OVERLOAD_SIGN);
    balancer.now += 2 * SECOND;
    let now = balancer.now;
    assert!(
        probed_servers(&balancer.handle(Event::ConnectRequested(connect_request(
            50, IDEMPOTENT, now
        ))))
        .is_empty(),
        "a server without room should not be probed"
    );
    balancer.handle(Event::ProbeAnswered {
        server: ServerId(0),
        answer: ProbeAnswer::Load(0.1),
    });
    assert!(
        attempted_servers(&balancer.handle(Event::ConnectRequested(connect_request(
            51, IDEMPOTENT, now
        ))))
        .is_empty()
    );
    balancer.close(1, 0, AttemptOutcome::Served);
    balancer.close(2, 0, AttemptOutcome::Served);
    assert_eq!(
        attempted_servers(&balancer.handle(Event::ConnectRequested(connect_request(
            52, IDEMPOTENT, now
        )))),
        [ServerId(0)]
    );
}

#[test]
fn group_width_follows_its_recent_count() {
    let servers_used_after = |of_group: u64, others: u64| -> usize {
        let mut balancer = TestBalancer::with_servers(settings(), 20);
        for id in 0..of_group + others {
            let connect = if id < of_group {
                group_request(id, 7 << 40)
            } else {
                connect_request(id, IDEMPOTENT, SECOND)
            };
            balancer.handle(Event::ConnectRequested(connect));
            balancer.establish(id, 0);
            balancer.close(id, 0, AttemptOutcome::Served);
        }
        let mut used = std::collections::BTreeSet::new();
        for id in 1000..1020 {
            used.extend(attempted_servers(
                &balancer.handle(Event::ConnectRequested(group_request(id, 7 << 40))),
            ));
            balancer.establish(id, 0);
            balancer.measure(id, OVERLOAD_SIGN);
        }
        used.len()
    };
    assert_eq!(
        servers_used_after(20, 380),
        3,
        "a twentieth of many requests should use few servers"
    );
    let used = servers_used_after(9, 21);
    assert!(
        (10..=12).contains(&used),
        "a third of few requests may be a larger share by chance: {used} servers used"
    );
}

#[test]
fn ended_connections_count_towards_group_width() {
    let first_server = |rank| {
        let mut balancer = TestBalancer::with_servers(
            Settings {
                balancers: 8,
                rank,
                ..settings()
            },
            40,
        );
        for id in 0..30 {
            balancer.handle(Event::ConnectRequested(group_request(id, 7 << 40)));
            balancer.establish(id, 0);
            balancer.close(id, 0, AttemptOutcome::Served);
        }
        attempted_servers(&balancer.handle(Event::ConnectRequested(group_request(50, 7 << 40))))[0]
    };
    let first_servers: std::collections::BTreeSet<ServerId> = (0..8).map(first_server).collect();
    assert!(
        first_servers.len() >= 5,
        "first servers of 8 balancers: {first_servers:?}"
    );
}

#[test]
fn rebalancing_migrates_the_heaviest_connection_that_helps() {
    // A connection that would only move the imbalance stays; so do light ones, and all in a balanced fleet.
    for (heavy, spread, expected) in [
        (900.0, 1, vec![5]),
        (20_000.0, 1, vec![]),
        (100.0, 4, vec![]),
    ] {
        let mut balancer = TestBalancer::with_servers(settings(), 4);
        for id in 0..40 {
            let server = ServerId(id as u32 % spread);
            balancer.handle(Event::ConnectionAdopted {
                request: connect_request(id, IDEMPOTENT, balancer.now),
                server,
            });
            balancer.measure(
                id,
                ConnectionMetric::Load(if id == 5 { heavy } else { 100.0 }),
            );
        }
        let migrations: Vec<Action> = expected
            .into_iter()
            .map(|id| Action::Migrate(RequestId(id), MigrationReason::Rebalancing))
            .collect();
        assert_eq!(
            balancer.advance(SECOND),
            migrations,
            "heaviest load {heavy}, connections on {spread} servers"
        );
    }
}
