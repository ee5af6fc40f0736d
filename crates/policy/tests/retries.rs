//! Retries, the backoff between attempts, and final answers.

mod common;

use beaconflow_policy::*;
use common::*;

#[test]
fn failed_connect_is_retried_on_another_server() {
    let mut balancer = TestBalancer::with_servers(settings(), 3);
    let first = attempted_servers(&balancer.request(1, NON_IDEMPOTENT))[0];
    assert!(
        balancer
            .end_attempt(1, 0, AttemptOutcome::ConnectFailed)
            .is_empty(),
        "the retry should begin after a backoff"
    );
    let retry = balancer.advance(2 * SECOND);
    assert_eq!(attempted_servers(&retry).len(), 1);
    assert_ne!(attempted_servers(&retry)[0], first);
}

#[test]
fn non_idempotent_request_fails_after_possible_execution() {
    for outcome in [
        AttemptOutcome::ServerError,
        AttemptOutcome::TimedOut,
        AttemptOutcome::Reset,
        AttemptOutcome::Cancelled,
    ] {
        let mut balancer = TestBalancer::with_servers(settings(), 3);
        balancer.request(1, NON_IDEMPOTENT);
        let answer = balancer.end_attempt(1, 0, outcome);
        assert!(is_failed(&answer, 1), "{outcome:?}");
        assert!(
            attempted_servers(&balancer.advance(3 * SECOND)).is_empty(),
            "{outcome:?}"
        );
    }
}

#[test]
fn unexecuted_request_is_rejected_with_retry_after() {
    let mut balancer = TestBalancer::with_servers(settings(), 4);
    balancer.request(1, IDEMPOTENT);
    let mut answers = Vec::new();
    for attempt in 0..3 {
        answers.extend(balancer.end_attempt(1, attempt, AttemptOutcome::Rejected));
        answers.extend(balancer.advance(600 * MS));
    }
    let retry_after = answers.iter().find_map(|action| match action {
        Action::Reject { retry_after, .. } => *retry_after,
        _ => None,
    });
    let retry_after = retry_after.expect("the request is rejected with a retry-after");
    assert!(retry_after > 0 && retry_after <= SECOND);
}

#[test]
fn idempotent_request_fails_when_attempts_time_out() {
    let mut balancer = TestBalancer::with_servers(settings(), 4);
    balancer.request(1, IDEMPOTENT);
    let mut answers = Vec::new();
    for attempt in 0..3 {
        answers.extend(balancer.end_attempt(1, attempt, AttemptOutcome::TimedOut));
        answers.extend(balancer.advance(600 * MS));
    }
    assert!(is_failed(&answers, 1) && !is_rejected(&answers, 1));
}

#[test]
fn keyed_retry_stays_in_scope_and_window() {
    for class in [KEYED_ZONE, KEYED_CELL] {
        for seed in 0..20 {
            let mut balancer = TestBalancer::with_servers(settings(), 6);
            let first = attempted_servers(&balancer.request(seed, class))[0];
            balancer.end_attempt(seed, 0, AttemptOutcome::Reset);
            for next in attempted_servers(&balancer.advance(SECOND)) {
                let (first_entry, next_entry) = (entry(first.0), entry(next.0));
                let is_in_scope = if class == KEYED_ZONE {
                    first_entry.zone == next_entry.zone
                } else {
                    first_entry.cell == next_entry.cell
                };
                assert!(
                    is_in_scope,
                    "class {class}: retried on {next:?} after {first:?}"
                );
            }
        }
    }
    let mut balancer = TestBalancer::with_servers(settings(), 6);
    balancer.request(1, KEYED_ALL);
    balancer.advance(1100 * MS);
    let mut answers = balancer.end_attempt(1, 0, AttemptOutcome::Reset);
    answers.extend(balancer.advance(2 * SECOND));
    assert!(
        attempted_servers(&answers).is_empty(),
        "the idempotency window is over"
    );
    assert!(is_failed(&answers, 1));
}

