//! Validity of remembered knowledge, by its kind and age.

use crate::config::Retention;
use crate::{Memory, Millis, RecoveryConfig, RememberedKind, Validity};

/// Whose memory it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MemoryOwner {
    Own,
    /// Another process's, or a copy: its incarnation number is not below the present one.
    Foreign,
}

pub(crate) fn memory_owner(
    config: &RecoveryConfig,
    incarnation: u64,
    memory: &Memory,
) -> MemoryOwner {
    if memory.owner == config.name && memory.incarnation < incarnation {
        MemoryOwner::Own
    } else {
        MemoryOwner::Foreign
    }
}

/// Assesses one kind. An unknown age counts as old.
pub(crate) fn assess(
    kind: RememberedKind,
    owner: MemoryOwner,
    age: Option<Millis>,
    retention: &Retention,
) -> (Validity, &'static str) {
    let within = |max_age: Millis| age.is_some_and(|age| age <= max_age);
    match (kind, owner) {
        (RememberedKind::ConnectionCounts, _) => {
            (Validity::Discarded, "no connection outlives its process")
        }
        (
            RememberedKind::Placements
            | RememberedKind::Overrides
            | RememberedKind::ServerRates
            | RememberedKind::ServerHealth,
            MemoryOwner::Foreign,
        ) => (Validity::Discarded, "another process wrote it"),
        (RememberedKind::List, _) if within(retention.list) => {
            (Validity::Hint(1.0), "a starting point until one is told")
        }
        (RememberedKind::List, _) => (Validity::Hint(0.0), "old: only if nobody tells one"),
        (RememberedKind::Drains, _) if within(retention.list) => {
            (Validity::Valid, "until discovery says otherwise")
        }
        (RememberedKind::Drains, _) => (Validity::Hint(0.0), "old: only with the old list"),
        (RememberedKind::Placements, _) if within(retention.placements) => {
            (Validity::Valid, "but on servers that have started since")
        }
        (RememberedKind::Placements, _) => (Validity::Discarded, "old"),
        (RememberedKind::Overrides, _) if age.is_some() => {
            (Validity::Valid, "but those that ended in the dark")
        }
        (RememberedKind::Overrides, _) => (
            Validity::Hint(0.0),
            "ends can't be told: what takes a server out holds for a time",
        ),
        (RememberedKind::ServerRates | RememberedKind::ServerHealth, _) => match age {
            Some(age) => (
                Validity::Hint(decayed_weight(age, retention)),
                "it fades with time",
            ),
            None => (Validity::Discarded, "its age is unknown"),
        },
        (RememberedKind::FormerClients, _) if within(retention.previous_clients) => {
            (Validity::Hint(1.0), "it tells how many will come")
        }
        (RememberedKind::FormerClients, _) => {
            (Validity::Hint(0.0), "old: only if nobody knows better")
        }
    }
}

/// The weight that is left at an age.
fn decayed_weight(age: Millis, retention: &Retention) -> f64 {
    (-(age as f64) / retention.half_life as f64).exp2()
}
