//! The sections `[fleet]`, `[memory]`, `[edge]` and `[affinity]`. Without `[fleet]` none of them
//! applies.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use beaconflow_membership::{Key, LONGEST_NAME, LONGEST_SITE};

use super::section::Section;

/// Most processes of a fleet.
const MAX_PROCESSES: usize = 1_000;
const SECONDS_PER_HOUR: f64 = 3_600.0;
/// Characters allowed in a name.
const NAME_CHARACTERS: &str = "letters, digits, dots, dashes or underlines";

/// The fleet and what each process keeps.
#[derive(Clone, PartialEq)]
pub struct FleetConfig {
    /// Unique name of this process, the same after a restart.
    pub name: String,
    /// Its site.
    pub site: String,
    /// Loopback address for datagrams.
    pub listen: SocketAddr,
    /// The loopback address to send to, if it differs from `listen`.
    pub advertise: Option<SocketAddr>,
    /// File with the key that authenticates datagrams.
    pub key_file: PathBuf,
    /// File with the former key, accepted during a rotation.
    pub previous_key_file: Option<PathBuf>,
    /// Addresses of the peers; this process's own may be among them.
    pub peers: Vec<SocketAddr>,
    /// Number of processes in all sites.
    pub size: usize,
    /// Number of processes in this site.
    pub site_size: usize,
    /// The other sites.
    pub other_sites: Vec<String>,
    /// Clients per second that a warm server of weight 1 can take. Setting it enables staged
    /// admission after a power loss.
    pub clients_per_server_s: Option<f64>,
    /// Clients of the whole fleet, if nothing else tells; 0 if not known.
    pub clients: u32,
    /// The stored memory, if there is one.
    pub memory: Option<MemoryConfig>,
    /// Behaviour while the uplink is lost.
    pub edge: EdgeConfig,
    /// Session affinity.
    pub affinity: AffinityConfig,
}

/// The stored memory.
#[derive(Clone, Debug, PartialEq)]
pub struct MemoryConfig {
    /// File of the memory.
    pub path: PathBuf,
    /// Largest size of the file, in bytes.
    pub max_bytes: u64,
}

/// Behaviour while the uplink is lost.
#[derive(Clone, Debug, PartialEq)]
pub struct EdgeConfig {
    /// Whether the uplink is monitored.
    pub is_enabled: bool,
    /// A shorter loss does not isolate the site.
    pub isolation_delay: Duration,
    /// How long the last known state is trusted.
    pub trust_period: Duration,
    /// The operator's mode.
    pub mode: EdgeMode,
}

/// The operator's mode for the uplink.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EdgeMode {
    /// Decided by evidence.
    Automatic,
    /// Treated as lost.
    Isolated,
    /// Treated as available.
    Linked,
}