#[test]
fn keyed_retry_begins_within_the_window() {
    let window = SECOND;
    for class in [KEYED_ZONE, KEYED_CELL, KEYED_ALL] {
        let mut balancer = TestBalancer::with_servers(settings(), 6);
        let sent_at = balancer.now;
        let first = balancer.request(1, class);
        assert_eq!(
            begin_spans(&first),
            [2 * SECOND],
            "a first attempt may begin until the deadline"
        );
        balancer.advance(700 * MS);
        balancer.end_attempt(1, 0, AttemptOutcome::Reset);
        let mut spans = Vec::new();
        while spans.is_empty() && balancer.now < sent_at + window {
            spans = begin_spans(&balancer.advance(MS));
        }
        // There is no retry if the backoff drawn outlasts the window. It began within the last
        // millisecond.
        for span in spans {
            assert!(
                balancer.now - MS + span <= sent_at + window,
                "a retry {} after the first attempt may begin within {span}",
                balancer.now - sent_at
            );
        }
    }
}

#[test]
fn keyed_request_fails_after_its_window() {
    let mut balancer = TestBalancer::with_servers(settings(), 6);
    balancer.request(1, KEYED_ALL);
    balancer.advance(1100 * MS);
    assert!(is_failed(
        &balancer.end_attempt(1, 0, AttemptOutcome::Reset),
        1
    ));
}

#[test]
fn unsent_attempt_is_placed_again_without_backoff() {
    for class in [IDEMPOTENT, NON_IDEMPOTENT, KEYED_CELL] {
        let mut balancer = TestBalancer::with_servers(settings(), 3);
        let first = attempted_servers(&balancer.request(1, class))[0];
        balancer.update_list(
            ListUpdate::Delta,
            vec![ServerEntry {
                state: ServerState::Draining,
                ..entry(first.0)
            }],
        );
        let next = attempted_servers(&balancer.end_attempt(1, 0, AttemptOutcome::NotSent));
        assert_eq!(next.len(), 1, "class {class}");
        assert_ne!(next[0], first);
    }
}

#[test]
fn unsent_attempts_count_against_the_attempt_limit() {
    let mut balancer = TestBalancer::with_servers(settings(), 3);
    balancer.request(1, NON_IDEMPOTENT);
    assert_eq!(
        attempted_servers(&balancer.end_attempt(1, 0, AttemptOutcome::NotSent)).len(),
        1
    );
    assert_eq!(
        attempted_servers(&balancer.end_attempt(1, 1, AttemptOutcome::NotSent)).len(),
        1
    );
    assert!(is_rejected(
        &balancer.end_attempt(1, 2, AttemptOutcome::NotSent),
        1
    ));
}

#[test]
fn established_connection_is_never_retried() {
    let mut balancer = TestBalancer::with_servers(settings(), 3);
    balancer.request(1, IDEMPOTENT);
    balancer.establish(1, 0);
    assert!(balancer.close(1, 0, AttemptOutcome::Reset).is_empty());
    assert!(balancer.advance(5 * SECOND).is_empty());
}

#[test]
fn request_is_rejected_when_backoff_outlasts_deadline() {
    let mut balancer = TestBalancer::with_servers(settings(), 3);
    let mut connect = connect_request(1, IDEMPOTENT, balancer.now);
    connect.deadline_at = balancer.now + 400 * MS;
    balancer.handle(Event::ConnectRequested(connect));
    balancer.now += 400 * MS - 1;
    assert!(is_rejected(
        &balancer.end_attempt(1, 0, AttemptOutcome::Rejected),
        1
    ));
}

#[test]
fn request_without_servers_is_rejected() {
    let mut balancer = TestBalancer::with_servers(settings(), 0);
    let mut answers = balancer.request(1, IDEMPOTENT);
    answers.extend(balancer.advance(2 * SECOND));
    assert!(is_rejected(&answers, 1));
    assert!(attempted_servers(&answers).is_empty());
}

#[test]
fn departed_client_gets_no_further_action() {
    let mut balancer = TestBalancer::with_servers(settings(), 3);
    balancer.request(1, IDEMPOTENT);
    balancer.end_attempt(1, 0, AttemptOutcome::Rejected);
    balancer.handle(Event::ClientLeft(RequestId(1)));
    assert!(balancer.advance(5 * SECOND).is_empty());
}

