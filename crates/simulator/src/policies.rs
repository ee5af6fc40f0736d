//! Balancing policies of a run: beaconflow's decision module with its admission queue, or a common simple policy as a
//! baseline.

use std::fmt;
use std::str::FromStr;

use beaconflow_admission::Limits;
use beaconflow_engine::{BalancerEngine, Engine};
use beaconflow_policy::{
    Action, AttemptEnd, AttemptOutcome, ConnectRequest, Event, RequestId, ServerId, ServerState,
    Settings,
};
use rustc_hash::FxHashMap;

use crate::Nanos;
use crate::random::RandomSource;

/// A balancing policy, selected by name.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Policy {
    /// Beaconflow's decision module and admission queue.
    #[default]
    Beaconflow,
    /// The ready gateways in rotation.
    RoundRobin,
    /// The gateway with the fewest connections from this balancer.
    LeastConnections,
    /// Of two random gateways the one with fewer connections from this balancer.
    RandomOfTwo,
}

const NAMES: [(&str, Policy); 4] = [
    ("beaconflow", Policy::Beaconflow),
    ("round-robin", Policy::RoundRobin),
    ("least-connections", Policy::LeastConnections),
    ("random-of-two", Policy::RandomOfTwo),
];

impl FromStr for Policy {
    type Err = String;

    fn from_str(text: &str) -> Result<Policy, String> {
        let known = NAMES
            .iter()
            .find(|(name, _)| *name == text)
            .map(|(_, policy)| *policy);
        known.ok_or_else(|| {
            format!(
                "unknown policy; expected one of {}",
                NAMES.map(|(name, _)| name).join(", ")
            )
        })
    }
}

impl fmt::Display for Policy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = NAMES
            .iter()
            .find(|(_, policy)| policy == self)
            .map_or("", |(name, _)| name);
        f.write_str(name)
    }
}

impl Policy {
    /// Creates a balancer engine with this policy. The settings have been validated.
    pub fn balancer(
        self,
        settings: Settings,
        shares: Vec<f64>,
        seed: u64,
    ) -> Box<dyn BalancerEngine> {
        match self {
            Policy::Beaconflow => {
                let instance = Engine::new(settings, shares, Limits::default(), seed);
                Box::new(instance.expect("the scenario was validated"))
            }
            kind => Box::new(BaselinePolicy::new(kind, settings, seed)),
        }
    }
}

/// A request that a baseline policy is handling.
struct OpenRequest {
    class: usize,
    deadline_at: Nanos,
    attempts: u32,
    at: Option<ServerId>,
    may_have_run: bool,
}

/// A baseline policy: it picks among the ready gateways, retries at once while attempts and time are left, and never
/// migrates connections.
struct BaselinePolicy {
    kind: Policy,
    settings: Settings,
    ready: Vec<ServerId>,
    next_index: usize,
    connections: FxHashMap<u32, u32>,
    open: FxHashMap<u64, OpenRequest>,
    rng: RandomSource,
    watches_list: bool,
}

impl BaselinePolicy {
    fn new(kind: Policy, settings: Settings, seed: u64) -> BaselinePolicy {
        let (ready, connections, open) = (Vec::new(), FxHashMap::default(), FxHashMap::default());
        BaselinePolicy {
            kind,
            settings,
            ready,
            next_index: 0,
            connections,
            open,
            rng: RandomSource::new(seed, 9),
            watches_list: false,
        }
    }

    fn connections(&self, server: ServerId) -> u32 {
        self.connections.get(&server.0).copied().unwrap_or(0)
    }

    fn pick_server(&mut self) -> Option<ServerId> {
        let count = self.ready.len();
        if count == 0 {
            return None;
        }
        Some(match self.kind {
            Policy::LeastConnections => {
                // Starts at a rotating index, so that ties do not always go to the first gateway.
                self.next_index = (self.next_index + 1) % count;
                let rotated = (0..count).map(|at| self.ready[(self.next_index + at) % count]);
                rotated.min_by_key(|server| self.connections(*server))?
            }
            Policy::RandomOfTwo => {
                let (first, second) = (
                    self.ready[self.rng.uniform_index(count)],
                    self.ready[self.rng.uniform_index(count)],
                );
                if self.connections(second) < self.connections(first) {
                    second
                } else {
                    first
                }
            }
            Policy::RoundRobin | Policy::Beaconflow => {
                self.next_index = (self.next_index + 1) % count;
                self.ready[self.next_index]
            }
        })
    }

