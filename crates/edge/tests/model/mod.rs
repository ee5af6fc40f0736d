//! Three sites on a virtual clock. The link of one is lost for ten minutes, while servers of it hang, drain, go and
//! start anew. Datagrams between processes are lost by the odds; whatever crosses the lost link is.

use std::collections::BTreeMap;

use beaconflow_edge::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const STEP: Millis = 100;
pub const T: Millis = 1_000_000_000;
const COLD: Millis = 60_000;
/// A hung server costs a client all of its patience; one that turns it away costs it little.
const PATIENCE: Millis = 1_000;
/// A cold server tips over when it is sent more than this within 1.5 s.
const TIPS: usize = 20;
/// What cold servers may be sent by the whole fleet, in a second.
const COLD_RATE: f64 = 9.0;
const SITES: [&str; 3] = ["moy", "ard", "bray"];

/// How a server is, in truth.
#[derive(Clone, Copy, PartialEq)]
enum Truth {
    Well,
    Hangs,
    SaysMove,
    Away,
}

struct Server {
    listed: Listed,
    truth: Truth,
    sent: Vec<Millis>,
}

struct Process {
    name: String,
    site: &'static str,
    edge: Edge,
    list: Vec<Listed>,
    judgements: HealthReports,
    counts: Counts,
    watch: bool,
    asks_at: Millis,
    tick_at: Millis,
    /// Answers that are on their way.
    answers: Vec<(Millis, Evidence)>,
    standing: BTreeMap<String, usize>,
    leaving: Vec<Move>,
    pace: Option<Pace>,
    cold_credit: f64,
}

/// What came of it.
#[derive(Debug, Default)]
pub struct Outcome10 {
    pub clients: u32,
    pub served: u32,
    /// Connections that the rejoining moved off each server.
    pub moved: BTreeMap<String, usize>,
    /// Most moves of all processes within one second.
    pub moved_at_once: usize,
    /// Questions beyond the lost link by all processes of the site, in each minute of the island.
    pub probes: BTreeMap<u64, u32>,
    /// When each process had merged.
    pub merged: Vec<Millis>,
    /// Most calls for the list within 100 ms after the island.
    pub herd: usize,
    /// Processes that were islanded at the end of the island, and of other sites that ever were.
    pub islanded: usize,
    pub others_islanded: usize,
    pub tipped: usize,
    /// Whether all of the site had the same list in the end.
    pub agreed: bool,
}

pub struct World {
    now: Millis,
    rng: Pcg64Mcg,
    lossy: f64,
    lost: std::ops::Range<Millis>,
    counted: std::ops::Range<Millis>,
    servers: BTreeMap<String, Server>,
    processes: Vec<Process>,
    asked: BTreeMap<Millis, usize>,
    moves: BTreeMap<Millis, usize>,
    pub out: Outcome10,
}