#[test]
fn server_draining_during_backoff_gets_no_retry() {
    let mut balancer = TestBalancer::with_servers(settings(), 2);
    let first = attempted_servers(&balancer.request(1, IDEMPOTENT))[0];
    balancer.end_attempt(1, 0, AttemptOutcome::Rejected);
    let other = entry(1 - first.0);
    balancer.update_list(
        ListUpdate::Delta,
        vec![ServerEntry {
            state: ServerState::Draining,
            ..other.clone()
        }],
    );
    for server in attempted_servers(&balancer.advance(2 * SECOND)) {
        assert_ne!(server, other.server);
    }
}

#[test]
fn retry_skips_failed_server_when_next() {
    let mut balancer = TestBalancer::with_servers(settings(), 2);
    for round in 0..60 {
        let id = 100 * round;
        let first = attempted_servers(&balancer.request(id, IDEMPOTENT))[0];
        balancer.end_attempt(id, 0, AttemptOutcome::Rejected);
        for other in id + 1..id + 25 {
            let mut actions = balancer.advance(10 * MS);
            actions.retain(
                |action| matches!(action, Action::StartAttempt { request, .. } if request.0 == id),
            );
            assert!(
                !attempted_servers(&actions).contains(&first),
                "round {round}: the retry went to the server that had rejected the request"
            );
            balancer.request(other, IDEMPOTENT);
            balancer.close(other, 0, AttemptOutcome::Served);
        }
        balancer.close(id, 1, AttemptOutcome::Served);
        balancer.advance(5 * SECOND);
    }
}

#[test]
fn failures_of_a_client_expire() {
    let mut balancer = TestBalancer::with_servers(settings(), 4);
    for round in 0..40 {
        let timers_before = balancer.timers.len();
        for index in 0..3 {
            let client = ConnectRequest {
                client_key: Some(ClientKey(5)),
                ..connect_request(10 * round + index, IDEMPOTENT, balancer.now)
            };
            balancer.handle(Event::ConnectRequested(client));
            let timers = balancer.timers.len();
            balancer.end_attempt(10 * round + index, 0, AttemptOutcome::Rejected);
            let wait = balancer
                .timers
                .get(timers)
                .map_or(0, |(fires_at, _)| fires_at - balancer.now);
            assert!(
                index > 0 || wait <= 200 * MS,
                "round {round}: the first backoff of {wait} counts expired failures"
            );
            balancer.handle(Event::ClientLeft(RequestId(10 * round + index)));
        }
        assert!(balancer.timers.len() > timers_before);
        balancer.advance(15 * SECOND);
    }
}

#[test]
fn concurrency_limit_follows_failures_and_successes() {
    let mut balancer = TestBalancer::with_servers(settings(), 4);
    let started: Vec<u64> = (0..100)
        .filter(|id| !attempted_servers(&balancer.request(*id, IDEMPOTENT)).is_empty())
        .collect();
    assert!(
        (2..50).contains(&started.len()),
        "{} attempts started at once",
        started.len()
    );
    // The failures are spaced so that each lowers the limit. Queued requests are placed as attempts
    // end, but fewer at a time.
    let mut in_flight = started.len();
    for id in &started {
        balancer.advance(160 * MS);
        let placed = attempted_servers(&balancer.end_attempt(*id, 0, AttemptOutcome::ServerError));
        in_flight = in_flight - 1 + placed.len();
    }
    assert!(
        in_flight * 3 <= started.len(),
        "{in_flight} of {} attempts are still in flight",
        started.len()
    );
    let mut fresh = TestBalancer::with_servers(settings(), 4);
    let initial = (0..100)
        .filter(|id| !attempted_servers(&fresh.request(*id, IDEMPOTENT)).is_empty())
        .count() as u64;
    let placed: usize = (0..initial)
        .map(|id| attempted_servers(&fresh.establish(id, 0)).len())
        .sum();
    assert!(
        placed as u64 > initial,
        "{placed} attempts placed after {initial} successes"
    );
}
