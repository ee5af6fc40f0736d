//! The settings of a site: request classes, limits and the rules on slow start.

use thiserror::Error;

use crate::ids::ClassId;
use crate::time::{Nanos, seconds};

/// Messages that take this part (1/n) of their objective show that a server nears its capacity.
const SLOW_MESSAGE_DIVISOR: Nanos = 2;
/// The first attempt gets the client's time divided by this. Three attempts, each twice as long as
/// the one before, then leave an eighth for the waits between them.
const ATTEMPT_DIVISOR: Nanos = 8;

/// The set of servers that share one record of idempotency keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// All servers.
    All,
    /// Servers of one zone.
    Zone,
    /// Servers of one cell.
    Cell,
}

/// Whether a request may be sent again after it may have been executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySafety {
    /// A second execution has no further effect.
    Idempotent,
    /// Servers in `dedup_scope` discard a repeated request for `window` after the first send.
    IdempotencyKey {
        /// Servers that share their record of keys.
        dedup_scope: DedupScope,
        /// How long a key is remembered.
        window: Nanos,
    },
    /// A second execution may take effect twice.
    NonIdempotent,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// Total time that a client waits, over all attempts.
    pub deadline: Nanos,
    /// Whether requests may be retried after a possible execution.
    pub retry_safety: RetrySafety,
    /// Objective for a message on an established connection; 0 if there is none.
    pub message_latency_objective: Nanos,
}

/// The part of a client's time that its first attempt may take.
pub fn first_attempt_share(client_time: Nanos) -> Nanos {
    client_time / ATTEMPT_DIVISOR
}

impl RequestClass {
    /// The weight of the class in the admission queue. Classes of equal demand then wait for the
    /// same fraction of the time that their clients have.
    pub fn queue_weight(&self) -> f64 {
        1.0 / seconds(self.deadline)
    }

    /// A message of this class that takes so long is a sign of overload; [`Nanos::MAX`] without an
    /// objective.
    pub fn slow_message_threshold(&self) -> Nanos {
        match self.message_latency_objective {
            0 => Nanos::MAX,
            objective => objective / SLOW_MESSAGE_DIVISOR,
        }
    }
}

/// How changes of the server list reach this balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// An agent pushes them.
    Pushed,
    /// They arrive only after [`Action::WatchServerList`](crate::Action::WatchServerList).
    Polled,
}

/// Limits that the site sets.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Most attempts for one request.
    pub max_attempts: u32,
    /// Whether rejections carry a retry-after.
    pub sends_retry_after: bool,
    /// Longest retry-after that a client honours.
    pub max_retry_after: Nanos,
    /// Whether servers may be probed for their load.
    pub can_probe: bool,
    /// A connect that takes longer has failed.
    pub connect_timeout: Nanos,
}

/// The site's rules on slow start, overload and list freshness.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerRules {
    /// Fraction of its capacity that a server has when it starts.
    pub initial_capacity: f64,
    /// Time from the start of a server to its full capacity.
    pub warm_up_time: Nanos,
    /// Multiple of its present capacity that overloads a server in slow start.
    pub overload_multiple: f64,
    /// Span over which that load is counted.
    pub overload_window: Nanos,
    /// Without a watch, a list entry of this age counts as known; 0 if there is no such rule.
    pub list_max_age: Nanos,
}

/// Settings of one balancer: its place in the fleet and the settings of its site.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Number of balancers in the fleet.
    pub balancers: u32,
    /// Index of this balancer in the fleet, from 0.
    pub rank: u32,
    /// The request classes.
    pub classes: Vec<RequestClass>,
    /// How the server list arrives.
    pub discovery: DiscoveryMode,
    /// Whether listed weights fall with the load of a server.
    pub has_live_weights: bool,
    /// Limits of the site.
    pub limits: Limits,
    /// Rules on servers.
    pub rules: ServerRules,
}

/// A setting is outside its range.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("setting out of range: {field}")]
pub struct SettingsError {
    /// Path of the field.
    pub field: &'static str,
}

impl Settings {
    /// Checks every field that the policy divides by or waits on.
    ///
    /// # Errors
    ///
    /// Returns the first field outside its range.
    pub fn check(&self) -> Result<(), SettingsError> {
        self.errors().into_iter().next().map_or(Ok(()), Err)
    }

    /// All fields that are outside their range.
    pub fn errors(&self) -> Vec<SettingsError> {
        let rules = &self.rules;
        let capacity_range = 0.0..=1.0;
        let has_class = |is_invalid: fn(&RequestClass) -> bool| self.classes.iter().any(is_invalid);
        let checks = [
            ("classes", self.classes.is_empty()),
            ("classes.deadline", has_class(|class| class.deadline == 0)),
            ("balancers", self.balancers == 0),
            ("limits.max_attempts", self.limits.max_attempts == 0),
            (
                "rules.initial_capacity",
                !capacity_range.contains(&rules.initial_capacity) || rules.initial_capacity == 0.0,
            ),
            (
                "rules.overload_multiple",
                !rules.overload_multiple.is_finite() || rules.overload_multiple <= 0.0,
            ),
        ];
        let failed = checks.into_iter().filter(|(_, is_invalid)| *is_invalid);
        failed.map(|(field, _)| SettingsError { field }).collect()
    }

    /// Whether `other` may replace these settings: it is valid and keeps the index of every class.
    pub(crate) fn can_be_replaced_by(&self, other: &Settings) -> bool {
        self != other && self.classes.len() <= other.classes.len() && other.check().is_ok()
    }

    pub(crate) fn has_class(&self, class: ClassId) -> bool {
        class.0 < self.classes.len()
    }

    /// The class with this index.
    ///
    /// # Panics
    ///
    /// Panics if there is no such class; see [`Settings::has_class`].
    pub(crate) fn class(&self, class: ClassId) -> &RequestClass {
        &self.classes[class.0]
    }

    pub(crate) fn longest_deadline(&self) -> Nanos {
        self.classes
            .iter()
            .map(|class| class.deadline)
            .max()
            .unwrap_or(0)
    }
}
