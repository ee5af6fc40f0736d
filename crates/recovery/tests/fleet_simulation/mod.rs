//! A simulated fleet on a virtual clock: balancers that all start at the same time, servers in slow start that can be
//! overloaded, clients that all arrive at once and return after their retry-after, discovery, and peer status messages.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

use beaconflow_recovery::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

pub const MS: Nanos = 1_000_000;
pub const SECOND: Nanos = 1_000 * MS;
/// Wall time at which the power returns, in milliseconds. Virtual time 0 is the same instant.
pub const WALL: Millis = 1_800_000_000_000;
/// Delay of one message between a client, a balancer and discovery.
const ONE_WAY_DELAY: Nanos = 10 * MS;
const STATUS_INTERVAL: Nanos = 400 * MS;
const STATUS_FANOUT: usize = 6;

/// Parameters of one simulated power loss.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub fleet: usize,
    pub servers: usize,
    pub clients: usize,
    /// How unevenly clients choose balancers: 0 for evenly, 1 for none to twice the mean by balancer.
    pub imbalance: f64,
    /// Whether clients return to the balancer that deferred them.
    pub is_sticky: bool,
    /// Every balancer whose number is a multiple of this has its memory; 0 if none has.
    pub disk_interval: usize,
    /// Clients in the memory and the configuration, relative to those that arrive.
    pub memory_scale: f64,
    /// Which peers receive each other's status.
    pub peers: Peers,
    /// Time from which discovery answers.
    pub discovery_back_at: Nanos,
    /// Start of the servers relative to the return of the power; negative if before.
    pub servers_started_at: i64,
    /// Delay between the starts of successive balancers.
    pub start_interval: Nanos,
    /// Tolerance of the overload rule for random variation.
    pub variance_margin: f64,
    pub seed: u64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Peers {
    All,
    /// Two halves that are partitioned until this time.
    Halves(Nanos),
    None,
}

/// Results of one simulation.
#[derive(Default, Debug)]
pub struct SimulationResult {
    /// When 99% of the clients, weighted by priority, were admitted.
    pub served_at: Option<Nanos>,
    pub overloaded: usize,
    /// Greatest number of clients sent to one server within the overload window, relative to its limit.
    pub max_load_ratio: f64,
    pub admitted: usize,
    pub deferred: usize,
    /// Final deferrals after which the client was admitted on its return, and all final deferrals.
    pub kept_promises: usize,
    pub final_deferrals: usize,
    /// Greatest number of calls to discovery within 100 ms.
    pub max_discovery_calls: usize,
    /// Times at which half of each class, and half of each account of class 1, were admitted.
    pub class_median: Vec<Nanos>,
    pub account_median: Vec<Nanos>,
    pub lent: f64,
    pub scopes: BTreeMap<OutageScope, usize>,
    /// Mean time between the first and the last admission of a group.
    pub mean_group_span: Nanos,
    pub digest: u64,
}

impl Default for Scenario {
    fn default() -> Scenario {
        Scenario {
            fleet: 5,
            servers: 40,
            clients: 100_000,
            imbalance: 0.5,
            is_sticky: false,
            disk_interval: 1,
            memory_scale: 1.0,
            peers: Peers::All,
            discovery_back_at: 0,
            servers_started_at: 0,
            start_interval: 0,
            variance_margin: 0.0,
            seed: 1,
        }
    }
}

#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
enum ScheduledEvent {
    Tick(usize),
    SendStatus(usize),
    ClientArrival(usize),
    DiscoveryAnswer(usize),
    QuotaLent(usize, usize, u64, u64),
}

#[derive(Clone, Copy)]
struct ClientState {
    request: AdmissionRequest,
    at: usize,
    is_deferral_final: bool,
    admitted_at: Nanos,
}

struct SimulatedServer {
    weight: f64,
    sent: VecDeque<Nanos>,
    is_overloaded: bool,
}

pub struct FleetSimulation {
    scenario: Scenario,
    config: RecoveryConfig,
    rng: Pcg64Mcg,
    recoveries: Vec<Recovery>,
    started_at: Vec<Nanos>,
    serving_since: Vec<Option<Nanos>>,
    /// By balancer: when discovery sent the list that it has.
    list_received_at: Vec<Option<Nanos>>,
    clients: Vec<ClientState>,
    servers: Vec<SimulatedServer>,
    queue: BinaryHeap<Reverse<(Nanos, u64, ScheduledEvent)>>,
    count: u64,
    discovery_calls: BTreeMap<Nanos, usize>,
    result: SimulationResult,
    out: Vec<Action>,
}

