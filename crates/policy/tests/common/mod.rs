//! A balancer under test with a virtual clock, its timers and an admission queue.

#![allow(dead_code, reason = "each test file uses its part")]

pub mod fleet;

use std::collections::VecDeque;

use beaconflow_policy::Balancer;
use beaconflow_policy::*;

pub const MS: Nanos = 1_000_000;
pub const SECOND: Nanos = 1_000_000_000;

/// Settings that differ from those of every deployment. The classes differ in retry safety only.
pub fn settings() -> Settings {
    let class = |retry_safety| RequestClass {
        deadline: 2 * SECOND,
        retry_safety,
        message_latency_objective: 120 * MS,
    };
    let keyed = |dedup_scope| RetrySafety::IdempotencyKey {
        dedup_scope,
        window: SECOND,
    };
    Settings {
        balancers: 1,
        rank: 0,
        classes: vec![
            class(RetrySafety::Idempotent),
            class(RetrySafety::NonIdempotent),
            class(keyed(DedupScope::Zone)),
            class(keyed(DedupScope::Cell)),
            class(keyed(DedupScope::All)),
        ],
        discovery: DiscoveryMode::Pushed,
        has_live_weights: false,
        limits: Limits {
            max_attempts: 3,
            sends_retry_after: true,
            max_retry_after: SECOND,
            can_probe: false,
            connect_timeout: 100 * MS,
        },
        rules: ServerRules {
            initial_capacity: 0.2,
            warm_up_time: 20 * SECOND,
            overload_multiple: 3.0,
            overload_window: 2 * SECOND,
            list_max_age: 10 * SECOND,
        },
    }
}

pub const IDEMPOTENT: usize = 0;
pub const NON_IDEMPOTENT: usize = 1;
pub const KEYED_ZONE: usize = 2;
pub const KEYED_CELL: usize = 3;
pub const KEYED_ALL: usize = 4;

pub fn entry(server: u32) -> ServerEntry {
    ServerEntry {
        server: ServerId(server),
        name_hash: u64::from(server).wrapping_mul(0x9e37_79b9_7f4a_7c15),
        state: ServerState::Ready,
        zone: ZoneId(server % 2),
        cell: server / 2,
        machine_type: 0,
        weight: 1.0,
        target_weight: None,
        started_at: 0,
    }
}

pub fn connect_request(request: u64, class: usize, now: Nanos) -> ConnectRequest {
    ConnectRequest {
        request: RequestId(request),
        deadline_at: now + 2 * SECOND,
        class: ClassId(class),
        client_key: Some(ClientKey(request)),
        group: None,
        is_reconnect: false,
        expected_load: None,
        pin: None,
    }
}

/// A balancer with its clock, timers and admission queue.
pub struct TestBalancer {
    pub policy: Balancer,
    pub now: Nanos,
    /// Pending timers with the time at which they fire.
    pub timers: Vec<(Nanos, TimerId)>,
    /// Requests in the admission queue, in order of arrival.
    pub queue: VecDeque<RequestId>,
}

impl TestBalancer {
    pub fn new(settings: Settings) -> TestBalancer {
        let policy = Balancer::new(settings, 11).expect("the settings are in range");
        TestBalancer {
            policy,
            now: SECOND,
            timers: Vec::new(),
            queue: VecDeque::new(),
        }
    }

    /// A balancer whose server list contains `count` servers.
    pub fn with_servers(settings: Settings, count: u32) -> TestBalancer {
        let mut balancer = TestBalancer::new(settings);
        balancer.update_list(ListUpdate::Snapshot, (0..count).map(entry).collect());
        balancer
    }

