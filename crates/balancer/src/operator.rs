//! The operator's file: the NATS front, the administration API, overrides, the fleet and the log.
//!
//! The file is read field by field, so that all errors are reported at once.

mod admission;
mod fleet;
mod section;

use std::cell::RefCell;
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use beaconflow_overrides::Limits as OverrideLimits;
use beaconflow_settings::SiteSettings;
use toml::Table;

use crate::core::AdmissionConfig;
use crate::discovery::{ListedServer, ServerLifecycle, ServerList};
use crate::front::MAX_SILENCE;
use crate::front::nats::framing::MAX_CONTROL_LINE_BYTES;
use crate::front::nats::limits::NatsLimits;
use crate::log::LogFormat;
use crate::overrides;
use admission::admission;
pub use fleet::{AffinityConfig, EdgeConfig, EdgeMode, FleetConfig, MemoryConfig};
use section::Section;

/// Token in the sample file, which is rejected.
const PLACEHOLDER: &str = "CHANGE-ME";
/// Minimum length of the token, in bytes.
const MIN_TOKEN_LENGTH: usize = 16;
/// Upper bound of the configurable maximum duration of an override: ten years, in seconds.
const MAX_OVERRIDE_S: u64 = 10 * 366 * 24 * 3_600;

/// Content of the operator's file.
#[derive(Clone, PartialEq)]
pub struct OperatorConfig {
    /// The NATS front, if it is configured.
    pub nats: Option<NatsConfig>,
    /// The administration API, if it is configured.
    pub admin: Option<AdminConfig>,
    /// Store and limits of overrides.
    pub overrides: overrides::OverridesConfig,
    /// Limits and shares of admission.
    pub admission: AdmissionConfig,
    /// The fleet, if it is configured.
    pub fleet: Option<FleetConfig>,
    /// Format of log lines.
    pub log: LogFormat,
}

/// Configuration of the NATS front.
#[derive(Clone, PartialEq)]
pub struct NatsConfig {
    /// Server name sent to clients.
    pub name: String,
    /// Address on which clients are accepted.
    pub listen: SocketAddr,
    /// Maximum number of file descriptors of this front.
    pub sockets: usize,
    /// Limits and timeouts of the protocol.
    pub wire: NatsLimits,
    /// The store of tenants, shared by all processes.
    pub store: StoreConfig,
    /// The NATS servers.
    pub endpoints: EndpointSource,
    /// The settings of the site.
    pub settings: SiteSettings,
}

/// Configuration of the shared store of tenants.
#[derive(Clone, PartialEq)]
pub struct StoreConfig {
    /// URL of the Redis database, as `redis://HOST:PORT/DB`.
    pub url: String,
    /// Age after which a cached tenant record is read again, in milliseconds.
    pub fresh_ms: u64,
}

/// Configuration of the administration API.
#[derive(Clone, PartialEq)]
pub struct AdminConfig {
    /// Address of its listener, always a loopback address.
    pub listen: SocketAddr,
    /// The bearer token that every request needs.
    pub token: String,
}

/// Source of the list of NATS servers.
#[derive(Clone, PartialEq)]
pub enum EndpointSource {
    /// Discovery at this address.
    Discovery(SocketAddr),
    /// A fixed list in the file.
    Servers(Vec<FixedServer>),
}

/// A NATS server listed in the file.
#[derive(Clone, PartialEq)]
pub struct FixedServer {
    /// Unique name of the server.
    pub name: String,
    /// Address for connections.
    pub address: SocketAddr,
    /// Name of its zone; empty if it has none.
    pub zone: String,
    /// Relative weight, more than 0.
    pub weight: f64,
}

/// All errors of a file, each with the path of its field. Values are not quoted, since they may be
/// secret.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigErrors(pub Vec<String>);

impl fmt::Display for ConfigErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0.join("; "))
    }
}

impl OperatorConfig {
    /// Reads and validates a file.
    ///
    /// # Errors
    ///
    /// Returns all errors, including values that would be unsafe.
    pub fn read(path: &Path) -> Result<OperatorConfig, ConfigErrors> {
        let displayed_path = path.display();
        let text = std::fs::read_to_string(path)
            .map_err(|error| ConfigErrors(vec![format!("{displayed_path}: {error}")]))?;
        OperatorConfig::parse(&text).map_err(|ConfigErrors(errors)| {
            ConfigErrors(
                errors
                    .iter()
                    .map(|error| format!("{displayed_path}: {error}"))
                    .collect(),
            )
        })
    }

