//! Start of a core.

use std::collections::{BTreeMap, BinaryHeap};
use std::io;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Instant;

use beaconflow_overrides::{CoverageGaps, OverrideSet};
use beaconflow_policy::Balancer;
use beaconflow_policy::SettingsError;
use beaconflow_settings::{ActiveSettings, SiteSettings};
use crossbeam_channel::Sender;

use super::admission::AdmissionControl;
use super::endpoints::EndpointRegistry;
use super::fleet_link::FleetLinkConfig;
use super::handle::{self, CoreReceiver};
use super::lifecycle::{Lifecycle, LifecycleView};
use super::requests::RequestTable;
use super::{AdmissionConfig, Core, CoreHandle, LoadProber, SharedTimeouts, settings};
use crate::clock::Clock;
use crate::discovery::ServerList;
use crate::log::RateLimitedLog;

/// Configuration of a core.
pub struct CoreConfig {
    /// Name of the core in the log.
    pub name: &'static str,
    /// The site's settings, which may be replaced later.
    pub site: SiteSettings,
    /// Seed of the policy's random numbers.
    pub seed: u64,
    /// The clock that the core runs on.
    pub clock: Clock,
    /// The server list as last known; empty if there is none.
    pub cached_list: ServerList,
    /// Receives a message for each poll of discovery; [`CoreHandle::send_discovery`] follows.
    pub discovery_polls: Sender<()>,
    /// Probes servers, where the wire has a probe.
    pub prober: Option<Box<dyn LoadProber>>,
    /// The overrides restored from the store.
    pub overrides: OverrideSet,
    /// Limits of the admission queue and shares of the accounts.
    pub admission: AdmissionConfig,
    /// Link to the fleet thread, where a fleet is configured.
    pub fleet: Option<FleetLinkConfig>,
}

/// Error at the start of a core.
#[derive(Debug)]
pub enum StartError {
    /// A setting is outside its range.
    Settings(SettingsError),
    /// The thread can't be created.
    Thread(io::Error),
}

impl std::fmt::Display for StartError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            StartError::Settings(error) => error.fmt(f),
            StartError::Thread(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for StartError {}

/// Starts a core on a thread of its own, which ends after a shutdown.
///
/// # Errors
///
/// Fails if a setting is outside its range or the thread can't be created.
pub fn start(start: CoreConfig) -> Result<(CoreHandle, JoinHandle<()>), StartError> {
    let name = start.name;
    let (handle, mut core, receiver) = build(start)?;
    let run = move || core.run(&receiver);
    let thread = std::thread::Builder::new()
        .name(format!("core-{name}"))
        .spawn(run);
    Ok((handle, thread.map_err(StartError::Thread)?))
}

pub(super) fn build(config: CoreConfig) -> Result<(CoreHandle, Core, CoreReceiver), StartError> {
    let active_settings = Arc::new(ActiveSettings::new(config.site));
    let settings = settings::policy_settings(&active_settings, config.prober.is_some());
    let (inputs, receiver) = handle::channel();
    let handle = CoreHandle {
        inputs,
        next_id: Arc::default(),
        connections: Arc::default(),
        lifecycle: LifecycleView::default(),
        clock: config.clock,
        timeouts: Arc::new(SharedTimeouts::new(&settings)),
    };
    let admission =
        AdmissionControl::new(Arc::clone(&active_settings), config.admission, config.seed);
    let policy = Balancer::new(settings.clone(), config.seed).map_err(StartError::Settings)?;
    let mut core = Core {
        name: config.name,
        active_settings,
        settings,
        seed: config.seed,
        clock: config.clock,
        policy,
        endpoints: EndpointRegistry::new(config.overrides),
        requests: RequestTable::default(),
        admission,
        timers: BinaryHeap::new(),
        timers_set: 0,
        discovery_polls: config.discovery_polls,
        prober: config.prober,
        timeouts: Arc::clone(&handle.timeouts),
        lifecycle: Lifecycle::default(),
        lifecycle_view: handle.lifecycle.clone(),
        connections: Arc::clone(&handle.connections),
        drain: None,
        drains: 0,
        actions: Vec::new(),
        emptied_servers: BTreeMap::new(),
        coverage: CoverageGaps::default(),
        overrides_timer_at: None,
        has_lost_overrides: false,
        fleet: None,
        is_list_of_fleet: false,
        lists_resume_at: Instant::now(),
        applied_lists: RateLimitedLog::default(),
    };
    if let Some(link_config) = config.fleet {
        core.attach_fleet(link_config);
    }
    core.apply_list(config.cached_list, true);
    Ok((handle, core, receiver))
}
