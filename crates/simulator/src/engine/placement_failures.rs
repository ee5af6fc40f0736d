//! Failed placements of a client, counted over all balancers.

use beaconflow_gossip::{Subject, Value};

use super::Engine;
use crate::{Nanos, mesh};

/// Lifetime of a failure count, in milliseconds.
const COUNT_TTL_MS: u64 = 60_000;
/// Failures beyond this many do not extend the retry delay.
const MAX_COUNTED_FAILURES: u32 = 6;

impl Engine<'_> {
    /// Records at a balancer that the placement of a client failed or succeeded.
    pub(super) fn record_placement_outcome(
        &mut self,
        balancer: u32,
        client: u64,
        is_established: bool,
    ) {
        if !self.scenario.fleet.shared_n {
            return;
        }
        let (wall, key) = (mesh::wall_clock_ms(self.now), self.clients[&client].key);
        let Some(node) = &mut self.hosts[balancer as usize].node else {
            return;
        };
        let fact_store = &mut node.payload_mut().fact_store;
        // A success without preceding failures needs no publication.
        if !is_established {
            drop(fact_store.record_placement_failure(key, COUNT_TTL_MS, wall));
        } else if fact_store.failure_count(key, wall) > 0 {
            drop(fact_store.record_placement_success(key, COUNT_TTL_MS, wall));
        }
    }

    /// Extends the retry delay of a rejected client by the failures that other balancers counted; the policy engine
    /// already accounts for those of its own balancer.
    pub(super) fn shared_retry_after(
        &self,
        balancer: u32,
        request: u64,
        retry_after: Option<Nanos>,
    ) -> Option<Nanos> {
        let (retry_after, wall) = (retry_after?, mesh::wall_clock_ms(self.now));
        if !self.scenario.fleet.shared_n {
            return Some(retry_after);
        }
        let key = self.clients[&self.requests.get(&request)?.client].key;
        let host = &self.hosts[balancer as usize];
        let Some(fact_store) = host.node.as_ref().map(|node| &node.payload().fact_store) else {
            return Some(retry_after);
        };
        let own = fact_store
            .get(
                &Subject::PlacementFailures(key),
                &mesh::balancer_name(balancer),
                wall,
            )
            .map(|fact| fact.value);
        let own_count = if let Some(Value::PlacementFailures(own)) = own {
            own.count
        } else {
            0
        };
        let peer_failures = fact_store
            .failure_count(key, wall)
            .min(MAX_COUNTED_FAILURES)
            .saturating_sub(own_count.min(MAX_COUNTED_FAILURES));
        let longest = self.scenario.settings(balancer).limits.max_retry_after;
        Some(
            retry_after
                .saturating_mul(1 << peer_failures)
                .min(longest.max(retry_after)),
        )
    }
}
