//! The core: one thread that owns the policy, the clock, the timers and the request table.
//!
//! It is independent of wire protocols and sockets. Inputs arrive over one channel; commands leave
//! by the [`CommandSender`] of the connection that they concern.

mod admission;
mod affinity;
mod attempts;
mod connect;
mod counts;
mod decisions;
mod drain;
mod effective_entry;
mod endpoint;
mod endpoints;
mod fleet_link;
mod handle;
mod latest;
pub mod lifecycle;
mod messages;
mod overrides;
mod requests;
mod settings;
mod start;
#[cfg(test)]
mod testing;
#[cfg(test)]
mod tests;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::time::{Duration, Instant};

use beaconflow_admission::NotAdmitted;
use beaconflow_overrides::{CoverageGaps, MigrationPacer, OverrideId};
use beaconflow_policy::Balancer;
use beaconflow_policy::{
    self as policy, Action, Nanos, ProbeAnswer, RequestId, ServerId, Settings, TimerId,
};
use beaconflow_settings::ActiveSettings;
use crossbeam_channel::{RecvTimeoutError, Sender};
use tracing::debug;

use admission::AdmissionControl;
pub use admission::{AccountSnapshot, AdmissionConfig, AdmissionSnapshot};
pub use affinity::{AffinityEvent, SessionAffinity};
use attempts::ListSummary;
pub use counts::Counts;
use drain::Drain;
pub use effective_entry::SiteAssessment;
pub use endpoint::{DrainState, Endpoint};
use endpoints::EndpointRegistry;
pub use endpoints::ServerSnapshot;
use fleet_link::FleetLink;
pub use fleet_link::{CoreEvent, FleetEvent, FleetLinkConfig, ServerIdentity};
use handle::CoreReceiver;
pub use handle::{ConnectionSlot, CoreHandle};
pub use latest::Latest;
use lifecycle::{Lifecycle, LifecycleView};
pub use messages::{
    AttemptTiming, ClientRequest, CommandSender, ConnectionCommand, CoreInput, CoreSnapshot,
    LifecycleReply, LoadProber,
};
pub use overrides::{OverrideChange, OverridesApplied};
use requests::RequestTable;
pub use settings::SharedTimeouts;
pub use start::{CoreConfig, StartError, start};

use crate::clock::{Clock, nanos};
use crate::discovery::{DiscoveryEvent, ServerList};
use crate::log::RateLimitedLog;

/// Interval of the log line with the counts.
const COUNTS_LOG_INTERVAL: Duration = Duration::from_secs(5);
/// Interval of the check for accounts over their share.
const OVER_SHARE_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two attempts to resume a connection from before the start.
const RESUME_RETRY_INTERVAL: Duration = Duration::from_millis(300);
/// Timeout of one attempt to resume a connection.
const RESUME_ATTEMPT_TIMEOUT: Duration = Duration::from_secs(5);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum TimerKind {
    Policy(TimerId),
    /// A connection from before the start is resumed.
    ResumeConnection(u64),
    /// A client is migrated in the drain of this number.
    DrainMigration(u64, u64),
    /// The drain of this number continues.
    DrainProgress(u64),
    LogCounts,
    /// Accounts are checked against their shares.
    LogOverShare,
    /// A queued request may have expired.
    QueueExpiry,
    /// An override begins, ends or changes its effect.
    Overrides,
    /// Connections are migrated off servers taken out of service.
    EmptyServers,
    /// A deferred poll of discovery may be due.
    DiscoveryPoll,
    /// Placements are published again.
    AffinityRefresh,
    /// Recovery has reached its timeout.
    RecoveryTimeout,
    /// The recovery controller has not decided on a request in time.
    StagedAdmissionTimeout(u64),
}

struct Core {
    name: &'static str,
    /// The site's settings in effect, and the policy's settings derived from them.
    active_settings: Arc<ActiveSettings>,
    settings: Settings,
    seed: u64,
    clock: Clock,
    policy: Balancer,
    endpoints: EndpointRegistry,
    requests: RequestTable,
    admission: AdmissionControl,
    /// Pending timers; the sequence number orders equal times.
    timers: BinaryHeap<Reverse<(Nanos, u64, TimerKind)>>,
    timers_set: u64,
    discovery_polls: Sender<()>,
    prober: Option<Box<dyn LoadProber>>,
    /// Timeouts that other threads read.
    timeouts: Arc<SharedTimeouts>,
    lifecycle: Lifecycle,
    lifecycle_view: LifecycleView,
    /// Open connections, including those that linger.
    connections: Arc<AtomicUsize>,
    /// The drain in progress.
    drain: Option<Drain>,
    /// Number of drains so far.
    drains: u64,
    actions: Vec<Action>,
    /// Servers that an operator is emptying, with the override that requires it.
    emptied_servers: BTreeMap<ServerId, (OverrideId, MigrationPacer)>,
    /// Zones that overrides leave without a ready server, when last logged.
    coverage: CoverageGaps,
    /// When the overrides are evaluated next.
    overrides_timer_at: Option<Nanos>,
    /// Whether overrides are disabled after a panic.
    has_lost_overrides: bool,
    /// Link to the fleet thread, where a fleet is configured.
    fleet: Option<FleetLink>,
    /// Whether the present list came from the fleet thread, which may know more of it later.
    is_list_of_fleet: bool,
    /// When lists of discovery are applied again.
    lists_resume_at: Instant,
    /// Limits the lines about applied lists.
    applied_lists: RateLimitedLog,
}

