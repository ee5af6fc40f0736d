//! Queries that combine the facts of several processes.

use crate::Millis;
use crate::fact::{
    Configuration, FactKind, ListPosition, ListVersion, ObservedHealth, Origin, PlacementFailures,
    PlacementKey, PlacementView, ServerEntry, ServerEvidence, Subject, Value,
};
use crate::fact_store::FactStore;
use crate::record::{decode_value, encode_placement_key, read_placement};
use crate::slot::{FactId, Slot};

/// Upper limit on the failures that count for a client key.
pub const MAX_COUNTED_FAILURES: u32 = 6;

/// Combined evidence of all processes on a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerAssessment {
    /// The health with the most evidence.
    pub observed: ObservedHealth,
    /// Weight of the evidence for it, after decay and the limit for each process.
    pub weight: f64,
    /// Weight of the evidence for any other health.
    pub contrary_weight: f64,
    /// Number of processes whose evidence counts.
    pub witness_count: usize,
    /// Age of the newest evidence for the assessed health.
    pub age: Millis,
}

fn value(slot: &Slot) -> Option<Value> {
    let position = ListPosition {
        incarnation: slot.epoch,
        generation: slot.version,
    };
    decode_value(slot.kind(), position, slot.value())
}

/// What remains of an amount after exponential decay.
pub(crate) fn decay(amount: f64, age: Millis, half_life: Millis) -> f64 {
    amount * (-(age as f64) / half_life.max(1) as f64).exp2()
}

impl FactStore {
    fn valid_values(
        &self,
        kind: FactKind,
        key: &[u8],
        now: Millis,
    ) -> impl Iterator<Item = (Value, Millis)> {
        let slots = self
            .facts
            .slots_of(kind, key)
            .filter(move |slot| slot.is_valid(now));
        slots.filter_map(move |slot| Some((value(slot)?, now.saturating_sub(slot.observed_at))))
    }

    /// Failed placements of a client key at all processes, at most 6. A successful placement voids all failures before
    /// it.
    pub fn failure_count(&self, key: u64, now: Millis) -> u32 {
        self.failure_totals(key, now).0
    }

    /// Failures that count, and the time since the last successful placement.
    pub(crate) fn failure_totals(&self, key: u64, now: Millis) -> (u32, Option<Millis>) {
        let values: Vec<(PlacementFailures, Millis)> = self
            .valid_values(FactKind::PlacementFailures, &key.to_be_bytes(), now)
            .filter_map(|(value, age)| {
                if let Value::PlacementFailures(failures) = value {
                    Some((failures, age))
                } else {
                    None
                }
            })
            .collect();
        let last_success_age = values
            .iter()
            .filter_map(|(failures, age)| Some(failures.last_success_age?.saturating_add(*age)))
            .min();
        let counted = values.iter().filter(|(_, age)| {
            last_success_age.is_none_or(|last_success_age| *age < last_success_age)
        });
        let total = counted.fold(0, |total, (failures, _)| {
            (total + failures.count.min(MAX_COUNTED_FAILURES)).min(MAX_COUNTED_FAILURES)
        });
        (total, last_success_age)
    }

    /// Connection setups sent to a server in slow start by all processes, decayed by age.
    pub fn slow_start_sent(&self, server: &str, now: Millis) -> f64 {
        let half_life = self.facts.bounds().slow_start_half_life_ms;
        let values = self.valid_values(FactKind::SlowStartSends, server.as_bytes(), now);
        let remaining = values.map(|(value, age)| {
            if let Value::SlowStartSends(sent) = value {
                decay(sent, age, half_life)
            } else {
                0.0
            }
        });
        remaining.sum()
    }

    /// Combined evidence on a server; `None` if its weight is below the minimum.
    pub fn assess_server(&self, server: &str, now: Millis) -> Option<ServerAssessment> {
        let bounds = self.facts.bounds();
        let (mut sums, mut ages, mut witness_count) = ([0.0; 3], [Millis::MAX; 3], 0);
        for (value, age) in self.valid_values(FactKind::ServerEvidence, server.as_bytes(), now) {
            let Value::ServerEvidence(ServerEvidence { observed, weight }) = value else {
                continue;
            };
            sums[observed as usize] += decay(
                weight.min(bounds.max_evidence_weight),
                age,
                bounds.evidence_half_life_ms,
            );
            ages[observed as usize] = ages[observed as usize].min(age);
            witness_count += 1;
        }
        let total: f64 = sums.iter().sum();
        let states = [
            ObservedHealth::Hung,
            ObservedHealth::Refused,
            ObservedHealth::Healthy,
        ];
        let strongest = states
            .into_iter()
            .max_by(|a, b| sums[*a as usize].total_cmp(&sums[*b as usize]))?;
        let weight = sums[strongest as usize];
        let assessment = ServerAssessment {
            observed: strongest,
            weight,
            contrary_weight: total - weight,
            witness_count,
            age: ages[strongest as usize],
        };
        (total >= bounds.min_evidence_weight && weight > 0.0).then_some(assessment)
    }

    /// The valid placement of a client or group.
    pub fn placement(&self, key: PlacementKey, now: Millis) -> Option<PlacementView<'_>> {
        let key = encode_placement_key(key);
        let slot_index = self.facts.find(FactId {
            kind: FactKind::Placement.wire_number(),
            key: &key,
            name: None,
        })?;
        let slot = self
            .facts
            .slot(slot_index)
            .filter(|slot| slot.is_valid(now))?;
        read_placement(slot.value())
    }

    /// All known server entries by server name. Each entry names the list version that it comes from.
    pub fn server_entries(&self, now: Millis) -> Vec<(String, ServerEntry)> {
        let entries = self.iter(FactKind::ServerEntry, now).filter_map(|fact| {
            match (fact.subject, fact.value) {
                (Subject::ServerEntry(name), Value::ServerEntry(entry)) => Some((name, entry)),
                _ => None,
            }
        });
        entries.collect()
    }

    /// The configuration that each process runs, ordered by process name.
    pub fn configurations(&self, now: Millis) -> Vec<(Origin, Configuration)> {
        let configurations = self
            .iter(FactKind::Configuration, now)
            .filter_map(|fact| match fact.value {
                Value::Configuration(configuration) => Some((fact.origin, configuration)),
                _ => None,
            });
        configurations.collect()
    }

    /// The version of the list that each process holds, ordered by process name.
    pub fn list_versions(&self, now: Millis) -> Vec<(Origin, ListVersion)> {
        let versions = self
            .iter(FactKind::ListVersion, now)
            .filter_map(|fact| match fact.value {
                Value::ListVersion(version) => Some((fact.origin, version)),
                _ => None,
            });
        versions.collect()
    }
}
