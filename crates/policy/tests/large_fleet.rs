//! Dozens to hundreds of balancers with few connections each: limits hold for the sum of them.

mod common;

use common::*;

use beaconflow_policy::Balancer;
use beaconflow_policy::*;

/// One of so many balancers.
fn one_of(balancers: u32, servers: u32) -> TestBalancer {
    TestBalancer::with_servers(
        Settings {
            balancers,
            ..settings()
        },
        servers,
    )
}

#[test]
fn concurrency_limit_is_divided_over_the_fleet() {
    let concurrent_attempts = |balancers| {
        let mut balancer = one_of(balancers, 4);
        (0..100)
            .filter(|id| !attempted_servers(&balancer.request(*id, IDEMPOTENT)).is_empty())
            .count()
    };
    let small_fleet = 3 * concurrent_attempts(3);
    for balancers in [8, 24] {
        assert!(
            (balancers as usize) * concurrent_attempts(balancers)
                <= small_fleet + balancers as usize,
            "{balancers} balancers start more attempts at once than a small fleet"
        );
    }
    assert_eq!(concurrent_attempts(1), concurrent_attempts(3));
    assert_eq!(
        concurrent_attempts(200),
        1,
        "each balancer may start at least one attempt"
    );
    // A failure leaves at least one, and successes raise the limit no further than to the share of
    // one balancer.
    let mut balancer = one_of(24, 4);
    for id in 0..200 {
        balancer.request(id, IDEMPOTENT);
        balancer.establish(id, 0);
    }
    let concurrent = (300..400)
        .filter(|id| !attempted_servers(&balancer.request(*id, IDEMPOTENT)).is_empty())
        .count();
    assert!(
        (2..=6).contains(&concurrent),
        "{concurrent} concurrent attempts at one of 24 balancers, of 48 in the fleet"
    );
}

/// The timeout of the first attempt among the actions.
fn attempt_timeout(actions: &[Action]) -> Nanos {
    let timeout = actions.iter().find_map(|action| match action {
        Action::StartAttempt { timeout, .. } => Some(*timeout),
        _ => None,
    });
    timeout.expect("the actions contain an attempt")
}

#[test]
fn attempt_timeout_doubles_with_each_retry() {
    let mut balancer = TestBalancer::with_servers(settings(), 4);
    let mut timeouts = Vec::new();
    let mut actions = balancer.request(1, IDEMPOTENT);
    for attempt in 0..2 {
        timeouts.push(attempt_timeout(&actions));
        actions = balancer.end_attempt(1, attempt, AttemptOutcome::ConnectFailed);
        actions.extend(balancer.advance(400 * MS));
    }
    // An eighth of the client's 2 s, and twice that.
    assert_eq!(timeouts, [250 * MS, 500 * MS]);
}

/// A few connections of one balancer in a large fleet show chance, not imbalance; and servers that
/// report their load are known better than by one balancer's connections.
#[test]
fn rebalancing_ignores_chance_and_reported_loads() {
    let cases = [(1, 8, 1), (3, 8, 1), (48, 8, 0), (300, 8, 0), (300, 30, 1)];
    let unreported =
        cases
            .into_iter()
            .chain([(3, 30, 1)])
            .flat_map(|(balancers, connections, migrations)| {
                let answers = [
                    None,
                    Some(ProbeAnswer::NoLoad),
                    Some(ProbeAnswer::Unhealthy),
                ];
                answers.map(|answer| (balancers, connections, migrations, answer))
            });
    let cases = unreported.chain([(3, 30, 0, Some(ProbeAnswer::Load(0.5)))]);
    for (balancers, connections, migrations, answer) in cases {
        let limits = Limits {
            can_probe: answer.is_some(),
            ..settings().limits
        };
        let mut balancer = TestBalancer::with_servers(
            Settings {
                balancers,
                limits,
                ..settings()
            },
            4,
        );
        for id in 0..connections {
            balancer.handle(Event::ConnectionAdopted {
                request: connect_request(id, IDEMPOTENT, balancer.now),
                server: ServerId(0),
            });
            balancer.measure(
                id,
                ConnectionMetric::Load(if id == 5 { 900.0 } else { 100.0 }),
            );
        }
        if let Some(answer) = answer {
            let server = ServerId(0);
            balancer.handle(Event::ProbeAnswered { server, answer });
        }
        let migrated = balancer
            .advance(SECOND)
            .into_iter()
            .filter(|action| matches!(action, Action::Migrate(..)));
        assert_eq!(
            migrated.count(),
            migrations,
            "migrations with {connections} connections on one server at one of {balancers} \
             balancers after the answer {answer:?}"
        );
    }
}

