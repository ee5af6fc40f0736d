//! Stories of a start: it is ready in time whatever discovery does, and it never says yes before it can serve.

mod support;

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use support::*;

const HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
/// Nine in ten restarted processes are ready by then on a short day.
const READY: Duration = Duration::from_secs(6);

fn at(listener: &TcpListener) -> SocketAddr {
    listener.local_addr().expect("bound")
}

/// What a discovery does with whoever calls.
#[derive(Clone, Copy, Debug)]
enum Plays {
    /// Nobody listens.
    Down,
    /// Its calls never come up.
    Full,
    /// It takes a call and says nothing.
    Silent,
    /// It is overloaded.
    Refuses,
    /// It breaks calls off.
    Resets,
    /// It says nothing after the head.
    HeadAlone,
}

/// Plays it for as long as the test runs; gives its address.
fn plays(how: Plays) -> SocketAddr {
    if matches!(how, Plays::Down) {
        return reserve_address();
    }
    if matches!(how, Plays::Full) {
        return full();
    }
    let listener = listener();
    let address = at(&listener);
    std::thread::spawn(move || {
        let mut kept = Vec::new();
        while let Ok((stream, _)) = listener.accept() {
            let mut call = Peer::new(stream);
            while call
                .read_line_or_end()
                .is_some_and(|line| !line.trim_end().is_empty())
            {}
            match how {
                Plays::Refuses => {
                    call.send("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
                }
                Plays::HeadAlone => {
                    call.send(HEAD);
                    kept.push(call);
                }
                Plays::Silent => kept.push(call),
                _ => drop(call),
            }
        }
    });
    address
}

/// A listener whose line is full: no connection to it comes up.
fn full() -> SocketAddr {
    let socket =
        socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    socket
        .bind(&SocketAddr::new(at(&listener()).ip(), 0).into())
        .expect("loopback");
    socket.listen(0).expect("bound");
    let listener = TcpListener::from(socket);
    let address = at(&listener);
    let short = Duration::from_millis(100);
    let line: Vec<TcpStream> =
        std::iter::from_fn(|| TcpStream::connect_timeout(&address, short).ok()).collect();
    // Both last as long as the test's process.
    std::mem::forget((listener, line));
    address
}

/// A reset is no answer. Guards against the listener that found the free address: a process of another thread that is
/// just being started may hold it for a moment longer, and takes connections to its end.
fn answer_to_ping(at: SocketAddr) -> Option<String> {
    let mut front = Peer::connect(at);
    let _ = front.stream.write_all(b"PING\r\n");
    front
        .read_line_or_end()
        .map(|line| line.trim_end().to_owned())
}

#[test]
fn a_start_is_ready_and_serves_in_time_whatever_discovery_does() {
    use Plays::{Down, Full, HeadAlone, Refuses, Resets, Silent};
    std::thread::scope(|scope| {
        for discovery in [Down, Full, Silent, Refuses, Resets, HeadAlone] {
            for kind in ["subscribe", "automatic"] {
                scope.spawn(move || {
                    let (server, front) = (listener(), reserve_address());
                    let settings = SETTINGS
                        .replace("subscribe", kind)
                        .replace("\"balancers\":1,", "\"balancers\":300,")
                        .replace("400000000,", "4000000000,")
                        .replace("3000000000", "9000000000");
                    let rows = [("s0", at(&server), "SERVING")];
                    let text = platform_config(
                        front,
                        plays(discovery),
                        &endpoint_list(1, true, &rows),
                        &settings,
                        256,
                    );
                    let path = write_temp_file(&format!("start-{kind}-{discovery:?}"), &text);
                    let begun = Instant::now();
                    let _program = Program::start(&[], &[("LB_CONFIG", path.as_str())]);
                    while answer_to_ping(front).as_deref() != Some("PONG") {}
                    assert!(
                        begun.elapsed() < READY,
                        "{kind}, {discovery:?}: {:?}",
                        begun.elapsed()
                    );
                    // Who says yes serves.
                    let mut client = Peer::connect(front);
                    client.send("OPEN a1 02 c=chat,t=acme,d=9000,g=3\r\n");
                    let mut peer = Peer::accept(&server);
                    peer.read_line().expect("an opening");
                    peer.send("UP r1\r\n");
                    client.expect_line("UP r1");
                });
            }
        }
    });
}

#[test]
fn a_process_that_knows_no_server_says_no_until_a_list_comes() {
    let (discovery, server, front) = (listener(), listener(), reserve_address());
    // Its version is of no use: what changed since would not be all that there is.
    let text = platform_config(
        front,
        at(&discovery),
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
        "the whole list"
    );
    while call.read_line().is_some_and(|line| !line.is_empty()) {}
    let no = answer_to_ping(front);
    assert!(no.is_some() && no.as_deref() != Some("PONG"), "{no:?}");
    call.send("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
    let mut call = Peer::accept(&discovery);
    while call.read_line().is_some_and(|line| !line.is_empty()) {}
    call.send(HEAD);
    send_endpoints(&mut call, 1, true, &[("s0", at(&server), "SERVING")]);
    program.wait_for_log("to=serving");
    assert_eq!(answer_to_ping(front).as_deref(), Some("PONG"));
}
