//! Three sites on a virtual clock. One loses its uplink for ten minutes, while its servers hang,
//! drain, stop and restart. Datagrams between processes are lost at random; whatever crosses the
//! lost uplink is lost.

use std::collections::BTreeMap;

use beaconflow_edge::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const STEP: Millis = 100;
pub const START: Millis = 1_000_000_000;
const SLOW_START_MS: Millis = 60_000;
/// A hung server costs a client its whole timeout; one that rejects it costs little.
const CLIENT_TIMEOUT_MS: Millis = 1_000;
/// A server in slow start is overloaded by more connections than this within 1.5 s.
const OVERLOAD_CONNECTIONS: usize = 20;
/// Clients per second that the whole fleet may send to servers in slow start.
const SLOW_START_CLIENTS_PER_S: f64 = 9.0;
const SITES: [&str; 3] = ["moy", "ard", "bray"];

/// Actual state of a server.
#[derive(Clone, Copy, PartialEq)]
enum ActualHealth {
    Healthy,
    Unresponsive,
    Draining,
    Stopped,
}

struct Server {
    listed: ListedServer,
    actual: ActualHealth,
    connected_at: Vec<Millis>,
}

struct Process {
    name: String,
    site: &'static str,
    edge: Edge,
    list: Vec<ListedServer>,
    reports: HealthReports,
    counts: ProcessCounts,
    watch: bool,
    poll_at: Millis,
    tick_at: Millis,
    /// Answers in transit.
    answers: Vec<(Millis, Evidence)>,
    connections: BTreeMap<String, usize>,
    migrations: Vec<Migration>,
    pacer: Option<MigrationPacer>,
    slow_start_credit: f64,
}

/// Result of a simulation.
#[derive(Debug, Default)]
pub struct SimulationResult {
    pub clients: u32,
    pub served: u32,
    /// Connections that rejoining migrated off each server.
    pub migrated: BTreeMap<String, usize>,
    /// Maximum number of migrations by all processes within one second.
    pub max_migrations_per_s: usize,
    /// Probes over the lost uplink by all processes of the site, in each minute of the outage.
    pub probes: BTreeMap<u64, u32>,
    /// When each process merged.
    pub merged_at: Vec<Millis>,
    /// Maximum number of requests for the list within 100 ms after the outage.
    pub max_simultaneous_polls: usize,
    /// Processes that were isolated at the end of the outage, and processes of other sites that
    /// ever were.
    pub isolated_processes: usize,
    pub isolated_processes_elsewhere: usize,
    pub overload_count: usize,
    /// Whether all processes of the site had the same list in the end.
    pub has_converged: bool,
}

pub struct Simulation {
    now: Millis,
    rng: Pcg64Mcg,
    datagram_loss_rate: f64,
    outage: std::ops::Range<Millis>,
    counted_span: std::ops::Range<Millis>,
    servers: BTreeMap<String, Server>,
    processes: Vec<Process>,
    polls: BTreeMap<Millis, usize>,
    migrations_by_second: BTreeMap<Millis, usize>,
    pub result: SimulationResult,
}

