//! A fake Redis server with injectable faults. It implements hash commands after the public specification of RESP 2.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// How the server replies. Unless stated otherwise, it executes each command.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RedisBehaviour {
    /// Replies normally.
    #[default]
    Serve,
    /// Executes commands and sends no replies.
    Silent,
    /// Sends only the first half of each reply to a hash command.
    PartialReply,
    /// Sends half of the reply to a hash command, then closes the connection.
    Reset,
    /// Does the same with the reply to the next write, and serves normally after that.
    ResetOnce,
    /// Sends each reply to a hash command only when the next hash command arrives.
    DelayedReply,
    /// Refuses all hash commands with `LOADING`, as during a restart.
    Loading,
    /// Refuses `HSET` and `HSETNX` for lack of memory.
    Full,
    /// Refuses writes, as a read-only replica does.
    ReadOnly,
    /// Delays each reply to a hash command by this time.
    Slow(Duration),
}

type Hashes = BTreeMap<String, BTreeMap<String, String>>;

#[derive(Default)]
struct State {
    hashes: Hashes,
    /// State before the last write, which is restored when that write was not saved.
    before_last_write: Hashes,
    behaviour: RedisBehaviour,
    is_unavailable: bool,
    write_count: u64,
    /// The server stops at this write, counted as in `write_count`, and does not execute it.
    stops_at_write: Option<u64>,
    connections: Vec<TcpStream>,
    /// The hashes after each write, for reads of old values.
    history: Vec<(Instant, Hashes)>,
    /// Reads return the values of so long ago, as from a replica that is behind.
    read_age: Duration,
    /// Number of accepted connections.
    accepted: u64,
    /// Connections with numbers up to the first value execute writes only after the second.
    delayed_connections: Option<(u64, Duration)>,
}

/// A fake Redis server, whose threads run until the process ends.
pub struct Redis {
    /// Address on which the server listens.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

impl State {
    fn disconnect_all(&mut self) {
        for peer in self.connections.drain(..) {
            // Fails only when the client has closed the connection already.
            let _ = peer.shutdown(Shutdown::Both);
        }
    }

    /// The hashes that a read sees.
    fn hashes_for_read(&self) -> Hashes {
        if self.read_age.is_zero() {
            return self.hashes.clone();
        }
        let newest_first = self.history.iter().rev();
        let mut visible = newest_first.filter(|(at, _)| at.elapsed() >= self.read_age);
        visible
            .next()
            .map_or_else(Hashes::new, |(_, hashes)| hashes.clone())
    }

    /// How long a connection holds back the writes that it carries.
    fn command_delay(&self, connection: u64) -> Duration {
        self.delayed_connections
            .filter(|(last, _)| connection <= *last)
            .map_or(Duration::ZERO, |(_, delay)| delay)
    }
}

impl Redis {
    /// Starts an empty server on a free loopback port.
    ///
    /// # Panics
    ///
    /// If no loopback port can be bound.
    pub fn start() -> Redis {
        Redis::start_on(TcpListener::bind("127.0.0.1:0").expect("a free loopback port"))
    }

    /// Starts an empty server on a bound listener.
    ///
    /// # Panics
    ///
    /// If the listener has no address.
    pub fn start_on(listener: TcpListener) -> Redis {
        let address = listener
            .local_addr()
            .expect("the listener has a local address");
        let state = Arc::new(Mutex::new(State::default()));
        let shared = Arc::clone(&state);
        std::thread::spawn(move || {
            while let Ok((stream, _)) = listener.accept() {
                // Redis disables Nagle's algorithm as well.
                if stream.set_nodelay(true).is_err() {
                    continue;
                }
                let mut state = lock(&shared);
                let Ok(peer) = stream.try_clone() else {
                    continue;
                };
                if state.is_unavailable {
                    continue;
                }
                state.connections.push(peer);
                state.accepted += 1;
                let number = state.accepted;
                let shared = Arc::clone(&shared);
                std::thread::spawn(move || serve(&stream, &shared, number));
            }
        });
        Redis { address, state }
    }

    /// Closes all connections and drops new ones, or accepts connections again. Cancels a scheduled stop.
    pub fn set_unavailable(&self, is_unavailable: bool) {
        let mut state = lock(&self.state);
        state.is_unavailable = is_unavailable;
        state.stops_at_write = None;
        state.disconnect_all();
    }

    /// Changes how the server replies from now on.
    pub fn set_behaviour(&self, behaviour: RedisBehaviour) {
        lock(&self.state).behaviour = behaviour;
    }

    /// Reads return the values of so long ago from now on; writes are applied at once.
    pub fn set_read_age(&self, age: Duration) {
        lock(&self.state).read_age = age;
    }

    /// Writes that the present connections carry from now on are executed so much later.
    pub fn delay_open_connections(&self, delay: Duration) {
        let mut state = lock(&self.state);
        state.delayed_connections = Some((state.accepted, delay));
    }

    /// Stops the server at the given write, counted from now, before that write is executed.
    pub fn stop_after_writes(&self, writes: u64) {
        let mut state = lock(&self.state);
        state.stops_at_write = Some(state.write_count + writes);
    }

    /// Whether the server has stopped or was made unavailable.
    pub fn is_unavailable(&self) -> bool {
        lock(&self.state).is_unavailable
    }

