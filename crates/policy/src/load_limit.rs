//! Limit on the total load of this balancer while the whole fleet is short of capacity.
//!
//! A balancer with fewer connections than servers can't see the overload of one server in its own
//! load there; it limits its total instead.

use crate::server_table::SlowServers;

/// The fleet is short where messages are slow on this fraction of the servers known, counted as
/// this many more.
const SLOW_FRACTION: f64 = 0.35;
const EXTRA_SERVERS: f64 = 2.0;
/// A cut takes this fraction of the load.
const CUT_FRACTION: f64 = 0.25;
/// No cut goes below this fraction of the load when the shortage began.
const MIN_FRACTION: f64 = 0.4;
/// Growth of the limit in each housekeeping period without a shortage.
const GROWTH: f64 = 1.15;

/// The limit.
pub(crate) struct LoadLimit {
    limit: f64,
    /// Load when the limit was first cut.
    onset_load: f64,
}

impl Default for LoadLimit {
    fn default() -> LoadLimit {
        LoadLimit {
            limit: f64::INFINITY,
            onset_load: 0.0,
        }
    }
}

impl LoadLimit {
    pub(crate) fn allows(&self, load: f64) -> bool {
        load <= self.limit
    }

    /// Adjusts the limit once per housekeeping period. `has_few_connections` says that the balancer
    /// holds no more connections than there are servers.
    pub(crate) fn update(&mut self, load: f64, slow: SlowServers, has_few_connections: bool) {
        let is_short = slow.slow > SLOW_FRACTION * (slow.known + EXTRA_SERVERS);
        if !(has_few_connections && is_short) {
            self.limit *= GROWTH;
            return;
        }
        if self.limit > self.onset_load {
            self.onset_load = load;
        }
        // Cuts end while queued work drains, when the load has long been right.
        let cut = (load * (1.0 - CUT_FRACTION)).max(MIN_FRACTION * self.onset_load);
        self.limit = self.limit.min(cut);
    }
}
