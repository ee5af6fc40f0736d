//! What overrides come to: for a server, for a person who looks at one, and for the farm as a whole.

use std::collections::BTreeMap;
use std::fmt;

use crate::Millis;
use crate::kind::Id;
use crate::set::Set;

/// What a server is under the overrides.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerAdjustment {
    /// It gets nothing new.
    pub out: bool,
    /// What its listed weight is multiplied by; 0 where it is out.
    pub factor: f64,
    /// The factor that it comes to in the end, if it rises.
    pub to: f64,
}

impl ServerAdjustment {
    /// No override concerns it.
    pub const AS_LISTED: ServerAdjustment = ServerAdjustment {
        out: false,
        factor: 1.0,
        to: 1.0,
    };
}

/// What is listed under a server's name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listed {
    /// Nothing.
    Absent,
    /// A server that takes new work.
    Ready,
    /// A server that drains.
    Leaving,
}

/// What an override does now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// What it says.
    InEffect,
    /// Nothing, until a server of that name is listed.
    NotListed,
    /// Nothing, as long as the other one holds.
    Shadowed(Id),
    /// A pin to a server that drains or is out.
    TakesNothing,
    /// It has ended; a weight may still be on its way back.
    Ended,
}

impl fmt::Display for Effect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Effect::InEffect => f.write_str("in effect"),
            Effect::NotListed => f.write_str("server not listed"),
            Effect::Shadowed(by) => write!(f, "shadowed by {by}"),
            Effect::TakesNothing => f.write_str("server takes nothing new"),
            Effect::Ended => f.write_str("ended"),
        }
    }
}

/// Where overrides leave no server that takes new work, though the list has some.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Judgement {
    /// In all the farm.
    pub all_servers: bool,
    /// In these zones.
    pub zones: Vec<String>,
}

impl Judgement {
    /// Whether there is a server everywhere.
    pub fn is_sound(&self) -> bool {
        !self.all_servers && self.zones.is_empty()
    }

    /// What it finds at fault beyond another one.
    pub fn beyond(&self, before: &Judgement) -> Judgement {
        let zones = self
            .zones
            .iter()
            .filter(|zone| !before.zones.contains(zone));
        Judgement {
            all_servers: self.all_servers && !before.all_servers,
            zones: zones.cloned().collect(),
        }
    }
}

impl fmt::Display for Judgement {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (self.all_servers, self.zones.as_slice()) {
            (true, _) => f.write_str("no ready server in the whole farm"),
            (false, []) => f.write_str("a ready server everywhere"),
            (false, zones) => write!(f, "no ready server in zone {}", zones.join(", ")),
        }
    }
}

/// Looks for places without a ready server, among those that are listed as ready: name and zone of each.
pub fn assess<'a>(
    ready: impl Iterator<Item = (&'a str, &'a str)>,
    set: &Set,
    now: Millis,
) -> Judgement {
    let mut left: BTreeMap<&str, bool> = BTreeMap::new();
    for (name, zone) in ready {
        *left.entry(zone).or_default() |= !set.server(name, now).out;
    }
    let all_servers = !left.is_empty() && left.values().all(|any| !any);
    let zones = left
        .into_iter()
        .filter(|(_, any)| !any)
        .map(|(zone, _)| zone.to_owned())
        .collect();
    Judgement { all_servers, zones }
}
