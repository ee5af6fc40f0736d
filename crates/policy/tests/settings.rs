//! Replacement of the settings while requests are in flight, and settings at the ends of their ranges.

mod common;

use beaconflow_policy::Balancer;
use beaconflow_policy::*;
use common::*;

fn replace_settings(balancer: &mut TestBalancer, settings: Settings) -> Vec<Action> {
    balancer.handle(Event::SettingsReplaced(Box::new(settings)))
}

/// Runs requests, failures and timeouts, with replacements of the settings if given. Returns all
/// actions, including timers.
fn run_with_replacements(replaced_by: Option<&Settings>) -> Vec<Action> {
    let mut balancer = Balancer::new(settings(), 5).expect("the settings are in range");
    let mut actions = Vec::new();
    let mut handle = |now: Nanos, event: Event| balancer.handle(now, event, &mut actions);
    handle(
        0,
        Event::ServerList {
            update: ListUpdate::Snapshot,
            entries: (0..4).map(entry).collect(),
        },
    );
    for number in 0..200 {
        let now = number * 10 * MS;
        handle(
            now,
            Event::ConnectRequested(connect_request(number, number as usize % 5, now)),
        );
        if let Some(settings) = replaced_by.filter(|_| number % 50 == 7) {
            handle(now, Event::SettingsReplaced(Box::new(settings.clone())));
        }
        let outcome = [
            AttemptOutcome::Reset,
            AttemptOutcome::Rejected,
            AttemptOutcome::TimedOut,
        ][number as usize % 3];
        let (request, elapsed) = (RequestId(number), 5 * MS);
        handle(
            now + MS,
            Event::AttemptEnded(AttemptEnd {
                request,
                attempt: 0,
                outcome,
                elapsed,
                is_final: false,
            }),
        );
    }
    actions
}

#[test]
fn replacement_by_equal_settings_changes_no_action() {
    let without_replacement = run_with_replacements(None);
    assert!(
        without_replacement.len() > 300,
        "only {} actions",
        without_replacement.len()
    );
    assert_eq!(
        run_with_replacements(Some(&settings())),
        without_replacement
    );
}

#[test]
fn invalid_replacements_are_ignored() {
    let mut invalid = settings();
    invalid.limits.max_attempts = 0;
    let mut fewer = settings();
    fewer.classes.pop();
    let without_replacement = run_with_replacements(None);
    assert_eq!(run_with_replacements(Some(&invalid)), without_replacement);
    assert_eq!(run_with_replacements(Some(&fewer)), without_replacement);
}

#[test]
fn waiting_request_over_new_limit_is_answered() {
    let mut balancer = TestBalancer::with_servers(settings(), 3);
    balancer.request(1, IDEMPOTENT);
    assert!(
        balancer
            .end_attempt(1, 0, AttemptOutcome::Rejected)
            .is_empty(),
        "the request should wait for its second attempt"
    );
    let mut fewer = settings();
    fewer.limits.max_attempts = 1;
    let answers = replace_settings(&mut balancer, fewer);
    assert!(
        is_rejected(&answers, 1),
        "the request should be rejected: {answers:?}"
    );
    assert!(
        balancer
            .advance(5 * SECOND)
            .iter()
            .all(|action| matches!(action, Action::LogOverload(_))),
        "the request should be answered only once"
    );
}

#[test]
fn attempt_in_flight_continues_under_new_limit() {
    let mut balancer = TestBalancer::with_servers(settings(), 3);
    for request in [1, 2] {
        balancer.request(request, IDEMPOTENT);
    }
    let mut fewer = settings();
    fewer.limits.max_attempts = 1;
    assert!(
        replace_settings(&mut balancer, fewer).is_empty(),
        "no attempt in flight should be affected"
    );
    balancer.establish(1, 0);
    let after = balancer.end_attempt(2, 0, AttemptOutcome::Rejected);
    assert!(
        is_rejected(&after, 2) && attempted_servers(&after).is_empty(),
        "the request should be rejected without a retry: {after:?}"
    );
    // The established connection is unaffected.
    assert!(balancer.close(1, 0, AttemptOutcome::Served).is_empty());
}

