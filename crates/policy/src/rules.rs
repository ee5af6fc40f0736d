//! Every decision of beaconflow, and nothing else. The interface (settings, events, actions) is `api.rs`.
//!
//! The ordinary path: a new connection goes to the next server in a smooth weighted rotation; a placement
//! that failed waits a capped exponential delay with full jitter and takes the next server in turn.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;

use crate::api::*;
use crate::fleet::{AGENT_WAIT, LIST_CLOCK, warmth};
use crate::span::part;
use crate::state::{Books, Due, Faults, Mean, Request, Server, Tally};

/// First backoff step of a placement, as a part of its class's aim; the longest, as one of its deadline.
const BASE_OF_AIM: f64 = 0.25;
const CAP_OF_DEADLINE: f64 = 0.25;
/// Shortest backoff, as a part of the base: the source waits 0.1 s at least on a base of 2 s.
const FLOOR_OF_BASE: f64 = 0.05;
/// Doublings after which the delay grows no more (the source's ceiling).
const MAX_DOUBLINGS: u32 = 6;
/// The rotation passes over a server that holds this many times the mean load per weight.
const SKIP_OVER_MEAN: f64 = 1.5;
/// A client key's failures are forgotten after this many of the longest deadline without another.
const FORGET_DEADLINES: u64 = 4;
/// Period of the housekeeping timer, in nanoseconds.
const HOUSEKEEPING: Nanos = 1_000_000_000;
/// A message that takes this part of the shortest message aim is a sign of strain.
const STRAIN_OF_AIM: f64 = 0.33;
/// Part of its load that a strained server is relieved of, when messages are slow and when they are late.
const RELIEF: f64 = 0.1;
const RELIEF_LATE: f64 = 0.25;
/// Part of what it holds on a server with late messages that a gateway moves each time.
const MOVED: f64 = 0.37;
/// A server this part over the mean load per weight, and up to so many connections, is evened out, by such as
/// hold at least this part of what it does and leave no server above this part of its load per weight.
const EVEN_EXCESS: f64 = 0.5;
const EVEN_FEW: f64 = 6.0;
const EVEN_LEAST: f64 = 0.03;
const EVEN_GAIN: f64 = 0.8;
/// Part of what stands on a server that is gone, and on one that drains while all others are warm, that is
/// moved off in each housekeeping period.
const OFF_GONE: f64 = 0.5;
const OFF_DRAINING: f64 = 0.25;
/// A sign of strain after this long without one begins a new spell of it, in nanoseconds.
const CALM: Nanos = 2_500_000_000;
/// Signs of strain within this span count once, in nanoseconds.
const STRAIN_PERIOD: Nanos = 900_000_000;
/// A server takes nothing new for this long after a sign of strain, in nanoseconds; for longer, up to the
/// second figure, where this gateway holds fewer connections there than the third.
const STRAIN_HOLD: Nanos = 1_500_000_000;
const LONGEST_HOLD: Nanos = 25_000_000_000;
const FEW_HELD: f64 = 6.0;
/// Breaks on a server are its own beyond this many times its part of all; else they are the network's.
const OWN_RESETS: f64 = 2.0;
/// Extra weight of a server in the own zone, times the price of crossing.
const ZONE_PULL: f64 = 100.0;
/// Servers that any group may use.
const HAND_LEAST: usize = 3;
/// Requests by which all that came lately are counted for more, so that a few do not pass for a large share.
const HAND_DOUBT: f64 = 20.0;
/// Part of a connection's own load that must fit under the ceiling: light ones get in where heavy ones do
/// not, and with half of it a ceiling of a few connections is filled, on average, to the full.
const FIT: f64 = 0.5;
/// No class counts as worth this many times less than the dearest.
const MOST_DEARTH: f64 = 10.0;
/// Growth of a ceiling in each housekeeping period without strain.
const GROWTH: f64 = 1.04;
/// Growth below its knee, a part of the load at which the strain began, and of the ceiling on all.
const RETURN: f64 = 1.15;
const KNEE: f64 = 0.6;
/// A fleet is short where messages are late on this part of the servers known, counted as so many more.
const SHORT_SHARE: f64 = 0.35;
const SHORT_DOUBT: f64 = 2.0;
/// The ceiling on all is not cut below this part of what the gateway held when the fleet fell short.
const SHORT_FLOOR: f64 = 0.4;
/// A probe's answer holds for this long, in nanoseconds.
const PROBE_HOLDS: Nanos = 500_000_000;
/// Servers that a request asks at most; then it backs off.
const MOST_PROBES: u32 = 8;
/// A server that tells of this load, as a part of what it can do, takes nothing new.
const FULL: f64 = 0.7;

