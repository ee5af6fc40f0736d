//! Observations that accumulate: placement failures, slow start sends and server evidence of this process.

use crate::Millis;
use crate::fact::{Fact, PlacementFailures, ServerEvidence, Subject, Value};
use crate::fact_store::{FactStore, ObserveError};
use crate::queries::{MAX_COUNTED_FAILURES, decay};

impl FactStore {
    /// This process's own value for a subject, and its age.
    fn own_value(&self, subject: &Subject, now: Millis) -> Option<(Value, Millis)> {
        let fact = self.get(subject, &self.origin.name, now)?;
        Some((fact.value, now.saturating_sub(fact.observed_at)))
    }

    /// Counts a failed placement of a client key.
    pub fn record_placement_failure(
        &mut self,
        key: u64,
        valid_for: Millis,
        now: Millis,
    ) -> Result<Fact, ObserveError> {
        let (_, last_success_age) = self.failure_totals(key, now);
        let subject = Subject::PlacementFailures(key);
        let count = match self.own_value(&subject, now) {
            Some((Value::PlacementFailures(own), age))
                if last_success_age.is_none_or(|last_success_age| age < last_success_age) =>
            {
                own.count
            }
            _ => 0,
        };
        let count = (count + 1).min(MAX_COUNTED_FAILURES);
        self.observe(
            &subject,
            &Value::PlacementFailures(PlacementFailures {
                count,
                last_success_age,
            }),
            valid_for,
            now,
        )
    }

    /// Records a successful placement of a client key, which voids all failures counted before.
    pub fn record_placement_success(
        &mut self,
        key: u64,
        valid_for: Millis,
        now: Millis,
    ) -> Result<Fact, ObserveError> {
        let value = Value::PlacementFailures(PlacementFailures {
            count: 0,
            last_success_age: Some(0),
        });
        self.observe(&Subject::PlacementFailures(key), &value, valid_for, now)
    }

    /// Counts connection setups sent to a server in slow start.
    pub fn record_slow_start_send(
        &mut self,
        server: &str,
        sends: f64,
        valid_for: Millis,
        now: Millis,
    ) -> Result<Fact, ObserveError> {
        let subject = Subject::SlowStartSends(server.to_owned());
        let half_life = self.facts.bounds().slow_start_half_life_ms;
        let before = match self.own_value(&subject, now) {
            Some((Value::SlowStartSends(before), age)) => decay(before, age, half_life),
            _ => 0.0,
        };
        self.observe(
            &subject,
            &Value::SlowStartSends(before + sends),
            valid_for,
            now,
        )
    }

    /// Records evidence on a server. It adds to earlier evidence of this process for the same health, and replaces
    /// evidence for another.
    pub fn record_evidence(
        &mut self,
        server: &str,
        evidence: ServerEvidence,
        valid_for: Millis,
        now: Millis,
    ) -> Result<Fact, ObserveError> {
        let subject = Subject::ServerEvidence(server.to_owned());
        let bounds = self.facts.bounds();
        let (half_life, max_weight) = (bounds.evidence_half_life_ms, bounds.max_evidence_weight);
        let before = match self.own_value(&subject, now) {
            Some((Value::ServerEvidence(before), age)) if before.observed == evidence.observed => {
                decay(before.weight, age, half_life)
            }
            _ => 0.0,
        };
        let weight = (before + evidence.weight).min(max_weight);
        self.observe(
            &subject,
            &Value::ServerEvidence(ServerEvidence { weight, ..evidence }),
            valid_for,
            now,
        )
    }
}
