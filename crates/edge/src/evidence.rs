//! Inputs and outputs of the state machine.

use std::fmt;

use crate::Millis;

/// A target beyond the uplink.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RemoteTarget {
    /// The discovery service.
    Discovery,
    /// The shared store.
    Store,
    /// Another site, by name: its processes and its servers.
    Site(String),
}

impl fmt::Display for RemoteTarget {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RemoteTarget::Discovery => f.write_str("discovery"),
            RemoteTarget::Store => f.write_str("the store"),
            RemoteTarget::Site(name) => write!(f, "site {name}"),
        }
    }
}

/// State of the site's uplink.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum UplinkState {
    /// Remote targets are reachable.
    Linked,
    /// A target is unreachable; whether the uplink is the cause is being probed.
    Doubtful,
    /// The uplink is lost: the site takes by itself the decisions that it may.
    Isolated,
    /// The uplink is back: changes of both sides are being merged.
    Rejoining,
}

impl fmt::Display for UplinkState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            UplinkState::Linked => "linked",
            UplinkState::Doubtful => "doubtful",
            UplinkState::Isolated => "islanded",
            UplinkState::Rejoining => "rejoining",
        })
    }
}

/// Outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The request was answered.
    Answered {
        /// Time from the request to the answer.
        latency_ms: Millis,
    },
    /// The request failed or timed out.
    Failed,
}

/// The operator's choice of state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum UplinkMode {
    /// The evidence decides.
    Automatic,
    /// The site counts as isolated, whatever answers.
    Isolated,
    /// The site counts as linked, whatever fails to answer.
    Linked,
}

/// The operator's mode. The latest one applies at all processes of the site until it expires.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct OperatorMode {
    /// When the operator set it.
    pub set_at: Millis,
    /// The chosen state.
    pub mode: UplinkMode,
    /// When it expires.
    pub expires_at: Millis,
    /// Name of the operator.
    pub set_by: String,
    /// The operator's reason.
    pub reason: String,
}

/// Reachability of a target, as seen by one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reachability {
    /// The target answers requests.
    Reachable,
    /// Messages from the target arrive, but it does not answer: the uplink works in one direction
    /// only.
    OneWay,
    /// The target does not answer.
    Unreachable,
}

/// Report of a process to its peers of the same site. Times are sent as ages, which need no
/// synchronized clocks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UplinkReport {
    /// Name of the reporting process.
    pub name: String,
    /// Site of the reporting process.
    pub site: String,
    /// State of the reporting process.
    pub state: UplinkState,
    /// Reachability of each target by the own evidence of the process, and the age of that
    /// evidence.
    pub targets: Vec<(RemoteTarget, Reachability, Millis)>,
    /// Last known probe of each target: the number of attempts in a row without an answer, and the
    /// age of the last one.
    pub probes: Vec<(RemoteTarget, u32, Millis)>,
    /// Operator mode that the process applies.
    pub operator_mode: Option<OperatorMode>,
}

/// An observation of this process or a report to it.
#[derive(Clone, Debug, PartialEq)]
pub enum Evidence {
    /// Time has passed ([`crate::Edge::next_tick_at`]).
    Tick,
    /// The watch on discovery ended or could not be opened.
    WatchLost,
    /// The watch is open: reported when it opens and with each sign of life on it.
    WatchAlive,
    /// Discovery did not answer a request in time.
    DiscoveryFailed,
    /// Discovery answered a request.
    DiscoveryAnswered {
        /// Time from the request to the answer.
        latency_ms: Millis,
    },
    /// Discovery has another address from now on (SIGHUP).
    DiscoveryAddressChanged,
    /// The shared store did not answer.
    StoreFailed,
    /// The shared store answered.
    StoreAnswered {
        /// Time from the request to the answer.
        latency_ms: Millis,
    },
    /// A message from another process arrived.
    PeerMessage {
        /// Name of the sender.
        name: String,
        /// Site of the sender.
        site: String,
        /// Whether the message answers one of ours, or states that ours arrive.
        is_bidirectional: bool,
    },
    /// Another process has fallen silent.
    PeerSilent {
        /// Name of the silent process.
        name: String,
        /// Site of the silent process.
        site: String,
    },
    /// Report of another process of this site.
    PeerReport(UplinkReport),
    /// Outcome of a request to a server of another site.
    RemoteServerRequest {
        /// Site of the server.
        site: String,
        /// Outcome of the request.
        outcome: RequestOutcome,
    },
    /// Outcome of a request to a server of this site.
    LocalServerRequest {
        /// Outcome of the request.
        outcome: RequestOutcome,
    },
    /// Discovery confirmed the server list, according to another process or the stored state.
    ListConfirmed {
        /// When discovery confirmed it.
        at: Millis,
    },
    /// The operator set a mode.
    OperatorModeSet(OperatorMode),
    /// A step of rejoining is done.
    RejoinStepDone(RejoinStep),
}

/// A step of rejoining, in the order of execution.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RejoinStep {
    /// Contact the target again after a delay: discovery to open the watch, the store to refresh
    /// old records.
    Reconnect {
        /// Target to contact.
        target: RemoteTarget,
        /// Delay before the contact.
        delay_ms: Millis,
    },
    /// Compare the data of both sides ([`crate::plan_rejoin`], [`crate::merge_overrides`]) and
    /// apply the result.
    Merge,
}

/// A command for the host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// The state has changed.
    StateChanged {
        /// Previous state.
        from: UplinkState,
        /// New state.
        to: UplinkState,
        /// Reason, as a sentence for people.
        reason: String,
    },
    /// Probe a remote target once, for the whole site.
    Probe {
        /// Target to probe.
        target: RemoteTarget,
    },
    /// Publish this process's report ([`crate::Edge::report`]) to its peers of the site at once.
    PublishReport,
    /// Write a line to the log.
    Log(String),
    /// Carry out a step of rejoining.
    Rejoin(RejoinStep),
}
