//! The policy settings depend on the values in the settings file, not on the names of classes,
//! tenants, zones, layers and kinds.

use beaconflow_settings::SiteSettings;

/// Settings files of two deployments that differ in nearly every setting: the first polls for the
/// server list and has no load reports, the second has its list pushed and may probe. Capitalized names are placeholders that the tests rename.
const SITE_SETTINGS: [&str; 2] = [
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

/// Parses settings after each placeholder name was replaced by its renamed form.
fn parse_with_renamed_names(site: &str, rename: impl Fn(&str) -> String) -> SiteSettings {
    let names = [
        "ZONE-A", "ZONE-B", "ZONE-C", "CLASS-A", "CLASS-B", "TENANT-A", "TENANT-B", "TIER", "KIND",
    ];
    let text = names.iter().fold(site.to_owned(), |text, name| {
        text.replace(name, &rename(name))
    });
    serde_json::from_str(&text).expect("the settings are valid")
}

#[test]
fn names_do_not_affect_policy_settings() {
    for site in SITE_SETTINGS {
        let original = parse_with_renamed_names(site, str::to_owned);
        // Reversed names, which sort differently, and names that contain values or keys of the settings.
        let renamings: [fn(&str) -> String; 3] = [
            |name| name.chars().rev().collect(),
            |name| format!("retryable-{name}"),
            |name| format!("x0 {name}"),
        ];
        for rename in renamings {
            let renamed = parse_with_renamed_names(site, rename);
            assert_eq!(renamed.policy_settings(), original.policy_settings());
            assert!(renamed.policy_settings().check().is_ok());
            assert_eq!(renamed.can_probe(), original.can_probe());
            let shares = |settings: &SiteSettings| {
                settings
                    .tenant_shares()
                    .map(|(_, share)| share)
                    .collect::<Vec<f64>>()
            };
            assert_eq!(shares(&renamed), shares(&original));
            assert_eq!(renamed.class(&rename("CLASS-B")), Some(1));
        }
    }
}

/// The names of the reported figures neither give nor take the permission.
#[test]
fn probes_need_permission_alone() {
    let can_probe = |permission: &str, reported: &str| {
        let text = SITE_SETTINGS[1]
            .replace("\"may-probe\": true", permission)
            .replace("[\"x0\", \"q\"]", reported);
        parse_with_renamed_names(&text, str::to_owned).can_probe()
    };
    for reported in ["[\"q\", \"x0\"]", "[\"q\"]", "[]", "[\"load\"]"] {
        assert!(can_probe("\"may-probe\": true", reported));
        assert!(!can_probe("\"may-probe\": false", reported));
        assert!(
            !can_probe("\"deep\": true", reported),
            "an unknown key is no permission"
        );
    }
}
