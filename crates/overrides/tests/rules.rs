//! What is refused, what shadows what, and what the clocks do to an expiry.

use beaconflow_overrides::*;

const HOUR: Millis = 3_600_000;

fn draft(kind: Kind, expires_at: Millis) -> Draft {
    Draft {
        kind,
        who: "ada".into(),
        why: "maintenance".into(),
        expires_at,
    }
}

fn out(server: &str) -> Kind {
    Kind::Out {
        server: server.into(),
        moves_per_s: None,
    }
}

fn weight(server: &str, factor: f64) -> Kind {
    Kind::Weight {
        server: server.into(),
        factor,
    }
}

fn pin(group: &str, server: &str) -> Kind {
    Kind::Pin {
        subject: Subject::Group(group.into()),
        server: server.into(),
        strictness: Strictness::Prefer,
    }
}

#[test]
fn every_fault_is_named_by_its_field() {
    let limits = Limits::default();
    let fields = |draft: Draft| -> Vec<&str> {
        draft
            .check(1_000, &limits)
            .expect_err("refused")
            .iter()
            .map(|fault| fault.field)
            .collect()
    };
    let mut all = draft(weight("", 0.0), 1_000);
    (all.who, all.why) = (String::new(), "a\nline".into());
    assert_eq!(fields(all), ["who", "why", "server", "factor", "expires"]);
    assert_eq!(fields(draft(weight("s", f64::NAN), 2_000)), ["factor"]);
    assert_eq!(fields(draft(weight("s", 1e9), 2_000)), ["factor"]);
    assert_eq!(fields(draft(out(&"s".repeat(129)), 2_000)), ["server"]);
    assert_eq!(
        fields(draft(out("s"), 1_000 + limits.longest + 1)),
        ["expires"]
    );
    assert_eq!(fields(draft(pin("", "s"), 2_000)), ["group"]);
    let fast = Kind::Out {
        server: "s".into(),
        moves_per_s: Some(f64::INFINITY),
    };
    assert_eq!(fields(draft(fast, 2_000)), ["moves_per_s"]);
    assert_eq!(
        draft(out("s"), 1_000 + limits.longest).check(1_000, &limits),
        Ok(())
    );
}

#[test]
fn effects_say_what_holds_and_what_stands_behind_it() {
    let mut set = Set::new(1_000);
    set.put(draft(out("a"), 9_000).into_override(Id(1), 0));
    set.put(draft(weight("a", 0.5), 9_000).into_override(Id(2), 0));
    set.put(draft(weight("a", 0.2), 5_000).into_override(Id(3), 0));
    set.put(draft(pin("north", "a"), 9_000).into_override(Id(4), 0));
    set.put(draft(pin("north", "b"), 5_000).into_override(Id(5), 0));
    let effect = |id, listed, now| {
        set.effect(Id(id), listed, now)
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
        effect(5, Listed::Leaving, 10).as_deref(),
        Some("server takes nothing new")
    );
    assert_eq!(effect(3, Listed::Ready, 6_000).as_deref(), Some("ended"));
    assert_eq!(effect(6, Listed::Ready, 10), None);
}

#[test]
fn a_server_that_is_back_rises_in_steps_and_never_at_once() {
    let mut set = Set::new(20_000);
    set.put(draft(out("a"), 100_000).into_override(Id(1), 50_000));
    let factor = |now| set.server("a", now).factor;
    assert_eq!(
        set.server("a", 99_999),
        ServerAdjustment {
            out: true,
            factor: 0.0,
            to: 0.0
        }
    );
    assert_eq!(factor(100_000), 0.1);
    let risen: Vec<f64> = (0..=20)
        .map(|step| factor(100_000 + step * 1_000))
        .collect();
    assert!(
        risen.is_sorted() && risen[10] == 0.5 && risen[20] == 1.0,
        "{risen:?}"
    );
    // The wakings in between are few: one for each step.
    let mut now = 99_999;
    let wakes = std::iter::from_fn(|| set.next_change(now).inspect(|at| now = *at)).count();
    assert_eq!(wakes, 21);
}

#[test]
fn the_wall_clock_is_followed_by_word_and_not_by_deed() {
    let mut watch = StepWatch::default();
    assert_eq!(
        watch.check(1_000, 1_200),
        None,
        "the two are not read in one instant"
    );
    assert_eq!(
        watch.check(2_000, 2_000 + HOUR),
        Some(Step {
            ahead_by: HOUR as i64
        })
    );
    assert_eq!(watch.check(3_000, 3_000 + HOUR), None, "told once");
    assert_eq!(
        watch.check(4_000, 4_000 - 3_000),
        Some(Step { ahead_by: -3_000 })
    );
    assert_eq!(
        watch.check(u64::MAX, 0),
        Some(Step { ahead_by: i64::MIN }),
        "no figure is too large"
    );
}

#[test]
fn a_clock_put_back_before_a_restart_does_not_keep_an_override_for_longer_than_it_was_granted() {
    let one = draft(out("a"), 10 * HOUR + 60_000).into_override(Id(1), 10 * HOUR);
    assert_eq!(
        bounded_expiry(&one, 10 * HOUR + 5_000),
        (10 * HOUR + 60_000, None)
    );
    assert_eq!(
        bounded_expiry(&one, 11 * HOUR),
        (10 * HOUR + 60_000, None),
        "it ended meanwhile"
    );
    assert_eq!(
        bounded_expiry(&one, 9 * HOUR),
        (9 * HOUR + 60_000, Some(HOUR))
    );
}