/// Which attempt ended, how, after how long, and whether its request is over with it.
type End = (u32, AttemptOutcome, Nanos, bool);

/// The decisions of one gateway.
pub struct Balancer {
    settings: Settings,
    rng: Pcg32,
    books: Books,
    tally: Tally,
}

impl Balancer {
    /// A gateway that knows nothing yet. Equal settings, seed and events give equal actions.
    pub fn new(settings: Settings, seed: u64) -> Result<Balancer, SettingsError> {
        settings.check()?;
        let (rng, books) = (Pcg32::seed_from_u64(seed), Books::new(&settings));
        Ok(Balancer {
            rng,
            books,
            tally: Tally::of(settings.balancers),
            settings,
        })
    }

    /// Takes one event and appends what is to be done about it.
    pub fn handle(&mut self, now: Nanos, event: Event, out: &mut Vec<Action>) {
        if !self.tally.started {
            self.tally.started = true;
            // Guards against hundreds that start together and then do all their housekeeping in step.
            let first = self.rng.random_range(1..=HOUSEKEEPING);
            self.wake(first, Due::Housekeeping, out);
            if self.settings.discovery == DiscoveryMode::Polled {
                self.ask_list(0, out);
            }
        }
        match event {
            Event::ServerList { update, entries } => self.on_list(now, update, entries, out),
            Event::SettingsReplaced(settings) if self.settings.may_become(&settings) => {
                self.replace_settings(now, *settings, out);
            }
            Event::ConnectRequested(arrival) => self.on_arrival(now, arrival, out),
            Event::ConnectionAdopted { request, .. } if !self.settings.knows(request.class) => {}
            Event::ConnectionAdopted {
                request: arrival,
                server,
            } => self.books.open(arrival, Some(server)),
            Event::AttemptEstablished { request, attempt } => {
                self.on_established(now, request, attempt)
            }
            Event::ConnectionMeasured {
                request,
                attempt,
                metric,
            } => self.on_note(now, request, attempt, metric, out),
            Event::AttemptEnded {
                request,
                attempt,
                outcome,
                elapsed: took,
                is_final,
            } => {
                self.on_ended(now, request, (attempt, outcome, took, is_final), out);
            }
            Event::ProbeAnswered { server, load } => self.on_probed(now, server, load, out),
            Event::ClientLeft(request) => self.books.forget(request),
            Event::PermitGranted(request) if self.books.waits(request) => {
                self.place(now, request, out)
            }
            Event::QueueRejected {
                request,
                queue_drain_time: drain,
            } if self.books.waits(request) => {
                self.books.turn_away(request, drain);
                self.give_up(request, out);
            }
            Event::PermitGranted(_) | Event::QueueRejected { .. } | Event::SettingsReplaced(_) => {}
            Event::PinChanged { request, pin } => self.books.pin(request, pin),
            Event::FleetFailuresCounted { client_key, count } => {
                self.books.set_failures(now, client_key, count)
            }
            Event::TimerFired(timer) => self.on_timer(now, timer, out),
        }
    }

    /// Whether one that waits at the door can have its turn now. Guards against set-ups that all fail on
    /// something that the servers share: repeats and comebacks would keep it overrun.
    pub fn has_permits(&self) -> bool {
        (self.books.passes_out() as f64) < self.tally.pace.window()
    }

    /// Other settings hold from now on. Whoever waits and may not be sent again by them is answered at once.
    fn replace_settings(&mut self, now: Nanos, settings: Settings, out: &mut Vec<Action>) {
        self.books.follow(now, (&self.settings, &settings));
        self.tally.follow((&self.settings, &settings));
        self.settings = settings;
        self.count_fleet(now);
        let spent = self
            .books
            .waiting_that(|request| self.may_begin_until(request) <= now);
        spent.into_iter().for_each(|id| self.give_up(id, out));
        if self.books.calls_off_asking() {
            self.ask_list(LIST_CLOCK / 2, out);
        }
    }

    // ---- the server list ----

