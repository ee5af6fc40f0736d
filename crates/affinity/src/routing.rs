//! What a configuration says of routing, in a form in which equal meaning is equal bytes, and what became of its servers'
//! names.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use sha2::{Digest, Sha256};

use crate::versions::Version;

/// One application server.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Server {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Its weight.
    pub weight: f64,
    /// Where it is reached; empty if discovery says so.
    pub address: String,
    /// Its name before. No part of the version: that it once had another name changes nothing now.
    pub was: Option<String>,
}

/// One class of clients.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Wanted time to a standing connection, in milliseconds.
    pub latency_objective_ms: u64,
    /// Whole time that a client waits, in milliseconds.
    pub deadline_ms: u64,
    /// What one is worth.
    pub priority_weight: f64,
}

/// What a configuration says of routing.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Routing {
    /// The zones.
    pub zones: Vec<String>,
    /// The servers.
    pub servers: Vec<Server>,
    /// The servers that a tenant may use; one that is not named may use all.
    pub tenants: Vec<(String, Vec<String>)>,
    /// The classes.
    pub classes: Vec<Class>,
}

/// What is wrong with it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// Two servers, tenants or classes have this name.
    Twice(String),
    /// This server's weight, or this class's worth, is no number of 0 or more.
    NoNumber(String),
    /// Two servers say that they were this one.
    WasTwice(String),
    /// A server says that it was this one, which is still there.
    StillThere(String),
    /// A tenant has this server, and there is none of that name.
    NoSuchServer(String),
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::Twice(name) => write!(f, "{name:?} is there twice"),
            Fault::NoNumber(name) => {
                write!(f, "{name:?}: weight or worth is no number of 0 or more")
            }
            Fault::WasTwice(name) => write!(f, "two servers say that they were {name:?}"),
            Fault::StillThere(name) => write!(
                f,
                "a server says that it was {name:?}, which is still there"
            ),
            Fault::NoSuchServer(name) => {
                write!(f, "a tenant has server {name:?}, which there is not")
            }
        }
    }
}

impl Routing {
    /// Its version. The order of what is listed, and what is listed twice alike, change nothing.
    pub fn version(&self) -> Version {
        let mut all = Canonical::default();
        all.section("zones", self.zones.iter().map(|zone| vec![text(zone)]));
        let server = |one: &Server| {
            vec![
                text(&one.name),
                text(&one.zone),
                number(one.weight),
                text(&one.address),
            ]
        };
        all.section("servers", self.servers.iter().map(server));
        let tenant = |(name, names): &(String, Vec<String>)| {
            let set: BTreeSet<&str> = names.iter().map(String::as_str).collect();
            std::iter::once(text(name))
                .chain(set.into_iter().map(text))
                .collect()
        };
        all.section("tenants", self.tenants.iter().map(tenant));
        let whole = |value: u64| value.to_be_bytes().to_vec();
        let class = |one: &Class| {
            vec![
                text(&one.name),
                whole(one.latency_objective_ms),
                whole(one.deadline_ms),
                number(one.priority_weight),
            ]
        };
        all.section("classes", self.classes.iter().map(class));
        all.version()
    }

    /// All that is wrong with it.
    pub fn faults(&self) -> Vec<Fault> {
        let servers: BTreeSet<&str> = self.servers.iter().map(|one| one.name.as_str()).collect();
        let was = || {
            self.servers
                .iter()
                .filter_map(|one| Some((one.name.as_str(), one.was.as_deref()?)))
        };
        let tenants = self.tenants.iter().map(|(name, _)| name.as_str());
        let twice = twice(self.servers.iter().map(|one| one.name.as_str()))
            .into_iter()
            .chain(twice(tenants))
            .chain(twice(self.classes.iter().map(|one| one.name.as_str())));
        let mut faults: BTreeSet<Fault> = twice.map(Fault::Twice).collect();
        let weights = self.servers.iter().map(|one| (&one.name, one.weight));
        let numbers = weights.chain(
            self.classes
                .iter()
                .map(|one| (&one.name, one.priority_weight)),
        );
        let bad = numbers.filter(|(_, value)| !value.is_finite() || *value < 0.0);
        faults.extend(bad.map(|(name, _)| Fault::NoNumber(name.clone())));
        faults.extend(twice_was(was()).map(Fault::WasTwice));
        let still = was().filter(|(_, was)| servers.contains(was));
        faults.extend(still.map(|(_, was)| Fault::StillThere(was.to_owned())));
        let named = self.tenants.iter().flat_map(|(_, names)| names);
        let none = named.filter(|name| !servers.contains(name.as_str()));
        faults.extend(none.map(|name| Fault::NoSuchServer(name.clone())));
        faults.into_iter().collect()
    }
}

