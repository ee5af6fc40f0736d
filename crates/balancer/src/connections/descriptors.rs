//! The budget of file descriptors.
//!
//! Each use has a part of its own, so that idle clients take no descriptor from the watch on
//! discovery, from connections to servers, from the operations port or from a reload.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use crate::operations;
use crate::reload::SharedLimit;

/// Descriptors that belong to no connection: standard streams, the listener, pollers, signals, the
/// watch, a configuration file, the sockets of the handover and of the exchange of ids with their
/// peers, and the operations port with its callers.
pub const RESERVED_DESCRIPTORS: usize = 24 + operations::DESCRIPTORS;
/// Handshakes and rejected clients may hold this fraction (1/n) of the descriptors.
const HANDSHAKE_DIVISOR: usize = 5;
/// Rejected clients that are still read may hold this fraction (1/n) of the descriptors of
/// handshakes.
const LINGERING_DIVISOR: usize = 4;
/// Probes leave this fraction (1/n) of the descriptors free for connections, so that no client is
/// rejected because of them.
const PROBE_HEADROOM_DIVISOR: usize = 16;
/// Least number of handshakes with rejected clients, and of connections.
const MIN_HANDSHAKES_AND_CONNECTIONS: (usize, usize) = (8, 1);

/// The parts of the budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DescriptorBudget {
    /// Unfinished handshakes.
    pub handshakes: usize,
    /// Rejected clients that are read until they close.
    pub lingering: usize,
    /// Open connections, each with a descriptor for the client and one for the server.
    pub connections: usize,
}

impl DescriptorBudget {
    /// Divides `sockets` descriptors, of which `probes` are held by probes. Two processes on one
    /// listener divide the handshakes between them and leave room for each other's own descriptors.
    pub fn new(sockets: usize, shared: bool, probes: usize) -> DescriptorBudget {
        let processes = if shared { 2 } else { 1 };
        let without_server =
            (sockets / HANDSHAKE_DIVISOR / processes).max(MIN_HANDSHAKES_AND_CONNECTIONS.0);
        let lingering = without_server / LINGERING_DIVISOR;
        let reserved = processes * (RESERVED_DESCRIPTORS + without_server) + probes;
        let connections =
            (sockets.saturating_sub(reserved) / 2).max(MIN_HANDSHAKES_AND_CONNECTIONS.1);
        DescriptorBudget {
            handshakes: without_server - lingering,
            lingering,
            connections,
        }
    }

    /// Most descriptors that probes may hold in addition to `connections` open connections.
    pub fn max_probes(sockets: usize, shared: bool, connections: usize) -> usize {
        let max_connections = DescriptorBudget::new(sockets, shared, 0).connections;
        2 * max_connections.saturating_sub(connections + sockets / PROBE_HEADROOM_DIVISOR)
    }
}

/// The descriptors of a front.
#[derive(Clone, Debug)]
pub struct Descriptors {
    /// The limit, which a reload may change.
    pub limit: SharedLimit,
    /// Number of the prober's connections.
    pub probe_connections: Arc<AtomicUsize>,
    /// Whether another process accepts from the same listener.
    pub is_listener_shared: bool,
}

impl Descriptors {
    /// The descriptors of a front without a prober.
    pub fn without_probes(limit: SharedLimit, is_listener_shared: bool) -> Descriptors {
        Descriptors {
            limit,
            probe_connections: Arc::default(),
            is_listener_shared,
        }
    }

    /// The present budget.
    pub fn budget(&self) -> DescriptorBudget {
        DescriptorBudget::new(
            self.limit.load(Ordering::Relaxed),
            self.is_listener_shared,
            self.probe_connections.load(Ordering::Relaxed),
        )
    }

    /// Most descriptors that probes may hold in addition to `connections` open connections.
    pub fn max_probes(&self, connections: usize) -> usize {
        DescriptorBudget::max_probes(
            self.limit.load(Ordering::Relaxed),
            self.is_listener_shared,
            connections,
        )
    }
}
