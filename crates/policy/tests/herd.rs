//! Dozens of gateways with a few connections each: what one does counts for all of them together.

mod common;

use common::*;

use beaconflow_policy::*;

/// One of so many gateways.
fn one_of(gateways: u32, servers: u32) -> Gateway {
    Gateway::with_servers(
        Settings {
            balancers: gateways,
            ..settings()
        },
        servers,
    )
}

#[test]
fn a_herd_has_no_more_set_ups_under_way_in_all_than_a_few_gateways_have() {
    let at_once = |gateways| {
        let mut gateway = one_of(gateways, 4);
        (0..100)
            .filter(|id| !attempts(&gateway.arrive(*id, SAFE)).is_empty())
            .count()
    };
    let few = 3 * at_once(3);
    for gateways in [8, 24] {
        assert!(
            (gateways as usize) * at_once(gateways) <= few + gateways as usize,
            "{gateways} gateways"
        );
    }
    assert_eq!(at_once(1), at_once(3));
    assert_eq!(at_once(200), 1, "each has one at least");
    // Failures leave one, and success opens it no further than to its part of the whole.
    let mut gateway = one_of(24, 4);
    for id in 0..200 {
        gateway.arrive(id, SAFE);
        gateway.establish(id, 0);
    }
    let open = (300..400)
        .filter(|id| !attempts(&gateway.arrive(*id, SAFE)).is_empty())
        .count();
    assert!((2..=6).contains(&open), "{open} of 48 in all");
}

/// How long the first attempt among the actions is given.
fn given(actions: &[Action]) -> Nanos {
    let timeout = actions.iter().find_map(|action| match action {
        Action::StartAttempt { timeout, .. } => Some(*timeout),
        _ => None,
    });
    timeout.expect("an attempt")
}

#[test]
fn each_repeat_is_given_twice_as_long_as_the_attempt_before() {
    let mut gateway = Gateway::with_servers(settings(), 4);
    let mut within = Vec::new();
    let mut actions = gateway.arrive(1, SAFE);
    for attempt in 0..2 {
        within.push(given(&actions));
        actions = gateway.end(1, attempt, AttemptOutcome::ConnectFailed);
        actions.extend(gateway.pass(400 * MS));
    }
    assert_eq!(within, [400 * MS, 800 * MS]);
}

#[test]
fn evening_out_leaves_alone_what_is_chance_in_a_large_fleet_and_servers_that_tell_their_load() {
    let cases = [(1, 8, 1), (3, 8, 1), (48, 8, 0), (300, 8, 0), (300, 30, 1)];
    let cases = cases.map(|(gateways, held, moved)| (gateways, held, moved, false));
    for (gateways, held, moved, can_probe) in cases.into_iter().chain([(3, 30, 0, true)]) {
        let limits = Limits {
            can_probe,
            ..settings().limits
        };
        let mut gateway = Gateway::with_servers(
            Settings {
                balancers: gateways,
                limits,
                ..settings()
            },
            4,
        );
        for id in 0..held {
            gateway.tell(Event::ConnectionAdopted {
                request: arrival(id, SAFE, gateway.now),
                server: ServerId(0),
            });
            gateway.note(
                id,
                ConnectionMetric::Load(if id == 5 { 900.0 } else { 100.0 }),
            );
        }
        let moves = gateway
            .pass(SECOND)
            .into_iter()
            .filter(|action| matches!(action, Action::Migrate(..)));
        assert_eq!(moves.count(), moved, "{held} at one of {gateways} gateways");
    }
}

#[test]
fn a_client_that_was_moved_is_not_evened_out_again() {
    for (is_reconnect, moved) in [(false, 1), (true, 0)] {
        let mut gateway = one_of(3, 4);
        for id in 0..30 {
            let request = ConnectRequest {
                is_reconnect,
                ..arrival(id, SAFE, gateway.now)
            };
            gateway.tell(Event::ConnectionAdopted {
                request,
                server: ServerId(0),
            });
        }
        let moves = gateway
            .pass(SECOND)
            .into_iter()
            .filter(|action| matches!(action, Action::Migrate(..)));
        assert_eq!(moves.count(), moved, "came again: {is_reconnect}");
    }
}

#[test]
fn set_ups_that_take_long_do_not_open_the_window_any_further() {
    let open_after = |took: Nanos| {
        let mut gateway = one_of(3, 4);
        for id in 0..60 {
            gateway.arrive(id, SAFE);
            gateway.pass(took);
            gateway.establish(id, 0);
        }
        (100..200)
            .filter(|id| !attempts(&gateway.arrive(*id, SAFE)).is_empty())
            .count()
    };
    let (easy, long) = (open_after(MS), open_after(300 * MS));
    assert!(
        easy > long,
        "{easy} where set-ups are easy, {long} where they wait in a line"
    );
    assert_eq!(long, 12, "as at the start");
}

