//! The routing part of a configuration, its digest, in which equal meaning gives equal bytes, and
//! the detection of renamed servers.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use sha2::{Digest, Sha256};

use crate::versions::Version;

/// An application server.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Server {
    /// The name, unique among servers.
    pub name: String,
    /// The zone, one of [`Routing::zones`].
    pub zone: String,
    /// The weight in the rotation, at least 0.
    pub weight: f64,
    /// The address; empty if it comes from discovery.
    pub address: String,
    /// The former name. Not part of the version, because a former name does not change the routing.
    pub previous_name: Option<String>,
}

/// A class of clients.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Class {
    /// The name, unique among classes.
    pub name: String,
    /// Total time that a client waits for a connection, in milliseconds.
    pub deadline_ms: u64,
}

/// The routing part of a configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Routing {
    /// The names of the zones.
    pub zones: Vec<String>,
    /// The servers, in any order.
    pub servers: Vec<Server>,
    /// The servers that each tenant may use; a tenant without an entry may use all.
    pub tenants: Vec<(String, Vec<String>)>,
    /// The classes, in any order.
    pub classes: Vec<Class>,
}

/// An error in the routing part of a configuration.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RoutingError {
    /// Two servers, tenants or classes have this name.
    DuplicateName(String),
    /// The weight of this server is negative or not finite.
    InvalidNumber(String),
    /// Two servers declare this previous name.
    DuplicatePreviousName(String),
    /// A server declares this previous name, which a listed server still has.
    PreviousNameInUse(String),
    /// A tenant lists this server, which does not exist.
    UnknownServer(String),
}

impl fmt::Display for RoutingError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RoutingError::DuplicateName(name) => write!(f, "{name:?} is defined more than once"),
            RoutingError::InvalidNumber(name) => {
                write!(
                    f,
                    "{name:?}: the weight must be a finite number of at least 0"
                )
            }
            RoutingError::DuplicatePreviousName(name) => {
                write!(f, "two servers declare the previous name {name:?}")
            }
            RoutingError::PreviousNameInUse(name) => write!(
                f,
                "a server declares the previous name {name:?}, which is still in use"
            ),
            RoutingError::UnknownServer(name) => {
                write!(f, "a tenant lists server {name:?}, which does not exist")
            }
        }
    }
}

impl Routing {
    /// The version: a digest that does not depend on the order of lists or on repeated equal
    /// entries.
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
        let class = |class: &Class| vec![text_bytes(&class.name), u64_bytes(class.deadline_ms)];
        hasher.section("classes", self.classes.iter().map(class));
        hasher.version()
    }

    /// All errors, sorted and without repetition.
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
        let invalid = weights.filter(|(_, weight)| !weight.is_finite() || *weight < 0.0);
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

/// The renamed servers, from old to new name. A rename is declared by the new server, or else
/// detected by its address if exactly one server had the address before and exactly one has it now.
/// A name that is still listed was not renamed.
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

/// The names of servers by address, without the addresses that several servers share.
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
    // Maps -0.0 to 0.0, which have different bits.
    (value + 0.0).to_bits().to_be_bytes().to_vec()
}

/// Hashes sorted rows, with the length before each field. Guards against equal bytes for different
/// meanings.
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
