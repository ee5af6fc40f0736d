//! Servers that an operator has taken out, weights on their way back, and pinned requests.

mod common;

use beaconflow_policy::*;
use common::*;
use proptest::prelude::*;

fn pinned(request: u64, server: Option<u32>, strict: bool, now: Nanos) -> ConnectRequest {
    ConnectRequest {
        pin: Some(Pin {
            server: server.map(ServerId),
            strict,
        }),
        ..arrival(request, SAFE, now)
    }
}

fn with_state(server: u32, state: ServerState) -> ServerEntry {
    ServerEntry {
        state,
        ..entry(server)
    }
}

#[test]
fn a_server_that_is_out_takes_nothing_and_keeps_what_it_has() {
    let mut gateway = Gateway::with_servers(settings(), 2);
    let mut there = 0;
    for request in 0..10 {
        there += usize::from(gateway.stand(arrival(request, SAFE, gateway.now)) == [ServerId(0)]);
    }
    assert!(there > 0);
    let mut actions = gateway.list(
        ListUpdate::Delta,
        vec![with_state(0, ServerState::OutOfService)],
    );
    actions.extend(gateway.pass(10 * SECOND));
    actions.extend(gateway.stream(10..30, 10 * MS));
    assert!(
        attempts(&actions)
            .iter()
            .all(|server| *server == ServerId(1))
    );
    let moved = |action: &&Action| matches!(action, Action::Migrate(RequestId(request), _) if *request < 10);
    assert_eq!(
        actions.iter().filter(moved).count(),
        0,
        "its connections are the operator's"
    );
    // One that drains is emptied, also if it was out before.
    let mut actions = gateway.list(
        ListUpdate::Delta,
        vec![with_state(0, ServerState::Draining)],
    );
    actions.extend(gateway.pass(10 * SECOND));
    let from = actions
        .iter()
        .filter(|action| matches!(action, Action::Migrate(..)))
        .count();
    assert!(from >= there, "{from} of {there}");
}

#[test]
fn a_preferred_server_is_left_after_one_failure_and_a_strict_one_is_not() {
    for strict in [false, true] {
        let mut gateway = Gateway::with_servers(settings(), 3);
        assert_eq!(
            gateway.stand(pinned(1, Some(2), strict, gateway.now)),
            [ServerId(2)]
        );
        let first = gateway.tell(Event::ConnectRequested(pinned(
            2,
            Some(2),
            strict,
            gateway.now,
        )));
        assert_eq!(attempts(&first), [ServerId(2)]);
        let mut actions = gateway.end(2, 0, AttemptOutcome::Rejected);
        actions.extend(gateway.pass(2 * SECOND));
        let second = attempts(&actions)[0];
        assert_eq!(second == ServerId(2), strict, "{second:?}");
    }
}

#[test]
fn a_strict_pin_to_a_server_that_takes_nothing_is_refused_at_once_with_a_time() {
    for state in [
        ServerState::OutOfService,
        ServerState::Draining,
        ServerState::Removed,
    ] {
        let mut gateway = Gateway::with_servers(settings(), 3);
        gateway.list(ListUpdate::Delta, vec![with_state(2, state)]);
        let actions = gateway.tell(Event::ConnectRequested(pinned(
            1,
            Some(2),
            true,
            gateway.now,
        )));
        assert!(
            matches!(actions[..], [Action::Reject { retry_after: Some(after), .. }] if after <= SECOND),
            "{actions:?}"
        );
        // A preferred one goes elsewhere, and so does one whose server nobody knows.
        for (request, server) in [(2, Some(2)), (3, None)] {
            let went = gateway.stand(pinned(request, server, false, gateway.now));
            assert!(went.len() == 1 && went[0] != ServerId(2), "{went:?}");
        }
        let actions = gateway.tell(Event::ConnectRequested(pinned(4, None, true, gateway.now)));
        assert!(refused(&actions, 4));
    }
}

#[test]
fn a_pin_that_comes_or_goes_is_followed_by_a_request_that_waits() {
    let mut gateway = Gateway::with_servers(settings(), 2);
    gateway.list(ListUpdate::Snapshot, Vec::new());
    assert!(
        attempts(&gateway.arrive(1, SAFE)).is_empty(),
        "there is no server"
    );
    gateway.tell(Event::PinChanged {
        request: RequestId(1),
        pin: Some(Pin {
            server: Some(ServerId(1)),
            strict: true,
        }),
    });
    gateway.list(ListUpdate::Snapshot, (0..2).map(entry).collect());
    assert_eq!(attempts(&gateway.pass(SECOND)), [ServerId(1)]);
    gateway.end(1, 0, AttemptOutcome::Rejected);
    gateway.tell(Event::PinChanged {
        request: RequestId(1),
        pin: None,
    });
    assert_eq!(
        attempts(&gateway.pass(SECOND)),
        [ServerId(0)],
        "the one that did not just fail"
    );
    // News of a request that is gone.
    gateway.tell(Event::PinChanged {
        request: RequestId(9),
        pin: None,
    });
}

