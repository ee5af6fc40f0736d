//! What a process has seen of the places beyond the link, and what that says of the link.
//!
//! The evidence is weighed as odds, in tenths of a power of ten. Places fail by themselves, each on its own, so that
//! their weights add up; what is seen of one place is seen of one thing, so that the second witness there counts half.

use std::collections::{BTreeMap, BTreeSet};

use crate::evidence::{Place, Reachability, State, UplinkReport};
use crate::{Config, Millis};

/// The odds of a lost link before anything was seen: one to a hundred.
const BEFORE: i32 = -20;
/// A watch ends once in ten times for its own reasons.
const WATCH_LOST: i32 = 10;
/// Discovery or the store is away for its own reasons once in thirty.
const ASK_LOST: i32 = 15;
/// All heard processes of a site, or its servers.
const SITE_LOST: i32 = 12;
/// A site that is heard and does not hear.
const ONE_WAY: i32 = 6;
/// What another process of this site says it lost, where this one has not looked.
const PEER_REPORTED_LOST: i32 = 8;
/// An answer from beyond the link.
const ANSWERED: i32 = -40;
/// One that another process of this site says it had.
const PEER_REPORTED_ANSWER: i32 = -30;
/// From here on it is doubted that the link stands.
pub(crate) const DOUBT: i32 = -10;
/// From here on it is taken for lost.
pub(crate) const LOST: i32 = 5;
/// A loss that was not seen again for so long says nothing any more.
const LOSS_VALID_FOR: Millis = 60_000;
/// Most processes that are remembered for a site, and most sites. Guards against names without end.
const MOST_NAMES: usize = 512;
const MOST_SITES: usize = 64;

/// One thing that is asked.
#[derive(Clone, Copy, Debug, Default)]
struct Party {
    at: Option<Millis>,
    took: Millis,
    fails: u32,
}

impl Party {
    fn answered(&mut self, now: Millis, took: Millis) {
        *self = Party {
            at: Some(now),
            took,
            fails: 0,
        };
    }

    fn failed(&mut self, now: Millis) {
        *self = Party {
            at: Some(now),
            fails: self.fails.saturating_add(1),
            ..*self
        };
    }

    fn seen(&self, now: Millis, fresh: Millis, fails: u32) -> Option<(Reachability, Millis)> {
        let age = now - self.at?;
        match self.fails {
            0 if age <= fresh => Some((Reachability::Reachable, age)),
            n if n >= fails && age <= LOSS_VALID_FOR => Some((Reachability::Lost, age)),
            _ => None,
        }
    }
}

/// A process of another site.
#[derive(Clone, Copy, Debug)]
struct Peer {
    at: Millis,
    seen: Reachability,
}

/// Another site.
#[derive(Clone, Debug, Default)]
struct Other {
    peers: BTreeMap<String, Peer>,
    servers: Party,
}

/// Failures in a row after which the servers of a site count as lost: one server may be away for itself.
const SERVER_FAILS: u32 = 2;

impl Other {
    fn peers_seen(&self, now: Millis, fresh: Millis) -> Option<(Reachability, Millis)> {
        let aged = |peer: &Peer| match (peer.seen, now - peer.at) {
            (Reachability::Lost, age) if age <= LOSS_VALID_FOR => Some((Reachability::Lost, age)),
            (seen, age) if seen != Reachability::Lost && age <= fresh => Some((seen, age)),
            _ => None,
        };
        self.peers.values().filter_map(aged).min()
    }

    fn servers_seen(&self, now: Millis, fresh: Millis) -> Option<(Reachability, Millis)> {
        self.servers.seen(now, fresh, SERVER_FAILS)
    }

    fn points(&self, now: Millis, fresh: Millis) -> i32 {
        let weigh = |seen: Option<(Reachability, Millis)>| match seen {
            Some((Reachability::Lost, _)) => SITE_LOST,
            Some((Reachability::OneWay, _)) => ONE_WAY,
            _ => 0,
        };
        let both = [
            weigh(self.peers_seen(now, fresh)),
            weigh(self.servers_seen(now, fresh)),
        ];
        both[0].max(both[1]) + both[0].min(both[1]) / 2
    }
}

/// What another process of this site said last.
#[derive(Clone, Debug)]
struct PeerReport {
    at: Millis,
    state: State,
    places: BTreeMap<Place, (Reachability, Millis)>,
}

/// All that a process has seen and was told.
#[derive(Clone, Debug)]
pub(crate) struct UplinkView {
    fresh: Millis,
    discovery: bool,
    store: bool,
    watch: Party,
    ask: Party,
    last_known: Party,
    here: Party,
    others: BTreeMap<String, Other>,
    peer_reports: BTreeMap<String, PeerReport>,
}

