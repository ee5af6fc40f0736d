//! Statistics of each account: request counts, waiting times, and whether it exceeds its share.

use hdrhistogram::Histogram;
use rustc_hash::FxHashMap;

use crate::Nanos;

/// Time constant of the decaying rates, in seconds.
const RATE_TIME_CONSTANT_S: f64 = 2.0;
/// Multiple of the entitled fraction above which an account exceeds its share.
const EXCESS_FACTOR: f64 = 1.1;
/// Longest waiting time recorded, in milliseconds; longer ones count as this.
const MAX_WAIT_MS: u64 = 600_000;
/// Most accounts with statistics. A new account replaces the one whose last request is the oldest.
const MAX_ACCOUNTS: usize = 4_096;

/// Counts of an account's requests by outcome, since its statistics were created.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests received.
    pub requests: u64,
    /// Requests that were admitted to their first attempt.
    pub admitted: u64,
    /// Admitted requests beyond the account's share, with permits that others did not use.
    pub borrowed: u64,
    /// Requests rejected because the queue was full.
    pub rejected: u64,
    /// Requests that expired in the queue.
    pub timed_out: u64,
    /// Requests whose client disconnected while queued.
    pub client_left: u64,
}

/// Counts, waiting times and rate of one account.
#[derive(Clone, Debug)]
pub struct AccountStatistics {
    /// Name of the account.
    pub name: Box<str>,
    /// Weight of the account at its last request.
    pub share: f64,
    /// Counts of requests by outcome.
    pub counts: Counts,
    /// Time from request to first attempt, in milliseconds from 1 to 600,000.
    pub wait_ms: Histogram<u32>,
    rate: Rate,
    /// Time of the last request.
    last_request_at: Nanos,
    /// Since when the account has exceeded its share.
    excess_since: Option<Nanos>,
    /// Whether the excess has been reported.
    is_excess_reported: bool,
}

/// Reason why a request was not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotAdmitted {
    /// The queue was full.
    Rejected,
    /// The entry expired in the queue.
    TimedOut,
    /// The client disconnected while queued.
    ClientLeft,
}

/// A report that an account exceeds its share, or no longer does.
#[derive(Clone, Debug, PartialEq)]
pub struct ShareExcess {
    /// Name of the account.
    pub name: Box<str>,
    /// Recent fraction of all permits that the account got, from 0 to 1.
    pub fraction: f64,
    /// Fraction of all permits that its share entitles it to, from 0 to 1.
    pub entitled_fraction: f64,
    /// How long the account has exceeded its share; `None` once it no longer does.
    pub duration: Option<Nanos>,
}

/// An exponentially decaying rate per second.
#[derive(Clone, Copy, Debug, Default)]
struct Rate {
    value: f64,
    updated_at: Nanos,
}

impl Rate {
    fn per_second_at(&self, now: Nanos) -> f64 {
        let elapsed_s = now.saturating_sub(self.updated_at) as f64 / 1e9;
        self.value * (-elapsed_s / RATE_TIME_CONSTANT_S).exp()
    }

    fn add(&mut self, now: Nanos) {
        *self = Rate {
            value: self.per_second_at(now) + 1.0 / RATE_TIME_CONSTANT_S,
            updated_at: now.max(self.updated_at),
        };
    }
}

/// Statistics of up to 4,096 accounts.
#[derive(Default)]
pub struct AccountTable {
    by_account: FxHashMap<u64, AccountStatistics>,
    /// Sum of all shares, so that it is not computed for every permit.
    total_share: f64,
    total_rate: Rate,
}

impl AccountTable {
    /// Records a request, and the account's name and share.
    pub fn record_request(&mut self, now: Nanos, account: u64, name: &str, share: f64) {
        if !self.by_account.contains_key(&account) && self.by_account.len() >= MAX_ACCOUNTS {
            let oldest_id = self
                .by_account
                .iter()
                .min_by_key(|(_, statistics)| statistics.last_request_at)
                .map(|(id, _)| *id);
            let removed = oldest_id.and_then(|oldest_id| self.by_account.remove(&oldest_id));
            self.total_share -= removed.map_or(0.0, |statistics| statistics.share);
        }
        let statistics = self
            .by_account
            .entry(account)
            .or_insert_with(|| AccountStatistics::new(name));
        self.total_share += share - statistics.share;
        (statistics.share, statistics.last_request_at) = (share, now);
        statistics.counts.requests += 1;
    }

    /// Sets the share of a known account.
    pub fn set_share(&mut self, account: u64, share: f64) {
        let Some(statistics) = self.by_account.get_mut(&account) else {
            return;
        };
        self.total_share += share - statistics.share;
        statistics.share = share;
    }

