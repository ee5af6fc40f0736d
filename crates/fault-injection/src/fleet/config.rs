//! The configuration of a fleet.

use std::path::PathBuf;
use std::time::Duration;

use serde_json::{Value, json};

use crate::options::FleetOptions;
use crate::server::ServerProfile;

/// The configuration of a fleet.
#[derive(Clone)]
pub struct FleetConfig {
    /// The path of the program: `env!("CARGO_BIN_EXE_beaconflow")`.
    pub program: PathBuf,
    /// The seed of all randomness in the test.
    pub seed: u64,
    /// Number of processes: `b0`, `b1` and so on.
    pub balancers: usize,
    /// Number of servers: `s0`, `s1` and so on.
    pub servers: usize,
    /// The capacity of each server; the slow start rules in the settings are derived from it.
    pub server_profile: ServerProfile,
    /// The operator's file of each process; `{disk}` stands for its directory and `{name}` for its name.
    pub operator_config: String,
    /// The mechanisms that the processes share; without them, they do not form a fleet.
    pub options: Option<FleetOptions>,
    /// Whether the platform's configuration includes the endpoint list. Otherwise a starting process has only what its
    /// peers report and what it stored.
    pub is_list_preloaded: bool,
    /// Time after which the front removes a process that answers no probe.
    pub removal_delay: Duration,
}

/// The part of the configuration that differs between versions.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConfigVersion {
    /// The serial number in the operator's file.
    pub serial: u64,
    /// The deadline of every class in the settings, in milliseconds; another one makes another version.
    pub deadline_ms: u64,
}

impl FleetConfig {
    /// Five processes and six servers that do not form a fleet; the list is preloaded.
    pub fn new(program: &str, seed: u64) -> FleetConfig {
        FleetConfig {
            program: program.into(),
            seed,
            balancers: 5,
            servers: 6,
            server_profile: ServerProfile::default(),
            operator_config: String::new(),
            options: None,
            is_list_preloaded: true,
            removal_delay: Duration::from_millis(2_500),
        }
    }

    /// The settings of a process by its rank and the deadline of its classes.
    pub(super) fn settings(&self, (rank, deadline_ms): (usize, u64)) -> Value {
        let nanos = |time: Duration| u64::try_from(time.as_nanos()).unwrap_or(u64::MAX);
        let deadline_ns = deadline_ms * 1_000_000;
        let lane = |name: &str, effect: &str| json!({"name": name, "hard-limit-ns": deadline_ns, "effect": effect});
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
