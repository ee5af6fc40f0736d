//! Replacement of the site's settings at runtime, as one change between two events.
//!
//! Established connections and requests in flight continue; queued requests move to the new queue.
//! The policy answers requests that the new settings no longer allow to be retried.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use beaconflow_policy::{self as policy, Nanos, Settings};
use beaconflow_settings::ActiveSettings;
use tracing::info;

use super::Core;

/// A message over this fraction (1/n) of the shortest objective is slow.
const SLOW_MESSAGE_DIVISOR: Nanos = 3;

/// Timeouts of the settings in effect, for other threads than the core's.
#[derive(Debug)]
pub struct SharedTimeouts {
    connect_timeout_ns: AtomicU64,
    slow_message_threshold_ns: AtomicU64,
}

impl SharedTimeouts {
    pub(super) fn new(settings: &Settings) -> SharedTimeouts {
        let figures = SharedTimeouts {
            connect_timeout_ns: AtomicU64::new(0),
            slow_message_threshold_ns: AtomicU64::new(0),
        };
        figures.update(settings);
        figures
    }

    fn update(&self, settings: &Settings) {
        let aims = settings
            .classes
            .iter()
            .map(|class| class.message_latency_objective)
            .filter(|aim| *aim > 0);
        let slow_message_threshold = aims
            .min()
            .map_or(Nanos::MAX, |aim| aim / SLOW_MESSAGE_DIVISOR);
        self.connect_timeout_ns
            .store(settings.limits.connect_timeout, Ordering::Relaxed);
        self.slow_message_threshold_ns
            .store(slow_message_threshold, Ordering::Relaxed);
    }

    /// A connect that takes longer has failed.
    pub(super) fn connect_timeout(&self) -> Duration {
        Duration::from_nanos(self.connect_timeout_ns.load(Ordering::Relaxed))
    }

    /// A message that takes this long is slow.
    pub(super) fn slow(&self) -> Duration {
        Duration::from_nanos(self.slow_message_threshold_ns.load(Ordering::Relaxed))
    }
}

/// The settings in effect, as the policy sees them.
pub(super) fn policy_settings(in_force: &ActiveSettings, asks_for_load: bool) -> Settings {
    let mut settings = in_force.policy_settings();
    // Without a prober the policy would wait for answers that never come.
    settings.limits.can_probe &= asks_for_load;
    settings.limits.connect_timeout = in_force.site_settings().connect_timeout();
    settings
}

impl Core {
    /// Applies replaced site settings.
    pub(super) fn replace_settings(&mut self, in_force: Arc<ActiveSettings>) {
        self.settings = policy_settings(&in_force, self.prober.is_some());
        self.timeouts.update(&self.settings);
        self.admission
            .replace_settings(&in_force, &mut self.requests);
        self.in_force = in_force;
        self.run_policy_without_permits(policy::Event::SettingsReplaced(Box::new(
            self.settings.clone(),
        )));
        // Nothing is placed in between: zones change their numbers together with the servers.
        let entries = self
            .endpoints
            .renumber_zones(|zone| self.in_force.site_settings().zone(zone));
        if !entries.is_empty() {
            self.run_policy_without_permits(policy::Event::ServerList {
                update: policy::ListUpdate::Delta,
                entries,
            });
        }
        info!(
            part = self.name,
            clients = self.requests.len(),
            "settings replaced"
        );
        self.grant_permits();
    }
}

#[cfg(test)]
mod tests;
