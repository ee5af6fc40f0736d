//! Validation, precedence, ramps, and steps of the clock.

use beaconflow_overrides::*;

const HOUR: Millis = 3_600_000;

fn draft(kind: OverrideKind, expires_at: Millis) -> Draft {
    Draft {
        kind,
        who: "ada".into(),
        why: "maintenance".into(),
        expires_at,
    }
}

fn out(server: &str) -> OverrideKind {
    OverrideKind::Out {
        server: server.into(),
        moves_per_s: None,
    }
}

fn weight(server: &str, factor: f64) -> OverrideKind {
    OverrideKind::Weight {
        server: server.into(),
        factor,
    }
}

fn pin(group: &str, server: &str) -> OverrideKind {
    OverrideKind::Pin {
        subject: Subject::Group(group.into()),
        server: server.into(),
        strictness: Strictness::Prefer,
    }
}

#[test]
fn reports_every_invalid_field() {
    let limits = Limits::default();
    let fields = |draft: Draft| -> Vec<&str> {
        draft
            .check(1_000, &limits)
            .expect_err("the draft is invalid")
            .iter()
            .map(|error| error.field)
            .collect()
    };
    let mut invalid = draft(weight("", 0.0), 1_000);
    (invalid.who, invalid.why) = (String::new(), "a\nline".into());
    assert_eq!(
        fields(invalid),
        ["who", "why", "server", "factor", "expires"]
    );
    assert_eq!(fields(draft(weight("s", f64::NAN), 2_000)), ["factor"]);
    assert_eq!(fields(draft(weight("s", 1e9), 2_000)), ["factor"]);
    assert_eq!(fields(draft(out(&"s".repeat(129)), 2_000)), ["server"]);
    assert_eq!(
        fields(draft(out("s"), 1_000 + limits.max_duration_ms + 1)),
        ["expires"]
    );
    assert_eq!(fields(draft(pin("", "s"), 2_000)), ["group"]);
    let fast = OverrideKind::Out {
        server: "s".into(),
        moves_per_s: Some(f64::INFINITY),
    };
    assert_eq!(fields(draft(fast, 2_000)), ["moves_per_s"]);
    assert_eq!(
        draft(out("s"), 1_000 + limits.max_duration_ms).check(1_000, &limits),
        Ok(())
    );
}

#[test]
fn reports_effect_and_shadowing_override() {
    let mut set = OverrideSet::new(1_000);
    set.insert(draft(out("a"), 9_000).into_override(OverrideId(1), 0));
    set.insert(draft(weight("a", 0.5), 9_000).into_override(OverrideId(2), 0));
    set.insert(draft(weight("a", 0.2), 5_000).into_override(OverrideId(3), 0));
    set.insert(draft(pin("north", "a"), 9_000).into_override(OverrideId(4), 0));
    set.insert(draft(pin("north", "b"), 5_000).into_override(OverrideId(5), 0));
    let effect = |id, listed, now| {
        set.effect(OverrideId(id), listed, now)
            .map(|effect| effect.to_string())
    };
    assert_eq!(effect(1, Listed::Ready, 10).as_deref(), Some("in effect"));
    assert_eq!(
        effect(1, Listed::Absent, 10).as_deref(),
        Some("server not listed")
    );
    assert_eq!(
        effect(2, Listed::Ready, 10).as_deref(),
        Some("shadowed by 1")
    );
    assert_eq!(
        effect(4, Listed::Ready, 10).as_deref(),
        Some("shadowed by 5")
    );
    assert_eq!(
        effect(4, Listed::Ready, 6_000).as_deref(),
        Some("server takes nothing new")
    );
    assert_eq!(
        effect(5, Listed::Draining, 10).as_deref(),
        Some("server takes nothing new")
    );
    assert_eq!(effect(3, Listed::Ready, 6_000).as_deref(), Some("ended"));
    assert_eq!(effect(6, Listed::Ready, 10), None);
}

/// A server that returns with its full weight at once would be overloaded.
#[test]
fn ramps_returning_server_in_steps() {
    let mut set = OverrideSet::new(20_000);
    set.insert(draft(out("a"), 100_000).into_override(OverrideId(1), 50_000));
    let factor = |now| set.server_adjustment("a", now).factor;
    assert_eq!(
        set.server_adjustment("a", 99_999),
        ServerAdjustment {
            is_out: true,
            factor: 0.0,
            target_factor: 0.0
        }
    );
    assert_eq!(factor(100_000), 0.1);
    let ramped: Vec<f64> = (0..=20)
        .map(|step| factor(100_000 + step * 1_000))
        .collect();
    assert!(
        ramped.is_sorted() && ramped[10] == 0.5 && ramped[20] == 1.0,
        "{ramped:?}"
    );
    // The host has to wake up only once for each step of the ramp.
    let mut now = 99_999;
    let wakes = std::iter::from_fn(|| set.next_change(now).inspect(|at| now = *at)).count();
    assert_eq!(wakes, 21);
}

/// Overrides keep their duration when the wall clock is stepped, so operators have to be told of the step.
#[test]
fn reports_each_wall_clock_step_once() {
    let mut detector = ClockStepDetector::default();
    assert_eq!(
        detector.check(1_000, 1_200),
        None,
        "a difference below the tolerance is no step"
    );
    assert_eq!(
        detector.check(2_000, 2_000 + HOUR),
        Some(ClockStep {
            ahead_by_ms: HOUR as i64
        })
    );
    assert_eq!(
        detector.check(3_000, 3_000 + HOUR),
        None,
        "a step is reported once"
    );
    assert_eq!(
        detector.check(4_000, 4_000 - 3_000),
        Some(ClockStep {
            ahead_by_ms: -3_000
        })
    );
    assert_eq!(
        detector.check(u64::MAX, 0),
        Some(ClockStep {
            ahead_by_ms: i64::MIN
        }),
        "the lead saturates"
    );
}

/// If the clock is set back before a restart, a stored expiry would otherwise lie further ahead than was granted.
#[test]
fn bounds_expiry_when_clock_is_set_back() {
    let record = draft(out("a"), 10 * HOUR + 60_000).into_override(OverrideId(1), 10 * HOUR);
    assert_eq!(
        bounded_expiry(&record, 10 * HOUR + 5_000),
        (10 * HOUR + 60_000, None)
    );
    assert_eq!(
        bounded_expiry(&record, 11 * HOUR),
        (10 * HOUR + 60_000, None),
        "the expiry is not changed after it has passed"
    );
    assert_eq!(
        bounded_expiry(&record, 9 * HOUR),
        (9 * HOUR + 60_000, Some(HOUR))
    );
}
