//! The balancer: its state and the dispatch of events.

use std::collections::BTreeSet;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;

use crate::action::Action;
use crate::concurrency_limit::ConcurrencyLimit;
use crate::discovery_poll::MAX_CALL_INTERVAL;
use crate::event::{ConnectRequest, Event, ListUpdate, ServerEntry};
use crate::failure_counts::FailureCounts;
use crate::fleet_quota::FleetQuota;
use crate::group_table::GroupTable;
use crate::ids::{RequestId, ServerId, TimerId};
use crate::load_limit::LoadLimit;
use crate::request_table::RequestTable;
use crate::server::Server;
use crate::server_table::ServerTable;
use crate::settings::{DiscoveryMode, Settings, SettingsError};
use crate::setup_latency::SetupLatency;
use crate::slow_start::{SlowStart, capacity_fraction};
use crate::time::Nanos;
use crate::timers::{TimerKind, Timers};

/// Period of the housekeeping timer, in nanoseconds.
pub(crate) const HOUSEKEEPING_PERIOD: Nanos = 1_000_000_000;
/// Failures of a client key are kept for this multiple of the longest deadline.
const FAILURE_RETENTION_DEADLINES: u64 = 4;

/// The decisions of one balancer.
///
/// [`Balancer::handle`] is deterministic: equal settings, seed and events give equal actions.
pub struct Balancer {
    pub(crate) settings: Settings,
    pub(crate) rng: Pcg32,
    pub(crate) servers: ServerTable,
    pub(crate) requests: RequestTable,
    pub(crate) groups: GroupTable,
    pub(crate) failures: FailureCounts,
    timers: Timers,
    pub(crate) quota: FleetQuota,
    pub(crate) concurrency: ConcurrencyLimit,
    pub(crate) setup_latency: SetupLatency,
    pub(crate) load_limit: LoadLimit,
    pub(crate) slow_start: SlowStart,
    /// Number and total weight of the ready servers, when last counted.
    pub(crate) ready_servers: usize,
    pub(crate) ready_weight: f64,
    /// Calls for the server list that failed in a row.
    pub(crate) list_failures: u32,
    is_started: bool,
    pub(crate) housekeeping_periods: u64,
    pub(crate) rejected_since_summary: u64,
}

impl Balancer {
    /// Creates a balancer that knows no servers.
    ///
    /// # Errors
    ///
    /// Fails if a setting is outside its range.
    pub fn new(settings: Settings, seed: u64) -> Result<Balancer, SettingsError> {
        settings.check()?;
        let quota = FleetQuota::new(settings.balancers);
        Ok(Balancer {
            rng: Pcg32::seed_from_u64(seed),
            servers: ServerTable::new(&settings),
            requests: RequestTable::default(),
            groups: GroupTable::default(),
            failures: FailureCounts::default(),
            timers: Timers::default(),
            quota,
            concurrency: ConcurrencyLimit::new(quota),
            setup_latency: SetupLatency::default(),
            load_limit: LoadLimit::default(),
            slow_start: SlowStart::default(),
            ready_servers: 0,
            ready_weight: 0.0,
            list_failures: 0,
            is_started: false,
            housekeeping_periods: 0,
            rejected_since_summary: 0,
            settings,
        })
    }

