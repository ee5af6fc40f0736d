//! Alone, the site or the whole fleet: told apart by peers' boots and servers' starts.

use std::collections::BTreeMap;

use crate::{Config, Nanos, PeerWord, SECOND, Scope, Whom};

/// Processes that started within so long of each other started together.
pub(crate) const TOGETHER: Nanos = 30 * SECOND;
/// Most that one kind of evidence counts, in words.
const MOST_WORDS: usize = 8;
/// Less likely than this is not known.
const LIKELY: f64 = 0.6;
/// Shares of the farm that are cold from which it says something.
const MOSTLY_COLD: f64 = 0.8;
const MOSTLY_WARM: f64 = 0.2;

/// A peer as last heard.
#[derive(Clone, Copy)]
struct Heard {
    boot: u64,
    up_for: Nanos,
    at: Nanos,
    own_site: bool,
    /// It was heard before under a smaller boot number.
    began_anew: bool,
}

/// Who was heard, and who was silent.
#[derive(Default)]
pub(crate) struct Evidence {
    peers: BTreeMap<String, Heard>,
    silent: [bool; 2],
}

/// What came of it.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Finding {
    pub(crate) scope: Scope,
    pub(crate) likelihood: f64,
    pub(crate) evidence: Vec<String>,
}

impl Evidence {
    /// Takes in a word; says whether the peer has begun anew since it was last heard.
    pub(crate) fn heard(&mut self, now: Nanos, own_site: &str, word: &PeerWord) -> bool {
        let before = self.peers.get(&word.name);
        if before.is_some_and(|before| word.boot < before.boot) {
            // A late word of a former life.
            return false;
        }
        let is_new_boot = before.is_some_and(|before| word.boot > before.boot);
        let began_anew = is_new_boot || before.is_some_and(|before| before.began_anew);
        let own_site = word.site == own_site;
        let heard = Heard {
            boot: word.boot,
            up_for: word.up_for,
            at: now,
            own_site,
            began_anew,
        };
        self.peers.insert(word.name.clone(), heard);
        is_new_boot
    }

    pub(crate) fn silent(&mut self, whom: Whom) {
        match whom {
            Whom::SitePeers => self.silent[0] = true,
            Whom::OtherSites => self.silent[1] = true,
            Whom::Discovery | Whom::Store => {}
        }
    }

    /// Peers of the own site that were heard.
    pub(crate) fn in_site(&self) -> usize {
        self.peers.values().filter(|peer| peer.own_site).count()
    }

    /// Peers that ran on, and that started together with this process, among those of the own site or of the others.
    /// One that ran before is no peer that ran on, even if its word came before its end.
    fn counts(&self, now: Nanos, up_for: Nanos, own_site: bool) -> (usize, usize) {
        let of_kind = self.peers.values().filter(|peer| peer.own_site == own_site);
        of_kind.fold((0, 0), |(ran_on, together), peer| {
            let since = peer.up_for.saturating_add(now.saturating_sub(peer.at));
            let is_together = peer.began_anew || since <= up_for.saturating_add(TOGETHER);
            (
                ran_on + usize::from(!is_together),
                together + usize::from(is_together),
            )
        })
    }

    /// Weighs all of it. `cold` is the part of the farm that is cold or has started since it was last known.
    pub(crate) fn weigh(
        &self,
        now: Nanos,
        up_for: Nanos,
        config: &Config,
        cold: Option<f64>,
    ) -> Finding {
        // How much each speaks for alone, site and fleet.
        let mut score = [0.0, 0.0, 0.0];
        let mut evidence = Vec::new();
        let mut add = |times: usize, weights: [f64; 3], what: String| {
            if times > 0 {
                let times = times.min(MOST_WORDS) as f64;
                score
                    .iter_mut()
                    .zip(weights)
                    .for_each(|(sum, weight)| *sum += times * weight);
                evidence.push(what);
            }
        };
        let (ran_on, together) = self.counts(now, up_for, true);
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
        let (ran_on, together) = self.counts(now, up_for, false);
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
        let silent_site = site && config.site_peers > 0 && self.in_site() == 0;
        add(
            usize::from(silent_site),
            [-1.0, 0.5, 0.5],
            "nobody of the site answers".into(),
        );
        let silent_others =
            others && !config.other_sites.is_empty() && self.in_site() == self.peers.len();
        add(
            usize::from(silent_others),
            [0.0, 0.0, 0.5],
            "nobody of other sites answers".into(),
        );
        if let Some(cold) = cold {
            let percent = (cold * 100.0).round();
            add(
                usize::from(cold >= MOSTLY_COLD),
                [-2.0, 0.5, 2.0],
                format!("{percent}% of the farm is cold"),
            );
            add(
                usize::from(cold <= MOSTLY_WARM),
                [1.5, 0.5, -1.5],
                format!("{percent}% of the farm is cold"),
            );
        }
        if evidence.is_empty() {
            return Finding {
                scope: Scope::Unknown,
                likelihood: 1.0 / 3.0,
                evidence,
            };
        }
        let has_sites = !config.other_sites.is_empty();
        let kinds = [
            (Scope::Alone, true),
            (Scope::Site, has_sites),
            (Scope::Fleet, true),
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
        let scope = if likelihood >= LIKELY {
            kinds[best].0
        } else {
            Scope::Unknown
        };
        Finding {
            scope,
            likelihood,
            evidence,
        }
    }
}