    /// Records a first attempt after a waiting time.
    pub fn record_admission(&mut self, now: Nanos, account: u64, wait: Nanos) {
        let entitled_fraction = self.entitled_fraction(account);
        let total_rate = self.total_rate.per_second_at(now);
        self.total_rate.add(now);
        let Some(statistics) = self.by_account.get_mut(&account) else {
            return;
        };
        statistics.counts.admitted += 1;
        statistics.counts.borrowed += u64::from(
            total_rate > 0.0 && statistics.rate.per_second_at(now) > entitled_fraction * total_rate,
        );
        statistics.rate.add(now);
        statistics
            .wait_ms
            .saturating_record((wait / 1_000_000).clamp(1, MAX_WAIT_MS));
    }

    /// Records a request that was not admitted.
    pub fn record_not_admitted(&mut self, account: u64, reason: NotAdmitted) {
        let Some(statistics) = self.by_account.get_mut(&account) else {
            return;
        };
        match reason {
            NotAdmitted::Rejected => statistics.counts.rejected += 1,
            NotAdmitted::TimedOut => statistics.counts.timed_out += 1,
            NotAdmitted::ClientLeft => statistics.counts.client_left += 1,
        }
    }

    /// Expected time until `entries` entries of an account are admitted, at the greater of its
    /// recent rate and its share of the total rate; `None` below 0.01 entries per second.
    pub fn drain_time(&self, now: Nanos, account: u64, entries: usize) -> Option<Nanos> {
        let own_rate = self
            .by_account
            .get(&account)
            .map_or(0.0, |statistics| statistics.rate.per_second_at(now));
        let rate =
            own_rate.max(self.entitled_fraction(account) * self.total_rate.per_second_at(now));
        // A rate that has almost decayed would yield a time of years.
        (rate > 0.01).then(|| (entries as f64 / rate * 1e9) as Nanos)
    }

    /// Fraction of all permits that an account's share entitles it to; 0 for an unknown account.
    pub fn entitled_fraction(&self, account: u64) -> f64 {
        self.by_account
            .get(&account)
            .map_or(0.0, |statistics| statistics.share / self.total_share)
    }

    /// Reports accounts that have exceeded their shares for at least `bound`, and those that no
    /// longer do after such a report. Each change is reported once.
    pub fn check_shares(&mut self, now: Nanos, bound: Nanos) -> Vec<ShareExcess> {
        // Recomputes the sum so that rounding errors do not accumulate.
        self.total_share = self
            .by_account
            .values()
            .map(|statistics| statistics.share)
            .sum();
        let (total_share, total_rate) = (self.total_share, self.total_rate.per_second_at(now));
        let mut excesses = Vec::new();
        for statistics in self.by_account.values_mut() {
            let (entitled_fraction, fraction) = (
                statistics.share / total_share,
                statistics.rate.per_second_at(now) / total_rate.max(f64::MIN_POSITIVE),
            );
            // An account that gets all permits deprives no other.
            let is_over = total_rate * RATE_TIME_CONSTANT_S >= 1.0
                && fraction > EXCESS_FACTOR * entitled_fraction
                && fraction < 1.0 - 1e-9;
            let since = *statistics.excess_since.get_or_insert(now);
            let excess_duration = now.saturating_sub(since);
            let excess = |duration| ShareExcess {
                name: statistics.name.clone(),
                fraction,
                entitled_fraction,
                duration,
            };
            if is_over && excess_duration >= bound && !statistics.is_excess_reported {
                excesses.push(excess(Some(excess_duration)));
                statistics.is_excess_reported = true;
            }
            if !is_over {
                if statistics.is_excess_reported {
                    excesses.push(excess(None));
                }
                (statistics.excess_since, statistics.is_excess_reported) = (None, false);
            }
        }
        excesses.sort_by(|a, b| a.name.cmp(&b.name));
        excesses
    }

    /// Ids and statistics of all accounts, sorted by name.
    pub fn sorted_by_name(&self) -> Vec<(u64, &AccountStatistics)> {
        let mut accounts: Vec<(u64, &AccountStatistics)> = self
            .by_account
            .iter()
            .map(|(id, statistics)| (*id, statistics))
            .collect();
        accounts.sort_by(|a, b| a.1.name.cmp(&b.1.name));
        accounts
    }
}

impl AccountStatistics {
    fn new(name: &str) -> AccountStatistics {
        AccountStatistics {
            name: name.into(),
            share: 0.0,
            counts: Counts::default(),
            wait_ms: Histogram::new_with_bounds(1, MAX_WAIT_MS, 2)
                .expect("the histogram bounds are valid"),
            rate: Rate::default(),
            last_request_at: 0,
            excess_since: None,
            is_excess_reported: false,
        }
    }

    /// Recent first attempts per second.
    pub fn admitted_per_s(&self, now: Nanos) -> f64 {
        self.rate.per_second_at(now)
    }
}
