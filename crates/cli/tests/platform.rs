//! Tests of the platform front: the program with clients, application servers and discovery over loopback.

mod support;

use std::time::{Duration, Instant};

use support::site::Site;
use support::*;

#[test]
fn relays_lines_and_close_in_both_directions() {
    let site = Site::start("serve", 1);
    let mut client = Peer::connect(site.address);
    client.send("PING\r\n");
    client.expect_line("PONG");
    client.send("OPEN 01 02 c=chat,t=acme,d=2500,g=3,h=1.5\r\n");
    let mut server = Peer::accept(&site.servers[0]);
    let line = server.read_line().expect("a request is received");
    let wait_ms = line
        .strip_prefix("OPEN 01 02 c=chat,t=acme,d=")
        .and_then(|rest| rest.strip_suffix(",g=3,h=1.5"));
    let wait_ms: u64 = wait_ms
        .expect("all fields but d are unchanged")
        .parse()
        .expect("value is a number");
    assert!(
        (1..=400).contains(&wait_ms),
        "d must be the time that this balancer waits, is {wait_ms}"
    );
    server.send("UP r7\r\nLOAD 12.5\r\nhal");
    client.expect_line("UP r7");
    client.expect_line("LOAD 12.5");
    assert_eq!(
        client.read_text(3),
        "hal",
        "a partial line must be relayed at once"
    );
    client.send("M 1\r\n");
    server.expect_line("M 1");
    server.send("f\r\nBYE\r\n");
    server.shutdown_write();
    client.expect_line("f");
    client.expect_line("BYE");
    client.expect_end();
    let (client, mut server) = site.establish_connection();
    client.shutdown_write();
    server.expect_end();
}

#[test]
fn forwards_server_reset_to_client() {
    let site = Site::start("reset", 1);
    let (mut client, server) = site.establish_connection();
    socket2::SockRef::from(&server.stream)
        .set_linger(Some(Duration::ZERO))
        .expect("socket is open");
    drop(server);
    assert!(client.was_reset());
}

#[test]
fn retries_busy_attempts_then_reports_retry_delay() {
    let site = Site::start("busy", 1);
    let mut client = site.open_client("chat", "");
    for _ in 0..4 {
        let mut server = Peer::accept(&site.servers[0]);
        server.read_line().expect("a request is received");
        server.send("BUSY\r\n");
        server.expect_end();
    }
    let answered_at = Instant::now();
    let answer = client.read_line().expect("an answer is received");
    let retry_after_ms = answer
        .strip_prefix("BUSY ")
        .and_then(|millis| millis.parse::<u64>().ok());
    assert!(
        retry_after_ms.is_some_and(|retry_after_ms| retry_after_ms <= 2000),
        "{answer}"
    );
    assert!(
        answered_at.elapsed() < Duration::from_millis(300),
        "the last answer must not be delayed"
    );
    client.expect_end();
}

#[test]
fn fails_non_repeatable_request_after_lost_attempt() {
    let site = Site::start("once", 1);
    let mut client = site.open_client("once", "");
    let mut server = Peer::accept(&site.servers[0]);
    server.read_line().expect("a request is received");
    drop(server);
    client.expect_line("ERR");
    client.expect_end();
}

#[test]
fn cancels_attempt_when_client_disconnects() {
    let site = Site::start("leave", 1);
    let client = site.open_client("chat", "");
    let mut server = Peer::accept(&site.servers[0]);
    server.read_line().expect("a request is received");
    drop(client);
    server.expect_end();
    site.establish_connection();
}

#[test]
fn established_connections_use_no_threads() {
    // A balancer limited to a fifth of a core is throttled as a whole: hundreds of threads alone use that up.
    let site = Site::start("threads", 1);
    let initial_threads = site.program.thread_count();
    let mut established: Vec<(Peer, Peer)> = (0..50).map(|_| site.establish_connection()).collect();
    for (number, (client, server)) in established.iter_mut().enumerate() {
        client.send(&format!("M {number}\r\n"));
        server.expect_line(&format!("M {number}"));
        server.send(&format!("A {number}\r\n"));
        client.expect_line(&format!("A {number}"));
    }
    // The thread of the last attempt may not have ended yet.
    assert!(
        site.program.thread_count() <= initial_threads + 4,
        "{} threads, initially {initial_threads}",
        site.program.thread_count()
    );
}