    fn on_list(
        &mut self,
        now: Nanos,
        kind: ListUpdate,
        entries: Vec<ServerEntry>,
        out: &mut Vec<Action>,
    ) {
        if let ListUpdate::Failed(quiet) | ListUpdate::TimedOut(quiet) = kind {
            self.tally.list_failures += u32::from(matches!(kind, ListUpdate::Failed(_)));
            return self.ask_list(quiet, out);
        }
        if kind != ListUpdate::Cached {
            self.tally.list_failures = 0;
        }
        if kind != ListUpdate::Delta {
            self.books
                .servers
                .values_mut()
                .for_each(|server| server.ready = false);
        }
        self.books.forget_orders();
        for entry in entries {
            self.books.learn(entry);
        }
        self.count_fleet(now);
        // Guards against gateways that all begin their turns with the same servers: each begins at its own.
        for id in self
            .books
            .servers
            .keys()
            .copied()
            .collect::<Vec<ServerId>>()
        {
            let lead = self.rng.random_range(0.0..1.0) / self.weight_here(&self.books.servers[&id]);
            self.books.enter_turns(id, lead);
        }
    }

    /// Asks for the list, after a jittered delay if a call failed or many may call at once. Guards against
    /// a herd that calls, fails and comes again together, and one too late for its clock, `quiet` into it.
    fn ask_list(&mut self, quiet: Nanos, out: &mut Vec<Action>) {
        let asked = self
            .settings
            .rules
            .list_max_age
            .checked_sub(1)
            .map_or(Nanos::MAX, |within| within / 2);
        let usual = if self.settings.discovery == DiscoveryMode::Pushed {
            AGENT_WAIT
        } else {
            asked
        };
        let within = usual.min(LIST_CLOCK.saturating_sub(quiet).max(AGENT_WAIT));
        let (n, cap) = (
            self.tally.list_failures,
            self.settings.longest_deadline().min(within),
        );
        let wait = match (n, self.tally.fleet.herd(within)) {
            (0, 0) => return out.push(Action::WatchServerList),
            (0, herd) => self.rng.random_range(1..=herd),
            (_, herd) => self.jittered(n, herd.max(cap / 8), cap),
        };
        self.wake(wait, Due::AskList, out);
    }

    fn count_fleet(&mut self, now: Nanos) {
        self.books
            .warm_up(now, |entry| warmth(&self.settings.rules, entry, now));
        self.tally.weights = self
            .books
            .ready()
            .map(|server| self.weight_here(server))
            .sum();
        self.tally.ready = self.books.ready().count();
        self.tally
            .count_able(now, &self.books, &self.settings.rules);
    }

    // ---- requests ----

    fn on_arrival(&mut self, now: Nanos, arrival: ConnectRequest, out: &mut Vec<Action>) {
        let id = arrival.request;
        if self.books.requests.contains_key(&id) {
            return;
        }
        if !self.settings.knows(arrival.class) {
            return out.push(Action::Fail(id));
        }
        if !arrival.is_reconnect {
            self.tally.came_anew(now);
        }
        self.books.open(arrival, None);
        self.place(now, id, out);
    }

    /// Sends a request to the next server in turn, or backs off if there is none.
    fn place(&mut self, now: Nanos, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.books.requests.get(&id) else {
            return;
        };
        let until = self.may_begin_until(request);
        let can_wait =
            |pin: Pin| !pin.strict || pin.server.is_some_and(|id| self.books.is_ready(id));
        if now >= until || !request.arrival.pin.is_none_or(can_wait) {
            return self.give_up(id, out);
        }
        let (timeout, asked) = (self.attempt_timeout(now, request), request.asked);
        if self.books.load_of_all() + self.wanted(request) > self.books.ceiling {
            return self.back_off(now, id, out);
        }
        if !self.has_permits() {
            out.push(Action::Enqueue(id));
            return self.wake_for(id, until - now, out);
        }
        let Some(server) = self.next_in_turn(now, id) else {
            return self.back_off(now, id, out);
        };
        if self.wants_probe(now, &self.books.servers[&server]) {
            if asked >= MOST_PROBES {
                return self.back_off(now, id, out);
            }
            return self.ask(now, id, server, out);
        }
        self.books
            .take_turn(server, 1.0 / self.weight_here(&self.books.servers[&server]));
        self.books.send(now, id, server);
        out.push(Action::StartAttempt {
            request: id,
            server,
            begin_within: timeout.min(until - now),
            timeout,
        });
    }

    /// A server that tells its load when probed is asked before it is sent anything, unless it told just now.
    fn wants_probe(&self, now: Nanos, server: &Server) -> bool {
        self.settings.limits.can_probe
            && server.is_warm()
            && server.told_within(now, PROBE_HOLDS).is_none()
    }

