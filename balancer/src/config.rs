//! What the platform tells a balancer at its start (`LB_CONFIG`).

use std::net::SocketAddr;

use beaconflow_settings::Setup;
use serde::Deserialize;

use crate::farm::List;

/// The platform's configuration file.
#[derive(Clone, Deserialize)]
pub struct Config {
    /// This balancer's name, the same after a restart.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery listens.
    pub discovery: SocketAddr,
    /// Where the operators' staff call, if they do.
    #[serde(default)]
    pub admin_addr: Option<String>,
    /// For random numbers, in hex digits; new with each start.
    pub seed: String,
    /// What the machine allows.
    #[serde(default)]
    pub limits: Limits,
    /// The farm as this balancer last had it.
    #[serde(default)]
    pub known: List,
    /// The settings of the site.
    pub settings: Setup,
}

/// What the machine allows.
#[derive(Clone, Copy, Deserialize)]
pub struct Limits {
    /// Most file descriptors.
    #[serde(default = "usual_sockets")]
    pub sockets: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { sockets: usual_sockets() }
    }
}

fn usual_sockets() -> usize {
    4096
}

impl Config {
    /// Reads the file that `LB_CONFIG` names, as it stands now.
    pub fn read() -> Result<Config, String> {
        let path = std::env::var("LB_CONFIG").map_err(|error| format!("LB_CONFIG: {error}"))?;
        let text = std::fs::read(&path).map_err(|error| format!("{path}: {error}"))?;
        let mut json = serde_json::Deserializer::from_slice(&text);
        // The error of a value out of kind says which field it is.
        let config =
            serde_path_to_error::deserialize(&mut json).map_err(|error| format!("{path}: {error}"))?;
        json.end().map_err(|error| format!("{path}: {error}"))?;
        Ok(config)
    }

    /// What the listed variables overrule at the start. They keep what they were then: a file that is read anew
    /// is newer than they are.
    pub fn overruled(mut self) -> Result<Config, String> {
        for (variable, field) in [("LB_LISTEN", &mut self.listen), ("LB_DISCOVERY", &mut self.discovery)] {
            if let Ok(text) = std::env::var(variable) {
                *field = text.parse().map_err(|error| format!("{variable}: {error}"))?;
            }
        }
        Ok(self)
    }

    /// Where the operators' staff call: what the variable says, else what the file says, else nowhere.
    pub fn operations(file: Option<&Config>) -> Result<Option<SocketAddr>, String> {
        let variable = std::env::var("LB_ADMIN_ADDR").ok().map(|text| ("LB_ADMIN_ADDR", text));
        let listed = file.and_then(|file| file.admin_addr.clone()).map(|text| ("admin_addr", text));
        let Some((name, text)) = variable.or(listed) else { return Ok(None) };
        let address = text.parse().map_err(|_| format!("{name}: {text:?} is no address with a port"))?;
        Ok(Some(address))
    }

    /// The seed as a number; a text that is none is hashed.
    pub fn seed(&self) -> u64 {
        u64::from_str_radix(&self.seed, 16).unwrap_or_else(|_| beaconflow_settings::digest(&self.seed))
    }
}
