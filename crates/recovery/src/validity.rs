//! Validity of remembered state, by its kind, owner and age.

use crate::config::Retention;
use crate::{Memory, Millis, RecoveryConfig, RememberedKind, Validity};

/// Whether the memory was written by an earlier run of this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MemoryOwner {
    /// Written by an earlier incarnation of this process.
    Own,
    /// Written by another process, or a copy: its incarnation number is not below the present one.
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

/// Assesses one kind of remembered state. An unknown age counts as too old.
pub(crate) fn assess(
    kind: RememberedKind,
    owner: MemoryOwner,
    age: Option<Millis>,
    retention: &Retention,
) -> (Validity, &'static str) {
    let within = |max_age: Millis| age.is_some_and(|age| age <= max_age);
    match (kind, owner) {
        (RememberedKind::ConnectionCounts, _) => (
            Validity::Discarded,
            "connections do not outlive their process",
        ),
        (
            RememberedKind::Placements
            | RememberedKind::Overrides
            | RememberedKind::ServerRates
            | RememberedKind::ServerHealth,
            MemoryOwner::Foreign,
        ) => (
            Validity::Discarded,
            "the memory was written by another process",
        ),
        (RememberedKind::List, _) if within(retention.list) => (
            Validity::Hint(1.0),
            "used until a source sends a newer list",
        ),
        (RememberedKind::List, _) => (
            Validity::Hint(0.0),
            "too old or of unknown age: used only if no source sends a list",
        ),
        (RememberedKind::Drains, _) if within(retention.list) => (
            Validity::Valid,
            "in effect until discovery reports another state",
        ),
        (RememberedKind::Drains, _) => (
            Validity::Hint(0.0),
            "too old or of unknown age: used only together with the remembered list",
        ),
        (RememberedKind::Placements, _) if within(retention.placements) => (
            Validity::Valid,
            "valid except on servers that have restarted since",
        ),
        (RememberedKind::Placements, _) => (Validity::Discarded, "too old or of unknown age"),
        (RememberedKind::Overrides, _) if age.is_some() => (
            Validity::Valid,
            "valid except for overrides that expired during the outage",
        ),
        (RememberedKind::Overrides, _) => (
            Validity::Hint(0.0),
            "expiry can't be computed: overrides that restrict a server are held for a limited time",
        ),
        (RememberedKind::ServerRates | RememberedKind::ServerHealth, _) => match age {
            Some(age) => (
                Validity::Hint(decayed_weight(age, retention)),
                "the weight decays with age",
            ),
            None => (Validity::Discarded, "the age is unknown"),
        },
        (RememberedKind::FormerClients, _) if within(retention.previous_clients) => (
            Validity::Hint(1.0),
            "estimates the number of returning clients",
        ),
        (RememberedKind::FormerClients, _) => (
            Validity::Hint(0.0),
            "too old or of unknown age: used only without a better estimate",
        ),
    }
}

/// The weight of a rate at an age, from 1 down to 0 by the half-life.
fn decayed_weight(age: Millis, retention: &Retention) -> f64 {
    (-(age as f64) / retention.half_life as f64).exp2()
}
