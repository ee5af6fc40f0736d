//! Periodic tasks: publishing this process's status and updating the displayed status.

use std::collections::BTreeSet;
use std::sync::PoisonError;

use beaconflow_gossip::{FactKind, Subject};
use beaconflow_membership::Member;
use beaconflow_recovery::PeerStatus;

use super::{FleetThread, Millis, messages, shared_gossip};
use crate::core::{CoreInput, FleetEvent};
use crate::overrides::wall_clock_ms;

/// Interval of the published status, in nanoseconds, and its lifetime, in milliseconds.
const STATUS_PUBLISH_INTERVAL_NS: u64 = 2_000_000_000;
const STATUS_TTL_MS: Millis = 15_000;
/// Interval at which the uplink and the displayed status are updated, in nanoseconds.
const STATUS_UPDATE_INTERVAL_NS: u64 = 200_000_000;

impl FleetThread {
    /// Runs the tasks that are due.
    pub(super) fn run_due_tasks(&mut self) {
        let commands = self.recovery.on_timer(self.now, wall_clock_ms());
        self.execute_recovery_commands(commands);
        self.continue_settling();
        self.memory.on_timer(self.now_ms());
        if self.now >= self.publish_status_at {
            self.publish_status_at = self.now.saturating_add(STATUS_PUBLISH_INTERVAL_NS);
            self.publish_status();
            let now = self.now_ms();
            shared_gossip::with_gossip(&self.gossip, |shared| shared.facts.expire(now));
        }
        if self.now >= self.update_status_at {
            self.update_status_at = self.now.saturating_add(STATUS_UPDATE_INTERVAL_NS);
            let members_of_other_sites = self
                .membership
                .members()
                .into_iter()
                .filter(|member| *member.site != *self.config.site);
            let members_of_other_sites: Vec<Member> = members_of_other_sites.collect();
            self.with_uplink(|uplink, now| uplink.on_timer(now, &members_of_other_sites));
            self.apply_site_evidence();
            self.update_status();
        }
    }

    /// Publishes the recovery status of this process.
    fn publish_status(&self) {
        let recovery = self.recovery.recovery();
        let status = PeerStatus {
            name: self.config.name.clone(),
            site: self.config.site.clone(),
            incarnation: self.incarnation,
            uptime: self.now.saturating_sub(self.started_at),
            serving_time: self
                .serving_started_at
                .map(|since| self.now.saturating_sub(since)),
            is_in_full_service: self.is_in_full_service,
            wall_clock: recovery.is_clock_reliable().then(wall_clock_ms),
            previous_clients: recovery.previous_clients(),
            deferred_per_s: recovery.deferred_per_s(),
        };
        self.publish_fact(
            shared_gossip::RECOVERY_STATUS_FACT,
            (Vec::new(), true),
            messages::encode_recovery_status(&status),
            STATUS_TTL_MS,
        );
        if let Some(uplink) = &self.uplink {
            let report = messages::encode_uplink_status(&uplink.edge().report(self.now_ms()));
            self.publish_fact(
                shared_gossip::UPLINK_STATUS_FACT,
                (Vec::new(), true),
                report,
                STATUS_TTL_MS,
            );
        }
    }

    /// Assesses servers by the site's evidence while the site is isolated.
    pub(super) fn apply_site_evidence(&mut self) {
        let now = self.now_ms();
        let isolation = self
            .uplink
            .as_ref()
            .map_or((false, None), |uplink| uplink.isolation(now));
        let assessments = self
            .site_evidence
            .assess(now, &self.servers, isolation, self.warm_up_ms);
        if let Some(assessments) = assessments {
            self.core
                .send(CoreInput::Fleet(FleetEvent::SiteAssessed(assessments)));
        }
    }

    fn update_status(&mut self) {
        self.status.processes = (self.membership.members().len() + 1, self.config.size);
        self.status.recovery = self.recovery.describe();
        let now = self.now_ms();
        self.status.failing_clients = shared_gossip::with_gossip(&self.gossip, |shared| {
            let keys = shared
                .facts
                .iter(FactKind::PlacementFailures, now)
                .filter_map(|fact| match fact.subject {
                    Subject::PlacementFailures(key) => Some(key),
                    _ => None,
                });
            let keys: BTreeSet<u64> = keys.collect();
            keys.into_iter()
                .filter(|key| shared.facts.failure_count(*key, now) > 0)
                .count()
        });
        self.status.uplink = self
            .uplink
            .as_ref()
            .map(|uplink| uplink.describe(self.now_ms()));
        self.status.version = self.version.to_string();
        self.status.refused_datagrams = self.membership.counts().refused.iter().sum();
        self.status.is_persistent = self.memory.is_persistent();
        *self
            .published_status
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = self.status.clone();
    }
}
