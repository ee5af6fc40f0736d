//! Turns, and what departs from them.

mod common;

use beaconflow_policy::*;
use common::*;

/// A sign of strain, and one late enough to move connections, by the aim of 120 ms.
const SLOW: ConnectionMetric = ConnectionMetric::MessageLatency(80 * MS);
const LATE: ConnectionMetric = ConnectionMetric::MessageLatency(130 * MS);

fn share_of(placed: &[ServerId], server: u32) -> f64 {
    placed.iter().filter(|id| id.0 == server).count() as f64 / placed.len() as f64
}

#[test]
fn turns_follow_the_listed_weights() {
    let mut gateway = Gateway::new(settings());
    let weights = [1.0, 2.0, 5.0];
    let heavy = |at: u32| ServerEntry {
        weight: weights[at as usize],
        ..entry(at)
    };
    gateway.list(ListUpdate::Snapshot, (0..3).map(heavy).collect());
    let placed = fill(&mut gateway, 80);
    for (server, share) in [(0, 0.125), (1, 0.25), (2, 0.625)] {
        assert!(
            (share_of(&placed, server) - share).abs() < 0.03,
            "server {server}"
        );
    }
}

#[test]
fn servers_without_a_weight_take_equal_turns() {
    let mut gateway = Gateway::new(settings());
    gateway.list(
        ListUpdate::Snapshot,
        (0..4)
            .map(|at| ServerEntry {
                weight: 0.0,
                ..entry(at)
            })
            .collect(),
    );
    let placed: Vec<ServerId> = (0..8)
        .flat_map(|id| attempts(&gateway.arrive(id, SAFE)))
        .collect();
    for server in 0..4 {
        assert_eq!(share_of(&placed, server), 0.25);
    }
}

/// A request of a group.
fn grouped(request: u64, group: u64) -> ConnectRequest {
    ConnectRequest {
        group: Some(GroupId(group)),
        ..arrival(request, SAFE, SECOND)
    }
}

#[test]
fn a_group_stays_together_until_its_server_is_crowded_and_gateways_agree_on_where() {
    let mut places = Vec::new();
    for seed in 0..2 {
        let mut gateway = Gateway::with_servers(settings(), 6);
        for other in 0..30 * (seed + 1) {
            gateway.stand(arrival(1000 + other, SAFE, SECOND));
        }
        let placed: Vec<ServerId> = (0..2)
            .flat_map(|id| gateway.stand(grouped(id, 77)))
            .collect();
        assert_eq!(placed[0], placed[1]);
        places.push(placed[0]);
        let many: Vec<ServerId> = (10..40)
            .flat_map(|id| gateway.stand(grouped(id, 77)))
            .collect();
        assert!(
            share_of(&many, placed[0].0) < 1.0,
            "a crowded server is passed over"
        );
    }
    assert_eq!(places[0], places[1]);
}

/// Fills servers evenly with standing connections, numbered from 0.
fn fill(gateway: &mut Gateway, count: u64) -> Vec<ServerId> {
    fill_from(gateway, 0, count)
}

fn fill_from(gateway: &mut Gateway, first: u64, count: u64) -> Vec<ServerId> {
    let mut placed = Vec::new();
    for id in first..first + count {
        placed.extend(attempts(&gateway.arrive(id, SAFE)));
        gateway.establish(id, 0);
    }
    placed
}

#[test]
fn a_strained_server_takes_nothing_new_and_a_strained_fleet_says_no() {
    let mut gateway = Gateway::with_servers(settings(), 3);
    let placed = fill(&mut gateway, 30);
    gateway.note(0, SLOW);
    let next: Vec<ServerId> = (100..106)
        .flat_map(|id| attempts(&gateway.arrive(id, SAFE)))
        .collect();
    assert_eq!(next.len(), 6);
    assert!(
        !next.contains(&placed[0]),
        "the strained server is passed over"
    );
    gateway.note(1, SLOW);
    gateway.note(2, SLOW);
    let mut answers = gateway.arrive(200, SAFE);
    answers.extend(gateway.pass(3 * SECOND));
    assert!(refused(&answers, 200));
    gateway.pass(60 * SECOND);
    assert_eq!(
        attempts(&gateway.arrive(300, SAFE)).len(),
        1,
        "ceilings rise again"
    );
}

