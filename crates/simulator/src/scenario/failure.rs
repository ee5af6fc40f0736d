//! The failures that a scenario may contain, and their validation.

use serde::Deserialize;

use super::Scenario;

/// A failure during a run.
#[derive(Clone, Debug, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Failure {
    /// Gateways accept work and do not answer.
    Hang {
        /// Start of the failure, in seconds from the start of the run.
        at_s: f64,
        /// Duration, in seconds.
        for_s: f64,
        /// The affected gateways, by number from 0.
        gateways: Vec<u32>,
    },
    /// Gateways stop without warning and restart cold.
    Crash {
        /// Start of the failure, in seconds from the start of the run.
        at_s: f64,
        /// Time until they restart, in seconds.
        for_s: f64,
        /// The affected gateways, by number from 0.
        gateways: Vec<u32>,
    },
    /// Gateways are listed as draining, stop after a while, and restart cold.
    Drain {
        /// Start of the failure, in seconds from the start of the run.
        at_s: f64,
        /// Time until they stop, in seconds.
        gone_after_s: f64,
        /// Time from the stop until they restart, in seconds.
        for_s: f64,
        /// The affected gateways, by number from 0.
        gateways: Vec<u32>,
    },
    /// The network resets random connections on all gateways alike.
    Resets {
        /// Start of the failure, in seconds from the start of the run.
        at_s: f64,
        /// Duration, in seconds.
        for_s: f64,
        /// Fraction of the established connections that is reset each second.
        part_a_second: f64,
        /// Fraction of the connection setups that is reset.
        #[serde(default)]
        set_ups: f64,
    },
    /// The session store does not answer.
    StoreStalled {
        /// Start of the failure, in seconds from the start of the run.
        at_s: f64,
        /// Duration, in seconds.
        for_s: f64,
    },
    /// A balancer is killed and restarts, with the server list from its disk if it has recovery.
    BalancerKilled {
        /// Start of the failure, in seconds from the start of the run.
        at_s: f64,
        /// Time until it restarts, in seconds.
        for_s: f64,
        /// The affected balancer, by number from 0.
        balancer: u32,
    },
    /// Discovery is unavailable.
    DiscoveryAway {
        /// Start of the failure, in seconds from the start of the run.
        at_s: f64,
        /// Duration, in seconds.
        for_s: f64,
    },
    /// Clients lose or close their connections and reconnect.
    Reconnect {
        /// Start of the failure, in seconds from the start of the run.
        at_s: f64,
        /// Time over which the reconnects are spread, in seconds.
        within_s: f64,
        /// Fraction of the established connections.
        part: f64,
        /// Whether the clients close the connections; otherwise the connections break.
        #[serde(default)]
        by_client: bool,
    },
    /// Power is lost: balancers and gateways stop at once and restart together.
    PowerLoss {
        /// Start of the failure, in seconds from the start of the run.
        at_s: f64,
        /// Time until power is back, in seconds.
        for_s: f64,
        /// The balancers that lose power.
        #[serde(default)]
        balancers: Selection,
        /// The gateways that lose power; they restart cold.
        #[serde(default)]
        gateways: Selection,
        /// The balancers that lose the contents of their disks.
        #[serde(default)]
        disks_lost: Selection,
    },
    /// A new configuration is rolled out over the balancers one after the other.
    ConfigRoll {
        /// When the first balancer adopts it, in seconds from the start of the run.
        at_s: f64,
        /// Time between one balancer's adoption and the next, in seconds.
        step_s: f64,
        /// Gateways and their new weights, relative to their default weights.
        #[serde(default)]
        weights: Vec<(u32, f64)>,
        /// Gateways that the previous configuration did not contain.
        #[serde(default)]
        added: Vec<u32>,
        /// Gateways that the configuration no longer contains; they keep running.
        #[serde(default)]
        removed: Vec<u32>,
        /// Gateways that get a new name.
        #[serde(default)]
        renamed: Vec<u32>,
    },
    /// The uplink of a zone fails: its connection to discovery, which is in zone 0, and to all other zones. In a scenario
    /// with this failure the clients of each zone connect to the balancers of their own zone.
    UplinkLost {
        /// Start of the failure, in seconds from the start of the run.
        at_s: f64,
        /// Duration, in seconds.
        for_s: f64,
        /// The zone, from 1; discovery's zone 0 cannot be chosen.
        zone: u32,
        /// The direction that is lost. With `none` nothing is lost, but the same figures are counted over the same time, as a
        /// baseline.
        #[serde(default)]
        way: LinkDirection,
        /// The uplink alternates between down and up with this half-period, in seconds; 0 keeps it down.
        #[serde(default)]
        flap_s: f64,
    },
    /// The gossip between some balancers and the others is partitioned.
    PeersCut {
        /// Start of the failure, in seconds from the start of the run.
        at_s: f64,
        /// Duration, in seconds.
        for_s: f64,
        /// The balancers on one side of the partition.
        balancers: Selection,
    },
    /// Clients of one account arrive at once and retry at once whatever retry delay they are given.
    Flood {
        /// Start of the failure, in seconds from the start of the run.
        at_s: f64,
        /// How long they keep retrying, in seconds.
        for_s: f64,
        /// Number of clients.
        clients: u32,
        /// Name of the account.
        account: String,
    },
}

