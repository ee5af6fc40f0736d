//! Reload on SIGHUP: a file is read again, and what can change at runtime is applied.
//!
//! Established connections are not affected. A file with an error changes nothing.

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
use crate::operator::{
    AffinityConfig, EdgeConfig, EndpointSource, FleetConfig, NatsConfig, OperatorConfig,
};
use crate::overrides::NamedCore;

/// A limit on descriptors that a reload may change.
pub type SharedLimit = Arc<AtomicUsize>;

/// What a front was started from, and handles to what can change.
pub enum Reload {
    /// The platform's front.
    Platform {
        /// The file as last read.
        file: Box<PlatformConfig>,
        /// The address of the watch.
        target: DiscoveryAddress,
        /// The limit on descriptors.
        sockets: SharedLimit,
        /// The core.
        core: CoreHandle,
        /// The settings that the front parses requests by.
        settings: SharedSettings,
        /// Whether servers may be probed, as at the start.
        probes: bool,
        /// Whether a fleet is configured, which keeps its settings from the start.
        fleet: bool,
    },
    /// The operator's file, with the NATS front if there is one.
    Operator {
        /// Path of the file.
        path: PathBuf,
        /// The file at the start; only the NATS front is compared with the latest one.
        others: Box<OperatorConfig>,
        /// The NATS front as last read.
        file: Option<Box<NatsConfig>>,
        /// The address of the watch, where there is one.
        target: Option<DiscoveryAddress>,
        /// The limit on descriptors.
        sockets: SharedLimit,
        /// The cores.
        cores: Vec<NamedCore>,
        /// The fleet thread, where a fleet is configured.
        fleet: Option<FleetHandle>,
        /// Number of reloads of configured endpoints.
        farms: u64,
    },
}

impl Reload {
    /// Reads the file again and applies what can change.
    pub fn reload(&mut self) {
        let changed = match self {
            Reload::Platform { .. } => self.platform(),
            Reload::Operator { .. } => self.operator(),
        };
        match changed {
            Ok(Changes { taken, restart }) if taken.is_empty() && restart.is_empty() => {
                info!(part = "reload", "nothing has changed");
            }
            Ok(Changes { taken, restart }) => {
                if !taken.is_empty() {
                    info!(part = "reload", what = taken.join(", "), "taken over");
                }
                if !restart.is_empty() {
                    warn!(
                        part = "reload",
                        what = restart.join(", "),
                        "takes a restart, kept as it was"
                    );
                }
            }
            Err(why) => error!(part = "reload", why, "present configuration kept"),
        }
    }

    fn platform(&mut self) -> Result<Changes, String> {
        let Reload::Platform {
            file,
            target,
            sockets,
            core,
            settings,
            probes,
            fleet,
        } = self
        else {
            return Ok(Changes::default());
        };
        // A file with any error changes nothing.
        let new = PlatformConfig::read()?;
        let mut changes = Changes::default();
        if new.discovery != file.discovery {
            changes.discovery(target, new.discovery);
        }
        changes.sockets(sockets, (file.limits.sockets, new.limits.sockets));
        changes.fixed("name", file.name == new.name);
        changes.fixed("listen", file.listen == new.listen);
        changes.fixed("admin_addr", file.admin_addr == new.admin_addr);
        changes.fixed(
            "settings.discovery",
            file.settings.is_pushed() == new.settings.is_pushed(),
        );
        changes.fixed(
            "settings.policy-limits.may-probe",
            *probes || !new.settings.can_probe(),
        );
        let replacing = new.settings.with_discovery_of(&file.settings);
        if replacing != file.settings {
            let in_force = Arc::new(settings.current().replaced_with(replacing.clone()));
            // The core first: it knows every class before a request of it arrives.
            core.send(CoreInput::SettingsReplaced(Arc::clone(&in_force)));
            settings.replace(in_force);
            changes.taken.push(format!(
                "settings ({})",
                replacing.differing_settings(&file.settings).join(", ")
            ));
            changes.fixed("settings, to the fleet", !*fleet);
            file.settings = replacing;
        }
        // What needs a restart is logged at each reload.
        (file.discovery, file.limits) = (new.discovery, new.limits);
        Ok(changes)
    }