#[test]
fn rejects_invalid_requests_before_contacting_a_server() {
    let site = Site::start("rude", 1);
    let (mut client, mut server) = site.establish_connection();
    let overlong = format!("{}\r\n", "x".repeat(4096));
    for request in [
        "HELLO\r\n",
        "OPEN\r\n",
        "OPEN  02 c=chat,d=2500\r\n",
        "OPEN b1 02 c=chat,d=2500 more\r\n",
        "OPEN b1 02 c=other,d=2500\r\n",
        "OPEN b1 02 d=2500\r\n",
        "OPEN b1 02 c=chat\r\n",
        "OPEN b1 02 c=chat,d=\r\n",
        "OPEN b1 02 c=chat,d=-1\r\n",
        "OPEN b1 02 c=chat,d=+1\r\n",
        "OPEN b1 02 c=chat,d=soon\r\n",
        "OPEN b1 02 c=chat,d=99999999999999999999999\r\n",
        "OPEN b1 02 c=chat,d=2500,d=2500\r\n",
        "OPEN b1 02 c=chat,d=2500,h=NaN\r\n",
        "OPEN b1 02 c=chat,d=2500,h=-1\r\n",
        "OPEN b1 02 c=chat,d=2500,again=maybe\r\n",
        "OPEN b1 02 c=chat,d=2500,\r\n",
        "OPEN b1 02 c=ch\0at,d=2500\r\n",
        // The id of an established client.
        "OPEN a1 02 c=chat,d=2500\r\n",
        // A client must send one line and wait.
        "OPEN b1 02 c=chat,d=2500\r\nOPEN b2 02 c=chat,d=2500\r\n",
        &overlong,
    ] {
        let mut invalid = Peer::connect(site.address);
        invalid.send(request);
        assert_eq!(invalid.read_line().as_deref(), Some("ERR"), "{request:?}");
        assert!(invalid.is_closed());
    }
    // A partial command, then a close.
    Peer::connect(site.address).send("OPEN b1 02 c=chat,d=25");
    // A client that sends data while an attempt is in progress ends the attempt.
    let mut early_sender = site.open_client("chat", "");
    let mut pending_attempt = Peer::accept(&site.servers[0]);
    pending_attempt.read_line().expect("a request is received");
    early_sender.send("M 1\r\n");
    early_sender.expect_line("ERR");
    pending_attempt.expect_end();
    client.send("M 1\r\n");
    server.expect_line("M 1");
    // An id is free again by the time its client sees the end of the connection.
    for _ in 0..50 {
        client.shutdown_write();
        server.shutdown_write();
        client.expect_end();
        client = Peer::connect(site.address);
        client.send("OPEN a1 02 c=chat,d=2500\r\n");
        server = Peer::accept(&site.servers[0]);
        assert!(
            server
                .read_line()
                .expect("a request is received")
                .starts_with("OPEN a1 02 ")
        );
        server.send("UP r1\r\n");
        client.expect_line("UP r1");
    }
}

#[test]
fn closes_silent_connections_and_serves_real_clients() {
    let site = Site::start("openings", 1);
    let started_at = Instant::now();
    // Far more than fit into 256 descriptors.
    let mut silent: Vec<Peer> = (0..400).map(|_| Peer::connect(site.address)).collect();
    let mut incomplete = Peer::connect(site.address);
    incomplete.send("OPEN b1 ");
    let (mut client, mut server) = site.establish_connection();
    client.send("M 1\r\n");
    server.expect_line("M 1");
    for (number, peer) in silent.iter_mut().enumerate() {
        let answer = peer.read_line();
        assert!(
            matches!(answer.as_deref(), Some("BUSY" | "ERR")),
            "{number}: {answer:?}"
        );
        assert!(peer.is_closed());
    }
    incomplete.expect_line("ERR");
    // The answer is due within 3 s of connecting. The bound of 4.5 s allows for a loaded machine; 5 s for each
    // connection would exceed it.
    assert!(
        started_at.elapsed() < Duration::from_millis(4_500),
        "silent connections must be answered within 3 s of connecting"
    );
    site.program
        .wait_for_log("further messages of this kind suppressed");
}

/// A client connected before the program started returns to its server, also when the first attempt fails.
#[test]
fn retries_named_server_for_returning_connection() {
    let site = Site::start("held", 2);
    // The largest possible wait time.
    let mut client = Peer::connect(site.address);
    client.send("OPEN b1 02 c=chat,t=acme,d=18446744073709551615,g=3,at=s1\r\n");
    let mut server = Peer::accept(&site.servers[1]);
    server.read_line().expect("a request is received");
    drop(server);
    let mut server = Peer::accept(&site.servers[1]);
    assert!(
        server
            .read_line()
            .expect("a request is received")
            .ends_with(",at=s1")
    );
    server.send("UP r1\r\n");
    client.expect_line("UP r1");
}