impl UplinkView {
    pub(crate) fn new(config: &Config) -> UplinkView {
        UplinkView {
            fresh: config.fresh_ms,
            discovery: !config.discovery_here,
            store: !config.store_here,
            watch: Party::default(),
            ask: Party::default(),
            last_known: Party::default(),
            here: Party::default(),
            others: BTreeMap::new(),
            peer_reports: BTreeMap::new(),
        }
    }

    pub(crate) fn set_up(&mut self, config: &Config) {
        self.fresh = config.fresh_ms;
        (self.discovery, self.store) = (!config.discovery_here, !config.store_here);
    }

    pub(crate) fn watch(&mut self, now: Millis, stands: bool) {
        if stands {
            self.watch.answered(now, 0)
        } else {
            self.watch.failed(now)
        }
    }

    pub(crate) fn ask(&mut self, now: Millis, took: Option<Millis>) {
        note(&mut self.ask, now, took);
    }

    pub(crate) fn store(&mut self, now: Millis, took: Option<Millis>) {
        note(&mut self.last_known, now, took);
    }

    pub(crate) fn here(&mut self, now: Millis, took: Option<Millis>) {
        note(&mut self.here, now, took);
    }

    pub(crate) fn servers(&mut self, now: Millis, site: &str, took: Option<Millis>) {
        if let Some(other) = self.other(site) {
            note(&mut other.servers, now, took);
        }
    }

    pub(crate) fn peer(&mut self, now: Millis, site: &str, name: &str, seen: Reachability) {
        let Some(other) = self.other(site) else {
            return;
        };
        if !other.peers.contains_key(name) && other.peers.len() >= MOST_NAMES {
            let oldest = other
                .peers
                .iter()
                .min_by_key(|(name, peer)| (peer.at, (*name).clone()));
            if let Some(oldest) = oldest.map(|(name, _)| name.clone()) {
                other.peers.remove(&oldest);
            }
        }
        other.peers.insert(name.to_owned(), Peer { at: now, seen });
    }

    /// What was seen of discovery is of another one.
    pub(crate) fn discovery_moved(&mut self) {
        (self.watch, self.ask) = (Party::default(), Party::default());
        for peer_reachability in self.peer_reports.values_mut() {
            peer_reachability.places.remove(&Place::Discovery);
        }
    }

    /// Nothing that was seen holds any more. Guards against a process that was stopped for a while, and takes its
    /// own sleep for the silence of all others.
    pub(crate) fn forget(&mut self, config: &Config) {
        let others = std::mem::take(&mut self.others);
        *self = UplinkView::new(config);
        self.others = others
            .into_keys()
            .map(|site| (site, Other::default()))
            .collect();
    }

    pub(crate) fn record_report(&mut self, now: Millis, says: &UplinkReport) {
        if !self.peer_reports.contains_key(&says.name) && self.peer_reports.len() >= MOST_NAMES {
            self.peer_reports.pop_first();
        }
        let place = |(place, seen, age): &(Place, Reachability, Millis)| {
            (place.clone(), (*seen, now.saturating_sub(*age)))
        };
        let places = says.places.iter().take(MOST_SITES + 2).map(place).collect();
        self.peer_reports.insert(
            says.name.clone(),
            PeerReport {
                at: now,
                state: says.state,
                places,
            },
        );
    }

    /// Those of this site who said something lately.
    pub(crate) fn alive(&self, now: Millis) -> impl Iterator<Item = &str> {
        let fresh = self.fresh;
        self.peer_reports
            .iter()
            .filter(move |(_, peer_reachability)| now - peer_reachability.at <= fresh)
            .map(|(name, _)| name.as_str())
    }

    /// In which states they are.
    pub(crate) fn states(&self, now: Millis) -> impl Iterator<Item = (&str, State)> {
        self.alive(now)
            .map(|name| (name, self.peer_reports[name].state))
    }

    fn other(&mut self, site: &str) -> Option<&mut Other> {
        if !self.others.contains_key(site) && self.others.len() >= MOST_SITES {
            return None;
        }
        Some(self.others.entry(site.to_owned()).or_default())
    }

    /// All places that lie beyond the link, as far as is known.
    pub(crate) fn places(&self) -> Vec<Place> {
        let fixed = [
            (self.discovery, Place::Discovery),
            (self.store, Place::Store),
        ];
        let fixed = fixed
            .into_iter()
            .filter_map(|(beyond, place)| beyond.then_some(place));
        fixed
            .chain(self.others.keys().cloned().map(Place::Site))
            .collect()
    }