#[test]
fn late_messages_move_the_heaviest_connections() {
    let mut gateway = Gateway::with_servers(settings(), 2);
    gateway.pass(10 * SECOND);
    let placed = fill(&mut gateway, 12);
    let there: Vec<u64> = (0..12)
        .filter(|id| placed[*id as usize] == ServerId(0))
        .collect();
    gateway.note(there[3], ConnectionMetric::Load(9e5));
    gateway.note(there[1], ConnectionMetric::Load(1e5));
    let moved = gateway.note(there[0], LATE);
    assert_eq!(
        moved.first(),
        Some(&Action::Migrate(
            RequestId(there[3]),
            MigrationReason::SlowMessages
        ))
    );
}

/// A gateway among `servers` that holds `held` connections in turn, after late messages on `late` of them.
fn short_of(servers: u32, held: u64, late: u64) -> Gateway {
    let mut gateway = Gateway::with_servers(settings(), servers);
    for id in 0..held {
        let server = ServerId(id as u32 % servers);
        gateway.tell(Event::ConnectionAdopted {
            request: arrival(id, SAFE, 0),
            server,
        });
    }
    for id in 0..late {
        gateway.note(id, LATE);
    }
    gateway.pass(SECOND + SECOND / 2);
    gateway
}

#[test]
fn a_gateway_that_holds_little_on_each_server_holds_less_in_all_while_the_fleet_is_short() {
    let mut gateway = short_of(40, 30, 24);
    let answers = [gateway.arrive(100, SAFE), gateway.pass(2 * SECOND)].concat();
    assert!(
        attempts(&answers).is_empty(),
        "servers where it holds nothing are no way round the ceiling"
    );
    assert!(refused(&answers, 100));
    gateway.pass(8 * SECOND);
    assert_eq!(
        attempts(&gateway.arrive(101, SAFE)).len(),
        1,
        "it reopens when messages are in time again"
    );
    let mut local = short_of(40, 30, 5);
    assert_eq!(
        attempts(&local.arrive(100, SAFE)).len(),
        1,
        "a few late servers are no shortage"
    );
}

#[test]
fn a_late_server_whose_last_connection_moved_away_still_counts_as_late() {
    let mut gateway = short_of(20, 12, 8);
    let answers = [gateway.arrive(100, SAFE), gateway.pass(2 * SECOND)].concat();
    assert!(attempts(&answers).is_empty(), "{answers:?}");
}

#[test]
fn a_shortage_that_lasts_cuts_what_a_gateway_holds_no_further_than_its_floor() {
    let mut gateway = short_of(40, 30, 24);
    for _ in 0..8 {
        for id in 0..30 {
            gateway.note(id, LATE);
        }
        gateway.pass(SECOND);
    }
    let placed = (100..130)
        .filter(|id| !attempts(&gateway.arrive(*id, SAFE)).is_empty())
        .count();
    assert!(
        placed >= 6,
        "it still holds a part of what it did: {placed}"
    );
}

#[test]
fn where_a_gateway_holds_many_connections_on_each_server_their_own_ceilings_do() {
    let mut gateway = short_of(4, 24, 3);
    assert_eq!(attempts(&gateway.arrive(100, SAFE)), [ServerId(3)]);
}

