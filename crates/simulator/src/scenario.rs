//! What a scenario's file says, and everything that is wrong with it, each with its line.

mod failure;
mod fleet;

use std::fmt;
use std::ops::Range;

use beaconflow_policy::{
    DiscoveryMode, Limits, RequestClass as PolicyClass, RetrySafety, ServerRules, Settings,
    TrafficCosts, ZoneId,
};
use serde::Deserialize;
use toml::Spanned;

use crate::gateway::GatewayModel;
use crate::{Nanos, nanos};

pub use failure::{Failure, LinkDirection, Selection};
pub use fleet::Fleet;

/// A scenario. Spans are in seconds unless a name says otherwise.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Everything that is by chance is drawn from this.
    #[serde(default)]
    pub seed: u64,
    /// How long clients come.
    pub seconds: f64,
    /// Balancers that share nothing.
    pub balancers: u32,
    /// Gateways, all of one make.
    pub gateways: u32,
    /// What they are made of.
    #[serde(default)]
    pub make: GatewayModel,
    /// Zones; gateways and balancers are dealt to them in turn.
    #[serde(default = "one")]
    pub zones: u32,
    /// The shared session store, if set-ups call one.
    pub store: Option<Store>,
    /// The network.
    #[serde(default)]
    pub net: Net,
    /// Classes of clients.
    #[serde(rename = "class")]
    pub classes: Vec<Class>,
    /// Accounts; one if none is named.
    #[serde(default, rename = "account")]
    pub accounts: Vec<Account>,
    /// How clients behave.
    #[serde(default)]
    pub clients: Clients,
    /// What the balancers know together, and what they do with it.
    #[serde(default)]
    pub fleet: Fleet,
    /// What goes wrong.
    #[serde(default, rename = "failure")]
    pub failures: Vec<Spanned<Failure>>,
}

fn one() -> u32 {
    1
}

/// The shared store.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Store {
    /// Calls that it works on at once.
    pub at_once: usize,
    /// How long one takes on average, in milliseconds.
    pub mean_ms: f64,
}

/// The network: one way, in milliseconds.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Net {
    /// Between client and balancer.
    pub client_ms: f64,
    /// Between balancer and gateway.
    pub gateway_ms: f64,
    /// Discovery's word reaches a balancer after this on average.
    pub discovery_ms: f64,
}

impl Default for Net {
    fn default() -> Net {
        Net {
            client_ms: 0.6,
            gateway_ms: 0.4,
            discovery_ms: 700.0,
        }
    }
}

/// A class of clients.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Wanted time to a standing connection, in milliseconds.
    pub aim_ms: f64,
    /// Whole time that a client waits for one answer, in milliseconds.
    pub deadline_ms: f64,
    /// Wanted time of a message, in milliseconds.
    #[serde(default = "default_message_aim_ms")]
    pub message_aim_ms: f64,
    /// Worth of one connection.
    #[serde(default = "default_worth")]
    pub worth: f64,
    /// New clients a second, over all balancers.
    pub a_second: f64,
    /// Connections that stand at the start, over all balancers.
    #[serde(default)]
    pub standing: u32,
    /// How long a connection lasts on average.
    pub life_s: f64,
    /// Work of one connection on average, in microseconds a second.
    pub load_us: f64,
    /// How uneven that is: sigma of the logarithm.
    #[serde(default)]
    pub load_sigma: f64,
    /// A connection's load changes after this long on average; never, if 0.
    #[serde(default)]
    pub changes_s: f64,
}

fn default_message_aim_ms() -> f64 {
    50.0
}

fn default_worth() -> f64 {
    1.0
}

/// An account.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// Its name.
    pub name: String,
    /// Its share of the service.
    pub share: f64,
    /// Its part of the clients that come, against the others'.
    pub part: f64,
}

/// How clients behave.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Clients {
    /// Groups that share work; none if 0.
    pub groups: u32,
    /// What one does that was refused, failed or cut off.
    pub habit: RetryHabit,
    /// The wait of those who wait, at first; it doubles up to 32 times that, by full jitter.
    pub wait_ms: f64,
    /// A client that was told to move is back after this on average.
    pub move_ms: f64,
    /// Tries after which a client gives up.
    pub tries: u32,
}

impl Default for Clients {
    fn default() -> Clients {
        Clients {
            groups: 0,
            habit: RetryHabit::Waits,
            wait_ms: 100.0,
            move_ms: 80.0,
            tries: 20,
        }
    }
}

/// A client's habit when it was refused, failed or cut off.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RetryHabit {
    /// It does not come again.
    None,
    /// It comes again at once, whatever it was told.
    AtOnce,
    /// It comes at the told time, else after a wait of its own.
    Waits,
    /// It takes no notice of the told time, and comes after a wait of its own.
    IgnoresTheTime,
}

/// Everything that is wrong with a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScenarioError(pub Vec<String>);

impl fmt::Display for ScenarioError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0.join("\n"))
    }
}

