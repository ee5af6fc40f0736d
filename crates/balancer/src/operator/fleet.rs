//! The sections `[fleet]`, `[memory]`, `[edge]` and `[affinity]`: what many processes know together, and what outlives
//! one. Without `[fleet]` none of it is set up.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use beaconflow_membership::{Key, LONGEST_NAME, LONGEST_SITE};

use super::Section;

/// Most processes of a fleet.
const MOST_PROCESSES: usize = 1_000;
const HOUR_S: f64 = 3_600.0;
/// What a name may be made of.
const SIGNS: &str = "letters, digits, dots, dashes or underlines";

/// How the processes of a fleet find one another, and what each keeps.
#[derive(Clone, PartialEq)]
pub struct Fleet {
    /// This process's name, the same after a restart and no other's.
    pub name: String,
    /// The site that it stands in.
    pub site: String,
    /// Where the others' datagrams arrive; a loopback address.
    pub listen: SocketAddr,
    /// Where the others send them, where that is not at `listen`: a loopback address too.
    pub advertise: Option<SocketAddr>,
    /// The file of the key that datagrams are sealed with.
    pub key_file: PathBuf,
    /// The one of the key that is heard as well while a new one is brought in.
    pub previous_key_file: Option<PathBuf>,
    /// Where others listen; its own address may stand among them, so that one list serves all.
    pub peers: Vec<SocketAddr>,
    /// How many processes there are in all sites when all are there.
    pub size: usize,
    /// How many of them stand in this site.
    pub site_size: usize,
    /// The other sites.
    pub other_sites: Vec<String>,
    /// Clients a second that a warm server of weight 1 bears. With it clients return by turns after a power loss.
    pub borne: Option<f64>,
    /// Clients of the whole fleet, for a process that nobody tells; 0 if that is not known.
    pub clients: u32,
    /// What outlives the process, if anything.
    pub memory: Option<Memory>,
    /// What is done while the uplink is lost.
    pub edge: Edge,
    /// Whether clients come back to the server they had.
    pub affinity: Affinity,
}

/// What outlives the process.
#[derive(Clone, Debug, PartialEq)]
pub struct Memory {
    /// The file that it is kept in.
    pub path: PathBuf,
    /// How large it may grow, in bytes.
    pub most: u64,
}

/// What is done while the uplink is lost.
#[derive(Clone, Debug, PartialEq)]
pub struct Edge {
    /// Whether it is judged at all.
    pub on: bool,
    /// A loss that is over sooner is no island.
    pub patience: Duration,
    /// What was last heard from beyond is trusted for so long.
    pub trust: Duration,
    /// The operator's word.
    pub word: EdgeWord,
}

/// The operator's word on the uplink.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EdgeWord {
    /// Judged by the evidence.
    Automatic,
    /// It is lost, whatever the evidence says.
    Island,
    /// It stands, whatever the evidence says.
    Linked,
}

/// Whether clients come back to the server they had.
#[derive(Clone, Debug, PartialEq)]
pub struct Affinity {
    /// Whether they do.
    pub on: bool,
    /// Most placements that are remembered.
    pub most: usize,
    /// A placement is remembered for so long after its connection ended.
    pub keep: Duration,
    /// The configuration's order number: the later of two has the higher one.
    pub serial: u64,
}

impl Default for Edge {
    fn default() -> Edge {
        let hours = |count: u64| Duration::from_secs(count * 3_600);
        Edge {
            on: true,
            patience: Duration::from_secs(5),
            trust: hours(24),
            word: EdgeWord::Automatic,
        }
    }
}

impl Default for Affinity {
    fn default() -> Affinity {
        Affinity {
            on: true,
            most: 1_000_000,
            keep: Duration::from_secs(900),
            serial: 1,
        }
    }
}