#[test]
fn a_group_stays_where_most_of_it_already_is() {
    for holder in 0..4 {
        let mut gateway = Gateway::with_servers(settings(), 4);
        gateway.tell(Event::ConnectionAdopted {
            request: grouped(0, 5),
            server: ServerId((holder + 1) % 4),
        });
        for id in 1..3 {
            gateway.tell(Event::ConnectionAdopted {
                request: grouped(id, 5),
                server: ServerId(holder),
            });
        }
        fill_from(&mut gateway, 50, 20);
        assert_eq!(
            attempts(&gateway.tell(Event::ConnectRequested(grouped(3, 5)))),
            [ServerId(holder)]
        );
        gateway.establish(3, 0);
        for id in 0..4 {
            gateway.close(id, 0, AttemptOutcome::Served);
        }
        let home = attempts(&gateway.tell(Event::ConnectRequested(grouped(4, 5))));
        let fresh = attempts(
            &Gateway::with_servers(settings(), 4).tell(Event::ConnectRequested(grouped(4, 5))),
        );
        assert_eq!(home, fresh, "what is gone is forgotten");
    }
}

#[test]
fn a_small_group_keeps_to_its_own_few_servers_when_they_strain() {
    let mut gateway = Gateway::with_servers(settings(), 20);
    gateway.pass(10 * SECOND);
    fill(&mut gateway, 60);
    let grouped = |id: u64, now| ConnectRequest {
        group: Some(GroupId(9)),
        ..arrival(id, SAFE, now)
    };
    let mut used = std::collections::BTreeSet::new();
    for id in 100..110 {
        for server in attempts(&gateway.tell(Event::ConnectRequested(grouped(id, gateway.now)))) {
            used.insert(server);
            gateway.establish(id, 0);
            gateway.note(id, SLOW);
        }
    }
    assert!(used.len() <= 5, "{} servers of 20", used.len());
}

#[test]
fn the_own_zone_takes_more_turns_where_crossing_has_a_price() {
    for (price, least, most) in [(0.0, 0.45, 0.55), (0.03, 0.7, 0.9)] {
        let mut priced = settings();
        priced.costs.cross_zone = price;
        let mut gateway = Gateway::with_servers(priced, 6);
        let placed = fill(&mut gateway, 60);
        let own = placed.iter().filter(|id| id.0 % 2 == 0).count() as f64 / 60.0;
        assert!((least..most).contains(&own), "price {price}: {own}");
    }
}

/// One server under a ceiling of 900 that holds eight connections of 100.
fn under_a_ceiling(settings: Settings) -> Gateway {
    let mut gateway = Gateway::with_servers(settings, 1);
    fill(&mut gateway, 10);
    for id in 0..10 {
        gateway.note(id, ConnectionMetric::Load(100.0));
    }
    gateway.note(0, SLOW);
    gateway.close(0, 0, AttemptOutcome::Served);
    gateway.close(1, 0, AttemptOutcome::Served);
    gateway.now += 2 * SECOND;
    gateway
}

#[test]
fn under_a_ceiling_a_light_connection_fits_where_a_heavy_one_does_not() {
    let mut gateway = under_a_ceiling(settings());
    let sized = |id, load| ConnectRequest {
        expected_load: Some(load),
        ..arrival(id, SAFE, 3 * SECOND)
    };
    assert!(attempts(&gateway.tell(Event::ConnectRequested(sized(50, 500.0)))).is_empty());
    assert_eq!(
        attempts(&gateway.tell(Event::ConnectRequested(sized(51, 50.0)))).len(),
        1
    );
}

#[test]
fn just_after_strain_a_server_takes_nothing_even_far_below_its_ceiling() {
    let mut gateway = Gateway::with_servers(settings(), 1);
    fill(&mut gateway, 10);
    gateway.note(0, SLOW);
    for id in 0..8 {
        gateway.close(id, 0, AttemptOutcome::Served);
    }
    assert!(attempts(&gateway.arrive(50, SAFE)).is_empty());
    gateway.now += 2 * SECOND;
    assert_eq!(attempts(&gateway.arrive(51, SAFE)).len(), 1);
}

