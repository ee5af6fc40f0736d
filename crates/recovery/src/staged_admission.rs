//! Staged admission: clients are admitted in a fixed order, at the rate that servers in slow start
//! can take.

use rand::Rng;

use crate::admission_curve::AdmissionCurve;
use crate::admission_order::AdmissionOrder;
use crate::config::TICK_INTERVAL;
use crate::recovery::Recovery;
use crate::scope::SIMULTANEOUS_START_WINDOW;
use crate::{
    Action, AdmissionRequest, MS, Nanos, OutageScope, PeerStatus, RecoveryState, RecoveryStep,
    SECOND, ServiceMode,
};

/// Fraction of the admissions that follows the order; the rest is for clients that return late.
const PLANNED_FRACTION: f64 = 0.95;
/// Fraction of a server's overload limit that the clients of one group may use.
const MAX_GROUP_FRACTION: f64 = 0.05;
/// Greatest random delay of a deferred client's return after its position is admitted.
const RETRY_JITTER: Nanos = 500 * MS;
/// Shortest retry-after of a deferred client.
const MIN_RETRY_AFTER: Nanos = 250 * MS;
/// How long a peer's report of deferred clients is used.
const DEFERRED_REPORT_TTL: Nanos = 2 * SECOND;

impl Recovery {
    /// Starts staged admission after the queries.
    pub(crate) fn start_admission(&mut self, now: Nanos, out: &mut Vec<Action>) {
        if self.servers.source().is_none() {
            self.apply_remembered_list(now, out);
        }
        self.state = RecoveryState::StagedAdmission;
        self.decide_scope(now, out);
        self.limit_server_starts();
        self.admission_started_at =
            Some(self.admission_started_at.map_or(now, |from| from.min(now)));
        self.step_deadline_at = now.saturating_add(self.config.timeouts.staged_admission);
        self.quota_updated_at = now;
        self.plan_admission(now);
        if self.full_service_reason(now).is_none() {
            let servers = self.servers.accepting_servers().count();
            let reason = format!(
                "admitting clients in stages; clients: {}; servers: {servers}; outage scope: {}",
                self.order.total_clients().round(),
                self.scope()
            );
            self.log_step(
                out,
                RecoveryStep::StagedAdmission,
                reason.clone(),
                Some(self.step_deadline_at),
            );
            out.push(Action::SetServiceMode {
                mode: ServiceMode::Staged,
                reason,
            });
        }
    }

    /// Treats servers as started no earlier than the outage if that may have affected more than
    /// this process and no list is newer.
    pub(crate) fn limit_server_starts(&mut self) {
        let are_starts_doubted =
            self.scope() != OutageScope::Process && !self.has_list_since_outage();
        self.servers
            .set_earliest_start(are_starts_doubted.then_some(self.outage_started_at));
    }

    /// Adopts the start of admission of a peer that started together with this process and admitted
    /// clients earlier, so that all use the same admission curve.
    pub(crate) fn align_admission_start(&mut self, now: Nanos, status: &PeerStatus) {
        let started_together = status.uptime
            <= now
                .saturating_sub(self.outage_started_at)
                .saturating_add(SIMULTANEOUS_START_WINDOW);
        let Some(started_at) = status
            .serving_time
            .filter(|_| started_together)
            .map(|span| now.saturating_sub(span))
        else {
            return;
        };
        // Smaller differences come from transmission delays.
        if self
            .admission_started_at
            .is_none_or(|own| started_at.saturating_add(MIN_RETRY_AFTER) < own)
        {
            self.admission_started_at = Some(started_at);
            self.plan_admission(now);
        }
    }

