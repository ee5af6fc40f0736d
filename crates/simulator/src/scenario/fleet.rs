//! What the balancers of a scenario know together, and which of the fleet's features they have.

use std::collections::BTreeSet;

use serde::Deserialize;

use super::{Failure, Scenario};

/// The fleet. Everything is off unless it is switched on.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fleet {
    /// Part of the peers' datagrams that is lost.
    pub lost: f64,
    /// One way between peers on average, in milliseconds.
    pub delay_ms: f64,
    /// Balancers come back from darkness by turns, at the pace that the cold gateways bear.
    pub recovery: bool,
    /// Clients that return get the gateway that they had, while configurations change.
    pub affinity: bool,
    /// Each zone judges its uplink, and serves on alone while that is lost.
    pub edge: bool,
    /// Failed placements are counted over all balancers: how long a refused client stays away goes by all of them.
    pub shared_n: bool,
    /// Clients a second that a warm gateway bears, over which the rule on cold ones counts; 0: what stands at the start,
    /// within the time in which a gateway warms up.
    pub borne: f64,
    /// Beyond what the rule allows, a cold gateway bears so many roots of it, and so many set-ups, more.
    pub slack: f64,
    /// A cold gateway falls over when it is sent more than the rule allows and what chance adds to it.
    pub falls: bool,
}

impl Default for Fleet {
    fn default() -> Fleet {
        Fleet {
            lost: 0.0,
            delay_ms: 2.0,
            recovery: false,
            affinity: false,
            shared_n: false,
            edge: false,
            borne: 0.0,
            slack: 3.0,
            falls: false,
        }
    }
}

impl Fleet {
    /// Whether the balancers talk to each other.
    pub fn uses_gossip(&self) -> bool {
        self.recovery || self.affinity || self.shared_n || self.edge
    }

    pub(super) fn validation_errors(&self, scenario: &Scenario) -> Vec<String> {
        let mut errors = Vec::new();
        let mut require = |is_valid: bool, what: &str| {
            if !is_valid {
                errors.push(what.to_owned());
            }
        };
        let added = scenario
            .failures
            .iter()
            .flat_map(|failure| match failure.get_ref() {
                Failure::ConfigRoll { added, .. } => added.clone(),
                _ => Vec::new(),
            });
        let added: BTreeSet<u32> = added.collect();
        let zones = if scenario.routes_by_zone() {
            scenario.zones.max(1)
        } else {
            1
        };
        let is_there =
            |zone: u32| (0..scenario.gateways).any(|at| at % zones == zone && !added.contains(&at));
        require(
            (0..zones).all(is_there),
            "added: each zone has to have a gateway from the start",
        );
        let not_below = |value: f64| value.is_finite() && value >= 0.0;
        require(
            (0.0..1.0).contains(&self.lost),
            "fleet.lost: from 0 to below 1",
        );
        require(
            not_below(self.delay_ms) && self.delay_ms <= 60_000.0,
            "fleet.delay_ms: from 0 to 60000",
        );
        require(not_below(self.borne), "fleet.borne: not below 0");
        require(not_below(self.slack), "fleet.slack: not below 0");
        let knows = self.borne > 0.0 || scenario.classes.iter().any(|class| class.standing > 0);
        require(
            !(self.recovery || self.falls) || knows,
            "fleet.borne: above 0, or connections that stand at the start",
        );
        errors
    }
}

impl Scenario {
    /// Whether each zone's clients come to its own balancers: its uplink is to be lost.
    pub fn routes_by_zone(&self) -> bool {
        self.failures
            .iter()
            .any(|failure| matches!(failure.get_ref(), Failure::UplinkLost { .. }))
    }

    /// Whether a run has figures of the fleet to tell.
    pub fn reports_fleet_figures(&self) -> bool {
        let is_roll = |failure: &Failure| {
            matches!(
                failure,
                Failure::ConfigRoll { .. } | Failure::UplinkLost { .. }
            )
        };
        self.fleet.uses_gossip()
            || self
                .failures
                .iter()
                .any(|failure| is_roll(failure.get_ref()))
    }

    /// Clients a second that a warm gateway bears.
    pub fn clients_per_warm_gateway_s(&self) -> f64 {
        let stands: u32 = self.classes.iter().map(|class| class.standing).sum();
        let cold_s = self.make.cold_s.max(1.0);
        if self.fleet.borne > 0.0 {
            self.fleet.borne
        } else {
            f64::from(stands) / f64::from(self.gateways) / cold_s
        }
    }
}
