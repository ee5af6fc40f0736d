//! The interface of the decision module: what a host tells it and what it answers.
//!
//! Moments and spans are whole nanoseconds on the host's own clock, which only goes forward.

use std::fmt;

/// A moment or a span of time, in nanoseconds.
pub type Nanos = u64;

/// A request, as the host numbers it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// A server, as the host numbers it for this gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServerId(pub u32);

/// A class of requests: its place in [`Settings::classes`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClassId(pub usize);

/// A zone, by number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ZoneId(pub u32);

/// A hash of what a request concerns; the same client comes back with the same one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClientKey(pub u64);

/// A hash of the group a connection shares work with; the same at every gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct GroupId(pub u64);

impl GroupId {
    /// A number from 0 to 1 that all gateways give a group alike.
    pub(crate) fn phase(self) -> f64 {
        (self.0 >> 11) as f64 / (1_u64 << 53) as f64
    }
}

/// A timer that the module asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TimerId(pub u64);

/// The servers that share one memory of repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// Every server drops a repeat that any other has seen.
    All,
    /// Servers of one zone.
    Zone,
    /// Servers of one cell.
    Cell,
}

/// Whether a request may be sent again after it may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySafety {
    /// A repeat does no harm.
    Idempotent,
    /// Servers in `scope` drop repeats for `window` after the first send that may have run.
    IdempotencyKey {
        /// Which servers know of each other's.
        scope: DedupScope,
        /// How long they remember.
        window: Nanos,
    },
    /// A repeat may take effect twice.
    NonIdempotent,
}

/// What is promised to one class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// Wanted time to a standing connection or answer.
    pub latency_objective: Nanos,
    /// Whole time that a client waits, over all its tries.
    pub deadline: Nanos,
    /// Repeat safety.
    pub retry_safety: RetrySafety,
    /// Wanted time of a message on a standing connection; 0 if not given.
    pub message_latency_objective: Nanos,
    /// Worth of one request, or of one second of it.
    pub priority_weight: f64,
}

impl RequestClass {
    /// Its part of the turns at the door: what one is worth, for each second in which it is wanted.
    pub fn queue_weight(&self) -> f64 {
        self.priority_weight / (self.latency_objective as f64 / 1e9)
    }
}

/// How changes of the server list reach this gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// They arrive unasked.
    Pushed,
    /// They arrive only after [`Action::Watch`].
    Polled,
}

/// What the site permits.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Most attempts for one request.
    pub max_attempts: u32,
    /// Whether clients are told a retry-after.
    pub sends_retry_after: bool,
    /// Longest retry-after that a client follows.
    pub max_retry_after: Nanos,
    /// Whether servers may be probed and then tell their load.
    pub can_probe: bool,
    /// A connection not up by then has failed.
    pub connect_timeout: Nanos,
}

/// The figures of the rules on drains, lists and cold servers.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerRules {
    /// Share of its capacity that a server starts with, or more.
    pub initial_capacity: f64,
    /// A started server is warm after this.
    pub warm_up_time: Nanos,
    /// Times its present capacity that tip a cold server over.
    pub overload_multiple: f64,
    /// For this long.
    pub overload_window: Nanos,
    /// Without a subscription, what stood in the list this long ago counts as known; 0 if not given.
    pub list_max_age: Nanos,
}

/// Prices, each for the whole traffic once over, as a part of the service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TrafficCosts {
    /// Attempts that cross zones.
    pub cross_zone: f64,
}

/// All that a gateway is told of its site before it starts.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// How many gateways there are.
    pub balancers: u32,
    /// This gateway's number among them, from 0.
    pub rank: u32,
    /// This gateway's zone.
    pub zone: ZoneId,
    /// The classes of requests.
    pub classes: Vec<RequestClass>,
    /// How the server list arrives.
    pub discovery: DiscoveryMode,
    /// Whether listed weights fall with what a server holds.
    pub has_live_weights: bool,
    /// What the site permits.
    pub limits: Limits,
    /// Figures of the rules.
    pub rules: ServerRules,
    /// What costs how much.
    pub costs: TrafficCosts,
}