    /// Handles one event and appends the actions that follow from it.
    pub fn handle(&mut self, now: Nanos, event: Event, actions: &mut Vec<Action>) {
        if !self.is_started {
            self.start(actions);
        }
        match event {
            Event::ServerList { update, entries } => {
                self.on_server_list(now, update, entries, actions)
            }
            Event::ServersForgotten(servers) => self.servers.forget(&servers),
            Event::SettingsReplaced(settings) => self.on_settings_replaced(now, *settings, actions),
            Event::ConnectRequested(request) => self.on_connect_requested(now, request, actions),
            Event::ConnectionAdopted { request, server } => {
                self.on_connection_adopted(now, request, server)
            }
            Event::AttemptEstablished { request, attempt } => {
                self.on_attempt_established(now, request, attempt);
            }
            Event::ConnectionMeasured {
                request,
                attempt,
                metric,
            } => {
                self.on_connection_measured(now, request, attempt, metric, actions);
            }
            Event::AttemptEnded(end) => self.on_attempt_ended(now, end, actions),
            Event::ProbeAnswered { server, answer } => {
                self.on_probe_answered(now, server, answer, actions)
            }
            Event::ClientLeft(request) => self.remove_request(request),
            Event::PermitGranted(request) => self.on_permit_granted(now, request, actions),
            Event::QueueRejected {
                request,
                queue_drain_time,
            } => {
                self.on_queue_rejected(request, queue_drain_time, actions);
            }
            Event::PinChanged { request, pin } => self.requests.set_pin(request, pin),
            Event::FleetFailuresCounted { client_key, count } => {
                self.failures.set(now, client_key, count);
            }
            Event::TimerFired(timer) => self.on_timer(now, timer, actions),
        }
    }

    /// The servers that requests and connections refer to. They must not be forgotten.
    pub fn referenced_servers(&self) -> BTreeSet<ServerId> {
        self.requests.referenced_servers()
    }

    /// Whether the concurrency limit allows another attempt.
    pub fn has_permits(&self) -> bool {
        (self.requests.in_flight() as f64) < self.concurrency.get()
    }

    /// Begins housekeeping, at a random phase so that balancers that start together are not in
    /// step, and asks for the server list where it is not pushed.
    fn start(&mut self, actions: &mut Vec<Action>) {
        self.is_started = true;
        let first = self.draw_span(1..=HOUSEKEEPING_PERIOD);
        self.set_timer(first, TimerKind::Housekeeping, actions);
        if self.settings.discovery == DiscoveryMode::Polled {
            self.poll_server_list(0, actions);
        }
    }

    // ---- settings and the server list ----

    /// Replaces the settings. Waiting requests that may not be retried any more are answered.
    fn on_settings_replaced(&mut self, now: Nanos, settings: Settings, actions: &mut Vec<Action>) {
        if !self.settings.can_be_replaced_by(&settings) {
            return;
        }
        let before = std::mem::replace(&mut self.settings, settings);
        self.servers.replace_settings(now, &before, &self.settings);
        self.quota = FleetQuota::new(self.settings.balancers);
        if before.classes != self.settings.classes {
            self.load_limit = LoadLimit::default();
        }
        if (&before.classes, &before.limits) == (&self.settings.classes, &self.settings.limits) {
            self.concurrency.rebound(self.quota);
        } else {
            self.concurrency = ConcurrencyLimit::new(self.quota);
            self.setup_latency = SetupLatency::default();
        }
        self.update_capacity(now);
        let expired = self
            .requests
            .waiting_where(|request| self.retry_allowed_until(request) <= now);
        expired.into_iter().for_each(|id| self.give_up(id, actions));
        if self.timers.cancel_list_poll() {
            self.poll_server_list(MAX_CALL_INTERVAL / 2, actions);
        }
    }

    fn on_server_list(
        &mut self,
        now: Nanos,
        update: ListUpdate,
        entries: Vec<ServerEntry>,
        actions: &mut Vec<Action>,
    ) {
        match update {
            ListUpdate::Failed(quiet_for) => {
                self.list_failures += 1;
                return self.poll_server_list(quiet_for, actions);
            }
            ListUpdate::TimedOut(quiet_for) => return self.poll_server_list(quiet_for, actions),
            ListUpdate::Cached => self.servers.clear_ready(),
            ListUpdate::Snapshot => {
                self.list_failures = 0;
                self.servers.clear_ready();
            }
            ListUpdate::Delta => self.list_failures = 0,
        }
        self.groups.clear_orders();
        for entry in entries {
            self.servers.upsert(entry);
        }
        self.update_capacity(now);
        // The random lead gives each balancer its own order, so that not all begin with the same
        // servers.
        let rng = &mut self.rng;
        self.servers
            .update_rotation(|server| rng.random_range(0.0..1.0) / server.weight());
    }

