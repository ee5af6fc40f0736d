//! A stand-in for discovery: the whole list, watches in chunks, pushes; it loses its state, goes down, falls silent.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde_json::{Value, json};

use crate::address;
use crate::record::{Record, What};

/// An empty line comes so often, and more often than it has to: a story on a loaded machine would lose its watches.
const BEAT: Duration = Duration::from_millis(500);

/// How a server stands in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lifecycle {
    /// It takes new work.
    Serving,
    /// It wants nothing new.
    Draining,
    /// It is gone.
    Deleted,
}

impl Lifecycle {
    /// Its word on the wire.
    pub fn wire_name(self) -> &'static str {
        match self {
            Lifecycle::Serving => "SERVING",
            Lifecycle::Draining => "DRAINING",
            Lifecycle::Deleted => "DELETED",
        }
    }
}

/// A server as discovery lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct Listed {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Whether it takes new work.
    pub lifecycle: Lifecycle,
    /// Its weight.
    pub weight: f64,
    /// Its last start, in Unix milliseconds; 0 for long ago.
    pub started_at_ms: u64,
}

/// How lists are written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Style {
    /// Over several lines.
    pub indented: bool,
    /// In chunks of so many bytes; 0 for one chunk.
    pub chunk: usize,
}

#[derive(Default)]
struct State {
    rows: BTreeMap<String, (u64, Listed)>,
    generation: u64,
    /// Grows when the state is lost: a watch of another life is given the whole list.
    life: u64,
    down: bool,
    style: Style,
    /// Watches before this number say nothing any more.
    silent_before: u64,
    watches: u64,
    streams: BTreeMap<u64, TcpStream>,
    /// Who connects from which address.
    parties: BTreeMap<IpAddr, String>,
    /// Where a balancer reaches a server.
    places: BTreeMap<(String, String), SocketAddr>,
}

/// The service.
pub struct Discovery {
    /// Where it listens.
    pub at: SocketAddr,
    record: Record,
    shared: Arc<(Mutex<State>, Condvar)>,
}

fn lock(shared: &Mutex<State>) -> MutexGuard<'_, State> {
    // Plain values, sound at every moment.
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Discovery {
    /// Starts it, with no server and at generation 1.
    pub fn start(record: &Record) -> Discovery {
        let listener = TcpListener::bind(address::listening()).expect("loopback");
        let at = listener.local_addr().expect("bound");
        let shared: Arc<(Mutex<State>, Condvar)> = Arc::default();
        lock(&shared.0).generation = 1;
        let serving = Arc::clone(&shared);
        std::thread::spawn(move || {
            while let Ok((stream, from)) = listener.accept() {
                let shared = Arc::clone(&serving);
                std::thread::spawn(move || serve(&stream, from.ip(), &shared));
            }
        });
        Discovery {
            at,
            record: record.clone(),
            shared,
        }
    }

    fn change<T>(&self, change: impl FnOnce(&mut State) -> T) -> T {
        let changed = change(&mut lock(&self.shared.0));
        self.shared.1.notify_all();
        changed
    }

    /// Whoever connects from there is this balancer, and reaches servers at these places.
    pub fn knows(&self, balancer: &str, from: IpAddr, places: &[(String, SocketAddr)]) {
        self.change(|state| {
            state.parties.insert(from, balancer.to_owned());
            for (server, at) in places {
                state
                    .places
                    .insert((balancer.to_owned(), server.clone()), *at);
            }
        });
    }

    /// Lists a server, or changes how it is listed; gives the new generation.
    pub fn list(&self, listed: Listed) -> u64 {
        self.change(|state| {
            state.generation += 1;
            state
                .rows
                .insert(listed.name.clone(), (state.generation, listed));
            state.generation
        })
    }

    /// Changes a server's lifecycle.
    pub fn lists_as(&self, server: &str, lifecycle: Lifecycle) -> u64 {
        let row = self.row(server);
        self.list(Listed { lifecycle, ..row })
    }

    /// How a server is listed.
    pub fn row(&self, server: &str) -> Listed {
        let state = lock(&self.shared.0);
        state
            .rows
            .get(server)
            .unwrap_or_else(|| panic!("{server} is not listed"))
            .1
            .clone()
    }

    /// The present list as a balancer is given it.
    pub fn snapshot(&self, balancer: &str) -> Value {
        lock(&self.shared.0).changes(balancer, 0)
    }

    /// How lists are written from now on.
    pub fn writes(&self, style: Style) {
        self.change(|state| state.style = style);
    }

    /// Loses its state: the rows stay true, but versions count anew from 1, and all watches end.
    pub fn loses_state(&self) {
        self.record.note(What::Discovery("lost its state"));
        self.change(|state| {
            state.life += 1;
            state.generation = 1;
            state
                .rows
                .values_mut()
                .for_each(|(version, _)| *version = 1);
            state
                .rows
                .retain(|_, (_, row)| row.lifecycle != Lifecycle::Deleted);
            state.end_watches();
        });
    }

    /// Goes down: watches end, and whoever calls is turned away.
    pub fn goes_down(&self) {
        self.record.note(What::Discovery("went down"));
        self.change(|state| {
            state.down = true;
            state.end_watches();
        });
    }

    /// Comes back.
    pub fn comes_back(&self) {
        self.record.note(What::Discovery("came back"));
        self.change(|state| state.down = false);
    }

    /// The watches that stand fall silent and stay open.
    pub fn falls_silent(&self) {
        self.record.note(What::Discovery("fell silent"));
        self.change(|state| state.silent_before = state.watches + 1);
    }
}

