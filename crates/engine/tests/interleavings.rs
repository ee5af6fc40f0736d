//! Events in every order, by chance, against the module and the admission queue together: after each step the rules
//! hold for each request, whatever its class may repeat.

use std::collections::BTreeMap;

use beaconflow_admission::{Limits as Queues, QueueSize};
use beaconflow_engine::{BalancerEngine, Engine};
use beaconflow_policy::*;

const MS: Nanos = 1_000_000;
const SECOND: Nanos = 1_000 * MS;
/// Shorter than most deadlines here, so that it ends while a request still waits.
const WINDOW: Nanos = 400 * MS;
const MAX_ATTEMPTS: u32 = 4;
const SERVERS: u32 = 5;
/// Few enough that some have to give way.
const MOST_QUEUED: usize = 6;

const REPEATS: [RetrySafety; 5] = [
    RetrySafety::Idempotent,
    RetrySafety::NonIdempotent,
    RetrySafety::IdempotencyKey {
        dedup_scope: DedupScope::All,
        window: WINDOW,
    },
    RetrySafety::IdempotencyKey {
        dedup_scope: DedupScope::Zone,
        window: WINDOW,
    },
    RetrySafety::IdempotencyKey {
        dedup_scope: DedupScope::Cell,
        window: WINDOW,
    },
];

fn settings() -> Settings {
    let class = |retry_safety| RequestClass {
        latency_objective: 200 * MS,
        deadline: SECOND,
        retry_safety,
        message_latency_objective: 100 * MS,
        priority_weight: 1.0,
    };
    Settings {
        balancers: 1,
        rank: 0,
        zone: ZoneId(0),
        classes: REPEATS.into_iter().map(class).collect(),
        discovery: DiscoveryMode::Pushed,
        has_live_weights: false,
        limits: Limits {
            max_attempts: MAX_ATTEMPTS,
            sends_retry_after: true,
            max_retry_after: SECOND,
            can_probe: false,
            connect_timeout: 50 * MS,
        },
        rules: ServerRules {
            initial_capacity: 0.2,
            warm_up_time: 20 * SECOND,
            overload_multiple: 3.0,
            overload_window: SECOND,
            list_max_age: 10 * SECOND,
        },
        costs: TrafficCosts::default(),
    }
}

fn entry(server: u32, state: ServerState) -> ServerEntry {
    ServerEntry {
        server: ServerId(server),
        name_hash: u64::from(server) << 40,
        state,
        zone: ZoneId(server % 2),
        cell: server / 2,
        machine_type: 0,
        weight: 1.0,
        target_weight: None,
        started_at: 0,
    }
}

/// The same numbers in every run (a linear congruential generator).
struct Chance(u64);

impl Chance {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % bound
    }
}

/// What a client and its servers know of a request.
struct Seen {
    repeat: RetrySafety,
    give_up_at: Nanos,
    attempts: u32,
    /// Where it is out, since when, and until when its first byte may be sent.
    out: Option<(ServerId, Nanos, Nanos)>,
    /// The first attempt that may have run.
    ran: Option<(ServerId, Nanos)>,
    stands: bool,
    answers: u32,
    left: bool,
}

impl Seen {
    fn is_over(&self) -> bool {
        self.stands || self.left || self.answers > 0
    }
}

struct World {
    instance: Engine,
    chance: Chance,
    now: Nanos,
    requests: BTreeMap<u64, Seen>,
    states: BTreeMap<u32, ServerState>,
    timers: Vec<(Nanos, TimerId)>,
}

impl World {
    fn new(seed: u64) -> World {
        let queues = Queues {
            total: QueueSize {
                entries: MOST_QUEUED,
                bytes: usize::MAX,
            },
            ..Queues::default()
        };
        let instance = Engine::new(settings(), vec![1.0, 2.0], queues, seed).expect("in range");
        let (requests, states, timers) = (BTreeMap::new(), BTreeMap::new(), Vec::new());
        let mut world = World {
            instance,
            chance: Chance(seed),
            now: SECOND,
            requests,
            states,
            timers,
        };
        let entries: Vec<ServerEntry> = (0..SERVERS)
            .map(|server| entry(server, ServerState::Ready))
            .collect();
        world
            .states
            .extend((0..SERVERS).map(|server| (server, ServerState::Ready)));
        world.tell(Event::ServerList {
            update: ListUpdate::Snapshot,
            entries,
        });
        world
    }

    fn tell(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.instance.handle(self.now, event, &mut actions);
        self.follow(actions);
    }

