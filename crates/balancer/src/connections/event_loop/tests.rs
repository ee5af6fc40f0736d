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
const PATIENCE: Duration = Duration::from_secs(30);

/// A connection's end that speaks lines.
struct Speaker(BufReader<TcpStream>);

impl Speaker {
    fn new(stream: TcpStream) -> Speaker {
        stream.set_read_timeout(Some(PATIENCE)).expect("a socket");
        Speaker(BufReader::new(stream))
    }

    fn hears(&mut self) -> String {
        let mut line = String::new();
        self.0.read_line(&mut line).expect("a line or the end");
        line.trim_end().to_owned()
    }

    fn says(&mut self, words: &str) {
        self.0
            .get_mut()
            .write_all(words.as_bytes())
            .expect("the other side reads");
    }
}

/// The thread that serves connections, a client that has opened, and its server's listener.
struct Scene {
    connections_handle: ConnectionsHandle<Platform>,
    client: Speaker,
    server: TcpListener,
}

/// The number of the only request.
const ONLY: u64 = 0;

impl Scene {
    fn new() -> Scene {
        Scene::on(TcpListener::bind("127.0.0.1:0").expect("loopback"))
    }

    fn on(server: TcpListener) -> Scene {
        let core = core(server.local_addr().expect("bound"));
        let setup = serde_json::from_str(SETTINGS).expect("settings");
        let front = Arc::new(Platform::new(SharedSettings::new(setup)));
        let connections_handle = serve(&front, &core, None).expect("a thread");
        let (client, own) = pair();
        let now = core.clock().now();
        let HandshakeLine::Connect((request, server_handshake)) =
            front.parse_handshake(b"OPEN a1 02 c=chat,d=60000\r\n", now)
        else {
            panic!("an opening");
        };
        net::configure_stream(&own).expect("open");
        let connection = ClientConnection::new(&*front, own, Vec::new());
        let slot = core.reserve_connection(1).expect("room");
        connections_handle.admit(AdmittedClient {
            client: connection,
            request,
            server_handshake,
            slot,
        });
        Scene {
            connections_handle,
            client: Speaker::new(client),
            server,
        }
    }

    /// The server's end of the attempt, whose opening has come.
    fn opened(&self) -> Speaker {
        let mut server = Speaker::new(self.server.accept().expect("an attempt").0);
        assert!(server.hears().starts_with("OPEN a1 "));
        server
    }
}

fn core(server: SocketAddr) -> CoreHandle {
    let row = format!(r#"{{"instanceId":"s0","hostPort":"{server}","lifecycle":"SERVING"}}"#);
    let list = format!(r#"{{"generation":1,"reset":true,"instances":[{row}]}}"#);
    let begun = start(CoreConfig {
        name: "test",
        site: serde_json::from_str(SETTINGS).expect("settings"),
        seed: 7,
        clock: Clock::start(),
        cached_list: serde_json::from_str(&list).expect("a list"),
        discovery_polls: unbounded().0,
        prober: None,
        overrides: beaconflow_overrides::OverrideSet::new(0),
        admission: Default::default(),
        fleet: None,
    });
    begun.expect("sound settings").0
}

/// Both ends of a connection.
fn pair() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback");
    let one = TcpStream::connect(listener.local_addr().expect("bound")).expect("it listens");
    (one, listener.accept().expect("it came").0)
}

#[test]
fn a_last_word_that_crosses_the_servers_answer_moves_the_client_that_stands() {
    for last_word in [
        ConnectionCommand::Fail,
        ConnectionCommand::Reject(None),
        ConnectionCommand::AbandonAttempt,
    ] {
        let mut scene = Scene::new();
        let mut server = scene.opened();
        server.says("UP r1\r\n");
        assert_eq!(scene.client.hears(), "UP r1", "it stands");
        let named = format!("{last_word:?}");
        scene.connections_handle.send(ONLY, last_word);
        assert_eq!(scene.client.hears(), "MOVE", "{named}");
        assert_eq!(
            (scene.client.hears(), server.hears()),
            (String::new(), String::new()),
            "both end"
        );
    }
}

#[test]
fn an_answer_that_crosses_the_last_word_reaches_nobody_and_its_connection_ends() {
    let mut scene = Scene::new();
    let mut server = scene.opened();
    scene
        .connections_handle
        .send(ONLY, ConnectionCommand::AbandonAttempt);
    assert_eq!(scene.client.hears(), "ERR", "it may have run");
    // The server's answer comes after its connection was ended.
    assert_eq!(server.hears(), "");
    let _ = server.0.get_mut().write_all(b"UP r1\r\n");
    assert_eq!(scene.client.hears(), "", "one answer and no more");
}

#[test]
fn one_that_is_given_up_while_its_server_has_not_come_up_is_refused_at_once_and_not_sent_on() {
    let (server, filler) = full_listener();
    let address = server.local_addr().expect("bound");
    let mut scene = Scene::on(server);
    let until = Instant::now() + PATIENCE;
    while !is_connecting_to(address) {
        assert!(Instant::now() < until, "no attempt");
        std::thread::sleep(Duration::from_millis(5));
    }
    scene
        .connections_handle
        .send(ONLY, ConnectionCommand::AbandonAttempt);
    assert_eq!(scene.client.hears(), "BUSY", "it never ran");
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
