//! Events, actions and states of the recovery.

use std::fmt;

use crate::{Millis, Nanos};

/// A source of evidence, in the order in which it is queried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EvidenceSource {
    /// Peers of the own site.
    SitePeers,
    /// Peers of the other sites.
    OtherSites,
    /// Discovery.
    Discovery,
    /// The shared store.
    Store,
}

impl EvidenceSource {
    /// All sources in query order.
    pub const ALL: [EvidenceSource; 4] = [
        EvidenceSource::SitePeers,
        EvidenceSource::OtherSites,
        EvidenceSource::Discovery,
        EvidenceSource::Store,
    ];
}

/// Origin of a list. A later one in this order is believed before an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ListSource {
    /// The configured list.
    Configured,
    /// The stored memory.
    Memory,
    /// A peer of another site.
    OtherSite,
    /// A peer of the own site.
    Peer,
    /// The shared store.
    Store,
    /// Discovery itself.
    Discovery,
}

/// Whether a listed server accepts new connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lifecycle {
    /// It accepts new connections.
    Ready,
    /// It is finishing its connections, or is out of service.
    Draining,
    /// It has been removed.
    Gone,
}

/// A server in a list.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Name.
    pub name: String,
    /// Wall time of its last start; 0 if not known.
    pub started_at_ms: Millis,
    /// Whether it accepts new connections.
    pub lifecycle: Lifecycle,
    /// Weight; counts as 1 if it is not a positive number.
    pub weight: f64,
}

/// A server list.
#[derive(Clone, Debug, PartialEq)]
pub struct List {
    /// Origin.
    pub source: ListSource,
    /// Discovery's generation of the list.
    pub generation: u64,
    /// Epoch of discovery, which changes when it loses its state; 0 if not known.
    pub epoch: u64,
    /// Age when it was received.
    pub age: Nanos,
    /// Discovery's wall clock when it sent the list, if known.
    pub reported_at: Option<Millis>,
    /// All servers.
    pub entries: Vec<Entry>,
}

/// Clients of a class and account that the whole fleet served before.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PreviousClients {
    /// Index of the class.
    pub class: usize,
    /// Hash of the account.
    pub account: u64,
    /// Number of clients.
    pub clients: f64,
}

/// The stored memory of a process.
#[derive(Clone, Debug, PartialEq)]
pub struct Memory {
    /// The process that wrote it.
    pub owner: String,
    /// Its incarnation number then.
    pub incarnation: u64,
    /// Wall time of the last write.
    pub written_at: Millis,
    /// Its server list.
    pub list: Option<List>,
    /// What the fleet served when this process last served in full, not during a recovery.
    pub previous_clients: Vec<PreviousClients>,
    /// Clients per second that a warm server of weight 1 was seen to take, if known.
    pub clients_per_server_s: Option<f64>,
}

/// A peer's report on itself. It is a hint.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerStatus {
    /// Name.
    pub name: String,
    /// Site.
    pub site: String,
    /// Incarnation number.
    pub incarnation: u64,
    /// How long it has run.
    pub uptime: Nanos,
    /// How long it has admitted clients, if it does.
    pub serving_time: Option<Nanos>,
    /// Whether it serves in full.
    pub is_in_full_service: bool,
    /// Its wall clock, if it considers it reliable.
    pub wall_clock: Option<Millis>,
    /// Former clients of the whole fleet, as it remembers.
    pub previous_clients: Option<f64>,
    /// Clients per second that it defers although their position has come.
    pub deferred_per_s: f64,
}

/// A client that asks for admission.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionRequest {
    /// Id that comes back in the answer.
    pub id: u64,
    /// Index of its class; an unknown one counts as the last.
    pub class: usize,
    /// Hash of its account.
    pub account: u64,
    /// Hash of its group.
    pub group: Option<u64>,
    /// Key of the client.
    pub client_key: Option<u64>,
    /// Whether it was connected before or was deferred.
    pub is_reconnect: bool,
}

/// Something that happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The process started and has read its memory.
    Started {
        /// Its incarnation number, higher than any before.
        incarnation: u64,
        /// The memory, if there is one.
        memory: Option<Memory>,
    },
    /// A peer reported.
    PeerReported(PeerStatus),
    /// A list was received.
    ListReceived(List),
    /// A queried source answered. A list is an answer by itself.
    QueryAnswered(EvidenceSource),
    /// A queried source can't be reached or did not answer.
    QueryFailed(EvidenceSource),
    /// A server started, by its own report or by a change of the list.
    ServerStarted {
        /// Name of the server.
        name: String,
        /// Wall time of the start; 0 for just now.
        at: Millis,
    },
    /// A client asks for admission.
    AdmissionRequested(AdmissionRequest),
    /// A peer lends quota to this process.
    QuotaLent {
        /// Name of the peer.
        from: String,
        /// Number of the loan; a repeated one counts once.
        number: u64,
        /// Number of clients.
        clients: f64,
    },
    /// Time has passed.
    Tick,
}

