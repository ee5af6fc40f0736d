//! Replacement of the settings while requests of the former ones are in flight.

use beaconflow_policy::{DedupScope, RetrySafety};
use beaconflow_settings::{ActiveSettings, SiteSettings};
use serde_json::{Value, json};

/// A class: its name, its effect with scope and window, its deadline in seconds and its weight.
type ClassSpec<'a> = (&'a str, &'a str, u64, f64);

fn site(classes: &[ClassSpec<'_>]) -> SiteSettings {
    let class = |(name, effect, deadline, weight): &ClassSpec<'_>| {
        let mut parts = effect.split(' ');
        let window: u64 = parts
            .clone()
            .nth(2)
            .map_or(0, |window| window.parse().expect("the window is a number"));
        json!({
            "name": name, "on-time-ns": 100_000_000, "hard-limit-ns": deadline * 1_000_000_000, "value": weight,
            "effect": parts.next(), "dedup-scope": parts.next().unwrap_or("all"), "repeat-window-ns": window,
        })
    };
    let classes: Vec<Value> = classes.iter().map(class).collect();
    let site = json!({
        "lanes": classes, "discovery": "subscribe", "policy-limits": {"max-attempts": 3},
        "family-info": {"message-aim-ns": [70_000_000, 80_000_000, 90_000_000]},
        "rules": {"cold-share": 0.3, "cold-ns": 9, "tip-multiple": 3.0, "fall-ns": 2},
    });
    SiteSettings::read("", &site).expect("the settings are valid")
}

fn retry_safety_of(settings: &ActiveSettings, class: usize) -> RetrySafety {
    settings.policy_settings().classes[class].retry_safety
}

#[test]
fn first_settings_number_classes_in_file_order() {
    let settings = site(&[("a", "retryable", 2, 1.0), ("b", "fragile", 3, 2.0)]);
    let first = ActiveSettings::new(settings.clone());
    assert_eq!(first.policy_settings(), settings.policy_settings());
    assert_eq!(
        (first.class("a"), first.class("b"), first.class("c")),
        (Some(0), Some(1), None)
    );
}

