//! The fleet of the model: processes with a memory each, servers, clients, and the messages between.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use beaconflow_affinity::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::T0;

const CLIENTS: usize = 10_000;
const PROCESSES: usize = 5;
const SERVERS: usize = 13;
const LOST: f64 = 0.05;
/// Moves a second over all processes that a version may cause.
pub const REDEALT_PER_S: f64 = 40.0;

/// What is done to the fleet.
#[derive(Clone, Copy, Debug)]
pub enum Deed {
    Adopt(usize, usize),
    Die(usize),
    Start(usize, usize),
    Drain(usize),
    Restart(usize),
    Cut(bool),
}

#[derive(Clone, Debug)]
enum Event {
    Deed(Deed),
    Arrive(usize),
    End(usize, Stamp, How),
    Placement(usize, Placement),
    Version(usize, VersionFact),
    Seen(usize, usize, ServerNow),
    Serve(usize),
    Redeal,
    Repair,
}

/// What came of it.
#[derive(Debug, Default)]
pub struct Figures {
    /// Returns of clients whose server stands and is theirs by the newest version.
    pub returns_owed: u64,
    /// Of these, those that got it.
    pub landed: u64,
    /// Of these, those that did not though the process knew where they had stood, and the newest version it had heard
    /// of has them there.
    pub moved_by_version: u64,
    /// Those of these that went back to the server before.
    pub flaps: u64,
    /// Those that went back to the server before because word of the last one was lost or late.
    pub flaps_by_loss: u64,
    /// Those that were advised the server that they had just been moved off, by a process that knew.
    pub led_back: u64,
    /// The same by one that did not.
    pub led_back_by_loss: u64,
    pub redealt: usize,
    pub most_redealt_in_10_s: usize,
    /// Those that stand, at the end, where the newest version has them no longer.
    pub left_behind: usize,
}

/// Three configurations. The second bars server 2, renames 3, has no zone west (7), gives tenant 1 other servers and
/// deals to 12; the third gives tenant 2 a set too. Classes and weights are a matter of the rotation.
fn name(config: usize, server: usize) -> Tag {
    Tag::of(&if config > 0 && server == 3 {
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
    memory: Memory,
    config: usize,
    serves: bool,
    alive: bool,
    origin: u64,
    seen: Vec<ServerNow>,
    recent: VecDeque<(Millis, Placement)>,
    cursor: u32,
    redeal: Rebalancer,
}

/// A process's view.
struct View<'a>(&'a Process);

impl EndpointView for View<'_> {
    fn server(&self, server: Tag) -> Option<ServerNow> {
        (0..SERVERS)
            .find(|id| name(self.0.config, *id) == server)
            .map(|id| self.0.seen[id])
    }

    fn permits(&self, client: &Client, server: Tag) -> bool {
        let id = (0..SERVERS).find(|id| name(self.0.config, *id) == server);
        id.is_some_and(|id| permits(self.0.config, client.tenant.unwrap_or(0), id))
    }
}

#[derive(Clone, Copy, Default)]
struct Stands {
    process: Option<usize>,
    server: Option<usize>,
    before: Option<usize>,
    stamp: Option<Stamp>,
    moved: bool,
}

pub struct Fleet {
    now: Millis,
    events: BTreeMap<(Millis, u64), Event>,
    count: u64,
    rng: Pcg64Mcg,
    processes: Vec<Process>,
    servers: Vec<ServerNow>,
    clients: Vec<Stands>,
    is_cut: bool,
    newest: usize,
    moves: Vec<Millis>,
    dead: Vec<u64>,
    figures: Figures,
}

fn client(id: usize) -> Client {
    let id = id as u64;
    Client {
        key: Key(id),
        group: (!id.is_multiple_of(3)).then_some(Group(id / 6)),
        tenant: Some(id / 6 % 4),
    }
}

fn process(origin: u64, config: usize, now: Millis, servers: &[ServerNow]) -> Process {
    let bound = Bound {
        entries: CLIENTS + 1_000,
        bytes: usize::MAX,
    };
    let mut memory = Memory::new(
        Limits {
            bound,
            ttl_s: 3_600,
            away_s: 60,
            home_most: 8,
        },
        origin,
        origin,
    );
    memory.adopt(version(config), 0, now);
    Process {
        memory,
        config,
        serves: true,
        alive: true,
        origin,
        seen: servers.to_vec(),
        recent: VecDeque::new(),
        cursor: 0,
        redeal: Rebalancer::new(REDEALT_PER_S, PROCESSES as u32, origin),
    }
}

