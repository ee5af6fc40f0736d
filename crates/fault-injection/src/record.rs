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
const SHOWN: usize = 60;

/// What these parts of a process say belongs to a client's story.
const LOGGED_PARTS: [&str; 5] = ["recovery", "memory", "edge", "affinity", "peers"];

/// A moment: the time since the record began.
pub type Moment = Duration;

/// One thing that happened.
#[derive(Clone, Debug)]
pub struct Event {
    /// When.
    pub at: Moment,
    /// What.
    pub what: What,
}

/// One row of a list as a balancer was told it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// The server's name.
    pub server: String,
    /// `SERVING`, `DRAINING` or `DELETED`.
    pub lifecycle: String,
    /// Its last start, in Unix milliseconds.
    pub started_at_ms: u64,
}

/// What can happen.
#[derive(Clone, Debug)]
pub enum What {
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
        did: Did,
    },
    /// A process wrote a log line.
    Log {
        /// Its name.
        process: String,
        /// The line; one that is no JSON stands as a text.
        line: Value,
    },
    /// The last byte of a list was written to a balancer.
    Told {
        /// Who was told.
        balancer: String,
        /// The list's version.
        generation: u64,
        /// Whether it was the whole list.
        reset: bool,
        /// What it said.
        rows: Vec<Row>,
    },
    /// Discovery lost its state, went away, came back or fell silent.
    Discovery(&'static str),
    /// Something became of an application server.
    Server {
        /// Its name.
        server: String,
        /// What.
        did: ServerDid,
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
        begun: Moment,
    },
    /// An attempt is over or stands: the server's first line was written to the balancer, or one of both ended it.
    AttemptOver {
        /// Its number.
        number: u64,
        /// The server's first line, or how it ended without one.
        how: String,
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
        did: ClientDid,
    },
}

/// What becomes of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Did {
    /// It was started.
    Started,
    /// SIGKILL.
    Killed,
    /// SIGTERM.
    Told,
    /// SIGSTOP.
    Stopped,
    /// SIGCONT.
    Continued,
    /// SIGHUP.
    Reloaded,
    /// It ended by itself, well or not.
    Ended(bool),
}

/// What becomes of an application server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServerDid {
    /// It stands, warm or cold.
    Started {
        /// Whether it has to warm up.
        cold: bool,
    },
    /// It is gone; its connections were reset.
    Killed,
    /// It sends its clients away.
    Drains,
    /// It answers nothing any more.
    Hangs,
    /// It answers again.
    Recovers,
    /// It took a set-up of this client key.
    Took(String),
    /// It fell over: so many set-ups in the window, where so many are borne.
    Tipped {
        /// What came.
        came: usize,
        /// What it bears.
        bears: usize,
    },
}

/// What becomes of a client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClientDid {
    /// The last byte of its opening was written; it waits so long.
    Asked(Duration),
    /// It never got a connection, or the opening could not be written.
    NotTaken,
    /// A final answer's line.
    Answered(String),
    /// It was served: this is the server that gave the receipt.
    Stands(String),
    /// Its line was answered after so long.
    Heard(Duration),
    /// Its line has had no answer for so long.
    Unheard(Duration),
    /// It was told to move, by whoever.
    Moved,
    /// Its connection ended: in order (true) or by a reset.
    Ended(bool),
    /// It ended its connection by itself.
    Left,
}

#[derive(Debug)]
struct Inner {
    events: Mutex<Vec<Event>>,
    grown: Condvar,
    start: Instant,
    wall: SystemTime,
}

/// The record, shared by all that write it.
#[derive(Clone, Debug)]
pub struct Record(Arc<Inner>);

impl Default for Record {
    fn default() -> Record {
        let (start, wall) = (Instant::now(), SystemTime::now());
        Record(Arc::new(Inner {
            events: Mutex::default(),
            grown: Condvar::new(),
            start,
            wall,
        }))
    }
}

impl Record {
    /// The present moment.
    pub fn now(&self) -> Moment {
        self.0.start.elapsed()
    }

    /// The Unix time of a moment, in milliseconds.
    pub fn unix_ms(&self, at: Moment) -> u64 {
        let since = (self.0.wall + at)
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    }

    /// The moment of a time that a process wrote in its log.
    pub fn moment_of(&self, time: SystemTime) -> Moment {
        time.duration_since(self.0.wall).unwrap_or_default()
    }

    fn events(&self) -> MutexGuard<'_, Vec<Event>> {
        // Events are whole at every moment, whoever panicked.
        self.0.events.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes down what has just happened.
    pub fn note(&self, what: What) {
        let at = self.now();
        self.note_at(at, what);
    }

