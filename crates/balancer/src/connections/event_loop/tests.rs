//! Orders that cross what happens on a connection: the thread that serves it is given both, in a chosen order.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use super::*;
use crate::clock::Clock;
use crate::config::SharedSettings;
use crate::core::{CoreConfig, start};
use crate::front::HandshakeLine;
use crate::front::platform::Platform;
use crate::net;
use crate::testing::full_listener;

const SETTINGS: &str = r#"{"discovery": "automatic",
    "lanes": [{"name": "chat", "on-time-ns": 300000000, "hard-limit-ns": 60000000000,
               "effect": "retryable", "value": 1.0}],
    "policy-limits": {"max-attempts": 4, "connect-timeout-ns": 60000000000, "retry-after": true,
                      "max-retry-after-ns": 2000000000},
    "rules": {"cold-share": 0.2, "cold-ns": 20000000000, "tip-multiple": 3.0, "fall-ns": 1500000000}}"#;
/// A test that waits for so long has failed.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// A connection's end that speaks lines.
struct LineStream(BufReader<TcpStream>);

impl LineStream {
    fn new(stream: TcpStream) -> LineStream {
        stream
            .set_read_timeout(Some(TEST_TIMEOUT))
            .expect("a socket");
        LineStream(BufReader::new(stream))
    }

    fn receive_line(&mut self) -> String {
        let mut line = String::new();
        self.0.read_line(&mut line).expect("a line or the end");
        line.trim_end().to_owned()
    }

    fn send_text(&mut self, text: &str) {
        self.0
            .get_mut()
            .write_all(text.as_bytes())
            .expect("the other side reads");
    }
}

/// The thread that serves connections, a client that has opened, and its server's listener.
struct Fixture {
    connections_handle: ConnectionsHandle<Platform>,
    client: LineStream,
    server: TcpListener,
}

/// The number of the only request.
const REQUEST_ID: u64 = 0;

impl Fixture {
    fn new() -> Fixture {
        Fixture::with_server(TcpListener::bind("127.0.0.1:0").expect("loopback"))
    }

    fn with_server(server: TcpListener) -> Fixture {
        let core = core(server.local_addr().expect("bound"));
        let settings = serde_json::from_str(SETTINGS).expect("settings");
        let front = Arc::new(Platform::new(SharedSettings::new(settings)));
        let connections_handle = serve(&front, &core, None).expect("a thread");
        let (client, accepted) = pair();
        let now = core.clock().now();
        let HandshakeLine::Connect((request, server_handshake)) =
            front.parse_handshake(b"OPEN a1 02 c=chat,d=60000\r\n", now)
        else {
            panic!("an opening");
        };
        net::configure_stream(&accepted).expect("open");
        let connection = ClientConnection::new(&*front, accepted, Vec::new());
        let slot = core.reserve_connection(1).expect("room");
        connections_handle.admit(AdmittedClient {
            client: connection,
            request,
            server_handshake,
            slot,
        });
        Fixture {
            connections_handle,
            client: LineStream::new(client),
            server,
        }
    }

    /// The server's end of the attempt, whose opening has come.
    fn accept_attempt(&self) -> LineStream {
        let mut server = LineStream::new(self.server.accept().expect("an attempt").0);
        assert!(server.receive_line().starts_with("OPEN a1 "));
        server
    }
}

fn core(server: SocketAddr) -> CoreHandle {
    let instance = format!(r#"{{"instanceId":"s0","hostPort":"{server}","lifecycle":"SERVING"}}"#);
    let list = format!(r#"{{"generation":1,"reset":true,"instances":[{instance}]}}"#);
    let started = start(CoreConfig {
        name: "test",
        site: serde_json::from_str(SETTINGS).expect("settings"),
        seed: 7,
        clock: Clock::start(),
        cached_list: serde_json::from_str(&list).expect("a list"),
        discovery_polls: unbounded().0,
        prober: None,
        overrides: beaconflow_overrides::Set::new(0),
        admission: Default::default(),
        fleet: None,
    });
    started.expect("sound settings").0
}

/// Both ends of a connection.
fn pair() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback");
    let client = TcpStream::connect(listener.local_addr().expect("bound")).expect("it listens");
    (client, listener.accept().expect("it came").0)
}

#[test]
fn migrates_client_when_final_command_crosses_server_answer() {
    for command in [
        ConnectionCommand::Fail,
        ConnectionCommand::Reject(None),
        ConnectionCommand::AbandonAttempt,
    ] {
        let mut fixture = Fixture::new();
        let mut server = fixture.accept_attempt();
        server.send_text("UP r1\r\n");
        assert_eq!(fixture.client.receive_line(), "UP r1", "it stands");
        let command_name = format!("{command:?}");
        fixture.connections_handle.send(REQUEST_ID, command);
        assert_eq!(fixture.client.receive_line(), "MOVE", "{command_name}");
        assert_eq!(
            (fixture.client.receive_line(), server.receive_line()),
            (String::new(), String::new()),
            "both end"
        );
    }
}

#[test]
fn drops_server_answer_after_abandoned_attempt() {
    let mut fixture = Fixture::new();
    let mut server = fixture.accept_attempt();
    fixture
        .connections_handle
        .send(REQUEST_ID, ConnectionCommand::AbandonAttempt);
    assert_eq!(fixture.client.receive_line(), "ERR", "it may have run");
    // The server's answer comes after its connection was ended.
    assert_eq!(server.receive_line(), "");
    let _ = server.0.get_mut().write_all(b"UP r1\r\n");
    assert_eq!(fixture.client.receive_line(), "", "one answer and no more");
}

#[test]
fn rejects_client_when_attempt_is_abandoned_during_connect() {
    let (server, filler) = full_listener();
    let address = server.local_addr().expect("bound");
    let mut fixture = Fixture::with_server(server);
    let deadline_at = Instant::now() + TEST_TIMEOUT;
    while !is_connecting_to(address) {
        assert!(Instant::now() < deadline_at, "no attempt");
        std::thread::sleep(Duration::from_millis(5));
    }
    fixture
        .connections_handle
        .send(REQUEST_ID, ConnectionCommand::AbandonAttempt);
    assert_eq!(fixture.client.receive_line(), "BUSY", "it never ran");
    assert!(!is_connecting_to(address), "its attempt has ended before");
    drop(filler);
}

/// Whether the system has a connection to that address under way.
fn is_connecting_to(address: SocketAddr) -> bool {
    /// The state of a connection whose first packet has not been answered, in the system's table.
    const SYN_SENT: &str = "02";
    let SocketAddr::V4(address) = address else {
        return false;
    };
    let peer = format!(
        "{:08X}:{:04X}",
        u32::from_ne_bytes(address.ip().octets()),
        address.port()
    );
    let table = std::fs::read_to_string("/proc/net/tcp").expect("the system's table");
    table.lines().any(|line| {
        let mut fields = line.split_whitespace().skip(2);
        fields.next() == Some(&peer) && fields.next() == Some(SYN_SENT)
    })
}