    /// How a place stands by this process's own evidence, and how old that is.
    pub(crate) fn seen(&self, place: &Place, now: Millis) -> Option<(Reachability, Millis)> {
        match place {
            Place::Discovery => {
                let both = [&self.watch, &self.ask];
                // The later of the two says how discovery stands now.
                let latest = both
                    .into_iter()
                    .filter(|party| party.at.is_some())
                    .max_by_key(|party| party.at)?;
                latest.seen(now, self.fresh, 1)
            }
            Place::Store => self.last_known.seen(now, self.fresh, 1),
            Place::Site(site) => {
                let other = self.others.get(site)?;
                let both = [
                    other.peers_seen(now, self.fresh),
                    other.servers_seen(now, self.fresh),
                ];
                both.into_iter().flatten().min()
            }
        }
    }

    /// How a place stands by what others of this site said lately: the best of it.
    pub(crate) fn peer_reachability(
        &self,
        place: &Place,
        now: Millis,
    ) -> Option<(Reachability, &str, Millis)> {
        let told = self.peer_reports.iter().filter_map(|(name, said)| {
            let (seen, at) = *said.places.get(place)?;
            let age = now.saturating_sub(at);
            let holds = if seen == Reachability::Lost {
                LOSS_VALID_FOR
            } else {
                self.fresh
            };
            (age <= holds && now - said.at <= self.fresh).then_some((seen, name.as_str(), age))
        });
        told.min_by_key(|(seen, _, age)| (*seen, *age))
    }

    /// How long the last answer of a place took.
    pub(crate) fn took(&self, place: &Place) -> Millis {
        match place {
            Place::Discovery => self.ask.took,
            Place::Store => self.last_known.took,
            Place::Site(site) => self.others.get(site).map_or(0, |other| other.servers.took),
        }
    }

    /// A place that answers this process itself.
    pub(crate) fn reachable_place(&self, now: Millis) -> Option<Place> {
        self.places().into_iter().find(|place| {
            self.seen(place, now)
                .is_some_and(|(seen, _)| seen == Reachability::Reachable)
        })
    }

    /// Whether anything does not answer this process itself.
    pub(crate) fn lost(&self, now: Millis) -> bool {
        self.places().iter().any(|place| {
            self.seen(place, now)
                .is_some_and(|(seen, _)| seen == Reachability::Lost)
        })
    }

    /// How the servers of this site answer this process.
    pub(crate) fn here_seen(&self, now: Millis) -> Option<Reachability> {
        self.here
            .seen(now, self.fresh, SERVER_FAILS)
            .map(|(seen, _)| seen)
    }

    /// The odds that the link is lost, by this process's own evidence or by all of the site's.
    pub(crate) fn odds(&self, now: Millis, with_others: bool) -> i32 {
        let mut places = self.places();
        if with_others {
            let told = self
                .peer_reports
                .values()
                .flat_map(|said| said.places.keys());
            let sites = told.filter(|place| matches!(place, Place::Site(_)));
            let news: BTreeSet<&Place> = sites.filter(|place| !places.contains(place)).collect();
            places.extend(news.into_iter().cloned());
        }
        BEFORE
            + places
                .iter()
                .map(|place| self.weight(place, now, with_others))
                .sum::<i32>()
    }

    fn weight(&self, place: &Place, now: Millis, with_others: bool) -> i32 {
        let own = self.seen(place, now).map(|(seen, _)| seen);
        let said = if with_others {
            self.peer_reachability(place, now).map(|(seen, ..)| seen)
        } else {
            None
        };
        match (own, said) {
            (Some(Reachability::Reachable), _) => ANSWERED,
            (_, Some(Reachability::Reachable)) => PEER_REPORTED_ANSWER,
            (Some(_), said) => {
                let seconded = if said == Some(Reachability::Lost) {
                    PEER_REPORTED_LOST
                } else {
                    0
                };
                self.own_loss(place, now).max(seconded)
            }
            (None, Some(Reachability::Lost)) => PEER_REPORTED_LOST,
            (None, _) => 0,
        }
    }

    fn own_loss(&self, place: &Place, now: Millis) -> i32 {
        let lost = |party: &Party| {
            party
                .seen(now, self.fresh, 1)
                .is_some_and(|(seen, _)| seen == Reachability::Lost)
        };
        match place {
            Place::Discovery if lost(&self.ask) => ASK_LOST,
            Place::Discovery => WATCH_LOST,
            Place::Store => ASK_LOST,
            Place::Site(site) => self
                .others
                .get(site)
                .map_or(0, |other| other.points(now, self.fresh)),
        }
    }
}

fn note(party: &mut Party, now: Millis, took: Option<Millis>) {
    match took {
        Some(took) => party.answered(now, took),
        None => party.failed(now),
    }
}
