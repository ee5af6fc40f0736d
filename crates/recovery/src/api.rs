//! Events, actions and states of the recovery, as the host sees them.

use std::fmt;

use crate::{Millis, Nanos};

/// A source of evidence, in the order in which it is queried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EvidenceSource {
    /// Peers of the own site.
    SitePeers,
    /// Peers of the other sites.
    OtherSites,
    /// The discovery service.
    Discovery,
    /// The shared store.
    Store,
}

impl EvidenceSource {
    /// All sources in the order in which they are queried.
    pub const ALL: [EvidenceSource; 4] = [
        EvidenceSource::SitePeers,
        EvidenceSource::OtherSites,
        EvidenceSource::Discovery,
        EvidenceSource::Store,
    ];
}

/// Source of a server list. A later one in this order takes precedence over an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ListSource {
    /// The configuration.
    Configured,
    /// The stored memory of this process.
    Memory,
    /// A peer of another site.
    OtherSite,
    /// A peer of the own site.
    Peer,
    /// The shared store.
    Store,
    /// The discovery service itself.
    Discovery,
}

/// Whether a listed server accepts new connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lifecycle {
    /// It accepts new connections.
    Ready,
    /// It finishes its connections, or is out of service.
    Draining,
    /// It was removed.
    Removed,
}

/// A server in a server list.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Name, unique in the list.
    pub name: String,
    /// Wall time of its last start; 0 if not known.
    pub started_at_ms: Millis,
    /// Whether it accepts new connections.
    pub lifecycle: Lifecycle,
    /// Weight; counts as 1 if it is not a positive number.
    pub weight: f64,
}

/// A server list and where it comes from.
#[derive(Clone, Debug, PartialEq)]
pub struct List {
    /// Where the list comes from.
    pub source: ListSource,
    /// Discovery's generation of the list; grows within an incarnation.
    pub generation: u64,
    /// Incarnation of discovery, which changes when discovery loses its state; 0 if not known.
    pub incarnation: u64,
    /// Age of the list when it was received.
    pub age: Nanos,
    /// Discovery's wall clock when it sent the list; `None` if not known.
    pub reported_at: Option<Millis>,
    /// All listed servers. Servers that are missing here are dropped.
    pub entries: Vec<Entry>,
}

/// Clients of one class and account that the whole fleet served before the outage.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PreviousClients {
    /// Index of the class in the configuration.
    pub class: usize,
    /// Hash of the account's name.
    pub account: u64,
    /// Number of clients; ignored unless positive and finite.
    pub clients: f64,
}

/// State that a process stored durably and reads at its next start.
#[derive(Clone, Debug, PartialEq)]
pub struct Memory {
    /// Name of the process that wrote it.
    pub owner: String,
    /// Incarnation number of that process when it was written.
    pub incarnation: u64,
    /// Wall time of the last write.
    pub written_at: Millis,
    /// The server list, if the process had one.
    pub list: Option<List>,
    /// Clients of the fleet when the process was last in full service, not during a recovery.
    pub previous_clients: Vec<PreviousClients>,
    /// Observed clients per second that a warm server of weight 1 can take, if known.
    pub clients_per_server_s: Option<f64>,
}

/// A peer's report about itself. It is a hint that may be late or wrong.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerStatus {
    /// Name of the peer.
    pub name: String,
    /// Name of its site.
    pub site: String,
    /// Its incarnation number; grows with each start.
    pub incarnation: u64,
    /// Time since its start.
    pub uptime: Nanos,
    /// Time since it began to admit clients; `None` if it does not.
    pub serving_time: Option<Nanos>,
    /// Whether it is in full service.
    pub is_in_full_service: bool,
    /// Its wall clock; `None` if it considers that unreliable.
    pub wall_clock: Option<Millis>,
    /// Previous clients of the whole fleet, if it remembers them.
    pub previous_clients: Option<f64>,
    /// Clients per second that it defers for lack of quota although their position is admitted.
    pub deferred_per_s: f64,
}

/// A client's request for admission.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionRequest {
    /// Id of the request, repeated in the answer.
    pub id: u64,
    /// Index of its class; an unknown index counts as the last class.
    pub class: usize,
    /// Hash of the account's name.
    pub account: u64,
    /// Hash of its group; `None` without a group.
    pub group: Option<u64>,
    /// Key that the client keeps between connections, if it has one.
    pub client_key: Option<u64>,
}