/// One of so many gateways that has to ask for the list, just started, and what it does.
fn started(gateways: u32, seed: u64) -> (beaconflow_policy::Balancer, Vec<Action>) {
    let settings = Settings {
        balancers: gateways,
        discovery: DiscoveryMode::Polled,
        ..settings()
    };
    let mut balancer = beaconflow_policy::Balancer::new(settings, seed).expect("sound settings");
    let mut out = Vec::new();
    balancer.handle(
        SECOND,
        Event::ServerList {
            update: ListUpdate::Cached,
            entries: vec![entry(0)],
        },
        &mut out,
    );
    (balancer, out)
}

#[test]
fn a_herd_asks_for_the_list_spread_over_its_number_and_a_few_gateways_at_once() {
    let asked = |gateways, seed| {
        let (_, out) = started(gateways, seed);
        if out.contains(&Action::WatchServerList) {
            return 0;
        }
        // All wakes but the housekeeping's, which comes each second.
        let waits = out.iter().filter_map(|action| match action {
            Action::SetTimer { after, .. } if *after != SECOND => Some(*after),
            _ => None,
        });
        waits.max().expect("it asks later")
    };
    assert!((0..20).all(|seed| asked(3, seed) == 0));
    let mut waits: Vec<Nanos> = (0..43).map(|seed| asked(43, seed)).collect();
    waits.sort_unstable();
    assert!(waits[42] <= 4 * SECOND, "well within what the rules allow");
    // No second in which more than a good part of them ask.
    let busiest = waits.iter().map(|from| {
        waits
            .iter()
            .filter(|at| (*from..from + SECOND).contains(*at))
            .count()
    });
    assert!(busiest.max() < Some(22), "{waits:?}");
}

#[test]
fn a_call_that_failed_is_repeated_by_a_herd_over_a_span_and_not_at_once() {
    let first_repeat = |gateways, seed| {
        let (mut balancer, mut out) = (started(gateways, seed).0, Vec::new());
        balancer.handle(
            SECOND,
            Event::ServerList {
                update: ListUpdate::Failed(0),
                entries: Vec::new(),
            },
            &mut out,
        );
        let wakes = out.iter().find_map(|action| match action {
            Action::SetTimer { after, .. } => Some(*after),
            _ => None,
        });
        wakes.expect("it asks again")
    };
    let mean = |gateways| {
        (0..64)
            .map(|seed| first_repeat(gateways, seed))
            .sum::<Nanos>()
            / 64
    };
    assert!(mean(43) > 2 * mean(3), "{} and {}", mean(43), mean(3));
    assert!(
        (0..64).all(|seed| first_repeat(43, seed) <= 5 * SECOND),
        "old word would count as told"
    );
}

#[test]
fn a_watch_that_fell_silent_is_asked_for_anew_in_time_by_each_of_hundreds_and_not_by_all_at_once() {
    let asks_after = |gateways, seed| {
        let (mut balancer, mut out) = (started(gateways, seed).0, Vec::new());
        balancer.handle(
            SECOND,
            Event::ServerList {
                update: ListUpdate::TimedOut(3_500 * MS),
                entries: Vec::new(),
            },
            &mut out,
        );
        let wait = |action: &Action| match action {
            Action::WatchServerList => Some(0),
            Action::SetTimer { after, .. } => Some(*after),
            _ => None,
        };
        out.iter().find_map(wait).expect("it asks again")
    };
    assert_eq!(asks_after(3, 1), 0);
    let waits: Vec<Nanos> = (0..300).map(|seed| asks_after(300, seed)).collect();
    // It was found out after 3.5 s; what it misses counts as told after 6 s, and the call takes its time.
    assert!(waits.iter().all(|wait| *wait <= 1_500 * MS), "{waits:?}");
    let spread = waits.iter().filter(|wait| **wait > 500 * MS).count();
    assert!(
        (150..250).contains(&spread),
        "two thirds of them, and some: {spread}"
    );
}

/// Discovery that works through calls in turn, one in each span; a call that waited for its patience fails.
struct Queue {
    each: Nanos,
    free_at: Nanos,
    calls: usize,
}

impl Queue {
    const PATIENCE: Nanos = 2 * SECOND;

    /// When a call is over, and whether it was served.
    fn call(&mut self, now: Nanos) -> (Nanos, bool) {
        self.calls += 1;
        let begins = self.free_at.max(now);
        if begins > now + Queue::PATIENCE {
            return (now + Queue::PATIENCE, false);
        }
        self.free_at = begins + self.each;
        (self.free_at, true)
    }
}