/// Connections that fit on a server some seconds after a spell of strain at 20 that left it with four.
fn fit_after_a_spell(seconds: u64) -> usize {
    let mut gateway = Gateway::with_servers(settings(), 2);
    gateway.pass(10 * SECOND);
    for id in 0..20 {
        gateway.tell(Event::ConnectionAdopted {
            request: arrival(id, SAFE, 0),
            server: ServerId(0),
        });
        gateway.tell(Event::ConnectionAdopted {
            request: arrival(100 + id, SAFE, 0),
            server: ServerId(1),
        });
    }
    for second in 0..16 {
        gateway.note(19, SLOW);
        gateway.note(119, SLOW);
        gateway.close(second, 0, AttemptOutcome::Served);
        gateway.pass(SECOND);
    }
    for _ in 0..seconds {
        gateway.pass(SECOND);
    }
    gateway.note(119, SLOW);
    fill_from(&mut gateway, 200, 40).len()
}

#[test]
fn a_ceiling_cut_while_piled_up_work_drains_returns_faster_than_one_that_is_right() {
    let restless = fit_after_a_spell(6);
    assert!(
        (4..=8).contains(&restless),
        "{restless} fit beside the four that stayed"
    );
}

#[test]
fn under_a_ceiling_what_is_worth_less_has_to_leave_more_room() {
    let mut unequal = settings();
    unequal.classes[KEYED_ALL].priority_weight = 9.0;
    let mut gateway = under_a_ceiling(unequal);
    let of_class = |id, class| ConnectRequest {
        expected_load: Some(100.0),
        ..arrival(id, class, 3 * SECOND)
    };
    assert!(attempts(&gateway.tell(Event::ConnectRequested(of_class(50, SAFE)))).is_empty());
    assert_eq!(
        attempts(&gateway.tell(Event::ConnectRequested(of_class(51, KEYED_ALL)))).len(),
        1
    );
}

#[test]
fn weights_that_change_from_list_to_list_are_followed() {
    let mut gateway = Gateway::with_servers(settings(), 2);
    let weighted = |one, other| {
        vec![
            ServerEntry {
                weight: one,
                ..entry(0)
            },
            ServerEntry {
                weight: other,
                ..entry(1)
            },
            ServerEntry { ..entry(2) },
        ]
    };
    for (round, (one, other)) in [(4.0, 1.0), (1.0, 4.0), (0.0, f64::NAN)]
        .into_iter()
        .enumerate()
    {
        gateway.list(ListUpdate::Snapshot, weighted(one, other));
        let first = 1000 * round as u64;
        let placed = fill_from(&mut gateway, first, 60);
        for id in first..first + 60 {
            gateway.close(id, 0, AttemptOutcome::Served);
        }
        let (mine, others) = (share_of(&placed, 0), share_of(&placed, 1));
        match round {
            0 => assert!(mine > 2.0 * others, "{mine} {others}"),
            1 => assert!(others > 2.0 * mine, "{mine} {others}"),
            _ => assert!((mine - others).abs() < 0.05, "{mine} {others}"),
        }
    }
}

#[test]
fn gateways_begin_their_turns_at_different_servers() {
    let first_turn = |seed| {
        let mut balancer =
            beaconflow_policy::Balancer::new(settings(), seed).expect("the settings are in range");
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
            Event::ConnectRequested(arrival(1, SAFE, SECOND)),
            &mut actions,
        );
        attempts(&actions)[0]
    };
    let firsts: std::collections::BTreeSet<ServerId> = (0..20).map(first_turn).collect();
    assert!(
        firsts.len() >= 8,
        "20 gateways begin at {} servers",
        firsts.len()
    );
}

