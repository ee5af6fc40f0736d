//! Processes of a fleet over loopback: a client that returns to another process, or to one that started anew, gets the
//! server it had; and where no fleet is set up, there is nothing of all this.

mod support;

use std::time::Instant;

use support::fleet::*;
use support::*;

#[test]
fn clients_come_back_to_their_server_through_another_process_and_after_a_restart() {
    let fleet = Fleet::start(2, 2);
    let mut a = fleet.start_process(0, &fleet.operator_sections(0, ""));
    let mut b = fleet.start_process(1, &fleet.operator_sections(1, ""));
    for process in [&a, &b] {
        process.program.wait_for_log("to=serving");
        process.wait_for_fleet_field("processes", 2);
    }
    let (clients, first) = fleet.connect_all_clients(&a, "a");
    assert!(first.values().any(|server| *server == 0) && first.values().any(|server| *server == 1));
    b.wait_for_fleet_field("placements", CLIENT_COUNT);
    drop(clients);
    let (clients, second) = fleet.connect_all_clients(&b, "b");
    assert_eq!(first, second, "through another process");
    a.wait_for_fleet_field("placements", CLIENT_COUNT);
    drop(clients);
    // Nobody is left who could tell but its own memory.
    b.program.kill();
    a.program.signal("TERM");
    assert!(a.program.exits_cleanly());
    let a = fleet.start_process(0, &fleet.operator_sections(0, ""));
    let said = a.program.wait_for_log("memory remembered");
    assert!(
        said.contains(&format!("placements={CLIENT_COUNT}")) && said.contains("boot=2"),
        "{said}"
    );
    a.program.wait_for_log("to=serving");
    a.wait_for_fleet_field("placements", CLIENT_COUNT);
    let (_clients, third) = fleet.connect_all_clients(&a, "c");
    assert_eq!(first, third, "after a restart");
}

#[test]
fn a_reload_takes_over_the_word_on_the_uplink_peers_and_the_serial_number_and_names_what_takes_a_restart()
 {
    let fleet = Fleet::start(2, 1);
    let a = fleet.start_process(0, &fleet.operator_sections(0, ""));
    a.program.wait_for_log("to=serving");
    let moved = fleet.operator_sections(0, "serial = 2").replace(
        &fleet.peer_addresses[1].to_string(),
        &free_udp_address().to_string(),
    );
    let moved =
        moved.replace("site = \"north\"", "site = \"south\"") + "[edge]\nword = \"island\"\n";
    fleet.write_operator_file(0, a.api.address, &moved);
    a.program.signal("HUP");
    let said = a.program.wait_for_log("taken over");
    assert!(
        ["fleet.peers", "edge.word", "affinity.serial"]
            .iter()
            .all(|what| said.contains(what)),
        "{said}"
    );
    let said = a.program.wait_for_log("takes a restart");
    assert!(said.ends_with("what=fleet"), "{said}");
    let until = Instant::now() + TEST_TIMEOUT;
    loop {
        let shown = a.api.call("GET", "/v1/farm", "").body["fleet"]["uplink"].clone();
        if shown
            .as_str()
            .is_some_and(|words| words.starts_with("islanded"))
        {
            return;
        }
        assert!(Instant::now() < until, "{shown}");
    }
}

/// What a program's descriptors are: paths, or `socket:[inode]`.
fn descriptors(program: &Program) -> Vec<String> {
    let folder = format!("/proc/{}/fd", program.pid());
    let entries = std::fs::read_dir(folder).expect("it runs");
    let links = entries.filter_map(|one| std::fs::read_link(one.ok()?.path()).ok());
    links
        .map(|path| path.to_string_lossy().into_owned())
        .collect()
}

/// How many of them are datagrams' sockets.
fn datagrams(program: &Program) -> usize {
    let table = std::fs::read_to_string("/proc/net/udp").expect("Linux");
    let inodes: Vec<&str> = table
        .lines()
        .filter_map(|row| row.split_whitespace().nth(9))
        .collect();
    let is_one = |link: &String| {
        let inode = link
            .strip_prefix("socket:[")
            .and_then(|rest| rest.strip_suffix(']'));
        inode.is_some_and(|inode| inodes.contains(&inode))
    };
    descriptors(program)
        .iter()
        .filter(|link| is_one(link))
        .count()
}

/// Names of a program's threads.
fn threads(program: &Program) -> Vec<String> {
    let folder = format!("/proc/{}/task", program.pid());
    let tasks = std::fs::read_dir(folder)
        .expect("it runs")
        .filter_map(Result::ok);
    let mut names: Vec<String> = tasks
        .filter_map(|task| std::fs::read_to_string(task.path().join("comm")).ok())
        .collect();
    names.sort();
    names
}

