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

use super::affinity::{AffinityEvent, SessionAffinity, end_by_outcome};
use super::endpoints::SiteAssessment;
use super::lifecycle::LifecycleCommand;
use super::requests::EndedAttempt;
use super::{ConnectionCommand, Core, TimerKind};
use crate::clock::nanos;
use crate::discovery::ServerList;

/// Admits a waiting client if the recovery controller has not decided by then.
const STAGED_ADMISSION_TIMEOUT: Duration = Duration::from_millis(250);

/// A server as the core sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerIdentity {
    /// Name in the list.
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
    CachedList(ServerList),
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
    /// Discovery is not polled before then unless the fleet thread asks for it.
    discovery_paused_until: Nanos,
    /// Whether the policy wants a poll.
    is_poll_pending: bool,
    /// Longest recovery.
    recovery_timeout: Duration,
    /// End of the present recovery at the latest.
    recovery_deadline_at: Nanos,
    /// Whether admission is staged.
    is_admission_staged: bool,
    /// Requests that wait for staged admission.
    awaiting_admission: BTreeSet<u64>,
}

impl Core {
    /// Attaches the fleet thread.
    pub(super) fn attach_fleet(&mut self, tie: FleetLinkConfig) {
        let is_tied = tie.affinity.is_some();
        self.fleet = Some(FleetLink {
            events: tie.events,
            affinity: tie.affinity,
            discovery_paused_until: 0,
            is_poll_pending: false,
            recovery_timeout: tie.recovery_timeout.unwrap_or_default(),
            recovery_deadline_at: 0,
            is_admission_staged: tie.staged_admission,
            awaiting_admission: BTreeSet::new(),
        });
        if is_tied {
            self.set_timer(Duration::ZERO, TimerKind::AffinityRefresh);
        }
        if tie.recovery_timeout.is_some() {
            self.set_recovering(true);
        }
    }

    /// Begins or ends recovery.
    fn set_recovering(&mut self, gathers: bool) {
        let now = self.clock.now();
        let Some(bond) = &mut self.fleet else { return };
        let most = bond.recovery_timeout;
        bond.recovery_deadline_at = now.saturating_add(nanos(most));
        // The program's own commands are never refused.
        let _ = self.on_lifecycle_command(LifecycleCommand::SetRecovering(gathers));
        if gathers {
            self.set_timer(most, TimerKind::RecoveryTimeout);
        }
    }

    /// Ends a recovery that takes too long: the process serves whatever is missing.
    pub(super) fn on_recovery_timeout(&mut self) {
        let now = self.clock.now();
        if self
            .fleet
            .as_ref()
            .is_some_and(|bond| now >= bond.recovery_deadline_at)
        {
            let _ = self.on_lifecycle_command(LifecycleCommand::SetRecovering(false));
        }
    }

    /// Asks the fleet thread to admit a request, if admission is staged; returns whether it has to
    /// wait.
    pub(super) fn request_staged_admission(&mut self, id: u64) -> bool {
        let Some(bond) = self.fleet.as_mut().filter(|bond| bond.is_admission_staged) else {
            return false;
        };
        bond.awaiting_admission.insert(id);
        self.publish(|core| {
            let opening = &core.requests.get(id)?.request;
            let account = opening.account.as_deref().map_or(0, digest);
            let class = core.in_force.current_index(opening.class);
            let (group, client_key, is_reconnect) =
                (opening.group, opening.client_key, opening.is_reconnect);
            Some(CoreEvent::AdmissionRequested(AdmissionRequest {
                id,
                class,
                account,
                group,
                client_key,
                is_reconnect,
            }))
        });
        self.set_timer(
            STAGED_ADMISSION_TIMEOUT,
            TimerKind::StagedAdmissionTimeout(id),
        );
        true
    }

