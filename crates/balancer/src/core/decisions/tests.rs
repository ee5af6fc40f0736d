//! Last words that no decision of the module's gives.

use std::sync::Arc;
use std::time::Duration;

use beaconflow_overrides::OverrideSet;
use beaconflow_policy::AttemptOutcome;

use super::super::testing::{Orders, core, opens};
use super::super::{Core, CoreInput};
use crate::clock::Clock;

const LONG: Duration = Duration::from_secs(60);
/// Set-ups that the module lets be under way at the start; more wait in the admission queue.
const WINDOW: u64 = 12;

/// The last order of a request, in words.
fn last(orders: &Orders, id: u64) -> String {
    let head = format!("{id} ");
    let words = orders.words();
    words
        .lines()
        .filter_map(|line| line.strip_prefix(&head))
        .next_back()
        .unwrap_or_default()
        .to_owned()
}

/// Request 0 may have run and waits for its next attempt, 1 has been turned away and waits, 2 is being sent, and one
/// more waits in the admission queue: its number.
fn in_each_state(core: &mut Core, orders: &Arc<Orders>) -> u64 {
    for id in 0..2 {
        opens(core, orders, id, "acme", LONG);
    }
    core.handle_input(CoreInput::AttemptEnded {
        id: 0,
        outcome: AttemptOutcome::Reset,
        duration: Duration::from_millis(1),
    });
    core.handle_input(CoreInput::AttemptEnded {
        id: 1,
        outcome: AttemptOutcome::Rejected,
        duration: Duration::from_millis(1),
    });
    for id in 2..=2 + WINDOW {
        opens(core, orders, id, "acme", LONG);
    }
    2 + WINDOW
}

/// Requests 0 to 2 and the queued one had their answers, and every request had one.
fn assert_only_what_may_have_run_failed(orders: &Orders, queued: u64) {
    let answers = [0, 1, 2, queued].map(|id| last(orders, id));
    assert_eq!(
        answers,
        ["Fail", "Reject(None)", "AbandonAttempt", "Reject(None)"]
    );
    assert!(
        (0..=queued).all(|id| orders.of(id).1 == 1),
        "one answer each"
    );
}

#[test]
fn after_a_panic_only_what_may_have_run_is_failed() {
    let (mut core, orders) = (
        core(Clock::start(), OverrideSet::new(0)),
        Arc::new(Orders::default()),
    );
    let queued = in_each_state(&mut core, &orders);
    core.restart_policy();
    assert_only_what_may_have_run_failed(&orders, queued);
}

#[test]
fn at_the_end_of_a_drain_only_what_may_have_run_is_failed() {
    let (mut core, orders) = (
        core(Clock::start(), OverrideSet::new(0)),
        Arc::new(Orders::default()),
    );
    let queued = in_each_state(&mut core, &orders);
    core.end_drain_now();
    assert_only_what_may_have_run_failed(&orders, queued);
}
