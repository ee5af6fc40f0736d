//! What the processes of a fleet know together, as it stands in the operator's file of each.

use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::os::unix::fs::PermissionsExt;
use std::path::Path;
use std::time::Duration;

use serde_json::Value;
use tempfile::TempDir;

/// Whoever has not answered by then has not answered.
const WAIT: Duration = Duration::from_secs(5);

/// The sections of the operator's file. Each mechanism can be left out by itself, to see what a story misses then.
#[derive(Clone, Debug)]
pub struct Together {
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
    pub turns: bool,
}

impl Together {
    /// Everything on, in these sites.
    pub fn at(sites: &[(&str, usize)]) -> Together {
        Together {
            sites: sites
                .iter()
                .map(|(site, count)| ((*site).to_owned(), *count))
                .collect(),
            fleet: true,
            memory: true,
            edge: true,
            patience_s: 2.0,
            affinity: true,
            turns: true,
        }
    }

    /// The same without one mechanism, by its name: `fleet`, `memory`, `edge`, `affinity` or `turns`.
    #[must_use]
    pub fn without(mut self, mechanism: &str) -> Together {
        match mechanism {
            "fleet" => self.fleet = false,
            "memory" => self.memory = false,
            "edge" => self.edge = false,
            "affinity" => self.affinity = false,
            "turns" => self.turns = false,
            other => panic!("no mechanism {other}"),
        }
        self
    }

    /// The site of a process.
    pub fn site(&self, rank: usize) -> &str {
        let mut before = 0;
        let of = self.sites.iter().find(|(_, count)| {
            before += count;
            rank < before
        });
        of.map_or("elsewhere", |(site, _)| site)
    }

    /// The sections of one process.
    pub(crate) fn sections(
        &self,
        (rank, name): (usize, &str),
        at: &Addresses<'_>,
        (serial, rate): (u64, f64),
    ) -> String {
        if !self.fleet {
            return String::new();
        }
        let peers: Vec<String> = at.peers.iter().map(|peer| format!("\"{peer}\"")).collect();
        let (site, key, peers) = (self.site(rank), at.key.display(), peers.join(", "));
        let others: Vec<String> = self
            .sites
            .iter()
            .filter(|(other, _)| other != site)
            .map(|(other, _)| format!("\"{other}\""))
            .collect();
        let here = self
            .sites
            .iter()
            .find(|(other, _)| other == site)
            .map_or(1, |(_, count)| *count);
        let others = others.join(", ");
        let turns = if self.turns {
            format!("borne = {rate:?}\n")
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
             key_file = \"{key}\"\npeers = [{peers}]\nsite_size = {here}\nother_sites = [{others}]\n{turns}{memory}\
             [edge]\non = {}\npatience_s = {:?}\n[affinity]\non = {}\nserial = {serial}\n",
            at.listens, at.known_as, self.edge, self.patience_s, self.affinity,
        )
    }
}

/// Where a process's datagrams go, and what it shares with the others.
pub(crate) struct Addresses<'a> {
    pub(crate) listens: SocketAddr,
    pub(crate) known_as: SocketAddr,
    pub(crate) peers: &'a [SocketAddr],
    pub(crate) key: &'a Path,
}

/// The file of a key that all processes hold.
pub(crate) fn key(folder: &TempDir) -> std::path::PathBuf {
    let path = folder.path().join("key");
    std::fs::write(&path, "0123456789abcdef".repeat(4)).expect("room");
    std::fs::set_permissions(&path, PermissionsExt::from_mode(0o600)).expect("its owner may");
    path
}

/// The word that the processes' administration is asked with.
const TOKEN: &str = "a token of the stories";

/// The section of the operator's file by which a process can be asked for what it knows.
pub(crate) fn admin(at: SocketAddr) -> String {
    format!("[admin]\nlisten = \"{at}\"\ntoken = \"{TOKEN}\"\n")
}

/// Asks a process for the farm as it sees it; nothing where it does not answer.
pub(crate) fn ask(at: SocketAddr) -> Option<Value> {
    let mut stream = TcpStream::connect_timeout(&at, WAIT).ok()?;
    stream.set_read_timeout(Some(WAIT)).ok()?;
    write!(
        stream,
        "GET /v1/farm HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {TOKEN}\r\n\r\n"
    )
    .ok()?;
    let mut reply = String::new();
    stream.read_to_string(&mut reply).ok()?;
    serde_json::from_str(reply.split_once("\r\n\r\n")?.1).ok()
}