    /// Admits a waiting request, also if the fleet thread has not answered in time.
    pub(super) fn admit_staged(&mut self, id: u64) {
        let waited = self
            .fleet
            .as_mut()
            .is_some_and(|bond| bond.awaiting_admission.remove(&id));
        if let Some(arrival) = self.requests.arrival(id).filter(|_| waited) {
            self.run_policy(policy::Event::ConnectRequested(arrival));
        }
    }

    /// Rejects a waiting request with a retry-after, where clients honour one.
    fn defer_staged(&mut self, id: u64, after: Duration) {
        if self
            .fleet
            .as_mut()
            .is_some_and(|bond| bond.awaiting_admission.remove(&id))
        {
            let (told, most) = (
                self.settings.limits.sends_retry_after,
                self.settings.limits.max_retry_after,
            );
            let after = told.then(|| after.min(Duration::from_nanos(most)));
            if self.requests.get(id).is_some() {
                self.send_final_answer(id, ConnectionCommand::Reject(after));
            }
        }
    }

    /// Begins or ends staged admission. At the end all waiting requests are admitted.
    fn set_staged_admission(&mut self, by_turns: bool) {
        let Some(bond) = &mut self.fleet else { return };
        bond.is_admission_staged = by_turns;
        if !by_turns {
            let waits: Vec<u64> = bond.awaiting_admission.iter().copied().collect();
            waits.into_iter().for_each(|id| self.admit_staged(id));
        }
    }

    /// Handles an event of the fleet thread.
    pub(super) fn on_fleet_event(&mut self, news: FleetEvent) {
        match news {
            FleetEvent::CachedList(list) if self.endpoints.is_empty() => {
                self.apply_list(list, true)
            }
            FleetEvent::CachedList(_) => {}
            FleetEvent::Affinity(news) => self.on_affinity_event(news),
            FleetEvent::FailuresCounted(key, count) => {
                self.run_policy(policy::Event::FleetFailuresCounted {
                    client_key: ClientKey(key),
                    count,
                });
            }
            FleetEvent::SiteAssessed(site) => self.apply_site_assessments(site),
            FleetEvent::Recovering(gathers) => self.set_recovering(gathers),
            FleetEvent::StagedAdmission(by_turns) => self.set_staged_admission(by_turns),
            FleetEvent::Admit(id) => self.admit_staged(id),
            FleetEvent::Defer(id, after) => self.defer_staged(id, after),
            FleetEvent::PauseDiscovery(span) => {
                let until = self.clock.now().saturating_add(nanos(span));
                if let Some(bond) = &mut self.fleet {
                    bond.discovery_paused_until = until;
                }
            }
            FleetEvent::PollDiscovery => {
                if let Some(bond) = &mut self.fleet {
                    bond.discovery_paused_until = 0;
                }
                self.poll_if_pending();
            }
        }
    }

    /// Polls discovery. While the uplink is lost the poll is deferred, so that not every process of
    /// a site polls what it can't reach.
    pub(super) fn poll_discovery(&mut self) {
        let now = self.clock.now();
        match self
            .fleet
            .as_mut()
            .filter(|bond| now < bond.discovery_paused_until)
        {
            Some(bond) => {
                bond.is_poll_pending = true;
                let wait = Duration::from_nanos(bond.discovery_paused_until - now);
                self.set_timer(wait, TimerKind::DiscoveryPoll);
            }
            // The watcher lives as long as the program.
            None => drop(self.discovery_polls.send(())),
        }
    }

    /// Sends a deferred poll, unless it is still paused.
    pub(super) fn poll_if_pending(&mut self) {
        if self
            .fleet
            .as_mut()
            .is_some_and(|bond| std::mem::take(&mut bond.is_poll_pending))
        {
            self.poll_discovery();
        }
    }

    /// Publishes an event, if there is a fleet. Never blocks.
    pub(super) fn publish(&self, what: impl FnOnce(&Core) -> Option<CoreEvent>) {
        if let Some(bond) = &self.fleet
            && let Some(seen) = what(self)
        {
            // A fleet thread that has stopped has logged that; the core continues.
            let _ = bond.events.send(seen);
        }
    }

