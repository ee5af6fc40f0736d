//! What a process has seen of the places beyond the link, and what that says of the link.
//!
//! The evidence is weighed as odds, in tenths of a power of ten. Places fail by themselves, each on its own, so that
//! their weights add up; what is seen of one place is seen of one thing, so that the second witness there counts half.

use std::collections::{BTreeMap, BTreeSet};

use crate::evidence::{Reachability, RemoteTarget, UplinkReport, UplinkState};
use crate::{Config, Millis};

/// The odds of a lost link before anything was seen: one to a hundred.
const PRIOR_LOG_ODDS: i32 = -20;
/// A watch ends once in ten times for its own reasons.
const WATCH_LOST_WEIGHT: i32 = 10;
/// Discovery or the store is away for its own reasons once in thirty.
const REQUEST_FAILED_WEIGHT: i32 = 15;
/// All heard processes of a site, or its servers.
const SITE_LOST_WEIGHT: i32 = 12;
/// A site that is heard and does not hear.
const ONE_WAY_WEIGHT: i32 = 6;
/// What another process of this site says it lost, where this one has not looked.
const PEER_REPORTED_LOSS_WEIGHT: i32 = 8;
/// An answer from beyond the link.
const ANSWER_WEIGHT: i32 = -40;
/// One that another process of this site says it had.
const PEER_REPORTED_ANSWER_WEIGHT: i32 = -30;
/// From here on it is doubted that the link stands.
pub(crate) const DOUBT_THRESHOLD: i32 = -10;
/// From here on it is taken for lost.
pub(crate) const LOSS_THRESHOLD: i32 = 5;
/// A loss that was not seen again for so long says nothing any more.
const LOSS_VALID_MS: Millis = 60_000;
/// Most processes that are remembered for a site, and most sites. Guards against names without end.
const MAX_PEERS: usize = 512;
const MAX_SITES: usize = 64;

/// One thing that is asked.
#[derive(Clone, Copy, Debug, Default)]
struct ContactRecord {
    at: Option<Millis>,
    latency_ms: Millis,
    failures: u32,
}

impl ContactRecord {
    fn answered(&mut self, now: Millis, latency_ms: Millis) {
        *self = ContactRecord {
            at: Some(now),
            latency_ms,
            failures: 0,
        };
    }

    fn failed(&mut self, now: Millis) {
        *self = ContactRecord {
            at: Some(now),
            failures: self.failures.saturating_add(1),
            ..*self
        };
    }

    fn reachability(
        &self,
        now: Millis,
        fresh_ms: Millis,
        failures: u32,
    ) -> Option<(Reachability, Millis)> {
        let age = now - self.at?;
        match self.failures {
            0 if age <= fresh_ms => Some((Reachability::Reachable, age)),
            n if n >= failures && age <= LOSS_VALID_MS => Some((Reachability::Unreachable, age)),
            _ => None,
        }
    }
}

/// A process of another site.
#[derive(Clone, Copy, Debug)]
struct Peer {
    at: Millis,
    reachability: Reachability,
}

/// Another site.
#[derive(Clone, Debug, Default)]
struct RemoteSite {
    peers: BTreeMap<String, Peer>,
    servers: ContactRecord,
}

/// Failures in a row after which the servers of a site count as lost: one server may be away for itself.
const MIN_SERVER_FAILURES: u32 = 2;

impl RemoteSite {
    fn peers_reachability(&self, now: Millis, fresh_ms: Millis) -> Option<(Reachability, Millis)> {
        let unexpired = |peer: &Peer| match (peer.reachability, now - peer.at) {
            (Reachability::Unreachable, age) if age <= LOSS_VALID_MS => {
                Some((Reachability::Unreachable, age))
            }
            (reachability, age) if reachability != Reachability::Unreachable && age <= fresh_ms => {
                Some((reachability, age))
            }
            _ => None,
        };
        self.peers.values().filter_map(unexpired).min()
    }

    fn servers_reachability(
        &self,
        now: Millis,
        fresh_ms: Millis,
    ) -> Option<(Reachability, Millis)> {
        self.servers
            .reachability(now, fresh_ms, MIN_SERVER_FAILURES)
    }

