//! The settings of a site: one type for the adapter, which receives it from the simulator, and for
//! the balancer, which reads it from its configuration.
//!
//! The names in the file and on the wire are mapped to the terms of the code here and nowhere else.
//!
//! ```
//! use beaconflow_settings::SiteSettings;
//!
//! let settings: SiteSettings = serde_json::from_str(
//!     r#"{"discovery": "subscribe",
//!         "lanes": [{"name": "chat", "on-time-ns": 300000000, "hard-limit-ns": 1800000000,
//!                    "effect": "retryable", "value": 1.0}],
//!         "policy-limits": {"max-attempts": 4},
//!         "rules": {"cold-share": 0.2, "cold-ns": 20000000000, "tip-multiple": 3.0,
//!                   "fall-ns": 1500000000}}"#,
//! )?;
//! assert_eq!(settings.class("chat"), Some(0));
//! assert_eq!(settings.policy_settings().limits.max_attempts, 4);
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod active;
mod fields;
mod read;

use std::time::Duration;

use beaconflow_policy::{
    DiscoveryMode, Limits, Nanos, RequestClass, RetrySafety, ServerRules, Settings, ZoneId,
    first_attempt_share,
};

pub use active::ActiveSettings;
pub use fields::{ConfigError, ConfigErrors, ErrorCollector, Fields};

/// A site's settings, as the simulator's first message and a balancer's configuration have them.
/// Unknown keys are ignored.
#[derive(Clone, Debug, PartialEq)]
pub struct SiteSettings {
    balancers: Option<u32>,
    rank: u32,
    zone: ZoneId,
    zones: Vec<String>,
    classes: Vec<NamedClass>,
    tenants: Vec<TenantShare>,
    discovery: DiscoveryMode,
    has_live_weights: bool,
    limits: Limits,
    rules: ServerRules,
}

/// A request class with its name.
#[derive(Clone, Debug, PartialEq)]
struct NamedClass {
    name: String,
    deadline: Nanos,
    retry_safety: RetrySafety,
    message_latency_objective: Nanos,
}

/// A tenant and its share of the service.
#[derive(Clone, Debug, PartialEq)]
struct TenantShare {
    name: String,
    share: Option<f64>,
}

impl NamedClass {
    fn class(&self) -> RequestClass {
        RequestClass {
            deadline: self.deadline,
            retry_safety: self.retry_safety,
            message_latency_objective: self.message_latency_objective,
        }
    }
}

impl SiteSettings {
    /// Index of the class with this name.
    pub fn class(&self, name: &str) -> Option<usize> {
        self.classes.iter().position(|class| class.name == name)
    }

    /// Indexes of the classes without a name.
    pub fn unnamed_classes(&self) -> impl Iterator<Item = usize> {
        let is_unnamed = |(_, class): &(usize, &NamedClass)| class.name.is_empty();
        self.classes
            .iter()
            .enumerate()
            .filter(is_unnamed)
            .map(|(index, _)| index)
    }

    /// How long a client of this class waits if its request gives no deadline; zero for an unknown
    /// class.
    pub fn client_timeout(&self, class: usize) -> Duration {
        self.classes
            .get(class)
            .map_or(Duration::ZERO, |class| Duration::from_nanos(class.deadline))
    }

    /// Whether a tenant has this name; always, if the site lists none.
    pub fn has_tenant(&self, name: &str) -> bool {
        self.tenants.is_empty() || self.tenants.iter().any(|tenant| tenant.name == name)
    }

    /// The site's tenants with valid shares.
    pub fn tenant_shares(&self) -> impl Iterator<Item = (&str, f64)> {
        let is_valid = |share: &f64| share.is_finite() && *share > 0.0;
        self.tenants
            .iter()
            .filter_map(move |tenant| Some((tenant.name.as_str(), tenant.share.filter(is_valid)?)))
    }

    /// Whether servers answer probes.
    pub fn can_probe(&self) -> bool {
        self.limits.can_probe
    }

    /// Timeout of a connect: as configured, or else what the least patient clients have for a first
    /// attempt.
    pub fn connect_timeout(&self) -> Nanos {
        if self.limits.connect_timeout > 0 {
            return self.limits.connect_timeout;
        }
        let shortest_deadline = self.classes.iter().map(|class| class.deadline).min();
        shortest_deadline.map_or(Nanos::MAX, first_attempt_share)
    }

    /// Timeout of a probe, which includes a connect.
    pub fn probe_timeout(&self) -> Duration {
        Duration::from_nanos(self.connect_timeout().saturating_mul(2))
    }

    /// Whether an agent on the same machine pushes the list.
    pub fn is_pushed(&self) -> bool {
        self.discovery == DiscoveryMode::Pushed
    }

    /// Whether the number of balancers is configured; if not, the policy assumes 1.
    pub fn has_balancer_count(&self) -> bool {
        self.balancers.is_some()
    }

    /// These settings with the discovery mode of others. The watch is set up at the start and does
    /// not follow a change.
    pub fn with_discovery_of(self, other: &SiteSettings) -> SiteSettings {
        SiteSettings {
            discovery: other.discovery,
            ..self
        }
    }

    /// Names of the settings that differ, as in the file; a new number of balancers is included.
    pub fn differing_settings(&self, other: &SiteSettings) -> Vec<String> {
        let count = || format!("{} balancers", self.balancers.unwrap_or(1));
        let comparisons = [
            (
                count(),
                (self.balancers, self.rank) != (other.balancers, other.rank),
            ),
            (
                "zones".into(),
                (&self.zones, self.zone) != (&other.zones, other.zone),
            ),
            ("lanes".into(), self.classes != other.classes),
            ("shares".into(), self.tenants != other.tenants),
            ("policy-limits".into(), self.limits != other.limits),
            ("rules".into(), self.rules != other.rules),
            (
                "weight-kind".into(),
                self.has_live_weights != other.has_live_weights,
            ),
        ];
        comparisons
            .into_iter()
            .filter(|(_, differs)| *differs)
            .map(|(name, _)| name)
            .collect()
    }

    /// Whether an admission queue is the same under other settings: the same classes in the same
    /// order, and the same tenants with the same shares.
    pub fn has_same_queue(&self, other: &SiteSettings) -> bool {
        self.classes == other.classes && self.tenants == other.tenants
    }

    /// Index of the zone with this name.
    pub fn zone(&self, name: &str) -> Option<u32> {
        let index = self.zones.iter().position(|zone| zone == name)?;
        u32::try_from(index).ok()
    }

    /// The settings of the policy; without a configured number of balancers, 1 is assumed.
    pub fn policy_settings(&self) -> Settings {
        Settings {
            balancers: self.balancers.unwrap_or(1),
            rank: self.rank,
            classes: self.classes.iter().map(NamedClass::class).collect(),
            has_live_weights: self.has_live_weights,
            discovery: self.discovery,
            limits: self.limits.clone(),
            rules: self.rules.clone(),
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
