//! What a gateway remembers: plain records and their sums. Nothing is decided here; see `rules.rs`.

use std::collections::{BTreeMap, BTreeSet};

use crate::api::*;
use crate::fleet::{Able, Fleet};
use crate::pace::Pace;
use crate::span::{seconds, within};

/// Group orders kept at once, so that memory stays bounded.
const MOST_ORDERS: usize = 1024;
/// Requests over which shares of groups are taken, before what was counted is halved.
const MOST_SEEN: f64 = 1000.0;
/// Span over which this gateway's rate of placements is averaged, in seconds.
const RATE_SECONDS: f64 = 10.0;
/// Span over which broken connections are counted, in seconds.
const RESET_SECONDS: f64 = 5.0;
/// Housekeeping periods between two log lines at least.
const LOG_TICKS: u64 = 10;
/// The log counts servers with strain within this span, in nanoseconds, and with so many failures in a row.
const LOG_STRAIN: Nanos = 2_500_000_000;
const LOG_STRIKES: u32 = 2;

/// A server, as this gateway sees it.
pub(crate) struct Server {
    pub(crate) entry: ServerEntry,
    pub(crate) ready: bool,
    /// When its next turn is due, in rounds of a server of weight 1.
    pub(crate) due: f64,
    /// What this gateway holds there.
    pub(crate) held: Held,
    /// Failed set-ups in a row, halved by one that stands.
    pub(crate) strikes: u32,
    /// It is passed over until then.
    pub(crate) shun_until: Nanos,
    /// Own load above which it takes no more.
    pub(crate) ceiling: f64,
    /// Own load at which its latest spell of strain began.
    pub(crate) tipped_at: f64,
    /// When it last showed strain.
    pub(crate) strained_at: Option<Nanos>,
    /// When messages there were last late.
    pub(crate) late_at: Option<Nanos>,
    /// Standing connections that broke there lately.
    resets: FadingCount,
    /// It takes nothing new until then, after a sign of strain.
    pub(crate) held_until: Nanos,
    /// What it last answered to a probe.
    pub(crate) told: Option<Told>,
    /// Share of its capacity that it has at least, when last counted.
    pub(crate) warmth: f64,
    /// Its weight when it holds nothing.
    pub(crate) size: f64,
    /// When a client was last held against its odds, while it was cold.
    asked_cold_at: Nanos,
}

/// A server's answer to a probe, or that there was none.
#[derive(Clone, Copy)]
pub(crate) struct Told {
    pub(crate) at: Nanos,
    /// It takes nothing new.
    pub(crate) full: bool,
}

/// What speaks against a server for a request, the gravest first.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Faults {
    pub(crate) ill: bool,
    /// The request's last attempt failed there.
    pub(crate) failed_last: bool,
    /// It holds well over this gateway's mean.
    pub(crate) crowded: bool,
}

/// Loads of connections.
#[derive(Clone, Default)]
pub(crate) struct Held {
    /// Sum of the loads that are known, in microseconds of work a second.
    known: f64,
    /// Connections of unknown load, by class.
    unknown: Vec<u32>,
}

/// Where a request is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Phase {
    Waiting,
    Out(ServerId),
    Standing(ServerId),
}

/// A request that is owed an answer, or the connection that it became.
pub(crate) struct Request {
    pub(crate) arrival: ConnectRequest,
    pub(crate) phase: Phase,
    pub(crate) attempts: u32,
    /// When its latest attempt was sent.
    pub(crate) sent_at: Nanos,
    /// The server and moment of the first send that may have run.
    pub(crate) may_have_run: Option<(ServerId, Nanos)>,
    /// The server that failed last.
    pub(crate) last: Option<ServerId>,
    /// Servers that were probed for it.
    pub(crate) asked: u32,
    /// The server whose answer it waits for.
    asks: Option<ServerId>,
    /// The timer that it waits for.
    timer: Option<TimerId>,
    /// How long the line at the door takes that there was no room in for it.
    pub(crate) drain: Option<Nanos>,
}

/// What a timer is for.
pub(crate) enum Due {
    Retry(RequestId),
    Housekeeping,
    AskList,
}

/// The recent failed placements of a client key.
struct Failures {
    count: u32,
    last: Nanos,
}

/// A running mean.
#[derive(Clone, Default)]
pub(crate) struct Mean {
    sum: f64,
    count: f64,
}

/// A count that fades over a span.
#[derive(Default)]
pub(crate) struct FadingCount {
    value: f64,
    at: Nanos,
}

