//! One balancer's quota of the fleet's admissions.
//!
//! A quota may be a fraction; it is then a probability. Nothing is rounded up, since the sum over
//! hundreds of balancers has to keep the allowance.

use std::collections::{BTreeMap, BTreeSet};

use rand::Rng;

use crate::{Nanos, SECOND};

/// Fraction of the overload window for which unused quota is kept.
const UNUSED_QUOTA_FRACTION: f64 = 0.15;
/// Half-life of the count of deferred clients, in seconds.
const DEFERRED_HALF_LIFE_S: f64 = 1.0;
/// Loans remembered per peer.
const MAX_LENT_PER_PEER: usize = 64;

/// The quota.
#[derive(Default)]
pub(crate) struct AdmissionQuota {
    available: f64,
    borrowed: f64,
    /// Expired quota that may be lent.
    pub(crate) lendable: f64,
    /// Clients per second.
    rate: f64,
    deferred: f64,
    received_transfers: BTreeMap<String, BTreeSet<u64>>,
}

impl AdmissionQuota {
    /// Accrues quota over a span. Unused quota expires.
    pub(crate) fn accrue(&mut self, clients: f64, span: Nanos, overload_window: Nanos) {
        let seconds = span as f64 / SECOND as f64;
        if seconds <= 0.0 {
            return;
        }
        self.rate = clients / seconds;
        self.available += clients;
        let overload_clients = self.rate * overload_window as f64 / SECOND as f64;
        let max_unused = (UNUSED_QUOTA_FRACTION * overload_clients).max(overload_clients.min(1.0));
        self.lendable = (self.lendable + (self.available - max_unused).max(0.0)).min(max_unused);
        self.available = self.available.min(max_unused);
        // Borrowed quota had expired at the lender and expires here in the same time.
        self.borrowed *=
            (1.0 - span as f64 / (UNUSED_QUOTA_FRACTION * overload_window as f64)).max(0.0);
        self.deferred *= (-seconds / DEFERRED_HALF_LIFE_S).exp2();
    }

    /// Whether one more client may be admitted.
    pub(crate) fn try_admit(&mut self, rng: &mut impl Rng) -> bool {
        if self.available >= 1.0 {
            self.available -= 1.0;
            return true;
        }
        if self.borrowed >= 1.0 {
            self.borrowed -= 1.0;
            return true;
        }
        let probability = std::mem::take(&mut self.available) + std::mem::take(&mut self.borrowed);
        let is_admitted = rng.random_range(0.0..1.0) < probability;
        // Two halves make a whole and leave the rest.
        self.available = if is_admitted {
            (probability - 1.0).max(0.0)
        } else {
            0.0
        };
        if !is_admitted {
            self.deferred += 1.0;
        }
        is_admitted
    }

    /// Receives a loan. A repeated one counts once.
    pub(crate) fn receive_lent(&mut self, from: &str, number: u64, clients: f64) {
        let loans = self.received_transfers.entry(from.to_string()).or_default();
        let is_stale =
            loans.len() >= MAX_LENT_PER_PEER && loans.first().is_some_and(|first| number < *first);
        if !clients.is_finite() || clients <= 0.0 || is_stale || !loans.insert(number) {
            return;
        }
        if loans.len() > MAX_LENT_PER_PEER {
            loans.pop_first();
        }
        self.borrowed += clients;
    }

    /// Clients per second.
    pub(crate) fn rate(&self) -> f64 {
        self.rate
    }

    /// Clients per second deferred for lack of quota although their position had come.
    pub(crate) fn deferred_per_s(&self) -> f64 {
        self.deferred * std::f64::consts::LN_2 / DEFERRED_HALF_LIFE_S
    }
}