    /// Computes the order and the curve again after a change. The curve continues from the clients
    /// admitted so far.
    pub(crate) fn plan_admission(&mut self, now: Nanos) {
        let (RecoveryState::StagedAdmission, Some(started_at)) =
            (self.state, self.admission_started_at)
        else {
            return;
        };
        let servers: Vec<_> = self.servers.accepting_servers().collect();
        let before = self.curve.take().map(|curve| curve.admitted_by(now));
        if servers.is_empty() {
            self.order = AdmissionOrder::default();
            return;
        }
        self.plan_order(servers.iter().map(|(weight, _)| weight).sum());
        let (slow_start, sustainable_arrivals) =
            (&self.config.slow_start, self.sustainable_arrivals());
        let (mut group_batch, mut group_span) = self.group_batch(&servers);
        let mut curve = AdmissionCurve::new(
            started_at,
            0.0,
            &servers,
            slow_start,
            (sustainable_arrivals, group_batch),
        );
        let admission_time = curve.time_to_admit(self.order.total_clients()).max(1);
        if group_span > admission_time {
            (group_batch, group_span) = (
                (group_batch * group_span as f64 / admission_time as f64)
                    .min(self.config.group_size),
                admission_time,
            );
            curve = AdmissionCurve::new(
                started_at,
                0.0,
                &servers,
                slow_start,
                (sustainable_arrivals, group_batch),
            );
        }
        self.order
            .set_group_spread(group_span as f64 / admission_time as f64);
        self.curve = Some(match before {
            Some(before) if before > curve.admitted_by(now) => AdmissionCurve::new(
                now,
                before,
                &servers,
                slow_start,
                (sustainable_arrivals, group_batch),
            ),
            _ => curve,
        });
    }

    /// The number of clients of a group that may reach one server within the overload window, and
    /// the span over which the group is spread to keep to it.
    fn group_batch(&self, servers: &[(f64, i64)]) -> (f64, Nanos) {
        let slow_start = &self.config.slow_start;
        let min_weight = servers
            .iter()
            .map(|(weight, _)| *weight)
            .fold(f64::INFINITY, f64::min);
        let min_limit = slow_start.overload_multiple
            * self.sustainable_arrivals()
            * min_weight
            * slow_start.initial_capacity
            * slow_start.overload_window as f64
            / SECOND as f64;
        let group_batch = (MAX_GROUP_FRACTION * min_limit).max(1.0);
        if self.config.group_size <= group_batch {
            return (self.config.group_size.max(1.0), 0);
        }
        (
            group_batch,
            (self.config.group_size / group_batch * slow_start.overload_window as f64) as Nanos,
        )
    }

    /// Computes the admission order from the best estimate of the previous clients.
    fn plan_order(&mut self, total_weight: f64) {
        let (remembered_clients, sum) = self.remembered_clients();
        let warm_up_clients =
            total_weight * self.sustainable_arrivals() * self.config.slow_start.warm_up_time as f64
                / SECOND as f64;
        let counted_clients = (self.client_count.len() * self.config.fleet_size as usize) as f64;
        let mut peer_estimates: Vec<f64> = self.peers_previous_clients.values().copied().collect();
        peer_estimates.sort_by(f64::total_cmp);
        let estimates = [
            self.previous_clients(),
            peer_estimates.get(peer_estimates.len() / 2).copied(),
            Some(f64::from(self.config.usual_clients)),
            Some(sum),
            Some(counted_clients),
        ];
        let total_clients = estimates
            .into_iter()
            .flatten()
            .find(|clients| *clients > 0.0)
            .unwrap_or(warm_up_clients);
        let order = match sum > 0.0 {
            true => AdmissionOrder::new(&self.config, remembered_clients, total_clients),
            false => AdmissionOrder::new(
                &self.config,
                &self.client_count.scaled_to(total_clients),
                total_clients,
            ),
        };
        self.order = order;
    }