    /// Parses and validates the text of a file.
    ///
    /// # Errors
    ///
    /// Returns all errors, including values that would be unsafe.
    pub fn parse(text: &str) -> Result<OperatorConfig, ConfigErrors> {
        let table: Table = text.parse().map_err(|error: toml::de::Error| {
            let line = error
                .span()
                .map_or(1, |span| 1 + text[..span.start].matches('\n').count());
            ConfigErrors(vec![format!("line {line}: not TOML")])
        })?;
        let errors = RefCell::new(Vec::new());
        let mut file = Section {
            path: String::new(),
            table,
            errors: &errors,
        };
        let operator = OperatorConfig {
            nats: nats(&mut file),
            admin: file.section("admin").and_then(admin),
            overrides: file.section("overrides").map(overrides).unwrap_or_default(),
            admission: file.section("admission").map(admission).unwrap_or_default(),
            fleet: fleet::fleet(&mut file),
            log: file.section("log").map(log).unwrap_or_default(),
        };
        file.reject_unknown_fields();
        let paths = (operator.overrides.file.as_ref(), operator.fleet.as_ref());
        if let (
            Some(overrides),
            Some(FleetConfig {
                memory: Some(memory),
                ..
            }),
        ) = paths
        {
            file.subsection("memory", Table::new()).error_if(
                "path",
                *overrides == memory.path,
                "is the same file as overrides.file",
            );
        }
        if operator.nats.is_some() && operator.admin.is_none() && errors.borrow().is_empty() {
            errors
                .borrow_mut()
                .push("admin: is missing; the NATS front needs it to manage tenants".into());
        }
        let errors = errors.into_inner();
        if errors.is_empty() {
            Ok(operator)
        } else {
            Err(ConfigErrors(errors))
        }
    }
}

fn nats(file: &mut Section<'_>) -> Option<NatsConfig> {
    let fields = [
        "name", "listen", "sockets", "wire", "store", "farm", "settings",
    ];
    if !fields.iter().any(|field| file.table.contains_key(*field)) {
        return None;
    }
    let (name, listen, sockets) = (
        file.required("name"),
        file.required("listen"),
        file.required("sockets"),
    );
    let wire = file.section("wire").map(wire).unwrap_or_default();
    let store = file.required_section("store").and_then(store);
    let endpoint_source = file.required_section("farm").and_then(read_endpoint_source);
    let settings = settings(file);
    Some(NatsConfig {
        name: name?,
        listen: listen?,
        sockets: sockets?,
        wire,
        store: store?,
        endpoints: endpoint_source?,
        settings: settings?,
    })
}

fn settings(file: &mut Section<'_>) -> Option<SiteSettings> {
    let value: serde_json::Value = file.required("settings")?;
    let read = SiteSettings::read("settings", &value);
    read.map_err(|errors| {
        errors
            .0
            .iter()
            .for_each(|error| file.error(&error.path, &error.reason))
    })
    .ok()
}

fn wire(mut section: Section<'_>) -> NatsLimits {
    let default = NatsLimits::default();
    let wire = NatsLimits {
        max_payload_bytes: section.optional("max_payload", default.max_payload_bytes),
        max_early_bytes: section.optional("most_early", default.max_early_bytes),
        handshake_timeout_ms: section.optional("connect_wait_ms", default.handshake_timeout_ms),
        keepalive_interval_ms: section.optional("ping_after_ms", default.keepalive_interval_ms),
        response_timeout_ms: section.optional("silence_ms", default.response_timeout_ms),
        store_retry_after_ms: section.optional("store_retry_ms", default.store_retry_after_ms),
    };
    section.error_if(
        "most_early",
        wire.max_early_bytes < MAX_CONTROL_LINE_BYTES,
        "is less than the maximum length of a control line",
    );
    section.error_if(
        "silence_ms",
        wire.response_timeout_ms == 0,
        "must be at least 1",
    );
    let most = MAX_SILENCE.as_millis();
    let reason = format!("is more than {most} together with ping_after_ms");
    section.error_if("silence_ms", !wire.is_detection_in_time(), &reason);
    section.reject_unknown_fields();
    wire
}

fn store(mut section: Section<'_>) -> Option<StoreConfig> {
    let url: Option<String> = section.required("url");
    let is_invalid = url
        .as_deref()
        .is_some_and(|url| redis::Client::open(url).is_err());
    section.error_if(
        "url",
        is_invalid,
        "must be a URL of the form redis://HOST:PORT/DB",
    );
    let fresh_ms = section.optional("fresh_ms", 5_000);
    section.reject_unknown_fields();
    Some(StoreConfig {
        url: url?,
        fresh_ms,
    })
}

