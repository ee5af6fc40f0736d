//! A model of a fleet: processes with a placement table each, servers, clients, and the messages
//! between processes.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use beaconflow_affinity::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::T0;

const CLIENTS: usize = 10_000;
const PROCESSES: usize = 5;
const SERVERS: usize = 13;
const MESSAGE_LOSS_PROBABILITY: f64 = 0.05;
/// Clients per second, over all processes, that a new version may move.
pub const REBALANCED_PER_S: f64 = 40.0;

/// A failure or an operation in the script of a run.
#[derive(Clone, Copy, Debug)]
pub enum Action {
    Adopt(usize, usize),
    Crash(usize),
    Start(usize, usize),
    Drain(usize),
    Restart(usize),
    SetPartition(bool),
}

#[derive(Clone, Debug)]
enum Event {
    Action(Action),
    Arrive(usize),
    End(usize, Stamp, EndReason),
    Placement(usize, Placement),
    Version(usize, VersionFact),
    ServerUpdate(usize, usize, ServerStatus),
    StartServing(usize),
    Rebalance,
    AntiEntropy,
}

/// The counts of a run.
#[derive(Debug, Default)]
pub struct Stats {
    /// Returns of clients whose server runs and is permitted by the newest version.
    pub expected_returns: u64,
    /// Expected returns that got their server.
    pub successful_returns: u64,
    /// Expected returns that did not get their server although the process knew the last placement,
    /// and the newest version it knew permits it.
    pub moved_by_version: u64,
    /// Of `moved_by_version`, clients that went to the server before their last one.
    pub flaps: u64,
    /// Clients that went to the server before their last one because the fact about the last one
    /// was lost or late.
    pub flaps_by_loss: u64,
    /// Clients that were advised the server they had just been migrated off, by a process that knew
    /// of the migration.
    pub returned_too_early: u64,
    /// The same by a process that did not know of the migration.
    pub returned_too_early_by_loss: u64,
    pub rebalanced: usize,
    pub max_rebalanced_in_10_s: usize,
    /// Clients established at the end on a server that the newest version does not permit.
    pub not_rebalanced: usize,
}

/// The three configurations. The second forbids server 2, renames server 3, removes zone west
/// (server 7), gives tenant 1 other servers and adds server 12; the third restricts tenant 2 too.
/// Classes and weights only matter to the rotation.
fn name(config: usize, server: usize) -> Tag {
    Tag::from_name(&if config > 0 && server == 3 {
        "renamed".into()
    } else {
        format!("server-{server}")
    })
}

fn permits(config: usize, tenant: u64, server: usize) -> bool {
    match (config, tenant) {
        (0, 1) => [4, 5, 8].contains(&server),
        (0, _) => true,
        (_, 1) => [5, 6, 8].contains(&server),
        (2, 2) => server != 9 && server != 2 && server != 7,
        _ => server != 2 && server != 7,
    }
}

fn version(config: usize) -> Version {
    Version([50, 9, 70][config])
}

struct Process {
    table: PlacementTable,
    config: usize,
    is_serving: bool,
    is_alive: bool,
    origin: u64,
    server_status: Vec<ServerStatus>,
    recent_facts: VecDeque<(Millis, Placement)>,
    cursor: u32,
    rebalancer: Rebalancer,
}

/// The servers as a process sees them.
struct ProcessView<'a>(&'a Process);

impl EndpointView for ProcessView<'_> {
    fn server(&self, server: Tag) -> Option<ServerStatus> {
        (0..SERVERS)
            .find(|id| name(self.0.config, *id) == server)
            .map(|id| self.0.server_status[id])
    }

    fn permits(&self, client: &Client, server: Tag) -> bool {
        let id = (0..SERVERS).find(|id| name(self.0.config, *id) == server);
        id.is_some_and(|id| permits(self.0.config, client.tenant.unwrap_or(0), id))
    }
}

#[derive(Clone, Copy, Default)]
struct ClientState {
    process: Option<usize>,
    server: Option<usize>,
    previous_server: Option<usize>,
    stamp: Option<Stamp>,
    was_migrated: bool,
}

