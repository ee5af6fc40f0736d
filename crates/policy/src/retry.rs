//! Retries: the attempt budget, timeouts, backoff and the final answer without service.

use std::ops::RangeInclusive;

use rand::Rng;

use crate::action::Action;
use crate::balancer::Balancer;
use crate::ids::RequestId;
use crate::request_table::RequestState;
use crate::settings::{RetrySafety, first_attempt_share};
use crate::time::{Nanos, fraction_of};

/// First backoff, as a divisor of the time that the client waits.
const BASE_DIVISOR: Nanos = 32;
/// Longest backoff, as a divisor of the time that the client waits.
const CAP_DIVISOR: Nanos = 4;
/// Shortest backoff, as a fraction of the first.
const FLOOR_FRACTION: f64 = 0.05;
/// Doublings after which a backoff or timeout stops growing.
const MAX_DOUBLINGS: u32 = 6;

impl Balancer {
    /// The timeout of the next attempt. One that can be repeated gets a part of its client's time,
    /// so that an unresponsive server costs only one attempt. Each retry gets twice as long.
    pub(crate) fn attempt_timeout(&self, now: Nanos, request: &RequestState) -> Nanos {
        let class = self.settings.class(request.connect.class);
        let limits = &self.settings.limits;
        let remaining = request.connect.deadline_at - now;
        let is_last_attempt = request.attempts + 1 >= limits.max_attempts;
        if is_last_attempt || class.retry_safety != RetrySafety::Idempotent {
            return remaining;
        }
        let usual = first_attempt_share(request.client_time())
            .max(limits.connect_timeout.saturating_mul(2));
        let doublings = request.attempts.min(MAX_DOUBLINGS);
        remaining.min(
            self.setup_latency
                .timeout(now, usual)
                .saturating_mul(1 << doublings),
        )
    }

    /// End of the time in which another attempt may begin: the client has to wait for it, and a
    /// repeated execution must be safe. 0 if the attempt budget is used up.
    pub(crate) fn retry_allowed_until(&self, request: &RequestState) -> Nanos {
        let deadline_at = request.connect.deadline_at;
        if request.attempts >= self.settings.limits.max_attempts {
            return 0;
        }
        let Some(execution) = request.possible_execution else {
            return deadline_at;
        };
        match self.settings.class(request.connect.class).retry_safety {
            RetrySafety::Idempotent => deadline_at,
            RetrySafety::IdempotencyKey { window, .. } => {
                deadline_at.min(execution.sent_at.saturating_add(window))
            }
            RetrySafety::NonIdempotent => 0,
        }
    }

    /// Schedules another placement after a jittered backoff, or answers at once if no retry can
    /// begin in time.
    pub(crate) fn back_off(&mut self, now: Nanos, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let allowed_until = self.retry_allowed_until(request);
        let client_time = request.client_time();
        let (base, cap) = (client_time / BASE_DIVISOR, client_time / CAP_DIVISOR);
        let wait = self.jittered_backoff(self.failures_of(request), base, cap);
        if now.saturating_add(wait) >= allowed_until {
            return self.give_up(id, actions);
        }
        self.retry_after(id, wait, actions);
    }

    /// Gives the final answer without service: rejected if the request can't have been executed,
    /// otherwise failed.
    pub(crate) fn give_up(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        if request.possible_execution.is_some() {
            actions.push(Action::Fail(id));
        } else {
            let failures = self.failures_of(request);
            let limits = &self.settings.limits;
            let (sends_retry_after, longest) = (limits.sends_retry_after, limits.max_retry_after);
            let base = request
                .queue_drain_time
                .unwrap_or_else(|| first_attempt_share(request.client_time()));
            let retry_after = sends_retry_after
                .then(|| self.jittered_backoff(failures, base.min(longest), longest));
            self.rejected_since_summary += 1;
            actions.push(Action::Reject {
                request: id,
                retry_after,
            });
        }
        self.remove_request(id);
    }

    /// A backoff with full jitter: uniform from the floor to `min(cap, base * 2^min(failures, 6))`.
    pub(crate) fn jittered_backoff(&mut self, failures: u32, base: Nanos, cap: Nanos) -> Nanos {
        let floor = fraction_of(base, FLOOR_FRACTION);
        let top = cap
            .min(base.saturating_mul(1 << failures.min(MAX_DOUBLINGS)))
            .max(floor);
        self.draw_span(floor..=top)
    }

    pub(crate) fn draw_span(&mut self, range: RangeInclusive<Nanos>) -> Nanos {
        self.rng.random_range(range)
    }

    /// Failures that determine the backoff: those of the client key. A request without a key counts
    /// its own attempts, which have all failed while it waits.
    fn failures_of(&self, request: &RequestState) -> u32 {
        request
            .connect
            .client_key
            .map_or(request.attempts, |key| self.failures.get(key))
    }
}
