//! Tests of drains, on a core that nobody runs.

use std::sync::Arc;

use beaconflow_overrides::OverrideSet;

use super::super::testing::{self, Orders};
use super::*;
use crate::clock::Clock;

/// A core with so many standing connections, numbered from 0.
fn standing(count: u64) -> (Core, Arc<Orders>) {
    let mut core = testing::core(Clock::start(), OverrideSet::default());
    let orders = Arc::new(Orders::default());
    for word in [
        LifecycleCommand::SetListening(true),
        LifecycleCommand::ServersKnown,
    ] {
        core.on_lifecycle_command(word)
            .expect("no order of an operator's");
    }
    for id in 0..count {
        testing::opens(&mut core, &orders, id, "acme", Duration::from_secs(1));
        core.on_attempt_established(id);
    }
    (core, orders)
}

/// Has the drain that is on have begun so long ago.
fn drains_for(core: &mut Core, span: Duration) {
    let since = core.clock.now() - crate::clock::nanos(span);
    let drain = core.drain.as_mut().expect("one is on");
    drain.started_at = since;
}

#[test]
fn clients_whose_turn_has_not_come_stay_when_a_drain_is_undone() {
    let (mut core, orders) = standing(3);
    assert_eq!(
        core.on_lifecycle_command(LifecycleCommand::EnterStandby),
        Ok(LifecycleState::Standby)
    );
    core.migrate_in_drain(1, 0);
    assert_eq!(
        core.on_lifecycle_command(LifecycleCommand::LeaveStandby),
        Ok(LifecycleState::Serving)
    );
    core.migrate_in_drain(1, 1);
    assert_eq!([0, 1, 2].map(|id| orders.moves(id)), [1, 0, 0]);
    // The next drain leaves those alone that the first one moved.
    assert_eq!(
        core.on_lifecycle_command(LifecycleCommand::EnterStandby),
        Ok(LifecycleState::Standby)
    );
    assert_eq!(
        core.timers
            .iter()
            .filter(|timer| matches!(timer.0.2, TimerKind::DrainMigration(2, _)))
            .count(),
        2
    );
    core.migrate_in_drain(2, 1);
    assert_eq!(orders.moves(1), 1);
    assert!(!core.has_exited(), "the program stays");
    assert_eq!(
        core.on_lifecycle_command(LifecycleCommand::ShutDown),
        Ok(LifecycleState::ShuttingDown)
    );
    assert_eq!(
        core.on_lifecycle_command(LifecycleCommand::LeaveStandby),
        Err(CommandRefused(LifecycleState::ShuttingDown))
    );
}

#[test]
fn one_that_stands_only_in_the_drain_is_moved_with_the_last() {
    let (mut core, orders) = standing(0);
    core.on_lifecycle_command(LifecycleCommand::EnterStandby)
        .expect("it serves");
    assert!(core.accepts_new_requests());
    testing::opens(&mut core, &orders, 7, "acme", Duration::from_secs(1));
    assert_eq!(orders.of(7), (1, 0), "a newcomer is served");
    core.on_attempt_established(7);
    assert!(
        core.timers
            .iter()
            .any(|timer| timer.0.2 == TimerKind::DrainMigration(1, 7))
    );
}

#[test]
fn the_program_does_not_leave_a_client_that_has_not_been_heard_out() {
    let (mut core, _) = standing(0);
    core.on_lifecycle_command(LifecycleCommand::ShutDown)
        .expect("always");
    let left = core.drain_schedule().exit;
    core.lifecycle_view.set_handshakes(1);
    drains_for(&mut core, MIN_SHUTDOWN_SPAN);
    assert!(!core.has_exited());
    core.lifecycle_view.set_handshakes(0);
    assert!(core.has_exited());
    core.lifecycle_view.set_handshakes(1);
    drains_for(&mut core, left);
    assert!(core.has_exited(), "it may be killed any time now");
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
    core.on_lifecycle_command(LifecycleCommand::EnterStandby)
        .expect("it serves");
    core.continue_drain(1);
    assert!(
        (0..20).all(|id| orders.of(id).1 == 0),
        "not before their time"
    );
    let moves = core.drain_schedule().migrate;
    drains_for(&mut core, moves);
    core.continue_drain(1);
    core.continue_drain(1);
    assert!((0..20).all(|id| orders.of(id).1 == 1));
    assert_eq!((core.requests.len(), core.admission.queued()), (0, 0));
}

#[test]
fn a_drain_keeps_within_what_the_longest_deadline_leaves_of_it() {
    for millis in (300..=3_000).step_by(50).chain([9_000]) {
        let deadline = Duration::from_millis(millis);
        let spans = DrainSchedule::for_deadline(deadline);
        let killed = deadline.min(Duration::from_secs(3)) + Duration::from_millis(700);
        assert!(
            spans.exit + Duration::from_millis(200) <= killed,
            "{spans:?}"
        );
        // A client in the midst of a message is moved up to 0.7 s after the order.
        let is_roomy = deadline >= Duration::from_millis(1_200);
        assert!(
            !is_roomy || spans.migrate + Duration::from_millis(700) < spans.exit,
            "{spans:?}"
        );
        assert!(
            spans.handshakes < spans.exit && spans.migrate < spans.exit,
            "{spans:?}"
        );
        // They come for 0.4 s.
        assert!(spans.accept > Duration::from_millis(400), "{spans:?}");
    }
    let usual = DrainSchedule::for_deadline(Duration::from_secs(3));
    assert_eq!(usual.migrate, Duration::from_millis(2_700));
    assert_eq!(usual.accept, Duration::from_millis(1_500));
    assert_eq!(usual.exit, Duration::from_millis(3_500));
}

#[test]
fn whoever_leaves_goes_by_the_settings_longest_deadline_and_whoever_stands_by_does_not() {
    let (mut core, _) = standing(3);
    core.on_lifecycle_command(LifecycleCommand::EnterStandby)
        .expect("it serves");
    assert_eq!(
        core.drain.expect("one is on").schedule,
        DrainSchedule::for_deadline(LONGEST_DEADLINE)
    );
    core.on_lifecycle_command(LifecycleCommand::ShutDown)
        .expect("always");
    // The longest deadline of the tests' settings.
    let spans = DrainSchedule::for_deadline(Duration::from_millis(1_800));
    assert_eq!(core.drain.expect("one is on").schedule, spans);
    assert!(core.lifecycle_view.accepts_handshakes());
    drains_for(&mut core, spans.handshakes);
    core.continue_drain(2);
    assert!(
        !core.lifecycle_view.accepts_handshakes(),
        "each is left its last answer"
    );
}