pub struct Fleet {
    now: Millis,
    events: BTreeMap<(Millis, u64), Event>,
    event_count: u64,
    rng: Pcg64Mcg,
    processes: Vec<Process>,
    servers: Vec<ServerStatus>,
    clients: Vec<ClientState>,
    is_partitioned: bool,
    newest_config: usize,
    moved_at: Vec<Millis>,
    dead_origins: Vec<u64>,
    stats: Stats,
}

fn client(id: usize) -> Client {
    let id = id as u64;
    Client {
        key: Key(id),
        group: (!id.is_multiple_of(3)).then_some(Group(id / 6)),
        tenant: Some(id / 6 % 4),
    }
}

fn process(origin: u64, config: usize, now: Millis, servers: &[ServerStatus]) -> Process {
    let bound = Bound {
        entries: CLIENTS + 1_000,
        bytes: usize::MAX,
    };
    let mut table = PlacementTable::new(
        Limits {
            bound,
            ttl_s: 3_600,
            return_delay_s: 60,
            max_group_per_server: 8,
        },
        origin,
        origin,
    );
    table.adopt(version(config), 0, now);
    Process {
        table,
        config,
        is_serving: true,
        is_alive: true,
        origin,
        server_status: servers.to_vec(),
        recent_facts: VecDeque::new(),
        cursor: 0,
        rebalancer: Rebalancer::new(REBALANCED_PER_S, PROCESSES as u32, origin),
    }
}

impl Fleet {
    pub fn new(seed: u64) -> Fleet {
        let servers = vec![
            ServerStatus {
                is_ready: true,
                ready_since: 0,
                started_at: 0
            };
            SERVERS
        ];
        Fleet {
            now: T0,
            events: BTreeMap::new(),
            event_count: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
            processes: (0..PROCESSES)
                .map(|process_id| process(process_id as u64, 0, T0, &servers))
                .collect(),
            servers,
            clients: vec![ClientState::default(); CLIENTS],
            is_partitioned: false,
            newest_config: 0,
            moved_at: Vec::new(),
            dead_origins: Vec::new(),
            stats: Stats::default(),
        }
    }

    pub fn run(mut self, script: Vec<(u64, Action)>, run_ms: Millis) -> Stats {
        script
            .into_iter()
            .for_each(|(at, action)| self.schedule(at, Event::Action(action)));
        for id in 0..CLIENTS {
            let at = self.rng.random_range(0..10_000);
            self.schedule(at, Event::Arrive(id));
        }
        self.schedule(0, Event::Rebalance);
        self.schedule(500, Event::AntiEntropy);
        while let Some(((at, _), event)) = self.events.pop_first() {
            if at > T0 + run_ms {
                break;
            }
            self.now = at;
            self.handle(event);
        }
        let newest_config = self.newest_config;
        let ids = (0..CLIENTS).filter(|id| self.clients[*id].process.is_some());
        let forbidden = |id: &usize| {
            let server = self.clients[*id]
                .server
                .expect("an established client has a server");
            !permits(newest_config, client(*id).tenant.unwrap_or(0), server)
        };
        self.stats.not_rebalanced = ids.filter(forbidden).count();
        self.stats.rebalanced = self.moved_at.len();
        let moves_in_10_s = |from: &Millis| {
            self.moved_at
                .iter()
                .filter(|at| (*from..from + 10_000).contains(at))
                .count()
        };
        self.stats.max_rebalanced_in_10_s =
            self.moved_at.iter().map(moves_in_10_s).max().unwrap_or(0);
        self.stats
    }

    fn schedule(&mut self, delay: Millis, event: Event) {
        self.event_count += 1;
        self.events
            .insert((self.now + delay, self.event_count), event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Action(action) => self.apply_action(action),
            Event::Arrive(id) => self.connect(id),
            Event::End(id, stamp, reason) if self.clients[id].stamp == Some(stamp) => {
                self.end_connection(id, reason)
            }
            Event::End(..) => {}
            Event::Placement(to, fact) => self.receive(to, &fact),
            Event::Version(to, fact) => {
                self.processes[to].table.merge_version(&fact, self.now);
            }
            Event::ServerUpdate(process, server, status) => {
                self.processes[process].server_status[server] = status
            }
            Event::StartServing(process) => self.processes[process].is_serving = true,
            Event::Rebalance => self.rebalance(),
            Event::AntiEntropy => self.run_anti_entropy(),
        }
    }

