//! Repeats, final answers, and the waits between attempts.

mod common;

use beaconflow_policy::*;
use common::*;

#[test]
fn a_set_up_that_never_ran_waits_and_takes_another_server() {
    let mut gateway = Gateway::with_servers(settings(), 3);
    let first = attempts(&gateway.arrive(1, UNSAFE))[0];
    assert!(
        gateway.end(1, 0, AttemptOutcome::ConnectFailed).is_empty(),
        "it waits first"
    );
    let again = gateway.pass(2 * SECOND);
    assert_eq!(attempts(&again).len(), 1);
    assert_ne!(attempts(&again)[0], first);
}

#[test]
fn an_unsafe_request_that_may_have_run_is_failed_and_never_refused() {
    for outcome in [
        AttemptOutcome::ServerError,
        AttemptOutcome::TimedOut,
        AttemptOutcome::Reset,
        AttemptOutcome::Cancelled,
    ] {
        let mut gateway = Gateway::with_servers(settings(), 3);
        gateway.arrive(1, UNSAFE);
        let answer = gateway.end(1, 0, outcome);
        assert!(failed(&answer, 1), "{outcome:?}");
        assert!(
            attempts(&gateway.pass(3 * SECOND)).is_empty(),
            "{outcome:?}"
        );
    }
}

#[test]
fn attempts_that_run_out_before_anything_ran_end_in_a_refusal_with_advice_within_bounds() {
    let mut gateway = Gateway::with_servers(settings(), 4);
    gateway.arrive(1, SAFE);
    let mut answers = Vec::new();
    for attempt in 0..3 {
        answers.extend(gateway.end(1, attempt, AttemptOutcome::Rejected));
        answers.extend(gateway.pass(600 * MS));
    }
    let advice = answers.iter().find_map(|action| match action {
        Action::Reject { retry_after, .. } => *retry_after,
        _ => None,
    });
    let advice = advice.expect("refused, with advice");
    assert!(advice > 0 && advice <= SECOND);
}

#[test]
fn a_safe_request_is_failed_when_its_attempts_may_have_run() {
    let mut gateway = Gateway::with_servers(settings(), 4);
    gateway.arrive(1, SAFE);
    let mut answers = Vec::new();
    for attempt in 0..3 {
        answers.extend(gateway.end(1, attempt, AttemptOutcome::TimedOut));
        answers.extend(gateway.pass(600 * MS));
    }
    assert!(failed(&answers, 1) && !refused(&answers, 1));
}

#[test]
fn a_keyed_repeat_stays_in_its_group_and_window() {
    for (class, same) in [(KEYED_ZONE, 2), (KEYED_CELL, 1)] {
        for seed in 0..20 {
            let mut gateway = Gateway::with_servers(settings(), 6);
            let first = attempts(&gateway.arrive(seed, class))[0];
            gateway.end(seed, 0, AttemptOutcome::Reset);
            for to in attempts(&gateway.pass(SECOND)) {
                let (a, b) = (entry(first.0), entry(to.0));
                let kept = if same == 2 {
                    a.zone == b.zone
                } else {
                    a.cell == b.cell
                };
                assert!(kept, "{first:?} then {to:?}");
            }
        }
    }
    let mut gateway = Gateway::with_servers(settings(), 6);
    gateway.arrive(1, KEYED_ALL);
    gateway.pass(1100 * MS);
    let mut answers = gateway.end(1, 0, AttemptOutcome::Reset);
    answers.extend(gateway.pass(2 * SECOND));
    assert!(attempts(&answers).is_empty(), "the window is over");
    assert!(failed(&answers, 1));
}

#[test]
fn a_keyed_repeat_has_to_begin_inside_the_window_however_long_its_connect_takes() {
    let window = SECOND;
    for class in [KEYED_ZONE, KEYED_CELL, KEYED_ALL] {
        let mut gateway = Gateway::with_servers(settings(), 6);
        let sent_at = gateway.now;
        let first = gateway.arrive(1, class);
        assert_eq!(
            begin_within(&first),
            [2 * SECOND],
            "what never ran may begin as long as its client waits"
        );
        gateway.pass(700 * MS);
        gateway.end(1, 0, AttemptOutcome::Reset);
        let mut again = Vec::new();
        while again.is_empty() && gateway.now < sent_at + window {
            again = begin_within(&gateway.pass(MS));
        }
        // None is made where the delay drawn would outlast the window. It was made within the last millisecond.
        for span in again {
            assert!(
                gateway.now - MS + span <= sent_at + window,
                "{span} after {}",
                gateway.now - sent_at
            );
        }
    }
}

#[test]
fn a_keyed_request_whose_window_is_over_is_failed_at_once() {
    let mut gateway = Gateway::with_servers(settings(), 6);
    gateway.arrive(1, KEYED_ALL);
    gateway.pass(1100 * MS);
    assert!(failed(&gateway.end(1, 0, AttemptOutcome::Reset), 1));
}

#[test]
fn what_was_withheld_from_a_leaving_server_goes_elsewhere_at_once_and_costs_its_client_no_delay() {
    for class in [SAFE, UNSAFE, KEYED_CELL] {
        let mut gateway = Gateway::with_servers(settings(), 3);
        let first = attempts(&gateway.arrive(1, class))[0];
        gateway.list(
            ListUpdate::Delta,
            vec![ServerEntry {
                state: ServerState::Draining,
                ..entry(first.0)
            }],
        );
        let again = attempts(&gateway.end(1, 0, AttemptOutcome::NotSent));
        assert_eq!(again.len(), 1, "class {class}");
        assert_ne!(again[0], first);
    }
}