impl Simulation {
    /// `per_site` processes at each of three sites; the first site loses its uplink during
    /// `outage`.
    pub fn new(
        per_site: usize,
        seed: u64,
        datagram_loss_rate: f64,
        outage: std::ops::Range<Millis>,
    ) -> Simulation {
        let serving = |n: u32| ListedServer {
            server: format!("s{n}"),
            readiness: Readiness::Serving,
            started_ms: 1,
            weight: 1_000,
        };
        let servers: BTreeMap<String, Server> = (0..8)
            .map(|n| {
                (
                    format!("s{n}"),
                    Server {
                        listed: serving(n),
                        actual: ActualHealth::Healthy,
                        connected_at: Vec::new(),
                    },
                )
            })
            .collect();
        let list: Vec<ListedServer> = servers
            .values()
            .map(|server| server.listed.clone())
            .collect();
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut processes = Vec::new();
        for site in SITES {
            for n in 0..per_site {
                let name = format!("{site}-{n}");
                let config = Config {
                    site: site.into(),
                    name: name.clone(),
                    seed: rng.random(),
                    processes: 3 * per_site as u32,
                    ..Config::default()
                };
                let mut counts =
                    ProcessCounts::new(site, per_site as u32, 3_600_000, SLOW_START_MS);
                SITES
                    .iter()
                    .for_each(|other| counts.record_site(START, other, per_site as u32));
                processes.push(Process {
                    name,
                    site,
                    edge: Edge::new(config, START, Start::Fresh),
                    list: list.clone(),
                    reports: HealthReports::new(),
                    counts,
                    watch: true,
                    poll_at: START + rng.random_range(0..2_000),
                    tick_at: START,
                    answers: Vec::new(),
                    connections: BTreeMap::new(),
                    migrations: Vec::new(),
                    pacer: None,
                    slow_start_credit: 0.0,
                });
            }
        }
        let (polls, migrations_by_second, result) = (
            BTreeMap::new(),
            BTreeMap::new(),
            SimulationResult::default(),
        );
        Simulation {
            now: START,
            rng,
            datagram_loss_rate,
            counted_span: outage.clone(),
            outage,
            servers,
            processes,
            polls,
            migrations_by_second,
            result,
        }
    }

    /// Counts the clients of this span.
    pub fn count_clients_during(&mut self, span: std::ops::Range<Millis>) {
        self.counted_span = span;
    }

    /// Runs until the given time. The servers behave the same with and without an outage.
    pub fn run(&mut self, until: Millis) {
        while self.now < until {
            self.now += STEP;
            self.apply_script();
            for n in 0..self.processes.len() {
                self.step_process(n);
            }
            if self.now.is_multiple_of(1_000) {
                self.gossip();
            }
            if self.now > START + 30_000 {
                self.add_clients();
            }
            if self.now == self.outage.end {
                let processes = |is_local: bool| {
                    self.processes
                        .iter()
                        .filter(move |process| (process.site == "moy") == is_local)
                };
                self.result.isolated_processes = processes(true)
                    .filter(|process| process.edge.state() == UplinkState::Isolated)
                    .count();
            }
            let others = self
                .processes
                .iter()
                .filter(|process| process.site != "moy");
            self.result.isolated_processes_elsewhere += others
                .filter(|process| process.edge.state() == UplinkState::Isolated)
                .count();
        }
        self.result.max_migrations_per_s = self
            .migrations_by_second
            .values()
            .copied()
            .max()
            .unwrap_or(0);
        self.result.max_simultaneous_polls = self.polls.values().copied().max().unwrap_or(0);
        let mut lists = self
            .processes
            .iter()
            .filter(|process| process.site == "moy")
            .map(|process| process.list.clone());
        let first = lists.next();
        self.result.has_converged = lists.all(|list| Some(&list) == first.as_ref());
    }

    fn apply_script(&mut self) {
        let mut set = |at: u64,
                       server: &str,
                       actual: ActualHealth,
                       readiness: Readiness,
                       has_restarted: bool| {
            if self.now == START + at * 1_000 {
                let server = self
                    .servers
                    .get_mut(server)
                    .expect("the script names a server of the site");
                (server.actual, server.listed.readiness) = (actual, readiness);
                if has_restarted {
                    server.listed.started_ms = self.now;
                }
            }
        };
        set(
            120,
            "s1",
            ActualHealth::Unresponsive,
            Readiness::Serving,
            false,
        );
        set(240, "s1", ActualHealth::Healthy, Readiness::Serving, false);
        set(
            260,
            "s2",
            ActualHealth::Draining,
            Readiness::Draining,
            false,
        );
        set(300, "s3", ActualHealth::Stopped, Readiness::Removed, false);
        set(330, "s3", ActualHealth::Healthy, Readiness::Serving, true);
        // A drain that the server itself does not announce.
        set(500, "s4", ActualHealth::Healthy, Readiness::Draining, false);
    }

    fn is_linked(&self, site: &str) -> bool {
        site != "moy" || !self.outage.contains(&self.now)
    }

    fn is_delivered(&mut self) -> bool {
        self.rng.random::<f64>() >= self.datagram_loss_rate
    }

