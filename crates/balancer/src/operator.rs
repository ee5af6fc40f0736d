//! The operator's file: the NATS front, the administration API, overrides, the fleet and the log.
//!
//! It is read field by field, so that all errors are reported at once.

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
use crate::front::nats::framing::MAX_CONTROL_LINE_BYTES;
use crate::front::nats::limits::NatsLimits;
use crate::log::LogFormat;
use crate::overrides;
use admission::admission;
pub use fleet::{AffinityConfig, EdgeConfig, EdgeMode, FleetConfig, MemoryConfig};
use section::Section;

/// The token or password of the sample file, which is refused.
const PLACEHOLDER: &str = "CHANGE-ME";
/// Least length of the token.
const MIN_TOKEN_LENGTH: usize = 16;
/// Longest override that may be granted: ten years, in seconds.
const MAX_OVERRIDE_S: u64 = 10 * 366 * 24 * 3_600;

/// The operator's configuration.
#[derive(Clone, PartialEq)]
pub struct OperatorConfig {
    /// The NATS front, if it is configured.
    pub nats: Option<NatsConfig>,
    /// The administration API, if it is configured.
    pub admin: Option<AdminConfig>,
    /// Overrides.
    pub overrides: overrides::OverridesConfig,
    /// Admission.
    pub admission: AdmissionConfig,
    /// The fleet, if it is configured.
    pub fleet: Option<FleetConfig>,
    /// Format of the log.
    pub log: LogFormat,
}

/// The NATS front.
#[derive(Clone, PartialEq)]
pub struct NatsConfig {
    /// Name shown to clients.
    pub name: String,
    /// Address for clients.
    pub listen: SocketAddr,
    /// Most file descriptors of this front.
    pub sockets: usize,
    /// Limits of the protocol.
    pub wire: NatsLimits,
    /// The shared store of tenants.
    pub store: StoreConfig,
    /// The NATS servers.
    pub endpoints: EndpointSource,
    /// The settings of the site.
    pub settings: SiteSettings,
}

/// The shared store of tenants.
#[derive(Clone, PartialEq)]
pub struct StoreConfig {
    /// Redis, as `redis://HOST:PORT/DB`.
    pub url: String,
    /// Age after which a tenant's record is read again, in milliseconds.
    pub fresh_ms: u64,
}

/// The administration API.
#[derive(Clone, PartialEq)]
pub struct AdminConfig {
    /// Its loopback address.
    pub listen: SocketAddr,
    /// The bearer token.
    pub token: String,
}

/// Where the NATS servers come from.
#[derive(Clone, PartialEq)]
pub enum EndpointSource {
    /// From discovery.
    Discovery(SocketAddr),
    /// From the file.
    Servers(Vec<FixedServer>),
}

/// A NATS server in the file.
#[derive(Clone, PartialEq)]
pub struct FixedServer {
    /// Name.
    pub name: String,
    /// Address.
    pub address: SocketAddr,
    /// Name of its zone.
    pub zone: String,
    /// Weight.
    pub weight: f64,
}

/// All errors of a file, each with its field. Values are not quoted, since they may be secret.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigErrors(pub Vec<String>);

impl fmt::Display for ConfigErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0.join("; "))
    }
}

impl OperatorConfig {
    /// Reads a file.
    ///
    /// # Errors
    ///
    /// Reports all errors, including values that would be unsafe.
    pub fn read(path: &Path) -> Result<OperatorConfig, ConfigErrors> {
        let shown = path.display();
        let text = std::fs::read_to_string(path)
            .map_err(|error| ConfigErrors(vec![format!("{shown}: {error}")]))?;
        OperatorConfig::parse(&text).map_err(|ConfigErrors(faults)| {
            ConfigErrors(
                faults
                    .iter()
                    .map(|fault| format!("{shown}: {fault}"))
                    .collect(),
            )
        })
    }

