//! Tests of the core's link to the fleet thread.

use std::cmp::Reverse;
use std::sync::Arc;
use std::time::Duration;

use beaconflow_overrides::OverrideSet;

use super::super::testing::{self, CommandLog, list, row};
use super::super::{Core, CoreInput};
use super::*;
use crate::clock::Clock;
use crate::discovery::DiscoveryEvent;

const LONG_TIMEOUT: Duration = Duration::from_secs(60);

/// Links a core to a fleet thread; returns what the core tells it.
fn attach_fleet(
    core: &mut Core,
    recovery_timeout: Option<Duration>,
    staged_admission: bool,
) -> crossbeam_channel::Receiver<CoreEvent> {
    let (events, told) = crossbeam_channel::unbounded();
    core.attach_fleet(FleetLinkConfig {
        events,
        recovery_timeout,
        staged_admission,
        affinity: None,
    });
    told
}

/// Plays the same inputs on a core; returns its commands as text, and the core.
fn run_scenario(mut core: Core) -> (String, Core) {
    let commands = Arc::new(CommandLog::default());
    core.on_discovery(DiscoveryEvent::List(list(
        &[row("s0"), row("s1"), row("s2")].join(","),
    )));
    for id in 0..12 {
        testing::open_request(&mut core, &commands, id, "acme", LONG_TIMEOUT);
    }
    for id in 0..8 {
        core.handle_input(CoreInput::AttemptEstablished(id));
    }
    core.handle_input(CoreInput::AttemptEnded {
        id: 3,
        outcome: AttemptOutcome::Reset,
        duration: Duration::from_millis(900),
    });
    core.handle_input(CoreInput::AttemptEnded {
        id: 8,
        outcome: AttemptOutcome::ConnectFailed,
        duration: Duration::from_millis(2),
    });
    core.on_discovery(DiscoveryEvent::Failed(Duration::ZERO));
    core.handle_input(CoreInput::ClientLeft(9));
    (commands.as_text(), core)
}

/// The fleet is advisory: with it, the core must take the same decisions as without it.
#[test]
fn publishes_events_without_changing_decisions() {
    let clock = Clock::start();
    let (without_fleet, _) = run_scenario(testing::core(clock, OverrideSet::default()));
    let mut core = testing::core(clock, OverrideSet::default());
    let events_receiver = attach_fleet(&mut core, None, false);
    let (with_fleet, core) = run_scenario(core);
    assert_eq!(without_fleet, with_fleet);
    assert!(without_fleet.contains("StartAttempt"), "{without_fleet}");
    drop(core);
    let published: Vec<CoreEvent> = events_receiver.iter().collect();
    let count = |is: fn(&CoreEvent) -> bool| published.iter().filter(|event| is(event)).count();
    assert_eq!(
        count(|event| matches!(event, CoreEvent::AttemptFinished(_, _, None))),
        8
    );
    assert_eq!(
        count(|event| matches!(
            event,
            CoreEvent::AttemptFinished(_, _, Some(AttemptOutcome::ConnectFailed))
        )),
        1
    );
    assert_eq!(
        count(|event| matches!(event, CoreEvent::ListApplied(..))),
        1
    );
    assert_eq!(count(|event| matches!(event, CoreEvent::DiscoveryLost)), 1);
}

/// A process must serve even if the fleet thread never ends the recovery.
#[test]
fn ends_recovery_after_timeout() {
    let mut core = testing::core(Clock::start(), OverrideSet::default());
    let _heard = attach_fleet(&mut core, Some(Duration::ZERO), false);
    core.on_lifecycle_command(LifecycleCommand::SetListening(true))
        .expect("only commands of operators can be refused");
    assert_eq!(
        core.lifecycle.state(),
        super::super::lifecycle::LifecycleState::Starting
    );
    // No event ends the recovery; its timer does.
    core.fire_timer();
    assert_eq!(
        core.lifecycle.state(),
        super::super::lifecycle::LifecycleState::Serving
    );
}

/// A stopped fleet thread must not keep the core from polling discovery.
#[test]
fn polls_paused_discovery_only_when_requested_or_expired() {
    let mut core = testing::core(Clock::start(), OverrideSet::default());
    let (poll_sender, polls) = crossbeam_channel::unbounded();
    core.discovery_polls = poll_sender;
    let _heard = attach_fleet(&mut core, None, false);
    core.handle_input(CoreInput::Fleet(FleetEvent::PollDiscovery));
    assert!(polls.is_empty(), "the policy has not requested a poll");
    core.handle_input(CoreInput::Fleet(FleetEvent::PauseDiscovery(LONG_TIMEOUT)));
    core.poll_discovery();
    core.poll_if_pending();
    assert!(polls.is_empty(), "the poll waits while discovery is paused");
    core.handle_input(CoreInput::Fleet(FleetEvent::PollDiscovery));
    assert_eq!(polls.len(), 1, "the fleet thread requested the poll");
    // The fleet thread has stopped, and its last pause expires.
    core.handle_input(CoreInput::Fleet(FleetEvent::PauseDiscovery(
        Duration::from_millis(1),
    )));
    core.poll_discovery();
    while polls.len() < 2 {
        std::thread::sleep(Duration::from_millis(1));
        core.poll_if_pending();
    }
    core.poll_discovery();
    assert_eq!(polls.len(), 3);
}

