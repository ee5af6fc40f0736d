//! What each account asked for and got, how fast its line drains, and whether it is over its share.

use hdrhistogram::Histogram;
use rustc_hash::FxHashMap;

use crate::Nanos;

/// Span over which rates fade, in seconds.
const RATE_SECONDS: f64 = 2.0;
/// An account is over its share from this many times its part of all turns on.
const OVER: f64 = 1.1;
/// Longest wait that is told apart, in milliseconds; a longer one counts as this.
const LONGEST_WAIT: u64 = 600_000;
/// Accounts that are counted apart; later ones take the place of the one that asked longest ago.
const MOST_ACCOUNTS: usize = 4_096;

/// What came of an account's requests since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests that came.
    pub asked: u64,
    /// Requests that got a first attempt.
    pub admitted: u64,
    /// Those of them beyond its share, which others did not use.
    pub lent: u64,
    /// Requests that were told to come again, since there was no room for them.
    pub refused: u64,
    /// Requests whose time was up while they waited.
    pub given_up: u64,
    /// Requests whose client left while they waited.
    pub left: u64,
}

/// All that is kept of an account.
#[derive(Clone, Debug)]
pub struct AccountStatistics {
    /// Its name, as the host gives it.
    pub name: Box<str>,
    /// Its part of the service, against the others'.
    pub share: f64,
    /// What came of its requests.
    pub counts: Counts,
    /// Time from arrival to first attempt, in milliseconds.
    pub waits: Histogram<u32>,
    rate: Rate,
    /// Asked last.
    asked_at: Nanos,
    /// Over its share since then.
    over_since: Option<Nanos>,
    /// That has been told.
    told: bool,
}

/// How a request that did not get its attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotAdmitted {
    /// It was told to come again.
    Rejected,
    /// Its time was up.
    TimedOut,
    /// Its client left.
    ClientLeft,
}

/// An account that went over its share for long, or came back within it.
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaExcess {
    /// Which.
    pub name: Box<str>,
    /// Its part of all turns lately.
    pub fraction: f64,
    /// Its part by its share.
    pub entitled_fraction: f64,
    /// For how long; nothing once it is over.
    pub duration: Option<Nanos>,
}

/// Events for each second, fading.
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

/// All accounts' counts.
#[derive(Default)]
pub struct AccountTable {
    by_account: FxHashMap<u64, AccountStatistics>,
    /// Sum of the shares of those that are counted. Guards against a sum over all accounts at each first attempt.
    whole: f64,
    all: Rate,
}

impl AccountTable {
    /// A request of an account came.
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

    /// An account's share is another one from now on, also before it asks again.
    pub fn weigh(&mut self, account: u64, share: f64) {
        let Some(tally) = self.by_account.get_mut(&account) else {
            return;
        };
        self.whole += share - tally.share;
        tally.share = share;
    }

    /// A request got its first attempt after this wait.
    pub fn admitted(&mut self, now: Nanos, account: u64, waited: Nanos) {
        let entitled_fraction = self.due(account);
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

    /// A request did not get an attempt.
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

    /// How long a line of so many takes this account, by the rate at which its requests got their attempts lately; by
    /// its share of all where it had none; nothing where nobody had one.
    pub fn drain(&self, now: Nanos, account: u64, ahead: usize) -> Option<Nanos> {
        let own = self
            .by_account
            .get(&account)
            .map_or(0.0, |tally| tally.rate.at(now));
        let rate = own.max(self.due(account) * self.all.at(now));
        // Guards against a rate that has all but faded, which would tell of years.
        (rate > 0.01).then(|| (ahead as f64 / rate * 1e9) as Nanos)
    }

    /// An account's part of all, by the shares of those that are counted.
    pub fn due(&self, account: u64) -> f64 {
        self.by_account
            .get(&account)
            .map_or(0.0, |tally| tally.share / self.whole)
    }

    /// The accounts that have been over their shares for longer than a bound, and those that are so no more: each is
    /// given once.
    pub fn over_share(&mut self, now: Nanos, bound: Nanos) -> Vec<QuotaExcess> {
        // What was added and taken away leaves a trace of rounding, which is not to grow.
        self.whole = self.by_account.values().map(|tally| tally.share).sum();
        let (whole, all) = (self.whole, self.all.at(now));
        let mut news = Vec::new();
        for tally in self.by_account.values_mut() {
            let (entitled_fraction, fraction) = (
                tally.share / whole,
                tally.rate.at(now) / all.max(f64::MIN_POSITIVE),
            );
            // Guards against word of an account that is alone: it takes nothing from anybody.
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

    /// All of them, by name.
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

    /// Requests that get their first attempt, a second, lately.
    pub fn per_second(&self, now: Nanos) -> f64 {
        self.rate.at(now)
    }
}