    /// The reason to end staged admission; `None` while it has to continue.
    fn full_service_reason(&self, now: Nanos) -> Option<&'static str> {
        let warming = self.servers.warming_fraction(now, &self.config.slow_start);
        if now >= self.step_deadline_at {
            return Some("the time limit of staged admission was reached");
        }
        if self.scope() == OutageScope::Process && warming.is_some() {
            return Some("the outage affected only this process");
        }
        // At position 0 admission has just started: warm servers then take all clients at once.
        let are_all_positions_admitted =
            self.admitted_position >= self.order.total_clients() || self.admitted_position == 0.0;
        (warming == Some(0.0) && are_all_positions_admitted)
            .then_some("no server is in slow start and no client waits for its position")
    }

    /// Advances the admitted position and accrues quota, or switches to full service.
    pub(crate) fn advance_admission(&mut self, now: Nanos, out: &mut Vec<Action>) {
        let elapsed = now - self.quota_updated_at;
        if self.admitted_position > 0.0 && elapsed < TICK_INTERVAL / 16 {
            return;
        }
        if let Some(reason) = self.full_service_reason(now) {
            self.state = RecoveryState::Serving;
            self.curve = None;
            self.log_step(out, RecoveryStep::Serving, reason.into(), None);
            return out.push(Action::SetServiceMode {
                mode: ServiceMode::Full,
                reason: reason.into(),
            });
        }
        let Some(curve) = &self.curve else {
            self.quota_updated_at = now;
            return;
        };
        self.admitted_position = self
            .admitted_position
            .max(PLANNED_FRACTION * curve.admitted_by(now));
        let fleet_clients = curve.admitted_by(now) - curve.admitted_by(self.quota_updated_at);
        self.quota.accrue(
            fleet_clients / f64::from(self.config.fleet_size),
            elapsed,
            self.config.slow_start.overload_window,
        );
        self.quota_updated_at = now;
        self.lend_unused_quota(now, out);
    }

    /// Lends unused quota to a peer that defers clients, chosen at random in proportion to the rate
    /// of deferred clients.
    fn lend_unused_quota(&mut self, now: Nanos, out: &mut Vec<Action>) {
        if self.quota.lendable < 1.0 {
            return;
        }
        self.deferring_peers
            .retain(|_, (deferred_per_s, reported_at)| {
                *deferred_per_s > 0.0 && now < reported_at.saturating_add(DEFERRED_REPORT_TTL)
            });
        let total_deferred: f64 = self
            .deferring_peers
            .values()
            .map(|(deferred_per_s, _)| deferred_per_s)
            .sum();
        if total_deferred <= 0.0 {
            return;
        }
        let mut draw = self.rng.random_range(0.0..total_deferred);
        for (peer, (deferred_per_s, _)) in &self.deferring_peers {
            draw -= deferred_per_s;
            if draw < 0.0 {
                self.lent_count += 1;
                let clients = std::mem::take(&mut self.quota.lendable);
                return out.push(Action::LendQuota {
                    to: peer.clone(),
                    number: self.lent_count,
                    clients,
                });
            }
        }
    }

    /// Admits a client, or defers it with a time to return.
    pub(crate) fn admit_or_defer(
        &mut self,
        now: Nanos,
        request: &AdmissionRequest,
        out: &mut Vec<Action>,
    ) {
        let id = request.id;
        let Some(curve) = &self.curve else {
            let retry_after = self.rng.random_range(SECOND..3 * SECOND);
            return out.push(Action::Defer {
                id,
                retry_after,
                is_final: false,
            });
        };
        let position = self.order.position(&self.config, request);
        if position > self.admitted_position {
            let remaining = curve
                .time_of(position / PLANNED_FRACTION)
                .map_or(self.step_deadline_at, |at| at.min(self.step_deadline_at))
                .saturating_sub(now);
            let retry_after = remaining
                .max(MIN_RETRY_AFTER)
                .saturating_add(self.rng.random_range(0..RETRY_JITTER));
            return out.push(Action::Defer {
                id,
                retry_after,
                is_final: true,
            });
        }
        if self.quota.try_admit(&mut self.rng) {
            return out.push(Action::Admit { id });
        }
        // The time in which the quota admits the clients that are deferred for lack of it.
        let backlog = self.quota.deferred_per_s() / self.quota.rate().max(f64::MIN_POSITIVE);
        let backlog = ((backlog * SECOND as f64) as Nanos)
            .clamp(MIN_RETRY_AFTER, self.config.timeouts.max_retry_interval);
        let retry_after = MIN_RETRY_AFTER + self.rng.random_range(0..=2 * backlog);
        out.push(Action::Defer {
            id,
            retry_after,
            is_final: true,
        });
    }
}
