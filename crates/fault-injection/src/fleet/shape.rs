//! What a fleet is made of.

use std::path::PathBuf;
use std::time::Duration;

use serde_json::{Value, json};

use crate::server::Ability;
use crate::together::Together;

/// What a fleet is made of.
#[derive(Clone)]
pub struct Shape {
    /// The program: `env!("CARGO_BIN_EXE_beaconflow")`.
    pub program: PathBuf,
    /// For all chance in the story.
    pub seed: u64,
    /// How many processes: `b0`, `b1` and so on.
    pub balancers: usize,
    /// How many servers: `s0`, `s1` and so on.
    pub servers: usize,
    /// What each server can do; the settings' rules for cold servers follow from it.
    pub ability: Ability,
    /// The operator's file of each process, with `{disk}` for its folder and `{name}` for its name.
    pub operator: String,
    /// What they know together, if anything.
    pub together: Option<Together>,
    /// Whether a process that starts is told the present list by the platform. One that is not knows what others know, or
    /// what it wrote down.
    pub told: bool,
    /// The front notices a death after so long.
    pub notice: Duration,
}

/// What versions of the configuration differ in.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Version {
    /// The operator's number for it.
    pub serial: u64,
    /// What a client of each class is worth.
    pub worth: f64,
}

impl Shape {
    /// Five processes and six servers.
    pub fn new(program: &str, seed: u64) -> Shape {
        Shape {
            program: program.into(),
            seed,
            balancers: 5,
            servers: 6,
            ability: Ability::default(),
            operator: String::new(),
            together: None,
            told: true,
            notice: Duration::from_millis(2_500),
        }
    }

    /// The settings of a process.
    pub(super) fn settings(&self, (rank, worth): (usize, f64)) -> Value {
        let nanos = |time: Duration| u64::try_from(time.as_nanos()).unwrap_or(u64::MAX);
        let lane = |name: &str, effect: &str| {
            json!({"name": name, "on-time-ns": 400_000_000, "hard-limit-ns": 3_000_000_000_u64,
                   "effect": effect, "value": worth})
        };
        let ability = &self.ability;
        json!({
            "discovery": "subscribe", "zones": ["a"], "zone": 0, "balancers": self.balancers, "rank": rank,
            "lanes": [lane("chat", "retryable"), lane("once", "fragile")],
            "policy-limits": {"max-attempts": 4, "connect-timeout-ns": 200_000_000, "retry-after": true,
                              "max-retry-after-ns": 2_000_000_000},
            "rules": {"cold-share": ability.cold_share, "cold-ns": nanos(ability.cold),
                      "tip-multiple": ability.tip_multiple, "fall-ns": nanos(ability.fall),
                      "ask-within-ns": 10_000_000_000_u64},
        })
    }
}
