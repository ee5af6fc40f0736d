//! Evidence of a process on remote targets, and what it says about the uplink.
//!
//! Evidence is weighed as log odds, in tenths of a power of ten. Different targets fail
//! independently, so their weights add up. Two sources on one target observe the same thing, so the
//! second one there counts half.

use std::collections::{BTreeMap, BTreeSet};

use crate::evidence::{Reachability, RemoteTarget, UplinkReport, UplinkState};
use crate::{Config, Millis};

/// Prior log odds of a lost uplink: one to a hundred.
const PRIOR_LOG_ODDS: i32 = -20;
/// Weight of a lost watch; one in ten ends for a reason of its own.
const WATCH_LOST_WEIGHT: i32 = 10;
/// Weight of a failed request to discovery or the store; one in thirty fails for a reason of its
/// own.
const REQUEST_FAILED_WEIGHT: i32 = 15;
/// Weight of a site whose known processes, or whose servers, are unreachable.
const SITE_LOST_WEIGHT: i32 = 12;
/// Weight of a site that sends messages but does not receive ours.
const ONE_WAY_WEIGHT: i32 = 6;
/// Weight of a loss that a peer of this site reports and this process has not observed itself.
const PEER_REPORTED_LOSS_WEIGHT: i32 = 8;
/// Weight of an answer from a remote target.
const ANSWER_WEIGHT: i32 = -40;
/// Weight of an answer that a peer of this site reports.
const PEER_REPORTED_ANSWER_WEIGHT: i32 = -30;
/// Log odds from which on the uplink is in doubt.
pub(crate) const DOUBT_THRESHOLD: i32 = -10;
/// Log odds from which on the uplink counts as lost.
pub(crate) const LOSS_THRESHOLD: i32 = 5;
/// A loss that is not observed again expires after this span.
const LOSS_VALID_MS: Millis = 60_000;
/// Maximum number of processes recorded for a site, and of sites. Bounds memory against an
/// unlimited number of names.
const MAX_PEERS: usize = 512;
const MAX_SITES: usize = 64;

/// Last contact with one target.
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

/// Processes and servers of another site.
#[derive(Clone, Debug, Default)]
struct RemoteSite {
    peers: BTreeMap<String, Peer>,
    servers: ContactRecord,
}

/// Consecutive failures after which the servers of a site count as unreachable: a single server may
/// have failed on its own.
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

/// Last report of another process of this site.
#[derive(Clone, Debug)]
struct PeerReport {
    at: Millis,
    state: UplinkState,
    targets: BTreeMap<RemoteTarget, (Reachability, Millis)>,
}

/// All evidence of a process, its own and reported.
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

    /// Discards the evidence on discovery, whose address has changed.
    pub(crate) fn reset_discovery(&mut self) {
        (self.watch, self.discovery_requests) =
            (ContactRecord::default(), ContactRecord::default());
        for report in self.peer_reports.values_mut() {
            report.targets.remove(&RemoteTarget::Discovery);
        }
    }

    /// Discards all evidence. Otherwise a process that was paused would take its own pause for the
    /// silence of all others.
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

    /// Names of the peers of this site that reported recently.
    pub(crate) fn live_peers(&self, now: Millis) -> impl Iterator<Item = &str> {
        let fresh_ms = self.fresh_ms;
        self.peer_reports
            .iter()
            .filter(move |(_, report)| now - report.at <= fresh_ms)
            .map(|(name, _)| name.as_str())
    }

    /// States of the peers of this site that reported recently.
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

    /// All known targets beyond the uplink.
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

    /// Reachability of a target by this process's own evidence, and the age of that evidence.
    pub(crate) fn reachability(
        &self,
        target: &RemoteTarget,
        now: Millis,
    ) -> Option<(Reachability, Millis)> {
        match target {
            RemoteTarget::Discovery => {
                let sources = [&self.watch, &self.discovery_requests];
                // The later of the two sources reflects the present state.
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

    /// Best reachability of a target that peers of this site reported recently, with the name of
    /// the peer and the age.
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

    /// Latency of the last answer of a target, in milliseconds; 0 if there was none.
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

    /// A target that this process can reach.
    pub(crate) fn reachable_target(&self, now: Millis) -> Option<RemoteTarget> {
        self.targets().into_iter().find(|target| {
            self.reachability(target, now)
                .is_some_and(|(reachability, _)| reachability == Reachability::Reachable)
        })
    }

    /// Whether this process finds any target unreachable.
    pub(crate) fn has_losses(&self, now: Millis) -> bool {
        self.targets().iter().any(|target| {
            self.reachability(target, now)
                .is_some_and(|(reachability, _)| reachability == Reachability::Unreachable)
        })
    }

    /// Reachability of the servers of this site.
    pub(crate) fn local_servers_reachability(&self, now: Millis) -> Option<Reachability> {
        self.local_servers
            .reachability(now, self.fresh_ms, MIN_SERVER_FAILURES)
            .map(|(reachability, _)| reachability)
    }

    /// Log odds of a lost uplink, by the evidence of this process or of the whole site.
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
