//! The simulation engine: one virtual clock, one event queue, and the production decision module in every balancer.
//!
//! Events with equal timestamps are ordered by a random draw from the seed, so that the order of the code favours none
//! of them and equal seeds give byte-identical runs.

mod affinity;
mod arrivals;
mod attempts;
mod balancers;
mod clients;
mod cold_overload;
mod edge;
mod events;
mod model;
mod outages;
mod peers;
mod placement_failures;
mod recovery;

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use beaconflow_policy::Action;
use rustc_hash::FxHashMap;

use crate::checker::Checker;
use crate::measures::Measures;
use crate::mesh;
use crate::policies::Policy;
use crate::random::RandomSource;
use crate::scenario::Scenario;
use crate::store::Store;
use crate::versions::Configurations;
use crate::{Nanos, SECOND, nanos};
use events::ScheduledEvent;
use model::{BalancerState, Client, GatewayState, Phase, Request, Setup};

/// The run continues for this long after the last arrival, so that every client gets its answer.
const POST_ARRIVAL_TIME: Nanos = 10 * SECOND;

/// One run of a scenario.
pub struct Engine<'s> {
    scenario: &'s Scenario,
    policy: Policy,
    now: Nanos,
    events: BinaryHeap<Reverse<(Nanos, u32, u64, ScheduledEvent)>>,
    event_count: u64,
    tie_break_rng: RandomSource,
    rng: RandomSource,
    client_rng: RandomSource,
    link_rng: RandomSource,
    clients: FxHashMap<u64, Client>,
    next_client: u64,
    requests: FxHashMap<u64, Request>,
    next_request: u64,
    setups: FxHashMap<u64, Setup>,
    next_setup: u64,
    balancers: Vec<BalancerState>,
    gateways: Vec<GatewayState>,
    store: Option<Store>,
    resets: Vec<(Nanos, f64, f64)>,
    discovery_back_at: Nanos,
    actions: Vec<Action>,
    /// Connected clients, indexed by class and account.
    established_counts: Vec<u32>,
    /// Whether each zone's clients connect to the balancers of their own zone only.
    routes_by_zone: bool,
    /// Sum of the worth of the connected clients.
    established_worth: f64,
    /// Incremented with every change of discovery's list.
    generation: u64,
    /// The parts of each balancer around its decision engine: gossip node, recovery, disk.
    hosts: Vec<recovery::BalancerHost>,
    configurations: Configurations,
    /// Index of the newest configuration that any balancer runs.
    newest_configuration: usize,
    /// Gossip partitions: when each ends, and for every balancer whether it is on the cut-off side.
    peer_partitions: Vec<(Nanos, Vec<bool>)>,
    uplinks: Vec<edge::Uplink>,
    status_messages: mesh::StatusMessages,
    datagrams: FxHashMap<u64, peers::Datagram>,
    next_datagram_id: u64,
    peer_rng: RandomSource,
    /// Results of the run so far.
    pub measures: Measures,
    /// Checks the rules that every run has to keep.
    pub checker: Checker,
}

impl<'s> Engine<'s> {
    /// Prepares a run without starting it. The scenario has been validated.
    pub fn new(scenario: &'s Scenario, policy: Policy) -> Engine<'s> {
        let seed = scenario.seed;
        let mut engine = Engine {
            scenario,
            policy,
            now: 0,
            events: BinaryHeap::new(),
            event_count: 0,
            tie_break_rng: RandomSource::new(seed, 1),
            rng: RandomSource::new(seed, 2),
            client_rng: RandomSource::new(seed, 3),
            link_rng: RandomSource::new(seed, 4),
            clients: FxHashMap::default(),
            next_client: 0,
            requests: FxHashMap::default(),
            next_request: 0,
            setups: FxHashMap::default(),
            next_setup: 0,
            balancers: Vec::new(),
            gateways: (0..scenario.gateways)
                .map(|_| GatewayState::new(&scenario.make))
                .collect(),
            store: scenario
                .store
                .as_ref()
                .map(|store| Store::new(store.at_once, store.mean_ms / 1e3)),
            resets: Vec::new(),
            discovery_back_at: 0,
            actions: Vec::new(),
            established_counts: vec![0; scenario.classes.len() * scenario.accounts.len().max(1)],
            established_worth: 0.0,
            routes_by_zone: scenario.routes_by_zone(),
            generation: 1,
            hosts: (0..scenario.balancers)
                .map(|_| recovery::BalancerHost::default())
                .collect(),
            configurations: Configurations::from_scenario(scenario),
            newest_configuration: 0,
            peer_partitions: Vec::new(),
            uplinks: Vec::new(),
            status_messages: mesh::StatusMessages::default(),
            datagrams: FxHashMap::default(),
            next_datagram_id: 0,
            peer_rng: RandomSource::new(seed, 5),
            measures: Measures::new(scenario),
            checker: Checker::default(),
        };
        engine.balancers = (0..scenario.balancers)
            .map(|rank| engine.new_balancer(rank, 0))
            .collect();
        engine
    }

    fn new_balancer(&self, rank: u32, incarnation: u32) -> BalancerState {
        let shares = self
            .scenario
            .accounts
            .iter()
            .map(|account| account.share)
            .collect();
        let seed = self.scenario.seed ^ (u64::from(rank) << 32) ^ u64::from(incarnation);
        let settings = self.scenario.settings(rank);
        BalancerState {
            engine: self.policy.balancer(settings, shares, seed),
            incarnation,
            is_alive: true,
            down_until: 0,
        }
    }

    /// Runs the scenario to its end. `each_second` is called after each simulated second and stops the run by returning
    /// `false`.
    pub fn run(&mut self, mut each_second: impl FnMut(&Engine<'_>) -> bool) {
        self.schedule_initial_events();
        let end = self.scenario.arrivals_duration() + POST_ARRIVAL_TIME;
        while let Some(Reverse((at, _, _, event))) = self.events.pop() {
            if at > end {
                break;
            }
            self.now = at;
            self.measures.events += 1;
            self.handle_scheduled_event(event);
            if event == ScheduledEvent::SecondElapsed && !each_second(self) {
                return;
            }
        }
        self.now = end;
        self.checker.on_run_finished(end);
    }

    /// Current virtual time since the start of the run.
    pub fn now(&self) -> Nanos {
        self.now
    }

    fn schedule_at(&mut self, at: Nanos, event: ScheduledEvent) {
        self.event_count += 1;
        let draw = (self.tie_break_rng.uniform() * f64::from(u32::MAX)) as u32;
        self.events
            .push(Reverse((at.max(self.now), draw, self.event_count, event)));
    }

    fn schedule_after(&mut self, seconds: f64, event: ScheduledEvent) {
        self.schedule_at(self.now.saturating_add(nanos(seconds)), event);
    }

    /// One-way network delay in seconds: three quarters of the mean, plus an exponential part that averages a quarter of it.
    fn link_delay(&mut self, mean_ms: f64) -> f64 {
        mean_ms / 1e3 * (0.75 + self.link_rng.exponential(0.25))
    }
}
