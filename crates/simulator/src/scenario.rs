//! Scenario files: their format, and their validation with line numbers.

mod failure;
mod fleet;

use std::fmt;
use std::ops::Range;

use beaconflow_policy::{
    DiscoveryMode, Limits, RequestClass as PolicyClass, RetrySafety, ServerRules, Settings,
};
use serde::Deserialize;
use toml::Spanned;

use crate::gateway::GatewayModel;
use crate::{Nanos, nanos};

pub use failure::{Failure, LinkDirection, Selection};
pub use fleet::Fleet;

/// A scenario. Durations are in seconds unless the name says otherwise.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Seed of all random draws.
    #[serde(default)]
    pub seed: u64,
    /// How long new clients arrive.
    pub seconds: f64,
    /// Number of balancers; they share nothing unless `fleet` says so.
    pub balancers: u32,
    /// Number of gateways, all with the same parameters.
    pub gateways: u32,
    /// Parameters of the gateways.
    #[serde(default)]
    pub make: GatewayModel,
    /// Number of zones; gateways and balancers are assigned to them in rotation.
    #[serde(default = "default_zones")]
    pub zones: u32,
    /// The shared session store, if connection setups use one.
    pub store: Option<Store>,
    /// Network delays.
    #[serde(default)]
    pub net: Net,
    /// Request classes of the clients.
    #[serde(rename = "class")]
    pub classes: Vec<Class>,
    /// Accounts; a single one for all clients if none is named.
    #[serde(default, rename = "account")]
    pub accounts: Vec<Account>,
    /// Behaviour of the clients.
    #[serde(default)]
    pub clients: Clients,
    /// Features by which the balancers cooperate.
    #[serde(default)]
    pub fleet: Fleet,
    /// Failures in the order of the file.
    #[serde(default, rename = "failure")]
    pub failures: Vec<Spanned<Failure>>,
}

fn default_zones() -> u32 {
    1
}

/// The shared session store.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Store {
    /// Maximum number of concurrent calls.
    pub at_once: usize,
    /// Mean duration of a call, in milliseconds.
    pub mean_ms: f64,
}

/// Mean one-way network delays, in milliseconds.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Net {
    /// Between client and balancer.
    pub client_ms: f64,
    /// Between balancer and gateway.
    pub gateway_ms: f64,
    /// Between a change in discovery and its arrival at a balancer.
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

/// A request class.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Name, as shown in results and errors.
    pub name: String,
    /// Latency objective for establishing a connection, in milliseconds.
    pub aim_ms: f64,
    /// Deadline of a request, in milliseconds.
    pub deadline_ms: f64,
    /// Latency objective of a message, in milliseconds.
    #[serde(default = "default_message_aim_ms")]
    pub message_aim_ms: f64,
    /// Worth of one connection, used as the priority weight of the class.
    #[serde(default = "default_worth")]
    pub worth: f64,
    /// New clients per second, over all balancers.
    pub a_second: f64,
    /// Connections that exist at the start, over all balancers.
    #[serde(default)]
    pub standing: u32,
    /// Mean lifetime of a connection, in seconds.
    pub life_s: f64,
    /// Mean work of one connection, in microseconds per second.
    pub load_us: f64,
    /// Spread of that work: standard deviation of its logarithm.
    #[serde(default)]
    pub load_sigma: f64,
    /// Mean time between load changes of a connection, in seconds; 0 for none.
    #[serde(default)]
    pub changes_s: f64,
}

fn default_message_aim_ms() -> f64 {
    50.0
}

fn default_worth() -> f64 {
    1.0
}

/// An account that clients belong to.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// Name, as shown in results and errors.
    pub name: String,
    /// Its share of the service under contention.
    pub share: f64,
    /// Its weight in the distribution of arriving clients over the accounts.
    pub part: f64,
}

/// Behaviour of the clients.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Clients {
    /// Number of groups whose members share work on a gateway; 0 for none.
    pub groups: u32,
    /// What a client does after a rejection, a failure or a lost connection.
    pub habit: RetryHabit,
    /// Base retry delay in milliseconds; it doubles with each try up to 32 times the base, with full jitter.
    pub wait_ms: f64,
    /// Mean delay before a migrated or disconnected client reconnects, in milliseconds.
    pub move_ms: f64,
    /// Number of tries after which a client gives up.
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

/// What a client does after a rejection, a failure or a lost connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RetryHabit {
    /// It does not retry.
    None,
    /// It retries at once and ignores the retry delay it was given.
    AtOnce,
    /// It retries after the delay it was given, or after its own backoff if it was given none.
    Waits,
    /// It ignores the delay it was given and retries after its own backoff.
    IgnoresTheTime,
}

