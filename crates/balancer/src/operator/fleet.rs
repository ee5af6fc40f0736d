//! The sections `[fleet]`, `[memory]`, `[edge]` and `[affinity]`. The others have no effect without
//! `[fleet]`.

mod processes;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use super::section::Section;
use processes::processes;

const SECONDS_PER_HOUR: f64 = 3_600.0;

/// Configuration of the fleet, as this process sees it.
#[derive(Clone, PartialEq)]
pub struct FleetConfig {
    /// Unique name of this process, stable across restarts.
    pub name: String,
    /// Site of this process.
    pub site: String,
    /// Loopback address on which datagrams are received.
    pub listen: SocketAddr,
    /// Loopback address to which peers send, if it differs from `listen`.
    pub advertise: Option<SocketAddr>,
    /// File with the key that authenticates datagrams.
    pub key_file: PathBuf,
    /// File with the previous key, which is accepted during a key rotation.
    pub previous_key_file: Option<PathBuf>,
    /// Addresses of the peers; may include this process.
    pub peers: Vec<SocketAddr>,
    /// Number of processes in all sites.
    pub size: usize,
    /// Number of processes in this site.
    pub site_size: usize,
    /// The other sites.
    pub other_sites: Vec<String>,
    /// Clients per second that a warm server of weight 1 can accept. Setting it enables staged
    /// admission after a power loss.
    pub clients_per_server_s: Option<f64>,
    /// Tolerance of the servers' overload limit N for random variation: with a margin m a server is
    /// overloaded beyond N + m * (sqrt(N) + 1) clients.
    pub overload_margin: f64,
    /// Expected number of clients of the whole fleet, used while no other source provides it; 0 if
    /// unknown.
    pub clients: u32,
    /// The stored memory, if it is configured.
    pub memory: Option<MemoryConfig>,
    /// Behaviour while the uplink is lost.
    pub edge: EdgeConfig,
    /// Session affinity.
    pub affinity: AffinityConfig,
}

/// Configuration of the stored memory, which survives restarts.
#[derive(Clone, Debug, PartialEq)]
pub struct MemoryConfig {
    /// File of the memory.
    pub path: PathBuf,
    /// Largest size of the file, in bytes.
    pub max_bytes: u64,
}

/// Configuration of the behaviour while the uplink is lost.
#[derive(Clone, Debug, PartialEq)]
pub struct EdgeConfig {
    /// Whether the uplink is monitored.
    pub is_enabled: bool,
    /// Time without an uplink after which the site is isolated.
    pub isolation_delay: Duration,
    /// Time for which an isolated site trusts the last known state.
    pub trust_period: Duration,
    /// Mode set by the operator.
    pub mode: EdgeMode,
}

/// Uplink mode set by the operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EdgeMode {
    /// The state of the uplink is decided by evidence.
    Automatic,
    /// The uplink is treated as lost.
    Isolated,
    /// The uplink is treated as available.
    Linked,
}

/// Configuration of session affinity.
#[derive(Clone, Debug, PartialEq)]
pub struct AffinityConfig {
    /// Whether session affinity is enabled.
    pub is_enabled: bool,
    /// Maximum number of remembered placements.
    pub max_placements: usize,
    /// Time for which a placement is remembered after its connection has ended.
    pub retention: Duration,
    /// Serial number of the configuration; a newer configuration has a higher one.
    pub serial: u64,
}

impl Default for EdgeConfig {
    fn default() -> EdgeConfig {
        let hours = |count: u64| Duration::from_secs(count * 3_600);
        EdgeConfig {
            is_enabled: true,
            isolation_delay: Duration::from_secs(5),
            trust_period: hours(24),
            mode: EdgeMode::Automatic,
        }
    }
}

impl Default for AffinityConfig {
    fn default() -> AffinityConfig {
        AffinityConfig {
            is_enabled: true,
            max_placements: 1_000_000,
            retention: Duration::from_secs(900),
            serial: 1,
        }
    }
}

