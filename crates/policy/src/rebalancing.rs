//! Migration of established connections: rebalancing, slow start and draining servers.

use rand::Rng;

use crate::action::{Action, MigrationReason};
use crate::balancer::{Balancer, HOUSEKEEPING_PERIOD};
use crate::event::ServerState;
use crate::ids::RequestId;
use crate::request_table::RequestPhase;
use crate::server_table::WeighedLoad;

/// A server this fraction over the mean load per weight, and this many connections, is relieved.
const EXCESS_FRACTION: f64 = 0.5;
const EXCESS_CONNECTIONS: f64 = 6.0;
/// A migrated connection has at least this fraction of the load on its server.
const MIN_LOAD_FRACTION: f64 = 0.03;
/// The server that it moves to ends up below this fraction of the load per weight of its own.
const MAX_TARGET_FRACTION: f64 = 0.8;
/// Fraction of the connections on a removed server that migrate in each housekeeping period.
const REMOVED_FRACTION: f64 = 0.5;
/// The same for a draining server while all others are warm.
const DRAINING_FRACTION: f64 = 0.25;

impl Balancer {
    /// Ends an established connection so that its client reconnects.
    pub(crate) fn migrate(
        &mut self,
        id: RequestId,
        reason: MigrationReason,
        actions: &mut Vec<Action>,
    ) {
        actions.push(Action::Migrate(id, reason));
        self.remove_request(id);
    }

    /// Migrates one heavy connection off each server that holds far more than its share.
    ///
    /// Servers that report their load are known better than by this balancer's connections; they
    /// are left alone.
    pub(crate) fn rebalance(&mut self, actions: &mut Vec<Action>) {
        let ready_weight = self.ready_weight.max(f64::MIN_POSITIVE);
        let limit = (1.0 + EXCESS_FRACTION) * self.servers.total_load() / ready_weight;
        // The fewer of all connections a balancer sees, the more of its imbalance is chance.
        let unseen_fraction = 1.0 - self.quota.of_limit(1.0);
        let tolerance = EXCESS_CONNECTIONS * unseen_fraction * self.mean_connection_load();
        let loads = self.servers.loads_of_ready();
        for own in &loads {
            if own.load > limit * own.weight + tolerance
                && !self.servers.listed(own.server).has_reported_load
                && let Some(id) = self.connection_to_rebalance(own, &loads)
            {
                self.migrate(id, MigrationReason::Rebalancing, actions);
            }
        }
    }

    /// The heaviest connection that leaves any other server with less load per weight than this one
    /// has. Clients that are pinned or were migrated before stay.
    fn connection_to_rebalance(
        &self,
        own: &WeighedLoad,
        loads: &[WeighedLoad],
    ) -> Option<RequestId> {
        let others = || loads.iter().filter(|other| other.server != own.server);
        let fits = |load: f64| {
            let with_load = |other: &WeighedLoad| (other.load + load) / other.weight;
            let least = others().map(with_load).fold(f64::INFINITY, f64::min);
            least < MAX_TARGET_FRACTION * own.load / own.weight
        };
        let is_free = |id: RequestId| {
            self.requests
                .get(id)
                .is_some_and(|request| request.is_free_to_migrate())
        };
        let connections = self.connections_by_load(own.server);
        let heaviest = connections
            .into_iter()
            .find(|one| fits(one.load) && is_free(one.request))?;
        (heaviest.load >= MIN_LOAD_FRACTION * own.load).then_some(heaviest.request)
    }

    /// Migrates a connection that would now be placed on a server in slow start, while those hold
    /// less than their capacity.
    pub(crate) fn fill_servers_in_slow_start(&mut self, actions: &mut Vec<Action>) {
        let rules = &self.settings.rules;
        let probability = self
            .slow_start
            .fleet_probability(rules, HOUSEKEEPING_PERIOD);
        let warming_share = self
            .slow_start
            .capacity()
            .slow_start_share_of(self.servers.total_load());
        let missing_load = warming_share - self.servers.load_on_warming_servers();
        let missing_connections = missing_load / self.mean_connection_load();
        if self.rng.random_range(0.0..1.0) < probability * missing_connections.min(1.0) {
            let candidates = self.connections_preferring_warming_servers();
            let index = self.rng.random_range(0..candidates.len().max(1));
            if let Some(id) = candidates.get(index) {
                self.migrate(*id, MigrationReason::SlowStart, actions);
            }
        }
    }

    /// The connections on warm servers whose group prefers a server in slow start, or that have no
    /// group.
    fn connections_preferring_warming_servers(&mut self) -> Vec<RequestId> {
        let mut candidates = Vec::new();
        for (id, request) in self.requests.iter() {
            let RequestPhase::Established(at) = request.phase else {
                continue;
            };
            if !self.servers.get(at).is_some_and(|server| server.is_warm()) {
                continue;
            }
            let group = request.connect.group;
            let first =
                group.and_then(|group| self.groups.order(group, &self.servers).first().copied());
            if first.is_none_or(|first| !self.servers.listed(first).is_warm()) {
                candidates.push(id);
            }
        }
        candidates
    }

    /// Migrates part of the connections off servers that drain or were removed. Draining slows down
    /// while the servers that replace them are in slow start.
    pub(crate) fn drain_leaving_servers(&mut self, actions: &mut Vec<Action>) {
        let draining = DRAINING_FRACTION * self.slow_start.capacity().present_fraction();
        for id in self.servers.leaving() {
            let is_removed = self.servers.listed(id).entry.state == ServerState::Removed;
            let probability = if is_removed {
                REMOVED_FRACTION
            } else {
                draining
            };
            for connection in self.connections_by_load(id) {
                if self.rng.random_range(0.0..1.0) < probability {
                    self.migrate(connection.request, MigrationReason::ServerLeaving, actions);
                }
            }
        }
    }
}