/// The servers that have another name now: old to new. By the new one's word, else by the address, where just one server
/// had it and just one has it now. A name that is still there was not renamed.
pub fn renames(before: &Routing, after: &Routing) -> BTreeMap<String, String> {
    let names = |routing: &Routing| {
        routing
            .servers
            .iter()
            .map(|one| one.name.clone())
            .collect::<BTreeSet<_>>()
    };
    let (old_names, new_names) = (names(before), names(after));
    let gone = |name: &str| old_names.contains(name) && !new_names.contains(name);
    let mut renamed = BTreeMap::new();
    let told = after
        .servers
        .iter()
        .filter_map(|one| Some((one.was.as_deref()?, one)));
    for (was, one) in told.filter(|(was, one)| gone(was) && !old_names.contains(&one.name)) {
        renamed
            .entry(was.to_owned())
            .or_insert_with(|| one.name.clone());
    }
    let (had, has) = (by_address(before), by_address(after));
    for (address, old) in had.iter().filter(|(_, old)| gone(old)) {
        if let Some(new) = has.get(address)
            && !old_names.contains(*new)
            && !renamed.values().any(|name| name == new)
        {
            renamed
                .entry((*old).to_owned())
                .or_insert_with(|| (*new).to_owned());
        }
    }
    renamed
}

/// The servers whose address is no other one's.
fn by_address(routing: &Routing) -> BTreeMap<&str, &str> {
    let mut all: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    for one in routing.servers.iter().filter(|one| !one.address.is_empty()) {
        all.entry(&one.address).or_default().push(&one.name);
    }
    all.into_iter()
        .filter_map(|(address, names)| {
            Some((address, *names.first().filter(|_| names.len() == 1)?))
        })
        .collect()
}

fn twice<'a>(names: impl Iterator<Item = &'a str>) -> BTreeSet<String> {
    let mut seen = BTreeSet::new();
    names
        .filter(|name| !seen.insert(*name))
        .map(str::to_owned)
        .collect()
}

fn twice_was<'a>(was: impl Iterator<Item = (&'a str, &'a str)>) -> impl Iterator<Item = String> {
    twice(was.map(|(_, was)| was)).into_iter()
}

fn text(text: &str) -> Vec<u8> {
    text.as_bytes().to_vec()
}

fn number(value: f64) -> Vec<u8> {
    // Minus nought is nought.
    (value + 0.0).to_bits().to_be_bytes().to_vec()
}

/// Sorted rows, each field with its length before it. Guards against two meanings with the same bytes.
#[derive(Default)]
struct Canonical(Sha256);

impl Canonical {
    fn section(&mut self, name: &str, rows: impl Iterator<Item = Vec<Vec<u8>>>) {
        let rows: BTreeSet<Vec<Vec<u8>>> = rows.collect();
        self.field(name.as_bytes());
        self.0.update((rows.len() as u64).to_be_bytes());
        for row in rows {
            self.0.update((row.len() as u64).to_be_bytes());
            row.iter().for_each(|field| self.field(field));
        }
    }

    fn field(&mut self, bytes: &[u8]) {
        self.0.update((bytes.len() as u64).to_be_bytes());
        self.0.update(bytes);
    }

    fn version(self) -> Version {
        let digest = self.0.finalize();
        Version(
            digest
                .iter()
                .take(16)
                .fold(0, |word, byte| word << 8 | u128::from(*byte)),
        )
    }
}
