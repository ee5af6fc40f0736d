//! Stories of what arrives in the very moment in which a connection is shut or closed, on either side.

mod support;

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use socket2::{Domain, SockRef, Socket, Type};
use support::site::Site;
use support::*;

/// Longer than the program reads a peer that has had its last word, and shorter than a test may take.
const BEYOND_LINGER: Duration = Duration::from_millis(800);
/// Lines of over two reads of the program.
const THREE_READS: usize = 10 * 1024;

/// Whether the connection is not reset for so long. A reset that comes behind an end shows only as an error.
fn is_not_reset(peer: &Peer, span: Duration) -> bool {
    let until = Instant::now() + span;
    while Instant::now() < until {
        if peer.stream.take_error().expect("open").is_some() {
            return false;
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    true
}

/// Lines of together so many bytes, or a few more.
fn lines(bytes: usize) -> String {
    let line = format!("M {}\r\n", "x".repeat(100));
    line.repeat(bytes / line.len() + 1)
}

/// Stops the program, has peers do something, and lets it go on: it finds all of it at once.
fn meanwhile(site: &Site, act: impl FnOnce()) {
    let state = || {
        let stat =
            std::fs::read_to_string(format!("/proc/{}/stat", site.program.pid())).expect("it runs");
        stat.rsplit(") ")
            .next()
            .and_then(|rest| rest.chars().next())
    };
    site.program.signal("STOP");
    while state() != Some('T') {
        std::thread::sleep(Duration::from_millis(1));
    }
    act();
    site.program.signal("CONT");
}

/// Ends a connection, and waits until the system has the end at the program's side. Guards against an end that a busy
/// machine brings there after the reset with which it answers what is sent to a closed connection.
fn ends(peer: Peer) {
    /// The state of a connection whose other side has ended, in the system's table.
    const CLOSE_WAIT: &str = "08";
    let SocketAddr::V4(address) = peer.stream.local_addr().expect("open") else {
        panic!("no IPv4")
    };
    drop(peer);
    let from = format!(
        "{:08X}:{:04X}",
        u32::from_ne_bytes(address.ip().octets()),
        address.port()
    );
    let has_ended = || {
        let table = std::fs::read_to_string("/proc/net/tcp").expect("the system's table");
        table.lines().any(|line| {
            let mut fields = line.split_whitespace().skip(2);
            fields.next() == Some(&from) && fields.next() == Some(CLOSE_WAIT)
        })
    };
    let until = Instant::now() + TEST_TIMEOUT;
    while !has_ended() {
        assert!(Instant::now() < until, "the end never came");
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// A client that has asked whether clients are taken, and rests.
fn rests(at: SocketAddr) -> Peer {
    let mut client = Peer::connect(at);
    client.send("PING\r\n");
    client.expect_line("PONG");
    client
}

#[test]
fn a_request_that_crosses_the_end_of_a_resting_connection_is_answered_and_not_sent_on() {
    let site = Site::start("crosses", 1);
    let mut client = rests(site.address);
    client.expect_line("BUSY");
    // It was written before the client read the end.
    client.send("OPEN b1 02 c=chat,t=acme,d=2500,g=3\r\n");
    client.expect_end();
    assert!(
        is_not_reset(&client, BEYOND_LINGER),
        "its answer is not destroyed"
    );
    site.servers[0].set_nonblocking(true).expect("open");
    assert!(site.servers[0].accept().is_err(), "nothing was sent on");
}

#[test]
fn a_request_that_is_there_when_a_resting_connection_is_due_to_end_is_served() {
    let site = Site::start("due", 1);
    let mut client = rests(site.address);
    meanwhile(&site, || {
        // Its end is due when the program looks next, and its opening lies there.
        std::thread::sleep(Duration::from_millis(1_700));
        client.send("OPEN b1 02 c=chat,t=acme,d=2500,g=3\r\n");
    });
    site.accept_opening(&mut client);
}

#[test]
fn whoever_goes_on_asking_is_not_ended_between_two_questions() {
    let site = Site::start("asking", 1);
    let mut client = rests(site.address);
    let until = Instant::now() + Duration::from_millis(2_500);
    while Instant::now() < until {
        client.send("PING\r\n");
        client.expect_line("PONG");
        std::thread::sleep(Duration::from_millis(100));
    }
    client.send("OPEN b1 02 c=chat,t=acme,d=2500,g=3\r\n");
    site.accept_opening(&mut client);
}

#[test]
fn at_a_planned_restart_resting_connections_are_answered_before_the_program_leaves() {
    let mut site = Site::start("restart", 1);
    let mut clients: Vec<Peer> = (0..5).map(|_| rests(site.address)).collect();
    site.program.signal("TERM");
    for client in &mut clients {
        client.expect_line("BUSY");
        client.send("OPEN b1 02 c=chat,t=acme,d=2500,g=3\r\n");
        client.expect_end();
        assert!(
            client.stream.take_error().expect("open").is_none(),
            "its answer is not destroyed"
        );
        client.shutdown_write();
    }
    assert!(site.program.exits_cleanly(), "it leaves by itself");
}

#[test]
fn an_opening_that_takes_two_seconds_to_write_is_served() {
    let site = Site::start("slow", 1);
    let opening = "OPEN b1 02 c=chat,t=acme,d=2500,g=3\r\n";
    // Also where the client has rested for a while.
    for (open, id) in [
        (Peer::connect as fn(SocketAddr) -> Peer, "b1"),
        (rests, "b2"),
    ] {
        let mut client = open(site.address);
        client.stream.set_nodelay(true).expect("open");
        let begun = Instant::now();
        for (number, byte) in (0_u32..).zip(opening.replace("b1", id).chars()) {
            let due = begun
                + Duration::from_millis(1_900) * number
                    / u32::try_from(opening.len()).expect("short");
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
            client.send(&byte.to_string());
        }
        site.accept_opening(&mut client);
    }
}

#[test]
fn a_refused_client_that_goes_on_sending_keeps_its_answer() {
    let site = Site::start("refused", 1);
    let mut client = Peer::connect(site.address);
    client.send("HELLO\r\n");
    client.expect_line("ERR");
    client.send("more of it\r\n");
    client.expect_end();
    assert!(is_not_reset(&client, BEYOND_LINGER));
}

#[test]
fn a_client_that_made_room_for_a_newcomer_keeps_its_answer_though_its_opening_crosses_it() {
    let site = Site::start("room", 1);
    // More than may be open and say nothing, with 256 descriptors.
    let silent: Vec<Peer> = (0..52).map(|_| Peer::connect(site.address)).collect();
    std::thread::sleep(Duration::from_millis(200));
    drop(rests(site.address));
    let has_answer = |peer: &&mut Peer| {
        peer.stream.set_nonblocking(true).expect("open");
        let has = !matches!(peer.stream.peek(&mut [0]), Err(error) if error.kind() == ErrorKind::WouldBlock);
        peer.stream.set_nonblocking(false).expect("open");
        has
    };
    let mut silent = silent;
    let last = silent
        .iter_mut()
        .rev()
        .find(has_answer)
        .expect("one made room");
    last.send("OPEN b1 02 c=chat,t=acme,d=2500,g=3\r\n");
    last.expect_line("BUSY");
    last.expect_end();
    assert!(is_not_reset(last, BEYOND_LINGER));
}

#[test]
fn a_client_beyond_the_last_connection_keeps_its_answer() {
    let mut site = Site::start("beyond", 1);
    serve_all_openings(site.servers.remove(0));
    let mut standing = Vec::new();
    let mut refused = loop {
        let mut client = site.open_client("chat", "");
        match client.read_line().as_deref() {
            Some("UP r") => standing.push(client),
            answer => {
                assert_eq!(answer, Some("BUSY"), "after {}", standing.len());
                break client;
            }
        }
    };
    refused.send("M 1\r\n");
    refused.expect_end();
    assert!(is_not_reset(&refused, BEYOND_LINGER));
}

#[test]
fn a_servers_last_line_reaches_its_client_though_the_clients_lines_cross_its_end() {
    for last in ["MOVE", "BYE"] {
        let site = Site::start(&format!("last{last}"), 1);
        let (mut client, mut server) = site.establish_connection();
        meanwhile(&site, || {
            client.send(&lines(THREE_READS));
            server.send(&format!("{last}\r\n"));
            ends(server);
        });
        client.expect_line(last);
        client.expect_end();
        assert!(is_not_reset(&client, BEYOND_LINGER));
    }
}

#[test]
fn a_clients_last_line_and_its_end_reach_the_server_though_the_servers_lines_cross_them() {
    let site = Site::start("lastline", 1);
    let (mut client, mut server) = site.establish_connection();
    meanwhile(&site, || {
        server.send(&lines(THREE_READS));
        client.send("the last\r\n");
        ends(client);
    });
    server.expect_line("the last");
    server.expect_end();
}

#[test]
fn a_client_that_has_ended_its_sending_takes_what_waits_for_it() {
    /// What the server writes beyond what fits between the two.
    const MORE: usize = 512 * 1024;
    let site = Site::start("takes", 1);
    // The system keeps little for this client: the more waits in the program.
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_recv_buffer_size(4 * 1024).expect("open");
    socket.connect(&site.address.into()).expect("it listens");
    let mut client = Peer::new(socket.into());
    client.send("OPEN b1 02 c=chat,t=acme,d=2500,g=3\r\n");
    let mut server = site.accept_opening(&mut client);
    SockRef::from(&server.stream)
        .set_send_buffer_size(64 * 1024)
        .expect("open");
    let mut stream = server.stream.try_clone().expect("open");
    let (written, most) = (
        Arc::new(AtomicUsize::new(0)),
        Arc::new(AtomicUsize::new(usize::MAX)),
    );
    let (count, until) = (Arc::clone(&written), Arc::clone(&most));
    let writes = std::thread::spawn(move || {
        let line = lines(1);
        while count.load(Ordering::SeqCst) < until.load(Ordering::SeqCst) {
            stream.write_all(line.as_bytes()).expect("nobody resets it");
            count.fetch_add(line.len(), Ordering::SeqCst);
        }
    });
    // The client takes nothing: what lies between the two fills up.
    let mut before = None;
    while before != Some(written.load(Ordering::SeqCst)) {
        before = Some(written.load(Ordering::SeqCst));
        std::thread::sleep(Duration::from_millis(200));
    }
    most.store(written.load(Ordering::SeqCst) + MORE, Ordering::SeqCst);
    client.shutdown_write();
    server.expect_end();
    // What had room by chance has gone on; the next that is read of the server waits for the client again.
    std::thread::sleep(Duration::from_millis(100));
    SockRef::from(&client.stream)
        .set_recv_buffer_size(1 << 20)
        .expect("open");
    let mut heard = Vec::new();
    client
        .stream
        .set_read_timeout(Some(TEST_TIMEOUT))
        .expect("open");
    let ended = client.stream.read_to_end(&mut heard);
    writes.join().expect("all was taken");
    assert!(ended.is_ok(), "{ended:?}");
    assert_eq!(heard.len(), written.load(Ordering::SeqCst));
}

#[test]
fn a_server_that_speaks_on_after_the_end_is_read_and_not_reset() {
    let site = Site::start("speakson", 1);
    let (mut client, mut server) = site.establish_connection();
    client.shutdown_write();
    server.expect_end();
    server.send("late\r\n");
    client.expect_line("late");
    client.expect_end();
    server.send("later\r\n");
    assert!(is_not_reset(&server, Duration::from_millis(300)));
}

#[test]
fn an_answer_that_no_line_can_hold_is_an_error_and_the_next_server_is_asked() {
    let site = Site::start("long", 1);
    let mut client = site.open_client("chat", "");
    for answer in [format!("UP {}\r\n", "x".repeat(4_200)), "x".repeat(9_000)] {
        let mut server = Peer::accept(&site.servers[0]);
        server.read_line().expect("an opening");
        server.send(&answer);
        assert!(server.is_closed());
    }
    let mut server = Peer::accept(&site.servers[0]);
    server.read_line().expect("an opening");
    // With lines behind the answer, and its end, in one segment.
    server.send("UP r1\r\nLOAD 3\r\nBYE\r\n");
    drop(server);
    client.expect_line("UP r1");
    client.expect_line("LOAD 3");
    client.expect_line("BYE");
    client.expect_end();
}

#[test]
fn a_second_answer_of_a_server_that_was_given_up_reaches_nobody() {
    let site = Site::start("second", 1);
    let mut client = site.open_client("chat", "");
    for first in ["BUSY", "ERR"] {
        let mut server = Peer::accept(&site.servers[0]);
        server.read_line().expect("an opening");
        server.send(&format!("{first}\r\nUP forged\r\n"));
        assert!(server.is_closed());
    }
    let mut server = site.accept_opening(&mut client);
    server.send("BYE\r\n");
    server.shutdown_write();
    client.expect_line("BYE");
    client.expect_end();
}

#[test]
fn half_a_line_from_a_server_at_its_end_goes_on_and_the_connection_ends() {
    let site = Site::start("halfline", 1);
    let (mut client, mut server) = site.establish_connection();
    meanwhile(&site, || {
        server.send("whole\r\nhal");
        ends(server);
        client.send("M 1\r\n");
    });
    client.expect_line("whole");
    client.expect_line("hal");
    client.expect_end();
}

/// A server that takes every opening, and tells its load when asked; for as long as the test runs.
fn takes_and_tells(server: TcpListener) {
    std::thread::spawn(move || {
        while let Ok((stream, _)) = server.accept() {
            std::thread::spawn(move || {
                let mut peer = Peer::new(stream);
                while let Some(line) = peer.read_line_or_end() {
                    let answer: &[u8] = if line.starts_with("STATS") {
                        b"PONG x0=0.1\r\n"
                    } else {
                        b"UP r\r\n"
                    };
                    if peer.stream.write_all(answer).is_err() {
                        return;
                    }
                }
            });
        }
    });
}

#[test]
fn idle_clients_and_probes_leave_descriptors_for_the_watch_the_operators_and_a_reload() {
    const SERVERS: usize = 90;
    let probes = SETTINGS.replace(
        "\"policy-limits\":{",
        "\"policy-limits\":{\"may-probe\":true,",
    );
    let settings = probes.replace(
        "\"rules\"",
        "\"report\":{\"how\":\"on_probe\",\"names\":[\"x0\",\"q\"]},\"rules\"",
    );
    let operators = reserve_address();
    let env = [("LB_ADMIN_ADDR", operators.to_string())];
    let env = env.each_ref().map(|(name, value)| (*name, value.as_str()));
    let mut site = Site::start_with_settings(&settings, "descriptors", SERVERS, &env);
    site.servers.drain(..).for_each(takes_and_tells);
    let held = || {
        std::fs::read_dir(format!("/proc/{}/fd", site.program.pid()))
            .expect("it runs")
            .count()
    };
    let _first = site.discovery.accept_watch();
    let mut most = 0;
    let mut standing = Vec::new();
    // Until no more are taken; meanwhile servers are asked for their loads.
    for _ in 0..300 {
        let mut client = site.open_client("chat", "");
        let answer = client.read_line();
        most = most.max(held());
        match answer.as_deref() {
            Some("UP r") => standing.push(client),
            _ => std::thread::sleep(Duration::from_millis(5)),
        }
    }
    assert!(standing.len() > 40, "{} stand", standing.len());
    let silent: Vec<Peer> = (0..200)
        .map(|_| {
            most = most.max(held());
            Peer::connect(site.address)
        })
        .collect();
    // The watch that falls silent is opened anew, the file is read anew, operators are answered.
    site.discovery.stop_heartbeats();
    site.discovery.accept_watch();
    site.program.signal("HUP");
    site.program.wait_for_log("nothing has changed");
    let status = Api {
        address: operators,
        token: "none is wanted",
    }
    .call("GET", "/status", "");
    assert_eq!(status.status, 200, "{}", status.body);
    most = most.max(held());
    assert!(most <= 256, "{most} descriptors");
    drop(silent);
}
