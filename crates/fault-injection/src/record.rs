//! The record: what all links, processes, stand-ins and clients observed, on one clock.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde_json::Value;

use crate::fault::Fault;

/// Maximum time that a test waits for a condition. Longer than anything takes on a loaded machine.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Minimum time between two evaluations of a condition, so that waiting does not take the CPU time of what it waits
/// for.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Number of events that are printed when a wait times out.
const MAX_SHOWN_EVENTS: usize = 60;

/// Log parts that are included in a client's history.
const CLIENT_LOG_PARTS: [&str; 5] = ["recovery", "memory", "edge", "affinity", "peers"];

/// Time since the record was created.
pub type Timestamp = Duration;

/// One recorded event.
#[derive(Clone, Debug)]
pub struct Event {
    /// When it happened. Log lines carry the time that the process wrote, so events are not appended in this order.
    pub at: Timestamp,
    /// What happened.
    pub kind: EventKind,
}

/// One row of an endpoint list as it was sent to a balancer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListRow {
    /// The server's name, `instanceId` on the wire.
    pub server: String,
    /// `SERVING`, `DRAINING` or `DELETED`.
    pub lifecycle: String,
    /// The server's last start, in Unix milliseconds; 0 if unknown.
    pub started_at_ms: u64,
}

/// The kinds of events.
#[derive(Clone, Debug)]
pub enum EventKind {
    /// The test marks a step.
    Step(String),
    /// A fault was applied to a link, or the link was healed.
    Link {
        /// The name of the link.
        link: String,
        /// The side that connects.
        near: String,
        /// The side that is connected to.
        far: String,
        /// The fault that was applied.
        fault: Fault,
    },
    /// A process started, received a signal or exited.
    Process {
        /// The name of the process.
        process: String,
        /// What happened to the process.
        event: ProcessEvent,
    },
    /// A process wrote a log line.
    Log {
        /// The name of the process.
        process: String,
        /// The line as JSON; a line that is not JSON is a string.
        line: Value,
    },
    /// The last byte of an endpoint list was written to a balancer.
    EndpointListSent {
        /// The balancer that received the list.
        balancer: String,
        /// The generation of the list.
        generation: u64,
        /// Whether the list is a snapshot rather than a delta.
        reset: bool,
        /// The rows of the list.
        rows: Vec<ListRow>,
    },
    /// Discovery lost its state, went down, came back or stopped sending.
    Discovery(&'static str),
    /// An event at an application server.
    Server {
        /// The name of the server.
        server: String,
        /// What happened at the server.
        event: ServerEvent,
    },
    /// A balancer sent an attempt: the last byte of the request's first line was written.
    Attempt {
        /// The number of the attempt, unique in the record.
        number: u64,
        /// The balancer that sent it.
        balancer: String,
        /// The server it was sent to.
        server: String,
        /// The id of the request.
        id: String,
        /// When its first byte was written.
        started_at: Timestamp,
    },
    /// An attempt got its outcome: the server's first line was written to the balancer, or either side closed the
    /// connection.
    AttemptEnded {
        /// The number of the attempt.
        number: u64,
        /// The server's first line, or which side closed the connection before it.
        outcome: String,
    },
    /// An event at a client.
    Client {
        /// The name of the client, its key.
        client: String,
        /// The id of the request.
        id: String,
        /// The process that the front chose for the connection.
        process: String,
        /// What happened at the client.
        event: ClientEvent,
    },
}

/// What happens to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessEvent {
    /// The process was started.
    Started,
    /// SIGKILL was sent.
    Killed,
    /// SIGTERM was sent.
    TerminationRequested,
    /// SIGSTOP was sent.
    Paused,
    /// SIGCONT was sent.
    Resumed,
    /// SIGHUP was sent after its configuration files changed.
    Reloaded,
    /// The process exited without a signal; true if its exit status is 0.
    Exited(bool),
}