    fn step_process(&mut self, n: usize) {
        let (now, site) = (self.now, self.processes[n].site);
        let due = |at: Millis, every: Millis| (at + n as Millis * STEP).is_multiple_of(every);
        let mut evidence_batch: Vec<Evidence> = Vec::new();
        self.processes[n].answers.retain(|(at, evidence)| {
            let has_arrived = *at <= now;
            evidence_batch.extend(has_arrived.then(|| evidence.clone()));
            !has_arrived
        });
        if due(now, 1_000) {
            for other in SITES.into_iter().filter(|other| *other != site) {
                let contact = Decision::ContactRemote {
                    target: RemoteTarget::Site(other.into()),
                };
                // Membership has given up on silent processes: during the isolation only the site's
                // probes find them again.
                if self.processes[n].edge.permission(now, &contact) == Permission::Granted {
                    evidence_batch.push(self.ping_site(site, other));
                }
            }
        }
        let is_linked = self.is_linked(site);
        let may_poll = self.processes[n].edge.permission(
            now,
            &Decision::ContactRemote {
                target: RemoteTarget::Discovery,
            },
        ) == Permission::Granted;
        if self.processes[n].watch && due(now, 2_000) {
            evidence_batch.push(if is_linked {
                Evidence::WatchAlive
            } else {
                Evidence::WatchLost
            });
            self.processes[n].watch = is_linked;
        } else if !self.processes[n].watch && may_poll && now >= self.processes[n].poll_at {
            *self.polls.entry(now).or_default() += usize::from(now >= self.outage.end);
            self.processes[n].watch = is_linked;
            self.processes[n].poll_at = now + 1_000;
            evidence_batch.push(if is_linked {
                Evidence::WatchAlive
            } else {
                Evidence::WatchLost
            });
        }
        if may_poll && due(now, 2_000) {
            let answer = if is_linked {
                Evidence::StoreAnswered { latency_ms: 5 }
            } else {
                Evidence::StoreFailed
            };
            self.processes[n]
                .answers
                .push((now + if is_linked { 0 } else { 1_000 }, answer));
        }
        if now >= self.processes[n].tick_at {
            evidence_batch.push(Evidence::Tick);
            self.processes[n].tick_at = self.processes[n].edge.next_tick_at(now);
        }
        for evidence in evidence_batch {
            self.handle(n, evidence);
        }
        self.follow_list(n);
        self.migrate(n);
    }

    fn ping_site(&mut self, site: &str, other: &str) -> Evidence {
        let per_site = self.processes.len() / 3;
        let name = format!("{other}-{}", self.rng.random_range(0..per_site));
        let is_path_up = self.is_linked(site) && self.is_linked(other);
        // There and back, with a second attempt through another process.
        let is_delivered = (0..2).any(|_| self.is_delivered() && self.is_delivered());
        if is_path_up && is_delivered {
            return Evidence::PeerMessage {
                name,
                site: other.into(),
                is_bidirectional: true,
            };
        }
        Evidence::PeerSilent {
            name,
            site: other.into(),
        }
    }

    fn handle(&mut self, n: usize, evidence: Evidence) {
        let (mut actions, now) = (Vec::new(), self.now);
        self.processes[n].edge.handle(now, evidence, &mut actions);
        for action in actions {
            self.execute(n, action);
        }
    }

    fn execute(&mut self, n: usize, action: Action) {
        let (now, is_linked) = (self.now, self.is_linked(self.processes[n].site));
        let process = &mut self.processes[n];
        match action {
            Action::Probe { target } => {
                if process.site == "moy"
                    && process.edge.state() == UplinkState::Isolated
                    && !is_linked
                {
                    *self
                        .result
                        .probes
                        .entry((now - self.outage.start) / 60_000)
                        .or_default() += 1;
                }
                let answer = match target {
                    RemoteTarget::Discovery if is_linked => {
                        Evidence::DiscoveryAnswered { latency_ms: 9 }
                    }
                    RemoteTarget::Discovery => Evidence::DiscoveryFailed,
                    RemoteTarget::Store if is_linked => Evidence::StoreAnswered { latency_ms: 9 },
                    RemoteTarget::Store => Evidence::StoreFailed,
                    RemoteTarget::Site(site) => {
                        let outcome = if is_linked {
                            RequestOutcome::Answered { latency_ms: 9 }
                        } else {
                            RequestOutcome::Failed
                        };
                        Evidence::RemoteServerRequest { site, outcome }
                    }
                };
                process
                    .answers
                    .push((now + if is_linked { 0 } else { 1_000 }, answer));
            }
            Action::Rejoin(RejoinStep::Reconnect {
                target: RemoteTarget::Discovery,
                delay_ms,
            }) => process.poll_at = now + delay_ms,
            Action::Rejoin(RejoinStep::Merge) => self.merge(n),
            _ => {}
        }
    }

