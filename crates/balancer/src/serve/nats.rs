//! Startup of the NATS front.

use std::sync::Arc;
use std::time::Duration;

use beaconflow_settings::SiteSettings;
use crossbeam_channel::Sender;
use tracing::info;

use super::threads::{start_core, start_front};
use super::{RunningFront, SharedCoreConfig, listen};
use crate::connections::descriptors::Descriptors;
use crate::core::CoreConfig;
use crate::discovery::{DiscoveryAddress, Watcher};
use crate::front::nats::Nats;
use crate::front::nats::limits::SharedResponseLimits;
use crate::front::nats::tenants::Tenants;
use crate::operator::{EndpointSource, NatsConfig};
use crate::reload::SharedLimit;

/// State of the NATS front that the administration API and reloads use.
pub(super) struct NatsState {
    tenants: Arc<Tenants>,
    site: Arc<SiteSettings>,
    pub(super) discovery_address: Option<DiscoveryAddress>,
    pub(super) max_descriptors: SharedLimit,
    pub(super) response_limits: SharedResponseLimits,
}

impl NatsState {
    /// The tenants, and the settings that define their request classes.
    pub(super) fn tenant_settings(&self) -> (Arc<Tenants>, Arc<SiteSettings>) {
        (Arc::clone(&self.tenants), Arc::clone(&self.site))
    }
}

/// Starts the front with its core and threads.
pub(super) fn start(
    nats: &NatsConfig,
    shared: SharedCoreConfig<'_>,
) -> Result<(RunningFront, NatsState), String> {
    let site = Arc::new(nats.settings.clone());
    let tenants = Arc::new(Tenants::new(
        &nats.store.url,
        Duration::from_millis(nats.store.fresh_ms),
    )?);
    let (discovery_watcher, discovery_polls) = discovery_watcher(&nats.endpoints);
    let discovery_address = discovery_watcher.as_ref().map(Watcher::target);
    let seed = shared.clock.now();
    let (fleet, link_config) = shared.prepare_fleet(&site, Some(&nats.endpoints))?;
    let core_config = CoreConfig {
        name: "nats-core",
        site: SiteSettings::clone(&site),
        seed,
        clock: shared.clock,
        cached_list: nats.endpoints.list(1),
        discovery_polls,
        prober: None,
        overrides: shared.overrides.clone(),
        admission: shared.admission.clone(),
        fleet: link_config,
    };
    let (core, thread) = start_core(core_config, discovery_watcher)?;
    let fleet = fleet.map(|fleet| fleet.start(core.clone())).transpose()?;
    let front = Arc::new(Nats::new(
        nats.name.clone(),
        Arc::clone(&site),
        Arc::clone(&tenants),
        nats.wire,
    ));
    let response_limits = front.shared_response_limits();
    let max_descriptors = SharedLimit::new(nats.sockets.into());
    let descriptors = Descriptors::without_probes(Arc::clone(&max_descriptors), false);
    start_front(front, (listen(nats.listen)?, None), descriptors, &core)?;
    info!(part = "main", front = "nats", name = nats.name, on = %nats.listen, "serves");
    let front = RunningFront {
        name: "nats",
        core,
        thread,
        fleet,
    };
    let state = NatsState {
        tenants,
        site,
        discovery_address,
        max_descriptors,
        response_limits,
    };
    Ok((front, state))
}

/// The discovery watcher and the sender that requests polls. Servers listed in the file need no
/// watcher.
fn discovery_watcher(endpoints: &EndpointSource) -> (Option<Watcher>, Sender<()>) {
    match endpoints {
        EndpointSource::Discovery(address) => {
            let (discovery_watcher, polls) = Watcher::new(*address, 0);
            (Some(discovery_watcher), polls)
        }
        EndpointSource::Servers(_) => (None, crossbeam_channel::unbounded().0),
    }
}
