//! The platform's configuration file (`LB_CONFIG`).

use std::net::SocketAddr;
use std::sync::{Arc, PoisonError, RwLock};

use beaconflow_settings::{ActiveSettings, ConfigErrors, ErrorCollector, Fields, SiteSettings};
use serde_json::Value;

use crate::discovery::ServerList;

/// Default limit on file descriptors, as documented by the platform.
const DEFAULT_SOCKETS: usize = 4096;

/// Content of the platform's configuration file.
#[derive(Clone)]
pub struct PlatformConfig {
    /// Name of this balancer, stable across restarts.
    pub name: String,
    /// Address on which clients are accepted.
    pub listen: SocketAddr,
    /// Address of discovery.
    pub discovery: SocketAddr,
    /// Address of the operations port; absent if the port is disabled.
    pub admin_addr: Option<String>,
    /// Seed of the random number generators in hexadecimal digits; different at each start.
    pub seed: String,
    /// Resource limits of the machine.
    pub limits: MachineLimits,
    /// The last known server list; empty if the file has none.
    pub cached_list: ServerList,
    /// The settings of the site.
    pub settings: SiteSettings,
}

/// Resource limits of the machine.
#[derive(Clone, Copy)]
pub struct MachineLimits {
    /// Maximum number of file descriptors.
    pub sockets: usize,
}

/// The settings in effect, shared with the front, which parses requests with them. They are
/// replaced as a whole.
#[derive(Clone)]
pub struct SharedSettings(Arc<RwLock<Arc<ActiveSettings>>>);

impl SharedSettings {
    /// Wraps the settings of the start.
    pub fn new(site_settings: SiteSettings) -> SharedSettings {
        SharedSettings(Arc::new(RwLock::new(Arc::new(ActiveSettings::new(
            site_settings,
        )))))
    }

    /// The settings in effect.
    pub fn current(&self) -> Arc<ActiveSettings> {
        // The pointer remains valid even if a thread panicked while holding the lock.
        Arc::clone(&self.0.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Replaces the settings as a whole.
    pub fn replace(&self, settings: Arc<ActiveSettings>) {
        *self.0.write().unwrap_or_else(PoisonError::into_inner) = settings;
    }
}

impl PlatformConfig {
    /// Reads the file at the path in `LB_CONFIG`.
    ///
    /// # Errors
    ///
    /// Returns an error if the variable is not set, or the file can't be read or is invalid.
    pub fn read() -> Result<PlatformConfig, String> {
        let path = std::env::var("LB_CONFIG").map_err(|error| format!("LB_CONFIG: {error}"))?;
        let text = std::fs::read(&path).map_err(|error| format!("{path}: {error}"))?;
        let value = serde_json::from_slice(&text).map_err(|error| format!("{path}: {error}"))?;
        PlatformConfig::parse(&value).map_err(|errors| format!("{path}: {errors}"))
    }

    /// Parses the content of the file. Unknown fields are ignored.
    ///
    /// # Errors
    ///
    /// Returns all errors, each with the path of its field.
    pub fn parse(value: &Value) -> Result<PlatformConfig, ConfigErrors> {
        let collector = ErrorCollector::default();
        let config = read_config(Fields::new(value, "", &collector), &collector);
        collector.finish(config)
    }

    /// Applies `LB_LISTEN` and `LB_DISCOVERY`, which override the file at the start. A reload does
    /// not apply them, since the file is then newer than the environment.
    ///
    /// # Errors
    ///
    /// Returns an error with the name of the variable that can't be parsed.
    pub fn with_environment(mut self) -> Result<PlatformConfig, String> {
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

    /// Address of the operations port, from `LB_ADMIN_ADDR` or else the file; `None` if neither has
    /// it.
    ///
    /// # Errors
    ///
    /// Returns an error if the value is not an address with a port.
    pub fn operations_address(file: Option<&PlatformConfig>) -> Result<Option<SocketAddr>, String> {
        let variable = std::env::var("LB_ADMIN_ADDR")
            .ok()
            .map(|text| ("LB_ADMIN_ADDR", text));
        let from_file = file
            .and_then(|file| file.admin_addr.clone())
            .map(|text| ("admin_addr", text));
        let Some((name, text)) = variable.or(from_file) else {
            return Ok(None);
        };
        let address = text
            .parse()
            .map_err(|_| format!("{name}: {text:?} is no address with a port"))?;
        Ok(Some(address))
    }

    /// The seed as a number; a seed that is not hexadecimal is hashed.
    pub fn seed(&self) -> u64 {
        u64::from_str_radix(&self.seed, 16)
            .unwrap_or_else(|_| beaconflow_settings::digest(&self.seed))
    }
}

fn read_config(fields: Fields<'_>, collector: &ErrorCollector) -> Option<PlatformConfig> {
    let (name, listen) = (fields.required("name"), fields.required("listen"));
    let (discovery, admin_addr) = (
        fields.required("discovery"),
        fields.optional_or_default("admin_addr"),
    );
    let (seed, cached_list) = (fields.required("seed"), cached_list(fields));
    let sockets = fields.object("limits", |limits| {
        limits.optional("sockets", DEFAULT_SOCKETS)
    });
    let settings = fields
        .required_value("settings")
        .and_then(|value| settings(value, collector));
    Some(PlatformConfig {
        name: name?,
        listen: listen?,
        discovery: discovery?,
        admin_addr: admin_addr?,
        seed: seed?,
        limits: MachineLimits { sockets: sockets? },
        cached_list: cached_list?,
        settings: settings?,
    })
}

/// Reads the cached server list. An error is reported with the path of the field within the list.
fn cached_list(fields: Fields<'_>) -> Option<ServerList> {
    let Some(value) = fields.value("known") else {
        return Some(ServerList::default());
    };
    let read = serde_path_to_error::deserialize(value);
    read.map_err(|error| {
        fields.error(
            &format!("known.{}", error.path()),
            error.inner().to_string(),
        )
    })
    .ok()
}

fn settings(value: &Value, collector: &ErrorCollector) -> Option<SiteSettings> {
    let report = |ConfigErrors(errors)| {
        errors
            .into_iter()
            .for_each(|error| collector.add(error.path, error.reason))
    };
    let site_settings = SiteSettings::read("settings", value).map_err(report).ok()?;
    // Requests select their class by name: a class without a name could never be used.
    for index in site_settings.unnamed_classes() {
        collector.add(format!("settings.lanes[{index}].name"), "is missing");
    }
    Some(site_settings)
}

#[cfg(test)]
mod tests;