    /// Recomputes what follows from the servers and the time: capacities, weights and budgets.
    fn update_capacity(&mut self, now: Nanos) {
        let rules = &self.settings.rules;
        if self
            .servers
            .update_capacities(now, |entry| capacity_fraction(rules, entry, now))
        {
            self.groups.clear_orders();
        }
        self.ready_weight = self.servers.ready().map(Server::weight).sum();
        self.ready_servers = self.servers.ready().count();
        let connections_on_warm = self.servers.load_on_warm() / self.mean_connection_load();
        let capacity = self.servers.capacity();
        self.slow_start
            .update(now, &self.settings.rules, capacity, connections_on_warm);
    }

    // ---- requests ----

    fn on_connect_requested(
        &mut self,
        now: Nanos,
        connect: ConnectRequest,
        actions: &mut Vec<Action>,
    ) {
        let id = connect.request;
        if self.requests.contains(id) {
            return;
        }
        if !self.settings.has_class(connect.class) {
            return actions.push(Action::Fail(id));
        }
        if !connect.is_reconnect {
            self.slow_start.count_new_client(now);
        }
        self.groups.count_request(connect.group);
        self.requests.insert(now, connect);
        self.place(now, id, actions);
    }

    fn on_connection_adopted(&mut self, now: Nanos, connect: ConnectRequest, server: ServerId) {
        if !self.settings.has_class(connect.class) {
            return;
        }
        let id = connect.request;
        self.groups.count_request(connect.group);
        self.requests.insert(now, connect);
        self.requests.adopt(id, server);
        self.add_connection(id, server);
    }

    fn on_permit_granted(&mut self, now: Nanos, id: RequestId, actions: &mut Vec<Action>) {
        if self.requests.is_waiting(id) {
            self.place(now, id, actions);
        }
    }

    fn on_queue_rejected(
        &mut self,
        id: RequestId,
        queue_drain_time: Option<Nanos>,
        actions: &mut Vec<Action>,
    ) {
        if self.requests.is_waiting(id) {
            self.requests.set_queue_drain_time(id, queue_drain_time);
            self.give_up(id, actions);
        }
    }

    // ---- timers ----

    pub(crate) fn set_timer(
        &mut self,
        after: Nanos,
        kind: TimerKind,
        actions: &mut Vec<Action>,
    ) -> TimerId {
        let timer = self.timers.add(kind);
        actions.push(Action::SetTimer { after, timer });
        timer
    }

    fn on_timer(&mut self, now: Nanos, timer: TimerId, actions: &mut Vec<Action>) {
        match self.timers.take(timer) {
            Some(TimerKind::Retry(id)) if self.requests.awaits_timer(id, timer) => {
                self.place(now, id, actions);
            }
            Some(TimerKind::Housekeeping) => self.run_housekeeping(now, actions),
            Some(TimerKind::ListPoll) => actions.push(Action::WatchServerList),
            Some(TimerKind::Retry(_)) | None => {}
        }
    }

    fn run_housekeeping(&mut self, now: Nanos, actions: &mut Vec<Action>) {
        let retention = self
            .settings
            .longest_deadline()
            .saturating_mul(FAILURE_RETENTION_DEADLINES);
        self.failures.expire(now, retention);
        self.update_capacity(now);
        self.raise_load_ceilings(now);
        self.rebalance(actions);
        self.fill_servers_in_slow_start(actions);
        self.drain_leaving_servers(actions);
        self.update_load_limit(now);
        actions.extend(self.overload_summary(now).map(Action::LogOverload));
        self.set_timer(HOUSEKEEPING_PERIOD, TimerKind::Housekeeping, actions);
    }
}