#[test]
fn migrated_client_is_not_rebalanced_again() {
    for (is_reconnect, migrations) in [(false, 1), (true, 0)] {
        let mut balancer = one_of(3, 4);
        for id in 0..30 {
            let request = ConnectRequest {
                is_reconnect,
                ..connect_request(id, IDEMPOTENT, balancer.now)
            };
            balancer.handle(Event::ConnectionAdopted {
                request,
                server: ServerId(0),
            });
        }
        let migrated = balancer
            .advance(SECOND)
            .into_iter()
            .filter(|action| matches!(action, Action::Migrate(..)));
        assert_eq!(
            migrated.count(),
            migrations,
            "migrations where is_reconnect is {is_reconnect}"
        );
    }
}

/// A slow setup waited for a shared resource; a higher limit would only lengthen that queue.
#[test]
fn slow_attempts_keep_the_concurrency_limit() {
    let concurrent_after = |setup_latency: Nanos| {
        let mut balancer = one_of(3, 4);
        for id in 0..60 {
            balancer.request(id, IDEMPOTENT);
            balancer.advance(setup_latency);
            balancer.establish(id, 0);
        }
        (100..200)
            .filter(|id| !attempted_servers(&balancer.request(*id, IDEMPOTENT)).is_empty())
            .count()
    };
    let (after_fast, after_slow) = (concurrent_after(MS), concurrent_after(300 * MS));
    assert!(
        after_fast > after_slow,
        "{after_fast} concurrent attempts after fast setups, {after_slow} after slow ones"
    );
    assert_eq!(after_slow, 12, "the limit should stay at its initial value");
}

/// Starts one of so many balancers that poll for the server list; returns it with its actions.
fn start_polling(balancers: u32, seed: u64) -> (Balancer, Vec<Action>) {
    let settings = Settings {
        balancers,
        discovery: DiscoveryMode::Polled,
        ..settings()
    };
    let mut balancer = Balancer::new(settings, seed).expect("the settings are in range");
    let mut actions = Vec::new();
    balancer.handle(
        SECOND,
        Event::ServerList {
            update: ListUpdate::Cached,
            entries: vec![entry(0)],
        },
        &mut actions,
    );
    (balancer, actions)
}

#[test]
fn large_fleet_spreads_first_list_calls() {
    let first_call_wait = |balancers, seed| {
        let (_, actions) = start_polling(balancers, seed);
        if actions.contains(&Action::WatchServerList) {
            return 0;
        }
        // All timers but a housekeeping timer of one second.
        let waits = actions.iter().filter_map(|action| match action {
            Action::SetTimer { after, .. } if *after != SECOND => Some(*after),
            _ => None,
        });
        waits.max().expect("a timer is set for the first call")
    };
    assert!(
        (0..20).all(|seed| first_call_wait(3, seed) == 0),
        "a small fleet should call at once"
    );
    let mut waits: Vec<Nanos> = (0..43).map(|seed| first_call_wait(43, seed)).collect();
    waits.sort_unstable();
    assert!(
        waits[42] <= 4 * SECOND,
        "the last call should be well within what the rules allow"
    );
    // No second has more than about half of the calls.
    let busiest = waits.iter().map(|from| {
        waits
            .iter()
            .filter(|wait| (*from..from + SECOND).contains(*wait))
            .count()
    });
    assert!(
        busiest.max() < Some(22),
        "the calls are not spread: {waits:?}"
    );
}

#[test]
fn large_fleet_spreads_list_call_retries() {
    let first_retry = |balancers, seed| {
        let (mut balancer, mut actions) = (start_polling(balancers, seed).0, Vec::new());
        balancer.handle(
            SECOND,
            Event::ServerList {
                update: ListUpdate::Failed(0),
                entries: Vec::new(),
            },
            &mut actions,
        );
        let wait = actions.iter().find_map(|action| match action {
            Action::SetTimer { after, .. } => Some(*after),
            _ => None,
        });
        wait.expect("a timer is set for the retry")
    };
    let mean = |balancers| {
        (0..64)
            .map(|seed| first_retry(balancers, seed))
            .sum::<Nanos>()
            / 64
    };
    assert!(
        mean(43) > 2 * mean(3),
        "mean waits of {} in a fleet of 43 and {} in one of 3",
        mean(43),
        mean(3)
    );
    assert!(
        (0..64).all(|seed| first_retry(43, seed) <= 5 * SECOND),
        "a retry later than 5 s would miss changes that count as known after 6 s"
    );
}