/// Weights of the clients of each class in the time until 99% are served.
const CLASS_WEIGHTS: [f64; 2] = [1.0, 4.0];
const ACCOUNT_SHARES: [f64; 2] = [3.0, 1.0];

fn config(scenario: &Scenario, weight: f64) -> RecoveryConfig {
    let slow_start = SlowStartRules::default();
    let clients_per_weight = scenario.clients as f64 / weight;
    RecoveryConfig {
        name: "b".into(),
        site: "site".into(),
        fleet_size: scenario.fleet as u32,
        site_peers: if scenario.peers == Peers::None {
            0
        } else {
            scenario.fleet as u32 - 1
        },
        slow_start: SlowStartRules {
            clients_per_server_s: clients_per_weight / (slow_start.warm_up_time as f64 / 1e9),
            variance_margin: scenario.variance_margin,
            ..slow_start
        },
        classes: vec![
            RequestClass {
                deadline: 6 * SECOND,
            },
            RequestClass {
                deadline: 3 * SECOND,
            },
        ],
        accounts: vec![
            AccountShare {
                account: 0,
                share: ACCOUNT_SHARES[0],
            },
            AccountShare {
                account: 1,
                share: ACCOUNT_SHARES[1],
            },
        ],
        usual_clients: (scenario.clients as f64 * scenario.memory_scale) as u32,
        ..RecoveryConfig::default()
    }
}

impl FleetSimulation {
    pub fn new(scenario: Scenario) -> FleetSimulation {
        let mut rng = Pcg64Mcg::seed_from_u64(scenario.seed);
        let weight = |at: usize| [1.0, 1.0, 1.5, 2.0][at % 4];
        let server = |at| SimulatedServer {
            weight: weight(at),
            sent: VecDeque::new(),
            is_overloaded: false,
        };
        let servers: Vec<SimulatedServer> = (0..scenario.servers).map(server).collect();
        let config = config(&scenario, servers.iter().map(|server| server.weight).sum());
        let recoveries = (0..scenario.fleet).map(|at| {
            let config = RecoveryConfig {
                name: format!("b{at}"),
                ..config.clone()
            };
            Recovery::new(config, scenario.seed ^ (at as u64) << 32)
                .expect("the simulated configuration is in range")
        });
        let recoveries: Vec<Recovery> = recoveries.collect();
        let mut simulation = FleetSimulation {
            started_at: (0..scenario.fleet as u64)
                .map(|at| at * scenario.start_interval)
                .collect(),
            serving_since: vec![None; scenario.fleet],
            list_received_at: vec![None; scenario.fleet],
            clients: Vec::new(),
            queue: BinaryHeap::new(),
            count: 0,
            discovery_calls: BTreeMap::new(),
            result: SimulationResult::default(),
            out: Vec::new(),
            recoveries,
            servers,
            config,
            scenario,
            rng: rng.clone(),
        };
        for at in 0..simulation.scenario.clients {
            let class = usize::from(rng.random_bool(0.2));
            let (group, client_key) = (Some(at as u64 / 8 * 2 + class as u64), Some(at as u64));
            let account = u64::from(rng.random_bool(0.5));
            let request = AdmissionRequest {
                id: at as u64,
                class,
                account,
                group,
                client_key,
            };
            let home = simulation.pick_balancer();
            simulation.clients.push(ClientState {
                request,
                at: home,
                is_deferral_final: false,
                admitted_at: Nanos::MAX,
            });
            let arrives_at = rng.random_range(0..SECOND);
            simulation.push(arrives_at, ScheduledEvent::ClientArrival(at));
        }
        for at in 0..simulation.scenario.fleet {
            simulation.push(simulation.started_at[at], ScheduledEvent::Tick(at));
            let first = simulation.rng.random_range(0..STATUS_INTERVAL);
            simulation.push(
                simulation.started_at[at] + first,
                ScheduledEvent::SendStatus(at),
            );
        }
        simulation
    }

