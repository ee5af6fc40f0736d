//! Setup of a fleet: what is prepared before the core runs, and the threads.

use std::collections::BTreeMap;
use std::net::UdpSocket;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use beaconflow_affinity::{Bound, Class, Limits, PlacementTable, Routing, Server, Version};
use beaconflow_gossip::{FactChange, FactStore, Origin};
use beaconflow_membership::{self as peers, Configuration, Key, Keys, Node, Profile, driver};
use beaconflow_policy::Settings;
use beaconflow_settings::{SiteSettings, digest};
use crossbeam_channel::{Receiver, Sender, bounded, unbounded};
use tracing::info;

use super::handle::{FleetHandle, FleetStatus};
use super::memory_writer::{self, MemoryWriter, RestoredMemory};
use super::recovery_driver::{self, RecoveryDriver};
use super::shared_gossip::{self, SharedGossip, SharedGossipHandle};
use super::site_evidence::SiteEvidence;
use super::thread::{FleetReceiver, FleetThread};
use super::uplink::{self, Uplink};
use super::{Millis, millis};
use crate::clock::Clock;
use crate::core::{CoreEvent, CoreHandle, FleetLinkConfig, Latest, SessionAffinity};
use crate::operator::{self, EndpointSource};
use crate::overrides::wall_clock_ms;

/// A client migrated for rebalancing or slow messages does not return to its server for this long.
const AFFINITY_RETURN_DELAY_S: u32 = 30;
/// Failures of a client key are kept for this multiple of the longest deadline, as in the policy.
const FAILURE_RETENTION_DEADLINES: Millis = 4;
/// Longest queue of membership events.
const MEMBERSHIP_QUEUE_LENGTH: usize = 256;

/// A fleet prepared before the core runs.
pub struct PreparedFleet {
    config: operator::FleetConfig,
    clock: Clock,
    incarnation: u64,
    routing_version: Version,
    memory: MemoryWriter,
    restored: RestoredMemory,
    recovery: RecoveryDriver,
    uplink: Option<Uplink>,
    core_events: Receiver<CoreEvent>,
    warm_up_ms: Millis,
    failure_ttl_ms: Millis,
}

/// Opens the memory and prepares the link of the core.
///
/// # Errors
///
/// Fails if a key can't be read or a setting is out of range. Other faults are logged,
/// and the process serves without the part concerned.
pub fn prepare(
    config: operator::FleetConfig,
    (site, endpoints): (&SiteSettings, Option<&EndpointSource>),
    clock: Clock,
) -> Result<(PreparedFleet, FleetLinkConfig), String> {
    let settings = site.policy_settings();
    let (memory, restored) = memory_writer::open(&config, wall_clock_ms());
    let now = clock.now() / 1_000_000;
    let incarnation = incarnation(&restored);
    let routing_version = routing_version(&settings, endpoints);
    let recovery_config = recovery_driver::config(&config, site, &settings);
    let recovery_timeout = Duration::from_nanos(recovery_config.max_time_to_admission());
    let recovery = RecoveryDriver::new(recovery_config, driver::random_seed())?;
    let edge_config = uplink::config(&config, driver::random_seed());
    let uplink = config
        .edge
        .is_enabled
        .then(|| Uplink::new(edge_config, now, restored.uplink))
        .transpose()?;
    let (events, core_events) = unbounded();
    let affinity = config.affinity.is_enabled.then(|| {
        let placements = placement_table(&config, (incarnation, routing_version), &restored, now);
        SessionAffinity::new(placements, config.affinity.retention)
    });
    let link_config = FleetLinkConfig {
        events,
        recovery_timeout: Some(recovery_timeout),
        staged_admission: config.clients_per_server_s.is_some(),
        affinity,
    };
    let fleet = PreparedFleet {
        config,
        clock,
        incarnation,
        routing_version,
        memory,
        restored,
        recovery,
        uplink,
        core_events,
        warm_up_ms: settings.rules.warm_up_time / 1_000_000,
        failure_ttl_ms: failure_ttl_ms(&settings),
    };
    Ok((fleet, link_config))
}

