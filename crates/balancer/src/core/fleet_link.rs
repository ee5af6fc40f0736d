//! The core's link to the fleet thread.
//!
//! The core publishes events over a channel that never blocks, and receives events that are hints.
//! Without a fleet nothing is published and no decision changes.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use beaconflow_affinity::{Placement, VersionFact};
use beaconflow_policy::{self as policy, AttemptOutcome, ClientKey, Nanos, ServerId};
use beaconflow_recovery::AdmissionRequest;
use beaconflow_settings::digest;
use crossbeam_channel::Sender;

use super::affinity::{AffinityEvent, SessionAffinity, end_reason_of_outcome};
use super::effective_entry::SiteAssessment;
use super::latest::Latest;
use super::lifecycle::LifecycleCommand;
use super::requests::EndedAttempt;
use super::{ConnectionCommand, Core, TimerKind};
use crate::clock::nanos;
use crate::discovery::ServerList;

/// Admits a waiting client if the recovery controller has not decided by then, or within the time
/// that a first attempt may take of the client's, if that is less.
const STAGED_ADMISSION_TIMEOUT: Duration = Duration::from_millis(250);

/// Name and start of a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerIdentity {
    /// Name in the server list.
    pub name: Arc<str>,
    /// When it last started, in Unix milliseconds; 0 if long ago.
    pub started_at_ms: u64,
}

/// An event published by the core.
#[derive(Clone, Debug)]
pub enum CoreEvent {
    /// Placements of clients were added, refreshed or ended.
    PlacementsChanged(Vec<Placement>),
    /// The version of the configuration that runs here.
    VersionRuns(VersionFact),
    /// Number of established connections.
    EstablishedConnections(usize),
    /// Number of remembered placements.
    RememberedPlacements(usize),
    /// An attempt ended: the server, the client key, and the outcome unless it was established.
    AttemptFinished(ServerIdentity, Option<u64>, Option<AttemptOutcome>),
    /// A server redirected a client: it drains.
    ServerDraining(ServerIdentity),
    /// A server in slow start was sent a connection.
    SlowStartPlacement(ServerIdentity),
    /// A list was applied; `true` if it was known before the start.
    ListApplied(ServerList, bool),
    /// The watch on discovery ended or could not be opened.
    DiscoveryLost,
    /// A client waits for staged admission.
    AdmissionRequested(AdmissionRequest),
}

/// An event of the fleet thread.
#[derive(Clone, Debug)]
pub enum FleetEvent {
    /// The server list as last known to the memory or the peers. It counts only while the core
    /// knows no server.
    CachedList(Latest<ServerList>),
    /// An event for session affinity.
    Affinity(AffinityEvent),
    /// Failures of a client key over all processes.
    FailuresCounted(u64, u32),
    /// Servers whose state differs from the listed one by the site's evidence, by name.
    SiteAssessed(BTreeMap<String, SiteAssessment>),
    /// The uplink is lost: discovery is polled only on [`FleetEvent::PollDiscovery`] for this span.
    PauseDiscovery(Duration),
    /// Discovery may be polled by this process now.
    PollDiscovery,
    /// Recovery has begun or ended; readiness follows.
    Recovering(bool),
    /// Staged admission has begun or ended.
    StagedAdmission(bool),
    /// This request is admitted.
    Admit(u64),
    /// This request is rejected; its client may return after the span.
    Defer(u64, Duration),
}

/// The link to the fleet thread, as a core starts with it.
pub struct FleetLinkConfig {
    /// Receives the core's events.
    pub events: Sender<CoreEvent>,
    /// Longest recovery before the core serves, if it begins with one.
    pub recovery_timeout: Option<Duration>,
    /// Whether admission begins staged.
    pub staged_admission: bool,
    /// Session affinity, where it is enabled.
    pub affinity: Option<SessionAffinity>,
}

/// The link to the fleet thread.
pub(super) struct FleetLink {
    events: Sender<CoreEvent>,
    pub(super) affinity: Option<SessionAffinity>,
    /// Discovery is not polled before this time unless the fleet thread requests it.
    discovery_paused_until: Nanos,
    /// Whether the policy wants a poll.
    is_poll_pending: bool,
    /// Longest recovery before the core serves.
    recovery_timeout: Duration,
    /// Latest end of the present recovery.
    recovery_deadline_at: Nanos,
    /// Whether admission is staged.
    is_admission_staged: bool,
    /// Requests that wait for staged admission.
    awaiting_admission: BTreeSet<u64>,
}

