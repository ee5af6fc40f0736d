//! Limit on the attempts in flight: additive increase, multiplicative decrease.
//!
//! Without it, retries and reconnects would keep a backend that all servers share overloaded.

use crate::fleet_quota::FleetQuota;
use crate::settings::first_attempt_share;
use crate::time::{Nanos, fraction_of, is_within};

/// Initial, least and greatest limit of a balancer in a small fleet.
const INITIAL_LIMIT: f64 = 12.0;
const MIN_LIMIT: f64 = 3.0;
const MAX_LIMIT: f64 = 48.0;
/// The quota of a limit is at least one attempt.
const MIN_QUOTA: f64 = 1.0;
/// The limit grows on attempts that took less than this fraction of their share of the client's
/// time.
const FAST_FRACTION: f64 = 0.5;
/// Factor of a decrease.
const DECREASE_FACTOR: f64 = 0.6;
/// Failures within this span cause one decrease, in nanoseconds.
const DECREASE_INTERVAL: Nanos = 150_000_000;

/// The limit of one balancer.
pub(crate) struct ConcurrencyLimit {
    limit: f64,
    min: f64,
    max: f64,
    decreased_at: Option<Nanos>,
}

impl ConcurrencyLimit {
    pub(crate) fn new(quota: FleetQuota) -> ConcurrencyLimit {
        let [limit, min, max] =
            [INITIAL_LIMIT, MIN_LIMIT, MAX_LIMIT].map(|limit| quota.of_limit(limit).max(MIN_QUOTA));
        ConcurrencyLimit {
            limit,
            min,
            max,
            decreased_at: None,
        }
    }

    /// Keeps the present limit as far as the bounds for another fleet size allow.
    pub(crate) fn rebound(&mut self, quota: FleetQuota) {
        let ConcurrencyLimit { min, max, .. } = ConcurrencyLimit::new(quota);
        self.limit = self.limit.clamp(min, max);
        (self.min, self.max) = (min, max);
    }

    /// The present limit.
    pub(crate) fn get(&self) -> f64 {
        self.limit
    }

    /// An attempt succeeded. A slow one waited for a shared resource and does not raise the limit.
    pub(crate) fn on_success(&mut self, elapsed: Nanos, client_time: Nanos) {
        if elapsed < fraction_of(first_attempt_share(client_time), FAST_FRACTION) {
            self.limit = (self.limit + 1.0 / self.limit).min(self.max);
        }
    }

    /// An attempt failed with a sign of overload.
    pub(crate) fn on_overload(&mut self, now: Nanos) {
        if !is_within(self.decreased_at, now, DECREASE_INTERVAL) {
            self.decreased_at = Some(now);
            self.limit = (self.limit * DECREASE_FACTOR).max(self.min);
        }
    }
}
