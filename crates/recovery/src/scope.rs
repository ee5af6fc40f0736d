//! The extent of an outage, from peers' restarts and servers' starts.

use std::collections::BTreeMap;

use crate::{EvidenceSource, Nanos, OutageScope, PeerStatus, RecoveryConfig, SECOND};

/// Processes that started within this span started together.
pub(crate) const SIMULTANEOUS_START: Nanos = 30 * SECOND;
/// Most peers that one kind of evidence counts.
const MAX_PEERS_COUNTED: usize = 8;
/// Least likelihood of a decision.
const MIN_LIKELIHOOD: f64 = 0.6;
/// Fractions of the servers in slow start from which they count as evidence.
const MOSTLY_WARMING_FRACTION: f64 = 0.8;
const MOSTLY_WARM_FRACTION: f64 = 0.2;

/// A peer's latest report.
#[derive(Clone, Copy)]
struct PeerReport {
    incarnation: u64,
    uptime: Nanos,
    received_at: Nanos,
    is_own_site: bool,
    /// Whether it was known before under a lower incarnation number.
    has_restarted: bool,
}

/// The evidence.
#[derive(Default)]
pub(crate) struct ScopeEvidence {
    peers: BTreeMap<String, PeerReport>,
    silent: [bool; 2],
}

/// The finding.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ScopeFinding {
    pub(crate) scope: OutageScope,
    pub(crate) likelihood: f64,
    pub(crate) evidence: Vec<String>,
}

impl ScopeEvidence {
    /// Records a peer's report; returns whether the peer has restarted.
    pub(crate) fn record_peer(&mut self, now: Nanos, own_site: &str, status: &PeerStatus) -> bool {
        let before = self.peers.get(&status.name);
        if before.is_some_and(|before| status.incarnation < before.incarnation) {
            // A late report of a former incarnation.
            return false;
        }
        let is_new_incarnation =
            before.is_some_and(|before| status.incarnation > before.incarnation);
        let has_restarted = is_new_incarnation || before.is_some_and(|before| before.has_restarted);
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

    /// Peers that kept running, and peers that started together with this process, of the own site
    /// or of the others. One that has restarted since did not keep running.
    fn count_peers(&self, now: Nanos, up_for: Nanos, own_site: bool) -> (usize, usize) {
        let of_kind = self
            .peers
            .values()
            .filter(|peer| peer.is_own_site == own_site);
        of_kind.fold((0, 0), |(ran_on, together), peer| {
            let since = peer
                .uptime
                .saturating_add(now.saturating_sub(peer.received_at));
            let is_together =
                peer.has_restarted || since <= up_for.saturating_add(SIMULTANEOUS_START);
            (
                ran_on + usize::from(!is_together),
                together + usize::from(is_together),
            )
        })
    }

    /// Assesses the evidence. `warming` is the fraction of the servers in slow start.
    pub(crate) fn assess(
        &self,
        now: Nanos,
        up_for: Nanos,
        config: &RecoveryConfig,
        warming: Option<f64>,
    ) -> ScopeFinding {
        let mut scores = ScopeScores::default();
        self.score_peers(now, up_for, &mut scores);
        self.score_silence(config, &mut scores);
        if let Some(warming) = warming {
            score_servers(warming, &mut scores);
        }
        scores.finding(!config.other_sites.is_empty())
    }

    fn score_peers(&self, now: Nanos, up_for: Nanos, scores: &mut ScopeScores) {
        let (ran_on, together) = self.count_peers(now, up_for, true);
        scores.add(
            ran_on,
            [3.0, -3.0, -3.0],
            format!("{ran_on} of the site ran on"),
        );
        scores.add(
            together,
            [-2.0, 1.0, 1.0],
            format!("{together} of the site started together with this one"),
        );
        let (ran_on, together) = self.count_peers(now, up_for, false);
        scores.add(
            ran_on,
            [0.5, 1.5, -3.0],
            format!("{ran_on} of other sites ran on"),
        );
        scores.add(
            together,
            [-2.0, -2.0, 2.0],
            format!("{together} of other sites started together with this one"),
        );
    }

    fn score_silence(&self, config: &RecoveryConfig, scores: &mut ScopeScores) {
        let [site, others] = self.silent;
        let silent_site = site && config.site_peers > 0 && self.site_peers() == 0;
        scores.add(
            usize::from(silent_site),
            [-1.0, 0.5, 0.5],
            "nobody of the site answers".into(),
        );
        let silent_others =
            others && !config.other_sites.is_empty() && self.site_peers() == self.peers.len();
        scores.add(
            usize::from(silent_others),
            [0.0, 0.0, 0.5],
            "nobody of other sites answers".into(),
        );
    }
}

fn score_servers(warming: f64, scores: &mut ScopeScores) {
    let percent = (warming * 100.0).round();
    scores.add(
        usize::from(warming >= MOSTLY_WARMING_FRACTION),
        [-2.0, 0.5, 2.0],
        format!("{percent}% of the farm is cold"),
    );
    scores.add(
        usize::from(warming <= MOSTLY_WARM_FRACTION),
        [1.5, 0.5, -1.5],
        format!("{percent}% of the farm is cold"),
    );
}

/// Log odds of an outage of the process alone, the site and the fleet, and the evidence for them.
#[derive(Default)]
struct ScopeScores {
    log_odds: [f64; 3],
    evidence: Vec<String>,
}

impl ScopeScores {
    /// Adds evidence that was seen `times` times.
    fn add(&mut self, times: usize, weights: [f64; 3], text: String) {
        if times == 0 {
            return;
        }
        let times = times.min(MAX_PEERS_COUNTED) as f64;
        for (sum, weight) in self.log_odds.iter_mut().zip(weights) {
            *sum += times * weight;
        }
        self.evidence.push(text);
    }

    fn finding(self, has_sites: bool) -> ScopeFinding {
        if self.evidence.is_empty() {
            return ScopeFinding {
                scope: OutageScope::Unknown,
                likelihood: 1.0 / 3.0,
                evidence: self.evidence,
            };
        }
        let scopes = [
            (OutageScope::Process, true),
            (OutageScope::Site, has_sites),
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
