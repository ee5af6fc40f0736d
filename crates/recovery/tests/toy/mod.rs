//! A toy fleet on a virtual clock: balancers that all start in one instant, cold servers that warm and tip over, clients
//! that all come at once and come again when they are told to, discovery, and peers' words.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

use beaconflow_recovery::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

pub const MS: Nanos = 1_000_000;
pub const SECOND: Nanos = 1_000 * MS;
/// Wall time of the power's return.
pub const WALL: Millis = 1_800_000_000_000;
/// What a client's way to a balancer takes.
const WAY: Nanos = 10 * MS;
const WORDS_EVERY: Nanos = 400 * MS;
const WORDS_TO: usize = 6;

/// What a day is like.
#[derive(Clone, Debug)]
pub struct Day {
    pub fleet: usize,
    pub servers: usize,
    pub clients: usize,
    /// How unevenly clients fall to balancers: 0 evenly, 1 from none to twice the mean.
    pub uneven: f64,
    /// Clients come back to the balancer they had.
    pub stays: bool,
    /// Every so manieth balancer has kept its disk; 0 for none.
    pub disks: usize,
    /// Clients that memory and configuration speak of, over those that come.
    pub told: f64,
    /// Peers hear each other; otherwise only within halves, or not at all.
    pub peers: Peers,
    /// Discovery answers only from then on.
    pub discovery_from: Nanos,
    /// Servers' starts against the power's return; below 0 before it.
    pub servers_from: i64,
    /// Every balancer begins this much later than the one before.
    pub stagger: Nanos,
    /// Room that the rule itself leaves to chance.
    pub slack: f64,
    pub seed: u64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Peers {
    All,
    /// Halves that meet at that moment.
    Halves(Nanos),
    None,
}

/// What came of it.
#[derive(Default, Debug)]
pub struct Told {
    /// When 99% of the worth was served again.
    pub served_at: Option<Nanos>,
    pub tipped: usize,
    /// Most that one server was sent in the time in which it tips, over its limit.
    pub worst: f64,
    pub admitted: usize,
    pub deferred: usize,
    /// Firm promises that were kept: the client was let in as it came at the told time; and all of them.
    pub kept: usize,
    pub promised: usize,
    /// Most calls of discovery in 100 ms.
    pub herd: usize,
    /// Times at which half of each class, and of each account of the first class, were in.
    pub class_half: Vec<Nanos>,
    pub account_half: Vec<Nanos>,
    pub lent: f64,
    pub scopes: BTreeMap<OutageScope, usize>,
    /// Mean span between the first and the last of a group.
    pub group_span: Nanos,
    pub digest: u64,
}

impl Default for Day {
    fn default() -> Day {
        Day {
            fleet: 5,
            servers: 40,
            clients: 100_000,
            uneven: 0.5,
            stays: false,
            disks: 1,
            told: 1.0,
            peers: Peers::All,
            discovery_from: 0,
            servers_from: 0,
            stagger: 0,
            slack: 0.0,
            seed: 1,
        }
    }
}

#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
enum What {
    Tick(usize),
    Words(usize),
    Client(usize),
    Discovery(usize),
    Lent(usize, usize, u64, u64),
}

#[derive(Clone, Copy)]
struct Client {
    arrival: AdmissionRequest,
    at: usize,
    firm: bool,
    in_at: Nanos,
}

struct Server {
    weight: f64,
    sent: VecDeque<Nanos>,
    tipped: bool,
}

pub struct Toy {
    day: Day,
    config: RecoveryConfig,
    rng: Pcg64Mcg,
    machines: Vec<Recovery>,
    begun: Vec<Nanos>,
    serving_since: Vec<Option<Nanos>>,
    /// When the list was told that each has, by discovery.
    heard: Vec<Option<Nanos>>,
    clients: Vec<Client>,
    servers: Vec<Server>,
    queue: BinaryHeap<Reverse<(Nanos, u64, What)>>,
    count: u64,
    calls: BTreeMap<Nanos, usize>,
    told: Told,
    out: Vec<Action>,
}

const SHARES: [f64; 2] = [3.0, 1.0];

fn config(day: &Day, weight: f64) -> RecoveryConfig {
    let cold = SlowStartRules::default();
    let stood = day.clients as f64 / weight;
    RecoveryConfig {
        name: "b".into(),
        site: "site".into(),
        fleet_size: day.fleet as u32,
        site_peers: if day.peers == Peers::None {
            0
        } else {
            day.fleet as u32 - 1
        },
        slow_start: SlowStartRules {
            clients_per_server_s: stood / (cold.warm_up_time as f64 / 1e9),
            variance_margin: day.slack,
            ..cold
        },
        classes: vec![
            RequestClass {
                priority_weight: 1.0,
                latency_objective: SECOND,
            },
            RequestClass {
                priority_weight: 4.0,
                latency_objective: SECOND / 2,
            },
        ],
        accounts: vec![
            AccountQuota {
                account: 0,
                quota: SHARES[0],
            },
            AccountQuota {
                account: 1,
                quota: SHARES[1],
            },
        ],
        usual_clients: (day.clients as f64 * day.told) as u32,
        ..RecoveryConfig::default()
    }
}

impl Toy {
    pub fn new(day: Day) -> Toy {
        let mut rng = Pcg64Mcg::seed_from_u64(day.seed);
        let weight = |at: usize| [1.0, 1.0, 1.5, 2.0][at % 4];
        let server = |at| Server {
            weight: weight(at),
            sent: VecDeque::new(),
            tipped: false,
        };
        let servers: Vec<Server> = (0..day.servers).map(server).collect();
        let config = config(&day, servers.iter().map(|server| server.weight).sum());
        let machines = (0..day.fleet).map(|at| {
            let config = RecoveryConfig {
                name: format!("b{at}"),
                ..config.clone()
            };
            Recovery::new(config, day.seed ^ (at as u64) << 32)
                .expect("the toy's settings are in range")
        });
        let machines: Vec<Recovery> = machines.collect();
        let mut toy = Toy {
            begun: (0..day.fleet as u64).map(|at| at * day.stagger).collect(),
            serving_since: vec![None; day.fleet],
            heard: vec![None; day.fleet],
            clients: Vec::new(),
            queue: BinaryHeap::new(),
            count: 0,
            calls: BTreeMap::new(),
            told: Told::default(),
            out: Vec::new(),
            machines,
            servers,
            config,
            day,
            rng: rng.clone(),
        };
        for at in 0..toy.day.clients {
            let class = usize::from(rng.random_bool(0.2));
            let (group, client_key) = (Some(at as u64 / 8 * 2 + class as u64), Some(at as u64));
            let account = u64::from(rng.random_bool(0.5));
            let arrival = AdmissionRequest {
                id: at as u64,
                class,
                account,
                group,
                client_key,
                is_reconnect: true,
            };
            let home = toy.pick_balancer();
            toy.clients.push(Client {
                arrival,
                at: home,
                firm: false,
                in_at: Nanos::MAX,
            });
            let comes = rng.random_range(0..SECOND);
            toy.push(comes, What::Client(at));
        }
        for at in 0..toy.day.fleet {
            toy.push(toy.begun[at], What::Tick(at));
            let first = toy.rng.random_range(0..WORDS_EVERY);
            toy.push(toy.begun[at] + first, What::Words(at));
        }
        toy
    }