#[test]
fn a_herd_that_starts_at_once_has_its_list_soon_and_with_few_calls_on_a_virtual_clock() {
    enum Comes {
        Timer(TimerId),
        Answer(bool),
    }
    // Discovery is as fast as the number needs that has to be told within the rule.
    for (seed, gateways, each) in
        (0..10)
            .map(|seed| (seed, 43, 100 * MS))
            .chain([(11, 300, 20 * MS)])
    {
        let settings = |rank| Settings {
            balancers: gateways,
            rank,
            discovery: DiscoveryMode::Polled,
            ..settings()
        };
        let mut herd: Vec<beaconflow_policy::Balancer> = (0..gateways)
            .map(|rank| {
                beaconflow_policy::Balancer::new(settings(rank), 100 * seed + u64::from(rank))
                    .expect("sound")
            })
            .collect();
        let mut queue = Queue {
            each,
            free_at: 0,
            calls: 0,
        };
        // What comes when, for whom; the number keeps equal moments in the order in which they were set.
        let mut due = std::collections::BTreeMap::new();
        let mut listed = vec![None; herd.len()];
        let known = || Event::ServerList {
            update: ListUpdate::Cached,
            entries: vec![entry(0)],
        };
        let mut next: Vec<(Nanos, usize, Event)> = (0..herd.len())
            .map(|which| (SECOND, which, known()))
            .collect();
        let mut set = 0_u64;
        while listed.iter().any(Option::is_none) {
            for (now, which, event) in next.drain(..) {
                let mut out = Vec::new();
                herd[which].handle(now, event, &mut out);
                for action in out {
                    set += 1;
                    match action {
                        Action::SetTimer { after, timer } => {
                            due.insert((now + after, set), (which, Comes::Timer(timer)));
                        }
                        Action::WatchServerList => {
                            let (at, served) = queue.call(now);
                            due.insert((at, set), (which, Comes::Answer(served)));
                        }
                        _ => {}
                    }
                }
            }
            let ((now, _), (which, comes)) = due.pop_first().expect("housekeeping goes on");
            assert!(now < 20 * SECOND, "seed {seed}: {listed:?}");
            let event = match comes {
                Comes::Timer(timer) => Event::TimerFired(timer),
                Comes::Answer(true) => {
                    listed[which] = Some(now);
                    Event::ServerList {
                        update: ListUpdate::Snapshot,
                        entries: vec![entry(0)],
                    }
                }
                Comes::Answer(false) => Event::ServerList {
                    update: ListUpdate::Failed(Queue::PATIENCE),
                    entries: Vec::new(),
                },
            };
            next.push((now, which, event));
        }
        assert!(
            queue.calls <= gateways as usize * 6 / 5,
            "seed {seed}: {} calls",
            queue.calls
        );
        assert!(
            listed.iter().flatten().all(|at| *at < 9 * SECOND),
            "seed {seed}: {listed:?}"
        );
    }
}

#[test]
fn gateways_that_start_together_do_their_housekeeping_spread_over_its_period() {
    let first = |rank: u32| {
        let settings = Settings {
            balancers: 300,
            rank,
            ..settings()
        };
        let mut balancer =
            beaconflow_policy::Balancer::new(settings, 7 + u64::from(rank)).expect("in range");
        let mut actions = Vec::new();
        balancer.handle(
            0,
            Event::ServerList {
                update: ListUpdate::Cached,
                entries: vec![entry(0)],
            },
            &mut actions,
        );
        let after = |action: &Action| {
            if let Action::SetTimer { after, .. } = action {
                Some(*after)
            } else {
                None
            }
        };
        actions.iter().find_map(after).expect("housekeeping is set")
    };
    let mut in_tenths = [0; 10];
    for after in (0..300).map(first) {
        in_tenths[((after - 1) / (100 * MS)) as usize] += 1;
    }
    // Thirty each, three standard deviations to each side.
    assert!(
        in_tenths.iter().all(|count| (14..=46).contains(count)),
        "{in_tenths:?}"
    );
}