impl Fleet {
    pub fn new(seed: u64) -> Fleet {
        let servers = vec![
            ServerNow {
                is_ready: true,
                ready_since: 0,
                started_at: 0
            };
            SERVERS
        ];
        Fleet {
            now: T0,
            events: BTreeMap::new(),
            count: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
            processes: (0..PROCESSES)
                .map(|at| process(at as u64, 0, T0, &servers))
                .collect(),
            servers,
            clients: vec![Stands::default(); CLIENTS],
            is_cut: false,
            newest: 0,
            moves: Vec::new(),
            dead: Vec::new(),
            figures: Figures::default(),
        }
    }

    pub fn play(mut self, script: Vec<(u64, Deed)>, span: Millis) -> Figures {
        script
            .into_iter()
            .for_each(|(at, deed)| self.after(at, Event::Deed(deed)));
        for id in 0..CLIENTS {
            let at = self.rng.random_range(0..10_000);
            self.after(at, Event::Arrive(id));
        }
        self.after(0, Event::Redeal);
        self.after(500, Event::Repair);
        while let Some(((at, _), event)) = self.events.pop_first() {
            if at > T0 + span {
                break;
            }
            self.now = at;
            self.handle(event);
        }
        let newest = self.newest;
        let ids = (0..CLIENTS).filter(|id| self.clients[*id].process.is_some());
        let barred = |id: &usize| {
            let server = self.clients[*id].server.expect("it stands");
            !permits(newest, client(*id).tenant.unwrap_or(0), server)
        };
        self.figures.left_behind = ids.filter(barred).count();
        self.figures.redealt = self.moves.len();
        let within = |from: &Millis| {
            self.moves
                .iter()
                .filter(|at| (*from..from + 10_000).contains(at))
                .count()
        };
        self.figures.most_redealt_in_10_s = self.moves.iter().map(within).max().unwrap_or(0);
        self.figures
    }

    fn after(&mut self, span: Millis, event: Event) {
        self.count += 1;
        self.events.insert((self.now + span, self.count), event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Deed(deed) => self.act(deed),
            Event::Arrive(id) => self.arrive(id),
            Event::End(id, stamp, how) if self.clients[id].stamp == Some(stamp) => {
                self.end(id, how)
            }
            Event::End(..) => {}
            Event::Placement(to, fact) => self.hear(to, &fact),
            Event::Version(to, fact) => {
                self.processes[to].memory.merge_version(&fact, self.now);
            }
            Event::Seen(process, server, now) => self.processes[process].seen[server] = now,
            Event::Serve(process) => self.processes[process].serves = true,
            Event::Redeal => self.redeal(),
            Event::Repair => self.repair(),
        }
    }

    /// Whether a message gets through, and when.
    fn passes(&mut self, from: usize, to: usize) -> Option<Millis> {
        let is_cut = self.is_cut && (from < 2) != (to < 2);
        let is_lost = self.rng.random_bool(LOST) || is_cut || !self.processes[to].alive;
        (!is_lost).then(|| self.rng.random_range(10..150))
    }

    fn tell(&mut self, from: usize, fact: Placement) {
        self.processes[from].recent.push_back((self.now, fact));
        for to in (0..PROCESSES).filter(|to| *to != from) {
            if let Some(span) = self.passes(from, to) {
                self.after(span, Event::Placement(to, fact));
            }
        }
    }

    fn hear(&mut self, to: usize, fact: &Placement) {
        let process = &mut self.processes[to];
        if matches!(
            process.memory.merge(fact, self.now),
            MergeOutcome::New | MergeOutcome::Newer
        ) {
            process.recent.push_back((self.now, *fact));
        }
    }

    /// Each second: what is new to one peer, a page from another, versions and names to all.
    fn repair(&mut self) {
        for from in (0..PROCESSES)
            .filter(|from| self.processes[*from].alive)
            .collect::<Vec<_>>()
        {
            let now = self.now;
            let process = &mut self.processes[from];
            process.recent.retain(|(at, _)| at + 5_000 > now);
            let mut facts: Vec<Placement> = process.recent.iter().map(|(_, fact)| *fact).collect();
            let (page, next) = process.memory.page(process.cursor, 500);
            process.cursor = next.unwrap_or(0);
            facts.extend(page);
            process.memory.still_runs(now);
            let versions: Vec<VersionFact> = process.memory.versions().facts().copied().collect();
            let is_renamed = process.config > 0;
            let to = (from + self.rng.random_range(1..PROCESSES)) % PROCESSES;
            for fact in facts {
                if let Some(span) = self.passes(from, to) {
                    self.after(span, Event::Placement(to, fact));
                }
            }
            for to in (0..PROCESSES).filter(|to| *to != from) {
                for fact in &versions {
                    if let Some(span) = self.passes(from, to) {
                        self.after(span, Event::Version(to, *fact));
                    }
                }
                if is_renamed && self.passes(from, to).is_some() {
                    self.processes[to].memory.renamed(name(0, 3), name(1, 3));
                }
            }
        }
        self.after(1_000, Event::Repair);
    }

