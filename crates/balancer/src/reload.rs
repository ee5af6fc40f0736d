//! Configuration reload on SIGHUP: the file is read again, and fields that can change at runtime
//! are applied.
//!
//! Established connections are not affected. An invalid file changes nothing.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use tracing::{error, info, warn};

use crate::config::{PlatformConfig, SharedSettings};
use beaconflow_admission::Limits;

use crate::core::{AdmissionConfig, CoreHandle, CoreInput};
use crate::discovery::{DiscoveryAddress, DiscoveryEvent};
use crate::fleet::FleetHandle;
use crate::front::nats::limits::{NatsLimits, SharedResponseLimits};
use crate::operator::{
    AffinityConfig, EdgeConfig, EndpointSource, FleetConfig, NatsConfig, OperatorConfig,
};
use crate::overrides::NamedCore;

/// A limit on file descriptors that a reload may change.
pub type SharedLimit = Arc<AtomicUsize>;

/// A configuration file, the values in effect, and handles to the components that a reload updates.
pub enum Reload {
    /// The platform front and its file.
    Platform {
        /// The configuration in effect.
        config: Box<PlatformConfig>,
        /// The address that the discovery watcher uses.
        discovery_address: DiscoveryAddress,
        /// The limit on file descriptors of this front.
        max_descriptors: SharedLimit,
        /// The core of the platform front.
        core: CoreHandle,
        /// The settings that the front parses requests with.
        settings: SharedSettings,
        /// Whether probes were allowed at the start, which decides if the prober runs.
        is_probing_allowed: bool,
        /// Whether a fleet is configured. It keeps the settings of the start.
        has_fleet: bool,
    },
    /// The operator's file, with the NATS front if there is one.
    Operator {
        /// Path of the file.
        path: PathBuf,
        /// The configuration in effect, apart from the NATS front.
        config: Box<OperatorConfig>,
        /// The NATS front's configuration in effect.
        nats: Option<Box<NatsConfig>>,
        /// The address that the discovery watcher uses; `None` if the servers are in the file.
        discovery_address: Option<DiscoveryAddress>,
        /// The response limits of the NATS front.
        response_limits: Option<SharedResponseLimits>,
        /// The limit on file descriptors of this front.
        max_descriptors: SharedLimit,
        /// The cores of all fronts.
        cores: Vec<NamedCore>,
        /// The fleet thread, where a fleet is configured.
        fleet: Option<FleetHandle>,
        /// Number of times that the servers in the file have changed.
        list_reloads: u64,
    },
}

impl Reload {
    /// Reads the file again and applies the fields that can change. The outcome is logged.
    pub fn reload(&mut self) {
        let result = match self {
            Reload::Platform { .. } => self.reload_platform(),
            Reload::Operator { .. } => self.reload_operator(),
        };
        match result {
            Ok(Changes {
                applied,
                need_restart,
            }) if applied.is_empty() && need_restart.is_empty() => {
                info!(part = "reload", "configuration is unchanged");
            }
            Ok(Changes {
                applied,
                need_restart,
            }) => {
                if !applied.is_empty() {
                    info!(
                        part = "reload",
                        what = applied.join(", "),
                        "configuration changes applied"
                    );
                }
                if !need_restart.is_empty() {
                    warn!(
                        part = "reload",
                        what = need_restart.join(", "),
                        "changes need a restart; running values kept"
                    );
                }
            }
            Err(why) => error!(
                part = "reload",
                why, "reload failed; current configuration kept"
            ),
        }
    }

