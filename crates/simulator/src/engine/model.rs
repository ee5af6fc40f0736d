//! Who takes part in a run: clients, requests, attempts, balancers and servers.

use std::collections::VecDeque;

use beaconflow_engine::BalancerEngine;
use beaconflow_policy::ServerState;

use crate::Nanos;
use crate::gateway::{Gateway, GatewayModel};

pub(super) struct Client {
    pub(super) class: u32,
    pub(super) account: u32,
    pub(super) group: Option<u32>,
    pub(super) key: u64,
    /// When it first wanted its present connection.
    pub(super) since: Nanos,
    pub(super) tries: u32,
    /// It was moved or cut off.
    pub(super) is_reconnect: bool,
    /// It comes again at once for as long as its flood lasts.
    pub(super) floods_until: Nanos,
    /// The gateway that it had last.
    pub(super) last_gateway: Option<LastGateway>,
}

/// The gateway that a client had, since when, and whether it was moved off it.
#[derive(Clone, Copy)]
pub(super) struct LastGateway {
    pub(super) gateway: u32,
    pub(super) since: Nanos,
    pub(super) was_migrated: bool,
}

#[derive(Clone, Copy, PartialEq)]
pub(super) enum Phase {
    Waiting,
    Attempting { gateway: u32 },
    Established { gateway: u32 },
}

pub(super) struct Request {
    pub(super) client: u64,
    pub(super) balancer: u32,
    pub(super) incarnation: u32,
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
    pub(super) incarnation: u32,
}

pub(super) struct BalancerState {
    pub(super) engine: Box<dyn BalancerEngine>,
    /// Counts its starts; words for an earlier one are lost.
    pub(super) incarnation: u32,
    pub(super) is_alive: bool,
    /// The last of the failures that keep it down is over then.
    pub(super) down_until: Nanos,
}

pub(super) struct GatewayState {
    pub(super) gateway: Gateway,
    /// Counts its starts.
    pub(super) incarnation: u32,
    pub(super) listed: ServerState,
    pub(super) is_up: bool,
    /// The last of the failures that keep it down is over then.
    pub(super) down_until: Nanos,
    pub(super) hangs_until: Nanos,
    /// Messages there were slow when last told.
    pub(super) is_slow: bool,
    /// Set-ups that came lately, while it was cold.
    pub(super) sent: VecDeque<Nanos>,
}

impl GatewayState {
    /// One that has been warm for long.
    pub(super) fn new(make: &GatewayModel) -> GatewayState {
        GatewayState {
            gateway: Gateway::new(make.clone(), 0, true),
            incarnation: 0,
            listed: ServerState::Ready,
            is_up: true,
            down_until: 0,
            hangs_until: 0,
            is_slow: false,
            sent: VecDeque::new(),
        }
    }
}