#[test]
fn former_attempts_count_towards_new_limit() {
    let mut balancer = TestBalancer::with_servers(settings(), 3);
    balancer.request(1, IDEMPOTENT);
    balancer.end_attempt(1, 0, AttemptOutcome::Rejected);
    let mut two_attempts = settings();
    two_attempts.limits.max_attempts = 2;
    assert!(replace_settings(&mut balancer, two_attempts).is_empty());
    let second = balancer.advance(SECOND);
    assert_eq!(attempted_servers(&second).len(), 1);
    assert!(
        is_rejected(&balancer.end_attempt(1, 1, AttemptOutcome::Rejected), 1),
        "the limit of two attempts is used up"
    );
}

/// A request that may have been executed must not be retried under the new settings.
#[test]
fn executed_request_fails_when_made_non_idempotent() {
    let mut balancer = TestBalancer::with_servers(settings(), 3);
    for request in [1, 2] {
        balancer.request(request, IDEMPOTENT);
    }
    balancer.end_attempt(1, 0, AttemptOutcome::Reset);
    balancer.end_attempt(2, 0, AttemptOutcome::Rejected);
    let mut stricter = settings();
    stricter.classes[IDEMPOTENT].retry_safety = RetrySafety::NonIdempotent;
    let answers = replace_settings(&mut balancer, stricter);
    assert!(
        is_failed(&answers, 1),
        "the request should fail: {answers:?}"
    );
    // The other request was not executed.
    assert_eq!(attempted_servers(&balancer.advance(SECOND)).len(), 1);
    assert!(is_failed(
        &balancer.end_attempt(2, 1, AttemptOutcome::Reset),
        2
    ));
}

#[test]
fn replacement_keeps_established_connections() {
    let mut balancer = TestBalancer::with_servers(settings(), 3);
    for request in 0..30 {
        balancer.connect(connect_request(request, IDEMPOTENT, SECOND));
    }
    let mut replacement = settings();
    replacement.classes = vec![replacement.classes[1].clone(); 7];
    replacement.classes[0].message_latency_objective = 10 * SECOND;
    replacement.balancers = 40;
    assert!(replace_settings(&mut balancer, replacement).is_empty());
    let later = balancer.advance(3 * SECOND);
    assert!(
        later
            .iter()
            .all(|action| !matches!(action, Action::Migrate(..))),
        "no connection should be migrated: {later:?}"
    );
    for request in 0..30 {
        // The end of a connection that the policy no longer knew would be ignored.
        assert!(is_failed(
            &balancer.end_attempt(request, 0, AttemptOutcome::Reset),
            request
        ));
    }
}

#[test]
fn added_class_is_used_after_the_replacement() {
    let mut balancer = TestBalancer::with_servers(settings(), 2);
    let mut more = settings();
    more.classes.push(RequestClass {
        deadline: 3 * SECOND,
        ..more.classes[IDEMPOTENT].clone()
    });
    let new = more.classes.len() - 1;
    assert!(is_failed(&balancer.request(1, new), 1));
    replace_settings(&mut balancer, more);
    assert_eq!(attempted_servers(&balancer.request(2, new)).len(), 1);
    balancer.establish(2, 0);
    balancer.measure(2, ConnectionMetric::Load(70.0));
    assert!(balancer.close(2, 0, AttemptOutcome::Served).is_empty());
}

/// Number of attempts that start at once for 60 requests.
fn concurrent_attempts(balancer: &mut TestBalancer, from: u64) -> usize {
    (from..from + 60)
        .map(|request| attempted_servers(&balancer.request(request, IDEMPOTENT)).len())
        .sum()
}

/// Other settings keep the lowered limit.
#[test]
fn other_limits_reset_concurrency_limit() {
    let attempts_after = |change: &dyn Fn(&mut Settings)| {
        let mut balancer = TestBalancer::with_servers(settings(), 8);
        for request in 1_000..1_030 {
            balancer.request(request, NON_IDEMPOTENT);
            balancer.end_attempt(request, 0, AttemptOutcome::ServerError);
            balancer.advance(200 * MS);
        }
        let mut replacement = settings();
        change(&mut replacement);
        replace_settings(&mut balancer, replacement);
        balancer.advance(5 * SECOND);
        concurrent_attempts(&mut balancer, 0)
    };
    let lowered = attempts_after(&|_| {});
    assert!(lowered < 6, "{lowered} concurrent attempts after failures");
    assert_eq!(
        attempts_after(&|settings| settings.rules.list_max_age = SECOND),
        lowered
    );
    let reset = attempts_after(&|settings| settings.limits.connect_timeout = 200 * MS);
    assert!(
        reset >= 12,
        "{reset} concurrent attempts after a replacement of the limits"
    );
}

