//! Results of attempts, measurements of connections and server lists, for the policy and the log.

use std::time::Duration;

use beaconflow_policy::{
    self as policy, AttemptEnd, AttemptOutcome, ConnectionMetric, Nanos, RequestId,
};
use tracing::{debug, info, warn};

use super::fleet_link::CoreEvent;
use super::lifecycle::LifecycleCommand;
use super::requests::EstablishedAttempt;
use super::{Core, CoreSnapshot, RESUME_RETRY_INTERVAL, TimerKind};
use crate::clock::nanos;
use crate::discovery::ServerList;

/// Slow messages at one server are reported to the policy at this interval.
const SLOW_REPORT_INTERVAL: Nanos = 1_000_000_000;

/// What the log tells of a list.
pub(super) struct ListSummary {
    generation: u64,
    update: policy::ListUpdate,
    entries: usize,
}

impl ListSummary {
    pub(super) fn new(list: &ServerList, is_cached: bool) -> ListSummary {
        ListSummary {
            generation: list.generation,
            update: match (is_cached, list.reset) {
                (true, _) => policy::ListUpdate::Cached,
                (false, true) => policy::ListUpdate::Snapshot,
                (false, false) => policy::ListUpdate::Delta,
            },
            entries: list.instances.len(),
        }
    }
}

impl Core {
    pub(super) fn apply_list(&mut self, list: ServerList, is_cached: bool) {
        let parts = [ListSummary::new(&list, is_cached)];
        self.apply_merged_list(list, &parts, is_cached);
    }

    /// Applies a list that was merged from these parts, and logs each of them.
    pub(super) fn apply_merged_list(
        &mut self,
        list: ServerList,
        parts: &[ListSummary],
        is_cached: bool,
    ) {
        self.is_list_of_fleet = false;
        let ListSummary {
            update, entries, ..
        } = ListSummary::new(&list, is_cached);
        for listed in &list.instances {
            debug!(part = self.name, entry = ?listed, "server listed");
        }
        self.publish(|_| Some(CoreEvent::ListApplied(list.clone(), is_cached)));
        let effective = self.endpoints.apply_list(list, self.now_ms(), |zone| {
            self.active_settings.site_settings().zone(zone)
        });
        parts.iter().for_each(|part| self.log_list(part));
        self.run_policy(policy::Event::ServerList {
            update,
            entries: effective,
        });
        self.forget_removed_servers();
        self.record_server_starts();
        self.apply_overrides();
        // An empty default list says nothing about the servers.
        if !is_cached || entries > 0 {
            // Only commands of operators can be refused.
            let _ = self.on_lifecycle_command(LifecycleCommand::ServersKnown);
        }
    }

    fn log_list(&self, list: &ListSummary) {
        let ListSummary {
            generation,
            update,
            entries,
        } = list;
        if self.applied_lists.is_allowed(self.name) {
            info!(part = self.name, generation, kind = ?update, entries, "server list applied");
        }
    }

    /// Forgets the servers that were removed longest ago. Ever new names would add up otherwise.
    fn forget_removed_servers(&mut self) {
        if !self.endpoints.has_excess_removed() {
            return;
        }
        let mut referenced = self.policy.referenced_servers();
        referenced.extend(self.requests.referenced_servers());
        let forgotten = self.endpoints.forget_removed(&referenced);
        if !forgotten.is_empty() {
            self.run_policy(policy::Event::ServersForgotten(forgotten));
        }
    }

    /// The watch ended; the policy decides when to poll again.
    pub(super) fn on_discovery_lost(&mut self, update: policy::ListUpdate) {
        self.publish(|_| Some(CoreEvent::DiscoveryLost));
        self.run_policy(policy::Event::ServerList {
            update,
            entries: Vec::new(),
        });
    }

