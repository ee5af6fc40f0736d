//! What is bounded over all processes, and each one's part of it.

use std::collections::BTreeMap;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;

use crate::Millis;

/// Moves after an island, at this process's part of the rate.
///
/// What is a fraction of a move counts as odds: it begins with a random part of one. Guards against all processes
/// making their first move in one moment, and against none where the part is small.
#[derive(Clone, Debug)]
pub struct Pace {
    per_s: f64,
    credit: f64,
    at: Millis,
}

impl Pace {
    /// So many a second, by so many processes together.
    pub fn new(per_s: f64, processes: u32, seed: u64, now: Millis) -> Pace {
        let credit = Pcg32::seed_from_u64(seed).random_range(0.0..1.0);
        Pace {
            per_s: per_s / f64::from(processes.max(1)),
            credit,
            at: now,
        }
    }

    /// How many are due, of so many that there are. What was not used lapses beyond one.
    pub fn permitted(&mut self, now: Millis, there: usize) -> usize {
        let passed = now.saturating_sub(self.at);
        self.at = self.at.max(now);
        // A process that was stopped for a while has not saved its moves up.
        let earned = passed.min(1_000) as f64 / 1_000.0 * self.per_s;
        self.credit = self.credit.min(1.0) + earned;
        let due = (self.credit as usize).min(there);
        self.credit -= due as f64;
        due
    }
}

/// A part of what cold servers may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlowStartQuota {
    /// So many parts
    pub of: u32,
    /// of so many.
    pub all: u32,
}

impl SlowStartQuota {
    /// The part of a budget.
    pub fn share(&self, budget: f64) -> f64 {
        budget * f64::from(self.of) / f64::from(self.all.max(1))
    }
}

/// How many processes each site has, as heard both ways.
///
/// Two sites that do not hear each other may both think a cold server theirs. So a silent site is counted for as long
/// as it may be an island and for the time that a server stays cold after, and a site's own part is what it had when
/// all were heard: newcomers share it, and it grows only after all have been heard for that time. The parts of all
/// sites come to one at most, however they are cut apart.
#[derive(Clone, Debug)]
pub struct Counts {
    site: String,
    sites: BTreeMap<String, SiteReport>,
    apart_ms: Millis,
    slow_start_ms: Millis,
    /// What this site had when all were heard for long enough.
    agreed: u32,
    /// Since when it has had another number, with all heard.
    differs: Option<Millis>,
}

#[derive(Clone, Copy, Debug)]
struct SiteReport {
    /// How many are heard now.
    now: u32,
    /// The most lately, and since when there are fewer.
    most: u32,
    fewer: Option<Millis>,
}

impl Counts {
    /// Counts for a site of so many processes; one that is silent is counted for the first span, and a server is cold
    /// for the second.
    pub fn new(site: &str, processes: u32, apart_ms: Millis, slow_start_ms: Millis) -> Counts {
        let processes = processes.max(1);
        let own = SiteReport {
            now: processes,
            most: processes,
            fewer: None,
        };
        let sites = BTreeMap::from([(site.to_owned(), own)]);
        Counts {
            site: site.to_owned(),
            sites,
            apart_ms,
            slow_start_ms,
            agreed: processes,
            differs: None,
        }
    }

    /// So many processes of a site are heard, 0 where it is silent.
    pub fn site_reported(&mut self, now: Millis, site: &str, processes: u32) {
        let known = self.sites.entry(site.to_owned()).or_insert(SiteReport {
            now: 0,
            most: 0,
            fewer: None,
        });
        known.now = processes;
        if processes >= known.most {
            (known.most, known.fewer) = (processes, None);
        }
        self.settle(now);
    }

    /// Time has passed.
    pub fn settle(&mut self, now: Millis) {
        for known in self
            .sites
            .values_mut()
            .filter(|known| known.now < known.most)
        {
            let since = *known.fewer.get_or_insert(now);
            let holds = if known.now == 0 {
                self.apart_ms + self.slow_start_ms
            } else {
                self.slow_start_ms
            };
            if now.saturating_sub(since) >= holds {
                (known.most, known.fewer) = (known.now, None);
            }
        }
        // What the others do not count any more is not this site's either.
        let most = self.sites.get(&self.site).map_or(1, |own| own.most.max(1));
        self.agreed = self.agreed.min(most);
        let all_heard = self.sites.values().all(|known| known.now >= known.most);
        let own = self.own();
        if own <= self.agreed || !all_heard {
            self.differs = None;
            return;
        }
        let since = *self.differs.get_or_insert(now);
        if now.saturating_sub(since) >= self.slow_start_ms {
            (self.agreed, self.differs) = (own, None);
        }
    }

    fn own(&self) -> u32 {
        self.sites.get(&self.site).map_or(1, |own| own.now.max(1))
    }

    /// How many processes the whole fleet has: none is left out that may be there.
    pub fn fleet(&self) -> u32 {
        let others = self.sites.iter().filter(|(site, _)| **site != self.site);
        others.map(|(_, known)| known.most).sum::<u32>() + self.agreed
    }

    /// This process's part of what cold servers may be sent by the fleet: the site's part, divided by its processes.
    pub fn slow_start_quota(&self) -> SlowStartQuota {
        SlowStartQuota {
            of: self.agreed.min(self.own()),
            all: self.fleet().saturating_mul(self.own()),
        }
    }
}
