//! One balancer's quota of the fleet's admissions.
//!
//! A quota below one client is the probability of admitting one. Quotas are never rounded up,
//! because the sum over hundreds of balancers must stay within the fleet's limit.

use std::collections::{BTreeMap, BTreeSet};

use rand::Rng;

use crate::{Nanos, SECOND};

/// Fraction of the overload window after which unused quota expires.
const UNUSED_QUOTA_FRACTION: f64 = 0.15;
/// Half-life of the count of deferred clients, in seconds.
const DEFERRED_HALF_LIFE_S: f64 = 1.0;
/// Number of loans per peer that are remembered to detect repetitions.
const MAX_LENT_PER_PEER: usize = 64;

/// The quota of admissions that this balancer may use or lend.
#[derive(Default)]
pub(crate) struct AdmissionQuota {
    available: f64,
    borrowed: f64,
    /// Expired quota that may be lent to a peer, in clients.
    pub(crate) lendable: f64,
    /// Quota that accrues per second, in clients.
    rate: f64,
    deferred: f64,
    received_transfers: BTreeMap<String, BTreeSet<u64>>,
}

impl AdmissionQuota {
    /// Accrues the quota of a span. Unused quota above a limit expires and may be lent.
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
        // Borrowed quota had expired at the lender; here it expires within the same time again.
        self.borrowed *=
            (1.0 - span as f64 / (UNUSED_QUOTA_FRACTION * overload_window as f64)).max(0.0);
        self.deferred *= (-seconds / DEFERRED_HALF_LIFE_S).exp2();
    }

    /// Uses quota for one more client; returns whether it may be admitted.
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
        // If both fractions together exceed one client, the rest is kept.
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

    /// Adds a loan from a peer. A loan that arrives repeatedly counts once.
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

    /// Quota that accrues per second, in clients.
    pub(crate) fn rate(&self) -> f64 {
        self.rate
    }

    /// Clients per second that are deferred for lack of quota although their position is admitted.
    pub(crate) fn deferred_per_s(&self) -> f64 {
        self.deferred * std::f64::consts::LN_2 / DEFERRED_HALF_LIFE_S
    }
}
