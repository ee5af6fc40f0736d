//! Limits for the whole fleet, and each process's share of them.

use std::collections::BTreeMap;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;

use crate::Millis;

/// Paces migrations after an isolation to this process's share of the fleet's rate.
///
/// The first migration comes after a random part of the interval between two. Otherwise all
/// processes would make their first one at the same time, or none at all where the share is small.
#[derive(Clone, Debug)]
pub struct MigrationPacer {
    rate_per_s: f64,
    credit: f64,
    updated_at: Millis,
}

impl MigrationPacer {
    /// Splits `rate_per_s` between `processes`.
    pub fn new(rate_per_s: f64, processes: u32, seed: u64, now: Millis) -> MigrationPacer {
        let credit = Pcg32::seed_from_u64(seed).random_range(0.0..1.0);
        MigrationPacer {
            rate_per_s: rate_per_s / f64::from(processes.max(1)),
            credit,
            updated_at: now,
        }
    }

    /// Returns how many of the `available` migrations may start now. At most one unused migration
    /// is carried over.
    pub fn permitted(&mut self, now: Millis, available: usize) -> usize {
        let elapsed_ms = now.saturating_sub(self.updated_at);
        self.updated_at = self.updated_at.max(now);
        // A process that was paused does not accumulate migrations.
        let earned = elapsed_ms.min(1_000) as f64 / 1_000.0 * self.rate_per_s;
        self.credit = self.credit.min(1.0) + earned;
        let permitted = (self.credit as usize).min(available);
        self.credit -= permitted as f64;
        permitted
    }
}

/// Part of the fleet's clients that this process may send to servers in slow start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlowStartQuota {
    /// Numerator of the fraction.
    pub numerator: u32,
    /// Denominator of the fraction.
    pub denominator: u32,
}

impl SlowStartQuota {
    /// The part of a limit, such as clients per second, that this process may use.
    pub fn of_limit(&self, limit: f64) -> f64 {
        limit * f64::from(self.numerator) / f64::from(self.denominator.max(1))
    }
}

/// Number of processes at each site, counting those that are reachable in both directions.
///
/// Two sites that don't hear each other may both count a server in slow start as theirs. A silent
/// site is therefore counted for as long as it may be isolated and for a slow start after that. A
/// site's own share is the one it had when all sites were heard: new processes share it, and it
/// grows only after all sites have been heard for that time. The shares of all sites add up to one
/// at most, however they are partitioned.
#[derive(Clone, Debug)]
pub struct ProcessCounts {
    site: String,
    sites: BTreeMap<String, SiteCount>,
    max_isolation_ms: Millis,
    slow_start_ms: Millis,
    /// Number of processes of this site when all sites were last heard for long enough.
    agreed_count: u32,
    /// When this site began to have a higher number, with all sites heard.
    differs_since: Option<Millis>,
}

#[derive(Clone, Copy, Debug)]
struct SiteCount {
    /// Number of processes heard now.
    current: u32,
    /// Recent maximum, and when the number fell below it.
    recent_max: u32,
    below_max_since: Option<Millis>,
}

impl ProcessCounts {
    /// Counts for a site with `processes` processes. A silent site is counted for
    /// `max_isolation_ms` and a slow start; a server is in slow start for `slow_start_ms`.
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

    /// Records how many processes of a site are heard; 0 if it is silent.
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

    /// Applies the passage of time.
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
        // This site's agreed number must not exceed what other sites still count for it.
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

    /// Number of processes in the fleet, including all that may still be running.
    pub fn fleet_size(&self) -> u32 {
        let others = self.sites.iter().filter(|(site, _)| **site != self.site);
        others.map(|(_, count)| count.recent_max).sum::<u32>() + self.agreed_count
    }

    /// This process's share of the fleet's budget for servers in slow start: the site's share
    /// divided by its processes.
    pub fn slow_start_quota(&self) -> SlowStartQuota {
        SlowStartQuota {
            numerator: self.agreed_count.min(self.own_count()),
            denominator: self.fleet_size().saturating_mul(self.own_count()),
        }
    }
}
