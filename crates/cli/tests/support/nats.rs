//! Stand-ins for NATS, from its public specification, and for Redis, and the rules that every exchange keeps.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

pub use beaconflow_contracts::redis::Redis;

use super::{Peer, listener};

/// What a NATS server does with a CONNECT.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Manner {
    Serve,
    SilentAfterConnect,
    Full,
    Forbid,
    /// It hangs up before its INFO.
    Mute,
    /// Its INFO comes once its voice is free.
    LateInfo,
}

/// One pass as a server saw it, from CONNECT's last byte to the connection's end.
#[derive(Clone)]
struct Pass {
    client: String,
    server: String,
    begun: Instant,
    ended: Option<Instant>,
}

/// What all servers and clients saw; the rules are checked against it.
#[derive(Default)]
pub struct Record {
    passes: Vec<Pass>,
    drained: BTreeMap<String, Instant>,
    answers: BTreeMap<String, Vec<String>>,
}

pub type Shared = Arc<Mutex<Record>>;

impl Record {
    pub fn drains(&mut self, server: &str) {
        self.drained.insert(server.to_owned(), Instant::now());
    }

    pub fn answered(&mut self, client: &str, answer: &str) {
        self.answers
            .entry(client.to_owned())
            .or_default()
            .push(answer.to_owned());
    }

    /// Every rule, over all that has happened so far.
    pub fn check(&self) {
        for (client, answers) in &self.answers {
            assert!(answers.len() == 1, "{client} got {answers:?}");
        }
        for (at, one) in self.passes.iter().enumerate() {
            if let Some(told) = self.drained.get(&one.server) {
                let late = one.begun.saturating_duration_since(*told);
                assert!(
                    late <= Duration::from_secs(1),
                    "{} got a pass {late:?} after its drain",
                    one.server
                );
            }
            for other in self.passes[at + 1..]
                .iter()
                .filter(|other| other.client == one.client)
            {
                let over = one.ended.is_some_and(|ended| ended <= other.begun);
                assert!(
                    over,
                    "passes of {} overlap at {} and {}",
                    one.client, one.server, other.server
                );
            }
        }
    }

    /// Whether a client had a pass at a server.
    pub fn went(&self, client: &str, server: &str) -> bool {
        self.passes
            .iter()
            .any(|pass| pass.client == client && pass.server == server)
    }

    pub fn passes_of(&self, client: &str) -> usize {
        self.passes
            .iter()
            .filter(|pass| pass.client == client)
            .count()
    }
}

/// A NATS server. It answers PING, sends a PING of its own in the midst of what it relays, and gives each client's
/// messages back to it.
pub struct NatsServer {
    pub name: String,
    pub address: SocketAddr,
    manner: Arc<Mutex<Manner>>,
    /// Standing connections answer nothing any more.
    pub silent: Arc<AtomicBool>,
    /// Held by whoever speaks: a server's answers never fall into a message that has begun.
    pub voice: Arc<Mutex<()>>,
    peers: Arc<Mutex<Vec<TcpStream>>>,
}

impl NatsServer {
    pub fn start(name: &str, manner: Manner, record: &Shared) -> NatsServer {
        let listener = listener();
        let address = listener.local_addr().expect("bound");
        let (manner, silent) = (
            Arc::new(Mutex::new(manner)),
            Arc::new(AtomicBool::new(false)),
        );
        let peers = Arc::new(Mutex::new(Vec::new()));
        let voice = Arc::default();
        let server = NatsServer {
            name: name.to_owned(),
            address,
            manner,
            silent,
            voice,
            peers,
        };
        let (name, record, peers) = (
            name.to_owned(),
            Arc::clone(record),
            Arc::clone(&server.peers),
        );
        let (manner, silent) = (Arc::clone(&server.manner), Arc::clone(&server.silent));
        let voice = Arc::clone(&server.voice);
        std::thread::spawn(move || {
            while let Ok((stream, _)) = listener.accept() {
                peers
                    .lock()
                    .expect("sound")
                    .push(stream.try_clone().expect("open"));
                let (name, record, silent) =
                    (name.clone(), Arc::clone(&record), Arc::clone(&silent));
                let voice = Arc::clone(&voice);
                let manner = *manner.lock().expect("sound");
                std::thread::spawn(move || {
                    serve(&stream, manner, &name, &record, (&silent, &voice))
                });
            }
        });
        server
    }

