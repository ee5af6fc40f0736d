//! A gateway under test, driven by events alone.

#![allow(dead_code, reason = "each test file uses its part")]

pub mod fleet;

use std::collections::VecDeque;

use beaconflow_policy::Balancer;
use beaconflow_policy::api::*;

pub const MS: Nanos = 1_000_000;
pub const SECOND: Nanos = 1_000_000_000;

/// Settings like none of the deployments': two classes alike but for their repeat safety.
pub fn settings() -> Settings {
    let class = |repeat| Class {
        aim: 400 * MS,
        deadline: 2 * SECOND,
        repeat,
        message_aim: 120 * MS,
        worth: 1.0,
    };
    let keyed = |scope| Repeat::Keyed {
        scope,
        window: SECOND,
    };
    Settings {
        gateways: 1,
        rank: 0,
        zone: ZoneId(0),
        classes: vec![
            class(Repeat::Safe),
            class(Repeat::Unsafe),
            class(keyed(Scope::Zone)),
            class(keyed(Scope::Cell)),
            class(keyed(Scope::All)),
        ],
        discovery: Discovery::Pushed,
        live_weights: false,
        limits: Limits {
            max_attempts: 3,
            retry_after: true,
            max_retry_after: SECOND,
            may_probe: false,
            connect_timeout: 100 * MS,
        },
        rules: Rules {
            cold_share: 0.2,
            cold_time: 20 * SECOND,
            tip_multiple: 3.0,
            fall_time: 2 * SECOND,
            ask_within: 10 * SECOND,
        },
        prices: Prices::default(),
    }
}

pub const SAFE: usize = 0;
pub const UNSAFE: usize = 1;
pub const KEYED_ZONE: usize = 2;
pub const KEYED_CELL: usize = 3;
pub const KEYED_ALL: usize = 4;

pub fn entry(server: u32) -> Entry {
    Entry {
        server: ServerId(server),
        tag: u64::from(server).wrapping_mul(0x9e37_79b9_7f4a_7c15),
        state: State::Ready,
        zone: ZoneId(server % 2),
        cell: server / 2,
        kind: 0,
        weight: 1.0,
        rises_to: None,
        started_at: 0,
    }
}

pub fn arrival(request: u64, class: usize, now: Nanos) -> Arrival {
    Arrival {
        request: RequestId(request),
        give_up_at: now + 2 * SECOND,
        class: ClassId(class),
        key: Some(ClientKey(request)),
        group: None,
        returns: false,
        load: None,
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
        gateway.list(ListKind::Full, (0..count).map(entry).collect());
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
                Action::Wake { after, timer } => {
                    self.timers.push((self.now + after, *timer));
                    false
                }
                Action::Wait(request) => {
                    self.line.push_back(*request);
                    false
                }
                _ => true,
            });
            let turn = if self.balancer.has_turns() {
                self.line.pop_front()
            } else {
                None
            };
            next = turn.map(Event::Turn);
        }
        actions
    }

    pub fn list(&mut self, kind: ListKind, entries: Vec<Entry>) -> Vec<Action> {
        self.tell(Event::List { kind, entries })
    }

    pub fn arrive(&mut self, request: u64, class: usize) -> Vec<Action> {
        self.tell(Event::Arrived(arrival(request, class, self.now)))
    }

    pub fn establish(&mut self, request: u64, attempt: u32) -> Vec<Action> {
        self.tell(Event::Established {
            request: RequestId(request),
            attempt,
        })
    }

    /// A request whose first attempt stands at once; gives where it went.
    pub fn stand(&mut self, arrival: Arrival) -> Vec<ServerId> {
        let actions = self.tell(Event::Arrived(arrival));
        self.settle(&actions);
        attempts(&actions)
    }

    /// News of a connection that took one attempt.
    pub fn note(&mut self, request: u64, note: Note) -> Vec<Action> {
        self.tell(Event::Noted {
            request: RequestId(request),
            attempt: 0,
            note,
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
            if let Action::Attempt { request, .. } = action {
                self.establish(request.0, 0);
            }
        }
    }

    pub fn end(&mut self, request: u64, attempt: u32, outcome: Outcome) -> Vec<Action> {
        self.tell(Event::Ended {
            request: RequestId(request),
            attempt,
            outcome,
            took: 10 * MS,
            closed: false,
        })
    }

    pub fn close(&mut self, request: u64, attempt: u32, outcome: Outcome) -> Vec<Action> {
        self.tell(Event::Ended {
            request: RequestId(request),
            attempt,
            outcome,
            took: 10 * MS,
            closed: true,
        })
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
                    actions.extend(self.tell(Event::Timer(timer)));
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
        Action::Attempt { server, .. } => Some(*server),
        _ => None,
    };
    actions.iter().filter_map(to).collect()
}

/// How long the attempts among the actions may take to begin.
pub fn begin_within(actions: &[Action]) -> Vec<Nanos> {
    let span = |action: &Action| match action {
        Action::Attempt { begin_within, .. } => Some(*begin_within),
        _ => None,
    };
    actions.iter().filter_map(span).collect()
}

/// Whether a request got this final answer.
pub fn refused(actions: &[Action], request: u64) -> bool {
    actions
        .iter()
        .any(|action| matches!(action, Action::Refuse { request: id, .. } if id.0 == request))
}

/// Whether a request was failed.
pub fn failed(actions: &[Action], request: u64) -> bool {
    actions.contains(&Action::Fail(RequestId(request)))
}