#[test]
fn set_ups_are_given_longer_once_several_servers_were_silent_and_not_for_one_of_them() {
    let given_after = |silent: [u32; 2]| {
        let mut gateway = one_of(300, 4);
        for (id, at) in (0..).zip(silent) {
            let pin = Some(Pin {
                server: Some(ServerId(at)),
                strict: true,
            });
            let asked = gateway.tell(Event::ConnectRequested(ConnectRequest {
                pin,
                ..arrival(id, SAFE, gateway.now)
            }));
            assert_eq!(attempts(&asked), [ServerId(at)]);
            gateway.tell(Event::AttemptEnded(AttemptEnd {
                request: RequestId(id),
                attempt: 0,
                outcome: AttemptOutcome::TimedOut,
                elapsed: 400 * MS,
                is_final: false,
            }));
            gateway.tell(Event::ClientLeft(RequestId(id)));
            gateway.pass(5 * MS);
        }
        let pin = Some(Pin {
            server: Some(ServerId(2)),
            strict: true,
        });
        let asked = gateway.tell(Event::ConnectRequested(ConnectRequest {
            pin,
            ..arrival(50, SAFE, gateway.now)
        }));
        given(&asked)
    };
    let (one, two) = (given_after([0, 0]), given_after([0, 1]));
    assert!(
        one > 400 * MS && one < two,
        "{one} after one silent server, {two} after two"
    );
}

#[test]
fn an_empty_cold_server_is_not_larger_than_the_warm_ones_whose_weights_fall_with_what_they_hold() {
    let sent = |live_weights| {
        let mut gateway = Gateway::new(Settings {
            has_live_weights: live_weights,
            ..settings()
        });
        gateway.list(
            ListUpdate::Snapshot,
            (0..4)
                .map(|id| ServerEntry {
                    weight: 5.0,
                    ..entry(id)
                })
                .collect(),
        );
        gateway.stream(0..60, 20 * MS);
        let cold = ServerEntry {
            weight: 5.0,
            started_at: gateway.now,
            ..entry(3)
        };
        let fuller = (0..3).map(|id| ServerEntry {
            weight: 1.0,
            ..entry(id)
        });
        gateway.list(ListUpdate::Delta, fuller.chain([cold]).collect());
        let to = attempts(&gateway.stream(100..400, 20 * MS));
        to.into_iter()
            .filter(|server| *server == ServerId(3))
            .count()
    };
    let (live, fixed) = (sent(true), sent(false));
    eprintln!("live {live} fixed {fixed}");
    // Its part of 300, were it as warm as the other three.
    let part = 75;
    assert!(
        0 < live && live < part && part < fixed,
        "{live} to the cold one, {fixed} where its weight is taken for its size"
    );
}

/// How long a gateway that has just been told this waits until it asks for the list.
fn asks_after(balancer: &mut beaconflow_policy::Balancer, update: ListUpdate) -> Nanos {
    let mut out = Vec::new();
    balancer.handle(
        SECOND,
        Event::ServerList {
            update,
            entries: Vec::new(),
        },
        &mut out,
    );
    let wait = |action: &Action| match action {
        Action::WatchServerList => Some(0),
        Action::SetTimer { after, .. } => Some(*after),
        _ => None,
    };
    out.iter().find_map(wait).expect("it asks again")
}

#[test]
fn whatever_became_of_a_call_the_next_one_begins_in_time_for_what_it_would_tell() {
    /// A change counts as told 6 s after discovery had it; the call's connection and answer have the last second.
    const CLOCK: Nanos = 5 * SECOND;
    /// However late a failure is known, the calls of one gateway are not made back to back.
    const LEAST: Nanos = 50 * MS;
    let quiet = [
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
    for (discovery, gateways) in [
        (DiscoveryMode::Polled, 1),
        (DiscoveryMode::Polled, 30),
        (DiscoveryMode::Pushed, 300),
    ]
    .into_iter()
    .chain([2, 3, 4, 50, 100, 300].map(|gateways| (DiscoveryMode::Polled, gateways)))
    {
        for ask_within in [
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
                balancers: gateways,
                discovery,
                ..settings()
            };
            settings.rules.list_max_age = ask_within;
            settings
                .classes
                .iter_mut()
                .for_each(|class| class.deadline = 100 * SECOND);
            for (seed, quiet) in (0..).zip(quiet) {
                let mut balancer =
                    beaconflow_policy::Balancer::new(settings.clone(), seed).expect("sound");
                let first = Event::ServerList {
                    update: ListUpdate::Cached,
                    entries: vec![entry(0)],
                };
                balancer.handle(SECOND, first, &mut Vec::new());
                let fails = std::iter::repeat_n(ListUpdate::Failed(quiet), 20);
                let falls_silent = std::iter::repeat_n(ListUpdate::TimedOut(quiet), 20);
                for kind in fails.chain(falls_silent) {
                    let wait = asks_after(&mut balancer, kind);
                    let most = CLOCK.saturating_sub(quiet).max(LEAST);
                    assert!(
                        wait <= most,
                        "{gateways} gateways, {ask_within}, {kind:?}: {wait}"
                    );
                }
            }
        }
    }
}