/// What happens at an application server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServerEvent {
    /// The server accepts connections.
    Started {
        /// Whether it has to warm up first.
        cold: bool,
    },
    /// The server was killed and its connections were reset.
    Killed,
    /// The server rejects new clients and asks existing ones to move.
    Draining,
    /// The server stopped answering; its connections stay open.
    Unresponsive,
    /// The server answers again.
    Recovered,
    /// The server accepted a connection setup for this client key.
    Accepted(String),
    /// The server failed under load while it was warming up.
    Overloaded {
        /// Setups within the overload window.
        setups: usize,
        /// The most setups that it withstands in that window.
        limit: usize,
    },
}

/// What happens at a client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClientEvent {
    /// The opening line was written completely; the client waits this long for the answer.
    RequestSent(Duration),
    /// The connection failed, or the opening line could not be written.
    ConnectFailed,
    /// The line of a final answer.
    Answered(String),
    /// The request was accepted by this server.
    Established(String),
    /// A line was answered after this time.
    LineAnswered(Duration),
    /// A line has had no answer for this time.
    LineUnanswered(Duration),
    /// `MOVE` was received from the balancer or the server.
    MoveReceived,
    /// The connection was closed by the other side (true) or reset (false).
    Disconnected(bool),
    /// The client closed the connection.
    Closed,
}

#[derive(Debug)]
struct Inner {
    events: Mutex<Vec<Event>>,
    changed: Condvar,
    started_at: Instant,
    system_started_at: SystemTime,
}

/// The record. Clones share the same events.
#[derive(Clone, Debug)]
pub struct Record(Arc<Inner>);

impl Default for Record {
    fn default() -> Record {
        let (started_at, system_started_at) = (Instant::now(), SystemTime::now());
        Record(Arc::new(Inner {
            events: Mutex::default(),
            changed: Condvar::new(),
            started_at,
            system_started_at,
        }))
    }
}

impl Record {
    /// The current time on the record's clock.
    pub fn now(&self) -> Timestamp {
        self.0.started_at.elapsed()
    }

    /// Converts a timestamp to Unix milliseconds.
    pub fn unix_ms(&self, at: Timestamp) -> u64 {
        let since = (self.0.system_started_at + at)
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    }

    /// Converts a time from a log line; a time before the start of the record becomes 0.
    pub fn timestamp_of(&self, time: SystemTime) -> Timestamp {
        time.duration_since(self.0.system_started_at)
            .unwrap_or_default()
    }

    fn events(&self) -> MutexGuard<'_, Vec<Event>> {
        // Events are pushed whole, so the list is valid even if a thread panicked while holding the lock.
        self.0.events.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Appends an event that happened now.
    pub fn append(&self, kind: EventKind) {
        let at = self.now();
        self.append_at(at, kind);
    }

    /// Appends an event that happened at a given time, which may be in the past.
    pub fn append_at(&self, at: Timestamp, kind: EventKind) {
        self.events().push(Event { at, kind });
        self.0.changed.notify_all();
    }

    /// Marks a step of the test; returns the index in the record of the first event after it.
    pub fn step(&self, description: &str) -> usize {
        self.append(EventKind::Step(description.to_owned()));
        self.events().len()
    }

    /// All events so far, sorted by time.
    pub fn events_by_time(&self) -> Vec<Event> {
        let mut events = self.events().clone();
        events.sort_by_key(|event| event.at);
        events
    }

    /// Waits until the condition returns a value. Panics with the latest events after [`WAIT_TIMEOUT`].
    pub fn wait<T>(&self, description: &str, condition: impl FnMut(&[Event]) -> Option<T>) -> T {
        let result = self.wait_for(WAIT_TIMEOUT, condition);
        result.unwrap_or_else(|| {
            panic!(
                "timed out waiting for {description:?}; latest events:\n{}",
                self.recent_events()
            )
        })
    }

