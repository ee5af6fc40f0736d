//! The rules that every run keeps, read off what happens: each broken one with its moment.

use std::fmt;

use rustc_hash::FxHashMap;

use crate::scenario::MAX_ATTEMPTS;
use crate::{Nanos, SECOND};

/// Nothing new later than this after a balancer heard of a drain.
const DRAIN_GRACE: Nanos = SECOND;
/// Slack for a moment that is reached and not passed.
const SLACK: Nanos = 1_000_000;

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Broken {
    /// When.
    pub at: Nanos,
    /// Which rule.
    pub rule: &'static str,
    /// By what.
    pub what: String,
}

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:.6} s: {}: {}",
            self.at as f64 / 1e9,
            self.rule,
            self.what
        )
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Open {
    attempts: u32,
    out: bool,
    give_up_at: Nanos,
    may_have_run: bool,
}

/// Reads what happens.
#[derive(Debug, Default)]
pub struct Checker {
    open: FxHashMap<u64, Open>,
    /// When a balancer heard that a gateway drains or is gone.
    last_list_at: FxHashMap<(u32, u32), Nanos>,
    broken: Vec<Broken>,
    /// How many were broken; of very many not all are kept.
    pub count: u64,
}

/// Broken rules that are kept.
const MOST_KEPT: usize = 100;

impl Checker {
    fn breaks(&mut self, at: Nanos, rule: &'static str, what: String) {
        self.count += 1;
        if self.broken.len() < MOST_KEPT {
            self.broken.push(Broken { at, rule, what });
        }
    }

    /// The rules that were broken, as far as they are kept.
    pub fn broken(&self) -> &[Broken] {
        &self.broken
    }

    /// A request came to a balancer.
    pub fn opened(&mut self, request: u64, give_up_at: Nanos) {
        self.open.insert(
            request,
            Open {
                give_up_at,
                ..Open::default()
            },
        );
    }

    /// A balancer hears whether a gateway takes new work.
    pub fn listed(&mut self, at: Nanos, balancer: u32, gateway: u32, ready: bool) {
        if ready {
            self.last_list_at.remove(&(balancer, gateway));
        } else {
            self.last_list_at.entry((balancer, gateway)).or_insert(at);
        }
    }

    /// A balancer starts anew and remembers nothing.
    pub fn restarted(&mut self, balancer: u32) {
        self.last_list_at.retain(|(of, _), _| *of != balancer);
    }

    /// An attempt is made.
    pub fn attempts(&mut self, at: Nanos, request: u64, balancer: u32, gateway: u32) {
        if let Some(told) = self.last_list_at.get(&(balancer, gateway))
            && at > told + DRAIN_GRACE + SLACK
        {
            let late = (at - told) / 1_000_000;
            let what = format!(
                "request {request} to gateway {gateway}, {late} ms after balancer {balancer} knew"
            );
            self.breaks(at, "nothing new later than the grace", what);
        }
        let Some(open) = self.open.get_mut(&request) else {
            return self.breaks(
                at,
                "no attempt after the final answer",
                format!("request {request}"),
            );
        };
        open.attempts += 1;
        let (attempts, overlaps) = (open.attempts, std::mem::replace(&mut open.out, true));
        if overlaps {
            self.breaks(
                at,
                "attempts never overlap",
                format!("request {request}, attempt {attempts}"),
            );
        }
        if attempts > MAX_ATTEMPTS {
            self.breaks(
                at,
                "attempts are bounded",
                format!("request {request}, attempt {attempts}"),
            );
        }
    }

    /// An attempt ended without a connection.
    pub fn ended(&mut self, request: u64, may_have_run: bool) {
        if let Some(open) = self.open.get_mut(&request) {
            open.out = false;
            open.may_have_run |= may_have_run;
        }
    }

    /// The final answer; `refused` promises that a new try does no harm.
    pub fn answered(&mut self, at: Nanos, request: u64, refused: bool) {
        let Some(open) = self.open.remove(&request) else {
            return self.breaks(
                at,
                "one final answer",
                format!("request {request} was answered before"),
            );
        };
        if at > open.give_up_at + SLACK {
            let late = (at - open.give_up_at) / 1_000_000;
            self.breaks(
                at,
                "an answer in time",
                format!("request {request}, {late} ms late"),
            );
        }
        if refused && open.may_have_run {
            self.breaks(
                at,
                "no promise where it may have run",
                format!("request {request}"),
            );
        }
    }

    /// A request is over without an answer that anybody waits for: its balancer was killed.
    pub fn lost(&mut self, request: u64) {
        self.open.remove(&request);
    }

    /// The run is over: nobody may be left without an answer whose time was up.
    pub fn finishes(&mut self, at: Nanos) {
        let mut late: Vec<u64> = self
            .open
            .iter()
            .filter(|(_, open)| at > open.give_up_at + SLACK)
            .map(|(id, _)| *id)
            .collect();
        late.sort_unstable();
        for request in late {
            self.breaks(
                at,
                "one final answer",
                format!("request {request} got none"),
            );
        }
    }
}