/// The incarnation number: the memory's, or else the time of the start.
fn incarnation(restored: &RestoredMemory) -> u64 {
    if restored.incarnation > 0 {
        restored.incarnation
    } else {
        wall_clock_ms() / 1_000
    }
}

fn failure_ttl_ms(settings: &Settings) -> Millis {
    let deadlines = settings.classes.iter().map(|class| class.deadline);
    deadlines.max().unwrap_or(0) / 1_000_000 * FAILURE_RETENTION_DEADLINES
}

/// Session affinity at the start: the known versions without placements.
fn placement_table(
    fleet_config: &operator::FleetConfig,
    (incarnation, version): (u64, Version),
    restored: &RestoredMemory,
    now: Millis,
) -> PlacementTable {
    let limits = Limits {
        bound: Bound {
            entries: fleet_config.affinity.max_placements,
            bytes: usize::MAX,
        },
        ttl_s: u32::try_from(fleet_config.affinity.retention.as_secs()).unwrap_or(u32::MAX),
        return_delay_s: AFFINITY_RETURN_DELAY_S,
        max_group_per_server: 0,
    };
    let mut placements = PlacementTable::new(
        limits,
        placement_origin(&fleet_config.name, incarnation),
        driver::random_seed(),
    );
    placements.record_balancer_death(placement_origin(
        &fleet_config.name,
        incarnation.saturating_sub(1),
    ));
    for fact in &restored.versions {
        placements.merge_version(fact, now);
    }
    let serial = fleet_config.affinity.serial;
    let adopted = placements.adopt(version, serial, now);
    info!(part = "affinity", version = %version, serial, how = ?adopted, "configuration version adopted");
    placements
}

/// The origin of placements: a process in one incarnation.
pub(super) fn placement_origin(name: &str, incarnation: u64) -> u64 {
    digest(&format!("{name} {incarnation}"))
}

/// The version of the routing configuration; equal at all processes that run it.
pub(super) fn routing_version(settings: &Settings, endpoints: Option<&EndpointSource>) -> Version {
    let class = |(index, class): (usize, &beaconflow_policy::RequestClass)| Class {
        name: index.to_string(),
        deadline_ms: class.deadline / 1_000_000,
    };
    let server = |server: &operator::FixedServer| Server {
        name: server.name.clone(),
        zone: server.zone.clone(),
        weight: server.weight,
        address: server.address.to_string(),
        previous_name: None,
    };
    let servers = match endpoints {
        Some(EndpointSource::Servers(servers)) => servers.iter().map(server).collect(),
        _ => Vec::new(),
    };
    let classes = settings.classes.iter().enumerate().map(class).collect();
    Routing {
        servers,
        classes,
        ..Routing::default()
    }
    .version()
}

impl PreparedFleet {
    /// Starts the fleet thread and the membership thread.
    ///
    /// # Errors
    ///
    /// Fails if the socket or a thread can't be created.
    pub fn start(self, core: CoreHandle) -> Result<FleetHandle, String> {
        let (changes_sender, gossip_changes) = unbounded();
        let gossip = self.gossip_state(changes_sender);
        let (events_sender, membership_events) = bounded(MEMBERSHIP_QUEUE_LENGTH);
        let membership = self.start_membership(&gossip, events_sender)?;
        let (commands, command_receiver) = unbounded();
        let published_status: Arc<Mutex<FleetStatus>> = Arc::default();
        let handle = FleetHandle {
            commands,
            status: Arc::clone(&published_status),
        };
        info!(part = "peers", name = self.config.name, site = self.config.site, boot = self.incarnation, on = %self.config.listen, "fleet membership started");
        let (thread, restored, core_events) =
            self.into_thread(core, gossip, membership, published_status);
        let inputs = FleetReceiver {
            core_events,
            gossip_changes,
            membership_events,
            commands: command_receiver,
        };
        let run = move || thread.run(restored, inputs);
        let spawned = std::thread::Builder::new().name("fleet".into()).spawn(run);
        spawned.map_err(|error| format!("can't create the fleet thread: {error}"))?;
        Ok(handle)
    }