/// What a gateway counts of its own doings.
#[derive(Default)]
pub(crate) struct Tally {
    pub(crate) started: bool,
    /// Ready servers when last counted.
    pub(crate) ready: usize,
    /// Calls for the list that failed in a row.
    pub(crate) list_failures: u32,
    /// Sum of the weights of all ready servers.
    pub(crate) weights: f64,
    pub(crate) fleet: Fleet,
    pub(crate) able: Able,
    /// Clients that came here for the first time, lately.
    pub(crate) new: FadingCount,
    /// What the farm bears of this gateway, when last counted; see [`Able::borne`].
    pub(crate) borne: f64,
    /// When a client was last held against the odds of cold servers.
    pub(crate) asked_cold_at: Nanos,
    /// Housekeeping periods so far.
    pub(crate) ticks: u64,
    /// Refusals since the last log line.
    pub(crate) refused: u64,
    pub(crate) pace: Pace,
}

impl Tally {
    /// The counts of one of so many gateways.
    pub(crate) fn of(gateways: u32) -> Tally {
        Tally {
            fleet: Fleet::of(gateways),
            pace: Pace::of(gateways),
            ..Tally::default()
        }
    }

    /// Other settings hold from now on. What was learnt of the pace holds within the bounds of as many gateways as there
    /// are now; it is forgotten where it was learnt by other aims or limits.
    pub(crate) fn follow(&mut self, (before, after): (&Settings, &Settings)) {
        self.fleet = Fleet::of(after.balancers);
        if (&before.classes, &before.limits) == (&after.classes, &after.limits) {
            self.pace.share_with(after.balancers);
        } else {
            self.pace = Pace::of(after.balancers);
        }
    }

    /// A client came here for the first time.
    pub(crate) fn came_anew(&mut self, now: Nanos) {
        self.new.add(now, 1.0, RATE_SECONDS);
    }

    /// Counts what the ready servers can do, and what the fleet bears of this gateway.
    pub(crate) fn count_able(&mut self, now: Nanos, books: &Books, rules: &ServerRules) {
        // What could not be sent while no server was cold is not made up for.
        if self.able.cold == 0.0 {
            self.asked_cold_at = now;
        }
        self.able = books.able();
        let new_per_s = self.new.at(now, RATE_SECONDS) / RATE_SECONDS;
        self.borne = self.able.borne(rules, books.on_warm(), new_per_s);
    }
}

/// All records of one gateway.
#[derive(Default)]
pub(crate) struct Books {
    pub(crate) servers: BTreeMap<ServerId, Server>,
    pub(crate) requests: BTreeMap<RequestId, Request>,
    /// The ready servers by when their turns are due; the numbers are positive, so their bits keep the order.
    turns: BTreeSet<(u64, ServerId)>,
    /// When the latest turn was due.
    round: f64,
    /// Sum over all servers.
    held: Held,
    /// Load in all above which this gateway takes no more, and what it held when that was first cut.
    pub(crate) ceiling: f64,
    pub(crate) tipped_at: f64,
    /// Load of a connection, by class, as noted so far.
    pub(crate) class_loads: Vec<Mean>,
    failures: BTreeMap<ClientKey, Failures>,
    /// Standing connections that broke lately, on all servers.
    resets: FadingCount,
    /// The requests that wait for the answers of servers.
    asking: BTreeMap<ServerId, BTreeSet<RequestId>>,
    /// Requests of each group lately, and of all.
    seen: BTreeMap<GroupId, f64>,
    seen_in_all: f64,
    /// How many of each group's connections a server holds or is being sent.
    groups: BTreeMap<GroupId, BTreeMap<ServerId, u32>>,
    /// Ready servers in the order of each group met since the list last changed.
    orders: BTreeMap<GroupId, Vec<ServerId>>,
    /// Set-ups under way.
    out: usize,
    /// Where weights fall with what servers hold: the greatest weight of each machine type so far.
    sizes: Option<BTreeMap<u64, f64>>,
    timers: BTreeMap<TimerId, Due>,
    next_timer: u64,
}

impl Books {
    pub(crate) fn new(settings: &Settings) -> Books {
        let (classes, sizes) = (
            settings.classes.len(),
            settings.has_live_weights.then(BTreeMap::new),
        );
        let held = Held {
            known: 0.0,
            unknown: vec![0; classes],
        };
        let class_loads = vec![Mean::default(); classes];
        Books {
            sizes,
            class_loads,
            held,
            ceiling: f64::INFINITY,
            ..Books::default()
        }
    }