/// An event that the host reports.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The process started and has read its memory.
    Started {
        /// Incarnation number of the process, higher than in any earlier run.
        incarnation: u64,
        /// The stored memory, if there is one.
        memory: Option<Memory>,
    },
    /// A peer sent its status.
    PeerReported(PeerStatus),
    /// A server list was received; it counts as an answer of its source.
    ListReceived(List),
    /// A queried source answered without a list.
    QueryAnswered(EvidenceSource),
    /// A queried source could not be reached or did not answer.
    QueryFailed(EvidenceSource),
    /// A server started, as it reported itself or as a list showed.
    ServerStarted {
        /// Name of the server.
        name: String,
        /// Wall time of the start; 0 if it has just started.
        started_at_ms: Millis,
    },
    /// A client requested admission.
    AdmissionRequested(AdmissionRequest),
    /// A peer lent quota to this process.
    QuotaLent {
        /// Name of the peer.
        from: String,
        /// Number of the loan at that peer; a repeated loan counts once.
        number: u64,
        /// Quota, in clients.
        clients: f64,
    },
    /// Time has passed.
    Tick,
}

/// A kind of remembered state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RememberedKind {
    /// The server list.
    List,
    /// Which servers were draining.
    Drains,
    /// Placements of clients and groups.
    Placements,
    /// Operators' overrides of servers and placements.
    Overrides,
    /// Observed rates of clients that servers can take.
    ServerRates,
    /// Observed health of servers.
    ServerHealth,
    /// Numbers of established connections by server.
    ConnectionCounts,
    /// Numbers of previous clients by class and account.
    FormerClients,
}

impl RememberedKind {
    /// All kinds, in the order in which they are assessed.
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

/// Whether and how remembered state is used.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Validity {
    /// It is used like present state.
    Valid,
    /// It is used as an estimate with this weight, from 0 to 1.
    Hint(f64),
    /// It is not used.
    Discarded,
}

/// The extent of the outage before this recovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum OutageScope {
    /// Only this process.
    Process,
    /// The own site.
    Site,
    /// The whole fleet.
    Fleet,
    /// Not known; treated like the whole fleet.
    Unknown,
}

/// State of the recovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RecoveryState {
    /// The start has not been reported yet.
    NotStarted,
    /// A source is being queried; clients are deferred.
    Querying(EvidenceSource),
    /// Clients are admitted in stages, at the rate that servers in slow start can take.
    StagedAdmission,
    /// The process is in full service.
    Serving,
}

impl RecoveryState {
    /// The service mode of this state.
    pub fn service_mode(self) -> ServiceMode {
        match self {
            RecoveryState::NotStarted | RecoveryState::Querying(_) => ServiceMode::Unavailable,
            RecoveryState::StagedAdmission => ServiceMode::Staged,
            RecoveryState::Serving => ServiceMode::Full,
        }
    }
}

/// How clients are served during a recovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServiceMode {
    /// No client is admitted; the process is not ready.
    Unavailable,
    /// Clients are admitted in stages; the process is ready.
    Staged,
    /// All clients are admitted; the process is ready.
    Full,
}

/// A step of the recovery, as it is logged.
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
    /// Former drains are held against discovery, or released.
    Drain,
    /// The process resumed after a suspension.
    Resumed,
    /// Staged admission started.
    StagedAdmission,
    /// Full service started.
    Serving,
}

/// An action that the host executes.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Query a source after a delay.
    Query {
        /// The source to query.
        source: EvidenceSource,
        /// Random delay that spreads the fleet's queries.
        delay: Nanos,
    },
    /// Log the validity of a kind of remembered state.
    RememberedStateAssessed {
        /// The kind of remembered state.
        kind: RememberedKind,
        /// Whether and how it is used.
        validity: Validity,
        /// Why it has this validity, for the log.
        reason: &'static str,
        /// When the memory was written, by the wall clock at that time;
        /// `None` for state lost in a suspension.
        as_of: Option<Millis>,
    },
    /// Apply the changed list of [`crate::Recovery::servers`].
    ListChanged,
    /// Switch to this service mode and update the readiness.
    SetServiceMode {
        /// The new mode.
        mode: ServiceMode,
        /// Why the mode changes, for the log.
        reason: String,
    },
    /// Admit a client.
    Admit {
        /// Id of the client's request.
        id: u64,
    },
    /// Defer a client.
    Defer {
        /// Id of the client's request.
        id: u64,
        /// Time after which it should return.
        retry_after: Nanos,
        /// Whether its position is expected to be admitted by then.
        is_final: bool,
    },
    /// Publish the extent of the outage, which was decided.
    ScopeDecided {
        /// The extent that is most likely, or unknown.
        scope: OutageScope,
        /// Likelihood of the extent, from 0 to 1.
        likelihood: f64,
        /// The evidence, one text for each kind.
        evidence: Vec<String>,
    },
    /// Lend unused quota to a peer that defers clients.
    LendQuota {
        /// Name of the peer.
        to: String,
        /// Number of the loan, which grows with each one.
        number: u64,
        /// Quota, in clients.
        clients: f64,
    },
    /// Log a step.
    LogStep {
        /// The step.
        step: RecoveryStep,
        /// Why the step is taken, or its result.
        reason: String,
        /// Latest end of the step on the host's monotonic clock, if it has one.
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
