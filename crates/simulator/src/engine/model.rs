//! State of the clients, requests, attempts, balancers and gateways of a run.

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
    /// When the client first requested its present connection.
    pub(super) requested_at: Nanos,
    pub(super) tries: u32,
    /// Its previous connection was migrated or broken.
    pub(super) is_reconnect: bool,
    /// Until then the client retries at once, as part of a flood.
    pub(super) floods_until: Nanos,
    /// The gateway of its latest connection.
    pub(super) last_gateway: Option<LastGateway>,
}

/// The gateway of a client's latest connection, when it was established, and whether it was migrated away.
#[derive(Clone, Copy)]
pub(super) struct LastGateway {
    pub(super) gateway: u32,
    pub(super) established_at: Nanos,
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

/// An attempt whose setup a gateway or the store is working on.
#[derive(Clone, Copy)]
pub(super) struct Setup {
    pub(super) request: u64,
    pub(super) attempt: u32,
    pub(super) gateway: u32,
    pub(super) incarnation: u32,
}

pub(super) struct BalancerState {
    pub(super) engine: Box<dyn BalancerEngine>,
    /// Incremented with every stop; events for an earlier incarnation are ignored.
    pub(super) incarnation: u32,
    pub(super) is_alive: bool,
    /// When the last of the failures that keep it down ends.
    pub(super) down_until: Nanos,
}

pub(super) struct GatewayState {
    pub(super) gateway: Gateway,
    /// Incremented with every stop.
    pub(super) incarnation: u32,
    pub(super) listed: ServerState,
    pub(super) is_up: bool,
    /// When the last of the failures that keep it down ends.
    pub(super) down_until: Nanos,
    pub(super) hangs_until: Nanos,
    /// Whether its messages were slow at the last report.
    pub(super) is_slow: bool,
    /// Times of the setups received within the overload window while it is cold.
    pub(super) sent: VecDeque<Nanos>,
}

impl GatewayState {
    /// A gateway that is up and fully warm.
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