/// Session affinity.
#[derive(Clone, Debug, PartialEq)]
pub struct AffinityConfig {
    /// Whether it is enabled.
    pub is_enabled: bool,
    /// Most remembered placements.
    pub max_placements: usize,
    /// How long a placement is remembered after its connection ended.
    pub retention: Duration,
    /// Serial number of the configuration; a later one is higher.
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

/// Reads the four sections. The others have no meaning without `[fleet]`.
pub(super) fn fleet(file: &mut Section<'_>) -> Option<FleetConfig> {
    let section = file.section("fleet");
    let alone = section.is_none()
        && file
            .faults
            .borrow()
            .iter()
            .all(|fault| !fault.starts_with("fleet"));
    for other in ["memory", "edge", "affinity"] {
        file.error_if(
            other,
            alone && file.table.contains_key(other),
            "has no meaning without [fleet]",
        );
    }
    let memory = file.section("memory");
    let asks_for_memory = memory.is_some();
    let memory = memory.and_then(self::memory);
    let edge = file.section("edge").map(edge).unwrap_or_default();
    let affinity = file.section("affinity").map(affinity).unwrap_or_default();
    let fleet = processes(section?)?;
    (memory.is_some() == asks_for_memory).then_some(FleetConfig {
        memory,
        edge,
        affinity,
        ..fleet
    })
}

fn processes(mut section: Section<'_>) -> Option<FleetConfig> {
    let name = named(&mut section, "name", LONGEST_NAME);
    let site = named(&mut section, "site", LONGEST_SITE);
    let addresses = Addresses::read(&mut section);
    let keys = Keys::read(&mut section);
    let sizes = FleetSizes::read(&mut section, addresses.other_peers(), site.as_deref());
    let clients_per_server_s = clients_per_server_s(&mut section);
    let clients = section.optional("clients", 0);
    section.reject_unknown_fields();
    let keys = keys?;
    Some(FleetConfig {
        name: name?,
        site: site?,
        listen: addresses.listen?,
        advertise: addresses.advertise,
        key_file: keys.current,
        previous_key_file: keys.previous,
        peers: addresses.peers?,
        size: sizes.fleet,
        site_size: sizes.site,
        other_sites: sizes.other_sites,
        clients_per_server_s,
        clients,
        memory: None,
        edge: EdgeConfig::default(),
        affinity: AffinityConfig::default(),
    })
}

/// Addresses of this process and of its peers.
struct Addresses {
    listen: Option<SocketAddr>,
    advertise: Option<SocketAddr>,
    peers: Option<Vec<SocketAddr>>,
}

impl Addresses {
    fn read(section: &mut Section<'_>) -> Addresses {
        let listen: Option<SocketAddr> = section.required("listen");
        let advertise: Option<SocketAddr> = section
            .table
            .contains_key("advertise")
            .then(|| section.required("advertise"))
            .flatten();
        let peers: Option<Vec<SocketAddr>> = section.required("peers");
        if let Some(listen) = &listen {
            check_address(
                section,
                "listen",
                listen,
                "needs a port that the others are told",
            );
        }
        if let Some(advertise) = &advertise {
            check_address(section, "advertise", advertise, "needs a port");
        }
        for (at, peer) in (0..).zip(peers.iter().flatten()) {
            check_address(section, &format!("peers[{at}]"), peer, "needs a port");
        }
        Addresses {
            listen,
            advertise,
            peers,
        }
    }

