//! The one record: what every link, process, stand-in and client saw, in one order.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde_json::Value;

use crate::fault::Fault;

/// Longer than anything here takes on a loaded machine; what waits for so long has failed.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// A condition over the record is looked at no more often. Guards against waits that cost more than what they wait
/// for.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// So many of the last events are shown where a wait has failed.
const MAX_SHOWN_EVENTS: usize = 60;

/// What these parts of a process say belongs to a client's story.
const CLIENT_LOG_PARTS: [&str; 5] = ["recovery", "memory", "edge", "affinity", "peers"];

/// A moment: the time since the record began.
pub type Timestamp = Duration;

/// One thing that happened.
#[derive(Clone, Debug)]
pub struct Event {
    /// When.
    pub at: Timestamp,
    /// What.
    pub kind: EventKind,
}

/// One row of a list as a balancer was told it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListRow {
    /// The server's name.
    pub server: String,
    /// `SERVING`, `DRAINING` or `DELETED`.
    pub lifecycle: String,
    /// Its last start, in Unix milliseconds.
    pub started_at_ms: u64,
}

/// What can happen.
#[derive(Clone, Debug)]
pub enum EventKind {
    /// The story says where it is.
    Step(String),
    /// A link was broken or mended.
    Link {
        /// Its name.
        link: String,
        /// Who connects to it.
        near: String,
        /// Who is reached through it.
        far: String,
        /// How.
        fault: Fault,
    },
    /// A process was started, stopped or ended.
    Process {
        /// Its name.
        process: String,
        /// What became of it.
        event: ProcessEvent,
    },
    /// A process wrote a log line.
    Log {
        /// Its name.
        process: String,
        /// The line; one that is no JSON stands as a text.
        line: Value,
    },
    /// The last byte of a list was written to a balancer.
    EndpointListSent {
        /// Who was told.
        balancer: String,
        /// The list's version.
        generation: u64,
        /// Whether it was the whole list.
        reset: bool,
        /// What it said.
        rows: Vec<ListRow>,
    },
    /// Discovery lost its state, went away, came back or fell silent.
    Discovery(&'static str),
    /// Something became of an application server.
    Server {
        /// Its name.
        server: String,
        /// What.
        event: ServerEvent,
    },
    /// A balancer's attempt reached the wire: the last byte of its head was written.
    Attempt {
        /// Its number, unique in the record.
        number: u64,
        /// Whose it is.
        balancer: String,
        /// To whom.
        server: String,
        /// The request's id.
        id: String,
        /// When its first byte was written.
        started_at: Timestamp,
    },
    /// An attempt is over or stands: the server's first line was written to the balancer, or one of both ended it.
    AttemptEnded {
        /// Its number.
        number: u64,
        /// The server's first line, or how it ended without one.
        outcome: String,
    },
    /// Something became of a client.
    Client {
        /// Its name.
        client: String,
        /// The request's id.
        id: String,
        /// The process that the front gave it.
        process: String,
        /// What.
        event: ClientEvent,
    },
}

/// What becomes of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessEvent {
    /// It was started.
    Started,
    /// SIGKILL.
    Killed,
    /// SIGTERM.
    TerminationRequested,
    /// SIGSTOP.
    Paused,
    /// SIGCONT.
    Resumed,
    /// SIGHUP.
    Reloaded,
    /// It ended by itself, well or not.
    Exited(bool),
}

/// What becomes of an application server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServerEvent {
    /// It stands, warm or cold.
    Started {
        /// Whether it has to warm up.
        cold: bool,
    },
    /// It is gone; its connections were reset.
    Killed,
    /// It sends its clients away.
    Draining,
    /// It answers nothing any more.
    Unresponsive,
    /// It answers again.
    Recovered,
    /// It took a set-up of this client key.
    Accepted(String),
    /// It fell over: so many set-ups in the window, where so many are borne.
    Overloaded {
        /// What came.
        setups: usize,
        /// What it bears.
        limit: usize,
    },
}