/// The event that a list of these servers is known.
fn cached_list(servers: &[&str]) -> FleetEvent {
    let rows: Vec<String> = servers.iter().map(|server| row(server)).collect();
    let latest_list = Latest::default();
    latest_list.replace(list(&rows.join(",")));
    FleetEvent::CachedList(latest_list)
}

#[test]
fn applies_cached_list_only_while_no_server_is_known() {
    let mut core = testing::core(Clock::start(), OverrideSet::default());
    core.handle_input(CoreInput::Fleet(cached_list(&["s7"])));
    assert!(core.endpoints.by_name("s7").is_none());
    core.on_discovery(DiscoveryEvent::List(list("")));
    core.handle_input(CoreInput::Fleet(cached_list(&["s7"])));
    assert!(core.endpoints.by_name("s7").is_some());
}

/// Guards against a process without a disk that serves by the part of the peers' list that came first until discovery is
/// back.
#[test]
fn list_of_peers_is_completed_until_discovery_sends_one() {
    let mut core = testing::core(Clock::start(), OverrideSet::default());
    core.on_discovery(DiscoveryEvent::List(list("")));
    core.handle_input(CoreInput::Fleet(cached_list(&["s0"])));
    core.handle_input(CoreInput::Fleet(cached_list(&["s0", "s1"])));
    assert!(core.endpoints.by_name("s1").is_some());
    core.on_discovery(DiscoveryEvent::List(list(&row("s0"))));
    core.handle_input(CoreInput::Fleet(cached_list(&["s0", "s1", "s2"])));
    assert!(core.endpoints.by_name("s2").is_none());
}

/// Delay before the retry of a client whose first attempt was rejected.
fn retry_delay(core: &mut Core, id: u64) -> Nanos {
    testing::open_request(
        core,
        &Arc::new(CommandLog::default()),
        id,
        "acme",
        LONG_TIMEOUT,
    );
    let now = core.clock.now();
    core.handle_input(CoreInput::AttemptEnded {
        id,
        outcome: AttemptOutcome::Rejected,
        duration: Duration::from_millis(1),
    });
    let latest_timer = core
        .timers
        .iter()
        .map(|Reverse((at, set, kind))| (*set, *at, *kind))
        .max();
    let (_, at, kind) = latest_timer.expect("a retry timer is set");
    assert!(matches!(kind, TimerKind::Policy(_)), "{kind:?}");
    core.handle_input(CoreInput::ClientLeft(id));
    at.saturating_sub(now)
}

#[test]
fn lengthens_retry_delay_by_fleet_failures_until_success() {
    let mut core = testing::core(Clock::start(), OverrideSet::default());
    let total_delay =
        |core: &mut Core, ids: std::ops::Range<u64>, failure_count: Option<u32>| -> Nanos {
            let delay_with_failures = |core: &mut Core, id| {
                failure_count.into_iter().for_each(|count| {
                    core.handle_input(CoreInput::Fleet(FleetEvent::FailuresCounted(id, count)))
                });
                retry_delay(core, id)
            };
            ids.map(|id| delay_with_failures(core, id)).sum()
        };
    let without_failures = total_delay(&mut core, 0..40, None);
    let with_failures = total_delay(&mut core, 100..140, Some(6));
    assert!(
        with_failures > 2 * without_failures,
        "{with_failures} ns with six failures at other processes, {without_failures} ns without"
    );
    (200..240)
        .for_each(|id| core.handle_input(CoreInput::Fleet(FleetEvent::FailuresCounted(id, 6))));
    let after_success = total_delay(&mut core, 200..240, Some(0));
    assert!(
        after_success < with_failures / 2,
        "{after_success} ns after a placement succeeded anywhere, {with_failures} ns before"
    );
}

