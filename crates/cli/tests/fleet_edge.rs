//! An edge site of real processes: what its processes see of servers counts for all of them while the uplink is lost, and
//! nobody is moved when it is back.

mod support;

use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

use support::fleet::*;
use support::*;

/// Longer than it takes until a silent watch and silent peers are known to be lost, and the doubt is over.
const ISOLATION_TIMEOUT: Duration = Duration::from_secs(40);

/// A server that takes every opening and sends its client away once that says so.
fn spawn_draining_server(server: TcpListener) {
    std::thread::spawn(move || {
        while let Ok((stream, _)) = server.accept() {
            std::thread::spawn(move || {
                let mut peer = Peer::new(stream);
                if peer.read_line().is_some() {
                    peer.send("UP r1\r\n");
                }
                while let Some(line) = peer.read_line_or_end() {
                    if line.trim_end() == "leave" {
                        return peer.send("MOVE\r\n");
                    }
                }
            });
        }
    });
}

/// Servers: two that are well, one that drains by its own word, and one that takes no connection.
fn spawn_four_servers() -> Vec<(&'static str, SocketAddr)> {
    let (opening_sender, _) = channel();
    ["s0", "s1", "s2", "s3"]
        .into_iter()
        .map(|name| {
            let server = listener();
            let at = server
                .local_addr()
                .expect("bound socket has a local address");
            match name {
                "s2" => spawn_draining_server(server),
                "s3" => drop(server),
                _ => spawn_server(0, server, opening_sender.clone()),
            }
            (name, at)
        })
        .collect()
}

fn open_client(process: &Process, number: usize) -> (String, Peer) {
    let mut client = Peer::connect(process.address);
    client.send(&format!(
        "OPEN a{number} k{number} c=chat,t=acme,d=2500\r\n"
    ));
    (client.read_line().expect("an answer line"), client)
}

fn effective_state(farm: &serde_json::Value, name: &str) -> (String, String) {
    let server = farm["servers"]
        .as_array()
        .expect("servers is a list")
        .iter()
        .find(|row| row["name"] == name);
    let server = server.expect("server is listed");
    (
        server["effective"]["state"].to_string(),
        server["why"].to_string(),
    )
}

#[test]
fn isolated_site_shares_observed_server_failures() {
    let servers = spawn_four_servers();
    let rows: Vec<(&str, SocketAddr, &str)> = servers
        .iter()
        .map(|(name, at)| (*name, *at, "SERVING"))
        .collect();
    let fleet = Fleet::with_endpoints(3, &endpoint_list(1, true, &rows), channel().1);
    let start = |number, uplink_word: &str| {
        let sections =
            fleet.operator_sections(number, "") + &format!("[edge]\nword = \"{uplink_word}\"\n");
        fleet.start_process(number, &sections)
    };
    let processes: Vec<Process> = (0..3).map(|number| start(number, "island")).collect();
    for process in &processes {
        process.program.wait_for_log("to=serving");
        process.wait_for_fleet_field("processes", 3);
    }
    let (observers, other) = (&processes[..2], &processes[2]);
    // Clients come through two of them until the third knows, which takes none.
    let mut clients = Vec::new();
    let mut wait_until_known = |server: &str, expected: &str| {
        for number in 0.. {
            assert!(number < 400, "the third never knew of {server}");
            let (answer, mut client) = open_client(&observers[number % 2], clients.len());
            assert!(
                answer.starts_with("UP") || answer.starts_with("BUSY"),
                "{answer}"
            );
            if server == "s2" && answer.starts_with("UP") {
                client.send("leave\r\n");
            }
            clients.push(client);
            let (state, why) = effective_state(&other.api.call("GET", "/v1/farm", "").body, server);
            if state.contains("out") {
                assert!(why.contains(expected), "{why}");
                return;
            }
        }
    };
    wait_until_known("s3", "it takes no connection");
    wait_until_known("s2", "drains");
    // What is well stays, and the others' drains were no reason to pass it over.
    let farm = other.api.call("GET", "/v1/farm", "").body;
    for healthy in ["s0", "s1"] {
        assert!(
            effective_state(&farm, healthy).0.contains("ready"),
            "{farm}"
        );
    }
    let line = other.program.wait_for_log("skipped");
    assert!(
        line.contains("server=s3") || line.contains("server=s2"),
        "{line}"
    );
}