impl std::error::Error for ScenarioError {}

impl Scenario {
    /// Reads a scenario.
    pub fn parse(text: &str) -> Result<Scenario, ScenarioError> {
        let line =
            |span: &Range<usize>| 1 + text[..span.start.min(text.len())].matches('\n').count();
        let scenario: Scenario = toml::from_str(text).map_err(|error| {
            let at = error
                .span()
                .map_or(String::new(), |span| format!("line {}: ", line(&span)));
            ScenarioError(vec![format!("{at}{}", error.message())])
        })?;
        let mut errors = scenario.validation_errors();
        for failure in &scenario.failures {
            let at = line(&failure.span());
            errors.extend(
                scenario
                    .failure_validation_errors(failure.get_ref())
                    .into_iter()
                    .map(|why| format!("line {at}: {why}")),
            );
        }
        if errors.is_empty() {
            Ok(scenario)
        } else {
            Err(ScenarioError(errors))
        }
    }

    fn validation_errors(&self) -> Vec<String> {
        let mut errors = Vec::new();
        let mut require = |is_valid: bool, what: String| {
            if !is_valid {
                errors.push(what);
            }
        };
        let above = |value: f64| value.is_finite() && value > 0.0;
        require(
            above(self.seconds) && self.seconds <= 86_400.0,
            "seconds: from above 0 to a day".into(),
        );
        require(
            (1..=10_000).contains(&self.balancers),
            "balancers: from 1 to 10000".into(),
        );
        require(
            (1..=100_000).contains(&self.gateways),
            "gateways: from 1 to 100000".into(),
        );
        require(
            (1..=1_000).contains(&self.zones),
            "zones: from 1 to 1000".into(),
        );
        require(
            self.make.cores > 0 && above(self.make.speed),
            "make: cores and speed above 0".into(),
        );
        require(
            above(self.make.set_up_ms) && above(self.make.message_us),
            "make: works above 0".into(),
        );
        require(
            above(self.make.cold_share) && self.make.cold_share <= 1.0,
            "make.cold_share: above 0, to 1".into(),
        );
        require(!self.classes.is_empty(), "class: at least one".into());
        for class in &self.classes {
            let name = &class.name;
            require(
                above(class.aim_ms) && above(class.deadline_ms),
                format!("class {name}: aim and deadline above 0"),
            );
            require(
                above(class.life_s) && above(class.load_us),
                format!("class {name}: life and load above 0"),
            );
            require(
                class.a_second.is_finite() && class.a_second >= 0.0,
                format!("class {name}: a_second is no rate"),
            );
            require(
                class.worth.is_finite() && class.worth >= 0.0,
                format!("class {name}: worth is below 0"),
            );
        }
        for account in &self.accounts {
            let is_valid = above(account.share) && account.part.is_finite() && account.part >= 0.0;
            require(
                is_valid,
                format!("account {}: share above 0, part not below", account.name),
            );
        }
        if let Some(store) = &self.store {
            require(
                store.at_once > 0 && above(store.mean_ms),
                "store: at_once and mean_ms above 0".into(),
            );
        }
        errors.extend(self.fleet.validation_errors(self));
        errors
    }

    /// What a balancer's module is told of this site.
    pub fn settings(&self, rank: u32) -> Settings {
        let class = |class: &Class| PolicyClass {
            latency_objective: nanos(class.aim_ms / 1e3),
            deadline: nanos(class.deadline_ms / 1e3),
            retry_safety: RetrySafety::Idempotent,
            message_latency_objective: nanos(class.message_aim_ms / 1e3),
            priority_weight: class.worth,
        };
        Settings {
            balancers: self.balancers,
            rank,
            zone: ZoneId(rank % self.zones),
            classes: self.classes.iter().map(class).collect(),
            discovery: DiscoveryMode::Polled,
            has_live_weights: false,
            limits: Limits {
                max_attempts: MAX_ATTEMPTS,
                sends_retry_after: true,
                max_retry_after: nanos(2.0),
                can_probe: false,
                connect_timeout: nanos(0.2),
            },
            rules: ServerRules {
                initial_capacity: self.make.cold_share,
                warm_up_time: nanos(self.make.cold_s),
                overload_multiple: COLD_OVERLOAD_MULTIPLE,
                overload_window: nanos(COLD_OVERLOAD_WINDOW_S),
                list_max_age: nanos(10.0),
            },
            costs: TrafficCosts::default(),
        }
    }

    /// How long clients come.
    pub fn arrivals_duration(&self) -> Nanos {
        nanos(self.seconds)
    }
}

/// The rule on cold gateways: times what one bears that tip it over, and for how long, in seconds.
pub const COLD_OVERLOAD_MULTIPLE: f64 = 3.0;
/// See [`TIP_MULTIPLE`].
pub const COLD_OVERLOAD_WINDOW_S: f64 = 1.5;
/// Attempts for one request at most.
pub const MAX_ATTEMPTS: u32 = 6;
