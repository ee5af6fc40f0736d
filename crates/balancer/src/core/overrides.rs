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
    /// Overrides no longer have any effect.
    Forget(Vec<OverrideId>),
}

/// A change has been applied.
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
    pub(super) fn with_overrides<T>(&mut self, act: impl FnOnce(&mut Core) -> T) -> Option<T> {
        let done = catch_unwind(AssertUnwindSafe(|| act(self)));
        if done.is_err() {
            error!(
                part = self.name,
                "overrides panicked; none hold at this front until a restart"
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
        done.ok()
    }

    /// Applies changes; the reply is sent once the policy has been updated.
    pub(super) fn on_overrides_changed(
        &mut self,
        changes: Vec<OverrideChange>,
        answer: Option<Sender<OverridesApplied>>,
    ) {
        if self.has_lost_overrides {
            return;
        }
        let followed = self.with_overrides(|core| {
            for change in changes {
                match change {
                    OverrideChange::Put(one) => core.endpoints.overrides.insert(*one),
                    OverrideChange::Forget(ids) => {
                        ids.into_iter()
                            .for_each(|id| drop(core.endpoints.overrides.discard(id)));
                    }
                }
            }
            core.refresh_overrides();
        });
        if let (Some(()), Some(answer)) = (followed, answer) {
            // The requester may have timed out.
            let _ = answer.try_send(OverridesApplied {
                out_of_service: self.endpoints.drain_states_out_of_service(),
            });
        }
    }

    pub(super) fn on_overrides_timer(&mut self) {
        if self
            .overrides_timer_at
            .is_some_and(|due| due <= self.clock.now())
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
    pub(super) fn apply_site_assessments(&mut self, site: BTreeMap<String, SiteAssessment>) {
        self.endpoints.set_assessments(site);
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
        let moving = self.endpoints.emptied_servers(now);
        self.emptied_servers
            .retain(|server, (id, pace)| moving.get(server) == Some(&(*id, pace.rate())));
        let idle = self.emptied_servers.is_empty();
        for (server, (id, rate)) in moving {
            self.emptied_servers
                .entry(server)
                .or_insert_with(|| (id, MigrationPacer::new(rate, now)));
        }
        if idle && !self.emptied_servers.is_empty() {
            self.set_timer(Duration::ZERO, TimerKind::EmptyServers);
        }
        let judgement = self.endpoints.coverage(now);
        if judgement != self.coverage {
            if judgement.is_empty() {
                info!(
                    part = self.name,
                    "overrides leave a ready server everywhere again"
                );
            } else {
                warn!(part = self.name, what = %judgement, "overrides leave too little");
            }
            self.coverage = judgement;
        }
        let next = self
            .endpoints
            .overrides
            .next_change(now)
            .map(|at| at.saturating_mul(1_000_000));
        if let Some(next) = next
            && self.overrides_timer_at.is_none_or(|due| next < due)
        {
            self.overrides_timer_at = Some(next);
            self.set_timer(
                Duration::from_nanos(next.saturating_sub(self.clock.now())),
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
        let (mut wait, mut moved) = (MAX_MIGRATION_INTERVAL, Vec::new());
        for (server, (_, pace)) in &mut self.emptied_servers {
            let there: Vec<u64> = self.requests.migratable_at(*server).collect();
            let due = pace.take_permits(now, there.len());
            moved.extend(there.into_iter().take(due));
            wait = wait.min(Duration::from_millis(pace.time_to_next_ms()));
        }
        for id in moved {
            self.end_placement(id, EndReason::MigratedServerLeaving);
            self.migrate(id, "an operator empties its server");
        }
        self.set_timer(wait.max(MIN_MIGRATION_INTERVAL), TimerKind::EmptyServers);
    }
}

#[cfg(test)]
mod tests;
