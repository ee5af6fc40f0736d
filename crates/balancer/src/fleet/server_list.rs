//! The list of servers: as the core took it in, as the peers know it, and as it is believed.

use beaconflow_edge::Evidence;
use beaconflow_gossip::{
    Lifecycle as KnownAs, Listed as KnownEntry, Position, Subject, Told, Value,
};
use beaconflow_recovery::{self as recovery, Event as RecoveryEvent, Source};

use super::uplink::Uplink;
use super::{Millis, Thread, carry, records};
use crate::farm::{Lifecycle, List, Listed};

/// An entry of the list, and which list is held.
pub(super) const LIST_GOOD: Millis = 24 * 3_600_000;

impl Thread {
    /// A list was taken in by the core.
    pub(super) fn listed(&mut self, list: List, known: bool) {
        if list.reset && !known {
            self.servers.clear();
        }
        for one in &list.instances {
            self.servers.insert(one.instance_id.clone(), one.clone());
        }
        let (now, whole) = (self.ms(), self.whole(list.generation));
        if known {
            // The operator's own list counts from the start.
            self.uplink(Uplink::has_known_list);
            self.recovery_event(RecoveryEvent::List(believed(&whole, 0, Source::Known)));
            return self.hold_drains();
        }
        let told = Told {
            generation: list.generation,
            digest: digest_of(&whole),
            whole: list.reset,
        };
        let position = carry::with(&self.known, |known| {
            known.knowledge.hear_list(told, LIST_GOOD, now)
        })
        .ok();
        self.position = position.or(self.position);
        let life = self.position.map_or(0, |position| position.life);
        if let Some(position) = self.position {
            self.enter_entries(position, &list.instances);
        }
        self.memory.remember(records::list(&whole, life, now));
        self.recovery_event(RecoveryEvent::List(believed(
            &whole,
            life,
            Source::Discovery,
        )));
        self.uplink(|uplink, now| uplink.take(now, Evidence::WatchStands));
    }

    pub(super) fn enter_entries(&self, position: Position, entries: &[Listed]) {
        let now = self.ms();
        carry::with(&self.known, |known| {
            for one in entries {
                let value = Value::Listed(KnownEntry {
                    position,
                    lifecycle: match one.lifecycle {
                        Lifecycle::Serving => KnownAs::Serving,
                        Lifecycle::Draining => KnownAs::Draining,
                        Lifecycle::Deleted => KnownAs::Deleted,
                    },
                    zone: one.zone.clone(),
                    cell: one.cell,
                    weight: one.weight,
                    address: one.host_port,
                    started_at_ms: one.started_at_ms,
                    machine_type: one.machine_type.clone(),
                });
                let _ = known.knowledge.witness(
                    &Subject::Listed(one.instance_id.clone()),
                    &value,
                    LIST_GOOD,
                    now,
                );
            }
        });
    }

    /// The list as it stands here, whole.
    fn whole(&self, generation: u64) -> List {
        List {
            generation,
            reset: true,
            instances: self.servers.values().cloned().collect(),
        }
    }

    /// The peers' list, as a starting point where discovery has told none.
    pub(super) fn peers_list(&mut self) {
        if self.position.is_some() {
            return;
        }
        // Guards against a farm of the first few servers that are heard of.
        if !self.is_settled {
            return self.settles();
        }
        let now = self.ms();
        let entries = carry::with(&self.known, |known| known.knowledge.list(now));
        let latest = entries
            .iter()
            .map(|(_, entry)| entry.position)
            .max()
            .unwrap_or_default();
        for (name, entry) in entries {
            let listed = listed(name.clone(), &entry, self.servers.get(&name));
            self.servers.insert(name, listed);
        }
        let Position { life, generation } = latest;
        let list = self.whole(generation);
        self.recovery_event(RecoveryEvent::List(believed(&list, life, Source::Peer)));
        self.show_list();
    }
}

/// An entry as peers know it. Where it is reached is this process's own to know, where it does.
fn listed(name: String, entry: &KnownEntry, own: Option<&Listed>) -> Listed {
    Listed {
        instance_id: name,
        host_port: own.and_then(|own| own.host_port).or(entry.address),
        zone: entry.zone.clone(),
        cell: entry.cell,
        lifecycle: match entry.lifecycle {
            KnownAs::Serving => Lifecycle::Serving,
            KnownAs::Draining => Lifecycle::Draining,
            KnownAs::Deleted => Lifecycle::Deleted,
        },
        machine_type: entry.machine_type.clone(),
        weight: entry.weight,
        started_at_ms: entry.started_at_ms,
    }
}

/// A list for the machine of recovery.
pub(super) fn believed(list: &List, life: u64, source: Source) -> recovery::List {
    let entry = |one: &Listed| recovery::Entry {
        name: one.instance_id.clone(),
        started_at_ms: one.started_at_ms,
        lifecycle: match one.lifecycle {
            Lifecycle::Serving => recovery::Lifecycle::Ready,
            Lifecycle::Draining => recovery::Lifecycle::Draining,
            Lifecycle::Deleted => recovery::Lifecycle::Gone,
        },
        weight: one.weight,
    };
    recovery::List {
        source,
        generation: list.generation,
        life,
        age: 0,
        said_at: None,
        entries: list.instances.iter().map(entry).collect(),
    }
}

/// A digest of what a list says, without addresses.
pub(super) fn digest_of(list: &List) -> u64 {
    let row = |one: &Listed| {
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
