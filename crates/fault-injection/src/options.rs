//! The sections of the operator's file that configure what the processes of a fleet share.

use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::os::unix::fs::PermissionsExt;
use std::path::Path;
use std::time::Duration;

use serde_json::Value;
use tempfile::TempDir;

use crate::server::OVERLOAD_MARGIN;

/// Timeout of a query to the administration endpoint, for connecting and for each read.
const QUERY_TIMEOUT: Duration = Duration::from_secs(5);

/// The sections of the operator's file. Each mechanism can be disabled alone, to show which tests depend on it.
#[derive(Clone, Debug)]
pub struct FleetOptions {
    /// The sites with their number of processes, in the order of the process ranks.
    pub sites: Vec<(String, usize)>,
    /// Whether the processes form a fleet at all; without it, all other mechanisms are off.
    pub fleet: bool,
    /// Whether a process keeps its state in a file across restarts.
    pub memory: bool,
    /// Whether uplink failures are detected.
    pub edge: bool,
    /// Loss of the uplink for less than this many seconds does not isolate a site.
    pub isolation_delay_s: f64,
    /// Whether clients return to their previous server.
    pub affinity: bool,
    /// Whether clients are admitted in stages after a power loss, at the setup rate of the servers.
    pub staged_admission: bool,
}

impl FleetOptions {
    /// All mechanisms enabled, in the given sites.
    pub fn with_sites(sites: &[(&str, usize)]) -> FleetOptions {
        FleetOptions {
            sites: sites
                .iter()
                .map(|(site, count)| ((*site).to_owned(), *count))
                .collect(),
            fleet: true,
            memory: true,
            edge: true,
            isolation_delay_s: 2.0,
            affinity: true,
            staged_admission: true,
        }
    }

    /// Disables one mechanism by name: `fleet`, `memory`, `edge`, `affinity` or `turns`. Panics on any other name.
    #[must_use]
    pub fn without(mut self, mechanism: &str) -> FleetOptions {
        match mechanism {
            "fleet" => self.fleet = false,
            "memory" => self.memory = false,
            "edge" => self.edge = false,
            "affinity" => self.affinity = false,
            "turns" => self.staged_admission = false,
            other => panic!("unknown mechanism {other:?}"),
        }
        self
    }

    /// The site of a process by its rank; `elsewhere` beyond the last site.
    pub fn site(&self, rank: usize) -> &str {
        let mut end_rank = 0;
        let site = self.sites.iter().find(|(_, count)| {
            end_rank += count;
            rank < end_rank
        });
        site.map_or("elsewhere", |(site, _)| site)
    }

    /// The sections for one process; empty without a fleet.
    pub(crate) fn sections(
        &self,
        (rank, name): (usize, &str),
        addresses: &Addresses<'_>,
        (serial, setups_per_s): (u64, f64),
    ) -> String {
        if !self.fleet {
            return String::new();
        }
        let peers: Vec<String> = addresses
            .peers
            .iter()
            .map(|peer| format!("\"{peer}\""))
            .collect();
        let (site, key, peers) = (
            self.site(rank),
            addresses.key_file.display(),
            peers.join(", "),
        );
        let other_sites: Vec<String> = self
            .sites
            .iter()
            .filter(|(other, _)| other != site)
            .map(|(other, _)| format!("\"{other}\""))
            .collect();
        let site_size = self
            .sites
            .iter()
            .find(|(other, _)| other == site)
            .map_or(1, |(_, count)| *count);
        let other_sites = other_sites.join(", ");
        let staged_admission = if self.staged_admission {
            format!("borne = {setups_per_s:?}\noverload_margin = {OVERLOAD_MARGIN:?}\n")
        } else {
            String::new()
        };
        let memory = if self.memory {
            "[memory]\npath = \"{disk}/memory\"\n"
        } else {
            ""
        };
        format!(
            "[fleet]\nname = \"{name}\"\nsite = \"{site}\"\nlisten = \"{}\"\nadvertise = \"{}\"\n\
             key_file = \"{key}\"\npeers = [{peers}]\nsite_size = {site_size}\nother_sites = [{other_sites}]\n{staged_admission}{memory}\
             [edge]\non = {}\npatience_s = {:?}\n[affinity]\non = {}\nserial = {serial}\n",
            addresses.listen_address,
            addresses.advertised_address,
            self.edge,
            self.isolation_delay_s,
            self.affinity,
        )
    }
}

/// The datagram addresses of a process, its peers and the shared key.
pub(crate) struct Addresses<'a> {
    pub(crate) listen_address: SocketAddr,
    pub(crate) advertised_address: SocketAddr,
    pub(crate) peers: &'a [SocketAddr],
    pub(crate) key_file: &'a Path,
}

/// Writes the key file that all processes share, readable by its owner only.
pub(crate) fn write_key_file(dir: &TempDir) -> std::path::PathBuf {
    let path = dir.path().join("key");
    std::fs::write(&path, "0123456789abcdef".repeat(4)).expect("write the key file");
    std::fs::set_permissions(&path, PermissionsExt::from_mode(0o600))
        .expect("restrict the key file to its owner");
    path
}

/// The token of the processes' administration endpoint.
const ADMIN_TOKEN: &str = "a token of the stories";

/// The section of the operator's file that enables the administration endpoint.
pub(crate) fn admin_section(address: SocketAddr) -> String {
    format!("[admin]\nlisten = \"{address}\"\ntoken = \"{ADMIN_TOKEN}\"\n")
}

/// Queries a process for its view of the servers; `None` if it does not answer.
pub(crate) fn query_servers(address: SocketAddr) -> Option<Value> {
    let mut stream = TcpStream::connect_timeout(&address, QUERY_TIMEOUT).ok()?;
    stream.set_read_timeout(Some(QUERY_TIMEOUT)).ok()?;
    write!(
        stream,
        "GET /v1/farm HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {ADMIN_TOKEN}\r\n\r\n"
    )
    .ok()?;
    let mut reply = String::new();
    stream.read_to_string(&mut reply).ok()?;
    serde_json::from_str(reply.split_once("\r\n\r\n")?.1).ok()
}