impl Failure {
    /// Start of the failure, in seconds from the start of the run.
    pub fn at_s(&self) -> f64 {
        match self {
            Failure::Hang { at_s, .. }
            | Failure::Crash { at_s, .. }
            | Failure::Drain { at_s, .. }
            | Failure::Resets { at_s, .. }
            | Failure::StoreStalled { at_s, .. }
            | Failure::BalancerKilled { at_s, .. }
            | Failure::DiscoveryAway { at_s, .. }
            | Failure::Reconnect { at_s, .. }
            | Failure::PowerLoss { at_s, .. }
            | Failure::ConfigRoll { at_s, .. }
            | Failure::UplinkLost { at_s, .. }
            | Failure::PeersCut { at_s, .. }
            | Failure::Flood { at_s, .. } => *at_s,
        }
    }
}

/// The direction of an uplink that is lost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LinkDirection {
    /// Both directions.
    #[default]
    Both,
    /// Traffic from the zone.
    Out,
    /// Traffic to the zone.
    In,
    /// Neither direction.
    None,
}

/// A selection of balancers or gateways.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(untagged)]
pub enum Selection {
    /// The listed ones, by number from 0.
    Indices(Vec<u32>),
    /// A keyword; only `all` is valid.
    Keyword(String),
}

impl Default for Selection {
    fn default() -> Selection {
        Selection::Indices(Vec::new())
    }
}

impl Selection {
    /// Whether nothing is selected.
    pub fn is_none(&self) -> bool {
        matches!(self, Selection::Indices(numbers) if numbers.is_empty())
    }

    /// The selected numbers, out of `count`. Every keyword counts as `all`, since validation rejects others.
    pub fn of(&self, count: u32) -> Vec<u32> {
        match self {
            Selection::Indices(numbers) => numbers.clone(),
            Selection::Keyword(_) => (0..count).collect(),
        }
    }

    fn validation_errors(&self, field: &str, count: u32) -> Vec<String> {
        match self {
            Selection::Keyword(keyword) if keyword == "all" => Vec::new(),
            Selection::Keyword(keyword) => vec![format!(
                "{field}: must be \"all\" or a list of numbers, not {keyword:?}"
            )],
            Selection::Indices(numbers) => {
                let unknown = numbers.iter().filter(|number| **number >= count);
                unknown
                    .map(|number| {
                        format!("{field}: {number} is out of range, must be below {count}")
                    })
                    .collect()
            }
        }
    }
}

