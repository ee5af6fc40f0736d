//! Restoring the stored memory.

use beaconflow_affinity::Placement;
use beaconflow_gossip::{ListAnnouncement, ListPosition, Value};
use beaconflow_recovery::{
    self as recovery, Event as RecoveryEvent, ListSource, RememberedKind, Validity,
};
use tracing::info;

use super::memory_writer::RestoredMemory;
use super::server_list::{LIST_TTL_MS, list_digest, recovery_list};
use super::{FleetThread, millis, records, shared_gossip};
use crate::core::AffinityEvent;
use crate::discovery::{ListedServer, ServerList};

/// Placements per message to the core, which must stay responsive.
const PLACEMENTS_PER_MESSAGE: usize = 1_000;

impl FleetThread {
    /// Restores what the memory held.
    pub(super) fn restore(&mut self, restored: RestoredMemory) {
        self.now = self.clock.now();
        let memory = self.recovery_memory(&restored);
        let position = restored.list.map(|(list, list_incarnation)| {
            let by_name = |server: &ListedServer| (server.instance_id.clone(), server.clone());
            self.servers = list.instances.iter().map(by_name).collect();
            ListPosition {
                incarnation: list_incarnation,
                generation: list.generation,
            }
        });
        self.on_recovery_event(RecoveryEvent::Started {
            incarnation: self.incarnation,
            memory,
        });
        // Peers without a list start from this one too; it does not count as discovery's.
        let validity = self.recovery.recovery().validity(RememberedKind::List);
        if let Some(position) = position.filter(|_| validity == Validity::Hint(1.0)) {
            let entries: Vec<ListedServer> = self.servers.values().cloned().collect();
            self.publish_entries(position, &entries);
        }
        self.restore_placements(&restored.placements);
    }

    /// The memory in the form of the recovery state machine, if it has been written before.
    fn recovery_memory(&self, restored: &RestoredMemory) -> Option<recovery::Memory> {
        let list_incarnation = restored
            .list
            .as_ref()
            .map_or(0, |(list, _)| self.list_incarnation(list));
        let list = restored
            .list
            .as_ref()
            .map(|(list, _)| recovery_list(list, list_incarnation, ListSource::Memory));
        let previous_clients = restored
            .previous_clients
            .map(|clients| recovery::PreviousClients {
                class: 0,
                account: 0,
                clients,
            });
        Some(recovery::Memory {
            owner: self.config.name.clone(),
            incarnation: self.incarnation.saturating_sub(1),
            written_at: restored.written_at?,
            list,
            previous_clients: previous_clients.into_iter().collect(),
            clients_per_server_s: None,
        })
    }

    /// The incarnation of discovery that a remembered list came from. A list that discovery sends
    /// under a lower generation belongs to another one.
    fn list_incarnation(&self, list: &ServerList) -> u64 {
        let announcement = ListAnnouncement {
            generation: list.generation,
            digest: list_digest(list),
            is_complete: true,
        };
        let now = self.now_ms();
        let position = shared_gossip::with_gossip(&self.gossip, |shared| {
            shared.facts.record_list(announcement, LIST_TTL_MS, now)
        });
        position.map_or(0, |position| position.incarnation)
    }

    fn restore_placements(&self, placements: &[Placement]) {
        let validity = self
            .recovery
            .recovery()
            .validity(RememberedKind::Placements);
        let is_valid = validity != Validity::Discarded;
        let count = placements.len();
        if count > 0 {
            info!(part = "recovery", placements = count, taken = is_valid, verdict = ?validity, "stored placements assessed");
        }
        if is_valid {
            self.send_placements_to_core(placements);
            placements
                .iter()
                .for_each(|placement| self.republish_placement(placement));
        }
    }

    /// Publishes a stored placement to peers that remember none.
    fn republish_placement(&self, placement: &Placement) {
        let retention = millis(self.config.affinity.retention);
        let subject = shared_gossip::custom_subject(
            shared_gossip::PLACEMENT_FACT,
            placement.key.0.to_be_bytes().to_vec(),
            false,
        );
        let (value, seen_at) = (
            Value::Unknown(records::encode_placement(placement)),
            u64::from(placement.seen_s) * 1_000,
        );
        // Expired or superseded placements are refused.
        let _ = shared_gossip::with_gossip(&self.gossip, |shared| {
            shared.facts.restore_observation(
                &subject,
                &value,
                retention,
                (seen_at.min(self.now_ms()), self.now_ms()),
            )
        });
    }

    pub(super) fn send_placements_to_core(&self, placements: &[Placement]) {
        placements
            .chunks(PLACEMENTS_PER_MESSAGE)
            .for_each(|chunk| self.send_affinity_event(AffinityEvent::Placements(chunk.to_vec())));
    }
}