    /// The delay of a message, or `None` if it is lost.
    fn delivery_delay(&mut self, from: usize, to: usize) -> Option<Millis> {
        let crosses_partition = self.is_partitioned && (from < 2) != (to < 2);
        let is_lost = self.rng.random_bool(MESSAGE_LOSS_PROBABILITY)
            || crosses_partition
            || !self.processes[to].is_alive;
        (!is_lost).then(|| self.rng.random_range(10..150))
    }

    fn publish(&mut self, from: usize, fact: Placement) {
        self.processes[from]
            .recent_facts
            .push_back((self.now, fact));
        for to in (0..PROCESSES).filter(|to| *to != from) {
            if let Some(delay) = self.delivery_delay(from, to) {
                self.schedule(delay, Event::Placement(to, fact));
            }
        }
    }

    fn receive(&mut self, to: usize, fact: &Placement) {
        let process = &mut self.processes[to];
        if matches!(
            process.table.merge(fact, self.now),
            MergeOutcome::New | MergeOutcome::Newer
        ) {
            process.recent_facts.push_back((self.now, *fact));
        }
    }

    /// Every second each process sends its recent facts and a page of its table to one peer, and
    /// versions and renames to all.
    fn run_anti_entropy(&mut self) {
        for from in (0..PROCESSES)
            .filter(|from| self.processes[*from].is_alive)
            .collect::<Vec<_>>()
        {
            let now = self.now;
            let process = &mut self.processes[from];
            process.recent_facts.retain(|(at, _)| at + 5_000 > now);
            let mut facts: Vec<Placement> =
                process.recent_facts.iter().map(|(_, fact)| *fact).collect();
            let (page, next) = process.table.page(process.cursor, 500);
            process.cursor = next.unwrap_or(0);
            facts.extend(page);
            process.table.refresh_current_version(now);
            let versions: Vec<VersionFact> = process.table.versions().facts().copied().collect();
            let is_renamed = process.config > 0;
            let to = (from + self.rng.random_range(1..PROCESSES)) % PROCESSES;
            for fact in facts {
                if let Some(delay) = self.delivery_delay(from, to) {
                    self.schedule(delay, Event::Placement(to, fact));
                }
            }
            for to in (0..PROCESSES).filter(|to| *to != from) {
                for fact in &versions {
                    if let Some(delay) = self.delivery_delay(from, to) {
                        self.schedule(delay, Event::Version(to, *fact));
                    }
                }
                if is_renamed && self.delivery_delay(from, to).is_some() {
                    self.processes[to]
                        .table
                        .rename_server(name(0, 3), name(1, 3));
                }
            }
        }
        self.schedule(1_000, Event::AntiEntropy);
    }

    fn apply_action(&mut self, action: Action) {
        match action {
            Action::Adopt(process_id, config) => self.adopt(process_id, config),
            Action::SetPartition(is_partitioned) => self.is_partitioned = is_partitioned,
            Action::Crash(process_id) => {
                (
                    self.processes[process_id].is_alive,
                    self.processes[process_id].is_serving,
                ) = (false, false);
                for id in (0..CLIENTS)
                    .filter(|id| self.clients[*id].process == Some(process_id))
                    .collect::<Vec<_>>()
                {
                    self.end_connection(id, EndReason::BalancerDied);
                }
            }
            Action::Start(process_id, config) => self.start_process(process_id, config),
            Action::Drain(server) => {
                self.servers[server].is_ready = false;
                self.publish_server_status(server);
                for id in (0..CLIENTS)
                    .filter(|id| self.clients[*id].server == Some(server))
                    .collect::<Vec<_>>()
                {
                    if let Some(stamp) = self.clients[id].stamp {
                        let delay = self.rng.random_range(1_500..6_000);
                        self.schedule(
                            delay,
                            Event::End(id, stamp, EndReason::MigratedServerLeaving),
                        );
                    }
                }
            }
            Action::Restart(server) => {
                let now = self.now;
                self.servers[server] = ServerStatus {
                    is_ready: true,
                    ready_since: now,
                    started_at: now,
                };
                self.publish_server_status(server);
            }
        }
    }