    fn push(&mut self, at: Nanos, event: ScheduledEvent) {
        self.count += 1;
        self.queue.push(Reverse((at, self.count, event)));
    }

    /// Picks a balancer at random; the probability rises linearly over the fleet.
    fn pick_balancer(&mut self) -> usize {
        loop {
            let at = self.rng.random_range(0..self.scenario.fleet);
            let rank = (at as f64 + 0.5) / self.scenario.fleet as f64 * 2.0 - 1.0;
            if self.rng.random_range(0.0..1.0 + self.scenario.imbalance)
                < 1.0 + rank * self.scenario.imbalance
            {
                return at;
            }
        }
    }

    fn capacity_fraction(&self, now: Nanos) -> f64 {
        let age = (now as i64 - self.scenario.servers_started_at).max(0) as f64
            / self.config.slow_start.warm_up_time as f64;
        0.2 + 0.8 * age.min(1.0)
    }

    fn list(&self, source: ListSource) -> List {
        let started_at_ms =
            WALL.saturating_add_signed(self.scenario.servers_started_at / MS as i64);
        let entry = |(at, server): (usize, &SimulatedServer)| Entry {
            name: format!("s{at:03}"),
            started_at_ms,
            lifecycle: Lifecycle::Ready,
            weight: server.weight,
        };
        let entries = self.servers.iter().enumerate().map(entry).collect();
        List {
            source,
            generation: 9,
            incarnation: 1,
            age: 0,
            reported_at: Some(WALL),
            entries,
        }
    }

    /// The memory of a balancer with the clients of each class and account, if it kept its disk.
    fn memory(&self, at: usize) -> Option<Memory> {
        if self.scenario.disk_interval == 0 || !at.is_multiple_of(self.scenario.disk_interval) {
            return None;
        }
        let mut counts: BTreeMap<(usize, u64), f64> = BTreeMap::new();
        for client in &self.clients {
            *counts
                .entry((client.request.class, client.request.account))
                .or_insert(0.0) += self.scenario.memory_scale;
        }
        let one = |((class, account), clients): ((usize, u64), f64)| PreviousClients {
            class,
            account,
            clients,
        };
        let mut list = self.list(ListSource::Memory);
        list.entries
            .iter_mut()
            .for_each(|entry| entry.started_at_ms = WALL - 90_000_000);
        Some(Memory {
            owner: format!("b{at}"),
            incarnation: 4,
            written_at: WALL - 60_000,
            list: Some(list),
            previous_clients: counts.into_iter().map(one).collect(),
            clients_per_server_s: None,
        })
    }

    /// Sends one client to a random server by weight, like balancers without shared state do.
    fn send(&mut self, now: Nanos) {
        let (capacity_fraction, slow_start) = (self.capacity_fraction(now), self.config.slow_start);
        let at = loop {
            let at = self.rng.random_range(0..self.servers.len());
            if self.rng.random_range(0.0..2.0) < self.servers[at].weight {
                break at;
            }
        };
        let server = &mut self.servers[at];
        server.sent.push_back(now);
        while server
            .sent
            .front()
            .is_some_and(|at| *at + slow_start.overload_window <= now)
        {
            server.sent.pop_front();
        }
        let limit = slow_start.overload_multiple
            * slow_start.clients_per_server_s
            * server.weight
            * capacity_fraction
            * slow_start.overload_window as f64
            / 1e9;
        let load_ratio =
            server.sent.len() as f64 / (limit + slow_start.variance_margin * (limit.sqrt() + 1.0));
        if capacity_fraction < 1.0 {
            self.result.max_load_ratio = self.result.max_load_ratio.max(load_ratio);
            if load_ratio > 1.0 && !std::mem::replace(&mut server.is_overloaded, true) {
                self.result.overloaded += 1;
            }
        }
    }

    fn handle_event(&mut self, now: Nanos, at: usize, event: Event) {
        let mut out = std::mem::take(&mut self.out);
        let own_time = now - self.started_at[at];
        self.recoveries[at].handle(own_time, WALL + now / MS, event, &mut out);
        for action in out.drain(..) {
            self.execute(now, at, action);
        }
        self.out = out;
    }

