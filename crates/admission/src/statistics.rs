//! Statistics of each account: requests, waits, and whether it exceeds its share.

use hdrhistogram::Histogram;
use rustc_hash::FxHashMap;

use crate::Nanos;

/// Time constant of rates, in seconds.
const RATE_SECONDS: f64 = 2.0;
/// An account exceeds its share above this multiple of its entitled fraction.
const OVER: f64 = 1.1;
/// Longest wait recorded, in milliseconds.
const LONGEST_WAIT: u64 = 600_000;
/// Most accounts with statistics; a later one replaces the one whose last request is earliest.
const MOST_ACCOUNTS: usize = 4_096;

/// Outcomes of an account's requests since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests received.
    pub asked: u64,
    /// Requests that got a first attempt.
    pub admitted: u64,
    /// Those of them beyond its share, which others did not use.
    pub lent: u64,
    /// Requests rejected because the queue was full.
    pub refused: u64,
    /// Requests that expired in the queue.
    pub given_up: u64,
    /// Requests whose client left the queue.
    pub left: u64,
}

/// Statistics of one account.
#[derive(Clone, Debug)]
pub struct AccountStatistics {
    /// Its name.
    pub name: Box<str>,
    /// Its share.
    pub share: f64,
    /// Its counters.
    pub counts: Counts,
    /// Time from request to first attempt, in milliseconds.
    pub waits: Histogram<u32>,
    rate: Rate,
    /// Time of its last request.
    asked_at: Nanos,
    /// When it began to exceed its share.
    over_since: Option<Nanos>,
    /// Whether that has been reported.
    told: bool,
}

/// Why a request got no attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotAdmitted {
    /// It was rejected.
    Rejected,
    /// It expired.
    TimedOut,
    /// Its client left.
    ClientLeft,
}

/// An account that exceeds its share, or no longer does.
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaExcess {
    /// Its name.
    pub name: Box<str>,
    /// Its recent fraction of all permits.
    pub fraction: f64,
    /// The fraction that its share entitles it to.
    pub entitled_fraction: f64,
    /// Since when it has exceeded it; `None` once it no longer does.
    pub duration: Option<Nanos>,
}

/// An exponentially decaying rate per second.
#[derive(Clone, Copy, Debug, Default)]
struct Rate {
    value: f64,
    at: Nanos,
}

impl Rate {
    fn at(&self, now: Nanos) -> f64 {
        let passed = now.saturating_sub(self.at) as f64 / 1e9;
        self.value * (-passed / RATE_SECONDS).exp()
    }

    fn add(&mut self, now: Nanos) {
        *self = Rate {
            value: self.at(now) + 1.0 / RATE_SECONDS,
            at: now.max(self.at),
        };
    }
}

/// Statistics of all accounts.
#[derive(Default)]
pub struct AccountTable {
    by_account: FxHashMap<u64, AccountStatistics>,
    /// Sum of all shares, kept so that no permit has to compute it.
    whole: f64,
    all: Rate,
}

impl AccountTable {
    /// Records a request.
    pub fn asked(&mut self, now: Nanos, account: u64, name: &str, share: f64) {
        if !self.by_account.contains_key(&account) && self.by_account.len() >= MOST_ACCOUNTS {
            let oldest = self
                .by_account
                .iter()
                .min_by_key(|(_, tally)| tally.asked_at)
                .map(|(id, _)| *id);
            let gone = oldest.and_then(|oldest| self.by_account.remove(&oldest));
            self.whole -= gone.map_or(0.0, |tally| tally.share);
        }
        let tally = self
            .by_account
            .entry(account)
            .or_insert_with(|| AccountStatistics::new(name));
        self.whole += share - tally.share;
        (tally.share, tally.asked_at) = (share, now);
        tally.counts.asked += 1;
    }

    /// Changes an account's share.
    pub fn weigh(&mut self, account: u64, share: f64) {
        let Some(tally) = self.by_account.get_mut(&account) else {
            return;
        };
        self.whole += share - tally.share;
        tally.share = share;
    }