    fn merge(&mut self, n: usize) {
        let (now, listed) = (self.now, self.listed());
        let process = &mut self.processes[n];
        let assessments = assess_servers(
            &assessed_servers(&process.list),
            &process.reports,
            now,
            SLOW_START_MS,
        );
        let known: Vec<KnownServer> = process
            .list
            .iter()
            .map(|server| KnownServer {
                server: server.server.clone(),
                readiness: server.readiness,
                started_ms: server.started_ms,
                weight: server.weight,
                ejected_for: assessments
                    .get(&server.server)
                    .and_then(|assessment| assessment.ejected_for),
                connections: process
                    .connections
                    .get(&server.server)
                    .copied()
                    .unwrap_or(0),
            })
            .collect();
        let plan = plan_rejoin(
            now,
            &known,
            &listed,
            ListOrigin {
                is_complete: true,
                is_same_incarnation: true,
            },
            SLOW_START_MS,
        );
        let (rate, merges_before) = (
            process.edge.config().moves_per_s,
            self.result.merged_at.len() as u64,
        );
        process.pacer = Some(MigrationPacer::new(
            rate,
            process.edge.config().processes / 3,
            merges_before * 77 + 1,
            now,
        ));
        process.migrations = plan.migrations;
        process.list = listed;
        self.result.merged_at.push(now);
        self.handle(n, Evidence::RejoinStepDone(RejoinStep::Merge));
    }

    fn listed(&self) -> Vec<ListedServer> {
        self.servers
            .values()
            .map(|server| server.listed.clone())
            .collect()
    }

    /// A process follows the list while its watch is open and no merge is pending.
    fn follow_list(&mut self, n: usize) {
        let process = &self.processes[n];
        if process.watch
            && process.edge.state() == UplinkState::Linked
            && self.is_linked(process.site)
        {
            self.processes[n].list = self.listed();
        }
    }

    fn migrate(&mut self, n: usize) {
        let now = self.now;
        let process = &mut self.processes[n];
        let Some(pacer) = &mut process.pacer else {
            return;
        };
        let available = process
            .migrations
            .iter()
            .map(|migration| migration.connections)
            .sum();
        let mut due = pacer.permitted(now, available);
        for migration in &mut process.migrations {
            let migrated = due.min(migration.connections);
            (migration.connections, due) = (migration.connections - migrated, due - migrated);
            *process
                .connections
                .entry(migration.server.clone())
                .or_default() -= migrated;
            *self
                .result
                .migrated
                .entry(migration.server.clone())
                .or_default() += migrated;
            *self.migrations_by_second.entry(now / 1_000).or_default() += migrated;
        }
    }

    /// Once a second within a site: uplink reports to all peers, health reports to three.
    fn gossip(&mut self) {
        let now = self.now;
        let sites: Vec<&'static str> = self.processes.iter().map(|process| process.site).collect();
        for n in 0..sites.len() {
            let report = self.processes[n].edge.report(now);
            let peers: Vec<usize> = (0..sites.len())
                .filter(|m| *m != n && sites[*m] == sites[n])
                .collect();
            for m in &peers {
                if self.is_delivered() {
                    self.handle(*m, Evidence::PeerReport(report.clone()));
                }
            }
            let recent = |report: &&HealthReport| report.observed_at_ms + 5_000 > now;
            let recent_reports: Vec<HealthReport> = self.processes[n]
                .reports
                .iter()
                .filter(recent)
                .cloned()
                .collect();
            for _ in 0..3 {
                let to = peers[self.rng.random_range(0..peers.len())];
                if self.is_delivered() {
                    recent_reports
                        .iter()
                        .for_each(|report| _ = self.processes[to].reports.insert(report.clone()));
                }
            }
        }
    }