    /// Each process sees a change of the list within 1.5 s, at its own time.
    fn publish_server_status(&mut self, server: usize) {
        for process in 0..PROCESSES {
            let delay = self.rng.random_range(20..1_500);
            self.schedule(
                delay,
                Event::ServerUpdate(process, server, self.servers[server]),
            );
        }
    }

    fn adopt(&mut self, process_id: usize, config: usize) {
        let old_config = self.processes[process_id].config;
        let process = &mut self.processes[process_id];
        process.config = config;
        process.table.adopt(version(config), 0, self.now);
        process
            .table
            .rename_server(name(old_config, 3), name(config, 3));
        self.newest_config = config;
        let facts: Vec<VersionFact> = process.table.versions().facts().copied().collect();
        for to in (0..PROCESSES).filter(|to| *to != process_id) {
            for fact in &facts {
                if let Some(delay) = self.delivery_delay(process_id, to) {
                    self.schedule(delay, Event::Version(to, *fact));
                }
            }
        }
        let process = &self.processes[process_id];
        let view = ProcessView(process);
        let must_move = |id: &usize| {
            self.clients[*id].process == Some(process_id)
                && process.table.validity(&client(*id), &view, self.now)
                    == Some(PlacementValidity::NotPermitted)
        };
        let clients: Vec<_> = (0..CLIENTS)
            .filter(must_move)
            .map(|id| (client(id).key, client(id).group))
            .collect();
        self.processes[process_id].rebalancer.set_pending(clients);
    }

    /// The process receives facts from two peers before it serves.
    fn start_process(&mut self, process_id: usize, config: usize) {
        let origin = 100 + self.event_count;
        self.processes[process_id] = process(origin, config, self.now, &self.servers);
        self.processes[process_id].is_serving = false;
        self.dead_origins.iter().for_each(|dead| {
            self.processes[process_id]
                .table
                .record_balancer_death(*dead)
        });
        for from in (0..PROCESSES)
            .filter(|from| *from != process_id)
            .take(2)
            .collect::<Vec<_>>()
        {
            let (facts, _) = self.processes[from].table.page(0, usize::MAX);
            for fact in facts {
                if let Some(delay) = self.delivery_delay(from, process_id) {
                    self.schedule(delay, Event::Placement(process_id, fact));
                }
            }
        }
        self.schedule(2_000, Event::StartServing(process_id));
    }

    fn rebalance(&mut self) {
        for process_id in 0..PROCESSES {
            for key in self.processes[process_id]
                .rebalancer
                .take_permitted(self.now)
            {
                let id = key.0 as usize;
                if self.clients[id].process == Some(process_id) {
                    self.moved_at.push(self.now);
                    self.end_connection(id, EndReason::MigratedServerLeaving);
                }
            }
        }
        self.schedule(100, Event::Rebalance);
    }

    fn end_connection(&mut self, id: usize, reason: EndReason) {
        let client_state = &mut self.clients[id];
        let (Some(process_id), Some(stamp)) = (client_state.process.take(), client_state.stamp)
        else {
            return;
        };
        client_state.was_migrated = matches!(
            reason,
            EndReason::MigratedServerLeaving
                | EndReason::MigratedSlowMessages
                | EndReason::MigratedRebalancing
        );
        if self.processes[process_id].is_alive
            && let Some(fact) = self.processes[process_id].table.record_ended(
                client(id).key,
                stamp,
                reason,
                self.now,
            )
        {
            self.publish(process_id, fact);
        }
        let delay = self.rng.random_range(100..2_000);
        self.schedule(delay, Event::Arrive(id));
    }