impl World {
    /// So many processes at each of three sites; the link of the first is lost in the span.
    pub fn new(per_site: usize, seed: u64, lossy: f64, lost: std::ops::Range<Millis>) -> World {
        let serving = |n: u32| Listed {
            server: format!("s{n}"),
            ready: Ready::Serving,
            started_ms: 1,
            weight: 1_000,
        };
        let servers: BTreeMap<String, Server> = (0..8)
            .map(|n| {
                (
                    format!("s{n}"),
                    Server {
                        listed: serving(n),
                        truth: Truth::Well,
                        sent: Vec::new(),
                    },
                )
            })
            .collect();
        let list: Vec<Listed> = servers.values().map(|one| one.listed.clone()).collect();
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
                let mut counts = Counts::new(site, per_site as u32, 3_600_000, COLD);
                SITES
                    .iter()
                    .for_each(|other| counts.site_reported(T, other, per_site as u32));
                processes.push(Process {
                    name,
                    site,
                    edge: Edge::new(config, T, Start::Anew),
                    list: list.clone(),
                    judgements: HealthReports::new(),
                    counts,
                    watch: true,
                    asks_at: T + rng.random_range(0..2_000),
                    tick_at: T,
                    answers: Vec::new(),
                    standing: BTreeMap::new(),
                    leaving: Vec::new(),
                    pace: None,
                    cold_credit: 0.0,
                });
            }
        }
        let (asked, moves, out) = (BTreeMap::new(), BTreeMap::new(), Outcome10::default());
        World {
            now: T,
            rng,
            lossy,
            counted: lost.clone(),
            lost,
            servers,
            processes,
            asked,
            moves,
            out,
        }
    }

    /// Counts the clients of this span.
    pub fn count(&mut self, span: std::ops::Range<Millis>) {
        self.counted = span;
    }

    /// Runs until the moment; what happens to the servers is the same with and without the loss.
    pub fn run(&mut self, until: Millis) {
        while self.now < until {
            self.now += STEP;
            self.script();
            for n in 0..self.processes.len() {
                self.live(n);
            }
            if self.now.is_multiple_of(1_000) {
                self.gossip();
            }
            if self.now > T + 30_000 {
                self.clients();
            }
            if self.now == self.lost.end {
                let at = |site: bool| {
                    self.processes
                        .iter()
                        .filter(move |one| (one.site == "moy") == site)
                };
                self.out.islanded = at(true)
                    .filter(|one| one.edge.state() == State::Islanded)
                    .count();
            }
            let others = self.processes.iter().filter(|one| one.site != "moy");
            self.out.others_islanded += others
                .filter(|one| one.edge.state() == State::Islanded)
                .count();
        }
        self.out.moved_at_once = self.moves.values().copied().max().unwrap_or(0);
        self.out.herd = self.asked.values().copied().max().unwrap_or(0);
        let mut seen = self
            .processes
            .iter()
            .filter(|one| one.site == "moy")
            .map(|one| one.list.clone());
        let first = seen.next();
        self.out.agreed = seen.all(|list| Some(&list) == first.as_ref());
    }

    fn script(&mut self) {
        let mut is = |at: u64, server: &str, truth: Truth, ready: Ready, started: bool| {
            if self.now == T + at * 1_000 {
                let one = self.servers.get_mut(server).expect("one of the eight");
                (one.truth, one.listed.ready) = (truth, ready);
                if started {
                    one.listed.started_ms = self.now;
                }
            }
        };
        is(120, "s1", Truth::Hangs, Ready::Serving, false);
        is(240, "s1", Truth::Well, Ready::Serving, false);
        is(260, "s2", Truth::SaysMove, Ready::Draining, false);
        is(300, "s3", Truth::Away, Ready::Gone, false);
        is(330, "s3", Truth::Well, Ready::Serving, true);
        // A drain that the server itself says nothing of.
        is(500, "s4", Truth::Well, Ready::Draining, false);
    }

    fn up(&self, site: &str) -> bool {
        site != "moy" || !self.lost.contains(&self.now)
    }

    fn passes(&mut self) -> bool {
        self.rng.random::<f64>() >= self.lossy
    }

    fn live(&mut self, n: usize) {
        let (now, site) = (self.now, self.processes[n].site);
        let due = |at: Millis, every: Millis| (at + n as Millis * STEP).is_multiple_of(every);
        let mut told: Vec<Evidence> = Vec::new();
        self.processes[n].answers.retain(|(at, evidence)| {
            let comes = *at <= now;
            told.extend(comes.then(|| evidence.clone()));
            !comes
        });
        if due(now, 1_000) {
            for other in SITES.into_iter().filter(|other| *other != site) {
                let place = Decision::Ask {
                    place: Place::Site(other.into()),
                };
                // Membership has given up on what is silent: on the island only the site's probes find it again.
                if self.processes[n].edge.may(now, &place) == Permission::Granted {
                    told.push(self.ping(site, other));
                }
            }
        }
        let up = self.up(site);
        let asks = self.processes[n].edge.may(
            now,
            &Decision::Ask {
                place: Place::Discovery,
            },
        ) == Permission::Granted;
        if self.processes[n].watch && due(now, 2_000) {
            told.push(if up {
                Evidence::WatchStands
            } else {
                Evidence::WatchLost
            });
            self.processes[n].watch = up;
        } else if !self.processes[n].watch && asks && now >= self.processes[n].asks_at {
            *self.asked.entry(now).or_default() += usize::from(now >= self.lost.end);
            self.processes[n].watch = up;
            self.processes[n].asks_at = now + 1_000;
            told.push(if up {
                Evidence::WatchStands
            } else {
                Evidence::WatchLost
            });
        }
        if asks && due(now, 2_000) {
            let answer = if up {
                Evidence::StoreAnswered { took_ms: 5 }
            } else {
                Evidence::StoreFailed
            };
            self.processes[n]
                .answers
                .push((now + if up { 0 } else { 1_000 }, answer));
        }
        if now >= self.processes[n].tick_at {
            told.push(Evidence::Tick);
            self.processes[n].tick_at = self.processes[n].edge.next(now);
        }
        for evidence in told {
            self.tell(n, evidence);
        }
        self.follow_list(n);
        self.move_off(n);
    }

    fn ping(&mut self, site: &str, other: &str) -> Evidence {
        let per_site = self.processes.len() / 3;
        let name = format!("{other}-{}", self.rng.random_range(0..per_site));
        let whole = self.up(site) && self.up(other);
        // There and back, and once more through another process.
        let passes = (0..2).any(|_| self.passes() && self.passes());
        if whole && passes {
            return Evidence::PeerHeard {
                name,
                site: other.into(),
                both_ways: true,
            };
        }
        Evidence::PeerSilent {
            name,
            site: other.into(),
        }
    }

    fn tell(&mut self, n: usize, evidence: Evidence) {
        let (mut actions, now) = (Vec::new(), self.now);
        self.processes[n].edge.handle(now, evidence, &mut actions);
        for action in actions {
            self.act(n, action);
        }
    }

    fn act(&mut self, n: usize, action: Action) {
        let (now, up) = (self.now, self.up(self.processes[n].site));
        let process = &mut self.processes[n];
        match action {
            Action::Probe { place } => {
                if process.site == "moy" && process.edge.state() == State::Islanded && !up {
                    *self
                        .out
                        .probes
                        .entry((now - self.lost.start) / 60_000)
                        .or_default() += 1;
                }
                let answer = match place {
                    Place::Discovery if up => Evidence::DiscoveryAnswered { took_ms: 9 },
                    Place::Discovery => Evidence::DiscoveryFailed,
                    Place::Store if up => Evidence::StoreAnswered { took_ms: 9 },
                    Place::Store => Evidence::StoreFailed,
                    Place::Site(site) => {
                        let outcome = if up {
                            Outcome::Answered { took_ms: 9 }
                        } else {
                            Outcome::Failed
                        };
                        Evidence::ServerBeyond { site, outcome }
                    }
                };
                process
                    .answers
                    .push((now + if up { 0 } else { 1_000 }, answer));
            }
            Action::Rejoin(Step::Ask {
                place: Place::Discovery,
                in_ms,
            }) => process.asks_at = now + in_ms,
            Action::Rejoin(Step::Merge) => self.merge(n),
            _ => {}
        }
    }

    fn merge(&mut self, n: usize) {
        let (now, listed) = (self.now, self.listed());
        let process = &mut self.processes[n];
        let seen = standings(&known(&process.list), &process.judgements, now, COLD);
        let held: Vec<IslandServer> = process
            .list
            .iter()
            .map(|one| IslandServer {
                server: one.server.clone(),
                ready: one.ready,
                started_ms: one.started_ms,
                weight: one.weight,
                ejected_for: seen
                    .get(&one.server)
                    .and_then(|standing| standing.ejected_for),
                established: process.standing.get(&one.server).copied().unwrap_or(0),
            })
            .collect();
        let plan = plan_rejoin(
            now,
            &held,
            &listed,
            ListOrigin {
                is_complete: true,
                same_incarnation: true,
            },
            COLD,
        );
        let (rate, own) = (
            process.edge.config().moves_per_s,
            self.out.merged.len() as u64,
        );
        process.pace = Some(Pace::new(
            rate,
            process.edge.config().processes / 3,
            own * 77 + 1,
            now,
        ));
        process.leaving = plan.moves;
        process.list = listed;
        self.out.merged.push(now);
        self.tell(n, Evidence::Done(Step::Merge));
    }

    fn listed(&self) -> Vec<Listed> {
        self.servers
            .values()
            .map(|one| one.listed.clone())
            .collect()
    }

    /// Where the watch stands and nothing is to be merged first, the list is followed.
    fn follow_list(&mut self, n: usize) {
        let process = &self.processes[n];
        if process.watch && process.edge.state() == State::Linked && self.up(process.site) {
            self.processes[n].list = self.listed();
        }
    }

    fn move_off(&mut self, n: usize) {
        let now = self.now;
        let process = &mut self.processes[n];
        let Some(pace) = &mut process.pace else {
            return;
        };
        let there = process.leaving.iter().map(|one| one.established).sum();
        let mut due = pace.permitted(now, there);
        for one in &mut process.leaving {
            let moved = due.min(one.established);
            (one.established, due) = (one.established - moved, due - moved);
            *process.standing.entry(one.server.clone()).or_default() -= moved;
            *self.out.moved.entry(one.server.clone()).or_default() += moved;
            *self.moves.entry(now / 1_000).or_default() += moved;
        }
    }

    /// Within a site, each second: what each sees to all, and what it knows of servers to three.
    fn gossip(&mut self) {
        let now = self.now;
        let of: Vec<&'static str> = self.processes.iter().map(|one| one.site).collect();
        for n in 0..of.len() {
            let says = self.processes[n].edge.report(now);
            let peers: Vec<usize> = (0..of.len())
                .filter(|m| *m != n && of[*m] == of[n])
                .collect();
            for m in &peers {
                if self.passes() {
                    self.tell(*m, Evidence::PeerSays(says.clone()));
                }
            }
            let recent = |one: &&HealthReport| one.observed_at_ms + 5_000 > now;
            let news: Vec<HealthReport> = self.processes[n]
                .judgements
                .iter()
                .filter(recent)
                .cloned()
                .collect();
            for _ in 0..3 {
                let to = peers[self.rng.random_range(0..peers.len())];
                if self.passes() {
                    news.iter()
                        .for_each(|one| _ = self.processes[to].judgements.put(one.clone()));
                }
            }
        }
    }

    /// Twenty clients a second come to the site `moy`.
    fn clients(&mut self) {
        let per_site = self.processes.len() / 3;
        for _ in 0..2 {
            let n = self.rng.random_range(0..per_site);
            let counts = self.counted.contains(&self.now);
            self.out.clients += u32::from(counts);
            let served = self.client(n);
            self.out.served += u32::from(counts && served);
        }
    }

    fn client(&mut self, n: usize) -> bool {
        let (mut tried, mut waited) = (Vec::new(), 0);
        while waited < PATIENCE && tried.len() < 4 {
            let Some(server) = self.choose(n, &tried) else {
                return false;
            };
            let truth = self.servers[&server].truth;
            let judged = match truth {
                Truth::Well => ServerHealth::Well,
                Truth::Hangs => ServerHealth::Hung,
                Truth::SaysMove => ServerHealth::Drains,
                Truth::Away => ServerHealth::Refused,
            };
            let (now, process) = (self.now, &mut self.processes[n]);
            process
                .judgements
                .observe(now, &process.name.clone(), &server, 0, judged);
            if truth == Truth::Well {
                *process.standing.entry(server.clone()).or_default() += 1;
                self.send(&server);
                return true;
            }
            waited += if truth == Truth::Hangs { PATIENCE } else { 5 };
            tried.push(server);
        }
        false
    }

    /// A server by weight and part, of those that are not passed over; a cold one within this process's part only.
    fn choose(&mut self, n: usize, tried: &[String]) -> Option<String> {
        let now = self.now;
        let process = &mut self.processes[n];
        let seen = standings(&known(&process.list), &process.judgements, now, COLD);
        let part = process.counts.slow_start_quota().share(COLD_RATE);
        process.cold_credit = (process.cold_credit + part * STEP as f64 / 1_000.0).min(1.0);
        let listed_cold = |one: &Listed| now < one.started_ms + COLD;
        let mut open: Vec<(&Listed, u64, bool)> = Vec::new();
        for one in process
            .list
            .iter()
            .filter(|one| one.ready == Ready::Serving && !tried.contains(&one.server))
        {
            let standing = &seen[&one.server];
            let cold = standing.slow_start_since.is_some() || listed_cold(one);
            if standing.ejected_for.is_none() && (!cold || process.cold_credit >= 1.0) {
                open.push((one, one.weight * standing.weight_permille, cold));
            }
        }
        let total: u64 = open.iter().map(|(_, weight, _)| weight).sum();
        let mut at = self.rng.random_range(0..total.max(1));
        for (one, weight, cold) in open {
            if at < weight {
                process.cold_credit -= if cold { 1.0 } else { 0.0 };
                return Some(one.server.clone());
            }
            at -= weight;
        }
        None
    }

    fn send(&mut self, server: &str) {
        let (now, one) = (self.now, self.servers.get_mut(server).expect("known"));
        if now < one.listed.started_ms + COLD {
            one.sent.retain(|at| at + 1_500 > now);
            one.sent.push(now);
            self.out.tipped += usize::from(one.sent.len() > TIPS);
        }
    }
}

fn known(list: &[Listed]) -> Vec<Known> {
    let serving = list.iter().filter(|one| one.ready == Ready::Serving);
    serving
        .map(|one| Known {
            server: one.server.clone(),
            weight: one.weight,
            started_ms: 0,
        })
        .collect()
}