/// Lists of discovery that are applied as one.
#[derive(Default)]
struct WaitingLists {
    merged: Option<ServerList>,
    parts: Vec<ListSummary>,
}

impl WaitingLists {
    fn add(&mut self, list: ServerList) {
        self.parts.push(ListSummary::new(&list, false));
        match &mut self.merged {
            Some(merged) => merged.merge(list),
            None => self.merged = Some(list),
        }
    }
}

impl Core {
    fn run(&mut self, receiver: &CoreReceiver) {
        self.set_timer(COUNTS_LOG_INTERVAL, TimerKind::LogCounts);
        self.set_timer(OVER_SHARE_CHECK_INTERVAL, TimerKind::LogOverShare);
        while self.run_once(receiver) && !self.has_exited() {}
    }

    /// Waits for the next input or timer and handles it. Returns false once all senders are gone.
    fn run_once(&mut self, receiver: &CoreReceiver) -> bool {
        let event = self.next_input(receiver);
        self.apply_discovery(receiver);
        match event {
            Ok(event) => self.handle_input(event),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return false,
        }
        // Due timers go before queued inputs.
        while self
            .timers
            .peek()
            .is_some_and(|Reverse((at, ..))| *at <= self.clock.now())
        {
            self.apply_discovery(receiver);
            self.fire_timer();
        }
        self.lifecycle_view.record_heartbeat();
        true
    }

    /// Waits for the next input until a timer or a waiting list is due. Due timers go before inputs.
    fn next_input(&self, receiver: &CoreReceiver) -> Result<CoreInput, RecvTimeoutError> {
        let next_timer_at = self
            .timers
            .peek()
            .map(|Reverse((at, ..))| self.clock.instant(*at));
        if next_timer_at.is_some_and(|at| at <= Instant::now()) {
            return Err(RecvTimeoutError::Timeout);
        }
        let is_list_waiting = !receiver.discovery.is_empty();
        let next_list_at = is_list_waiting.then_some(self.lists_resume_at);
        match next_timer_at.into_iter().chain(next_list_at).min() {
            Some(deadline_at) => receiver.inputs.recv_deadline(deadline_at),
            None => receiver
                .inputs
                .recv()
                .map_err(|_| RecvTimeoutError::Disconnected),
        }
    }

    /// Applies what discovery reported before any other input: a server drains from the moment at
    /// which its list was received, however many inputs are queued. What arrives meanwhile waits
    /// for the next input, and until other inputs have had as much time as the lists took, so that
    /// lists without a pause do not hold up everything else. Lists that wait are applied as one,
    /// since each goes through all servers.
    fn apply_discovery(&mut self, receiver: &CoreReceiver) {
        if receiver.discovery.is_empty() {
            return;
        }
        let started_at = Instant::now();
        if started_at < self.lists_resume_at {
            return;
        }
        let mut waiting_lists = WaitingLists::default();
        for _ in 0..receiver.discovery.len() {
            match receiver.discovery.try_recv() {
                Ok(DiscoveryEvent::List(list)) => waiting_lists.add(list),
                Ok(event) => {
                    self.apply_waiting_lists(std::mem::take(&mut waiting_lists));
                    self.on_discovery(event);
                }
                Err(_) => break,
            }
        }
        self.apply_waiting_lists(waiting_lists);
        self.lists_resume_at = Instant::now() + started_at.elapsed();
    }

    fn apply_waiting_lists(&mut self, WaitingLists { merged, parts }: WaitingLists) {
        if let Some(list) = merged {
            self.apply_merged_list(list, &parts, false);
        }
    }

