//! Events and settings that are valid for the interface but do not occur in deployments.

mod common;

use beaconflow_policy::*;
use common::*;

/// Overload summaries are logged only during overload, and at most once per ten housekeeping periods.
#[test]
fn overload_summaries_are_rare() {
    let mut balancer = TestBalancer::with_servers(settings(), 2);
    assert!(
        balancer.advance(60 * SECOND).is_empty(),
        "there is no overload to report"
    );
    let mut summaries = 0;
    for id in 0..60 {
        balancer.request(id, IDEMPOTENT);
        balancer.end_attempt(id, 0, AttemptOutcome::ConnectFailed);
        let actions = balancer.advance(SECOND);
        summaries += actions
            .iter()
            .filter(|action| matches!(action, Action::LogOverload(_)))
            .count();
    }
    assert!(
        (1..=6).contains(&summaries),
        "{summaries} summaries in a minute"
    );
}

#[test]
fn events_for_unknown_requests_are_ignored() {
    let mut balancer = TestBalancer::with_servers(settings(), 2);
    let request = RequestId(99);
    let invalid_load = ConnectionMetric::Load(f64::NAN);
    let elapsed = MS;
    let events = [
        Event::AttemptEstablished {
            request,
            attempt: 0,
        },
        Event::ConnectionMeasured {
            request,
            attempt: u32::MAX,
            metric: invalid_load,
        },
        Event::AttemptEnded(AttemptEnd {
            request,
            attempt: u32::MAX,
            outcome: AttemptOutcome::Reset,
            elapsed,
            is_final: false,
        }),
        Event::ClientLeft(request),
        Event::TimerFired(TimerId(12_345)),
    ];
    for event in events {
        assert!(balancer.handle(event).is_empty());
    }
    balancer.request(1, IDEMPOTENT);
    assert!(
        balancer
            .handle(Event::ConnectRequested(connect_request(
                1,
                IDEMPOTENT,
                balancer.now
            )))
            .is_empty(),
        "a second request with the same id should be ignored"
    );
    assert!(
        balancer.end_attempt(1, 7, AttemptOutcome::Reset).is_empty(),
        "the end of an attempt that was never started should be ignored"
    );
    let of_unknown_class = ConnectRequest {
        class: ClassId(50),
        ..connect_request(2, IDEMPOTENT, balancer.now)
    };
    assert!(is_failed(
        &balancer.handle(Event::ConnectRequested(of_unknown_class)),
        2
    ));
}

#[test]
fn adopted_connection_on_unlisted_server_is_harmless() {
    let mut balancer = TestBalancer::with_servers(settings(), 2);
    let request = connect_request(1, IDEMPOTENT, balancer.now);
    balancer.handle(Event::ConnectionAdopted {
        request,
        server: ServerId(40),
    });
    balancer.measure(1, ConnectionMetric::MessageLatency(SECOND));
    assert!(balancer.close(1, 0, AttemptOutcome::Reset).is_empty());
    assert_eq!(attempted_servers(&balancer.request(2, IDEMPOTENT)).len(), 1);
}

#[test]
fn served_requests_release_their_servers() {
    let mut balancer = TestBalancer::with_servers(settings(), 2);
    for id in 0..50 {
        assert_eq!(
            attempted_servers(&balancer.request(id, NON_IDEMPOTENT)).len(),
            1
        );
        assert!(balancer.close(id, 0, AttemptOutcome::Served).is_empty());
    }
}

#[test]
fn backoff_without_client_key_follows_own_attempts() {
    let mut balancer = TestBalancer::with_servers(settings(), 5);
    let mut longest_backoffs = [0; 2];
    for id in 0..200 {
        let keyless = ConnectRequest {
            client_key: None,
            ..connect_request(id, IDEMPOTENT, balancer.now)
        };
        balancer.handle(Event::ConnectRequested(keyless));
        for (attempt, longest_backoff) in longest_backoffs.iter_mut().enumerate() {
            let timer_count = balancer.timers.len();
            balancer.end_attempt(
                id,
                u32::try_from(attempt).expect("the attempt index fits into 32 bits"),
                AttemptOutcome::Rejected,
            );
            if let Some((fires_at, _)) = balancer.timers.get(timer_count) {
                *longest_backoff = (*longest_backoff).max(fires_at - balancer.now);
            }
            balancer.advance(500 * MS);
        }
        balancer.handle(Event::ClientLeft(RequestId(id)));
    }
    assert!(
        longest_backoffs[0] <= 125 * MS && longest_backoffs[1] > 125 * MS,
        "longest backoffs after one and two failures: {longest_backoffs:?}"
    );
}

#[test]
fn settings_at_their_extremes_do_not_overflow() {
    let mut settings = settings();
    settings.limits.connect_timeout = Nanos::MAX;
    settings.limits.max_retry_after = Nanos::MAX;
    for class in &mut settings.classes {
        class.deadline = Nanos::MAX;
    }
    let mut balancer = TestBalancer::with_servers(settings, 2);
    balancer.request(1, IDEMPOTENT);
    balancer.end_attempt(1, 0, AttemptOutcome::Rejected);
    balancer.advance(3 * SECOND);
    balancer.update_list(ListUpdate::Failed(0), Vec::new());
}