/// Reads the four sections. The three others have no meaning without the first.
pub(super) fn fleet(file: &mut Section<'_>) -> Option<Fleet> {
    let section = file.section("fleet");
    let alone = section.is_none()
        && file
            .faults
            .borrow()
            .iter()
            .all(|fault| !fault.starts_with("fleet"));
    for other in ["memory", "edge", "affinity"] {
        file.refuse(
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
    (memory.is_some() == asks_for_memory).then_some(Fleet {
        memory,
        edge,
        affinity,
        ..fleet
    })
}

fn processes(mut section: Section<'_>) -> Option<Fleet> {
    let name = named(&mut section, "name", LONGEST_NAME);
    let site = named(&mut section, "site", LONGEST_SITE);
    let listen = section.need("listen");
    let advertise: Option<SocketAddr> = section
        .table
        .contains_key("advertise")
        .then(|| section.need("advertise"))
        .flatten();
    let peers: Option<Vec<SocketAddr>> = section.need("peers");
    let open = |at: &SocketAddr| !at.ip().is_loopback();
    section.refuse(
        "listen",
        listen.as_ref().is_some_and(open),
        "is not a loopback address",
    );
    let no_port = |at: &SocketAddr| at.port() == 0;
    section.refuse(
        "listen",
        listen.as_ref().is_some_and(no_port),
        "needs a port that the others are told",
    );
    section.refuse(
        "advertise",
        advertise.as_ref().is_some_and(open),
        "is not a loopback address",
    );
    section.refuse(
        "advertise",
        advertise.as_ref().is_some_and(no_port),
        "needs a port",
    );
    for (at, peer) in (0..).zip(peers.iter().flatten()) {
        section.refuse(
            &format!("peers[{at}]"),
            open(peer),
            "is not a loopback address",
        );
        section.refuse(&format!("peers[{at}]"), no_port(peer), "needs a port");
    }
    let key_file = key(&mut section, "key_file");
    let has_previous = section.table.contains_key("previous_key_file");
    let previous_key_file = has_previous
        .then(|| key(&mut section, "previous_key_file"))
        .flatten();
    let same = key_file.is_some() && key_file == previous_key_file;
    section.refuse("previous_key_file", same, "is key_file too");
    let own = advertise.or(listen);
    let others = peers
        .iter()
        .flatten()
        .filter(|peer| Some(**peer) != own)
        .count();
    let size = section.or("size", others + 1);
    section.refuse(
        "size",
        !(1..=MOST_PROCESSES).contains(&size),
        "from 1 to 1000",
    );
    section.refuse(
        "size",
        size < others + 1,
        "is less than the peers that are named, and this one",
    );
    let other_sites: Vec<String> = section.or("other_sites", Vec::new());
    for (at, other) in (0..).zip(&other_sites) {
        let field = format!("other_sites[{at}]");
        section.refuse(
            &field,
            !fits(other, LONGEST_SITE),
            &format!("1 to {LONGEST_SITE} {SIGNS}"),
        );
        section.refuse(&field, Some(other) == site.as_ref(), "is this site");
        section.refuse(
            &field,
            other_sites[..at].contains(other),
            "stands there twice",
        );
    }
    let site_size = section.or("site_size", size.saturating_sub(other_sites.len()).max(1));
    section.refuse(
        "site_size",
        !(1..=size).contains(&site_size),
        "from 1 to size",
    );
    let alone = other_sites.is_empty() && site_size != size;
    section.refuse(
        "site_size",
        alone,
        "is less than size, and other_sites names none",
    );
    let borne: Option<f64> = section
        .table
        .contains_key("borne")
        .then(|| section.or("borne", 0.0));
    let no_pace = |borne: f64| !(0.001..=1e6).contains(&borne);
    section.refuse("borne", borne.is_some_and(no_pace), "from 0.001 to 1000000");
    let clients = section.or("clients", 0);
    section.end();
    if has_previous && previous_key_file.is_none() {
        return None;
    }
    Some(Fleet {
        name: name?,
        site: site?,
        listen: listen?,
        advertise,
        key_file: key_file?,
        previous_key_file,
        peers: peers?,
        size,
        site_size,
        other_sites,
        borne,
        clients,
        memory: None,
        edge: Edge::default(),
        affinity: Affinity::default(),
    })
}

/// A name goes with every datagram and into the log.
fn named(section: &mut Section<'_>, field: &str, longest: usize) -> Option<String> {
    let name: Option<String> = section.need(field);
    let bad = name.as_ref().is_some_and(|name| !fits(name, longest));
    section.refuse(field, bad, &format!("1 to {longest} {SIGNS}"));
    name
}

fn fits(name: &str, longest: usize) -> bool {
    let sound = |sign: char| sign.is_ascii_alphanumeric() || "-_.".contains(sign);
    (1..=longest).contains(&name.len()) && name.chars().all(sound)
}

/// A key stands in a file of its own, so that the operator's file can be shown to anybody.
fn key(section: &mut Section<'_>, field: &str) -> Option<PathBuf> {
    let path: PathBuf = section.need(field)?;
    if let Err(fault) = Key::read(&path) {
        section.fault(field, &fault.to_string());
        return None;
    }
    Some(path)
}

fn memory(mut section: Section<'_>) -> Option<Memory> {
    let path: Option<PathBuf> = section.need("path");
    let nameless = path.as_ref().is_some_and(|path| path.file_name().is_none());
    section.refuse("path", nameless, "names no file");
    let most_mb: u64 = section.or("most_mb", 256);
    section.refuse(
        "most_mb",
        !(1..=16_384).contains(&most_mb),
        "from 1 to 16384",
    );
    section.end();
    Some(Memory {
        path: path?,
        most: most_mb.saturating_mul(1 << 20),
    })
}

fn edge(mut section: Section<'_>) -> Edge {
    let usual = Edge::default();
    let on = section.or("on", usual.on);
    let patience = span(
        &mut section,
        ("patience_s", 1.0),
        usual.patience,
        0.5..=3_600.0,
    );
    let trust = span(&mut section, ("trust_h", HOUR_S), usual.trust, 0.01..=744.0);
    let word = match section.or("word", "automatic".to_owned()).as_str() {
        "automatic" => EdgeWord::Automatic,
        "island" => EdgeWord::Island,
        "linked" => EdgeWord::Linked,
        _ => {
            section.fault("word", "automatic, island or linked");
            usual.word
        }
    };
    section.end();
    Edge {
        on,
        patience,
        trust,
        word,
    }
}

fn affinity(mut section: Section<'_>) -> Affinity {
    let usual = Affinity::default();
    let on = section.or("on", usual.on);
    let most = section.or("most", usual.most);
    section.refuse(
        "most",
        !(1..=4_000_000).contains(&most),
        "from 1 to 4000000",
    );
    let keep = span(&mut section, ("keep_s", 1.0), usual.keep, 1.0..=604_800.0);
    let serial = section.or("serial", usual.serial);
    section.refuse("serial", serial == 0, "at least 1");
    section.end();
    Affinity {
        on,
        most,
        keep,
        serial,
    }
}

/// A span that is given in a unit of so many seconds.
fn span(
    section: &mut Section<'_>,
    (field, unit): (&str, f64),
    usual: Duration,
    range: std::ops::RangeInclusive<f64>,
) -> Duration {
    let given: f64 = section.or(field, usual.as_secs_f64() / unit);
    if range.contains(&given) {
        return Duration::from_secs_f64(given * unit);
    }
    section.fault(field, &format!("from {} to {}", range.start(), range.end()));
    usual
}
