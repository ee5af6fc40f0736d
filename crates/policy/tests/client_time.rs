//! Waits, timeouts and limits follow the time that the client has, from its request to its deadline.

mod common;

use beaconflow_policy::Balancer;
use beaconflow_policy::*;
use common::*;

/// The client waits so long.
const SHORT: Nanos = 800 * MS;
const LONG: Nanos = 4 * SHORT;

/// A balancer with four servers and a client that waits so long, after the first events.
fn balancer_with_request(settings: Settings, client_time: Nanos) -> (Balancer, Vec<Action>) {
    let mut balancer = Balancer::new(settings, 11).expect("the settings are in range");
    let mut actions = Vec::new();
    let entries = (0..4).map(entry).collect();
    let update = ListUpdate::Snapshot;
    balancer.handle(SECOND, Event::ServerList { update, entries }, &mut actions);
    actions.clear();
    let request = ConnectRequest {
        deadline_at: SECOND + client_time,
        ..connect_request(1, IDEMPOTENT, SECOND)
    };
    balancer.handle(SECOND, Event::ConnectRequested(request), &mut actions);
    (balancer, actions)
}

/// The actions after the first attempt ended at once.
fn after_first_attempt(
    settings: Settings,
    client_time: Nanos,
    outcome: AttemptOutcome,
) -> Vec<Action> {
    let (mut balancer, mut actions) = balancer_with_request(settings, client_time);
    actions.clear();
    let end = AttemptEnd {
        request: RequestId(1),
        attempt: 0,
        outcome,
        elapsed: 0,
        is_final: false,
    };
    balancer.handle(SECOND, Event::AttemptEnded(end), &mut actions);
    actions
}

/// Asserts that the second span is four times the first, but for rounding.
fn assert_four_times(short: Nanos, long: Nanos) {
    assert!(
        short > 0 && long.abs_diff(4 * short) <= 8,
        "{short} ns and {long} ns"
    );
}

#[test]
fn backoff_follows_the_time_of_the_client() {
    let wait = |client_time| {
        let actions = after_first_attempt(settings(), client_time, AttemptOutcome::ConnectFailed);
        actions.into_iter().find_map(|action| match action {
            Action::SetTimer { after, .. } => Some(after),
            _ => None,
        })
    };
    let waits = [SHORT, LONG].map(|time| wait(time).expect("the request waits"));
    assert_four_times(waits[0], waits[1]);
    assert!(waits[1] <= LONG / 4);
}

#[test]
fn told_wait_follows_the_time_of_the_client() {
    let settings = || {
        let mut settings = settings();
        settings.limits.max_attempts = 1;
        settings.limits.max_retry_after = 10 * SECOND;
        settings
    };
    let retry_after = |client_time| {
        let actions = after_first_attempt(settings(), client_time, AttemptOutcome::ConnectFailed);
        actions.into_iter().find_map(|action| match action {
            Action::Reject { retry_after, .. } => retry_after,
            _ => None,
        })
    };
    let waits = [SHORT, LONG].map(|time| retry_after(time).expect("the request is rejected"));
    assert_four_times(waits[0], waits[1]);
}

#[test]
fn attempt_timeout_follows_the_time_of_the_client() {
    let timeout = |client_time| {
        let mut settings = settings();
        settings.limits.connect_timeout = 10 * MS;
        let (_, actions) = balancer_with_request(settings, client_time);
        actions.into_iter().find_map(|action| match action {
            Action::StartAttempt { timeout, .. } => Some(timeout),
            _ => None,
        })
    };
    let timeouts = [SHORT, LONG].map(|time| timeout(time).expect("an attempt starts"));
    assert_eq!(timeouts, [SHORT / 8, LONG / 8]);
}

/// A set-up that is quick for a patient client took too much of the time of another.
#[test]
fn concurrency_limit_grows_by_the_time_of_the_clients() {
    let attempts_after_setups = |client_time: Nanos| {
        let mut balancer = TestBalancer::with_servers(settings(), 4);
        for id in 0..60 {
            let request = ConnectRequest {
                deadline_at: balancer.now + client_time,
                ..connect_request(id, IDEMPOTENT, balancer.now)
            };
            balancer.handle(Event::ConnectRequested(request));
            balancer.advance(SHORT / 10);
            balancer.establish(id, 0);
        }
        (100..200)
            .filter(|id| !attempted_servers(&balancer.request(*id, IDEMPOTENT)).is_empty())
            .count()
    };
    let (impatient, patient) = (attempts_after_setups(SHORT), attempts_after_setups(LONG));
    assert!(
        impatient < patient,
        "{impatient} and {patient} attempts at once"
    );
}