#[test]
fn gateways_that_see_much_of_a_group_spread_it_and_those_that_see_little_do_not() {
    let places = |others: u64| -> std::collections::BTreeSet<ServerId> {
        let first_place = |rank| {
            let mut gateway = Gateway::with_servers(
                Settings {
                    balancers: 8,
                    rank,
                    ..settings()
                },
                40,
            );
            for id in 0..20 {
                let group = if id < others { 7 << 40 } else { id };
                gateway.stand(grouped(id, group));
                if id < others {
                    gateway.close(id, 0, AttemptOutcome::Reset);
                    gateway.tell(Event::ConnectionAdopted {
                        request: grouped(100 + id, group),
                        server: ServerId(99),
                    });
                }
            }
            attempts(&gateway.tell(Event::ConnectRequested(grouped(50, 7 << 40))))[0]
        };
        (0..8).map(first_place).collect()
    };
    assert_eq!(places(0).len(), 1);
    assert!(places(16).len() >= 5, "{:?}", places(16));
}

/// The servers that are probed.
fn probes(actions: &[Action]) -> Vec<ServerId> {
    let of = |action: &Action| match action {
        Action::ProbeServer(server) => Some(*server),
        _ => None,
    };
    actions.iter().filter_map(of).collect()
}

fn probing(servers: u32) -> Gateway {
    let mut settings = settings();
    settings.limits.can_probe = true;
    Gateway::with_servers(settings, servers)
}

#[test]
fn where_probes_tell_the_load_a_full_server_is_passed_over_before_it_is_sent_anything() {
    let mut gateway = probing(3);
    let asked = gateway.arrive(1, SAFE);
    assert!(attempts(&asked).is_empty());
    let first = probes(&asked)[0];
    let second = probes(&gateway.tell(Event::ProbeAnswered {
        server: first,
        load: Some(0.95),
    }))[0];
    assert_ne!(first, second);
    let sent = gateway.tell(Event::ProbeAnswered {
        server: second,
        load: Some(0.3),
    });
    assert_eq!(attempts(&sent), [second]);
    assert!(
        attempts(&gateway.tell(Event::ProbeAnswered {
            server: second,
            load: Some(0.3)
        }))
        .is_empty()
    );
}

#[test]
fn a_probe_without_an_answer_holds_nobody_up_and_a_failed_one_counts_as_full() {
    let mut gateway = probing(3);
    let first = probes(&gateway.arrive(1, SAFE))[0];
    let second = probes(&gateway.tell(Event::ProbeAnswered {
        server: first,
        load: None,
    }))[0];
    assert_ne!(first, second);
    let answers = gateway.pass(5 * SECOND);
    assert!(refused(&answers, 1), "{answers:?}");
    let stale = gateway.tell(Event::ProbeAnswered {
        server: second,
        load: Some(0.1),
    });
    assert!(attempts(&stale).is_empty(), "its request is over");
}

#[test]
fn the_fewer_connections_a_gateway_holds_on_a_slow_server_the_longer_it_stays_away() {
    let stays_away = |held: u64| -> u64 {
        let mut gateway = Gateway::with_servers(settings(), 2);
        gateway.tell(Event::ConnectionAdopted {
            request: arrival(900, SAFE, 0),
            server: ServerId(0),
        });
        for id in 0..held {
            gateway.tell(Event::ConnectionAdopted {
                request: arrival(id, SAFE, 0),
                server: ServerId(1),
            });
        }
        gateway.note(0, SLOW);
        gateway.list(
            ListUpdate::Delta,
            vec![ServerEntry {
                state: ServerState::Removed,
                ..entry(0)
            }],
        );
        for id in 0..held {
            gateway.close(id, 0, AttemptOutcome::Served);
        }
        for second in 0..60 {
            let now = gateway.now;
            let mut placed =
                attempts(&gateway.tell(Event::ConnectRequested(arrival(1000 + second, SAFE, now))));
            placed.extend(attempts(&gateway.pass(SECOND)));
            if !placed.is_empty() {
                return second;
            }
        }
        60
    };
    assert!((1..=2).contains(&stays_away(12)));
    let lonely = stays_away(1);
    assert!((5..=16).contains(&lonely), "{lonely} s");
}

