//! The rules that every run keeps, read off what happens: each broken one with its moment.

use std::fmt;

use rustc_hash::FxHashMap;

use crate::scenario::MAX_ATTEMPTS;
use crate::{Nanos, SECOND};

/// Nothing new later than this after a balancer heard of a drain.
const DRAIN_GRACE: Nanos = SECOND;
/// Slack for a moment that is reached and not passed.
const TIME_TOLERANCE: Nanos = 1_000_000;

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// When.
    pub at: Nanos,
    /// Which rule.
    pub rule: &'static str,
    /// By what.
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

/// Reads what happens.
#[derive(Debug, Default)]
pub struct Checker {
    open_requests: FxHashMap<u64, OpenRequest>,
    /// When a balancer heard that a gateway drains or is gone.
    unready_since: FxHashMap<(u32, u32), Nanos>,
    violations: Vec<Violation>,
    /// How many were broken; of very many not all are kept.
    pub violation_count: u64,
}

/// Broken rules that are kept.
const MAX_KEPT_VIOLATIONS: usize = 100;

impl Checker {
    fn record_violation(&mut self, at: Nanos, rule: &'static str, detail: String) {
        self.violation_count += 1;
        if self.violations.len() < MAX_KEPT_VIOLATIONS {
            self.violations.push(Violation { at, rule, detail });
        }
    }

    /// The rules that were broken, as far as they are kept.
    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }

    /// A request came to a balancer.
    pub fn on_request_opened(&mut self, request: u64, deadline_at: Nanos) {
        self.open_requests.insert(
            request,
            OpenRequest {
                deadline_at,
                ..OpenRequest::default()
            },
        );
    }

    /// A balancer hears whether a gateway takes new work.
    pub fn on_server_listed(&mut self, at: Nanos, balancer: u32, gateway: u32, ready: bool) {
        if ready {
            self.unready_since.remove(&(balancer, gateway));
        } else {
            self.unready_since.entry((balancer, gateway)).or_insert(at);
        }
    }

    /// A balancer starts anew and remembers nothing.
    pub fn on_balancer_restarted(&mut self, balancer: u32) {
        self.unready_since.retain(|(of, _), _| *of != balancer);
    }

    /// An attempt is made.
    pub fn on_attempt_started(&mut self, at: Nanos, request: u64, balancer: u32, gateway: u32) {
        if let Some(listed_at) = self.unready_since.get(&(balancer, gateway))
            && at > listed_at + DRAIN_GRACE + TIME_TOLERANCE
        {
            let late = (at - listed_at) / 1_000_000;
            let detail = format!(
                "request {request} to gateway {gateway}, {late} ms after balancer {balancer} knew"
            );
            self.record_violation(at, "nothing new later than the grace", detail);
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
                "attempts are bounded",
                format!("request {request}, attempt {attempts}"),
            );
        }
    }

    /// An attempt ended without a connection.
    pub fn on_attempt_ended(&mut self, request: u64, may_have_run: bool) {
        if let Some(open) = self.open_requests.get_mut(&request) {
            open.has_open_attempt = false;
            open.may_have_run |= may_have_run;
        }
    }

    /// The final answer; `refused` promises that a new try does no harm.
    pub fn on_request_answered(&mut self, at: Nanos, request: u64, is_rejected: bool) {
        let Some(open) = self.open_requests.remove(&request) else {
            return self.record_violation(
                at,
                "one final answer",
                format!("request {request} was answered before"),
            );
        };
        if at > open.deadline_at + TIME_TOLERANCE {
            let late = (at - open.deadline_at) / 1_000_000;
            self.record_violation(
                at,
                "an answer in time",
                format!("request {request}, {late} ms late"),
            );
        }
        if is_rejected && open.may_have_run {
            self.record_violation(
                at,
                "no promise where it may have run",
                format!("request {request}"),
            );
        }
    }

    /// A request is over without an answer that anybody waits for: its balancer was killed.
    pub fn on_request_lost(&mut self, request: u64) {
        self.open_requests.remove(&request);
    }

    /// The run is over: nobody may be left without an answer whose time was up.
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
                "one final answer",
                format!("request {request} got none"),
            );
        }
    }
}