#[test]
fn ejection_does_not_outlast_the_new_deadlines() {
    let mut long_deadlines = settings();
    long_deadlines
        .classes
        .iter_mut()
        .for_each(|class| class.deadline = 600 * SECOND);
    let mut balancer = TestBalancer::with_servers(long_deadlines, 2);
    let mut failing = None;
    for request in 0..40 {
        let server = attempted_servers(&balancer.request(request, NON_IDEMPOTENT));
        let first = *failing.get_or_insert(server[0]);
        let outcome = if server[0] == first {
            AttemptOutcome::ServerError
        } else {
            AttemptOutcome::Served
        };
        balancer.end_attempt(request, 0, outcome);
        balancer.advance(MS);
    }
    let failing = failing.expect("a server was attempted");
    replace_settings(&mut balancer, settings());
    balancer.advance(3 * SECOND);
    let placed: Vec<ServerId> = (100..120)
        .flat_map(|id| attempted_servers(&balancer.request(id, NON_IDEMPOTENT)))
        .collect();
    assert!(
        placed.contains(&failing),
        "{failing:?} should be used again: {placed:?}"
    );
}

#[test]
fn new_settings_reschedule_pending_list_call() {
    let mut long_waits = Settings {
        discovery: DiscoveryMode::Polled,
        ..settings()
    };
    long_waits.rules.list_max_age = 0;
    long_waits
        .classes
        .iter_mut()
        .for_each(|class| class.deadline = 600 * SECOND);
    let short_waits = Settings {
        discovery: DiscoveryMode::Polled,
        ..settings()
    };
    let mut missing_calls = 0;
    for seed in 0..20 {
        let mut balancer = TestBalancer::with_servers(long_waits.clone(), 1);
        balancer.policy =
            Balancer::new(long_waits.clone(), seed).expect("the settings are in range");
        balancer.update_list(ListUpdate::Snapshot, vec![entry(0)]);
        for _ in 0..8 {
            // Each call fails; its backoff grows.
            balancer.timers.clear();
            balancer.update_list(ListUpdate::Failed(0), Vec::new());
        }
        replace_settings(&mut balancer, short_waits.clone());
        let has_called = balancer
            .advance(2 * SECOND)
            .contains(&Action::WatchServerList);
        missing_calls += usize::from(!has_called);
    }
    assert_eq!(
        missing_calls, 0,
        "balancers without a call within the new deadline of two seconds"
    );
}

/// Runs a scenario of groups, a falling weight, restarted servers and failures; returns the actions.
fn run_scenario(balancer: &mut TestBalancer) -> Vec<Action> {
    let mut actions = Vec::new();
    for request in 0..240 {
        let group = Some(GroupId((request % 9) << 40));
        let now = balancer.now;
        let connect = ConnectRequest {
            group,
            ..connect_request(request, request as usize % 3, now)
        };
        let mut current = balancer.handle(Event::ConnectRequested(connect));
        match request % 5 {
            0 | 1 => balancer.establish_first_attempts(&current),
            2 => current.extend(balancer.end_attempt(request, 0, AttemptOutcome::Reset)),
            3 => current.extend(balancer.end_attempt(request, 0, AttemptOutcome::TimedOut)),
            _ => current.extend(balancer.end_attempt(request, 0, AttemptOutcome::Rejected)),
        }
        if request == 30 {
            balancer.update_list(
                ListUpdate::Delta,
                vec![ServerEntry {
                    weight: 0.1,
                    ..entry(0)
                }],
            );
        }
        if request == 60 {
            // Two of the four servers, so that their share has an effect.
            let started_at = balancer.now;
            let restarted = |server| ServerEntry {
                started_at,
                ..entry(server)
            };
            balancer.update_list(ListUpdate::Delta, vec![restarted(1), restarted(2)]);
        }
        let later = balancer.advance(40 * MS);
        // Retries are established or rejected at once; attempts that never end would leave all later
        // requests in the queue.
        for action in &later {
            if let Action::StartAttempt { request, .. } = action {
                for attempt in 0..3 {
                    match request.0 % 4 {
                        0 => actions.extend(balancer.end_attempt(
                            request.0,
                            attempt,
                            AttemptOutcome::Rejected,
                        )),
                        _ => drop(balancer.establish(request.0, attempt)),
                    }
                }
            }
        }
        current.extend(later);
        actions.extend(current);
    }
    actions
}

