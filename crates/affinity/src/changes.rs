//! What a new version changes, in words for the log.

use std::collections::BTreeMap;
use std::fmt;

use crate::routing::{Routing, Server, renames};

/// What one configuration has other than another.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// Servers that were not there.
    pub added: Vec<String>,
    /// Servers that are there no longer.
    pub removed: Vec<String>,
    /// Old name and new.
    pub renamed: Vec<(String, String)>,
    /// Servers with another weight.
    pub weights: Vec<String>,
    /// Servers in another zone.
    pub moved_zone: Vec<String>,
    /// Zones that are there no longer.
    pub zones_gone: Vec<String>,
    /// Tenants with other servers.
    pub tenants: Vec<String>,
    /// Classes that are other than before.
    pub classes: Vec<String>,
}

impl Changes {
    /// From one configuration to the next.
    pub fn between(before: &Routing, after: &Routing) -> Changes {
        let renamed = renames(before, after);
        let now = |name: &String| renamed.get(name).unwrap_or(name).clone();
        let old: BTreeMap<String, &Server> = before
            .servers
            .iter()
            .map(|one| (now(&one.name), one))
            .collect();
        let new: BTreeMap<&String, &Server> =
            after.servers.iter().map(|one| (&one.name, one)).collect();
        let both = || {
            new.iter()
                .filter_map(|(name, one)| Some((*name, *one, *old.get(*name)?)))
        };
        let other = |differ: fn(&Server, &Server) -> bool| {
            both()
                .filter(|(_, one, was)| differ(one, was))
                .map(|(name, _, _)| name.clone())
                .collect()
        };
        let gone = |zone: &&String| !after.zones.contains(zone);
        Changes {
            added: new
                .keys()
                .filter(|name| !old.contains_key(**name))
                .map(|name| (*name).clone())
                .collect(),
            removed: old
                .keys()
                .filter(|name| !new.contains_key(name))
                .cloned()
                .collect(),
            weights: other(|one, was| one.weight != was.weight),
            moved_zone: other(|one, was| one.zone != was.zone),
            zones_gone: before.zones.iter().filter(gone).cloned().collect(),
            tenants: differing(&sets(before, &now), &sets(after, &Clone::clone)),
            classes: differing(&classes(before), &classes(after)),
            renamed: renamed.into_iter().collect(),
        }
    }
}

/// Each tenant's servers, by the names that they have now.
fn sets(routing: &Routing, now: &dyn Fn(&String) -> String) -> BTreeMap<String, Vec<String>> {
    let set = |names: &Vec<String>| {
        let mut names: Vec<String> = names.iter().map(now).collect();
        names.sort();
        names.dedup();
        names
    };
    routing
        .tenants
        .iter()
        .map(|(tenant, names)| (tenant.clone(), set(names)))
        .collect()
}

fn classes(routing: &Routing) -> BTreeMap<String, (u64, u64, u64)> {
    let of = |one: &crate::Class| {
        (
            one.latency_objective_ms,
            one.deadline_ms,
            one.priority_weight.to_bits(),
        )
    };
    routing
        .classes
        .iter()
        .map(|one| (one.name.clone(), of(one)))
        .collect()
}

/// The names that have another value, or that just one of the two has.
fn differing<V: PartialEq>(old: &BTreeMap<String, V>, new: &BTreeMap<String, V>) -> Vec<String> {
    let mut names: Vec<String> = old
        .keys()
        .chain(new.keys())
        .filter(|name| old.get(*name) != new.get(*name))
        .cloned()
        .collect();
    names.sort();
    names.dedup();
    names
}

impl fmt::Display for Changes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let renamed: Vec<String> = self
            .renamed
            .iter()
            .map(|(old, new)| format!("{old} now {new}"))
            .collect();
        let parts = [
            ("servers added", &self.added),
            ("servers removed", &self.removed),
            ("servers renamed", &renamed),
            ("weights changed", &self.weights),
            ("servers in another zone", &self.moved_zone),
            ("zones gone", &self.zones_gone),
            ("tenants with other servers", &self.tenants),
            ("classes changed", &self.classes),
        ];
        let said: Vec<String> = parts
            .iter()
            .filter(|(_, names)| !names.is_empty())
            .map(|(what, names)| format!("{what}: {}", names.join(", ")))
            .collect();
        f.write_str(
            if said.is_empty() {
                "nothing of routing changed".into()
            } else {
                said.join("; ")
            }
            .as_str(),
        )
    }
}
