//! What a process sees and is told, and what it does about it.

use std::fmt;

use crate::Millis;

/// What lies beyond the link.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RemoteTarget {
    /// Discovery.
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

/// How the site stands to what lies beyond its link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum UplinkState {
    /// All is as usual.
    Linked,
    /// Something is lost; whether it is the link is being found out.
    Doubtful,
    /// The link is lost: the site decides alone what it may.
    Isolated,
    /// The link is back: what changed on both sides is being merged.
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

/// How a question ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// It was answered, after so long.
    Answered {
        /// How long it took.
        latency_ms: Millis,
    },
    /// It was not.
    Failed,
}

/// What the operator has decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum UplinkMode {
    /// The evidence decides again.
    Automatic,
    /// The site is an island, whatever answers.
    Isolated,
    /// The site is linked, whatever does not answer.
    Linked,
}

/// The operator's word. The latest given holds, at all processes alike, until its end.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct OperatorMode {
    /// When it was given.
    pub set_at: Millis,
    /// What it is.
    pub mode: UplinkMode,
    /// When it is over by itself.
    pub expires_at: Millis,
    /// Who gave it.
    pub set_by: String,
    /// Why.
    pub reason: String,
}

/// How a place stands, by one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reachability {
    /// It answers what it is asked.
    Reachable,
    /// It is heard, but answers nothing: the link carries one way.
    OneWay,
    /// It does not answer.
    Unreachable,
}

/// What a process tells those of its site. Moments are told as ages, so that no two clocks need agree.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UplinkReport {
    /// Its name.
    pub name: String,
    /// Its site.
    pub site: String,
    /// Its state.
    pub state: UplinkState,
    /// How each place stands by its own evidence, and how old that is.
    pub targets: Vec<(RemoteTarget, Reachability, Millis)>,
    /// The last probe of each place that it knows of: how many came before, and how long ago it was.
    pub probes: Vec<(RemoteTarget, u32, Millis)>,
    /// The operator's word that it holds to.
    pub operator_mode: Option<OperatorMode>,
}

/// What a process saw or was told.
#[derive(Clone, Debug, PartialEq)]
pub enum Evidence {
    /// Nothing: time has passed ([`crate::Edge::next_tick_at`]).
    Tick,
    /// The watch on discovery ended, or could not be had.
    WatchLost,
    /// The watch stands: told at its beginning and with each sign of life on it.
    WatchAlive,
    /// Discovery was asked and did not answer in time.
    DiscoveryFailed,
    /// Discovery answered.
    DiscoveryAnswered {
        /// How long it took.
        latency_ms: Millis,
    },
    /// Discovery is elsewhere from now on (SIGHUP).
    DiscoveryAddressChanged,
    /// The shared store did not answer.
    StoreFailed,
    /// It did.
    StoreAnswered {
        /// How long it took.
        latency_ms: Millis,
    },
    /// A word of another process came.
    PeerMessage {
        /// Its name.
        name: String,
        /// Its site.
        site: String,
        /// Whether it answered something of ours, or says that it hears us.
        is_bidirectional: bool,
    },
    /// Another process is silent.
    PeerSilent {
        /// Its name.
        name: String,
        /// Its site.
        site: String,
    },
    /// What another process of this site sees.
    PeerReport(UplinkReport),
    /// How a question to a server of another site ended.
    RemoteServerRequest {
        /// The server's site.
        site: String,
        /// How it ended.
        outcome: RequestOutcome,
    },
    /// How a question to a server of this site ended.
    LocalServerRequest {
        /// How it ended.
        outcome: RequestOutcome,
    },
    /// The list in hand was confirmed by discovery at that moment; another process or the memory says so.
    ListConfirmed {
        /// When it was.
        at: Millis,
    },
    /// The operator's word.
    OperatorModeSet(OperatorMode),
    /// A step of the rejoining is done.
    RejoinStepDone(RejoinStep),
}

/// A step of the rejoining, in their order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RejoinStep {
    /// Ask this again after so long: discovery for its watch, the store for what is old.
    Reconnect {
        /// What is asked.
        target: RemoteTarget,
        /// After how long.
        delay_ms: Millis,
    },
    /// Compare what both sides have ([`crate::plan_rejoin`], [`crate::merge_overrides`]) and take it over.
    Merge,
}

/// What the host does.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// The state has changed.
    StateChanged {
        /// From this.
        from: UplinkState,
        /// To this.
        to: UplinkState,
        /// Why, in a plain sentence.
        reason: String,
    },
    /// Ask what lies beyond the link, once, for the whole site.
    Probe {
        /// What is asked.
        target: RemoteTarget,
    },
    /// Tell the site's other processes at once what this one says ([`crate::Edge::report`]).
    PublishReport,
    /// A line for the log.
    Log(String),
    /// Do this step of the rejoining.
    Rejoin(RejoinStep),
}