    /// Handles an event, then grants permits to queued requests while any are available. Timers and
    /// queue entries are kept; the other actions are returned.
    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        let mut next = Some(event);
        while let Some(event) = next {
            self.policy.handle(self.now, event, &mut actions);
            actions.retain(|action| match action {
                Action::SetTimer { after, timer } => {
                    self.timers.push((self.now + after, *timer));
                    false
                }
                Action::Enqueue(request) => {
                    self.queue.push_back(*request);
                    false
                }
                _ => true,
            });
            let admitted = if self.policy.has_permits() {
                self.queue.pop_front()
            } else {
                None
            };
            next = admitted.map(Event::PermitGranted);
        }
        actions
    }

    pub fn update_list(&mut self, update: ListUpdate, entries: Vec<ServerEntry>) -> Vec<Action> {
        self.handle(Event::ServerList { update, entries })
    }

    pub fn request(&mut self, request: u64, class: usize) -> Vec<Action> {
        let connect = connect_request(request, class, self.now);
        self.handle(Event::ConnectRequested(connect))
    }

    pub fn establish(&mut self, request: u64, attempt: u32) -> Vec<Action> {
        self.handle(Event::AttemptEstablished {
            request: RequestId(request),
            attempt,
        })
    }

    /// Requests a connection whose first attempt succeeds at once; returns its server.
    pub fn connect(&mut self, connect: ConnectRequest) -> Vec<ServerId> {
        let actions = self.handle(Event::ConnectRequested(connect));
        self.establish_first_attempts(&actions);
        attempted_servers(&actions)
    }

    /// Reports a measurement of a connection that was established by its first attempt.
    pub fn measure(&mut self, request: u64, metric: ConnectionMetric) -> Vec<Action> {
        self.handle(Event::ConnectionMeasured {
            request: RequestId(request),
            attempt: 0,
            metric,
        })
    }

    /// Requests a connection every `interval`. First attempts succeed at once.
    pub fn connect_at_interval(
        &mut self,
        requests: std::ops::Range<u64>,
        interval: Nanos,
    ) -> Vec<Action> {
        let mut all = Vec::new();
        for request in requests {
            let mut actions = self.request(request, IDEMPOTENT);
            self.establish_first_attempts(&actions);
            actions.extend(self.advance(interval));
            self.establish_first_attempts(&actions);
            all.extend(actions);
        }
        all
    }

    /// Establishes the first attempts among the actions, including those of requests that were
    /// admitted from the queue.
    pub fn establish_first_attempts(&mut self, actions: &[Action]) {
        for action in actions {
            if let Action::StartAttempt { request, .. } = action {
                self.establish(request.0, 0);
            }
        }
    }

    /// Ends an attempt. If it was not established, the request may be retried.
    pub fn end_attempt(
        &mut self,
        request: u64,
        attempt: u32,
        outcome: AttemptOutcome,
    ) -> Vec<Action> {
        self.handle(Event::AttemptEnded(AttemptEnd {
            request: RequestId(request),
            attempt,
            outcome,
            elapsed: 10 * MS,
            is_final: false,
        }))
    }

    /// Ends an attempt and its request.
    pub fn close(&mut self, request: u64, attempt: u32, outcome: AttemptOutcome) -> Vec<Action> {
        self.handle(Event::AttemptEnded(AttemptEnd {
            request: RequestId(request),
            attempt,
            outcome,
            elapsed: 10 * MS,
            is_final: true,
        }))
    }

    /// Advances the clock and fires the timers that are due.
    pub fn advance(&mut self, span: Nanos) -> Vec<Action> {
        let end = self.now + span;
        let mut actions = Vec::new();
        loop {
            self.timers.sort();
            match self.timers.first().copied() {
                Some((fires_at, timer)) if fires_at <= end => {
                    self.timers.remove(0);
                    self.now = self.now.max(fires_at);
                    actions.extend(self.handle(Event::TimerFired(timer)));
                }
                _ => break,
            }
        }
        self.now = end;
        actions
    }
}

/// The servers of the attempts among the actions.
pub fn attempted_servers(actions: &[Action]) -> Vec<ServerId> {
    let server_of = |action: &Action| match action {
        Action::StartAttempt { server, .. } => Some(*server),
        _ => None,
    };
    actions.iter().filter_map(server_of).collect()
}

/// The time within which each attempt among the actions must begin.
pub fn begin_spans(actions: &[Action]) -> Vec<Nanos> {
    let span_of = |action: &Action| match action {
        Action::StartAttempt { begin_within, .. } => Some(*begin_within),
        _ => None,
    };
    actions.iter().filter_map(span_of).collect()
}

/// Whether the actions reject a request.
pub fn is_rejected(actions: &[Action], request: u64) -> bool {
    actions
        .iter()
        .any(|action| matches!(action, Action::Reject { request: id, .. } if id.0 == request))
}

/// Whether the actions fail a request.
pub fn is_failed(actions: &[Action], request: u64) -> bool {
    actions.contains(&Action::Fail(RequestId(request)))
}
