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
    pub reweighted: Vec<String>,
    /// Servers in another zone.
    pub rezoned: Vec<String>,
    /// Zones that are there no longer.
    pub removed_zones: Vec<String>,
    /// Tenants with other servers.
    pub tenants: Vec<String>,
    /// Classes that are other than before.
    pub classes: Vec<String>,
}

impl Changes {
    /// From one configuration to the next.
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
        let changed = |differ: fn(&Server, &Server) -> bool| {
            in_both()
                .filter(|(_, new, old)| differ(new, old))
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
            reweighted: changed(|new, old| new.weight != old.weight),
            rezoned: changed(|new, old| new.zone != old.zone),
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

/// Each tenant's servers, by the names that they have now.
fn tenant_servers(
    routing: &Routing,
    current_name: &dyn Fn(&String) -> String,
) -> BTreeMap<String, Vec<String>> {
    let set = |names: &Vec<String>| {
        let mut names: Vec<String> = names.iter().map(current_name).collect();
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
    let values = |class: &crate::Class| {
        (
            class.latency_objective_ms,
            class.deadline_ms,
            class.priority_weight.to_bits(),
        )
    };
    routing
        .classes
        .iter()
        .map(|class| (class.name.clone(), values(class)))
        .collect()
}

/// The names that have another value, or that just one of the two has.
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
            .map(|(old, new)| format!("{old} now {new}"))
            .collect();
        let sections = [
            ("servers added", &self.added),
            ("servers removed", &self.removed),
            ("servers renamed", &renamed),
            ("weights changed", &self.reweighted),
            ("servers in another zone", &self.rezoned),
            ("zones gone", &self.removed_zones),
            ("tenants with other servers", &self.tenants),
            ("classes changed", &self.classes),
        ];
        let clauses: Vec<String> = sections
            .iter()
            .filter(|(_, names)| !names.is_empty())
            .map(|(label, names)| format!("{label}: {}", names.join(", ")))
            .collect();
        f.write_str(
            if clauses.is_empty() {
                "nothing of routing changed".into()
            } else {
                clauses.join("; ")
            }
            .as_str(),
        )
    }
}