    pub(super) fn server_identity(&self, server: ServerId) -> Option<ServerIdentity> {
        self.endpoints.identity(server)
    }

    /// Publishes an attempt on a server in slow start.
    pub(super) fn publish_slow_start_attempt(&self, server: ServerId, now: Nanos) {
        self.publish(|core| {
            let seen = core.server_identity(server)?;
            let warm_at = (seen.started_at_ms.saturating_mul(1_000_000))
                .saturating_add(core.settings.rules.warm_up_time);
            (seen.started_at_ms > 0 && now < warm_at).then_some(CoreEvent::SlowStartPlacement(seen))
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
        how: AttemptOutcome,
    ) {
        if ended.was_established {
            return self.end_placement(id, end_by_outcome(how));
        }
        self.publish(|core| {
            Some(CoreEvent::AttemptFinished(
                core.server_identity(ended.server)?,
                core.client_key_of(id),
                Some(how),
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
mod tests {
    use std::cmp::Reverse;
    use std::sync::Arc;
    use std::time::Duration;

    use beaconflow_overrides::Set;

    use super::super::testing::{self, Orders, list, row};
    use super::super::{Core, CoreInput};
    use super::*;
    use crate::clock::Clock;
    use crate::discovery::DiscoveryEvent;

    const LONG: Duration = Duration::from_secs(60);

    /// The same story for a core, with what it ordered and decided.
    fn story(mut core: Core) -> (String, Core) {
        let orders = Arc::new(Orders::default());
        core.on_discovery(DiscoveryEvent::List(list(
            &[row("s0"), row("s1"), row("s2")].join(","),
        )));
        for id in 0..12 {
            testing::opens(&mut core, &orders, id, "acme", LONG);
        }
        for id in 0..8 {
            core.handle_input(CoreInput::AttemptEstablished(id));
        }
        core.handle_input(CoreInput::AttemptEnded(
            3,
            AttemptOutcome::Reset,
            Duration::from_millis(900),
        ));
        core.handle_input(CoreInput::AttemptEnded(
            8,
            AttemptOutcome::ConnectFailed,
            Duration::from_millis(2),
        ));
        core.on_discovery(DiscoveryEvent::Failed(Duration::ZERO));
        core.handle_input(CoreInput::ClientLeft(9));
        (orders.words(), core)
    }

    #[test]
    fn who_listens_changes_nothing_of_what_is_decided_and_hears_all_of_it() {
        let clock = Clock::start();
        let (alone, _) = story(testing::core(clock, Set::default()));
        let mut core = testing::core(clock, Set::default());
        let (events, heard) = crossbeam_channel::unbounded();
        core.attach_fleet(FleetLinkConfig {
            events,
            recovery_timeout: None,
            staged_admission: false,
            affinity: None,
        });
        let (tied, core) = story(core);
        assert_eq!(alone, tied);
        assert!(alone.contains("StartAttempt"), "{alone}");
        drop(core);
        let heard: Vec<CoreEvent> = heard.iter().collect();
        let count = |is: fn(&CoreEvent) -> bool| heard.iter().filter(|one| is(one)).count();
        assert_eq!(
            count(|one| matches!(one, CoreEvent::AttemptFinished(_, _, None))),
            8
        );
        assert_eq!(
            count(|one| matches!(
                one,
                CoreEvent::AttemptFinished(_, _, Some(AttemptOutcome::ConnectFailed))
            )),
            1
        );
        assert_eq!(count(|one| matches!(one, CoreEvent::ListApplied(..))), 1);
        assert_eq!(count(|one| matches!(one, CoreEvent::DiscoveryLost)), 1);
    }

    #[test]
    fn a_program_gathers_what_was_known_before_for_no_longer_than_its_bound() {
        let mut core = testing::core(Clock::start(), Set::default());
        let (events, _heard) = crossbeam_channel::unbounded();
        core.attach_fleet(FleetLinkConfig {
            events,
            recovery_timeout: Some(Duration::ZERO),
            staged_admission: false,
            affinity: None,
        });
        core.on_lifecycle_command(LifecycleCommand::SetListening(true))
            .expect("a word of its own");
        assert_eq!(
            core.lifecycle.state(),
            super::super::lifecycle::LifecycleState::Starting
        );
        // Nobody ever says that it is over.
        core.fire_timer();
        assert_eq!(
            core.lifecycle.state(),
            super::super::lifecycle::LifecycleState::Serving
        );
    }

    #[test]
    fn discovery_is_not_asked_while_the_uplink_is_lost_but_in_turn_or_when_nobody_holds_it_back() {
        let mut core = testing::core(Clock::start(), Set::default());
        let (watch, asked) = crossbeam_channel::unbounded();
        core.discovery_polls = watch;
        let (events, _heard) = crossbeam_channel::unbounded();
        core.attach_fleet(FleetLinkConfig {
            events,
            recovery_timeout: None,
            staged_admission: false,
            affinity: None,
        });
        core.handle_input(CoreInput::Fleet(FleetEvent::PollDiscovery));
        assert!(asked.is_empty(), "the module has not wanted it");
        core.handle_input(CoreInput::Fleet(FleetEvent::PauseDiscovery(LONG)));
        core.poll_discovery();
        core.poll_if_pending();
        assert!(asked.is_empty(), "held back");
        core.handle_input(CoreInput::Fleet(FleetEvent::PollDiscovery));
        assert_eq!(asked.len(), 1, "in turn");
        // Whoever held it back is gone, and its last word is over.
        core.handle_input(CoreInput::Fleet(FleetEvent::PauseDiscovery(
            Duration::from_millis(1),
        )));
        core.poll_discovery();
        while asked.len() < 2 {
            std::thread::sleep(Duration::from_millis(1));
            core.poll_if_pending();
        }
        core.poll_discovery();
        assert_eq!(asked.len(), 3);
    }

    #[test]
    fn a_list_that_is_known_elsewhere_counts_only_while_none_is_known_here() {
        let mut core = testing::core(Clock::start(), Set::default());
        core.handle_input(CoreInput::Fleet(FleetEvent::CachedList(list(&row("s7")))));
        assert!(core.endpoints.by_name("s7").is_none());
        core.on_discovery(DiscoveryEvent::List(list("")));
        core.handle_input(CoreInput::Fleet(FleetEvent::CachedList(list(&row("s7")))));
        assert!(core.endpoints.by_name("s7").is_some());
    }

    /// How long the module has a client wait whose first pass has failed.
    fn delay(core: &mut Core, id: u64) -> Nanos {
        testing::opens(core, &Arc::new(Orders::default()), id, "acme", LONG);
        let now = core.clock.now();
        core.handle_input(CoreInput::AttemptEnded(
            id,
            AttemptOutcome::Rejected,
            Duration::from_millis(1),
        ));
        let last = core
            .timers
            .iter()
            .map(|Reverse((at, set, due))| (*set, *at, *due))
            .max();
        let (_, at, due) = last.expect("a timer");
        assert!(matches!(due, TimerKind::Policy(_)), "{due:?}");
        core.handle_input(CoreInput::ClientLeft(id));
        at.saturating_sub(now)
    }

    #[test]
    fn what_failed_at_other_processes_lengthens_a_clients_delay_until_it_is_void() {
        let mut core = testing::core(Clock::start(), Set::default());
        let sum = |core: &mut Core, ids: std::ops::Range<u64>, known: Option<u32>| -> Nanos {
            let told = |core: &mut Core, id| {
                known.into_iter().for_each(|count| {
                    core.handle_input(CoreInput::Fleet(FleetEvent::FailuresCounted(id, count)))
                });
                delay(core, id)
            };
            ids.map(|id| told(core, id)).sum()
        };
        let none = sum(&mut core, 0..40, None);
        let many = sum(&mut core, 100..140, Some(6));
        assert!(
            many > 2 * none,
            "{many} with six failures elsewhere, {none} without"
        );
        (200..240)
            .for_each(|id| core.handle_input(CoreInput::Fleet(FleetEvent::FailuresCounted(id, 6))));
        let void = sum(&mut core, 200..240, Some(0));
        assert!(
            void < many / 2,
            "{void} once a placement succeeded anywhere, {many} before"
        );
    }

    #[test]
    fn while_clients_go_by_turns_each_waits_for_its_own_and_no_longer_than_a_bound() {
        let (mut core, orders) = (
            testing::core(Clock::start(), Set::default()),
            Arc::new(Orders::default()),
        );
        let (events, heard) = crossbeam_channel::unbounded();
        core.attach_fleet(FleetLinkConfig {
            events,
            recovery_timeout: None,
            staged_admission: true,
            affinity: None,
        });
        (0..4).for_each(|id| testing::opens(&mut core, &orders, id, "acme", LONG));
        let wants = heard
            .try_iter()
            .filter(|one| matches!(one, CoreEvent::AdmissionRequested(_)))
            .count();
        assert_eq!((wants, orders.words().as_str()), (4, ""));
        core.handle_input(CoreInput::Fleet(FleetEvent::Admit(0)));
        core.handle_input(CoreInput::Fleet(FleetEvent::Defer(
            1,
            Duration::from_millis(700),
        )));
        assert_eq!((orders.of(0), orders.of(1)), ((1, 0), (0, 1)));
        assert!(
            orders.words().contains("1 Reject(Some(700ms))"),
            "{}",
            orders.words()
        );
        // One that was answered has had its turn; nobody speaks of the third.
        core.handle_input(CoreInput::Fleet(FleetEvent::Admit(1)));
        core.admit_staged(2);
        core.handle_input(CoreInput::Fleet(FleetEvent::StagedAdmission(false)));
        testing::opens(&mut core, &orders, 4, "acme", LONG);
        assert_eq!(
            [1, 2, 3, 4].map(|id| orders.of(id)),
            [(0, 1), (1, 0), (1, 0), (1, 0)]
        );
    }

    #[test]
    fn the_sites_evidence_passes_a_server_over_and_moves_nobody() {
        let (mut core, orders) = (
            testing::core(Clock::start(), Set::default()),
            Arc::new(Orders::default()),
        );
        core.on_discovery(DiscoveryEvent::List(list(
            &[row("s0"), row("s1")].join(","),
        )));
        (0..8).for_each(|id| testing::opens(&mut core, &orders, id, "acme", LONG));
        (0..8).for_each(|id| core.handle_input(CoreInput::AttemptEstablished(id)));
        let part = SiteAssessment {
            skip_reason: Some("it hangs".into()),
            weight_factor: 1.0,
            restarted_at: 0,
        };
        core.handle_input(CoreInput::Fleet(FleetEvent::SiteAssessed(
            [("s1".to_owned(), part)].into(),
        )));
        (8..16).for_each(|id| testing::opens(&mut core, &orders, id, "acme", LONG));
        let words = orders.words();
        let after: Vec<&str> = words
            .lines()
            .filter(|line| line.contains("StartAttempt"))
            .skip(8)
            .collect();
        assert!(
            after.len() == 8 && after.iter().all(|line| line.ends_with("to s0")),
            "{after:?}"
        );
        assert!(!words.contains("Migrate"), "{words}");
        core.on_discovery(DiscoveryEvent::List(list(
            &[row("s0"), row("s1")].join(","),
        )));
        assert!(core.snapshot().servers.iter().any(
            |server| server.name == "s1" && server.state.1 == policy::ServerState::OutOfService
        ));
        core.handle_input(CoreInput::Fleet(FleetEvent::SiteAssessed(BTreeMap::new())));
        assert!(
            core.snapshot()
                .servers
                .iter()
                .all(|server| server.state.1 == policy::ServerState::Ready)
        );
    }
}
