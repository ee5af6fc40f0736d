//! Configuration of the recovery and its validation.

use crate::{EvidenceSource, MS, Millis, Nanos, SECOND};

/// Configuration of the recovery of one process.
#[derive(Clone, Debug, PartialEq)]
pub struct RecoveryConfig {
    /// Name of this process, unique in the fleet; not empty.
    pub name: String,
    /// Name of the site of this process.
    pub site: String,
    /// Number of balancers in all sites. Quotas are divided by it and not by the number of visible
    /// peers, so that both halves of a partition together stay within the limit.
    pub fleet_size: u32,
    /// Number of peers expected in the own site.
    pub site_peers: u32,
    /// Names of the other sites with peers.
    pub other_sites: Vec<String>,
    /// Whether a shared store can be queried.
    pub has_store: bool,
    /// Timeouts of the steps.
    pub timeouts: Timeouts,
    /// How long remembered state is valid.
    pub retention: Retention,
    /// Slow start of the servers.
    pub slow_start: SlowStartRules,
    /// The request classes by index; at least one.
    pub classes: Vec<RequestClass>,
    /// Accounts with a share other than 1.
    pub accounts: Vec<AccountShare>,
    /// Usual number of clients of the fleet, used if none are remembered; 0 if not known.
    pub usual_clients: u32,
    /// Mean number of clients of a group, which all go to one server; 0 or 1 without groups.
    pub group_size: f64,
}

/// Timeouts and intervals of the recovery steps, in nanoseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timeouts {
    /// For an answer of the own site's peers.
    pub site_peers: Nanos,
    /// For an answer of other sites' peers.
    pub other_sites: Nanos,
    /// For an answer of discovery, in addition to the spread of the fleet's calls.
    pub discovery: Nanos,
    /// For an answer of the shared store, in addition to the spread of the fleet's calls.
    pub store: Nanos,
    /// From the start of staged admission to full service.
    pub staged_admission: Nanos,
    /// Time that discovery or the shared store needs for one call.
    pub call_spacing: Nanos,
    /// Longest span over which the fleet's first calls are spread.
    pub max_spread: Nanos,
    /// Longest interval between retries.
    pub max_retry_interval: Nanos,
    /// Time without any event after which the process counts as suspended; at least four tick
    /// intervals (1 s).
    pub suspended_after: Nanos,
    /// How long drains from before are held if discovery has lost its state.
    pub drain_hold: Nanos,
}

/// How long remembered state is valid, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Retention {
    /// Age up to which the server list and its drains are used.
    pub list: Millis,
    /// Age up to which placements are used.
    pub placements: Millis,
    /// Half-life of the weight of server rates and health.
    pub half_life: Millis,
    /// Age up to which the numbers of previous clients are used.
    pub previous_clients: Millis,
    /// Longest outage that the wall clock is trusted to show without another clock.
    pub max_outage: Millis,
    /// Greatest difference between clocks that agree.
    pub clock_tolerance: Millis,
}

/// Rules of the slow start of servers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartRules {
    /// Time from the start of a server to its full capacity.
    pub warm_up_time: Nanos,
    /// Fraction of its capacity that a server starts with.
    pub initial_capacity: f64,
    /// Multiple of its present capacity at which a server is overloaded.
    pub overload_multiple: f64,
    /// Window over which new clients count towards the overload limit.
    pub overload_window: Nanos,
    /// Tolerance of the overload limit for random variation: `variance_margin * (sqrt(limit) + 1)`
    /// clients are added to the limit.
    pub variance_margin: f64,
    /// Clients per second that a warm server of weight 1 can take, used if no rate is remembered.
    pub clients_per_server_s: f64,
}

/// A request class.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestClass {
    /// Total time that a client waits for a connection; more than 0.
    pub deadline: Nanos,
}

/// An account's share of the service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AccountShare {
    /// Hash of the account's name.
    pub account: u64,
    /// Share relative to other accounts; more than 0.
    pub share: f64,
}

/// A configuration field that is outside its range.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConfigError {
    /// Path of the field in the configuration.
    pub field: &'static str,
}

impl Default for Timeouts {
    fn default() -> Timeouts {
        Timeouts {
            site_peers: 500 * MS,
            other_sites: SECOND,
            discovery: 2 * SECOND,
            store: SECOND,
            staged_admission: 600 * SECOND,
            call_spacing: 10 * MS,
            max_spread: 3 * SECOND,
            max_retry_interval: 15 * SECOND,
            suspended_after: 5 * SECOND,
            drain_hold: 30 * SECOND,
        }
    }
}

