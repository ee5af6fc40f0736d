//! Tests of drains, on a core that nobody runs.

use std::sync::Arc;

use beaconflow_overrides::OverrideSet;

use super::super::testing::{self, CommandLog};
use super::*;
use crate::clock::Clock;

/// A core with so many standing connections, numbered from 0.
fn core_with_connections(count: u64) -> (Core, Arc<CommandLog>) {
    let mut core = testing::core(Clock::start(), OverrideSet::default());
    let commands = Arc::new(CommandLog::default());
    for command in [
        LifecycleCommand::SetListening(true),
        LifecycleCommand::ServersKnown,
    ] {
        core.on_lifecycle_command(command)
            .expect("no order of an operator's");
    }
    for id in 0..count {
        testing::open_request(&mut core, &commands, id, "acme", Duration::from_secs(1));
        core.on_attempt_established(id);
    }
    (core, commands)
}

/// Has the drain that is on have begun so long ago.
fn set_drain_age(core: &mut Core, span: Duration) {
    let since = core.clock.now() - crate::clock::nanos(span);
    let drain = core.drain.as_mut().expect("one is on");
    drain.started_at = since;
}

#[test]
fn keeps_unmigrated_clients_when_drain_is_reverted() {
    let (mut core, commands) = core_with_connections(3);
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
    assert_eq!([0, 1, 2].map(|id| commands.migration_count(id)), [1, 0, 0]);
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
    assert_eq!(commands.migration_count(1), 1);
    assert!(!core.has_exited(), "the program stays");
    assert_eq!(
        core.on_lifecycle_command(LifecycleCommand::ShutDown),
        Ok(LifecycleState::ShuttingDown)
    );
    assert_eq!(
        core.on_lifecycle_command(LifecycleCommand::LeaveStandby),
        Err(CommandRefusedError(LifecycleState::ShuttingDown))
    );
}

#[test]
fn migrates_connection_established_during_drain() {
    let (mut core, commands) = core_with_connections(0);
    core.on_lifecycle_command(LifecycleCommand::EnterStandby)
        .expect("it serves");
    assert!(core.accepts_new_requests());
    testing::open_request(&mut core, &commands, 7, "acme", Duration::from_secs(1));
    assert_eq!(
        commands.attempts_and_answers(7),
        (1, 0),
        "a newcomer is served"
    );
    core.on_attempt_established(7);
    assert!(
        core.timers
            .iter()
            .any(|timer| timer.0.2 == TimerKind::DrainMigration(1, 7))
    );
}

#[test]
fn waits_for_open_handshakes_before_exit() {
    let (mut core, _) = core_with_connections(0);
    core.on_lifecycle_command(LifecycleCommand::ShutDown)
        .expect("always");
    let exit_after = core.drain_schedule().exit;
    core.lifecycle_view.set_handshakes(1);
    set_drain_age(&mut core, MIN_SHUTDOWN_SPAN);
    assert!(!core.has_exited());
    core.lifecycle_view.set_handshakes(0);
    assert!(core.has_exited());
    core.lifecycle_view.set_handshakes(1);
    set_drain_age(&mut core, exit_after);
    assert!(core.has_exited(), "it may be killed any time now");
}

#[test]
fn answers_pending_requests_once_at_end_of_drain() {
    let (mut core, commands) = core_with_connections(0);
    // More than are let in at once: the rest wait at the door.
    for id in 0..20 {
        testing::open_request(&mut core, &commands, id, "acme", Duration::from_secs(60));
    }
    let waiting = (0..20)
        .filter(|id| commands.attempts_and_answers(*id) == (0, 0))
        .count();
    assert!(waiting > 0 && waiting < 20, "{waiting} wait");
    core.on_lifecycle_command(LifecycleCommand::EnterStandby)
        .expect("it serves");
    core.continue_drain(1);
    assert!(
        (0..20).all(|id| commands.attempts_and_answers(id).1 == 0),
        "not before their time"
    );
    let moves = core.drain_schedule().migrate;
    set_drain_age(&mut core, moves);
    core.continue_drain(1);
    core.continue_drain(1);
    assert!((0..20).all(|id| commands.attempts_and_answers(id).1 == 1));
    assert_eq!((core.requests.len(), core.admission.queued()), (0, 0));
}

#[test]
fn keeps_drain_schedule_within_longest_deadline() {
    for deadline_ms in (300..=3_000).step_by(50).chain([9_000]) {
        let deadline = Duration::from_millis(deadline_ms);
        let schedule = DrainSchedule::for_deadline(deadline);
        let killed_after = deadline.min(Duration::from_secs(3)) + Duration::from_millis(700);
        assert!(
            schedule.exit + Duration::from_millis(200) <= killed_after,
            "{schedule:?}"
        );
        // A client in the midst of a message is moved up to 0.7 s after the order.
        let has_full_margin = deadline >= Duration::from_millis(1_200);
        assert!(
            !has_full_margin || schedule.migrate + Duration::from_millis(700) < schedule.exit,
            "{schedule:?}"
        );
        assert!(
            schedule.handshakes < schedule.exit && schedule.migrate < schedule.exit,
            "{schedule:?}"
        );
        // They come for 0.4 s.
        assert!(schedule.accept > Duration::from_millis(400), "{schedule:?}");
    }
    let default_schedule = DrainSchedule::for_deadline(Duration::from_secs(3));
    assert_eq!(default_schedule.migrate, Duration::from_millis(2_700));
    assert_eq!(default_schedule.accept, Duration::from_millis(1_500));
    assert_eq!(default_schedule.exit, Duration::from_millis(3_500));
}

#[test]
fn uses_configured_deadline_for_shutdown_but_not_standby() {
    let (mut core, _) = core_with_connections(3);
    core.on_lifecycle_command(LifecycleCommand::EnterStandby)
        .expect("it serves");
    assert_eq!(
        core.drain.expect("one is on").schedule,
        DrainSchedule::for_deadline(LONGEST_DEADLINE)
    );
    core.on_lifecycle_command(LifecycleCommand::ShutDown)
        .expect("always");
    // The longest deadline of the tests' settings.
    let schedule = DrainSchedule::for_deadline(Duration::from_millis(1_800));
    assert_eq!(core.drain.expect("one is on").schedule, schedule);
    assert!(core.lifecycle_view.accepts_handshakes());
    set_drain_age(&mut core, schedule.handshakes);
    core.continue_drain(2);
    assert!(
        !core.lifecycle_view.accepts_handshakes(),
        "each is left its last answer"
    );
}