fn admin(mut section: Section<'_>) -> Option<AdminConfig> {
    let (listen, token) = (section.required("listen"), section.required("token"));
    let is_not_loopback = listen.is_some_and(|listen: SocketAddr| !listen.ip().is_loopback());
    section.error_if("listen", is_not_loopback, "is not a loopback address");
    let is_weak = |token: &String| token == PLACEHOLDER || token.len() < MIN_TOKEN_LENGTH;
    section.error_if(
        "token",
        token.as_ref().is_some_and(is_weak),
        "is the token of the sample file or shorter than 16 bytes",
    );
    section.reject_unknown_fields();
    Some(AdminConfig {
        listen: listen?,
        token: token?,
    })
}

fn read_endpoint_source(mut section: Section<'_>) -> Option<EndpointSource> {
    let discovery = section.table.contains_key("discovery");
    if discovery == section.table.contains_key("servers") {
        section.error_if(
            "discovery",
            true,
            "needs exactly one of discovery and servers",
        );
        return None;
    }
    let source = if discovery {
        section.required("discovery").map(EndpointSource::Discovery)
    } else {
        let servers: Option<Vec<Table>> = section.required("servers");
        let tables = servers.into_iter().flatten().enumerate();
        let parsed: Vec<Option<FixedServer>> = tables
            .map(|(index, table)| server(section.subsection(&format!("servers[{index}]"), table)))
            .collect();
        let servers: Option<Vec<FixedServer>> = parsed.into_iter().collect();
        servers.map(EndpointSource::Servers)
    };
    section.reject_unknown_fields();
    source
}

fn server(mut section: Section<'_>) -> Option<FixedServer> {
    let (name, address) = (section.required("name"), section.required("address"));
    let (zone, weight) = (
        section.optional("zone", String::new()),
        section.optional("weight", 1.0),
    );
    section.error_if(
        "weight",
        !(weight > 0.0 && f64::is_finite(weight)),
        "must be finite and more than 0",
    );
    section.reject_unknown_fields();
    Some(FixedServer {
        name: name?,
        address: address?,
        zone,
        weight,
    })
}

fn overrides(mut section: Section<'_>) -> overrides::OverridesConfig {
    let default = OverrideLimits::default();
    let file: Option<PathBuf> = section
        .table
        .contains_key("file")
        .then(|| section.required("file"))
        .flatten();
    let max_duration_s: u64 = section.optional("longest_s", default.max_duration_ms / 1_000);
    let max_count = section.optional("most", default.max_count);
    let ramp_s: f64 = section.optional("ramp_s", default.ramp_ms as f64 / 1e3);
    section.error_if(
        "longest_s",
        !(1..=MAX_OVERRIDE_S).contains(&max_duration_s),
        "must be from 1 s to ten years",
    );
    section.error_if("most", max_count == 0, "must be at least 1");
    section.error_if(
        "ramp_s",
        !(0.0..=3_600.0).contains(&ramp_s),
        "must be from 0 to 3600",
    );
    section.reject_unknown_fields();
    let limits = OverrideLimits {
        max_duration_ms: max_duration_s.saturating_mul(1_000),
        max_count,
        ramp_ms: (ramp_s * 1e3) as u64,
    };
    overrides::OverridesConfig { file, limits }
}

fn log(mut section: Section<'_>) -> LogFormat {
    let format: String = section.optional("form", "text".to_owned());
    section.error_if(
        "form",
        !matches!(format.as_str(), "text" | "json"),
        "must be text or json",
    );
    section.reject_unknown_fields();
    if format == "json" {
        LogFormat::Json
    } else {
        LogFormat::Text
    }
}

impl EndpointSource {
    /// The servers in the file as a list with this generation; empty if discovery is the source.
    pub fn list(&self, generation: u64) -> ServerList {
        let EndpointSource::Servers(servers) = self else {
            return ServerList::default();
        };
        let listed = |server: &FixedServer| ListedServer {
            machine_type: String::new(),
            instance_id: server.name.clone(),
            host_port: Some(server.address),
            zone: server.zone.clone(),
            cell: 0,
            lifecycle: ServerLifecycle::Serving,
            weight: server.weight,
            started_at_ms: 0,
        };
        ServerList {
            generation,
            reset: true,
            instances: servers.iter().map(listed).collect(),
        }
    }
}