/// A setting outside its range.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// The field at fault.
    pub field: &'static str,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "setting out of range: {}", self.field)
    }
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// Checks every field that the module divides by or waits on.
    pub fn check(&self) -> Result<(), SettingsError> {
        self.errors().into_iter().next().map_or(Ok(()), Err)
    }

    /// All fields that are out of their range.
    pub fn errors(&self) -> Vec<SettingsError> {
        let rules = &self.rules;
        let share_range = 0.0..=1.0;
        let faults = [
            ("classes", self.classes.is_empty()),
            (
                "classes.aim",
                self.classes
                    .iter()
                    .any(|class| class.latency_objective == 0),
            ),
            (
                "classes.deadline",
                self.classes.iter().any(|class| class.deadline == 0),
            ),
            (
                "classes.worth",
                self.classes
                    .iter()
                    .any(|class| class.priority_weight.is_nan() || class.priority_weight < 0.0),
            ),
            ("gateways", self.balancers == 0),
            ("limits.max_attempts", self.limits.max_attempts == 0),
            (
                "rules.cold_share",
                !share_range.contains(&rules.initial_capacity) || rules.initial_capacity == 0.0,
            ),
            (
                "rules.tip_multiple",
                !rules.overload_multiple.is_finite() || rules.overload_multiple <= 0.0,
            ),
        ];
        faults
            .into_iter()
            .filter(|(_, bad)| *bad)
            .map(|(field, _)| SettingsError { field })
            .collect()
    }

    /// Whether other settings may take the place of these: they are in range, and every class has its place in them.
    pub(crate) fn may_become(&self, other: &Settings) -> bool {
        self != other && self.classes.len() <= other.classes.len() && other.check().is_ok()
    }

    pub(crate) fn knows(&self, class: ClassId) -> bool {
        class.0 < self.classes.len()
    }

    pub(crate) fn longest_deadline(&self) -> Nanos {
        self.classes
            .iter()
            .map(|class| class.deadline)
            .max()
            .unwrap_or(0)
    }

    /// The longest span there is if no class gives a message aim.
    pub(crate) fn shortest_message_aim(&self) -> Nanos {
        let given = self
            .classes
            .iter()
            .map(|class| class.message_latency_objective)
            .filter(|aim| *aim > 0);
        given.min().unwrap_or(Nanos::MAX)
    }
}

/// Whether a listed server takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerState {
    /// It takes new work.
    Ready,
    /// An operator has taken it out: it takes nothing new, and what stands there stays.
    OutOfService,
    /// It finishes what it has.
    Draining,
    /// It is gone.
    Removed,
}

/// One server in the list.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerEntry {
    /// Which server.
    pub server: ServerId,
    /// A hash of its name; the same at every gateway.
    pub name_hash: u64,
    /// Whether it takes new work.
    pub state: ServerState,
    /// Its zone.
    pub zone: ZoneId,
    /// Its cell.
    pub cell: u32,
    /// A hash of its machine type; the same type, the same size.
    pub machine_type: u64,
    /// Listed weight; without a unit.
    pub weight: f64,
    /// The weight that it is on its way to, where the present one is only a step.
    pub target_weight: Option<f64>,
    /// When it last started; 0 if long ago.
    pub started_at: Nanos,
}

/// What a list event holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdate {
    /// Changed entries alone.
    Delta,
    /// Every server; one left out is gone.
    Snapshot,
    /// The list as this gateway last had it before it restarted.
    Cached,
    /// A call failed or the subscription broke, and had said nothing for so long before; the old list holds.
    Failed(Nanos),
    /// A call or a subscription fell silent and was broken after so long; the old list holds.
    TimedOut(Nanos),
}

/// The one server that an operator wants a request at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pin {
    /// Which server; nothing if none of that name was ever listed.
    pub server: Option<ServerId>,
    /// Whether it may go nowhere else.
    pub strict: bool,
}

/// A request as it reaches this gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct ConnectRequest {
    /// The request.
    pub request: RequestId,
    /// When its client stops waiting.
    pub deadline_at: Nanos,
    /// Its class.
    pub class: ClassId,
    /// What it concerns.
    pub client_key: Option<ClientKey>,
    /// The group it shares work with.
    pub group: Option<GroupId>,
    /// Its client says that it was moved, or that its connection broke.
    pub is_reconnect: bool,
    /// Expected load, in microseconds of work a second.
    pub expected_load: Option<f64>,
    /// Where an operator wants it.
    pub pin: Option<Pin>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// Served.
    Served,
    /// The server answered with an error; it may have run.
    ServerError,
    /// Turned away before it was looked at.
    Rejected,
    /// No answer in time; it may have run or still run.
    TimedOut,
    /// No connection could be opened.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Called off; it may have run.
    Cancelled,
    /// It never left the gateway.
    NotSent,
}

