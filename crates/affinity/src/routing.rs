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
    pub previous_name: Option<String>,
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
pub enum RoutingError {
    /// Two servers, tenants or classes have this name.
    DuplicateName(String),
    /// This server's weight, or this class's worth, is no number of 0 or more.
    InvalidNumber(String),
    /// Two servers say that they were this one.
    DuplicatePreviousName(String),
    /// A server says that it was this one, which is still there.
    PreviousNameInUse(String),
    /// A tenant has this server, and there is none of that name.
    UnknownServer(String),
}

impl fmt::Display for RoutingError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RoutingError::DuplicateName(name) => write!(f, "{name:?} is there twice"),
            RoutingError::InvalidNumber(name) => {
                write!(f, "{name:?}: weight or worth is no number of 0 or more")
            }
            RoutingError::DuplicatePreviousName(name) => {
                write!(f, "two servers say that they were {name:?}")
            }
            RoutingError::PreviousNameInUse(name) => write!(
                f,
                "a server says that it was {name:?}, which is still there"
            ),
            RoutingError::UnknownServer(name) => {
                write!(f, "a tenant has server {name:?}, which there is not")
            }
        }
    }
}

impl Routing {
    /// Its version. The order of what is listed, and what is listed twice alike, change nothing.
    pub fn version(&self) -> Version {
        let mut hasher = CanonicalHasher::default();
        hasher.section(
            "zones",
            self.zones.iter().map(|zone| vec![text_bytes(zone)]),
        );
        let server = |server: &Server| {
            vec![
                text_bytes(&server.name),
                text_bytes(&server.zone),
                f64_bytes(server.weight),
                text_bytes(&server.address),
            ]
        };
        hasher.section("servers", self.servers.iter().map(server));
        let tenant = |(name, names): &(String, Vec<String>)| {
            let set: BTreeSet<&str> = names.iter().map(String::as_str).collect();
            std::iter::once(text_bytes(name))
                .chain(set.into_iter().map(text_bytes))
                .collect()
        };
        hasher.section("tenants", self.tenants.iter().map(tenant));
        let u64_bytes = |value: u64| value.to_be_bytes().to_vec();
        let class = |class: &Class| {
            vec![
                text_bytes(&class.name),
                u64_bytes(class.latency_objective_ms),
                u64_bytes(class.deadline_ms),
                f64_bytes(class.priority_weight),
            ]
        };
        hasher.section("classes", self.classes.iter().map(class));
        hasher.version()
    }

    /// All that is wrong with it.
    pub fn errors(&self) -> Vec<RoutingError> {
        let servers: BTreeSet<&str> = self
            .servers
            .iter()
            .map(|server| server.name.as_str())
            .collect();
        let previous_names = || {
            self.servers
                .iter()
                .filter_map(|server| Some((server.name.as_str(), server.previous_name.as_deref()?)))
        };
        let tenants = self.tenants.iter().map(|(name, _)| name.as_str());
        let duplicate_names = duplicates(self.servers.iter().map(|server| server.name.as_str()))
            .into_iter()
            .chain(duplicates(tenants))
            .chain(duplicates(
                self.classes.iter().map(|class| class.name.as_str()),
            ));
        let mut errors: BTreeSet<RoutingError> =
            duplicate_names.map(RoutingError::DuplicateName).collect();
        let weights = self
            .servers
            .iter()
            .map(|server| (&server.name, server.weight));
        let values = weights.chain(
            self.classes
                .iter()
                .map(|class| (&class.name, class.priority_weight)),
        );
        let invalid = values.filter(|(_, value)| !value.is_finite() || *value < 0.0);
        errors.extend(invalid.map(|(name, _)| RoutingError::InvalidNumber(name.clone())));
        errors.extend(
            duplicate_previous_names(previous_names()).map(RoutingError::DuplicatePreviousName),
        );
        let still_listed =
            previous_names().filter(|(_, previous_name)| servers.contains(previous_name));
        errors.extend(
            still_listed.map(|(_, previous_name)| {
                RoutingError::PreviousNameInUse(previous_name.to_owned())
            }),
        );
        let tenant_servers = self.tenants.iter().flat_map(|(_, names)| names);
        let unknown = tenant_servers.filter(|name| !servers.contains(name.as_str()));
        errors.extend(unknown.map(|name| RoutingError::UnknownServer(name.clone())));
        errors.into_iter().collect()
    }
}

/// The servers that have another name now: old to new. By the new one's word, else by the address, where just one server
/// had it and just one has it now. A name that is still there was not renamed.
pub fn renames(before: &Routing, after: &Routing) -> BTreeMap<String, String> {
    let names = |routing: &Routing| {
        routing
            .servers
            .iter()
            .map(|server| server.name.clone())
            .collect::<BTreeSet<_>>()
    };
    let (old_names, new_names) = (names(before), names(after));
    let is_removed = |name: &str| old_names.contains(name) && !new_names.contains(name);
    let mut renamed = BTreeMap::new();
    let declared = after
        .servers
        .iter()
        .filter_map(|server| Some((server.previous_name.as_deref()?, server)));
    for (previous_name, server) in declared.filter(|(previous_name, server)| {
        is_removed(previous_name) && !old_names.contains(&server.name)
    }) {
        renamed
            .entry(previous_name.to_owned())
            .or_insert_with(|| server.name.clone());
    }
    let (old_by_address, new_by_address) = (by_unique_address(before), by_unique_address(after));
    for (address, old) in old_by_address.iter().filter(|(_, old)| is_removed(old)) {
        if let Some(new) = new_by_address.get(address)
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
fn by_unique_address(routing: &Routing) -> BTreeMap<&str, &str> {
    let mut names_by_address: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    for server in routing
        .servers
        .iter()
        .filter(|server| !server.address.is_empty())
    {
        names_by_address
            .entry(&server.address)
            .or_default()
            .push(&server.name);
    }
    names_by_address
        .into_iter()
        .filter_map(|(address, names)| {
            Some((address, *names.first().filter(|_| names.len() == 1)?))
        })
        .collect()
}

fn duplicates<'a>(names: impl Iterator<Item = &'a str>) -> BTreeSet<String> {
    let mut seen = BTreeSet::new();
    names
        .filter(|name| !seen.insert(*name))
        .map(str::to_owned)
        .collect()
}

fn duplicate_previous_names<'a>(
    previous_names: impl Iterator<Item = (&'a str, &'a str)>,
) -> impl Iterator<Item = String> {
    duplicates(previous_names.map(|(_, previous_name)| previous_name)).into_iter()
}

fn text_bytes(text: &str) -> Vec<u8> {
    text.as_bytes().to_vec()
}

fn f64_bytes(value: f64) -> Vec<u8> {
    // Minus nought is nought.
    (value + 0.0).to_bits().to_be_bytes().to_vec()
}

/// Sorted rows, each field with its length before it. Guards against two meanings with the same bytes.
#[derive(Default)]
struct CanonicalHasher(Sha256);

impl CanonicalHasher {
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
                .fold(0, |value, byte| value << 8 | u128::from(*byte)),
        )
    }
}