    fn operator(&mut self) -> Result<Changes, String> {
        let Reload::Operator {
            path,
            others,
            file,
            target,
            sockets,
            cores,
            fleet,
            farms,
        } = self
        else {
            return Ok(Changes::default());
        };
        let read = OperatorConfig::read(path).map_err(|faults| faults.to_string())?;
        let mut changes = Changes::default();
        changes.fixed("the NATS front", file.is_some() == read.nats.is_some());
        changes.fixed("admin", others.admin == read.admin);
        changes.fixed("overrides", others.overrides == read.overrides);
        changes.fixed("log", others.log == read.log);
        changes.fleet(fleet.as_ref(), &mut others.fleet, read.fleet);
        changes.admission(cores, &mut others.admission, read.admission);
        let (Some(new), Some(file)) = (read.nats, file) else {
            return Ok(changes);
        };
        changes.endpoints(&file.endpoints, &new.endpoints, target.as_ref(), || {
            *farms += 1;
            if let Some((_, core)) = cores.iter().find(|(front, _)| *front == "nats") {
                core.send_discovery(DiscoveryEvent::List(new.endpoints.list(1 + *farms)));
            }
        });
        changes.sockets(sockets, (file.sockets, new.sockets));
        changes.fixed("name", file.name == new.name);
        changes.fixed("listen", file.listen == new.listen);
        changes.fixed("wire", file.wire == new.wire);
        changes.fixed("store", file.store == new.store);
        changes.fixed("settings", file.settings == new.settings);
        if !changes.restart.contains(&"farm") {
            let is_new = file.endpoints != new.endpoints;
            file.endpoints = new.endpoints;
            if let Some(fleet) = fleet.as_ref().filter(|_| is_new) {
                fleet.set_endpoint_source(&file.settings, &file.endpoints);
            }
        }
        file.sockets = new.sockets;
        Ok(changes)
    }
}

/// Differences between two files.
#[derive(Default)]
struct Changes {
    taken: Vec<String>,
    restart: Vec<&'static str>,
}

impl Changes {
    fn discovery(&mut self, target: &DiscoveryAddress, to: SocketAddr) {
        target.set_address(to);
        self.taken.push(format!("discovery at {to}"));
    }

    fn sockets(&mut self, sockets: &SharedLimit, (old, new): (usize, usize)) {
        if new != old {
            sockets.store(new, Ordering::Relaxed);
            self.taken.push(format!("{new} sockets"));
        }
    }

    /// Applies the address of discovery, or the configured servers. A change from one to the other
    /// takes a restart.
    fn endpoints(
        &mut self,
        old: &EndpointSource,
        new: &EndpointSource,
        target: Option<&DiscoveryAddress>,
        send_list: impl FnOnce(),
    ) {
        match (new, old, target) {
            (new, old, _) if new == old => {}
            (EndpointSource::Discovery(discovery), _, Some(target)) => {
                self.discovery(target, *discovery);
            }
            (EndpointSource::Servers(_), EndpointSource::Servers(_), _) => {
                send_list();
                self.taken.push("farm".into());
            }
            _ => self.restart.push("farm"),
        }
    }

    /// Applies the limits and quotas of admission; the queues keep their number.
    fn admission(&mut self, cores: &[NamedCore], old: &mut AdmissionConfig, new: AdmissionConfig) {
        self.fixed(
            "admission.queues",
            old.limits.queues_per_class == new.limits.queues_per_class,
        );
        self.fixed(
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
        self.taken.push("admission".into());
    }

    /// Applies the addresses of peers, the uplink mode and the serial number.
    fn fleet(
        &mut self,
        handle: Option<&FleetHandle>,
        old: &mut Option<FleetConfig>,
        new: Option<FleetConfig>,
    ) {
        let (Some(handle), Some(old), Some(new)) = (handle, old.as_mut(), new.as_ref()) else {
            return self.fixed("fleet", old.is_none() && new.is_none());
        };
        let mut taken = Vec::new();
        for (name, same) in [
            ("fleet.peers", old.peers == new.peers),
            ("edge.word", old.edge.mode == new.edge.mode),
            (
                "affinity.serial",
                old.affinity.serial == new.affinity.serial,
            ),
        ] {
            taken.extend((!same).then(|| name.to_owned()));
        }
        if !taken.is_empty() {
            handle.reconfigure(new.clone());
            self.taken.append(&mut taken);
        }
        old.peers.clone_from(&new.peers);
        (old.edge.mode, old.affinity.serial) = (new.edge.mode, new.affinity.serial);
        self.fixed("memory", old.memory == new.memory);
        self.fixed("edge", old.edge == new.edge);
        self.fixed("affinity", old.affinity == new.affinity);
        self.fixed("fleet", is_same_section(old, new));
    }

    fn fixed(&mut self, name: &'static str, same: bool) {
        if !same {
            self.restart.push(name);
        }
    }
}

/// Whether the section `[fleet]` is the same, apart from the peers' addresses.
fn is_same_section(old: &FleetConfig, new: &FleetConfig) -> bool {
    let only_section = |config: &FleetConfig| FleetConfig {
        peers: Vec::new(),
        memory: None,
        edge: EdgeConfig::default(),
        affinity: AffinityConfig::default(),
        ..config.clone()
    };
    only_section(old) == only_section(new)
}