/// What becomes of a client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClientEvent {
    /// The last byte of its opening was written; it waits so long.
    RequestSent(Duration),
    /// It never got a connection, or the opening could not be written.
    ConnectFailed,
    /// A final answer's line.
    Answered(String),
    /// It was served: this is the server that gave the receipt.
    Established(String),
    /// Its line was answered after so long.
    LineAnswered(Duration),
    /// Its line has had no answer for so long.
    LineUnanswered(Duration),
    /// It was told to move, by whoever.
    MoveReceived,
    /// Its connection ended: in order (true) or by a reset.
    Disconnected(bool),
    /// It ended its connection by itself.
    Closed,
}

#[derive(Debug)]
struct Inner {
    events: Mutex<Vec<Event>>,
    changed: Condvar,
    started_at: Instant,
    system_started_at: SystemTime,
}

/// The record, shared by all that write it.
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
    /// The present moment.
    pub fn now(&self) -> Timestamp {
        self.0.started_at.elapsed()
    }

    /// The Unix time of a moment, in milliseconds.
    pub fn unix_ms(&self, at: Timestamp) -> u64 {
        let since = (self.0.system_started_at + at)
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    }

    /// The moment of a time that a process wrote in its log.
    pub fn timestamp_of(&self, time: SystemTime) -> Timestamp {
        time.duration_since(self.0.system_started_at)
            .unwrap_or_default()
    }

    fn events(&self) -> MutexGuard<'_, Vec<Event>> {
        // Events are whole at every moment, whoever panicked.
        self.0.events.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes down what has just happened.
    pub fn append(&self, kind: EventKind) {
        let at = self.now();
        self.append_at(at, kind);
    }

    /// Writes down what happened at a moment.
    pub fn append_at(&self, at: Timestamp, kind: EventKind) {
        self.events().push(Event { at, kind });
        self.0.changed.notify_all();
    }

    /// The story says where it is; gives the place in the record from which on the step counts.
    pub fn step(&self, description: &str) -> usize {
        self.append(EventKind::Step(description.to_owned()));
        self.events().len()
    }

    /// Everything so far, in the order of its moments.
    pub fn events_by_time(&self) -> Vec<Event> {
        let mut events = self.events().clone();
        events.sort_by_key(|event| event.at);
        events
    }

    /// Waits until something holds of the record, and gives it. Where it does not come to hold, the last events are told.
    pub fn wait<T>(&self, description: &str, condition: impl FnMut(&[Event]) -> Option<T>) -> T {
        let result = self.wait_for(WAIT_TIMEOUT, condition);
        result.unwrap_or_else(|| {
            panic!(
                "never came: {description}; the last of the record:\n{}",
                self.recent_events()
            )
        })
    }

    /// The same with a bound of one's own; nothing where it did not come to hold.
    pub fn wait_for<T>(
        &self,
        timeout: Duration,
        mut condition: impl FnMut(&[Event]) -> Option<T>,
    ) -> Option<T> {
        let until = Instant::now() + timeout;
        let (mut seen_len, mut events) = (usize::MAX, self.events());
        loop {
            if events.len() != seen_len {
                seen_len = events.len();
                if let Some(result) = condition(&events) {
                    return Some(result);
                }
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return None;
            }
            drop(events);
            // Let others write meanwhile.
            std::thread::sleep(POLL_INTERVAL.min(left));
            events = self.events();
            if events.len() == seen_len {
                let waited = self
                    .0
                    .changed
                    .wait_timeout(events, left)
                    .unwrap_or_else(PoisonError::into_inner);
                events = waited.0;
            }
        }
    }

    /// Whether a balancer tried this server for the client, and it did not take it.
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

    /// Whoever was told to move after a place in the record.
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

    /// What became of a client, one event a line, and what processes said of their way meanwhile.
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

    /// The last events, one a line.
    pub fn recent_events(&self) -> String {
        let events = self.events_by_time();
        let from = events.len().saturating_sub(MAX_SHOWN_EVENTS);
        let line = |event: &Event| format!("  {:9.3} {:?}\n", event.at.as_secs_f64(), event.kind);
        events[from..].iter().map(line).collect()
    }
}

/// The request that this is about, if it is this client's.
fn request_id_of<'a>(event: &'a Event, name: &str) -> Option<&'a str> {
    match &event.kind {
        EventKind::Client { client, id, .. } if client == name => Some(id),
        _ => None,
    }
}

/// Who stands by these events, and at which server.
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