    /// Reads a file's text.
    ///
    /// # Errors
    ///
    /// Reports all errors, including values that would be unsafe.
    pub fn parse(text: &str) -> Result<OperatorConfig, ConfigErrors> {
        let table: Table = text.parse().map_err(|error: toml::de::Error| {
            let line = error
                .span()
                .map_or(1, |span| 1 + text[..span.start].matches('\n').count());
            ConfigErrors(vec![format!("line {line}: not TOML")])
        })?;
        let faults = RefCell::new(Vec::new());
        let mut file = Section {
            path: String::new(),
            table,
            faults: &faults,
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
                "is overrides.file too",
            );
        }
        if operator.nats.is_some() && operator.admin.is_none() && faults.borrow().is_empty() {
            faults
                .borrow_mut()
                .push("admin: is missing; the NATS front's tenants are kept through it".into());
        }
        let faults = faults.into_inner();
        if faults.is_empty() {
            Ok(operator)
        } else {
            Err(ConfigErrors(faults))
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
    read.map_err(|faults| {
        faults
            .0
            .iter()
            .for_each(|fault| file.error(&fault.path, &fault.reason))
    })
    .ok()
}

fn wire(mut section: Section<'_>) -> NatsLimits {
    let usual = NatsLimits::default();
    let wire = NatsLimits {
        max_payload_bytes: section.optional("max_payload", usual.max_payload_bytes),
        max_early_bytes: section.optional("most_early", usual.max_early_bytes),
        handshake_timeout_ms: section.optional("connect_wait_ms", usual.handshake_timeout_ms),
        keepalive_interval_ms: section.optional("ping_after_ms", usual.keepalive_interval_ms),
        response_timeout_ms: section.optional("silence_ms", usual.response_timeout_ms),
        store_retry_after_ms: section.optional("store_retry_ms", usual.store_retry_after_ms),
    };
    section.error_if(
        "most_early",
        wire.max_early_bytes < MAX_CONTROL_LINE_BYTES,
        "does not hold a control line",
    );
    section.reject_unknown_fields();
    wire
}

fn store(mut section: Section<'_>) -> Option<StoreConfig> {
    let url: Option<String> = section.required("url");
    let bad = url
        .as_deref()
        .is_some_and(|url| redis::Client::open(url).is_err());
    section.error_if("url", bad, "redis://HOST:PORT/DB");
    let fresh_ms = section.optional("fresh_ms", 5_000);
    section.reject_unknown_fields();
    Some(StoreConfig {
        url: url?,
        fresh_ms,
    })
}

fn admin(mut section: Section<'_>) -> Option<AdminConfig> {
    let (listen, token) = (section.required("listen"), section.required("token"));
    let open = listen.is_some_and(|listen: SocketAddr| !listen.ip().is_loopback());
    section.error_if("listen", open, "is not a loopback address");
    let weak = |token: &String| token == PLACEHOLDER || token.len() < MIN_TOKEN_LENGTH;
    section.error_if(
        "token",
        token.as_ref().is_some_and(weak),
        "is the sample's or shorter than 16 characters",
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
        section.error_if("discovery", true, "either discovery or servers");
        return None;
    }
    let source = if discovery {
        section.required("discovery").map(EndpointSource::Discovery)
    } else {
        let servers: Option<Vec<Table>> = section.required("servers");
        let path_of = servers.into_iter().flatten().enumerate();
        let read: Vec<Option<FixedServer>> = path_of
            .map(|(at, table)| server(section.subsection(&format!("servers[{at}]"), table)))
            .collect();
        let servers: Option<Vec<FixedServer>> = read.into_iter().collect();
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
        "more than 0",
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
    let usual = OverrideLimits::default();
    let file: Option<PathBuf> = section
        .table
        .contains_key("file")
        .then(|| section.required("file"))
        .flatten();
    let longest_s: u64 = section.optional("longest_s", usual.max_duration_ms / 1_000);
    let most = section.optional("most", usual.max_count);
    let ramp_s: f64 = section.optional("ramp_s", usual.ramp_ms as f64 / 1e3);
    section.error_if(
        "longest_s",
        !(1..=MAX_OVERRIDE_S).contains(&longest_s),
        "from 1 s to ten years",
    );
    section.error_if("most", most == 0, "at least 1");
    section.error_if(
        "ramp_s",
        !(0.0..=3_600.0).contains(&ramp_s),
        "from 0 to 3600",
    );
    section.reject_unknown_fields();
    let limits = OverrideLimits {
        max_duration_ms: longest_s.saturating_mul(1_000),
        max_count: most,
        ramp_ms: (ramp_s * 1e3) as u64,
    };
    overrides::OverridesConfig { file, limits }
}

fn log(mut section: Section<'_>) -> LogFormat {
    let form: String = section.optional("form", "text".to_owned());
    section.error_if(
        "form",
        !matches!(form.as_str(), "text" | "json"),
        "text or json",
    );
    section.reject_unknown_fields();
    if form == "json" {
        LogFormat::Json
    } else {
        LogFormat::Text
    }
}

impl EndpointSource {
    /// The servers in the file; empty where discovery is used.
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