    fn weight(&self, now: Millis, fresh_ms: Millis) -> i32 {
        let weight_of = |reachability: Option<(Reachability, Millis)>| match reachability {
            Some((Reachability::Unreachable, _)) => SITE_LOST_WEIGHT,
            Some((Reachability::OneWay, _)) => ONE_WAY_WEIGHT,
            _ => 0,
        };
        let sources = [
            weight_of(self.peers_reachability(now, fresh_ms)),
            weight_of(self.servers_reachability(now, fresh_ms)),
        ];
        sources[0].max(sources[1]) + sources[0].min(sources[1]) / 2
    }
}

/// What another process of this site said last.
#[derive(Clone, Debug)]
struct PeerReport {
    at: Millis,
    state: UplinkState,
    targets: BTreeMap<RemoteTarget, (Reachability, Millis)>,
}

/// All that a process has seen and was told.
#[derive(Clone, Debug)]
pub(crate) struct UplinkView {
    fresh_ms: Millis,
    is_discovery_remote: bool,
    is_store_remote: bool,
    watch: ContactRecord,
    discovery_requests: ContactRecord,
    store: ContactRecord,
    local_servers: ContactRecord,
    remote_sites: BTreeMap<String, RemoteSite>,
    peer_reports: BTreeMap<String, PeerReport>,
}

impl UplinkView {
    pub(crate) fn new(config: &Config) -> UplinkView {
        UplinkView {
            fresh_ms: config.fresh_ms,
            is_discovery_remote: !config.is_discovery_local,
            is_store_remote: !config.is_store_local,
            watch: ContactRecord::default(),
            discovery_requests: ContactRecord::default(),
            store: ContactRecord::default(),
            local_servers: ContactRecord::default(),
            remote_sites: BTreeMap::new(),
            peer_reports: BTreeMap::new(),
        }
    }

    pub(crate) fn reconfigure(&mut self, config: &Config) {
        self.fresh_ms = config.fresh_ms;
        (self.is_discovery_remote, self.is_store_remote) =
            (!config.is_discovery_local, !config.is_store_local);
    }

    pub(crate) fn record_watch(&mut self, now: Millis, is_alive: bool) {
        if is_alive {
            self.watch.answered(now, 0)
        } else {
            self.watch.failed(now)
        }
    }

    pub(crate) fn record_discovery(&mut self, now: Millis, latency_ms: Option<Millis>) {
        record_contact(&mut self.discovery_requests, now, latency_ms);
    }

    pub(crate) fn record_store(&mut self, now: Millis, latency_ms: Option<Millis>) {
        record_contact(&mut self.store, now, latency_ms);
    }

    pub(crate) fn record_local_servers(&mut self, now: Millis, latency_ms: Option<Millis>) {
        record_contact(&mut self.local_servers, now, latency_ms);
    }

    pub(crate) fn record_remote_servers(
        &mut self,
        now: Millis,
        site: &str,
        latency_ms: Option<Millis>,
    ) {
        if let Some(remote_site) = self.remote_site(site) {
            record_contact(&mut remote_site.servers, now, latency_ms);
        }
    }

    pub(crate) fn record_peer(
        &mut self,
        now: Millis,
        site: &str,
        name: &str,
        reachability: Reachability,
    ) {
        let Some(remote_site) = self.remote_site(site) else {
            return;
        };
        if !remote_site.peers.contains_key(name) && remote_site.peers.len() >= MAX_PEERS {
            let oldest = remote_site
                .peers
                .iter()
                .min_by_key(|(name, peer)| (peer.at, (*name).clone()));
            if let Some(oldest) = oldest.map(|(name, _)| name.clone()) {
                remote_site.peers.remove(&oldest);
            }
        }
        remote_site.peers.insert(
            name.to_owned(),
            Peer {
                at: now,
                reachability,
            },
        );
    }

    /// What was seen of discovery is of another one.
    pub(crate) fn reset_discovery(&mut self) {
        (self.watch, self.discovery_requests) =
            (ContactRecord::default(), ContactRecord::default());
        for report in self.peer_reports.values_mut() {
            report.targets.remove(&RemoteTarget::Discovery);
        }
    }

