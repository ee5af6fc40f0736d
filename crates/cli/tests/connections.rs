//! Tests of data that arrives while a connection is being shut down or closed, on either side.

mod support;

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use socket2::{Domain, SockRef, Socket, Type};
use support::site::Site;
use support::*;

/// Longer than the program keeps reading after it has sent its last line, and shorter than a test may take.
const LONGER_THAN_LINGER: Duration = Duration::from_millis(800);
/// More bytes than the program takes in two reads.
const THREE_READS_BYTES: usize = 10 * 1024;

/// Whether the connection is not reset for `duration`. A reset after a FIN shows only as a socket error.
fn is_not_reset(peer: &Peer, duration: Duration) -> bool {
    let deadline = Instant::now() + duration;
    while Instant::now() < deadline {
        if peer.stream.take_error().expect("socket is open").is_some() {
            return false;
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    true
}

/// Lines of at least `bytes` bytes in total, exceeding it by at most one line.
fn lines_of_at_least(bytes: usize) -> String {
    let line = format!("M {}\r\n", "x".repeat(100));
    line.repeat(bytes / line.len() + 1)
}

/// Stops the program while `act` runs, so that it sees everything that arrived meanwhile at once.
fn while_stopped(site: &Site, act: impl FnOnce()) {
    let state = || {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", site.program.pid()))
            .expect("program is running");
        stat.rsplit(") ")
            .next()
            .and_then(|rest| rest.chars().next())
    };
    site.program.stop();
    while state() != Some('T') {
        std::thread::sleep(Duration::from_millis(1));
    }
    act();
    site.program.signal("CONT");
}

/// Closes a connection and waits until the FIN has reached the program's socket. On a busy machine the FIN could arrive
/// after the reset that answers data sent to a closed connection.
fn close_and_wait_for_fin(peer: Peer) {
    /// The state in /proc/net/tcp of a connection whose peer has sent a FIN.
    const CLOSE_WAIT: &str = "08";
    let SocketAddr::V4(address) = peer.stream.local_addr().expect("socket is open") else {
        panic!("address is not IPv4")
    };
    drop(peer);
    let hex_address = format!(
        "{:08X}:{:04X}",
        u32::from_ne_bytes(address.ip().octets()),
        address.port()
    );
    let has_ended = || {
        let table = std::fs::read_to_string("/proc/net/tcp").expect("/proc/net/tcp is readable");
        table.lines().any(|line| {
            let mut fields = line.split_whitespace().skip(2);
            fields.next() == Some(&hex_address) && fields.next() == Some(CLOSE_WAIT)
        })
    };
    let deadline = Instant::now() + TEST_TIMEOUT;
    while !has_ended() {
        assert!(Instant::now() < deadline, "the FIN did not arrive in time");
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// Connects a client that sends one PING and then stays idle.
fn connect_idle(at: SocketAddr) -> Peer {
    let mut client = Peer::connect(at);
    client.send("PING\r\n");
    client.expect_line("PONG");
    client
}

/// The BUSY answer must not be lost to a reset, and the crossing request must not be sent to a server.
#[test]
fn answers_request_that_crosses_idle_close() {
    let site = Site::start("crosses", 1);
    let mut client = connect_idle(site.address);
    client.expect_line("BUSY");
    // Sent before the client reads the FIN.
    client.send("OPEN b1 02 c=chat,t=acme,d=2500,g=3\r\n");
    client.expect_end();
    assert!(
        is_not_reset(&client, LONGER_THAN_LINGER),
        "the answer must not be destroyed by a reset"
    );
    site.servers[0]
        .set_nonblocking(true)
        .expect("socket is open");
    assert!(
        site.servers[0].accept().is_err(),
        "nothing may be sent to a server"
    );
}

/// A request that has arrived when the idle timeout is handled must be served, not closed.
#[test]
fn serves_request_present_at_idle_timeout() {
    let site = Site::start("due", 1);
    let mut client = connect_idle(site.address);
    while_stopped(&site, || {
        // When the program resumes, the idle timeout has passed and the request is already there.
        std::thread::sleep(Duration::from_millis(1_700));
        client.send("OPEN b1 02 c=chat,t=acme,d=2500,g=3\r\n");
    });
    site.accept_opening(&mut client);
}

#[test]
fn keeps_connection_that_pings_regularly() {
    let site = Site::start("asking", 1);
    let mut client = connect_idle(site.address);
    let deadline = Instant::now() + Duration::from_millis(2_500);
    while Instant::now() < deadline {
        client.send("PING\r\n");
        client.expect_line("PONG");
        std::thread::sleep(Duration::from_millis(100));
    }
    client.send("OPEN b1 02 c=chat,t=acme,d=2500,g=3\r\n");
    site.accept_opening(&mut client);
}

#[test]
fn planned_restart_answers_idle_connections_before_exit() {
    let mut site = Site::start("restart", 1);
    let mut clients: Vec<Peer> = (0..5).map(|_| connect_idle(site.address)).collect();
    site.program.signal("TERM");
    for client in &mut clients {
        client.expect_line("BUSY");
        client.send("OPEN b1 02 c=chat,t=acme,d=2500,g=3\r\n");
        client.expect_end();
        assert!(
            client
                .stream
                .take_error()
                .expect("socket is open")
                .is_none(),
            "the answer must not be destroyed by a reset"
        );
        client.shutdown_write();
    }
    assert!(site.program.exits_cleanly(), "the program exits by itself");
}

#[test]
fn serves_request_written_over_two_seconds() {
    let site = Site::start("slow", 1);
    let request = "OPEN b1 02 c=chat,t=acme,d=2500,g=3\r\n";
    // Also on a connection that was idle before.
    for (connect, id) in [
        (Peer::connect as fn(SocketAddr) -> Peer, "b1"),
        (connect_idle, "b2"),
    ] {
        let mut client = connect(site.address);
        client.stream.set_nodelay(true).expect("socket is open");
        let started_at = Instant::now();
        for (number, byte) in (0_u32..).zip(request.replace("b1", id).chars()) {
            let due_at = started_at
                + Duration::from_millis(1_900) * number
                    / u32::try_from(request.len()).expect("length fits into u32");
            std::thread::sleep(due_at.saturating_duration_since(Instant::now()));
            client.send(&byte.to_string());
        }
        site.accept_opening(&mut client);
    }
}

/// Data that arrives after the close must not cause a reset that destroys the answer.
#[test]
fn rejected_client_still_sending_receives_answer() {
    let site = Site::start("refused", 1);
    let mut client = Peer::connect(site.address);
    client.send("HELLO\r\n");
    client.expect_line("ERR");
    client.send("more of it\r\n");
    client.expect_end();
    assert!(is_not_reset(&client, LONGER_THAN_LINGER));
}

/// An idle client is evicted for a new one while its request is on the way; a reset must not destroy the answer.
#[test]
fn evicted_client_receives_answer_when_request_crosses() {
    let site = Site::start("room", 1);
    // More than the number of silent connections allowed with 256 descriptors.
    let silent: Vec<Peer> = (0..52).map(|_| Peer::connect(site.address)).collect();
    std::thread::sleep(Duration::from_millis(200));
    drop(connect_idle(site.address));
    let has_answer = |peer: &&mut Peer| {
        peer.stream.set_nonblocking(true).expect("socket is open");
        let is_answered = !matches!(peer.stream.peek(&mut [0]), Err(error) if error.kind() == ErrorKind::WouldBlock);
        peer.stream.set_nonblocking(false).expect("socket is open");
        is_answered
    };
    let mut silent = silent;
    let evicted = silent
        .iter_mut()
        .rev()
        .find(has_answer)
        .expect("one idle connection was evicted");
    evicted.send("OPEN b1 02 c=chat,t=acme,d=2500,g=3\r\n");
    evicted.expect_line("BUSY");
    evicted.expect_end();
    assert!(is_not_reset(evicted, LONGER_THAN_LINGER));
}

#[test]
fn client_beyond_connection_limit_receives_answer() {
    let mut site = Site::start("beyond", 1);
    serve_all_openings(site.servers.remove(0));
    let mut established = Vec::new();
    let mut refused = loop {
        let mut client = site.open_client("chat", "");
        match client.read_line().as_deref() {
            Some("UP r") => established.push(client),
            answer => {
                assert_eq!(
                    answer,
                    Some("BUSY"),
                    "after {} established connections",
                    established.len()
                );
                break client;
            }
        }
    };
    refused.send("M 1\r\n");
    refused.expect_end();
    assert!(is_not_reset(&refused, LONGER_THAN_LINGER));
}

/// Client lines that cross the server's close must not reset the client's connection before the last line is read.
#[test]
fn relays_last_server_line_despite_crossing_lines() {
    for last_line in ["MOVE", "BYE"] {
        let site = Site::start(&format!("last{last_line}"), 1);
        let (mut client, mut server) = site.establish_connection();
        while_stopped(&site, || {
            client.send(&lines_of_at_least(THREE_READS_BYTES));
            server.send(&format!("{last_line}\r\n"));
            close_and_wait_for_fin(server);
        });
        client.expect_line(last_line);
        client.expect_end();
        assert!(is_not_reset(&client, LONGER_THAN_LINGER));
    }
}

/// Server lines that cross the client's close must not lose the client's last line or its close.
#[test]
fn relays_last_client_line_despite_crossing_lines() {
    let site = Site::start("lastline", 1);
    let (mut client, mut server) = site.establish_connection();
    while_stopped(&site, || {
        server.send(&lines_of_at_least(THREE_READS_BYTES));
        client.send("the last\r\n");
        close_and_wait_for_fin(client);
    });
    server.expect_line("the last");
    server.expect_end();
}

/// A client that has closed its sending side still receives everything that waits in the program.
#[test]
fn half_closed_client_receives_all_buffered_data() {
    /// Bytes that the server writes beyond what fits into the buffers between the two.
    const EXTRA_BYTES: usize = 512 * 1024;
    let site = Site::start("takes", 1);
    // A small receive buffer of the client makes more data wait in the program.
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("socket is created");
    socket
        .set_recv_buffer_size(4 * 1024)
        .expect("socket is open");
    socket
        .connect(&site.address.into())
        .expect("program accepts connections");
    let mut client = Peer::new(socket.into());
    client.send("OPEN b1 02 c=chat,t=acme,d=2500,g=3\r\n");
    let mut server = site.accept_opening(&mut client);
    SockRef::from(&server.stream)
        .set_send_buffer_size(64 * 1024)
        .expect("socket is open");
    let mut stream = server.stream.try_clone().expect("socket is open");
    let (written, limit) = (
        Arc::new(AtomicUsize::new(0)),
        Arc::new(AtomicUsize::new(usize::MAX)),
    );
    let (writer_count, writer_limit) = (Arc::clone(&written), Arc::clone(&limit));
    let writer = std::thread::spawn(move || {
        let line = lines_of_at_least(1);
        while writer_count.load(Ordering::SeqCst) < writer_limit.load(Ordering::SeqCst) {
            stream
                .write_all(line.as_bytes())
                .expect("connection is not reset");
            writer_count.fetch_add(line.len(), Ordering::SeqCst);
        }
    });
    // The client reads nothing: the buffers between the two fill up.
    let mut previous = None;
    while previous != Some(written.load(Ordering::SeqCst)) {
        previous = Some(written.load(Ordering::SeqCst));
        std::thread::sleep(Duration::from_millis(200));
    }
    limit.store(
        written.load(Ordering::SeqCst) + EXTRA_BYTES,
        Ordering::SeqCst,
    );
    client.shutdown_write();
    server.expect_end();
    // What fitted by chance has been relayed; the next read from the server waits for the client again.
    std::thread::sleep(Duration::from_millis(100));
    SockRef::from(&client.stream)
        .set_recv_buffer_size(1 << 20)
        .expect("socket is open");
    let mut received = Vec::new();
    client
        .stream
        .set_read_timeout(Some(TEST_TIMEOUT))
        .expect("socket is open");
    let ended = client.stream.read_to_end(&mut received);
    writer.join().expect("writer thread finishes");
    assert!(ended.is_ok(), "{ended:?}");
    assert_eq!(received.len(), written.load(Ordering::SeqCst));
}

#[test]
fn drains_server_that_sends_after_close() {
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

/// An answer longer than a line may be counts as an error of the server.
#[test]
fn retries_next_server_after_overlong_answer() {
    let site = Site::start("long", 1);
    let mut client = site.open_client("chat", "");
    for answer in [format!("UP {}\r\n", "x".repeat(4_200)), "x".repeat(9_000)] {
        let mut server = Peer::accept(&site.servers[0]);
        server.read_line().expect("a request is received");
        server.send(&answer);
        assert!(server.is_closed());
    }
    let mut server = Peer::accept(&site.servers[0]);
    server.read_line().expect("a request is received");
    // More lines follow the answer, and the close, in one segment.
    server.send("UP r1\r\nLOAD 3\r\nBYE\r\n");
    drop(server);
    client.expect_line("UP r1");
    client.expect_line("LOAD 3");
    client.expect_line("BYE");
    client.expect_end();
}

/// Data after the answer of an abandoned attempt must not reach the client.
#[test]
fn discards_second_answer_of_abandoned_attempt() {
    let site = Site::start("second", 1);
    let mut client = site.open_client("chat", "");
    for first in ["BUSY", "ERR"] {
        let mut server = Peer::accept(&site.servers[0]);
        server.read_line().expect("a request is received");
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
fn relays_partial_line_when_server_closes() {
    let site = Site::start("halfline", 1);
    let (mut client, mut server) = site.establish_connection();
    while_stopped(&site, || {
        server.send("whole\r\nhal");
        close_and_wait_for_fin(server);
        client.send("M 1\r\n");
    });
    client.expect_line("whole");
    client.expect_line("hal");
    client.expect_end();
}

/// Accepts every request and answers load probes for as long as the test runs.
fn serve_and_report_load(server: TcpListener) {
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

/// Idle clients and probes must not use up the descriptors that the watch, the operations port and a reload need.
#[test]
fn reserves_descriptors_for_watch_operations_and_reload() {
    const SERVERS: usize = 90;
    let probes = SETTINGS.replace(
        "\"policy-limits\":{",
        "\"policy-limits\":{\"may-probe\":true,",
    );
    let settings = probes.replace(
        "\"rules\"",
        "\"report\":{\"how\":\"on_probe\",\"names\":[\"x0\",\"q\"]},\"rules\"",
    );
    let operations_address = reserve_address();
    let env = [("LB_ADMIN_ADDR", operations_address.to_string())];
    let env = env.each_ref().map(|(name, value)| (*name, value.as_str()));
    let mut site = Site::start_with_settings(&settings, "descriptors", SERVERS, &env);
    site.servers.drain(..).for_each(serve_and_report_load);
    let descriptor_count = || {
        std::fs::read_dir(format!("/proc/{}/fd", site.program.pid()))
            .expect("program is running")
            .count()
    };
    let _first = site.discovery.accept_watch();
    let mut max_descriptors = 0;
    let mut established = Vec::new();
    // Connects until no more clients are accepted; meanwhile servers are probed for their loads.
    for _ in 0..300 {
        let mut client = site.open_client("chat", "");
        let answer = client.read_line();
        max_descriptors = max_descriptors.max(descriptor_count());
        match answer.as_deref() {
            Some("UP r") => established.push(client),
            _ => std::thread::sleep(Duration::from_millis(5)),
        }
    }
    assert!(
        established.len() > 40,
        "only {} connections established",
        established.len()
    );
    let silent: Vec<Peer> = (0..200)
        .map(|_| {
            max_descriptors = max_descriptors.max(descriptor_count());
            Peer::connect(site.address)
        })
        .collect();
    // The silent watch is reopened, the file is reloaded, and the operations port answers.
    site.discovery.stop_heartbeats();
    site.discovery.accept_watch();
    site.program.signal("HUP");
    site.program.wait_for_log("configuration is unchanged");
    let status = Api {
        address: operations_address,
        token: "none is wanted",
    }
    .call("GET", "/status", "");
    assert_eq!(status.status, 200, "{}", status.body);
    max_descriptors = max_descriptors.max(descriptor_count());
    assert!(
        max_descriptors <= 256,
        "{max_descriptors} descriptors open, limit is 256"
    );
    drop(silent);
}
