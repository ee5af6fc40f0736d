//! Runs the policy: events go in, and its actions become commands.

use std::cmp::Reverse;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::time::Duration;

use beaconflow_admission::NotAdmitted;
use beaconflow_policy::Balancer;
use beaconflow_policy::{self as policy, Action, Nanos, ServerId};
use tracing::{debug, error, info};

use super::requests::{RequestPhase, RequestState};
use super::{AttemptTiming, ConnectionCommand, Core, TimerKind, affinity};

impl Core {
    /// Hands an event to the policy, executes its actions and grants permits to queued requests.
    pub(super) fn run_policy(&mut self, event: policy::Event) {
        self.run_policy_without_permits(event);
        self.grant_permits();
    }

    /// Hands an event to the policy and executes its actions.
    pub(super) fn run_policy_without_permits(&mut self, event: policy::Event) {
        let now = self.clock.now();
        let mut actions = std::mem::take(&mut self.actions);
        let (balancer, out) = (&mut self.policy, &mut actions);
        let handled = catch_unwind(AssertUnwindSafe(|| balancer.handle(now, event, out)));
        if handled.is_err() {
            actions.clear();
            self.restart_policy();
        }
        for action in actions.drain(..) {
            self.execute(now, action);
        }
        self.actions = actions;
    }

    /// Executes an action that was decided at `decided_at`.
    fn execute(&mut self, decided_at: Nanos, action: Action) {
        match action {
            Action::StartAttempt {
                request,
                server,
                begin_within,
                timeout,
            } => {
                let instant = |span| self.clock.instant(decided_at.saturating_add(span));
                let timing = AttemptTiming {
                    begin_by: instant(begin_within),
                    deadline_at: instant(timeout),
                };
                self.start_attempt(request.0, server, Duration::from_nanos(timeout), timing);
            }
            Action::Reject {
                request,
                retry_after,
            } => {
                self.send_final_answer(
                    request.0,
                    ConnectionCommand::Reject(retry_after.map(Duration::from_nanos)),
                );
            }
            Action::Fail(request) => self.send_final_answer(request.0, ConnectionCommand::Fail),
            Action::Migrate(request, reason) => {
                self.end_placement(request.0, affinity::end_reason_of_migration(reason));
                self.migrate(request.0, migration_reason(reason));
            }
            Action::Enqueue(request) => {
                if let Some(request_state) = self.requests.get(request.0) {
                    self.admission.enqueue(request_state.entry);
                }
            }
            Action::SetTimer { after, timer } => {
                self.set_timer(Duration::from_nanos(after), TimerKind::Policy(timer))
            }
            Action::ProbeServer(server) => {
                if let (Some(prober), Some(endpoint)) =
                    (&self.prober, self.endpoints.endpoint(server))
                {
                    prober.probe(server, endpoint);
                }
            }
            Action::WatchServerList => self.poll_discovery(),
            Action::LogOverload(text) => {
                info!(part = self.name, summary = %text, "overload summary")
            }
        }
    }

    /// Starts an attempt, or rejects the request if the server is not known.
    fn start_attempt(
        &mut self,
        id: u64,
        server: ServerId,
        timeout: Duration,
        timing: AttemptTiming,
    ) {
        let Some(endpoint) = self.endpoints.endpoint(server) else {
            return self.give_up_on(id);
        };
        debug!(part = self.name, request = id, server = %endpoint.name, within = ?timeout, "attempt started");
        let now = self.clock.now();
        let command = ConnectionCommand::StartAttempt { endpoint, timing };
        self.publish_slow_start_attempt(server, now);
        if let Some((entry, waited)) = self.requests.start_attempt(id, server, command, now) {
            self.admission.count_admitted(now, &entry, waited);
        }
    }

    pub(super) fn send_final_answer(&mut self, id: u64, answer: ConnectionCommand) {
        debug!(part = self.name, request = id, answer = ?answer, "final answer sent");
        match answer {
            ConnectionCommand::Reject(_) => self.requests.counts.rejected += 1,
            _ => self.requests.counts.failed += 1,
        }
        self.requests.send_command(id, answer);
        if let Some(request_state) = self.requests.close(id) {
            self.close_in_queue(&request_state, None);
        }
    }

    /// Sends the final answer of a request that the policy no longer decides on.
    pub(super) fn give_up_on(&mut self, id: u64) {
        if let Some(answer) = self.requests.get(id).map(RequestState::final_answer) {
            self.send_final_answer(id, answer);
        }
    }

    /// Removes a request from the admission queue; counts it if it never had an attempt.
    pub(super) fn close_in_queue(
        &mut self,
        request_state: &RequestState,
        reason: Option<NotAdmitted>,
    ) {
        self.admission.remove(request_state.entry.id);
        if request_state.has_no_attempt() {
            let has_timed_out =
                request_state.has_expired_in_queue || self.clock.now() >= request_state.deadline_at;
            let reason = reason.unwrap_or(if has_timed_out {
                NotAdmitted::TimedOut
            } else {
                NotAdmitted::Rejected
            });
            self.admission
                .count_not_admitted(&request_state.entry, reason);
        }
    }

    /// Asks a client to reconnect.
    pub(super) fn migrate(&mut self, id: u64, reason: &'static str) {
        debug!(
            part = self.name,
            request = id,
            why = reason,
            "client asked to migrate"
        );
        self.requests.send_command(id, ConnectionCommand::Migrate);
    }

    /// Replaces a policy that panicked. The new one adopts established connections; requests in
    /// flight get their final answer.
    pub(super) fn restart_policy(&mut self) {
        error!(part = self.name, "policy panicked; starting a new instance");
        self.seed = self.seed.wrapping_add(1);
        let Ok(balancer) = Balancer::new(self.settings.clone(), self.seed) else {
            return;
        };
        self.policy = balancer;
        self.timers
            .retain(|Reverse((_, _, kind))| !matches!(kind, TimerKind::Policy(_)));
        self.run_policy(policy::Event::ServerList {
            update: policy::ListUpdate::Snapshot,
            entries: self.endpoints.entries(),
        });
        // A pushed list is polled only after a failure, and a pending poll was lost with the former
        // policy.
        if self.settings.discovery == policy::DiscoveryMode::Pushed {
            self.poll_discovery();
        }
        for (id, phase) in self.requests.phases() {
            match phase {
                RequestPhase::Established(server) => {
                    let Some(request) = self.requests.renumber_attempt(id) else {
                        continue;
                    };
                    self.run_policy(policy::Event::ConnectionAdopted { request, server });
                }
                RequestPhase::Resuming(_) => {}
                RequestPhase::Waiting | RequestPhase::InFlight(_) => self.give_up_on(id),
            }
        }
    }
}

/// The reason of a migration, for the log.
fn migration_reason(reason: policy::MigrationReason) -> &'static str {
    match reason {
        policy::MigrationReason::ServerLeaving => "the server is leaving service",
        policy::MigrationReason::SlowMessages => "messages at the server are slow",
        policy::MigrationReason::Rebalancing => "the server holds more than its share",
        policy::MigrationReason::SlowStart => "a server in slow start has spare capacity",
    }
}

#[cfg(test)]
mod tests;
