//! The fleet's thread: what this process knows together with the others, and what outlives it.
//!
//! It hears what the core sees, keeps it, tells the peers, and tells the core what they know. All of it is a hint: the
//! core serves whether this thread lives or not, and no rule of the platform hangs on it.

mod carry;
mod gather;
mod hear;
mod keep;
mod records;
mod site;
mod tell;
mod uplink;
mod words;

use std::collections::BTreeMap;
use std::net::UdpSocket;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use beaconflow::api::Settings;
use beaconflow_affinity::{Bound, Class, Limits, Memory as Placements, Routing, Server, Version};
use beaconflow_knowledge::{Change, Knowledge, Origin};
use beaconflow_peers::{self as peers, Configuration, Key, Keys, Node, Profile, driver};
use beaconflow_settings::{Setup, digest};
use crossbeam_channel::{Receiver, Sender, bounded, never, select, unbounded};
use tracing::{info, warn};

use crate::clock::Clock;
use crate::core::{Event, Handle, KnownNews, Tie, TieNews, Ties, Witness};
use crate::farm::Listed;
use crate::operator::{self, FarmSource};
use crate::overrides::wall;
use carry::{Carried, Shared};
use gather::Gathering;
use keep::{Keeps, Restored};
use site::Site;
use uplink::Uplink;

/// A moment of the program's clock: Unix time as it was at the start, in milliseconds; or a span of it.
type Millis = u64;

/// The thread looks at what only time changes this often at least.
const LONGEST_WAIT: Duration = Duration::from_millis(250);
/// A client that was moved to even out or for lateness is not led back for so long.
const AWAY_S: u32 = 30;
/// The module forgets a client key's failures after so many of the longest deadline; so do the peers.
const FORGET: Millis = 4;
/// Events of the peers that wait.
const EVENTS: usize = 256;

/// What people are shown of the fleet.
#[derive(Clone, Debug, Default)]
pub struct Look {
    /// This process and its site.
    pub name: String,
    /// Its site.
    pub site: String,
    /// Its boot number.
    pub boot: u64,
    /// Processes that are there, this one among them, and how many there should be.
    pub processes: (usize, usize),
    /// Where this process is on its way from dark to serving.
    pub recovery: String,
    /// Client keys of which placements have failed, as all processes know.
    pub failing: usize,
    /// Clients that were told to come again in their turn.
    pub deferred: u64,
    /// How the uplink stands and why, where that is judged.
    pub uplink: Option<String>,
    /// Placements that are remembered, where affinity is set up.
    pub placements: Option<usize>,
    /// The version of the configuration.
    pub version: String,
    /// Datagrams that were refused.
    pub refused: u64,
    /// Whether what is known outlives the process.
    pub kept: bool,
}

/// The way to the fleet's thread.
#[derive(Clone)]
pub struct Way {
    asks: Sender<Ask>,
    shown: Arc<Mutex<Look>>,
}

/// What is asked of the thread.
enum Ask {
    /// The operator's file says something else.
    Follow(Box<operator::Fleet>),
    /// The configuration says something else of routing from now on.
    Routes(Version),
}

