//! How the descriptors of a process are parted. Each use has a part of its own, so that clients who come and say nothing
//! take none from the watch on discovery, from connections to servers, from the operations port or from a reload.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use crate::operations;
use crate::reload::Sockets;

/// Descriptors that are nobody's connections: standard streams, the listener, the pollers' and the signals', the watch,
/// a configuration that is read anew, the socket of a handover, and the operations port with its callers.
pub const RESERVED: usize = 24 + operations::DESCRIPTORS;
/// Openings, with the clients that were refused, hold this part of the descriptors at most.
const OPENINGS_PART: usize = 5;
/// Refused clients that are still read hold this part of the openings.
const LINGERING_PART: usize = 4;
/// Probes leave room for so many more connections: this part of the descriptors. Clients that come between two looks of
/// the prober, which then gives way, are not turned away for its sake.
const HEADROOM_PART: usize = 16;
/// Least openings, and least connections: a limit that is too small still serves.
const LEAST: (usize, usize) = (8, 1);

/// A process's parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    /// Clients that have not opened their connection.
    pub openings: usize,
    /// Clients that were refused and are read until they end.
    pub lingering: usize,
    /// Open connections, each with its client's descriptor and its server's.
    pub connections: usize,
}

impl Budget {
    /// The parts of `sockets` descriptors, of which probes hold some now. Guards against two processes on one listener
    /// that, while one takes the other's place, hold more than the descriptors of both: each has half of the openings,
    /// and room is left for the other's own.
    pub fn of(sockets: usize, shared: bool, probes: usize) -> Budget {
        let processes = if shared { 2 } else { 1 };
        let unopened = (sockets / OPENINGS_PART / processes).max(LEAST.0);
        let lingering = unopened / LINGERING_PART;
        let taken = processes * (RESERVED + unopened) + probes;
        let connections = (sockets.saturating_sub(taken) / 2).max(LEAST.1);
        Budget {
            openings: unopened - lingering,
            lingering,
            connections,
        }
    }

    /// How many descriptors probes may hold beside the connections that are open now.
    pub fn probes(sockets: usize, shared: bool, connections: usize) -> usize {
        let room = Budget::of(sockets, shared, 0).connections;
        2 * room.saturating_sub(connections + sockets / HEADROOM_PART)
    }
}

/// A front's descriptors: the limit, which a reload may change, and what probes hold now.
#[derive(Clone, Debug)]
pub struct Descriptors {
    /// The limit.
    pub sockets: Sockets,
    /// Connections of the prober.
    pub probes: Arc<AtomicUsize>,
    /// Another process may accept from the same listener.
    pub shared: bool,
}

impl Descriptors {
    /// Descriptors of a front that asks no server for its load.
    pub fn without_probes(sockets: Sockets, shared: bool) -> Descriptors {
        Descriptors {
            sockets,
            probes: Arc::default(),
            shared,
        }
    }

    /// The parts as they are now.
    pub fn budget(&self) -> Budget {
        Budget::of(
            self.sockets.load(Ordering::Relaxed),
            self.shared,
            self.probes.load(Ordering::Relaxed),
        )
    }

    /// How many descriptors probes may hold beside so many open connections.
    pub fn room_for_probes(&self, connections: usize) -> usize {
        Budget::probes(
            self.sockets.load(Ordering::Relaxed),
            self.shared,
            connections,
        )
    }
}
