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
pub enum Scope {
    /// Every server drops a repeat that any other has seen.
    All,
    /// Servers of one zone.
    Zone,
    /// Servers of one cell.
    Cell,
}

/// Whether a request may be sent again after it may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// A repeat does no harm.
    Safe,
    /// Servers in `scope` drop repeats for `window` after the first send that may have run.
    Keyed {
        /// Which servers know of each other's.
        scope: Scope,
        /// How long they remember.
        window: Nanos,
    },
    /// A repeat may take effect twice.
    Unsafe,
}

/// What is promised to one class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Wanted time to a standing connection or answer.
    pub aim: Nanos,
    /// Whole time that a client waits, over all its tries.
    pub deadline: Nanos,
    /// Repeat safety.
    pub repeat: Repeat,
    /// Wanted time of a message on a standing connection; 0 if not given.
    pub message_aim: Nanos,
    /// Worth of one request, or of one second of it.
    pub worth: f64,
}

impl Class {
    /// Its part of the turns at the door: what one is worth, for each second in which it is wanted.
    pub fn urgency(&self) -> f64 {
        self.worth / (self.aim as f64 / 1e9)
    }
}

/// How changes of the server list reach this gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// They arrive unasked.
    Pushed,
    /// They arrive only after [`Action::Watch`].
    Asked,
}

/// What the site permits.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Most attempts for one request.
    pub max_attempts: u32,
    /// Whether clients are told a retry-after.
    pub retry_after: bool,
    /// Longest retry-after that a client follows.
    pub max_retry_after: Nanos,
    /// Whether servers may be probed and then tell their load.
    pub may_probe: bool,
    /// A connection not up by then has failed.
    pub connect_timeout: Nanos,
}

/// The figures of the rules on drains, lists and cold servers.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// Share of its capacity that a server starts with, or more.
    pub cold_share: f64,
    /// A started server is warm after this.
    pub cold_time: Nanos,
    /// Times its present capacity that tip a cold server over.
    pub tip_multiple: f64,
    /// For this long.
    pub fall_time: Nanos,
    /// Without a subscription, what stood in the list this long ago counts as known; 0 if not given.
    pub ask_within: Nanos,
}

/// Prices, each for the whole traffic once over, as a part of the service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Prices {
    /// Attempts that cross zones.
    pub cross_zone: f64,
}

/// All that a gateway is told of its site before it starts.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// How many gateways there are.
    pub gateways: u32,
    /// This gateway's number among them, from 0.
    pub rank: u32,
    /// This gateway's zone.
    pub zone: ZoneId,
    /// The classes of requests.
    pub classes: Vec<Class>,
    /// How the server list arrives.
    pub discovery: Discovery,
    /// Whether listed weights fall with what a server holds.
    pub live_weights: bool,
    /// What the site permits.
    pub limits: Limits,
    /// Figures of the rules.
    pub rules: Rules,
    /// What costs how much.
    pub prices: Prices,
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
        self.faults().into_iter().next().map_or(Ok(()), Err)
    }

    /// All fields that are out of their range.
    pub fn faults(&self) -> Vec<SettingsError> {
        let rules = &self.rules;
        let share_range = 0.0..=1.0;
        let faults = [
            ("classes", self.classes.is_empty()),
            (
                "classes.aim",
                self.classes.iter().any(|class| class.aim == 0),
            ),
            (
                "classes.deadline",
                self.classes.iter().any(|class| class.deadline == 0),
            ),
            (
                "classes.worth",
                self.classes
                    .iter()
                    .any(|class| class.worth.is_nan() || class.worth < 0.0),
            ),
            ("gateways", self.gateways == 0),
            ("limits.max_attempts", self.limits.max_attempts == 0),
            (
                "rules.cold_share",
                !share_range.contains(&rules.cold_share) || rules.cold_share == 0.0,
            ),
            (
                "rules.tip_multiple",
                !rules.tip_multiple.is_finite() || rules.tip_multiple <= 0.0,
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
            .map(|class| class.message_aim)
            .filter(|aim| *aim > 0);
        given.min().unwrap_or(Nanos::MAX)
    }
}

/// Whether a listed server takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It takes new work.
    Ready,
    /// An operator has taken it out: it takes nothing new, and what stands there stays.
    Out,
    /// It finishes what it has.
    Draining,
    /// It is gone.
    Gone,
}

/// One server in the list.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Which server.
    pub server: ServerId,
    /// A hash of its name; the same at every gateway.
    pub tag: u64,
    /// Whether it takes new work.
    pub state: State,
    /// Its zone.
    pub zone: ZoneId,
    /// Its cell.
    pub cell: u32,
    /// A hash of its machine type; the same type, the same size.
    pub kind: u64,
    /// Listed weight; without a unit.
    pub weight: f64,
    /// The weight that it is on its way to, where the present one is only a step.
    pub rises_to: Option<f64>,
    /// When it last started; 0 if long ago.
    pub started_at: Nanos,
}

