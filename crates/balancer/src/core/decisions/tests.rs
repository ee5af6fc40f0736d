//! Last words that no decision of the module's gives.

use std::sync::Arc;
use std::time::Duration;

use beaconflow_overrides::OverrideSet;
use beaconflow_policy::AttemptOutcome;

use super::super::testing::{CommandLog, core, open_request};
use super::super::{Core, CoreInput};
use crate::clock::Clock;

const LONG_TIMEOUT: Duration = Duration::from_secs(60);
/// Set-ups that the module lets be under way at the start; more wait in the admission queue.
const INITIAL_CONCURRENCY_LIMIT: u64 = 12;

/// The last order of a request, in words.
fn last_command(commands: &CommandLog, id: u64) -> String {
    let prefix = format!("{id} ");
    let text = commands.as_text();
    text.lines()
        .filter_map(|line| line.strip_prefix(&prefix))
        .next_back()
        .unwrap_or_default()
        .to_owned()
}

/// Request 0 may have run and waits for its next attempt, 1 has been turned away and waits, 2 is being sent, and one
/// more waits in the admission queue: its number.
fn open_request_in_each_state(core: &mut Core, commands: &Arc<CommandLog>) -> u64 {
    for id in 0..2 {
        open_request(core, commands, id, "acme", LONG_TIMEOUT);
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
    for id in 2..=2 + INITIAL_CONCURRENCY_LIMIT {
        open_request(core, commands, id, "acme", LONG_TIMEOUT);
    }
    2 + INITIAL_CONCURRENCY_LIMIT
}

/// Requests 0 to 2 and the queued one had their answers, and every request had one.
fn assert_only_what_may_have_run_failed(commands: &CommandLog, queued: u64) {
    let answers = [0, 1, 2, queued].map(|id| last_command(commands, id));
    assert_eq!(
        answers,
        ["Fail", "Reject(None)", "AbandonAttempt", "Reject(None)"]
    );
    assert!(
        (0..=queued).all(|id| commands.attempts_and_answers(id).1 == 1),
        "one answer each"
    );
}

#[test]
fn fails_only_possibly_executed_requests_after_policy_panic() {
    let (mut core, commands) = (
        core(Clock::start(), OverrideSet::new(0)),
        Arc::new(CommandLog::default()),
    );
    let queued = open_request_in_each_state(&mut core, &commands);
    core.restart_policy();
    assert_only_what_may_have_run_failed(&commands, queued);
}

#[test]
fn fails_only_possibly_executed_requests_at_end_of_drain() {
    let (mut core, commands) = (
        core(Clock::start(), OverrideSet::new(0)),
        Arc::new(CommandLog::default()),
    );
    let queued = open_request_in_each_state(&mut core, &commands);
    core.end_drain_now();
    assert_only_what_may_have_run_failed(&commands, queued);
}
