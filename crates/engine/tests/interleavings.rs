//! Random sequences of events for the policy and the admission queue together: after each step, the
//! rules hold for every request of every retry safety.

use std::collections::BTreeMap;

use beaconflow_admission::{Limits as QueueLimits, QueueSize};
use beaconflow_engine::{BalancerEngine, Engine};
use beaconflow_policy::*;

const MS: Nanos = 1_000_000;
const SECOND: Nanos = 1_000 * MS;
/// Shorter than most deadlines here, so that it ends while requests still wait.
const IDEMPOTENCY_WINDOW: Nanos = 400 * MS;
const MAX_ATTEMPTS: u32 = 4;
const SERVERS: u32 = 5;
/// Low enough that the queue has to reject requests.
const MAX_QUEUED: usize = 6;

const RETRY_SAFETIES: [RetrySafety; 5] = [
    RetrySafety::Idempotent,
    RetrySafety::NonIdempotent,
    RetrySafety::IdempotencyKey {
        dedup_scope: DedupScope::All,
        window: IDEMPOTENCY_WINDOW,
    },
    RetrySafety::IdempotencyKey {
        dedup_scope: DedupScope::Zone,
        window: IDEMPOTENCY_WINDOW,
    },
    RetrySafety::IdempotencyKey {
        dedup_scope: DedupScope::Cell,
        window: IDEMPOTENCY_WINDOW,
    },
];