    fn push(&mut self, at: Nanos, what: What) {
        self.count += 1;
        self.queue.push(Reverse((at, self.count, what)));
    }

    /// Balancers' parts of the clients rise evenly over the fleet.
    fn pick_balancer(&mut self) -> usize {
        loop {
            let at = self.rng.random_range(0..self.day.fleet);
            let rank = (at as f64 + 0.5) / self.day.fleet as f64 * 2.0 - 1.0;
            if self.rng.random_range(0.0..1.0 + self.day.uneven) < 1.0 + rank * self.day.uneven {
                return at;
            }
        }
    }

    fn warmth(&self, now: Nanos) -> f64 {
        let age = (now as i64 - self.day.servers_from).max(0) as f64
            / self.config.slow_start.warm_up_time as f64;
        0.2 + 0.8 * age.min(1.0)
    }

    fn list(&self, source: Source) -> List {
        let started_at_ms = WALL.saturating_add_signed(self.day.servers_from / MS as i64);
        let entry = |(at, server): (usize, &Server)| Entry {
            name: format!("s{at:03}"),
            started_at_ms,
            lifecycle: Lifecycle::Ready,
            weight: server.weight,
        };
        let entries = self.servers.iter().enumerate().map(entry).collect();
        List {
            source,
            generation: 9,
            epoch: 1,
            age: 0,
            reported_at: Some(WALL),
            entries,
        }
    }

