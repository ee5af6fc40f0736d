//! Application of operators' overrides: effective entries, pins and the emptying of servers.
//!
//! `beaconflow-overrides` decides what is in effect when.

use std::collections::BTreeMap;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;
use std::time::Duration;

use beaconflow_affinity::EndReason;
use beaconflow_overrides::{MigrationPacer, Millis, Override, OverrideId, OverrideSet};
use beaconflow_policy::{self as policy, RequestId};
use crossbeam_channel::Sender;
use tracing::{error, info, warn};

use super::effective_entry::SiteAssessment;
use super::endpoint::DrainState;
use super::{Core, TimerKind};

/// Interval between migrations off an emptied server.
const MIN_MIGRATION_INTERVAL: Duration = Duration::from_millis(20);
const MAX_MIGRATION_INTERVAL: Duration = Duration::from_millis(500);

/// A change of the overrides.
#[derive(Clone, Debug)]
pub enum OverrideChange {
    /// An override was added or changed.
    Put(Box<Override>),
    /// These overrides no longer have any effect.
    Forget(Vec<OverrideId>),
}

/// Result of changes that have been applied.
#[derive(Debug)]
pub struct OverridesApplied {
    /// Drain states of the servers out of service: no first byte is written to one without writers.
    pub out_of_service: Vec<Arc<DrainState>>,
}

impl Core {
    pub(super) fn now_ms(&self) -> Millis {
        self.clock.now() / 1_000_000
    }

    /// Runs code on the overrides. After a panic there overrides are disabled at this front, and
    /// the core continues.
    pub(super) fn with_overrides<T>(&mut self, action: impl FnOnce(&mut Core) -> T) -> Option<T> {
        let result = catch_unwind(AssertUnwindSafe(|| action(self)));
        if result.is_err() {
            error!(
                part = self.name,
                "overrides panicked and are disabled at this front until a restart"
            );
            self.has_lost_overrides = true;
            self.endpoints.overrides = OverrideSet::default();
            self.emptied_servers.clear();
            let entries = self.endpoints.refresh(0);
            self.run_policy(policy::Event::ServerList {
                update: policy::ListUpdate::Delta,
                entries,
            });
        }
        result.ok()
    }

    /// Applies changes; the reply is sent once the policy has been updated.
    pub(super) fn on_overrides_changed(
        &mut self,
        changes: Vec<OverrideChange>,
        reply: Option<Sender<OverridesApplied>>,
    ) {
        if self.has_lost_overrides {
            return;
        }
        let applied = self.with_overrides(|core| {
            for change in changes {
                match change {
                    OverrideChange::Put(entry) => core.endpoints.overrides.insert(*entry),
                    OverrideChange::Forget(ids) => {
                        ids.into_iter()
                            .for_each(|id| drop(core.endpoints.overrides.discard(id)));
                    }
                }
            }
            core.refresh_overrides();
        });
        if let (Some(()), Some(reply)) = (applied, reply) {
            // The requester may have timed out.
            let _ = reply.try_send(OverridesApplied {
                out_of_service: self.endpoints.drain_states_out_of_service(),
            });
        }
    }

    pub(super) fn on_overrides_timer(&mut self) {
        if self
            .overrides_timer_at
            .is_some_and(|timer_at| timer_at <= self.clock.now())
        {
            self.overrides_timer_at = None;
        }
        self.with_overrides(Core::refresh_overrides);
    }

    /// Updates the policy's entries and the pins of waiting requests.
    fn refresh_overrides(&mut self) {
        let now = self.now_ms();
        let entries = self.endpoints.refresh(now);
        if !entries.is_empty() {
            self.run_policy(policy::Event::ServerList {
                update: policy::ListUpdate::Delta,
                entries,
            });
        }
        self.apply_overrides_unguarded();
    }

    /// Applies the site's assessments of servers while its uplink is lost. No client is migrated.
    pub(super) fn apply_site_assessments(&mut self, assessments: BTreeMap<String, SiteAssessment>) {
        self.endpoints.set_assessments(assessments);
        self.with_overrides(Core::refresh_overrides);
    }

    /// Applies pins, emptying and coverage, and schedules the next evaluation.
    pub(super) fn apply_overrides(&mut self) {
        self.with_overrides(Core::apply_overrides_unguarded);
    }

    fn apply_overrides_unguarded(&mut self) {
        let now = self.now_ms();
        let endpoints = &self.endpoints;
        for (id, pin) in self.requests.update_pins(|client_request| {
            endpoints.pin(client_request.group, client_request.tenant, now)
        }) {
            self.run_policy(policy::Event::PinChanged {
                request: RequestId(id),
                pin,
            });
        }
        let emptied = self.endpoints.emptied_servers(now);
        self.emptied_servers
            .retain(|server, (id, pacer)| emptied.get(server) == Some(&(*id, pacer.rate())));
        let was_idle = self.emptied_servers.is_empty();
        for (server, (id, rate)) in emptied {
            self.emptied_servers
                .entry(server)
                .or_insert_with(|| (id, MigrationPacer::new(rate, now)));
        }
        if was_idle && !self.emptied_servers.is_empty() {
            self.set_timer(Duration::ZERO, TimerKind::EmptyServers);
        }
        let coverage = self.endpoints.coverage(now);
        if coverage != self.coverage {
            if coverage.is_empty() {
                info!(
                    part = self.name,
                    "overrides leave a ready server in every zone again"
                );
            } else {
                warn!(part = self.name, what = %coverage, "overrides leave no ready server in some zones");
            }
            self.coverage = coverage;
        }
        let next_change_at = self
            .endpoints
            .overrides
            .next_change(now)
            .map(|at| at.saturating_mul(1_000_000));
        if let Some(next_change_at) = next_change_at
            && self
                .overrides_timer_at
                .is_none_or(|timer_at| next_change_at < timer_at)
        {
            self.overrides_timer_at = Some(next_change_at);
            self.set_timer(
                Duration::from_nanos(next_change_at.saturating_sub(self.clock.now())),
                TimerKind::Overrides,
            );
        }
    }

    /// Migrates the connections that are due off emptied servers.
    pub(super) fn continue_emptying(&mut self) {
        if self.emptied_servers.is_empty() {
            return;
        }
        let now = self.now_ms();
        let (mut wait, mut migrating) = (MAX_MIGRATION_INTERVAL, Vec::new());
        for (server, (_, pacer)) in &mut self.emptied_servers {
            let connections: Vec<u64> = self.requests.migratable_at(*server).collect();
            let permits = pacer.take_permits(now, connections.len());
            migrating.extend(connections.into_iter().take(permits));
            wait = wait.min(Duration::from_millis(pacer.time_to_next_ms()));
        }
        for id in migrating {
            self.end_placement(id, EndReason::MigratedServerLeaving);
            self.migrate(id, "an operator is emptying the server");
        }
        self.set_timer(wait.max(MIN_MIGRATION_INTERVAL), TimerKind::EmptyServers);
    }
}

#[cfg(test)]
mod tests;
