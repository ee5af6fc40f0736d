//! The fact model: subject, value, origin, and the times that bound a fact's validity.

use std::net::SocketAddr;

use crate::Millis;

/// A process in one of its incarnations.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Origin {
    /// Name of the process in the fleet; `discovery` for server entries, whose author is discovery.
    pub name: String,
    /// Increases with each start of the process; for server entries, the incarnation of discovery.
    pub incarnation: u64,
}

/// Kinds of facts. Each has limits of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FactKind {
    /// An entry of the server list.
    ServerEntry,
    /// The version of the server list that a process holds.
    ListVersion,
    /// What a process observed of a server.
    ServerEvidence,
    /// Recent connection setups that a process sent to a server in slow start.
    SlowStartSends,
    /// Failed placements of a client as seen by one process.
    PlacementFailures,
    /// The server on which a client or group is placed.
    Placement,
    /// An operator's override, or its removal.
    Override,
    /// The configuration that a process runs.
    Configuration,
    /// A kind that only a newer version of the program can read; kept and forwarded.
    Unknown,
}

impl FactKind {
    /// All kinds, in the order of their discriminants.
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

    /// The number of the kind in records; 0 for [`FactKind::Unknown`].
    pub(crate) fn wire_number(self) -> u32 {
        if self == FactKind::Unknown {
            0
        } else {
            self as u32 + 1
        }
    }

    /// The kind with that number, or [`FactKind::Unknown`].
    pub(crate) fn from_number(number: u32) -> FactKind {
        let known = &FactKind::ALL[..FactKind::Unknown as usize];
        known
            .iter()
            .copied()
            .find(|kind| kind.wire_number() == number)
            .unwrap_or(FactKind::Unknown)
    }
}

/// The client or group that is placed, by a hash that is the same at all processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PlacementKey {
    /// A client key.
    Client(u64),
    /// A group of connections.
    Group(u64),
}

/// What a fact is about. For subjects on which each process has its own fact (see [`Subject::is_per_process`]), the
/// fact's origin identifies the process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Subject {
    /// The entry of the server list for the server of that name.
    ServerEntry(String),
    /// The server list that the origin holds.
    ListVersion,
    /// What the origin observed of that server.
    ServerEvidence(String),
    /// What the origin sent to that server during its slow start.
    SlowStartSends(String),
    /// Placements under that client key that failed at the origin.
    PlacementFailures(u64),
    /// The placement of that client or group.
    Placement(PlacementKey),
    /// The override with that identifier.
    Override(Vec<u8>),
    /// The configuration that the origin runs.
    Configuration,
    /// A subject that only a newer version of the program can read.
    Unknown {
        /// Number of the kind in records.
        kind: u32,
        /// Key within the kind.
        key: Vec<u8>,
        /// Whether each process has its own fact on the subject.
        is_per_process: bool,
    },
}

impl Subject {
    /// The fact kind of the subject.
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

    /// Whether each process has its own fact on the subject, which no other process's fact replaces.
    pub fn is_per_process(&self) -> bool {
        match self {
            Subject::ServerEntry(_) | Subject::Placement(_) | Subject::Override(_) => false,
            Subject::Unknown { is_per_process, .. } => *is_per_process,
            _ => true,
        }
    }
}

/// Whether a listed server accepts new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Lifecycle {
    /// It accepts new work.
    Serving,
    /// It only finishes the work that it has.
    Draining,
    /// It no longer exists.
    Deleted,
}

/// Version of the server list, ordered by the incarnation of discovery that announced it and then by generation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ListPosition {
    /// Incarnation of discovery, from 1.
    pub incarnation: u64,
    /// Discovery's own counter, which restarts with each incarnation.
    pub generation: u64,
}

/// An entry of the server list.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerEntry {
    /// The list version that the entry comes from.
    pub position: ListPosition,
    /// Whether the server accepts new work.
    pub lifecycle: Lifecycle,
    /// Zone of the server.
    pub zone: String,
    /// Machine type; empty where the list names none or the entry comes from a process of an older version.
    pub machine_type: String,
    /// Number of the cell that the server belongs to.
    pub cell: u32,
    /// Weight from the server list.
    pub weight: f64,
    /// Address at which one of the processes reaches the server; other processes may need another address.
    pub address: Option<SocketAddr>,
    /// Unix time of the last start in milliseconds; 0 if it was long ago.
    pub started_at_ms: u64,
}

