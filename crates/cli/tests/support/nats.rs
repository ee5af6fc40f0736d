//! Stand-ins for NATS, written from its public specification, and for Redis, and the rules that every exchange keeps.

use std::collections::{BTreeMap, HashMap};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

pub use beaconflow_contracts::redis::Redis;

use super::{Api, Peer, SETTINGS, listener};

/// How a NATS server answers a connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Behavior {
    Serve,
    SilentAfterConnect,
    RejectAsFull,
    RejectAuthorization,
    /// Closes the connection before INFO.
    CloseBeforeInfo,
    /// Sends INFO once the write lock is free.
    DelayInfo,
}

/// One client session at a server, from the last byte of CONNECT to the end of the connection.
#[derive(Clone)]
struct Session {
    client: String,
    server: String,
    began_at: Instant,
    ended_at: Option<Instant>,
}

/// Observations of all servers and clients, against which the rules are checked.
#[derive(Default)]
pub struct ExchangeRecord {
    sessions: Vec<Session>,
    drained_at: BTreeMap<String, Instant>,
    answers: BTreeMap<String, Vec<String>>,
}

pub type SharedRecord = Arc<Mutex<ExchangeRecord>>;

impl ExchangeRecord {
    pub fn record_drain(&mut self, server: &str) {
        self.drained_at.insert(server.to_owned(), Instant::now());
    }

    pub fn record_answer(&mut self, client: &str, answer: &str) {
        self.answers
            .entry(client.to_owned())
            .or_default()
            .push(answer.to_owned());
    }

    /// Checks that each client got one answer, that no session began more than 1 s after its server's drain, and that no two
    /// sessions of a client overlap.
    pub fn assert_rules_kept(&self) {
        for (client, answers) in &self.answers {
            assert!(
                answers.len() == 1,
                "{client} got {answers:?} instead of one answer"
            );
        }
        for (index, session) in self.sessions.iter().enumerate() {
            if let Some(drained_at) = self.drained_at.get(&session.server) {
                let delay = session.began_at.saturating_duration_since(*drained_at);
                assert!(
                    delay <= Duration::from_secs(1),
                    "{} got a session {delay:?} after its drain",
                    session.server
                );
            }
            for later in self.sessions[index + 1..]
                .iter()
                .filter(|later| later.client == session.client)
            {
                let has_ended = session
                    .ended_at
                    .is_some_and(|ended_at| ended_at <= later.began_at);
                assert!(
                    has_ended,
                    "sessions of {} overlap at {} and {}",
                    session.client, session.server, later.server
                );
            }
        }
    }

    /// Whether a client had a session at a server.
    pub fn has_session(&self, client: &str, server: &str) -> bool {
        self.sessions
            .iter()
            .any(|session| session.client == client && session.server == server)
    }

    pub fn session_count(&self, client: &str) -> usize {
        self.sessions
            .iter()
            .filter(|session| session.client == client)
            .count()
    }
}

/// A NATS server that answers PING, echoes each client's messages back to it, and sends a PING of its own before each
/// echoed message.
pub struct NatsServer {
    pub name: String,
    pub address: SocketAddr,
    behavior: Arc<Mutex<Behavior>>,
    /// Whether established connections no longer answer.
    pub is_silent: Arc<AtomicBool>,
    /// Held while writing, so that a server's answers never interrupt a message that has begun.
    pub write_lock: Arc<Mutex<()>>,
    /// The open connections by their number.
    peers: Arc<Mutex<HashMap<usize, TcpStream>>>,
}

impl NatsServer {
    pub fn start(name: &str, behavior: Behavior, record: &SharedRecord) -> NatsServer {
        let listener = listener();
        let address = listener
            .local_addr()
            .expect("bound socket has a local address");
        let (behavior, is_silent) = (
            Arc::new(Mutex::new(behavior)),
            Arc::new(AtomicBool::new(false)),
        );
        let peers = Arc::default();
        let write_lock = Arc::default();
        let server = NatsServer {
            name: name.to_owned(),
            address,
            behavior,
            is_silent,
            write_lock,
            peers,
        };
        let (name, record, peers) = (
            name.to_owned(),
            Arc::clone(record),
            Arc::clone(&server.peers),
        );
        let (behavior, is_silent) = (Arc::clone(&server.behavior), Arc::clone(&server.is_silent));
        let write_lock = Arc::clone(&server.write_lock);
        std::thread::spawn(move || {
            for number in 0.. {
                let Ok((stream, _)) = listener.accept() else {
                    return;
                };
                peers
                    .lock()
                    .expect("lock is not poisoned")
                    .insert(number, stream.try_clone().expect("socket is open"));
                let (name, record, is_silent) =
                    (name.clone(), Arc::clone(&record), Arc::clone(&is_silent));
                let peers = Arc::clone(&peers);
                let write_lock = Arc::clone(&write_lock);
                let behavior = *behavior.lock().expect("lock is not poisoned");
                std::thread::spawn(move || {
                    serve_connection(&stream, behavior, &name, &record, (&is_silent, &write_lock));
                    let _ = stream.shutdown(std::net::Shutdown::Both);
                    peers.lock().expect("lock is not poisoned").remove(&number);
                });
            }
        });
        server
    }

