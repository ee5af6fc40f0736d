//! Startup and shutdown of the process: its fronts, cores and threads.

mod nats;
mod platform;
mod threads;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use beaconflow_overrides::OverrideSet;
use beaconflow_settings::SiteSettings;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGXFSZ};
use signal_hook::iterator::Signals;
use tracing::info;

use crate::admin::Admin;
use crate::clock::Clock;
use crate::config::PlatformConfig;
use crate::core::lifecycle::LifecycleCommand;
use crate::core::{AdmissionConfig, CoreHandle, CoreInput, FleetLinkConfig};
use crate::fleet::{self, FleetHandle};
use crate::inherited;
use crate::net::Listener;
use crate::operations;
use crate::operator::{self, EndpointSource, OperatorConfig};
use crate::overrides::{self, NamedCore, OverrideManager, RestoredOverrides};
use crate::reload::Reload;
use crate::signals;
use nats::NatsState;
use threads::spawn;

/// Maximum time to wait for lingering connections after the core has stopped.
const LINGER_TIMEOUT: Duration = Duration::from_millis(100);
/// Interval at which the number of lingering connections is checked.
const LINGER_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Runs the balancer until it is shut down. Without an operator's file, only the platform front
/// runs.
///
/// # Errors
///
/// Returns an error if the configuration is invalid, an address can't be bound, a file can't be
/// read or a thread can't be started.
pub fn serve(operator: Option<(PathBuf, OperatorConfig)>) -> Result<(), String> {
    let inherited = inherited::take()?;
    let clock = Clock::start();
    let signals = register_signals()?;
    let has_platform = std::env::var_os("LB_CONFIG").is_some();
    let file = operator.as_ref().map(|(_, file)| file);
    check_fronts(file, has_platform)?;
    // Overrides are restored before any core selects a server.
    let restored = file
        .filter(|file| file.admin.is_some())
        .map(|file| overrides::restore(&file.overrides, clock));
    let overrides = restored
        .as_ref()
        .map(|restored| restored.set.clone())
        .unwrap_or_default();
    let admission = file.map(|file| file.admission.clone()).unwrap_or_default();
    let fleet = file.and_then(|file| file.fleet.clone());
    let shared = SharedCoreConfig {
        clock,
        overrides: &overrides,
        admission: &admission,
        fleet: fleet.as_ref(),
    };
    // The platform starts the balancer without arguments. With an operator's file the platform
    // front is optional.
    let platform = (operator.is_none() || has_platform)
        .then(PlatformConfig::read)
        .transpose()?;
    // The port is bound before any client is accepted: a process that fails to start must not have
    // accepted clients on a listener that it shares with another process.
    let operations = PlatformConfig::operations_address(platform.as_ref())?
        .map(listen)
        .transpose()?;
    let mut program = Program::default();
    if let Some(config) = platform {
        let (front, reload) = platform::start(config, inherited, shared)?;
        program.fronts.push(front);
        program.reloads.push(reload);
    }
    if let Some((path, file)) = operator {
        program.start_operator_file(path, file, restored, shared)?;
    }
    if let Some(listener) = operations {
        program.start_operations_port(listener)?;
    }
    program.run(signals)
}

/// Configuration shared by all cores.
#[derive(Clone, Copy)]
struct SharedCoreConfig<'a> {
    clock: Clock,
    overrides: &'a OverrideSet,
    admission: &'a AdmissionConfig,
    fleet: Option<&'a operator::FleetConfig>,
}

impl SharedCoreConfig<'_> {
    /// Prepares the fleet, if one is configured, and the core's link to it.
    fn prepare_fleet(
        self,
        site: &SiteSettings,
        endpoints: Option<&EndpointSource>,
    ) -> Result<(Option<fleet::PreparedFleet>, Option<FleetLinkConfig>), String> {
        let fleet = self
            .fleet
            .map(|file| fleet::prepare(file.clone(), (site, endpoints), self.clock))
            .transpose()?;
        Ok(fleet.unzip())
    }
}

/// A running front with its core.
struct RunningFront {
    name: &'static str,
    core: CoreHandle,
    thread: JoinHandle<()>,
    /// The fleet thread, where a fleet is configured.
    fleet: Option<FleetHandle>,
}

impl RunningFront {
    /// Waits for the core to stop, then up to [`LINGER_TIMEOUT`] for lingering connections.
    fn wait(self) -> Result<(), String> {
        self.thread
            .join()
            .map_err(|_| "the core thread panicked".to_owned())?;
        let deadline = Instant::now() + LINGER_TIMEOUT;
        while self.core.connections() > 0 && Instant::now() < deadline {
            std::thread::sleep(LINGER_POLL_INTERVAL);
        }
        info!(
            part = "main",
            open = self.core.connections(),
            "front stopped"
        );
        Ok(())
    }
}

