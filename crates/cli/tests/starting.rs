//! Tests of startup: the program is ready in time however discovery fails, and never reports ready before it can serve.

mod support;

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use support::*;

const RESPONSE_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
/// Nine in ten restarted processes are ready within this time on a short day.
const MAX_READY_TIME: Duration = Duration::from_secs(6);

fn address_of(listener: &TcpListener) -> SocketAddr {
    listener.local_addr().expect("listener is bound")
}

/// How the simulated discovery treats calls.
#[derive(Clone, Copy, Debug)]
enum DiscoveryBehaviour {
    /// No process listens at the address.
    Down,
    /// Connections are never established, since the backlog is full.
    BacklogFull,
    /// Calls are accepted and never answered.
    Silent,
    /// Calls are answered with 503.
    Overloaded,
    /// Calls are closed without an answer.
    Resets,
    /// The response head is sent, and nothing after it.
    HeadOnly,
}

/// Simulates discovery for as long as the test runs, and returns its address.
fn start_discovery(behaviour: DiscoveryBehaviour) -> SocketAddr {
    if matches!(behaviour, DiscoveryBehaviour::Down) {
        return reserve_address();
    }
    if matches!(behaviour, DiscoveryBehaviour::BacklogFull) {
        return address_with_full_backlog();
    }
    let listener = listener();
    let address = address_of(&listener);
    std::thread::spawn(move || {
        let mut open_calls = Vec::new();
        while let Ok((stream, _)) = listener.accept() {
            let mut call = Peer::new(stream);
            while call
                .read_line_or_end()
                .is_some_and(|line| !line.trim_end().is_empty())
            {}
            match behaviour {
                DiscoveryBehaviour::Overloaded => {
                    call.send("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
                }
                DiscoveryBehaviour::HeadOnly => {
                    call.send(RESPONSE_HEAD);
                    open_calls.push(call);
                }
                DiscoveryBehaviour::Silent => open_calls.push(call),
                _ => drop(call),
            }
        }
    });
    address
}

/// The address of a listener whose backlog is full, so that no connection to it is established.
fn address_with_full_backlog() -> SocketAddr {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)
        .expect("socket is created");
    socket
        .bind(&SocketAddr::new(address_of(&listener()).ip(), 0).into())
        .expect("socket binds to loopback");
    socket.listen(0).expect("listener is bound");
    let listener = TcpListener::from(socket);
    let address = address_of(&listener);
    let connect_timeout = Duration::from_millis(100);
    let backlog: Vec<TcpStream> =
        std::iter::from_fn(|| TcpStream::connect_timeout(&address, connect_timeout).ok()).collect();
    // Both stay open until the test process exits.
    std::mem::forget((listener, backlog));
    address
}

/// Sends a PING and returns the answer; a reset counts as no answer. The listener that found the free address may be
/// inherited for a moment by a process that another thread is starting, and then accepts connections until it closes.
fn ping_answer(address: SocketAddr) -> Option<String> {
    let mut front = Peer::connect(address);
    let _ = front.stream.write_all(b"PING\r\n");
    front
        .read_line_or_end()
        .map(|line| line.trim_end().to_owned())
}

#[test]
fn becomes_ready_in_time_despite_discovery_failures() {
    use DiscoveryBehaviour::{BacklogFull, Down, HeadOnly, Overloaded, Resets, Silent};
    std::thread::scope(|scope| {
        for discovery in [Down, BacklogFull, Silent, Overloaded, Resets, HeadOnly] {
            for kind in ["subscribe", "automatic"] {
                scope.spawn(move || {
                    let (server, front) = (listener(), reserve_address());
                    let settings = SETTINGS
                        .replace("subscribe", kind)
                        .replace("\"balancers\":1,", "\"balancers\":300,")
                        .replace("400000000,", "4000000000,")
                        .replace("3000000000", "9000000000");
                    let rows = [("s0", address_of(&server), "SERVING")];
                    let text = platform_config(
                        front,
                        start_discovery(discovery),
                        &endpoint_list(1, true, &rows),
                        &settings,
                        256,
                    );
                    let path = write_temp_file(&format!("start-{kind}-{discovery:?}"), &text);
                    let started_at = Instant::now();
                    let _program = Program::start(&[], &[("LB_CONFIG", path.as_str())]);
                    while ping_answer(front).as_deref() != Some("PONG") {}
                    assert!(
                        started_at.elapsed() < MAX_READY_TIME,
                        "{kind}, {discovery:?}: {:?}",
                        started_at.elapsed()
                    );
                    // A program that reports ready must serve.
                    let mut client = Peer::connect(front);
                    client.send("OPEN a1 02 c=chat,t=acme,d=9000,g=3\r\n");
                    let mut server_connection = Peer::accept(&server);
                    server_connection
                        .read_line()
                        .expect("a request is received");
                    server_connection.send("UP r1\r\n");
                    client.expect_line("UP r1");
                });
            }
        }
    });
}

#[test]
fn reports_not_ready_until_servers_are_listed() {
    let (discovery, server, front) = (listener(), listener(), reserve_address());
    // An empty list must not be resumed from its version: the changes since then would not be the whole list.
    let text = platform_config(
        front,
        address_of(&discovery),
        &endpoint_list(41, true, &[]),
        SETTINGS,
        256,
    );
    let path = write_temp_file("none", &text);
    let program = Program::start(&[], &[("LB_CONFIG", path.as_str())]);
    let mut call = Peer::accept(&discovery);
    assert!(
        call.read_line()
            .is_some_and(|line| line.contains("from=0 ")),
        "the whole list is requested"
    );
    while call.read_line().is_some_and(|line| !line.is_empty()) {}
    let answer = ping_answer(front);
    assert!(
        answer.is_some() && answer.as_deref() != Some("PONG"),
        "{answer:?}"
    );
    call.send("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
    let mut call = Peer::accept(&discovery);
    while call.read_line().is_some_and(|line| !line.is_empty()) {}
    call.send(RESPONSE_HEAD);
    send_endpoints(
        &mut call,
        1,
        true,
        &[("s0", address_of(&server), "SERVING")],
    );
    program.wait_for_log("to=serving");
    assert_eq!(ping_answer(front).as_deref(), Some("PONG"));
}