/// Everything that is wrong with a scenario, one text per error.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScenarioError(pub Vec<String>);

impl fmt::Display for ScenarioError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0.join("\n"))
    }
}

impl std::error::Error for ScenarioError {}

impl Scenario {
    /// Parses and validates a scenario. Errors start with the line or the key they refer to.
    pub fn parse(text: &str) -> Result<Scenario, ScenarioError> {
        let line =
            |span: &Range<usize>| 1 + text[..span.start.min(text.len())].matches('\n').count();
        let scenario: Scenario = toml::from_str(text).map_err(|error| {
            let location = error
                .span()
                .map_or(String::new(), |span| format!("line {}: ", line(&span)));
            ScenarioError(vec![format!("{location}{}", error.message())])
        })?;
        let mut errors = scenario.validation_errors();
        for failure in &scenario.failures {
            let line_number = line(&failure.span());
            errors.extend(
                scenario
                    .failure_validation_errors(failure.get_ref())
                    .into_iter()
                    .map(|error| format!("line {line_number}: {error}")),
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
        let mut require = |is_valid: bool, message: String| {
            if !is_valid {
                errors.push(message);
            }
        };
        let is_positive = |value: f64| value.is_finite() && value > 0.0;
        require(
            is_positive(self.seconds) && self.seconds <= 86_400.0,
            "seconds: must be above 0 and at most 86400".into(),
        );
        require(
            (1..=10_000).contains(&self.balancers),
            "balancers: must be from 1 to 10000".into(),
        );
        require(
            (1..=100_000).contains(&self.gateways),
            "gateways: must be from 1 to 100000".into(),
        );
        require(
            (1..=1_000).contains(&self.zones),
            "zones: must be from 1 to 1000".into(),
        );
        require(
            self.make.cores > 0 && is_positive(self.make.speed),
            "make: cores and speed must be above 0".into(),
        );
        require(
            is_positive(self.make.set_up_ms) && is_positive(self.make.message_us),
            "make: set_up_ms and message_us must be above 0".into(),
        );
        require(
            is_positive(self.make.cold_share) && self.make.cold_share <= 1.0,
            "make.cold_share: must be above 0 and at most 1".into(),
        );
        require(
            !self.classes.is_empty(),
            "class: at least one class is required".into(),
        );
        for class in &self.classes {
            let name = &class.name;
            require(
                is_positive(class.aim_ms) && is_positive(class.deadline_ms),
                format!("class {name}: aim_ms and deadline_ms must be above 0"),
            );
            require(
                is_positive(class.life_s) && is_positive(class.load_us),
                format!("class {name}: life_s and load_us must be above 0"),
            );
            require(
                class.a_second.is_finite() && class.a_second >= 0.0,
                format!("class {name}: a_second must be a finite number of at least 0"),
            );
            require(
                class.worth.is_finite() && class.worth >= 0.0,
                format!("class {name}: worth must be a finite number of at least 0"),
            );
        }
        for account in &self.accounts {
            let is_valid =
                is_positive(account.share) && account.part.is_finite() && account.part >= 0.0;
            require(
                is_valid,
                format!(
                    "account {}: share must be above 0 and part at least 0",
                    account.name
                ),
            );
        }
        if let Some(store) = &self.store {
            require(
                store.at_once > 0 && is_positive(store.mean_ms),
                "store: at_once and mean_ms must be above 0".into(),
            );
        }
        errors.extend(self.fleet.validation_errors(self));
        errors
    }

    /// Settings of a balancer's policy engine.
    pub fn settings(&self, rank: u32) -> Settings {
        let class = |class: &Class| PolicyClass {
            deadline: nanos(class.deadline_ms / 1e3),
            retry_safety: RetrySafety::Idempotent,
            message_latency_objective: nanos(class.message_aim_ms / 1e3),
        };
        Settings {
            balancers: self.balancers,
            rank,
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
        }
    }

    /// How long new clients arrive.
    pub fn arrivals_duration(&self) -> Nanos {
        nanos(self.seconds)
    }
}

/// A cold gateway is overloaded when it receives more than this multiple of the clients per second it can take, over
/// [`COLD_OVERLOAD_WINDOW_S`].
pub const COLD_OVERLOAD_MULTIPLE: f64 = 3.0;
/// Window of [`COLD_OVERLOAD_MULTIPLE`], in seconds.
pub const COLD_OVERLOAD_WINDOW_S: f64 = 1.5;
/// Maximum number of attempts per request.
pub const MAX_ATTEMPTS: u32 = 6;
