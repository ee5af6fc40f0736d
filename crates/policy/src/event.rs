//! Events that the host reports to the policy.

use crate::ids::{ClassId, ClientKey, GroupId, RequestId, ServerId, TimerId, ZoneId};
use crate::settings::Settings;
use crate::time::Nanos;

/// Whether a listed server accepts new connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerState {
    /// It accepts new connections.
    Ready,
    /// An operator has taken it out of service: it gets no new connections and keeps those it has.
    OutOfService,
    /// It is finishing its connections.
    Draining,
    /// It has been removed.
    Removed,
}

/// A server in the list.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerEntry {
    /// The number that the host gave the server.
    pub server: ServerId,
    /// A hash of its name; equal at every balancer.
    pub name_hash: u64,
    /// Whether the server accepts new connections.
    pub state: ServerState,
    /// The zone, a possible scope of idempotency keys.
    pub zone: ZoneId,
    /// The cell, a possible scope of idempotency keys.
    pub cell: u32,
    /// A hash of its machine type. Servers of one type have one size.
    pub machine_type: u64,
    /// Listed weight, without a unit.
    pub weight: f64,
    /// The weight at the end of a gradual change, or `None` if the weight is not changing.
    pub target_weight: Option<f64>,
    /// When it last started; 0 if long ago.
    pub started_at: Nanos,
}

/// What an event on the server list reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdate {
    /// The entries that changed.
    Delta,
    /// Every server; one that is missing has been removed.
    Snapshot,
    /// The list as last known before a restart.
    Cached,
    /// A call failed or the watch broke, this long after its last message. The list is unchanged.
    Failed(Nanos),
    /// A call or the watch was ended after this long without a message. The list is unchanged.
    TimedOut(Nanos),
}

/// An operator's pin of a request to one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pin {
    /// The server, or `None` if no server of that name was ever listed.
    pub server: Option<ServerId>,
    /// Whether the request may go to no other server.
    pub strict: bool,
}

/// A client's request for a connection.
#[derive(Clone, Debug, PartialEq)]
pub struct ConnectRequest {
    /// The number of the request; a number that is in use is ignored.
    pub request: RequestId,
    /// When the client stops waiting.
    pub deadline_at: Nanos,
    /// The class, which must be one of the settings; otherwise the request fails.
    pub class: ClassId,
    /// Key of the client, by which failures are counted; without one, the attempts of the request
    /// count.
    pub client_key: Option<ClientKey>,
    /// Group of requests that are better served by the same server.
    pub group: Option<GroupId>,
    /// Whether the client reports that it was migrated or disconnected.
    pub is_reconnect: bool,
    /// Expected load, in microseconds of work per second; if `None`, the mean of the class is used.
    pub expected_load: Option<f64>,
    /// An operator's pin to one server, if there is one.
    pub pin: Option<Pin>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The server served it.
    Served,
    /// The server answered with an error; it may have been executed.
    ServerError,
    /// The server rejected it unread.
    Rejected,
    /// There was no answer in time; it may have been or still be executed.
    TimedOut,
    /// The connection could not be established.
    ConnectFailed,
    /// The connection broke; it may have been executed.
    Reset,
    /// The balancer cancelled it; it may have been executed.
    Cancelled,
    /// It was never sent.
    NotSent,
}

impl AttemptOutcome {
    /// Whether this outcome proves that the server did not execute the request.
    pub fn proves_not_executed(self) -> bool {
        matches!(
            self,
            AttemptOutcome::Rejected | AttemptOutcome::ConnectFailed | AttemptOutcome::NotSent
        )
    }
}

/// The end of an attempt or of the connection that it became.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptEnd {
    /// The request of the attempt.
    pub request: RequestId,
    /// Number of the attempt, from 0.
    pub attempt: u32,
    /// How the attempt or connection ended.
    pub outcome: AttemptOutcome,
    /// Time since it was sent.
    pub elapsed: Nanos,
    /// Whether the request ended with it.
    pub is_final: bool,
}

/// A measurement of an established connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ConnectionMetric {
    /// Its load, in microseconds of work per second.
    Load(f64),
    /// Time that a message takes at its server.
    MessageLatency(Nanos),
}

/// The result of a probe for a server's load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ProbeAnswer {
    /// The server reported its load, relative to its capacity.
    Load(f64),
    /// The server answered without a usable load: nothing speaks against it.
    NoLoad,
    /// The server reported an error, its answer can't be parsed, or there was none in time.
    Unhealthy,
}

/// An event that the host reports.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Discovery reported on the server list.
    ServerList {
        /// The kind of report.
        update: ListUpdate,
        /// The entries; empty if the call failed or timed out.
        entries: Vec<ServerEntry>,
    },
    /// Removed servers were forgotten. No request refers to them
    /// ([`Balancer::referenced_servers`](crate::Balancer::referenced_servers)), and their ids are
    /// not used again.
    ServersForgotten(Vec<ServerId>),
    /// The settings were replaced as a whole. Classes keep their index while a request of theirs
    /// may arrive, so there are at least as many as before. Settings that fail their check are
    /// ignored.
    SettingsReplaced(Box<Settings>),
    /// A client asked for a connection. Exactly one final answer follows.
    ConnectRequested(ConnectRequest),
    /// A connection is already established at this server.
    ConnectionAdopted {
        /// The request that the connection came from.
        request: ConnectRequest,
        /// The server of the connection.
        server: ServerId,
    },
    /// The connection of an attempt is established.
    AttemptEstablished {
        /// The request of the attempt.
        request: RequestId,
        /// Number of the attempt, from 0.
        attempt: u32,
    },
    /// An established connection was measured.
    ConnectionMeasured {
        /// The request that the connection came from.
        request: RequestId,
        /// Number of the attempt that established it, from 0.
        attempt: u32,
        /// The measurement.
        metric: ConnectionMetric,
    },
    /// An attempt, or the connection that it became, ended.
    AttemptEnded(AttemptEnd),
    /// A server answered a probe, or the probe failed.
    ProbeAnswered {
        /// The server that was probed.
        server: ServerId,
        /// What the probe showed.
        answer: ProbeAnswer,
    },
    /// The client left. No answer is owed any more.
    ClientLeft(RequestId),
    /// The admission queue granted a waiting request a permit.
    PermitGranted(RequestId),
    /// The admission queue is full, or can't grant a permit in time.
    QueueRejected {
        /// The request, which gets a final answer.
        request: RequestId,
        /// Time in which the queue would drain, if known.
        queue_drain_time: Option<Nanos>,
    },
    /// An operator's pin of a waiting request was set, changed or cleared.
    PinChanged {
        /// The request; an unknown one is ignored.
        request: RequestId,
        /// The new pin, or `None` if it was cleared.
        pin: Option<Pin>,
    },
    /// The failures of a client key over all balancers, as known here. It affects delays only.
    FleetFailuresCounted {
        /// The client.
        client_key: ClientKey,
        /// Consecutive failures; 0 clears them.
        count: u32,
    },
    /// A timer fired.
    TimerFired(TimerId),
}
