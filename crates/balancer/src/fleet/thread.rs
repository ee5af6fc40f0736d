//! The fleet thread: its state and its event loop.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use beaconflow_affinity::Version;
use beaconflow_gossip::FactChange;
use beaconflow_membership::{self as peers, driver};
use crossbeam_channel::{Receiver, never, select};
use tracing::{info, warn};

use super::handle::{FleetCommand, FleetStatus};
use super::memory_writer::{MemoryWriter, RestoredMemory};
use super::recovery_driver::RecoveryDriver;
use super::settling::Settling;
use super::setup::configuration;
use super::shared_gossip::SharedGossipHandle;
use super::site_evidence::SiteEvidence;
use super::uplink::{self, Uplink};
use super::{Millis, records};
use crate::clock::Clock;
use crate::core::{AffinityEvent, CoreEvent, CoreHandle, CoreInput, FleetEvent, Latest};
use crate::discovery::{ListedServer, ServerList};
use crate::operator;

/// Longest wait between two checks of timeouts.
const MAX_WAIT: Duration = Duration::from_millis(250);

/// The receivers of the fleet thread.
pub(super) struct FleetReceiver {
    pub(super) core_events: Receiver<CoreEvent>,
    pub(super) gossip_changes: Receiver<Vec<FactChange>>,
    pub(super) membership_events: Receiver<peers::Event>,
    pub(super) commands: Receiver<FleetCommand>,
}

/// An input of the fleet thread.
enum FleetInput {
    Core(CoreEvent),
    Gossip(Vec<FactChange>),
    Membership(peers::Event),
    Command(FleetCommand),
    CoreStopped,
    TimedOut,
}

impl FleetReceiver {
    /// The next input, or [`FleetInput::TimedOut`] after `timeout`.
    fn next(&mut self, timeout: Duration) -> FleetInput {
        // A closed channel is always ready and must not be polled again.
        select! {
            recv(self.core_events) -> event => event.map_or(FleetInput::CoreStopped, FleetInput::Core),
            recv(self.gossip_changes) -> changes => changes.map_or(FleetInput::TimedOut, FleetInput::Gossip),
            recv(self.membership_events) -> event => event.map_or_else(
                |_| {
                    self.membership_events = never();
                    FleetInput::TimedOut
                },
                FleetInput::Membership,
            ),
            recv(self.commands) -> command => command.map_or_else(
                |_| {
                    self.commands = never();
                    FleetInput::TimedOut
                },
                FleetInput::Command,
            ),
            default(timeout) => FleetInput::TimedOut,
        }
    }
}

/// The state of the fleet thread.
pub(super) struct FleetThread {
    /// The present time, in nanoseconds by the core's clock.
    pub(super) now: u64,
    pub(super) started_at: u64,
    pub(super) serving_started_at: Option<u64>,
    pub(super) is_in_full_service: bool,
    /// The wait for the site's peers, while they report.
    pub(super) settling: Option<Settling>,
    /// Whether the site's peers have reported.
    pub(super) is_settled: bool,
    /// Whether recovery keeps the process from being ready.
    pub(super) is_recovering: bool,
    /// Whether admission is staged.
    pub(super) is_admission_staged: bool,
    /// The server list as the core has it, by name.
    pub(super) servers: BTreeMap<String, ListedServer>,
    pub(super) list_position: Option<beaconflow_gossip::ListPosition>,
    pub(super) established: usize,
    /// When this process's status is published next.
    pub(super) publish_status_at: u64,
    pub(super) update_status_at: u64,
    pub(super) status: FleetStatus,
    pub(super) config: operator::FleetConfig,
    pub(super) clock: Clock,
    pub(super) incarnation: u64,
    pub(super) version: Version,
    pub(super) core: CoreHandle,
    /// The list that the core was told of last, until it takes it.
    pub(super) cached_list: Latest<ServerList>,
    pub(super) gossip: SharedGossipHandle,
    pub(super) membership: driver::Handle,
    pub(super) memory: MemoryWriter,
    pub(super) recovery: RecoveryDriver,
    pub(super) uplink: Option<Uplink>,
    pub(super) site_evidence: SiteEvidence,
    /// Time from a server's start to its full capacity.
    pub(super) warm_up_ms: Millis,
    /// Lifetime of a client key's failures.
    pub(super) failure_ttl_ms: Millis,
    pub(super) published_status: Arc<Mutex<FleetStatus>>,
}

