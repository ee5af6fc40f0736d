//! Settings and input that no deployment of today has.

mod common;

use beaconflow_policy::*;
use common::*;

#[test]
fn log_lines_come_in_trouble_alone_and_at_a_bounded_rate() {
    let mut gateway = Gateway::with_servers(settings(), 2);
    assert!(gateway.pass(60 * SECOND).is_empty(), "nothing to say");
    let mut lines = 0;
    for id in 0..60 {
        gateway.arrive(id, SAFE);
        gateway.end(id, 0, AttemptOutcome::ConnectFailed);
        let logged = gateway.pass(SECOND);
        lines += logged
            .iter()
            .filter(|action| matches!(action, Action::LogOverload(_)))
            .count();
    }
    assert!((1..=6).contains(&lines), "{lines} lines in a minute");
}

#[test]
fn events_for_what_is_unknown_or_over_do_nothing() {
    let mut gateway = Gateway::with_servers(settings(), 2);
    let request = RequestId(99);
    let load = ConnectionMetric::Load(f64::NAN);
    let elapsed = MS;
    let events = [
        Event::AttemptEstablished {
            request,
            attempt: 0,
        },
        Event::ConnectionMeasured {
            request,
            attempt: u32::MAX,
            metric: load,
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
        assert!(gateway.tell(event).is_empty());
    }
    gateway.arrive(1, SAFE);
    assert!(
        gateway
            .tell(Event::ConnectRequested(arrival(1, SAFE, gateway.now)))
            .is_empty(),
        "the same id twice"
    );
    assert!(
        gateway.end(1, 7, AttemptOutcome::Reset).is_empty(),
        "an attempt that was never made"
    );
    let odd = ConnectRequest {
        class: ClassId(50),
        ..arrival(2, SAFE, gateway.now)
    };
    assert!(failed(&gateway.tell(Event::ConnectRequested(odd)), 2));
}

#[test]
fn a_connection_on_a_server_that_was_never_listed_is_harmless() {
    let mut gateway = Gateway::with_servers(settings(), 2);
    let request = arrival(1, SAFE, gateway.now);
    gateway.tell(Event::ConnectionAdopted {
        request,
        server: ServerId(40),
    });
    gateway.note(1, ConnectionMetric::MessageLatency(SECOND));
    assert!(gateway.close(1, 0, AttemptOutcome::Reset).is_empty());
    assert_eq!(attempts(&gateway.arrive(2, SAFE)).len(), 1);
}

#[test]
fn answers_that_do_not_stream_end_served_and_free_their_server() {
    let mut gateway = Gateway::with_servers(settings(), 2);
    for id in 0..50 {
        assert_eq!(attempts(&gateway.arrive(id, UNSAFE)).len(), 1);
        assert!(gateway.close(id, 0, AttemptOutcome::Served).is_empty());
    }
}

#[test]
fn without_keys_the_wait_hangs_on_the_requests_own_failures() {
    let mut gateway = Gateway::with_servers(settings(), 5);
    let mut longest = [0; 2];
    for id in 0..200 {
        let keyless = ConnectRequest {
            client_key: None,
            ..arrival(id, SAFE, gateway.now)
        };
        gateway.tell(Event::ConnectRequested(keyless));
        for (attempt, longest) in longest.iter_mut().enumerate() {
            let known = gateway.timers.len();
            gateway.end(
                id,
                u32::try_from(attempt).expect("small"),
                AttemptOutcome::Rejected,
            );
            if let Some((due, _)) = gateway.timers.get(known) {
                *longest = (*longest).max(due - gateway.now);
            }
            gateway.pass(500 * MS);
        }
        gateway.tell(Event::ClientLeft(RequestId(id)));
    }
    assert!(
        longest[0] <= 200 * MS && longest[1] > 200 * MS,
        "{longest:?}"
    );
}

#[test]
fn settings_at_their_extremes_do_not_overflow() {
    let mut wide = settings();
    wide.limits.connect_timeout = Nanos::MAX;
    wide.limits.max_retry_after = Nanos::MAX;
    for class in &mut wide.classes {
        (class.latency_objective, class.deadline) = (Nanos::MAX, Nanos::MAX);
    }
    let mut gateway = Gateway::with_servers(wide, 2);
    gateway.arrive(1, SAFE);
    gateway.end(1, 0, AttemptOutcome::Rejected);
    gateway.pass(3 * SECOND);
    gateway.list(ListUpdate::Failed(0), Vec::new());
}
