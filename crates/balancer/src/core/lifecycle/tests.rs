//! Tests of the lifecycle state.

use super::*;
use proptest::prelude::*;

/// Reference model: derives the state from all commands so far.
fn expected(commands: &[LifecycleCommand]) -> LifecycleState {
    let shutdown_at = commands
        .iter()
        .position(|command| *command == LifecycleCommand::ShutDown);
    let before_shutdown = &commands[..shutdown_at.unwrap_or(commands.len())];
    let last_mode = before_shutdown.iter().rev().find(|command| {
        matches!(
            command,
            LifecycleCommand::EnterStandby | LifecycleCommand::LeaveStandby
        )
    });
    let last_listening = commands
        .iter()
        .rev()
        .find(|command| matches!(command, LifecycleCommand::SetListening(_)));
    let last_recovering = commands
        .iter()
        .rev()
        .find(|command| matches!(command, LifecycleCommand::SetRecovering(_)));
    if shutdown_at.is_some() {
        LifecycleState::ShuttingDown
    } else if last_mode == Some(&LifecycleCommand::EnterStandby) {
        LifecycleState::Standby
    } else if last_recovering == Some(&LifecycleCommand::SetRecovering(true)) {
        LifecycleState::Starting
    } else if last_listening == Some(&LifecycleCommand::SetListening(true))
        && commands.contains(&LifecycleCommand::ServersKnown)
    {
        LifecycleState::Serving
    } else {
        LifecycleState::Starting
    }
}

fn command_sequences() -> impl Strategy<Value = Vec<LifecycleCommand>> {
    let command = prop_oneof![
        any::<bool>().prop_map(LifecycleCommand::SetListening),
        Just(LifecycleCommand::ServersKnown),
        any::<bool>().prop_map(LifecycleCommand::SetRecovering),
        Just(LifecycleCommand::EnterStandby),
        Just(LifecycleCommand::LeaveStandby),
        Just(LifecycleCommand::ShutDown),
    ];
    proptest::collection::vec(command, 0..24)
}

proptest! {
    #[test]
    fn matches_reference_model_for_any_command_sequence(commands in command_sequences()) {
        let mut lifecycle = Lifecycle::default();
        for (count, command) in commands.iter().enumerate() {
            let is_shutting_down = commands[..count].contains(&LifecycleCommand::ShutDown);
            let is_refused = is_shutting_down && matches!(command, LifecycleCommand::EnterStandby | LifecycleCommand::LeaveStandby);
            let state = expected(&commands[..=count]);
            let expected_result = if is_refused { Err(CommandRefusedError(LifecycleState::ShuttingDown)) } else { Ok(state) };
            prop_assert_eq!(lifecycle.apply(*command), expected_result);
            prop_assert_eq!(lifecycle.state(), state);
        }
    }
}

#[test]
fn is_not_ready_without_recent_heartbeat() {
    let view = LifecycleView::default();
    view.set_state(LifecycleState::Serving);
    assert!(view.is_ready());
    let start = Instant::now()
        .checked_sub(STALL_TIMEOUT * 2)
        .expect("the machine has been up for longer");
    let view = LifecycleView::with_origin(start);
    view.set_state(LifecycleState::Serving);
    assert!(!view.is_ready());
    view.record_heartbeat();
    assert!(view.is_ready());
}
