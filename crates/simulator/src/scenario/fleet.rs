//! Gossip between the balancers of a scenario, and the features that depend on it.

use std::collections::BTreeSet;

use serde::Deserialize;

use super::{Failure, Scenario};

/// Settings of the fleet. Every feature is off by default.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fleet {
    /// Fraction of the gossip datagrams that is lost.
    pub lost: f64,
    /// Mean one-way delay between balancers, in milliseconds.
    pub delay_ms: f64,
    /// Restarted balancers admit clients in stages, at the pace that cold gateways can take.
    pub recovery: bool,
    /// Reconnecting clients get their previous gateway, also across configuration changes.
    pub affinity: bool,
    /// Balancers detect failures of their zone's uplink and keep serving their zone on their own.
    pub edge: bool,
    /// Failed placements are counted over all balancers, which extends the retry delay of rejected clients.
    pub shared_n: bool,
    /// Clients per second that a warm gateway can take, the base of the overload limit of cold ones. With 0 it is a
    /// gateway's share of the initial connections divided by its warm-up time.
    pub borne: f64,
    /// Tolerance of a cold gateway above the overload limit: this many times the square root of the limit, plus this many
    /// setups.
    pub slack: f64,
    /// A cold gateway crashes when it receives more than the overload limit and the tolerance.
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
    /// Whether the balancers gossip, which every feature needs.
    pub fn uses_gossip(&self) -> bool {
        self.recovery || self.affinity || self.shared_n || self.edge
    }

    pub(super) fn validation_errors(&self, scenario: &Scenario) -> Vec<String> {
        let mut errors = Vec::new();
        let mut require = |is_valid: bool, message: &str| {
            if !is_valid {
                errors.push(message.to_owned());
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
        let has_initial_gateway =
            |zone: u32| (0..scenario.gateways).any(|at| at % zones == zone && !added.contains(&at));
        require(
            (0..zones).all(has_initial_gateway),
            "added: each zone must have a gateway from the start",
        );
        let is_non_negative = |value: f64| value.is_finite() && value >= 0.0;
        require(
            (0.0..1.0).contains(&self.lost),
            "fleet.lost: must be at least 0 and below 1",
        );
        require(
            is_non_negative(self.delay_ms) && self.delay_ms <= 60_000.0,
            "fleet.delay_ms: must be from 0 to 60000",
        );
        require(
            is_non_negative(self.borne),
            "fleet.borne: must be at least 0",
        );
        require(
            is_non_negative(self.slack),
            "fleet.slack: must be at least 0",
        );
        let has_rate = self.borne > 0.0 || scenario.classes.iter().any(|class| class.standing > 0);
        require(
            !(self.recovery || self.falls) || has_rate,
            "fleet.borne: must be above 0 unless a class has standing connections",
        );
        errors
    }
}

impl Scenario {
    /// Whether clients connect to the balancers of their own zone, which is so if the scenario has an uplink failure.
    pub fn routes_by_zone(&self) -> bool {
        self.failures
            .iter()
            .any(|failure| matches!(failure.get_ref(), Failure::UplinkLost { .. }))
    }

    /// Whether the results of a run contain figures of the fleet.
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

    /// Clients per second that a warm gateway can take.
    pub fn clients_per_warm_gateway_s(&self) -> f64 {
        let initial_connections: u32 = self.classes.iter().map(|class| class.standing).sum();
        let cold_s = self.make.cold_s.max(1.0);
        if self.fleet.borne > 0.0 {
            self.fleet.borne
        } else {
            f64::from(initial_connections) / f64::from(self.gateways) / cold_s
        }
    }
}
