//! A stand-in for discovery: serves snapshots and chunked watches, and can lose its state, go down or stop sending.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde_json::{Value, json};

use crate::address;
use crate::record::{EventKind, Record};

/// Interval of the empty lines on a watch. Shorter than required, because watches would time out on a loaded machine.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// The lifecycle state of a listed server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lifecycle {
    /// It accepts new requests.
    Serving,
    /// It is to receive no new requests.
    Draining,
    /// It is removed; deltas list it, snapshots do not.
    Deleted,
}

impl Lifecycle {
    /// The value on the wire.
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
    /// The name, `instanceId` on the wire.
    pub name: String,
    /// The zone, one of those in the settings.
    pub zone: String,
    /// The lifecycle state.
    pub lifecycle: Lifecycle,
    /// The relative weight.
    pub weight: f64,
    /// The last start in Unix milliseconds; 0 for a start long ago.
    pub started_at_ms: u64,
}

/// How lists are written on a watch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ListFormat {
    /// Whether the JSON text spans several lines.
    pub indented: bool,
    /// Size of a chunk in bytes; 0 for one chunk per list.
    pub chunk_bytes: usize,
}

#[derive(Default)]
struct State {
    rows: BTreeMap<String, (u64, ListedServer)>,
    generation: u64,
    /// Incremented when the state is lost: watches of an earlier incarnation end.
    incarnation: u64,
    down: bool,
    format: ListFormat,
    /// Watches with a number below this one send nothing.
    silenced_before: u64,
    watches: u64,
    streams: BTreeMap<u64, TcpStream>,
    /// The balancer that connects from each address.
    balancers: BTreeMap<IpAddr, String>,
    /// The address at which a balancer reaches a server.
    addresses: BTreeMap<(String, String), SocketAddr>,
}

/// The discovery service.
pub struct Discovery {
    /// The address it listens on.
    pub address: SocketAddr,
    record: Record,
    shared: Arc<(Mutex<State>, Condvar)>,
}

fn lock(shared: &Mutex<State>) -> MutexGuard<'_, State> {
    // The state is valid even if a thread panicked while holding the lock.
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Discovery {
    /// Starts the service with an empty list at generation 1.
    pub fn start(record: &Record) -> Discovery {
        let listener =
            TcpListener::bind(address::listen_address()).expect("bind a loopback listener");
        let address = listener
            .local_addr()
            .expect("a bound socket has an address");
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

    fn update<T>(&self, update: impl FnOnce(&mut State) -> T) -> T {
        let result = update(&mut lock(&self.shared.0));
        self.shared.1.notify_all();
        result
    }

    /// Registers the source address of a balancer and the addresses at which it reaches the servers.
    pub fn register_balancer(
        &self,
        balancer: &str,
        from: IpAddr,
        addresses: &[(String, SocketAddr)],
    ) {
        self.update(|state| {
            state.balancers.insert(from, balancer.to_owned());
            for (server, address) in addresses {
                state
                    .addresses
                    .insert((balancer.to_owned(), server.clone()), *address);
            }
        });
    }

    /// Adds or replaces a server; returns the new generation.
    pub fn upsert(&self, server: ListedServer) -> u64 {
        self.update(|state| {
            state.generation += 1;
            state
                .rows
                .insert(server.name.clone(), (state.generation, server));
            state.generation
        })
    }

    /// Changes the lifecycle state of a listed server; returns the new generation.
    pub fn set_lifecycle(&self, server: &str, lifecycle: Lifecycle) -> u64 {
        let row = self.listed_server(server);
        self.upsert(ListedServer { lifecycle, ..row })
    }

    /// The row of a server. Panics if it is not listed.
    pub fn listed_server(&self, server: &str) -> ListedServer {
        let state = lock(&self.shared.0);
        state
            .rows
            .get(server)
            .unwrap_or_else(|| panic!("{server} is not listed"))
            .1
            .clone()
    }

    /// The current list with the addresses that a balancer uses.
    pub fn snapshot(&self, balancer: &str) -> Value {
        lock(&self.shared.0).list_since(balancer, 0)
    }

    /// Sets how lists are written from now on.
    pub fn set_list_format(&self, format: ListFormat) {
        self.update(|state| state.format = format);
    }

    /// Loses its state: the rows remain, except deleted ones, but generations restart at 1 and all watches end.
    pub fn lose_state(&self) {
        self.record.append(EventKind::Discovery("lost its state"));
        self.update(|state| {
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

    /// Goes down: watches end and requests are answered with status 503.
    pub fn go_down(&self) {
        self.record.append(EventKind::Discovery("went down"));
        self.update(|state| {
            state.down = true;
            state.end_watches();
        });
    }

    /// Serves requests again.
    pub fn come_back(&self) {
        self.record.append(EventKind::Discovery("came back"));
        self.update(|state| state.down = false);
    }

    /// Current watches stay open but send nothing more.
    pub fn silence_watches(&self) {
        self.record
            .append(EventKind::Discovery("stopped sending on open watches"));
        self.update(|state| state.silenced_before = state.watches + 1);
    }
}

impl State {
    fn end_watches(&mut self) {
        for stream in std::mem::take(&mut self.streams).values() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn list_since(&self, balancer: &str, since: u64) -> Value {
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

/// Encodes a list as the chunks of a watch.
fn encode_list(list: &Value, format: ListFormat) -> Vec<u8> {
    let text = if format.indented {
        serde_json::to_string_pretty(list)
    } else {
        serde_json::to_string(list)
    };
    let text = text.expect("a list serializes to JSON") + "\n";
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
        let list = guard.list_since(&balancer, 0).to_string();
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
            output.extend(encode_list(
                &guard.list_since(&balancer, since),
                guard.format,
            ));
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
