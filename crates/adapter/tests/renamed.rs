//! Names, and the order of lists where it has no meaning, do not affect the decisions.

mod scenario;

use scenario::{PLAIN, SERVERS, Variant, run_adapter};

#[test]
fn scenario_contains_attempts_answers_and_timers() {
    let decisions = PLAIN.decisions();
    for (what, min_count) in [
        ("CALL_OUT", 60),
        ("DECLINE", 1),
        ("REPORT_FAILURE", 5),
        ("SLEEP", 20),
    ] {
        let count = decisions.matches(&format!("\"{what}\"")).count();
        assert!(
            count >= min_count,
            "only {count} {what} messages in\n{decisions}"
        );
    }
    assert!(
        SERVERS.iter().all(|server| decisions.contains(server)),
        "a server is never used:\n{decisions}"
    );
}

#[test]
fn names_do_not_affect_decisions() {
    let names: [fn(&str) -> String; 3] = [
        |name| name.chars().rev().collect(),
        |name| format!("retryable {name} on"),
        |name| {
            format!(
                "{:016x}",
                name.bytes()
                    .fold(7_u64, |hash, byte| hash.wrapping_mul(31) ^ u64::from(byte))
            )
        },
    ];
    let plain = PLAIN.decisions();
    for name in names {
        assert_eq!(Variant { name, ..PLAIN }.decisions(), plain);
    }
}

#[test]
fn order_of_lists_does_not_affect_decisions() {
    let plain = PLAIN.decisions();
    for classes in [[2, 0, 1], [1, 2, 0], [2, 1, 0]] {
        for (tenants, zones) in [
            ([1, 0], [0, 1, 2]),
            ([0, 1], [2, 0, 1]),
            ([1, 0], [1, 2, 0]),
        ] {
            let variant = Variant {
                classes,
                tenants,
                zones,
                ..PLAIN
            };
            assert_eq!(
                variant.decisions(),
                plain,
                "positions of classes {classes:?}, tenants {tenants:?}, zones {zones:?}"
            );
        }
    }
}

#[test]
fn effects_and_zones_affect_decisions() {
    // Otherwise the scenario would show nothing about the settings.
    let plain = PLAIN.decisions();
    assert_ne!(
        run_adapter(PLAIN.transcript().replace("\"fragile\"", "\"retryable\"")),
        plain
    );
    assert_ne!(
        run_adapter(
            PLAIN
                .transcript()
                .replace("\"region-part\":1", "\"region-part\":2")
        ),
        plain
    );
}
