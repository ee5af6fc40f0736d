//! The checker: each rule is broken once, and each excuse excuses.

use std::time::Duration;

use beaconflow_fault_injection::{
    ClientDid, Did, Direction, Fault, Record, Row, Rule, Rules, ServerDid, What,
};

const SECOND: Duration = Duration::from_secs(1);

fn client(did: ClientDid) -> What {
    What::Client {
        client: "k".into(),
        id: "1".into(),
        process: "b0".into(),
        did,
    }
}

fn attempt(number: u64, server: &str, begun: Duration) -> What {
    What::Attempt {
        number,
        balancer: "b0".into(),
        server: server.into(),
        id: "1".into(),
        begun,
    }
}

fn over(number: u64, how: &str) -> What {
    What::AttemptOver {
        number,
        how: how.into(),
    }
}

fn told(lifecycle: &str) -> What {
    let row = Row {
        server: "s0".into(),
        lifecycle: lifecycle.into(),
        started_at_ms: 0,
    };
    What::Told {
        balancer: "b0".into(),
        generation: 2,
        reset: false,
        rows: vec![row],
    }
}

fn link(fault: Fault) -> What {
    What::Link {
        link: "clients>b0".into(),
        near: "clients".into(),
        far: "b0".into(),
        fault,
    }
}

fn process(did: Did) -> What {
    What::Process {
        process: "b0".into(),
        did,
    }
}

fn server(did: ServerDid) -> What {
    What::Server {
        server: "s0".into(),
        did,
    }
}

/// The rules that a story breaks, which is told as moments in milliseconds.
fn broken(story: &[(u64, What)]) -> Vec<Rule> {
    let record = Record::default();
    // Out of order, as logs come in.
    for (at, what) in story.iter().rev() {
        record.note_at(Duration::from_millis(*at), what.clone());
    }
    Rules::default()
        .check(&record, 7)
        .breaches
        .iter()
        .map(|breach| breach.rule)
        .collect()
}

#[test]
fn an_answer_has_to_come_once_and_in_time() {
    let asked = || (0, client(ClientDid::Asked(2 * SECOND)));
    let answer = |at| (at, client(ClientDid::Answered("BUSY 5".into())));
    assert_eq!(broken(&[asked(), answer(2_540)]), []);
    assert_eq!(broken(&[asked(), answer(2_560)]), [Rule::Answer]);
    assert_eq!(broken(&[asked(), answer(10), answer(20)]), [Rule::Answer]);
    assert_eq!(
        broken(&[asked(), (9, client(ClientDid::Ended(true)))]),
        [Rule::Answer]
    );
    assert_eq!(
        broken(&[asked(), (4_000, client(ClientDid::Left))]),
        [Rule::Answer]
    );
    assert_eq!(broken(&[asked(), (1_000, client(ClientDid::Left))]), []);
    assert_eq!(
        broken(&[asked(), (4_000, What::Step("and so on".into()))]),
        [Rule::Answer]
    );
    let ended = (9, client(ClientDid::Ended(false)));
    assert_eq!(
        broken(&[asked(), (5, process(Did::Killed)), ended.clone()]),
        []
    );
    assert_eq!(
        broken(&[
            (0, link(Fault::Cut(Direction::Both))),
            asked(),
            ended.clone()
        ]),
        []
    );
    let healed = [
        (0, link(Fault::Reset)),
        (5_000, client(ClientDid::Asked(SECOND))),
    ];
    assert_eq!(
        broken(&[&healed[..], &[(5_001, ended.1)]].concat()),
        [Rule::Answer]
    );
}

#[test]
fn attempts_of_one_request_do_not_overlap() {
    let first = || (1, attempt(1, "s0", Duration::ZERO));
    let second = |at| (at, attempt(2, "s1", Duration::ZERO));
    assert_eq!(broken(&[first(), (5, over(1, "BUSY")), second(6)]), []);
    assert_eq!(
        broken(&[first(), second(6), (7, over(1, "BUSY"))]),
        [Rule::Overlap]
    );
    assert_eq!(
        broken(&[first(), (5, over(1, "UP s0.0.1")), second(6)]),
        [Rule::Overlap]
    );
}

#[test]
fn nothing_new_goes_to_a_server_after_the_grace() {
    let send = |begun| (begun + 1, attempt(1, "s0", Duration::from_millis(begun)));
    assert_eq!(broken(&[(0, told("DRAINING")), send(1_040)]), []);
    assert_eq!(broken(&[(0, told("DRAINING")), send(1_060)]), [Rule::Drain]);
    assert_eq!(
        broken(&[(0, told("DELETED")), (500, told("SERVING")), send(2_000)]),
        []
    );
    assert_eq!(
        broken(&[(0, told("DRAINING")), (500, told("DRAINING")), send(1_100)]),
        [Rule::Drain]
    );
    assert_eq!(
        broken(&[
            (0, told("DRAINING")),
            (9, process(Did::Started)),
            send(2_000)
        ]),
        []
    );
}

#[test]
fn nobody_is_cut_off_or_kept_waiting_while_the_server_answers() {
    let stands = || (0, client(ClientDid::Stands("s0".into())));
    let ended = |at| (at, client(ClientDid::Ended(true)));
    assert_eq!(broken(&[stands(), ended(100)]), [Rule::CutOff]);
    assert_eq!(
        broken(&[stands(), (99, client(ClientDid::Moved)), ended(100)]),
        []
    );
    assert_eq!(
        broken(&[stands(), (1, server(ServerDid::Killed)), ended(100)]),
        []
    );
    let recovered = [
        stands(),
        (1, server(ServerDid::Hangs)),
        (2, server(ServerDid::Recovers)),
        ended(9_000),
    ];
    assert_eq!(broken(&recovered), [Rule::CutOff]);
    let late = |at| (at, client(ClientDid::Heard(2 * SECOND)));
    assert_eq!(broken(&[stands(), late(9_000)]), [Rule::Line]);
    assert_eq!(
        broken(&[stands(), (7_500, server(ServerDid::Hangs)), late(9_000)]),
        []
    );
    assert_eq!(
        broken(&[stands(), (8_000, process(Did::Stopped)), late(9_000)]),
        []
    );
}

#[test]
fn a_tipped_server_and_a_crash_are_named() {
    assert_eq!(
        broken(&[(1, server(ServerDid::Tipped { came: 9, bears: 8 }))]),
        [Rule::Cold]
    );
    assert_eq!(broken(&[(1, process(Did::Ended(false)))]), [Rule::Crash]);
    let line = serde_json::json!({"message": "connection panicked"});
    assert_eq!(
        broken(&[(
            1,
            What::Log {
                process: "b0".into(),
                line
            }
        )]),
        [Rule::Crash]
    );
}
