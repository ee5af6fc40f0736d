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
    pub(crate) fn record_peer(&mut self, now: Nanos, own_site: &str, word: &PeerStatus) -> bool {
        let before = self.peers.get(&word.name);
        if before.is_some_and(|before| word.incarnation < before.incarnation) {
            // A late report of a former incarnation.
            return false;
        }
        let is_new_boot = before.is_some_and(|before| word.incarnation > before.incarnation);
        let has_restarted = is_new_boot || before.is_some_and(|before| before.has_restarted);
        let is_own_site = word.site == own_site;
        let heard = PeerReport {
            incarnation: word.incarnation,
            uptime: word.uptime,
            received_at: now,
            is_own_site,
            has_restarted,
        };
        self.peers.insert(word.name.clone(), heard);
        is_new_boot
    }

    pub(crate) fn record_silence(&mut self, whom: EvidenceSource) {
        match whom {
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

    /// Assesses the evidence. `cold` is the fraction of the servers in slow start.
    pub(crate) fn assess(
        &self,
        now: Nanos,
        up_for: Nanos,
        config: &RecoveryConfig,
        cold: Option<f64>,
    ) -> ScopeFinding {
        // Scores for the process alone, the site and the fleet.
        let mut score = [0.0, 0.0, 0.0];
        let mut evidence = Vec::new();
        let mut add = |times: usize, weights: [f64; 3], what: String| {
            if times > 0 {
                let times = times.min(MAX_PEERS_COUNTED) as f64;
                score
                    .iter_mut()
                    .zip(weights)
                    .for_each(|(sum, weight)| *sum += times * weight);
                evidence.push(what);
            }
        };
        let (ran_on, together) = self.count_peers(now, up_for, true);
        add(
            ran_on,
            [3.0, -3.0, -3.0],
            format!("{ran_on} of the site ran on"),
        );
        add(
            together,
            [-2.0, 1.0, 1.0],
            format!("{together} of the site started together with this one"),
        );
        let (ran_on, together) = self.count_peers(now, up_for, false);
        add(
            ran_on,
            [0.5, 1.5, -3.0],
            format!("{ran_on} of other sites ran on"),
        );
        add(
            together,
            [-2.0, -2.0, 2.0],
            format!("{together} of other sites started together with this one"),
        );
        let [site, others] = self.silent;
        let silent_site = site && config.site_peers > 0 && self.site_peers() == 0;
        add(
            usize::from(silent_site),
            [-1.0, 0.5, 0.5],
            "nobody of the site answers".into(),
        );
        let silent_others =
            others && !config.other_sites.is_empty() && self.site_peers() == self.peers.len();
        add(
            usize::from(silent_others),
            [0.0, 0.0, 0.5],
            "nobody of other sites answers".into(),
        );
        if let Some(cold) = cold {
            let percent = (cold * 100.0).round();
            add(
                usize::from(cold >= MOSTLY_WARMING_FRACTION),
                [-2.0, 0.5, 2.0],
                format!("{percent}% of the farm is cold"),
            );
            add(
                usize::from(cold <= MOSTLY_WARM_FRACTION),
                [1.5, 0.5, -1.5],
                format!("{percent}% of the farm is cold"),
            );
        }
        if evidence.is_empty() {
            return ScopeFinding {
                scope: OutageScope::Unknown,
                likelihood: 1.0 / 3.0,
                evidence,
            };
        }
        let has_sites = !config.other_sites.is_empty();
        let kinds = [
            (OutageScope::Process, true),
            (OutageScope::Site, has_sites),
            (OutageScope::Fleet, true),
        ];
        let weight = |at: usize| {
            if kinds[at].1 {
                f64::exp(score[at])
            } else {
                0.0
            }
        };
        let all: f64 = (0..3).map(weight).sum();
        let best = (0..3)
            .max_by(|one, other| weight(*one).total_cmp(&weight(*other)))
            .unwrap_or(2);
        let likelihood = weight(best) / all;
        let scope = if likelihood >= MIN_LIKELIHOOD {
            kinds[best].0
        } else {
            OutageScope::Unknown
        };
        ScopeFinding {
            scope,
            likelihood,
            evidence,
        }
    }
}
