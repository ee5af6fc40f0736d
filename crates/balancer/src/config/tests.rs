//! The platform's configuration file, sound and at fault.

use serde_json::{Value, json};

use super::PlatformConfig;

fn sound() -> Value {
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
            "policy-limits": {"max-attempts": 1, "novel": 1},
            "rules": {"cold-share": 1.0, "cold-ns": 0, "tip-multiple": 0.5, "fall-ns": 0, "drain-grace-ns": 0},
        },
    })
}

fn faults(value: &Value) -> Vec<String> {
    let faults = PlatformConfig::of(value).err().expect("refused");
    faults.0.iter().map(|fault| fault.to_string()).collect()
}

#[test]
fn further_keys_are_disregarded_and_what_may_be_absent_may_be() {
    let Ok(config) = PlatformConfig::of(&sound()) else {
        panic!("sound")
    };
    assert_eq!(config.limits.sockets, 64);
    let mut bare = sound();
    let fields = bare.as_object_mut().expect("an object");
    fields.remove("limits");
    fields.remove("known");
    assert!(PlatformConfig::of(&bare).is_ok());
}

#[test]
fn each_field_that_has_to_be_there_is_refused_by_its_path_when_it_is_missing() {
    let paths = [
        "/name",
        "/listen",
        "/discovery",
        "/seed",
        "/settings",
        "/settings/lanes",
        "/settings/lanes/1/name",
        "/settings/lanes/1/on-time-ns",
        "/settings/lanes/1/hard-limit-ns",
        "/settings/lanes/1/effect",
        "/settings/lanes/1/dedup-scope",
        "/settings/lanes/1/repeat-window-ns",
        "/settings/lanes/1/value",
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
        let (inside, key) = path.rsplit_once('/').expect("a path");
        let mut file = sound();
        file.pointer_mut(inside)
            .and_then(Value::as_object_mut)
            .expect("an object")
            .remove(key);
        let shown = path[1..].replace('/', ".").replace(".1.", "[1].");
        assert_eq!(faults(&file), [format!("{shown}: is missing")]);
    }
}

#[test]
fn all_faults_of_a_file_are_reported_at_once_each_by_its_path() {
    let wrong = [
        ("/listen", json!("nowhere")),
        ("/limits/sockets", json!(-1)),
        ("/known/instances", json!(7)),
        ("/settings/balancers", json!(0)),
        ("/settings/zones", json!(["x", "x"])),
        ("/settings/discovery", json!("guess")),
        ("/settings/lanes/0/effect", json!("sometimes")),
        ("/settings/lanes/0/on-time-ns", json!(0)),
        ("/settings/lanes/1/hard-limit-ns", json!(0)),
        ("/settings/lanes/1/dedup-scope", json!("rack")),
        ("/settings/lanes/1/repeat-window-ns", json!("long")),
        ("/settings/lanes/1/value", json!(-1.0)),
        ("/settings/projects/1/share", json!("much")),
        ("/settings/policy-limits/max-attempts", json!(0)),
        ("/settings/rules/cold-share", json!(0.0)),
        ("/settings/rules/tip-multiple", json!(-3)),
        ("/settings/rules/fall-ns", json!(-1)),
    ];
    let mut file = sound();
    for (path, value) in &wrong {
        *file.pointer_mut(path).expect("it is there") = value.clone();
    }
    let reported = faults(&file);
    for path in [
        "listen: ",
        "limits.sockets: ",
        "known.instances: ",
        "settings.balancers: must be at least 1",
        "settings.zones[1]: duplicate name \"x\"",
        "settings.discovery: unknown discovery \"guess\"",
        "settings.lanes[0].effect: unknown effect \"sometimes\"",
        "settings.lanes[0].on-time-ns: must be more than 0",
        "settings.lanes[1].hard-limit-ns: must be more than 0",
        "settings.lanes[1].dedup-scope: unknown scope \"rack\"",
        "settings.lanes[1].repeat-window-ns: ",
        "settings.lanes[1].value: must not be below 0",
        "settings.projects[1].share: ",
        "settings.policy-limits.max-attempts: must be at least 1",
        "settings.rules.cold-share: must be above 0 and at most 1",
        "settings.rules.tip-multiple: must be above 0",
        "settings.rules.fall-ns: ",
    ] {
        assert_eq!(
            reported
                .iter()
                .filter(|fault| fault.starts_with(path))
                .count(),
            1,
            "{path} in {reported:#?}"
        );
    }
    assert_eq!(reported.len(), wrong.len(), "{reported:#?}");
}

#[test]
fn two_classes_or_tenants_of_one_name_are_refused() {
    let mut file = sound();
    file["settings"]["lanes"][1]["name"] = json!("first");
    file["settings"]["projects"][2]["name"] = json!("p");
    let twice = [
        "settings.lanes[1]: duplicate name \"first\"",
        "settings.projects[2]: duplicate name \"p\"",
    ];
    assert_eq!(faults(&file), twice);
}

#[test]
fn what_is_no_object_is_a_fault_and_no_panic() {
    for value in [
        json!(null),
        json!([]),
        json!(7),
        json!({"settings": []}),
        json!({"settings": {"lanes": [1]}}),
    ] {
        assert!(!faults(&value).is_empty());
    }
}