impl Scenario {
    /// Errors in a failure: missing references and values out of range.
    pub(super) fn failure_validation_errors(&self, failure: &Failure) -> Vec<String> {
        let mut errors = Vec::new();
        if !(failure.at_s() >= 0.0 && failure.at_s() <= self.seconds) {
            errors.push(format!(
                "at_s: must be from 0 to the scenario's {} s",
                self.seconds
            ));
        }
        match failure {
            Failure::Hang { gateways, .. }
            | Failure::Crash { gateways, .. }
            | Failure::Drain { gateways, .. } => {
                let unknown = gateways.iter().filter(|gateway| **gateway >= self.gateways);
                errors.extend(unknown.map(|gateway| {
                    format!(
                        "gateways: {gateway} is out of range, must be below {}",
                        self.gateways
                    )
                }));
            }
            Failure::BalancerKilled { balancer, .. } if *balancer >= self.balancers => {
                errors.push(format!(
                    "balancer: {balancer} is out of range, must be below {}",
                    self.balancers
                ));
            }
            Failure::PowerLoss {
                for_s,
                balancers,
                gateways,
                disks_lost,
                ..
            } => {
                if !(for_s.is_finite() && *for_s > 0.0) {
                    errors.push("for_s: must be above 0".into());
                }
                if balancers.is_none() && gateways.is_none() {
                    errors.push("balancers, gateways: at least one of them is required".into());
                }
                errors.extend(balancers.validation_errors("balancers", self.balancers));
                errors.extend(gateways.validation_errors("gateways", self.gateways));
                errors.extend(disks_lost.validation_errors("disks_lost", self.balancers));
            }
            Failure::ConfigRoll {
                step_s,
                weights,
                added,
                removed,
                renamed,
                ..
            } => {
                if !(step_s.is_finite() && *step_s >= 0.0) {
                    errors.push("step_s: must be at least 0".into());
                }
                let is_valid = |(_, part): &(u32, f64)| part.is_finite() && *part > 0.0;
                if !weights.iter().all(is_valid) {
                    errors.push("weights: every weight must be above 0".into());
                }
                let weighted: Vec<u32> = weights.iter().map(|(gateway, _)| *gateway).collect();
                let fields = [
                    ("weights", &weighted),
                    ("added", added),
                    ("removed", removed),
                    ("renamed", renamed),
                ];
                for (field, numbers) in fields {
                    errors.extend(
                        Selection::Indices(numbers.clone()).validation_errors(field, self.gateways),
                    );
                }
            }
            Failure::UplinkLost {
                for_s,
                zone,
                flap_s,
                ..
            } => {
                if !(for_s.is_finite() && *for_s > 0.0) {
                    errors.push("for_s: must be above 0".into());
                }
                if *zone == 0 || *zone >= self.zones {
                    errors.push(format!(
                        "zone: must be at least 1 and below the scenario's {} zones",
                        self.zones
                    ));
                }
                if !(flap_s.is_finite() && *flap_s >= 0.0) {
                    errors.push("flap_s: must be at least 0".into());
                }
                if self.zones > self.balancers || self.zones > self.gateways {
                    errors
                        .push("zones: must not exceed the number of balancers or gateways".into());
                }
            }
            Failure::PeersCut { balancers, .. } => {
                if !self.fleet.uses_gossip() {
                    errors.push("peers-cut: the scenario has no gossip between balancers".into());
                }
                errors.extend(balancers.validation_errors("balancers", self.balancers));
            }
            Failure::StoreStalled { .. } if self.store.is_none() => {
                errors.push("store-stalled: the scenario has no store".into());
            }
            Failure::Flood { account, .. }
                if !self.accounts.iter().any(|known| known.name == *account) =>
            {
                errors.push(format!(
                    "account: {account:?} is not an account of the scenario"
                ));
            }
            Failure::Reconnect { part, .. } if !(0.0..=1.0).contains(part) => {
                errors.push("part: must be from 0 to 1".into());
            }
            Failure::Resets {
                part_a_second,
                set_ups,
                ..
            } if !(0.0..=1.0).contains(part_a_second) || !(0.0..=1.0).contains(set_ups) => {
                errors.push("part_a_second, set_ups: must be from 0 to 1".into());
            }
            _ => {}
        }
        errors
    }
}
