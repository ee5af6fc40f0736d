//! A stand-in for discovery: the whole list, watches in chunks, pushes; it loses its state, goes down, falls silent.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde_json::{Value, json};

use crate::address;
use crate::record::{EventKind, Record};

/// An empty line comes so often, and more often than it has to: a story on a loaded machine would lose its watches.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

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
pub struct ListedServer {
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
pub struct ListFormat {
    /// Over several lines.
    pub indented: bool,
    /// In chunks of so many bytes; 0 for one chunk.
    pub chunk_bytes: usize,
}

#[derive(Default)]
struct State {
    rows: BTreeMap<String, (u64, ListedServer)>,
    generation: u64,
    /// Grows when the state is lost: a watch of another life is given the whole list.
    incarnation: u64,
    down: bool,
    format: ListFormat,
    /// Watches before this number say nothing any more.
    silenced_before: u64,
    watches: u64,
    streams: BTreeMap<u64, TcpStream>,
    /// Who connects from which address.
    balancers: BTreeMap<IpAddr, String>,
    /// Where a balancer reaches a server.
    addresses: BTreeMap<(String, String), SocketAddr>,
}

/// The service.
pub struct Discovery {
    /// Where it listens.
    pub address: SocketAddr,
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
        let listener = TcpListener::bind(address::listen_address()).expect("loopback");
        let address = listener.local_addr().expect("bound");
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
            address,
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
    pub fn register_balancer(
        &self,
        balancer: &str,
        from: IpAddr,
        addresses: &[(String, SocketAddr)],
    ) {
        self.change(|state| {
            state.balancers.insert(from, balancer.to_owned());
            for (server, address) in addresses {
                state
                    .addresses
                    .insert((balancer.to_owned(), server.clone()), *address);
            }
        });
    }

    /// Lists a server, or changes how it is listed; gives the new generation.
    pub fn upsert(&self, server: ListedServer) -> u64 {
        self.change(|state| {
            state.generation += 1;
            state
                .rows
                .insert(server.name.clone(), (state.generation, server));
            state.generation
        })
    }

    /// Changes a server's lifecycle.
    pub fn set_lifecycle(&self, server: &str, lifecycle: Lifecycle) -> u64 {
        let row = self.listed_server(server);
        self.upsert(ListedServer { lifecycle, ..row })
    }

    /// How a server is listed.
    pub fn listed_server(&self, server: &str) -> ListedServer {
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
    pub fn set_list_format(&self, format: ListFormat) {
        self.change(|state| state.format = format);
    }

    /// Loses its state: the rows stay true, but versions count anew from 1, and all watches end.
    pub fn lose_state(&self) {
        self.record.append(EventKind::Discovery("lost its state"));
        self.change(|state| {
            state.incarnation += 1;
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
    pub fn go_down(&self) {
        self.record.append(EventKind::Discovery("went down"));
        self.change(|state| {
            state.down = true;
            state.end_watches();
        });
    }

    /// Comes back.
    pub fn come_back(&self) {
        self.record.append(EventKind::Discovery("came back"));
        self.change(|state| state.down = false);
    }

    /// The watches that stand fall silent and stay open.
    pub fn silence_watches(&self) {
        self.record.append(EventKind::Discovery("fell silent"));
        self.change(|state| state.silenced_before = state.watches + 1);
    }
}

impl State {
    fn end_watches(&mut self) {
        for stream in std::mem::take(&mut self.streams).values() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn changes(&self, balancer: &str, since: u64) -> Value {
        let is_full = since == 0 || since > self.generation;
        let rows = self.rows.values().filter(|(version, row)| {
            if is_full {
                row.lifecycle != Lifecycle::Deleted
            } else {
                *version > since
            }
        });
        let row = |(_, row): &(u64, ListedServer)| {
            json!({
                "instanceId": row.name,
                "hostPort": self.addresses.get(&(balancer.to_owned(), row.name.clone())),
                "zone": row.zone,
                "lifecycle": row.lifecycle.wire_name(),
                "weight": row.weight,
                "startedAtMs": row.started_at_ms,
            })
        };
        json!({"generation": self.generation, "reset": is_full, "instances": rows.map(row).collect::<Vec<_>>()})
    }
}

fn http_chunk(bytes: &[u8]) -> Vec<u8> {
    [format!("{:x}\r\n", bytes.len()).as_bytes(), bytes, b"\r\n"].concat()
}

/// A list on the wire of a watch.
fn encode_list(list: &Value, format: ListFormat) -> Vec<u8> {
    let text = if format.indented {
        serde_json::to_string_pretty(list)
    } else {
        serde_json::to_string(list)
    };
    let text = text.expect("a list") + "\n";
    let size = if format.chunk_bytes == 0 {
        text.len()
    } else {
        format.chunk_bytes
    };
    text.as_bytes().chunks(size).flat_map(http_chunk).collect()
}

fn serve(mut stream: &TcpStream, from: IpAddr, (state, changed): &(Mutex<State>, Condvar)) {
    let mut lines = BufReader::new(stream).lines().map_while(Result::ok);
    let Some(request_line) = lines.next() else {
        return;
    };
    while lines.next().is_some_and(|line| !line.is_empty()) {}
    let mut guard = lock(state);
    let balancer = guard.balancers.get(&from).cloned().unwrap_or_default();
    if guard.down {
        drop(guard);
        let _ = stream.write_all(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
        return;
    }
    let target = request_line.split(' ').nth(1).unwrap_or_default();
    let Some(from_generation) = target.strip_prefix("/api/targets?watch=1&from=") else {
        let list = guard.changes(&balancer, 0).to_string();
        drop(guard);
        let _ = write!(
            stream,
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}",
            list.len()
        );
        return;
    };
    let mut since: u64 = from_generation.parse().unwrap_or(0);
    guard.watches += 1;
    let (number, incarnation) = (guard.watches, guard.incarnation);
    let Ok(handle) = stream.try_clone() else {
        return;
    };
    guard.streams.insert(number, handle);
    let mut output = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
    let mut is_first = true;
    loop {
        if is_first || guard.generation != since {
            output.extend(encode_list(&guard.changes(&balancer, since), guard.format));
            (since, is_first) = (guard.generation, false);
        } else if output.is_empty() {
            output = http_chunk(b"\n");
        }
        let silent = number < guard.silenced_before;
        drop(guard);
        if !silent && stream.write_all(&output).is_err() {
            return;
        }
        output.clear();
        guard = lock(state);
        if guard.generation == since {
            guard = changed
                .wait_timeout(guard, HEARTBEAT_INTERVAL)
                .unwrap_or_else(PoisonError::into_inner)
                .0;
        }
        if guard.down || guard.incarnation != incarnation {
            guard.streams.remove(&number);
            let _ = stream.shutdown(Shutdown::Both);
            return;
        }
    }
}