/// Reads the four sections. The others are rejected without `[fleet]`.
pub(super) fn fleet(file: &mut Section<'_>) -> Option<FleetConfig> {
    let section = file.section("fleet");
    let is_unused = section.is_none()
        && file
            .errors
            .borrow()
            .iter()
            .all(|error| !error.starts_with("fleet"));
    for other in ["memory", "edge", "affinity"] {
        file.error_if(
            other,
            is_unused && file.table.contains_key(other),
            "has no effect without [fleet]",
        );
    }
    let memory = file.section("memory");
    let has_memory_section = memory.is_some();
    let memory = memory.and_then(self::memory);
    let edge = file.section("edge").map(edge).unwrap_or_default();
    let affinity = file.section("affinity").map(affinity).unwrap_or_default();
    let fleet = processes(section?)?;
    (memory.is_some() == has_memory_section).then_some(FleetConfig {
        memory,
        edge,
        affinity,
        ..fleet
    })
}

fn memory(mut section: Section<'_>) -> Option<MemoryConfig> {
    let path: Option<PathBuf> = section.required("path");
    let lacks_file_name = path.as_ref().is_some_and(|path| path.file_name().is_none());
    section.error_if("path", lacks_file_name, "has no file name");
    let max_mb: u64 = section.optional("most_mb", 256);
    section.error_if(
        "most_mb",
        !(1..=16_384).contains(&max_mb),
        "must be from 1 to 16384",
    );
    section.reject_unknown_fields();
    Some(MemoryConfig {
        path: path?,
        max_bytes: max_mb.saturating_mul(1 << 20),
    })
}

fn edge(mut section: Section<'_>) -> EdgeConfig {
    let default = EdgeConfig::default();
    let is_enabled = section.optional("on", default.is_enabled);
    let isolation_delay = duration(
        &mut section,
        ("patience_s", 1.0),
        default.isolation_delay,
        0.5..=3_600.0,
    );
    let trust_period = duration(
        &mut section,
        ("trust_h", SECONDS_PER_HOUR),
        default.trust_period,
        0.01..=744.0,
    );
    let mode = match section.optional("word", "automatic".to_owned()).as_str() {
        "automatic" => EdgeMode::Automatic,
        "island" => EdgeMode::Isolated,
        "linked" => EdgeMode::Linked,
        _ => {
            section.error("word", "must be automatic, island or linked");
            default.mode
        }
    };
    section.reject_unknown_fields();
    EdgeConfig {
        is_enabled,
        isolation_delay,
        trust_period,
        mode,
    }
}

fn affinity(mut section: Section<'_>) -> AffinityConfig {
    let default = AffinityConfig::default();
    let is_enabled = section.optional("on", default.is_enabled);
    let max_placements = section.optional("most", default.max_placements);
    section.error_if(
        "most",
        !(1..=4_000_000).contains(&max_placements),
        "must be from 1 to 4000000",
    );
    let retention = duration(
        &mut section,
        ("keep_s", 1.0),
        default.retention,
        1.0..=604_800.0,
    );
    let serial = section.optional("serial", default.serial);
    section.error_if("serial", serial == 0, "must be at least 1");
    section.reject_unknown_fields();
    AffinityConfig {
        is_enabled,
        max_placements,
        retention,
        serial,
    }
}

/// Reads a duration that is given in a unit of `unit` seconds, within a range in that unit.
fn duration(
    section: &mut Section<'_>,
    (field, unit): (&str, f64),
    default: Duration,
    range: std::ops::RangeInclusive<f64>,
) -> Duration {
    let count_in_unit: f64 = section.optional(field, default.as_secs_f64() / unit);
    if range.contains(&count_in_unit) {
        return Duration::from_secs_f64(count_in_unit * unit);
    }
    section.error(
        field,
        &format!("must be from {} to {}", range.start(), range.end()),
    );
    default
}
