//! A process's own counts, as they go on.

use crate::Millis;
use crate::fact::{Evidence, Fact, Failures, Subject, Value};
use crate::fact_store::{FactStore, Refused};
use crate::views::{MOST_FAILURES, faded};

impl FactStore {
    /// This process's own word on a subject, and its age.
    fn own(&self, subject: &Subject, now: Millis) -> Option<(Value, Millis)> {
        let fact = self.get(subject, &self.me.name, now)?;
        Some((fact.value, now.saturating_sub(fact.observed_at)))
    }

    /// A placement of that client key failed here.
    pub fn failed(&mut self, key: u64, good_for: Millis, now: Millis) -> Result<Fact, Refused> {
        let (_, voided) = self.counted(key, now);
        let subject = Subject::Failures(key);
        let count = match self.own(&subject, now) {
            Some((Value::Failures(own), age)) if voided.is_none_or(|voided| age < voided) => {
                own.count
            }
            _ => 0,
        };
        let count = (count + 1).min(MOST_FAILURES);
        self.observe(
            &subject,
            &Value::Failures(Failures { count, voided }),
            good_for,
            now,
        )
    }

    /// A placement of that client key succeeded here: nothing that was counted before counts any more.
    pub fn succeeded(&mut self, key: u64, good_for: Millis, now: Millis) -> Result<Fact, Refused> {
        let value = Value::Failures(Failures {
            count: 0,
            voided: Some(0),
        });
        self.observe(&Subject::Failures(key), &value, good_for, now)
    }

    /// So many set-ups were sent from here to a server that is cold.
    pub fn record_slow_start_send(
        &mut self,
        server: &str,
        sent: f64,
        good_for: Millis,
        now: Millis,
    ) -> Result<Fact, Refused> {
        let subject = Subject::ColdSent(server.to_owned());
        let half = self.facts.bounds().slow_start_half_life;
        let before = match self.own(&subject, now) {
            Some((Value::ColdSent(before), age)) => faded(before, age, half),
            _ => 0.0,
        };
        self.observe(&subject, &Value::ColdSent(before + sent), good_for, now)
    }

    /// A server was seen to do that, with so much evidence. It adds to what this process saw before, or takes its
    /// place if that was something else.
    pub fn saw(
        &mut self,
        server: &str,
        evidence: Evidence,
        good_for: Millis,
        now: Millis,
    ) -> Result<Fact, Refused> {
        let subject = Subject::Standing(server.to_owned());
        let bounds = self.facts.bounds();
        let (half, most) = (bounds.evidence_half, bounds.evidence_most);
        let before = match self.own(&subject, now) {
            Some((Value::Standing(before), age)) if before.seen == evidence.seen => {
                faded(before.weight, age, half)
            }
            _ => 0.0,
        };
        let weight = (before + evidence.weight).min(most);
        self.observe(
            &subject,
            &Value::Standing(Evidence { weight, ..evidence }),
            good_for,
            now,
        )
    }
}
