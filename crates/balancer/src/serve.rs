//! The program as a whole: which fronts run, with what cores, and until when.

use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::thread::{Builder, JoinHandle};
use std::time::{Duration, Instant};

use beaconflow_overrides::Set;
use beaconflow_settings::Setup;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGXFSZ};
use signal_hook::iterator::Signals;
use tracing::{info, warn};

use crate::admin::Admin;
use crate::clock::Clock;
use crate::config::{Config, SharedSettings};
use crate::core::lifecycle::Word;
use crate::core::{self, Asker, DoorConfig, Event, Handle, Start, Tie};
use crate::farm::{News, Target, Watcher};
use crate::fleet::{self, Way};
use crate::front::Front as _;
use crate::front::nats::Nats as Front;
use crate::front::nats::tenants::Tenants;
use crate::front::platform::Platform;
use crate::handover::Place;
use crate::inherited;
use crate::net::{self, Listener};
use crate::operations;
use crate::operator::{self, FarmSource, Nats, Operator};
use crate::overrides::{self, Keeper, NamedCore};
use crate::prober::Prober;
use crate::reload::{Reload, Sockets};
use crate::signals;
use crate::stages;
use crate::stages::budget::Descriptors;

/// The agent's first word is waited for so long: it comes at once, or discovery is down.
const FIRST_WORD: Duration = Duration::from_millis(200);
/// Connections that still linger when the core has left are waited for so long.
const LAST_WORDS: Duration = Duration::from_millis(100);

/// A front that serves: the way to its core, and the thread to wait for.
struct Serving {
    front: &'static str,
    core: Handle,
    thread: JoinHandle<()>,
    /// The way to the fleet's thread, where a fleet is set up.
    fleet: Option<Way>,
}

/// What every core is started with.
#[derive(Clone, Copy)]
struct Given<'a> {
    clock: Clock,
    overrides: &'a Set,
    door: &'a DoorConfig,
    fleet: Option<&'a operator::Fleet>,
}

/// What the rest of the program shares with the NATS front.
struct NatsParts {
    tenants: Arc<Tenants>,
    setup: Arc<Setup>,
    target: Option<Target>,
    sockets: Sockets,
}

