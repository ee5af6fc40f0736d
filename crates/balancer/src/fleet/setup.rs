//! How a fleet is set up: what stands before the core runs, and the threads that are started with it.

use std::collections::BTreeMap;
use std::net::UdpSocket;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use beaconflow_affinity::{Bound, Class, Limits, Memory as Placements, Routing, Server, Version};
use beaconflow_gossip::{Change, Knowledge, Origin};
use beaconflow_membership::{self as peers, Configuration, Key, Keys, Node, Profile, driver};
use beaconflow_policy::Settings;
use beaconflow_settings::{Setup, digest};
use crossbeam_channel::{Receiver, Sender, bounded, unbounded};
use tracing::info;

use super::carry::{self, Carried, Shared};
use super::gather::{self, Gathering};
use super::handle::{FleetHandle, Status};
use super::keep::{self, MemoryWriter, Restored};
use super::site::Site;
use super::thread::{Inputs, Thread};
use super::uplink::{self, Uplink};
use super::{Millis, millis};
use crate::clock::Clock;
use crate::core::{Handle, Tie, Ties, Witness};
use crate::operator::{self, FarmSource};
use crate::overrides::wall;

/// A client that was moved to even out or for lateness is not led back for so long.
const AWAY_S: u32 = 30;
/// The module forgets a client key's failures after so many of the longest deadline; so do the peers.
const FORGET: Millis = 4;
/// Events of the peers that wait.
const EVENTS: usize = 256;

/// A fleet that is set up, before the core runs.
pub struct Fleet {
    file: operator::Fleet,
    clock: Clock,
    boot: u64,
    version: Version,
    memory: MemoryWriter,
    restored: Restored,
    gathering: Gathering,
    uplink: Option<Uplink>,
    observations: Receiver<Witness>,
    cold_ms: Millis,
    failures_good: Millis,
}

/// Opens the memory and sets up what the core is given. Only a key that can't be read is an error: whatever else is
/// missing is served through.
pub fn prepare(
    file: operator::Fleet,
    (setup, farm): (&Setup, Option<&FarmSource>),
    clock: Clock,
) -> Result<(Fleet, Tie), String> {
    let settings = setup.module();
    let (memory, restored) = keep::open(&file, wall());
    let boot = if restored.boot > 0 {
        restored.boot
    } else {
        wall() / 1_000
    };
    let version = version(&settings, farm);
    let config = gather::config(&file, setup, &settings);
    let most = Duration::from_nanos(config.lets_in_within());
    let gathering = Gathering::new(config, driver::random())?;
    let set = uplink::config(&file, driver::random());
    let uplink = file
        .edge
        .on
        .then(|| Uplink::new(set, clock.now() / 1_000_000, restored.uplink));
    let uplink = uplink.transpose()?;
    let (tell, observations) = unbounded();
    let now = clock.now() / 1_000_000;
    let ties = file.affinity.on.then(|| {
        let memory = placements(&file, (boot, version), &restored, now);
        Ties::new(memory, file.affinity.keep)
    });
    let turns = file.borne.is_some();
    let longest = settings
        .classes
        .iter()
        .map(|class| class.deadline)
        .max()
        .unwrap_or(0);
    let (cold_ms, failures_good) = (
        settings.rules.warm_up_time / 1_000_000,
        longest / 1_000_000 * FORGET,
    );
    let fleet = Fleet {
        file,
        clock,
        boot,
        version,
        memory,
        restored,
        gathering,
        uplink,
        observations,
        cold_ms,
        failures_good,
    };
    Ok((
        fleet,
        Tie {
            tell,
            gather: Some(most),
            turns,
            ties,
        },
    ))
}

/// Affinity's memory as this process starts with it: without placements, with the versions that it remembers.
fn placements(
    file: &operator::Fleet,
    (boot, version): (u64, Version),
    restored: &Restored,
    now: Millis,
) -> Placements {
    let limits = Limits {
        bound: Bound {
            entries: file.affinity.most,
            bytes: usize::MAX,
        },
        life_s: u32::try_from(file.affinity.keep.as_secs()).unwrap_or(u32::MAX),
        away_s: AWAY_S,
        home_most: 0,
    };
    let mut memory = Placements::new(limits, origin(&file.name, boot), driver::random());
    memory.balancer_died(origin(&file.name, boot.saturating_sub(1)));
    for fact in &restored.versions {
        memory.heard_version(fact, now);
    }
    let serial = file.affinity.serial;
    let adopted = memory.adopt(version, serial, now);
    info!(part = "affinity", version = %version, serial, how = ?adopted, "version runs here");
    memory
}

/// A process in one of its lives, as placements name it.
pub(super) fn origin(name: &str, boot: u64) -> u64 {
    digest(&format!("{name} {boot}"))
}