    /// Other settings hold from now on: there is room for all of their classes, no server is passed over for longer than
    /// they say, and what was held against servers by other aims is forgotten.
    pub(crate) fn follow(&mut self, now: Nanos, (before, after): (&Settings, &Settings)) {
        let classes = after.classes.len();
        self.class_loads.resize_with(classes, Mean::default);
        self.held.unknown.resize(classes, 0);
        if before.has_live_weights != after.has_live_weights {
            self.sizes = after.has_live_weights.then(|| self.greatest_weights());
        }
        let longest = now.saturating_add(after.longest_deadline());
        let same_aims = before.classes == after.classes;
        for server in self.servers.values_mut() {
            server.held.unknown.resize(classes, 0);
            server.shun_until = server.shun_until.min(longest);
            if !same_aims {
                server.forget_strain();
            }
        }
        if !same_aims {
            (self.ceiling, self.tipped_at) = (f64::INFINITY, 0.0);
        }
    }

    /// The greatest weight of each machine type now.
    fn greatest_weights(&self) -> BTreeMap<u64, f64> {
        let mut sizes = BTreeMap::new();
        for server in self.servers.values() {
            let size = sizes.entry(server.entry.machine_type).or_insert(0.0_f64);
            *size = size.max(server.weight());
        }
        sizes
    }

    /// The requests that wait for an attempt and are such.
    pub(crate) fn waiting_that(&self, is_such: impl Fn(&Request) -> bool) -> Vec<RequestId> {
        let waits = |request: &Request| request.phase == Phase::Waiting && is_such(request);
        self.requests
            .iter()
            .filter(|(_, request)| waits(request))
            .map(|(id, _)| *id)
            .collect()
    }

    /// Drops the timer for the next call for the list, if one is set; says whether one was.
    pub(crate) fn calls_off_asking(&mut self) -> bool {
        let before = self.timers.len();
        self.timers.retain(|_, due| !matches!(due, Due::AskList));
        self.timers.len() < before
    }

    /// The servers that take new work.
    pub(crate) fn ready(&self) -> impl Iterator<Item = &Server> {
        self.servers.values().filter(|server| server.ready)
    }

    /// The ready servers, with what they hold and the weights by which that is judged.
    pub(crate) fn loads_of_ready(&self) -> Vec<(ServerId, f64, f64)> {
        let seen = |server: &Server| {
            (
                server.entry.server,
                self.load(server),
                server.weight_to_come(),
            )
        };
        self.ready().map(seen).collect()
    }

    /// The servers that drain or are gone; those that an operator took out are not among them.
    pub(crate) fn leaving(&self) -> Vec<ServerId> {
        let leaves =
            |server: &&Server| !server.ready && server.entry.state != ServerState::OutOfService;
        self.servers
            .values()
            .filter(leaves)
            .map(|server| server.entry.server)
            .collect()
    }

    /// The ready servers, the one whose turn is due first.
    pub(crate) fn in_turn(&self) -> impl Iterator<Item = ServerId> {
        self.turns.iter().map(|(_, id)| *id)
    }

    /// Enters a server among the turns if it is ready and not there; strikes it off if it is not ready.
    /// `lead` is how far ahead of the present round its first turn lies.
    pub(crate) fn enter_turns(&mut self, id: ServerId, lead: f64) {
        let Some(server) = self.servers.get_mut(&id) else {
            return;
        };
        let listed = self.turns.contains(&(server.due.to_bits(), id));
        if listed && !server.ready {
            self.turns.remove(&(server.due.to_bits(), id));
        }
        if server.ready && !listed {
            server.due = self.round + lead;
            self.turns.insert((server.due.to_bits(), id));
        }
    }

    /// Books a failure: `strikes` are what the server has from now on, it is passed over until then.
    pub(crate) fn strike(&mut self, id: ServerId, strikes: u32, until: Nanos) {
        if let Some(server) = self.servers.get_mut(&id) {
            server.strikes = strikes;
            server.shun_until = server.shun_until.max(until);
        }
    }

    /// A set-up that stands wins back half of a server's standing, and ends that it is passed over.
    pub(crate) fn win_back(&mut self, id: ServerId) {
        if let Some(server) = self.servers.get_mut(&id) {
            server.strikes /= 2;
            server.shun_until = 0;
        }
    }

    /// A server has taken its turn; the next one is `pace` later. Turns that it missed are not made up for.
    pub(crate) fn take_turn(&mut self, id: ServerId, pace: f64) {
        let Some(server) = self.servers.get_mut(&id) else {
            return;
        };
        if self.turns.remove(&(server.due.to_bits(), id)) {
            self.round = self.round.max(server.due);
            server.due = server.due.max(self.round - pace) + pace;
            self.turns.insert((server.due.to_bits(), id));
        }
    }