/// The version of the server list that a process holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListVersion {
    /// Incarnation and generation of the list.
    pub position: ListPosition,
    /// Digest of the list without addresses; the same at all processes.
    pub digest: u64,
}

/// Health of a server as observed by a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ObservedHealth {
    /// It accepts connections and does not answer.
    Hung,
    /// It accepts no connections.
    Refused,
    /// It serves requests.
    Healthy,
}

/// A process's evidence on a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerEvidence {
    /// The observed health.
    pub observed: ObservedHealth,
    /// Weight of the evidence, in observations as of the time of observation.
    pub weight: f64,
}

/// Failed placements of a client key, as counted by one process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlacementFailures {
    /// Number of failures.
    pub count: u32,
    /// Time between the last successful placement and the observation; `None` if there was none. Failures that any
    /// process counted before that success are void.
    pub last_success_age: Option<Millis>,
}

/// The placement of a client or group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Placement {
    /// Name of the server.
    pub server: String,
    /// Digest of the configuration under which the server was chosen.
    pub configuration_digest: u64,
    /// When the placement began, in Unix milliseconds by the clock of the process that made it.
    pub placed_at: Millis,
}

/// A placement that borrows from the stored record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlacementView<'a> {
    /// Name of the server.
    pub server: &'a str,
    /// Digest of the configuration under which the server was chosen.
    pub configuration_digest: u64,
    /// When the placement began, in Unix milliseconds by the clock of the process that made it.
    pub placed_at: Millis,
}

/// State of an override.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Override {
    /// It was created or changed.
    Set {
        /// When the override expires, in Unix milliseconds.
        expires_at: Millis,
        /// Content of the override, in the encoding of the code that applies it.
        bytes: Vec<u8>,
    },
    /// It was removed.
    Removed,
}

/// The configuration that a process runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Configuration {
    /// Digest of the configuration.
    pub digest: u64,
    /// Position in the order of configurations.
    pub number: u64,
}

/// Content of a fact.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    /// Value of a [`Subject::ServerEntry`].
    ServerEntry(ServerEntry),
    /// Value of a [`Subject::ListVersion`].
    ListVersion(ListVersion),
    /// Value of a [`Subject::ServerEvidence`].
    ServerEvidence(ServerEvidence),
    /// Value of a [`Subject::SlowStartSends`]: the number of setups as of the time of observation.
    SlowStartSends(f64),
    /// Value of a [`Subject::PlacementFailures`].
    PlacementFailures(PlacementFailures),
    /// Value of a [`Subject::Placement`]; `None` when the client or group has left.
    Placement(Option<Placement>),
    /// Value of a [`Subject::Override`].
    Override(Override),
    /// Value of a [`Subject::Configuration`].
    Configuration(Configuration),
    /// Value of a [`Subject::Unknown`].
    Unknown(Vec<u8>),
}

impl Value {
    /// The kind of the subjects that such a value belongs to.
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

/// An observation of a subject by an origin, with its order among facts on the subject and its validity.
#[derive(Clone, Debug, PartialEq)]
pub struct Fact {
    /// What the fact is about.
    pub subject: Subject,
    /// Content of the fact.
    pub value: Value,
    /// The process that made the observation.
    pub origin: Origin,
    /// First criterion of the order: the origin's incarnation where each process has its own fact, the incarnation of
    /// discovery for a server entry, and 0 otherwise.
    pub epoch: u64,
    /// Increases with each fact on the subject; orders facts of the same epoch.
    pub version: u64,
    /// Time of observation by this process's clock: the time of receipt less the age received with the fact.
    pub observed_at: Millis,
    /// Time of observation by the origin's clock, which may be wrong. No lifetime or age is derived from it.
    pub origin_observed_at: Millis,
    /// Time from the observation during which the fact is valid.
    pub valid_for: Millis,
}
