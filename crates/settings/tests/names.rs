//! Decisions follow from what the settings say, and not from what anything is called.

use beaconflow_settings::SiteSettings;

/// Two deployments that differ in nearly everything: one asks for its list and has no reports, the other is pushed its
/// list and may probe.
const SITES: [&str; 2] = [
    r#"{"balancers": 3, "rank": 1, "zones": ["ZONE-A", "ZONE-B", "ZONE-C"], "zone": 1, "discovery": "subscribe",
        "family": "conn", "weight-kind": "nominal", "layers": ["TIER"], "kinds": ["KIND"],
        "family-info": {"message-aim-ns": [50000000, 60000000]},
        "lanes": [{"name": "CLASS-A", "on-time-ns": 800000000, "hard-limit-ns": 4800000000, "effect": "retryable", "value": 1.0},
                  {"name": "CLASS-B", "on-time-ns": 500000000, "hard-limit-ns": 3000000000, "effect": "fragile", "value": 5.0}],
        "projects": [{"name": "TENANT-A", "share": 0.58}, {"name": "TENANT-B", "share": 0.42}],
        "policy-limits": {"max-attempts": 6, "connect-timeout-ns": 200000000, "max-retry-after-ns": 2000000000},
        "report": {"how": "off", "names": []}, "prices": {"cross-zone": 0.0088},
        "rules": {"cold-share": 0.13, "cold-ns": 23000000000, "tip-multiple": 3.0, "fall-ns": 1500000000,
                  "ask-within-ns": 10000000000}}"#,
    r#"{"balancers": 2, "rank": 0, "zones": ["ZONE-A", "ZONE-B"], "zone": 0, "discovery": "automatic",
        "family": "conn", "weight-kind": "live", "layers": ["TIER"], "kinds": ["KIND"],
        "family-info": {"message-aim-ns": [250000000, 150000000]},
        "lanes": [{"name": "CLASS-A", "on-time-ns": 800000000, "hard-limit-ns": 4800000000, "effect": "retryable", "value": 1.0},
                  {"name": "CLASS-B", "on-time-ns": 300000000, "hard-limit-ns": 1800000000, "effect": "retryable", "value": 3.0}],
        "projects": [{"name": "TENANT-A", "share": 0.78}, {"name": "TENANT-B", "share": 0.22}],
        "policy-limits": {"max-attempts": 5, "connect-timeout-ns": 100000000, "may-probe": true, "retry-after": true},
        "report": {"how": "on_probe", "names": ["x0", "q"]}, "prices": {"cross-zone": 0.0092, "probe": 0.0016},
        "rules": {"cold-share": 0.13, "cold-ns": 24000000000, "tip-multiple": 3.0, "fall-ns": 2000000000}}"#,
];

fn under(site: &str, name: impl Fn(&str) -> String) -> SiteSettings {
    let words = [
        "ZONE-A", "ZONE-B", "ZONE-C", "CLASS-A", "CLASS-B", "TENANT-A", "TENANT-B", "TIER", "KIND",
    ];
    let text = words.iter().fold(site.to_owned(), |text, word| {
        text.replace(word, &name(word))
    });
    serde_json::from_str(&text).expect("settings")
}

#[test]
fn the_module_and_the_shares_are_the_same_under_any_names() {
    for site in SITES {
        let plain = under(site, str::to_owned);
        // Names of one site's classes in another order, and names that look like words of the settings.
        let names: [fn(&str) -> String; 3] = [
            |word| word.chars().rev().collect(),
            |word| format!("retryable-{word}"),
            |word| format!("x0 {word}"),
        ];
        for name in names {
            let renamed = under(site, name);
            assert_eq!(renamed.policy_settings(), plain.policy_settings());
            assert!(renamed.policy_settings().check().is_ok());
            assert_eq!(renamed.can_probe(), plain.can_probe());
            let shares = |setup: &SiteSettings| {
                setup
                    .tenant_shares()
                    .map(|(_, share)| share)
                    .collect::<Vec<f64>>()
            };
            assert_eq!(shares(&renamed), shares(&plain));
            assert_eq!(renamed.class(&name("CLASS-B")), Some(1));
        }
    }
}

#[test]
fn probes_need_the_leave_and_a_load_to_be_told() {
    let site = |leave: &str, names: &str| {
        let text = SITES[1]
            .replace("\"may-probe\": true", leave)
            .replace("[\"x0\", \"q\"]", names);
        under(&text, str::to_owned).can_probe()
    };
    assert!(site("\"may-probe\": true", "[\"q\", \"x0\"]"));
    assert!(
        !site("\"may-probe\": true", "[\"q\"]"),
        "nothing is told that could be read"
    );
    assert!(!site("\"may-probe\": false", "[\"x0\"]"));
    assert!(
        !site("\"deep\": true", "[\"x0\"]"),
        "an unknown key is no leave"
    );
}