    /// Notes that messages there are late.
    pub(crate) fn was_late(&mut self, now: Nanos, id: ServerId) {
        if let Some(server) = self.servers.get_mut(&id) {
            server.late_at = Some(now);
        }
    }

    /// How many ready servers this gateway can tell of, since it holds a load there or messages were late
    /// within the span, and on how many of them they were late.
    pub(crate) fn late_of_known(&self, now: Nanos, span: Nanos) -> (f64, f64) {
        self.ready().fold((0.0, 0.0), |(known, late), server| {
            let is_late = within(server.late_at, now, span);
            let is_known = is_late || self.load(server) > 0.0;
            (
                known + f64::from(u8::from(is_known)),
                late + f64::from(u8::from(is_late)),
            )
        })
    }

    /// Counts a standing connection that broke, while it is still held; gives how many times more broke there lately
    /// than its part of what this gateway holds would have.
    pub(crate) fn reset_share(&mut self, now: Nanos, at: ServerId) -> f64 {
        let part = self.load_at(at).unwrap_or(0.0) / self.load_of_all().max(f64::MIN_POSITIVE);
        self.resets.add(now, 1.0, RESET_SECONDS);
        let Some(server) = self.servers.get_mut(&at) else {
            return 0.0;
        };
        server.resets.add(now, 1.0, RESET_SECONDS);
        server.resets.value() / (self.resets.value() * part).max(f64::MIN_POSITIVE)
    }

    /// A line for the log, once in [`LOG_TICKS`] housekeeping periods and only in trouble: servers lately
    /// strained, servers with failures in a row, and refusals since the last line.
    pub(crate) fn trouble(&self, now: Nanos, tally: &mut Tally) -> Option<String> {
        tally.ticks += 1;
        if !tally.ticks.is_multiple_of(LOG_TICKS) {
            return None;
        }
        let (ready, refused) = (tally.ready, tally.refused);
        let strained = self
            .ready()
            .filter(|server| server.strained_within(now, LOG_STRAIN))
            .count();
        let failing = self
            .ready()
            .filter(|server| server.strikes >= LOG_STRIKES)
            .count();
        if strained == 0 && failing == 0 && refused == 0 {
            return None;
        }
        tally.refused = 0;
        let door = format!("under way {} of {:.0}", self.out, tally.pace.window());
        Some(format!(
            "ready {ready}, strained {strained}, failing {failing}, refused {refused}, {door}"
        ))
    }

    /// Takes a list entry in. What was held against a process that has started anew is forgotten.
    pub(crate) fn learn(&mut self, entry: ServerEntry) {
        let classes = self.class_loads.len();
        let server = self
            .servers
            .entry(entry.server)
            .or_insert_with(|| Server::new(entry.clone(), classes));
        if entry.started_at != server.entry.started_at {
            (server.strikes, server.shun_until, server.held_until) = (0, 0, 0);
            (server.ceiling, server.told, server.warmth) = (f64::INFINITY, None, 1.0);
        }
        server.ready = entry.state == ServerState::Ready;
        let (id, before) = (entry.server, server.weight());
        server.entry = entry;
        if let Some(sizes) = &mut self.sizes {
            let size = sizes.entry(server.entry.machine_type).or_insert(0.0);
            *size = size.max(server.weight());
        }
        // Guards against a server whose weight rises but whose next turn still lies where the old one put it.
        let (due, after) = (server.due, server.weight());
        if before != after && self.turns.remove(&(due.to_bits(), id)) {
            server.due = self.round + (due - self.round).max(0.0) * before / after;
            self.turns.insert((server.due.to_bits(), id));
        }
    }

    /// The ready servers in a group's own order; worked out once for each list.
    pub(crate) fn order_of(&mut self, group: GroupId) -> &[ServerId] {
        if self.orders.len() >= MOST_ORDERS {
            self.orders.clear();
        }
        self.orders.entry(group).or_insert_with(|| {
            let ready = self.servers.iter().filter(|(_, server)| server.ready);
            let mut ranked: Vec<(f64, ServerId)> = ready
                .map(|(id, server)| (server.rank_for(group), *id))
                .collect();
            ranked.sort_by(|one, other| one.0.total_cmp(&other.0));
            ranked.into_iter().map(|(_, id)| id).collect()
        })
    }