impl Core {
    /// Attaches the fleet thread.
    pub(super) fn attach_fleet(&mut self, link_config: FleetLinkConfig) {
        let has_affinity = link_config.affinity.is_some();
        self.fleet = Some(FleetLink {
            events: link_config.events,
            affinity: link_config.affinity,
            discovery_paused_until: 0,
            is_poll_pending: false,
            recovery_timeout: link_config.recovery_timeout.unwrap_or_default(),
            recovery_deadline_at: 0,
            is_admission_staged: link_config.staged_admission,
            awaiting_admission: BTreeSet::new(),
        });
        if has_affinity {
            self.set_timer(Duration::ZERO, TimerKind::AffinityRefresh);
        }
        if link_config.recovery_timeout.is_some() {
            self.set_recovering(true);
        }
    }

    /// Begins or ends recovery.
    fn set_recovering(&mut self, is_recovering: bool) {
        let now = self.clock.now();
        let Some(fleet_link) = &mut self.fleet else {
            return;
        };
        let timeout = fleet_link.recovery_timeout;
        fleet_link.recovery_deadline_at = now.saturating_add(nanos(timeout));
        // Only commands of operators can be refused.
        let _ = self.on_lifecycle_command(LifecycleCommand::SetRecovering(is_recovering));
        if is_recovering {
            self.set_timer(timeout, TimerKind::RecoveryTimeout);
        }
    }

    /// Ends a recovery that exceeds its timeout: the process serves with the state it has.
    pub(super) fn on_recovery_timeout(&mut self) {
        let now = self.clock.now();
        if self
            .fleet
            .as_ref()
            .is_some_and(|fleet_link| now >= fleet_link.recovery_deadline_at)
        {
            let _ = self.on_lifecycle_command(LifecycleCommand::SetRecovering(false));
        }
    }

    /// Asks the fleet thread to admit a request, if admission is staged; returns whether it has to
    /// wait.
    pub(super) fn request_staged_admission(&mut self, id: u64) -> bool {
        let Some(fleet_link) = self
            .fleet
            .as_mut()
            .filter(|fleet_link| fleet_link.is_admission_staged)
        else {
            return false;
        };
        fleet_link.awaiting_admission.insert(id);
        self.publish(|core| {
            let client_request = &core.requests.get(id)?.request;
            let account = client_request.account.as_deref().map_or(0, digest);
            let class = core.active_settings.current_index(client_request.class);
            let (group, client_key) = (client_request.group, client_request.client_key);
            Some(CoreEvent::AdmissionRequested(AdmissionRequest {
                id,
                class,
                account,
                group,
                client_key,
            }))
        });
        let client_timeout = self
            .requests
            .get(id)
            .map_or(Duration::ZERO, |request_state| {
                request_state.request.client_timeout
            });
        let share = Duration::from_nanos(policy::first_attempt_share(nanos(client_timeout)));
        self.set_timer(
            share.min(STAGED_ADMISSION_TIMEOUT),
            TimerKind::StagedAdmissionTimeout(id),
        );
        true
    }

    /// Admits a waiting request, also if the fleet thread has not answered in time.
    pub(super) fn admit_staged(&mut self, id: u64) {
        let was_waiting = self
            .fleet
            .as_mut()
            .is_some_and(|fleet_link| fleet_link.awaiting_admission.remove(&id));
        if let Some(connect_request) = self.requests.connect_request(id).filter(|_| was_waiting) {
            self.run_policy(policy::Event::ConnectRequested(connect_request));
        }
    }

    /// Rejects a waiting request with a retry-after, where clients honour one.
    fn defer_staged(&mut self, id: u64, after: Duration) {
        if self
            .fleet
            .as_mut()
            .is_some_and(|fleet_link| fleet_link.awaiting_admission.remove(&id))
        {
            let (sends_retry_after, max_retry_after) = (
                self.settings.limits.sends_retry_after,
                self.settings.limits.max_retry_after,
            );
            let after = sends_retry_after.then(|| after.min(Duration::from_nanos(max_retry_after)));
            if self.requests.get(id).is_some() {
                self.send_final_answer(id, ConnectionCommand::Reject(after));
            }
        }
    }

    /// Begins or ends staged admission. At the end all waiting requests are admitted.
    fn set_staged_admission(&mut self, is_staged: bool) {
        let Some(fleet_link) = &mut self.fleet else {
            return;
        };
        fleet_link.is_admission_staged = is_staged;
        if !is_staged {
            let waiting: Vec<u64> = fleet_link.awaiting_admission.iter().copied().collect();
            waiting.into_iter().for_each(|id| self.admit_staged(id));
        }
    }

    /// Applies the list that the fleet thread has, while no better one is known. It may be incomplete
    /// at first, since peers send it in parts, so a later one replaces it.
    fn apply_list_of_fleet(&mut self, list: ServerList) {
        if self.is_list_of_fleet || self.endpoints.is_empty() {
            self.apply_list(list, true);
            self.is_list_of_fleet = true;
        }
    }

