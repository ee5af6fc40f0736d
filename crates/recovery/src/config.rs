//! What a process is told before it starts.

use crate::{MS, Millis, Nanos, SECOND, Whom};

/// All that the machine is told of its site and fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// This process's name.
    pub name: String,
    /// Its site.
    pub site: String,
    /// How many balancers there are in all sites. Allowances are divided by it, never by how many are seen: halves that
    /// don't see each other must not both take the whole.
    pub fleet: u32,
    /// Peers expected in the own site.
    pub site_peers: u32,
    /// Other sites, of which peers are expected.
    pub other_sites: Vec<String>,
    /// Whether a shared store is set up.
    pub store: bool,
    /// Bounds in time.
    pub bounds: Bounds,
    /// How old what is known may be.
    pub ages: Ages,
    /// Figures of the cold rule.
    pub cold: Cold,
    /// The classes of clients; there is at least one.
    pub classes: Vec<Class>,
    /// Accounts whose share is not 1.
    pub accounts: Vec<Account>,
    /// Clients that the fleet usually serves, if nobody remembers; 0 if that is not known.
    pub clients: u32,
    /// Clients of a group on average, which all go to one server; 0 or 1 where there are no groups.
    pub group: f64,
}

/// How long each step may last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// For the site's peers.
    pub site_peers: Nanos,
    /// For the other sites' peers.
    pub other_sites: Nanos,
    /// For discovery, beside the span over which the fleet's calls are spread.
    pub discovery: Nanos,
    /// For the shared store, beside that span.
    pub store: Nanos,
    /// Until service is in full, from when clients are let in by turns.
    pub refill: Nanos,
    /// Time that each call of one process is left at discovery or the store.
    pub call: Nanos,
    /// Longest span over which the fleet's first calls are spread.
    pub spread: Nanos,
    /// Longest time between repeats to one that does not answer.
    pub repeat: Nanos,
    /// A process that heard nothing, not even a tick, for so long was stopped.
    pub stopped: Nanos,
    /// How long a former drain holds against a discovery that has lost its state.
    pub drain_hold: Nanos,
}

/// How old a kind of knowledge may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ages {
    /// The list, as a starting point, and its drains.
    pub list: Millis,
    /// Where clients stood.
    pub placements: Millis,
    /// What servers bear and how they stand: in so long its weight is halved.
    pub fades: Millis,
    /// How many clients there were.
    pub former: Millis,
    /// A darkness longer than this is only believed if another clock confirms it.
    pub longest_dark: Millis,
    /// Clocks this far apart agree.
    pub tolerance: Millis,
}

/// Figures of the cold rule.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Cold {
    /// A started server is warm after this.
    pub cold_time: Nanos,
    /// Part of its capacity that it starts with.
    pub cold_share: f64,
    /// Times its present capacity that tip it over.
    pub tip_multiple: f64,
    /// For this long.
    pub fall_time: Nanos,
    /// Beyond the limit that comes of that, a server bears so many roots of it, and so many clients, more: room that the
    /// rule itself leaves to chance. 0 where it leaves none.
    pub slack: f64,
    /// Clients a second that a warm server of weight 1 bears, if nobody has seen it.
    pub borne: f64,
}

/// A class of clients.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Class {
    /// What a client is worth.
    pub worth: f64,
    /// Wanted time of a set-up.
    pub aim: Nanos,
}

/// An account's share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Account {
    /// A hash of its name.
    pub account: u64,
    /// Its part of what is let in, against the others'.
    pub share: f64,
}

/// A field that is out of its range.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Which.
    pub field: &'static str,
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds {
            site_peers: 500 * MS,
            other_sites: SECOND,
            discovery: 2 * SECOND,
            store: SECOND,
            refill: 600 * SECOND,
            call: 10 * MS,
            spread: 3 * SECOND,
            repeat: 15 * SECOND,
            stopped: 5 * SECOND,
            drain_hold: 30 * SECOND,
        }
    }
}

