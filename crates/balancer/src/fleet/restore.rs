//! Restoring the stored memory.

use beaconflow_affinity::Placement;
use beaconflow_gossip::{ListAnnouncement, Position, Value};
use beaconflow_recovery::{
    self as recovery, Event as RecoveryEvent, RememberedKind, Source, Validity,
};
use tracing::info;

use super::memory_writer::RestoredMemory;
use super::server_list::{LIST_TTL_MS, list_digest, recovery_list};
use super::{FleetThread, millis, records, shared_gossip};
use crate::core::AffinityEvent;
use crate::discovery::ListedServer;

/// Placements per message to the core, so that it stays responsive.
const PLACEMENTS_PER_MESSAGE: usize = 1_000;

impl FleetThread {
    /// Restores what the memory held.
    pub(super) fn restore(&mut self, restored: RestoredMemory) {
        self.now = self.clock.now();
        // A list that discovery sends under a lower generation belongs to another epoch.
        let life = restored.list.as_ref().map_or(0, |(list, _)| {
            let told = ListAnnouncement {
                generation: list.generation,
                digest: list_digest(list),
                complete_list: true,
            };
            let now = self.now_ms();
            let held = shared_gossip::lock(&self.gossip, |known| {
                known.knowledge.hear_list(told, LIST_TTL_MS, now)
            });
            held.map_or(0, |position| position.incarnation)
        });
        let memory = restored.written_at.map(|written_at| recovery::Memory {
            owner: self.config.name.clone(),
            incarnation: self.incarnation.saturating_sub(1),
            written_at,
            list: restored
                .list
                .as_ref()
                .map(|(list, _)| recovery_list(list, life, Source::Memory)),
            previous_clients: restored
                .previous_clients
                .map(|clients| recovery::PreviousClients {
                    class: 0,
                    account: 0,
                    clients,
                })
                .into_iter()
                .collect(),
            clients_per_server_s: None,
        });
        let remembered = restored.list.map(|(list, incarnation)| {
            self.servers = list
                .instances
                .iter()
                .map(|one| (one.instance_id.clone(), one.clone()))
                .collect();
            Position {
                incarnation,
                generation: list.generation,
            }
        });
        self.on_recovery_event(RecoveryEvent::Started {
            incarnation: self.incarnation,
            memory,
        });
        // Peers without a list begin with it too; it does not count as discovery's.
        let list = self.recovery.recovery().validity(RememberedKind::List);
        if let Some(position) = remembered.filter(|_| list == Validity::Hint(1.0)) {
            let entries: Vec<ListedServer> = self.servers.values().cloned().collect();
            self.publish_entries(position, &entries);
        }
        let verdict = self
            .recovery
            .recovery()
            .validity(RememberedKind::Placements);
        let (held, count) = (verdict != Validity::Discarded, restored.placements.len());
        if count > 0 {
            info!(part = "recovery", placements = count, taken = held, verdict = ?verdict, "placements of before");
        }
        if held {
            self.send_placements_to_core(&restored.placements);
            restored
                .placements
                .iter()
                .for_each(|one| self.recall_placement(one));
        }
    }

    /// Publishes a stored placement to peers that remember none.
    fn recall_placement(&self, placement: &Placement) {
        let life = millis(self.config.affinity.retention);
        let subject = shared_gossip::custom_subject(
            shared_gossip::PLACEMENT_FACT,
            placement.key.0.to_be_bytes().to_vec(),
            false,
        );
        let (value, seen) = (
            Value::Unknown(records::encode_placement(placement)),
            u64::from(placement.seen_s) * 1_000,
        );
        // Expired or superseded placements are refused.
        let _ = shared_gossip::lock(&self.gossip, |known| {
            known.knowledge.recall(
                &subject,
                &value,
                life,
                (seen.min(self.now_ms()), self.now_ms()),
            )
        });
    }

    pub(super) fn send_placements_to_core(&self, placements: &[Placement]) {
        placements
            .chunks(PLACEMENTS_PER_MESSAGE)
            .for_each(|some| self.send_affinity_event(AffinityEvent::Placements(some.to_vec())));
    }
}
