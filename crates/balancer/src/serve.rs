//! The program as a whole: its fronts, cores and threads.

use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::thread::{Builder, JoinHandle};
use std::time::{Duration, Instant};

use beaconflow_overrides::Set;
use beaconflow_settings::SiteSettings;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGXFSZ};
use signal_hook::iterator::Signals;
use tracing::{info, warn};

use crate::admin::Admin;
use crate::clock::Clock;
use crate::config::{PlatformConfig, SharedSettings};
use crate::connections;
use crate::connections::descriptors::Descriptors;
use crate::core::lifecycle::LifecycleCommand;
use crate::core::{
    self, CoreConfig, CoreHandle, CoreInput, DoorConfig, FleetLinkConfig, LoadProber,
};
use crate::discovery::{DiscoveryAddress, DiscoveryEvent, Watcher};
use crate::fleet::{self, Way};
use crate::front::Front as _;
use crate::front::nats::Nats as Front;
use crate::front::nats::tenants::Tenants;
use crate::front::platform::Platform;
use crate::handover::HandoverAddress;
use crate::inherited;
use crate::net::{self, Listener};
use crate::operations;
use crate::operator::{self, EndpointSource, NatsConfig, OperatorConfig};
use crate::overrides::{self, NamedCore, OverrideManager};
use crate::prober::Prober;
use crate::reload::{Reload, SharedLimit};
use crate::signals;

/// Time to wait for the agent's first list, which arrives at once unless discovery is down.
const FIRST_LIST_TIMEOUT: Duration = Duration::from_millis(200);
/// Time to wait for lingering connections after the core has stopped.
const LINGER_TIMEOUT: Duration = Duration::from_millis(100);

/// A running front.
struct RunningFront {
    front: &'static str,
    core: CoreHandle,
    thread: JoinHandle<()>,
    /// The fleet thread, where a fleet is configured.
    fleet: Option<Way>,
}

/// Configuration that all cores share.
#[derive(Clone, Copy)]
struct SharedCoreConfig<'a> {
    clock: Clock,
    overrides: &'a Set,
    admission: &'a DoorConfig,
    fleet: Option<&'a operator::FleetConfig>,
}

/// State of the NATS front that the administration API uses.
struct NatsState {
    tenants: Arc<Tenants>,
    setup: Arc<SiteSettings>,
    target: Option<DiscoveryAddress>,
    sockets: SharedLimit,
}

