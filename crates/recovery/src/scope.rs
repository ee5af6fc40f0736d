//! Estimation of the extent of an outage from the restarts of peers and servers.

use std::collections::BTreeMap;

use crate::{EvidenceSource, Nanos, OutageScope, PeerStatus, RecoveryConfig, SECOND};

/// Processes that started within this span count as started together.
pub(crate) const SIMULTANEOUS_START_WINDOW: Nanos = 30 * SECOND;
/// Limit on the peers that count for one kind of evidence.
const MAX_PEERS_COUNTED: usize = 8;
/// Likelihood that an extent must reach; below it the extent is unknown.
const MIN_LIKELIHOOD: f64 = 0.6;
/// Fraction of the servers in slow start at or above which they are evidence of a restart.
const MOSTLY_WARMING_FRACTION: f64 = 0.8;
/// Fraction of the servers in slow start at or below which they are evidence against a restart.
const MOSTLY_WARM_FRACTION: f64 = 0.2;

/// A peer's latest report.
#[derive(Clone, Copy)]
struct PeerReport {
    incarnation: u64,
    uptime: Nanos,
    received_at: Nanos,
    is_own_site: bool,
    /// Whether the peer was known before under a lower incarnation number.
    has_restarted: bool,
}

/// The collected evidence of the extent of the outage.
#[derive(Default)]
pub(crate) struct ScopeEvidence {
    peers: BTreeMap<String, PeerReport>,
    /// Whether the own site's peers, and the other sites' peers, failed to answer a query.
    silent: [bool; 2],
}

/// The most likely extent of the outage and the evidence for it.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ScopeFinding {
    pub(crate) scope: OutageScope,
    pub(crate) likelihood: f64,
    pub(crate) evidence: Vec<String>,
}

impl ScopeEvidence {
    /// Records a peer's report; returns whether the peer has restarted.
    pub(crate) fn record_peer(&mut self, now: Nanos, own_site: &str, status: &PeerStatus) -> bool {
        let previous = self.peers.get(&status.name);
        if previous.is_some_and(|previous| status.incarnation < previous.incarnation) {
            // A delayed report of a previous incarnation.
            return false;
        }
        let is_new_incarnation =
            previous.is_some_and(|previous| status.incarnation > previous.incarnation);
        let has_restarted =
            is_new_incarnation || previous.is_some_and(|previous| previous.has_restarted);
        let is_own_site = status.site == own_site;
        let report = PeerReport {
            incarnation: status.incarnation,
            uptime: status.uptime,
            received_at: now,
            is_own_site,
            has_restarted,
        };
        self.peers.insert(status.name.clone(), report);
        is_new_incarnation
    }

    pub(crate) fn record_silence(&mut self, source: EvidenceSource) {
        match source {
            EvidenceSource::SitePeers => self.silent[0] = true,
            EvidenceSource::OtherSites => self.silent[1] = true,
            EvidenceSource::Discovery | EvidenceSource::Store => {}
        }
    }

    /// Number of peers of the own site.
    pub(crate) fn site_peers(&self) -> usize {
        self.peers.values().filter(|peer| peer.is_own_site).count()
    }

    /// Counts the peers of the own site or of the other sites that kept running, and those that
    /// started together with this process. A peer that was seen restarting counts as the latter.
    fn count_peers(&self, now: Nanos, uptime: Nanos, own_site: bool) -> (usize, usize) {
        let peers = self
            .peers
            .values()
            .filter(|peer| peer.is_own_site == own_site);
        peers.fold((0, 0), |(kept_running, started_together), peer| {
            let peer_uptime = peer
                .uptime
                .saturating_add(now.saturating_sub(peer.received_at));
            let has_started_together = peer.has_restarted
                || peer_uptime <= uptime.saturating_add(SIMULTANEOUS_START_WINDOW);
            (
                kept_running + usize::from(!has_started_together),
                started_together + usize::from(has_started_together),
            )
        })
    }