impl State {
    fn end_watches(&mut self) {
        for stream in std::mem::take(&mut self.streams).values() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn changes(&self, balancer: &str, since: u64) -> Value {
        let whole = since == 0 || since > self.generation;
        let rows = self.rows.values().filter(|(version, row)| {
            if whole {
                row.lifecycle != Lifecycle::Deleted
            } else {
                *version > since
            }
        });
        let row = |(_, row): &(u64, Listed)| {
            json!({
                "instanceId": row.name,
                "hostPort": self.places.get(&(balancer.to_owned(), row.name.clone())),
                "zone": row.zone,
                "lifecycle": row.lifecycle.wire_name(),
                "weight": row.weight,
                "startedAtMs": row.started_at_ms,
            })
        };
        json!({"generation": self.generation, "reset": whole, "instances": rows.map(row).collect::<Vec<_>>()})
    }
}

fn chunk(bytes: &[u8]) -> Vec<u8> {
    [format!("{:x}\r\n", bytes.len()).as_bytes(), bytes, b"\r\n"].concat()
}

/// A list on the wire of a watch.
fn written(list: &Value, style: Style) -> Vec<u8> {
    let text = if style.indented {
        serde_json::to_string_pretty(list)
    } else {
        serde_json::to_string(list)
    };
    let text = text.expect("a list") + "\n";
    let size = if style.chunk == 0 {
        text.len()
    } else {
        style.chunk
    };
    text.as_bytes().chunks(size).flat_map(chunk).collect()
}

fn serve(mut stream: &TcpStream, from: IpAddr, (state, changed): &(Mutex<State>, Condvar)) {
    let mut lines = BufReader::new(stream).lines().map_while(Result::ok);
    let Some(asked) = lines.next() else { return };
    while lines.next().is_some_and(|line| !line.is_empty()) {}
    let mut held = lock(state);
    let balancer = held.parties.get(&from).cloned().unwrap_or_default();
    if held.down {
        drop(held);
        let _ = stream.write_all(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
        return;
    }
    let target = asked.split(' ').nth(1).unwrap_or_default();
    let Some(after) = target.strip_prefix("/api/targets?watch=1&from=") else {
        let list = held.changes(&balancer, 0).to_string();
        drop(held);
        let _ = write!(
            stream,
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}",
            list.len()
        );
        return;
    };
    let mut since: u64 = after.parse().unwrap_or(0);
    held.watches += 1;
    let (number, life) = (held.watches, held.life);
    let Ok(own) = stream.try_clone() else { return };
    held.streams.insert(number, own);
    let mut words = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
    let mut is_first = true;
    loop {
        if is_first || held.generation != since {
            words.extend(written(&held.changes(&balancer, since), held.style));
            (since, is_first) = (held.generation, false);
        } else if words.is_empty() {
            words = chunk(b"\n");
        }
        let silent = number < held.silent_before;
        drop(held);
        if !silent && stream.write_all(&words).is_err() {
            return;
        }
        words.clear();
        held = lock(state);
        if held.generation == since {
            held = changed
                .wait_timeout(held, BEAT)
                .unwrap_or_else(PoisonError::into_inner)
                .0;
        }
        if held.down || held.life != life {
            held.streams.remove(&number);
            let _ = stream.shutdown(Shutdown::Both);
            return;
        }
    }
}