/// Runs the program until it is shut down. Without an operator's file it is the platform's
/// balancer.
///
/// # Errors
///
/// Fails if the configuration has errors, or an address, file or thread is not available.
pub fn serve(operator: Option<(PathBuf, OperatorConfig)>) -> Result<(), String> {
    let inherited = inherited::take()?;
    let clock = Clock::start();
    let mut caught =
        Signals::new([SIGTERM, SIGINT, SIGHUP]).map_err(|error| format!("signals: {error}"))?;
    // A write beyond the file size limit fails instead of ending the program.
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
    // Overrides are restored before a core places anything.
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
    let shared = SharedCoreConfig {
        clock,
        overrides: &set,
        admission: &door,
        fleet: fleet.as_ref(),
    };
    // The platform starts a balancer without arguments; an operator's file may be used alone.
    let config = if operator.is_none() || on_platform {
        Some(PlatformConfig::read()?)
    } else {
        None
    };
    // The port is bound before a client is accepted: a program that fails must not have taken
    // clients from a process on the same listener.
    let operations = PlatformConfig::operations_address(config.as_ref())?
        .map(listen)
        .transpose()?;
    if let Some(config) = config {
        let (front, reload) = start_platform(config, inherited, shared)?;
        serving.push(front);
        reloads.push(reload);
    }
    if let Some((path, operator)) = operator {
        let mut nats = None;
        if let Some(file) = &operator.nats {
            let (front, parts) = start_nats(file, shared)?;
            serving.push(front);
            nats = Some(parts);
        }
        let fleet = serving.iter().find_map(|front| front.fleet.clone());
        let cores: Vec<NamedCore> = serving
            .iter()
            .map(|front| (front.front, front.core.clone()))
            .collect();
        if let (Some(admin), Some(restored)) = (&operator.admin, restored) {
            let overrides_manager = Arc::new(OverrideManager::new(
                restored,
                cores.clone(),
                clock,
                operator.overrides.limits,
                Box::new(overrides::wall_clock_ms),
            ));
            start_admin(
                admin,
                &overrides_manager,
                &cores,
                (nats.as_ref(), fleet.clone()),
            )?;
            spawn("overrides", move || overrides_manager.run())?;
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
    let told: Vec<CoreHandle> = serving.iter().map(|front| front.core.clone()).collect();
    if let Some(listener) = operations {
        let operations = operations::listen(listener, told.clone());
        let operations = operations.map_err(|error| format!("operations port: {error}"))?;
        spawn("operations", move || operations.run())?;
    }
    spawn("signals", move || {
        let leave = || {
            told.iter().for_each(|core| {
                core.send(CoreInput::LifecycleCommanded(
                    LifecycleCommand::ShutDown,
                    None,
                ))
            })
        };
        signals::follow(
            &mut caught,
            || reloads.iter_mut().for_each(Reload::reload),
            leave,
        );
    })?;
    for RunningFront { core, thread, .. } in serving {
        thread.join().map_err(|_| "the core panicked".to_owned())?;
        let until = Instant::now() + LINGER_TIMEOUT;
        while core.connections() > 0 && Instant::now() < until {
            std::thread::sleep(Duration::from_millis(5));
        }
        info!(part = "main", open = core.connections(), "left");
    }
    Ok(())
}

impl SharedCoreConfig<'_> {
    /// Prepares the configured fleet and the link of a core to it.
    fn prepare_fleet(
        self,
        setup: &SiteSettings,
        endpoints: Option<&EndpointSource>,
    ) -> Result<(Option<fleet::PreparedFleet>, Option<FleetLinkConfig>), String> {
        let fleet = self
            .fleet
            .map(|file| fleet::prepare(file.clone(), (setup, endpoints), self.clock))
            .transpose()?;
        Ok(fleet.unzip())
    }
}

fn start_platform(
    file: PlatformConfig,
    inherited: Option<TcpListener>,
    shared: SharedCoreConfig<'_>,
) -> Result<(RunningFront, Reload), String> {
    let config = file.clone().with_environment()?;
    let (watcher, discovery_polls) = Watcher::new(config.discovery, config.cached_list.version());
    let target = watcher.target();
    let seed = config.seed();
    let site = config.settings;
    if !site.has_balancer_count() {
        warn!(
            part = "main",
            "settings.balancers is missing: this one keeps the allowances of all for itself"
        );
    }
    let settings = SharedSettings::new(site.clone());
    let front = Arc::new(Platform::new(settings.clone()));
    let (cached_list, clock, overrides, admission) = (
        config.cached_list,
        shared.clock,
        shared.overrides.clone(),
        shared.admission.clone(),
    );
    let (fleet, link_config) = shared.prepare_fleet(&site, None)?;
    let question = front.load_probe().filter(|_| site.can_probe());
    let asked = settings.clone();
    let patience = move || asked.current().setup().probe_timeout();
    let prober = question
        .map(|question| Prober::new(question, patience))
        .transpose();
    let (prober, prober_handle) = prober.map_err(|error| format!("prober: {error}"))?.unzip();
    let prober_handle = prober_handle.map(|handle| Box::new(handle) as Box<dyn LoadProber>);
    let probes = site.can_probe();
    let start = CoreConfig {
        name: "core",
        site,
        seed,
        clock,
        cached_list,
        discovery_polls,
        prober: prober_handle,
        overrides,
        admission,
        fleet: link_config,
    };
    let (core, thread) = start_core(start, Some(watcher))?;
    let fleet = fleet.map(|fleet| fleet.start(core.clone())).transpose()?;
    let listener = match inherited {
        Some(socket) => {
            Listener::inherited(socket).map_err(|error| format!("inherited listener: {error}"))?
        }
        None => listen(config.listen)?,
    };
    let shared = listener.is_shared;
    let sockets = SharedLimit::new(config.limits.sockets.into());
    let descriptors = Descriptors::without_probes(Arc::clone(&sockets), shared);
    if let Some(prober) = prober {
        let (told, parts) = (core.clone(), descriptors.clone());
        let held = Arc::clone(&descriptors.probe_connections);
        let prober = prober.with_limit(held, move || parts.max_probes(told.connections()));
        let told = core.clone();
        spawn("prober", move || {
            prober.run(|server, answer| told.send(CoreInput::ProbeAnswered(server, answer)))
        })?;
    }
    // Only processes that share the listener replace one another.
    let folder = std::env::var_os("TMPDIR").filter(|_| shared);
    let handover_address =
        folder.map(|folder| HandoverAddress::new(Path::new(&folder), &config.name));
    start_front(front, (listener, handover_address), descriptors, &core)?;
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
        RunningFront {
            front: "platform",
            core,
            thread,
            fleet,
        },
        reload,
    ))
}

fn start_nats(
    nats: &NatsConfig,
    shared: SharedCoreConfig<'_>,
) -> Result<(RunningFront, NatsState), String> {
    let setup = Arc::new(nats.settings.clone());
    let tenants = Arc::new(Tenants::new(
        &nats.store.url,
        Duration::from_millis(nats.store.fresh_ms),
    )?);
    let (watcher, discovery_polls) = match nats.endpoints {
        EndpointSource::Discovery(address) => {
            let (watcher, watch) = Watcher::new(address, 0);
            (Some(watcher), watch)
        }
        EndpointSource::Servers(_) => (None, crossbeam_channel::unbounded().0),
    };
    let target = watcher.as_ref().map(Watcher::target);
    let (clock, seed, cached_list) = (shared.clock, shared.clock.now(), nats.endpoints.list(1));
    let (fleet, link_config) = shared.prepare_fleet(&setup, Some(&nats.endpoints))?;
    let start = CoreConfig {
        name: "nats-core",
        site: SiteSettings::clone(&setup),
        seed,
        clock,
        cached_list,
        discovery_polls,
        prober: None,
        overrides: shared.overrides.clone(),
        admission: shared.admission.clone(),
        fleet: link_config,
    };
    let (core, thread) = start_core(start, watcher)?;
    let fleet = fleet.map(|fleet| fleet.start(core.clone())).transpose()?;
    let front = Arc::new(Front::new(
        nats.name.clone(),
        Arc::clone(&setup),
        Arc::clone(&tenants),
        nats.wire,
    ));
    let sockets = SharedLimit::new(nats.sockets.into());
    let descriptors = Descriptors::without_probes(Arc::clone(&sockets), false);
    start_front(front, (listen(nats.listen)?, None), descriptors, &core)?;
    info!(part = "main", front = "nats", name = nats.name, on = %nats.listen, "serves");
    Ok((
        RunningFront {
            front: "nats",
            core,
            thread,
            fleet,
        },
        NatsState {
            tenants,
            setup,
            target,
            sockets,
        },
    ))
}

