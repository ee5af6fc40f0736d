//! Failed placements of a client, counted over all balancers.

use beaconflow_gossip::{Subject, Value};

use super::Engine;
use crate::{Nanos, mesh};

/// Counts are good for so long, in milliseconds.
const GOOD: u64 = 60_000;
/// More failures make no longer wait.
const MOST: u32 = 6;

impl Engine<'_> {
    /// A placement of a client failed or came to stand at a balancer.
    pub(super) fn counts_placement(&mut self, balancer: u32, client: u64, stood: bool) {
        if !self.scenario.fleet.shared_n {
            return;
        }
        let (wall, key) = (mesh::wall(self.now), self.clients[&client].key);
        let Some(node) = &mut self.hosts[balancer as usize].node else {
            return;
        };
        let knowledge = &mut node.payload_mut().knowledge;
        // One that stands and never failed is no news to anybody.
        if !stood {
            drop(knowledge.record_placement_failure(key, GOOD, wall));
        } else if knowledge.failure_count(key, wall) > 0 {
            drop(knowledge.record_placement_success(key, GOOD, wall));
        }
    }

    /// How long a refused client is told to stay away, by the failures that all balancers counted: the decisions know
    /// those of their own.
    pub(super) fn stays_away(
        &self,
        balancer: u32,
        request: u64,
        told: Option<Nanos>,
    ) -> Option<Nanos> {
        let (told, wall) = (told?, mesh::wall(self.now));
        if !self.scenario.fleet.shared_n {
            return Some(told);
        }
        let key = self.clients[&self.requests.get(&request)?.client].key;
        let host = &self.hosts[balancer as usize];
        let Some(knowledge) = host.node.as_ref().map(|node| &node.payload().knowledge) else {
            return Some(told);
        };
        let own = knowledge
            .get(
                &Subject::PlacementFailures(key),
                &mesh::name(balancer),
                wall,
            )
            .map(|fact| fact.value);
        let own = if let Some(Value::PlacementFailures(own)) = own {
            own.count
        } else {
            0
        };
        let more = knowledge
            .failure_count(key, wall)
            .min(MOST)
            .saturating_sub(own.min(MOST));
        let longest = self.scenario.settings(balancer).limits.max_retry_after;
        Some(told.saturating_mul(1 << more).min(longest.max(told)))
    }
}
