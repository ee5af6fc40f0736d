//! What the processes of a fleet know together, as it stands in the operator's file of each.

use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::os::unix::fs::PermissionsExt;
use std::path::Path;
use std::time::Duration;

use serde_json::Value;
use tempfile::TempDir;

/// Whoever has not answered by then has not answered.
const QUERY_TIMEOUT: Duration = Duration::from_secs(5);

/// The sections of the operator's file. Each mechanism can be left out by itself, to see what a story misses then.
#[derive(Clone, Debug)]
pub struct FleetOptions {
    /// The sites, in the order of the processes: the first so many stand in the first, and so on.
    pub sites: Vec<(String, usize)>,
    /// Whether they know anything together at all.
    pub fleet: bool,
    /// Whether what a process knows outlives it.
    pub memory: bool,
    /// Whether the uplink is judged.
    pub edge: bool,
    /// A loss that is over sooner is no island, in seconds.
    pub patience_s: f64,
    /// Whether clients come back to the server they had.
    pub affinity: bool,
    /// Whether they are let in by turns after a power loss, at the rate that the servers have.
    pub staged_admission: bool,
}

impl FleetOptions {
    /// Everything on, in these sites.
    pub fn with_sites(sites: &[(&str, usize)]) -> FleetOptions {
        FleetOptions {
            sites: sites
                .iter()
                .map(|(site, count)| ((*site).to_owned(), *count))
                .collect(),
            fleet: true,
            memory: true,
            edge: true,
            patience_s: 2.0,
            affinity: true,
            staged_admission: true,
        }
    }

    /// The same without one mechanism, by its name: `fleet`, `memory`, `edge`, `affinity` or `turns`.
    #[must_use]
    pub fn without(mut self, mechanism: &str) -> FleetOptions {
        match mechanism {
            "fleet" => self.fleet = false,
            "memory" => self.memory = false,
            "edge" => self.edge = false,
            "affinity" => self.affinity = false,
            "turns" => self.staged_admission = false,
            other => panic!("no mechanism {other}"),
        }
        self
    }

    /// The site of a process.
    pub fn site(&self, rank: usize) -> &str {
        let mut end_rank = 0;
        let site = self.sites.iter().find(|(_, count)| {
            end_rank += count;
            rank < end_rank
        });
        site.map_or("elsewhere", |(site, _)| site)
    }

    /// The sections of one process.
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
            format!("borne = {setups_per_s:?}\n")
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
            self.patience_s,
            self.affinity,
        )
    }
}

/// Where a process's datagrams go, and what it shares with the others.
pub(crate) struct Addresses<'a> {
    pub(crate) listen_address: SocketAddr,
    pub(crate) advertised_address: SocketAddr,
    pub(crate) peers: &'a [SocketAddr],
    pub(crate) key_file: &'a Path,
}

/// The file of a key that all processes hold.
pub(crate) fn write_key_file(dir: &TempDir) -> std::path::PathBuf {
    let path = dir.path().join("key");
    std::fs::write(&path, "0123456789abcdef".repeat(4)).expect("room");
    std::fs::set_permissions(&path, PermissionsExt::from_mode(0o600)).expect("its owner may");
    path
}

/// The word that the processes' administration is asked with.
const ADMIN_TOKEN: &str = "a token of the stories";

/// The section of the operator's file by which a process can be asked for what it knows.
pub(crate) fn admin_section(address: SocketAddr) -> String {
    format!("[admin]\nlisten = \"{address}\"\ntoken = \"{ADMIN_TOKEN}\"\n")
}

/// Asks a process for the farm as it sees it; nothing where it does not answer.
pub(crate) fn query_farm(address: SocketAddr) -> Option<Value> {
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
