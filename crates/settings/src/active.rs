//! The settings in effect, which a new file may replace while requests are in flight.
//!
//! A class keeps its number while the process runs: the number identifies one name with one set of
//! rules. If a file changes the rules of a name, the class gets a new number. A request that was
//! parsed before the replacement therefore keeps its rules, and another order of the classes in the
//! file changes no request's class.

use std::time::Duration;

use beaconflow_policy::{DedupScope, Nanos, RequestClass, RetrySafety, Settings};

use crate::{NamedClass, SiteSettings};

/// The settings in effect, and the classes of all former ones.
#[derive(Clone, Debug)]
pub struct ActiveSettings {
    current: SiteSettings,
    /// Every class since the process started, by number.
    classes: Vec<NamedClass>,
    /// Numbers of the present classes, in the order of the present settings.
    current_classes: Vec<usize>,
}

impl ActiveSettings {
    /// Creates the first settings of a process. Classes are numbered as in the file.
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

    /// The settings after a replacement by a new file. Former classes are kept.
    pub fn replaced_with(&self, current: SiteSettings) -> ActiveSettings {
        let mut classes = self.classes.clone();
        let number_of = |class: &NamedClass| match classes.iter().position(|known| known == class) {
            Some(number) => number,
            None => {
                classes.push(class.clone());
                classes.len() - 1
            }
        };
        let current_classes = current.classes.iter().map(number_of).collect();
        ActiveSettings {
            current,
            classes,
            current_classes,
        }
    }

    /// The settings as read from the latest file, without former classes.
    pub fn site_settings(&self) -> &SiteSettings {
        &self.current
    }

    /// Number of the present class with this name.
    pub fn class(&self, name: &str) -> Option<usize> {
        self.current_classes.get(self.current.class(name)?).copied()
    }

    /// How long a client of this class waits; zero for an unknown class.
    pub fn client_timeout(&self, class: usize) -> Duration {
        self.classes
            .get(class)
            .map_or(Duration::ZERO, |class| Duration::from_nanos(class.deadline))
    }

    /// Index of a class among the present ones. A former class has the index of the present one
    /// with its name, or the last index.
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

    /// The policy's settings: the classes by number, including former ones.
    pub fn policy_settings(&self) -> Settings {
        let classes = (0..self.classes.len())
            .map(|number| self.class_by_number(number))
            .collect();
        Settings {
            classes,
            ..self.current.policy_settings()
        }
    }

    fn class_by_number(&self, number: usize) -> RequestClass {
        let own = self.classes[number].class();
        if self.current_classes.contains(&number) {
            return own;
        }
        self.former_class(own, &self.classes[number].name)
    }

    /// The rules for requests of a former class: its own, with the stricter retry rule of both and the
    /// message objective of the present class with its name. It has no influence on what is derived
    /// from all classes.
    fn former_class(&self, own: RequestClass, name: &str) -> RequestClass {
        let present = || self.current.classes.iter();
        let longest_deadline = present()
            .map(|class| class.deadline)
            .max()
            .unwrap_or(own.deadline);
        let present_class = present().find(|class| class.name == name);
        RequestClass {
            retry_safety: present_class.map_or(own.retry_safety, |class| {
                stricter(own.retry_safety, class.retry_safety)
            }),
            deadline: own.deadline.min(longest_deadline),
            message_latency_objective: present_class
                .map_or(0, |class| class.message_latency_objective),
        }
    }
}

/// The retry rule that satisfies both.
fn stricter(one: RetrySafety, other: RetrySafety) -> RetrySafety {
    match (one, other) {
        (RetrySafety::Idempotent, safety) | (safety, RetrySafety::Idempotent) => safety,
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
        ) => narrower_scope((one, other), first.min(second)),
    }
}

/// Scope of the servers that are in both scopes. A zone and a cell may have none in common.
fn narrower_scope(scopes: (DedupScope, DedupScope), window: Nanos) -> RetrySafety {
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
