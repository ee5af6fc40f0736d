//! What a host tells the machine and what it answers.

use std::fmt;

use crate::{Millis, Nanos};

/// Whom something is asked of, in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Whom {
    /// The peers of the own site.
    SitePeers,
    /// The peers of all other sites.
    OtherSites,
    /// Discovery.
    Discovery,
    /// The shared store.
    Store,
}

impl Whom {
    /// All, in the order in which they are asked.
    pub const ALL: [Whom; 4] = [
        Whom::SitePeers,
        Whom::OtherSites,
        Whom::Discovery,
        Whom::Store,
    ];
}

/// Where a list is from. A later one in this order is believed before an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Source {
    /// The configuration's known list.
    Known,
    /// The process's own memory.
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

/// Whether a listed server takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lifecycle {
    /// It does.
    Ready,
    /// It finishes what it has, or an operator took it out.
    Draining,
    /// It is gone.
    Gone,
}

/// A server in a list.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Its name.
    pub name: String,
    /// When it last started by wall time; 0 if it is not told.
    pub started_at_ms: Millis,
    /// Whether it takes new work.
    pub lifecycle: Lifecycle,
    /// Its weight; what is no number above 0 counts as 1.
    pub weight: f64,
}

/// A list of the farm.
#[derive(Clone, Debug, PartialEq)]
pub struct List {
    /// Where it is from.
    pub source: Source,
    /// Discovery's count of changes in it.
    pub generation: u64,
    /// Which life of discovery counted; a discovery that lost its state begins a new one. 0 if it does not tell.
    pub life: u64,
    /// How old it was when it came, as far as whoever told it knows.
    pub age: Nanos,
    /// Discovery's own wall clock as it spoke, if it told it.
    pub said_at: Option<Millis>,
    /// Its servers, all of them.
    pub entries: Vec<Entry>,
}

/// How many clients of a class and an account the whole fleet served before.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Former {
    /// Class, by its place in the configuration.
    pub class: usize,
    /// A hash of the account.
    pub account: u64,
    /// Clients that stood.
    pub clients: f64,
}

/// What the process finds in its own memory.
#[derive(Clone, Debug, PartialEq)]
pub struct Memory {
    /// The process that wrote it.
    pub owner: String,
    /// Its boot number then.
    pub boot: u64,
    /// Wall time of its last writing.
    pub written_at: Millis,
    /// The list it had.
    pub list: Option<List>,
    /// What the fleet served when this process last served in full; not what stood in the midst of a recovery.
    pub former: Vec<Former>,
    /// Clients a second that a warm server of weight 1 was seen to bear, if that was ever seen.
    pub borne: Option<f64>,
}

/// What a peer says of itself. It is a hint, never a command.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerWord {
    /// Its name.
    pub name: String,
    /// Its site.
    pub site: String,
    /// Its boot number.
    pub boot: u64,
    /// How long it has run.
    pub up_for: Nanos,
    /// How long it has let clients in at a pace or in full; nothing if it does not yet.
    pub serving_for: Option<Nanos>,
    /// Whether it serves in full.
    pub in_full: bool,
    /// Its wall clock, if its own state lets it trust that.
    pub wall: Option<Millis>,
    /// Clients of the whole fleet before, as it knows.
    pub former: Option<f64>,
    /// Clients a second that it must tell to come again though their turn has come.
    pub short: f64,
}

/// A client that wants in.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// Its number, which comes back in the answer.
    pub id: u64,
    /// Its class, by place; one that is not known counts as the last.
    pub class: usize,
    /// A hash of its account.
    pub account: u64,
    /// A hash of its group.
    pub group: Option<u64>,
    /// A hash of itself.
    pub key: Option<u64>,
    /// It stood before, or was told to come again.
    pub returns: bool,
}

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The process has started and has read its memory, if there is one.
    Started {
        /// Its boot number; above all it had before.
        boot: u64,
        /// What its memory holds.
        memory: Option<Memory>,
    },
    /// A peer's word.
    Peer(PeerWord),
    /// A list.
    List(List),
    /// Whoever was asked has answered, with or without anything of use. A list is an answer by itself.
    Answered(Whom),
    /// Whoever was asked can't be reached or does not answer.
    Failed(Whom),
    /// One server was seen to start, by its own word or by a change of the list.
    ServerStarted {
        /// Which.
        name: String,
        /// When, by wall time; 0 for just now.
        at: Millis,
    },
    /// A client comes.
    Arrived(Arrival),
    /// A peer leaves clients of its own part to this process.
    Lent {
        /// Who.
        from: String,
        /// Its count of loans; a loan told twice counts once.
        number: u64,
        /// How many clients.
        clients: f64,
    },
    /// Time has passed.
    Tick,
}