    /// The gossip state at the start.
    fn gossip_state(&self, changes_sender: Sender<Vec<FactChange>>) -> SharedGossipHandle {
        let bounds = shared_gossip::bounds(
            self.config.affinity.max_placements,
            millis(self.config.affinity.retention),
            driver::random_seed(),
        );
        let origin = Origin {
            name: self.config.name.clone(),
            incarnation: self.incarnation,
        };
        SharedGossip::shared(FactStore::new(origin, bounds), changes_sender)
    }

    fn start_membership(
        &self,
        gossip: &SharedGossipHandle,
        events_sender: Sender<peers::Event>,
    ) -> Result<driver::Handle, String> {
        let membership_node = self.node(Arc::clone(gossip))?;
        let bind_error = |error: std::io::Error| {
            format!("fleet.listen: can't bind {}: {error}", self.config.listen)
        };
        let socket = driver::Udp::new(UdpSocket::bind(self.config.listen).map_err(bind_error)?);
        let clock = self.clock;
        driver::spawn(
            membership_node,
            socket,
            move || clock.now() / 1_000_000,
            events_sender,
        )
        .map_err(|error| format!("can't create the membership thread: {error}"))
    }

    /// The fleet thread's state, the restored memory, and the receiver of the core's events.
    fn into_thread(
        self,
        core: CoreHandle,
        gossip: SharedGossipHandle,
        membership: driver::Handle,
        published_status: Arc<Mutex<FleetStatus>>,
    ) -> (FleetThread, RestoredMemory, Receiver<CoreEvent>) {
        let now = self.clock.now();
        let (name, site) = (self.config.name.clone(), self.config.site.clone());
        let thread = FleetThread {
            now,
            started_at: now,
            serving_started_at: None,
            is_in_full_service: false,
            settling: None,
            is_settled: false,
            is_recovering: true,
            is_admission_staged: self.config.clients_per_server_s.is_some(),
            servers: BTreeMap::new(),
            list_position: None,
            established: 0,
            publish_status_at: 0,
            update_status_at: 0,
            status: FleetStatus {
                name,
                site,
                incarnation: self.incarnation,
                ..FleetStatus::default()
            },
            config: self.config,
            clock: self.clock,
            incarnation: self.incarnation,
            version: self.routing_version,
            core,
            cached_list: Latest::default(),
            gossip,
            membership,
            memory: self.memory,
            recovery: self.recovery,
            uplink: self.uplink,
            site_evidence: SiteEvidence::default(),
            warm_up_ms: self.warm_up_ms,
            failure_ttl_ms: self.failure_ttl_ms,
            published_status,
        };
        (thread, self.restored, self.core_events)
    }

    fn node(&self, gossip: SharedGossipHandle) -> Result<Node<SharedGossipHandle>, String> {
        let read =
            |path: &std::path::PathBuf| Key::read(path).map_err(|error| format!("fleet: {error}"));
        let current = read(&self.config.key_file)?;
        let previous = self
            .config
            .previous_key_file
            .as_ref()
            .map(read)
            .transpose()?;
        let profile = Profile {
            name: self.config.name.as_str().into(),
            address: self.config.advertise.unwrap_or(self.config.listen),
            incarnation: self.incarnation,
            seed: driver::random_seed(),
            site: self.config.site.as_str().into(),
            peer_configuration: configuration(self.routing_version, self.config.affinity.serial),
            seeds: self.config.peers.clone(),
        };
        let node = Node::new(
            profile,
            Keys {
                current,
                other: previous,
            },
            peers::Settings::default(),
            gossip,
        );
        node.map_err(|errors| {
            let errors: Vec<String> = errors.iter().map(ToString::to_string).collect();
            format!("fleet: {}", errors.join("; "))
        })
    }
}

/// A version in the form that peers compare.
pub(super) fn configuration(version: Version, serial: u64) -> Configuration {
    let mut digest = [0; 32];
    digest[..16].copy_from_slice(&version.0.to_be_bytes());
    Configuration {
        digest,
        order: serial,
    }
}