    fn reload_platform(&mut self) -> Result<Changes, String> {
        let Reload::Platform {
            config,
            discovery_address,
            max_descriptors,
            core,
            settings,
            is_probing_allowed,
            has_fleet,
        } = self
        else {
            return Ok(Changes::default());
        };
        // An invalid file returns here, before anything changes.
        let new_config = PlatformConfig::read()?;
        let mut changes = Changes::default();
        if new_config.discovery != config.discovery {
            changes.apply_discovery(discovery_address, new_config.discovery);
        }
        changes.apply_descriptors(
            max_descriptors,
            (config.limits.sockets, new_config.limits.sockets),
        );
        changes.require_unchanged("name", config.name == new_config.name);
        changes.require_unchanged("listen", config.listen == new_config.listen);
        changes.require_unchanged("admin_addr", config.admin_addr == new_config.admin_addr);
        changes.require_unchanged(
            "settings.discovery",
            config.settings.is_pushed() == new_config.settings.is_pushed(),
        );
        changes.require_unchanged(
            "settings.policy-limits.may-probe",
            *is_probing_allowed || !new_config.settings.can_probe(),
        );
        let new_settings = new_config.settings.with_discovery_of(&config.settings);
        if new_settings != config.settings {
            let active_settings = Arc::new(settings.current().replaced_with(new_settings.clone()));
            // The core is updated first, so that it knows every class before a request of that
            // class arrives.
            core.send(CoreInput::SettingsReplaced(Arc::clone(&active_settings)));
            settings.replace(active_settings);
            changes.applied.push(format!(
                "settings ({})",
                new_settings.differing_settings(&config.settings).join(", ")
            ));
            changes.require_unchanged("settings, to the fleet", !*has_fleet);
            config.settings = new_settings;
        }
        // Fields that need a restart keep their old values, so that every reload logs them.
        (config.discovery, config.limits) = (new_config.discovery, new_config.limits);
        Ok(changes)
    }

    fn reload_operator(&mut self) -> Result<Changes, String> {
        let Reload::Operator {
            path,
            config,
            nats,
            discovery_address,
            response_limits,
            max_descriptors,
            cores,
            fleet,
            list_reloads,
        } = self
        else {
            return Ok(Changes::default());
        };
        let new_config = OperatorConfig::read(path).map_err(|errors| errors.to_string())?;
        let mut changes = Changes::default();
        changes.require_unchanged(
            "the NATS front",
            nats.is_some() == new_config.nats.is_some(),
        );
        changes.require_unchanged("admin", config.admin == new_config.admin);
        changes.require_unchanged("overrides", config.overrides == new_config.overrides);
        changes.require_unchanged("log", config.log == new_config.log);
        changes.apply_fleet(fleet.as_ref(), &mut config.fleet, new_config.fleet);
        changes.apply_admission(cores, &mut config.admission, new_config.admission);
        let (Some(new_nats), Some(nats)) = (new_config.nats, nats) else {
            return Ok(changes);
        };
        changes.apply_endpoints(
            &nats.endpoints,
            &new_nats.endpoints,
            discovery_address.as_ref(),
            || {
                *list_reloads += 1;
                if let Some((_, core)) = cores.iter().find(|(front, _)| *front == "nats") {
                    core.send_discovery(DiscoveryEvent::List(
                        new_nats.endpoints.list(1 + *list_reloads),
                    ));
                }
            },
        );
        changes.apply_descriptors(max_descriptors, (nats.sockets, new_nats.sockets));
        changes.require_unchanged("name", nats.name == new_nats.name);
        changes.require_unchanged("listen", nats.listen == new_nats.listen);
        changes.apply_response_limits(response_limits.as_ref(), &mut nats.wire, &new_nats.wire);
        changes.require_unchanged("wire", nats.wire == new_nats.wire);
        changes.require_unchanged("store", nats.store == new_nats.store);
        changes.require_unchanged("settings", nats.settings == new_nats.settings);
        if !changes.need_restart.contains(&"farm") {
            let is_new = nats.endpoints != new_nats.endpoints;
            nats.endpoints = new_nats.endpoints;
            if let Some(fleet) = fleet.as_ref().filter(|_| is_new) {
                fleet.set_endpoint_source(&nats.settings, &nats.endpoints);
            }
        }
        nats.sockets = new_nats.sockets;
        Ok(changes)
    }
}

/// Fields that differ between two versions of a file.
#[derive(Default)]
struct Changes {
    applied: Vec<String>,
    need_restart: Vec<&'static str>,
}

impl Changes {
    fn apply_discovery(&mut self, discovery_address: &DiscoveryAddress, address: SocketAddr) {
        discovery_address.set_address(address);
        self.applied.push(format!("discovery at {address}"));
    }

    fn apply_descriptors(&mut self, max_descriptors: &SharedLimit, (old, new): (usize, usize)) {
        if new != old {
            max_descriptors.store(new, Ordering::Relaxed);
            self.applied.push(format!("{new} sockets"));
        }
    }

