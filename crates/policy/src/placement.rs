//! Placement: the choice of a server for a waiting request.

use std::collections::BTreeSet;

use rand::Rng;

use crate::action::Action;
use crate::balancer::Balancer;
use crate::event::{Pin, ProbeAnswer};
use crate::ids::{GroupId, RequestId, ServerId};
use crate::request_table::RequestState;
use crate::server::Server;
use crate::settings::{DedupScope, RetrySafety};
use crate::slow_start::WarmingCandidate;
use crate::time::Nanos;
use crate::timers::TimerKind;

/// The rotation avoids a server with this multiple of the mean load per weight.
const OVER_MEAN_FACTOR: f64 = 1.5;
/// Least number of servers that a group may use.
const MIN_GROUP_SERVERS: usize = 3;
/// Requests added to the recent total, so that a few do not look like a large share.
const GROUP_PRIOR: f64 = 20.0;
/// Part of a connection's load that must fit under a load ceiling. With half of it, a ceiling of a
/// few connections is filled on average.
const FIT_FRACTION: f64 = 0.5;
/// A load report is valid for this long, in nanoseconds.
const LOAD_REPORT_VALIDITY: Nanos = 500_000_000;
/// Most servers that are probed for one request before it backs off.
const MAX_PROBES: u32 = 8;

/// Reasons against a server for a request, the gravest first.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
struct Objections {
    is_ejected: bool,
    has_failed_last: bool,
    is_over_mean: bool,
}

impl Balancer {
    /// Sends a waiting request to a server, enqueues it, or backs off if no server can take it.
    pub(crate) fn place(&mut self, now: Nanos, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let allowed_until = self.retry_allowed_until(request);
        if now >= allowed_until || !self.can_satisfy_pin(request.connect.pin) {
            return self.give_up(id, actions);
        }
        let (timeout, probes_sent) = (self.attempt_timeout(now, request), request.probes_sent);
        if !self
            .load_limit
            .allows(self.servers.total_load() + self.required_load(request))
        {
            return self.back_off(now, id, actions);
        }
        if !self.has_permits() {
            actions.push(Action::Enqueue(id));
            return self.retry_after(id, allowed_until - now, actions);
        }
        let Some(server) = self.choose_server(now, id) else {
            return self.back_off(now, id, actions);
        };
        if self.needs_probe(now, self.servers.listed(server)) {
            if probes_sent >= MAX_PROBES {
                return self.back_off(now, id, actions);
            }
            return self.probe(now, id, server, actions);
        }
        let stride = 1.0 / self.servers.listed(server).weight();
        self.servers.advance_rotation(server, stride);
        self.requests.begin_attempt(now, id, server);
        self.add_connection(id, server);
        let begin_within = timeout.min(allowed_until - now);
        actions.push(Action::StartAttempt {
            request: id,
            server,
            begin_within,
            timeout,
        });
    }

    /// Places a waiting request again after a span, unless something else does so before.
    pub(crate) fn retry_after(&mut self, id: RequestId, after: Nanos, actions: &mut Vec<Action>) {
        let timer = self.set_timer(after, TimerKind::Retry(id), actions);
        self.requests.await_timer(id, timer);
    }

    /// Whether a request with this pin can be served at all.
    fn can_satisfy_pin(&self, pin: Option<Pin>) -> bool {
        pin.is_none_or(|pin| !pin.strict || pin.server.is_some_and(|id| self.servers.is_ready(id)))
    }

    // ---- probes ----

    /// Whether a server that reports its load has to be probed before it is sent anything.
    fn needs_probe(&self, now: Nanos, server: &Server) -> bool {
        let has_report = server
            .recent_load_report(now, LOAD_REPORT_VALIDITY)
            .is_some();
        self.settings.limits.can_probe && server.is_warm() && !has_report
    }