    fn on_discovery(&mut self, event: DiscoveryEvent) {
        match event {
            DiscoveryEvent::List(list) => self.apply_list(list, false),
            DiscoveryEvent::Failed(silence) => {
                self.on_discovery_lost(policy::ListUpdate::Failed(nanos(silence)))
            }
            DiscoveryEvent::TimedOut(silence) => {
                self.on_discovery_lost(policy::ListUpdate::TimedOut(nanos(silence)))
            }
        }
    }

    fn handle_input(&mut self, input: CoreInput) {
        match input {
            CoreInput::ConnectRequested {
                id,
                client_request,
                commands,
            } => self.on_connect_requested(id, client_request, commands),
            CoreInput::ConnectionAdopted {
                id,
                client_request,
                server_name,
                commands,
            } => self.on_connection_adopted(id, client_request, &server_name, commands),
            CoreInput::AttemptEstablished(id) => self.on_attempt_established(id),
            CoreInput::AttemptEnded {
                id,
                outcome,
                duration,
            } => self.on_attempt_ended(id, outcome, duration),
            CoreInput::ServerRedirectedClient(id) => self.publish_server_draining(id),
            CoreInput::ConnectionMeasured { id, metric } => self.on_connection_measured(id, metric),
            CoreInput::ClientLeft(id) | CoreInput::ConnectionPanicked(id) => {
                self.on_client_left(id);
            }
            CoreInput::DiscoveryPending => {}
            CoreInput::ProbeAnswered { server, answer } => self.on_probe_answered(server, answer),
            CoreInput::LifecycleCommanded { command, reply } => {
                let result = self.on_lifecycle_command(command);
                if let Some(LifecycleReply(callback)) = reply {
                    callback(result);
                }
            }
            CoreInput::AdmissionConfigured(config) => {
                self.admission.configure(config);
                self.grant_permits();
            }
            CoreInput::SettingsReplaced(active_settings) => self.replace_settings(active_settings),
            CoreInput::Fleet(event) => self.on_fleet_event(event),
            CoreInput::OverridesChanged { changes, reply } => {
                self.on_overrides_changed(changes, reply);
            }
            CoreInput::GetSnapshot(reply) => {
                // The requester may have timed out.
                let _ = reply.try_send(self.snapshot());
            }
            CoreInput::GetAdmission(reply) => {
                let _ = reply.try_send(self.admission.snapshot(self.clock.now()));
            }
        }
    }

    fn on_client_left(&mut self, id: u64) {
        if let Some(request_state) = self.requests.close(id) {
            self.requests.counts.left += 1;
            self.close_in_queue(&request_state, Some(NotAdmitted::ClientLeft));
            self.run_policy(policy::Event::ClientLeft(RequestId(id)));
        }
    }

    fn on_probe_answered(&mut self, server: ServerId, answer: ProbeAnswer) {
        debug!(
            part = self.name,
            server = server.0,
            ?answer,
            "server probed"
        );
        self.run_policy(policy::Event::ProbeAnswered { server, answer });
    }

    fn set_timer(&mut self, after: Duration, kind: TimerKind) {
        self.timers_set += 1;
        self.timers.push(Reverse((
            self.clock.now().saturating_add(nanos(after)),
            self.timers_set,
            kind,
        )));
    }

    fn fire_timer(&mut self) {
        let Some(Reverse((_, _, kind))) = self.timers.pop() else {
            return;
        };
        match kind {
            TimerKind::Policy(timer) => self.run_policy(policy::Event::TimerFired(timer)),
            TimerKind::ResumeConnection(id) => self.resume_connection(id),
            TimerKind::DrainMigration(number, id) => self.migrate_in_drain(number, id),
            TimerKind::DrainProgress(number) => self.continue_drain(number),
            TimerKind::QueueExpiry => self.on_queue_timer(),
            TimerKind::Overrides => self.on_overrides_timer(),
            TimerKind::EmptyServers => self.continue_emptying(),
            TimerKind::DiscoveryPoll => self.poll_if_pending(),
            TimerKind::AffinityRefresh => self.refresh_affinity(),
            TimerKind::RecoveryTimeout => self.on_recovery_timeout(),
            TimerKind::StagedAdmissionTimeout(id) => self.admit_staged(id),
            TimerKind::LogCounts => {
                let snapshot = self.snapshot();
                self.publish(|_| Some(CoreEvent::EstablishedConnections(snapshot.established)));
                self.log_counts(&snapshot);
                self.applied_lists.flush(self.name);
                self.set_timer(COUNTS_LOG_INTERVAL, TimerKind::LogCounts);
            }
            TimerKind::LogOverShare => {
                self.log_over_share();
                self.set_timer(OVER_SHARE_CHECK_INTERVAL, TimerKind::LogOverShare);
            }
        }
    }
}
