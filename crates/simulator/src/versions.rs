//! The configurations that a scenario rolls out over its balancers, in the form that the affinity crate reads.

use beaconflow_affinity::{Routing, Server, Tag, Version, renames};
use rustc_hash::FxHashMap;

use crate::scenario::{Failure, Scenario};

/// One configuration of the roll-out.
pub struct RolledConfiguration {
    /// Content version, as the affinity crate computes it.
    pub version: Version,
    /// For each gateway the tag of its name and its weight relative to its default; `None` if it is not configured.
    pub gateways: Vec<Option<(Tag, f64)>>,
    /// For each gateway whether its name differs from its original name.
    pub renamed: Vec<bool>,
    /// Old and new name tag of each gateway renamed since the previous configuration.
    pub renames: Vec<(Tag, Tag)>,
}

/// All configurations of a scenario: the initial one, then one per roll in file order.
pub struct Configurations {
    /// The configurations by index; 0 is the initial one.
    pub all: Vec<RolledConfiguration>,
    gateway: FxHashMap<Tag, u32>,
}

impl Configurations {
    /// Builds the configurations from the `config-roll` failures of a scenario.
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
        let tags = all
            .iter()
            .flat_map(|configuration| configuration.gateways.iter().enumerate());
        let gateway = tags
            .filter_map(|(at, configuration)| Some((configuration.as_ref()?.0, at as u32)))
            .collect();
        Configurations { all, gateway }
    }

    /// The gateway whose current or former name has this tag.
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
