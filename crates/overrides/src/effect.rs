//! Effects of overrides: on a server, on coverage, and as they are shown.

use std::collections::BTreeMap;
use std::fmt;

use crate::Millis;
use crate::kind::Id;
use crate::set::Set;

/// The effect of all overrides on one server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerAdjustment {
    /// Whether it gets no new connections.
    pub out: bool,
    /// Factor on its listed weight; 0 if it is out of service.
    pub factor: f64,
    /// The factor at the end of the ramp.
    pub to: f64,
}

impl ServerAdjustment {
    /// No override applies.
    pub const AS_LISTED: ServerAdjustment = ServerAdjustment {
        out: false,
        factor: 1.0,
        to: 1.0,
    };
}

/// The listed state of a server by name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listed {
    /// Not listed.
    Absent,
    /// Accepts new connections.
    Ready,
    /// Draining.
    Leaving,
}

/// The present effect of an override.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// In effect.
    InEffect,
    /// No effect until a server of that name is listed.
    NotListed,
    /// No effect while the other one is active.
    Shadowed(Id),
    /// A pin to a server that drains or is out of service.
    TakesNothing,
    /// It has ended; a weight may still be ramping up.
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

/// Places that overrides leave without a ready server although the list has some.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Judgement {
    /// The whole list.
    pub all_servers: bool,
    /// These zones.
    pub zones: Vec<String>,
}

impl Judgement {
    /// Whether there is a ready server everywhere.
    pub fn is_sound(&self) -> bool {
        !self.all_servers && self.zones.is_empty()
    }

    /// What is missing here but not in another assessment.
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

/// Finds places without a ready server among those that are listed as ready: name and zone of each.
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
