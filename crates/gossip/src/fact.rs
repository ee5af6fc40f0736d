//! What a fact is: its subject, its value, and by whom, when and for how long it holds.

use std::net::SocketAddr;

use crate::Millis;

/// A process, in one of its lives.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Origin {
    /// Its name in the fleet. A listed server's facts are discovery's word and have `discovery` here.
    pub name: String,
    /// Grows with each start of it. For discovery's word, the life of that discovery.
    pub incarnation: u64,
}

/// What facts are about, by sort. Each has bounds of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FactKind {
    /// An entry of the farm's list.
    ServerEntry,
    /// Which list a process holds.
    ListVersion,
    /// What a process has seen of a server.
    ServerEvidence,
    /// What a process sent to a cold server lately.
    SlowStartSends,
    /// What a process saw fail of a client's placements.
    PlacementFailures,
    /// Where a client or a group stands.
    Placement,
    /// An operator's override, or that it was removed.
    Override,
    /// Which configuration a process runs.
    Configuration,
    /// What only a newer program can read: kept and passed on.
    Unknown,
}

impl FactKind {
    /// All of them.
    pub const ALL: [FactKind; 9] = [
        FactKind::ServerEntry,
        FactKind::ListVersion,
        FactKind::ServerEvidence,
        FactKind::SlowStartSends,
        FactKind::PlacementFailures,
        FactKind::Placement,
        FactKind::Override,
        FactKind::Configuration,
        FactKind::Unknown,
    ];

    /// Its number in records; none for what is unknown.
    pub(crate) fn wire_number(self) -> u32 {
        if self == FactKind::Unknown {
            0
        } else {
            self as u32 + 1
        }
    }

    /// The kind of that number.
    pub(crate) fn from_number(number: u32) -> FactKind {
        let known = &FactKind::ALL[..FactKind::Unknown as usize];
        known
            .iter()
            .copied()
            .find(|kind| kind.wire_number() == number)
            .unwrap_or(FactKind::Unknown)
    }
}

/// Who is placed, by the hash that all processes give it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PlacementKey {
    /// A client key.
    Client(u64),
    /// A group of connections.
    Group(u64),
}

/// What a fact is about. Where each process has its own word (see [`Subject::is_per_process`]), the process is told by the
/// fact's origin.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Subject {
    /// An entry of the farm's list, by the server's name.
    ServerEntry(String),
    /// The list that the origin holds.
    ListVersion,
    /// What the origin has seen of that server.
    ServerEvidence(String),
    /// What the origin sent to that server while it was cold.
    SlowStartSends(String),
    /// What the origin saw fail under that client key.
    PlacementFailures(u64),
    /// Where that client or group stands.
    Placement(PlacementKey),
    /// The override of that number.
    Override(Vec<u8>),
    /// What the origin runs.
    Configuration,
    /// Something that only a newer program can read.
    Unknown {
        /// The number of its kind.
        kind: u32,
        /// Its name within the kind.
        key: Vec<u8>,
        /// Whether each process has its own word on it.
        is_per_process: bool,
    },
}

impl Subject {
    /// Its kind.
    pub fn kind(&self) -> FactKind {
        match self {
            Subject::ServerEntry(_) => FactKind::ServerEntry,
            Subject::ListVersion => FactKind::ListVersion,
            Subject::ServerEvidence(_) => FactKind::ServerEvidence,
            Subject::SlowStartSends(_) => FactKind::SlowStartSends,
            Subject::PlacementFailures(_) => FactKind::PlacementFailures,
            Subject::Placement(_) => FactKind::Placement,
            Subject::Override(_) => FactKind::Override,
            Subject::Configuration => FactKind::Configuration,
            Subject::Unknown { .. } => FactKind::Unknown,
        }
    }

    /// Whether each process has its own word on it, which no other one's replaces.
    pub fn is_per_process(&self) -> bool {
        match self {
            Subject::ServerEntry(_) | Subject::Placement(_) | Subject::Override(_) => false,
            Subject::Unknown { is_per_process, .. } => *is_per_process,
            _ => true,
        }
    }
}

/// Whether a listed server takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Lifecycle {
    /// It does.
    Serving,
    /// It finishes what it has.
    Draining,
    /// It is gone.
    Deleted,
}

/// How far a list is: the life of the discovery that told it, then its generation within that life.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ListPosition {
    /// Which life of discovery, from 1.
    pub incarnation: u64,
    /// Discovery's own count, which begins anew with each life.
    pub generation: u64,
}

