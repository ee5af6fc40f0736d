//! One balancer's part of what the fleet may let in. Parts may be less than one: then they are odds. Nothing is rounded
//! up here, since hundreds that each round up keep no bound together.

use std::collections::{BTreeMap, BTreeSet};

use rand::Rng;

use crate::{Nanos, SECOND};

/// Part of the time in which a server tips over for which unused parts are kept.
const KEPT: f64 = 0.15;
/// In so many seconds what was short is half forgotten.
const SHORT_FADES: f64 = 1.0;
/// Loans that are remembered of each peer.
const MOST_LOANS: usize = 64;

/// The own part.
#[derive(Default)]
pub(crate) struct Part {
    own: f64,
    lent: f64,
    /// What has lapsed and may be left to others.
    pub(crate) spare: f64,
    /// Clients a second.
    rate: f64,
    short: f64,
    loans: BTreeMap<String, BTreeSet<u64>>,
}

impl Part {
    /// So many more fell to it over that span. What is not used lapses.
    pub(crate) fn earn(&mut self, clients: f64, span: Nanos, fall_time: Nanos) {
        let seconds = span as f64 / SECOND as f64;
        if seconds <= 0.0 {
            return;
        }
        self.rate = clients / seconds;
        self.own += clients;
        let tips = self.rate * fall_time as f64 / SECOND as f64;
        let most = (KEPT * tips).max(tips.min(1.0));
        self.spare = (self.spare + (self.own - most).max(0.0)).min(most);
        self.own = self.own.min(most);
        // What was lent is a peer's lapsed part: it lapses here in the same time.
        self.lent *= (1.0 - span as f64 / (KEPT * fall_time as f64)).max(0.0);
        self.short *= (-seconds / SHORT_FADES).exp2();
    }

    /// Whether one more may be let in.
    pub(crate) fn take(&mut self, rng: &mut impl Rng) -> bool {
        if self.own >= 1.0 {
            self.own -= 1.0;
            return true;
        }
        if self.lent >= 1.0 {
            self.lent -= 1.0;
            return true;
        }
        let odds = std::mem::take(&mut self.own) + std::mem::take(&mut self.lent);
        let is_in = rng.random_range(0.0..1.0) < odds;
        // Two halves make a whole and what is over it.
        self.own = if is_in { (odds - 1.0).max(0.0) } else { 0.0 };
        if !is_in {
            self.short += 1.0;
        }
        is_in
    }

    /// Takes what a peer leaves. A loan told twice counts once.
    pub(crate) fn lend(&mut self, from: &str, number: u64, clients: f64) {
        let loans = self.loans.entry(from.to_string()).or_default();
        let is_old =
            loans.len() >= MOST_LOANS && loans.first().is_some_and(|first| number < *first);
        if !clients.is_finite() || clients <= 0.0 || is_old || !loans.insert(number) {
            return;
        }
        if loans.len() > MOST_LOANS {
            loans.pop_first();
        }
        self.lent += clients;
    }

    /// Clients a second.
    pub(crate) fn rate(&self) -> f64 {
        self.rate
    }

    /// Clients a second whose turn had come and for whom there was no room.
    pub(crate) fn short(&self) -> f64 {
        self.short * std::f64::consts::LN_2 / SHORT_FADES
    }
}