    /// The request waits for the server's answer, which places it anew; a timer does if none comes.
    fn ask(&mut self, now: Nanos, id: RequestId, server: ServerId, out: &mut Vec<Action>) {
        let left = self.books.requests[&id].arrival.deadline_at - now;
        self.wake_for(
            id,
            left.min(self.settings.limits.connect_timeout.saturating_mul(2)),
            out,
        );
        self.books.ask(id, server);
        out.push(Action::ProbeServer(server));
    }

    fn on_probed(&mut self, now: Nanos, id: ServerId, load: Option<f64>, out: &mut Vec<Action>) {
        for request in self
            .books
            .told(now, id, load.is_none_or(|load| load >= FULL))
        {
            self.place(now, request, out);
        }
    }

    /// An attempt that can be repeated gets less than the time left, so that a silent server costs only one
    /// attempt; each repeat gets twice as long: what times out again may be overrun and not silent.
    fn attempt_timeout(&self, now: Nanos, request: &Request) -> Nanos {
        let (class, limits) = (
            &self.settings.classes[request.arrival.class.0],
            &self.settings.limits,
        );
        let (left, made) = (request.arrival.deadline_at - now, request.attempts);
        let usual = class
            .latency_objective
            .max(limits.connect_timeout.saturating_mul(2));
        let short = self
            .tally
            .pace
            .patience(now, usual)
            .saturating_mul(1 << made.min(MAX_DOUBLINGS));
        if made + 1 >= limits.max_attempts || class.retry_safety != RetrySafety::Idempotent {
            left
        } else {
            left.min(short)
        }
    }

    /// Until when one more attempt may begin: its client has to wait, and a repeat to do no harm.
    fn may_begin_until(&self, request: &Request) -> Nanos {
        let give_up_at = request.arrival.deadline_at;
        match (
            request.may_have_run,
            self.settings.classes[request.arrival.class.0].retry_safety,
        ) {
            _ if request.attempts >= self.settings.limits.max_attempts => 0,
            (None, _) | (_, RetrySafety::Idempotent) => give_up_at,
            (_, RetrySafety::NonIdempotent) => 0,
            (Some((_, at)), RetrySafety::IdempotencyKey { window, .. }) => {
                give_up_at.min(at.saturating_add(window))
            }
        }
    }

    fn on_established(&mut self, now: Nanos, id: RequestId, attempt: u32) {
        let Some((server, false)) = self.books.current(id, attempt) else {
            return;
        };
        self.books.stands(id, server);
        self.succeeded(id, server);
        let request = &self.books.requests[&id];
        let aim = self.settings.classes[request.arrival.class.0].latency_objective;
        self.tally
            .pace
            .stood(now, now.saturating_sub(request.sent_at), aim);
    }

    /// A connection that stands clears its client's n and wins back some of its server's standing.
    fn succeeded(&mut self, id: RequestId, server: ServerId) {
        self.books.clear_failures(
            self.books
                .requests
                .get(&id)
                .and_then(|request| request.arrival.client_key),
        );
        self.books.win_back(server);
    }

    fn on_note(
        &mut self,
        now: Nanos,
        id: RequestId,
        attempt: u32,
        note: ConnectionMetric,
        out: &mut Vec<Action>,
    ) {
        let Some((server, true)) = self.books.current(id, attempt) else {
            return;
        };
        let aim = self.settings.shortest_message_aim();
        match note {
            ConnectionMetric::Load(load) => self.books.note_load(id, server, load),
            ConnectionMetric::MessageLatency(delay) if delay >= aim => {
                self.books.was_late(now, server);
                self.strain(now, server, RELIEF_LATE);
                self.relieve(server, out);
            }
            ConnectionMetric::MessageLatency(delay) if delay >= part(aim, STRAIN_OF_AIM) => {
                self.strain(now, server, RELIEF)
            }
            ConnectionMetric::MessageLatency(_) => {}
        }
    }

    fn on_ended(&mut self, now: Nanos, id: RequestId, end: End, out: &mut Vec<Action>) {
        let (attempt, outcome, took, closed) = end;
        let Some((server, stood)) = self.books.current(id, attempt) else {
            return;
        };
        let key = self.books.requests[&id].arrival.client_key;
        if stood || closed || outcome == AttemptOutcome::Served {
            if outcome == AttemptOutcome::Served && !stood {
                self.succeeded(id, server);
            }
            let own = outcome == AttemptOutcome::Reset
                && stood
                && self.books.reset_share(now, server) > OWN_RESETS;
            self.books.forget(id);
            if own {
                self.books.raise_failures(now, key);
                self.strike(now, server);
                self.strain(now, server, RELIEF);
            }
            if !closed {
                // A connection that stood is never repeated, whatever became of it.
                out.push(Action::Fail(id));
            }
            return;
        }
        self.books
            .failed(id, server, !outcome.proves_not_executed());
        match outcome {
            AttemptOutcome::NotSent => return self.place(now, id, out),
            AttemptOutcome::Cancelled => {}
            _ => self.strike(now, server),
        }
        self.books.raise_failures(now, key);
        self.tally.pace.failed(now, server, outcome, took);
        self.back_off(now, id, out);
    }

