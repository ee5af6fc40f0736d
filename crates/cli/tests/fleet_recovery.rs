//! Processes that recover from an outage: which processes were affected, how PING is answered meanwhile, and how fast clients
//! return.

mod support;

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use support::fleet::*;
use support::*;

/// Processes whose starts are no further apart than this count as started together.
const SAME_OUTAGE_WINDOW: Duration = Duration::from_secs(30);
/// A process that received nothing for this long counts as having been stopped.
const STALL_THRESHOLD: Duration = Duration::from_secs(5);

/// Starts servers and returns their endpoint list, in which each has just started and is cold.
fn cold_endpoint_list(servers: usize) -> (String, std::sync::mpsc::Receiver<(usize, String)>) {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .expect("clock is after 1970")
        .as_millis();
    let (opening_sender, openings) = std::sync::mpsc::channel();
    let row = |number: usize| {
        let server = listener();
        let at = server
            .local_addr()
            .expect("bound socket has a local address");
        spawn_server(number, server, opening_sender.clone());
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

/// After a power loss, staged admission lets clients return in stages and gives each deferred client a retry delay.
#[test]
fn staged_admission_defers_clients_after_power_loss() {
    let (known_endpoints, openings) = cold_endpoint_list(2);
    let fleet = Fleet::with_endpoints(1, &known_endpoints, openings);
    let process = fleet.start_process(
        0,
        &fleet.operator_sections_with(0, "borne = 20\nclients = 12", ""),
    );
    process.program.wait_for_log("step=StagedAdmission");
    process.program.wait_for_log("to=serving");
    let mut pending: Vec<(usize, Instant)> = (0..CLIENT_COUNT)
        .map(|number| (number, Instant::now()))
        .collect();
    let (mut established, deadline) = (Vec::new(), Instant::now() + 6 * TEST_TIMEOUT);
    while let Some(index) = (0..pending.len()).min_by_key(|index| pending[*index].1) {
        let (number, at) = pending.swap_remove(index);
        assert!(
            Instant::now() < deadline,
            "{} of {CLIENT_COUNT} clients are established",
            established.len()
        );
        std::thread::sleep(at.saturating_duration_since(Instant::now()));
        let mut client = Peer::connect(process.address);
        client.send(&format!(
            "OPEN a{number} k{number} c=chat,t=acme,d=2500\r\n"
        ));
        match client.read_line().expect("an answer line").split_once(' ') {
            Some(("UP", _)) => established.push(client),
            Some(("BUSY", retry_after)) => {
                let retry_after =
                    Duration::from_millis(retry_after.parse().expect("delay is a number"));
                assert!(
                    retry_after <= Duration::from_secs(2),
                    "retry delay exceeds the 2 s that clients honour: {retry_after:?}"
                );
                pending.push((number, Instant::now() + retry_after));
            }
            other => panic!("{other:?}"),
        }
    }
    // The server selection has its own limit for cold servers, so the test counts the clients that staged admission deferred.
    let fleet_status = process.api.call("GET", "/v1/farm", "").body["fleet"].clone();
    assert!(
        fleet_status["deferred"].as_u64() >= Some(3),
        "{fleet_status}"
    );
}

/// A process that was stopped is not serving again until it has determined what happened meanwhile.
#[test]
fn resumed_process_rejects_clients_until_recovery_ends() {
    let fleet = Fleet::start(1, 1);
    let process = fleet.start_process(0, &fleet.operator_sections(0, ""));
    process.program.wait_for_log("to=serving");
    process.program.stop();
    std::thread::sleep(STALL_THRESHOLD + Duration::from_secs(1));
    process.program.signal("CONT");
    process.program.wait_for_log("step=Resumed");
    process.program.wait_for_log("to=starting");
    process.program.wait_for_log("to=serving");
}

#[test]
fn recovery_distinguishes_single_restart_from_power_loss() {
    let fleet = Fleet::start(3, 1);
    let started_at = Instant::now();
    let start = |number| fleet.start_process(number, &fleet.operator_sections(number, ""));
    let mut processes: Vec<Process> = (0..3).map(start).collect();
    for process in &processes {
        process.program.wait_for_log("to=serving");
        process.wait_for_fleet_field("processes", 3);
    }
    std::thread::sleep(
        (SAME_OUTAGE_WINDOW + Duration::from_secs(2)).saturating_sub(started_at.elapsed()),
    );
    processes[0].program.kill();
    processes[0] = start(0);
    let line = processes[0].program.wait_for_log("outage scope decided");
    assert!(line.contains("scope=alone"), "{line}");
    processes[0].program.wait_for_log("to=serving");
    processes
        .iter_mut()
        .for_each(|process| process.program.kill());
    let processes: Vec<Process> = (0..3).map(start).collect();
    for process in &processes {
        let line = process.program.wait_for_log("outage scope decided");
        assert!(line.contains("scope=fleet"), "{line}");
        process.program.wait_for_log("to=serving");
    }
}

/// A drain stays in effect when discovery loses its state, whether the program runs at that time or is down.
#[test]
fn drains_survive_loss_of_discovery_state() {
    let fleet = Fleet::start(1, 2);
    let known_endpoints: serde_json::Value =
        serde_json::from_str(&fleet.known_endpoints).expect("valid JSON");
    let address = |number: usize| {
        known_endpoints["instances"][number]["hostPort"]
            .as_str()
            .expect("hostPort is a string")
            .parse()
    };
    let (s0, s1) = (
        address(0).expect("a socket address"),
        address(1).expect("a socket address"),
    );
    let (both_serving, s1_draining) = (
        [("s0", s0, "SERVING"), ("s1", s1, "SERVING")],
        [("s1", s1, "DRAINING")],
    );
    let is_drain_kept = |farm: &serde_json::Value| {
        let server = &farm["servers"][1];
        server["effective"]["state"] == "out"
            && server["why"]
                .to_string()
                .contains("the server was draining when")
    };
    let mut process = fleet.start_process(0, &fleet.operator_sections(0, ""));
    let mut watch = fleet.discovery.accept_watch();
    send_endpoints(&mut watch, 5, true, &both_serving);
    send_endpoints(&mut watch, 6, false, &s1_draining);
    process.program.wait_for_log("to=serving");
    process.wait_for_farm("draining", TEST_TIMEOUT, |farm| {
        farm["servers"][1]["effective"]["state"] == "draining"
    });
    // Discovery restarts, counts generations from one, and has forgotten the drain.
    send_endpoints(&mut watch, 1, true, &both_serving);
    process.wait_for_farm("kept draining", TEST_TIMEOUT, is_drain_kept);
    // Discovery learns of the drain again and then of its end, which it now reports itself.
    send_endpoints(&mut watch, 2, false, &s1_draining);
    process.wait_for_farm("draining", TEST_TIMEOUT, |farm| {
        farm["servers"][1]["effective"]["state"] == "draining"
    });
    send_endpoints(&mut watch, 3, false, &both_serving[1..]);
    process.wait_for_farm("ready", TEST_TIMEOUT, |farm| {
        farm["servers"][1]["effective"]["state"] == "ready"
    });
    send_endpoints(&mut watch, 4, false, &s1_draining);
    process.wait_for_farm("draining", TEST_TIMEOUT, |farm| {
        farm["servers"][1]["effective"]["state"] == "draining"
    });
    process.program.signal("TERM");
    assert!(process.program.exits_cleanly());
    // A discovery that kept its state reports that the drain is over.
    let mut process = fleet.start_process(0, &fleet.operator_sections(0, ""));
    process.wait_for_farm(
        "kept draining from memory alone",
        TEST_TIMEOUT,
        is_drain_kept,
    );
    let mut watch = fleet.discovery.accept_watch();
    send_endpoints(&mut watch, 5, true, &both_serving);
    process.wait_for_farm("ready", TEST_TIMEOUT, |farm| {
        farm["servers"][1]["effective"]["state"] == "ready"
    });
    send_endpoints(&mut watch, 6, false, &s1_draining);
    process.wait_for_farm("draining", TEST_TIMEOUT, |farm| {
        farm["servers"][1]["effective"]["state"] == "draining"
    });
    process.program.signal("TERM");
    assert!(process.program.exits_cleanly());
    let process = fleet.start_process(0, &fleet.operator_sections(0, ""));
    process.wait_for_farm(
        "kept draining from memory alone",
        TEST_TIMEOUT,
        is_drain_kept,
    );
    let mut watch = fleet.discovery.accept_watch();
    send_endpoints(&mut watch, 1, true, &both_serving);
    process.program.wait_for_log("discovery lost its state");
    process.wait_for_farm("kept draining", TEST_TIMEOUT, is_drain_kept);
    send_endpoints(&mut watch, 2, false, &s1_draining);
    process.wait_for_farm("draining", TEST_TIMEOUT, |farm| {
        farm["servers"][1]["effective"]["state"] == "draining"
    });
}
