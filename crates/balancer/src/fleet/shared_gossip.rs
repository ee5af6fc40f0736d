//! The gossip state that the membership thread's datagrams carry.

use std::sync::{Arc, Mutex, PoisonError};

use beaconflow_gossip::{Fact, FactChange, FactKind, FactStore, Subject, Value};
use beaconflow_membership::{Member, Payload};
use crossbeam_channel::Sender;
use tracing::warn;

use super::Millis;

/// Fact kinds that the gossip crate carries but does not interpret. The numbers keep their meaning.
pub(super) const RECOVERY_STATUS_FACT: u32 = 101;
pub(super) const PLACEMENT_FACT: u32 = 102;
pub(super) const VERSION_FACT: u32 = 103;
pub(super) const UPLINK_STATUS_FACT: u32 = 104;
pub(super) const LENT_QUOTA_FACT: u32 = 105;
pub(super) const SERVER_EVIDENCE_FACT: u32 = 106;

/// The gossip state, shared by the membership thread and the fleet thread.
pub(super) type SharedGossipHandle = Arc<Mutex<SharedGossip>>;

/// The gossip state, with the receiver of the changes that peers made to it.
pub(super) struct SharedGossip {
    pub(super) facts: FactStore,
    changes: Sender<Vec<FactChange>>,
    /// Number of processes in the fleet, including this one.
    pub(super) members: usize,
    /// Packets that could not be parsed.
    pub(super) unreadable: u64,
}

impl SharedGossip {
    pub(super) fn shared(facts: FactStore, changes: Sender<Vec<FactChange>>) -> SharedGossipHandle {
        Arc::new(Mutex::new(SharedGossip {
            facts,
            changes,
            members: 1,
            unreadable: 0,
        }))
    }
}

/// Runs code on the state. A poisoned lock is ignored: the state is valid between any two calls.
pub(super) fn with_gossip<T>(
    shared: &SharedGossipHandle,
    action: impl FnOnce(&mut SharedGossip) -> T,
) -> T {
    action(&mut shared.lock().unwrap_or_else(PoisonError::into_inner))
}

impl Payload for SharedGossip {
    fn gossip(&mut self, room: usize, now: Millis) -> Vec<u8> {
        self.facts.gossip_payload(room, now)
    }

    fn summary(&mut self, room: usize, _: Millis) -> Vec<u8> {
        self.facts.summary(room)
    }

    fn answer(&mut self, summary: &[u8], room: usize, most: usize, now: Millis) -> Vec<Vec<u8>> {
        self.facts
            .answer_summary(summary, room, most, now)
            .unwrap_or_else(|_| {
                self.unreadable += 1;
                Vec::new()
            })
    }

    fn receive(&mut self, from: &Member, bytes: &[u8], now: Millis) {
        match self.facts.merge_packet(bytes, now) {
            Ok(changes) if changes.is_empty() => {}
            // A fleet thread that has stopped has logged that.
            Ok(changes) => drop(self.changes.send(changes)),
            Err(error) => {
                self.unreadable += 1;
                if self.unreadable.is_power_of_two() {
                    warn!(part = "peers", from = %from.name, why = %error, count = self.unreadable, "gossip packet could not be decoded");
                }
            }
        }
    }

    fn set_member_count(&mut self, count: usize) {
        self.members = count;
        self.facts.set_member_count(count);
    }
}

/// The subject of a fact of one of the kinds above.
pub(super) fn custom_subject(kind: u32, key: Vec<u8>, is_per_process: bool) -> Subject {
    Subject::Unknown {
        kind,
        key,
        is_per_process,
    }
}

/// Kind, key and value of a fact, if it is of one of the kinds above.
pub(super) fn custom_fact(fact: &Fact) -> Option<(u32, &[u8], &[u8])> {
    match (&fact.subject, &fact.value) {
        (Subject::Unknown { kind, key, .. }, Value::Unknown(bytes)) => Some((*kind, key, bytes)),
        _ => None,
    }
}

/// Bounds of the gossip state that leave room for `max_placements`.
pub(super) fn bounds(
    max_placements: usize,
    max_lifetime_ms: Millis,
    seed: u64,
) -> beaconflow_gossip::Bounds {
    let mut bounds = beaconflow_gossip::Bounds {
        hash_seed: seed,
        ..Default::default()
    };
    let custom = bounds.of_kind_mut(FactKind::Unknown);
    custom.max_bytes = custom
        .max_bytes
        .max(max_placements.saturating_mul(BYTES_PER_PLACEMENT));
    custom.max_lifetime_ms = custom.max_lifetime_ms.max(max_lifetime_ms);
    bounds
}

/// Memory per placement, including its index entries.
const BYTES_PER_PLACEMENT: usize = 320;