    /// Waits a jittered delay before the next attempt; gives up at once if none is left, safe or in time.
    fn back_off(&mut self, now: Nanos, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.books.requests.get(&id) else {
            return;
        };
        let (class, until) = (
            &self.settings.classes[request.arrival.class.0],
            self.may_begin_until(request),
        );
        let (base, cap) = (
            part(class.latency_objective, BASE_OF_AIM),
            part(class.deadline, CAP_OF_DEADLINE),
        );
        let wait = self.jittered(self.books.failures_of(request), base, cap);
        if now.saturating_add(wait) >= until {
            return self.give_up(id, out);
        }
        self.wake_for(id, wait, out);
    }

    /// The final answer without service: a refusal if nothing may have run, else a failure.
    fn give_up(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.books.requests.get(&id) else {
            return;
        };
        if request.may_have_run.is_some() {
            out.push(Action::Fail(id));
        } else {
            let n = self.books.failures_of(request);
            let (told, longest) = (
                self.settings.limits.sends_retry_after,
                self.settings.limits.max_retry_after,
            );
            let base = request
                .drain
                .unwrap_or(self.settings.classes[request.arrival.class.0].latency_objective);
            let retry_after = told.then(|| self.jittered(n, base.min(longest), longest));
            self.tally.refused += 1;
            out.push(Action::Reject {
                request: id,
                retry_after,
            });
        }
        self.books.forget(id);
    }

    // ---- the rotation ----

    /// The next server in turn among those that the rules allow, that are well and that have room. A group's
    /// work is paid once on each server that holds any of it: its connections take its places, not turns.
    fn next_in_turn(&mut self, now: Nanos, id: RequestId) -> Option<ServerId> {
        let request = self.books.requests.get(&id)?;
        let (group, pin, last) = (request.arrival.group, request.arrival.pin, request.last);
        if let Some(Pin {
            server: Some(to),
            strict,
        }) = pin
        {
            // A server that failed a request that may go elsewhere gets it no second time.
            let well = strict || last != Some(to) && self.books.is_well(now, to);
            if well
                && self.first_fit(now, request, [to].into_iter()).is_some()
                && self.admits(now, to)
            {
                return Some(to);
            }
        }
        if pin.is_some_and(|pin| pin.strict) {
            return None;
        }
        let hand = group.map(|group| self.hand_of(group));
        let mut passed = Vec::new();
        loop {
            let request = self.books.requests.get(&id)?;
            let open = |server: &ServerId| !passed.contains(server);
            let next = match &hand {
                Some(hand) => self.first_fit(now, request, hand.iter().copied().filter(open)),
                None => self.first_fit(now, request, self.books.in_turn().filter(open)),
            }?;
            if self.admits(now, next) {
                return Some(next);
            }
            passed.push(next);
        }
    }

    /// The first candidate without a fault, else the one with the least. Guards against passing over the
    /// whole fleet when all of it looks ill; but a strained server takes nothing because others are ill.
    fn first_fit(
        &self,
        now: Nanos,
        request: &Request,
        of: impl Iterator<Item = ServerId>,
    ) -> Option<ServerId> {
        // One connection more than there are, so that a gateway with little traffic still takes turns.
        let one = self
            .books
            .class_loads
            .iter()
            .map(Mean::value)
            .fold(1.0, f64::max);
        let limit = SKIP_OVER_MEAN * (self.books.load_of_all() + one)
            / self.tally.weights.max(f64::MIN_POSITIVE);
        let (more, mut any_well) = (self.wanted(request), false);
        let mut best: Option<(Faults, ServerId)> = None;
        for id in of {
            let server = &self.books.servers[&id];
            let (allowed, ill) = (self.allowed(request, server), now < server.shun_until);
            any_well |= allowed && !ill;
            if !allowed || !self.has_room(now, server, more) {
                continue;
            }
            let crowded =
                self.books.load(server) > limit * self.weight_here(server) * server.warmth;
            let faults = Faults {
                ill,
                failed_last: request.last == Some(id),
                crowded,
            };
            if faults == Faults::default() {
                return Some(id);
            }
            if best.is_none_or(|(least, _)| faults < least) {
                best = Some((faults, id));
            }
        }
        best.filter(|(faults, _)| !(faults.ill && any_well))
            .map(|(_, id)| id)
    }