    fn follow(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::StartAttempt {
                    request,
                    server,
                    begin_within,
                    timeout,
                } => {
                    self.attempt(request.0, server, (begin_within, timeout));
                }
                Action::Reject { request, .. } => {
                    let seen = self.answered(request.0);
                    assert!(seen.ran.is_none(), "refused, but it may have run");
                }
                Action::Fail(request) => {
                    let seen = self.answered(request.0);
                    assert!(seen.ran.is_some(), "failed, but it never ran");
                }
                Action::SetTimer { after, timer } => self.timers.push((self.now + after, timer)),
                Action::Enqueue(request) => {
                    let seen = &self.requests[&request.0];
                    assert!(!seen.is_over() && seen.out.is_none());
                }
                Action::Migrate(request, _) => drop(self.requests.remove(&request.0)),
                Action::ProbeServer(_) | Action::WatchServerList | Action::LogOverload(_) => {}
            }
        }
        assert!(self.instance.queued() <= MOST_QUEUED);
    }

    fn answered(&mut self, id: u64) -> &Seen {
        let seen = self.requests.get_mut(&id).expect("it came");
        assert!(
            !seen.is_over() && seen.out.is_none(),
            "one final answer, with no attempt out"
        );
        seen.answers += 1;
        seen
    }

    fn attempt(&mut self, id: u64, to: ServerId, (begin_within, timeout): (Nanos, Nanos)) {
        let now = self.now;
        let seen = self.requests.get_mut(&id).expect("it came");
        assert!(
            !seen.is_over(),
            "nothing is sent for one that is over or has left"
        );
        assert!(seen.out.is_none(), "one attempt at a time");
        assert!(seen.attempts < MAX_ATTEMPTS);
        assert_eq!(self.states[&to.0], ServerState::Ready);
        assert!(begin_within > 0 && begin_within <= timeout && now + timeout <= seen.give_up_at);
        if let Some((first, sent_at)) = seen.ran {
            let (one, other) = (
                entry(first.0, ServerState::Ready),
                entry(to.0, ServerState::Ready),
            );
            let in_window = now + begin_within <= sent_at + WINDOW;
            assert!(match seen.repeat {
                RetrySafety::Idempotent => true,
                RetrySafety::NonIdempotent => false,
                RetrySafety::IdempotencyKey {
                    dedup_scope: DedupScope::All,
                    ..
                } => in_window,
                RetrySafety::IdempotencyKey {
                    dedup_scope: DedupScope::Zone,
                    ..
                } => in_window && one.zone == other.zone,
                RetrySafety::IdempotencyKey {
                    dedup_scope: DedupScope::Cell,
                    ..
                } => in_window && one.cell == other.cell,
            });
        }
        seen.attempts += 1;
        seen.out = Some((to, now, now + begin_within));
    }

    fn end(&mut self, id: u64, outcome: AttemptOutcome) {
        let now = self.now;
        let Some(seen) = self.requests.get_mut(&id) else {
            return;
        };
        let Some((server, sent_at, begin_by)) = seen.out.take() else {
            return;
        };
        // A first byte that comes too late is withheld, whatever the server would have said.
        let outcome = if now >= begin_by && outcome.proves_not_executed() {
            AttemptOutcome::NotSent
        } else {
            outcome
        };
        if !outcome.proves_not_executed() {
            seen.ran.get_or_insert((server, sent_at));
        }
        let attempt = seen.attempts - 1;
        let is_final = seen.stands || outcome == AttemptOutcome::Served;
        seen.stands |= is_final;
        self.tell(Event::AttemptEnded(AttemptEnd {
            request: RequestId(id),
            attempt,
            outcome,
            elapsed: now - sent_at,
            is_final,
        }));
    }

    fn arrive(&mut self) {
        let id = self.requests.keys().next_back().map_or(0, |last| last + 1);
        let class = self.chance.below(REPEATS.len() as u64) as usize;
        let deadline_at = self.now + MS * (1 + self.chance.below(1_000));
        let seen = Seen {
            repeat: REPEATS[class],
            give_up_at: deadline_at,
            attempts: 0,
            out: None,
            ran: None,
            stands: false,
            answers: 0,
            left: false,
        };
        self.requests.insert(id, seen);
        let arrival = ConnectRequest {
            request: RequestId(id),
            deadline_at,
            class: ClassId(class),
            client_key: Some(ClientKey(id % 9)),
            group: None,
            is_reconnect: false,
            expected_load: None,
            pin: None,
        };
        let (account, mut actions) = (self.chance.below(2) as usize, Vec::new());
        self.instance
            .on_connect_requested(self.now, arrival, account, false, &mut actions);
        self.follow(actions);
    }

    /// Lets time pass; attempts whose client's time is up are given up before later timers fire.
    fn pass(&mut self, span: Nanos) {
        let end = self.now + span;
        loop {
            let waits = |seen: &Seen| seen.out.is_some() && !seen.is_over();
            let late = self.requests.iter().filter(|(_, seen)| waits(seen));
            let late = late
                .map(|(id, seen)| (seen.give_up_at, *id))
                .min()
                .filter(|(at, _)| *at <= end);
            self.timers.sort();
            let due = self.timers.first().copied().filter(|(at, _)| *at <= end);
            match (late, due) {
                (Some((at, id)), due) if due.is_none_or(|(other, _)| at <= other) => {
                    self.now = self.now.max(at);
                    self.end(id, AttemptOutcome::TimedOut);
                }
                (_, Some((at, timer))) => {
                    self.timers.remove(0);
                    self.now = self.now.max(at);
                    self.tell(Event::TimerFired(timer));
                }
                _ => break,
            }
        }
        self.now = end;
        for (id, seen) in &self.requests {
            assert!(
                seen.is_over() || end < seen.give_up_at,
                "request {id} has no answer in time"
            );
        }
    }

    /// One of the requests that are out.
    fn pick(&mut self) -> Option<u64> {
        let out: Vec<u64> = self
            .requests
            .iter()
            .filter(|(_, seen)| seen.out.is_some() && !seen.is_over())
            .map(|(id, _)| *id)
            .collect();
        let at = self.chance.below(out.len().max(1) as u64) as usize;
        out.get(at).copied()
    }

    fn step(&mut self) {
        const OUTCOMES: [AttemptOutcome; 8] = [
            AttemptOutcome::Served,
            AttemptOutcome::ServerError,
            AttemptOutcome::Rejected,
            AttemptOutcome::TimedOut,
            AttemptOutcome::ConnectFailed,
            AttemptOutcome::Reset,
            AttemptOutcome::Cancelled,
            AttemptOutcome::NotSent,
        ];
        match self.chance.below(12) {
            0..=3 => self.arrive(),
            4..=6 => {
                let outcome = OUTCOMES[self.chance.below(8) as usize];
                if let Some(id) = self.pick() {
                    self.end(id, outcome);
                }
            }
            7 => {
                if let Some(id) = self.pick() {
                    let seen = self.requests.get_mut(&id).expect("just picked");
                    seen.stands = true;
                    let attempt = seen.attempts - 1;
                    self.tell(Event::AttemptEstablished {
                        request: RequestId(id),
                        attempt,
                    });
                }
            }
            8 => {
                let last = self.requests.keys().next_back().copied().unwrap_or(0);
                let id = last - self.chance.below(last + 1).min(20);
                if let Some(seen) = self.requests.get_mut(&id).filter(|seen| !seen.is_over()) {
                    (seen.left, seen.out) = (true, None);
                    self.tell(Event::ClientLeft(RequestId(id)));
                }
            }
            9 => {
                let server = self.chance.below(u64::from(SERVERS)) as u32;
                let states = [
                    ServerState::Ready,
                    ServerState::Ready,
                    ServerState::Draining,
                    ServerState::Removed,
                ];
                let state = states[self.chance.below(4) as usize];
                self.states.insert(server, state);
                self.tell(Event::ServerList {
                    update: ListUpdate::Delta,
                    entries: vec![entry(server, state)],
                });
            }
            _ => {
                let span = MS * self.chance.below(120);
                self.pass(span);
            }
        }
    }
}

#[test]
fn the_rules_hold_after_every_step_of_any_interleaving() {
    let mut repeated = [0; REPEATS.len()];
    let mut queued = 0;
    for seed in 0..300 {
        let mut world = World::new(seed);
        for _ in 0..300 {
            world.step();
            queued += usize::from(world.instance.queued() > 0);
        }
        world.pass(2 * SECOND);
        assert_eq!(
            world.instance.queued(),
            0,
            "seed {seed}: nobody waits for ever"
        );
        for (place, repeat) in REPEATS.iter().enumerate() {
            let again = |seen: &&Seen| seen.repeat == *repeat && seen.attempts > 1;
            repeated[place] += world.requests.values().filter(again).count();
        }
    }
    // The test tests something: requests of every effect were repeated, and some waited in the queue.
    assert!(
        repeated.iter().all(|count| *count > 100) && queued > 1_000,
        "{repeated:?}, queued {queued}"
    );
}