    /// Writes down what happened at a moment.
    pub fn note_at(&self, at: Moment, what: What) {
        self.events().push(Event { at, what });
        self.0.grown.notify_all();
    }

    /// The story says where it is; gives the place in the record from which on the step counts.
    pub fn step(&self, words: &str) -> usize {
        self.note(What::Step(words.to_owned()));
        self.events().len()
    }

    /// Everything so far, in the order of its moments.
    pub fn ordered(&self) -> Vec<Event> {
        let mut events = self.events().clone();
        events.sort_by_key(|event| event.at);
        events
    }

    /// Waits until something holds of the record, and gives it. Where it does not come to hold, the last events are told.
    pub fn wait<T>(&self, what: &str, holds: impl FnMut(&[Event]) -> Option<T>) -> T {
        let reached = self.wait_for(WAIT_TIMEOUT, holds);
        reached.unwrap_or_else(|| {
            panic!(
                "never came: {what}; the last of the record:\n{}",
                self.tail()
            )
        })
    }

    /// The same with a bound of one's own; nothing where it did not come to hold.
    pub fn wait_for<T>(
        &self,
        patience: Duration,
        mut holds: impl FnMut(&[Event]) -> Option<T>,
    ) -> Option<T> {
        let until = Instant::now() + patience;
        let (mut seen, mut events) = (usize::MAX, self.events());
        loop {
            if events.len() != seen {
                seen = events.len();
                if let Some(reached) = holds(&events) {
                    return Some(reached);
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
            if events.len() == seen {
                let waited = self
                    .0
                    .grown
                    .wait_timeout(events, left)
                    .unwrap_or_else(PoisonError::into_inner);
                events = waited.0;
            }
        }
    }

    /// Whether a balancer tried this server for the client, and it did not take it.
    pub fn tried_in_vain(&self, name: &str, at: &str) -> bool {
        let events = self.events();
        let ids: BTreeSet<&str> = events
            .iter()
            .filter_map(|event| id_of(event, name))
            .collect();
        let tried = events.iter().filter_map(|event| match &event.what {
            What::Attempt {
                number, server, id, ..
            } if server == at && ids.contains(id.as_str()) => Some(*number),
            _ => None,
        });
        let tried: BTreeSet<u64> = tried.collect();
        events.iter().any(|event| {
            matches!(&event.what, What::AttemptOver { number, how } if tried.contains(number) && !how.starts_with("UP"))
        })
    }

    /// Whoever was told to move after a place in the record.
    pub fn moved_since(&self, since: usize) -> BTreeSet<String> {
        let events = self.events();
        let told = events[since.min(events.len())..]
            .iter()
            .filter_map(|event| match &event.what {
                What::Client {
                    client,
                    did: ClientDid::Moved,
                    ..
                } => Some(client.clone()),
                _ => None,
            });
        told.collect()
    }

    /// What became of a client, one event a line, and what processes said of their way meanwhile.
    pub fn story_of(&self, name: &str) -> String {
        let is_its = |event: &&Event| match &event.what {
            What::Client { client, did, .. } => {
                client == name && !matches!(did, ClientDid::Heard(_) | ClientDid::NotTaken)
            }
            What::Step(_) | What::Process { .. } => true,
            What::Server {
                did: ServerDid::Took(key),
                ..
            } => key == name,
            What::Log { line, .. } => LOGGED_PARTS.iter().any(|part| line["part"] == *part),
            _ => false,
        };
        let line = |event: &Event| format!("  {:9.3} {:?}\n", event.at.as_secs_f64(), event.what);
        self.ordered().iter().filter(is_its).map(line).collect()
    }

    /// The last events, one a line.
    pub fn tail(&self) -> String {
        let events = self.ordered();
        let from = events.len().saturating_sub(SHOWN);
        let line = |event: &Event| format!("  {:9.3} {:?}\n", event.at.as_secs_f64(), event.what);
        events[from..].iter().map(line).collect()
    }
}

/// The request that this is about, if it is this client's.
fn id_of<'a>(event: &'a Event, name: &str) -> Option<&'a str> {
    match &event.what {
        What::Client { client, id, .. } if client == name => Some(id),
        _ => None,
    }
}

/// Who stands by these events, and at which server.
pub fn established(events: &[Event]) -> BTreeMap<String, String> {
    let mut placed = BTreeMap::new();
    for event in events {
        match &event.what {
            What::Client {
                client,
                did: ClientDid::Stands(server),
                ..
            } => {
                placed.insert(client.clone(), server.clone());
            }
            What::Client {
                client,
                did: ClientDid::Moved | ClientDid::Ended(_) | ClientDid::Left,
                ..
            } => {
                placed.remove(client);
            }
            _ => {}
        }
    }
    placed
}