/// Hundreds of watches that time out together must neither call at the same moment nor so late
/// that the changes which they missed already count as known.
#[test]
fn large_fleet_spreads_calls_after_watch_timeouts() {
    let next_call_wait = |balancers, seed| {
        let (mut balancer, mut actions) = (start_polling(balancers, seed).0, Vec::new());
        balancer.handle(
            SECOND,
            Event::ServerList {
                update: ListUpdate::TimedOut(3_500 * MS),
                entries: Vec::new(),
            },
            &mut actions,
        );
        let wait = |action: &Action| match action {
            Action::WatchServerList => Some(0),
            Action::SetTimer { after, .. } => Some(*after),
            _ => None,
        };
        actions
            .iter()
            .find_map(wait)
            .expect("the list is called for again")
    };
    assert_eq!(next_call_wait(3, 1), 0);
    let waits: Vec<Nanos> = (0..300).map(|seed| next_call_wait(300, seed)).collect();
    // The timeout is noticed after 3.5 s. A missed change counts as known after 6 s, and the call
    // itself takes time.
    assert!(
        waits.iter().all(|wait| *wait <= 1_500 * MS),
        "a call comes too late: {waits:?}"
    );
    let late = waits.iter().filter(|wait| **wait > 500 * MS).count();
    assert!(
        (150..250).contains(&late),
        "{late} of 300 calls after 500 ms, about 200 expected"
    );
}

/// Discovery that serves calls one after another. A call that waits too long fails.
struct DiscoveryQueue {
    service_time: Nanos,
    free_at: Nanos,
    calls: usize,
}

impl DiscoveryQueue {
    const MAX_WAIT: Nanos = 2 * SECOND;

    /// When a call ends, and whether it is served.
    fn call(&mut self, now: Nanos) -> (Nanos, bool) {
        self.calls += 1;
        let begins_at = self.free_at.max(now);
        if begins_at > now + DiscoveryQueue::MAX_WAIT {
            return (now + DiscoveryQueue::MAX_WAIT, false);
        }
        self.free_at = begins_at + self.service_time;
        (self.free_at, true)
    }
}

/// Simultaneous calls of a fleet that starts at once would fill the queue of discovery and fail.
#[test]
fn fleet_gets_list_soon_after_simultaneous_start() {
    enum Pending {
        Timer(TimerId),
        Answer { is_served: bool },
    }
    // Discovery is as fast as a fleet of this size needs in order to be informed within the rule.
    for (seed, balancers, service_time) in
        (0..10)
            .map(|seed| (seed, 43, 100 * MS))
            .chain([(11, 300, 20 * MS)])
    {
        let settings = |rank| Settings {
            balancers,
            rank,
            discovery: DiscoveryMode::Polled,
            ..settings()
        };
        let mut fleet: Vec<Balancer> = (0..balancers)
            .map(|rank| {
                Balancer::new(settings(rank), 100 * seed + u64::from(rank))
                    .expect("the settings are in range")
            })
            .collect();
        let mut discovery = DiscoveryQueue {
            service_time,
            free_at: 0,
            calls: 0,
        };
        // By time and sequence number, which keeps simultaneous ones in order; with the balancer.
        let mut pending = std::collections::BTreeMap::new();
        let mut listed_at = vec![None; fleet.len()];
        let cached_list = || Event::ServerList {
            update: ListUpdate::Cached,
            entries: vec![entry(0)],
        };
        let mut events: Vec<(Nanos, usize, Event)> = (0..fleet.len())
            .map(|index| (SECOND, index, cached_list()))
            .collect();
        let mut sequence = 0_u64;
        while listed_at.iter().any(Option::is_none) {
            for (now, index, event) in events.drain(..) {
                let mut actions = Vec::new();
                fleet[index].handle(now, event, &mut actions);
                for action in actions {
                    sequence += 1;
                    match action {
                        Action::SetTimer { after, timer } => {
                            pending.insert((now + after, sequence), (index, Pending::Timer(timer)));
                        }
                        Action::WatchServerList => {
                            let (ends_at, is_served) = discovery.call(now);
                            let answer = Pending::Answer { is_served };
                            pending.insert((ends_at, sequence), (index, answer));
                        }
                        _ => {}
                    }
                }
            }
            let ((now, _), (index, next)) = pending
                .pop_first()
                .expect("a housekeeping timer is always pending");
            assert!(
                now < 20 * SECOND,
                "seed {seed}: balancers without a list after 20 s: {listed_at:?}"
            );
            let event = match next {
                Pending::Timer(timer) => Event::TimerFired(timer),
                Pending::Answer { is_served: true } => {
                    listed_at[index] = Some(now);
                    Event::ServerList {
                        update: ListUpdate::Snapshot,
                        entries: vec![entry(0)],
                    }
                }
                Pending::Answer { is_served: false } => Event::ServerList {
                    update: ListUpdate::Failed(DiscoveryQueue::MAX_WAIT),
                    entries: Vec::new(),
                },
            };
            events.push((now, index, event));
        }
        assert!(
            discovery.calls <= balancers as usize * 6 / 5,
            "seed {seed}: {} calls of {balancers} balancers",
            discovery.calls
        );
        assert!(
            listed_at.iter().flatten().all(|at| *at < 9 * SECOND),
            "seed {seed}: a balancer got its list too late: {listed_at:?}"
        );
    }
}

