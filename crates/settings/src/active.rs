//! The settings in force in a process, which a new file may replace while requests are under way.
//!
//! A class keeps its number for as long as the process runs: the number stands for one name *and* what was promised
//! under it. A file that promises something else under that name gives it another number. So a request that was read
//! before the replacement keeps what it was admitted under, whenever the core hears of it, and a table in another order
//! turns no class into another.

use std::time::Duration;

use beaconflow_policy::{DedupScope, Nanos, RequestClass, RetrySafety, Settings};

use crate::{NamedClass, SiteSettings};

/// The settings in force, and the classes of all that were in force before them.
#[derive(Clone, Debug)]
pub struct ActiveSettings {
    current: SiteSettings,
    /// Each class that ever was, by its number.
    classes: Vec<NamedClass>,
    /// The numbers of the present classes, in the order of the present settings.
    current_classes: Vec<usize>,
}

impl ActiveSettings {
    /// The first settings of a process.
    pub fn new(current: SiteSettings) -> ActiveSettings {
        let (classes, current_classes) = (
            current.classes.clone(),
            (0..current.classes.len()).collect(),
        );
        ActiveSettings {
            current,
            classes,
            current_classes,
        }
    }

    /// These settings hold from now on, as a whole.
    pub fn replaced_with(&self, current: SiteSettings) -> ActiveSettings {
        let mut classes = self.classes.clone();
        let number = |lane: &NamedClass| match classes.iter().position(|class| class == lane) {
            Some(number) => number,
            None => {
                classes.push(lane.clone());
                classes.len() - 1
            }
        };
        let current_classes = current.classes.iter().map(number).collect();
        ActiveSettings {
            current,
            classes,
            current_classes,
        }
    }

    /// The settings as they stand in the file.
    pub fn setup(&self) -> &SiteSettings {
        &self.current
    }

    /// The number of the class with this name, if the present settings have one.
    pub fn class(&self, name: &str) -> Option<usize> {
        self.current_classes.get(self.current.class(name)?).copied()
    }

    /// How long a client of this class waits; nothing for a class there never was.
    pub fn client_timeout(&self, class: usize) -> Duration {
        self.classes
            .get(class)
            .map_or(Duration::ZERO, |lane| Duration::from_nanos(lane.deadline))
    }

    /// The place of a class among the present ones; one of earlier settings has the place of the class that bears its
    /// name now, and the last where none does.
    pub fn current_index(&self, class: usize) -> usize {
        let present = self
            .current_classes
            .iter()
            .position(|number| *number == class);
        let by_name = || self.current.class(&self.classes.get(class)?.name);
        present
            .or_else(by_name)
            .unwrap_or_else(|| self.current_classes.len().saturating_sub(1))
    }

    /// What the decision module has of them: the classes by their numbers, those of earlier settings among them.
    pub fn policy_settings(&self) -> Settings {
        let classes = (0..self.classes.len())
            .map(|number| self.class_of(number))
            .collect();
        Settings {
            classes,
            ..self.current.policy_settings()
        }
    }

    fn class_of(&self, number: usize) -> RequestClass {
        let own = self.classes[number].class();
        if self.current_classes.contains(&number) {
            return own;
        }
        self.previous_class(own, &self.classes[number].name)
    }

    /// What holds for requests that were admitted under earlier settings: their own class's promise, with the stricter
    /// repeat of both, and no say in what is asked of all classes together.
    fn previous_class(&self, own: RequestClass, name: &str) -> RequestClass {
        let present = || self.current.classes.iter();
        let longest = present()
            .map(|lane| lane.deadline)
            .max()
            .unwrap_or(own.deadline);
        let dearest = present()
            .map(|lane| lane.priority_weight)
            .fold(0.0, f64::max);
        let named = present().find(|lane| lane.name == name);
        RequestClass {
            retry_safety: named.map_or(own.retry_safety, |lane| {
                stricter(own.retry_safety, lane.retry_safety)
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
                dedup_scope: one,
                window: first,
            },
            RetrySafety::IdempotencyKey {
                dedup_scope: other,
                window: second,
            },
        ) => narrower((one, other), first.min(second)),
    }
}

/// Servers that are in both scopes. Whether those of one zone and those of one cell have any in common is not said.
fn narrower(scopes: (DedupScope, DedupScope), window: Nanos) -> RetrySafety {
    match scopes {
        (DedupScope::All, dedup_scope) | (dedup_scope, DedupScope::All) => {
            RetrySafety::IdempotencyKey {
                dedup_scope,
                window,
            }
        }
        (one, other) if one == other => RetrySafety::IdempotencyKey {
            dedup_scope: one,
            window,
        },
        _ => RetrySafety::NonIdempotent,
    }
}