    fn connect(&mut self, id: usize) {
        let serving: Vec<usize> = (0..PROCESSES)
            .filter(|process_id| self.processes[*process_id].is_serving)
            .collect();
        let process_id = serving[self.rng.random_range(0..serving.len())];
        let (client, last) = (client(id), self.clients[id]);
        let process = &self.processes[process_id];
        let advice = process
            .table
            .advise(&client, &ProcessView(process), self.now);
        let advised = advice.and_then(|advice| {
            (0..SERVERS).find(|server| name(process.config, *server) == advice.server)
        });
        let known = process
            .table
            .get(client.key)
            .filter(|known| Some(known.stamp) == last.stamp);
        let newest_config = self.newest_known(process_id);
        let server = match advised.filter(|server| self.servers[*server].is_ready) {
            Some(server) => server,
            None => self.pick_by_rotation(
                process_id,
                client.tenant.unwrap_or(0),
                last.server.filter(|_| last.was_migrated),
            ),
        };
        self.record_return(
            id,
            server,
            advised,
            known.map(|known| (known.state, newest_config)),
        );
        self.establish(id, process_id, server);
    }

    /// The newest version that a process knows.
    fn newest_known(&self, process_id: usize) -> usize {
        let versions = self.processes[process_id].table.versions();
        let known = (0..3).filter(|config| versions.get(version(*config)).is_some());
        let newer = |first: usize, second: usize| {
            versions.is_newer(version(second), version(first), self.now)
        };
        known
            .reduce(|first, second| if newer(first, second) { second } else { first })
            .expect("a process knows its own version")
    }

    /// Counts a return. `known` is what the process knew: the state of the client's last placement
    /// and the newest version.
    fn record_return(
        &mut self,
        id: usize,
        server: usize,
        advised: Option<usize>,
        known: Option<(PlacementState, usize)>,
    ) {
        let (last, stats) = (self.clients[id], &mut self.stats);
        let (Some(last_server), Some(stamp)) = (last.server, last.stamp) else {
            return;
        };
        if last.was_migrated {
            let is_early = u64::from(advised == Some(last_server));
            match known {
                Some((PlacementState::Ended(_), _)) => stats.returned_too_early += is_early,
                _ => stats.returned_too_early_by_loss += is_early,
            }
            return;
        }
        let (status, tenant) = (self.servers[last_server], client(id).tenant.unwrap_or(0));
        if !status.is_ready
            || status.started_at > stamp.timestamp_ms()
            || !permits(self.newest_config, tenant, last_server)
        {
            return;
        }
        let is_flap = u64::from(server != last_server && last.previous_server == Some(server));
        stats.expected_returns += 1;
        stats.successful_returns += u64::from(server == last_server);
        if known.is_some_and(|(_, newest_config)| permits(newest_config, tenant, last_server)) {
            stats.moved_by_version += u64::from(server != last_server);
            stats.flaps += is_flap;
        } else {
            stats.flaps_by_loss += is_flap;
        }
    }

    /// The rotation: any ready server that the configuration permits. The first configuration
    /// places no client on server 12.
    fn pick_by_rotation(
        &mut self,
        process_id: usize,
        tenant: u64,
        excluded: Option<usize>,
    ) -> usize {
        let config = self.processes[process_id].config;
        let is_candidate = |server: &usize| {
            self.servers[*server].is_ready
                && permits(config, tenant, *server)
                && Some(*server) != excluded
                && (config > 0 || *server != 12)
        };
        let candidates: BTreeSet<usize> = (0..SERVERS).filter(is_candidate).collect();
        let index = self.rng.random_range(0..candidates.len());
        candidates
            .into_iter()
            .nth(index)
            .expect("some servers are always ready")
    }

    fn establish(&mut self, id: usize, process_id: usize, server: usize) {
        let process = &mut self.processes[process_id];
        let fact = process
            .table
            .record_established(&client(id), name(process.config, server), self.now)
            .expect("the table accepts the placement");
        let last = self.clients[id];
        let previous_server = if last.server == Some(server) {
            last.previous_server
        } else {
            last.server
        };
        self.clients[id] = ClientState {
            process: Some(process_id),
            server: Some(server),
            previous_server,
            stamp: Some(fact.stamp),
            was_migrated: false,
        };
        self.publish(process_id, fact);
        let reason = match self.rng.random_range(0..20) {
            0 => EndReason::MigratedSlowMessages,
            1 | 2 => EndReason::MigratedRebalancing,
            3..6 => EndReason::ClosedByClient,
            _ => EndReason::ConnectionLost,
        };
        let delay = -60_000.0 * self.rng.random_range(1e-9..1.0_f64).ln();
        self.schedule(delay as Millis, Event::End(id, fact.stamp, reason));
    }
}
