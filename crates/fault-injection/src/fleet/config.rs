//! What a fleet is made of.

use std::path::PathBuf;
use std::time::Duration;

use serde_json::{Value, json};

use crate::options::FleetOptions;
use crate::server::ServerProfile;

/// What a fleet is made of.
#[derive(Clone)]
pub struct FleetConfig {
    /// The program: `env!("CARGO_BIN_EXE_beaconflow")`.
    pub program: PathBuf,
    /// For all chance in the story.
    pub seed: u64,
    /// How many processes: `b0`, `b1` and so on.
    pub balancers: usize,
    /// How many servers: `s0`, `s1` and so on.
    pub servers: usize,
    /// What each server can do; the settings' rules for cold servers follow from it.
    pub server_profile: ServerProfile,
    /// The operator's file of each process, with `{disk}` for its folder and `{name}` for its name.
    pub operator: String,
    /// What they know together, if anything.
    pub options: Option<FleetOptions>,
    /// Whether a process that starts is told the present list by the platform. One that is not knows what others know, or
    /// what it wrote down.
    pub is_list_preloaded: bool,
    /// The front notices a death after so long.
    pub removal_delay: Duration,
}

/// What versions of the configuration differ in.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConfigVersion {
    /// The operator's number for it.
    pub serial: u64,
    /// What a client of each class is worth.
    pub lane_value: f64,
}

impl FleetConfig {
    /// Five processes and six servers.
    pub fn new(program: &str, seed: u64) -> FleetConfig {
        FleetConfig {
            program: program.into(),
            seed,
            balancers: 5,
            servers: 6,
            server_profile: ServerProfile::default(),
            operator: String::new(),
            options: None,
            is_list_preloaded: true,
            removal_delay: Duration::from_millis(2_500),
        }
    }

    /// The settings of a process.
    pub(super) fn settings(&self, (rank, lane_value): (usize, f64)) -> Value {
        let nanos = |time: Duration| u64::try_from(time.as_nanos()).unwrap_or(u64::MAX);
        let lane = |name: &str, effect: &str| {
            json!({"name": name, "on-time-ns": 400_000_000, "hard-limit-ns": 3_000_000_000_u64,
                   "effect": effect, "value": lane_value})
        };
        let profile = &self.server_profile;
        json!({
            "discovery": "subscribe", "zones": ["a"], "zone": 0, "balancers": self.balancers, "rank": rank,
            "lanes": [lane("chat", "retryable"), lane("once", "fragile")],
            "policy-limits": {"max-attempts": 4, "connect-timeout-ns": 200_000_000, "retry-after": true,
                              "max-retry-after-ns": 2_000_000_000},
            "rules": {"cold-share": profile.cold_share, "cold-ns": nanos(profile.warm_up_time),
                      "tip-multiple": profile.overload_multiple, "fall-ns": nanos(profile.overload_window),
                      "ask-within-ns": 10_000_000_000_u64},
        })
    }
}
