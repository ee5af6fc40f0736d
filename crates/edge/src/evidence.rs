//! What a process sees and is told, and what it does about it.

use std::fmt;

use crate::Millis;

/// What lies beyond the link.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Place {
    /// Discovery.
    Discovery,
    /// The shared store.
    Store,
    /// Another site, by name: its processes and its servers.
    Site(String),
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Place::Discovery => f.write_str("discovery"),
            Place::Store => f.write_str("the store"),
            Place::Site(name) => write!(f, "site {name}"),
        }
    }
}

/// How the site stands to what lies beyond its link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    /// All is as usual.
    Linked,
    /// Something is lost; whether it is the link is being found out.
    Doubtful,
    /// The link is lost: the site decides alone what it may.
    Islanded,
    /// The link is back: what changed on both sides is being merged.
    Rejoining,
}

impl fmt::Display for State {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            State::Linked => "linked",
            State::Doubtful => "doubtful",
            State::Islanded => "islanded",
            State::Rejoining => "rejoining",
        })
    }
}

/// How a question ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It was answered, after so long.
    Answered {
        /// How long it took.
        took_ms: Millis,
    },
    /// It was not.
    Failed,
}

/// What the operator has decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Force {
    /// The evidence decides again.
    Automatic,
    /// The site is an island, whatever answers.
    Island,
    /// The site is linked, whatever does not answer.
    Linked,
}

/// The operator's word. The latest given holds, at all processes alike, until its end.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct OperatorMode {
    /// When it was given.
    pub given_at: Millis,
    /// What it is.
    pub force: Force,
    /// When it is over by itself.
    pub ends_at: Millis,
    /// Who gave it.
    pub who: String,
    /// Why.
    pub why: String,
}

/// How a place stands, by one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reachability {
    /// It answers what it is asked.
    Reachable,
    /// It is heard, but answers nothing: the link carries one way.
    OneWay,
    /// It does not answer.
    Lost,
}

/// What a process tells those of its site. Moments are told as ages, so that no two clocks need agree.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UplinkReport {
    /// Its name.
    pub name: String,
    /// Its site.
    pub site: String,
    /// Its state.
    pub state: State,
    /// How each place stands by its own evidence, and how old that is.
    pub places: Vec<(Place, Reachability, Millis)>,
    /// The last probe of each place that it knows of: how many came before, and how long ago it was.
    pub probes: Vec<(Place, u32, Millis)>,
    /// The operator's word that it holds to.
    pub operator_mode: Option<OperatorMode>,
}

/// What a process saw or was told.
#[derive(Clone, Debug, PartialEq)]
pub enum Evidence {
    /// Nothing: time has passed ([`crate::Edge::next`]).
    Tick,
    /// The watch on discovery ended, or could not be had.
    WatchLost,
    /// The watch stands: told at its beginning and with each sign of life on it.
    WatchStands,
    /// Discovery was asked and did not answer in time.
    DiscoveryFailed,
    /// Discovery answered.
    DiscoveryAnswered {
        /// How long it took.
        took_ms: Millis,
    },
    /// Discovery is elsewhere from now on (SIGHUP).
    DiscoveryMoved,
    /// The shared store did not answer.
    StoreFailed,
    /// It did.
    StoreAnswered {
        /// How long it took.
        took_ms: Millis,
    },
    /// A word of another process came.
    PeerHeard {
        /// Its name.
        name: String,
        /// Its site.
        site: String,
        /// Whether it answered something of ours, or says that it hears us.
        both_ways: bool,
    },
    /// Another process is silent.
    PeerSilent {
        /// Its name.
        name: String,
        /// Its site.
        site: String,
    },
    /// What another process of this site sees.
    PeerSays(UplinkReport),
    /// How a question to a server of another site ended.
    ServerBeyond {
        /// The server's site.
        site: String,
        /// How it ended.
        outcome: Outcome,
    },
    /// How a question to a server of this site ended.
    ServerHere {
        /// How it ended.
        outcome: Outcome,
    },
    /// The list in hand was confirmed by discovery at that moment; another process or the memory says so.
    Confirmed {
        /// When it was.
        at: Millis,
    },
    /// The operator's word.
    OperatorsWord(OperatorMode),
    /// A step of the rejoining is done.
    Done(Step),
}

/// A step of the rejoining, in their order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Ask this again after so long: discovery for its watch, the store for what is old.
    Ask {
        /// What is asked.
        place: Place,
        /// After how long.
        in_ms: Millis,
    },
    /// Compare what both sides have ([`crate::plan_rejoin`], [`crate::merge_overrides`]) and take it over.
    Merge,
}

/// What the host does.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// The state has changed.
    State {
        /// From this.
        from: State,
        /// To this.
        to: State,
        /// Why, in a plain sentence.
        why: String,
    },
    /// Ask what lies beyond the link, once, for the whole site.
    Probe {
        /// What is asked.
        place: Place,
    },
    /// Tell the site's other processes at once what this one says ([`crate::Edge::report`]).
    Tell,
    /// A line for the log.
    Say(String),
    /// Do this step of the rejoining.
    Rejoin(Step),
}
