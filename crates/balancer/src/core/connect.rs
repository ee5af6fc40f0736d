//! New requests: each is registered and goes to the policy, or resumes its connection.

use std::sync::Arc;

use beaconflow_policy as policy;
use tracing::debug;

use crate::clock::nanos;

use super::{
    AttemptTiming, ClientRequest, CommandSender, ConnectionCommand, Core, RESUME_ATTEMPT_TIMEOUT,
    RESUME_RETRY_INTERVAL, TimerKind,
};

impl Core {
    /// Registers a request. One that held a connection before the start resumes it at its server
    /// without a decision of the policy.
    pub(super) fn on_connect_requested(
        &mut self,
        id: u64,
        client_request: ClientRequest,
        commands: Arc<dyn CommandSender>,
    ) {
        let is_resumed = client_request.resumed_server.is_some();
        let now = self.now_ms();
        let pin = self
            .with_overrides(|core| {
                core.endpoints
                    .pin(client_request.group, client_request.tenant, now)
            })
            .flatten();
        let affinity_pin = if is_resumed || pin.is_some() {
            None
        } else {
            self.affinity_pin(id, &client_request)
        };
        let deadline_at = client_request
            .received_at
            .saturating_add(nanos(client_request.client_timeout));
        let entry = self.admission.entry(id, &client_request, deadline_at);
        if !is_resumed {
            self.admission
                .count_request(self.clock.now(), &client_request, &entry);
        }
        self.log_request(id, &client_request);
        let connect_request =
            self.requests
                .open(id, client_request, commands, (pin, affinity_pin), entry);
        if !self.accepts_new_requests() {
            // A connection placed now would have to be migrated at once.
            self.send_final_answer(id, ConnectionCommand::Reject(None));
        } else if is_resumed {
            self.resume_connection(id);
        } else if !self.request_staged_admission(id) {
            self.run_policy(policy::Event::ConnectRequested(connect_request));
        }
    }

    fn log_request(&self, id: u64, client_request: &ClientRequest) {
        debug!(
            part = self.name,
            request = id,
            key = client_request.client_key,
            group = client_request.group,
            class = client_request.class,
            load = client_request.expected_load,
            again = client_request.is_reconnect,
            held_by = client_request.resumed_server.as_deref(),
            patience_ms = client_request.client_timeout.as_millis(),
            "request opened"
        );
    }

    /// Registers an established connection. One on an unknown server is migrated.
    pub(super) fn on_connection_adopted(
        &mut self,
        id: u64,
        client_request: ClientRequest,
        server: &str,
        commands: Arc<dyn CommandSender>,
    ) {
        let entry = self
            .admission
            .entry(id, &client_request, client_request.received_at);
        self.requests
            .open(id, client_request, commands, (None, None), entry);
        let Some((server, _)) = self.endpoints.by_name(server) else {
            self.migrate(id, "the server is not in the list of this process");
            return drop(self.requests.close(id));
        };
        if let Some(request) = self.requests.adopt(id, server) {
            self.run_policy(policy::Event::ConnectionAdopted { request, server });
            self.publish_established(id, server);
            self.drain_established(id);
        }
    }

    /// Starts an attempt to resume a connection from before the start.
    pub(super) fn resume_connection(&mut self, id: u64) {
        let Some(request_state) = self.requests.get(id) else {
            return;
        };
        let now = self.clock.now();
        if now >= request_state.deadline_at {
            return self.send_final_answer(id, ConnectionCommand::Fail);
        }
        // One attempt must not use up an unlimited client timeout.
        let deadline_at = self.clock.instant(
            request_state
                .deadline_at
                .min(now.saturating_add(nanos(RESUME_ATTEMPT_TIMEOUT))),
        );
        let timing = AttemptTiming {
            begin_by: deadline_at,
            deadline_at,
        };
        let name = request_state
            .request
            .resumed_server
            .as_deref()
            .unwrap_or_default();
        match self.endpoints.by_name(name) {
            Some((server, endpoint)) => {
                self.requests.start_attempt(
                    id,
                    server,
                    ConnectionCommand::StartAttempt { endpoint, timing },
                    now,
                );
            }
            None => self.set_timer(RESUME_RETRY_INTERVAL, TimerKind::ResumeConnection(id)),
        }
    }
}
