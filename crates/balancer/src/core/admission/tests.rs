//! Tests of the admission queue of a core that runs on no thread.

use beaconflow_overrides::OverrideSet;

use super::super::CoreInput;
use super::super::testing::{CommandLog, core, open_request};
use super::*;
use crate::clock::Clock;

/// Attempts that the policy admits at once at the start.
const INITIAL_CONCURRENCY_LIMIT: u64 = 12;
const LONG_TIMEOUT: Duration = Duration::from_secs(60);

/// A core whose admission queue holds 18 requests of each of two accounts.
fn core_with_full_queue() -> (Core, Arc<CommandLog>) {
    let (mut core, commands) = (
        core(Clock::start(), OverrideSet::new(0)),
        Arc::new(CommandLog::default()),
    );
    for id in 0..INITIAL_CONCURRENCY_LIMIT + 36 {
        open_request(
            &mut core,
            &commands,
            id,
            if id % 2 == 0 { "acme" } else { "bright" },
            LONG_TIMEOUT,
        );
    }
    assert_eq!(core.admission.queued(), 36);
    (core, commands)
}

/// A restart of the policy must neither lose queued requests nor answer one twice.
#[test]
fn sends_each_request_one_answer_when_policy_panics() {
    let (mut core, commands) = core_with_full_queue();
    core.restart_policy();
    assert_eq!(core.admission.queued(), 0);
    assert!(
        (0..INITIAL_CONCURRENCY_LIMIT + 36).all(|id| commands.attempts_and_answers(id).1 == 1),
        "each request gets one final answer"
    );
    // The new policy admits new requests, and the queue works as before.
    for id in 100..100 + INITIAL_CONCURRENCY_LIMIT + 3 {
        open_request(&mut core, &commands, id, "acme", LONG_TIMEOUT);
    }
    assert_eq!(
        (commands.attempts_and_answers(100), core.admission.queued()),
        ((1, 0), 3)
    );
}

#[test]
fn grants_permit_when_setup_ends_but_not_for_queued_leaver() {
    let (mut core, commands) = core_with_full_queue();
    core.handle_input(CoreInput::ClientLeft(INITIAL_CONCURRENCY_LIMIT));
    assert_eq!(core.admission.queued(), 35);
    let started_requests = |commands: &CommandLog| {
        (0..INITIAL_CONCURRENCY_LIMIT + 36)
            .filter(|id| commands.attempts_and_answers(*id).0 > 0)
            .count() as u64
    };
    assert_eq!(started_requests(&commands), INITIAL_CONCURRENCY_LIMIT);
    core.handle_input(CoreInput::AttemptEstablished(0));
    assert!(started_requests(&commands) > INITIAL_CONCURRENCY_LIMIT);
    let started_before = started_requests(&commands);
    // A client that leaves during its attempt frees a permit too.
    core.handle_input(CoreInput::ClientLeft(1));
    assert_eq!(started_requests(&commands), started_before + 1);
    assert_eq!(
        core.admission
            .snapshot(0)
            .accounts
            .iter()
            .map(|account| account.counts.client_left)
            .sum::<u64>(),
        1,
        "only the client in the queue counts as left before an attempt"
    );
}

/// A connection from before the start has its place already and must not wait behind new requests.
#[test]
fn does_not_queue_resumed_connections() {
    let (mut core, commands) = core_with_full_queue();
    let resumed = ClientRequest {
        resumed_server: Some("s0".into()),
        ..core
            .requests
            .get(0)
            .expect("request 0 is open")
            .request
            .clone()
    };
    core.on_connect_requested(900, resumed, Arc::<CommandLog>::clone(&commands));
    assert_eq!(commands.attempts_and_answers(900), (1, 0));
}

/// A request that can't be established in time is rejected while its client still waits.
#[test]
fn rejects_request_early_when_setup_exceeds_deadline() {
    let (mut core, commands) = core_with_full_queue();
    // The fastest setup took half a second.
    core.admission.record_setup(0, 500_000_000);
    open_request(
        &mut core,
        &commands,
        500,
        "acme",
        Duration::from_millis(900),
    );
    assert_eq!(commands.attempts_and_answers(500), (0, 0));
    // No timer of the core fires here, so the answer comes from the queue.
    let started_at = std::time::Instant::now();
    while commands.attempts_and_answers(500) == (0, 0) {
        assert!(started_at.elapsed() < LONG_TIMEOUT);
        std::thread::sleep(Duration::from_millis(1));
        core.on_queue_timer();
    }
    assert_eq!(commands.attempts_and_answers(500), (0, 1));
    let snapshot = core.admission.snapshot(0);
    assert_eq!(
        snapshot
            .accounts
            .iter()
            .map(|account| account.counts.timed_out)
            .sum::<u64>(),
        1
    );
}
