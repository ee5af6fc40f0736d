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
pub struct MigrationPacer {
    rate_per_s: f64,
    credit: f64,
    updated_at: Millis,
}

impl MigrationPacer {
    /// So many a second, by so many processes together.
    pub fn new(rate_per_s: f64, processes: u32, seed: u64, now: Millis) -> MigrationPacer {
        let credit = Pcg32::seed_from_u64(seed).random_range(0.0..1.0);
        MigrationPacer {
            rate_per_s: rate_per_s / f64::from(processes.max(1)),
            credit,
            updated_at: now,
        }
    }

    /// How many are due, of so many that there are. What was not used lapses beyond one.
    pub fn permitted(&mut self, now: Millis, available: usize) -> usize {
        let elapsed_ms = now.saturating_sub(self.updated_at);
        self.updated_at = self.updated_at.max(now);
        // A process that was stopped for a while has not saved its moves up.
        let earned = elapsed_ms.min(1_000) as f64 / 1_000.0 * self.rate_per_s;
        self.credit = self.credit.min(1.0) + earned;
        let permitted = (self.credit as usize).min(available);
        self.credit -= permitted as f64;
        permitted
    }
}

/// A part of what cold servers may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlowStartQuota {
    /// So many parts
    pub numerator: u32,
    /// of so many.
    pub denominator: u32,
}

impl SlowStartQuota {
    /// The part of a budget.
    pub fn share(&self, budget: f64) -> f64 {
        budget * f64::from(self.numerator) / f64::from(self.denominator.max(1))
    }
}

/// How many processes each site has, as heard both ways.
///
/// Two sites that do not hear each other may both think a cold server theirs. So a silent site is counted for as long
/// as it may be an island and for the time that a server stays cold after, and a site's own part is what it had when
/// all were heard: newcomers share it, and it grows only after all have been heard for that time. The parts of all
/// sites come to one at most, however they are cut apart.
#[derive(Clone, Debug)]
pub struct ProcessCounts {
    site: String,
    sites: BTreeMap<String, SiteCount>,
    max_isolation_ms: Millis,
    slow_start_ms: Millis,
    /// What this site had when all were heard for long enough.
    agreed_count: u32,
    /// Since when it has had another number, with all heard.
    differs_since: Option<Millis>,
}

#[derive(Clone, Copy, Debug)]
struct SiteCount {
    /// How many are heard now.
    current: u32,
    /// The most lately, and since when there are fewer.
    recent_max: u32,
    below_max_since: Option<Millis>,
}

impl ProcessCounts {
    /// Counts for a site of so many processes; one that is silent is counted for the first span, and a server is cold
    /// for the second.
    pub fn new(
        site: &str,
        processes: u32,
        max_isolation_ms: Millis,
        slow_start_ms: Millis,
    ) -> ProcessCounts {
        let processes = processes.max(1);
        let own = SiteCount {
            current: processes,
            recent_max: processes,
            below_max_since: None,
        };
        let sites = BTreeMap::from([(site.to_owned(), own)]);
        ProcessCounts {
            site: site.to_owned(),
            sites,
            max_isolation_ms,
            slow_start_ms,
            agreed_count: processes,
            differs_since: None,
        }
    }

    /// So many processes of a site are heard, 0 where it is silent.
    pub fn record_site(&mut self, now: Millis, site: &str, processes: u32) {
        let count = self.sites.entry(site.to_owned()).or_insert(SiteCount {
            current: 0,
            recent_max: 0,
            below_max_since: None,
        });
        count.current = processes;
        if processes >= count.recent_max {
            (count.recent_max, count.below_max_since) = (processes, None);
        }
        self.update(now);
    }

    /// Time has passed.
    pub fn update(&mut self, now: Millis) {
        for count in self
            .sites
            .values_mut()
            .filter(|count| count.current < count.recent_max)
        {
            let since = *count.below_max_since.get_or_insert(now);
            let retention_ms = if count.current == 0 {
                self.max_isolation_ms + self.slow_start_ms
            } else {
                self.slow_start_ms
            };
            if now.saturating_sub(since) >= retention_ms {
                (count.recent_max, count.below_max_since) = (count.current, None);
            }
        }
        // What the others do not count any more is not this site's either.
        let recent_max = self
            .sites
            .get(&self.site)
            .map_or(1, |own| own.recent_max.max(1));
        self.agreed_count = self.agreed_count.min(recent_max);
        let all_present = self
            .sites
            .values()
            .all(|count| count.current >= count.recent_max);
        let own = self.own_count();
        if own <= self.agreed_count || !all_present {
            self.differs_since = None;
            return;
        }
        let since = *self.differs_since.get_or_insert(now);
        if now.saturating_sub(since) >= self.slow_start_ms {
            (self.agreed_count, self.differs_since) = (own, None);
        }
    }

    fn own_count(&self) -> u32 {
        self.sites
            .get(&self.site)
            .map_or(1, |own| own.current.max(1))
    }

    /// How many processes the whole fleet has: none is left out that may be there.
    pub fn fleet_size(&self) -> u32 {
        let others = self.sites.iter().filter(|(site, _)| **site != self.site);
        others.map(|(_, count)| count.recent_max).sum::<u32>() + self.agreed_count
    }

    /// This process's part of what cold servers may be sent by the fleet: the site's part, divided by its processes.
    pub fn slow_start_quota(&self) -> SlowStartQuota {
        SlowStartQuota {
            numerator: self.agreed_count.min(self.own_count()),
            denominator: self.fleet_size().saturating_mul(self.own_count()),
        }
    }
}
