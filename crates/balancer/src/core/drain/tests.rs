//! Tests of drains, on a core that nobody runs.

use std::sync::Arc;

use beaconflow_overrides::Set;

use super::super::testing::{self, Orders};
use super::*;
use crate::clock::Clock;

/// A core with so many standing connections, numbered from 0.
fn standing(count: u64) -> (Core, Arc<Orders>) {
    let mut core = testing::core(Clock::start(), Set::default());
    let orders = Arc::new(Orders::default());
    for word in [Word::Listens(true), Word::Knows] {
        core.follow_word(word).expect("no order of an operator's");
    }
    for id in 0..count {
        testing::opens(&mut core, &orders, id, "acme", Duration::from_secs(1));
        core.established(id);
    }
    (core, orders)
}

/// Has the drain that is on have begun so long ago.
fn drains_for(core: &mut Core, span: Duration) {
    let since = core.clock.now() - crate::clock::nanos(span);
    let drain = core.drain.as_mut().expect("one is on");
    drain.since = since;
}

#[test]
fn clients_whose_turn_has_not_come_stay_when_a_drain_is_undone() {
    let (mut core, orders) = standing(3);
    assert_eq!(core.follow_word(Word::Standby), Ok(State::Standby));
    core.drained(1, 0);
    assert_eq!(core.follow_word(Word::Active), Ok(State::Serving));
    core.drained(1, 1);
    assert_eq!([0, 1, 2].map(|id| orders.moves(id)), [1, 0, 0]);
    // The next drain leaves those alone that the first one moved.
    assert_eq!(core.follow_word(Word::Standby), Ok(State::Standby));
    assert_eq!(
        core.timers
            .iter()
            .filter(|timer| matches!(timer.0.2, Due::Drained(2, _)))
            .count(),
        2
    );
    core.drained(2, 1);
    assert_eq!(orders.moves(1), 1);
    assert!(!core.has_left(), "the program stays");
    assert_eq!(core.follow_word(Word::Leave), Ok(State::Leaving));
    assert_eq!(core.follow_word(Word::Active), Err(Refused(State::Leaving)));
}

#[test]
fn one_that_stands_only_in_the_drain_is_moved_with_the_last() {
    let (mut core, orders) = standing(0);
    core.follow_word(Word::Standby).expect("it serves");
    assert!(core.takes_newcomers());
    testing::opens(&mut core, &orders, 7, "acme", Duration::from_secs(1));
    assert_eq!(orders.of(7), (1, 0), "a newcomer is served");
    core.established(7);
    assert!(
        core.timers
            .iter()
            .any(|timer| timer.0.2 == Due::Drained(1, 7))
    );
}

#[test]
fn the_program_does_not_leave_a_client_that_has_not_been_heard_out() {
    let (mut core, _) = standing(0);
    core.follow_word(Word::Leave).expect("always");
    let left = core.drain_spans().left;
    core.shown.has_openings(1);
    drains_for(&mut core, LEAVE_LEAST);
    assert!(!core.has_left());
    core.shown.has_openings(0);
    assert!(core.has_left());
    core.shown.has_openings(1);
    drains_for(&mut core, left);
    assert!(core.has_left(), "it may be killed any time now");
}

#[test]
fn whoever_waits_at_the_door_or_is_being_opened_gets_one_final_answer_in_a_drain() {
    let (mut core, orders) = standing(0);
    // More than are let in at once: the rest wait at the door.
    for id in 0..20 {
        testing::opens(&mut core, &orders, id, "acme", Duration::from_secs(60));
    }
    let waiting = (0..20).filter(|id| orders.of(*id) == (0, 0)).count();
    assert!(waiting > 0 && waiting < 20, "{waiting} wait");
    core.follow_word(Word::Standby).expect("it serves");
    core.go_on_draining(1);
    assert!(
        (0..20).all(|id| orders.of(id).1 == 0),
        "not before their time"
    );
    let moves = core.drain_spans().moves;
    drains_for(&mut core, moves);
    core.go_on_draining(1);
    core.go_on_draining(1);
    assert!((0..20).all(|id| orders.of(id).1 == 1));
    assert_eq!((core.ledger.len(), core.gate.waiting()), (0, 0));
}

#[test]
fn a_drain_keeps_within_what_the_longest_deadline_leaves_of_it() {
    for millis in (300..=3_000).step_by(50).chain([9_000]) {
        let deadline = Duration::from_millis(millis);
        let spans = Spans::of(deadline);
        let killed = deadline.min(Duration::from_secs(3)) + Duration::from_millis(700);
        assert!(
            spans.left + Duration::from_millis(200) <= killed,
            "{spans:?}"
        );
        // A client in the midst of a message is moved up to 0.7 s after the order.
        let is_roomy = deadline >= Duration::from_millis(1_200);
        assert!(
            !is_roomy || spans.moves + Duration::from_millis(700) < spans.left,
            "{spans:?}"
        );
        assert!(
            spans.heard < spans.left && spans.moves < spans.left,
            "{spans:?}"
        );
        // They come for 0.4 s.
        assert!(spans.newcomers > Duration::from_millis(400), "{spans:?}");
    }
    let usual = Spans::of(Duration::from_secs(3));
    assert_eq!(usual.moves, Duration::from_millis(2_700));
    assert_eq!(usual.newcomers, Duration::from_millis(1_500));
    assert_eq!(usual.left, Duration::from_millis(3_500));
}

#[test]
fn whoever_leaves_goes_by_the_settings_longest_deadline_and_whoever_stands_by_does_not() {
    let (mut core, _) = standing(3);
    core.follow_word(Word::Standby).expect("it serves");
    assert_eq!(
        core.drain.expect("one is on").spans,
        Spans::of(LONGEST_DEADLINE)
    );
    core.follow_word(Word::Leave).expect("always");
    // The longest deadline of the tests' settings.
    let spans = Spans::of(Duration::from_millis(1_800));
    assert_eq!(core.drain.expect("one is on").spans, spans);
    assert!(core.shown.hears_openings());
    drains_for(&mut core, spans.heard);
    core.go_on_draining(2);
    assert!(!core.shown.hears_openings(), "each is left its last answer");
}