    pub(super) fn on_attempt_established(&mut self, id: u64) {
        let now = self.clock.now();
        let Some(EstablishedAttempt {
            attempt,
            server,
            was_resuming,
            class,
            elapsed,
        }) = self.requests.establish(id, now)
        else {
            return;
        };
        debug!(part = self.name, request = id, was_resuming, took = ?Duration::from_nanos(elapsed), "connection established");
        if was_resuming {
            let Some(request) = self.requests.renumber_attempt(id) else {
                return;
            };
            self.run_policy(policy::Event::ConnectionAdopted { request, server });
        } else {
            self.admission.record_setup(class, elapsed);
            self.run_policy(policy::Event::AttemptEstablished {
                request: RequestId(id),
                attempt,
            });
        }
        self.publish_established(id, server);
        self.drain_established(id);
    }

    pub(super) fn on_attempt_ended(&mut self, id: u64, outcome: AttemptOutcome, took: Duration) {
        let Some(ended) = self.requests.end_attempt(id, outcome) else {
            return;
        };
        debug!(
            part = self.name,
            request = id,
            stood = ended.was_established,
            ?outcome,
            ?took,
            "attempt ended"
        );
        self.publish_attempt_end(id, &ended, outcome);
        if ended.was_resuming {
            let name = self
                .requests
                .get(id)
                .and_then(|request_state| request_state.request.resumed_server.as_deref());
            let name = name.unwrap_or_default();
            warn!(part = self.name, server = name, how = ?outcome, "resuming a connection failed; it will be retried");
            // A server may be unreachable while this balancer starts.
            return self.set_timer(RESUME_RETRY_INTERVAL, TimerKind::ResumeConnection(id));
        }
        if ended.was_established {
            self.requests.close(id);
        }
        self.run_policy(policy::Event::AttemptEnded(AttemptEnd {
            request: RequestId(id),
            attempt: ended.attempt,
            outcome,
            elapsed: nanos(took),
            is_final: ended.was_established,
        }));
    }

    pub(super) fn on_connection_measured(&mut self, id: u64, metric: ConnectionMetric) {
        let Some((attempt, server)) = self.requests.established_attempt(id) else {
            return;
        };
        debug!(
            part = self.name,
            request = id,
            ?metric,
            "connection measured"
        );
        if let ConnectionMetric::MessageLatency(delay) = metric {
            let class = self.requests.get(id).map(|request| request.request.class);
            let class = class.and_then(|class| self.settings.classes.get(class));
            let is_slow = class.is_some_and(|class| delay >= class.slow_message_threshold());
            if !self.endpoints.should_report_latency(
                server,
                self.clock.now(),
                is_slow,
                SLOW_REPORT_INTERVAL,
            ) {
                return;
            }
        }
        self.run_policy(policy::Event::ConnectionMeasured {
            request: RequestId(id),
            attempt,
            metric,
        });
    }

    pub(super) fn snapshot(&self) -> CoreSnapshot {
        let established = self.requests.established_by_server();
        CoreSnapshot {
            counts: self.requests.counts.clone(),
            open_requests: self.requests.len(),
            established: established.values().sum(),
            servers: self.endpoints.snapshots(&established),
            coverage: self.coverage.clone(),
            queued: self.admission.queued(),
            has_lost_overrides: self.has_lost_overrides,
        }
    }

    pub(super) fn log_counts(&self, snapshot: &CoreSnapshot) {
        let counts = &snapshot.counts;
        let [
            ok,
            error,
            full,
            timed_out,
            connect_failed,
            reset,
            cancelled,
            not_sent,
        ] = counts.outcomes;
        info!(
            part = self.name,
            open = snapshot.open_requests,
            waiting = snapshot.queued,
            standing = snapshot.established,
            opened = counts.opened,
            adopted = counts.adopted,
            served = counts.served,
            unavailable = counts.rejected,
            failed = counts.failed,
            left = counts.left,
            moved = counts.migrated,
            pinned = counts.pinned,
            passes = counts.attempts,
            ok,
            error,
            full,
            timed_out,
            connect_failed,
            reset,
            cancelled,
            not_sent,
            "request counters"
        );
    }
}