fn settings() -> Settings {
    let class = |retry_safety| RequestClass {
        deadline: SECOND,
        retry_safety,
        message_latency_objective: 100 * MS,
    };
    Settings {
        balancers: 1,
        rank: 0,
        classes: RETRY_SAFETIES.into_iter().map(class).collect(),
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

/// A linear congruential generator, with the same numbers in every run.
struct Generator(u64);

impl Generator {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % bound
    }
}

/// State of a request as its client and its servers know it.
struct RequestModel {
    retry_safety: RetrySafety,
    deadline_at: Nanos,
    attempts: u32,
    /// The attempt in flight: its server, when it was sent, and until when its first byte may be
    /// sent.
    in_flight: Option<(ServerId, Nanos, Nanos)>,
    /// The first attempt that may have been executed: its server and when it was sent.
    possible_execution: Option<(ServerId, Nanos)>,
    is_established: bool,
    answers: u32,
    has_left: bool,
}

impl RequestModel {
    fn is_over(&self) -> bool {
        self.is_established || self.has_left || self.answers > 0
    }
}

/// An engine, and the state that a host would keep for it.
struct Harness {
    engine: Engine,
    generator: Generator,
    now: Nanos,
    requests: BTreeMap<u64, RequestModel>,
    states: BTreeMap<u32, ServerState>,
    timers: Vec<(Nanos, TimerId)>,
}

impl Harness {
    fn new(seed: u64) -> Harness {
        let limits = QueueLimits {
            total: QueueSize {
                entries: MAX_QUEUED,
                bytes: usize::MAX,
            },
            ..QueueLimits::default()
        };
        let engine = Engine::new(settings(), vec![1.0, 2.0], limits, seed)
            .expect("the settings are in range");
        let (requests, states, timers) = (BTreeMap::new(), BTreeMap::new(), Vec::new());
        let mut harness = Harness {
            engine,
            generator: Generator(seed),
            now: SECOND,
            requests,
            states,
            timers,
        };
        let entries: Vec<ServerEntry> = (0..SERVERS)
            .map(|server| entry(server, ServerState::Ready))
            .collect();
        harness
            .states
            .extend((0..SERVERS).map(|server| (server, ServerState::Ready)));
        harness.handle(Event::ServerList {
            update: ListUpdate::Snapshot,
            entries,
        });
        harness
    }

    fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.engine.handle(self.now, event, &mut actions);
        self.execute(actions);
    }

    fn execute(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::StartAttempt {
                    request,
                    server,
                    begin_within,
                    timeout,
                } => {
                    self.start_attempt(request.0, server, (begin_within, timeout));
                }
                Action::Reject { request, .. } => {
                    let model = self.record_answer(request.0);
                    assert!(
                        model.possible_execution.is_none(),
                        "a request that may have been executed was rejected"
                    );
                }
                Action::Fail(request) => {
                    let model = self.record_answer(request.0);
                    assert!(
                        model.possible_execution.is_some(),
                        "a request that was not executed failed"
                    );
                }
                Action::SetTimer { after, timer } => self.timers.push((self.now + after, timer)),
                Action::Enqueue(request) => {
                    let model = &self.requests[&request.0];
                    assert!(!model.is_over() && model.in_flight.is_none());
                }
                Action::Migrate(request, _) => drop(self.requests.remove(&request.0)),
                Action::ProbeServer(_) | Action::WatchServerList | Action::LogOverload(_) => {}
            }
        }
        assert!(self.engine.queued() <= MAX_QUEUED);
    }

    fn record_answer(&mut self, id: u64) -> &RequestModel {
        let model = self.requests.get_mut(&id).expect("the request was made");
        assert!(
            !model.is_over() && model.in_flight.is_none(),
            "a final answer needs an open request without an attempt in flight"
        );
        model.answers += 1;
        model
    }

    fn start_attempt(
        &mut self,
        id: u64,
        server: ServerId,
        (begin_within, timeout): (Nanos, Nanos),
    ) {
        let now = self.now;
        let model = self.requests.get_mut(&id).expect("the request was made");
        assert!(
            !model.is_over(),
            "an attempt was started for a request that is over"
        );
        assert!(
            model.in_flight.is_none(),
            "two attempts of one request are in flight"
        );
        assert!(model.attempts < MAX_ATTEMPTS);
        assert_eq!(self.states[&server.0], ServerState::Ready);
        assert!(begin_within > 0 && begin_within <= timeout && now + timeout <= model.deadline_at);
        if let Some((first, sent_at)) = model.possible_execution {
            let (first, next) = (
                entry(first.0, ServerState::Ready),
                entry(server.0, ServerState::Ready),
            );
            let is_within_window = now + begin_within <= sent_at + IDEMPOTENCY_WINDOW;
            assert!(match model.retry_safety {
                RetrySafety::Idempotent => true,
                RetrySafety::NonIdempotent => false,
                RetrySafety::IdempotencyKey {
                    dedup_scope: DedupScope::All,
                    ..
                } => is_within_window,
                RetrySafety::IdempotencyKey {
                    dedup_scope: DedupScope::Zone,
                    ..
                } => is_within_window && first.zone == next.zone,
                RetrySafety::IdempotencyKey {
                    dedup_scope: DedupScope::Cell,
                    ..
                } => is_within_window && first.cell == next.cell,
            });
        }
        model.attempts += 1;
        model.in_flight = Some((server, now, now + begin_within));
    }

    fn end_attempt(&mut self, id: u64, outcome: AttemptOutcome) {
        let now = self.now;
        let Some(model) = self.requests.get_mut(&id) else {
            return;
        };
        let Some((server, sent_at, begin_by)) = model.in_flight.take() else {
            return;
        };
        // A first byte that would be sent too late is not sent, whatever the server would have answered.
        let outcome = if now >= begin_by && outcome.proves_not_executed() {
            AttemptOutcome::NotSent
        } else {
            outcome
        };
        if !outcome.proves_not_executed() {
            model.possible_execution.get_or_insert((server, sent_at));
        }
        let attempt = model.attempts - 1;
        let is_final = model.is_established || outcome == AttemptOutcome::Served;
        model.is_established |= is_final;
        self.handle(Event::AttemptEnded(AttemptEnd {
            request: RequestId(id),
            attempt,
            outcome,
            elapsed: now - sent_at,
            is_final,
        }));
    }

    fn request_connection(&mut self) {
        let id = self.requests.keys().next_back().map_or(0, |last| last + 1);
        let class = self.generator.below(RETRY_SAFETIES.len() as u64) as usize;
        let deadline_at = self.now + MS * (1 + self.generator.below(1_000));
        let model = RequestModel {
            retry_safety: RETRY_SAFETIES[class],
            deadline_at,
            attempts: 0,
            in_flight: None,
            possible_execution: None,
            is_established: false,
            answers: 0,
            has_left: false,
        };
        self.requests.insert(id, model);
        let connect = ConnectRequest {
            request: RequestId(id),
            deadline_at,
            class: ClassId(class),
            client_key: Some(ClientKey(id % 9)),
            group: None,
            is_reconnect: false,
            expected_load: None,
            pin: None,
        };
        let (account, mut actions) = (self.generator.below(2) as usize, Vec::new());
        self.engine
            .on_connect_requested(self.now, connect, account, &mut actions);
        self.execute(actions);
    }

    /// Advances the clock. Attempts are ended at the deadline of their client, before later timers fire.
    fn advance(&mut self, span: Nanos) {
        let end = self.now + span;
        loop {
            let is_attempt_pending =
                |model: &RequestModel| model.in_flight.is_some() && !model.is_over();
            let expiring = self
                .requests
                .iter()
                .filter(|(_, model)| is_attempt_pending(model));
            let expiring = expiring
                .map(|(id, model)| (model.deadline_at, *id))
                .min()
                .filter(|(at, _)| *at <= end);
            self.timers.sort();
            let timer = self.timers.first().copied().filter(|(at, _)| *at <= end);
            match (expiring, timer) {
                (Some((at, id)), timer) if timer.is_none_or(|(fires_at, _)| at <= fires_at) => {
                    self.now = self.now.max(at);
                    self.end_attempt(id, AttemptOutcome::TimedOut);
                }
                (_, Some((at, timer))) => {
                    self.timers.remove(0);
                    self.now = self.now.max(at);
                    self.handle(Event::TimerFired(timer));
                }
                _ => break,
            }
        }
        self.now = end;
        for (id, model) in &self.requests {
            assert!(
                model.is_over() || end < model.deadline_at,
                "request {id} was not answered by its deadline"
            );
        }
    }

    /// A random request with an attempt in flight.
    fn pick_in_flight(&mut self) -> Option<u64> {
        let in_flight: Vec<u64> = self
            .requests
            .iter()
            .filter(|(_, model)| model.in_flight.is_some() && !model.is_over())
            .map(|(id, _)| *id)
            .collect();
        let index = self.generator.below(in_flight.len().max(1) as u64) as usize;
        in_flight.get(index).copied()
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
        match self.generator.below(12) {
            0..=3 => self.request_connection(),
            4..=6 => {
                let outcome = OUTCOMES[self.generator.below(8) as usize];
                if let Some(id) = self.pick_in_flight() {
                    self.end_attempt(id, outcome);
                }
            }
            7 => {
                if let Some(id) = self.pick_in_flight() {
                    let model = self
                        .requests
                        .get_mut(&id)
                        .expect("the request was just picked");
                    model.is_established = true;
                    let attempt = model.attempts - 1;
                    self.handle(Event::AttemptEstablished {
                        request: RequestId(id),
                        attempt,
                    });
                }
            }
            8 => {
                let last = self.requests.keys().next_back().copied().unwrap_or(0);
                let id = last - self.generator.below(last + 1).min(20);
                if let Some(model) = self.requests.get_mut(&id).filter(|model| !model.is_over()) {
                    (model.has_left, model.in_flight) = (true, None);
                    self.handle(Event::ClientLeft(RequestId(id)));
                }
            }
            9 => {
                let server = self.generator.below(u64::from(SERVERS)) as u32;
                let states = [
                    ServerState::Ready,
                    ServerState::Ready,
                    ServerState::Draining,
                    ServerState::Removed,
                ];
                let state = states[self.generator.below(4) as usize];
                self.states.insert(server, state);
                self.handle(Event::ServerList {
                    update: ListUpdate::Delta,
                    entries: vec![entry(server, state)],
                });
            }
            _ => {
                let span = MS * self.generator.below(120);
                self.advance(span);
            }
        }
    }
}

#[test]
fn rules_hold_under_random_events() {
    let mut retried = [0; RETRY_SAFETIES.len()];
    let mut queued = 0;
    for seed in 0..300 {
        let mut harness = Harness::new(seed);
        for _ in 0..300 {
            harness.step();
            queued += usize::from(harness.engine.queued() > 0);
        }
        harness.advance(2 * SECOND);
        assert_eq!(
            harness.engine.queued(),
            0,
            "seed {seed}: the queue should be empty at the end"
        );
        for (index, retry_safety) in RETRY_SAFETIES.iter().enumerate() {
            let is_retried =
                |model: &&RequestModel| model.retry_safety == *retry_safety && model.attempts > 1;
            retried[index] += harness.requests.values().filter(is_retried).count();
        }
    }
    // Requests of every retry safety were retried, and some waited in the queue; otherwise the test
    // would show nothing.
    assert!(
        retried.iter().all(|count| *count > 100) && queued > 1_000,
        "retried by retry safety: {retried:?}; steps with queued requests: {queued}"
    );
}
