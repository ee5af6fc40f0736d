//! Messages to and from the core.

use std::sync::Arc;
use std::time::{Duration, Instant};

use beaconflow_overrides::CoverageGaps;
use beaconflow_policy::{AttemptOutcome, ConnectionMetric, Nanos, ProbeAnswer, ServerId};
use beaconflow_settings::ActiveSettings;
use crossbeam_channel::Sender;

use super::lifecycle::{CommandRefusedError, LifecycleCommand, LifecycleState};
use super::{
    AdmissionConfig, AdmissionSnapshot, Counts, Endpoint, FleetEvent, OverrideChange,
    OverridesApplied, ServerSnapshot,
};

/// A client's request for a connection.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// Index of the class in the settings.
    pub class: usize,
    /// Key of the client.
    pub client_key: Option<u64>,
    /// Hash of the group of clients that it shares work with.
    pub group: Option<u64>,
    /// Hash of the tenant's name.
    pub tenant: Option<u64>,
    /// Name of the account that it counts for.
    pub account: Option<Arc<str>>,
    /// The account's share, where its record has one.
    pub share: Option<f64>,
    /// Whether the client reports that it was migrated or disconnected.
    pub is_reconnect: bool,
    /// Bytes that its front buffers while it waits.
    pub buffered_bytes: usize,
    /// Expected load, in microseconds of work per second.
    pub expected_load: Option<f64>,
    /// When it was received.
    pub received_at: Nanos,
    /// How long the client waits.
    pub client_timeout: Duration,
    /// Name of the server that held the connection before the start, if it is to be resumed.
    pub resumed_server: Option<String>,
}

/// An input of the core.
#[derive(Debug)]
pub enum CoreInput {
    /// A client asks for a connection.
    ConnectRequested {
        /// Id of the request.
        id: u64,
        /// Parameters of the request.
        client_request: ClientRequest,
        /// Receives the commands for this connection.
        commands: Arc<dyn CommandSender>,
    },
    /// An established connection was taken over from another process.
    ConnectionAdopted {
        /// Id of the connection.
        id: u64,
        /// The request that it began with.
        client_request: ClientRequest,
        /// Name of the server that it is connected to.
        server_name: Arc<str>,
        /// Receives the commands for this connection.
        commands: Arc<dyn CommandSender>,
    },
    /// The attempt's connection is established.
    AttemptEstablished(u64),
    /// The attempt, or the connection that it became, ended.
    AttemptEnded {
        /// Id of the request.
        id: u64,
        /// How it ended.
        outcome: AttemptOutcome,
        /// Time since the attempt started.
        duration: Duration,
    },
    /// The server redirected its client; [`CoreInput::AttemptEnded`] follows.
    ServerRedirectedClient(u64),
    /// An established connection was measured.
    ConnectionMeasured {
        /// Id of the connection.
        id: u64,
        /// The measured metric and its value.
        metric: ConnectionMetric,
    },
    /// The client left before its final answer.
    ClientLeft(u64),
    /// The connection's code panicked; the client has been answered.
    ConnectionPanicked(u64),
    /// Wakes the core after [`CoreHandle::send_discovery`](super::CoreHandle::send_discovery). The
    /// event itself has been applied by the time that this input is handled.
    DiscoveryPending,
    /// A server answered a probe, or the probe failed.
    ProbeAnswered {
        /// The server that was probed.
        server: ServerId,
        /// What the probe showed.
        answer: ProbeAnswer,
    },
    /// A lifecycle command.
    LifecycleCommanded {
        /// The requested change.
        command: LifecycleCommand,
        /// Receives the result.
        reply: Option<LifecycleReply>,
    },
    /// A request for a snapshot of the core.
    GetSnapshot(Sender<CoreSnapshot>),
    /// A request for a snapshot of the admission queue.
    GetAdmission(Sender<AdmissionSnapshot>),
    /// The admission settings of the operator's file changed.
    AdmissionConfigured(AdmissionConfig),
    /// The site's settings were replaced as a whole.
    SettingsReplaced(Arc<ActiveSettings>),
    /// Overrides changed.
    OverridesChanged {
        /// The changes, in the order in which they apply.
        changes: Vec<OverrideChange>,
        /// Receives the result once the policy has been updated.
        reply: Option<Sender<OverridesApplied>>,
    },
    /// An event of the fleet thread, which is a hint.
    Fleet(FleetEvent),
}

/// Receives the result of a lifecycle command.
pub struct LifecycleReply(
    pub(super) Box<dyn FnOnce(Result<LifecycleState, CommandRefusedError>) + Send>,
);

impl LifecycleReply {
    /// Creates a reply from a callback that does not block.
    pub fn new(
        callback: impl FnOnce(Result<LifecycleState, CommandRefusedError>) + Send + 'static,
    ) -> LifecycleReply {
        LifecycleReply(Box::new(callback))
    }
}

impl std::fmt::Debug for LifecycleReply {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("LifecycleReply")
    }
}

/// Sends commands to the thread that serves a connection, without blocking.
pub trait CommandSender: std::fmt::Debug + Send + Sync {
    /// Sends a command for the connection `id`.
    fn send(&self, id: u64, command: ConnectionCommand);
}

/// Probes a server for its load without blocking; [`CoreInput::ProbeAnswered`] follows.
pub trait LoadProber: Send {
    /// Starts the probe of one server.
    fn probe(&self, id: ServerId, server: Arc<Endpoint>);
}

/// Time limits of an attempt. The core sets them as instants, so that the time a command spends in
/// a queue counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptTiming {
    /// Its first byte must be written before this instant.
    pub begin_by: Instant,
    /// It is abandoned at this instant.
    pub deadline_at: Instant,
}

/// A command for a connection.
#[derive(Debug)]
pub enum ConnectionCommand {
    /// Start an attempt.
    StartAttempt {
        /// The server to connect to.
        endpoint: Arc<Endpoint>,
        /// Time limits of the attempt.
        timing: AttemptTiming,
    },
    /// Final answer: rejected; a retry is safe, after the given span.
    Reject(Option<Duration>),
    /// Final answer: failed.
    Fail,
    /// Final answer while an attempt is in flight: rejected if the attempt proves not to have been
    /// executed, otherwise failed.
    AbandonAttempt,
    /// Ask the client to reconnect elsewhere.
    Migrate,
    /// Hand the connection over to the process that replaces this one, if there is one.
    HandOver,
}

/// A snapshot of the core.
#[derive(Clone, Debug)]
pub struct CoreSnapshot {
    /// Counters since the start.
    pub counts: Counts,
    /// Number of open requests, including connections.
    pub open_requests: usize,
    /// Number of established connections among them.
    pub established: usize,
    /// The listed servers.
    pub servers: Vec<ServerSnapshot>,
    /// Zones that overrides leave without a ready server.
    pub coverage: CoverageGaps,
    /// Number of requests in the admission queue.
    pub queued: usize,
    /// Whether overrides are disabled at this front after a panic.
    pub has_lost_overrides: bool,
}