#[test]
fn replaced_settings_act_like_initial_ones() {
    let changes: [&dyn Fn(&mut Settings); 10] = [
        &|_| {},
        &|settings| settings.has_live_weights = true,
        &|settings| settings.balancers = 40,
        &|settings| settings.limits.max_attempts = 2,
        &|settings| settings.limits.sends_retry_after = false,
        &|settings| settings.limits.connect_timeout = 700 * MS,
        &|settings| settings.rules.initial_capacity = 0.9,
        &|settings| settings.rules.overload_multiple = 1.1,
        &|settings| settings.limits.max_retry_after = 50 * MS,
        &|settings| settings.classes[2].retry_safety = RetrySafety::NonIdempotent,
    ];
    let mut with_effect = Vec::new();
    let unchanged = run_scenario(&mut TestBalancer::with_servers(settings(), 4));
    for (number, change) in changes.iter().enumerate() {
        let mut changed = settings();
        change(&mut changed);
        let initial = run_scenario(&mut TestBalancer::with_servers(changed.clone(), 4));
        let mut replaced = TestBalancer::with_servers(settings(), 4);
        replace_settings(&mut replaced, changed);
        assert_eq!(run_scenario(&mut replaced), initial, "change {number}");
        with_effect.extend((initial != unchanged).then_some(number));
    }
    assert_eq!(
        with_effect,
        [1, 2, 3, 4, 5, 6, 7, 8, 9],
        "each change but the first should affect the actions of the scenario"
    );
}

/// A doubled connect timeout must not overflow, which would shorten the timeout of a retry.
#[test]
fn longest_connect_timeout_leaves_retry_its_time() {
    let mut settings = settings();
    settings.limits.connect_timeout = 1 << 62;
    let mut balancer = TestBalancer::with_servers(settings, 2);
    balancer.request(1, IDEMPOTENT);
    balancer.end_attempt(1, 0, AttemptOutcome::Rejected);
    let actions = balancer.advance(SECOND);
    assert!(
        matches!(actions[..], [Action::StartAttempt { timeout, .. }] if timeout > SECOND),
        "expected one attempt with a timeout over a second: {actions:?}"
    );
}

/// Runs a short scenario under extreme settings. No request gets more than one final answer, and
/// attempts are started.
fn run_extreme_settings(settings: Settings) {
    let mut balancer = TestBalancer::with_servers(settings.clone(), 4);
    balancer.now = 100 * SECOND;
    let restarted = ServerEntry {
        started_at: balancer.now - MS,
        ..entry(1)
    };
    balancer.update_list(
        ListUpdate::Delta,
        vec![
            restarted,
            ServerEntry {
                state: ServerState::Draining,
                ..entry(2)
            },
        ],
    );
    let mut actions = Vec::new();
    for request in 0..60 {
        let class = ClassId(request as usize % settings.classes.len());
        let deadline_at = balancer.now + settings.classes[class.0].deadline;
        let event = Event::ConnectRequested(ConnectRequest {
            class,
            deadline_at,
            ..connect_request(request, IDEMPOTENT, 0)
        });
        let mut current = balancer.handle(event);
        match request % 4 {
            0 => balancer.establish_first_attempts(&current),
            1 => current.extend(balancer.end_attempt(request, 0, AttemptOutcome::Rejected)),
            2 => current.extend(balancer.end_attempt(request, 0, AttemptOutcome::Reset)),
            _ => current.extend(balancer.end_attempt(request, 0, AttemptOutcome::TimedOut)),
        }
        current.extend(balancer.advance(7 * MS));
        actions.extend(current);
    }
    actions.extend(balancer.advance(200 * SECOND));
    for request in 0..60 {
        let answers =
            usize::from(is_rejected(&actions, request)) + usize::from(is_failed(&actions, request));
        assert!(
            answers <= 1,
            "request {request} got {answers} final answers under {settings:?}"
        );
    }
    // In a very large fleet, each balancer may have only one attempt in flight.
    let started = attempted_servers(&actions).len();
    assert!(started > 5, "only {started} attempts under {settings:?}");
}

