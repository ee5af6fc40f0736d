//! A small Redis server after the public specification of RESP 2: one hash command at a time per
//! connection, with replies that can be late and reads that can be old.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::record::Record;

type Hash = BTreeMap<String, String>;

#[derive(Default)]
struct State {
    data: Hash,
    /// The states after each write, for reads of old values.
    history: Vec<(Instant, Hash)>,
    /// Time between two bytes of a reply to a hash command.
    byte_interval: Duration,
    read_age: Duration,
    /// Connections accepted before this number execute what they get only after the delay.
    held: Option<(u64, Duration)>,
    connections: u64,
}

#[derive(Clone)]
pub struct Redis {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    record: Record,
}

impl Redis {
    pub fn start(record: &Record) -> std::io::Result<Redis> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let redis = Redis {
            address: listener.local_addr()?,
            state: Arc::default(),
            record: record.clone(),
        };
        let shared = redis.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                std::thread::spawn(move || {
                    let number = {
                        let mut state = shared.state.lock().expect("the store's lock");
                        state.connections += 1;
                        state.connections
                    };
                    shared.serve(&stream, number);
                });
            }
        });
        Ok(redis)
    }

    /// Replies to hash commands begin at once and come byte by byte, one in each interval.
    pub fn set_byte_interval(&self, interval: Duration) {
        self.state.lock().expect("the store's lock").byte_interval = interval;
    }

    /// Reads return values of so long ago; writes are applied at once.
    pub fn set_read_age(&self, age: Duration) {
        self.state.lock().expect("the store's lock").read_age = age;
    }

    /// What the connections that are open now send from now on arrives so much later.
    pub fn hold_open_connections(&self, delay: Duration) {
        let mut state = self.state.lock().expect("the store's lock");
        state.held = Some((state.connections, delay));
    }

    /// The value of a field now.
    pub fn field(&self, name: &str) -> Option<String> {
        let state = self.state.lock().expect("the store's lock");
        state.data.get(name).cloned()
    }

    fn serve(&self, stream: &TcpStream, number: u64) {
        let mut reader = BufReader::new(stream);
        let mut out = stream;
        while let Some(args) = read_command(&mut reader) {
            let name = args[0].to_ascii_uppercase();
            let is_hash_command = name.starts_with('H');
            let (held, byte_interval) = {
                let state = self.state.lock().expect("the store's lock");
                let held = state.held.filter(|(last, _)| number <= *last);
                (held.map(|(_, delay)| delay), state.byte_interval)
            };
            if let (Some(delay), true) = (held, is_hash_command) {
                std::thread::sleep(delay);
            }
            let reply = self.execute(&name, &args, number);
            let sent = if is_hash_command && !byte_interval.is_zero() {
                reply.bytes().try_for_each(|byte| {
                    std::thread::sleep(byte_interval);
                    out.write_all(&[byte])
                })
            } else {
                out.write_all(reply.as_bytes())
            };
            if sent.is_err() {
                return;
            }
        }
    }

    fn execute(&self, name: &str, args: &[String], number: u64) -> String {
        let mut state = self.state.lock().expect("the store's lock");
        let bulk = |text: &str| format!("${}\r\n{text}\r\n", text.len());
        let field = args.get(2).cloned().unwrap_or_default();
        let reply = match (name, args.len()) {
            ("HGET", 3) => match state.read().get(&field) {
                Some(value) => bulk(value),
                None => "$-1\r\n".to_owned(),
            },
            ("HGETALL", 2) => {
                let all = state.read();
                let rows: String = all.iter().map(|(k, v)| bulk(k) + &bulk(v)).collect();
                format!("*{}\r\n{rows}", all.len() * 2)
            }
            ("HSET" | "HSETNX", 4) => {
                let is_new = !state.data.contains_key(&field);
                if is_new || name == "HSET" {
                    state.data.insert(field.clone(), args[3].clone());
                    state.remember();
                }
                format!(":{}\r\n", u8::from(is_new))
            }
            ("HDEL", 3) => {
                let was_there = state.data.remove(&field).is_some();
                state.remember();
                format!(":{}\r\n", u8::from(was_there))
            }
            ("CLIENT" | "SELECT", _) => "+OK\r\n".to_owned(),
            ("PING", 1) => "+PONG\r\n".to_owned(),
            _ => format!("-ERR unknown command '{name}'\r\n"),
        };
        drop(state);
        if matches!(name, "HSET" | "HSETNX" | "HDEL") {
            self.record.line(&format!(
                "store: connection {number} executed {name} {field} -> {}",
                reply.trim_end()
            ));
        }
        reply
    }
}

impl State {
    fn remember(&mut self) {
        let data = self.data.clone();
        self.history.push((Instant::now(), data));
    }

    /// What a read returns now.
    fn read(&self) -> Hash {
        if self.read_age.is_zero() {
            return self.data.clone();
        }
        let past = self
            .history
            .iter()
            .rev()
            .find(|(at, _)| at.elapsed() >= self.read_age);
        past.map(|(_, data)| data.clone()).unwrap_or_default()
    }
}

fn read_command(reader: &mut impl BufRead) -> Option<Vec<String>> {
    let count = read_number(reader, '*')?;
    let mut args = Vec::new();
    for _ in 0..count {
        let length = read_number(reader, '$')?;
        let mut bytes = vec![0; length + 2];
        reader.read_exact(&mut bytes).ok()?;
        bytes.truncate(length);
        args.push(String::from_utf8(bytes).ok()?);
    }
    (!args.is_empty()).then_some(args)
}

fn read_number(reader: &mut impl BufRead, prefix: char) -> Option<usize> {
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    line.strip_prefix(prefix)?.trim_end().parse().ok()
}