    fn execute(&mut self, now: Nanos, at: usize, action: Action) {
        match action {
            Action::Query {
                source: EvidenceSource::Discovery,
                delay,
            } => {
                *self
                    .discovery_calls
                    .entry((now + delay) / (100 * MS))
                    .or_insert(0) += 1;
                if now + delay >= self.scenario.discovery_back_at {
                    self.push(
                        now + delay + ONE_WAY_DELAY,
                        ScheduledEvent::DiscoveryAnswer(at),
                    );
                }
            }
            Action::SetServiceMode { mode, .. } if mode != ServiceMode::Unavailable => {
                self.serving_since[at].get_or_insert(now);
            }
            Action::Admit { id } => {
                let client = &mut self.clients[id as usize];
                assert_eq!(client.admitted_at, Nanos::MAX, "a client is admitted once");
                client.admitted_at = now;
                self.result.kept_promises += usize::from(client.is_deferral_final);
                self.result.admitted += 1;
                self.send(now);
            }
            Action::Defer {
                id,
                retry_after,
                is_final,
            } => {
                self.result.deferred += 1;
                self.result.final_deferrals += usize::from(is_final);
                self.clients[id as usize].is_deferral_final = is_final;
                self.push(
                    now + retry_after + 2 * ONE_WAY_DELAY,
                    ScheduledEvent::ClientArrival(id as usize),
                );
            }
            Action::LendQuota {
                to,
                number,
                clients,
            } => {
                self.result.lent += clients;
                let to = to[1..]
                    .parse()
                    .expect("the name of a peer is b and its number");
                self.push(
                    now + ONE_WAY_DELAY,
                    ScheduledEvent::QuotaLent(to, at, number, clients.to_bits()),
                );
            }
            Action::ScopeDecided { scope, .. } => {
                *self.result.scopes.entry(scope).or_insert(0) += 1
            }
            _ => {}
        }
    }

    /// Sends a balancer's status to some of its peers, with its list if they have none.
    fn send_peer_status(&mut self, now: Nanos, at: usize) {
        let recovery = &self.recoveries[at];
        let state = recovery.state();
        let status = PeerStatus {
            name: format!("b{at}"),
            site: "site".into(),
            incarnation: 5,
            uptime: now - self.started_at[at],
            serving_time: self.serving_since[at].map(|since| now - since),
            is_in_full_service: state == RecoveryState::Serving,
            wall_clock: recovery.is_clock_reliable().then_some(WALL + now / MS),
            previous_clients: recovery.previous_clients(),
            deferred_per_s: recovery.deferred_per_s(),
        };
        for _ in 0..STATUS_FANOUT {
            let to = self.rng.random_range(0..self.scenario.fleet);
            let same_half = (to < self.scenario.fleet / 2) == (at < self.scenario.fleet / 2);
            let can_receive = match self.scenario.peers {
                Peers::All => true,
                Peers::Halves(until) => same_half || now >= until,
                Peers::None => false,
            };
            if can_receive && to != at && now >= self.started_at[to] {
                self.handle_event(now, to, Event::PeerReported(status.clone()));
                if let Some(received_at) =
                    self.list_received_at[at].filter(|_| self.list_received_at[to].is_none())
                {
                    let list = List {
                        age: now - received_at,
                        reported_at: None,
                        ..self.list(ListSource::Peer)
                    };
                    self.handle_event(now, to, Event::ListReceived(list));
                    self.list_received_at[to].get_or_insert(received_at);
                }
            }
        }
        self.push(now + STATUS_INTERVAL, ScheduledEvent::SendStatus(at));
    }

    fn on_client_arrival(&mut self, now: Nanos, id: usize) {
        let at = if self.scenario.is_sticky {
            self.clients[id].at
        } else {
            self.pick_balancer()
        };
        if now < self.started_at[at] {
            return self.push(now + SECOND, ScheduledEvent::ClientArrival(id));
        }
        self.handle_event(now, at, Event::AdmissionRequested(self.clients[id].request));
    }

