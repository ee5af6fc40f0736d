//! Who takes part in a run: clients, requests, attempts, balancers and servers.

use std::collections::VecDeque;

use beaconflow_engine::BalancerEngine;
use beaconflow_policy::ServerState;

use crate::Nanos;
use crate::gateway::{Gateway, Make};

pub(super) struct Client {
    pub(super) class: u32,
    pub(super) account: u32,
    pub(super) group: Option<u32>,
    pub(super) key: u64,
    /// When it first wanted its present connection.
    pub(super) since: Nanos,
    pub(super) tries: u32,
    /// It was moved or cut off.
    pub(super) returns: bool,
    /// It comes again at once for as long as its flood lasts.
    pub(super) floods_until: Nanos,
    /// The gateway that it had last.
    pub(super) had: Option<Had>,
}

/// The gateway that a client had, since when, and whether it was moved off it.
#[derive(Clone, Copy)]
pub(super) struct Had {
    pub(super) gateway: u32,
    pub(super) since: Nanos,
    pub(super) moved: bool,
}

#[derive(Clone, Copy, PartialEq)]
pub(super) enum Phase {
    Waits,
    Out { gateway: u32 },
    Stands { gateway: u32 },
}

pub(super) struct Request {
    pub(super) client: u64,
    pub(super) balancer: u32,
    pub(super) start: u32,
    pub(super) attempts: u32,
    pub(super) phase: Phase,
    pub(super) load: f64,
}

/// An attempt that a gateway works on, as the gateway numbers it.
#[derive(Clone, Copy)]
pub(super) struct SetUp {
    pub(super) request: u64,
    pub(super) attempt: u32,
    pub(super) gateway: u32,
    pub(super) start: u32,
}

pub(super) struct Node {
    pub(super) decides: Box<dyn BalancerEngine>,
    /// Counts its starts; words for an earlier one are lost.
    pub(super) start: u32,
    pub(super) alive: bool,
    /// The last of the failures that keep it down is over then.
    pub(super) down_until: Nanos,
}

pub(super) struct Machine {
    pub(super) gateway: Gateway,
    /// Counts its starts.
    pub(super) start: u32,
    pub(super) listed: ServerState,
    pub(super) up: bool,
    /// The last of the failures that keep it down is over then.
    pub(super) down_until: Nanos,
    pub(super) hangs_until: Nanos,
    /// Messages there were slow when last told.
    pub(super) slow: bool,
    /// Set-ups that came lately, while it was cold.
    pub(super) sent: VecDeque<Nanos>,
}

impl Machine {
    /// One that has been warm for long.
    pub(super) fn new(make: &Make) -> Machine {
        Machine {
            gateway: Gateway::new(make.clone(), 0, true),
            start: 0,
            listed: ServerState::Ready,
            up: true,
            down_until: 0,
            hangs_until: 0,
            slow: false,
            sent: VecDeque::new(),
        }
    }
}