    fn act(&mut self, deed: Deed) {
        match deed {
            Deed::Adopt(at, config) => self.adopt(at, config),
            Deed::Cut(is_cut) => self.is_cut = is_cut,
            Deed::Die(at) => {
                (self.processes[at].alive, self.processes[at].serves) = (false, false);
                for id in (0..CLIENTS)
                    .filter(|id| self.clients[*id].process == Some(at))
                    .collect::<Vec<_>>()
                {
                    self.end(id, How::BalancerDied);
                }
            }
            Deed::Start(at, config) => self.start(at, config),
            Deed::Drain(server) => {
                self.servers[server].is_ready = false;
                self.show(server);
                for id in (0..CLIENTS)
                    .filter(|id| self.clients[*id].server == Some(server))
                    .collect::<Vec<_>>()
                {
                    if let Some(stamp) = self.clients[id].stamp {
                        let span = self.rng.random_range(1_500..6_000);
                        self.after(span, Event::End(id, stamp, How::MovedLeaving));
                    }
                }
            }
            Deed::Restart(server) => {
                let now = self.now;
                self.servers[server] = ServerNow {
                    is_ready: true,
                    ready_since: now,
                    started_at: now,
                };
                self.show(server);
            }
        }
    }

    /// Processes see a change of the list within a second and a half, each at its own time.
    fn show(&mut self, server: usize) {
        for process in 0..PROCESSES {
            let span = self.rng.random_range(20..1_500);
            self.after(span, Event::Seen(process, server, self.servers[server]));
        }
    }

    fn adopt(&mut self, at: usize, config: usize) {
        let before = self.processes[at].config;
        let process = &mut self.processes[at];
        process.config = config;
        process.memory.adopt(version(config), 0, self.now);
        process.memory.renamed(name(before, 3), name(config, 3));
        self.newest = config;
        let facts: Vec<VersionFact> = process.memory.versions().facts().copied().collect();
        for to in (0..PROCESSES).filter(|to| *to != at) {
            for fact in &facts {
                if let Some(span) = self.passes(at, to) {
                    self.after(span, Event::Version(to, *fact));
                }
            }
        }
        let process = &self.processes[at];
        let view = View(process);
        let moved = |id: &usize| {
            self.clients[*id].process == Some(at)
                && process.memory.validity(&client(*id), &view, self.now)
                    == Some(PlacementValidity::NotPermitted)
        };
        let moved: Vec<_> = (0..CLIENTS)
            .filter(moved)
            .map(|id| (client(id).key, client(id).group))
            .collect();
        self.processes[at].redeal.begin(moved);
    }

    /// It hears its peers before it serves.
    fn start(&mut self, at: usize, config: usize) {
        let origin = 100 + self.count;
        self.processes[at] = process(origin, config, self.now, &self.servers);
        self.processes[at].serves = false;
        self.dead
            .iter()
            .for_each(|dead| self.processes[at].memory.balancer_died(*dead));
        for from in (0..PROCESSES)
            .filter(|from| *from != at)
            .take(2)
            .collect::<Vec<_>>()
        {
            let (all, _) = self.processes[from].memory.page(0, usize::MAX);
            for fact in all {
                if let Some(span) = self.passes(from, at) {
                    self.after(span, Event::Placement(at, fact));
                }
            }
        }
        self.after(2_000, Event::Serve(at));
    }

    fn redeal(&mut self) {
        for at in 0..PROCESSES {
            for key in self.processes[at].redeal.take_permitted(self.now) {
                let id = key.0 as usize;
                if self.clients[id].process == Some(at) {
                    self.moves.push(self.now);
                    self.end(id, How::MovedLeaving);
                }
            }
        }
        self.after(100, Event::Redeal);
    }

