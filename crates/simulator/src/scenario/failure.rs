//! What may go wrong, and what is wrong with how a file says it.

use serde::Deserialize;

use super::Scenario;

/// Something that goes wrong.
#[derive(Clone, Debug, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Failure {
    /// Gateways take work and answer nothing.
    Hang {
        /// When, from the start.
        at_s: f64,
        /// For how long.
        for_s: f64,
        /// Which, by number from 0.
        gateways: Vec<u32>,
    },
    /// Gateways are gone at once and come back cold.
    Crash {
        /// When, from the start.
        at_s: f64,
        /// They start again after this.
        for_s: f64,
        /// Which, by number from 0.
        gateways: Vec<u32>,
    },
    /// Gateways are listed as draining, are gone after a while, and come back cold.
    Drain {
        /// When, from the start.
        at_s: f64,
        /// They are gone this long after.
        gone_after_s: f64,
        /// They start again this long after they are gone.
        for_s: f64,
        /// Which, by number from 0.
        gateways: Vec<u32>,
    },
    /// The network resets connections, by chance, on all gateways alike.
    Resets {
        /// When, from the start.
        at_s: f64,
        /// For how long.
        for_s: f64,
        /// Part of what stands that is reset each second.
        part_a_second: f64,
        /// Part of the set-ups that are reset.
        #[serde(default)]
        set_ups: f64,
    },
    /// The store answers nothing.
    StoreStalled {
        /// When, from the start.
        at_s: f64,
        /// For how long.
        for_s: f64,
    },
    /// A balancer is killed, and starts again with its last list.
    BalancerKilled {
        /// When, from the start.
        at_s: f64,
        /// It starts again after this.
        for_s: f64,
        /// Which, by number from 0.
        balancer: u32,
    },
    /// Discovery tells nothing.
    DiscoveryAway {
        /// When, from the start.
        at_s: f64,
        /// For how long.
        for_s: f64,
    },
    /// Clients drop their connections and come again.
    Reconnect {
        /// When, from the start.
        at_s: f64,
        /// Within this.
        within_s: f64,
        /// Part of what stands.
        part: f64,
        /// They end them themselves; otherwise the connections break.
        #[serde(default)]
        by_client: bool,
    },
    /// Power is lost: balancers and gateways are gone at once, and start again together.
    PowerLoss {
        /// When, from the start.
        at_s: f64,
        /// It is back after this.
        for_s: f64,
        /// Which balancers.
        #[serde(default)]
        balancers: Selection,
        /// Which gateways; they come back cold.
        #[serde(default)]
        gateways: Selection,
        /// Which balancers have lost what was on their disks.
        #[serde(default)]
        disks_lost: Selection,
    },
    /// A new configuration is rolled over the balancers in steps, each at its time.
    ConfigRoll {
        /// When the first balancer takes it over.
        at_s: f64,
        /// Each further one takes it over so long after the one before.
        step_s: f64,
        /// Gateways and their new weights, as parts of what they had.
        #[serde(default)]
        weights: Vec<(u32, f64)>,
        /// Gateways that were not in the configuration before.
        #[serde(default)]
        added: Vec<u32>,
        /// Gateways that are in it no longer; they go on to stand.
        #[serde(default)]
        removed: Vec<u32>,
        /// Gateways that have another name from now on.
        #[serde(default)]
        renamed: Vec<u32>,
    },
    /// A zone's way to discovery, which is in zone 0, and to all other zones is lost. From then on each zone's clients
    /// come to its own balancers.
    UplinkLost {
        /// When, from the start.
        at_s: f64,
        /// For how long.
        for_s: f64,
        /// Which zone, from 1.
        zone: u32,
        /// Which way is lost; with none the same span is counted and nothing is lost.
        #[serde(default)]
        way: LinkDirection,
        /// It is lost for so long and back for so long, in turn; always, if 0.
        #[serde(default)]
        flap_s: f64,
    },
    /// The peers' talk is cut between some balancers and the others.
    PeersCut {
        /// When, from the start.
        at_s: f64,
        /// For how long.
        for_s: f64,
        /// Which balancers.
        balancers: Selection,
    },
    /// Clients of one account come at once, and again whatever they are told.
    Flood {
        /// When, from the start.
        at_s: f64,
        /// For how long they come.
        for_s: f64,
        /// How many clients.
        clients: u32,
        /// Which account, by name.
        account: String,
    },
}

impl Failure {
    /// When it begins, in seconds.
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

/// Which way of a link is lost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LinkDirection {
    /// Both.
    #[default]
    Both,
    /// What the zone sends.
    Out,
    /// What is sent to it.
    In,
    /// None.
    None,
}