#[test]
fn housekeeping_is_spread_over_its_period() {
    let first_housekeeping = |rank: u32| {
        let settings = Settings {
            balancers: 300,
            rank,
            ..settings()
        };
        let mut balancer =
            Balancer::new(settings, 7 + u64::from(rank)).expect("the settings are in range");
        let mut actions = Vec::new();
        balancer.handle(
            0,
            Event::ServerList {
                update: ListUpdate::Cached,
                entries: vec![entry(0)],
            },
            &mut actions,
        );
        let wait = |action: &Action| {
            if let Action::SetTimer { after, .. } = action {
                Some(*after)
            } else {
                None
            }
        };
        actions
            .iter()
            .find_map(wait)
            .expect("the housekeeping timer is set")
    };
    let mut counts = [0; 10];
    for wait in (0..300).map(first_housekeeping) {
        counts[((wait - 1) / (100 * MS)) as usize] += 1;
    }
    // 30 in each tenth of the period, within three standard deviations.
    assert!(
        counts.iter().all(|count| (14..=46).contains(count)),
        "balancers by tenth of the period: {counts:?}"
    );
}

#[test]
fn timeouts_of_several_servers_raise_attempt_timeout() {
    let timeout_after = |unresponsive: [u32; 2]| {
        let mut balancer = one_of(300, 4);
        for (id, server) in (0..).zip(unresponsive) {
            let pin = Some(Pin {
                server: Some(ServerId(server)),
                strict: true,
            });
            let actions = balancer.handle(Event::ConnectRequested(ConnectRequest {
                pin,
                ..connect_request(id, IDEMPOTENT, balancer.now)
            }));
            assert_eq!(attempted_servers(&actions), [ServerId(server)]);
            balancer.handle(Event::AttemptEnded(AttemptEnd {
                request: RequestId(id),
                attempt: 0,
                outcome: AttemptOutcome::TimedOut,
                elapsed: 400 * MS,
                is_final: false,
            }));
            balancer.handle(Event::ClientLeft(RequestId(id)));
            balancer.advance(5 * MS);
        }
        let pin = Some(Pin {
            server: Some(ServerId(2)),
            strict: true,
        });
        let actions = balancer.handle(Event::ConnectRequested(ConnectRequest {
            pin,
            ..connect_request(50, IDEMPOTENT, balancer.now)
        }));
        attempt_timeout(&actions)
    };
    let (after_one, after_two) = (timeout_after([0, 0]), timeout_after([0, 1]));
    assert!(
        after_one > 400 * MS && after_one < after_two,
        "timeout of {after_one} after timeouts of one server, {after_two} after those of two"
    );
}