/// The running fronts, and the files that SIGHUP reloads.
#[derive(Default)]
struct Program {
    fronts: Vec<RunningFront>,
    reloads: Vec<Reload>,
}

impl Program {
    fn cores(&self) -> Vec<CoreHandle> {
        self.fronts.iter().map(|front| front.core.clone()).collect()
    }

    fn named_cores(&self) -> Vec<NamedCore> {
        self.fronts
            .iter()
            .map(|front| (front.name, front.core.clone()))
            .collect()
    }

    /// Starts the NATS front and the administration API, if the file configures them.
    fn start_operator_file(
        &mut self,
        path: PathBuf,
        file: OperatorConfig,
        restored: Option<RestoredOverrides>,
        shared: SharedCoreConfig<'_>,
    ) -> Result<(), String> {
        let mut nats = None;
        if let Some(config) = &file.nats {
            let (front, state) = nats::start(config, shared)?;
            self.fronts.push(front);
            nats = Some(state);
        }
        let fleet = self.fronts.iter().find_map(|front| front.fleet.clone());
        let cores = self.named_cores();
        if let (Some(admin), Some(restored)) = (&file.admin, restored) {
            let override_manager = Arc::new(OverrideManager::new(
                restored,
                cores.clone(),
                shared.clock,
                file.overrides.limits,
                Box::new(overrides::wall_clock_ms),
            ));
            let tenants = nats.as_ref().map(NatsState::tenant_settings);
            let api = Admin::new(
                cores.clone(),
                Arc::clone(&override_manager),
                tenants,
                fleet.clone(),
                &admin.token,
            );
            start_admin(admin.listen, api)?;
            spawn("overrides", move || override_manager.run())?;
        }
        let response_limits = nats.as_ref().map(|nats| nats.response_limits.clone());
        let (discovery_address, max_descriptors) = nats
            .map(|nats| (nats.discovery_address, nats.max_descriptors))
            .unwrap_or_default();
        self.reloads.push(Reload::Operator {
            path,
            nats: file.nats.clone().map(Box::new),
            config: Box::new(file),
            discovery_address,
            response_limits,
            max_descriptors,
            cores,
            fleet,
            list_reloads: 0,
        });
        Ok(())
    }

    fn start_operations_port(&self, listener: Listener) -> Result<(), String> {
        let operations = operations::listen(listener, self.cores())
            .map_err(|error| format!("operations port: {error}"))?;
        spawn("operations", move || operations.run())
    }

    /// Handles signals until all cores have stopped.
    fn run(self, mut signals: Signals) -> Result<(), String> {
        let cores = self.cores();
        let mut reloads = self.reloads;
        spawn("signals", move || {
            let shut_down = || {
                for core in &cores {
                    core.send(CoreInput::LifecycleCommanded {
                        command: LifecycleCommand::ShutDown,
                        reply: None,
                    });
                }
            };
            let reload = || reloads.iter_mut().for_each(Reload::reload);
            signals::handle(&mut signals, reload, shut_down);
        })?;
        self.fronts.into_iter().try_for_each(RunningFront::wait)
    }
}

fn register_signals() -> Result<Signals, String> {
    let signals =
        Signals::new([SIGTERM, SIGINT, SIGHUP]).map_err(|error| format!("signals: {error}"))?;
    // Without a handler, a write beyond the file size limit would kill the process; with one it
    // returns an error.
    signal_hook::flag::register(SIGXFSZ, Arc::default())
        .map_err(|error| format!("signals: {error}"))?;
    Ok(signals)
}

/// Checks that at least one front is configured, and that a fleet has exactly one front.
fn check_fronts(file: Option<&OperatorConfig>, has_platform: bool) -> Result<(), String> {
    let has_nats = file.is_some_and(|file| file.nats.is_some());
    if file.is_some() && !has_nats && !has_platform {
        return Err("no front is configured: the operator's file has no NATS front, and LB_CONFIG is not set".into());
    }
    let has_fleet = file.is_some_and(|file| file.fleet.is_some());
    if has_fleet && has_nats && has_platform {
        return Err(
            "fleet: supports one front only, but both LB_CONFIG and a NATS front are configured"
                .into(),
        );
    }
    Ok(())
}

/// Binds the administration API and starts its thread.
fn start_admin(address: SocketAddr, api: Admin) -> Result<(), String> {
    let listener = listen(address)?;
    let api = Arc::new(api);
    spawn("admin", move || api.listen(&listener))?;
    info!(part = "main", on = %address, "administration API serves");
    Ok(())
}

fn listen(address: SocketAddr) -> Result<Listener, String> {
    Listener::bound(address).map_err(|error| format!("listen on {address}: {error}"))
}