    /// Number of peers without this process.
    fn other_peers(&self) -> usize {
        let own = self.advertise.or(self.listen);
        let peers = self.peers.iter().flatten();
        peers.filter(|peer| Some(**peer) != own).count()
    }
}

fn check_address(section: &Section<'_>, field: &str, address: &SocketAddr, no_port: &str) {
    let is_open = !address.ip().is_loopback();
    section.error_if(field, is_open, "is not a loopback address");
    section.error_if(field, address.port() == 0, no_port);
}

/// Files with the keys of datagrams.
struct Keys {
    current: PathBuf,
    previous: Option<PathBuf>,
}

impl Keys {
    fn read(section: &mut Section<'_>) -> Option<Keys> {
        let current = key(section, "key_file");
        let has_previous = section.table.contains_key("previous_key_file");
        let previous = has_previous
            .then(|| key(section, "previous_key_file"))
            .flatten();
        let is_same = current.is_some() && current == previous;
        section.error_if("previous_key_file", is_same, "is key_file too");
        if has_previous && previous.is_none() {
            return None;
        }
        Some(Keys {
            current: current?,
            previous,
        })
    }
}

/// Numbers of processes, and the other sites.
struct FleetSizes {
    fleet: usize,
    site: usize,
    other_sites: Vec<String>,
}

impl FleetSizes {
    fn read(section: &mut Section<'_>, other_peers: usize, own_site: Option<&str>) -> FleetSizes {
        let size = section.optional("size", other_peers + 1);
        section.error_if(
            "size",
            !(1..=MAX_PROCESSES).contains(&size),
            "from 1 to 1000",
        );
        section.error_if(
            "size",
            size < other_peers + 1,
            "is less than the peers that are named, and this one",
        );
        let other_sites = other_sites(section, own_site);
        let default = size.saturating_sub(other_sites.len()).max(1);
        let site_size = section.optional("site_size", default);
        section.error_if(
            "site_size",
            !(1..=size).contains(&site_size),
            "from 1 to size",
        );
        let is_alone = other_sites.is_empty() && site_size != size;
        section.error_if(
            "site_size",
            is_alone,
            "is less than size, and other_sites names none",
        );
        FleetSizes {
            fleet: size,
            site: site_size,
            other_sites,
        }
    }
}

fn other_sites(section: &mut Section<'_>, own_site: Option<&str>) -> Vec<String> {
    let sites: Vec<String> = section.optional("other_sites", Vec::new());
    for (at, site) in (0..).zip(&sites) {
        let field = format!("other_sites[{at}]");
        section.error_if(
            &field,
            !fits(site, LONGEST_SITE),
            &format!("1 to {LONGEST_SITE} {NAME_CHARACTERS}"),
        );
        let is_own = Some(site.as_str()) == own_site;
        section.error_if(&field, is_own, "is this site");
        let is_repeated = sites[..at].contains(site);
        section.error_if(&field, is_repeated, "stands there twice");
    }
    sites
}

fn clients_per_server_s(section: &mut Section<'_>) -> Option<f64> {
    let rate: Option<f64> = section
        .table
        .contains_key("borne")
        .then(|| section.optional("borne", 0.0));
    let is_bad = rate.is_some_and(|rate| !(0.001..=1e6).contains(&rate));
    section.error_if("borne", is_bad, "from 0.001 to 1000000");
    rate
}

/// A name is sent in every datagram and logged.
fn named(section: &mut Section<'_>, field: &str, longest: usize) -> Option<String> {
    let name: Option<String> = section.required(field);
    let bad = name.as_ref().is_some_and(|name| !fits(name, longest));
    section.error_if(field, bad, &format!("1 to {longest} {NAME_CHARACTERS}"));
    name
}

fn fits(name: &str, longest: usize) -> bool {
    let sound = |sign: char| sign.is_ascii_alphanumeric() || "-_.".contains(sign);
    (1..=longest).contains(&name.len()) && name.chars().all(sound)
}

/// A key is in a file of its own, so that the operator's file holds no secret.
fn key(section: &mut Section<'_>, field: &str) -> Option<PathBuf> {
    let path: PathBuf = section.required(field)?;
    if let Err(fault) = Key::read(&path) {
        section.error(field, &fault.to_string());
        return None;
    }
    Some(path)
}

fn memory(mut section: Section<'_>) -> Option<MemoryConfig> {
    let path: Option<PathBuf> = section.required("path");
    let nameless = path.as_ref().is_some_and(|path| path.file_name().is_none());
    section.error_if("path", nameless, "names no file");
    let most_mb: u64 = section.optional("most_mb", 256);
    section.error_if(
        "most_mb",
        !(1..=16_384).contains(&most_mb),
        "from 1 to 16384",
    );
    section.reject_unknown_fields();
    Some(MemoryConfig {
        path: path?,
        max_bytes: most_mb.saturating_mul(1 << 20),
    })
}

fn edge(mut section: Section<'_>) -> EdgeConfig {
    let usual = EdgeConfig::default();
    let is_enabled = section.optional("on", usual.is_enabled);
    let isolation_delay = span(
        &mut section,
        ("patience_s", 1.0),
        usual.isolation_delay,
        0.5..=3_600.0,
    );
    let trust_period = span(
        &mut section,
        ("trust_h", SECONDS_PER_HOUR),
        usual.trust_period,
        0.01..=744.0,
    );
    let mode = match section.optional("word", "automatic".to_owned()).as_str() {
        "automatic" => EdgeMode::Automatic,
        "island" => EdgeMode::Isolated,
        "linked" => EdgeMode::Linked,
        _ => {
            section.error("word", "automatic, island or linked");
            usual.mode
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
    let usual = AffinityConfig::default();
    let is_enabled = section.optional("on", usual.is_enabled);
    let max_placements = section.optional("most", usual.max_placements);
    section.error_if(
        "most",
        !(1..=4_000_000).contains(&max_placements),
        "from 1 to 4000000",
    );
    let retention = span(
        &mut section,
        ("keep_s", 1.0),
        usual.retention,
        1.0..=604_800.0,
    );
    let serial = section.optional("serial", usual.serial);
    section.error_if("serial", serial == 0, "at least 1");
    section.reject_unknown_fields();
    AffinityConfig {
        is_enabled,
        max_placements,
        retention,
        serial,
    }
}

/// A span given in a unit of so many seconds.
fn span(
    section: &mut Section<'_>,
    (field, unit): (&str, f64),
    usual: Duration,
    range: std::ops::RangeInclusive<f64>,
) -> Duration {
    let given: f64 = section.optional(field, usual.as_secs_f64() / unit);
    if range.contains(&given) {
        return Duration::from_secs_f64(given * unit);
    }
    section.error(field, &format!("from {} to {}", range.start(), range.end()));
    usual
}
