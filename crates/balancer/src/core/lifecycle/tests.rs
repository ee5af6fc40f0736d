//! Tests of the program's state.

use super::*;
use proptest::prelude::*;

/// The plain model: all that was ever said, read anew each time.
fn expected(said: &[LifecycleCommand]) -> LifecycleState {
    let leaves = said
        .iter()
        .position(|word| *word == LifecycleCommand::ShutDown);
    let orders = &said[..leaves.unwrap_or(said.len())];
    let last_order = orders.iter().rev().find(|word| {
        matches!(
            word,
            LifecycleCommand::EnterStandby | LifecycleCommand::LeaveStandby
        )
    });
    let listens = said
        .iter()
        .rev()
        .find(|word| matches!(word, LifecycleCommand::SetListening(_)));
    let recovers = said
        .iter()
        .rev()
        .find(|word| matches!(word, LifecycleCommand::SetRecovering(_)));
    if leaves.is_some() {
        LifecycleState::ShuttingDown
    } else if last_order == Some(&LifecycleCommand::EnterStandby) {
        LifecycleState::Standby
    } else if recovers == Some(&LifecycleCommand::SetRecovering(true)) {
        LifecycleState::Starting
    } else if listens == Some(&LifecycleCommand::SetListening(true))
        && said.contains(&LifecycleCommand::ServersKnown)
    {
        LifecycleState::Serving
    } else {
        LifecycleState::Starting
    }
}

fn words() -> impl Strategy<Value = Vec<LifecycleCommand>> {
    let word = prop_oneof![
        any::<bool>().prop_map(LifecycleCommand::SetListening),
        Just(LifecycleCommand::ServersKnown),
        any::<bool>().prop_map(LifecycleCommand::SetRecovering),
        Just(LifecycleCommand::EnterStandby),
        Just(LifecycleCommand::LeaveStandby),
        Just(LifecycleCommand::ShutDown),
    ];
    proptest::collection::vec(word, 0..24)
}

proptest! {
    #[test]
    fn any_sequence_of_words_leads_where_the_plain_model_says(words in words()) {
        let mut lifecycle = Lifecycle::default();
        for (count, word) in words.iter().enumerate() {
            let left = words[..count].contains(&LifecycleCommand::ShutDown);
            let refused = left && matches!(word, LifecycleCommand::EnterStandby | LifecycleCommand::LeaveStandby);
            let state = expected(&words[..=count]);
            let answer = if refused { Err(CommandRefused(LifecycleState::ShuttingDown)) } else { Ok(state) };
            prop_assert_eq!(lifecycle.apply(*word), answer);
            prop_assert_eq!(lifecycle.state(), state);
        }
    }
}

#[test]
fn a_core_that_has_not_turned_for_long_is_not_ready() {
    let shown = LifecycleView::default();
    shown.set_state(LifecycleState::Serving);
    assert!(shown.is_ready());
    let start = Instant::now()
        .checked_sub(STALL_TIMEOUT * 2)
        .expect("the machine runs for longer");
    let shown = LifecycleView::with_origin(start);
    shown.set_state(LifecycleState::Serving);
    assert!(!shown.is_ready());
    shown.record_heartbeat();
    assert!(shown.is_ready());
}