#[test]
fn extreme_settings_are_handled() {
    let changes: [&dyn Fn(&mut Settings); 19] = [
        &|settings| settings.limits.max_attempts = 1,
        &|settings| settings.limits.max_attempts = u32::MAX,
        &|settings| settings.limits.connect_timeout = 0,
        &|settings| settings.limits.connect_timeout = Nanos::MAX,
        &|settings| settings.limits.max_retry_after = 0,
        &|settings| settings.limits.max_retry_after = Nanos::MAX,
        &|settings| settings.rules.warm_up_time = 0,
        &|settings| settings.rules.warm_up_time = Nanos::MAX,
        &|settings| settings.rules.overload_window = 0,
        &|settings| settings.rules.overload_multiple = 0.1,
        &|settings| settings.rules.initial_capacity = 1.0,
        &|settings| settings.rules.list_max_age = 0,
        &|settings| settings.rules.list_max_age = Nanos::MAX,
        &|settings| settings.balancers = u32::MAX,
        &|settings| settings.classes.truncate(1),
        &|settings| settings.classes = vec![settings.classes[0].clone(); 20],
        &|settings| {
            settings
                .classes
                .iter_mut()
                .for_each(|class| class.deadline = 200 * MS)
        },
        &|settings| {
            settings
                .classes
                .iter_mut()
                .for_each(|class| class.deadline = 60 * SECOND)
        },
        &|settings| {
            settings
                .classes
                .iter_mut()
                .for_each(|class| class.deadline = Nanos::MAX / 4)
        },
    ];
    for change in changes {
        let mut changed = settings();
        change(&mut changed);
        run_extreme_settings(changed.clone());
        // The same after a replacement.
        if changed.classes.len() >= settings().classes.len() {
            let mut balancer = TestBalancer::with_servers(settings(), 2);
            balancer.request(1, IDEMPOTENT);
            replace_settings(&mut balancer, changed);
            balancer.request(2, IDEMPOTENT);
            balancer.advance(SECOND);
        }
    }
}

#[test]
fn restarted_fleet_is_used_without_overload_window() {
    let mut settings = settings();
    settings.rules.overload_window = 0;
    let mut balancer = TestBalancer::new(settings);
    balancer.now = 100 * SECOND;
    let restarted = |server| ServerEntry {
        started_at: balancer.now - SECOND,
        ..entry(server)
    };
    balancer.update_list(ListUpdate::Cached, (0..4).map(restarted).collect());
    let placed = attempted_servers(&balancer.connect_at_interval(0..100, 100 * MS)).len();
    assert!(placed > 5, "only {placed} of 100 requests were placed");
}

/// The platform counts a change as known after six seconds; the last second is for the call.
#[test]
fn failed_list_calls_are_repeated_in_time() {
    let mut long_deadlines = Settings {
        discovery: DiscoveryMode::Polled,
        ..settings()
    };
    long_deadlines
        .classes
        .iter_mut()
        .for_each(|class| class.deadline = 600 * SECOND);
    let mut longest = 0;
    for (list_max_age, balancers) in [
        (0, 1),
        (600 * SECOND, 1),
        (Nanos::MAX, 3),
        (0, 300),
        (600 * SECOND, 300),
    ] {
        let mut settings = Settings {
            balancers,
            ..long_deadlines.clone()
        };
        settings.rules.list_max_age = list_max_age;
        for seed in 0..20 {
            let mut balancer =
                Balancer::new(settings.clone(), seed).expect("the settings are in range");
            let mut actions = Vec::new();
            for update in [ListUpdate::Cached]
                .into_iter()
                .chain([ListUpdate::Failed(0); 8])
            {
                let entries = if update == ListUpdate::Cached {
                    vec![entry(0)]
                } else {
                    Vec::new()
                };
                balancer.handle(SECOND, Event::ServerList { update, entries }, &mut actions);
            }
            let Some(Action::SetTimer { after, .. }) = actions.last() else {
                panic!("expected a timer as the last action: {actions:?}")
            };
            longest = longest.max(*after);
        }
    }
    assert!(longest <= 5 * SECOND, "longest wait of {longest}");
}

/// A class whose clients wait a third as long has three turns to one.
#[test]
fn queue_weight_follows_the_deadline_alone() {
    let with_deadline = |deadline| RequestClass {
        deadline,
        ..settings().classes[0].clone()
    };
    let (long, short) = (with_deadline(3 * SECOND), with_deadline(SECOND));
    assert_eq!(short.queue_weight(), 3.0 * long.queue_weight());
}