    /// Nothing that was seen holds any more. Guards against a process that was stopped for a while, and takes its
    /// own sleep for the silence of all others.
    pub(crate) fn reset(&mut self, config: &Config) {
        let remote_sites = std::mem::take(&mut self.remote_sites);
        *self = UplinkView::new(config);
        self.remote_sites = remote_sites
            .into_keys()
            .map(|site| (site, RemoteSite::default()))
            .collect();
    }

    pub(crate) fn record_report(&mut self, now: Millis, report: &UplinkReport) {
        if !self.peer_reports.contains_key(&report.name) && self.peer_reports.len() >= MAX_PEERS {
            self.peer_reports.pop_first();
        }
        let timestamped = |(target, reachability, age): &(RemoteTarget, Reachability, Millis)| {
            (target.clone(), (*reachability, now.saturating_sub(*age)))
        };
        let targets = report
            .targets
            .iter()
            .take(MAX_SITES + 2)
            .map(timestamped)
            .collect();
        self.peer_reports.insert(
            report.name.clone(),
            PeerReport {
                at: now,
                state: report.state,
                targets,
            },
        );
    }

    /// Those of this site who said something lately.
    pub(crate) fn live_peers(&self, now: Millis) -> impl Iterator<Item = &str> {
        let fresh_ms = self.fresh_ms;
        self.peer_reports
            .iter()
            .filter(move |(_, report)| now - report.at <= fresh_ms)
            .map(|(name, _)| name.as_str())
    }

    /// In which states they are.
    pub(crate) fn peer_states(&self, now: Millis) -> impl Iterator<Item = (&str, UplinkState)> {
        self.live_peers(now)
            .map(|name| (name, self.peer_reports[name].state))
    }

    fn remote_site(&mut self, site: &str) -> Option<&mut RemoteSite> {
        if !self.remote_sites.contains_key(site) && self.remote_sites.len() >= MAX_SITES {
            return None;
        }
        Some(self.remote_sites.entry(site.to_owned()).or_default())
    }

    /// All places that lie beyond the link, as far as is known.
    pub(crate) fn targets(&self) -> Vec<RemoteTarget> {
        let fixed = [
            (self.is_discovery_remote, RemoteTarget::Discovery),
            (self.is_store_remote, RemoteTarget::Store),
        ];
        let fixed = fixed
            .into_iter()
            .filter_map(|(is_remote, target)| is_remote.then_some(target));
        fixed
            .chain(self.remote_sites.keys().cloned().map(RemoteTarget::Site))
            .collect()
    }

    /// How a place stands by this process's own evidence, and how old that is.
    pub(crate) fn reachability(
        &self,
        target: &RemoteTarget,
        now: Millis,
    ) -> Option<(Reachability, Millis)> {
        match target {
            RemoteTarget::Discovery => {
                let sources = [&self.watch, &self.discovery_requests];
                // The later of the two says how discovery stands now.
                let latest = sources
                    .into_iter()
                    .filter(|record| record.at.is_some())
                    .max_by_key(|record| record.at)?;
                latest.reachability(now, self.fresh_ms, 1)
            }
            RemoteTarget::Store => self.store.reachability(now, self.fresh_ms, 1),
            RemoteTarget::Site(site) => {
                let remote_site = self.remote_sites.get(site)?;
                let sources = [
                    remote_site.peers_reachability(now, self.fresh_ms),
                    remote_site.servers_reachability(now, self.fresh_ms),
                ];
                sources.into_iter().flatten().min()
            }
        }
    }

    /// How a place stands by what others of this site said lately: the best of it.
    pub(crate) fn peer_reachability(
        &self,
        target: &RemoteTarget,
        now: Millis,
    ) -> Option<(Reachability, &str, Millis)> {
        let reported = self.peer_reports.iter().filter_map(|(name, report)| {
            let (reachability, at) = *report.targets.get(target)?;
            let age = now.saturating_sub(at);
            let valid_ms = if reachability == Reachability::Unreachable {
                LOSS_VALID_MS
            } else {
                self.fresh_ms
            };
            (age <= valid_ms && now - report.at <= self.fresh_ms).then_some((
                reachability,
                name.as_str(),
                age,
            ))
        });
        reported.min_by_key(|(reachability, _, age)| (*reachability, *age))
    }

