//! A stand-in for Redis that knows hashes, from the public specification of its protocol (RESP 2), and how it fails.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// How it answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RedisBehaviour {
    /// It does what it is asked.
    #[default]
    Serve,
    /// It does what it is asked and says nothing.
    Silent,
    /// It does what it is asked, and says half of the answer.
    HalfAnswer,
    /// The same, and hangs up in the middle.
    Reset,
    /// The same once, with the answer to a write; after that it serves.
    ResetOnce,
    /// It does what it is asked, and each answer comes when the next thing is asked.
    Late,
    /// It reads its data back and refuses everything until it has.
    Loading,
    /// It has no room and refuses what writes.
    Full,
    /// It follows another, and refuses what writes.
    ReadOnly,
    /// Each answer takes so long.
    Slow(Duration),
}

type Hashes = BTreeMap<String, BTreeMap<String, String>>;

#[derive(Default)]
struct State {
    hashes: Hashes,
    /// As it was before the last write: what it wakes with when that was not saved.
    saved: Hashes,
    behaviour: RedisBehaviour,
    away: bool,
    writes: u64,
    /// It dies at this write, after it was done or before.
    dies_at: Option<u64>,
    peers: Vec<TcpStream>,
}

/// The server.
pub struct Redis {
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

impl State {
    fn hang_up(&mut self) {
        for peer in self.peers.drain(..) {
            // One that is gone already has hung up.
            let _ = peer.shutdown(Shutdown::Both);
        }
    }
}

impl Redis {
    /// Starts it, empty, on a free port of loopback.
    ///
    /// # Panics
    ///
    /// If loopback gives no port.
    pub fn start() -> Redis {
        Redis::on(TcpListener::bind("127.0.0.1:0").expect("loopback has a free port"))
    }

    /// Starts it, empty, where something listens already.
    ///
    /// # Panics
    ///
    /// If the listener has no address.
    pub fn on(listener: TcpListener) -> Redis {
        let address = listener.local_addr().expect("it is bound");
        let state = Arc::new(Mutex::new(State::default()));
        let shared = Arc::clone(&state);
        std::thread::spawn(move || {
            while let Ok((stream, _)) = listener.accept() {
                let mut state = lock(&shared);
                let Ok(peer) = stream.try_clone() else {
                    continue;
                };
                if state.away {
                    continue;
                }
                state.peers.push(peer);
                let shared = Arc::clone(&shared);
                std::thread::spawn(move || serve(&stream, &shared));
            }
        });
        Redis { address, state }
    }

    /// Breaks all connections and takes no new ones, or takes them again.
    pub fn goes_away(&self, away: bool) {
        let mut state = lock(&self.state);
        state.away = away;
        state.dies_at = None;
        state.hang_up();
    }

    /// Changes how it answers.
    pub fn manner(&self, manner: RedisBehaviour) {
        lock(&self.state).behaviour = manner;
    }

    /// It dies at this write from now on, before that is done.
    pub fn dies_after(&self, writes: u64) {
        let mut state = lock(&self.state);
        state.dies_at = Some(state.writes + writes);
    }

    /// Whether it has died or gone away.
    pub fn is_away(&self) -> bool {
        lock(&self.state).away
    }

    /// Loses its last write, as one that saves now and then.
    pub fn loses_the_last_write(&self) {
        let mut state = lock(&self.state);
        state.hashes = state.saved.clone();
    }

    /// Loses everything, while it runs.
    pub fn is_emptied(&self) {
        let mut state = lock(&self.state);
        (state.hashes, state.saved) = Default::default();
    }

    /// A field of a hash.
    pub fn field(&self, hash: &str, field: &str) -> Option<String> {
        lock(&self.state).hashes.get(hash)?.get(field).cloned()
    }