    /// The servers that may hold a group: not so many that it lies everywhere, nor too few for all of it, and
    /// a warm one: cold ones may not take it. Those that hold most of it come first, then its own order.
    /// Guards against opening a group away from where it already lies well; and against gateways that all put
    /// a large group on the first of its servers: each begins at its own place among as many as it fills.
    fn hand_of(&mut self, group: GroupId) -> Vec<ServerId> {
        let core = self.width_of(group, 0.0).max(1.0);
        let turn =
            group.phase() + f64::from(self.settings.rank) / f64::from(self.settings.balancers);
        let mut places = self
            .books
            .places_from(group, (turn.fract() * core) as usize);
        let warm = places
            .iter()
            .position(|id| self.books.servers[id].is_warm())
            .map_or(0, |at| at + 1);
        places.truncate(
            HAND_LEAST
                .max(1 + self.width_of(group, 1.0) as usize)
                .max(warm),
        );
        places
    }

    /// How many servers a group would fill by its share of the requests that came lately, with so many roots
    /// of its count more. Guards against many gateways that each see a few of a group and spread it too wide.
    fn width_of(&self, group: GroupId, roots: f64) -> f64 {
        let (of_group, all) = self.books.seen_of(group);
        self.tally.ready as f64 * (of_group + roots * of_group.sqrt()) / (all + HAND_DOUBT)
    }

    /// Guards against a fleet that collapses under what it sheds and takes again: better to say no. Word of
    /// spare load does not overrule a ceiling: opening groups where there just was strain tips the server.
    fn has_room(&self, now: Nanos, server: &Server, more: f64) -> bool {
        let told = server.told_within(now, PROBE_HOLDS);
        let load = self.books.load(server);
        told.map_or(now >= server.held_until, |full| !full)
            && (load <= 0.0 || load + more <= server.ceiling)
    }

    /// The room that a request wants under a ceiling: part of its load, times the root of how many times less
    /// it is worth than the dearest class. What is worth least is refused first.
    fn wanted(&self, request: &Request) -> f64 {
        let most = self
            .settings
            .classes
            .iter()
            .map(|class| class.priority_weight)
            .fold(f64::MIN_POSITIVE, f64::max);
        let dearth = most
            / self.settings.classes[request.arrival.class.0]
                .priority_weight
                .max(most / MOST_DEARTH);
        FIT * self.books.load_of(request) * dearth.sqrt()
    }

    /// The listed weight, and more for servers of this gateway's own zone where crossing zones has a price.
    fn weight_here(&self, server: &Server) -> f64 {
        let own = server.entry.zone == self.settings.zone;
        server.weight()
            * if own {
                1.0 + ZONE_PULL * self.settings.costs.cross_zone
            } else {
                1.0
            }
    }

    /// What the rules demand: a ready server; where a keyed request may have run, one that drops its repeats.
    fn allowed(&self, request: &Request, server: &Server) -> bool {
        let Some((first, _)) = request.may_have_run else {
            return server.ready;
        };
        let first = &self.books.servers[&first].entry;
        server.ready
            && match self.settings.classes[request.arrival.class.0].retry_safety {
                RetrySafety::Idempotent
                | RetrySafety::NonIdempotent
                | RetrySafety::IdempotencyKey {
                    scope: DedupScope::All,
                    ..
                } => true,
                RetrySafety::IdempotencyKey {
                    scope: DedupScope::Zone,
                    ..
                } => server.entry.zone == first.zone,
                RetrySafety::IdempotencyKey {
                    scope: DedupScope::Cell,
                    ..
                } => server.entry.cell == first.cell,
            }
    }

    // ---- cold servers ----

    /// Whether a server takes this placement: always if warm; else by odds that share out, over time, what
    /// all cold ones can take of this gateway. Guards against hundreds that turn to a cold server at once.
    fn admits(&mut self, now: Nanos, id: ServerId) -> bool {
        let Some(own) = self.books.asks_cold(now, id) else {
            return true;
        };
        let all = now.saturating_sub(std::mem::replace(&mut self.tally.asked_cold_at, now));
        let odds = self
            .tally
            .able
            .odds(&self.settings.rules, self.tally.borne, (all, own));
        self.rng.random_range(0.0..1.0) < odds
    }