    /// The servers that hold any of a group for this gateway, the one with the most of it first.
    fn holders_of(&self, group: GroupId) -> Vec<ServerId> {
        let Some(places) = self.groups.get(&group) else {
            return Vec::new();
        };
        let mut held: Vec<(u32, ServerId)> =
            places.iter().map(|(id, count)| (*count, *id)).collect();
        held.sort_by(|one, other| other.0.cmp(&one.0).then(one.1.cmp(&other.1)));
        held.into_iter().map(|(_, id)| id).collect()
    }

    /// The ready servers: those that hold any of a group, then the others in its own order from a place on.
    pub(crate) fn places_from(&mut self, group: GroupId, first: usize) -> Vec<ServerId> {
        let mut places = self.holders_of(group);
        places.retain(|id| self.is_ready(*id));
        let held = places.len();
        let order = self.order_of(group);
        let (before, after) = order.split_at(first.min(order.len()));
        for id in after.iter().chain(before) {
            if !places[..held].contains(id) {
                places.push(*id);
            }
        }
        places
    }

    /// Counts a request of a group or of none; what lies far back fades.
    fn see(&mut self, group: Option<GroupId>) {
        if let Some(group) = group {
            *self.seen.entry(group).or_insert(0.0) += 1.0;
        }
        self.seen_in_all += 1.0;
        if self.seen_in_all > MOST_SEEN {
            self.seen_in_all /= 2.0;
            self.seen.values_mut().for_each(|count| *count /= 2.0);
            self.seen.retain(|_, count| *count > 0.5);
        }
    }

    /// How many requests of a group came lately, and of all groups.
    pub(crate) fn seen_of(&self, group: GroupId) -> (f64, f64) {
        (
            self.seen.get(&group).copied().unwrap_or(0.0),
            self.seen_in_all,
        )
    }

    /// Notes how warm and how large servers are; groups' orders follow. Guards against cold servers that pass for many
    /// times as large as the warm ones, since they hold nothing yet.
    pub(crate) fn warm_up(&mut self, now: Nanos, warmth: impl Fn(&ServerEntry) -> f64) {
        for server in self.servers.values_mut() {
            let size_of =
                |sizes: &BTreeMap<u64, f64>| sizes.get(&server.entry.machine_type).copied();
            let size = self
                .sizes
                .as_ref()
                .and_then(size_of)
                .unwrap_or_else(|| server.weight());
            let seen = (warmth(&server.entry), size);
            // Guards against a server that is new to all gateways, of which each would count as long kept waiting.
            if seen.0 < 1.0 && server.is_warm() {
                server.asked_cold_at = now;
            }
            if seen != (server.warmth, server.size) {
                (server.warmth, server.size) = seen;
                self.orders.clear();
            }
        }
    }

    /// A client is held against a server's odds; nothing if it is warm. Gives what it can do, and how long ago that was
    /// last so.
    pub(crate) fn asks_cold(&mut self, now: Nanos, id: ServerId) -> Option<(f64, Nanos)> {
        let server = self
            .servers
            .get_mut(&id)
            .filter(|server| !server.is_warm())?;
        let waited = now.saturating_sub(std::mem::replace(&mut server.asked_cold_at, now));
        Some((server.size * server.warmth, waited))
    }

    /// What the ready servers can do.
    pub(crate) fn able(&self) -> Able {
        let mut able = Able {
            each: self.sizes.is_some(),
            ..Able::default()
        };
        self.ready()
            .for_each(|server| able.add(server.size, server.warmth));
        able
    }

    /// Connections that this gateway holds on warm servers, heavy ones counted for more.
    pub(crate) fn on_warm(&self) -> f64 {
        let warm = self.ready().filter(|server| server.is_warm());
        warm.map(|server| self.load(server)).sum::<f64>() / self.one()
    }

    /// What this gateway's part on cold servers, by what they can do, has more than it holds there.
    pub(crate) fn lack_on_cold(&self, able: &Able) -> f64 {
        let cold = self.ready().filter(|server| !server.is_warm());
        let held: f64 = cold.map(|server| self.load(server)).sum();
        self.load_of_all() * able.cold / able.now.max(f64::MIN_POSITIVE) - held
    }

    /// The connections that stand at warm servers though their groups begin with cold ones, or that have no group.
    pub(crate) fn led_to_cold(&mut self) -> Vec<RequestId> {
        let on_warm = |(id, request): (&RequestId, &Request)| match request.phase {
            Phase::Standing(at) if self.servers.get(&at)?.is_warm() => {
                Some((*id, request.arrival.group))
            }
            _ => None,
        };
        let mut led: Vec<(RequestId, Option<GroupId>)> =
            self.requests.iter().filter_map(on_warm).collect();
        led.retain(|(_, group)| {
            let first = group.and_then(|group| self.order_of(group).first().copied());
            first.is_none_or(|first| !self.servers[&first].is_warm())
        });
        led.into_iter().map(|(id, _)| id).collect()
    }