#[test]
fn a_cold_pinned_server_keeps_its_budget() {
    let mut gateway = Gateway::with_servers(settings(), 4);
    gateway.stream(0..40, 20 * MS);
    gateway.list(
        ListUpdate::Delta,
        vec![ServerEntry {
            started_at: gateway.now,
            ..entry(3)
        }],
    );
    let mut there = 0;
    for request in 100..200 {
        let went = gateway.stand(pinned(request, Some(3), false, gateway.now));
        there += usize::from(went == [ServerId(3)]);
        gateway.pass(10 * MS);
    }
    assert!(there < 60, "{there} of 100 within a second");
}

#[test]
fn a_weight_that_rises_brings_the_next_turn_nearer_and_moves_nothing_away() {
    let mut gateway = Gateway::with_servers(settings(), 2);
    let weighed = |weight, rises_to| ServerEntry {
        weight,
        target_weight: rises_to,
        ..entry(0)
    };
    for request in 0..6 {
        gateway.stand(ConnectRequest {
            expected_load: Some(100.0),
            ..arrival(request, SAFE, gateway.now)
        });
    }
    let mut actions = gateway.list(ListUpdate::Delta, vec![weighed(0.01, Some(1.0))]);
    actions.extend(gateway.pass(5 * SECOND));
    assert!(
        !actions
            .iter()
            .any(|action| matches!(action, Action::Migrate(..))),
        "{actions:?}"
    );
    gateway.list(ListUpdate::Delta, vec![weighed(1.0, None)]);
    let went: Vec<ServerId> = (10..20)
        .flat_map(|id| gateway.stand(arrival(id, SAFE, gateway.now)))
        .collect();
    assert!(
        went.iter().filter(|server| **server == ServerId(0)).count() >= 3,
        "{went:?}"
    );
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(200) })]

    /// Whatever pins, states and outcomes come, no rule gives way to a pin.
    #[test]
    fn no_rule_gives_way_to_a_pin(
        deeds in prop::collection::vec((0..6_u8, 0..4_u32, any::<bool>(), 0..8_u64), 1..80),
    ) {
        let mut gateway = Gateway::with_servers(settings(), 4);
        let mut states = [ServerState::Ready; 4];
        let mut strict_to: std::collections::BTreeMap<u64, Option<u32>> = Default::default();
        let mut out: std::collections::BTreeMap<u64, u32> = Default::default();
        let mut made: std::collections::BTreeMap<u64, u32> = Default::default();
        let mut over = std::collections::BTreeSet::new();
        let mut next = 0;
        for (deed, server, strict, pick) in deeds {
            let now = gateway.now;
            let actions = match deed {
                0 => {
                    next += 1;
                    let to = (pick != 0).then_some(server);
                    if strict {
                        strict_to.insert(next, to);
                    }
                    gateway.tell(Event::ConnectRequested(pinned(next, to, strict, now)))
                }
                1 => {
                    states[server as usize] = [ServerState::Ready, ServerState::OutOfService, ServerState::Draining, ServerState::Removed][pick as usize % 4];
                    gateway.list(ListUpdate::Delta, vec![with_state(server, states[server as usize])])
                }
                2 | 3 => match out.keys().nth(pick as usize % out.len().max(1)).copied() {
                    Some(request) => {
                        out.remove(&request);
                        // Turned away, refused, hung and reset.
                        let all = [AttemptOutcome::Rejected, AttemptOutcome::ConnectFailed, AttemptOutcome::TimedOut, AttemptOutcome::Reset];
                        let outcome = all[server as usize];
                        gateway.end(request, made[&request] - 1, outcome)
                    }
                    None => Vec::new(),
                },
                4 => match out.keys().nth(pick as usize % out.len().max(1)).copied() {
                    Some(request) => {
                        out.remove(&request);
                        over.insert(request);
                        gateway.establish(request, made[&request] - 1)
                    }
                    None => Vec::new(),
                },
                _ => gateway.pass(pick * 40 * MS),
            };
            for action in actions {
                match action {
                    Action::StartAttempt { request: RequestId(request), server: ServerId(server), .. } => {
                        prop_assert_eq!(states[server as usize], ServerState::Ready);
                        prop_assert!(!over.contains(&request));
                        prop_assert!(out.insert(request, server).is_none(), "two at once");
                        let count = made.entry(request).or_insert(0);
                        *count += 1;
                        prop_assert!(*count <= 3);
                        if let Some(to) = strict_to.get(&request) {
                            prop_assert_eq!(*to, Some(server));
                        }
                    }
                    Action::Reject { request: RequestId(request), .. } | Action::Fail(RequestId(request)) => {
                        prop_assert!(over.insert(request), "two answers");
                        prop_assert!(!out.contains_key(&request));
                    }
                    _ => {}
                }
            }
        }
        gateway.pass(4 * SECOND);
    }
}
