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
pub enum Kind {
    /// An entry of the farm's list.
    Listed,
    /// Which list a process holds.
    List,
    /// What a process has seen of a server.
    Standing,
    /// What a process sent to a cold server lately.
    ColdSent,
    /// What a process saw fail of a client's placements.
    Failures,
    /// Where a client or a group stands.
    Placement,
    /// An operator's override, or that it was removed.
    Override,
    /// Which configuration a process runs.
    Configuration,
    /// What only a newer program can read: kept and passed on.
    Unknown,
}

impl Kind {
    /// All of them.
    pub const ALL: [Kind; 9] = [
        Kind::Listed,
        Kind::List,
        Kind::Standing,
        Kind::ColdSent,
        Kind::Failures,
        Kind::Placement,
        Kind::Override,
        Kind::Configuration,
        Kind::Unknown,
    ];

    /// Its number in records; none for what is unknown.
    pub(crate) fn number(self) -> u32 {
        if self == Kind::Unknown {
            0
        } else {
            self as u32 + 1
        }
    }

    /// The kind of that number.
    pub(crate) fn of(number: u32) -> Kind {
        let known = &Kind::ALL[..Kind::Unknown as usize];
        known
            .iter()
            .copied()
            .find(|kind| kind.number() == number)
            .unwrap_or(Kind::Unknown)
    }
}

/// Who is placed, by the hash that all processes give it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Holder {
    /// A client key.
    Client(u64),
    /// A group of connections.
    Group(u64),
}

/// What a fact is about. Where each process has its own word (see [`Subject::owned`]), the process is told by the
/// fact's origin.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Subject {
    /// An entry of the farm's list, by the server's name.
    Listed(String),
    /// The list that the origin holds.
    List,
    /// What the origin has seen of that server.
    Standing(String),
    /// What the origin sent to that server while it was cold.
    ColdSent(String),
    /// What the origin saw fail under that client key.
    Failures(u64),
    /// Where that client or group stands.
    Placement(Holder),
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
        owned: bool,
    },
}

impl Subject {
    /// Its kind.
    pub fn kind(&self) -> Kind {
        match self {
            Subject::Listed(_) => Kind::Listed,
            Subject::List => Kind::List,
            Subject::Standing(_) => Kind::Standing,
            Subject::ColdSent(_) => Kind::ColdSent,
            Subject::Failures(_) => Kind::Failures,
            Subject::Placement(_) => Kind::Placement,
            Subject::Override(_) => Kind::Override,
            Subject::Configuration => Kind::Configuration,
            Subject::Unknown { .. } => Kind::Unknown,
        }
    }

    /// Whether each process has its own word on it, which no other one's replaces.
    pub fn owned(&self) -> bool {
        match self {
            Subject::Listed(_) | Subject::Placement(_) | Subject::Override(_) => false,
            Subject::Unknown { owned, .. } => *owned,
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
pub struct Position {
    /// Which life of discovery, from 1.
    pub incarnation: u64,
    /// Discovery's own count, which begins anew with each life.
    pub generation: u64,
}

/// An entry of the farm's list.
#[derive(Clone, Debug, PartialEq)]
pub struct Listed {
    /// The list that told it.
    pub position: Position,
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
    pub position: Position,
    /// A digest of what it says, without addresses, the same at all processes.
    pub digest: u64,
}

/// What a server was seen to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Seen {
    /// It takes connections and does not answer.
    Hung,
    /// It takes none.
    Refused,
    /// It serves.
    Well,
}

/// What a process has seen of a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Evidence {
    /// What it was seen to do.
    pub seen: Seen,
    /// How much speaks for that, in observations as of the moment witnessed.
    pub weight: f64,
}

/// What a process saw fail of a client key's placements.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Failures {
    /// How many.
    pub count: u32,
    /// Some placement succeeded so long before the moment witnessed: what any process had counted by then is void.
    pub voided: Option<Millis>,
}

/// Where a client or group stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Placement {
    /// The server, by name.
    pub server: String,
    /// The digest of the configuration under which it was dealt.
    pub configuration: u64,
    /// Since when, in Unix milliseconds by the clock of the process that placed it.
    pub since: Millis,
}

/// A placement, read where it lies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlacementView<'a> {
    /// The server, by name.
    pub server: &'a str,
    /// The digest of the configuration under which it was dealt.
    pub configuration: u64,
    /// Since when, in Unix milliseconds by the clock of the process that placed it.
    pub since: Millis,
}

/// What is known of an override.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Override {
    /// It was made, or changed.
    Made {
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
    /// Of a [`Subject::Listed`].
    Listed(Listed),
    /// Of a [`Subject::List`].
    List(ListVersion),
    /// Of a [`Subject::Standing`].
    Standing(Evidence),
    /// Of a [`Subject::ColdSent`]: set-ups, as of the moment witnessed.
    ColdSent(f64),
    /// Of a [`Subject::Failures`].
    Failures(Failures),
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
    pub fn kind(&self) -> Kind {
        match self {
            Value::Listed(_) => Kind::Listed,
            Value::List(_) => Kind::List,
            Value::Standing(_) => Kind::Standing,
            Value::ColdSent(_) => Kind::ColdSent,
            Value::Failures(_) => Kind::Failures,
            Value::Placement(_) => Kind::Placement,
            Value::Override(_) => Kind::Override,
            Value::Configuration(_) => Kind::Configuration,
            Value::Unknown(_) => Kind::Unknown,
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
    pub origin_time: Millis,
    /// It is good for so long from then on.
    pub valid_for: Millis,
}