    /// Loses the last write, as a server that restarts between two periodic saves.
    pub fn lose_last_write(&self) {
        let mut state = lock(&self.state);
        state.hashes = state.before_last_write.clone();
    }

    /// Deletes all data while the server runs.
    pub fn clear(&self) {
        let mut state = lock(&self.state);
        (state.hashes, state.before_last_write) = Default::default();
    }

    /// Value of a field of a hash; `None` if the hash or the field does not exist.
    pub fn field(&self, hash: &str, field: &str) -> Option<String> {
        lock(&self.state).hashes.get(hash)?.get(field).cloned()
    }

    /// Sets a field directly, as another client would, without counting a write.
    pub fn set_field(&self, hash: &str, field: &str, value: &str) {
        let mut state = lock(&self.state);
        state
            .hashes
            .entry(hash.to_owned())
            .or_default()
            .insert(field.to_owned(), value.to_owned());
    }
}

fn serve(stream: &TcpStream, shared: &Mutex<State>, number: u64) {
    let mut out = stream;
    let mut reader = BufReader::new(stream);
    let mut delayed_reply = Vec::new();
    while let Some(args) = read_command(&mut reader) {
        let args: Vec<&str> = args.iter().map(String::as_str).collect();
        let delay = lock(shared).command_delay(number);
        if is_write_command(args[0]) && !delay.is_zero() {
            std::thread::sleep(delay);
        }
        let mut state = lock(shared);
        let Some(reply) = reply_to(&mut state, &args) else {
            return;
        };
        let behaviour = state.behaviour;
        drop(state);
        let is_write = is_write_command(args[0]);
        let is_hash_command = args[0].to_ascii_uppercase().starts_with('H');
        let half = &reply.as_bytes()[..reply.len() / 2];
        let sent = match behaviour {
            RedisBehaviour::Silent => Ok(()),
            RedisBehaviour::PartialReply if is_hash_command => out.write_all(half),
            RedisBehaviour::Reset | RedisBehaviour::ResetOnce
                if is_hash_command && (is_write || behaviour == RedisBehaviour::Reset) =>
            {
                if behaviour == RedisBehaviour::ResetOnce {
                    lock(shared).behaviour = RedisBehaviour::Serve;
                }
                let _ = out.write_all(half);
                let _ = stream.shutdown(Shutdown::Both);
                return;
            }
            RedisBehaviour::DelayedReply if is_hash_command => {
                out.write_all(&std::mem::replace(&mut delayed_reply, reply.into_bytes()))
            }
            RedisBehaviour::Slow(delay) if is_hash_command => {
                std::thread::sleep(delay);
                out.write_all(reply.as_bytes())
            }
            _ => out.write_all(reply.as_bytes()),
        };
        if sent.is_err() {
            return;
        }
    }
}

fn is_write_command(name: &str) -> bool {
    ["HSET", "HSETNX", "HDEL"]
        .iter()
        .any(|command| name.eq_ignore_ascii_case(command))
}

/// The reply to a command; `None` if the server stops at it.
fn reply_to(state: &mut State, args: &[&str]) -> Option<String> {
    let name = args[0].to_ascii_uppercase();
    let is_write = is_write_command(&name);
    let refusal = match (state.behaviour, name.as_str()) {
        (RedisBehaviour::Loading, "HGET" | "HGETALL" | "HSET" | "HSETNX" | "HDEL") => {
            "-LOADING Redis is loading the dataset in memory\r\n"
        }
        (RedisBehaviour::Full, "HSET" | "HSETNX") => {
            "-OOM command not allowed when used memory > 'maxmemory'.\r\n"
        }
        (RedisBehaviour::ReadOnly, _) if is_write => {
            "-READONLY You can't write against a read only replica.\r\n"
        }
        _ => "",
    };
    if !refusal.is_empty() {
        return Some(refusal.to_owned());
    }
    if is_write {
        state.write_count += 1;
        if state
            .stops_at_write
            .is_some_and(|at| state.write_count >= at)
        {
            state.is_unavailable = true;
            state.disconnect_all();
            return None;
        }
        state.before_last_write = state.hashes.clone();
    }
    if !is_write {
        return Some(execute(&mut state.hashes_for_read(), &name, &args[1..]));
    }
    let reply = execute(&mut state.hashes, &name, &args[1..]);
    let written = state.hashes.clone();
    state.history.push((Instant::now(), written));
    Some(reply)
}

fn execute(hashes: &mut Hashes, name: &str, args: &[&str]) -> String {
    let bulk = |text: &str| format!("${}\r\n{text}\r\n", text.len());
    match (name, args) {
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
            let removed = hashes
                .get_mut(*hash)
                .and_then(|fields| fields.remove(*field));
            format!(":{}\r\n", u8::from(removed.is_some()))
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

fn read_command(reader: &mut impl BufRead) -> Option<Vec<String>> {
    let mut read_part = |prefix: char| {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let count = line
            .strip_prefix(prefix)?
            .trim_end()
            .parse::<usize>()
            .ok()?;
        let mut bytes = vec![0; if prefix == '$' { count + 2 } else { 0 }];
        reader.read_exact(&mut bytes).ok()?;
        bytes.truncate(count);
        Some((count, String::from_utf8(bytes).ok()?))
    };
    let (count, _) = read_part('*')?;
    let args: Option<Vec<String>> = (0..count)
        .map(|_| read_part('$').map(|(_, text)| text))
        .collect();
    args.filter(|args| !args.is_empty())
}