    pub fn set_behavior(&self, behavior: Behavior) {
        *self.behavior.lock().expect("lock is not poisoned") = behavior;
    }

    /// Sends text to every client; the caller holds the write lock.
    pub fn send_to_all(&self, text: &str) {
        for mut peer in self.peers.lock().expect("lock is not poisoned").values() {
            let _ = peer.write_all(text.as_bytes());
        }
    }
}

/// Serves one connection until it closes.
fn serve_connection(
    stream: &TcpStream,
    behavior: Behavior,
    name: &str,
    record: &SharedRecord,
    controls: (&AtomicBool, &Mutex<()>),
) {
    let (is_silent, write_lock) = controls;
    if behavior == Behavior::CloseBeforeInfo {
        return;
    }
    if behavior == Behavior::DelayInfo {
        drop(write_lock.lock().expect("lock is not poisoned"));
    }
    let mut out = stream;
    let info = format!("INFO {{\"server_id\":\"{name}\",\"max_payload\":1048576}}\r\n");
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    if out.write_all(info.as_bytes()).is_err() || reader.read_line(&mut line).unwrap_or(0) == 0 {
        return;
    }
    let options: serde_json::Value = serde_json::from_str(
        line.strip_prefix("CONNECT ")
            .expect("first line is CONNECT"),
    )
    .expect("valid JSON");
    assert_eq!(
        (&options["user"], &options["pass"]),
        (&"up".into(), &"up-secret".into()),
        "CONNECT carries the upstream credentials"
    );
    let client = options["name"]
        .as_str()
        .expect("value is a string")
        .to_owned();
    let session = Session {
        client,
        server: name.to_owned(),
        began_at: Instant::now(),
        ended_at: None,
    };
    let index = {
        let mut record = record.lock().expect("lock is not poisoned");
        record.sessions.push(session);
        record.sessions.len() - 1
    };
    let text = match behavior {
        Behavior::RejectAsFull => "-ERR 'Maximum Connections Exceeded'\r\n",
        Behavior::RejectAuthorization => "-ERR 'Authorization Violation'\r\n",
        _ => "",
    };
    let _ = out.write_all(text.as_bytes());
    while read_message(&mut reader).is_some_and(|message| {
        let _write_guard = write_lock.lock().expect("lock is not poisoned");
        let answer = answer_to(&message, behavior, is_silent);
        out.write_all(answer.as_bytes()).is_ok()
    }) {}
    record.lock().expect("lock is not poisoned").sessions[index].ended_at = Some(Instant::now());
}

fn answer_to(message: &str, behavior: Behavior, is_silent: &AtomicBool) -> String {
    if !matches!(behavior, Behavior::Serve | Behavior::DelayInfo)
        || is_silent.load(Ordering::Relaxed)
    {
        return String::new();
    }
    if message == "PING\r\n" {
        return "PONG\r\n".to_owned();
    }
    match message.strip_prefix("PUB ") {
        // A keepalive precedes the message; the payload holds another one if the client put it there.
        Some(rest) => format!("PING\r\nMSG {}", rest.replacen(' ', " 1 ", 1)),
        None => String::new(),
    }
}

/// Reads a control line, with its payload where it has one.
pub fn read_message(from: &mut impl BufRead) -> Option<String> {
    let mut line = String::new();
    if from.read_line(&mut line).ok()? == 0 {
        return None;
    }
    if line.starts_with("PUB ") {
        let size: usize = line.trim_end().rsplit(' ').next()?.parse().ok()?;
        let mut payload = vec![0; size + 2];
        from.read_exact(&mut payload).ok()?;
        line.push_str(std::str::from_utf8(&payload).ok()?);
    }
    Some(line)
}

/// Connects a client that has sent CONNECT with this name, followed by PING.
pub fn connect_client(to: SocketAddr, name: &str, user: &str, password: &str) -> Peer {
    let mut client = Peer::connect(to);
    let info = client.read_line().expect("an INFO line");
    assert!(
        info.starts_with("INFO {") && info.contains("\"max_payload\":"),
        "{info}"
    );
    client.send(&format!(
        "CONNECT {{\"user\":\"{user}\",\"pass\":\"{password}\",\"name\":\"{name}\",\"verbose\":false}}\r\nPING\r\n"
    ));
    client
}

/// Starts a Redis stand-in that supports hashes.
pub fn start_redis() -> Redis {
    Redis::start_on(listener())
}

/// The section `[settings]` of an operator's file, with the settings of the tests.
pub fn settings_section() -> String {
    let settings: serde_json::Value = serde_json::from_str(SETTINGS).expect("valid JSON");
    toml::to_string(&serde_json::json!({ "settings": settings })).expect("settings convert to TOML")
}

/// Adds the tenant `acme`, whose clients belong to the class `chat`.
pub fn add_tenant(api: &Api, password: &str, connections: usize) {
    let tenant = format!(
        r#"{{"name":"acme","password":"{password}","class":"chat","connections":{connections},
            "upstream":{{"user":"up","password":"up-secret"}}}}"#
    );
    // On a loaded machine the store may be unavailable for a while, so the call is repeated.
    let is_added =
        (0..20).any(|_| matches!(api.call("POST", "/v1/tenants", &tenant).status, 201 | 409));
    assert!(is_added, "the tenant is not accepted");
}
