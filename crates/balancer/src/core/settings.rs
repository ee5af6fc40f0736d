//! Replacement of the site's settings at runtime, as one change between two events.
//!
//! Established connections and requests in flight continue; queued requests move to the new queue.
//! The policy answers requests that the new settings no longer allow to be retried.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use beaconflow_policy::{self as policy, Nanos, RequestClass, Settings};
use beaconflow_settings::ActiveSettings;
use tracing::info;

use super::Core;

/// Timeouts of the settings in effect, for other threads than the core's.
#[derive(Debug)]
pub struct SharedTimeouts {
    connect_timeout_ns: AtomicU64,
    slow_message_threshold_ns: AtomicU64,
}

impl SharedTimeouts {
    pub(super) fn new(settings: &Settings) -> SharedTimeouts {
        let timeouts = SharedTimeouts {
            connect_timeout_ns: AtomicU64::new(0),
            slow_message_threshold_ns: AtomicU64::new(0),
        };
        timeouts.update(settings);
        timeouts
    }

    fn update(&self, settings: &Settings) {
        let thresholds = settings
            .classes
            .iter()
            .map(RequestClass::slow_message_threshold);
        let slow_message_threshold = thresholds.min().unwrap_or(Nanos::MAX);
        self.connect_timeout_ns
            .store(settings.limits.connect_timeout, Ordering::Relaxed);
        self.slow_message_threshold_ns
            .store(slow_message_threshold, Ordering::Relaxed);
    }

    /// A connect that takes longer has failed.
    pub(super) fn connect_timeout(&self) -> Duration {
        Duration::from_nanos(self.connect_timeout_ns.load(Ordering::Relaxed))
    }

    /// A message that takes this long is slow for at least one class.
    pub(super) fn slow_message_threshold(&self) -> Duration {
        Duration::from_nanos(self.slow_message_threshold_ns.load(Ordering::Relaxed))
    }
}

/// The settings in effect, as the policy sees them.
pub(super) fn policy_settings(active_settings: &ActiveSettings, has_prober: bool) -> Settings {
    let mut settings = active_settings.policy_settings();
    // Without a prober the policy would wait for answers that never come.
    settings.limits.can_probe &= has_prober;
    settings.limits.connect_timeout = active_settings.site_settings().connect_timeout();
    settings
}

impl Core {
    /// Applies replaced site settings.
    pub(super) fn replace_settings(&mut self, active_settings: Arc<ActiveSettings>) {
        self.settings = policy_settings(&active_settings, self.prober.is_some());
        self.timeouts.update(&self.settings);
        self.admission
            .replace_settings(&active_settings, &mut self.requests);
        self.active_settings = active_settings;
        self.run_policy_without_permits(policy::Event::SettingsReplaced(Box::new(
            self.settings.clone(),
        )));
        // No request is placed between the two events: zones are renumbered together with their
        // servers.
        let entries = self
            .endpoints
            .renumber_zones(|zone| self.active_settings.site_settings().zone(zone));
        if !entries.is_empty() {
            self.run_policy_without_permits(policy::Event::ServerList {
                update: policy::ListUpdate::Delta,
                entries,
            });
        }
        info!(
            part = self.name,
            clients = self.requests.len(),
            "site settings replaced"
        );
        self.grant_permits();
    }
}

#[cfg(test)]
mod tests;
