//! Processes on their way from dark to serving: who went dark, what PING says meanwhile, and at which pace clients return.

mod support;

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use support::fleet::*;
use support::*;

/// Processes that started within this of each other count as started together.
const TOGETHER: Duration = Duration::from_secs(30);
/// One that heard nothing for so long was stopped.
const STOPPED: Duration = Duration::from_secs(5);

/// A list of servers that have started just now.
fn cold(servers: usize) -> (String, std::sync::mpsc::Receiver<(usize, String)>) {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .expect("after 1970")
        .as_millis();
    let (told, openings) = std::sync::mpsc::channel();
    let row = |number: usize| {
        let server = listener();
        let at = server.local_addr().expect("bound");
        spawn_server(number, server, told.clone());
        format!(
            r#"{{"instanceId":"s{number}","hostPort":"{at}","zone":"a","lifecycle":"SERVING","weight":1.0,"startedAtMs":{now}}}"#
        )
    };
    let rows: Vec<String> = (0..servers).map(row).collect();
    (
        format!(
            r#"{{"generation":1,"reset":true,"instances":[{}]}}"#,
            rows.join(",")
        ),
        openings,
    )
}

#[test]
fn after_a_power_loss_clients_return_by_turns_and_each_is_told_when_to_come_again() {
    let (known, openings) = cold(2);
    let fleet = Fleet::with_endpoints(1, &known, openings);
    let process = fleet.start_process(
        0,
        &fleet.operator_sections_with(0, "borne = 20\nclients = 12", ""),
    );
    process.program.wait_for_log("step=StagedAdmission");
    process.program.wait_for_log("to=serving");
    let mut waits: Vec<(usize, Instant)> = (0..CLIENT_COUNT)
        .map(|number| (number, Instant::now()))
        .collect();
    let (mut stand, until) = (Vec::new(), Instant::now() + 6 * TEST_TIMEOUT);
    while let Some(place) = (0..waits.len()).min_by_key(|place| waits[*place].1) {
        let (number, at) = waits.swap_remove(place);
        assert!(
            Instant::now() < until,
            "{} of {CLIENT_COUNT} stand",
            stand.len()
        );
        std::thread::sleep(at.saturating_duration_since(Instant::now()));
        let mut client = Peer::connect(process.address);
        client.send(&format!(
            "OPEN a{number} k{number} c=chat,t=acme,d=2500\r\n"
        ));
        match client.read_line().expect("an answer").split_once(' ') {
            Some(("UP", _)) => stand.push(client),
            Some(("BUSY", after)) => {
                let after = Duration::from_millis(after.parse().expect("a span"));
                assert!(
                    after <= Duration::from_secs(2),
                    "longer than a client follows: {after:?}"
                );
                waits.push((number, Instant::now() + after));
            }
            other => panic!("{other:?}"),
        }
    }
    // The module has a bound of its own for cold servers: what counts is who was told by turns.
    let shown = process.api.call("GET", "/v1/farm", "").body["fleet"].clone();
    assert!(shown["deferred"].as_u64() >= Some(3), "{shown}");
}

#[test]
fn a_process_that_was_stopped_says_no_until_it_has_asked_what_happened() {
    let fleet = Fleet::start(1, 1);
    let process = fleet.start_process(0, &fleet.operator_sections(0, ""));
    process.program.wait_for_log("to=serving");
    process.program.signal("STOP");
    std::thread::sleep(STOPPED + Duration::from_secs(1));
    process.program.signal("CONT");
    process.program.wait_for_log("step=Resumed");
    process.program.wait_for_log("to=starting");
    process.program.wait_for_log("to=serving");
}

#[test]
fn a_lone_restart_and_a_power_loss_are_told_apart() {
    let fleet = Fleet::start(3, 1);
    let begun = Instant::now();
    let start = |number| fleet.start_process(number, &fleet.operator_sections(number, ""));
    let mut all: Vec<Process> = (0..3).map(start).collect();
    for process in &all {
        process.program.wait_for_log("to=serving");
        process.wait_for_fleet_field("processes", 3);
    }
    std::thread::sleep((TOGETHER + Duration::from_secs(2)).saturating_sub(begun.elapsed()));
    all[0].program.kill();
    all[0] = start(0);
    let said = all[0].program.wait_for_log("extent of the outage");
    assert!(said.contains("scope=alone"), "{said}");
    all[0].program.wait_for_log("to=serving");
    all.iter_mut().for_each(|process| process.program.kill());
    let all: Vec<Process> = (0..3).map(start).collect();
    for process in &all {
        let said = process.program.wait_for_log("extent of the outage");
        assert!(said.contains("scope=fleet"), "{said}");
        process.program.wait_for_log("to=serving");
    }
}