    /// Moves a connection whose group now begins with a cold server, where cold ones lack what they can do.
    /// Guards against a farm half new of which the old half keeps all that stood and came back.
    fn fill_cold(&mut self, out: &mut Vec<Action>) {
        let odds = self
            .tally
            .able
            .of_all(&self.settings.rules, self.tally.borne, HOUSEKEEPING);
        let lack = self.books.lack_on_cold(&self.tally.able) / self.books.one();
        if self.rng.random_range(0.0..1.0) < odds * lack.min(1.0) {
            let led = self.books.led_to_cold();
            let any = self.rng.random_range(0..led.len().max(1));
            led.get(any)
                .into_iter()
                .for_each(|id| self.move_off(*id, MigrationReason::SlowStart, out));
        }
    }

    fn move_off(&mut self, id: RequestId, why: MigrationReason, out: &mut Vec<Action>) {
        out.push(Action::Migrate(id, why));
        self.books.forget(id);
    }

    // ---- failures, delays, timers ----

    /// A failed set-up or a broken connection: the server is passed over for a jittered delay of its own.
    fn strike(&mut self, now: Nanos, id: ServerId) {
        let Some(strikes) = self.books.servers.get(&id).map(|server| server.strikes + 1) else {
            return;
        };
        let longest = self.settings.longest_deadline();
        let until = now.saturating_add(self.jittered(strikes, longest / 16, longest));
        self.books.strike(id, strikes, until);
    }

    /// A sign that a server has too much: it takes nothing new before it holds less than it does now.
    fn strain(&mut self, now: Nanos, id: ServerId, relief: f64) {
        let Some(load) = self.books.load_at(id) else {
            return;
        };
        let one = self.books.one();
        let Some(server) = self.books.servers.get_mut(&id) else {
            return;
        };
        if !server.strained_within(now, CALM) {
            server.tipped_at = load;
        }
        if !server.strained_within(now, STRAIN_PERIOD) {
            (server.strained_at, server.ceiling) =
                (Some(now), server.ceiling.min(load * (1.0 - relief)));
            // Guards against hundreds that hold one connection each, under any ceiling: each stays away long.
            let few = (FEW_HELD * one / load).clamp(1.0, LONGEST_HOLD as f64 / STRAIN_HOLD as f64);
            let times = if few > 1.0 {
                few * self.rng.random_range(0.5..1.5)
            } else {
                1.0
            };
            server.held_until = now.saturating_add(part(STRAIN_HOLD, times));
        }
    }

    /// Moves connections off a server, a part of what this gateway has there, the heaviest first.
    fn relieve(&mut self, id: ServerId, out: &mut Vec<Action>) {
        let there = self.books.heaviest_at(id);
        // Guards against many gateways that all move their only one: less than one is a matter of chance.
        let mut excess = MOVED * there.iter().map(|(load, _)| load).sum::<f64>();
        for (load, moved) in there {
            if self.rng.random_range(0.0..1.0) * load >= excess {
                return;
            }
            excess -= load;
            self.move_off(moved, MigrationReason::SlowMessages, out);
        }
    }

    /// Moves a heavy connection off each server that holds far more than this gateway's mean for its weight.
    /// Guards against servers that tell nothing of their strain, and connections that outlast the rotation.
    fn even_out(&mut self, out: &mut Vec<Action>) {
        // Servers that tell their load are known better than by what this gateway holds there.
        if self.settings.limits.can_probe {
            return;
        }
        let limit = (1.0 + EVEN_EXCESS) * self.books.load_of_all()
            / self.tally.weights.max(f64::MIN_POSITIVE);
        // Guards against hundreds that see their two or three connections on one server as far over the mean:
        // the less of all a gateway sees, the more of that is chance.
        let few = EVEN_FEW * (1.0 - self.tally.fleet.part(1.0)) * self.books.one();
        let loads = self.books.loads_of_ready();
        for &(id, load, weight) in &loads {
            if load <= limit * weight + few {
                continue;
            }
            // The heaviest that, wherever it goes, leaves that server with less than this one has now.
            let fits = |more: f64| {
                let others = loads.iter().filter(|other| other.0 != id);
                others
                    .map(|(_, held, weight)| (held + more) / weight)
                    .fold(f64::INFINITY, f64::min)
                    < EVEN_GAIN * load / weight
            };
            // Guards against moves for nothing: a pinned one comes back, one moved before is moved again.
            let free = |id: &RequestId| self.books.requests[id].came_freely();
            let heavy = self
                .books
                .heaviest_at(id)
                .into_iter()
                .find(|(more, id)| fits(*more) && free(id));
            if let Some((_, moved)) = heavy.filter(|(more, _)| *more >= EVEN_LEAST * load) {
                self.move_off(moved, MigrationReason::Rebalancing, out);
            }
        }
    }

