//! What the platform tells a balancer at its start (`LB_CONFIG`), and again with a new file while it runs.

use std::net::SocketAddr;
use std::sync::{Arc, PoisonError, RwLock};

use beaconflow_settings::{Faults, Fields, InForce, Met, Setup};
use serde_json::Value;

use crate::farm::List;

/// Most file descriptors where the file says nothing of them: what the platform's own page shows.
const USUAL_SOCKETS: usize = 4096;

/// The platform's configuration file.
#[derive(Clone)]
pub struct Config {
    /// This balancer's name, the same after a restart.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery listens.
    pub discovery: SocketAddr,
    /// Where the operators' staff call, if they do.
    pub admin_addr: Option<String>,
    /// For random numbers, in hex digits; new with each start.
    pub seed: String,
    /// What the machine allows.
    pub limits: Limits,
    /// The farm as this balancer last had it.
    pub known: List,
    /// The settings of the site.
    pub settings: Setup,
}

/// What the machine allows.
#[derive(Clone, Copy)]
pub struct Limits {
    /// Most file descriptors.
    pub sockets: usize,
}

/// The settings in force, as the front reads openings by them. A new file replaces them as a whole.
#[derive(Clone)]
pub struct SharedSettings(Arc<RwLock<Arc<InForce>>>);

impl SharedSettings {
    /// The first settings of a process.
    pub fn new(setup: Setup) -> SharedSettings {
        SharedSettings(Arc::new(RwLock::new(Arc::new(InForce::new(setup)))))
    }

    /// Those in force at this moment.
    pub fn now(&self) -> Arc<InForce> {
        // A pointer is sound at every moment, whoever panicked.
        Arc::clone(&self.0.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Others are in force from now on.
    pub fn replace(&self, by: Arc<InForce>) {
        *self.0.write().unwrap_or_else(PoisonError::into_inner) = by;
    }
}

impl Config {
    /// Reads the file that `LB_CONFIG` names, as it stands now.
    pub fn read() -> Result<Config, String> {
        let path = std::env::var("LB_CONFIG").map_err(|error| format!("LB_CONFIG: {error}"))?;
        let text = std::fs::read(&path).map_err(|error| format!("{path}: {error}"))?;
        let value = serde_json::from_slice(&text).map_err(|error| format!("{path}: {error}"))?;
        Config::of(&value).map_err(|faults| format!("{path}: {faults}"))
    }

    /// Reads the object that the file holds; all its faults are reported at once, each with its path.
    pub fn of(value: &Value) -> Result<Config, Faults> {
        let met = Met::default();
        let config = config(Fields::of(value, "", &met), &met);
        met.or(config)
    }

    /// What the listed variables overrule at the start. They keep what they were then: a file that is read anew
    /// is newer than they are.
    pub fn overruled(mut self) -> Result<Config, String> {
        for (variable, field) in [
            ("LB_LISTEN", &mut self.listen),
            ("LB_DISCOVERY", &mut self.discovery),
        ] {
            if let Ok(text) = std::env::var(variable) {
                *field = text
                    .parse()
                    .map_err(|error| format!("{variable}: {error}"))?;
            }
        }
        Ok(self)
    }

    /// Where the operators' staff call: what the variable says, else what the file says, else nowhere.
    pub fn operations(file: Option<&Config>) -> Result<Option<SocketAddr>, String> {
        let variable = std::env::var("LB_ADMIN_ADDR")
            .ok()
            .map(|text| ("LB_ADMIN_ADDR", text));
        let listed = file
            .and_then(|file| file.admin_addr.clone())
            .map(|text| ("admin_addr", text));
        let Some((name, text)) = variable.or(listed) else {
            return Ok(None);
        };
        let address = text
            .parse()
            .map_err(|_| format!("{name}: {text:?} is no address with a port"))?;
        Ok(Some(address))
    }

    /// The seed as a number; a text that is none is hashed.
    pub fn seed(&self) -> u64 {
        u64::from_str_radix(&self.seed, 16)
            .unwrap_or_else(|_| beaconflow_settings::digest(&self.seed))
    }
}

fn config(fields: Fields<'_>, met: &Met) -> Option<Config> {
    let (name, listen) = (fields.need("name"), fields.need("listen"));
    let (discovery, admin_addr) = (fields.need("discovery"), fields.or_default("admin_addr"));
    let (seed, known) = (fields.need("seed"), known(fields));
    let sockets = fields.inner("limits", |limits| limits.or("sockets", USUAL_SOCKETS));
    let settings = fields
        .needed_value("settings")
        .and_then(|value| settings(value, met));
    Some(Config {
        name: name?,
        listen: listen?,
        discovery: discovery?,
        admin_addr: admin_addr?,
        seed: seed?,
        limits: Limits { sockets: sockets? },
        known: known?,
        settings: settings?,
    })
}

/// The list of servers; its one fault is reported with the path in it.
fn known(fields: Fields<'_>) -> Option<List> {
    let Some(value) = fields.value("known") else {
        return Some(List::default());
    };
    let read = serde_path_to_error::deserialize(value);
    read.map_err(|error| {
        fields.fault(
            &format!("known.{}", error.path()),
            error.inner().to_string(),
        )
    })
    .ok()
}

fn settings(value: &Value, met: &Met) -> Option<Setup> {
    let tell = |Faults(faults)| {
        faults
            .into_iter()
            .for_each(|fault| met.add(fault.path, fault.why))
    };
    let setup = Setup::read("settings", value).map_err(tell).ok()?;
    // A client names its class, so that one without a name would never be met.
    for at in setup.nameless() {
        met.add(format!("settings.lanes[{at}].name"), "is missing");
    }
    Some(setup)
}

#[cfg(test)]
mod tests;
