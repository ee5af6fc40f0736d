//! The admission curve: the cumulative number of clients that the whole fleet may admit by each
//! time while servers are in slow start.

use crate::config::SlowStartRules;
use crate::{Nanos, SECOND};

/// Points of the curve within one warm-up time.
const POINTS_PER_WARM_UP: u64 = 64;
/// Approximate limit on the points of the whole curve.
const MAX_CURVE_POINTS: u64 = 1_024;
/// Inverse of the accepted probability that chance overloads any server during one recovery.
const INVERSE_OVERLOAD_PROBABILITY: f64 = 1_000.0;
/// Smallest fraction of a limit that is used. For a limit of one or two clients no fraction would
/// meet the accepted probability.
const MIN_USED_FRACTION: f64 = 0.15;

/// Cumulative admissions at equal time steps, extrapolated linearly after the last one.
#[derive(Clone, Debug)]
pub(crate) struct AdmissionCurve {
    start: Nanos,
    step: Nanos,
    totals: Vec<f64>,
}

/// A server's weight and its start on the monotonic clock.
pub(crate) type WarmingServer = (f64, i64);

/// The fraction of its full capacity that a server has at a time; 0 before its start.
pub(crate) fn capacity_fraction(slow_start: &SlowStartRules, started_at: i64, now: i64) -> f64 {
    let age = now.saturating_sub(started_at);
    if age < 0 {
        return 0.0;
    }
    let warm_fraction = if slow_start.warm_up_time == 0 {
        1.0
    } else {
        (age as f64 / slow_start.warm_up_time as f64).min(1.0)
    };
    slow_start.initial_capacity + (1.0 - slow_start.initial_capacity) * warm_fraction
}

/// The fraction of a limit that can be used if clients choose servers at random and arrive in
/// groups of `group_batch`, so that the overload limit is exceeded with a probability of at most
/// `exp(-neg_ln_probability)` (Chernoff bound).
fn usable_fraction(
    allowed: f64,
    variance_margin: f64,
    neg_ln_probability: f64,
    group_batch: f64,
) -> f64 {
    let overload_limit = (allowed + variance_margin * (allowed.sqrt() + 1.0)) / group_batch;
    let allowed = allowed / group_batch;
    let is_safe = |used: f64| {
        // The probability of exceeding the limit, from the tail of the Poisson distribution.
        let tail_factor =
            (2.0 * std::f64::consts::PI * overload_limit).sqrt() * (1.0 - used / overload_limit);
        used - overload_limit
            + overload_limit * (overload_limit / used).ln()
            + tail_factor.max(1.0).ln()
            >= neg_ln_probability
    };
    let (mut safe, mut unsafe_above) = (0.0, allowed);
    for _ in 0..32 {
        let middle = (safe + unsafe_above) / 2.0;
        if is_safe(middle) {
            safe = middle
        } else {
            unsafe_above = middle
        }
    }
    if allowed > 0.0 {
        (safe / allowed).max(MIN_USED_FRACTION)
    } else {
        MIN_USED_FRACTION
    }
}

impl AdmissionCurve {
    /// Computes the curve from a time at which `base` clients had been admitted. The pair holds the
    /// clients per second that a warm server of weight 1 can take, and the number of clients of a
    /// group that arrive at one server within the overload window.
    pub(crate) fn new(
        start: Nanos,
        base: f64,
        servers: &[WarmingServer],
        slow_start: &SlowStartRules,
        (sustainable_arrivals, group_batch): (f64, f64),
    ) -> AdmissionCurve {
        let last_warm_at = servers
            .iter()
            .map(|(_, started_at)| started_at.saturating_add(slow_start.warm_up_time as i64))
            .max()
            .unwrap_or(0);
        let span = u64::try_from(last_warm_at)
            .unwrap_or(0)
            .saturating_sub(start)
            .max(slow_start.warm_up_time.max(SECOND));
        let step = (slow_start.warm_up_time / POINTS_PER_WARM_UP)
            .max(span / MAX_CURVE_POINTS)
            .max(1);
        let neg_ln_probability = (INVERSE_OVERLOAD_PROBABILITY * servers.len() as f64).ln();
        // The limit of the smallest server has the greatest relative variance.
        let min_weight = servers
            .iter()
            .map(|(weight, _)| *weight)
            .fold(f64::INFINITY, f64::min);
        let rate = |at: Nanos| {
            let present_weight = servers
                .iter()
                .map(|(weight, started_at)| {
                    weight * capacity_fraction(slow_start, *started_at, at as i64)
                })
                .sum::<f64>();
            let total_weight = servers
                .iter()
                .map(|(weight, _)| weight)
                .sum::<f64>()
                .max(f64::MIN_POSITIVE);
            let server_limit = slow_start.overload_multiple
                * sustainable_arrivals
                * slow_start.overload_window as f64
                / SECOND as f64;
            slow_start.overload_multiple
                * sustainable_arrivals
                * present_weight
                * usable_fraction(
                    server_limit * min_weight * present_weight / total_weight,
                    slow_start.variance_margin,
                    neg_ln_probability,
                    group_batch,
                )
        };
        let mut totals = vec![base];
        let (mut total, mut now, mut rate_before) = (base, start, rate(start));
        while now < start.saturating_add(span) {
            now = now.saturating_add(step);
            let rate_after = rate(now);
            total += (rate_before + rate_after) / 2.0 * step as f64 / SECOND as f64;
            totals.push(total);
            rate_before = rate_after;
        }
        AdmissionCurve {
            start,
            step,
            totals,
        }
    }

    /// The span until this number of clients is admitted, or the span of the whole curve if that
    /// never happens.
    pub(crate) fn time_to_admit(&self, clients: f64) -> Nanos {
        let span = self.step.saturating_mul(self.totals.len() as u64);
        self.time_of(clients).map_or(span, |at| at - self.start)
    }

    /// The number of clients that may be admitted by a time.
    pub(crate) fn admitted_by(&self, now: Nanos) -> f64 {
        let since = now.saturating_sub(self.start) as f64 / self.step as f64;
        let last = self.totals.len() - 1;
        let index = (since as usize).min(last - 1);
        self.totals[index] + (self.totals[index + 1] - self.totals[index]) * (since - index as f64)
    }

    /// When this number of clients is admitted; `None` if the curve never reaches it.
    pub(crate) fn time_of(&self, clients: f64) -> Option<Nanos> {
        let last = self.totals.len() - 1;
        let index = self
            .totals
            .partition_point(|total| *total < clients)
            .clamp(1, last)
            - 1;
        let increase = self.totals[index + 1] - self.totals[index];
        if clients <= self.totals[index] {
            return Some(self.start.saturating_add(index as u64 * self.step));
        }
        (increase > 0.0).then(|| {
            let steps = index as f64 + (clients - self.totals[index]) / increase;
            self.start
                .saturating_add((steps * self.step as f64) as Nanos)
        })
    }
}
