//! The checker: reports a violation of each rule, and none where a fault excuses it.

use std::time::Duration;

use beaconflow_fault_injection::{
    ClientEvent, Direction, EventKind, Fault, ListRow, ProcessEvent, Record, Rule, Rules,
    ServerEvent,
};

const SECOND: Duration = Duration::from_secs(1);

fn client(event: ClientEvent) -> EventKind {
    EventKind::Client {
        client: "k".into(),
        id: "1".into(),
        process: "b0".into(),
        event,
    }
}

fn attempt(number: u64, server: &str, started_at: Duration) -> EventKind {
    EventKind::Attempt {
        number,
        balancer: "b0".into(),
        server: server.into(),
        id: "1".into(),
        started_at,
    }
}

fn attempt_ended(number: u64, outcome: &str) -> EventKind {
    EventKind::AttemptEnded {
        number,
        outcome: outcome.into(),
    }
}

fn list_sent(lifecycle: &str) -> EventKind {
    let row = ListRow {
        server: "s0".into(),
        lifecycle: lifecycle.into(),
        started_at_ms: 0,
    };
    EventKind::EndpointListSent {
        balancer: "b0".into(),
        generation: 2,
        reset: false,
        rows: vec![row],
    }
}

fn link(fault: Fault) -> EventKind {
    EventKind::Link {
        link: "clients>b0".into(),
        near: "clients".into(),
        far: "b0".into(),
        fault,
    }
}

fn process(event: ProcessEvent) -> EventKind {
    EventKind::Process {
        process: "b0".into(),
        event,
    }
}

fn server(event: ServerEvent) -> EventKind {
    EventKind::Server {
        server: "s0".into(),
        event,
    }
}

/// The rules that a sequence of events violates; times are in milliseconds.
fn violated_rules(events: &[(u64, EventKind)]) -> Vec<Rule> {
    let record = Record::default();
    // Events are appended out of order, as log lines are.
    for (at, kind) in events.iter().rev() {
        record.append_at(Duration::from_millis(*at), kind.clone());
    }
    Rules::default()
        .check(&record, 7)
        .violations
        .iter()
        .map(|violation| violation.rule)
        .collect()
}

#[test]
fn requires_one_timely_answer() {
    let request_sent = || (0, client(ClientEvent::RequestSent(2 * SECOND)));
    let answer = |at| (at, client(ClientEvent::Answered("BUSY 5".into())));
    assert_eq!(violated_rules(&[request_sent(), answer(2_540)]), []);
    assert_eq!(
        violated_rules(&[request_sent(), answer(2_560)]),
        [Rule::TimelyAnswer]
    );
    assert_eq!(
        violated_rules(&[request_sent(), answer(10), answer(20)]),
        [Rule::TimelyAnswer]
    );
    assert_eq!(
        violated_rules(&[request_sent(), (9, client(ClientEvent::Disconnected(true)))]),
        [Rule::TimelyAnswer]
    );
    assert_eq!(
        violated_rules(&[request_sent(), (4_000, client(ClientEvent::Closed))]),
        [Rule::TimelyAnswer]
    );
    assert_eq!(
        violated_rules(&[request_sent(), (1_000, client(ClientEvent::Closed))]),
        []
    );
    assert_eq!(
        violated_rules(&[request_sent(), (4_000, EventKind::Step("next step".into()))]),
        [Rule::TimelyAnswer]
    );
    let disconnected = (9, client(ClientEvent::Disconnected(false)));
    assert_eq!(
        violated_rules(&[
            request_sent(),
            (5, process(ProcessEvent::Killed)),
            disconnected.clone()
        ]),
        []
    );
    assert_eq!(
        violated_rules(&[
            (0, link(Fault::Partition(Direction::Both))),
            request_sent(),
            disconnected.clone()
        ]),
        []
    );
    let healed = [
        (0, link(Fault::Reset)),
        (5_000, client(ClientEvent::RequestSent(SECOND))),
    ];
    assert_eq!(
        violated_rules(&[&healed[..], &[(5_001, disconnected.1)]].concat()),
        [Rule::TimelyAnswer]
    );
}

