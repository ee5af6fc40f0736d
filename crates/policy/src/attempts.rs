//! Outcomes of attempts and of the connections that they become.

use crate::action::Action;
use crate::balancer::Balancer;
use crate::event::{AttemptEnd, AttemptOutcome, ConnectionMetric};
use crate::ids::{RequestId, ServerId};
use crate::overload::MILD_RELIEF;
use crate::time::Nanos;

/// Resets are a server's own beyond this multiple of its share; below it they are the network's.
const OWN_RESETS_FACTOR: f64 = 2.0;

impl Balancer {
    pub(crate) fn on_attempt_established(&mut self, now: Nanos, id: RequestId, attempt: u32) {
        let Some(current) = self.requests.current_attempt(id, attempt) else {
            return;
        };
        if current.is_established {
            return;
        }
        self.requests.establish(id, current.server);
        self.record_success(id, current.server);
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let elapsed = now.saturating_sub(request.sent_at);
        self.concurrency.on_success(elapsed, request.client_time());
        self.setup_latency.on_success(now, elapsed);
    }

    pub(crate) fn on_connection_measured(
        &mut self,
        now: Nanos,
        id: RequestId,
        attempt: u32,
        metric: ConnectionMetric,
        actions: &mut Vec<Action>,
    ) {
        let Some(current) = self.requests.current_attempt(id, attempt) else {
            return;
        };
        if !current.is_established {
            return;
        }
        match metric {
            ConnectionMetric::Load(load) => self.replace_load(id, current.server, load),
            ConnectionMetric::MessageLatency(latency) => {
                let Some(class) = self.requests.get(id).map(|request| request.connect.class) else {
                    return;
                };
                self.on_message_latency(now, class, current.server, latency, actions);
            }
        }
    }

    pub(crate) fn on_attempt_ended(
        &mut self,
        now: Nanos,
        end: AttemptEnd,
        actions: &mut Vec<Action>,
    ) {
        let Some(current) = self.requests.current_attempt(end.request, end.attempt) else {
            return;
        };
        if current.is_established || end.is_final || end.outcome == AttemptOutcome::Served {
            self.on_request_ended(now, end, current.server, current.is_established, actions);
        } else {
            self.on_attempt_failed(now, end, current.server, actions);
        }
    }

    /// The request is over. A connection that was established is never retried.
    fn on_request_ended(
        &mut self,
        now: Nanos,
        end: AttemptEnd,
        server: ServerId,
        was_established: bool,
        actions: &mut Vec<Action>,
    ) {
        let id = end.request;
        let client_key = self
            .requests
            .get(id)
            .and_then(|request| request.connect.client_key);
        if end.outcome == AttemptOutcome::Served && !was_established {
            self.record_success(id, server);
        }
        let is_servers_own_reset = end.outcome == AttemptOutcome::Reset
            && was_established
            && self.servers.record_reset(now, server) > OWN_RESETS_FACTOR;
        self.remove_request(id);
        if is_servers_own_reset {
            if let Some(key) = client_key {
                self.failures.increment(now, key);
            }
            self.eject(now, server);
            self.record_overload(now, server, MILD_RELIEF);
        }
        if !end.is_final {
            actions.push(Action::Fail(id));
        }
    }

    /// An attempt failed before its connection was established.
    fn on_attempt_failed(
        &mut self,
        now: Nanos,
        end: AttemptEnd,
        server: ServerId,
        actions: &mut Vec<Action>,
    ) {
        let AttemptEnd {
            request: id,
            outcome,
            elapsed,
            ..
        } = end;
        let client_key = self
            .requests
            .get(id)
            .and_then(|request| request.connect.client_key);
        self.release_connection(id);
        self.requests
            .record_failure(id, server, !outcome.proves_not_executed());
        match outcome {
            AttemptOutcome::NotSent => return self.place(now, id, actions),
            AttemptOutcome::Cancelled => {}
            _ => self.eject(now, server),
        }
        if let Some(key) = client_key {
            self.failures.increment(now, key);
        }
        if outcome == AttemptOutcome::TimedOut {
            self.setup_latency.on_timeout(now, server, elapsed);
        }
        if matches!(
            outcome,
            AttemptOutcome::ServerError | AttemptOutcome::TimedOut
        ) {
            self.concurrency.on_overload(now);
        }
        self.back_off(now, id, actions);
    }

    /// Clears the failures of the client and reinstates the server.
    fn record_success(&mut self, id: RequestId, server: ServerId) {
        let client_key = self
            .requests
            .get(id)
            .and_then(|request| request.connect.client_key);
        if let Some(key) = client_key {
            self.failures.clear(key);
        }
        self.reinstate(server);
    }
}