#[test]
fn a_server_that_tells_of_spare_load_keeps_to_its_ceiling() {
    let mut gateway = probing(1);
    for id in 0..10 {
        gateway.tell(Event::ConnectionAdopted {
            request: arrival(id, SAFE, 0),
            server: ServerId(0),
        });
    }
    gateway.note(0, SLOW);
    gateway.now += 2 * SECOND;
    let now = gateway.now;
    assert!(
        probes(&gateway.tell(Event::ConnectRequested(arrival(50, SAFE, now)))).is_empty(),
        "no room to ask for"
    );
    gateway.tell(Event::ProbeAnswered {
        server: ServerId(0),
        load: Some(0.1),
    });
    assert!(attempts(&gateway.tell(Event::ConnectRequested(arrival(51, SAFE, now)))).is_empty());
    gateway.close(1, 0, AttemptOutcome::Served);
    gateway.close(2, 0, AttemptOutcome::Served);
    assert_eq!(
        attempts(&gateway.tell(Event::ConnectRequested(arrival(52, SAFE, now)))),
        [ServerId(0)]
    );
}

#[test]
fn a_group_may_use_as_many_servers_as_the_count_of_it_allows_and_no_more() {
    let hand_after = |of_group: u64, others: u64| -> usize {
        let mut gateway = Gateway::with_servers(settings(), 20);
        for id in 0..of_group + others {
            let one = if id < of_group {
                grouped(id, 7 << 40)
            } else {
                arrival(id, SAFE, SECOND)
            };
            gateway.tell(Event::ConnectRequested(one));
            gateway.establish(id, 0);
            gateway.close(id, 0, AttemptOutcome::Served);
        }
        let mut used = std::collections::BTreeSet::new();
        for id in 1000..1020 {
            used.extend(attempts(
                &gateway.tell(Event::ConnectRequested(grouped(id, 7 << 40))),
            ));
            gateway.establish(id, 0);
            gateway.note(id, SLOW);
        }
        used.len()
    };
    assert_eq!(
        hand_after(20, 380),
        3,
        "a twentieth of much is well known to fit on few servers"
    );
    let few = hand_after(9, 21);
    assert!(
        (10..=12).contains(&few),
        "a third of a little may be more than it looks: {few}"
    );
}

#[test]
fn what_came_of_a_group_lately_counts_in_its_width_when_it_is_gone() {
    let first_place = |rank| {
        let mut gateway = Gateway::with_servers(
            Settings {
                balancers: 8,
                rank,
                ..settings()
            },
            40,
        );
        for id in 0..30 {
            gateway.tell(Event::ConnectRequested(grouped(id, 7 << 40)));
            gateway.establish(id, 0);
            gateway.close(id, 0, AttemptOutcome::Served);
        }
        attempts(&gateway.tell(Event::ConnectRequested(grouped(50, 7 << 40))))[0]
    };
    let places: std::collections::BTreeSet<ServerId> = (0..8).map(first_place).collect();
    assert!(places.len() >= 5, "{places:?}");
}

#[test]
fn a_server_far_over_the_mean_is_evened_out_by_the_heaviest_connection_that_helps() {
    // One that would only carry the trouble elsewhere stays; so do light ones, and a fleet that is even.
    for (heavy, spread, expected) in [
        (900.0, 1, vec![5]),
        (20_000.0, 1, vec![]),
        (100.0, 4, vec![]),
    ] {
        let mut gateway = Gateway::with_servers(settings(), 4);
        for id in 0..40 {
            let server = ServerId(id as u32 % spread);
            gateway.tell(Event::ConnectionAdopted {
                request: arrival(id, SAFE, gateway.now),
                server,
            });
            gateway.note(
                id,
                ConnectionMetric::Load(if id == 5 { heavy } else { 100.0 }),
            );
        }
        let moves: Vec<Action> = expected
            .into_iter()
            .map(|id| Action::Migrate(RequestId(id), MigrationReason::Rebalancing))
            .collect();
        assert_eq!(gateway.pass(SECOND), moves, "{heavy} over {spread}");
    }
}
