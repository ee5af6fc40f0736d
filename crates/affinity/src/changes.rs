//! Describes what a new version of the configuration changes, for the log.

use std::collections::BTreeMap;
use std::fmt;

use crate::routing::{Routing, Server, renames};

/// The differences between two versions of the routing configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// Names of the servers that only the new version has.
    pub added: Vec<String>,
    /// Names of the servers that only the old version has.
    pub removed: Vec<String>,
    /// Old and new names of the renamed servers.
    pub renamed: Vec<(String, String)>,
    /// Names of the servers whose weight changed.
    pub reweighted: Vec<String>,
    /// Names of the servers whose zone changed.
    pub rezoned: Vec<String>,
    /// Zones that only the old version has.
    pub removed_zones: Vec<String>,
    /// Tenants that were added or removed, or whose set of servers changed other than by renames.
    pub tenants: Vec<String>,
    /// Names of the classes that were added, removed or changed.
    pub classes: Vec<String>,
}

impl Changes {
    /// The changes from one version to the next.
    pub fn between(before: &Routing, after: &Routing) -> Changes {
        let renamed = renames(before, after);
        let current_name = |name: &String| renamed.get(name).unwrap_or(name).clone();
        let old: BTreeMap<String, &Server> = before
            .servers
            .iter()
            .map(|server| (current_name(&server.name), server))
            .collect();
        let new: BTreeMap<&String, &Server> = after
            .servers
            .iter()
            .map(|server| (&server.name, server))
            .collect();
        let in_both = || {
            new.iter()
                .filter_map(|(name, server)| Some((*name, *server, *old.get(*name)?)))
        };
        let names_where = |has_changed: fn(&Server, &Server) -> bool| {
            in_both()
                .filter(|(_, new, old)| has_changed(new, old))
                .map(|(name, _, _)| name.clone())
                .collect()
        };
        let is_removed = |zone: &&String| !after.zones.contains(zone);
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
            reweighted: names_where(|new, old| new.weight != old.weight),
            rezoned: names_where(|new, old| new.zone != old.zone),
            removed_zones: before.zones.iter().filter(is_removed).cloned().collect(),
            tenants: differing_names(
                &tenant_servers(before, &current_name),
                &tenant_servers(after, &Clone::clone),
            ),
            classes: differing_names(&classes(before), &classes(after)),
            renamed: renamed.into_iter().collect(),
        }
    }
}

/// The servers of each tenant, by their current names.
fn tenant_servers(
    routing: &Routing,
    current_name: &dyn Fn(&String) -> String,
) -> BTreeMap<String, Vec<String>> {
    let current_names = |names: &Vec<String>| {
        let mut names: Vec<String> = names.iter().map(current_name).collect();
        names.sort();
        names.dedup();
        names
    };
    routing
        .tenants
        .iter()
        .map(|(tenant, names)| (tenant.clone(), current_names(names)))
        .collect()
}

/// The deadline of each class, by name.
fn classes(routing: &Routing) -> BTreeMap<String, u64> {
    routing
        .classes
        .iter()
        .map(|class| (class.name.clone(), class.deadline_ms))
        .collect()
}

/// The names whose value differs, or that only one of the two maps has.
fn differing_names<V: PartialEq>(
    old: &BTreeMap<String, V>,
    new: &BTreeMap<String, V>,
) -> Vec<String> {
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
            .map(|(old, new)| format!("{old} to {new}"))
            .collect();
        let sections = [
            ("servers added", &self.added),
            ("servers removed", &self.removed),
            ("servers renamed", &renamed),
            ("weights changed", &self.reweighted),
            ("servers moved to another zone", &self.rezoned),
            ("zones removed", &self.removed_zones),
            ("tenants with changed servers", &self.tenants),
            ("classes changed", &self.classes),
        ];
        let clauses: Vec<String> = sections
            .iter()
            .filter(|(_, names)| !names.is_empty())
            .map(|(label, names)| format!("{label}: {}", names.join(", ")))
            .collect();
        f.write_str(
            if clauses.is_empty() {
                "routing is unchanged".into()
            } else {
                clauses.join("; ")
            }
            .as_str(),
        )
    }
}