#[test]
fn withheld_attempts_count_against_the_limit_and_end_in_a_refusal() {
    let mut gateway = Gateway::with_servers(settings(), 3);
    gateway.arrive(1, UNSAFE);
    assert_eq!(
        attempts(&gateway.end(1, 0, AttemptOutcome::NotSent)).len(),
        1
    );
    assert_eq!(
        attempts(&gateway.end(1, 1, AttemptOutcome::NotSent)).len(),
        1
    );
    assert!(refused(&gateway.end(1, 2, AttemptOutcome::NotSent), 1));
}

#[test]
fn a_connection_that_stood_is_never_repeated() {
    let mut gateway = Gateway::with_servers(settings(), 3);
    gateway.arrive(1, SAFE);
    gateway.establish(1, 0);
    assert!(gateway.close(1, 0, AttemptOutcome::Reset).is_empty());
    assert!(gateway.pass(5 * SECOND).is_empty());
}

#[test]
fn a_wait_that_would_outlast_the_time_left_ends_in_a_refusal_at_once() {
    let mut gateway = Gateway::with_servers(settings(), 3);
    let mut hurried = arrival(1, SAFE, gateway.now);
    hurried.deadline_at = gateway.now + 1;
    gateway.tell(Event::ConnectRequested(hurried));
    assert!(refused(&gateway.end(1, 0, AttemptOutcome::Rejected), 1));
}

#[test]
fn without_servers_a_request_is_refused_in_time() {
    let mut gateway = Gateway::with_servers(settings(), 0);
    let mut answers = gateway.arrive(1, SAFE);
    answers.extend(gateway.pass(2 * SECOND));
    assert!(refused(&answers, 1));
    assert!(attempts(&answers).is_empty());
}

#[test]
fn a_client_that_left_gets_nothing_more() {
    let mut gateway = Gateway::with_servers(settings(), 3);
    gateway.arrive(1, SAFE);
    gateway.end(1, 0, AttemptOutcome::Rejected);
    gateway.tell(Event::ClientLeft(RequestId(1)));
    assert!(gateway.pass(5 * SECOND).is_empty());
}

#[test]
fn a_server_told_to_drain_during_the_wait_gets_nothing_new() {
    let mut gateway = Gateway::with_servers(settings(), 2);
    let first = attempts(&gateway.arrive(1, SAFE))[0];
    gateway.end(1, 0, AttemptOutcome::Rejected);
    let other = entry(1 - first.0);
    gateway.list(
        ListUpdate::Delta,
        vec![ServerEntry {
            state: ServerState::Draining,
            ..other.clone()
        }],
    );
    for to in attempts(&gateway.pass(2 * SECOND)) {
        assert_ne!(to, other.server);
    }
}

#[test]
fn a_repeat_goes_elsewhere_even_when_its_first_server_would_be_next_in_turn() {
    let mut gateway = Gateway::with_servers(settings(), 2);
    for round in 0..60 {
        let id = 100 * round;
        let first = attempts(&gateway.arrive(id, SAFE))[0];
        gateway.end(id, 0, AttemptOutcome::Rejected);
        for other in id + 1..id + 25 {
            let mut actions = gateway.pass(10 * MS);
            actions.retain(
                |action| matches!(action, Action::StartAttempt { request, .. } if request.0 == id),
            );
            assert!(!attempts(&actions).contains(&first), "round {round}");
            gateway.arrive(other, SAFE);
            gateway.close(other, 0, AttemptOutcome::Served);
        }
        gateway.close(id, 1, AttemptOutcome::Served);
        gateway.pass(5 * SECOND);
    }
}

#[test]
fn a_clients_failures_are_forgotten_after_a_quiet_time() {
    let mut gateway = Gateway::with_servers(settings(), 4);
    for round in 0..40 {
        let known = gateway.timers.len();
        for attempt in 0..3 {
            let client = ConnectRequest {
                client_key: Some(ClientKey(5)),
                ..arrival(10 * round + attempt, SAFE, gateway.now)
            };
            gateway.tell(Event::ConnectRequested(client));
            let waiting = gateway.timers.len();
            gateway.end(10 * round + attempt, 0, AttemptOutcome::Rejected);
            let wait = gateway
                .timers
                .get(waiting)
                .map_or(0, |(due, _)| due - gateway.now);
            assert!(attempt > 0 || wait <= 200 * MS, "round {round}: {wait}");
            gateway.tell(Event::ClientLeft(RequestId(10 * round + attempt)));
        }
        assert!(gateway.timers.len() > known);
        gateway.pass(15 * SECOND);
    }
}

#[test]
fn set_ups_that_fail_for_all_close_the_window_and_those_that_stand_open_it() {
    let mut gateway = Gateway::with_servers(settings(), 4);
    let made: Vec<u64> = (0..100)
        .filter(|id| !attempts(&gateway.arrive(*id, SAFE)).is_empty())
        .collect();
    assert!(
        (2..50).contains(&made.len()),
        "{} set-ups at once",
        made.len()
    );
    // Each failure is spaced so that it counts; what waits is placed as others end, but fewer at a time.
    let mut out = made.len();
    for id in &made {
        gateway.pass(160 * MS);
        out = out - 1 + attempts(&gateway.end(*id, 0, AttemptOutcome::ServerError)).len();
    }
    assert!(out * 3 <= made.len(), "{out} of {} still out", made.len());
    let mut fresh = Gateway::with_servers(settings(), 4);
    let first = (0..100)
        .filter(|id| !attempts(&fresh.arrive(*id, SAFE)).is_empty())
        .count() as u64;
    let more: usize = (0..first)
        .map(|id| attempts(&fresh.establish(id, 0)).len())
        .sum();
    assert!(more as u64 > first, "{more} after {first}");
}