    /// Records a first attempt after this wait.
    pub fn admitted(&mut self, now: Nanos, account: u64, waited: Nanos) {
        let entitled_fraction = self.entitled_fraction(account);
        let all = self.all.at(now);
        self.all.add(now);
        let Some(tally) = self.by_account.get_mut(&account) else {
            return;
        };
        tally.counts.admitted += 1;
        tally.counts.lent += u64::from(all > 0.0 && tally.rate.at(now) > entitled_fraction * all);
        tally.rate.add(now);
        tally
            .waits
            .saturating_record((waited / 1_000_000).clamp(1, LONGEST_WAIT));
    }

    /// Records a request that got no attempt.
    pub fn missed(&mut self, account: u64, how: NotAdmitted) {
        let Some(tally) = self.by_account.get_mut(&account) else {
            return;
        };
        match how {
            NotAdmitted::Rejected => tally.counts.refused += 1,
            NotAdmitted::TimedOut => tally.counts.given_up += 1,
            NotAdmitted::ClientLeft => tally.counts.left += 1,
        }
    }

    /// Expected time until so many entries of an account are admitted, by its recent rate, or by
    /// its share of the total rate; `None` without any rate.
    pub fn drain(&self, now: Nanos, account: u64, ahead: usize) -> Option<Nanos> {
        let own = self
            .by_account
            .get(&account)
            .map_or(0.0, |tally| tally.rate.at(now));
        let rate = own.max(self.entitled_fraction(account) * self.all.at(now));
        // A rate that has nearly decayed would give years.
        (rate > 0.01).then(|| (ahead as f64 / rate * 1e9) as Nanos)
    }

    /// The fraction of all permits that an account's share entitles it to.
    pub fn entitled_fraction(&self, account: u64) -> f64 {
        self.by_account
            .get(&account)
            .map_or(0.0, |tally| tally.share / self.whole)
    }

    /// Accounts that have exceeded their shares for longer than a bound, and those that no longer
    /// do; each is reported once.
    pub fn over_share(&mut self, now: Nanos, bound: Nanos) -> Vec<QuotaExcess> {
        // Recomputed, so that rounding errors do not accumulate.
        self.whole = self.by_account.values().map(|tally| tally.share).sum();
        let (whole, all) = (self.whole, self.all.at(now));
        let mut news = Vec::new();
        for tally in self.by_account.values_mut() {
            let (entitled_fraction, fraction) = (
                tally.share / whole,
                tally.rate.at(now) / all.max(f64::MIN_POSITIVE),
            );
            // An account that is alone takes nothing from others.
            let over = all * RATE_SECONDS >= 1.0
                && fraction > OVER * entitled_fraction
                && fraction < 1.0 - 1e-9;
            let since = *tally.over_since.get_or_insert(now);
            let lasts = now.saturating_sub(since);
            let word = |duration| QuotaExcess {
                name: tally.name.clone(),
                fraction,
                entitled_fraction,
                duration,
            };
            if over && lasts >= bound && !tally.told {
                news.push(word(Some(lasts)));
                tally.told = true;
            }
            if !over {
                if tally.told {
                    news.push(word(None));
                }
                (tally.over_since, tally.told) = (None, false);
            }
        }
        news.sort_by(|one, other| one.name.cmp(&other.name));
        news
    }

    /// All accounts, by name.
    pub fn all(&self) -> Vec<(u64, &AccountStatistics)> {
        let mut all: Vec<(u64, &AccountStatistics)> = self
            .by_account
            .iter()
            .map(|(id, tally)| (*id, tally))
            .collect();
        all.sort_by(|one, other| one.1.name.cmp(&other.1.name));
        all
    }
}

impl AccountStatistics {
    fn new(name: &str) -> AccountStatistics {
        AccountStatistics {
            name: name.into(),
            share: 0.0,
            counts: Counts::default(),
            waits: Histogram::new_with_bounds(1, LONGEST_WAIT, 2)
                .expect("bounds that the library takes"),
            rate: Rate::default(),
            asked_at: 0,
            over_since: None,
            told: false,
        }
    }

    /// First attempts per second.
    pub fn per_second(&self, now: Nanos) -> f64 {
        self.rate.at(now)
    }
}