/// Some of the balancers or gateways.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(untagged)]
pub enum Selection {
    /// These, by number from 0.
    Indices(Vec<u32>),
    /// A word: `all`.
    Keyword(String),
}

impl Default for Selection {
    fn default() -> Selection {
        Selection::Indices(Vec::new())
    }
}

impl Selection {
    /// Whether it is none.
    pub fn is_none(&self) -> bool {
        matches!(self, Selection::Indices(these) if these.is_empty())
    }

    /// Their numbers, of so many.
    pub fn of(&self, count: u32) -> Vec<u32> {
        match self {
            Selection::Indices(these) => these.clone(),
            Selection::Keyword(_) => (0..count).collect(),
        }
    }

    fn validation_errors(&self, field: &str, count: u32) -> Vec<String> {
        match self {
            Selection::Keyword(word) if word == "all" => Vec::new(),
            Selection::Keyword(word) => vec![format!("{field}: \"all\" or numbers, not {word:?}")],
            Selection::Indices(these) => {
                let unknown = these.iter().filter(|one| **one >= count);
                unknown
                    .map(|one| format!("{field}: there is no {one} of {count}"))
                    .collect()
            }
        }
    }
}

impl Scenario {
    /// What a failure names that there is not.
    pub(super) fn failure_validation_errors(&self, failure: &Failure) -> Vec<String> {
        let mut errors = Vec::new();
        if !(failure.at_s() >= 0.0 && failure.at_s() <= self.seconds) {
            errors.push(format!("at_s: within the scenario's {} s", self.seconds));
        }
        match failure {
            Failure::Hang { gateways, .. }
            | Failure::Crash { gateways, .. }
            | Failure::Drain { gateways, .. } => {
                let unknown = gateways.iter().filter(|gateway| **gateway >= self.gateways);
                errors.extend(unknown.map(|gateway| {
                    format!("gateways: there is no {gateway} of {}", self.gateways)
                }));
            }
            Failure::BalancerKilled { balancer, .. } if *balancer >= self.balancers => {
                errors.push(format!(
                    "balancer: there is no {balancer} of {}",
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
                    errors.push("for_s: above 0".into());
                }
                if balancers.is_none() && gateways.is_none() {
                    errors.push("balancers, gateways: one of them at least".into());
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
                    errors.push("step_s: not below 0".into());
                }
                let is_valid = |(_, part): &(u32, f64)| part.is_finite() && *part > 0.0;
                if !weights.iter().all(is_valid) {
                    errors.push("weights: parts above 0".into());
                }
                let weighted: Vec<u32> = weights.iter().map(|(gateway, _)| *gateway).collect();
                let fields = [
                    ("weights", &weighted),
                    ("added", added),
                    ("removed", removed),
                    ("renamed", renamed),
                ];
                for (field, these) in fields {
                    errors.extend(
                        Selection::Indices(these.clone()).validation_errors(field, self.gateways),
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
                    errors.push("for_s: above 0".into());
                }
                if *zone == 0 || *zone >= self.zones {
                    errors.push(format!(
                        "zone: from 1 to below the {} of the scenario",
                        self.zones
                    ));
                }
                if !(flap_s.is_finite() && *flap_s >= 0.0) {
                    errors.push("flap_s: not below 0".into());
                }
                if self.zones > self.balancers || self.zones > self.gateways {
                    errors.push("zones: no more than balancers and gateways".into());
                }
            }
            Failure::PeersCut { balancers, .. } => {
                if !self.fleet.uses_gossip() {
                    errors.push("peers-cut: the balancers of the scenario don't talk".into());
                }
                errors.extend(balancers.validation_errors("balancers", self.balancers));
            }
            Failure::StoreStalled { .. } if self.store.is_none() => {
                errors.push("store-stalled: the scenario has no store".into());
            }
            Failure::Flood { account, .. }
                if !self.accounts.iter().any(|known| known.name == *account) =>
            {
                errors.push(format!("account: there is no {account:?}"));
            }
            Failure::Reconnect { part, .. } if !(0.0..=1.0).contains(part) => {
                errors.push("part: from 0 to 1".into());
            }
            Failure::Resets {
                part_a_second,
                set_ups,
                ..
            } if !(0.0..=1.0).contains(part_a_second) || !(0.0..=1.0).contains(set_ups) => {
                errors.push("part_a_second, set_ups: from 0 to 1".into());
            }
            _ => {}
        }
        errors
    }
}
