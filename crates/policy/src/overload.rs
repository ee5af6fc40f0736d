//! Overload of single servers: load ceilings, pauses and the relief of slow servers.

use rand::Rng;

use crate::action::{Action, MigrationReason, OverloadSummary};
use crate::balancer::Balancer;
use crate::ids::{ClassId, ServerId};
use crate::server::Server;
use crate::time::{Nanos, fraction_of};

/// Fractions of its load that an overloaded server is relieved of: for a sign of overload, and for
/// messages over their objective.
pub(crate) const MILD_RELIEF: f64 = 0.1;
const STRONG_RELIEF: f64 = 0.25;
/// Fraction of this balancer's load on a slow server that is migrated at once.
const MIGRATED_FRACTION: f64 = 0.37;
/// A sign of overload after this long without one begins a new period, in nanoseconds.
const OVERLOAD_GAP: Nanos = 2_500_000_000;
/// Signs of overload within this span count once, in nanoseconds.
pub(crate) const OVERLOAD_INTERVAL: Nanos = 900_000_000;
/// A server gets nothing new for this long after a sign of overload, in nanoseconds.
const PAUSE: Nanos = 1_500_000_000;
/// The longest pause, for servers on which this balancer has few connections, in nanoseconds.
const MAX_PAUSE: Nanos = 25_000_000_000;
/// Connections below which pauses are longer.
const FEW_CONNECTIONS: f64 = 6.0;
/// Growth of a ceiling in each housekeeping period without overload.
const CEILING_GROWTH: f64 = 1.04;
/// Faster growth below this fraction of the load at which overload began.
const RECOVERY_FRACTION: f64 = 0.6;
const RECOVERY_GROWTH: f64 = 1.15;

/// Housekeeping periods between two overload summaries.
const SUMMARY_PERIODS: u64 = 10;
/// A summary counts servers overloaded within this span, in nanoseconds.
const SUMMARY_OVERLOAD_SPAN: Nanos = 2_500_000_000;
/// A summary counts servers with this many failures in a row.
const SUMMARY_MIN_FAILURES: u32 = 2;

impl Balancer {
    /// Evaluates the latency of a message of a class at a server.
    pub(crate) fn on_message_latency(
        &mut self,
        now: Nanos,
        class: ClassId,
        server: ServerId,
        latency: Nanos,
        actions: &mut Vec<Action>,
    ) {
        let class = self.settings.class(class);
        if latency < class.slow_message_threshold() {
            return;
        }
        if latency < class.message_latency_objective {
            return self.record_overload(now, server, MILD_RELIEF);
        }
        self.servers.record_slow_messages(now, server);
        self.record_overload(now, server, STRONG_RELIEF);
        self.migrate_off_slow_server(server, actions);
    }

    /// Records a sign of overload: the server is paused, and its ceiling is lowered by `relief`.
    pub(crate) fn record_overload(&mut self, now: Nanos, id: ServerId, relief: f64) {
        let Some(load) = self.servers.load_on_id(id) else {
            return;
        };
        let mean_load = self.mean_connection_load();
        let Some(server) = self.servers.get_mut(id) else {
            return;
        };
        if !server.was_overloaded_within(now, OVERLOAD_GAP) {
            server.overload_onset_load = load;
        }
        if server.was_overloaded_within(now, OVERLOAD_INTERVAL) {
            return;
        }
        server.overloaded_at = Some(now);
        server.load_ceiling = server.load_ceiling.min(load * (1.0 - relief));
        // Hundreds of balancers with one connection each are under any ceiling: each pauses longer.
        let longest_factor = MAX_PAUSE as f64 / PAUSE as f64;
        let factor = (FEW_CONNECTIONS * mean_load / load).clamp(1.0, longest_factor);
        let factor = if factor > 1.0 {
            factor * self.rng.random_range(0.5..1.5)
        } else {
            1.0
        };
        server.paused_until = now.saturating_add(fraction_of(PAUSE, factor));
    }

    /// Migrates part of this balancer's connections off a slow server, the heaviest first. Less
    /// than one connection is a probability, so that not every balancer migrates its only one.
    fn migrate_off_slow_server(&mut self, id: ServerId, actions: &mut Vec<Action>) {
        let connections = self.connections_by_load(id);
        let total: f64 = connections.iter().map(|connection| connection.load).sum();
        let mut excess = MIGRATED_FRACTION * total;
        for connection in connections {
            if self.rng.random_range(0.0..1.0) * connection.load >= excess {
                return;
            }
            excess -= connection.load;
            self.migrate(connection.request, MigrationReason::SlowMessages, actions);
        }
    }

    /// Raises the ceilings of servers without overload, faster while they are far below the load
    /// that they once carried.
    pub(crate) fn raise_load_ceilings(&mut self, now: Nanos) {
        for server in self.servers.iter_mut() {
            if !server.was_overloaded_within(now, 2 * OVERLOAD_INTERVAL) {
                let is_recovering =
                    server.load_ceiling < RECOVERY_FRACTION * server.overload_onset_load;
                server.load_ceiling *= if is_recovering {
                    RECOVERY_GROWTH
                } else {
                    CEILING_GROWTH
                };
            }
        }
    }

    /// Adjusts the limit on the total load by the messages that are slow.
    pub(crate) fn update_load_limit(&mut self, now: Nanos) {
        // Migrations empty slow servers, which would hide them: recent slowness counts too.
        let slow = self.servers.slow_servers(now, 2 * OVERLOAD_INTERVAL);
        let has_few_connections = self.requests.len() <= self.ready_servers;
        self.load_limit
            .update(self.servers.total_load(), slow, has_few_connections);
    }

    /// A summary every [`SUMMARY_PERIODS`], if there is any overload to report.
    pub(crate) fn overload_summary(&mut self, now: Nanos) -> Option<OverloadSummary> {
        self.housekeeping_periods += 1;
        if !self.housekeeping_periods.is_multiple_of(SUMMARY_PERIODS) {
            return None;
        }
        let is_overloaded =
            |server: &&Server| server.was_overloaded_within(now, SUMMARY_OVERLOAD_SPAN);
        let is_failing = |server: &&Server| server.consecutive_failures >= SUMMARY_MIN_FAILURES;
        let summary = OverloadSummary {
            ready: self.ready_servers,
            overloaded: self.servers.ready().filter(is_overloaded).count(),
            failing: self.servers.ready().filter(is_failing).count(),
            rejected: self.rejected_since_summary,
            in_flight: self.requests.in_flight(),
            concurrency_limit: self.concurrency.get(),
        };
        if summary.overloaded == 0 && summary.failing == 0 && summary.rejected == 0 {
            return None;
        }
        self.rejected_since_summary = 0;
        Some(summary)
    }
}
