//! The server list: from the core, from peers, and for recovery.

use beaconflow_edge::Evidence;
use beaconflow_gossip::{
    Lifecycle as GossipLifecycle, ListAnnouncement, ListPosition, ServerEntry as GossipEntry,
    Subject, Value,
};
use beaconflow_recovery::{self as recovery, Event as RecoveryEvent, ListSource};

use super::uplink::Uplink;
use super::{FleetThread, Millis, records, shared_gossip};
use crate::discovery::{ListedServer, ServerLifecycle, ServerList};

/// Lifetime of list entries and of the list's position.
pub(super) const LIST_TTL_MS: Millis = 24 * 3_600_000;

impl FleetThread {
    /// Handles a list that the core applied.
    pub(super) fn on_list_applied(&mut self, list: ServerList, is_cached: bool) {
        if list.reset && !is_cached {
            self.servers.clear();
        }
        for server in &list.instances {
            self.servers
                .insert(server.instance_id.clone(), server.clone());
        }
        let (now, snapshot) = (self.now_ms(), self.complete_snapshot(list.generation));
        if is_cached {
            // A configured list counts from the start.
            self.with_uplink(Uplink::on_configured_list);
            self.on_recovery_event(RecoveryEvent::ListReceived(recovery_list(
                &snapshot,
                0,
                ListSource::Configured,
            )));
            return self.apply_retained_drains();
        }
        let announcement = ListAnnouncement {
            generation: list.generation,
            digest: list_digest(&snapshot),
            is_complete: list.reset,
        };
        let position = shared_gossip::with_gossip(&self.gossip, |shared| {
            shared.facts.record_list(announcement, LIST_TTL_MS, now)
        })
        .ok();
        self.list_position = position.or(self.list_position);
        let list_incarnation = self
            .list_position
            .map_or(0, |position| position.incarnation);
        if let Some(position) = self.list_position {
            self.publish_entries(position, &list.instances);
        }
        self.memory
            .store(records::encode_list(&snapshot, list_incarnation, now));
        self.on_recovery_event(RecoveryEvent::ListReceived(recovery_list(
            &snapshot,
            list_incarnation,
            ListSource::Discovery,
        )));
        self.with_uplink(|uplink, now| uplink.on_evidence(now, Evidence::WatchAlive));
    }

    pub(super) fn publish_entries(&self, position: ListPosition, entries: &[ListedServer]) {
        let now = self.now_ms();
        shared_gossip::with_gossip(&self.gossip, |shared| {
            for server in entries {
                let value = Value::ServerEntry(GossipEntry {
                    position,
                    lifecycle: match server.lifecycle {
                        ServerLifecycle::Serving => GossipLifecycle::Serving,
                        ServerLifecycle::Draining => GossipLifecycle::Draining,
                        ServerLifecycle::Deleted => GossipLifecycle::Deleted,
                    },
                    zone: server.zone.clone(),
                    cell: server.cell,
                    weight: server.weight,
                    address: server.host_port,
                    started_at_ms: server.started_at_ms,
                    machine_type: server.machine_type.clone(),
                });
                let _ = shared.facts.observe(
                    &Subject::ServerEntry(server.instance_id.clone()),
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
        // The first entries received are not the complete list.
        if !self.is_settled {
            return self.start_settling();
        }
        let now = self.now_ms();
        let entries =
            shared_gossip::with_gossip(&self.gossip, |shared| shared.facts.server_entries(now));
        let latest = entries
            .iter()
            .map(|(_, entry)| entry.position)
            .max()
            .unwrap_or_default();
        for (name, entry) in entries {
            let server = listed_server(name.clone(), &entry, self.servers.get(&name));
            self.servers.insert(name, server);
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

/// A server from a peer's entry. The address known here has precedence over the peer's.
fn listed_server(name: String, entry: &GossipEntry, own: Option<&ListedServer>) -> ListedServer {
    ListedServer {
        instance_id: name,
        host_port: own.and_then(|own| own.host_port).or(entry.address),
        zone: entry.zone.clone(),
        cell: entry.cell,
        lifecycle: match entry.lifecycle {
            GossipLifecycle::Serving => ServerLifecycle::Serving,
            GossipLifecycle::Draining => ServerLifecycle::Draining,
            GossipLifecycle::Deleted => ServerLifecycle::Deleted,
        },
        machine_type: entry.machine_type.clone(),
        weight: entry.weight,
        started_at_ms: entry.started_at_ms,
    }
}

/// A list for the recovery state machine.
pub(super) fn recovery_list(
    list: &ServerList,
    list_incarnation: u64,
    source: ListSource,
) -> recovery::List {
    let entry = |server: &ListedServer| recovery::Entry {
        name: server.instance_id.clone(),
        started_at_ms: server.started_at_ms,
        lifecycle: match server.lifecycle {
            ServerLifecycle::Serving => recovery::Lifecycle::Ready,
            ServerLifecycle::Draining => recovery::Lifecycle::Draining,
            ServerLifecycle::Deleted => recovery::Lifecycle::Removed,
        },
        weight: server.weight,
    };
    recovery::List {
        source,
        generation: list.generation,
        incarnation: list_incarnation,
        age: 0,
        reported_at: None,
        entries: list.instances.iter().map(entry).collect(),
    }
}

/// A digest of a list without addresses.
pub(super) fn list_digest(list: &ServerList) -> u64 {
    let describe = |server: &ListedServer| {
        format!(
            "{:?} {:?} {:?} {} {:?} {} {}\n",
            server.instance_id,
            server.zone,
            server.machine_type,
            server.cell,
            server.lifecycle,
            server.weight,
            server.started_at_ms
        )
    };
    beaconflow_settings::digest(&list.instances.iter().map(describe).collect::<String>())
}