    /// What each class and account had before.
    fn memory(&self, at: usize) -> Option<Memory> {
        if self.day.disks == 0 || !at.is_multiple_of(self.day.disks) {
            return None;
        }
        let mut former: BTreeMap<(usize, u64), f64> = BTreeMap::new();
        for client in &self.clients {
            *former
                .entry((client.arrival.class, client.arrival.account))
                .or_insert(0.0) += self.day.told;
        }
        let one = |((class, account), clients): ((usize, u64), f64)| PreviousClients {
            class,
            account,
            clients,
        };
        let mut list = self.list(Source::Memory);
        list.entries
            .iter_mut()
            .for_each(|entry| entry.started_at_ms = WALL - 90_000_000);
        Some(Memory {
            owner: format!("b{at}"),
            incarnation: 4,
            written_at: WALL - 60_000,
            list: Some(list),
            previous_clients: former.into_iter().map(one).collect(),
            clients_per_server_s: None,
        })
    }

    /// Sends one client to a server by weight, as many balancers that know nothing of each other do.
    fn send(&mut self, now: Nanos) {
        let (warmth, cold) = (self.warmth(now), self.config.slow_start);
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
            .is_some_and(|at| *at + cold.overload_window <= now)
        {
            server.sent.pop_front();
        }
        let limit = cold.overload_multiple
            * cold.clients_per_server_s
            * server.weight
            * warmth
            * cold.overload_window as f64
            / 1e9;
        let over = server.sent.len() as f64 / (limit + cold.variance_margin * (limit.sqrt() + 1.0));
        if warmth < 1.0 {
            self.told.worst = self.told.worst.max(over);
            if over > 1.0 && !std::mem::replace(&mut server.tipped, true) {
                self.told.tipped += 1;
            }
        }
    }

    fn tell(&mut self, now: Nanos, at: usize, event: Event) {
        let mut out = std::mem::take(&mut self.out);
        let own = now - self.begun[at];
        self.machines[at].handle(own, WALL + now / MS, event, &mut out);
        for action in out.drain(..) {
            self.obey(now, at, action);
        }
        self.out = out;
    }

    fn obey(&mut self, now: Nanos, at: usize, action: Action) {
        match action {
            Action::Query {
                source: EvidenceSource::Discovery,
                after,
            } => {
                *self.calls.entry((now + after) / (100 * MS)).or_insert(0) += 1;
                if now + after >= self.day.discovery_from {
                    self.push(now + after + WAY, What::Discovery(at));
                }
            }
            Action::SetServiceMode { mode, .. } if mode != ServiceMode::Unavailable => {
                self.serving_since[at].get_or_insert(now);
            }
            Action::Admit { id } => {
                let client = &mut self.clients[id as usize];
                assert_eq!(client.in_at, Nanos::MAX, "a client is let in once");
                client.in_at = now;
                self.told.kept += usize::from(client.firm);
                self.told.admitted += 1;
                self.send(now);
            }
            Action::Defer {
                id,
                retry_after,
                is_final,
            } => {
                self.told.deferred += 1;
                self.told.promised += usize::from(is_final);
                self.clients[id as usize].firm = is_final;
                self.push(now + retry_after + 2 * WAY, What::Client(id as usize));
            }
            Action::LendQuota {
                to,
                number,
                clients,
            } => {
                self.told.lent += clients;
                let to = to[1..].parse().expect("a balancer's name");
                self.push(now + WAY, What::Lent(to, at, number, clients.to_bits()));
            }
            Action::ScopeDecided { scope, .. } => *self.told.scopes.entry(scope).or_insert(0) += 1,
            _ => {}
        }
    }

    /// A balancer's word to some others.
    fn words(&mut self, now: Nanos, at: usize) {
        let machine = &self.machines[at];
        let state = machine.state();
        let word = PeerStatus {
            name: format!("b{at}"),
            site: "site".into(),
            incarnation: 5,
            uptime: now - self.begun[at],
            serving_time: self.serving_since[at].map(|since| now - since),
            serves_in_full: state == RecoveryState::Serving,
            wall_clock: machine.clock_is_sound().then_some(WALL + now / MS),
            previous_clients: machine.previous_clients(),
            deferred_per_s: machine.deferred_per_s(),
        };
        for _ in 0..WORDS_TO {
            let to = self.rng.random_range(0..self.day.fleet);
            let same_half = (to < self.day.fleet / 2) == (at < self.day.fleet / 2);
            let hears = match self.day.peers {
                Peers::All => true,
                Peers::Halves(until) => same_half || now >= until,
                Peers::None => false,
            };
            if hears && to != at && now >= self.begun[to] {
                self.tell(now, to, Event::PeerReported(word.clone()));
                if let Some(heard) = self.heard[at].filter(|_| self.heard[to].is_none()) {
                    let list = List {
                        age: now - heard,
                        reported_at: None,
                        ..self.list(Source::Peer)
                    };
                    self.tell(now, to, Event::ListReceived(list));
                    self.heard[to].get_or_insert(heard);
                }
            }
        }
        self.push(now + WORDS_EVERY, What::Words(at));
    }