    /// Moves a part of what stands on each server that drains or is gone, again and again, but for one that
    /// an operator took out. Guards against clients cut off; and against hundreds of gateways that each move
    /// their few at once, and overrun the others while those that replace the leaving are cold.
    fn empty_leaving(&mut self, out: &mut Vec<Action>) {
        let draining =
            OFF_DRAINING * self.tally.able.now / self.tally.able.full.max(f64::MIN_POSITIVE);
        for id in self.books.leaving() {
            let is_gone = self.books.servers[&id].entry.state == ServerState::Removed;
            let odds = if is_gone { OFF_GONE } else { draining };
            for (_, moved) in self.books.heaviest_at(id) {
                if self.rng.random_range(0.0..1.0) < odds {
                    self.move_off(moved, MigrationReason::ServerLeaving, out);
                }
            }
        }
    }

    /// Without strain a ceiling rises slowly, so that a passing trouble is forgotten; below the knee it rises
    /// faster. Guards against piled-up work that still cuts ceilings when the load has long been right.
    fn raise_ceilings(&mut self, now: Nanos) {
        for server in self.books.servers.values_mut() {
            if !server.strained_within(now, 2 * STRAIN_PERIOD) {
                let below = server.ceiling < KNEE * server.tipped_at;
                server.ceiling *= if below { RETURN } else { GROWTH };
            }
        }
    }

    /// A gateway with fewer connections than servers keeps a ceiling on all: no server's own binds it.
    /// Guards against hundreds that go on filling a fleet short of capacity.
    fn watch_fleet(&mut self, now: Nanos) {
        // Guards against moves that empty late servers and so hide them.
        let (known, late) = self.books.late_of_known(now, 2 * STRAIN_PERIOD);
        let load = self.books.load_of_all();
        if self.books.requests.len() <= self.tally.ready
            && late > SHORT_SHARE * (known + SHORT_DOUBT)
        {
            if self.books.ceiling > self.books.tipped_at {
                self.books.tipped_at = load;
            }
            // Guards against cuts that go on while piled-up work drains and the load has long been right.
            let cut = (load * (1.0 - RELIEF_LATE)).max(SHORT_FLOOR * self.books.tipped_at);
            self.books.ceiling = self.books.ceiling.min(cut);
        } else {
            self.books.ceiling *= RETURN;
        }
    }

    /// Full jitter: rand(floor, min(cap, base * 2^min(n, 6))).
    fn jittered(&mut self, n: u32, base: Nanos, cap: Nanos) -> Nanos {
        let floor = part(base, FLOOR_OF_BASE);
        let top = cap
            .min(base.saturating_mul(1 << n.min(MAX_DOUBLINGS)))
            .max(floor);
        self.rng.random_range(floor..=top)
    }

    fn wake(&mut self, after: Nanos, due: Due, out: &mut Vec<Action>) -> TimerId {
        let timer = self.books.set_timer(due);
        out.push(Action::SetTimer { after, timer });
        timer
    }

    /// Places a waiting request anew after that span, unless it is before.
    fn wake_for(&mut self, id: RequestId, after: Nanos, out: &mut Vec<Action>) {
        let timer = self.wake(after, Due::Retry(id), out);
        self.books.await_timer(id, timer);
    }

    fn on_timer(&mut self, now: Nanos, timer: TimerId, out: &mut Vec<Action>) {
        match self.books.take_timer(timer) {
            Some(Due::Retry(id)) if self.books.waits_for(id, timer) => self.place(now, id, out),
            Some(Due::Housekeeping) => {
                let forget_after = self
                    .settings
                    .longest_deadline()
                    .saturating_mul(FORGET_DEADLINES);
                self.books.expire_failures(now, forget_after);
                self.count_fleet(now);
                self.raise_ceilings(now);
                self.even_out(out);
                self.fill_cold(out);
                self.empty_leaving(out);
                self.watch_fleet(now);
                out.extend(
                    self.books
                        .trouble(now, &mut self.tally)
                        .map(Action::LogOverload),
                );
                self.wake(HOUSEKEEPING, Due::Housekeeping, out);
            }
            Some(Due::AskList) => out.push(Action::WatchServerList),
            Some(Due::Retry(_)) | None => {}
        }
    }
}
