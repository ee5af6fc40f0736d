//! What facts come to, for those who decide.

use crate::Millis;
use crate::fact::{
    Configuration, Evidence, Failures, Holder, Kind, ListVersion, Listed, Origin, PlacementView,
    Position, Seen, Subject, Value,
};
use crate::fact_store::FactStore;
use crate::record::{decode_value, holder_key, read_placement};
use crate::slot::{Id, Slot};

/// The design's most failures that count for a client key.
pub const MOST_FAILURES: u32 = 6;

/// What the processes' evidence on a server comes to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerAssessment {
    /// What most speaks for.
    pub seen: Seen,
    /// How much speaks for it, aged and bounded by process.
    pub weight: f64,
    /// How much speaks for anything else.
    pub against: f64,
    /// Processes whose evidence counts.
    pub witnesses: usize,
    /// Age of the newest evidence for it.
    pub age: Millis,
}

fn value(slot: &Slot) -> Option<Value> {
    let position = Position {
        incarnation: slot.epoch,
        generation: slot.version,
    };
    decode_value(slot.kind(), position, slot.value())
}

/// What is left of an amount after so long.
pub(crate) fn faded(amount: f64, age: Millis, half: Millis) -> f64 {
    amount * (-(age as f64) / half.max(1) as f64).exp2()
}

impl FactStore {
    fn valid_values(
        &self,
        kind: Kind,
        key: &[u8],
        now: Millis,
    ) -> impl Iterator<Item = (Value, Millis)> {
        let words = self
            .facts
            .slots_of(kind, key)
            .filter(move |slot| slot.is_good(now));
        words.filter_map(move |slot| Some((value(slot)?, now.saturating_sub(slot.observed_at))))
    }

    /// A client key's failed placements at all processes, at most 6. Where a placement succeeded, all that was counted
    /// before is void.
    pub fn failures(&self, key: u64, now: Millis) -> u32 {
        self.counted(key, now).0
    }

    /// Failures that count, and how long ago a placement last succeeded.
    pub(crate) fn counted(&self, key: u64, now: Millis) -> (u32, Option<Millis>) {
        let words: Vec<(Failures, Millis)> = self
            .valid_values(Kind::Failures, &key.to_be_bytes(), now)
            .filter_map(|(value, age)| {
                if let Value::Failures(word) = value {
                    Some((word, age))
                } else {
                    None
                }
            })
            .collect();
        let voided = words
            .iter()
            .filter_map(|(word, age)| Some(word.voided?.saturating_add(*age)))
            .min();
        let counted = words
            .iter()
            .filter(|(_, age)| voided.is_none_or(|voided| *age < voided));
        let all = counted.fold(0, |all, (word, _)| {
            (all + word.count.min(MOST_FAILURES)).min(MOST_FAILURES)
        });
        (all, voided)
    }

    /// Set-ups sent lately to a cold server by all processes, faded by age.
    pub fn slow_start_sent(&self, server: &str, now: Millis) -> f64 {
        let half = self.facts.bounds().slow_start_half_life;
        let words = self.valid_values(Kind::ColdSent, server.as_bytes(), now);
        let left = words.map(|(value, age)| {
            if let Value::ColdSent(sent) = value {
                faded(sent, age, half)
            } else {
                0.0
            }
        });
        left.sum()
    }

    /// What the processes have seen of a server, if there is more than thin evidence.
    pub fn assess_server(&self, server: &str, now: Millis) -> Option<ServerAssessment> {
        let bounds = self.facts.bounds();
        let (mut sums, mut ages, mut witnesses) = ([0.0; 3], [Millis::MAX; 3], 0);
        for (value, age) in self.valid_values(Kind::Standing, server.as_bytes(), now) {
            let Value::Standing(Evidence { seen, weight }) = value else {
                continue;
            };
            sums[seen as usize] +=
                faded(weight.min(bounds.evidence_most), age, bounds.evidence_half);
            ages[seen as usize] = ages[seen as usize].min(age);
            witnesses += 1;
        }
        let all: f64 = sums.iter().sum();
        let sights = [Seen::Hung, Seen::Refused, Seen::Well];
        let first = sights
            .into_iter()
            .max_by(|a, b| sums[*a as usize].total_cmp(&sums[*b as usize]))?;
        let weight = sums[first as usize];
        let standing = ServerAssessment {
            seen: first,
            weight,
            against: all - weight,
            witnesses,
            age: ages[first as usize],
        };
        (all >= bounds.evidence_thin && weight > 0.0).then_some(standing)
    }

    /// Where a client or group stands.
    pub fn placement(&self, holder: Holder, now: Millis) -> Option<PlacementView<'_>> {
        let key = holder_key(holder);
        let at = self.facts.find(Id {
            kind: Kind::Placement.number(),
            key: &key,
            name: None,
        })?;
        let slot = self.facts.slot(at).filter(|slot| slot.is_good(now))?;
        read_placement(slot.value())
    }

    /// The farm as it is known: each server with its entry, by name. Entries tell which list they come from.
    pub fn list(&self, now: Millis) -> Vec<(String, Listed)> {
        let entries =
            self.iter(Kind::Listed, now)
                .filter_map(|fact| match (fact.subject, fact.value) {
                    (Subject::Listed(name), Value::Listed(entry)) => Some((name, entry)),
                    _ => None,
                });
        entries.collect()
    }

    /// Which configuration each process runs, by name of the process.
    pub fn configurations(&self, now: Millis) -> Vec<(Origin, Configuration)> {
        let all = self
            .iter(Kind::Configuration, now)
            .filter_map(|fact| match fact.value {
                Value::Configuration(configuration) => Some((fact.origin, configuration)),
                _ => None,
            });
        all.collect()
    }

    /// Which list each process holds, by name of the process.
    pub fn positions(&self, now: Millis) -> Vec<(Origin, ListVersion)> {
        let all = self
            .iter(Kind::List, now)
            .filter_map(|fact| match fact.value {
                Value::List(held) => Some((fact.origin, held)),
                _ => None,
            });
        all.collect()
    }
}