    /// Twenty clients a second arrive at the site `moy`.
    fn add_clients(&mut self) {
        let per_site = self.processes.len() / 3;
        for _ in 0..2 {
            let n = self.rng.random_range(0..per_site);
            let counts = self.counted_span.contains(&self.now);
            self.result.clients += u32::from(counts);
            let served = self.connect_client(n);
            self.result.served += u32::from(counts && served);
        }
    }

    fn connect_client(&mut self, n: usize) -> bool {
        let (mut tried, mut waited_ms) = (Vec::new(), 0);
        while waited_ms < CLIENT_TIMEOUT_MS && tried.len() < 4 {
            let Some(server) = self.choose_server(n, &tried) else {
                return false;
            };
            let actual = self.servers[&server].actual;
            let health = match actual {
                ActualHealth::Healthy => ServerHealth::Healthy,
                ActualHealth::Unresponsive => ServerHealth::Unresponsive,
                ActualHealth::Draining => ServerHealth::Draining,
                ActualHealth::Stopped => ServerHealth::Refused,
            };
            let (now, process) = (self.now, &mut self.processes[n]);
            process
                .reports
                .observe(now, &process.name.clone(), &server, 0, health);
            if actual == ActualHealth::Healthy {
                *process.connections.entry(server.clone()).or_default() += 1;
                self.record_connection(&server);
                return true;
            }
            waited_ms += if actual == ActualHealth::Unresponsive {
                CLIENT_TIMEOUT_MS
            } else {
                5
            };
            tried.push(server);
        }
        false
    }

    /// Chooses by weight and share among servers that are not ejected; one in slow start only
    /// within this process's quota.
    fn choose_server(&mut self, n: usize, tried: &[String]) -> Option<String> {
        let now = self.now;
        let process = &mut self.processes[n];
        let assessments = assess_servers(
            &assessed_servers(&process.list),
            &process.reports,
            now,
            SLOW_START_MS,
        );
        let rate = process
            .counts
            .slow_start_quota()
            .of_limit(SLOW_START_CLIENTS_PER_S);
        process.slow_start_credit =
            (process.slow_start_credit + rate * STEP as f64 / 1_000.0).min(1.0);
        let is_listed_recently = |server: &ListedServer| now < server.started_ms + SLOW_START_MS;
        let mut candidates: Vec<(&ListedServer, u64, bool)> = Vec::new();
        for server in process.list.iter().filter(|server| {
            server.readiness == Readiness::Serving && !tried.contains(&server.server)
        }) {
            let assessment = &assessments[&server.server];
            let is_slow_starting =
                assessment.slow_start_since.is_some() || is_listed_recently(server);
            if assessment.ejected_for.is_none()
                && (!is_slow_starting || process.slow_start_credit >= 1.0)
            {
                candidates.push((
                    server,
                    server.weight * assessment.weight_permille,
                    is_slow_starting,
                ));
            }
        }
        let total: u64 = candidates.iter().map(|(_, weight, _)| weight).sum();
        let mut at = self.rng.random_range(0..total.max(1));
        for (server, weight, is_slow_starting) in candidates {
            if at < weight {
                process.slow_start_credit -= if is_slow_starting { 1.0 } else { 0.0 };
                return Some(server.server.clone());
            }
            at -= weight;
        }
        None
    }

    fn record_connection(&mut self, server: &str) {
        let (now, server) = (
            self.now,
            self.servers
                .get_mut(server)
                .expect("the client chose a server of the site"),
        );
        if now < server.listed.started_ms + SLOW_START_MS {
            server.connected_at.retain(|at| at + 1_500 > now);
            server.connected_at.push(now);
            self.result.overload_count +=
                usize::from(server.connected_at.len() > OVERLOAD_CONNECTIONS);
        }
    }
}

fn assessed_servers(list: &[ListedServer]) -> Vec<AssessedServer> {
    let serving = list
        .iter()
        .filter(|server| server.readiness == Readiness::Serving);
    serving
        .map(|server| AssessedServer {
            server: server.server.clone(),
            weight: server.weight,
            started_ms: 0,
        })
        .collect()
}
