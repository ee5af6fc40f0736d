//! Groups: how often they were seen, where their connections are and which servers they prefer.

use std::collections::BTreeMap;

use crate::ids::{GroupId, ServerId};
use crate::server::Server;
use crate::server_table::ServerTable;

/// Most server orders that are cached.
const MAX_CACHED_ORDERS: usize = 1024;
/// Requests after which the recent counts are halved.
const RECENT_WINDOW: f64 = 1000.0;
/// Groups with a smaller recent count are dropped.
const MIN_RECENT_COUNT: f64 = 0.5;

/// Recent requests of one group and of all requests.
#[derive(Clone, Copy)]
pub(crate) struct RecentRequests {
    pub(crate) of_group: f64,
    pub(crate) of_all: f64,
}

/// The groups.
#[derive(Default)]
pub(crate) struct GroupTable {
    recent: BTreeMap<GroupId, f64>,
    recent_total: f64,
    /// Connections of each group, by server; in flight and established.
    placements: BTreeMap<GroupId, BTreeMap<ServerId, u32>>,
    /// Ready servers by rendezvous rank, for each group seen since the list last changed.
    orders: BTreeMap<GroupId, Vec<ServerId>>,
}

impl GroupTable {
    /// Counts a request of a group or of none.
    pub(crate) fn count_request(&mut self, group: Option<GroupId>) {
        if let Some(group) = group {
            *self.recent.entry(group).or_insert(0.0) += 1.0;
        }
        self.recent_total += 1.0;
        if self.recent_total > RECENT_WINDOW {
            self.recent_total /= 2.0;
            self.recent.values_mut().for_each(|count| *count /= 2.0);
            self.recent.retain(|_, count| *count > MIN_RECENT_COUNT);
        }
    }

    pub(crate) fn recent_requests(&self, group: GroupId) -> RecentRequests {
        let of_group = self.recent.get(&group).copied().unwrap_or(0.0);
        RecentRequests {
            of_group,
            of_all: self.recent_total,
        }
    }

    pub(crate) fn add_connection(&mut self, group: GroupId, server: ServerId) {
        *self
            .placements
            .entry(group)
            .or_default()
            .entry(server)
            .or_insert(0) += 1;
    }

    pub(crate) fn remove_connection(&mut self, group: GroupId, server: ServerId) {
        let Some(servers) = self.placements.get_mut(&group) else {
            return;
        };
        if let Some(count) = servers.get_mut(&server) {
            *count -= 1;
        }
        servers.retain(|_, count| *count > 0);
        if servers.is_empty() {
            self.placements.remove(&group);
        }
    }

    /// Drops the cached orders after a change of the servers.
    pub(crate) fn clear_orders(&mut self) {
        self.orders.clear();
    }

    /// The ready servers by rendezvous rank for a group, best first.
    pub(crate) fn order(&mut self, group: GroupId, servers: &ServerTable) -> &[ServerId] {
        if self.orders.len() >= MAX_CACHED_ORDERS {
            self.orders.clear();
        }
        self.orders.entry(group).or_insert_with(|| {
            let rank = |server: &Server| (server.rendezvous_rank(group), server.id());
            let mut ranked: Vec<(f64, ServerId)> = servers.ready().map(rank).collect();
            ranked.sort_by(|one, other| one.0.total_cmp(&other.0));
            ranked.into_iter().map(|(_, id)| id).collect()
        })
    }

    /// The ready servers: first those that hold connections of the group, then the others by
    /// rendezvous rank, starting at index `first` and wrapping around.
    pub(crate) fn preferred_servers(
        &mut self,
        group: GroupId,
        first: usize,
        servers: &ServerTable,
    ) -> Vec<ServerId> {
        let mut preferred = self.holders(group);
        preferred.retain(|id| servers.is_ready(*id));
        let holders = preferred.len();
        let order = self.order(group, servers);
        let (before, after) = order.split_at(first.min(order.len()));
        for id in after.iter().chain(before) {
            if !preferred[..holders].contains(id) {
                preferred.push(*id);
            }
        }
        preferred
    }

    /// The servers that hold connections of a group, the one with the most first.
    fn holders(&self, group: GroupId) -> Vec<ServerId> {
        let Some(servers) = self.placements.get(&group) else {
            return Vec::new();
        };
        let mut counts: Vec<(u32, ServerId)> =
            servers.iter().map(|(id, count)| (*count, *id)).collect();
        counts.sort_by(|one, other| other.0.cmp(&one.0).then(one.1.cmp(&other.1)));
        counts.into_iter().map(|(_, id)| id).collect()
    }
}
