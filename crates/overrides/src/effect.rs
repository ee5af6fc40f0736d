//! Effects of overrides on servers and on the coverage of zones, and their form in the API.

use std::collections::BTreeMap;
use std::fmt;

use crate::Millis;
use crate::kind::OverrideId;
use crate::set::OverrideSet;

/// The effect of all overrides on one server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerAdjustment {
    /// Whether the server gets no new connections.
    pub is_out: bool,
    /// Present factor on the listed weight; 0 if the server is out of service.
    pub factor: f64,
    /// The factor at the end of the ramp.
    pub target_factor: f64,
}

impl ServerAdjustment {
    /// The value for a server without overrides.
    pub const AS_LISTED: ServerAdjustment = ServerAdjustment {
        is_out: false,
        factor: 1.0,
        target_factor: 1.0,
    };
}

/// The state of a server in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listed {
    /// No server of that name is listed.
    Absent,
    /// The server accepts new connections.
    Ready,
    /// The server is draining.
    Draining,
}

/// The present effect of an override.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// The override is in effect.
    InEffect,
    /// No effect until a server of that name is listed.
    NotListed,
    /// No effect while this other override is active.
    Shadowed(OverrideId),
    /// No effect: the pinned server is draining or out of service.
    ServerNotAccepting,
    /// The override has ended; the weight of its server may still be ramping up.
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

/// Zones that overrides leave without a ready server although ready ones are listed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CoverageGaps {
    /// Whether no server of the whole list is left.
    pub all_servers: bool,
    /// Names of the zones without a ready server.
    pub zones: Vec<String>,
}

impl CoverageGaps {
    /// Whether every zone has a ready server.
    pub fn is_empty(&self) -> bool {
        !self.all_servers && self.zones.is_empty()
    }

    /// The gaps that are not among `previous`.
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

/// Finds the zones whose servers are all taken out of service by overrides. `ready` gives the name
/// and zone of each server that is listed as ready.
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
