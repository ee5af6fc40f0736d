//! Settings: other ones of the site come into force while the program runs, as one change between two events.
//!
//! What stands stays, what is under way goes on, and whoever waits waits on in the new queue. The module is the same one
//! before and after: it answers at once whoever may not be sent again by the new settings.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use beaconflow_policy::{self as policy, Nanos, Settings};
use beaconflow_settings::InForce;
use tracing::info;

use super::Core;

/// Part of the shortest message aim from which on a message is slow.
const SLOW_PART: Nanos = 3;

/// The figures of the settings in force that other threads than the core's read.
#[derive(Debug)]
pub struct Figures {
    connect_timeout: AtomicU64,
    slow: AtomicU64,
}

impl Figures {
    pub(super) fn of(settings: &Settings) -> Figures {
        let figures = Figures {
            connect_timeout: AtomicU64::new(0),
            slow: AtomicU64::new(0),
        };
        figures.follow(settings);
        figures
    }

    fn follow(&self, settings: &Settings) {
        let aims = settings
            .classes
            .iter()
            .map(|class| class.message_latency_objective)
            .filter(|aim| *aim > 0);
        let slow = aims.min().map_or(Nanos::MAX, |aim| aim / SLOW_PART);
        self.connect_timeout
            .store(settings.limits.connect_timeout, Ordering::Relaxed);
        self.slow.store(slow, Ordering::Relaxed);
    }

    /// A connection not up by then has failed.
    pub(super) fn connect_timeout(&self) -> Duration {
        Duration::from_nanos(self.connect_timeout.load(Ordering::Relaxed))
    }

    /// A message that takes this long is slow.
    pub(super) fn slow(&self) -> Duration {
        Duration::from_nanos(self.slow.load(Ordering::Relaxed))
    }
}

/// What the module has of the settings in force.
pub(super) fn of(in_force: &InForce, asks_for_load: bool) -> Settings {
    let mut settings = in_force.module();
    // Guards against a module that waits for answers to questions that nobody asks.
    settings.limits.can_probe &= asks_for_load;
    settings.limits.connect_timeout = in_force.setup().connect_timeout();
    settings
}

impl Core {
    /// Other settings are in force from now on.
    pub(super) fn replace_settings(&mut self, in_force: Arc<InForce>) {
        self.settings = of(&in_force, self.asker.is_some());
        self.figures.follow(&self.settings);
        self.gate.replace_settings(&in_force, &mut self.ledger);
        self.in_force = in_force;
        self.handle(policy::Event::SettingsReplaced(Box::new(
            self.settings.clone(),
        )));
        // Nothing is placed between the two: zones and servers change their numbers together.
        let entries = self
            .farm
            .renumber_zones(|zone| self.in_force.setup().zone(zone));
        if !entries.is_empty() {
            self.handle(policy::Event::ServerList {
                update: policy::ListUpdate::Delta,
                entries,
            });
        }
        info!(
            part = self.name,
            clients = self.ledger.len(),
            "settings replaced"
        );
        self.give_turns();
    }
}

#[cfg(test)]
mod tests;
