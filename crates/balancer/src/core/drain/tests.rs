//! Tests of drains, on a core that runs on no thread.

use std::sync::Arc;

use beaconflow_overrides::OverrideSet;

use super::super::testing::{self, CommandLog};
use super::*;
use crate::clock::Clock;

/// A core with `count` established connections, numbered from 0.
fn core_with_connections(count: u64) -> (Core, Arc<CommandLog>) {
    let mut core = testing::core(Clock::start(), OverrideSet::default());
    let commands = Arc::new(CommandLog::default());
    for command in [
        LifecycleCommand::SetListening(true),
        LifecycleCommand::ServersKnown,
    ] {
        core.on_lifecycle_command(command)
            .expect("only commands of operators can be refused");
    }
    for id in 0..count {
        testing::open_request(&mut core, &commands, id, "acme", Duration::from_secs(1));
        core.on_attempt_established(id);
    }
    (core, commands)
}

/// Moves the start of the drain in progress to `span` ago.
fn set_drain_age(core: &mut Core, span: Duration) {
    let started_at = core.clock.now() - crate::clock::nanos(span);
    let drain = core.drain.as_mut().expect("a drain is in progress");
    drain.started_at = started_at;
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
    // The next drain skips the clients that the first one migrated.
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
    assert!(!core.has_exited(), "a process on standby keeps running");
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
        .expect("a serving process accepts the command");
    assert!(core.accepts_new_requests());
    testing::open_request(&mut core, &commands, 7, "acme", Duration::from_secs(1));
    assert_eq!(
        commands.attempts_and_answers(7),
        (1, 0),
        "a new request is served at the start of a drain"
    );
    core.on_attempt_established(7);
    assert!(
        core.timers
            .iter()
            .any(|timer| timer.0.2 == TimerKind::DrainMigration(1, 7))
    );
}

/// A client whose handshake is unfinished must get an answer before the process exits.
#[test]
fn waits_for_open_handshakes_before_exit() {
    let (mut core, _) = core_with_connections(0);
    core.on_lifecycle_command(LifecycleCommand::ShutDown)
        .expect("a shutdown is never refused");
    let exit_after = core.drain_schedule().exit;
    core.lifecycle_view.set_handshakes(1);
    set_drain_age(&mut core, MIN_SHUTDOWN_SPAN);
    assert!(!core.has_exited());
    core.lifecycle_view.set_handshakes(0);
    assert!(core.has_exited());
    core.lifecycle_view.set_handshakes(1);
    set_drain_age(&mut core, exit_after);
    assert!(
        core.has_exited(),
        "the process exits at the end of its schedule, before it is killed"
    );
}

#[test]
fn answers_pending_requests_once_at_end_of_drain() {
    let (mut core, commands) = core_with_connections(0);
    // More requests than are admitted at once: the rest are queued.
    for id in 0..20 {
        testing::open_request(&mut core, &commands, id, "acme", Duration::from_secs(60));
    }
    let waiting = (0..20)
        .filter(|id| commands.attempts_and_answers(*id) == (0, 0))
        .count();
    assert!(
        waiting > 0 && waiting < 20,
        "{waiting} of 20 requests are queued"
    );
    core.on_lifecycle_command(LifecycleCommand::EnterStandby)
        .expect("a serving process accepts the command");
    core.continue_drain(1);
    assert!(
        (0..20).all(|id| commands.attempts_and_answers(id).1 == 0),
        "pending requests are answered only at the end of the migration span"
    );
    let migration_span = core.drain_schedule().migrate;
    set_drain_age(&mut core, migration_span);
    core.continue_drain(1);
    core.continue_drain(1);
    assert!((0..20).all(|id| commands.attempts_and_answers(id).1 == 1));
    assert_eq!((core.requests.len(), core.admission.queued()), (0, 0));
}

/// The process may be killed 0.7 s after the longest deadline; all steps must be over before.
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
        // A client in the middle of a message migrates up to 0.7 s after the command.
        let has_full_margin = deadline >= Duration::from_millis(1_200);
        assert!(
            !has_full_margin || schedule.migrate + Duration::from_millis(700) < schedule.exit,
            "{schedule:?}"
        );
        assert!(
            schedule.handshakes < schedule.exit && schedule.migrate < schedule.exit,
            "{schedule:?}"
        );
        // A load balancer in front sends new requests for up to 0.4 s.
        assert!(schedule.accept > Duration::from_millis(400), "{schedule:?}");
    }
    let default_schedule = DrainSchedule::for_deadline(Duration::from_secs(3));
    assert_eq!(default_schedule.migrate, Duration::from_millis(2_700));
    assert_eq!(default_schedule.accept, Duration::from_millis(1_500));
    assert_eq!(default_schedule.exit, Duration::from_millis(3_500));
}

/// Only a process that shuts down is killed after the deadline.
#[test]
fn uses_configured_deadline_for_shutdown_but_not_standby() {
    let (mut core, _) = core_with_connections(3);
    core.on_lifecycle_command(LifecycleCommand::EnterStandby)
        .expect("a serving process accepts the command");
    assert_eq!(
        core.drain.expect("a drain is in progress").schedule,
        DrainSchedule::for_deadline(LONGEST_DEADLINE)
    );
    core.on_lifecycle_command(LifecycleCommand::ShutDown)
        .expect("a shutdown is never refused");
    // The longest deadline in the settings of the tests.
    let schedule = DrainSchedule::for_deadline(Duration::from_millis(1_800));
    assert_eq!(
        core.drain.expect("a drain is in progress").schedule,
        schedule
    );
    assert!(core.lifecycle_view.accepts_handshakes());
    set_drain_age(&mut core, schedule.handshakes);
    core.continue_drain(2);
    assert!(
        !core.lifecycle_view.accepts_handshakes(),
        "handshakes are closed before the exit"
    );
}