    fn end(&mut self, id: usize, how: How) {
        let stands = &mut self.clients[id];
        let (Some(at), Some(stamp)) = (stands.process.take(), stands.stamp) else {
            return;
        };
        stands.moved = matches!(how, How::MovedLeaving | How::MovedLate | How::MovedUneven);
        if self.processes[at].alive
            && let Some(fact) =
                self.processes[at]
                    .memory
                    .ended(client(id).key, stamp, how, self.now)
        {
            self.tell(at, fact);
        }
        let span = self.rng.random_range(100..2_000);
        self.after(span, Event::Arrive(id));
    }

    fn arrive(&mut self, id: usize) {
        let serving: Vec<usize> = (0..PROCESSES)
            .filter(|at| self.processes[*at].serves)
            .collect();
        let at = serving[self.rng.random_range(0..serving.len())];
        let (client, had) = (client(id), self.clients[id]);
        let process = &self.processes[at];
        let advice = process.memory.place(&client, &View(process), self.now);
        let advised = advice.and_then(|advice| {
            (0..SERVERS).find(|server| name(process.config, *server) == advice.server)
        });
        let known = process
            .memory
            .get(client.key)
            .filter(|known| Some(known.stamp) == had.stamp);
        let newest = self.newest_known(at);
        let server = match advised.filter(|server| self.servers[*server].is_ready) {
            Some(server) => server,
            None => self.in_turn(
                at,
                client.tenant.unwrap_or(0),
                had.server.filter(|_| had.moved),
            ),
        };
        self.judge(
            id,
            server,
            advised,
            known.map(|known| (known.state, newest)),
        );
        self.stand(id, at, server);
    }

    /// The newest version that a process has heard of.
    fn newest_known(&self, at: usize) -> usize {
        let versions = self.processes[at].memory.versions();
        let known = (0..3).filter(|config| versions.get(version(*config)).is_some());
        let newer =
            |one: usize, two: usize| versions.is_newer(version(two), version(one), self.now);
        known
            .reduce(|one, two| if newer(one, two) { two } else { one })
            .expect("its own")
    }

    /// Counts a return. What the process knew is how the client's last connection is, and the newest version.
    fn judge(
        &mut self,
        id: usize,
        got: usize,
        advised: Option<usize>,
        known: Option<(State, usize)>,
    ) {
        let (had, figures) = (self.clients[id], &mut self.figures);
        let (Some(last), Some(stamp)) = (had.server, had.stamp) else {
            return;
        };
        if had.moved {
            let is_back = u64::from(advised == Some(last));
            match known {
                Some((State::Ended(_), _)) => figures.led_back += is_back,
                _ => figures.led_back_by_loss += is_back,
            }
            return;
        }
        let (now, tenant) = (self.servers[last], client(id).tenant.unwrap_or(0));
        if !now.is_ready || now.started_at > stamp.at() || !permits(self.newest, tenant, last) {
            return;
        }
        let is_flap = u64::from(got != last && had.before == Some(got));
        figures.returns_owed += 1;
        figures.landed += u64::from(got == last);
        if known.is_some_and(|(_, newest)| permits(newest, tenant, last)) {
            figures.moved_by_version += u64::from(got != last);
            figures.flaps += is_flap;
        } else {
            figures.flaps_by_loss += is_flap;
        }
    }

    /// The rotation: any ready server that the configuration permits. Before the second one, 12 gets nothing.
    fn in_turn(&mut self, at: usize, tenant: u64, not: Option<usize>) -> usize {
        let config = self.processes[at].config;
        let fits = |server: &usize| {
            self.servers[*server].is_ready
                && permits(config, tenant, *server)
                && Some(*server) != not
                && (config > 0 || *server != 12)
        };
        let open: BTreeSet<usize> = (0..SERVERS).filter(fits).collect();
        let turn = self.rng.random_range(0..open.len());
        open.into_iter().nth(turn).expect("some are always ready")
    }

    fn stand(&mut self, id: usize, at: usize, server: usize) {
        let process = &mut self.processes[at];
        let fact = process
            .memory
            .established(&client(id), name(process.config, server), self.now)
            .expect("room");
        let had = self.clients[id];
        let before = if had.server == Some(server) {
            had.before
        } else {
            had.server
        };
        self.clients[id] = Stands {
            process: Some(at),
            server: Some(server),
            before,
            stamp: Some(fact.stamp),
            moved: false,
        };
        self.tell(at, fact);
        let how = match self.rng.random_range(0..20) {
            0 => How::MovedLate,
            1 | 2 => How::MovedUneven,
            3..6 => How::Left,
            _ => How::Broke,
        };
        let span = -60_000.0 * self.rng.random_range(1e-9..1.0_f64).ln();
        self.after(span as Millis, Event::End(id, fact.stamp, how));
    }
}
