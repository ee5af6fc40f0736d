//! Division of a fleet's allowance among its balancers.
//!
//! A quota may be a fraction; it is then a probability. Nothing is rounded up, since the sum over
//! hundreds of balancers has to keep the allowance.

use crate::time::{Nanos, fraction_of};

/// Balancers that may each use a whole allowance; more than these divide it.
const SMALL_FLEET: f64 = 3.0;
/// Time that discovery has for each call of a large fleet, in nanoseconds.
const LIST_CALL_SPACING: Nanos = 100_000_000;

/// The share of one balancer in the allowances of its fleet.
#[derive(Clone, Copy)]
pub(crate) struct FleetQuota {
    balancers: f64,
}

impl FleetQuota {
    pub(crate) fn new(balancers: u32) -> FleetQuota {
        FleetQuota {
            balancers: f64::from(balancers),
        }
    }

    /// This balancer's share of an allowance.
    pub(crate) fn share_of(self, allowance: f64) -> f64 {
        allowance * (SMALL_FLEET / self.balancers).min(1.0)
    }

    /// The span over which all balancers spread their calls for the server list, at most `limit`.
    pub(crate) fn list_call_spread(self, limit: Nanos) -> Nanos {
        fraction_of(LIST_CALL_SPACING, self.balancers - SMALL_FLEET).min(limit)
    }
}
