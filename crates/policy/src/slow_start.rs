//! Slow start: how many clients this balancer sends to servers that have started recently.
//!
//! The fleet's budget follows from the load on warm servers and the rate of new clients; each
//! balancer has a quota of it, as a probability of admission. Budgets that are not used expire.

use crate::event::ServerEntry;
use crate::load::DecayingCount;
use crate::settings::ServerRules;
use crate::time::{Nanos, seconds};

/// Fractions of the overload multiple that servers in slow start are sent: by the load on warm
/// servers and by the rate of new clients.
const LOAD_FACTOR: f64 = 1.4;
const NEW_CLIENT_FACTOR: f64 = 0.6;
/// The load factor where each server has a budget of its own.
const LOAD_FACTOR_PER_SERVER: f64 = 4.2;
/// A single server may take this multiple of its share of the budget.
const SERVER_BUDGET_FACTOR: f64 = 3.0;
/// Least span for which an unused budget is kept, in nanoseconds.
const MIN_BUDGET_SPAN: Nanos = 100_000_000;
/// Time constant of the rate of new clients, in seconds.
const RATE_AVERAGING_S: f64 = 10.0;

/// The fraction of its capacity that a server has at least, by its start.
pub(crate) fn capacity_fraction(rules: &ServerRules, entry: &ServerEntry, now: Nanos) -> f64 {
    let age = now.saturating_sub(entry.started_at);
    if entry.started_at == 0 || age >= rules.warm_up_time {
        return 1.0;
    }
    rules.initial_capacity + (1.0 - rules.initial_capacity) * age as f64 / rules.warm_up_time as f64
}

/// Capacity of all ready servers, in listed weights.
#[derive(Clone, Copy, Default)]
pub(crate) struct FleetCapacity {
    /// If all servers were warm.
    full: f64,
    /// At present.
    present: f64,
    /// At present, of the servers in slow start.
    warming: f64,
    /// Whether each server in slow start has a budget of its own.
    has_server_budgets: bool,
}

impl FleetCapacity {
    pub(crate) fn new(has_server_budgets: bool) -> FleetCapacity {
        FleetCapacity {
            has_server_budgets,
            ..FleetCapacity::default()
        }
    }

    /// Adds a ready server.
    pub(crate) fn add(&mut self, size: f64, capacity: f64) {
        self.full += size;
        self.present += size * capacity;
        if capacity < 1.0 {
            self.warming += size * capacity;
        }
    }

    /// Present capacity relative to the full one.
    pub(crate) fn present_fraction(&self) -> f64 {
        self.present / self.full.max(f64::MIN_POSITIVE)
    }

    /// The part of a load that belongs on servers in slow start, by their present capacity.
    pub(crate) fn slow_start_share_of(&self, load: f64) -> f64 {
        load * self.warming / self.present.max(f64::MIN_POSITIVE)
    }

    /// Clients per second that this balancer may send to a warm server of weight 1, before the
    /// overload multiple: what the load on warm servers shows, or the rate of new clients.
    fn client_rate(
        &self,
        rules: &ServerRules,
        connections_on_warm: f64,
        new_clients_per_s: f64,
    ) -> f64 {
        let load_factor = if self.has_server_budgets {
            LOAD_FACTOR_PER_SERVER
        } else {
            LOAD_FACTOR
        };
        let warm = self.present - self.warming;
        let by_load = if warm > 0.0 {
            connections_on_warm / warm / seconds(rules.warm_up_time.max(1))
        } else {
            0.0
        };
        let full = self.full.max(f64::MIN_POSITIVE);
        (load_factor * by_load).max(NEW_CLIENT_FACTOR * new_clients_per_s / full)
    }
}

/// A server in slow start that is considered for a placement.
#[derive(Clone, Copy)]
pub(crate) struct WarmingCandidate {
    /// Its present capacity, as a weight.
    pub(crate) capacity: f64,
    /// Time since it was last considered.
    pub(crate) unused_for: Nanos,
}

/// The slow-start budget of this balancer.
#[derive(Default)]
pub(crate) struct SlowStart {
    capacity: FleetCapacity,
    new_clients: DecayingCount,
    /// Clients per second for a warm server of weight 1, when last computed.
    client_rate: f64,
    /// When a client was last considered for any server in slow start.
    considered_at: Nanos,
}

impl SlowStart {
    pub(crate) fn capacity(&self) -> &FleetCapacity {
        &self.capacity
    }

    /// A client came to this balancer for the first time.
    pub(crate) fn count_new_client(&mut self, now: Nanos) {
        self.new_clients.add(now, 1.0, RATE_AVERAGING_S);
    }

    /// Recomputes the budget.
    pub(crate) fn update(
        &mut self,
        now: Nanos,
        rules: &ServerRules,
        capacity: FleetCapacity,
        connections_on_warm: f64,
    ) {
        // No budget accrues while no server is in slow start.
        if self.capacity.warming == 0.0 {
            self.considered_at = now;
        }
        self.capacity = capacity;
        let new_clients_per_s = self.new_clients.value_at(now, RATE_AVERAGING_S) / RATE_AVERAGING_S;
        self.client_rate = capacity.client_rate(rules, connections_on_warm, new_clients_per_s);
    }

    /// The probability that a client is admitted to a server in slow start now. The budget of the
    /// span since the previous call is used up.
    pub(crate) fn admission_probability(
        &mut self,
        now: Nanos,
        rules: &ServerRules,
        candidate: WarmingCandidate,
    ) -> f64 {
        let unused_for = now.saturating_sub(std::mem::replace(&mut self.considered_at, now));
        let for_fleet = self.fleet_probability(rules, unused_for);
        if !self.capacity.has_server_budgets {
            return for_fleet;
        }
        // Live weights lead all balancers to the same empty server.
        let budget = SERVER_BUDGET_FACTOR * candidate.capacity;
        for_fleet.min(self.probability(rules, budget, candidate.unused_for))
    }

    /// The probability that a client is sent to any server in slow start, if the budget was last
    /// used `unused_for` ago.
    pub(crate) fn fleet_probability(&self, rules: &ServerRules, unused_for: Nanos) -> f64 {
        let accrued = unused_for.min(rules.overload_window.max(MIN_BUDGET_SPAN));
        self.probability(rules, self.capacity.warming, accrued)
    }

    fn probability(&self, rules: &ServerRules, capacity: f64, span: Nanos) -> f64 {
        let clients_per_s = rules.overload_multiple * capacity * self.client_rate;
        (clients_per_s * seconds(span)).min(1.0)
    }
}