impl Way {
    /// What people are shown.
    pub fn look(&self) -> Look {
        self.shown.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// A farm that stands in the file is another one from now on: so is the version of the configuration.
    pub fn routes(&self, setup: &Setup, farm: &FarmSource) {
        let _ = self.asks.send(Ask::Routes(version(&setup.module(), Some(farm))));
    }

    /// Takes over of a file what can change while the program runs.
    pub fn follow(&self, file: operator::Fleet) {
        let _ = self.asks.send(Ask::Follow(Box::new(file)));
    }
}

/// A fleet that is set up, before the core runs.
pub struct Fleet {
    file: operator::Fleet,
    clock: Clock,
    boot: u64,
    version: Version,
    keeps: Keeps,
    restored: Restored,
    gathering: Gathering,
    uplink: Option<Uplink>,
    witnesses: Receiver<Witness>,
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
    let (keeps, restored) = keep::open(&file, wall());
    let boot = if restored.boot > 0 { restored.boot } else { wall() / 1_000 };
    let version = version(&settings, farm);
    let config = gather::config(&file, setup, &settings);
    let most = Duration::from_nanos(config.lets_in_within());
    let gathering = Gathering::new(config, driver::random())?;
    let set = uplink::config(&file, driver::random());
    let uplink = file.edge.on.then(|| Uplink::new(set, clock.now() / 1_000_000, restored.uplink));
    let uplink = uplink.transpose()?;
    let (tell, witnesses) = unbounded();
    let ties = file.affinity.on.then(|| {
        let entries = file.affinity.most;
        let limits = Limits {
            bound: Bound { entries, bytes: usize::MAX },
            life_s: u32::try_from(file.affinity.keep.as_secs()).unwrap_or(u32::MAX),
            away_s: AWAY_S,
            home_most: 0,
        };
        let mut memory = Placements::new(limits, origin(&file.name, boot), driver::random());
        memory.balancer_died(origin(&file.name, boot.saturating_sub(1)));
        let now = clock.now() / 1_000_000;
        for fact in &restored.versions {
            memory.heard_version(fact, now);
        }
        let adopted = memory.adopt(version, file.affinity.serial, now);
        info!(part = "affinity", version = %version, serial = file.affinity.serial, how = ?adopted, "version runs here");
        Ties::new(memory, file.affinity.keep)
    });
    let turns = file.borne.is_some();
    let longest = settings.classes.iter().map(|class| class.deadline).max().unwrap_or(0);
    let (cold_ms, failures_good) = (settings.rules.cold_time / 1_000_000, longest / 1_000_000 * FORGET);
    let fleet = Fleet {
        file,
        clock,
        boot,
        version,
        keeps,
        restored,
        gathering,
        uplink,
        witnesses,
        cold_ms,
        failures_good,
    };
    Ok((fleet, Tie { tell, gather: Some(most), turns, ties }))
}

/// A process in one of its lives, as placements name it.
fn origin(name: &str, boot: u64) -> u64 {
    digest(&format!("{name} {boot}"))
}

/// What the configuration says of routing: the same at all processes that run it, whatever their own place.
fn version(settings: &Settings, farm: Option<&FarmSource>) -> Version {
    let class = |(at, class): (usize, &beaconflow::api::Class)| Class {
        name: at.to_string(),
        aim_ms: class.aim / 1_000_000,
        deadline_ms: class.deadline / 1_000_000,
        worth: class.worth,
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
    Routing { servers, classes, ..Routing::default() }.version()
}

impl Fleet {
    /// Runs it on a thread of its own, with the peers' on another.
    pub fn start(self, core: Handle) -> Result<Way, String> {
        let (news, changes) = unbounded();
        let bounds = carry::bounds(
            self.file.affinity.most,
            u64::try_from(self.file.affinity.keep.as_millis()).unwrap_or(Millis::MAX),
            driver::random(),
        );
        let origin = Origin { name: self.file.name.clone(), boot: self.boot };
        let known = Carried::shared(Knowledge::new(origin, bounds), news);
        let (tell, events) = bounded(EVENTS);
        let node = self.node(Arc::clone(&known))?;
        let bound = |error: std::io::Error| format!("fleet.listen {}: {error}", self.file.listen);
        let link = driver::Udp::new(UdpSocket::bind(self.file.listen).map_err(bound)?);
        let clock = self.clock;
        let handle = driver::spawn(node, link, move || clock.now() / 1_000_000, tell)
            .map_err(|error| format!("thread peers: {error}"))?;
        let (asks, asked) = unbounded();
        let shown: Arc<Mutex<Look>> = Arc::default();
        let way = Way { asks, shown: Arc::clone(&shown) };
        info!(part = "peers", name = self.file.name, site = self.file.site, boot = self.boot, on = %self.file.listen, "part of a fleet");
        let thread = Thread {
            now: clock.now(),
            since: clock.now(),
            serving_since: None,
            in_full: false,
            settling: None,
            is_settled: false,
            gathers: true,
            by_turns: self.file.borne.is_some(),
            farm: BTreeMap::new(),
            position: None,
            standing: 0,
            tell_at: 0,
            look_at: 0,
            look: Look {
                name: self.file.name.clone(),
                site: self.file.site.clone(),
                boot: self.boot,
                ..Look::default()
            },
            file: self.file,
            clock,
            boot: self.boot,
            version: self.version,
            core,
            known,
            peers: handle,
            keeps: self.keeps,
            gathering: self.gathering,
            uplink: self.uplink,
            site: Site::default(),
            cold_ms: self.cold_ms,
            failures_good: self.failures_good,
            shown,
        };
        let restored = self.restored;
        let inputs = Inputs { witnesses: self.witnesses, changes, events, asked };
        let run = move || thread.run(restored, inputs);
        let spawned = std::thread::Builder::new().name("fleet".into()).spawn(run);
        spawned.map_err(|error| format!("thread fleet: {error}"))?;
        Ok(way)
    }

    fn node(&self, known: Shared) -> Result<Node<Shared>, String> {
        let read = |path: &std::path::PathBuf| Key::read(path).map_err(|fault| format!("fleet: {fault}"));
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
        let node = Node::new(profile, Keys { current, other }, peers::Settings::default(), known);
        node.map_err(|faults| {
            let faults: Vec<String> = faults.iter().map(ToString::to_string).collect();
            format!("fleet: {}", faults.join("; "))
        })
    }
}

/// A version as the peers are told of it.
fn configuration(version: Version, serial: u64) -> Configuration {
    let mut digest = [0; 32];
    digest[..16].copy_from_slice(&version.0.to_be_bytes());
    Configuration { digest, order: serial }
}

/// Whatever reaches the thread.
struct Inputs {
    witnesses: Receiver<Witness>,
    changes: Receiver<Vec<Change>>,
    events: Receiver<peers::Event>,
    asked: Receiver<Ask>,
}

/// What reached it.
enum Came {
    Seen(Witness),
    Learnt(Vec<Change>),
    Peers(peers::Event),
    Asked(Ask),
    /// The peers' thread is gone, or whoever could ask.
    NoMorePeers,
    NoMoreAsks,
    Nothing,
}

/// The thread's own.
struct Thread {
    /// The present moment, in nanoseconds as the core counts them.
    now: u64,
    since: u64,
    serving_since: Option<u64>,
    in_full: bool,
    /// The site's processes have begun to tell what they know: all has come by the first moment if nothing more comes
    /// until then, and at the second at the latest.
    settling: Option<(u64, u64)>,
    /// The site's processes have told what they know.
    is_settled: bool,
    /// `PING` says no: what was known before is gathered.
    gathers: bool,
    /// Clients are let in by turns.
    by_turns: bool,
    /// The list as the core has it, by name.
    farm: BTreeMap<String, Listed>,
    position: Option<beaconflow_knowledge::Position>,
    standing: usize,
    /// When the own word is told again.
    tell_at: u64,
    look_at: u64,
    look: Look,
    file: operator::Fleet,
    clock: Clock,
    boot: u64,
    version: Version,
    core: Handle,
    known: Shared,
    peers: driver::Handle,
    keeps: Keeps,
    gathering: Gathering,
    uplink: Option<Uplink>,
    site: Site,
    /// A started server is warm after this.
    cold_ms: Millis,
    /// A client key's failures are forgotten after this.
    failures_good: Millis,
    shown: Arc<Mutex<Look>>,
}

impl Thread {
    fn run(mut self, restored: Restored, mut inputs: Inputs) {
        self.restore(restored);
        if self.file.edge.word != operator::EdgeWord::Automatic {
            let word = self.file.edge.word;
            self.uplink(|uplink, now| uplink.word(now, word));
        }
        loop {
            self.now = self.clock.now();
            self.look_after();
            let due = [self.gathering.next(), self.settling.map(|(at, _)| at), Some(self.tell_at)];
            let due = due.into_iter().flatten().min().unwrap_or(u64::MAX);
            let wait = Duration::from_nanos(due.saturating_sub(self.now)).min(LONGEST_WAIT);
            let came = select! {
                recv(inputs.witnesses) -> seen => match seen {
                    Ok(seen) => Came::Seen(seen),
                    Err(_) => return self.end(),
                },
                recv(inputs.changes) -> changes => changes.map_or(Came::Nothing, Came::Learnt),
                recv(inputs.events) -> event => event.map_or(Came::NoMorePeers, Came::Peers),
                recv(inputs.asked) -> ask => ask.map_or(Came::NoMoreAsks, Came::Asked),
                default(wait) => Came::Nothing,
            };
            // Guards against a success that is dated before the failure that it makes void: the wait may have been long.
            self.now = self.clock.now();
            match came {
                Came::Seen(seen) => self.witnessed(seen),
                Came::Learnt(changes) => self.learnt(&changes),
                Came::Peers(event) => self.peers_say(event),
                Came::Asked(ask) => self.follow(ask),
                // Guards against a loop round an end that is ready at all times.
                Came::NoMorePeers => inputs.events = never(),
                Came::NoMoreAsks => inputs.asked = never(),
                Came::Nothing => {}
            }
        }
    }

    fn ms(&self) -> Millis {
        self.now / 1_000_000
    }

    /// Tells the uplink something, and does what it wants.
    fn uplink(&mut self, act: impl FnOnce(&mut Uplink, Millis) -> Vec<uplink::Wanted>) {
        let now = self.ms();
        let Some(uplink) = &mut self.uplink else { return };
        let wanted = act(uplink, now);
        let kept = uplink.kept(now);
        for one in wanted {
            match one {
                uplink::Wanted::Hold(span) => self.core.tell(Event::Known(KnownNews::Hold(span))),
                uplink::Wanted::Ask => self.core.tell(Event::Known(KnownNews::Ask)),
                uplink::Wanted::Tell => self.tell_at = self.now,
                uplink::Wanted::Keep => self.keeps.remember(records::uplink(kept.0, kept.1, now)),
            }
        }
    }

    fn ties(&self, news: TieNews) {
        self.core.tell(Event::Known(KnownNews::Ties(news)));
    }

    /// Another file's word.
    fn follow(&mut self, ask: Ask) {
        let file = match ask {
            Ask::Follow(file) => file,
            Ask::Routes(version) => {
                self.version = version;
                return self.adopt(self.file.affinity.serial);
            }
        };
        if file.peers != self.file.peers {
            info!(part = "peers", peers = ?file.peers, "other addresses are asked from now on");
            self.peers.seeds(file.peers.clone());
        }
        if file.affinity.serial != self.file.affinity.serial {
            self.adopt(file.affinity.serial);
        }
        if file.edge.word != self.file.edge.word {
            self.uplink(|uplink, now| uplink.word(now, file.edge.word));
        }
        (self.file.peers, self.file.affinity.serial, self.file.edge.word) =
            (file.peers, file.affinity.serial, file.edge.word);
    }

    /// The present version is run under that number from now on.
    fn adopt(&mut self, serial: u64) {
        self.peers.configured(configuration(self.version, serial));
        self.ties(TieNews::Adopt(self.version, serial));
    }

    /// The core has left: what is known is written, and the peers are told.
    fn end(self) {
        if !self.keeps.end() {
            warn!(part = "memory", "not all that was known is written");
        }
        self.peers.stop();
    }
}
