//! What the thread takes up of the memory of before.

use beaconflow_affinity::Placement;
use beaconflow_gossip::{Position, Told, Value};
use beaconflow_recovery::{self as recovery, Event as RecoveryEvent, Kind, Source, Verdict};
use tracing::info;

use super::keep::Restored;
use super::server_list::{LIST_GOOD, believed, digest_of};
use super::{Thread, carry, millis, records};
use crate::core::TieNews;
use crate::farm::Listed;

/// Placements go to the core this many at a time. Guards against a core that is busy with nothing else.
const AT_ONCE: usize = 1_000;

impl Thread {
    /// Takes up what was remembered.
    pub(super) fn restore(&mut self, restored: Restored) {
        self.now = self.clock.now();
        // A list that discovery tells under a lower number than this is another life's.
        let life = restored.list.as_ref().map_or(0, |(list, _)| {
            let told = Told {
                generation: list.generation,
                digest: digest_of(list),
                whole: true,
            };
            let now = self.ms();
            let held = carry::with(&self.known, |known| {
                known.knowledge.hear_list(told, LIST_GOOD, now)
            });
            held.map_or(0, |position| position.life)
        });
        let memory = restored.written_at.map(|written_at| recovery::Memory {
            owner: self.file.name.clone(),
            boot: self.boot.saturating_sub(1),
            written_at,
            list: restored
                .list
                .as_ref()
                .map(|(list, _)| believed(list, life, Source::Memory)),
            former: restored
                .former
                .map(|clients| recovery::Former {
                    class: 0,
                    account: 0,
                    clients,
                })
                .into_iter()
                .collect(),
            borne: None,
        });
        let remembered = restored.list.map(|(list, life)| {
            self.servers = list
                .instances
                .iter()
                .map(|one| (one.instance_id.clone(), one.clone()))
                .collect();
            Position {
                life,
                generation: list.generation,
            }
        });
        self.recovery_event(RecoveryEvent::Started {
            boot: self.boot,
            memory,
        });
        // Those who remember nothing start from it too. Nobody takes it for discovery's own word.
        let list = self.gathering.recovery().verdict(Kind::List);
        if let Some(position) = remembered.filter(|_| list == Verdict::Hint(1.0)) {
            let entries: Vec<Listed> = self.servers.values().cloned().collect();
            self.enter_entries(position, &entries);
        }
        let verdict = self.gathering.recovery().verdict(Kind::Placements);
        let (held, count) = (verdict != Verdict::Void, restored.placements.len());
        if count > 0 {
            info!(part = "recovery", placements = count, taken = held, verdict = ?verdict, "placements of before");
        }
        if held {
            self.hand_over(&restored.placements);
            restored.placements.iter().for_each(|one| self.recall(one));
        }
    }

    /// Has those who remember nothing find a placement of before here.
    fn recall(&self, placement: &Placement) {
        let life = millis(self.file.affinity.keep);
        let subject = carry::subject(carry::PLACED, placement.key.0.to_be_bytes().to_vec(), false);
        let (value, seen) = (
            Value::Unknown(records::placement(placement)),
            u64::from(placement.seen_s) * 1_000,
        );
        // What is past its life or superseded is not entered.
        let _ = carry::with(&self.known, |known| {
            known
                .knowledge
                .recall(&subject, &value, life, (seen.min(self.ms()), self.ms()))
        });
    }

    pub(super) fn hand_over(&self, placements: &[Placement]) {
        placements
            .chunks(AT_ONCE)
            .for_each(|some| self.tell_affinity(TieNews::Placements(some.to_vec())));
    }
}
