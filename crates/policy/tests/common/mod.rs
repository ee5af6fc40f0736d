//! A gateway under test, driven by events alone.

#![allow(dead_code, reason = "each test file uses its part")]

pub mod fleet;

use std::collections::VecDeque;

use beaconflow_policy::Balancer;
use beaconflow_policy::*;

pub const MS: Nanos = 1_000_000;
pub const SECOND: Nanos = 1_000_000_000;

/// Settings like none of the deployments': two classes alike but for their repeat safety.
pub fn settings() -> Settings {
    let class = |retry_safety| RequestClass {
        latency_objective: 400 * MS,
        deadline: 2 * SECOND,
        retry_safety,
        message_latency_objective: 120 * MS,
        priority_weight: 1.0,
    };
    let keyed = |dedup_scope| RetrySafety::IdempotencyKey {
        dedup_scope,
        window: SECOND,
    };
    Settings {
        balancers: 1,
        rank: 0,
        zone: ZoneId(0),
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
        costs: TrafficCosts::default(),
    }
}

pub const SAFE: usize = 0;
pub const UNSAFE: usize = 1;
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

pub fn arrival(request: u64, class: usize, now: Nanos) -> ConnectRequest {
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

/// A gateway and its clock.
pub struct Gateway {
    pub balancer: Balancer,
    pub now: Nanos,
    /// Timers set and not yet fired.
    pub timers: Vec<(Nanos, TimerId)>,
    /// Those who wait at the door, the first come first.
    pub line: VecDeque<RequestId>,
}

impl Gateway {
    pub fn new(settings: Settings) -> Gateway {
        let balancer = Balancer::new(settings, 11).expect("the settings are in range");
        Gateway {
            balancer,
            now: SECOND,
            timers: Vec::new(),
            line: VecDeque::new(),
        }
    }

    /// A gateway that has heard of `count` servers.
    pub fn with_servers(settings: Settings, count: u32) -> Gateway {
        let mut gateway = Gateway::new(settings);
        gateway.list(ListUpdate::Snapshot, (0..count).map(entry).collect());
        gateway
    }

    /// Hands one event over and gives the turns that there are; timers and the line are kept, the other actions
    /// returned.
    pub fn tell(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        let mut next = Some(event);
        while let Some(event) = next {
            self.balancer.handle(self.now, event, &mut actions);
            actions.retain(|action| match action {
                Action::SetTimer { after, timer } => {
                    self.timers.push((self.now + after, *timer));
                    false
                }
                Action::Enqueue(request) => {
                    self.line.push_back(*request);
                    false
                }
                _ => true,
            });
            let turn = if self.balancer.has_permits() {
                self.line.pop_front()
            } else {
                None
            };
            next = turn.map(Event::PermitGranted);
        }
        actions
    }

    pub fn list(&mut self, update: ListUpdate, entries: Vec<ServerEntry>) -> Vec<Action> {
        self.tell(Event::ServerList { update, entries })
    }

    pub fn arrive(&mut self, request: u64, class: usize) -> Vec<Action> {
        self.tell(Event::ConnectRequested(arrival(request, class, self.now)))
    }

    pub fn establish(&mut self, request: u64, attempt: u32) -> Vec<Action> {
        self.tell(Event::AttemptEstablished {
            request: RequestId(request),
            attempt,
        })
    }

    /// A request whose first attempt stands at once; gives where it went.
    pub fn stand(&mut self, arrival: ConnectRequest) -> Vec<ServerId> {
        let actions = self.tell(Event::ConnectRequested(arrival));
        self.settle(&actions);
        attempts(&actions)
    }

    /// News of a connection that took one attempt.
    pub fn note(&mut self, request: u64, metric: ConnectionMetric) -> Vec<Action> {
        self.tell(Event::ConnectionMeasured {
            request: RequestId(request),
            attempt: 0,
            metric,
        })
    }

    /// A steady stream of connections that stand at once where they can, one each `gap`.
    pub fn stream(&mut self, requests: std::ops::Range<u64>, gap: Nanos) -> Vec<Action> {
        let mut actions = Vec::new();
        for request in requests {
            let mut made = self.arrive(request, SAFE);
            self.settle(&made);
            made.extend(self.pass(gap));
            self.settle(&made);
            actions.extend(made);
        }
        actions
    }

    /// Lets the first attempts among the actions stand, also those of requests that waited for their turn.
    pub fn settle(&mut self, actions: &[Action]) {
        for action in actions {
            if let Action::StartAttempt { request, .. } = action {
                self.establish(request.0, 0);
            }
        }
    }

    pub fn end(&mut self, request: u64, attempt: u32, outcome: AttemptOutcome) -> Vec<Action> {
        self.tell(Event::AttemptEnded(AttemptEnd {
            request: RequestId(request),
            attempt,
            outcome,
            elapsed: 10 * MS,
            is_final: false,
        }))
    }

    pub fn close(&mut self, request: u64, attempt: u32, outcome: AttemptOutcome) -> Vec<Action> {
        self.tell(Event::AttemptEnded(AttemptEnd {
            request: RequestId(request),
            attempt,
            outcome,
            elapsed: 10 * MS,
            is_final: true,
        }))
    }

    /// Lets time pass and fires what comes due.
    pub fn pass(&mut self, span: Nanos) -> Vec<Action> {
        let end = self.now + span;
        let mut actions = Vec::new();
        loop {
            self.timers.sort();
            match self.timers.first().copied() {
                Some((due, timer)) if due <= end => {
                    self.timers.remove(0);
                    self.now = self.now.max(due);
                    actions.extend(self.tell(Event::TimerFired(timer)));
                }
                _ => break,
            }
        }
        self.now = end;
        actions
    }
}

/// Where the attempts among the actions go.
pub fn attempts(actions: &[Action]) -> Vec<ServerId> {
    let to = |action: &Action| match action {
        Action::StartAttempt { server, .. } => Some(*server),
        _ => None,
    };
    actions.iter().filter_map(to).collect()
}

/// How long the attempts among the actions may take to begin.
pub fn begin_within(actions: &[Action]) -> Vec<Nanos> {
    let span = |action: &Action| match action {
        Action::StartAttempt { begin_within, .. } => Some(*begin_within),
        _ => None,
    };
    actions.iter().filter_map(span).collect()
}

/// Whether a request got this final answer.
pub fn refused(actions: &[Action], request: u64) -> bool {
    actions
        .iter()
        .any(|action| matches!(action, Action::Reject { request: id, .. } if id.0 == request))
}

/// Whether a request was failed.
pub fn failed(actions: &[Action], request: u64) -> bool {
    actions.contains(&Action::Fail(RequestId(request)))
}