/// The client is moved within 6.5 s, before the platform's rule for silent servers applies.
#[test]
fn moves_client_when_server_stops_answering() {
    let site = Site::start("silent", 1);
    let (mut client, _server) = site.establish_connection();
    client.send("M 1\r\n");
    let sent_at = Instant::now();
    client.expect_line("MOVE");
    client.expect_end();
    assert!(sent_at.elapsed() < Duration::from_millis(6_500));
}

/// An invalid count ends the start with an error that names the setting; a missing one is only reported.
#[test]
fn reports_invalid_or_missing_balancer_count() {
    for (count, message) in [
        ("\"many\"", "settings.balancers: invalid type"),
        ("-1", "settings.balancers: invalid value"),
        ("0", "settings.balancers: must be at least 1"),
        ("", "settings.balancers is missing"),
    ] {
        let setting = if count.is_empty() {
            String::new()
        } else {
            format!("\"balancers\":{count},")
        };
        let settings = SETTINGS.replace("\"balancers\":1,", &setting);
        let path = write_temp_file(
            "count",
            &platform_config(
                reserve_address(),
                reserve_address(),
                &endpoint_list(1, true, &[]),
                &settings,
                256,
            ),
        );
        let program = Program::start(&[], &[("LB_CONFIG", path.as_str())]);
        program.wait_for_log(message);
        if count.is_empty() {
            program.wait_for_log("serves");
        }
    }
}

#[test]
fn draining_server_loses_clients_and_new_requests() {
    let site = Site::start("drain", 2);
    let mut client = site.open_client("chat", ",at=s0");
    let mut server = Peer::accept(&site.servers[0]);
    server.read_line().expect("a request is received");
    server.send("UP r1\r\n");
    client.expect_line("UP r1");
    let draining = site.servers[0].local_addr().expect("listener is bound");
    let mut watch = site.discovery.accept_watch();
    // Longer than a watch without heartbeats is kept open, as happens on a loaded machine.
    std::thread::sleep(Duration::from_millis(3_700));
    send_endpoints(&mut watch, 2, false, &[("s0", draining, "DRAINING")]);
    site.program.wait_for_log("generation=2");
    // The connections stay open: a server that closes its connections at once would be avoided for a while.
    let mut established = Vec::new();
    for _ in 0..4 {
        let mut newcomer = site.open_client("chat", "");
        let mut server = Peer::accept(&site.servers[1]);
        server.read_line().expect("a request is received");
        server.send("UP r2\r\n");
        newcomer.expect_line("UP r2");
        established.push((newcomer, server));
    }
    client.expect_line("MOVE");
    client.expect_end();
    site.servers[0]
        .set_nonblocking(true)
        .expect("socket is open");
    assert!(
        site.servers[0].accept().is_err(),
        "the draining server must receive no new request"
    );
}

/// A watch without heartbeats is restarted, and the last list stays in effect meanwhile.
#[test]
fn restarts_silent_watch_and_keeps_server_list() {
    let site = Site::start("watch", 1);
    let _silent = site.discovery.accept_watch();
    site.discovery.stop_heartbeats();
    let silent_since = Instant::now();
    let mut new_watch = site.discovery.accept_watch();
    // Changes missed by the first watch must be applied within 6 s.
    assert!(silent_since.elapsed() < Duration::from_secs(6));
    site.establish_connection();
    send_endpoints(&mut new_watch, 5, true, &[]);
    site.program.wait_for_log("generation=5");
}

#[test]
fn reload_moves_watch_without_disturbing_connections() {
    let mut site = Site::start("reload", 2);
    let mut old_watch = site.discovery.accept_watch();
    let (mut client, mut server) = site.establish_connection();
    let new_discovery = Discovery::start();
    let config = site.config.replace(
        &site.discovery.address.to_string(),
        &new_discovery.address.to_string(),
    );
    std::fs::write(
        &site.config_path,
        config.replace("\"sockets\":256", "\"sockets\":300"),
    )
    .expect("configuration file is written");
    let reloaded_at = Instant::now();
    // Several signals at once have the effect of one.
    site.program.signal("HUP");
    site.program.signal("HUP");
    let mut watch = new_discovery.accept_watch();
    assert!(
        reloaded_at.elapsed() < Duration::from_millis(2_500),
        "the blocked read must be interrupted, not waited for"
    );
    old_watch.expect_end();
    // The list is kept until the new discovery address sends another one.
    client.send("M 1\r\n");
    server.expect_line("M 1");
    server.send("A 1\r\n");
    client.expect_line("A 1");
    let second_server = site.servers[1].local_addr().expect("listener is bound");
    send_endpoints(&mut watch, 1, true, &[("s1", second_server, "SERVING")]);
    site.program.wait_for_log("generation=1 kind=Snapshot");
    client.expect_line("MOVE");
    site.program.signal("HUP");
    site.program.wait_for_log("configuration is unchanged");
    std::fs::write(&site.config_path, "{").expect("configuration file is written");
    site.program.signal("HUP");
    site.program
        .wait_for_log("reload failed; current configuration kept");
    std::fs::write(&site.config_path, site.config.replace("\"n0\"", "\"n1\""))
        .expect("configuration file is written");
    site.program.signal("HUP");
    site.program
        .wait_for_log("changes need a restart; running values kept what=name");
    let _restored_watch = site.discovery.accept_watch();
    site.program.signal("TERM");
    site.program.wait_for_log("leaving");
    site.program.signal("HUP");
    site.program.wait_for_log("reload skipped");
    assert!(site.program.exits_cleanly(), "the program exits by itself");
}