impl FleetThread {
    pub(super) fn run(mut self, restored: RestoredMemory, mut inputs: FleetReceiver) {
        self.restore(restored);
        if self.config.edge.mode != operator::EdgeMode::Automatic {
            let mode = self.config.edge.mode;
            self.with_uplink(|uplink, now| uplink.apply_operator_mode(now, mode));
        }
        loop {
            self.now = self.clock.now();
            self.run_due_tasks();
            let input = inputs.next(self.wait());
            // The wait may have been long, and times must not go backwards between events.
            self.now = self.clock.now();
            match input {
                FleetInput::Core(event) => self.on_core_event(event),
                FleetInput::Gossip(changes) => self.on_gossip_changes(&changes),
                FleetInput::Membership(event) => self.on_membership_event(event),
                FleetInput::Command(command) => self.on_command(command),
                FleetInput::CoreStopped => return self.shut_down(),
                FleetInput::TimedOut => {}
            }
        }
    }

    /// Time until the next task is due.
    fn wait(&self) -> Duration {
        let next_due_at = [
            self.recovery.next(),
            self.settling.map(|settling| settling.due_at()),
            Some(self.publish_status_at),
        ];
        let next_due_at = next_due_at.into_iter().flatten().min().unwrap_or(u64::MAX);
        Duration::from_nanos(next_due_at.saturating_sub(self.now)).min(MAX_WAIT)
    }

    /// The present time, in milliseconds.
    pub(super) fn now_ms(&self) -> Millis {
        self.now / 1_000_000
    }

    /// Reports something to the uplink monitor and executes its commands.
    pub(super) fn with_uplink(
        &mut self,
        report_to: impl FnOnce(&mut Uplink, Millis) -> Vec<uplink::UplinkCommand>,
    ) {
        let now = self.now_ms();
        let Some(uplink) = &mut self.uplink else {
            return;
        };
        let commands = report_to(uplink, now);
        let state = uplink.persistent_state(now);
        for command in commands {
            match command {
                uplink::UplinkCommand::PauseDiscovery(span) => self
                    .core
                    .send(CoreInput::Fleet(FleetEvent::PauseDiscovery(span))),
                uplink::UplinkCommand::PollDiscovery => {
                    self.core.send(CoreInput::Fleet(FleetEvent::PollDiscovery))
                }
                uplink::UplinkCommand::PublishStatus => self.publish_status_at = self.now,
                uplink::UplinkCommand::Persist => self
                    .memory
                    .store(records::encode_uplink(state.0, state.1, now)),
            }
        }
    }

    pub(super) fn send_affinity_event(&self, event: AffinityEvent) {
        self.core
            .send(CoreInput::Fleet(FleetEvent::Affinity(event)));
    }

    /// Handles a command.
    fn on_command(&mut self, command: FleetCommand) {
        let new_config = match command {
            FleetCommand::Reconfigure(new_config) => new_config,
            FleetCommand::SetVersion(version) => {
                self.version = version;
                return self.adopt_version(self.config.affinity.serial);
            }
        };
        if new_config.peers != self.config.peers {
            info!(part = "peers", peers = ?new_config.peers, "seed addresses of the peers changed");
            self.membership.set_seeds(new_config.peers.clone());
        }
        if new_config.affinity.serial != self.config.affinity.serial {
            self.adopt_version(new_config.affinity.serial);
        }
        if new_config.edge.mode != self.config.edge.mode {
            self.with_uplink(|uplink, now| uplink.apply_operator_mode(now, new_config.edge.mode));
        }
        (
            self.config.peers,
            self.config.affinity.serial,
            self.config.edge.mode,
        ) = (
            new_config.peers,
            new_config.affinity.serial,
            new_config.edge.mode,
        );
    }

    /// Adopts the present version under the operator's serial number.
    fn adopt_version(&mut self, serial: u64) {
        self.membership
            .set_configuration(configuration(self.version, serial));
        self.send_affinity_event(AffinityEvent::VersionAdopted(self.version, serial));
    }

    /// Writes the memory and leaves the fleet after the core has stopped.
    fn shut_down(self) {
        if !self.memory.finish() {
            warn!(
                part = "memory",
                "memory was not completely written before the exit"
            );
        }
        self.membership.stop();
    }
}