/// Starts the administration API.
fn start_admin(
    admin: &operator::AdminConfig,
    overrides_manager: &Arc<OverrideManager>,
    cores: &[NamedCore],
    (nats, fleet): (Option<&NatsState>, Option<Way>),
) -> Result<(), String> {
    let listener = net::listen(admin.listen)
        .map_err(|error| format!("listen on {}: {error}", admin.listen))?;
    let tenants = nats.map(|nats| (Arc::clone(&nats.tenants), Arc::clone(&nats.setup)));
    let api = Arc::new(Admin::new(
        cores.to_vec(),
        Arc::clone(overrides_manager),
        tenants,
        fleet,
        &admin.token,
    ));
    spawn("admin", move || api.listen(&listener))?;
    info!(part = "main", on = %admin.listen, "administration API serves");
    Ok(())
}

/// Starts a core and its watch. Where lists are pushed, waits for the agent's first list, which
/// counts as known from the start.
fn start_core(
    start: CoreConfig,
    watcher: Option<Watcher>,
) -> Result<(CoreHandle, JoinHandle<()>), String> {
    let pushed = start.site.is_pushed();
    let (core, thread) = core::start(start).map_err(|error| format!("settings: {error}"))?;
    let Some(watcher) = watcher else {
        return Ok((core, thread));
    };
    let watcher = if pushed { watcher.for_agent() } else { watcher };
    let (told, (heard, first)) = (core.clone(), crossbeam_channel::bounded(1));
    spawn("discovery", move || {
        watcher.run(|event| {
            let is_word = matches!(event, DiscoveryEvent::List(_));
            told.send_discovery(event);
            if is_word {
                // Only the first one is waited for.
                let _ = heard.try_send(());
            }
        });
    })?;
    if pushed && first.recv_timeout(FIRST_LIST_TIMEOUT).is_err() {
        info!(
            part = "discovery",
            "nothing new is told; the known list serves"
        );
    }
    Ok((core, thread))
}

fn start_front<F: crate::front::Front>(
    front: Arc<F>,
    (listener, handover_address): (Listener, Option<HandoverAddress>),
    descriptors: Descriptors,
    core: &CoreHandle,
) -> Result<(), String> {
    let core = core.clone();
    let connections_handle =
        connections::event_loop::serve(&front, &core, handover_address.clone());
    let connections_handle =
        connections_handle.map_err(|error| format!("transactions: {error}"))?;
    if let Some(handover_address) = handover_address {
        let (core, connections_handle) = (core.clone(), connections_handle.clone());
        // The sender has closed its sockets; the connection is taken over whatever the limit.
        let taken = handover_address.receive(move |shared| {
            if let Some(counted) = core.reserve_connection(usize::MAX) {
                connections_handle.take_over(shared, counted);
            }
        });
        if let Err(error) = taken {
            warn!(part = "handover", why = %error, "nothing is taken over; a process that leaves moves its clients");
        }
    }
    spawn("acceptor", move || {
        // The process must not be ready without an acceptor.
        let _listens = ListeningGuard::start(&core);
        connections::acceptor::listen(
            &front,
            &listener,
            (&core, &descriptors),
            &connections_handle,
        );
    })
}

fn listen(on: SocketAddr) -> Result<Listener, String> {
    Listener::bound(on).map_err(|error| format!("listen on {on}: {error}"))
}

/// Tells the core that the listener is served, while this lives.
struct ListeningGuard(CoreHandle);

impl ListeningGuard {
    fn start(core: &CoreHandle) -> ListeningGuard {
        core.send(CoreInput::LifecycleCommanded(
            LifecycleCommand::SetListening(true),
            None,
        ));
        ListeningGuard(core.clone())
    }
}

impl Drop for ListeningGuard {
    fn drop(&mut self) {
        self.0.send(CoreInput::LifecycleCommanded(
            LifecycleCommand::SetListening(false),
            None,
        ));
    }
}

fn spawn(name: &str, run: impl FnOnce() + Send + 'static) -> Result<(), String> {
    let thread = Builder::new().name(name.to_owned()).spawn(run);
    thread
        .map(drop)
        .map_err(|error| format!("thread {name}: {error}"))
}
