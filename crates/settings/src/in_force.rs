//! The settings in force in a process, which a new file may replace while requests are under way.
//!
//! A class keeps its number for as long as the process runs: the number stands for one name *and* what was promised
//! under it. A file that promises something else under that name gives it another number. So a request that was read
//! before the replacement keeps what it was admitted under, whenever the core hears of it, and a table in another order
//! turns no class into another.

use std::time::Duration;

use beaconflow_policy::{DedupScope, Nanos, RequestClass, RetrySafety, Settings};

use crate::{Lane, Setup};

/// The settings in force, and the classes of all that were in force before them.
#[derive(Clone, Debug)]
pub struct InForce {
    setup: Setup,
    /// Each class that ever was, by its number.
    known: Vec<Lane>,
    /// The numbers of the present classes, in the order of the present settings.
    present: Vec<usize>,
}

impl InForce {
    /// The first settings of a process.
    pub fn new(setup: Setup) -> InForce {
        let (known, present) = (setup.lanes.clone(), (0..setup.lanes.len()).collect());
        InForce {
            setup,
            known,
            present,
        }
    }

    /// These settings hold from now on, as a whole.
    pub fn replaced_by(&self, setup: Setup) -> InForce {
        let mut known = self.known.clone();
        let number = |lane: &Lane| match known.iter().position(|class| class == lane) {
            Some(number) => number,
            None => {
                known.push(lane.clone());
                known.len() - 1
            }
        };
        let present = setup.lanes.iter().map(number).collect();
        InForce {
            setup,
            known,
            present,
        }
    }

    /// The settings as they stand in the file.
    pub fn setup(&self) -> &Setup {
        &self.setup
    }

    /// The number of the class with this name, if the present settings have one.
    pub fn class(&self, name: &str) -> Option<usize> {
        self.present.get(self.setup.class(name)?).copied()
    }

    /// How long a client of this class waits; nothing for a class there never was.
    pub fn patience(&self, class: usize) -> Duration {
        self.known
            .get(class)
            .map_or(Duration::ZERO, |lane| Duration::from_nanos(lane.deadline))
    }

    /// The place of a class among the present ones; one of earlier settings has the place of the class that bears its
    /// name now, and the last where none does.
    pub fn place(&self, class: usize) -> usize {
        let present = self.present.iter().position(|number| *number == class);
        let by_name = || self.setup.class(&self.known.get(class)?.name);
        present
            .or_else(by_name)
            .unwrap_or_else(|| self.present.len().saturating_sub(1))
    }

    /// What the decision module has of them: the classes by their numbers, those of earlier settings among them.
    pub fn module(&self) -> Settings {
        let classes = (0..self.known.len())
            .map(|number| self.class_of(number))
            .collect();
        Settings {
            classes,
            ..self.setup.module()
        }
    }

    fn class_of(&self, number: usize) -> RequestClass {
        let own = self.known[number].class();
        if self.present.contains(&number) {
            return own;
        }
        self.earlier(own, &self.known[number].name)
    }

    /// What holds for requests that were admitted under earlier settings: their own class's promise, with the stricter
    /// repeat of both, and no say in what is asked of all classes together.
    fn earlier(&self, own: RequestClass, name: &str) -> RequestClass {
        let present = || self.setup.lanes.iter();
        let longest = present()
            .map(|lane| lane.deadline)
            .max()
            .unwrap_or(own.deadline);
        let dearest = present().map(|lane| lane.worth).fold(0.0, f64::max);
        let named = present().find(|lane| lane.name == name);
        RequestClass {
            retry_safety: named.map_or(own.retry_safety, |lane| {
                stricter(own.retry_safety, lane.repeat)
            }),
            deadline: own.deadline.min(longest),
            priority_weight: own.priority_weight.min(dearest),
            message_latency_objective: 0,
            ..own
        }
    }
}

/// What both allow.
fn stricter(one: RetrySafety, other: RetrySafety) -> RetrySafety {
    match (one, other) {
        (RetrySafety::Idempotent, repeat) | (repeat, RetrySafety::Idempotent) => repeat,
        (RetrySafety::NonIdempotent, _) | (_, RetrySafety::NonIdempotent) => {
            RetrySafety::NonIdempotent
        }
        (
            RetrySafety::IdempotencyKey {
                scope: one,
                window: first,
            },
            RetrySafety::IdempotencyKey {
                scope: other,
                window: second,
            },
        ) => narrower((one, other), first.min(second)),
    }
}

/// Servers that are in both scopes. Whether those of one zone and those of one cell have any in common is not said.
fn narrower(scopes: (DedupScope, DedupScope), window: Nanos) -> RetrySafety {
    match scopes {
        (DedupScope::All, scope) | (scope, DedupScope::All) => {
            RetrySafety::IdempotencyKey { scope, window }
        }
        (one, other) if one == other => RetrySafety::IdempotencyKey { scope: one, window },
        _ => RetrySafety::NonIdempotent,
    }
}
