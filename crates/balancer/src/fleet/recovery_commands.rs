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
        let commands = self.recovery.handle(self.now, wall_clock_ms(), event);
        self.execute_recovery_commands(commands);
    }

    pub(super) fn execute_recovery_commands(&mut self, commands: Vec<RecoveryCommand>) {
        for command in commands {
            match command {
                RecoveryCommand::Query(source) => self.query_source(source),
                RecoveryCommand::PublishList => self.publish_list_to_core(),
                RecoveryCommand::SetServiceMode(mode) => self.set_service_mode(mode),
                RecoveryCommand::Admit(id) => {
                    self.core.send(CoreInput::Fleet(FleetEvent::Admit(id)))
                }
                RecoveryCommand::Defer(id, retry_after) => {
                    self.status.deferred += 1;
                    let retry_after = Duration::from_nanos(retry_after);
                    self.core
                        .send(CoreInput::Fleet(FleetEvent::Defer(id, retry_after)));
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

    /// Queries a source. Peers' statuses and discovery's list arrive without a query.
    fn query_source(&mut self, source: EvidenceSource) {
        match source {
            EvidenceSource::SitePeers if self.is_settled => {
                self.on_recovery_event(RecoveryEvent::QueryAnswered(source))
            }
            EvidenceSource::SitePeers | EvidenceSource::OtherSites => self.membership.gossip_soon(),
            EvidenceSource::Discovery => {}
            EvidenceSource::Store => self.on_recovery_event(RecoveryEvent::QueryFailed(source)),
        }
    }

    /// Sends the core the server list as recovery has it; the core uses it only while neither
    /// discovery nor the configuration has named a server.
    pub(super) fn publish_list_to_core(&mut self) {
        let entry = |entry: recovery::Entry| {
            let known = self.servers.get(&entry.name)?;
            let lifecycle = match entry.lifecycle {
                recovery::Lifecycle::Ready => ServerLifecycle::Serving,
                recovery::Lifecycle::Draining => ServerLifecycle::Draining,
                recovery::Lifecycle::Removed => ServerLifecycle::Deleted,
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
            if self.cached_list.replace(list) {
                let latest_list = self.cached_list.clone();
                self.core
                    .send(CoreInput::Fleet(FleetEvent::CachedList(latest_list)));
            }
        }
        self.apply_retained_drains();
    }

    /// Retains drains of servers that a list reports as ready although its sender may have lost its
    /// state.
    pub(super) fn apply_retained_drains(&mut self) {
        let drains = self.recovery.recovery().servers().filter(|entry| {
            let listed_lifecycle = self.servers.get(&entry.name).map(|listed| listed.lifecycle);
            entry.lifecycle == recovery::Lifecycle::Draining
                && listed_lifecycle == Some(ServerLifecycle::Serving)
        });
        let drains: BTreeSet<String> = drains.map(|entry| entry.name).collect();
        if self.site_evidence.set_retained_drains(drains) {
            self.apply_site_evidence();
        }
    }

    fn set_service_mode(&mut self, mode: recovery::ServiceMode) {
        let is_recovering = mode == recovery::ServiceMode::Unavailable;
        self.serving_started_at = if is_recovering {
            None
        } else {
            self.serving_started_at.or(Some(self.now))
        };
        self.is_in_full_service = mode == recovery::ServiceMode::Full;
        if is_recovering != self.is_recovering {
            self.is_recovering = is_recovering;
            self.core
                .send(CoreInput::Fleet(FleetEvent::Recovering(is_recovering)));
        }
        let is_admission_staged =
            self.config.clients_per_server_s.is_some() && !self.is_in_full_service;
        if is_admission_staged != self.is_admission_staged {
            self.is_admission_staged = is_admission_staged;
            self.core.send(CoreInput::Fleet(FleetEvent::StagedAdmission(
                is_admission_staged,
            )));
        }
        // Other processes align their staged admission with the first one.
        self.publish_status_at = self.now;
    }
}