    /// Runs the simulation until all clients are admitted, or until a time.
    pub fn run(mut self, until: Nanos) -> SimulationResult {
        while let Some(Reverse((now, _, event))) = self.queue.pop().filter(|next| next.0.0 < until)
        {
            if self.result.admitted == self.scenario.clients {
                break;
            }
            match event {
                ScheduledEvent::Tick(at) => {
                    let is_first = self.recoveries[at].state() == RecoveryState::NotStarted;
                    let memory = is_first.then(|| self.memory(at)).flatten();
                    let event = if is_first {
                        Event::Started {
                            incarnation: 5,
                            memory,
                        }
                    } else {
                        Event::Tick
                    };
                    self.handle_event(now, at, event);
                    if let Some(due) = self.recoveries[at].next_tick_at() {
                        self.push(
                            (self.started_at[at] + due).max(now + MS),
                            ScheduledEvent::Tick(at),
                        );
                    }
                }
                ScheduledEvent::SendStatus(at) => self.send_peer_status(now, at),
                ScheduledEvent::ClientArrival(id) => self.on_client_arrival(now, id),
                ScheduledEvent::DiscoveryAnswer(at) => {
                    let list = self.list(ListSource::Discovery);
                    let reported_at = Some(WALL + now / MS);
                    self.list_received_at[at] = Some(now);
                    self.handle_event(
                        now,
                        at,
                        Event::ListReceived(List {
                            reported_at,
                            ..list
                        }),
                    );
                }
                ScheduledEvent::QuotaLent(to, from, number, bits) => {
                    let (from, clients) = (format!("b{from}"), f64::from_bits(bits));
                    self.handle_event(
                        now,
                        to,
                        Event::QuotaLent {
                            from,
                            number,
                            clients,
                        },
                    );
                }
            }
        }
        self.into_result()
    }

    fn into_result(mut self) -> SimulationResult {
        let weight = |client: &ClientState| CLASS_WEIGHTS[client.request.class];
        let all: f64 = self.clients.iter().map(weight).sum();
        let mut order: Vec<(Nanos, f64)> = self
            .clients
            .iter()
            .map(|one| (one.admitted_at, weight(one)))
            .collect();
        order.sort_by_key(|one| one.0);
        let mut sum = 0.0;
        let reached = order.iter().find(|(_, weight)| {
            sum += weight;
            sum >= 0.99 * all
        });
        self.result.served_at = reached.map(|(at, _)| *at).filter(|at| *at != Nanos::MAX);
        let median = |of: &dyn Fn(&ClientState) -> bool| {
            let mut at: Vec<Nanos> = self
                .clients
                .iter()
                .filter(|client| of(client))
                .map(|one| one.admitted_at)
                .collect();
            at.sort_unstable();
            at.get(at.len() / 2).copied().unwrap_or(Nanos::MAX)
        };
        self.result.class_median = (0..2)
            .map(|class| median(&|one| one.request.class == class))
            .collect();
        let of_account = |account| {
            median(&|one: &ClientState| one.request.class == 1 && one.request.account == account)
        };
        self.result.account_median = (0..2).map(of_account).collect();
        let mut groups: BTreeMap<Option<u64>, (Nanos, Nanos)> = BTreeMap::new();
        for client in self
            .clients
            .iter()
            .filter(|one| one.admitted_at != Nanos::MAX && one.request.account == 0)
        {
            let span = groups
                .entry(client.request.group)
                .or_insert((Nanos::MAX, 0));
            *span = (
                span.0.min(client.admitted_at),
                span.1.max(client.admitted_at),
            );
        }
        let sum: Nanos = groups.values().map(|(first, last)| last - first).sum();
        self.result.mean_group_span = sum / (groups.len() as u64).max(1);
        self.result.max_discovery_calls = self.discovery_calls.values().copied().max().unwrap_or(0);
        let mix =
            |sum: u64, client: &ClientState| sum.wrapping_mul(0x100_0000_01b3) ^ client.admitted_at;
        self.result.digest = self.clients.iter().fold(7, mix);
        self.result
    }

    /// When 99% of the clients would be admitted at the exact overload limit, with full knowledge of the fleet.
    pub fn ideal_admission_time(&self) -> Nanos {
        let weight: f64 = self.servers.iter().map(|server| server.weight).sum();
        let (mut now, mut sum) = (0, 0.0);
        while sum < 0.99 * self.clients.len() as f64 {
            now += MS;
            sum += self.config.slow_start.overload_multiple
                * self.config.slow_start.clients_per_server_s
                * weight
                * self.capacity_fraction(now)
                / 1e3;
        }
        now
    }
}