/// Serves until the program is told to leave. Without an operator's file it is the platform's balancer.
pub fn serve(operator: Option<(PathBuf, Operator)>) -> Result<(), String> {
    let inherited = inherited::take()?;
    let clock = Clock::start();
    let mut caught =
        Signals::new([SIGTERM, SIGINT, SIGHUP]).map_err(|error| format!("signals: {error}"))?;
    // Guards against a limit on the size of files that would end the program: the write fails instead.
    signal_hook::flag::register(SIGXFSZ, Arc::default())
        .map_err(|error| format!("signals: {error}"))?;
    let on_platform = std::env::var_os("LB_CONFIG").is_some();
    let sets_a_front = operator
        .as_ref()
        .is_some_and(|(_, operator)| operator.nats.is_some());
    if operator.is_some() && !sets_a_front && !on_platform {
        return Err("no front: the operator's file sets none up, and LB_CONFIG is not set".into());
    }
    let fleet = operator
        .as_ref()
        .and_then(|(_, operator)| operator.fleet.clone());
    if fleet.is_some() && sets_a_front && on_platform {
        return Err(
            "fleet: stands beside one front, and both LB_CONFIG and a NATS front are set".into(),
        );
    }
    // Overrides come before the cores: none of them places anything before it knows them.
    let restored = operator
        .as_ref()
        .filter(|(_, operator)| operator.admin.is_some());
    let restored = restored.map(|(_, operator)| overrides::restore(&operator.overrides, clock));
    let set = restored
        .as_ref()
        .map(|restored| restored.set.clone())
        .unwrap_or_default();
    let door = operator
        .as_ref()
        .map(|(_, operator)| operator.admission.clone())
        .unwrap_or_default();
    let (mut serving, mut reloads) = (Vec::new(), Vec::new());
    let given = Given {
        clock,
        overrides: &set,
        door: &door,
        fleet: fleet.as_ref(),
    };
    // The platform starts a balancer without a word; an operator's file may stand alone.
    let config = if operator.is_none() || on_platform {
        Some(Config::read()?)
    } else {
        None
    };
    // Before a client is accepted: a program that can't have its port ends, and must not have taken clients from a
    // process that serves on the same listener.
    let operations = Config::operations(config.as_ref())?
        .map(listen)
        .transpose()?;
    if let Some(config) = config {
        let (front, reload) = start_platform(config, inherited, given)?;
        serving.push(front);
        reloads.push(reload);
    }
    if let Some((path, operator)) = operator {
        let mut nats = None;
        if let Some(file) = &operator.nats {
            let (front, parts) = start_nats(file, given)?;
            serving.push(front);
            nats = Some(parts);
        }
        let fleet = serving.iter().find_map(|front| front.fleet.clone());
        let cores: Vec<NamedCore> = serving
            .iter()
            .map(|front| (front.front, front.core.clone()))
            .collect();
        if let (Some(admin), Some(restored)) = (&operator.admin, restored) {
            let keeper = Arc::new(Keeper::new(
                restored,
                cores.clone(),
                clock,
                operator.overrides.limits,
                Box::new(overrides::wall),
            ));
            start_admin(admin, &keeper, &cores, (nats.as_ref(), fleet.clone()))?;
            spawn("overrides", move || keeper.run())?;
        }
        let (target, sockets) = nats
            .map(|nats| (nats.target, nats.sockets))
            .unwrap_or_default();
        let file = operator.nats.clone().map(Box::new);
        let others = Box::new(operator);
        reloads.push(Reload::Operator {
            path,
            others,
            file,
            target,
            sockets,
            cores,
            fleet,
            farms: 0,
        });
    }
    let told: Vec<Handle> = serving.iter().map(|front| front.core.clone()).collect();
    if let Some(listener) = operations {
        let operations = operations::listen(listener, told.clone());
        let operations = operations.map_err(|error| format!("operations port: {error}"))?;
        spawn("operations", move || operations.run())?;
    }
    spawn("signals", move || {
        let leave = || {
            told.iter()
                .for_each(|core| core.tell(Event::Told(Word::Leave, None)))
        };
        signals::follow(
            &mut caught,
            || reloads.iter_mut().for_each(Reload::reload),
            leave,
        );
    })?;
    for Serving { core, thread, .. } in serving {
        thread.join().map_err(|_| "the core panicked".to_owned())?;
        let until = Instant::now() + LAST_WORDS;
        while core.connections() > 0 && Instant::now() < until {
            std::thread::sleep(Duration::from_millis(5));
        }
        info!(part = "main", open = core.connections(), "left");
    }
    Ok(())
}

impl Given<'_> {
    /// Sets up the fleet that the operator's file tells of, and what ties a core to it.
    fn join(
        self,
        setup: &Setup,
        farm: Option<&FarmSource>,
    ) -> Result<(Option<fleet::Fleet>, Option<Tie>), String> {
        let fleet = self
            .fleet
            .map(|file| fleet::prepare(file.clone(), (setup, farm), self.clock))
            .transpose()?;
        Ok(fleet.unzip())
    }
}