#[test]
fn drains_hold_against_a_discovery_that_lost_its_state_while_the_program_ran_and_while_it_was_dark()
{
    let fleet = Fleet::start(1, 2);
    let known: serde_json::Value = serde_json::from_str(&fleet.known_endpoints).expect("JSON");
    let address = |number: usize| {
        known["instances"][number]["hostPort"]
            .as_str()
            .expect("text")
            .parse()
    };
    let (s0, s1) = (
        address(0).expect("an address"),
        address(1).expect("an address"),
    );
    let (both, drains) = (
        [("s0", s0, "SERVING"), ("s1", s1, "SERVING")],
        [("s1", s1, "DRAINING")],
    );
    let is_held = |farm: &serde_json::Value| {
        let server = &farm["servers"][1];
        server["effective"]["state"] == "out"
            && server["why"].to_string().contains("it drained when")
    };
    let mut process = fleet.start_process(0, &fleet.operator_sections(0, ""));
    let mut watch = fleet.discovery.accept_watch();
    send_endpoints(&mut watch, 5, true, &both);
    send_endpoints(&mut watch, 6, false, &drains);
    process.program.wait_for_log("to=serving");
    process.wait_for_farm("draining", TEST_TIMEOUT, |farm| {
        farm["servers"][1]["effective"]["state"] == "draining"
    });
    // Discovery is begun anew, counts from one, and has forgotten the drain.
    send_endpoints(&mut watch, 1, true, &both);
    process.wait_for_farm("held", TEST_TIMEOUT, is_held);
    // It hears of the drain again, and of its end: that is its own word.
    send_endpoints(&mut watch, 2, false, &drains);
    process.wait_for_farm("draining", TEST_TIMEOUT, |farm| {
        farm["servers"][1]["effective"]["state"] == "draining"
    });
    send_endpoints(&mut watch, 3, false, &both[1..]);
    process.wait_for_farm("ready", TEST_TIMEOUT, |farm| {
        farm["servers"][1]["effective"]["state"] == "ready"
    });
    send_endpoints(&mut watch, 4, false, &drains);
    process.wait_for_farm("draining", TEST_TIMEOUT, |farm| {
        farm["servers"][1]["effective"]["state"] == "draining"
    });
    process.program.signal("TERM");
    assert!(process.program.exits_cleanly());
    // One that kept its state says that the drain is over.
    let mut process = fleet.start_process(0, &fleet.operator_sections(0, ""));
    process.wait_for_farm("held by memory alone", TEST_TIMEOUT, is_held);
    let mut watch = fleet.discovery.accept_watch();
    send_endpoints(&mut watch, 5, true, &both);
    process.wait_for_farm("ready", TEST_TIMEOUT, |farm| {
        farm["servers"][1]["effective"]["state"] == "ready"
    });
    send_endpoints(&mut watch, 6, false, &drains);
    process.wait_for_farm("draining", TEST_TIMEOUT, |farm| {
        farm["servers"][1]["effective"]["state"] == "draining"
    });
    process.program.signal("TERM");
    assert!(process.program.exits_cleanly());
    let process = fleet.start_process(0, &fleet.operator_sections(0, ""));
    process.wait_for_farm("held by memory alone", TEST_TIMEOUT, is_held);
    let mut watch = fleet.discovery.accept_watch();
    send_endpoints(&mut watch, 1, true, &both);
    process.program.wait_for_log("discovery lost its state");
    process.wait_for_farm("held", TEST_TIMEOUT, is_held);
    send_endpoints(&mut watch, 2, false, &drains);
    process.wait_for_farm("draining", TEST_TIMEOUT, |farm| {
        farm["servers"][1]["effective"]["state"] == "draining"
    });
}