#[test]
fn requests_keep_their_class_in_another_order() {
    let (a, b, c) = (
        ("a", "retryable", 2, 1.0),
        ("b", "fragile", 3, 2.0),
        ("c", "dedup zone 5", 4, 3.0),
    );
    // Message objectives are listed by position, so another order gives a and c other rules.
    let active = |classes: &[ClassSpec<'_>]| ActiveSettings::new(site(classes));
    let first = active(&[a, b, c]);
    let second = first.replaced_with(site(&[c, b, a]));
    for (name, effect) in [
        ("a", RetrySafety::Idempotent),
        ("b", RetrySafety::NonIdempotent),
    ] {
        let number = second.class(name).expect("the class is a present one");
        assert_eq!(retry_safety_of(&second, number), effect, "{name}");
        // A request that was parsed under the first settings keeps its class under the second ones.
        assert_eq!(
            retry_safety_of(
                &second,
                first.class(name).expect("the class was a present one")
            ),
            effect,
            "{name}"
        );
    }
    // The former and the present number of a class have the index of its name in the queue.
    for name in ["a", "b", "c"] {
        let index = second
            .site_settings()
            .class(name)
            .expect("the class is a present one");
        assert_eq!(
            second.current_index(second.class(name).expect("the class is a present one")),
            index
        );
        assert_eq!(
            second.current_index(first.class(name).expect("the class was a present one")),
            index
        );
    }
}

#[test]
fn equal_settings_keep_the_class_numbers() {
    let classes = [("a", "retryable", 2, 1.0), ("b", "fragile", 3, 2.0)];
    let first = ActiveSettings::new(site(&classes));
    let second = first.replaced_with(site(&classes));
    assert_eq!(second.policy_settings(), first.policy_settings());
    // After a replacement and its reversal, the classes have their first numbers again, and further
    // replacements add none.
    let changed = second.replaced_with(site(&[("a", "fragile", 2, 1.0)]));
    let restored = changed.replaced_with(site(&classes));
    assert_eq!(
        (restored.class("a"), restored.class("b")),
        (first.class("a"), first.class("b"))
    );
    assert_eq!(
        restored.policy_settings().classes[..2],
        first.policy_settings().classes[..]
    );
    let count = restored.policy_settings().classes.len();
    let repeated = (0..100).fold(restored, |settings, _| {
        settings
            .replaced_with(site(&[("a", "fragile", 2, 1.0)]))
            .replaced_with(site(&classes))
    });
    assert_eq!(repeated.policy_settings().classes.len(), count);
}

#[test]
fn former_request_gets_the_stricter_retry_rule() {
    let keyed = |dedup_scope, window| RetrySafety::IdempotencyKey {
        dedup_scope,
        window,
    };
    for (before, after, both) in [
        ("retryable", "fragile", RetrySafety::NonIdempotent),
        ("fragile", "retryable", RetrySafety::NonIdempotent),
        ("retryable", "dedup cell 5", keyed(DedupScope::Cell, 5)),
        ("dedup cell 5", "retryable", keyed(DedupScope::Cell, 5)),
        ("dedup zone 5", "fragile", RetrySafety::NonIdempotent),
        ("dedup zone 9", "dedup zone 4", keyed(DedupScope::Zone, 4)),
        ("dedup all 4", "dedup zone 9", keyed(DedupScope::Zone, 4)),
        ("dedup cell 9", "dedup all 4", keyed(DedupScope::Cell, 4)),
        ("dedup cell 9", "dedup zone 9", RetrySafety::NonIdempotent),
    ] {
        let first = ActiveSettings::new(site(&[("a", before, 2, 1.0)]));
        let second = first.replaced_with(site(&[("a", after, 2, 1.0)]));
        assert_eq!(
            retry_safety_of(
                &second,
                first.class("a").expect("the class was a present one")
            ),
            both,
            "{before} to {after}"
        );
        // The second settings contain both classes.
        let number = second.class("a").expect("the class is a present one");
        assert_eq!(
            Some(retry_safety_of(&second, number)),
            second
                .site_settings()
                .policy_settings()
                .classes
                .first()
                .map(|c| c.retry_safety)
        );
    }
}

#[test]
fn removed_class_affects_no_other_class() {
    let first = ActiveSettings::new(site(&[
        ("a", "retryable", 60, 100.0),
        ("b", "fragile", 3, 2.0),
    ]));
    let second = first.replaced_with(site(&[("b", "fragile", 3, 2.0)]));
    assert_eq!(second.class("a"), None);
    let (former, policy_settings) = (
        first.class("a").expect("the class was a present one"),
        second.policy_settings(),
    );
    assert_eq!(
        policy_settings.classes[former].retry_safety,
        RetrySafety::Idempotent,
        "a former class without a successor should keep its retry rule"
    );
    // The longest deadline and the shortest message objective follow from the present classes only.
    assert!(policy_settings.classes[former].deadline <= 3_000_000_000);
    assert_eq!(policy_settings.classes[former].message_latency_objective, 0);
    assert_eq!(
        second.client_timeout(former).as_secs(),
        60,
        "clients of a former class should wait as long as before"
    );
}

/// What the operators count for a request, or call on time, is no part of a class.
#[test]
fn worth_and_wanted_time_make_no_other_class() {
    let settings_with = |value: Value, on_time: Value| {
        let site = json!({
            "lanes": [{"name": "a", "hard-limit-ns": 2_000_000_000, "effect": "retryable", "value": value,
                       "on-time-ns": on_time}],
            "discovery": "subscribe", "policy-limits": {"max-attempts": 3},
            "rules": {"cold-share": 0.3, "cold-ns": 9, "tip-multiple": 3.0, "fall-ns": 2},
        });
        SiteSettings::read("", &site).expect("the settings are valid")
    };
    let plain = settings_with(json!(1.0), json!(100_000_000));
    let first = ActiveSettings::new(plain.clone());
    for (value, on_time) in [
        (json!(50.0), json!(100_000_000)),
        (json!(1.0), json!(1)),
        (Value::Null, Value::Null),
        (json!(-1.0), json!(0)),
        (json!("much"), json!("soon")),
    ] {
        let other = settings_with(value, on_time);
        assert_eq!(other, plain);
        assert!(plain.differing_settings(&other).is_empty());
        let second = first.replaced_with(other);
        assert_eq!(second.class("a"), first.class("a"));
        assert_eq!(second.policy_settings(), first.policy_settings());
    }
}

/// Connections outlive a replacement; their messages are judged as those of the present class.
#[test]
fn former_class_takes_the_message_objective_of_its_name() {
    let first = ActiveSettings::new(site(&[
        ("a", "retryable", 2, 1.0),
        ("b", "fragile", 3, 2.0),
    ]));
    // "b" has another deadline, and the second objective of the file as before.
    let second = first.replaced_with(site(&[
        ("a", "retryable", 2, 1.0),
        ("b", "fragile", 9, 2.0),
    ]));
    let number =
        |settings: &ActiveSettings| settings.class("b").expect("the class is a present one");
    assert_ne!(number(&first), number(&second));
    let classes = second.policy_settings().classes;
    assert_eq!(
        classes[number(&first)].message_latency_objective,
        80_000_000
    );
    assert_eq!(
        classes[number(&second)].message_latency_objective,
        80_000_000
    );
}