    /// Sets a field behind everybody's back.
    pub fn set_field(&self, hash: &str, field: &str, value: &str) {
        let mut state = lock(&self.state);
        state
            .hashes
            .entry(hash.to_owned())
            .or_default()
            .insert(field.to_owned(), value.to_owned());
    }
}

fn serve(stream: &TcpStream, shared: &Mutex<State>) {
    let mut out = stream;
    let mut reader = BufReader::new(stream);
    let mut held_back = Vec::new();
    while let Some(words) = read_command(&mut reader) {
        let words: Vec<&str> = words.iter().map(String::as_str).collect();
        let mut state = lock(shared);
        let Some(reply) = answer(&mut state, &words) else {
            return;
        };
        let manner = state.behaviour;
        drop(state);
        let writes = writes(words[0]);
        let about_data = words[0].to_ascii_uppercase().starts_with('H');
        let half = &reply.as_bytes()[..reply.len() / 2];
        let said = match manner {
            RedisBehaviour::Silent => Ok(()),
            RedisBehaviour::HalfAnswer if about_data => out.write_all(half),
            RedisBehaviour::Reset | RedisBehaviour::ResetOnce
                if about_data && (writes || manner == RedisBehaviour::Reset) =>
            {
                if manner == RedisBehaviour::ResetOnce {
                    lock(shared).behaviour = RedisBehaviour::Serve;
                }
                let _ = out.write_all(half);
                let _ = stream.shutdown(Shutdown::Both);
                return;
            }
            RedisBehaviour::Late if about_data => {
                out.write_all(&std::mem::replace(&mut held_back, reply.into_bytes()))
            }
            RedisBehaviour::Slow(time) if about_data => {
                std::thread::sleep(time);
                out.write_all(reply.as_bytes())
            }
            _ => out.write_all(reply.as_bytes()),
        };
        if said.is_err() {
            return;
        }
    }
}

fn writes(name: &str) -> bool {
    ["HSET", "HSETNX", "HDEL"]
        .iter()
        .any(|one| name.eq_ignore_ascii_case(one))
}

/// The answer to a command; none if it dies of it.
fn answer(state: &mut State, words: &[&str]) -> Option<String> {
    let name = words[0].to_ascii_uppercase();
    let writes = writes(&name);
    let refusal = match (state.behaviour, name.as_str()) {
        (RedisBehaviour::Loading, "HGET" | "HGETALL" | "HSET" | "HSETNX" | "HDEL") => {
            "-LOADING Redis is loading the dataset in memory\r\n"
        }
        (RedisBehaviour::Full, "HSET" | "HSETNX") => {
            "-OOM command not allowed when used memory > 'maxmemory'.\r\n"
        }
        (RedisBehaviour::ReadOnly, _) if writes => {
            "-READONLY You can't write against a read only replica.\r\n"
        }
        _ => "",
    };
    if !refusal.is_empty() {
        return Some(refusal.to_owned());
    }
    if writes {
        state.writes += 1;
        if state.dies_at.is_some_and(|at| state.writes >= at) {
            state.away = true;
            state.hang_up();
            return None;
        }
        state.saved = state.hashes.clone();
    }
    Some(run(&mut state.hashes, &name, &words[1..]))
}

fn run(hashes: &mut Hashes, name: &str, words: &[&str]) -> String {
    let bulk = |text: &str| format!("${}\r\n{text}\r\n", text.len());
    match (name, words) {
        ("HGET", [hash, field]) => match hashes.get(*hash).and_then(|fields| fields.get(*field)) {
            Some(value) => bulk(value),
            None => "$-1\r\n".to_owned(),
        },
        ("HSET" | "HSETNX", [hash, field, value]) => {
            let fields = hashes.entry((*hash).to_owned()).or_default();
            let new = !fields.contains_key(*field);
            if new || name == "HSET" {
                fields.insert((*field).to_owned(), (*value).to_owned());
            }
            format!(":{}\r\n", u8::from(new))
        }
        ("HDEL", [hash, field]) => {
            let gone = hashes
                .get_mut(*hash)
                .and_then(|fields| fields.remove(*field));
            format!(":{}\r\n", u8::from(gone.is_some()))
        }
        ("HGETALL", [hash]) => {
            let fields = hashes.get(*hash).cloned().unwrap_or_default();
            let rows: String = fields
                .iter()
                .map(|(field, value)| bulk(field) + &bulk(value))
                .collect();
            format!("*{}\r\n{rows}", fields.len() * 2)
        }
        ("CLIENT" | "SELECT", _) => "+OK\r\n".to_owned(),
        ("PING", []) => "+PONG\r\n".to_owned(),
        _ => format!("-ERR unknown command '{name}'\r\n"),
    }
}

fn read_command(from: &mut impl BufRead) -> Option<Vec<String>> {
    let mut number = |mark: char| {
        let mut line = String::new();
        from.read_line(&mut line).ok()?;
        let count = line.strip_prefix(mark)?.trim_end().parse::<usize>().ok()?;
        let mut bytes = vec![0; if mark == '$' { count + 2 } else { 0 }];
        from.read_exact(&mut bytes).ok()?;
        bytes.truncate(count);
        Some((count, String::from_utf8(bytes).ok()?))
    };
    let (count, _) = number('*')?;
    let words: Option<Vec<String>> = (0..count)
        .map(|_| number('$').map(|(_, text)| text))
        .collect();
    words.filter(|words| !words.is_empty())
}
