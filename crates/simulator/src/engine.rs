//! The engine: one clock, all events in order, and real decisions in every balancer.
//!
//! Events of one moment are ordered by a draw from the seed, so that none is always first by chance of the code, and
//! equal seeds give equal runs, byte for byte.

mod affinity;
mod arrivals;
mod attempts;
mod balancers;
mod clients;
mod edge;
mod events;
mod failures;
mod falls;
mod model;
mod peers;
mod recovery;
mod troubles;

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use beaconflow_policy::Action;
use rustc_hash::FxHashMap;

use crate::chance::RandomSource;
use crate::checker::Checker;
use crate::measures::Measures;
use crate::mesh;
use crate::policies::Policy;
use crate::scenario::Scenario;
use crate::store::Store;
use crate::versions::Configurations;
use crate::{Nanos, SECOND, nanos};
use events::Occurrence;
use model::{Client, Machine, Node, Phase, Request, SetUp};

/// A run goes on for so long after the last client came, so that each has its answer.
const AFTERMATH: Nanos = 10 * SECOND;

/// One run of a scenario.
pub struct Engine<'s> {
    scenario: &'s Scenario,
    policy: Policy,
    now: Nanos,
    events: BinaryHeap<Reverse<(Nanos, u32, u64, Occurrence)>>,
    count: u64,
    order: RandomSource,
    rng: RandomSource,
    habits: RandomSource,
    net: RandomSource,
    clients: FxHashMap<u64, Client>,
    next_client: u64,
    requests: FxHashMap<u64, Request>,
    next_request: u64,
    set_ups: FxHashMap<u64, SetUp>,
    next_set_up: u64,
    nodes: Vec<Node>,
    machines: Vec<Machine>,
    store: Option<Store>,
    resets: Vec<(Nanos, f64, f64)>,
    discovery_back_at: Nanos,
    actions: Vec<Action>,
    /// Clients that stand, by class and account, and their worth.
    stand_now: Vec<u32>,
    by_zone: bool,
    worth_now: f64,
    /// Counts discovery's changes.
    generation: u64,
    /// What each balancer has beside its decisions.
    hosts: Vec<recovery::Host>,
    configurations: Configurations,
    /// The newest configuration that any balancer runs.
    newest: usize,
    /// The peers' talk is cut between those and the others until then.
    cuts: Vec<(Nanos, Vec<bool>)>,
    uplinks: Vec<edge::Uplink>,
    letters: mesh::Letters,
    posts: FxHashMap<u64, peers::Post>,
    next_post: u64,
    wire: RandomSource,
    /// What a run came to so far.
    pub measures: Measures,
    /// The rules.
    pub checker: Checker,
}

impl<'s> Engine<'s> {
    /// A run that has not begun.
    pub fn new(scenario: &'s Scenario, policy: Policy) -> Engine<'s> {
        let seed = scenario.seed;
        let mut engine = Engine {
            scenario,
            policy,
            now: 0,
            events: BinaryHeap::new(),
            count: 0,
            order: RandomSource::new(seed, 1),
            rng: RandomSource::new(seed, 2),
            habits: RandomSource::new(seed, 3),
            net: RandomSource::new(seed, 4),
            clients: FxHashMap::default(),
            next_client: 0,
            requests: FxHashMap::default(),
            next_request: 0,
            set_ups: FxHashMap::default(),
            next_set_up: 0,
            nodes: Vec::new(),
            machines: (0..scenario.gateways)
                .map(|_| Machine::new(&scenario.make))
                .collect(),
            store: scenario
                .store
                .as_ref()
                .map(|store| Store::new(store.at_once, store.mean_ms / 1e3)),
            resets: Vec::new(),
            discovery_back_at: 0,
            actions: Vec::new(),
            stand_now: vec![0; scenario.classes.len() * scenario.accounts.len().max(1)],
            worth_now: 0.0,
            by_zone: scenario.by_zone(),
            generation: 1,
            hosts: (0..scenario.balancers)
                .map(|_| recovery::Host::default())
                .collect(),
            configurations: Configurations::of(scenario),
            newest: 0,
            cuts: Vec::new(),
            uplinks: Vec::new(),
            letters: mesh::Letters::default(),
            posts: FxHashMap::default(),
            next_post: 0,
            wire: RandomSource::new(seed, 5),
            measures: Measures::new(scenario),
            checker: Checker::default(),
        };
        engine.nodes = (0..scenario.balancers)
            .map(|rank| engine.node(rank, 0))
            .collect();
        engine
    }

    fn node(&self, rank: u32, start: u32) -> Node {
        let shares = self
            .scenario
            .accounts
            .iter()
            .map(|account| account.share)
            .collect();
        let seed = self.scenario.seed ^ (u64::from(rank) << 32) ^ u64::from(start);
        let settings = self.scenario.settings(rank);
        Node {
            decides: self.policy.balancer(settings, shares, seed),
            start,
            alive: true,
            down_until: 0,
        }
    }

    /// Plays the scenario to its end; `each_second` is told of each second of the run and may end it by `false`.
    pub fn run(&mut self, mut each_second: impl FnMut(&Engine<'_>) -> bool) {
        self.begin();
        let end = self.scenario.length() + AFTERMATH;
        while let Some(Reverse((at, _, _, what))) = self.events.pop() {
            if at > end {
                break;
            }
            self.now = at;
            self.measures.events += 1;
            self.play(what);
            if what == Occurrence::Second && !each_second(self) {
                return;
            }
        }
        self.now = end;
        self.checker.finishes(end);
    }

    /// The moment that the run has come to.
    pub fn now(&self) -> Nanos {
        self.now
    }

    fn push(&mut self, at: Nanos, what: Occurrence) {
        self.count += 1;
        let draw = (self.order.even() * f64::from(u32::MAX)) as u32;
        self.events
            .push(Reverse((at.max(self.now), draw, self.count, what)));
    }

    fn after(&mut self, seconds: f64, what: Occurrence) {
        self.push(self.now.saturating_add(nanos(seconds)), what);
    }

    /// One way through the network: the mean, and half of it again by chance.
    fn link_delay(&mut self, mean_ms: f64) -> f64 {
        mean_ms / 1e3 * (0.75 + self.net.exponential(0.25))
    }
}
