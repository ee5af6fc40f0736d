//! Requests that are owed an answer, and the connections that they became.

use std::collections::{BTreeMap, BTreeSet};

use crate::event::{ConnectRequest, Pin};
use crate::ids::{RequestId, ServerId, TimerId};
use crate::time::Nanos;

/// Where a request is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum RequestPhase {
    /// It waits for an attempt.
    Waiting,
    /// An attempt is in flight.
    InFlight(ServerId),
    /// Its connection is established.
    Established(ServerId),
}

/// The first attempt that may have been executed.
#[derive(Clone, Copy)]
pub(crate) struct PossibleExecution {
    pub(crate) server: ServerId,
    pub(crate) sent_at: Nanos,
}

/// State of one request.
pub(crate) struct RequestState {
    pub(crate) connect: ConnectRequest,
    received_at: Nanos,
    pub(crate) phase: RequestPhase,
    pub(crate) attempts: u32,
    /// When the latest attempt was sent.
    pub(crate) sent_at: Nanos,
    pub(crate) possible_execution: Option<PossibleExecution>,
    pub(crate) last_failed_server: Option<ServerId>,
    /// Servers probed for it.
    pub(crate) probes_sent: u32,
    /// The server whose probe it waits for.
    awaited_probe: Option<ServerId>,
    /// The timer that it waits for.
    awaited_timer: Option<TimerId>,
    /// Time in which the admission queue that rejected it would drain.
    pub(crate) queue_drain_time: Option<Nanos>,
}

/// An attempt or connection that is under way.
#[derive(Clone, Copy)]
pub(crate) struct CurrentAttempt {
    pub(crate) server: ServerId,
    pub(crate) is_established: bool,
}

/// All requests.
#[derive(Default)]
pub(crate) struct RequestTable {
    requests: BTreeMap<RequestId, RequestState>,
    /// Attempts in flight.
    in_flight: usize,
    /// The requests that wait for the answer of a probe, by server.
    awaiting_probe: BTreeMap<ServerId, BTreeSet<RequestId>>,
}

impl RequestState {
    fn new(now: Nanos, connect: ConnectRequest) -> RequestState {
        RequestState {
            connect,
            received_at: now,
            phase: RequestPhase::Waiting,
            attempts: 0,
            sent_at: 0,
            possible_execution: None,
            last_failed_server: None,
            probes_sent: 0,
            awaited_probe: None,
            awaited_timer: None,
            queue_drain_time: None,
        }
    }

    /// The time that its client waits for a connection, from the request to the deadline.
    pub(crate) fn client_time(&self) -> Nanos {
        self.connect.deadline_at.saturating_sub(self.received_at)
    }

    /// Whether its client was neither pinned nor migrated or disconnected before.
    pub(crate) fn is_free_to_migrate(&self) -> bool {
        self.connect.pin.is_none() && !self.connect.is_reconnect
    }

    fn is_waiting(&self) -> bool {
        self.phase == RequestPhase::Waiting
    }
}