/// A kind of what was known before.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// The farm's list.
    List,
    /// That servers drain.
    Drains,
    /// Where clients and groups stood.
    Placements,
    /// Operators' overrides.
    Overrides,
    /// What servers were seen to bear.
    Pace,
    /// Servers' standing by evidence.
    Standing,
    /// How many connections stand where.
    Counts,
    /// How many clients there were.
    Former,
}

impl Kind {
    /// All of them.
    pub const ALL: [Kind; 8] = [
        Kind::List,
        Kind::Drains,
        Kind::Placements,
        Kind::Overrides,
        Kind::Pace,
        Kind::Standing,
        Kind::Counts,
        Kind::Former,
    ];
}

/// How far something known from before is believed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// It holds.
    Holds,
    /// It is a starting point until somebody says otherwise; by this part of its weight, 0 to 1.
    Hint(f64),
    /// It is not used.
    Void,
}

/// What went dark.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Scope {
    /// This process alone.
    Alone,
    /// Its site.
    Site,
    /// The whole fleet.
    Fleet,
    /// It can't be told; handled as the whole fleet.
    Unknown,
}

/// Where a process is on its way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    /// It has not started.
    Dark,
    /// It asks; clients are told to come again.
    Asking(Whom),
    /// It lets clients in by their turns, at the pace that the cold servers bear.
    Refilling,
    /// It serves.
    Serving,
}

impl State {
    /// What `PING` says.
    pub fn how(self) -> How {
        match self {
            State::Dark | State::Asking(_) => How::NotYet,
            State::Refilling => How::Paced,
            State::Serving => How::Full,
        }
    }
}

/// How a process serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum How {
    /// Not yet: `PING` says no.
    NotYet,
    /// By turns: `PING` says yes.
    Paced,
    /// In full: `PING` says yes.
    Full,
}

/// A step, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Its memory was read.
    Remembers,
    /// It asks somebody.
    Asks(Whom),
    /// The wall clock was judged.
    Clock,
    /// Scope was decided, or decided anew.
    Scope,
    /// A list was taken in or left out.
    List,
    /// A former drain's hold has begun or ended.
    Drain,
    /// The process was stopped and woke.
    Woke,
    /// It serves by turns.
    Refills,
    /// It serves in full.
    Serves,
}

/// What the host is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Ask, so long from now.
    Ask {
        /// Whom.
        whom: Whom,
        /// How long from now; drawn so that the fleet's calls are spread.
        after: Nanos,
    },
    /// What is known of a kind from before, and how far it is believed.
    Trust {
        /// Which kind.
        kind: Kind,
        /// How far.
        verdict: Verdict,
        /// Why.
        why: &'static str,
        /// When it was last known, by the wall clock of then.
        as_of: Option<Millis>,
    },
    /// The list that [`crate::Recovery::servers`] gives has changed.
    ListChanged,
    /// From now on clients are served so; `PING` follows.
    Serve {
        /// How.
        how: How,
        /// Why.
        reason: String,
    },
    /// Let this client in.
    Admit {
        /// Which.
        id: u64,
    },
    /// Tell this client to come again.
    Defer {
        /// Which.
        id: u64,
        /// After how long.
        retry_after: Nanos,
        /// It is the client's turn by then, as far as can be told; if not, it learns then when that is.
        firm: bool,
    },
    /// What went dark.
    Scope {
        /// What.
        scope: Scope,
        /// How likely that is, 0 to 1.
        likelihood: f64,
        /// By what it was told.
        evidence: Vec<String>,
    },
    /// Leave clients of the own part, which would lapse, to a peer that is short of it.
    Lend {
        /// Whom.
        to: String,
        /// The own count of loans.
        number: u64,
        /// How many clients.
        clients: f64,
    },
    /// A line for the log.
    Say {
        /// Which step.
        step: Step,
        /// Why.
        reason: String,
        /// Until when at most the step lasts, on the clock of `now`; nothing if it is over at once.
        bound: Option<Nanos>,
    },
}

impl fmt::Display for Whom {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Whom::SitePeers => "site's peers",
            Whom::OtherSites => "other sites' peers",
            Whom::Discovery => "discovery",
            Whom::Store => "shared store",
        })
    }
}

impl fmt::Display for Scope {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Scope::Alone => "alone",
            Scope::Site => "site",
            Scope::Fleet => "fleet",
            Scope::Unknown => "unknown",
        })
    }
}
