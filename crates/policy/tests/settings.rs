//! Settings that are replaced while requests are under way, and settings at the edges of their ranges.

mod common;

use beaconflow_policy::Balancer;
use beaconflow_policy::*;
use common::*;

/// Tells a gateway other settings.
fn replace(gateway: &mut Gateway, settings: Settings) -> Vec<Action> {
    gateway.tell(Event::SettingsReplaced(Box::new(settings)))
}

/// A day of arrivals, failures and silence; gives all actions, timers included.
fn day(replaced_by: Option<&Settings>) -> Vec<Action> {
    let mut balancer = Balancer::new(settings(), 5).expect("in range");
    let mut actions = Vec::new();
    let mut tell = |now: Nanos, event: Event| balancer.handle(now, event, &mut actions);
    tell(
        0,
        Event::ServerList {
            update: ListUpdate::Snapshot,
            entries: (0..4).map(entry).collect(),
        },
    );
    for number in 0..200 {
        let now = number * 10 * MS;
        tell(
            now,
            Event::ConnectRequested(arrival(number, number as usize % 5, now)),
        );
        if let Some(settings) = replaced_by.filter(|_| number % 50 == 7) {
            tell(now, Event::SettingsReplaced(Box::new(settings.clone())));
        }
        let outcome = [
            AttemptOutcome::Reset,
            AttemptOutcome::Rejected,
            AttemptOutcome::TimedOut,
        ][number as usize % 3];
        let (request, elapsed) = (RequestId(number), 5 * MS);
        tell(
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
fn settings_that_are_the_same_change_no_decision() {
    let undisturbed = day(None);
    assert!(undisturbed.len() > 300, "{}", undisturbed.len());
    assert_eq!(day(Some(&settings())), undisturbed);
}

#[test]
fn settings_out_of_their_range_or_with_fewer_classes_change_no_decision() {
    let mut wrong = settings();
    wrong.limits.max_attempts = 0;
    let mut fewer = settings();
    fewer.classes.pop();
    let undisturbed = day(None);
    assert_eq!(day(Some(&wrong)), undisturbed);
    assert_eq!(day(Some(&fewer)), undisturbed);
}

#[test]
fn whoever_waits_beyond_the_new_limit_of_attempts_is_answered_at_once() {
    let mut gateway = Gateway::with_servers(settings(), 3);
    gateway.arrive(1, SAFE);
    assert!(
        gateway.end(1, 0, AttemptOutcome::Rejected).is_empty(),
        "it waits for its second attempt"
    );
    let mut fewer = settings();
    fewer.limits.max_attempts = 1;
    let answered = replace(&mut gateway, fewer);
    assert!(refused(&answered, 1), "{answered:?}");
    assert!(
        gateway
            .pass(5 * SECOND)
            .iter()
            .all(|action| matches!(action, Action::LogOverload(_))),
        "and once"
    );
}

#[test]
fn an_attempt_that_is_out_goes_on_and_its_request_is_judged_by_the_new_limit() {
    let mut gateway = Gateway::with_servers(settings(), 3);
    for request in [1, 2] {
        gateway.arrive(request, SAFE);
    }
    let mut fewer = settings();
    fewer.limits.max_attempts = 1;
    assert!(
        replace(&mut gateway, fewer).is_empty(),
        "nothing is called off"
    );
    gateway.establish(1, 0);
    let after = gateway.end(2, 0, AttemptOutcome::Rejected);
    assert!(
        refused(&after, 2) && attempts(&after).is_empty(),
        "{after:?}"
    );
    // The one that stands is the same as ever.
    assert!(gateway.close(1, 0, AttemptOutcome::Served).is_empty());
}

#[test]
fn more_attempts_count_those_made_before() {
    let mut gateway = Gateway::with_servers(settings(), 3);
    gateway.arrive(1, SAFE);
    gateway.end(1, 0, AttemptOutcome::Rejected);
    let mut two = settings();
    two.limits.max_attempts = 2;
    assert!(replace(&mut gateway, two).is_empty());
    let second = gateway.pass(SECOND);
    assert_eq!(attempts(&second).len(), 1);
    assert!(
        refused(&gateway.end(1, 1, AttemptOutcome::Rejected), 1),
        "two in all"
    );
}

#[test]
fn a_request_that_may_have_run_is_failed_at_once_when_its_class_may_not_be_repeated_any_more() {
    let mut gateway = Gateway::with_servers(settings(), 3);
    for request in [1, 2] {
        gateway.arrive(request, SAFE);
    }
    gateway.end(1, 0, AttemptOutcome::Reset);
    gateway.end(2, 0, AttemptOutcome::Rejected);
    let mut stricter = settings();
    stricter.classes[SAFE].retry_safety = RetrySafety::NonIdempotent;
    let answered = replace(&mut gateway, stricter);
    assert!(failed(&answered, 1), "{answered:?}");
    // The other one never ran.
    assert_eq!(attempts(&gateway.pass(SECOND)).len(), 1);
    assert!(failed(&gateway.end(2, 1, AttemptOutcome::Reset), 2));
}

#[test]
fn what_stands_is_neither_moved_nor_forgotten() {
    let mut gateway = Gateway::with_servers(settings(), 3);
    for request in 0..30 {
        gateway.stand(arrival(request, SAFE, SECOND));
    }
    let mut other = settings();
    other.classes = vec![other.classes[1].clone(); 7];
    other.classes[0].message_latency_objective = 10 * SECOND;
    other.balancers = 40;
    assert!(replace(&mut gateway, other).is_empty());
    let later = gateway.pass(3 * SECOND);
    assert!(
        later
            .iter()
            .all(|action| !matches!(action, Action::Migrate(..))),
        "{later:?}"
    );
    for request in 0..30 {
        // A second end would be that of a connection which the module has forgotten, and could not be failed.
        assert!(failed(
            &gateway.end(request, 0, AttemptOutcome::Reset),
            request
        ));
    }
}

#[test]
fn new_classes_are_known_from_then_on() {
    let mut gateway = Gateway::with_servers(settings(), 2);
    let mut more = settings();
    more.classes.push(RequestClass {
        latency_objective: MS,
        ..more.classes[SAFE].clone()
    });
    let new = more.classes.len() - 1;
    assert!(failed(&gateway.arrive(1, new), 1));
    replace(&mut gateway, more);
    assert_eq!(attempts(&gateway.arrive(2, new)).len(), 1);
    gateway.establish(2, 0);
    gateway.note(2, ConnectionMetric::Load(70.0));
    assert!(gateway.close(2, 0, AttemptOutcome::Served).is_empty());
}

/// Fails set-ups until the window is as small as it gets; gives how many are let out at once then.
fn let_out(gateway: &mut Gateway, from: u64) -> usize {
    (from..from + 60)
        .map(|request| attempts(&gateway.arrive(request, SAFE)).len())
        .sum()
}

#[test]
fn the_pace_of_earlier_limits_is_forgotten_and_that_of_the_same_is_kept() {
    let run = |changed: &dyn Fn(&mut Settings)| {
        let mut gateway = Gateway::with_servers(settings(), 8);
        for request in 1_000..1_030 {
            gateway.arrive(request, UNSAFE);
            gateway.end(request, 0, AttemptOutcome::ServerError);
            gateway.pass(200 * MS);
        }
        let mut other = settings();
        changed(&mut other);
        replace(&mut gateway, other);
        gateway.pass(5 * SECOND);
        let_out(&mut gateway, 0)
    };
    let small = run(&|_| {});
    assert!(small < 6, "{small}");
    assert_eq!(run(&|settings| settings.costs.cross_zone = 0.1), small);
    let anew = run(&|settings| settings.limits.connect_timeout = 200 * MS);
    assert!(anew >= 12, "{anew}");
}

#[test]
fn a_server_is_passed_over_no_longer_than_the_new_deadlines_say() {
    let mut long = settings();
    long.classes
        .iter_mut()
        .for_each(|class| class.deadline = 600 * SECOND);
    let mut gateway = Gateway::with_servers(long, 2);
    let mut ill = None;
    for request in 0..40 {
        let at = attempts(&gateway.arrive(request, UNSAFE));
        let first = *ill.get_or_insert(at[0]);
        let outcome = if at[0] == first {
            AttemptOutcome::ServerError
        } else {
            AttemptOutcome::Served
        };
        gateway.end(request, 0, outcome);
        gateway.pass(MS);
    }
    let ill = ill.expect("somebody failed");
    replace(&mut gateway, settings());
    gateway.pass(3 * SECOND);
    let placed: Vec<ServerId> = (100..120)
        .flat_map(|id| attempts(&gateway.arrive(id, UNSAFE)))
        .collect();
    assert!(placed.contains(&ill), "{ill:?} in {placed:?}");
}

#[test]
fn a_call_for_the_list_that_was_put_off_by_earlier_settings_is_put_off_by_the_new_ones() {
    let mut slow = Settings {
        discovery: DiscoveryMode::Polled,
        ..settings()
    };
    slow.rules.list_max_age = 0;
    slow.classes
        .iter_mut()
        .for_each(|class| class.deadline = 600 * SECOND);
    let quick = Settings {
        discovery: DiscoveryMode::Polled,
        ..settings()
    };
    let mut late = 0;
    for seed in 0..20 {
        let mut gateway = Gateway::with_servers(slow.clone(), 1);
        gateway.balancer = Balancer::new(slow.clone(), seed).expect("in range");
        gateway.list(ListUpdate::Snapshot, vec![entry(0)]);
        for _ in 0..8 {
            // The call that was put off before goes out, and fails.
            gateway.timers.clear();
            gateway.list(ListUpdate::Failed(0), Vec::new());
        }
        replace(&mut gateway, quick.clone());
        let asked = gateway.pass(2 * SECOND).contains(&Action::WatchServerList);
        late += usize::from(!asked);
    }
    assert_eq!(late, 0, "the new deadlines are two seconds");
}

/// What a gateway decides in a story of groups, weights that fall, cold servers and failures.
fn story(gateway: &mut Gateway) -> Vec<Action> {
    let mut actions = Vec::new();
    for request in 0..240 {
        let group = Some(GroupId((request % 9) << 40));
        let now = gateway.now;
        let grouped = ConnectRequest {
            group,
            ..arrival(request, request as usize % 3, now)
        };
        let mut made = gateway.tell(Event::ConnectRequested(grouped));
        match request % 5 {
            0 | 1 => gateway.settle(&made),
            2 => made.extend(gateway.end(request, 0, AttemptOutcome::Reset)),
            3 => made.extend(gateway.end(request, 0, AttemptOutcome::TimedOut)),
            _ => made.extend(gateway.end(request, 0, AttemptOutcome::Rejected)),
        }
        if request == 30 {
            gateway.list(
                ListUpdate::Delta,
                vec![ServerEntry {
                    weight: 0.1,
                    ..entry(0)
                }],
            );
        }
        if request == 60 {
            // Two of the four, so that their part shows.
            let started_at = gateway.now;
            let cold = |server| ServerEntry {
                started_at,
                ..entry(server)
            };
            gateway.list(ListUpdate::Delta, vec![cold(1), cold(2)]);
        }
        let later = gateway.pass(40 * MS);
        // Repeats stand or are turned away at once: set-ups that go on for ever would have all later ones wait.
        for action in &later {
            if let Action::StartAttempt { request, .. } = action {
                for attempt in 0..3 {
                    match request.0 % 4 {
                        0 => actions.extend(gateway.end(
                            request.0,
                            attempt,
                            AttemptOutcome::Rejected,
                        )),
                        _ => drop(gateway.establish(request.0, attempt)),
                    }
                }
            }
        }
        made.extend(later);
        actions.extend(made);
    }
    actions
}

#[test]
fn a_gateway_whose_settings_were_replaced_decides_as_one_that_began_with_them() {
    let changes: [&dyn Fn(&mut Settings); 10] = [
        &|_| {},
        &|settings| settings.has_live_weights = true,
        &|settings| settings.balancers = 40,
        &|settings| settings.limits.max_attempts = 2,
        &|settings| settings.limits.sends_retry_after = false,
        &|settings| settings.limits.connect_timeout = 700 * MS,
        &|settings| settings.rules.initial_capacity = 0.9,
        &|settings| settings.rules.overload_multiple = 1.1,
        &|settings| {
            settings
                .classes
                .iter_mut()
                .for_each(|class| class.latency_objective = 50 * MS)
        },
        &|settings| settings.classes[2].retry_safety = RetrySafety::NonIdempotent,
    ];
    let mut told_apart = Vec::new();
    let usual = story(&mut Gateway::with_servers(settings(), 4));
    for (number, change) in changes.iter().enumerate() {
        let mut changed = settings();
        change(&mut changed);
        let began = story(&mut Gateway::with_servers(changed.clone(), 4));
        let mut replaced = Gateway::with_servers(settings(), 4);
        replace(&mut replaced, changed);
        assert_eq!(story(&mut replaced), began, "change {number}");
        told_apart.extend((began != usual).then_some(number));
    }
    assert_eq!(
        told_apart,
        [1, 2, 3, 4, 5, 6, 7, 8, 9],
        "the story shows each of them"
    );
}

#[test]
fn the_longest_connect_timeout_leaves_a_repeat_all_of_its_time() {
    let mut settings = settings();
    settings.limits.connect_timeout = 1 << 62;
    let mut gateway = Gateway::with_servers(settings, 2);
    gateway.arrive(1, SAFE);
    gateway.end(1, 0, AttemptOutcome::Rejected);
    let made = gateway.pass(SECOND);
    assert!(
        matches!(made[..], [Action::StartAttempt { timeout, .. }] if timeout > SECOND),
        "{made:?}"
    );
}

/// Plays a short story under settings at an edge: every request gets one final answer or comes to stand.
fn plays(settings: Settings) {
    let mut gateway = Gateway::with_servers(settings.clone(), 4);
    gateway.now = 100 * SECOND;
    let cold = ServerEntry {
        started_at: gateway.now - MS,
        ..entry(1)
    };
    gateway.list(
        ListUpdate::Delta,
        vec![
            cold,
            ServerEntry {
                state: ServerState::Draining,
                ..entry(2)
            },
        ],
    );
    let mut actions = Vec::new();
    for request in 0..60 {
        let class = ClassId(request as usize % settings.classes.len());
        let give_up_at = gateway.now + settings.classes[class.0].deadline;
        let comes = Event::ConnectRequested(ConnectRequest {
            class,
            deadline_at: give_up_at,
            ..arrival(request, SAFE, 0)
        });
        let mut made = gateway.tell(comes);
        match request % 4 {
            0 => gateway.settle(&made),
            1 => made.extend(gateway.end(request, 0, AttemptOutcome::Rejected)),
            2 => made.extend(gateway.end(request, 0, AttemptOutcome::Reset)),
            _ => made.extend(gateway.end(request, 0, AttemptOutcome::TimedOut)),
        }
        made.extend(gateway.pass(7 * MS));
        actions.extend(made);
    }
    actions.extend(gateway.pass(200 * SECOND));
    for request in 0..60 {
        let answers =
            usize::from(refused(&actions, request)) + usize::from(failed(&actions, request));
        assert!(answers <= 1, "{request} under {settings:?}");
    }
    // One set-up at a time is all that a gateway of very many may have under way.
    let served = attempts(&actions).len();
    assert!(served > 5, "{served} attempts under {settings:?}");
}

#[test]
fn settings_at_the_edges_of_their_ranges_are_served_by() {
    let changes: [&dyn Fn(&mut Settings); 20] = [
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
        &|settings| settings.costs.cross_zone = 100.0,
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
                .for_each(|class| (class.priority_weight, class.latency_objective) = (0.0, 1))
        },
    ];
    for change in changes {
        let mut changed = settings();
        change(&mut changed);
        plays(changed.clone());
        // And the same after a replacement in either direction.
        if changed.classes.len() >= settings().classes.len() {
            let mut gateway = Gateway::with_servers(settings(), 2);
            gateway.arrive(1, SAFE);
            replace(&mut gateway, changed);
            gateway.arrive(2, SAFE);
            gateway.pass(SECOND);
        }
    }
}

#[test]
fn a_fleet_that_is_cold_as_a_whole_is_used_also_where_servers_tip_at_once() {
    let mut settings = settings();
    settings.rules.overload_window = 0;
    let mut gateway = Gateway::new(settings);
    gateway.now = 100 * SECOND;
    let young = |server| ServerEntry {
        started_at: gateway.now - SECOND,
        ..entry(server)
    };
    gateway.list(ListUpdate::Cached, (0..4).map(young).collect());
    let placed = attempts(&gateway.stream(0..100, 100 * MS)).len();
    assert!(placed > 5, "{placed} of 100");
}

#[test]
fn after_failed_calls_the_list_is_asked_for_within_the_six_seconds_that_the_platform_gives_under_any_settings()
 {
    let mut long = Settings {
        discovery: DiscoveryMode::Polled,
        ..settings()
    };
    long.classes
        .iter_mut()
        .for_each(|class| class.deadline = 600 * SECOND);
    let mut longest = 0;
    for (ask_within, balancers) in [
        (0, 1),
        (600 * SECOND, 1),
        (Nanos::MAX, 3),
        (0, 300),
        (600 * SECOND, 300),
    ] {
        let mut settings = Settings {
            balancers,
            ..long.clone()
        };
        settings.rules.list_max_age = ask_within;
        for seed in 0..20 {
            let mut balancer = Balancer::new(settings.clone(), seed).expect("in range");
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
                panic!("{actions:?}")
            };
            longest = longest.max(*after);
        }
    }
    assert!(longest <= 5 * SECOND, "{longest}");
}