#[test]
fn rejects_overlapping_attempts_of_one_request() {
    let first = || (1, attempt(1, "s0", Duration::ZERO));
    let second = |at| (at, attempt(2, "s1", Duration::ZERO));
    assert_eq!(
        violated_rules(&[first(), (5, attempt_ended(1, "BUSY")), second(6)]),
        []
    );
    assert_eq!(
        violated_rules(&[first(), second(6), (7, attempt_ended(1, "BUSY"))]),
        [Rule::SingleAttempt]
    );
    assert_eq!(
        violated_rules(&[first(), (5, attempt_ended(1, "UP s0.0.1")), second(6)]),
        [Rule::SingleAttempt]
    );
}

#[test]
fn rejects_sends_to_draining_server_after_grace() {
    let send = |started_at| {
        (
            started_at + 1,
            attempt(1, "s0", Duration::from_millis(started_at)),
        )
    };
    assert_eq!(
        violated_rules(&[(0, list_sent("DRAINING")), send(1_040)]),
        []
    );
    assert_eq!(
        violated_rules(&[(0, list_sent("DRAINING")), send(1_060)]),
        [Rule::DrainGrace]
    );
    assert_eq!(
        violated_rules(&[
            (0, list_sent("DELETED")),
            (500, list_sent("SERVING")),
            send(2_000)
        ]),
        []
    );
    assert_eq!(
        violated_rules(&[
            (0, list_sent("DRAINING")),
            (500, list_sent("DRAINING")),
            send(1_100)
        ]),
        [Rule::DrainGrace]
    );
    assert_eq!(
        violated_rules(&[
            (0, list_sent("DRAINING")),
            (9, process(ProcessEvent::Started)),
            send(2_000)
        ]),
        []
    );
}

#[test]
fn reports_disconnects_and_slow_lines_unless_excused() {
    let established = || (0, client(ClientEvent::Established("s0".into())));
    let disconnected = |at| (at, client(ClientEvent::Disconnected(true)));
    assert_eq!(
        violated_rules(&[established(), disconnected(100)]),
        [Rule::MoveBeforeDisconnect]
    );
    assert_eq!(
        violated_rules(&[
            established(),
            (99, client(ClientEvent::MoveReceived)),
            disconnected(100)
        ]),
        []
    );
    assert_eq!(
        violated_rules(&[
            established(),
            (1, server(ServerEvent::Killed)),
            disconnected(100)
        ]),
        []
    );
    let recovered = [
        established(),
        (1, server(ServerEvent::Unresponsive)),
        (2, server(ServerEvent::Recovered)),
        disconnected(9_000),
    ];
    assert_eq!(violated_rules(&recovered), [Rule::MoveBeforeDisconnect]);
    let late = |at| (at, client(ClientEvent::LineAnswered(2 * SECOND)));
    assert_eq!(
        violated_rules(&[established(), late(9_000)]),
        [Rule::LineLatency]
    );
    assert_eq!(
        violated_rules(&[
            established(),
            (7_500, server(ServerEvent::Unresponsive)),
            late(9_000)
        ]),
        []
    );
    assert_eq!(
        violated_rules(&[
            established(),
            (8_000, process(ProcessEvent::Paused)),
            late(9_000)
        ]),
        []
    );
}

#[test]
fn reports_overloaded_cold_server_and_failed_process() {
    assert_eq!(
        violated_rules(&[(
            1,
            server(ServerEvent::Overloaded {
                setups: 9,
                limit: 8
            })
        )]),
        [Rule::ColdServerLimit]
    );
    assert_eq!(
        violated_rules(&[(1, process(ProcessEvent::Exited(false)))]),
        [Rule::CleanExit]
    );
    let line = serde_json::json!({"message": "connection panicked"});
    assert_eq!(
        violated_rules(&[(
            1,
            EventKind::Log {
                process: "b0".into(),
                line
            }
        )]),
        [Rule::CleanExit]
    );
}
