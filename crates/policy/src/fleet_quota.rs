//! Division of a fleet's limits among its balancers.
//!
//! A quota may be a fraction; it is then a probability. Nothing is rounded up, since the sum over
//! hundreds of balancers has to keep the limit.

use crate::time::{Nanos, fraction_of};

/// Balancers that may each use a whole limit; more than these divide it.
const SMALL_FLEET: f64 = 3.0;
/// Time that discovery has for each call of a large fleet, in nanoseconds.
const LIST_CALL_SPACING: Nanos = 100_000_000;

/// The quota of one balancer in the limits of its fleet.
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

    /// This balancer's quota of a limit of its fleet.
    pub(crate) fn of_limit(self, limit: f64) -> f64 {
        limit * (SMALL_FLEET / self.balancers).min(1.0)
    }

    /// The span over which all balancers spread their calls for the server list, at most `limit`.
    pub(crate) fn list_call_spread(self, limit: Nanos) -> Nanos {
        fraction_of(LIST_CALL_SPACING, self.balancers - SMALL_FLEET).min(limit)
    }
}
