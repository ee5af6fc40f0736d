//! Tests of parsing valid and invalid platform configuration files.

use serde_json::{Value, json};

use super::PlatformConfig;

fn valid_config() -> Value {
    json!({
        "name": "n1", "listen": "127.0.0.1:80", "discovery": "127.0.0.1:81", "seed": "ab", "novel": {"a": [1]},
        "limits": {"sockets": 64, "cores": 0.2, "novel": 1},
        "known": {"generation": 1, "reset": true, "instances": []},
        "settings": {
            "balancers": 2, "novel": null, "discovery": "automatic", "zones": ["x", "y"],
            "lanes": [
                {"name": "first", "on-time-ns": 1, "hard-limit-ns": 2, "effect": "fragile", "value": 0.0, "novel": 3},
                {"name": "second", "on-time-ns": 1, "hard-limit-ns": 2, "effect": "dedup",
                 "dedup-scope": "cell", "repeat-window-ns": 5, "value": 2.0},
            ],
            "projects": [{"name": "p", "share": 0.9}, {"name": "q", "share": 0.9}, {"name": "r"}],
            "policy-limits": {"max-attempts": 1, "connect-timeout-ns": 1, "novel": 1},
            "rules": {"cold-share": 1.0, "cold-ns": 0, "tip-multiple": 0.5, "fall-ns": 0, "drain-grace-ns": 0},
        },
    })
}

fn errors(value: &Value) -> Vec<String> {
    let errors = PlatformConfig::parse(value)
        .err()
        .expect("configuration is rejected");
    errors.0.iter().map(|error| error.to_string()).collect()
}

#[test]
fn parse_accepts_unknown_keys_and_missing_optional_fields() {
    let Ok(config) = PlatformConfig::parse(&valid_config()) else {
        panic!("a valid configuration was rejected")
    };
    assert_eq!(config.limits.sockets, 64);
    let mut minimal = valid_config();
    let fields = minimal.as_object_mut().expect("a JSON object");
    fields.remove("limits");
    fields.remove("known");
    assert!(PlatformConfig::parse(&minimal).is_ok());
}

#[test]
fn missing_required_field_is_reported_by_path() {
    let paths = [
        "/name",
        "/listen",
        "/discovery",
        "/seed",
        "/settings",
        "/settings/lanes",
        "/settings/lanes/1/name",
        "/settings/lanes/1/hard-limit-ns",
        "/settings/lanes/1/effect",
        "/settings/lanes/1/dedup-scope",
        "/settings/lanes/1/repeat-window-ns",
        "/settings/discovery",
        "/settings/policy-limits",
        "/settings/policy-limits/max-attempts",
        "/settings/rules",
        "/settings/rules/cold-share",
        "/settings/rules/cold-ns",
        "/settings/rules/tip-multiple",
        "/settings/rules/fall-ns",
    ];
    for path in paths {
        let (parent, key) = path.rsplit_once('/').expect("path has a parent");
        let mut file = valid_config();
        file.pointer_mut(parent)
            .and_then(Value::as_object_mut)
            .expect("a JSON object")
            .remove(key);
        let dotted_path = path[1..].replace('/', ".").replace(".1.", "[1].");
        assert_eq!(errors(&file), [format!("{dotted_path}: is missing")]);
    }
}

#[test]
fn all_errors_are_reported_at_once_by_path() {
    let invalid_values = [
        ("/listen", json!("nowhere")),
        ("/limits/sockets", json!(-1)),
        ("/known/instances", json!(7)),
        ("/settings/balancers", json!(0)),
        ("/settings/zones", json!(["x", "x"])),
        ("/settings/discovery", json!("guess")),
        ("/settings/lanes/0/effect", json!("sometimes")),
        ("/settings/lanes/0/hard-limit-ns", json!(-2)),
        ("/settings/lanes/1/hard-limit-ns", json!(0)),
        ("/settings/lanes/1/dedup-scope", json!("rack")),
        ("/settings/lanes/1/repeat-window-ns", json!("long")),
        ("/settings/policy-limits/connect-timeout-ns", json!("soon")),
        ("/settings/projects/1/share", json!("much")),
        ("/settings/policy-limits/max-attempts", json!(0)),
        ("/settings/rules/cold-share", json!(0.0)),
        ("/settings/rules/tip-multiple", json!(-3)),
        ("/settings/rules/fall-ns", json!(-1)),
    ];
    let mut file = valid_config();
    for (path, value) in &invalid_values {
        *file
            .pointer_mut(path)
            .expect("path exists in the valid configuration") = value.clone();
    }
    let reported = errors(&file);
    for path in [
        "listen: ",
        "limits.sockets: ",
        "known.instances: ",
        "settings.balancers: must be at least 1",
        "settings.zones[1]: duplicate name \"x\"",
        "settings.discovery: unknown discovery \"guess\"",
        "settings.lanes[0].effect: unknown effect \"sometimes\"",
        "settings.lanes[0].hard-limit-ns: ",
        "settings.lanes[1].hard-limit-ns: must be more than 0",
        "settings.lanes[1].dedup-scope: unknown scope \"rack\"",
        "settings.lanes[1].repeat-window-ns: ",
        "settings.policy-limits.connect-timeout-ns: ",
        "settings.projects[1].share: ",
        "settings.policy-limits.max-attempts: must be at least 1",
        "settings.rules.cold-share: must be above 0 and at most 1",
        "settings.rules.tip-multiple: must be above 0",
        "settings.rules.fall-ns: ",
    ] {
        assert_eq!(
            reported
                .iter()
                .filter(|error| error.starts_with(path))
                .count(),
            1,
            "{path} in {reported:#?}"
        );
    }
    assert_eq!(reported.len(), invalid_values.len(), "{reported:#?}");
}

#[test]
fn duplicate_class_or_tenant_names_are_rejected() {
    let mut file = valid_config();
    file["settings"]["lanes"][1]["name"] = json!("first");
    file["settings"]["projects"][2]["name"] = json!("p");
    let duplicates = [
        "settings.lanes[1]: duplicate name \"first\"",
        "settings.projects[2]: duplicate name \"p\"",
    ];
    assert_eq!(errors(&file), duplicates);
}

#[test]
fn non_object_is_reported_as_error_without_panic() {
    for value in [
        json!(null),
        json!([]),
        json!(7),
        json!({"settings": []}),
        json!({"settings": {"lanes": [1]}}),
    ] {
        assert!(!errors(&value).is_empty());
    }
}
