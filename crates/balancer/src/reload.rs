//! Reload (SIGHUP): a front's file is read anew, and what can change while the program runs is taken over.
//!
//! Standing connections feel nothing of it. A file that cannot be read, or that says what stands, changes nothing.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use tracing::{error, info, warn};

use crate::config::{Config, SharedSettings};
use beaconflow_admission::Limits;

use crate::core::{DoorConfig, Event, Handle};
use crate::farm::{News, Target};
use crate::fleet::Way;
use crate::operator::{FarmSource, Fleet, Nats, Operator};
use crate::overrides::NamedCore;

/// How many descriptors a front's connections may hold; a reload may change it.
pub type Sockets = Arc<AtomicUsize>;

/// What a front was set up from, and the ways to what can change.
pub enum Reload {
    /// The platform's front.
    Platform {
        /// Its file, as last read.
        file: Box<Config>,
        /// The watch.
        target: Target,
        /// The descriptors.
        sockets: Sockets,
        /// Its core, which takes over other settings.
        core: Handle,
        /// The settings that its front reads openings by.
        settings: SharedSettings,
        /// Servers are asked for their load, as the settings allowed at the start.
        probes: bool,
        /// A fleet is set up, which has its own part of the settings from the start.
        fleet: bool,
    },
    /// The operator's file, and the NATS front where it sets one up.
    Operator {
        /// Where the file is.
        path: PathBuf,
        /// What it said at the start; all but the NATS front takes a restart.
        others: Box<Operator>,
        /// The NATS front, as last read.
        file: Option<Box<Nats>>,
        /// The watch, where discovery is asked.
        target: Option<Target>,
        /// The front's descriptors.
        sockets: Sockets,
        /// The cores, which are told of admission; the NATS front's also of a farm that stands in the file.
        cores: Vec<NamedCore>,
        /// The fleet's thread, where a fleet is set up.
        fleet: Option<Way>,
        /// Reloads of that farm so far.
        farms: u64,
    },
}

impl Reload {
    /// Reads the file anew and takes over what can change.
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
            Err(why) => error!(part = "reload", why, "what stands is kept"),
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
        // Nothing is taken over of a file with a fault anywhere in it.
        let new = Config::read()?;
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
            *probes || !new.settings.may_probe(),
        );
        let replacing = new.settings.with_discovery_of(&file.settings);
        if replacing != file.settings {
            let in_force = Arc::new(settings.now().replaced_by(replacing.clone()));
            // The core first: it knows every class by the time that an opening of it comes.
            core.tell(Event::Settings(Arc::clone(&in_force)));
            settings.replace(in_force);
            changes.taken.push(format!(
                "settings ({})",
                replacing.differs_from(&file.settings).join(", ")
            ));
            changes.fixed("settings, to the fleet", !*fleet);
            file.settings = replacing;
        }
        // What takes a restart is told at each reload until it has had one.
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
        let read = Operator::read(path).map_err(|faults| faults.to_string())?;
        let mut changes = Changes::default();
        changes.fixed("the NATS front", file.is_some() == read.nats.is_some());
        changes.fixed("admin", others.admin == read.admin);
        changes.fixed("overrides", others.overrides == read.overrides);
        changes.fixed("log", others.log == read.log);
        changes.fleet(fleet.as_ref(), &mut others.fleet, read.fleet);
        let (old, new) = (&mut others.admission, read.admission);
        changes.fixed("admission.queues", old.limits.queues == new.limits.queues);
        changes.fixed("admission.hand", old.limits.hand == new.limits.hand);
        let taken = DoorConfig {
            limits: Limits {
                queues: old.limits.queues,
                hand: old.limits.hand,
                ..new.limits
            },
            ..new
        };
        if *old != taken {
            *old = taken.clone();
            cores
                .iter()
                .for_each(|(_, core)| core.tell(Event::Door(taken.clone())));
            changes.taken.push("admission".into());
        }
        let (Some(new), Some(file)) = (read.nats, file) else {
            return Ok(changes);
        };
        match (&new.farm, &file.farm, target) {
            (new, old, _) if new == old => {}
            (FarmSource::Discovery(discovery), _, Some(target)) => {
                changes.discovery(target, *discovery)
            }
            (FarmSource::Servers(_), FarmSource::Servers(_), _) => {
                *farms += 1;
                if let Some((_, core)) = cores.iter().find(|(front, _)| *front == "nats") {
                    core.tell_of_servers(News::List(new.farm.list(1 + *farms)));
                }
                changes.taken.push("farm".into());
            }
            _ => changes.restart.push("farm"),
        }
        changes.sockets(sockets, (file.sockets, new.sockets));
        changes.fixed("name", file.name == new.name);
        changes.fixed("listen", file.listen == new.listen);
        changes.fixed("wire", file.wire == new.wire);
        changes.fixed("store", file.store == new.store);
        changes.fixed("settings", file.settings == new.settings);
        if !changes.restart.contains(&"farm") {
            let is_new = file.farm != new.farm;
            file.farm = new.farm;
            if let Some(way) = fleet.as_ref().filter(|_| is_new) {
                way.routes(&file.settings, &file.farm);
            }
        }
        file.sockets = new.sockets;
        Ok(changes)
    }
}

/// What a file says that did not stand.
#[derive(Default)]
struct Changes {
    taken: Vec<String>,
    restart: Vec<&'static str>,
}

impl Changes {
    fn discovery(&mut self, target: &Target, to: SocketAddr) {
        target.move_to(to);
        self.taken.push(format!("discovery at {to}"));
    }

    fn sockets(&mut self, sockets: &Sockets, (old, new): (usize, usize)) {
        if new != old {
            sockets.store(new, Ordering::Relaxed);
            self.taken.push(format!("{new} sockets"));
        }
    }

    /// Addresses of peers, the operator's word on the uplink and the configuration's number are taken over.
    fn fleet(&mut self, way: Option<&Way>, old: &mut Option<Fleet>, new: Option<Fleet>) {
        let (Some(way), Some(old), Some(new)) = (way, old.as_mut(), new.as_ref()) else {
            return self.fixed("fleet", old.is_none() && new.is_none());
        };
        let mut taken = Vec::new();
        for (name, same) in [
            ("fleet.peers", old.peers == new.peers),
            ("edge.word", old.edge.word == new.edge.word),
            (
                "affinity.serial",
                old.affinity.serial == new.affinity.serial,
            ),
        ] {
            taken.extend((!same).then(|| name.to_owned()));
        }
        if !taken.is_empty() {
            way.follow(new.clone());
            self.taken.append(&mut taken);
        }
        old.peers.clone_from(&new.peers);
        (old.edge.word, old.affinity.serial) = (new.edge.word, new.affinity.serial);
        self.fixed("memory", old.memory == new.memory);
        self.fixed("edge", old.edge == new.edge);
        self.fixed("affinity", old.affinity == new.affinity);
        let of_its_own = |fleet: &Fleet| {
            let Fleet {
                name,
                site,
                listen,
                advertise,
                key_file,
                previous_key_file,
                ..
            } = fleet.clone();
            let Fleet {
                size,
                site_size,
                other_sites,
                borne,
                clients,
                ..
            } = fleet.clone();
            (
                (name, site, listen, advertise, key_file, previous_key_file),
                (size, site_size, other_sites, borne, clients),
            )
        };
        self.fixed("fleet", of_its_own(old) == of_its_own(new));
    }

    fn fixed(&mut self, name: &'static str, same: bool) {
        if !same {
            self.restart.push(name);
        }
    }
}
