//! Startup of the platform front.

use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::sync::Arc;

use beaconflow_settings::SiteSettings;
use tracing::{info, warn};

use super::threads::{spawn, start_core, start_front};
use super::{RunningFront, SharedCoreConfig, listen};
use crate::config::{PlatformConfig, SharedSettings};
use crate::connections::descriptors::Descriptors;
use crate::core::{CoreConfig, CoreHandle, CoreInput, LoadProber};
use crate::discovery::Watcher;
use crate::front::Front as _;
use crate::front::platform::{IdExchangeAddress, Platform};
use crate::handover::HandoverAddress;
use crate::net::Listener;
use crate::prober::{Prober, ProberHandle};
use crate::reload::{Reload, SharedLimit};

/// Starts the front with its core and threads.
pub(super) fn start(
    file: PlatformConfig,
    inherited: Option<TcpListener>,
    shared: SharedCoreConfig<'_>,
) -> Result<(RunningFront, Reload), String> {
    let config = file.clone().with_environment()?;
    let (watcher, discovery_polls) = Watcher::new(config.discovery, config.cached_list.version());
    let discovery_address = watcher.target();
    let seed = config.seed();
    let site = config.settings;
    warn_without_balancer_count(&site);
    let settings = SharedSettings::new(site.clone());
    let front = Arc::new(Platform::new(settings.clone()));
    let (fleet, link_config) = shared.prepare_fleet(&site, None)?;
    let (prober, prober_handle) = prepare_prober(&front, &site, &settings)?.unzip();
    let is_probing_allowed = site.can_probe();
    let core_config = CoreConfig {
        name: "core",
        site,
        seed,
        clock: shared.clock,
        cached_list: config.cached_list,
        discovery_polls,
        prober: prober_handle.map(|handle| Box::new(handle) as Box<dyn LoadProber>),
        overrides: shared.overrides.clone(),
        admission: shared.admission.clone(),
        fleet: link_config,
    };
    let (core, thread) = start_core(core_config, Some(watcher))?;
    let fleet = fleet.map(|fleet| fleet.start(core.clone())).transpose()?;
    let listener = listener(inherited, config.listen)?;
    let is_shared = listener.is_shared;
    let max_descriptors = SharedLimit::new(config.limits.sockets.into());
    let descriptors = Descriptors::without_probes(Arc::clone(&max_descriptors), is_shared);
    if let Some(prober) = prober {
        start_prober(prober, &core, &descriptors)?;
    }
    let handover_address = handover_address(is_shared, &config.name);
    // Before the first client is accepted.
    exchange_ids(&front, is_shared, &config.name);
    start_front(front, (listener, handover_address), descriptors, &core)?;
    info!(part = "main", front = "platform", name = config.name, on = %config.listen, shared = is_shared, "serves");
    let reload = Reload::Platform {
        config: Box::new(file),
        discovery_address,
        max_descriptors,
        core: core.clone(),
        settings,
        is_probing_allowed,
        has_fleet: fleet.is_some(),
    };
    let front = RunningFront {
        name: "platform",
        core,
        thread,
        fleet,
    };
    Ok((front, reload))
}

fn listener(inherited: Option<TcpListener>, address: SocketAddr) -> Result<Listener, String> {
    match inherited {
        Some(socket) => {
            Listener::inherited(socket).map_err(|error| format!("inherited listener: {error}"))
        }
        None => listen(address),
    }
}

fn warn_without_balancer_count(site: &SiteSettings) {
    if !site.has_balancer_count() {
        warn!(
            part = "main",
            "settings.balancers is missing; assuming 1, so this balancer uses every shared limit in full"
        );
    }
}

/// Creates the prober, if the settings allow probes.
fn prepare_prober(
    front: &Platform,
    site: &SiteSettings,
    settings: &SharedSettings,
) -> Result<Option<(Prober, ProberHandle)>, String> {
    let probe = front.load_probe().filter(|_| site.can_probe());
    let settings = settings.clone();
    let timeout = move || settings.current().site_settings().probe_timeout();
    probe
        .map(|probe| Prober::new(probe, timeout))
        .transpose()
        .map_err(|error| format!("prober: {error}"))
}

fn start_prober(
    prober: Prober,
    core: &CoreHandle,
    descriptors: &Descriptors,
) -> Result<(), String> {
    let count = Arc::clone(&descriptors.probe_connections);
    let (limit_core, limit_descriptors) = (core.clone(), descriptors.clone());
    let max_connections = move || limit_descriptors.max_probes(limit_core.connections());
    let prober = prober.with_limit(count, max_connections);
    let core = core.clone();
    spawn("prober", move || {
        prober.run(|server, answer| core.send(CoreInput::ProbeAnswered { server, answer }));
    })
}

/// The folder through which the processes of a balancer find each other; `None` unless the listener
/// is shared, since only processes that share a listener replace each other.
fn shared_folder(is_shared: bool) -> Option<PathBuf> {
    std::env::var_os("TMPDIR")
        .filter(|_| is_shared)
        .map(PathBuf::from)
}

/// The address at which the process that replaces this one receives connections.
fn handover_address(is_shared: bool, name: &str) -> Option<HandoverAddress> {
    Some(HandoverAddress::new(&shared_folder(is_shared)?, name))
}

/// Exchanges the ids of requests with the processes that replace each other.
fn exchange_ids(front: &Platform, is_shared: bool, name: &str) {
    let Some(folder) = shared_folder(is_shared) else {
        return;
    };
    if let Err(error) = front.exchange_ids(&IdExchangeAddress::new(&folder, name)) {
        warn!(part = "platform", why = %error, "exchange of ids is unavailable; an id may be sent by both processes of an upgrade");
    }
}