    /// Probes a server for a request, which is placed again on the answer or on a timer.
    fn probe(&mut self, now: Nanos, id: RequestId, server: ServerId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let remaining = request.connect.deadline_at - now;
        let probe_timeout = self.settings.limits.connect_timeout.saturating_mul(2);
        self.retry_after(id, remaining.min(probe_timeout), actions);
        self.requests.await_probe(id, server);
        actions.push(Action::ProbeServer(server));
    }

    pub(crate) fn on_probe_answered(
        &mut self,
        now: Nanos,
        server: ServerId,
        answer: ProbeAnswer,
        actions: &mut Vec<Action>,
    ) {
        self.servers.record_probe_answer(now, server, answer);
        let waiting: BTreeSet<RequestId> = self.requests.take_awaiting_probe(server);
        for request in waiting {
            self.place(now, request, actions);
        }
    }

    // ---- the choice ----

    /// The server for a request: the pinned one, one of its group's, or the next in the rotation.
    fn choose_server(&mut self, now: Nanos, id: RequestId) -> Option<ServerId> {
        let request = self.requests.get(id)?;
        let (group, pin) = (request.connect.group, request.connect.pin);
        if let Some(Pin {
            server: Some(server),
            strict,
        }) = pin
            && self.can_use_pinned(now, request, server, strict)
            && self.admits_in_slow_start(now, server)
        {
            return Some(server);
        }
        if pin.is_some_and(|pin| pin.strict) {
            return None;
        }
        let group_servers = group.map(|group| self.group_servers(group));
        let mut skipped = Vec::new();
        loop {
            let request = self.requests.get(id)?;
            let is_open = |server: &ServerId| !skipped.contains(server);
            let next = match &group_servers {
                Some(servers) => {
                    self.first_fit(now, request, servers.iter().copied().filter(is_open))
                }
                None => self.first_fit(now, request, self.servers.rotation().filter(is_open)),
            }?;
            if self.admits_in_slow_start(now, next) {
                return Some(next);
            }
            skipped.push(next);
        }
    }

    /// Whether a request can go to its pinned server. Without a strict pin, a server that was
    /// ejected or has failed this request is not used again.
    fn can_use_pinned(
        &self,
        now: Nanos,
        request: &RequestState,
        server: ServerId,
        is_strict: bool,
    ) -> bool {
        let is_healthy = self
            .servers
            .get(server)
            .is_some_and(|server| !server.is_ejected(now));
        let has_failed_last = request.last_failed_server == Some(server);
        (is_strict || !has_failed_last && is_healthy)
            && self
                .first_fit(now, request, std::iter::once(server))
                .is_some()
    }

    /// The first candidate without an objection, else the one with the least. An ejected server is
    /// used only if all candidates are ejected, whether or not they have room.
    fn first_fit(
        &self,
        now: Nanos,
        request: &RequestState,
        candidates: impl Iterator<Item = ServerId>,
    ) -> Option<ServerId> {
        let load_per_weight = self.load_per_weight_limit();
        let required_load = self.required_load(request);
        let mut has_healthy = false;
        let mut best: Option<(Objections, ServerId)> = None;
        for id in candidates {
            let server = self.servers.listed(id);
            let (is_allowed, is_ejected) =
                (self.is_allowed(request, server), server.is_ejected(now));
            has_healthy |= is_allowed && !is_ejected;
            if !is_allowed || !self.has_capacity_for(now, server, required_load) {
                continue;
            }
            let fair_load = load_per_weight * server.weight() * server.capacity;
            let objections = Objections {
                is_ejected,
                has_failed_last: request.last_failed_server == Some(id),
                is_over_mean: self.servers.load_on(server) > fair_load,
            };
            if objections == Objections::default() {
                return Some(id);
            }
            if best.is_none_or(|(least, _)| objections < least) {
                best = Some((objections, id));
            }
        }
        best.filter(|(objections, _)| !(objections.is_ejected && has_healthy))
            .map(|(_, id)| id)
    }