fn start_platform(
    file: Config,
    inherited: Option<TcpListener>,
    given: Given<'_>,
) -> Result<(Serving, Reload), String> {
    let config = file.clone().overruled()?;
    let (watcher, watch) = Watcher::new(config.discovery, config.known.version());
    let target = watcher.target();
    let seed = config.seed();
    let setup = config.settings;
    if !setup.counts_balancers() {
        warn!(
            part = "main",
            "settings.balancers is missing: this one keeps the allowances of all for itself"
        );
    }
    let settings = SharedSettings::new(setup.clone());
    let front = Arc::new(Platform::new(settings.clone()));
    let (known, clock, overrides, door) = (
        config.known,
        given.clock,
        given.overrides.clone(),
        given.door.clone(),
    );
    let (fleet, tie) = given.join(&setup, None)?;
    let question = front.load_question().filter(|_| setup.may_probe());
    let asked = settings.clone();
    let patience = move || asked.now().setup().probe_patience();
    let prober = question
        .map(|question| Prober::new(question, patience))
        .transpose();
    let (prober, asker) = prober.map_err(|error| format!("prober: {error}"))?.unzip();
    let asker = asker.map(|asker| Box::new(asker) as Box<dyn Asker>);
    let probes = setup.may_probe();
    let start = Start {
        name: "core",
        setup,
        seed,
        clock,
        known,
        watch,
        asker,
        overrides,
        door,
        fleet: tie,
    };
    let (core, thread) = start_core(start, Some(watcher))?;
    let fleet = fleet.map(|fleet| fleet.start(core.clone())).transpose()?;
    let listener = match inherited {
        Some(socket) => {
            Listener::inherited(socket).map_err(|error| format!("inherited listener: {error}"))?
        }
        None => listen(config.listen)?,
    };
    let shared = listener.shared;
    let sockets = Sockets::new(config.limits.sockets.into());
    let descriptors = Descriptors::without_probes(Arc::clone(&sockets), shared);
    if let Some(prober) = prober {
        let (told, parts) = (core.clone(), descriptors.clone());
        let held = Arc::clone(&descriptors.probes);
        let prober = prober.within(held, move || parts.room_for_probes(told.connections()));
        let told = core.clone();
        spawn("prober", move || {
            prober.run(|server, answer| told.tell(Event::Probed(server, answer)))
        })?;
    }
    // Only processes that share the clients' listener take one another's place.
    let folder = std::env::var_os("TMPDIR").filter(|_| shared);
    let place = folder.map(|folder| Place::of(Path::new(&folder), &config.name));
    start_front(front, (listener, place), descriptors, &core)?;
    info!(part = "main", front = "platform", name = config.name, on = %config.listen, shared, "serves");
    let reload = Reload::Platform {
        file: Box::new(file),
        target,
        sockets,
        core: core.clone(),
        settings,
        probes,
        fleet: fleet.is_some(),
    };
    Ok((
        Serving {
            front: "platform",
            core,
            thread,
            fleet,
        },
        reload,
    ))
}

fn start_nats(nats: &Nats, given: Given<'_>) -> Result<(Serving, NatsParts), String> {
    let setup = Arc::new(nats.settings.clone());
    let tenants = Arc::new(Tenants::new(
        &nats.store.url,
        Duration::from_millis(nats.store.fresh_ms),
    )?);
    let (watcher, watch) = match nats.farm {
        FarmSource::Discovery(address) => {
            let (watcher, watch) = Watcher::new(address, 0);
            (Some(watcher), watch)
        }
        FarmSource::Servers(_) => (None, crossbeam_channel::unbounded().0),
    };
    let target = watcher.as_ref().map(Watcher::target);
    let (clock, seed, known) = (given.clock, given.clock.now(), nats.farm.list(1));
    let (fleet, tie) = given.join(&setup, Some(&nats.farm))?;
    let start = Start {
        name: "nats-core",
        setup: Setup::clone(&setup),
        seed,
        clock,
        known,
        watch,
        asker: None,
        overrides: given.overrides.clone(),
        door: given.door.clone(),
        fleet: tie,
    };
    let (core, thread) = start_core(start, watcher)?;
    let fleet = fleet.map(|fleet| fleet.start(core.clone())).transpose()?;
    let front = Arc::new(Front::new(
        nats.name.clone(),
        Arc::clone(&setup),
        Arc::clone(&tenants),
        nats.wire,
    ));
    let sockets = Sockets::new(nats.sockets.into());
    let descriptors = Descriptors::without_probes(Arc::clone(&sockets), false);
    start_front(front, (listen(nats.listen)?, None), descriptors, &core)?;
    info!(part = "main", front = "nats", name = nats.name, on = %nats.listen, "serves");
    Ok((
        Serving {
            front: "nats",
            core,
            thread,
            fleet,
        },
        NatsParts {
            tenants,
            setup,
            target,
            sockets,
        },
    ))
}