    /// What one connection asks for, on average.
    pub(crate) fn one(&self) -> f64 {
        (self.load_of_all() / self.requests.len().max(1) as f64).max(f64::MIN_POSITIVE)
    }

    /// To be called after every change of the list.
    pub(crate) fn forget_orders(&mut self) {
        self.orders.clear();
    }

    pub(crate) fn open(&mut self, arrival: ConnectRequest, held_by: Option<ServerId>) {
        let id = arrival.request;
        let phase = held_by.map_or(Phase::Waiting, Phase::Standing);
        let attempts = u32::from(held_by.is_some());
        self.see(arrival.group);
        let request = Request {
            arrival,
            phase,
            attempts,
            sent_at: 0,
            may_have_run: None,
            last: None,
            asked: 0,
            asks: None,
            timer: None,
            drain: None,
        };
        self.requests.insert(id, request);
        if let Some(server) = held_by {
            self.put_on(id, server);
        }
    }

    /// Counts a request's load and its group on a server; [`Books::take_off`] undoes it.
    fn put_on(&mut self, id: RequestId, at: ServerId) {
        let Some(Request { arrival, .. }) = self.requests.get(&id) else {
            return;
        };
        if let Some(server) = self.servers.get_mut(&at) {
            server.held.add(arrival.class, arrival.expected_load);
            self.held.add(arrival.class, arrival.expected_load);
        }
        if let Some(group) = arrival.group {
            *self.groups.entry(group).or_default().entry(at).or_insert(0) += 1;
        }
    }

