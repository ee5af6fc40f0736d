//! Effects of overrides: on a server, on coverage, and as they are shown.

use std::collections::BTreeMap;
use std::fmt;

use crate::Millis;
use crate::kind::OverrideId;
use crate::set::OverrideSet;

/// The effect of all overrides on one server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerAdjustment {
    /// Whether it gets no new connections.
    pub is_out: bool,
    /// Factor on its listed weight; 0 if it is out of service.
    pub factor: f64,
    /// The factor at the end of the ramp.
    pub target_factor: f64,
}

impl ServerAdjustment {
    /// No override applies.
    pub const AS_LISTED: ServerAdjustment = ServerAdjustment {
        is_out: false,
        factor: 1.0,
        target_factor: 1.0,
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
    Draining,
}

/// The present effect of an override.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// In effect.
    InEffect,
    /// No effect until a server of that name is listed.
    NotListed,
    /// No effect while the other one is active.
    Shadowed(OverrideId),
    /// A pin to a server that drains or is out of service.
    ServerNotAccepting,
    /// It has ended; a weight may still be ramping up.
    Ended,
}

impl fmt::Display for Effect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Effect::InEffect => f.write_str("in effect"),
            Effect::NotListed => f.write_str("server not listed"),
            Effect::Shadowed(by) => write!(f, "shadowed by {by}"),
            Effect::ServerNotAccepting => f.write_str("server takes nothing new"),
            Effect::Ended => f.write_str("ended"),
        }
    }
}

/// Places that overrides leave without a ready server although the list has some.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CoverageGaps {
    /// The whole list.
    pub all_servers: bool,
    /// These zones.
    pub zones: Vec<String>,
}

impl CoverageGaps {
    /// Whether there is a ready server everywhere.
    pub fn is_empty(&self) -> bool {
        !self.all_servers && self.zones.is_empty()
    }

    /// What is missing here but not in another assessment.
    pub fn new_since(&self, previous: &CoverageGaps) -> CoverageGaps {
        let zones = self
            .zones
            .iter()
            .filter(|zone| !previous.zones.contains(zone));
        CoverageGaps {
            all_servers: self.all_servers && !previous.all_servers,
            zones: zones.cloned().collect(),
        }
    }
}

impl fmt::Display for CoverageGaps {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (self.all_servers, self.zones.as_slice()) {
            (true, _) => f.write_str("no ready server in the whole farm"),
            (false, []) => f.write_str("a ready server everywhere"),
            (false, zones) => write!(f, "no ready server in zone {}", zones.join(", ")),
        }
    }
}

/// Finds places without a ready server among those that are listed as ready: name and zone of each.
pub fn find_coverage_gaps<'a>(
    ready: impl Iterator<Item = (&'a str, &'a str)>,
    set: &OverrideSet,
    now: Millis,
) -> CoverageGaps {
    let mut zone_has_ready: BTreeMap<&str, bool> = BTreeMap::new();
    for (name, zone) in ready {
        *zone_has_ready.entry(zone).or_default() |= !set.server_adjustment(name, now).is_out;
    }
    let all_servers =
        !zone_has_ready.is_empty() && zone_has_ready.values().all(|has_ready| !has_ready);
    let zones = zone_has_ready
        .into_iter()
        .filter(|(_, has_ready)| !has_ready)
        .map(|(zone, _)| zone.to_owned())
        .collect();
    CoverageGaps { all_servers, zones }
}
