//! Tests of the core's link to the fleet thread.

use std::cmp::Reverse;
use std::sync::Arc;
use std::time::Duration;

use beaconflow_overrides::OverrideSet;

use super::super::testing::{self, Orders, list, row};
use super::super::{Core, CoreInput};
use super::*;
use crate::clock::Clock;
use crate::discovery::DiscoveryEvent;

const LONG: Duration = Duration::from_secs(60);

/// The same story for a core, with what it ordered and decided.
fn story(mut core: Core) -> (String, Core) {
    let orders = Arc::new(Orders::default());
    core.on_discovery(DiscoveryEvent::List(list(
        &[row("s0"), row("s1"), row("s2")].join(","),
    )));
    for id in 0..12 {
        testing::opens(&mut core, &orders, id, "acme", LONG);
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
    (orders.words(), core)
}

#[test]
fn who_listens_changes_nothing_of_what_is_decided_and_hears_all_of_it() {
    let clock = Clock::start();
    let (alone, _) = story(testing::core(clock, OverrideSet::default()));
    let mut core = testing::core(clock, OverrideSet::default());
    let (events, heard) = crossbeam_channel::unbounded();
    core.attach_fleet(FleetLinkConfig {
        events,
        recovery_timeout: None,
        staged_admission: false,
        affinity: None,
    });
    let (tied, core) = story(core);
    assert_eq!(alone, tied);
    assert!(alone.contains("StartAttempt"), "{alone}");
    drop(core);
    let heard: Vec<CoreEvent> = heard.iter().collect();
    let count = |is: fn(&CoreEvent) -> bool| heard.iter().filter(|one| is(one)).count();
    assert_eq!(
        count(|one| matches!(one, CoreEvent::AttemptFinished(_, _, None))),
        8
    );
    assert_eq!(
        count(|one| matches!(
            one,
            CoreEvent::AttemptFinished(_, _, Some(AttemptOutcome::ConnectFailed))
        )),
        1
    );
    assert_eq!(count(|one| matches!(one, CoreEvent::ListApplied(..))), 1);
    assert_eq!(count(|one| matches!(one, CoreEvent::DiscoveryLost)), 1);
}

#[test]
fn a_program_gathers_what_was_known_before_for_no_longer_than_its_bound() {
    let mut core = testing::core(Clock::start(), OverrideSet::default());
    let (events, _heard) = crossbeam_channel::unbounded();
    core.attach_fleet(FleetLinkConfig {
        events,
        recovery_timeout: Some(Duration::ZERO),
        staged_admission: false,
        affinity: None,
    });
    core.on_lifecycle_command(LifecycleCommand::SetListening(true))
        .expect("a word of its own");
    assert_eq!(
        core.lifecycle.state(),
        super::super::lifecycle::LifecycleState::Starting
    );
    // Nobody ever says that it is over.
    core.fire_timer();
    assert_eq!(
        core.lifecycle.state(),
        super::super::lifecycle::LifecycleState::Serving
    );
}

#[test]
fn discovery_is_not_asked_while_the_uplink_is_lost_but_in_turn_or_when_nobody_holds_it_back() {
    let mut core = testing::core(Clock::start(), OverrideSet::default());
    let (watch, asked) = crossbeam_channel::unbounded();
    core.discovery_polls = watch;
    let (events, _heard) = crossbeam_channel::unbounded();
    core.attach_fleet(FleetLinkConfig {
        events,
        recovery_timeout: None,
        staged_admission: false,
        affinity: None,
    });
    core.handle_input(CoreInput::Fleet(FleetEvent::PollDiscovery));
    assert!(asked.is_empty(), "the module has not wanted it");
    core.handle_input(CoreInput::Fleet(FleetEvent::PauseDiscovery(LONG)));
    core.poll_discovery();
    core.poll_if_pending();
    assert!(asked.is_empty(), "held back");
    core.handle_input(CoreInput::Fleet(FleetEvent::PollDiscovery));
    assert_eq!(asked.len(), 1, "in turn");
    // Whoever held it back is gone, and its last word is over.
    core.handle_input(CoreInput::Fleet(FleetEvent::PauseDiscovery(
        Duration::from_millis(1),
    )));
    core.poll_discovery();
    while asked.len() < 2 {
        std::thread::sleep(Duration::from_millis(1));
        core.poll_if_pending();
    }
    core.poll_discovery();
    assert_eq!(asked.len(), 3);
}

#[test]
fn a_list_that_is_known_elsewhere_counts_only_while_none_is_known_here() {
    let mut core = testing::core(Clock::start(), OverrideSet::default());
    core.handle_input(CoreInput::Fleet(FleetEvent::CachedList(list(&row("s7")))));
    assert!(core.endpoints.by_name("s7").is_none());
    core.on_discovery(DiscoveryEvent::List(list("")));
    core.handle_input(CoreInput::Fleet(FleetEvent::CachedList(list(&row("s7")))));
    assert!(core.endpoints.by_name("s7").is_some());
}

/// How long the module has a client wait whose first pass has failed.
fn delay(core: &mut Core, id: u64) -> Nanos {
    testing::opens(core, &Arc::new(Orders::default()), id, "acme", LONG);
    let now = core.clock.now();
    core.handle_input(CoreInput::AttemptEnded {
        id,
        outcome: AttemptOutcome::Rejected,
        duration: Duration::from_millis(1),
    });
    let last = core
        .timers
        .iter()
        .map(|Reverse((at, set, due))| (*set, *at, *due))
        .max();
    let (_, at, due) = last.expect("a timer");
    assert!(matches!(due, TimerKind::Policy(_)), "{due:?}");
    core.handle_input(CoreInput::ClientLeft(id));
    at.saturating_sub(now)
}

#[test]
fn what_failed_at_other_processes_lengthens_a_clients_delay_until_it_is_void() {
    let mut core = testing::core(Clock::start(), OverrideSet::default());
    let sum = |core: &mut Core, ids: std::ops::Range<u64>, known: Option<u32>| -> Nanos {
        let told = |core: &mut Core, id| {
            known.into_iter().for_each(|count| {
                core.handle_input(CoreInput::Fleet(FleetEvent::FailuresCounted(id, count)))
            });
            delay(core, id)
        };
        ids.map(|id| told(core, id)).sum()
    };
    let none = sum(&mut core, 0..40, None);
    let many = sum(&mut core, 100..140, Some(6));
    assert!(
        many > 2 * none,
        "{many} with six failures elsewhere, {none} without"
    );
    (200..240)
        .for_each(|id| core.handle_input(CoreInput::Fleet(FleetEvent::FailuresCounted(id, 6))));
    let void = sum(&mut core, 200..240, Some(0));
    assert!(
        void < many / 2,
        "{void} once a placement succeeded anywhere, {many} before"
    );
}

#[test]
fn while_clients_go_by_turns_each_waits_for_its_own_and_no_longer_than_a_bound() {
    let (mut core, orders) = (
        testing::core(Clock::start(), OverrideSet::default()),
        Arc::new(Orders::default()),
    );
    let (events, heard) = crossbeam_channel::unbounded();
    core.attach_fleet(FleetLinkConfig {
        events,
        recovery_timeout: None,
        staged_admission: true,
        affinity: None,
    });
    (0..4).for_each(|id| testing::opens(&mut core, &orders, id, "acme", LONG));
    let wants = heard
        .try_iter()
        .filter(|one| matches!(one, CoreEvent::AdmissionRequested(_)))
        .count();
    assert_eq!((wants, orders.words().as_str()), (4, ""));
    core.handle_input(CoreInput::Fleet(FleetEvent::Admit(0)));
    core.handle_input(CoreInput::Fleet(FleetEvent::Defer(
        1,
        Duration::from_millis(700),
    )));
    assert_eq!((orders.of(0), orders.of(1)), ((1, 0), (0, 1)));
    assert!(
        orders.words().contains("1 Reject(Some(700ms))"),
        "{}",
        orders.words()
    );
    // One that was answered has had its turn; nobody speaks of the third.
    core.handle_input(CoreInput::Fleet(FleetEvent::Admit(1)));
    core.admit_staged(2);
    core.handle_input(CoreInput::Fleet(FleetEvent::StagedAdmission(false)));
    testing::opens(&mut core, &orders, 4, "acme", LONG);
    assert_eq!(
        [1, 2, 3, 4].map(|id| orders.of(id)),
        [(0, 1), (1, 0), (1, 0), (1, 0)]
    );
}

#[test]
fn the_sites_evidence_passes_a_server_over_and_moves_nobody() {
    let (mut core, orders) = (
        testing::core(Clock::start(), OverrideSet::default()),
        Arc::new(Orders::default()),
    );
    core.on_discovery(DiscoveryEvent::List(list(
        &[row("s0"), row("s1")].join(","),
    )));
    (0..8).for_each(|id| testing::opens(&mut core, &orders, id, "acme", LONG));
    (0..8).for_each(|id| core.handle_input(CoreInput::AttemptEstablished(id)));
    let part = SiteAssessment {
        skip_reason: Some("it hangs".into()),
        weight_factor: 1.0,
        restarted_at: 0,
    };
    core.handle_input(CoreInput::Fleet(FleetEvent::SiteAssessed(
        [("s1".to_owned(), part)].into(),
    )));
    (8..16).for_each(|id| testing::opens(&mut core, &orders, id, "acme", LONG));
    let words = orders.words();
    let after: Vec<&str> = words
        .lines()
        .filter(|line| line.contains("StartAttempt"))
        .skip(8)
        .collect();
    assert!(
        after.len() == 8 && after.iter().all(|line| line.ends_with("to s0")),
        "{after:?}"
    );
    assert!(!words.contains("Migrate"), "{words}");
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