    /// Applies the keepalive interval and the response timeout, also to established connections.
    fn apply_response_limits(
        &mut self,
        shared: Option<&SharedResponseLimits>,
        old: &mut NatsLimits,
        new: &NatsLimits,
    ) {
        let (Some(shared), applied) = (shared, old.with_response_limits_of(new)) else {
            return;
        };
        if *old == applied {
            return;
        }
        shared.replace(&applied);
        self.applied.push(format!(
            "wire.ping_after_ms {} and wire.silence_ms {}",
            applied.keepalive_interval_ms, applied.response_timeout_ms
        ));
        *old = applied;
    }

    /// Applies the discovery address or the configured servers. Switching between the two needs a
    /// restart.
    fn apply_endpoints(
        &mut self,
        old: &EndpointSource,
        new: &EndpointSource,
        discovery_address: Option<&DiscoveryAddress>,
        send_list: impl FnOnce(),
    ) {
        match (new, old, discovery_address) {
            (new, old, _) if new == old => {}
            (EndpointSource::Discovery(address), _, Some(discovery_address)) => {
                self.apply_discovery(discovery_address, *address);
            }
            (EndpointSource::Servers(_), EndpointSource::Servers(_), _) => {
                send_list();
                self.applied.push("farm".into());
            }
            _ => self.need_restart.push("farm"),
        }
    }

    /// Applies limits and shares of admission. The number of queues and of choices needs a restart.
    fn apply_admission(
        &mut self,
        cores: &[NamedCore],
        old: &mut AdmissionConfig,
        new: AdmissionConfig,
    ) {
        self.require_unchanged(
            "admission.queues",
            old.limits.queues_per_class == new.limits.queues_per_class,
        );
        self.require_unchanged(
            "admission.hand",
            old.limits.hand_size == new.limits.hand_size,
        );
        let applied = AdmissionConfig {
            limits: Limits {
                queues_per_class: old.limits.queues_per_class,
                hand_size: old.limits.hand_size,
                ..new.limits
            },
            ..new
        };
        if *old == applied {
            return;
        }
        *old = applied.clone();
        for (_, core) in cores {
            core.send(CoreInput::AdmissionConfigured(applied.clone()));
        }
        self.applied.push("admission".into());
    }

    /// Applies the peers' addresses, the uplink mode and the configuration's serial number.
    fn apply_fleet(
        &mut self,
        fleet_handle: Option<&FleetHandle>,
        old: &mut Option<FleetConfig>,
        new: Option<FleetConfig>,
    ) {
        let (Some(fleet_handle), Some(old), Some(new)) = (fleet_handle, old.as_mut(), new.as_ref())
        else {
            return self.require_unchanged("fleet", old.is_none() && new.is_none());
        };
        let mut applied = Vec::new();
        for (name, is_same) in [
            ("fleet.peers", old.peers == new.peers),
            ("edge.word", old.edge.mode == new.edge.mode),
            (
                "affinity.serial",
                old.affinity.serial == new.affinity.serial,
            ),
        ] {
            applied.extend((!is_same).then(|| name.to_owned()));
        }
        if !applied.is_empty() {
            fleet_handle.reconfigure(new.clone());
            self.applied.append(&mut applied);
        }
        old.peers.clone_from(&new.peers);
        (old.edge.mode, old.affinity.serial) = (new.edge.mode, new.affinity.serial);
        self.require_unchanged("memory", old.memory == new.memory);
        self.require_unchanged("edge", old.edge == new.edge);
        self.require_unchanged("affinity", old.affinity == new.affinity);
        self.require_unchanged("fleet", is_same_section(old, new));
    }

    fn require_unchanged(&mut self, name: &'static str, is_same: bool) {
        if !is_same {
            self.need_restart.push(name);
        }
    }
}

/// Whether the section `[fleet]` is unchanged, apart from the peers' addresses.
fn is_same_section(old: &FleetConfig, new: &FleetConfig) -> bool {
    let section_only = |config: &FleetConfig| FleetConfig {
        peers: Vec::new(),
        memory: None,
        edge: EdgeConfig::default(),
        affinity: AffinityConfig::default(),
        ..config.clone()
    };
    section_only(old) == section_only(new)
}