/// Serves the administration API, and keeps the overrides.
fn start_admin(
    admin: &operator::Admin,
    keeper: &Arc<Keeper>,
    cores: &[NamedCore],
    (nats, fleet): (Option<&NatsParts>, Option<Way>),
) -> Result<(), String> {
    let listener = net::listen(admin.listen)
        .map_err(|error| format!("listen on {}: {error}", admin.listen))?;
    let tenants = nats.map(|nats| (Arc::clone(&nats.tenants), Arc::clone(&nats.setup)));
    let api = Arc::new(Admin::new(
        cores.to_vec(),
        Arc::clone(keeper),
        tenants,
        fleet,
        &admin.token,
    ));
    spawn("admin", move || api.listen(&listener))?;
    info!(part = "main", on = %admin.listen, "administration API serves");
    Ok(())
}

/// Starts a core and its watch. Where lists are pushed, the agent's first word is waited for: what it holds counts as
/// told from the first moment of a process, and the known list may be older.
fn start_core(start: Start, watcher: Option<Watcher>) -> Result<(Handle, JoinHandle<()>), String> {
    let pushed = start.setup.is_pushed();
    let (core, thread) = core::start(start).map_err(|error| format!("settings: {error}"))?;
    let Some(watcher) = watcher else {
        return Ok((core, thread));
    };
    let watcher = if pushed { watcher.of_agent() } else { watcher };
    let (told, (heard, first)) = (core.clone(), crossbeam_channel::bounded(1));
    spawn("farm", move || {
        watcher.run(|news| {
            let is_word = matches!(news, News::List(_));
            told.tell_of_servers(news);
            if is_word {
                // Only the first is waited for.
                let _ = heard.try_send(());
            }
        });
    })?;
    if pushed && first.recv_timeout(FIRST_WORD).is_err() {
        info!(part = "farm", "nothing new is told; the known list serves");
    }
    Ok((core, thread))
}

fn start_front<F: crate::front::Front>(
    front: Arc<F>,
    (listener, place): (Listener, Option<Place>),
    descriptors: Descriptors,
    core: &Handle,
) -> Result<(), String> {
    let core = core.clone();
    let desk = stages::transactions::serve(&front, &core, place.clone());
    let desk = desk.map_err(|error| format!("transactions: {error}"))?;
    if let Some(place) = place {
        let (core, desk) = (core.clone(), desk.clone());
        // Whoever gives one has closed it by then: it is taken over however many there are.
        let taken = place.take(move |given| {
            if let Some(counted) = core.count_in(usize::MAX) {
                desk.take_over(given, counted);
            }
        });
        if let Err(error) = taken {
            warn!(part = "handover", why = %error, "nothing is taken over; a process that leaves moves its clients");
        }
    }
    spawn("take-in", move || {
        // Guards against a program that says yes and hears nobody.
        let _listens = Listens::begin(&core);
        stages::take_in::listen(&front, &listener, (&core, &descriptors), &desk);
    })
}

fn listen(on: SocketAddr) -> Result<Listener, String> {
    Listener::bound(on).map_err(|error| format!("listen on {on}: {error}"))
}

/// The core knows that the listener is served for as long as this lives.
struct Listens(Handle);

impl Listens {
    fn begin(core: &Handle) -> Listens {
        core.tell(Event::Told(Word::Listens(true), None));
        Listens(core.clone())
    }
}

impl Drop for Listens {
    fn drop(&mut self) {
        self.0.tell(Event::Told(Word::Listens(false), None));
    }
}

fn spawn(name: &str, run: impl FnOnce() + Send + 'static) -> Result<(), String> {
    let thread = Builder::new().name(name.to_owned()).spawn(run);
    thread
        .map(drop)
        .map_err(|error| format!("thread {name}: {error}"))
}