#[test]
fn holds_requests_for_staged_admission_until_timeout() {
    let (mut core, commands) = (
        testing::core(Clock::start(), OverrideSet::default()),
        Arc::new(CommandLog::default()),
    );
    let events_receiver = attach_fleet(&mut core, None, true);
    (0..4).for_each(|id| testing::open_request(&mut core, &commands, id, "acme", LONG_TIMEOUT));
    let admission_requests = events_receiver
        .try_iter()
        .filter(|event| matches!(event, CoreEvent::AdmissionRequested(_)))
        .count();
    assert_eq!((admission_requests, commands.as_text().as_str()), (4, ""));
    core.handle_input(CoreInput::Fleet(FleetEvent::Admit(0)));
    core.handle_input(CoreInput::Fleet(FleetEvent::Defer(
        1,
        Duration::from_millis(700),
    )));
    assert_eq!(
        (
            commands.attempts_and_answers(0),
            commands.attempts_and_answers(1)
        ),
        ((1, 0), (0, 1))
    );
    assert!(
        commands.as_text().contains("1 Reject(Some(700ms))"),
        "{}",
        commands.as_text()
    );
    // An admission after the final answer has no effect. Request 2 is admitted by its timeout, and
    // request 3 by the end of staged admission.
    core.handle_input(CoreInput::Fleet(FleetEvent::Admit(1)));
    core.admit_staged(2);
    core.handle_input(CoreInput::Fleet(FleetEvent::StagedAdmission(false)));
    testing::open_request(&mut core, &commands, 4, "acme", LONG_TIMEOUT);
    assert_eq!(
        [1, 2, 3, 4].map(|id| commands.attempts_and_answers(id)),
        [(0, 1), (1, 0), (1, 0), (1, 0)]
    );
}

#[test]
fn skips_server_by_site_evidence_without_migrations() {
    let (mut core, commands) = (
        testing::core(Clock::start(), OverrideSet::default()),
        Arc::new(CommandLog::default()),
    );
    core.on_discovery(DiscoveryEvent::List(list(
        &[row("s0"), row("s1")].join(","),
    )));
    (0..8).for_each(|id| testing::open_request(&mut core, &commands, id, "acme", LONG_TIMEOUT));
    (0..8).for_each(|id| core.handle_input(CoreInput::AttemptEstablished(id)));
    let assessment = SiteAssessment {
        skip_reason: Some("the server does not answer".into()),
        weight_factor: 1.0,
        restarted_at: 0,
    };
    core.handle_input(CoreInput::Fleet(FleetEvent::SiteAssessed(
        [("s1".to_owned(), assessment)].into(),
    )));
    (8..16).for_each(|id| testing::open_request(&mut core, &commands, id, "acme", LONG_TIMEOUT));
    let text = commands.as_text();
    let later_attempts: Vec<&str> = text
        .lines()
        .filter(|line| line.contains("StartAttempt"))
        .skip(8)
        .collect();
    assert!(
        later_attempts.len() == 8 && later_attempts.iter().all(|line| line.ends_with("to s0")),
        "{later_attempts:?}"
    );
    assert!(!text.contains("Migrate"), "{text}");
    core.on_discovery(DiscoveryEvent::List(list(
        &[row("s0"), row("s1")].join(","),
    )));
    assert!(
        core.snapshot().servers.iter().any(
            |server| server.name == "s1" && server.state.1 == policy::ServerState::OutOfService
        )
    );
    core.handle_input(CoreInput::Fleet(FleetEvent::SiteAssessed(BTreeMap::new())));
    assert!(
        core.snapshot()
            .servers
            .iter()
            .all(|server| server.state.1 == policy::ServerState::Ready)
    );
}

/// A client with little time must not spend it waiting for a fleet thread that does not answer.
#[test]
fn staged_admission_waits_for_a_part_of_the_time_of_the_client() {
    let mut core = testing::core(Clock::start(), OverrideSet::default());
    let _heard = attach_fleet(&mut core, None, true);
    let mut assert_wait = |id, client_timeout, expected: Duration| {
        let before = core.clock.now();
        let commands = Arc::new(CommandLog::default());
        testing::open_request(&mut core, &commands, id, "acme", client_timeout);
        let after = core.clock.now();
        let timer = core.timers.iter().find_map(|Reverse((at, _, kind))| {
            matches!(kind, TimerKind::StagedAdmissionTimeout(waiting) if *waiting == id)
                .then_some(*at)
        });
        let fires_at = timer.expect("the request waits for the fleet thread");
        let possible = before + nanos(expected)..=after + nanos(expected);
        assert!(
            possible.contains(&fires_at),
            "{fires_at} is not in {possible:?}"
        );
    };
    // An eighth of its time, and never more than 250 ms.
    assert_wait(1, Duration::from_millis(400), Duration::from_millis(50));
    assert_wait(2, Duration::from_secs(60), Duration::from_millis(250));
}