    /// As [`Record::wait`], but with a given timeout, after which it returns `None`.
    pub fn wait_for<T>(
        &self,
        timeout: Duration,
        mut condition: impl FnMut(&[Event]) -> Option<T>,
    ) -> Option<T> {
        let deadline = Instant::now() + timeout;
        let (mut seen_len, mut events) = (usize::MAX, self.events());
        loop {
            if events.len() != seen_len {
                seen_len = events.len();
                if let Some(result) = condition(&events) {
                    return Some(result);
                }
            }
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return None;
            }
            drop(events);
            // The lock is released during the sleep so that other threads can append events.
            std::thread::sleep(POLL_INTERVAL.min(remaining));
            events = self.events();
            if events.len() == seen_len {
                let waited = self
                    .0
                    .changed
                    .wait_timeout(events, remaining)
                    .unwrap_or_else(PoisonError::into_inner);
                events = waited.0;
            }
        }
    }

    /// Whether any attempt for the client at this server ended without being accepted.
    pub fn has_failed_attempt(&self, client: &str, server: &str) -> bool {
        let events = self.events();
        let ids: BTreeSet<&str> = events
            .iter()
            .filter_map(|event| request_id_of(event, client))
            .collect();
        let attempts = events.iter().filter_map(|event| match &event.kind {
            EventKind::Attempt {
                number,
                server: target,
                id,
                ..
            } if target == server && ids.contains(id.as_str()) => Some(*number),
            _ => None,
        });
        let attempts: BTreeSet<u64> = attempts.collect();
        events.iter().any(|event| {
            matches!(&event.kind, EventKind::AttemptEnded { number, outcome } if attempts.contains(number) && !outcome.starts_with("UP"))
        })
    }

    /// The clients that received `MOVE` since an index in the record.
    pub fn clients_moved_since(&self, since: usize) -> BTreeSet<String> {
        let events = self.events();
        let moved = events[since.min(events.len())..]
            .iter()
            .filter_map(|event| match &event.kind {
                EventKind::Client {
                    client,
                    event: ClientEvent::MoveReceived,
                    ..
                } => Some(client.clone()),
                _ => None,
            });
        moved.collect()
    }

    /// The events that concern a client, one per line, with the steps of the test and the processes' related log lines.
    pub fn client_history(&self, name: &str) -> String {
        let concerns_client = |event: &&Event| match &event.kind {
            EventKind::Client { client, event, .. } => {
                client == name
                    && !matches!(
                        event,
                        ClientEvent::LineAnswered(_) | ClientEvent::ConnectFailed
                    )
            }
            EventKind::Step(_) | EventKind::Process { .. } => true,
            EventKind::Server {
                event: ServerEvent::Accepted(key),
                ..
            } => key == name,
            EventKind::Log { line, .. } => {
                CLIENT_LOG_PARTS.iter().any(|part| line["part"] == *part)
            }
            _ => false,
        };
        let line = |event: &Event| format!("  {:9.3} {:?}\n", event.at.as_secs_f64(), event.kind);
        self.events_by_time()
            .iter()
            .filter(concerns_client)
            .map(line)
            .collect()
    }

    /// The latest events, one per line.
    pub fn recent_events(&self) -> String {
        let events = self.events_by_time();
        let from = events.len().saturating_sub(MAX_SHOWN_EVENTS);
        let line = |event: &Event| format!("  {:9.3} {:?}\n", event.at.as_secs_f64(), event.kind);
        events[from..].iter().map(line).collect()
    }
}

/// The request id of an event, if the event belongs to the client.
fn request_id_of<'a>(event: &'a Event, name: &str) -> Option<&'a str> {
    match &event.kind {
        EventKind::Client { client, id, .. } if client == name => Some(id),
        _ => None,
    }
}

/// The server of each client that has an established connection after these events.
pub fn established_connections(events: &[Event]) -> BTreeMap<String, String> {
    let mut servers_by_client = BTreeMap::new();
    for event in events {
        match &event.kind {
            EventKind::Client {
                client,
                event: ClientEvent::Established(server),
                ..
            } => {
                servers_by_client.insert(client.clone(), server.clone());
            }
            EventKind::Client {
                client,
                event:
                    ClientEvent::MoveReceived | ClientEvent::Disconnected(_) | ClientEvent::Closed,
                ..
            } => {
                servers_by_client.remove(client);
            }
            _ => {}
        }
    }
    servers_by_client
}