/// A kind of remembered knowledge.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RememberedKind {
    /// The server list.
    List,
    /// Draining servers.
    Drains,
    /// Placements of clients and groups.
    Placements,
    /// Operators' overrides.
    Overrides,
    /// Rates of clients that servers can take.
    ServerRates,
    /// Health of servers by evidence.
    ServerHealth,
    /// Numbers of connections by server.
    ConnectionCounts,
    /// Number of former clients.
    FormerClients,
}

impl RememberedKind {
    /// All kinds.
    pub const ALL: [RememberedKind; 8] = [
        RememberedKind::List,
        RememberedKind::Drains,
        RememberedKind::Placements,
        RememberedKind::Overrides,
        RememberedKind::ServerRates,
        RememberedKind::ServerHealth,
        RememberedKind::ConnectionCounts,
        RememberedKind::FormerClients,
    ];
}

/// How far remembered knowledge is believed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Validity {
    /// It is valid.
    Valid,
    /// It is a starting point, with this weight from 0 to 1.
    Hint(f64),
    /// It is not used.
    Discarded,
}

/// The extent of an outage.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum OutageScope {
    /// This process alone.
    Process,
    /// The site.
    Site,
    /// The whole fleet.
    Fleet,
    /// Not known; handled like the whole fleet.
    Unknown,
}

/// State of the recovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RecoveryState {
    /// The process has not started.
    NotStarted,
    /// A source is being queried; clients are deferred.
    Querying(EvidenceSource),
    /// Clients are admitted in stages, at the rate that servers in slow start can take.
    StagedAdmission,
    /// The process serves in full.
    Serving,
}

impl RecoveryState {
    /// How clients are served in this state.
    pub fn service_mode(self) -> ServiceMode {
        match self {
            RecoveryState::NotStarted | RecoveryState::Querying(_) => ServiceMode::Unavailable,
            RecoveryState::StagedAdmission => ServiceMode::Staged,
            RecoveryState::Serving => ServiceMode::Full,
        }
    }
}

/// How clients are served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServiceMode {
    /// Not at all; the process is not ready.
    Unavailable,
    /// In stages; the process is ready.
    Staged,
    /// In full; the process is ready.
    Full,
}

/// A step of the recovery, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecoveryStep {
    /// The memory was read.
    MemoryRead,
    /// A source is queried.
    Query(EvidenceSource),
    /// The wall clock was assessed.
    Clock,
    /// The extent of the outage was decided.
    Scope,
    /// A list was applied or rejected.
    List,
    /// Former drains are held or released.
    Drain,
    /// The process resumed after a suspension.
    Resumed,
    /// Staged admission began.
    StagedAdmission,
    /// Full service began.
    Serving,
}

/// What the host is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Query a source after a span.
    Query {
        /// The source.
        source: EvidenceSource,
        /// The span, drawn so that the fleet's queries are spread.
        delay: Nanos,
    },
    /// The validity of remembered knowledge was decided.
    RememberedStateAssessed {
        /// The kind of knowledge.
        kind: RememberedKind,
        /// Its validity.
        validity: Validity,
        /// The reason.
        reason: &'static str,
        /// When it was last known, by the wall clock of then.
        as_of: Option<Millis>,
    },
    /// The list of [`crate::Recovery::servers`] has changed.
    ListChanged,
    /// Serve clients in this mode from now on; readiness follows.
    SetServiceMode {
        /// The mode.
        mode: ServiceMode,
        /// The reason.
        reason: String,
    },
    /// Admit a client.
    Admit {
        /// Its id.
        id: u64,
    },
    /// Defer a client.
    Defer {
        /// Its id.
        id: u64,
        /// When it should return.
        retry_after: Nanos,
        /// Whether its position is expected to have come by then.
        is_final: bool,
    },
    /// The extent of the outage was decided.
    ScopeDecided {
        /// The extent.
        scope: OutageScope,
        /// Its likelihood, from 0 to 1.
        likelihood: f64,
        /// The evidence.
        evidence: Vec<String>,
    },
    /// Lend unused quota to a peer that defers clients.
    LendQuota {
        /// Name of the peer.
        to: String,
        /// Number of the loan.
        number: u64,
        /// Number of clients.
        clients: f64,
    },
    /// Log a step.
    LogStep {
        /// The step.
        step: RecoveryStep,
        /// The reason.
        reason: String,
        /// When the step ends at the latest, on the host's clock.
        deadline_at: Option<Nanos>,
    },
}

impl fmt::Display for EvidenceSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            EvidenceSource::SitePeers => "site's peers",
            EvidenceSource::OtherSites => "other sites' peers",
            EvidenceSource::Discovery => "discovery",
            EvidenceSource::Store => "shared store",
        })
    }
}

impl fmt::Display for OutageScope {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            OutageScope::Process => "alone",
            OutageScope::Site => "site",
            OutageScope::Fleet => "fleet",
            OutageScope::Unknown => "unknown",
        })
    }
}