    fn comes(&mut self, now: Nanos, id: usize) {
        let at = if self.day.stays {
            self.clients[id].at
        } else {
            self.pick_balancer()
        };
        if now < self.begun[at] {
            return self.push(now + SECOND, What::Client(id));
        }
        self.tell(now, at, Event::AdmissionRequested(self.clients[id].arrival));
    }

    /// Plays until so long after the power's return.
    pub fn play(mut self, until: Nanos) -> Told {
        while let Some(Reverse((now, _, what))) = self.queue.pop().filter(|next| next.0.0 < until) {
            if self.told.admitted == self.day.clients {
                break;
            }
            match what {
                What::Tick(at) => {
                    let is_first = self.machines[at].state() == RecoveryState::NotStarted;
                    let memory = is_first.then(|| self.memory(at)).flatten();
                    let event = if is_first {
                        Event::Started {
                            incarnation: 5,
                            memory,
                        }
                    } else {
                        Event::Tick
                    };
                    self.tell(now, at, event);
                    if let Some(due) = self.machines[at].next_tick_at() {
                        self.push((self.begun[at] + due).max(now + MS), What::Tick(at));
                    }
                }
                What::Words(at) => self.words(now, at),
                What::Client(id) => self.comes(now, id),
                What::Discovery(at) => {
                    let list = self.list(Source::Discovery);
                    let reported_at = Some(WALL + now / MS);
                    self.heard[at] = Some(now);
                    self.tell(
                        now,
                        at,
                        Event::ListReceived(List {
                            reported_at,
                            ..list
                        }),
                    );
                }
                What::Lent(to, from, number, bits) => {
                    let (from, clients) = (format!("b{from}"), f64::from_bits(bits));
                    self.tell(
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
        self.sum_up()
    }

    fn sum_up(mut self) -> Told {
        let worth = |client: &Client| self.config.classes[client.arrival.class].priority_weight;
        let all: f64 = self.clients.iter().map(worth).sum();
        let mut order: Vec<(Nanos, f64)> = self
            .clients
            .iter()
            .map(|one| (one.in_at, worth(one)))
            .collect();
        order.sort_by_key(|one| one.0);
        let mut sum = 0.0;
        let past = order.iter().find(|(_, worth)| {
            sum += worth;
            sum >= 0.99 * all
        });
        self.told.served_at = past.map(|(at, _)| *at).filter(|at| *at != Nanos::MAX);
        let half = |of: &dyn Fn(&Client) -> bool| {
            let mut at: Vec<Nanos> = self
                .clients
                .iter()
                .filter(|one| of(one))
                .map(|one| one.in_at)
                .collect();
            at.sort_unstable();
            at.get(at.len() / 2).copied().unwrap_or(Nanos::MAX)
        };
        self.told.class_half = (0..2)
            .map(|class| half(&|one| one.arrival.class == class))
            .collect();
        let of_account = |account| {
            half(&|one: &Client| one.arrival.class == 1 && one.arrival.account == account)
        };
        self.told.account_half = (0..2).map(of_account).collect();
        let mut groups: BTreeMap<Option<u64>, (Nanos, Nanos)> = BTreeMap::new();
        for client in self
            .clients
            .iter()
            .filter(|one| one.in_at != Nanos::MAX && one.arrival.account == 0)
        {
            let span = groups
                .entry(client.arrival.group)
                .or_insert((Nanos::MAX, 0));
            *span = (span.0.min(client.in_at), span.1.max(client.in_at));
        }
        let sum: Nanos = groups.values().map(|(first, last)| last - first).sum();
        self.told.group_span = sum / (groups.len() as u64).max(1);
        self.told.herd = self.calls.values().copied().max().unwrap_or(0);
        let mix = |sum: u64, client: &Client| sum.wrapping_mul(0x100_0000_01b3) ^ client.in_at;
        self.told.digest = self.clients.iter().fold(7, mix);
        self.told
    }

    /// When an all-seeing refill at the cold rule's limit has let in 99%.
    pub fn all_seeing(&self) -> Nanos {
        let weight: f64 = self.servers.iter().map(|server| server.weight).sum();
        let (mut now, mut sum) = (0, 0.0);
        while sum < 0.99 * self.clients.len() as f64 {
            now += MS;
            sum += self.config.slow_start.overload_multiple
                * self.config.slow_start.clients_per_server_s
                * weight
                * self.warmth(now)
                / 1e3;
        }
        now
    }
}
