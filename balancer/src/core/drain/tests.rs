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
    assert_eq!(core.timers.iter().filter(|timer| matches!(timer.0.2, Due::Drained(2, _))).count(), 2);
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
    assert!(core.timers.iter().any(|timer| timer.0.2 == Due::Drained(1, 7)));
}

#[test]
fn the_program_does_not_leave_a_client_that_has_not_been_heard_out() {
    let (mut core, _) = standing(0);
    core.follow_word(Word::Leave).expect("always");
    let since = |core: &Core, ago| core.clock.now() - crate::clock::nanos(ago);
    core.shown.has_openings(1);
    core.drain = Some(Drain { number: 1, since: since(&core, LEAVE_LEAST) });
    assert!(!core.has_left());
    core.shown.has_openings(0);
    assert!(core.has_left());
    core.shown.has_openings(1);
    core.drain = Some(Drain { number: 1, since: since(&core, LEAVE_MOST) });
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
    assert!((0..20).all(|id| orders.of(id).1 == 0), "not before their time");
    let since = core.clock.now() - crate::clock::nanos(ANSWERS);
    core.drain = Some(Drain { number: 1, since });
    core.go_on_draining(1);
    core.go_on_draining(1);
    assert!((0..20).all(|id| orders.of(id).1 == 1));
    assert_eq!((core.ledger.len(), core.gate.waiting()), (0, 0));
}