#[test]
fn without_the_sections_there_is_no_thread_and_no_descriptor_of_a_fleet() {
    let fleet = Fleet::start(1, 1);
    let with = fleet.start_process(0, &fleet.operator_sections(0, ""));
    with.program.wait_for_log("to=serving");
    with.wait_for_fleet_field("processes", 1);
    let without = fleet.start_process(1, "");
    without.program.wait_for_log("to=serving");
    assert!(without.api.call("GET", "/v1/farm", "").body["fleet"].is_null());
    let own = ["fleet\n", "memory\n", "peers\n"].map(str::to_owned);
    // A thread has its name a moment after it began, and one for each call of the API comes and goes.
    let lasting = |program: &Program| {
        let all = threads(program).into_iter();
        all.filter(|name| name != "admin\n")
            .collect::<Vec<String>>()
    };
    let until = Instant::now() + TEST_TIMEOUT;
    loop {
        let (there, here) = (lasting(&with.program), lasting(&without.program));
        let rest: Vec<String> = there
            .iter()
            .filter(|name| !own.contains(name))
            .cloned()
            .collect();
        if own.iter().all(|name| there.contains(name)) && rest == here {
            break;
        }
        assert!(
            Instant::now() < until,
            "{there:?} with a fleet, {here:?} without"
        );
        std::thread::sleep(std::time::Duration::from_millis(5));
    }
    // The peers' thread has its socket, and one that wakes it; the memory has its file.
    assert_eq!(
        (datagrams(&with.program), datagrams(&without.program)),
        (2, 0)
    );
    let keeps = |program: &Program| descriptors(program).contains(&fleet.path("memory-0"));
    assert!(keeps(&with.program) && !keeps(&without.program));
}

#[test]
fn placements_that_failed_at_one_process_count_at_the_others_until_one_succeeds() {
    let server = listener();
    let at = server.local_addr().expect("bound");
    drop(server);
    let fleet = Fleet::with_endpoints(
        2,
        &endpoint_list(1, true, &[("s0", at, "SERVING")]),
        std::sync::mpsc::channel().1,
    );
    let all =
        [0, 1].map(|number| fleet.start_process(number, &fleet.operator_sections(number, "")));
    for process in &all {
        process.program.wait_for_log("to=serving");
        process.wait_for_fleet_field("processes", 2);
    }
    let asks = |process: &Process| {
        let mut client = Peer::connect(process.address);
        client.send("OPEN a1 k1 c=chat,t=acme,d=2500\r\n");
        (client.read_line().expect("an answer"), client)
    };
    let (answer, _client) = asks(&all[0]);
    assert!(answer.starts_with("BUSY"), "{answer}");
    all[1].wait_for_fleet_field("failing", 1);
    // The server is there now, and the client comes back to the other process.
    serve_all_openings(std::net::TcpListener::bind(at).expect("free again"));
    let until = Instant::now() + TEST_TIMEOUT;
    while !asks(&all[1]).0.starts_with("UP") {
        assert!(Instant::now() < until, "never served");
    }
    all[0].wait_for_fleet_field("failing", 0);
}

#[test]
fn clients_keep_their_server_while_the_configuration_rolls_over_the_fleet_and_back() {
    let mut fleet = Fleet::start(3, 2);
    let old = fleet.settings.clone();
    let new = old.replace("\"value\":1.0", "\"value\":2.0");
    assert_ne!(old, new);
    let start = |fleet: &Fleet, number: usize, serial: u32| {
        let process = fleet.start_process(
            number,
            &fleet.operator_sections(number, &format!("serial = {serial}")),
        );
        process.program.wait_for_log("to=serving");
        process
    };
    let mut all: Vec<Process> = (0..3).map(|number| start(&fleet, number, 1)).collect();
    all.iter()
        .for_each(|process| process.wait_for_fleet_field("processes", 3));
    let (clients, first) = fleet.connect_all_clients(&all[0], "a");
    drop(clients);
    let version = |process: &Process| {
        process.api.call("GET", "/v1/farm", "").body["fleet"]["version"].to_string()
    };
    // Clients come back to a process of one version and of the other, on the way there and back.
    for (settings, serial) in [(&new, 2), (&old, 3)] {
        fleet.settings = settings.clone();
        for number in 0..3 {
            all[number].program.signal("TERM");
            assert!(all[number].program.exits_cleanly());
            all[number] = start(&fleet, number, serial);
            all[number].wait_for_fleet_field("processes", 3);
            all[number].wait_for_fleet_field("placements", CLIENT_COUNT);
            let (here, next) = (version(&all[number]), version(&all[(number + 1) % 3]));
            assert_eq!(here == next, number == 2, "{here} and {next}");
            for at in [number, (number + 1) % 3] {
                let (clients, now) =
                    fleet.connect_all_clients(&all[at], &format!("v{serial}p{number}a{at}"));
                assert_eq!(
                    first, now,
                    "serial {serial}, restarted {number}, back at {at}"
                );
                drop(clients);
            }
        }
    }
}