impl Default for Ages {
    fn default() -> Ages {
        const HOUR: Millis = 3_600_000;
        Ages {
            list: 24 * HOUR,
            placements: HOUR,
            fades: HOUR,
            former: 7 * 24 * HOUR,
            longest_dark: 7 * 24 * HOUR,
            tolerance: 5_000,
        }
    }
}

impl Default for Cold {
    fn default() -> Cold {
        Cold {
            cold_time: 20 * SECOND,
            cold_share: 0.2,
            tip_multiple: 3.0,
            fall_time: 1_500 * MS,
            slack: 0.0,
            borne: 1.0,
        }
    }
}

impl Default for Config {
    fn default() -> Config {
        Config {
            name: String::new(),
            site: String::new(),
            fleet: 1,
            site_peers: 0,
            other_sites: Vec::new(),
            store: false,
            bounds: Bounds::default(),
            ages: Ages::default(),
            cold: Cold::default(),
            classes: vec![Class {
                worth: 1.0,
                aim: SECOND,
            }],
            accounts: Vec::new(),
            clients: 0,
            group: 0.0,
        }
    }
}

impl Class {
    /// What a client is worth for each second in which it is wanted.
    pub(crate) fn urgency(&self) -> f64 {
        self.worth / (self.aim as f64 / SECOND as f64)
    }
}

impl Config {
    /// All fields that are out of their range.
    pub fn faults(&self) -> Vec<Fault> {
        let (bounds, ages, cold) = (&self.bounds, &self.ages, &self.cold);
        let is_part = |part: f64| part > 0.0 && part <= 1.0;
        let is_positive = |value: f64| value.is_finite() && value > 0.0;
        let faults = [
            ("name", self.name.is_empty()),
            ("fleet", self.fleet == 0),
            ("bounds.refill", bounds.refill == 0),
            ("bounds.repeat", bounds.repeat < MS),
            ("bounds.stopped", bounds.stopped < TICK.saturating_mul(4)),
            ("ages.fades", ages.fades == 0),
            ("cold.cold_share", !is_part(cold.cold_share)),
            ("cold.tip_multiple", !is_positive(cold.tip_multiple)),
            ("cold.fall_time", cold.fall_time == 0),
            ("cold.slack", !(cold.slack.is_finite() && cold.slack >= 0.0)),
            ("cold.borne", !is_positive(cold.borne)),
            ("group", !(self.group.is_finite() && self.group >= 0.0)),
            ("classes", self.classes.is_empty()),
            (
                "classes.worth",
                self.classes
                    .iter()
                    .any(|class| !class.worth.is_finite() || class.worth < 0.0),
            ),
            (
                "classes.aim",
                self.classes.iter().any(|class| class.aim == 0),
            ),
            (
                "accounts.share",
                self.accounts
                    .iter()
                    .any(|account| !is_positive(account.share)),
            ),
        ];
        faults
            .into_iter()
            .filter(|(_, bad)| *bad)
            .map(|(field, _)| Fault { field })
            .collect()
    }

    /// The span over which the whole fleet's first calls to one service are spread.
    pub fn herd(&self) -> Nanos {
        self.bounds
            .call
            .saturating_mul(u64::from(self.fleet))
            .min(self.bounds.spread)
    }

    /// So long asking one of them lasts at most.
    pub(crate) fn step_within(&self, whom: Whom) -> Nanos {
        match whom {
            Whom::SitePeers => self.bounds.site_peers,
            Whom::OtherSites => self.bounds.other_sites,
            Whom::Discovery => self.bounds.discovery.saturating_add(self.herd()),
            Whom::Store => self.bounds.store.saturating_add(self.herd()),
        }
    }

    /// Within so long from its start every process lets clients in, whoever answers or not.
    pub fn lets_in_within(&self) -> Nanos {
        Whom::ALL
            .into_iter()
            .map(|whom| self.step_within(whom))
            .fold(0, Nanos::saturating_add)
    }

    /// Within so long from its start every process serves in full, whoever answers or not.
    pub fn serves_within(&self) -> Nanos {
        self.lets_in_within().saturating_add(self.bounds.refill)
    }
}

/// How often the machine looks at what only time changes.
pub(crate) const TICK: Nanos = 250 * MS;
