//! Tests of final answers that are not decisions of the policy.

use std::sync::Arc;
use std::time::Duration;

use beaconflow_overrides::OverrideSet;
use beaconflow_policy::AttemptOutcome;

use super::super::testing::{CommandLog, core, open_request};
use super::super::{Core, CoreInput};
use crate::clock::Clock;

const LONG_TIMEOUT: Duration = Duration::from_secs(60);
/// Attempts that the policy admits at once at the start; further requests are queued.
const INITIAL_CONCURRENCY_LIMIT: u64 = 12;

/// The last command for a request, as text.
fn last_command(commands: &CommandLog, id: u64) -> String {
    let prefix = format!("{id} ");
    let text = commands.as_text();
    text.lines()
        .filter_map(|line| line.strip_prefix(&prefix))
        .next_back()
        .unwrap_or_default()
        .to_owned()
}

/// Opens requests in all states before the end and returns the id of the queued one: 0 may have been
/// executed and 1 was rejected, and both wait for a retry; 2 has an attempt in flight.
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

/// Requests 0 to 2 and the queued one got the expected answers, and every request got one.
fn assert_only_what_may_have_run_failed(commands: &CommandLog, queued: u64) {
    let answers = [0, 1, 2, queued].map(|id| last_command(commands, id));
    assert_eq!(
        answers,
        ["Fail", "Reject(None)", "AbandonAttempt", "Reject(None)"]
    );
    assert!(
        (0..=queued).all(|id| commands.attempts_and_answers(id).1 == 1),
        "each request gets one final answer"
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