    /// Assesses the evidence. `warming` is the fraction of the servers' weight in slow start.
    pub(crate) fn assess(
        &self,
        now: Nanos,
        uptime: Nanos,
        config: &RecoveryConfig,
        warming: Option<f64>,
    ) -> ScopeFinding {
        let mut scores = ScopeScores::default();
        self.score_peers(now, uptime, &mut scores);
        self.score_silence(config, &mut scores);
        if let Some(warming) = warming {
            score_servers(warming, &mut scores);
        }
        scores.finding(!config.other_sites.is_empty())
    }

    fn score_peers(&self, now: Nanos, uptime: Nanos, scores: &mut ScopeScores) {
        let (kept_running, started_together) = self.count_peers(now, uptime, true);
        scores.add(
            kept_running,
            [3.0, -3.0, -3.0],
            format!("peers of this site that kept running: {kept_running}"),
        );
        scores.add(
            started_together,
            [-2.0, 1.0, 1.0],
            format!(
                "peers of this site that started together with this process: {started_together}"
            ),
        );
        let (kept_running, started_together) = self.count_peers(now, uptime, false);
        scores.add(
            kept_running,
            [0.5, 1.5, -3.0],
            format!("peers of other sites that kept running: {kept_running}"),
        );
        scores.add(
            started_together,
            [-2.0, -2.0, 2.0],
            format!(
                "peers of other sites that started together with this process: {started_together}"
            ),
        );
    }

    fn score_silence(&self, config: &RecoveryConfig, scores: &mut ScopeScores) {
        let [site, others] = self.silent;
        let is_site_silent = site && config.site_peers > 0 && self.site_peers() == 0;
        scores.add(
            usize::from(is_site_silent),
            [-1.0, 0.5, 0.5],
            "no peer of this site answered".into(),
        );
        let are_others_silent =
            others && !config.other_sites.is_empty() && self.site_peers() == self.peers.len();
        scores.add(
            usize::from(are_others_silent),
            [0.0, 0.0, 0.5],
            "no peer of another site answered".into(),
        );
    }
}

fn score_servers(warming: f64, scores: &mut ScopeScores) {
    let percent = (warming * 100.0).round();
    scores.add(
        usize::from(warming >= MOSTLY_WARMING_FRACTION),
        [-2.0, 0.5, 2.0],
        format!("{percent}% of the server weight is in slow start"),
    );
    scores.add(
        usize::from(warming <= MOSTLY_WARM_FRACTION),
        [1.5, 0.5, -1.5],
        format!("{percent}% of the server weight is in slow start"),
    );
}

/// Unnormalized log-likelihoods of an outage of this process alone, of the site and of the fleet,
/// and the evidence for them.
#[derive(Default)]
struct ScopeScores {
    log_odds: [f64; 3],
    evidence: Vec<String>,
}

impl ScopeScores {
    /// Adds evidence that was observed `count` times.
    fn add(&mut self, count: usize, weights: [f64; 3], text: String) {
        if count == 0 {
            return;
        }
        let count = count.min(MAX_PEERS_COUNTED) as f64;
        for (sum, weight) in self.log_odds.iter_mut().zip(weights) {
            *sum += count * weight;
        }
        self.evidence.push(text);
    }

    fn finding(self, has_other_sites: bool) -> ScopeFinding {
        if self.evidence.is_empty() {
            return ScopeFinding {
                scope: OutageScope::Unknown,
                likelihood: 1.0 / 3.0,
                evidence: self.evidence,
            };
        }
        let scopes = [
            (OutageScope::Process, true),
            (OutageScope::Site, has_other_sites),
            (OutageScope::Fleet, true),
        ];
        let weight = |at: usize| {
            if scopes[at].1 {
                f64::exp(self.log_odds[at])
            } else {
                0.0
            }
        };
        let sum: f64 = (0..3).map(weight).sum();
        let best = (0..3)
            .max_by(|one, other| weight(*one).total_cmp(&weight(*other)))
            .unwrap_or(2);
        let likelihood = weight(best) / sum;
        let scope = if likelihood >= MIN_LIKELIHOOD {
            scopes[best].0
        } else {
            OutageScope::Unknown
        };
        ScopeFinding {
            scope,
            likelihood,
            evidence: self.evidence,
        }
    }
}
