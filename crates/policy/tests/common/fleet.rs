//! A fleet of balancers with its clients and servers on one virtual clock.

use std::collections::BTreeMap;

use super::*;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;

pub const SERVERS: u32 = 20;
/// New clients of the whole fleet in each step.
pub const NEW_CLIENTS_PER_STEP: usize = 6;
/// Lifetime of a connection, in steps.
pub const CONNECTION_STEPS: u64 = 250;
pub const STEP: Nanos = 100 * MS;

pub struct Fleet {
    pub balancers: Vec<TestBalancer>,
    pub rng: Pcg32,
    /// Each client's group and the step at which it leaves, by client id.
    pub clients: Vec<(GroupId, u64)>,
    /// Balancer and server of each established connection.
    pub established: BTreeMap<u64, (usize, ServerId)>,
    /// The step and the server of each attempt.
    pub attempts: Vec<(u64, ServerId)>,
    /// Failing servers and the outcome of attempts there.
    pub failing: BTreeMap<ServerId, AttemptOutcome>,
    /// Attempts at failing servers: the step at which they end, the balancer, the request, the
    /// number of the attempt and the outcome.
    pub pending_failures: Vec<(u64, usize, u64, u32, AttemptOutcome)>,
    /// Number of attempts of each client.
    pub attempt_counts: BTreeMap<u64, u32>,
    /// Whether each answered client got a connection.
    pub was_established: BTreeMap<u64, bool>,
    pub migrations: usize,
    pub step: u64,
    /// Whether clients belong to groups.
    pub has_groups: bool,
    /// The fraction of new clients that belong to one large group.
    pub large_group_fraction: f64,
    /// Cumulative traffic of the balancers up to and including each one. If empty, one balancer in
    /// seven has five times the traffic of the others.
    pub cumulative_traffic: Vec<f64>,
}

/// One balancer of a fleet, seeded by its rank.
pub fn balancer_of_fleet(
    balancers: u32,
    rank: u32,
    has_live_weights: bool,
    servers: Vec<ServerEntry>,
) -> TestBalancer {
    let settings = Settings {
        balancers,
        rank,
        has_live_weights,
        ..settings()
    };
    let mut balancer = TestBalancer::new(settings.clone());
    balancer.policy = Balancer::new(settings, 7 + u64::from(rank)).expect("in range");
    balancer.update_list(ListUpdate::Snapshot, servers);
    balancer
}

impl Fleet {
    pub fn new(balancers: u32) -> Fleet {
        Fleet::with_live_weights(balancers, false)
    }

    pub fn with_live_weights(balancers: u32, has_live_weights: bool) -> Fleet {
        let servers: Vec<ServerEntry> = (0..SERVERS).map(entry).collect();
        let (rng, clients) = (Pcg32::seed_from_u64(5), Vec::new());
        let balancers = (0..balancers)
            .map(|rank| balancer_of_fleet(balancers, rank, has_live_weights, servers.clone()))
            .collect();
        Fleet {
            balancers,
            rng,
            clients,
            established: BTreeMap::new(),
            attempts: Vec::new(),
            failing: BTreeMap::new(),
            pending_failures: Vec::new(),
            attempt_counts: BTreeMap::new(),
            was_established: BTreeMap::new(),
            migrations: 0,
            step: 0,
            has_groups: true,
            large_group_fraction: 0.0,
            cumulative_traffic: Vec::new(),
        }
    }

    /// Draws the balancer that the next client connects to.
    fn draw_balancer(&mut self) -> usize {
        if let Some(total) = self.cumulative_traffic.last() {
            let drawn = self.rng.random_range(0.0..*total);
            return self
                .cumulative_traffic
                .partition_point(|cumulative| *cumulative <= drawn);
        }
        let uniform = self.rng.random_range(0..self.balancers.len());
        if self.rng.random_range(0.0..1.0) < 0.4 {
            uniform - uniform % 7
        } else {
            uniform
        }
    }

    /// Connects a client to a balancer.
    pub fn connect_client(&mut self, is_reconnect: bool, client: (GroupId, u64)) {
        let index = self.draw_balancer();
        let (id, now) = (self.clients.len() as u64, self.balancers[index].now);
        self.clients.push(client);
        let connect = ConnectRequest {
            is_reconnect,
            group: self.has_groups.then_some(client.0),
            ..connect_request(id, IDEMPOTENT, now)
        };
        let actions = self.balancers[index].handle(Event::ConnectRequested(connect));
        self.execute(index, actions);
    }

    /// Executes the actions of a balancer.
    pub fn execute(&mut self, index: usize, actions: Vec<Action>) {
        for action in actions {
            if let Action::StartAttempt {
                request,
                server,
                timeout,
                ..
            } = action
            {
                self.attempts.push((self.step, server));
                let count = self.attempt_counts.entry(request.0).or_default();
                *count += 1;
                let attempt = *count - 1;
                if let Some(outcome) = self.failing.get(&server) {
                    let duration = if *outcome == AttemptOutcome::TimedOut {
                        timeout
                    } else {
                        200 * MS
                    };
                    self.pending_failures.push((
                        self.step + duration / STEP,
                        index,
                        request.0,
                        attempt,
                        *outcome,
                    ));
                    continue;
                }
                let further = self.balancers[index].establish(request.0, attempt);
                self.established.insert(request.0, (index, server));
                self.was_established.insert(request.0, true);
                self.execute(index, further);
            } else if let Action::Reject { request, .. } | Action::Fail(request) = action {
                let earlier = self.was_established.insert(request.0, false);
                assert_eq!(earlier, None, "a request got more than one final answer");
            } else if let Action::Migrate(request, _) = action {
                self.migrations += 1;
                self.established
                    .remove(&request.0)
                    .expect("a migrated connection is established");
                self.connect_client(true, self.clients[request.0 as usize]);
            }
        }
    }