    fn try_next_server(&mut self, now: Nanos, request: RequestId, out: &mut Vec<Action>) {
        let Some(request_state) = self.open.get(&request.0) else {
            return;
        };
        let remaining = request_state.deadline_at.saturating_sub(now);
        let (class, limits) = (
            &self.settings.classes[request_state.class],
            &self.settings.limits,
        );
        let is_exhausted = request_state.attempts >= limits.max_attempts || remaining == 0;
        // The client's time is divided evenly among the attempts.
        let share = class.deadline / u64::from(limits.max_attempts);
        let timeout = remaining.min(share.max(limits.connect_timeout.saturating_mul(2)));
        let next_server = if is_exhausted {
            None
        } else {
            self.pick_server()
        };
        let Some(server) = next_server else {
            let request_state = self.open.remove(&request.0);
            let failed = request_state.is_some_and(|request_state| request_state.may_have_run);
            return out.push(if failed {
                Action::Fail(request)
            } else {
                Action::Reject {
                    request,
                    retry_after: None,
                }
            });
        };
        *self.connections.entry(server.0).or_insert(0) += 1;
        let request_state = self.open.get_mut(&request.0).expect("the request is open");
        request_state.attempts += 1;
        request_state.at = Some(server);
        out.push(Action::StartAttempt {
            request,
            server,
            begin_within: timeout,
            timeout,
        });
    }

    fn release_connection(&mut self, server: ServerId) {
        if let Some(connections) = self.connections.get_mut(&server.0) {
            *connections = connections.saturating_sub(1);
        }
    }
}

impl BalancerEngine for BaselinePolicy {
    fn on_connect_requested(
        &mut self,
        now: Nanos,
        arrival: ConnectRequest,
        _: usize,
        out: &mut Vec<Action>,
    ) {
        let open = OpenRequest {
            class: arrival.class.0,
            deadline_at: arrival.deadline_at,
            attempts: 0,
            at: None,
            may_have_run: false,
        };
        self.open.insert(arrival.request.0, open);
        self.try_next_server(now, arrival.request, out);
    }

    fn handle(&mut self, now: Nanos, event: Event, out: &mut Vec<Action>) {
        if !std::mem::replace(&mut self.watches_list, true) {
            out.push(Action::WatchServerList);
        }
        match event {
            Event::ServerList { entries, .. } => {
                let ready = entries
                    .iter()
                    .filter(|entry| entry.state == ServerState::Ready);
                self.ready = ready.map(|entry| entry.server).collect();
            }
            Event::ConnectionAdopted { request, server } => {
                *self.connections.entry(server.0).or_insert(0) += 1;
                let (class, deadline_at) = (request.class.0, request.deadline_at);
                let open = OpenRequest {
                    class,
                    deadline_at,
                    attempts: 1,
                    at: Some(server),
                    may_have_run: true,
                };
                self.open.insert(request.request.0, open);
            }
            Event::AttemptEnded(AttemptEnd {
                request,
                outcome,
                is_final,
                ..
            }) => {
                let Some(request_state) = self.open.get_mut(&request.0) else {
                    return;
                };
                let at = request_state.at.take();
                request_state.may_have_run |=
                    !outcome.proves_not_executed() && outcome != AttemptOutcome::Served;
                at.into_iter()
                    .for_each(|server| self.release_connection(server));
                if is_final {
                    self.open.remove(&request.0);
                } else {
                    self.try_next_server(now, request, out);
                }
            }
            Event::ClientLeft(request) => {
                let at = self
                    .open
                    .remove(&request.0)
                    .and_then(|request_state| request_state.at);
                at.into_iter()
                    .for_each(|server| self.release_connection(server));
            }
            _ => {}
        }
    }

    fn queued(&self) -> usize {
        0
    }
}
