//! The configurations that a scenario rolls over its balancers, as `affinity/` reads them.

use beaconflow_affinity::{Routing, Server, Tag, Version, renames};
use rustc_hash::FxHashMap;

use crate::scenario::{Failure, Scenario};

/// One configuration.
pub struct RolledConfiguration {
    /// Its version.
    pub version: Version,
    /// Of each gateway that it has: the tag of its name, and its weight as a part of what it has by nature.
    pub gateways: Vec<Option<(Tag, f64)>>,
    /// Gateways that have another name than at first.
    pub renamed: Vec<bool>,
    /// Old name and new, against the one before.
    pub renames: Vec<(Tag, Tag)>,
}

/// All configurations of a scenario, the first one first, then that of each roll in the order of the file.
pub struct Configurations {
    /// Them.
    pub all: Vec<RolledConfiguration>,
    gateway: FxHashMap<Tag, u32>,
}

impl Configurations {
    /// Those of a scenario.
    pub fn from_scenario(scenario: &Scenario) -> Configurations {
        let count = scenario.gateways as usize;
        let mut names: Vec<Option<String>> = (0..count).map(|at| Some(format!("g{at}"))).collect();
        let mut weights = vec![1.0; count];
        let rolls = || scenario.failures.iter().map(|failure| failure.get_ref());
        for roll in rolls() {
            if let Failure::ConfigRoll { added, .. } = roll {
                added.iter().for_each(|at| names[*at as usize] = None);
            }
        }
        let mut routing = routing(&names, &weights, &[]);
        let first = rolled_configuration(&routing, &names, &weights, &Routing::default());
        let mut all = vec![RolledConfiguration {
            renames: Vec::new(),
            ..first
        }];
        for (number, roll) in rolls().enumerate() {
            let Failure::ConfigRoll {
                weights: new,
                added,
                removed,
                renamed,
                ..
            } = roll
            else {
                continue;
            };
            let mut previous_names = vec![None; count];
            added
                .iter()
                .for_each(|at| names[*at as usize] = Some(format!("g{at}")));
            removed.iter().for_each(|at| names[*at as usize] = None);
            for at in renamed.iter().map(|at| *at as usize) {
                if let Some(name) = &mut names[at] {
                    previous_names[at] = Some(std::mem::replace(name, format!("g{at}-{number}")));
                }
            }
            new.iter()
                .for_each(|(at, part)| weights[*at as usize] = *part);
            let next = self::routing(&names, &weights, &previous_names);
            all.push(rolled_configuration(&next, &names, &weights, &routing));
            routing = next;
        }
        let tags = all.iter().flat_map(|one| one.gateways.iter().enumerate());
        let gateway = tags
            .filter_map(|(at, one)| Some((one.as_ref()?.0, at as u32)))
            .collect();
        Configurations { all, gateway }
    }

    /// The gateway that has or had a name of that tag.
    pub fn gateway(&self, tag: Tag) -> Option<u32> {
        self.gateway.get(&tag).copied()
    }
}

fn routing(
    names: &[Option<String>],
    weights: &[f64],
    previous_names: &[Option<String>],
) -> Routing {
    let server = |(at, name): (usize, &Option<String>)| {
        let previous_names = previous_names.get(at).cloned().flatten();
        Some(Server {
            name: name.clone()?,
            weight: weights[at],
            previous_name: previous_names,
            ..Server::default()
        })
    };
    Routing {
        servers: names.iter().enumerate().filter_map(server).collect(),
        ..Routing::default()
    }
}

fn rolled_configuration(
    routing: &Routing,
    names: &[Option<String>],
    weights: &[f64],
    before: &Routing,
) -> RolledConfiguration {
    let tag = |(at, name): (usize, &Option<String>)| {
        Some((Tag::from_name(name.as_deref()?), weights[at]))
    };
    let changed = |(at, name): (usize, &Option<String>)| {
        name.as_deref().is_some_and(|name| name != format!("g{at}"))
    };
    RolledConfiguration {
        version: routing.version(),
        gateways: names.iter().enumerate().map(tag).collect(),
        renamed: names.iter().enumerate().map(changed).collect(),
        renames: renames(before, routing)
            .iter()
            .map(|(old, new)| (Tag::from_name(old), Tag::from_name(new)))
            .collect(),
    }
}