    /// Changes where an operator wants a request.
    pub(crate) fn pin(&mut self, id: RequestId, pin: Option<Pin>) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.arrival.pin = pin;
        }
    }

    /// Whether a server takes new work.
    pub(crate) fn is_ready(&self, id: ServerId) -> bool {
        self.servers.get(&id).is_some_and(|server| server.ready)
    }

    /// Whether a server is not passed over.
    pub(crate) fn is_well(&self, now: Nanos, id: ServerId) -> bool {
        self.servers
            .get(&id)
            .is_some_and(|server| now >= server.shun_until)
    }

    /// Whether a request waits, and for this very timer.
    pub(crate) fn waits_for(&self, id: RequestId, timer: TimerId) -> bool {
        let waits =
            |request: &Request| request.phase == Phase::Waiting && request.timer == Some(timer);
        self.requests.get(&id).is_some_and(waits)
    }

    pub(crate) fn await_timer(&mut self, id: RequestId, timer: TimerId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.timer = Some(timer);
            request.asks = None;
        }
    }

    /// Notes that a request waits for a server's answer.
    pub(crate) fn ask(&mut self, id: RequestId, server: ServerId) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.asked += 1;
        request.asks = Some(server);
        self.asking.entry(server).or_default().insert(id);
    }

    /// Notes a server's answer; gives the requests that still wait for it.
    pub(crate) fn told(&mut self, now: Nanos, server: ServerId, full: bool) -> BTreeSet<RequestId> {
        if let Some(server) = self.servers.get_mut(&server) {
            server.told = Some(Told { at: now, full });
        }
        let mut asking = self.asking.remove(&server).unwrap_or_default();
        asking.retain(|id| {
            self.requests
                .get(id)
                .is_some_and(|request| request.asks == Some(server))
        });
        asking
    }

    pub(crate) fn send(&mut self, now: Nanos, id: RequestId, to: ServerId) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.attempts += 1;
        request.asks = None;
        request.phase = Phase::Out(to);
        request.sent_at = now;
        self.out += 1;
        self.put_on(id, to);
    }

    /// The server of this very attempt and whether its connection stands; nothing if it is not out.
    pub(crate) fn current(&self, id: RequestId, attempt: u32) -> Option<(ServerId, bool)> {
        let request = self.requests.get(&id)?;
        match request.phase {
            _ if attempt.checked_add(1) != Some(request.attempts) => None,
            Phase::Out(server) => Some((server, false)),
            Phase::Standing(server) => Some((server, true)),
            Phase::Waiting => None,
        }
    }

    pub(crate) fn stands(&mut self, id: RequestId, at: ServerId) {
        if let Some(request) = self.requests.get_mut(&id) {
            self.out -= usize::from(matches!(request.phase, Phase::Out(_)));
            request.phase = Phase::Standing(at);
        }
    }

    /// Set-ups under way.
    pub(crate) fn passes_out(&self) -> usize {
        self.out
    }

    /// Whether a request waits for an attempt.
    pub(crate) fn waits(&self, id: RequestId) -> bool {
        self.requests
            .get(&id)
            .is_some_and(|request| request.phase == Phase::Waiting)
    }

    /// Notes that there is no room for a request at the door, and how long the line takes.
    pub(crate) fn turn_away(&mut self, id: RequestId, drain: Option<Nanos>) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.drain = drain;
        }
    }

    /// Takes a request's load off the server that holds it; the request waits from then on.
    fn take_off(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let (Phase::Out(at) | Phase::Standing(at)) = request.phase else {
            return;
        };
        self.out -= usize::from(matches!(request.phase, Phase::Out(_)));
        request.phase = Phase::Waiting;
        if let Some(server) = self.servers.get_mut(&at) {
            server
                .held
                .take(request.arrival.class, request.arrival.expected_load);
            self.held
                .take(request.arrival.class, request.arrival.expected_load);
        }
        let Some(group) = request.arrival.group else {
            return;
        };
        let Some(places) = self.groups.get_mut(&group) else {
            return;
        };
        if let Some(count) = places.get_mut(&at) {
            *count -= 1;
        }
        places.retain(|_, count| *count > 0);
        if places.is_empty() {
            self.groups.remove(&group);
        }
    }

    /// An attempt failed there; the request waits from then on.
    pub(crate) fn failed(&mut self, id: RequestId, at: ServerId, may_have_run: bool) {
        self.take_off(id);
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.last = Some(at);
        if may_have_run {
            request.may_have_run.get_or_insert((at, request.sent_at));
        }
    }

    pub(crate) fn forget(&mut self, id: RequestId) {
        self.take_off(id);
        self.requests.remove(&id);
    }

    pub(crate) fn note_load(&mut self, id: RequestId, at: ServerId, load: f64) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let class = request.arrival.class;
        let old = request.arrival.expected_load.replace(load);
        self.class_loads[class.0].add(load);
        if let Some(server) = self.servers.get_mut(&at) {
            for held in [&mut server.held, &mut self.held] {
                held.take(class, old);
                held.add(class, Some(load));
            }
        }
    }

    pub(crate) fn load(&self, server: &Server) -> f64 {
        server.held.load(&self.class_loads)
    }

    pub(crate) fn load_at(&self, id: ServerId) -> Option<f64> {
        self.servers.get(&id).map(|server| self.load(server))
    }

    /// The load of all connections on servers that were ever listed.
    pub(crate) fn load_of_all(&self) -> f64 {
        self.held.load(&self.class_loads)
    }

    /// What one connection asks of its server; an unknown load counts as its class's mean.
    pub(crate) fn load_of(&self, request: &Request) -> f64 {
        request
            .arrival
            .expected_load
            .unwrap_or_else(|| self.class_loads[request.arrival.class.0].value())
    }

    /// The connections that stand at a server and their loads, the heaviest first.
    pub(crate) fn heaviest_at(&self, at: ServerId) -> Vec<(f64, RequestId)> {
        let there = self
            .requests
            .iter()
            .filter(|(_, request)| request.phase == Phase::Standing(at));
        let mut there: Vec<_> = there
            .map(|(id, request)| (self.load_of(request), *id))
            .collect();
        there.sort_by(|one, other| other.0.total_cmp(&one.0));
        there
    }

    pub(crate) fn raise_failures(&mut self, now: Nanos, key: Option<ClientKey>) {
        let Some(key) = key else { return };
        let failures = self.failures.entry(key).or_insert(Failures {
            count: 0,
            last: now,
        });
        failures.count += 1;
        failures.last = now;
    }

    /// Takes over what is known of a client key's failures elsewhere.
    pub(crate) fn set_failures(&mut self, now: Nanos, key: ClientKey, count: u32) {
        match count {
            0 => drop(self.failures.remove(&key)),
            count => drop(self.failures.insert(key, Failures { count, last: now })),
        }
    }

    pub(crate) fn clear_failures(&mut self, key: Option<ClientKey>) {
        if let Some(key) = key {
            self.failures.remove(&key);
        }
    }

    /// Drops the counts that have not grown for `span`.
    pub(crate) fn expire_failures(&mut self, now: Nanos, span: Nanos) {
        self.failures
            .retain(|_, failures| now < failures.last.saturating_add(span));
    }

    /// The client key's failures. A waiting request without a key has its own: all its attempts have failed.
    pub(crate) fn failures_of(&self, request: &Request) -> u32 {
        let of_key = |key| {
            self.failures
                .get(&key)
                .map_or(0, |failures: &Failures| failures.count)
        };
        request.arrival.client_key.map_or(request.attempts, of_key)
    }

    pub(crate) fn set_timer(&mut self, due: Due) -> TimerId {
        let timer = TimerId(self.next_timer);
        self.next_timer += 1;
        self.timers.insert(timer, due);
        timer
    }

    pub(crate) fn take_timer(&mut self, timer: TimerId) -> Option<Due> {
        self.timers.remove(&timer)
    }
}