impl AttemptOutcome {
    /// Whether this outcome proves that the attempt did nothing at the server.
    pub fn proves_not_executed(self) -> bool {
        matches!(
            self,
            AttemptOutcome::Rejected | AttemptOutcome::ConnectFailed | AttemptOutcome::NotSent
        )
    }
}

/// News of a standing connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ConnectionMetric {
    /// Its load now, in microseconds of work a second.
    Load(f64),
    /// How long a message takes at its server now.
    MessageLatency(Nanos),
}

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// News of the server list.
    ServerList {
        /// What it holds.
        update: ListUpdate,
        /// The entries.
        entries: Vec<ServerEntry>,
    },
    /// Other settings hold from now on, as a whole. A class keeps its place in them for as long as a request of it may
    /// come or be under way, so there are no fewer than before. Settings out of their range change nothing.
    SettingsReplaced(Box<Settings>),
    /// A request came in; it is owed one final answer.
    ConnectRequested(ConnectRequest),
    /// A connection already stands at this server.
    ConnectionAdopted {
        /// The request it came from.
        request: ConnectRequest,
        /// The server that holds it.
        server: ServerId,
    },
    /// An attempt's connection stands.
    AttemptEstablished {
        /// The request.
        request: RequestId,
        /// Which attempt, from 0.
        attempt: u32,
    },
    /// News of an attempt that is out.
    ConnectionMeasured {
        /// The request.
        request: RequestId,
        /// Which attempt.
        attempt: u32,
        /// The news.
        metric: ConnectionMetric,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The request.
        request: RequestId,
        /// Which attempt.
        attempt: u32,
        /// How it ended.
        outcome: AttemptOutcome,
        /// Time since it was sent.
        elapsed: Nanos,
        /// Whether the request is over with it.
        is_final: bool,
    },
    /// A server answered a probe, or did not.
    ProbeAnswered {
        /// Which server.
        server: ServerId,
        /// Load asked of it over what it can do; nothing if it did not answer.
        load: Option<f64>,
    },
    /// The client left; nothing is owed any more.
    ClientLeft(RequestId),
    /// A request that was to wait at the door has its turn.
    PermitGranted(RequestId),
    /// There is no room at the door for a request that was to wait there, or it can't have its turn in time.
    QueueRejected {
        /// The request.
        request: RequestId,
        /// How long the line takes in which it would wait; nothing if that is not known.
        queue_drain_time: Option<Nanos>,
    },
    /// An operator wants a waiting request elsewhere than before, or nowhere in particular.
    PinChanged {
        /// The request.
        request: RequestId,
        /// Where to.
        pin: Option<Pin>,
    },
    /// A client key's failures over all gateways, as they are known here now; a hint that only lengthens or shortens delays.
    FleetFailuresCounted {
        /// Whose.
        client_key: ClientKey,
        /// How many.
        count: u32,
    },
    /// A timer is due.
    TimerFired(TimerId),
}

/// Why a client is moved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MigrationReason {
    /// Its server drains or is gone.
    ServerLeaving,
    /// Messages at its server are late.
    SlowMessages,
    /// Its server holds far more than its part.
    Rebalancing,
    /// A cold server has room for it.
    SlowStart,
}

/// What the host is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start the next attempt.
    StartAttempt {
        /// The request.
        request: RequestId,
        /// Where to.
        server: ServerId,
        /// Its first byte has to be sent within this, however long the connect takes; else it is not sent.
        begin_within: Nanos,
        /// How long to allow for it.
        timeout: Nanos,
    },
    /// Final answer: no, and a new try does no harm.
    Reject {
        /// The request.
        request: RequestId,
        /// How long the client should stay away, where clients are told.
        retry_after: Option<Nanos>,
    },
    /// Final answer: failed, with no promise.
    Fail(RequestId),
    /// Too many set-ups are under way: the request waits at the door for [`Event::Turn`], or until it is answered. It is
    /// due as soon as [`crate::Balancer::has_turns`].
    Enqueue(RequestId),
    /// End a standing connection politely; its client comes again.
    Migrate(RequestId, MigrationReason),
    /// Call back with [`Event::Timer`].
    SetTimer {
        /// How long from now.
        after: Nanos,
        /// Which timer.
        timer: TimerId,
    },
    /// Ask a server how it is; [`Event::Probed`] follows.
    ProbeServer(ServerId),
    /// Ask for the server list and its changes from now on.
    WatchServerList,
    /// A line for the log.
    LogOverload(String),
}