    /// How long the last answer of a place took.
    pub(crate) fn last_latency(&self, target: &RemoteTarget) -> Millis {
        match target {
            RemoteTarget::Discovery => self.discovery_requests.latency_ms,
            RemoteTarget::Store => self.store.latency_ms,
            RemoteTarget::Site(site) => self
                .remote_sites
                .get(site)
                .map_or(0, |remote_site| remote_site.servers.latency_ms),
        }
    }

    /// A place that answers this process itself.
    pub(crate) fn reachable_target(&self, now: Millis) -> Option<RemoteTarget> {
        self.targets().into_iter().find(|target| {
            self.reachability(target, now)
                .is_some_and(|(reachability, _)| reachability == Reachability::Reachable)
        })
    }

    /// Whether anything does not answer this process itself.
    pub(crate) fn has_losses(&self, now: Millis) -> bool {
        self.targets().iter().any(|target| {
            self.reachability(target, now)
                .is_some_and(|(reachability, _)| reachability == Reachability::Unreachable)
        })
    }

    /// How the servers of this site answer this process.
    pub(crate) fn local_servers_reachability(&self, now: Millis) -> Option<Reachability> {
        self.local_servers
            .reachability(now, self.fresh_ms, MIN_SERVER_FAILURES)
            .map(|(reachability, _)| reachability)
    }

    /// The odds that the link is lost, by this process's own evidence or by all of the site's.
    pub(crate) fn log_odds(&self, now: Millis, with_peers: bool) -> i32 {
        let mut targets = self.targets();
        if with_peers {
            let reported = self
                .peer_reports
                .values()
                .flat_map(|report| report.targets.keys());
            let sites = reported.filter(|target| matches!(target, RemoteTarget::Site(_)));
            let new_sites: BTreeSet<&RemoteTarget> =
                sites.filter(|target| !targets.contains(target)).collect();
            targets.extend(new_sites.into_iter().cloned());
        }
        PRIOR_LOG_ODDS
            + targets
                .iter()
                .map(|target| self.weight(target, now, with_peers))
                .sum::<i32>()
    }

    fn weight(&self, target: &RemoteTarget, now: Millis, with_peers: bool) -> i32 {
        let own = self
            .reachability(target, now)
            .map(|(reachability, _)| reachability);
        let by_peers = if with_peers {
            self.peer_reachability(target, now)
                .map(|(reachability, ..)| reachability)
        } else {
            None
        };
        match (own, by_peers) {
            (Some(Reachability::Reachable), _) => ANSWER_WEIGHT,
            (_, Some(Reachability::Reachable)) => PEER_REPORTED_ANSWER_WEIGHT,
            (Some(_), by_peers) => {
                let confirmed_weight = if by_peers == Some(Reachability::Unreachable) {
                    PEER_REPORTED_LOSS_WEIGHT
                } else {
                    0
                };
                self.loss_weight(target, now).max(confirmed_weight)
            }
            (None, Some(Reachability::Unreachable)) => PEER_REPORTED_LOSS_WEIGHT,
            (None, _) => 0,
        }
    }

    fn loss_weight(&self, target: &RemoteTarget, now: Millis) -> i32 {
        let is_unreachable = |record: &ContactRecord| {
            record
                .reachability(now, self.fresh_ms, 1)
                .is_some_and(|(reachability, _)| reachability == Reachability::Unreachable)
        };
        match target {
            RemoteTarget::Discovery if is_unreachable(&self.discovery_requests) => {
                REQUEST_FAILED_WEIGHT
            }
            RemoteTarget::Discovery => WATCH_LOST_WEIGHT,
            RemoteTarget::Store => REQUEST_FAILED_WEIGHT,
            RemoteTarget::Site(site) => self
                .remote_sites
                .get(site)
                .map_or(0, |remote_site| remote_site.weight(now, self.fresh_ms)),
        }
    }
}

fn record_contact(record: &mut ContactRecord, now: Millis, latency_ms: Option<Millis>) {
    match latency_ms {
        Some(latency_ms) => record.answered(now, latency_ms),
        None => record.failed(now),
    }
}
