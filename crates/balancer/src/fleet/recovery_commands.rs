//! Commands of the recovery state machine.

use std::collections::BTreeSet;
use std::time::Duration;

use beaconflow_recovery::{self as recovery, Event as RecoveryEvent, EvidenceSource};

use super::recovery_driver::RecoveryCommand;
use super::{FleetThread, Millis, messages, shared_gossip};
use crate::core::{CoreInput, FleetEvent};
use crate::discovery::{ListedServer, ServerLifecycle, ServerList};
use crate::overrides::wall_clock_ms;

/// Lifetime of lent quota, which expires at the receiver too.
const LENT_QUOTA_TTL_MS: Millis = 2_000;

impl FleetThread {
    /// Reports an event to the recovery state machine and executes its commands.
    pub(super) fn on_recovery_event(&mut self, event: RecoveryEvent) {
        let wanted = self.recovery.handle(self.now, wall_clock_ms(), event);
        self.execute_recovery_commands(wanted);
    }

    pub(super) fn execute_recovery_commands(&mut self, wanted: Vec<RecoveryCommand>) {
        for one in wanted {
            match one {
                RecoveryCommand::Query(whom) => self.query_source(whom),
                RecoveryCommand::PublishList => self.publish_list_to_core(),
                RecoveryCommand::SetServiceMode(how) => self.set_service_mode(how),
                RecoveryCommand::Admit(id) => {
                    self.core.send(CoreInput::Fleet(FleetEvent::Admit(id)))
                }
                RecoveryCommand::Defer(id, after) => {
                    self.status.deferred += 1;
                    let after = Duration::from_nanos(after);
                    self.core
                        .send(CoreInput::Fleet(FleetEvent::Defer(id, after)));
                }
                RecoveryCommand::LendQuota(to, number, clients) => {
                    let (key, value) = (
                        to.into_bytes(),
                        messages::encode_lent_quota(&self.config.name, number, clients),
                    );
                    self.publish_fact(
                        shared_gossip::LENT_QUOTA_FACT,
                        (key, true),
                        value,
                        LENT_QUOTA_TTL_MS,
                    );
                    self.membership.gossip_soon();
                }
            }
        }
    }

    /// Queries a source. Peers' statuses and discovery's list arrive unasked.
    fn query_source(&mut self, whom: EvidenceSource) {
        match whom {
            EvidenceSource::SitePeers if self.is_settled => {
                self.on_recovery_event(RecoveryEvent::QueryAnswered(whom))
            }
            EvidenceSource::SitePeers | EvidenceSource::OtherSites => self.membership.gossip_soon(),
            EvidenceSource::Discovery => {}
            EvidenceSource::Store => self.on_recovery_event(RecoveryEvent::QueryFailed(whom)),
        }
    }

    /// Sends the core the server list as recovery believes it; it counts only while the core knows
    /// none.
    pub(super) fn publish_list_to_core(&mut self) {
        let entry = |entry: recovery::Entry| {
            let known = self.servers.get(&entry.name)?;
            let lifecycle = match entry.lifecycle {
                recovery::Lifecycle::Ready => ServerLifecycle::Serving,
                recovery::Lifecycle::Draining => ServerLifecycle::Draining,
                recovery::Lifecycle::Gone => ServerLifecycle::Deleted,
            };
            Some(ListedServer {
                lifecycle,
                started_at_ms: entry.started_at_ms,
                ..known.clone()
            })
        };
        let instances: Vec<ListedServer> = self
            .recovery
            .recovery()
            .servers()
            .filter_map(entry)
            .collect();
        if !instances.is_empty() {
            let list = ServerList {
                generation: 0,
                reset: true,
                instances,
            };
            self.core
                .send(CoreInput::Fleet(FleetEvent::CachedList(list)));
        }
        self.apply_retained_drains();
    }

    /// Holds drains of servers that a list calls ready although its sender may have lost its state.
    pub(super) fn apply_retained_drains(&mut self) {
        let drains = self.recovery.recovery().servers().filter(|entry| {
            let told = self.servers.get(&entry.name).map(|listed| listed.lifecycle);
            entry.lifecycle == recovery::Lifecycle::Draining
                && told == Some(ServerLifecycle::Serving)
        });
        let drains: BTreeSet<String> = drains.map(|entry| entry.name).collect();
        if self.site_evidence.set_retained_drains(drains) {
            self.apply_site_evidence();
        }
    }

    fn set_service_mode(&mut self, how: recovery::ServiceMode) {
        let gathers = how == recovery::ServiceMode::Unavailable;
        self.serving_started_at = if gathers {
            None
        } else {
            self.serving_started_at.or(Some(self.now))
        };
        self.serves_in_full = how == recovery::ServiceMode::Full;
        if gathers != self.is_recovering {
            self.is_recovering = gathers;
            self.core
                .send(CoreInput::Fleet(FleetEvent::Recovering(gathers)));
        }
        let by_turns = self.config.clients_per_server_s.is_some() && !self.serves_in_full;
        if by_turns != self.is_admission_staged {
            self.is_admission_staged = by_turns;
            self.core
                .send(CoreInput::Fleet(FleetEvent::StagedAdmission(by_turns)));
        }
        // The others align their staged admission with the first process.
        self.publish_status_at = self.now;
    }
}
