//! What the recovery takes from the settings of a site.

use std::path::PathBuf;

use serde_json::{Value, json};

use super::*;
use crate::operator::{AffinityConfig, EdgeConfig};

fn fleet_config() -> FleetConfig {
    FleetConfig {
        name: "b1".into(),
        site: "north".into(),
        listen: "127.0.0.1:1".parse().expect("an address"),
        advertise: None,
        key_file: PathBuf::new(),
        previous_key_file: None,
        peers: Vec::new(),
        size: 3,
        site_size: 3,
        other_sites: Vec::new(),
        clients_per_server_s: None,
        overload_margin: 0.0,
        clients: 0,
        memory: None,
        edge: EdgeConfig::default(),
        affinity: AffinityConfig::default(),
    }
}

fn recovery_classes(change: impl Fn(&mut Value)) -> Vec<RequestClass> {
    let mut site = json!({
        "discovery": "automatic", "policy-limits": {"max-attempts": 4},
        "lanes": [
            {"name": "quick", "hard-limit-ns": 3_000_000_000_u64, "on-time-ns": 500_000_000, "value": 1.0,
             "effect": "retryable"},
            {"name": "patient", "hard-limit-ns": 6_000_000_000_u64, "on-time-ns": 800_000_000, "value": 1.0,
             "effect": "retryable"},
        ],
        "rules": {"cold-share": 0.2, "cold-ns": 20_000_000_000_u64, "tip-multiple": 3.0, "fall-ns": 1_500_000_000},
    });
    change(&mut site);
    let site = SiteSettings::read("", &site).expect("valid settings");
    config(&fleet_config(), &site, &site.policy_settings()).classes
}

/// Who comes first after an outage follows from the time that clients have.
#[test]
fn order_of_classes_ignores_worth_and_wanted_time() {
    let plain = recovery_classes(|_| {});
    let valued = recovery_classes(|site| {
        site["lanes"][1]["value"] = json!(50.0);
        site["lanes"][1]["on-time-ns"] = json!(1_000_000);
    });
    assert_eq!(valued, plain);
    let hurried = recovery_classes(|site| site["lanes"][1]["hard-limit-ns"] = json!(2_000_000_000));
    assert_ne!(hurried, plain);
}
