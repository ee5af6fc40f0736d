//! The server list: from the core, from peers, and for recovery.

use beaconflow_edge::Evidence;
use beaconflow_gossip::{
    Lifecycle as KnownAs, ListAnnouncement, ListPosition, ServerEntry as KnownEntry, Subject, Value,
};
use beaconflow_recovery::{self as recovery, Event as RecoveryEvent, ListSource};

use super::uplink::Uplink;
use super::{FleetThread, Millis, records, shared_gossip};
use crate::discovery::{ListedServer, ServerLifecycle, ServerList};

/// Lifetime of list entries and of the list's position.
pub(super) const LIST_TTL_MS: Millis = 24 * 3_600_000;

impl FleetThread {
    /// Handles a list that the core applied.
    pub(super) fn on_list_applied(&mut self, list: ServerList, known: bool) {
        if list.reset && !known {
            self.servers.clear();
        }
        for one in &list.instances {
            self.servers.insert(one.instance_id.clone(), one.clone());
        }
        let (now, whole) = (self.now_ms(), self.complete_snapshot(list.generation));
        if known {
            // A configured list counts from the start.
            self.with_uplink(Uplink::on_configured_list);
            self.on_recovery_event(RecoveryEvent::ListReceived(recovery_list(
                &whole,
                0,
                ListSource::Configured,
            )));
            return self.apply_retained_drains();
        }
        let told = ListAnnouncement {
            generation: list.generation,
            digest: list_digest(&whole),
            is_complete: list.reset,
        };
        let position = shared_gossip::lock(&self.gossip, |known| {
            known.knowledge.record_list(told, LIST_TTL_MS, now)
        })
        .ok();
        self.list_position = position.or(self.list_position);
        let life = self
            .list_position
            .map_or(0, |position| position.incarnation);
        if let Some(position) = self.list_position {
            self.publish_entries(position, &list.instances);
        }
        self.memory.store(records::encode_list(&whole, life, now));
        self.on_recovery_event(RecoveryEvent::ListReceived(recovery_list(
            &whole,
            life,
            ListSource::Discovery,
        )));
        self.with_uplink(|uplink, now| uplink.on_evidence(now, Evidence::WatchAlive));
    }

    pub(super) fn publish_entries(&self, position: ListPosition, entries: &[ListedServer]) {
        let now = self.now_ms();
        shared_gossip::lock(&self.gossip, |known| {
            for one in entries {
                let value = Value::ServerEntry(KnownEntry {
                    position,
                    lifecycle: match one.lifecycle {
                        ServerLifecycle::Serving => KnownAs::Serving,
                        ServerLifecycle::Draining => KnownAs::Draining,
                        ServerLifecycle::Deleted => KnownAs::Deleted,
                    },
                    zone: one.zone.clone(),
                    cell: one.cell,
                    weight: one.weight,
                    address: one.host_port,
                    started_at_ms: one.started_at_ms,
                    machine_type: one.machine_type.clone(),
                });
                let _ = known.knowledge.observe(
                    &Subject::ServerEntry(one.instance_id.clone()),
                    &value,
                    LIST_TTL_MS,
                    now,
                );
            }
        });
    }

    /// The complete list as known here.
    fn complete_snapshot(&self, generation: u64) -> ServerList {
        ServerList {
            generation,
            reset: true,
            instances: self.servers.values().cloned().collect(),
        }
    }

    /// Adopts the peers' list while discovery has sent none.
    pub(super) fn adopt_peer_list(&mut self) {
        if self.list_position.is_some() {
            return;
        }
        // The first servers heard of are not the whole list.
        if !self.is_settled {
            return self.start_settling();
        }
        let now = self.now_ms();
        let entries =
            shared_gossip::lock(&self.gossip, |known| known.knowledge.server_entries(now));
        let latest = entries
            .iter()
            .map(|(_, entry)| entry.position)
            .max()
            .unwrap_or_default();
        for (name, entry) in entries {
            let listed_server = listed(name.clone(), &entry, self.servers.get(&name));
            self.servers.insert(name, listed_server);
        }
        let ListPosition {
            incarnation,
            generation,
        } = latest;
        let list = self.complete_snapshot(generation);
        self.on_recovery_event(RecoveryEvent::ListReceived(recovery_list(
            &list,
            incarnation,
            ListSource::Peer,
        )));
        self.publish_list_to_core();
    }
}

/// A peer's entry. The address known here goes before the peer's.
fn listed(name: String, entry: &KnownEntry, own: Option<&ListedServer>) -> ListedServer {
    ListedServer {
        instance_id: name,
        host_port: own.and_then(|own| own.host_port).or(entry.address),
        zone: entry.zone.clone(),
        cell: entry.cell,
        lifecycle: match entry.lifecycle {
            KnownAs::Serving => ServerLifecycle::Serving,
            KnownAs::Draining => ServerLifecycle::Draining,
            KnownAs::Deleted => ServerLifecycle::Deleted,
        },
        machine_type: entry.machine_type.clone(),
        weight: entry.weight,
        started_at_ms: entry.started_at_ms,
    }
}

/// A list for the recovery state machine.
pub(super) fn recovery_list(list: &ServerList, epoch: u64, source: ListSource) -> recovery::List {
    let entry = |one: &ListedServer| recovery::Entry {
        name: one.instance_id.clone(),
        started_at_ms: one.started_at_ms,
        lifecycle: match one.lifecycle {
            ServerLifecycle::Serving => recovery::Lifecycle::Ready,
            ServerLifecycle::Draining => recovery::Lifecycle::Draining,
            ServerLifecycle::Deleted => recovery::Lifecycle::Gone,
        },
        weight: one.weight,
    };
    recovery::List {
        source,
        generation: list.generation,
        epoch,
        age: 0,
        reported_at: None,
        entries: list.instances.iter().map(entry).collect(),
    }
}

/// A digest of a list without addresses.
pub(super) fn list_digest(list: &ServerList) -> u64 {
    let row = |one: &ListedServer| {
        format!(
            "{:?} {:?} {:?} {} {:?} {} {}\n",
            one.instance_id,
            one.zone,
            one.machine_type,
            one.cell,
            one.lifecycle,
            one.weight,
            one.started_at_ms
        )
    };
    beaconflow_settings::digest(&list.instances.iter().map(row).collect::<String>())
}