/// Live weights fall with the load of a server, so an empty server in slow start has the greatest
/// listed weight without being larger.
#[test]
fn live_weight_does_not_determine_server_size() {
    let attempts_at_restarted = |has_live_weights| {
        let mut balancer = TestBalancer::new(Settings {
            has_live_weights,
            ..settings()
        });
        balancer.update_list(
            ListUpdate::Snapshot,
            (0..4)
                .map(|id| ServerEntry {
                    weight: 5.0,
                    ..entry(id)
                })
                .collect(),
        );
        balancer.connect_at_interval(0..60, 20 * MS);
        let restarted = ServerEntry {
            weight: 5.0,
            started_at: balancer.now,
            ..entry(3)
        };
        let loaded = (0..3).map(|id| ServerEntry {
            weight: 1.0,
            ..entry(id)
        });
        balancer.update_list(ListUpdate::Delta, loaded.chain([restarted]).collect());
        let attempted = attempted_servers(&balancer.connect_at_interval(100..400, 20 * MS));
        attempted
            .into_iter()
            .filter(|server| *server == ServerId(3))
            .count()
    };
    let (live, fixed) = (attempts_at_restarted(true), attempts_at_restarted(false));
    eprintln!(
        "attempts at the restarted server: {live} with live weights, {fixed} with fixed ones"
    );
    // A quarter of 300 attempts, as if all four servers were warm.
    let equal_share = 75;
    assert!(
        0 < live && live < equal_share && equal_share < fixed,
        "{live} attempts at the restarted server with live weights, {fixed} with fixed ones"
    );
}

/// The wait before the next call for the server list after this update.
fn next_call_wait(balancer: &mut Balancer, update: ListUpdate) -> Nanos {
    let mut actions = Vec::new();
    balancer.handle(
        SECOND,
        Event::ServerList {
            update,
            entries: Vec::new(),
        },
        &mut actions,
    );
    let wait = |action: &Action| match action {
        Action::WatchServerList => Some(0),
        Action::SetTimer { after, .. } => Some(*after),
        _ => None,
    };
    actions
        .iter()
        .find_map(wait)
        .expect("the list is called for again")
}

#[test]
fn next_list_call_begins_in_time() {
    /// A change counts as known 6 s after discovery had it; the last second is for the call itself.
    const MAX_CALL_INTERVAL: Nanos = 5 * SECOND;
    /// However late a failure is noticed, the calls of one balancer are not made back to back.
    const MIN_CALL_WAIT: Nanos = 50 * MS;
    let quiet_spans = [
        0,
        100 * MS,
        SECOND,
        2 * SECOND,
        3_400 * MS,
        3_500 * MS,
        4_900 * MS,
        5 * SECOND,
        9 * SECOND,
    ];
    for (discovery, balancers) in [
        (DiscoveryMode::Polled, 1),
        (DiscoveryMode::Polled, 30),
        (DiscoveryMode::Pushed, 300),
    ]
    .into_iter()
    .chain([2, 3, 4, 50, 100, 300].map(|balancers| (DiscoveryMode::Polled, balancers)))
    {
        for list_max_age in [
            0,
            1,
            2,
            100 * MS,
            2 * SECOND,
            10 * SECOND,
            30 * SECOND,
            Nanos::MAX,
        ] {
            let mut settings = Settings {
                balancers,
                discovery,
                ..settings()
            };
            settings.rules.list_max_age = list_max_age;
            settings
                .classes
                .iter_mut()
                .for_each(|class| class.deadline = 100 * SECOND);
            for (seed, quiet_for) in (0..).zip(quiet_spans) {
                let mut balancer =
                    Balancer::new(settings.clone(), seed).expect("the settings are in range");
                let first = Event::ServerList {
                    update: ListUpdate::Cached,
                    entries: vec![entry(0)],
                };
                balancer.handle(SECOND, first, &mut Vec::new());
                let failures = std::iter::repeat_n(ListUpdate::Failed(quiet_for), 20);
                let timeouts = std::iter::repeat_n(ListUpdate::TimedOut(quiet_for), 20);
                for update in failures.chain(timeouts) {
                    let wait = next_call_wait(&mut balancer, update);
                    let max_wait = MAX_CALL_INTERVAL
                        .saturating_sub(quiet_for)
                        .max(MIN_CALL_WAIT);
                    assert!(
                        wait <= max_wait,
                        "{balancers} balancers, maximum age {list_max_age}, {update:?}: waits {wait}"
                    );
                }
            }
        }
    }
}
