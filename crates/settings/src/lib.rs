//! The settings of a site: one type for the adapter, which gets it on the simulator's wire, and for the
//! balancer, which reads it from its configuration.
//!
//! ```
//! use beaconflow_settings::Setup;
//!
//! let setup: Setup = serde_json::from_str(
//!     r#"{"discovery": "subscribe",
//!         "lanes": [{"name": "chat", "on-time-ns": 300000000, "hard-limit-ns": 1800000000,
//!                    "effect": "retryable", "value": 1.0}],
//!         "policy-limits": {"max-attempts": 4},
//!         "rules": {"cold-share": 0.2, "cold-ns": 20000000000, "tip-multiple": 3.0, "fall-ns": 1500000000}}"#,
//! )?;
//! assert_eq!(setup.class("chat"), Some(0));
//! assert_eq!(setup.module().limits.max_attempts, 4);
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

#![forbid(unsafe_code)]

mod fields;
mod in_force;
mod read;

use std::time::Duration;

use beaconflow_policy::{
    DiscoveryMode, Limits, Nanos, RequestClass, RetrySafety, ServerRules, Settings, TrafficCosts,
    ZoneId,
};

pub use fields::{Fault, Faults, Fields, Met};
pub use in_force::InForce;

/// The object that the simulator's first message gives an instance and a balancer's configuration repeats.
/// Keys that are not acted upon are disregarded.
#[derive(Clone, Debug, PartialEq)]
pub struct Setup {
    balancers: Option<u32>,
    rank: u32,
    zone: ZoneId,
    zones: Vec<String>,
    lanes: Vec<Lane>,
    projects: Vec<Project>,
    discovery: DiscoveryMode,
    live_weights: bool,
    limits: Limits,
    rules: ServerRules,
    prices: TrafficCosts,
}

/// A class by its name.
#[derive(Clone, Debug, PartialEq)]
struct Lane {
    name: String,
    aim: Nanos,
    deadline: Nanos,
    repeat: RetrySafety,
    message_aim: Nanos,
    worth: f64,
}

/// A tenant and its part of the service.
#[derive(Clone, Debug, PartialEq)]
struct Project {
    name: String,
    share: Option<f64>,
}

impl Lane {
    fn class(&self) -> RequestClass {
        RequestClass {
            latency_objective: self.aim,
            deadline: self.deadline,
            retry_safety: self.repeat,
            message_latency_objective: self.message_aim,
            priority_weight: self.worth,
        }
    }
}

impl Setup {
    /// The place of the class with this name.
    pub fn class(&self, name: &str) -> Option<usize> {
        self.lanes.iter().position(|lane| lane.name == name)
    }

    /// The places of classes without a name.
    pub fn nameless(&self) -> impl Iterator<Item = usize> {
        let nameless = |(_, lane): &(usize, &Lane)| lane.name.is_empty();
        self.lanes
            .iter()
            .enumerate()
            .filter(nameless)
            .map(|(at, _)| at)
    }

    /// How long a client of this class waits where its wire does not say; nothing for a class there is not.
    pub fn patience(&self, class: usize) -> Duration {
        self.lanes
            .get(class)
            .map_or(Duration::ZERO, |lane| Duration::from_nanos(lane.deadline))
    }

    /// Whether a tenant has this name; any has where the site lists none.
    pub fn knows_tenant(&self, name: &str) -> bool {
        self.projects.is_empty() || self.projects.iter().any(|project| project.name == name)
    }

    /// The tenants of the site and their parts of the service, where they are given and make sense.
    pub fn shares(&self) -> impl Iterator<Item = (&str, f64)> {
        let sound = |share: &f64| share.is_finite() && *share > 0.0;
        self.projects
            .iter()
            .filter_map(move |project| Some((project.name.as_str(), project.share.filter(sound)?)))
    }

    /// Whether servers may be asked for their load, and tell it.
    pub fn may_probe(&self) -> bool {
        self.limits.can_probe
    }

    /// A connection that is not up by then has failed. Where the settings don't say, it has the time in which the
    /// quickest class wants to stand.
    pub fn connect_timeout(&self) -> Nanos {
        let quickest = || {
            self.lanes
                .iter()
                .map(|lane| lane.aim)
                .min()
                .unwrap_or(Nanos::MAX)
        };
        if self.limits.connect_timeout > 0 {
            self.limits.connect_timeout
        } else {
            quickest()
        }
    }

    /// An answer to such a question that is not there by then is none: a connection may have to come up first.
    pub fn probe_patience(&self) -> Duration {
        Duration::from_nanos(self.connect_timeout().saturating_mul(2))
    }

    /// Whether an agent on the balancer's own machine holds the list.
    pub fn is_pushed(&self) -> bool {
        self.discovery == DiscoveryMode::Pushed
    }

    /// Whether they say how many balancers there are. One that is not told takes itself for the only one.
    pub fn counts_balancers(&self) -> bool {
        self.balancers.is_some()
    }

    /// The same settings, with the way in which lists come as another's. Guards against a program whose module waits
    /// for lists in one way while its watch, which was set up at the start, follows the other.
    pub fn with_discovery_of(self, other: &Setup) -> Setup {
        Setup {
            discovery: other.discovery,
            ..self
        }
    }

    /// What these settings say otherwise than others, by the names in the file.
    pub fn differs_from(&self, other: &Setup) -> Vec<String> {
        let count = || format!("{} balancers", self.balancers.unwrap_or(1));
        let parts = [
            (
                count(),
                (self.balancers, self.rank) != (other.balancers, other.rank),
            ),
            (
                "zones".into(),
                (&self.zones, self.zone) != (&other.zones, other.zone),
            ),
            ("lanes".into(), self.lanes != other.lanes),
            ("shares".into(), self.projects != other.projects),
            ("policy-limits".into(), self.limits != other.limits),
            ("rules".into(), self.rules != other.rules),
            ("prices".into(), self.prices != other.prices),
            (
                "weight-kind".into(),
                self.live_weights != other.live_weights,
            ),
        ];
        parts
            .into_iter()
            .filter(|(_, differs)| *differs)
            .map(|(part, _)| part)
            .collect()
    }

    /// Whether an admission queue is the same under other settings: the same classes in the same order, and the same
    /// tenants with the same shares.
    pub fn queues_as(&self, other: &Setup) -> bool {
        self.lanes == other.lanes && self.projects == other.projects
    }

    /// The place of the zone with this name.
    pub fn zone(&self, name: &str) -> Option<u32> {
        let place = self.zones.iter().position(|zone| zone == name)?;
        u32::try_from(place).ok()
    }

    /// What the decision module is told of it.
    pub fn module(&self) -> Settings {
        Settings {
            balancers: self.balancers.unwrap_or(1),
            rank: self.rank,
            zone: self.zone,
            classes: self.lanes.iter().map(Lane::class).collect(),
            has_live_weights: self.live_weights,
            discovery: self.discovery,
            limits: self.limits.clone(),
            rules: self.rules.clone(),
            costs: self.prices.clone(),
        }
    }
}

/// A fixed hash of a text (FNV-1a with a final mix), the same in every process.
pub fn digest(text: &str) -> u64 {
    let mut hash = 0xcbf2_9ce4_8422_2325_u64;
    for byte in text.bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    hash ^= hash >> 32;
    hash.wrapping_mul(0x9e37_79b9_7f4a_7c15)
}