/// No line may be cut by a move; clients that connect during the drain are served and then moved.
#[test]
fn planned_restart_moves_clients_between_lines() {
    let mut site = Site::start("term", 1);
    let (mut client, mut server) = site.establish_connection();
    server.send("whole\r\nhal");
    client.expect_line("whole");
    assert_eq!(client.read_text(3), "hal");
    site.program.signal("TERM");
    site.program.wait_for_log("leaving");
    let mut late = site.open_client("chat", "");
    let mut late_server = Peer::accept(&site.servers[0]);
    late_server.read_line().expect("a request is received");
    late_server.send("UP r2\r\n");
    late.expect_line("UP r2");
    server.send("f\r\nnever relayed\r\n");
    client.expect_line("f");
    // One more line may be relayed before the move is initiated.
    let last_line = std::iter::from_fn(|| client.read_line()).last();
    assert_eq!(last_line.as_deref(), Some("MOVE"));
    server.expect_end();
    late.expect_line("MOVE");
    assert!(site.program.exits_cleanly(), "the program exits by itself");
}

/// A request that waits for a silent server receives a final answer.
#[test]
fn answers_pending_request_before_program_exits() {
    let mut site = Site::start("lastword", 1);
    // Moves are spread over the drain: the move of the second client means that a third of it has passed.
    let mut established = [
        site.establish_connection(),
        site.establish_connection(),
        site.establish_connection(),
    ];
    site.program.signal("TERM");
    established[1].0.expect_line("MOVE");
    let mut client = Peer::connect(site.address);
    client.send("OPEN ff 02 c=once,t=acme,d=3000,g=3\r\n");
    let mut server = Peer::accept(&site.servers[0]);
    server.read_line().expect("a request is received");
    client.expect_line("ERR");
    assert!(site.program.exits_cleanly(), "the program exits by itself");
}

#[test]
fn probed_load_decides_server_selection() {
    let probes = SETTINGS.replace(
        "\"policy-limits\":{",
        "\"policy-limits\":{\"may-probe\":true,",
    );
    let settings = probes.replace(
        "\"rules\"",
        "\"report\":{\"how\":\"on_probe\",\"names\":[\"x0\",\"q\"]},\"rules\"",
    );
    let high_load_report = "PONG x0=0.95,queue=3\r\n";
    // A server that reports no load receives clients; a truncated report is not an answer.
    for (number, answer) in [
        "PONG x0=0.1,queue=0\r\n",
        "PONG\r\n",
        "NO\r\n",
        "PONG x0=oops\r\n",
    ]
    .iter()
    .enumerate()
    {
        let site = Site::start_with_settings(&settings, &format!("load{number}"), 3, &[]);
        let (request_sender, request_receiver) = std::sync::mpsc::channel();
        for (server, answer) in site
            .servers
            .iter()
            .zip([high_load_report, answer, "PONG x0=0."])
        {
            let (server, request_sender) = (
                server.try_clone().expect("socket is open"),
                request_sender.clone(),
            );
            let address = server.local_addr().expect("listener is bound");
            std::thread::spawn(move || {
                while let Ok((stream, _)) = server.accept() {
                    let (mut peer, request_sender) = (Peer::new(stream), request_sender.clone());
                    std::thread::spawn(move || {
                        while let Some(line) = peer.read_line_or_end() {
                            if line.trim_end() != "STATS" {
                                request_sender.send(address).expect("receiver is alive");
                                peer.send("UP r1\r\n");
                                continue;
                            }
                            peer.send(answer);
                            if !answer.ends_with('\n') {
                                return;
                            }
                        }
                    });
                }
            });
        }
        let mut clients: Vec<Peer> = (0..4).map(|_| site.open_client("chat", "")).collect();
        clients
            .iter_mut()
            .for_each(|client| client.expect_line("UP r1"));
        let address = site.servers[1].local_addr().expect("listener is bound");
        assert_eq!(
            request_receiver.try_iter().collect::<Vec<_>>(),
            [address; 4],
            "{answer:?}"
        );
    }
}
