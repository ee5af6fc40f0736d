//! Settings that are replaced while requests of the earlier ones are under way.

use beaconflow_policy::{DedupScope, RetrySafety};
use beaconflow_settings::{ActiveSettings, SiteSettings};
use serde_json::{Value, json};

/// A class: its name, effect, deadline in seconds and worth.
type Lane<'a> = (&'a str, &'a str, u64, f64);

fn site(lanes: &[Lane<'_>]) -> SiteSettings {
    let lane = |(name, effect, deadline, worth): &Lane<'_>| {
        let mut parts = effect.split(' ');
        let window: u64 = parts
            .clone()
            .nth(2)
            .map_or(0, |window| window.parse().expect("a number"));
        json!({
            "name": name, "on-time-ns": 100_000_000, "hard-limit-ns": deadline * 1_000_000_000, "value": worth,
            "effect": parts.next(), "dedup-scope": parts.next().unwrap_or("all"), "repeat-window-ns": window,
        })
    };
    let lanes: Vec<Value> = lanes.iter().map(lane).collect();
    let site = json!({
        "lanes": lanes, "discovery": "subscribe", "policy-limits": {"max-attempts": 3},
        "family-info": {"message-aim-ns": [70_000_000, 80_000_000, 90_000_000]},
        "rules": {"cold-share": 0.3, "cold-ns": 9, "tip-multiple": 3.0, "fall-ns": 2},
    });
    SiteSettings::read("", &site).expect("sound")
}

fn repeat_of(settings: &ActiveSettings, class: usize) -> RetrySafety {
    settings.policy_settings().classes[class].retry_safety
}

#[test]
fn the_first_settings_number_classes_as_the_file_does() {
    let setup = site(&[("a", "retryable", 2, 1.0), ("b", "fragile", 3, 2.0)]);
    let first = ActiveSettings::new(setup.clone());
    assert_eq!(first.policy_settings(), setup.policy_settings());
    assert_eq!(
        (first.class("a"), first.class("b"), first.class("c")),
        (Some(0), Some(1), None)
    );
}

#[test]
fn another_order_turns_no_class_into_another() {
    let (a, b, c) = (
        ("a", "retryable", 2, 1.0),
        ("b", "fragile", 3, 2.0),
        ("c", "dedup zone 5", 4, 3.0),
    );
    // Without aims by place: those would make other classes of them.
    let plain = |lanes: &[Lane<'_>]| ActiveSettings::new(site(lanes));
    let first = plain(&[a, b, c]);
    let second = first.replaced_with(site(&[c, b, a]));
    for (name, effect) in [
        ("a", RetrySafety::Idempotent),
        ("b", RetrySafety::NonIdempotent),
    ] {
        let number = second.class(name).expect("it is there");
        assert_eq!(repeat_of(&second, number), effect, "{name}");
        // An opening that was read by the first table is the same class under the second one.
        assert_eq!(
            repeat_of(&second, first.class(name).expect("it was there")),
            effect,
            "{name}"
        );
    }
    // The place in the queue is the name's, whichever number is asked for.
    for name in ["a", "b", "c"] {
        let place = second.site_settings().class(name).expect("it is there");
        assert_eq!(
            second.current_index(second.class(name).expect("it is there")),
            place
        );
        assert_eq!(
            second.current_index(first.class(name).expect("it was there")),
            place
        );
    }
}

#[test]
fn equal_settings_keep_every_number_and_add_none() {
    let lanes = [("a", "retryable", 2, 1.0), ("b", "fragile", 3, 2.0)];
    let first = ActiveSettings::new(site(&lanes));
    let second = first.replaced_with(site(&lanes));
    assert_eq!(second.policy_settings(), first.policy_settings());
    // There and back again: the numbers of the first, and no more with each turn.
    let away = second.replaced_with(site(&[("a", "fragile", 2, 1.0)]));
    let back = away.replaced_with(site(&lanes));
    assert_eq!(
        (back.class("a"), back.class("b")),
        (first.class("a"), first.class("b"))
    );
    assert_eq!(
        back.policy_settings().classes[..2],
        first.policy_settings().classes[..]
    );
    let count = back.policy_settings().classes.len();
    let turns = (0..100).fold(back, |settings, _| {
        settings
            .replaced_with(site(&[("a", "fragile", 2, 1.0)]))
            .replaced_with(site(&lanes))
    });
    assert_eq!(turns.policy_settings().classes.len(), count);
}

#[test]
fn a_request_of_earlier_settings_may_be_repeated_only_as_both_allow() {
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
            repeat_of(&second, first.class("a").expect("it was there")),
            both,
            "{before} to {after}"
        );
        // Both classes stand side by side in the settings of the second.
        let number = second.class("a").expect("it is there");
        assert_eq!(
            Some(repeat_of(&second, number)),
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
fn a_class_that_is_gone_takes_nothing_new_and_has_no_say_in_what_all_are_asked() {
    let first = ActiveSettings::new(site(&[
        ("a", "retryable", 60, 100.0),
        ("b", "fragile", 3, 2.0),
    ]));
    let second = first.replaced_with(site(&[("b", "fragile", 3, 2.0)]));
    assert_eq!(second.class("a"), None);
    let (old, module) = (
        first.class("a").expect("it was there"),
        second.policy_settings(),
    );
    assert_eq!(
        module.classes[old].retry_safety,
        RetrySafety::Idempotent,
        "its own promise"
    );
    assert_eq!(module.classes[old].latency_objective, 100_000_000);
    // The longest deadline, the dearest class and the shortest message aim are those of the present settings.
    assert!(module.classes[old].deadline <= 3_000_000_000);
    assert!(module.classes[old].priority_weight <= 2.0);
    assert_eq!(module.classes[old].message_latency_objective, 0);
    assert_eq!(
        second.client_timeout(old).as_secs(),
        60,
        "and its clients wait as long as they did"
    );
}