#[test]
fn site_isolates_without_uplink_and_rejoins_without_moves() {
    let (opening_sender, openings) = channel();
    let rows: Vec<(String, SocketAddr)> = (0..2)
        .map(|number| {
            let server = listener();
            let at = server
                .local_addr()
                .expect("bound socket has a local address");
            spawn_server(number, server, opening_sender.clone());
            (format!("s{number}"), at)
        })
        .collect();
    let rows: Vec<(&str, SocketAddr, &str)> = rows
        .iter()
        .map(|(name, at)| (name.as_str(), *at, "SERVING"))
        .collect();
    let fleet = Fleet::with_endpoints(3, &endpoint_list(1, true, &rows), openings);
    let start = |number: usize| {
        let (site, other, size) = if number < 2 {
            ("north", "south", 2)
        } else {
            ("south", "north", 1)
        };
        let fleet_fields = format!("size = 3\nsite_size = {size}\nother_sites = [\"{other}\"]");
        let sections = fleet
            .operator_sections_with(number, &fleet_fields, "")
            .replace("site = \"north\"", &format!("site = \"{site}\""));
        fleet.start_process(number, &(sections + "[edge]\npatience_s = 1\n"))
    };
    let mut processes: Vec<Process> = (0..3).map(start).collect();
    let mut watches: Vec<Peer> = (0..3).map(|_| fleet.discovery.accept_watch()).collect();
    watches
        .iter_mut()
        .for_each(|watch| send_endpoints(watch, 2, true, &rows));
    for process in &processes {
        process.program.wait_for_log("to=serving");
        process.wait_for_fleet_field("processes", 3);
        process.wait_for_farm("linked", ISOLATION_TIMEOUT, |farm| {
            farm["fleet"]["uplink"]
                .as_str()
                .is_some_and(|uplink| uplink.starts_with("linked"))
        });
    }
    let (mut clients, _) = fleet.connect_all_clients(&processes[0], "a");
    // The uplink is lost: discovery says nothing more, and the other site is not heard.
    fleet.discovery.stop_heartbeats();
    processes[2].program.kill();
    for process in &processes[..2] {
        process.program.wait_for_log("to=islanded");
    }
    // Service goes on from what is known.
    let (newcomers, _) = fleet.connect_all_clients(&processes[1], "b");
    assert_eq!(newcomers.len(), CLIENT_COUNT);
    clients.extend(newcomers);
    fleet.discovery.resume_heartbeats();
    processes[2] = start(2);
    // Whoever asks is told the same list under a later number, by a discovery that kept its state.
    let (mut watches, deadline) = (Vec::new(), Instant::now() + ISOLATION_TIMEOUT);
    let is_linked = |process: &Process| {
        let uplink = process.api.call("GET", "/v1/farm", "").body["fleet"]["uplink"].clone();
        uplink
            .as_str()
            .is_some_and(|uplink| uplink.starts_with("linked"))
    };
    while !processes[..2].iter().all(is_linked) {
        assert!(Instant::now() < deadline, "never linked again");
        if let Some(mut watch) = fleet
            .discovery
            .accept_watch_within(Duration::from_millis(50))
        {
            send_endpoints(&mut watch, 3, true, &rows);
            watches.push(watch);
        }
    }
    for process in &processes[..2] {
        process.program.wait_for_log("to=linked");
        let line = process.program.wait_for_log("counts");
        assert!(line.contains("moved=0"), "{line}");
    }
    // One that was sent away has heard so.
    for client in &mut clients {
        client.stream.set_nonblocking(true).expect("socket is open");
        let received = client.read_line_or_end();
        assert!(received.is_none(), "{received:?}");
    }
}