/// An entry of the farm's list.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerEntry {
    /// The list that told it.
    pub position: ListPosition,
    /// Whether the server takes new work.
    pub lifecycle: Lifecycle,
    /// Its zone.
    pub zone: String,
    /// Its machine type; empty where a list names none, or a process of an older version told it.
    pub machine_type: String,
    /// Its cell.
    pub cell: u32,
    /// Its listed weight.
    pub weight: f64,
    /// Where one of the processes reaches it; others may have to go another way.
    pub address: Option<SocketAddr>,
    /// Unix time of its last start, in milliseconds; 0 for long ago.
    pub started_at_ms: u64,
}

/// Which list a process holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListVersion {
    /// How far it is.
    pub position: ListPosition,
    /// A digest of what it says, without addresses, the same at all processes.
    pub digest: u64,
}

/// What a server was seen to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ObservedHealth {
    /// It takes connections and does not answer.
    Hung,
    /// It takes none.
    Refused,
    /// It serves.
    Healthy,
}

/// What a process has seen of a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerEvidence {
    /// What it was seen to do.
    pub observed: ObservedHealth,
    /// How much speaks for that, in observations as of the moment witnessed.
    pub weight: f64,
}

/// What a process saw fail of a client key's placements.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlacementFailures {
    /// How many.
    pub count: u32,
    /// Some placement succeeded so long before the moment witnessed: what any process had counted by then is void.
    pub last_success_age: Option<Millis>,
}

/// Where a client or group stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Placement {
    /// The server, by name.
    pub server: String,
    /// The digest of the configuration under which it was dealt.
    pub configuration_digest: u64,
    /// Since when, in Unix milliseconds by the clock of the process that placed it.
    pub placed_at: Millis,
}

/// A placement, read where it lies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlacementView<'a> {
    /// The server, by name.
    pub server: &'a str,
    /// The digest of the configuration under which it was dealt.
    pub configuration_digest: u64,
    /// Since when, in Unix milliseconds by the clock of the process that placed it.
    pub placed_at: Millis,
}

/// What is known of an override.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Override {
    /// It was made, or changed.
    Set {
        /// When it ends, in Unix milliseconds.
        expires_at: Millis,
        /// What it says, in the form of those who act on it.
        bytes: Vec<u8>,
    },
    /// It was removed.
    Removed,
}

/// Which configuration a process runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Configuration {
    /// Its digest.
    pub digest: u64,
    /// Its place in the order of configurations.
    pub number: u64,
}

/// What a fact says.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    /// Of a [`Subject::ServerEntry`].
    ServerEntry(ServerEntry),
    /// Of a [`Subject::ListVersion`].
    ListVersion(ListVersion),
    /// Of a [`Subject::ServerEvidence`].
    ServerEvidence(ServerEvidence),
    /// Of a [`Subject::SlowStartSends`]: set-ups, as of the moment witnessed.
    SlowStartSends(f64),
    /// Of a [`Subject::PlacementFailures`].
    PlacementFailures(PlacementFailures),
    /// Of a [`Subject::Placement`]; nothing when it left.
    Placement(Option<Placement>),
    /// Of a [`Subject::Override`].
    Override(Override),
    /// Of a [`Subject::Configuration`].
    Configuration(Configuration),
    /// Of a [`Subject::Unknown`].
    Unknown(Vec<u8>),
}

impl Value {
    /// The kind of subjects it is about.
    pub fn kind(&self) -> FactKind {
        match self {
            Value::ServerEntry(_) => FactKind::ServerEntry,
            Value::ListVersion(_) => FactKind::ListVersion,
            Value::ServerEvidence(_) => FactKind::ServerEvidence,
            Value::SlowStartSends(_) => FactKind::SlowStartSends,
            Value::PlacementFailures(_) => FactKind::PlacementFailures,
            Value::Placement(_) => FactKind::Placement,
            Value::Override(_) => FactKind::Override,
            Value::Configuration(_) => FactKind::Configuration,
            Value::Unknown(_) => FactKind::Unknown,
        }
    }
}

/// A fact.
#[derive(Clone, Debug, PartialEq)]
pub struct Fact {
    /// What it is about.
    pub subject: Subject,
    /// What it says.
    pub value: Value,
    /// Whose word it is.
    pub origin: Origin,
    /// What orders it first: the origin's boot where each process has its own word, the life of discovery for an
    /// entry of the list, 0 for all others.
    pub epoch: u64,
    /// Grows with each fact on the subject.
    pub version: u64,
    /// When it was witnessed, by this process's clock: the moment of receipt less the age that it came with.
    pub observed_at: Millis,
    /// The same moment by the origin's clock, which may be wrong. No life or age hangs on it.
    pub origin_observed_at: Millis,
    /// It is good for so long from then on.
    pub valid_for: Millis,
}