impl Request {
    /// Its client was neither pinned nor moved or cut off before.
    pub(crate) fn came_freely(&self) -> bool {
        self.arrival.pin.is_none() && !self.arrival.is_reconnect
    }
}

impl Server {
    fn new(entry: ServerEntry, classes: usize) -> Server {
        Server {
            entry,
            ready: false,
            due: 0.0,
            held: Held {
                known: 0.0,
                unknown: vec![0; classes],
            },
            strikes: 0,
            shun_until: 0,
            ceiling: f64::INFINITY,
            tipped_at: 0.0,
            strained_at: None,
            late_at: None,
            resets: FadingCount::default(),
            held_until: 0,
            told: None,
            warmth: 1.0,
            size: 1.0,
            asked_cold_at: 0,
        }
    }

    /// Forgets all signs of strain: they were judged by aims that hold no more.
    fn forget_strain(&mut self) {
        (self.ceiling, self.tipped_at) = (f64::INFINITY, 0.0);
        (self.strained_at, self.late_at, self.held_until) = (None, None, 0);
    }

    /// The listed weight; servers listed without one are equal.
    pub(crate) fn weight(&self) -> f64 {
        let weight = self.entry.weight;
        if weight.is_finite() && weight > 0.0 {
            weight
        } else {
            1.0
        }
    }

    /// The weight by which what it holds is judged. Guards against a server that was let back and from which its
    /// connections are moved since its weight is still on its way.
    pub(crate) fn weight_to_come(&self) -> f64 {
        self.entry.target_weight.unwrap_or_else(|| self.weight())
    }

    /// Whether it can do all that it ever can.
    pub(crate) fn is_warm(&self) -> bool {
        self.warmth >= 1.0
    }

    /// Whether it said, that lately, that it is full.
    pub(crate) fn told_within(&self, now: Nanos, span: Nanos) -> Option<bool> {
        self.told
            .filter(|told| now < told.at.saturating_add(span))
            .map(|told| told.full)
    }

    pub(crate) fn strained_within(&self, now: Nanos, span: Nanos) -> bool {
        within(self.strained_at, now, span)
    }

    /// Where this server stands in a group's own order, lowest first: weighted rendezvous hashing.
    fn rank_for(&self, group: GroupId) -> f64 {
        let mut mixed = self.entry.name_hash ^ group.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^= mixed >> 31;
        let luck = ((mixed >> 11) + 1) as f64 / (1_u64 << 53) as f64;
        -luck.ln() / (self.size * self.warmth)
    }
}

impl Held {
    fn add(&mut self, class: ClassId, load: Option<f64>) {
        match load {
            Some(load) => self.known += load,
            None => self.unknown[class.0] += 1,
        }
    }

    fn take(&mut self, class: ClassId, load: Option<f64>) {
        match load {
            Some(load) => self.known = (self.known - load).max(0.0),
            None => self.unknown[class.0] = self.unknown[class.0].saturating_sub(1),
        }
    }

    /// The sum; an unknown load counts as its class's mean.
    fn load(&self, means: &[Mean]) -> f64 {
        let unknown = self
            .unknown
            .iter()
            .zip(means)
            .map(|(count, mean)| f64::from(*count) * mean.value());
        self.known + unknown.sum::<f64>()
    }
}

impl Mean {
    fn add(&mut self, value: f64) {
        self.sum += value;
        self.count += 1.0;
    }

    /// The mean, or 1 before anything is known: then connections are simply counted.
    pub(crate) fn value(&self) -> f64 {
        if self.count > 0.0 {
            self.sum / self.count
        } else {
            1.0
        }
    }
}

impl FadingCount {
    /// Adds to the count, after what was counted has faded over `span` seconds.
    pub(crate) fn add(&mut self, now: Nanos, amount: f64, span: f64) {
        self.value = self.at(now, span) + amount;
        self.at = now;
    }

    pub(crate) fn value(&self) -> f64 {
        self.value
    }

    /// The count as it has faded by now.
    fn at(&self, now: Nanos, span: f64) -> f64 {
        self.value * (-seconds(now.saturating_sub(self.at)) / span).exp()
    }
}