    pub fn becomes(&self, manner: Manner) {
        *self.manner.lock().expect("sound") = manner;
    }

    /// Says something to every client; the voice is held by the caller.
    pub fn says(&self, words: &str) {
        for mut peer in self.peers.lock().expect("sound").iter() {
            let _ = peer.write_all(words.as_bytes());
        }
    }
}

/// Serves one connection to its end.
fn serve(
    stream: &TcpStream,
    manner: Manner,
    name: &str,
    record: &Shared,
    own: (&AtomicBool, &Mutex<()>),
) {
    let (silent, voice) = own;
    if manner == Manner::Mute {
        return;
    }
    if manner == Manner::LateInfo {
        drop(voice.lock().expect("sound"));
    }
    let mut out = stream;
    let info = format!("INFO {{\"server_id\":\"{name}\",\"max_payload\":1048576}}\r\n");
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    if out.write_all(info.as_bytes()).is_err() || reader.read_line(&mut line).unwrap_or(0) == 0 {
        return;
    }
    let options: serde_json::Value =
        serde_json::from_str(line.strip_prefix("CONNECT ").expect("CONNECT first")).expect("JSON");
    assert_eq!(
        (&options["user"], &options["pass"]),
        (&"up".into(), &"up-secret".into()),
        "the upstream identity"
    );
    let client = options["name"].as_str().expect("a name").to_owned();
    let pass = Pass {
        client,
        server: name.to_owned(),
        begun: Instant::now(),
        ended: None,
    };
    let place = {
        let mut record = record.lock().expect("sound");
        record.passes.push(pass);
        record.passes.len() - 1
    };
    let words = match manner {
        Manner::Full => "-ERR 'Maximum Connections Exceeded'\r\n",
        Manner::Forbid => "-ERR 'Authorization Violation'\r\n",
        _ => "",
    };
    let _ = out.write_all(words.as_bytes());
    while read_message(&mut reader).is_some_and(|message| {
        let _speaking = voice.lock().expect("sound");
        let answer = answer_to(&message, manner, silent);
        out.write_all(answer.as_bytes()).is_ok()
    }) {}
    record.lock().expect("sound").passes[place].ended = Some(Instant::now());
}

fn answer_to(message: &str, manner: Manner, silent: &AtomicBool) -> String {
    if !matches!(manner, Manner::Serve | Manner::LateInfo) || silent.load(Ordering::Relaxed) {
        return String::new();
    }
    if message == "PING\r\n" {
        return "PONG\r\n".to_owned();
    }
    match message.strip_prefix("PUB ") {
        // A keepalive goes before it, and one more lies in its payload if the client put it there.
        Some(rest) => format!("PING\r\nMSG {}", rest.replacen(' ', " 1 ", 1)),
        None => String::new(),
    }
}

/// A control line, with its payload where it has one.
fn read_message(from: &mut impl BufRead) -> Option<String> {
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

/// A client that has sent CONNECT under a name, and a PING with it.
pub fn client(to: SocketAddr, name: &str, user: &str, password: &str) -> Peer {
    let mut client = Peer::connect(to);
    let info = client.hear().expect("INFO");
    assert!(
        info.starts_with("INFO {") && info.contains("\"max_payload\":"),
        "{info}"
    );
    client.say(&format!(
        "CONNECT {{\"user\":\"{user}\",\"pass\":\"{password}\",\"name\":\"{name}\",\"verbose\":false}}\r\nPING\r\n"
    ));
    client
}

/// A Redis that knows hashes.
pub fn redis() -> Redis {
    Redis::start_on(listener())
}