    /// Ends the established connections that match by server and last step; returns their clients.
    pub fn end_connections(
        &mut self,
        outcome: AttemptOutcome,
        is_match: impl Fn(ServerId, u64) -> bool,
    ) -> Vec<(GroupId, u64)> {
        let ends = |id: &u64, location: &(usize, ServerId)| {
            is_match(location.1, self.clients[*id as usize].1)
        };
        let ended: Vec<u64> = self
            .established
            .iter()
            .filter(|(id, location)| ends(id, location))
            .map(|(id, _)| *id)
            .collect();
        for id in &ended {
            let (index, _) = self
                .established
                .remove(id)
                .expect("an ended connection is established");
            self.balancers[index].close(*id, 0, outcome);
        }
        ended
            .into_iter()
            .map(|id| self.clients[id as usize])
            .collect()
    }

    /// Advances by one step: connections end, clients connect, timers fire.
    pub fn advance(&mut self) {
        self.step += 1;
        let step = self.step;
        self.end_connections(AttemptOutcome::Served, |_, last_step| last_step <= step);
        for _ in 0..NEW_CLIENTS_PER_STEP {
            let any_group = self.rng.random_range(0_u64..400);
            let is_in_large_group = self.large_group_fraction > 0.0
                && self.rng.random_range(0.0..1.0) < self.large_group_fraction;
            let group = if is_in_large_group { 401 } else { any_group };
            let group = GroupId(group.wrapping_mul(0x9e37_79b9_7f4a_7c15));
            self.connect_client(false, (group, step + CONNECTION_STEPS));
        }
        for index in 0..self.balancers.len() {
            let actions = self.balancers[index].advance(STEP);
            self.execute(index, actions);
        }
        let ended: Vec<_> = self
            .pending_failures
            .extract_if(.., |pending| pending.0 <= step)
            .collect();
        for (_, index, request, attempt, outcome) in ended {
            let actions = self.balancers[index].end_attempt(request, attempt, outcome);
            self.execute(index, actions);
        }
    }

    /// Restarts the servers from `first` on within one step; all their clients reconnect.
    pub fn restart_servers_from(&mut self, first: u32) {
        let now = self.balancers[0].now;
        let restarted: Vec<ServerEntry> = (first..SERVERS)
            .map(|id| ServerEntry {
                started_at: now,
                ..entry(id)
            })
            .collect();
        let disconnected =
            self.end_connections(AttemptOutcome::Cancelled, |server, _| server.0 >= first);
        self.balancers
            .iter_mut()
            .for_each(|balancer| drop(balancer.update_list(ListUpdate::Delta, restarted.clone())));
        disconnected
            .into_iter()
            .for_each(|client| self.connect_client(true, client));
    }

    /// Number of attempts at each server within these steps.
    pub fn attempts_within(&self, steps: std::ops::Range<u64>) -> [f64; SERVERS as usize] {
        let mut counts = [0.0; SERVERS as usize];
        for (_, server) in self
            .attempts
            .iter()
            .filter(|(step, _)| steps.contains(step))
        {
            counts[server.0 as usize] += 1.0;
        }
        counts
    }

    /// Fraction of the established connections on the servers from `first` on.
    pub fn connection_share_from(&self, first: u32) -> f64 {
        self.established
            .values()
            .filter(|location| location.1.0 >= first)
            .count() as f64
            / self.established.len() as f64
    }
}

/// Usual utilization of the servers: the middle of the values that the sites state.
pub const USUAL_UTILIZATION: f64 = 0.5;

/// Number of attempts within the overload window that overload a server which started `age` steps
/// ago: `overload_multiple` times what fills it during slow start, at the usual utilization.
pub fn overload_attempts(age: u64) -> f64 {
    let rules = settings().rules;
    let warm_up = (age * STEP) as f64 / rules.warm_up_time as f64;
    let capacity = rules.initial_capacity + (1.0 - rules.initial_capacity) * warm_up.min(1.0);
    let full = (NEW_CLIENTS_PER_STEP as u64 * CONNECTION_STEPS) as f64
        / USUAL_UTILIZATION
        / f64::from(SERVERS);
    full * rules.overload_multiple * capacity * rules.overload_window as f64
        / rules.warm_up_time as f64
}

/// Greatest ratios of attempts to [`overload_attempts`] within any overload window since a step.
pub struct SlowStartOverload {
    /// The ratio of one server from `first` on, less three standard deviations of chance.
    pub one_server: f64,
    /// The ratio of all servers from `first` on together.
    pub all_servers: f64,
}

pub fn slow_start_overload(fleet: &Fleet, first: u32, since: u64) -> SlowStartOverload {
    let window = settings().rules.overload_window / STEP;
    let (mut one_server, mut all_servers) = (0.0_f64, 0.0_f64);
    for start in since..fleet.step - window {
        let allowed = overload_attempts(start - since);
        let counts = fleet.attempts_within(start..start + window);
        let warming = &counts[first as usize..];
        all_servers =
            all_servers.max(warming.iter().sum::<f64>() / (allowed * warming.len() as f64));
        one_server = warming
            .iter()
            .map(|count| (count - 3.0 * allowed.sqrt()) / allowed)
            .fold(one_server, f64::max);
    }
    SlowStartOverload {
        one_server,
        all_servers,
    }
}