/// What a list event holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Changed entries alone.
    Changes,
    /// Every server; one left out is gone.
    Full,
    /// The list as this gateway last had it before it restarted.
    Cached,
    /// A call failed or the subscription broke, and had said nothing for so long before; the old list holds.
    Failed(Nanos),
    /// A call or a subscription fell silent and was broken after so long; the old list holds.
    Silent(Nanos),
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
pub struct Arrival {
    /// The request.
    pub request: RequestId,
    /// When its client stops waiting.
    pub give_up_at: Nanos,
    /// Its class.
    pub class: ClassId,
    /// What it concerns.
    pub key: Option<ClientKey>,
    /// The group it shares work with.
    pub group: Option<GroupId>,
    /// Its client says that it was moved, or that its connection broke.
    pub returns: bool,
    /// Expected load, in microseconds of work a second.
    pub load: Option<f64>,
    /// Where an operator wants it.
    pub pin: Option<Pin>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Served,
    /// The server answered with an error; it may have run.
    Error,
    /// Turned away before it was looked at.
    Full,
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

impl Outcome {
    /// Whether this outcome proves that the attempt did nothing at the server.
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            Outcome::Full | Outcome::ConnectFailed | Outcome::NotSent
        )
    }
}

/// News of a standing connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Note {
    /// Its load now, in microseconds of work a second.
    Load(f64),
    /// How long a message takes at its server now.
    Delay(Nanos),
}

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// News of the server list.
    List {
        /// What it holds.
        kind: ListKind,
        /// The entries.
        entries: Vec<Entry>,
    },
    /// Other settings hold from now on, as a whole. A class keeps its place in them for as long as a request of it may
    /// come or be under way, so there are no fewer than before. Settings out of their range change nothing.
    Settings(Box<Settings>),
    /// A request came in; it is owed one final answer.
    Arrived(Arrival),
    /// A connection already stands at this server.
    Standing {
        /// The request it came from.
        arrival: Arrival,
        /// The server that holds it.
        server: ServerId,
    },
    /// An attempt's connection stands.
    Established {
        /// The request.
        request: RequestId,
        /// Which attempt, from 0.
        attempt: u32,
    },
    /// News of an attempt that is out.
    Noted {
        /// The request.
        request: RequestId,
        /// Which attempt.
        attempt: u32,
        /// The news.
        note: Note,
    },
    /// An attempt ended.
    Ended {
        /// The request.
        request: RequestId,
        /// Which attempt.
        attempt: u32,
        /// How it ended.
        outcome: Outcome,
        /// Time since it was sent.
        took: Nanos,
        /// Whether the request is over with it.
        closed: bool,
    },
    /// A server answered a probe, or did not.
    Probed {
        /// Which server.
        server: ServerId,
        /// Load asked of it over what it can do; nothing if it did not answer.
        load: Option<f64>,
    },
    /// The client left; nothing is owed any more.
    ClientLeft(RequestId),
    /// A request that was to wait at the door has its turn.
    Turn(RequestId),
    /// There is no room at the door for a request that was to wait there, or it can't have its turn in time.
    TurnedAway {
        /// The request.
        request: RequestId,
        /// How long the line takes in which it would wait; nothing if that is not known.
        drain: Option<Nanos>,
    },
    /// An operator wants a waiting request elsewhere than before, or nowhere in particular.
    Pinned {
        /// The request.
        request: RequestId,
        /// Where to.
        pin: Option<Pin>,
    },
    /// A client key's failures over all gateways, as they are known here now; a hint that only lengthens or shortens delays.
    Failures {
        /// Whose.
        key: ClientKey,
        /// How many.
        count: u32,
    },
    /// A timer is due.
    Timer(TimerId),
}

/// Why a client is moved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Why {
    /// Its server drains or is gone.
    Leaving,
    /// Messages at its server are late.
    Late,
    /// Its server holds far more than its part.
    Uneven,
    /// A cold server has room for it.
    Cold,
}

/// What the host is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start the next attempt.
    Attempt {
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
    Refuse {
        /// The request.
        request: RequestId,
        /// How long the client should stay away, where clients are told.
        retry_after: Option<Nanos>,
    },
    /// Final answer: failed, with no promise.
    Fail(RequestId),
    /// Too many set-ups are under way: the request waits at the door for [`Event::Turn`], or until it is answered. It is
    /// due as soon as [`crate::Balancer::has_turns`].
    Wait(RequestId),
    /// End a standing connection politely; its client comes again.
    Move(RequestId, Why),
    /// Call back with [`Event::Timer`].
    Wake {
        /// How long from now.
        after: Nanos,
        /// Which timer.
        timer: TimerId,
    },
    /// Ask a server how it is; [`Event::Probed`] follows.
    Probe(ServerId),
    /// Ask for the server list and its changes from now on.
    Watch,
    /// A line for the log.
    Log(String),
}