impl Default for Retention {
    fn default() -> Retention {
        const HOUR: Millis = 3_600_000;
        Retention {
            list: 24 * HOUR,
            placements: HOUR,
            half_life: HOUR,
            previous_clients: 7 * 24 * HOUR,
            max_outage: 7 * 24 * HOUR,
            clock_tolerance: 5_000,
        }
    }
}

impl Default for SlowStartRules {
    fn default() -> SlowStartRules {
        SlowStartRules {
            warm_up_time: 20 * SECOND,
            initial_capacity: 0.2,
            overload_multiple: 3.0,
            overload_window: 1_500 * MS,
            variance_margin: 0.0,
            clients_per_server_s: 1.0,
        }
    }
}

impl Default for RecoveryConfig {
    fn default() -> RecoveryConfig {
        RecoveryConfig {
            name: String::new(),
            site: String::new(),
            fleet_size: 1,
            site_peers: 0,
            other_sites: Vec::new(),
            has_store: false,
            timeouts: Timeouts::default(),
            retention: Retention::default(),
            slow_start: SlowStartRules::default(),
            classes: vec![RequestClass {
                deadline: 5 * SECOND,
            }],
            accounts: Vec::new(),
            usual_clients: 0,
            group_size: 0.0,
        }
    }
}

impl RecoveryConfig {
    /// Returns all fields that are outside their range.
    pub fn errors(&self) -> Vec<ConfigError> {
        let (timeouts, retention, slow_start) = (&self.timeouts, &self.retention, &self.slow_start);
        let is_fraction = |value: f64| value > 0.0 && value <= 1.0;
        let is_positive = |value: f64| value.is_finite() && value > 0.0;
        let checks = [
            ("name", self.name.is_empty()),
            ("fleet", self.fleet_size == 0),
            ("bounds.refill", timeouts.staged_admission == 0),
            ("bounds.repeat", timeouts.max_retry_interval < MS),
            (
                "bounds.stopped",
                timeouts.suspended_after < TICK_INTERVAL.saturating_mul(4),
            ),
            ("ages.fades", retention.half_life == 0),
            ("cold.cold_share", !is_fraction(slow_start.initial_capacity)),
            (
                "cold.tip_multiple",
                !is_positive(slow_start.overload_multiple),
            ),
            ("cold.fall_time", slow_start.overload_window == 0),
            (
                "cold.slack",
                !(slow_start.variance_margin.is_finite() && slow_start.variance_margin >= 0.0),
            ),
            ("cold.borne", !is_positive(slow_start.clients_per_server_s)),
            (
                "group",
                !(self.group_size.is_finite() && self.group_size >= 0.0),
            ),
            ("classes", self.classes.is_empty()),
            (
                "classes.deadline",
                self.classes.iter().any(|class| class.deadline == 0),
            ),
            (
                "accounts.share",
                self.accounts
                    .iter()
                    .any(|account| !is_positive(account.share)),
            ),
        ];
        checks
            .into_iter()
            .filter(|(_, is_invalid)| *is_invalid)
            .map(|(field, _)| ConfigError { field })
            .collect()
    }

    /// The span over which the fleet's first calls to discovery or the shared store are spread.
    pub fn call_spread(&self) -> Nanos {
        self.timeouts
            .call_spacing
            .saturating_mul(u64::from(self.fleet_size))
            .min(self.timeouts.max_spread)
    }

    /// Time after which a query to a source is given up, including the spread of the calls.
    pub(crate) fn query_timeout(&self, source: EvidenceSource) -> Nanos {
        match source {
            EvidenceSource::SitePeers => self.timeouts.site_peers,
            EvidenceSource::OtherSites => self.timeouts.other_sites,
            EvidenceSource::Discovery => self.timeouts.discovery.saturating_add(self.call_spread()),
            EvidenceSource::Store => self.timeouts.store.saturating_add(self.call_spread()),
        }
    }

    /// Longest time from the start of a process until it admits clients.
    pub fn max_time_to_admission(&self) -> Nanos {
        EvidenceSource::ALL
            .into_iter()
            .map(|source| self.query_timeout(source))
            .fold(0, Nanos::saturating_add)
    }

    /// Longest time from the start of a process until it is in full service.
    pub fn max_time_to_full_service(&self) -> Nanos {
        self.max_time_to_admission()
            .saturating_add(self.timeouts.staged_admission)
    }
}

/// Interval of ticks until service is full.
pub(crate) const TICK_INTERVAL: Nanos = 250 * MS;