    /// Handles an event of the fleet thread.
    pub(super) fn on_fleet_event(&mut self, event: FleetEvent) {
        match event {
            FleetEvent::CachedList(latest_list) => {
                if let Some(list) = latest_list.take() {
                    self.apply_list_of_fleet(list);
                }
            }
            FleetEvent::Affinity(event) => self.on_affinity_event(event),
            FleetEvent::FailuresCounted(key, count) => {
                self.run_policy(policy::Event::FleetFailuresCounted {
                    client_key: ClientKey(key),
                    count,
                });
            }
            FleetEvent::SiteAssessed(assessments) => self.apply_site_assessments(assessments),
            FleetEvent::Recovering(is_recovering) => self.set_recovering(is_recovering),
            FleetEvent::StagedAdmission(is_staged) => self.set_staged_admission(is_staged),
            FleetEvent::Admit(id) => self.admit_staged(id),
            FleetEvent::Defer(id, after) => self.defer_staged(id, after),
            FleetEvent::PauseDiscovery(span) => {
                let until = self.clock.now().saturating_add(nanos(span));
                if let Some(fleet_link) = &mut self.fleet {
                    fleet_link.discovery_paused_until = until;
                }
            }
            FleetEvent::PollDiscovery => {
                if let Some(fleet_link) = &mut self.fleet {
                    fleet_link.discovery_paused_until = 0;
                }
                self.poll_if_pending();
            }
        }
    }

    /// Polls discovery. While the uplink is lost the poll is deferred, so that not every process of
    /// a site polls a discovery service that it can't reach.
    pub(super) fn poll_discovery(&mut self) {
        let now = self.clock.now();
        match self
            .fleet
            .as_mut()
            .filter(|fleet_link| now < fleet_link.discovery_paused_until)
        {
            Some(fleet_link) => {
                fleet_link.is_poll_pending = true;
                let wait = Duration::from_nanos(fleet_link.discovery_paused_until - now);
                self.set_timer(wait, TimerKind::DiscoveryPoll);
            }
            // The watcher runs as long as the process.
            None => drop(self.discovery_polls.send(())),
        }
    }

    /// Sends a deferred poll, unless it is still paused.
    pub(super) fn poll_if_pending(&mut self) {
        if self
            .fleet
            .as_mut()
            .is_some_and(|fleet_link| std::mem::take(&mut fleet_link.is_poll_pending))
        {
            self.poll_discovery();
        }
    }

    /// Publishes an event, if there is a fleet. Never blocks.
    pub(super) fn publish(&self, build_event: impl FnOnce(&Core) -> Option<CoreEvent>) {
        if let Some(fleet_link) = &self.fleet
            && let Some(event) = build_event(self)
        {
            // A fleet thread that has stopped has logged that; the core continues.
            let _ = fleet_link.events.send(event);
        }
    }

    pub(super) fn server_identity(&self, server: ServerId) -> Option<ServerIdentity> {
        self.endpoints.identity(server)
    }

    /// Publishes an attempt on a server in slow start.
    pub(super) fn publish_slow_start_attempt(&self, server: ServerId, now: Nanos) {
        self.publish(|core| {
            let identity = core.server_identity(server)?;
            let warm_at = (identity.started_at_ms.saturating_mul(1_000_000))
                .saturating_add(core.settings.rules.warm_up_time);
            (identity.started_at_ms > 0 && now < warm_at)
                .then_some(CoreEvent::SlowStartPlacement(identity))
        });
    }

    /// Publishes an established connection and records its placement.
    pub(super) fn publish_established(&mut self, id: u64, server: ServerId) {
        self.publish(|core| {
            Some(CoreEvent::AttemptFinished(
                core.server_identity(server)?,
                core.client_key_of(id),
                None,
            ))
        });
        self.record_placement(id, server);
    }

    /// Publishes the end of an attempt or connection.
    pub(super) fn publish_attempt_end(
        &mut self,
        id: u64,
        ended: &EndedAttempt,
        outcome: AttemptOutcome,
    ) {
        if ended.was_established {
            return self.end_placement(id, end_reason_of_outcome(outcome));
        }
        self.publish(|core| {
            Some(CoreEvent::AttemptFinished(
                core.server_identity(ended.server)?,
                core.client_key_of(id),
                Some(outcome),
            ))
        });
    }

    fn client_key_of(&self, id: u64) -> Option<u64> {
        self.requests.get(id)?.request.client_key
    }

    /// Publishes that a server redirected its client.
    pub(super) fn publish_server_draining(&self, id: u64) {
        self.publish(|core| {
            Some(CoreEvent::ServerDraining(
                core.server_identity(core.requests.server_of(id)?)?,
            ))
        });
    }
}

#[cfg(test)]
mod tests;