/// What the configuration says of routing: the same at all processes that run it, whatever their own place.
pub(super) fn version(settings: &Settings, farm: Option<&FarmSource>) -> Version {
    let class = |(at, class): (usize, &beaconflow_policy::RequestClass)| Class {
        name: at.to_string(),
        aim_ms: class.latency_objective / 1_000_000,
        deadline_ms: class.deadline / 1_000_000,
        worth: class.priority_weight,
    };
    let server = |server: &operator::FixedServer| Server {
        name: server.name.clone(),
        zone: server.zone.clone(),
        weight: server.weight,
        address: server.address.to_string(),
        was: None,
    };
    let servers = match farm {
        Some(FarmSource::Servers(servers)) => servers.iter().map(server).collect(),
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

impl Fleet {
    /// Runs it on a thread of its own, with the peers' on another.
    pub fn start(self, core: Handle) -> Result<FleetHandle, String> {
        let (news, changes) = unbounded();
        let known = self.knowledge(news);
        let (tell, events) = bounded(EVENTS);
        let peers = self.start_peers(&known, tell)?;
        let (commands, received) = unbounded();
        let shown: Arc<Mutex<Status>> = Arc::default();
        let handle = FleetHandle {
            commands,
            shown: Arc::clone(&shown),
        };
        info!(part = "peers", name = self.file.name, site = self.file.site, boot = self.boot, on = %self.file.listen, "part of a fleet");
        let (thread, restored, observations) = self.into_thread(core, known, peers, shown);
        let inputs = Inputs {
            observations,
            changes,
            events,
            commands: received,
        };
        let run = move || thread.run(restored, inputs);
        let spawned = std::thread::Builder::new().name("fleet".into()).spawn(run);
        spawned.map_err(|error| format!("thread fleet: {error}"))?;
        Ok(handle)
    }

    /// What is known together, as this process starts with it: nothing.
    fn knowledge(&self, news: Sender<Vec<Change>>) -> Shared {
        let bounds = carry::bounds(
            self.file.affinity.most,
            millis(self.file.affinity.keep),
            driver::random(),
        );
        let origin = Origin {
            name: self.file.name.clone(),
            boot: self.boot,
        };
        Carried::shared(Knowledge::new(origin, bounds), news)
    }

    fn start_peers(
        &self,
        known: &Shared,
        tell: Sender<peers::Event>,
    ) -> Result<driver::Handle, String> {
        let node = self.node(Arc::clone(known))?;
        let bound = |error: std::io::Error| format!("fleet.listen {}: {error}", self.file.listen);
        let link = driver::Udp::new(UdpSocket::bind(self.file.listen).map_err(bound)?);
        let clock = self.clock;
        driver::spawn(node, link, move || clock.now() / 1_000_000, tell)
            .map_err(|error| format!("thread peers: {error}"))
    }

    /// What the thread has at its start, what is restored, and where it hears what the core saw.
    fn into_thread(
        self,
        core: Handle,
        known: Shared,
        peers: driver::Handle,
        shown: Arc<Mutex<Status>>,
    ) -> (Thread, Restored, Receiver<Witness>) {
        let now = self.clock.now();
        let (name, site) = (self.file.name.clone(), self.file.site.clone());
        let thread = Thread {
            now,
            since: now,
            serving_since: None,
            in_full: false,
            settling: None,
            is_settled: false,
            gathers: true,
            by_turns: self.file.borne.is_some(),
            servers: BTreeMap::new(),
            position: None,
            standing: 0,
            tell_at: 0,
            status_at: 0,
            status: Status {
                name,
                site,
                boot: self.boot,
                ..Status::default()
            },
            file: self.file,
            clock: self.clock,
            boot: self.boot,
            version: self.version,
            core,
            known,
            peers,
            memory: self.memory,
            gathering: self.gathering,
            uplink: self.uplink,
            site: Site::default(),
            cold_ms: self.cold_ms,
            failures_good: self.failures_good,
            shown,
        };
        (thread, self.restored, self.observations)
    }

    fn node(&self, known: Shared) -> Result<Node<Shared>, String> {
        let read =
            |path: &std::path::PathBuf| Key::read(path).map_err(|fault| format!("fleet: {fault}"));
        let current = read(&self.file.key_file)?;
        let other = self.file.previous_key_file.as_ref().map(read).transpose()?;
        let profile = Profile {
            name: self.file.name.as_str().into(),
            address: self.file.advertise.unwrap_or(self.file.listen),
            boot: self.boot,
            seed: driver::random(),
            site: self.file.site.as_str().into(),
            configuration: configuration(self.version, self.file.affinity.serial),
            seeds: self.file.peers.clone(),
        };
        let node = Node::new(
            profile,
            Keys { current, other },
            peers::Settings::default(),
            known,
        );
        node.map_err(|faults| {
            let faults: Vec<String> = faults.iter().map(ToString::to_string).collect();
            format!("fleet: {}", faults.join("; "))
        })
    }
}

/// A version as the peers are told of it.
pub(super) fn configuration(version: Version, serial: u64) -> Configuration {
    let mut digest = [0; 32];
    digest[..16].copy_from_slice(&version.0.to_be_bytes());
    Configuration {
        digest,
        order: serial,
    }
}
