//! Checks the rules that every run has to keep and records each violation with its time.

use std::fmt;

use rustc_hash::FxHashMap;

use crate::scenario::MAX_ATTEMPTS;
use crate::{Nanos, SECOND};

/// A balancer may start attempts on a gateway for this long after it learned that the gateway drains.
const DRAIN_GRACE: Nanos = SECOND;
/// Tolerance for events that happen exactly at a limit.
const TIME_TOLERANCE: Nanos = 1_000_000;

/// One violation of a rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Virtual time of the violation.
    pub at: Nanos,
    /// Name of the rule.
    pub rule: &'static str,
    /// Request, gateway and amount that show the violation.
    pub detail: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:.6} s: {}: {}",
            self.at as f64 / 1e9,
            self.rule,
            self.detail
        )
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct OpenRequest {
    attempts: u32,
    has_open_attempt: bool,
    deadline_at: Nanos,
    may_have_run: bool,
}

/// Tracks open requests and checks each event against the rules.
#[derive(Debug, Default)]
pub struct Checker {
    open_requests: FxHashMap<u64, OpenRequest>,
    /// When each balancer learned that a gateway drains or is gone, by balancer and gateway.
    unready_since: FxHashMap<(u32, u32), Nanos>,
    violations: Vec<Violation>,
    /// Number of violations, including those beyond the limit on recorded ones.
    pub violation_count: u64,
}

/// Violations beyond this many are counted but not recorded.
const MAX_KEPT_VIOLATIONS: usize = 100;

impl Checker {
    fn record_violation(&mut self, at: Nanos, rule: &'static str, detail: String) {
        self.violation_count += 1;
        if self.violations.len() < MAX_KEPT_VIOLATIONS {
            self.violations.push(Violation { at, rule, detail });
        }
    }

    /// The recorded violations, at most the first 100.
    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }

    /// Records that a request reached a balancer, which has to answer it by `deadline_at`.
    pub fn on_request_opened(&mut self, request: u64, deadline_at: Nanos) {
        self.open_requests.insert(
            request,
            OpenRequest {
                deadline_at,
                ..OpenRequest::default()
            },
        );
    }

    /// Records that a balancer learned whether a gateway accepts new work.
    pub fn on_server_listed(&mut self, at: Nanos, balancer: u32, gateway: u32, ready: bool) {
        if ready {
            self.unready_since.remove(&(balancer, gateway));
        } else {
            self.unready_since.entry((balancer, gateway)).or_insert(at);
        }
    }

    /// Records that a balancer restarted and lost what it knew of the gateways.
    pub fn on_balancer_restarted(&mut self, balancer: u32) {
        self.unready_since
            .retain(|(listed_by, _), _| *listed_by != balancer);
    }

    /// Checks an attempt that a balancer starts on a gateway.
    pub fn on_attempt_started(&mut self, at: Nanos, request: u64, balancer: u32, gateway: u32) {
        if let Some(listed_at) = self.unready_since.get(&(balancer, gateway))
            && at > listed_at + DRAIN_GRACE + TIME_TOLERANCE
        {
            let late = (at - listed_at) / 1_000_000;
            let detail = format!(
                "request {request} to gateway {gateway}, {late} ms after balancer {balancer} learned that it is not ready"
            );
            self.record_violation(at, "no attempt after the drain grace period", detail);
        }
        let Some(open) = self.open_requests.get_mut(&request) else {
            return self.record_violation(
                at,
                "no attempt after the final answer",
                format!("request {request}"),
            );
        };
        open.attempts += 1;
        let (attempts, overlaps) = (
            open.attempts,
            std::mem::replace(&mut open.has_open_attempt, true),
        );
        if overlaps {
            self.record_violation(
                at,
                "attempts never overlap",
                format!("request {request}, attempt {attempts}"),
            );
        }
        if attempts > MAX_ATTEMPTS {
            self.record_violation(
                at,
                "attempts stay within the limit",
                format!("request {request}, attempt {attempts}"),
            );
        }
    }

    /// Records that an attempt ended without a connection.
    pub fn on_attempt_ended(&mut self, request: u64, may_have_run: bool) {
        if let Some(open) = self.open_requests.get_mut(&request) {
            open.has_open_attempt = false;
            open.may_have_run |= may_have_run;
        }
    }

    /// Checks the final answer; `is_rejected` promises that the request did not run and a retry is safe.
    pub fn on_request_answered(&mut self, at: Nanos, request: u64, is_rejected: bool) {
        let Some(open) = self.open_requests.remove(&request) else {
            return self.record_violation(
                at,
                "exactly one final answer",
                format!("request {request} was already answered"),
            );
        };
        if at > open.deadline_at + TIME_TOLERANCE {
            let late = (at - open.deadline_at) / 1_000_000;
            self.record_violation(
                at,
                "answer before the deadline",
                format!("request {request}, {late} ms late"),
            );
        }
        if is_rejected && open.may_have_run {
            self.record_violation(
                at,
                "no rejection of a request that may have run",
                format!("request {request}"),
            );
        }
    }

    /// Drops a request that needs no answer any more because its balancer was killed.
    pub fn on_request_lost(&mut self, request: u64) {
        self.open_requests.remove(&request);
    }

    /// Checks at the end of the run that no request past its deadline is still unanswered.
    pub fn on_run_finished(&mut self, at: Nanos) {
        let mut late: Vec<u64> = self
            .open_requests
            .iter()
            .filter(|(_, open)| at > open.deadline_at + TIME_TOLERANCE)
            .map(|(id, _)| *id)
            .collect();
        late.sort_unstable();
        for request in late {
            self.record_violation(
                at,
                "exactly one final answer",
                format!("request {request} was never answered"),
            );
        }
    }
}
