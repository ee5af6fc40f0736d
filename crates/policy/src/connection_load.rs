//! Accounting of connections: their loads and groups on the servers.

use crate::balancer::Balancer;
use crate::ids::{RequestId, ServerId};
use crate::request_table::{RequestPhase, RequestState};

/// The load of one established connection.
#[derive(Clone, Copy)]
pub(crate) struct ConnectionLoad {
    pub(crate) request: RequestId,
    pub(crate) load: f64,
}

impl Balancer {
    /// Counts the load and the group of a request on a server.
    pub(crate) fn add_connection(&mut self, id: RequestId, server: ServerId) {
        let Some(RequestState { connect, .. }) = self.requests.get(id) else {
            return;
        };
        self.servers
            .add_load(server, connect.class, connect.expected_load);
        if let Some(group) = connect.group {
            self.groups.add_connection(group, server);
        }
    }

    /// Reverts [`Balancer::add_connection`]. The request waits from then on.
    pub(crate) fn release_connection(&mut self, id: RequestId) {
        let Some(server) = self.requests.release(id) else {
            return;
        };
        let Some(RequestState { connect, .. }) = self.requests.get(id) else {
            return;
        };
        self.servers
            .remove_load(server, connect.class, connect.expected_load);
        if let Some(group) = connect.group {
            self.groups.remove_connection(group, server);
        }
    }

    pub(crate) fn remove_request(&mut self, id: RequestId) {
        self.release_connection(id);
        self.requests.remove(id);
    }

    /// Replaces the load of an established connection by a measured one.
    pub(crate) fn replace_load(&mut self, id: RequestId, server: ServerId, load: f64) {
        let Some(class) = self.requests.get(id).map(|request| request.connect.class) else {
            return;
        };
        let former = self.requests.replace_load(id, load);
        self.servers.replace_load(server, class, former, load);
    }

    /// Load of a request; the mean of its class if it is not known.
    pub(crate) fn load_of(&self, request: &RequestState) -> f64 {
        self.servers
            .load_or_mean(request.connect.class, request.connect.expected_load)
    }

    /// Mean load of all requests; positive.
    pub(crate) fn mean_connection_load(&self) -> f64 {
        let requests = self.requests.len().max(1) as f64;
        (self.servers.total_load() / requests).max(f64::MIN_POSITIVE)
    }

    /// The established connections on a server, the heaviest first.
    pub(crate) fn connections_by_load(&self, server: ServerId) -> Vec<ConnectionLoad> {
        let here = self
            .requests
            .iter()
            .filter(|(_, request)| request.phase == RequestPhase::Established(server));
        let mut connections: Vec<ConnectionLoad> = here
            .map(|(id, request)| ConnectionLoad {
                request: id,
                load: self.load_of(request),
            })
            .collect();
        connections.sort_by(|one, other| other.load.total_cmp(&one.load));
        connections
    }
}