    /// The load per weight above which the rotation avoids a server. One connection more than there
    /// are is counted, so that a balancer with little traffic still rotates.
    fn load_per_weight_limit(&self) -> f64 {
        let load = self.servers.total_load() + self.servers.greatest_mean_load();
        OVER_MEAN_FACTOR * load / self.ready_weight.max(f64::MIN_POSITIVE)
    }

    /// Whether the site's rules allow a server: it is ready, and where the request may have been
    /// executed with an idempotency key, it shares the record of keys.
    fn is_allowed(&self, request: &RequestState, server: &Server) -> bool {
        let Some(execution) = request.possible_execution else {
            return server.is_ready;
        };
        let first = &self.servers.listed(execution.server).entry;
        let shares_keys = match self.settings.class(request.connect.class).retry_safety {
            RetrySafety::Idempotent | RetrySafety::NonIdempotent => true,
            RetrySafety::IdempotencyKey { dedup_scope, .. } => match dedup_scope {
                DedupScope::All => true,
                DedupScope::Zone => server.entry.zone == first.zone,
                DedupScope::Cell => server.entry.cell == first.cell,
            },
        };
        server.is_ready && shares_keys
    }

    /// Whether a server has room. A load report replaces the pause after overload, but not the load
    /// ceiling.
    fn has_capacity_for(&self, now: Nanos, server: &Server, required_load: f64) -> bool {
        let report = server.recent_load_report(now, LOAD_REPORT_VALIDITY);
        let is_open = report.map_or(now >= server.paused_until, |report| !report.is_full);
        let load = self.servers.load_on(server);
        is_open && (load <= 0.0 || load + required_load <= server.load_ceiling)
    }

    /// Load that must fit under a load ceiling for a request to be placed.
    fn required_load(&self, request: &RequestState) -> f64 {
        FIT_FRACTION * self.load_of(request)
    }

    /// Whether a server takes a placement now. One in slow start does so with the probability that
    /// its budget gives.
    fn admits_in_slow_start(&mut self, now: Nanos, id: ServerId) -> bool {
        let Some(server) = self.servers.get_mut(id).filter(|server| !server.is_warm()) else {
            return true;
        };
        let considered_at = std::mem::replace(&mut server.slow_start_considered_at, now);
        let candidate = WarmingCandidate {
            capacity: server.size * server.capacity,
            unused_for: now.saturating_sub(considered_at),
        };
        let probability =
            self.slow_start
                .admission_probability(now, &self.settings.rules, candidate);
        self.rng.random_range(0.0..1.0) < probability
    }

    // ---- groups ----

    /// The servers that may hold a group, at least one of them warm. Those that hold connections of
    /// it come first. Each balancer starts at its own place among the servers that the group fills,
    /// so that not all of them begin with the same one.
    fn group_servers(&mut self, group: GroupId) -> Vec<ServerId> {
        let filled = self.group_width(group, 0.0).max(1.0);
        let balancer_phase = f64::from(self.settings.rank) / f64::from(self.settings.balancers);
        let phase = group.phase() + balancer_phase;
        let first = (phase.fract() * filled) as usize;
        let mut servers = self.groups.preferred_servers(group, first, &self.servers);
        let is_warm = |id: &ServerId| self.servers.listed(*id).is_warm();
        let until_warm = servers
            .iter()
            .position(is_warm)
            .map_or(0, |index| index + 1);
        let width = 1 + self.group_width(group, 1.0) as usize;
        servers.truncate(MIN_GROUP_SERVERS.max(width).max(until_warm));
        servers
    }

    /// Number of servers that a group fills by its share of the recent requests, with `deviations`
    /// standard deviations of its count added.
    fn group_width(&self, group: GroupId, deviations: f64) -> f64 {
        let recent = self.groups.recent_requests(group);
        let requests = recent.of_group + deviations * recent.of_group.sqrt();
        self.ready_servers as f64 * requests / (recent.of_all + GROUP_PRIOR)
    }
}
