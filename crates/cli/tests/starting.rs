//! Stories of a start: it is ready in time whatever discovery does, and it never says yes before it can serve.

mod support;

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use support::*;

const RESPONSE_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
/// Nine in ten restarted processes are ready by then on a short day.
const MAX_READY_TIME: Duration = Duration::from_secs(6);

fn address_of(listener: &TcpListener) -> SocketAddr {
    listener.local_addr().expect("bound")
}

/// What a discovery does with whoever calls.
#[derive(Clone, Copy, Debug)]
enum DiscoveryBehaviour {
    /// Nobody listens.
    Down,
    /// Its calls never come up.
    BacklogFull,
    /// It takes a call and says nothing.
    Silent,
    /// It is overloaded.
    Overloaded,
    /// It breaks calls off.
    Resets,
    /// It says nothing after the head.
    HeadOnly,
}

/// Plays it for as long as the test runs; gives its address.
fn start_discovery(behaviour: DiscoveryBehaviour) -> SocketAddr {
    if matches!(behaviour, DiscoveryBehaviour::Down) {
        return free();
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
                .hear_or_end()
                .is_some_and(|line| !line.trim_end().is_empty())
            {}
            match behaviour {
                DiscoveryBehaviour::Overloaded => {
                    call.say("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
                }
                DiscoveryBehaviour::HeadOnly => {
                    call.say(RESPONSE_HEAD);
                    open_calls.push(call);
                }
                DiscoveryBehaviour::Silent => open_calls.push(call),
                _ => drop(call),
            }
        }
    });
    address
}

/// A listener whose line is full: no connection to it comes up.
fn address_with_full_backlog() -> SocketAddr {
    let socket =
        socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    socket
        .bind(&SocketAddr::new(address_of(&listener()).ip(), 0).into())
        .expect("loopback");
    socket.listen(0).expect("bound");
    let listener = TcpListener::from(socket);
    let address = address_of(&listener);
    let connect_timeout = Duration::from_millis(100);
    let backlog: Vec<TcpStream> =
        std::iter::from_fn(|| TcpStream::connect_timeout(&address, connect_timeout).ok()).collect();
    // Both last as long as the test's process.
    std::mem::forget((listener, backlog));
    address
}

/// A reset is no answer. Guards against the listener that found the free address: a process of another thread that is
/// just being started may hold it for a moment longer, and takes connections to its end.
fn ping_answer(address: SocketAddr) -> Option<String> {
    let mut front = Peer::connect(address);
    let _ = front.stream.write_all(b"PING\r\n");
    front.hear_or_end().map(|line| line.trim_end().to_owned())
}

#[test]
fn becomes_ready_in_time_despite_discovery_failures() {
    use DiscoveryBehaviour::{BacklogFull, Down, HeadOnly, Overloaded, Resets, Silent};
    std::thread::scope(|scope| {
        for discovery in [Down, BacklogFull, Silent, Overloaded, Resets, HeadOnly] {
            for kind in ["subscribe", "automatic"] {
                scope.spawn(move || {
                    let (server, front) = (listener(), free());
                    let settings = SETTINGS
                        .replace("subscribe", kind)
                        .replace("\"balancers\":1,", "\"balancers\":300,")
                        .replace("400000000,", "4000000000,")
                        .replace("3000000000", "9000000000");
                    let rows = [("s0", address_of(&server), "SERVING")];
                    let text = config(
                        front,
                        start_discovery(discovery),
                        &list(1, true, &rows),
                        &settings,
                        256,
                    );
                    let path = file(&format!("start-{kind}-{discovery:?}"), &text);
                    let started_at = Instant::now();
                    let _program = Program::start(&[], &[("LB_CONFIG", path.as_str())]);
                    while ping_answer(front).as_deref() != Some("PONG") {}
                    assert!(
                        started_at.elapsed() < MAX_READY_TIME,
                        "{kind}, {discovery:?}: {:?}",
                        started_at.elapsed()
                    );
                    // Who says yes serves.
                    let mut client = Peer::connect(front);
                    client.say("OPEN a1 02 c=chat,t=acme,d=9000,g=3\r\n");
                    let mut server_connection = Peer::accept(&server);
                    server_connection.hear().expect("an opening");
                    server_connection.say("UP r1\r\n");
                    client.hears("UP r1");
                });
            }
        }
    });
}

#[test]
fn reports_not_ready_until_servers_are_listed() {
    let (discovery, server, front) = (listener(), listener(), free());
    // Its version is of no use: what changed since would not be all that there is.
    let text = config(
        front,
        address_of(&discovery),
        &list(41, true, &[]),
        SETTINGS,
        256,
    );
    let path = file("none", &text);
    let program = Program::start(&[], &[("LB_CONFIG", path.as_str())]);
    let mut call = Peer::accept(&discovery);
    assert!(
        call.hear().is_some_and(|line| line.contains("from=0 ")),
        "the whole list"
    );
    while call.hear().is_some_and(|line| !line.is_empty()) {}
    let answer = ping_answer(front);
    assert!(
        answer.is_some() && answer.as_deref() != Some("PONG"),
        "{answer:?}"
    );
    call.say("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
    let mut call = Peer::accept(&discovery);
    while call.hear().is_some_and(|line| !line.is_empty()) {}
    call.say(RESPONSE_HEAD);
    tell(
        &mut call,
        1,
        true,
        &[("s0", address_of(&server), "SERVING")],
    );
    program.says("to=serving");
    assert_eq!(ping_answer(front).as_deref(), Some("PONG"));
}