impl RequestTable {
    pub(crate) fn get(&self, id: RequestId) -> Option<&RequestState> {
        self.requests.get(&id)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (RequestId, &RequestState)> {
        self.requests.iter().map(|(id, request)| (*id, request))
    }

    pub(crate) fn contains(&self, id: RequestId) -> bool {
        self.requests.contains_key(&id)
    }

    pub(crate) fn len(&self) -> usize {
        self.requests.len()
    }

    /// Attempts in flight that are not established.
    pub(crate) fn in_flight(&self) -> usize {
        self.in_flight
    }

    pub(crate) fn is_waiting(&self, id: RequestId) -> bool {
        self.get(id).is_some_and(RequestState::is_waiting)
    }

    /// The requests that wait for an attempt and match.
    pub(crate) fn waiting_where(&self, is_match: impl Fn(&RequestState) -> bool) -> Vec<RequestId> {
        let matching = self
            .iter()
            .filter(|(_, request)| request.is_waiting() && is_match(request));
        matching.map(|(id, _)| id).collect()
    }

    pub(crate) fn insert(&mut self, now: Nanos, connect: ConnectRequest) {
        self.requests
            .insert(connect.request, RequestState::new(now, connect));
    }

    /// Removes a request whose load has been released.
    pub(crate) fn remove(&mut self, id: RequestId) {
        self.requests.remove(&id);
    }

    pub(crate) fn set_pin(&mut self, id: RequestId, pin: Option<Pin>) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.connect.pin = pin;
        }
    }

    pub(crate) fn set_queue_drain_time(&mut self, id: RequestId, drain_time: Option<Nanos>) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.queue_drain_time = drain_time;
        }
    }

    /// Replaces the load of a request; returns the former one.
    pub(crate) fn replace_load(&mut self, id: RequestId, load: f64) -> Option<f64> {
        self.requests
            .get_mut(&id)?
            .connect
            .expected_load
            .replace(load)
    }

    /// The servers that requests refer to.
    pub(crate) fn referenced_servers(&self) -> BTreeSet<ServerId> {
        let servers_of = |request: &RequestState| {
            let current = match request.phase {
                RequestPhase::Waiting => None,
                RequestPhase::InFlight(server) | RequestPhase::Established(server) => Some(server),
            };
            let executed = request.possible_execution.map(|execution| execution.server);
            let pinned = request.connect.pin.and_then(|pin| pin.server);
            [current, executed, pinned, request.awaited_probe]
        };
        self.requests
            .values()
            .flat_map(servers_of)
            .flatten()
            .collect()
    }

    // ---- waiting for timers and probes ----

    /// Whether a request waits for this timer.
    pub(crate) fn awaits_timer(&self, id: RequestId, timer: TimerId) -> bool {
        self.get(id)
            .is_some_and(|request| request.is_waiting() && request.awaited_timer == Some(timer))
    }

    pub(crate) fn await_timer(&mut self, id: RequestId, timer: TimerId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.awaited_timer = Some(timer);
            request.awaited_probe = None;
        }
    }

    pub(crate) fn await_probe(&mut self, id: RequestId, server: ServerId) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.probes_sent += 1;
        request.awaited_probe = Some(server);
        self.awaiting_probe.entry(server).or_default().insert(id);
    }

    /// Takes the requests that still wait for a server's probe.
    pub(crate) fn take_awaiting_probe(&mut self, server: ServerId) -> BTreeSet<RequestId> {
        let mut awaiting = self.awaiting_probe.remove(&server).unwrap_or_default();
        awaiting.retain(|id| {
            self.get(*id)
                .is_some_and(|request| request.awaited_probe == Some(server))
        });
        awaiting
    }

    // ---- attempts ----

    /// The server and state of this attempt, if it is the one that is under way.
    pub(crate) fn current_attempt(&self, id: RequestId, attempt: u32) -> Option<CurrentAttempt> {
        let request = self.get(id)?;
        if attempt.checked_add(1) != Some(request.attempts) {
            return None;
        }
        match request.phase {
            RequestPhase::InFlight(server) => Some(CurrentAttempt {
                server,
                is_established: false,
            }),
            RequestPhase::Established(server) => Some(CurrentAttempt {
                server,
                is_established: true,
            }),
            RequestPhase::Waiting => None,
        }
    }

    pub(crate) fn begin_attempt(&mut self, now: Nanos, id: RequestId, server: ServerId) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.attempts += 1;
        request.awaited_probe = None;
        request.phase = RequestPhase::InFlight(server);
        request.sent_at = now;
        self.in_flight += 1;
    }

    pub(crate) fn establish(&mut self, id: RequestId, server: ServerId) {
        if let Some(request) = self.requests.get_mut(&id) {
            self.in_flight -= usize::from(matches!(request.phase, RequestPhase::InFlight(_)));
            request.phase = RequestPhase::Established(server);
        }
    }

    /// A new request is established at a server from the outset, as its first attempt.
    pub(crate) fn adopt(&mut self, id: RequestId, server: ServerId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.attempts = 1;
            request.phase = RequestPhase::Established(server);
        }
    }

    /// Returns a request to waiting; returns the server that its attempt or connection was at.
    pub(crate) fn release(&mut self, id: RequestId) -> Option<ServerId> {
        let request = self.requests.get_mut(&id)?;
        let (RequestPhase::InFlight(server) | RequestPhase::Established(server)) = request.phase
        else {
            return None;
        };
        self.in_flight -= usize::from(matches!(request.phase, RequestPhase::InFlight(_)));
        request.phase = RequestPhase::Waiting;
        Some(server)
    }

    pub(crate) fn record_failure(
        &mut self,
        id: RequestId,
        server: ServerId,
        may_have_executed: bool,
    ) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.last_failed_server = Some(server);
        if may_have_executed {
            let sent_at = request.sent_at;
            request
                .possible_execution
                .get_or_insert(PossibleExecution { server, sent_at });
        }
    }
}
