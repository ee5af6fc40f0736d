//! The state machine of the recovery.

mod lists;
mod outage_scope;
mod remembered;

use std::collections::BTreeMap;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::admission_curve::AdmissionCurve;
use crate::admission_order::{AdmissionOrder, ClientCount};
use crate::admission_quota::AdmissionQuota;
use crate::clock::WallClock;
use crate::config::TICK_INTERVAL;
use crate::queries::QueryState;
use crate::scope::{ScopeEvidence, ScopeFinding};
use crate::server_table::{ListContext, ServerTable};
use crate::validity::MemoryOwner;
use crate::{
    Action, AdmissionRequest, ConfigError, Event, EvidenceSource, List, Millis, Nanos, PeerStatus,
    PreviousClients, RecoveryConfig, RecoveryState, RecoveryStep, RememberedKind, SECOND,
    ServiceMode, Validity,
};

/// Offset of the internal clock against the host's, so that times before the host's zero are not
/// negative.
const EPOCH_OFFSET: Nanos = 86_400 * SECOND;
/// Limit on the rate of deferred clients that is accepted from a peer.
const MAX_DEFERRED_PER_S: f64 = 1e9;

/// The recovery of one process from its start or a suspension to full service.
pub struct Recovery {
    pub(crate) config: RecoveryConfig,
    pub(crate) rng: Pcg64Mcg,
    pub(crate) state: RecoveryState,
    incarnation: u64,
    /// When the process started, or when it handled its last event before a suspension.
    pub(crate) outage_started_at: Nanos,
    /// When the latest event was handled.
    pub(crate) last_event_at: Nanos,
    pub(crate) clock: Option<WallClock>,
    pub(crate) memory: Option<RememberedState>,
    pub(crate) validities: BTreeMap<RememberedKind, (Validity, &'static str)>,
    pub(crate) evidence: ScopeEvidence,
    pub(crate) scope_finding: Option<ScopeFinding>,
    pub(crate) servers: ServerTable,
    /// Indexed like [`EvidenceSource::ALL`].
    pub(crate) queries: [QueryState; 4],
    /// Latest end of the present step.
    pub(crate) step_deadline_at: Nanos,
    /// Set when the wall clock jumps ahead of the monotonic one: a peer's restart reported before
    /// this time shows that the process was suspended.
    clock_doubted_until: Nanos,
    pub(crate) client_count: ClientCount,
    pub(crate) peers_previous_clients: BTreeMap<String, f64>,
    /// The rate of deferred clients by peer, and when it was reported.
    pub(crate) deferring_peers: BTreeMap<String, (f64, Nanos)>,
    /// When the first of the processes that started together began to admit clients.
    pub(crate) admission_started_at: Option<Nanos>,
    pub(crate) order: AdmissionOrder,
    pub(crate) curve: Option<AdmissionCurve>,
    pub(crate) admitted_position: f64,
    pub(crate) quota: AdmissionQuota,
    /// When the quota was last updated.
    pub(crate) quota_updated_at: Nanos,
    pub(crate) lent_count: u64,
}

/// The memory that was read at the start.
pub(crate) struct RememberedState {
    owner: MemoryOwner,
    pub(crate) written_at: Millis,
    /// The remembered list; taken out when it is applied.
    list: Option<List>,
    pub(crate) previous_clients: Vec<PreviousClients>,
    clients_per_server_s: Option<f64>,
}

impl Recovery {
    /// Creates the recovery of a process that has not started. The same seed and events give the
    /// same actions.
    ///
    /// # Errors
    ///
    /// Returns all configuration fields that are outside their range.
    pub fn new(config: RecoveryConfig, seed: u64) -> Result<Recovery, Vec<ConfigError>> {
        let errors = config.errors();
        if !errors.is_empty() {
            return Err(errors);
        }
        Ok(Recovery {
            config,
            rng: Pcg64Mcg::seed_from_u64(seed),
            state: RecoveryState::NotStarted,
            incarnation: 0,
            outage_started_at: 0,
            last_event_at: 0,
            clock: None,
            memory: None,
            validities: BTreeMap::new(),
            evidence: ScopeEvidence::default(),
            scope_finding: None,
            servers: ServerTable::default(),
            queries: Default::default(),
            step_deadline_at: 0,
            clock_doubted_until: 0,
            client_count: ClientCount::default(),
            peers_previous_clients: BTreeMap::new(),
            deferring_peers: BTreeMap::new(),
            admission_started_at: None,
            order: AdmissionOrder::default(),
            curve: None,
            admitted_position: 0.0,
            quota: AdmissionQuota::default(),
            quota_updated_at: 0,
            lent_count: 0,
        })
    }

    /// Handles one event at the given readings of the monotonic and the wall clock, and appends the
    /// resulting actions to `out`.
    pub fn handle(&mut self, now: Nanos, wall: Millis, event: Event, out: &mut Vec<Action>) {
        let now = now.saturating_add(EPOCH_OFFSET).max(self.last_event_at);
        let gap = now - self.last_event_at;
        match self.state {
            RecoveryState::NotStarted => self.start(now, wall, &event, out),
            _ => self.check_clocks(now, wall, gap, out),
        }
        self.last_event_at = now;
        self.advance_time(now, out);
        match event {
            Event::Started {
                memory: Some(memory),
                ..
            } => self.load_memory(now, memory, out),
            Event::Started { memory: None, .. } | Event::Tick => {}
            Event::PeerReported(status) => self.on_peer_status(now, &status, out),
            Event::ListReceived(list) => self.apply_list(now, &list, out),
            Event::QueryAnswered(source) => self.on_answered(source),
            Event::QueryFailed(source) => self.on_query_failed(now, source, out),
            Event::ServerStarted {
                name,
                started_at_ms,
            } => self.on_server_started(now, &name, started_at_ms, out),
            Event::AdmissionRequested(request) => {
                return self.on_admission_requested(now, &request, out);
            }
            Event::QuotaLent {
                from,
                number,
                clients,
            } => self.quota.receive_lent(&from, number, clients),
        }
        self.advance_time(now, out);
    }

    /// When the next [`Event::Tick`] is due; `None` before the start.
    pub fn next_tick_at(&self) -> Option<Nanos> {
        let retry_at = self.queries.iter().filter_map(|query| query.retry_at).min();
        let step = match self.state {
            RecoveryState::NotStarted => return None,
            RecoveryState::Querying(_) => self
                .step_deadline_at
                .min(self.last_event_at.saturating_add(TICK_INTERVAL)),
            RecoveryState::StagedAdmission => self.last_event_at.saturating_add(TICK_INTERVAL),
            // Ticks continue so that a gap between events shows a suspension.
            RecoveryState::Serving => self
                .last_event_at
                .saturating_add(self.config.timeouts.suspended_after / 2),
        };
        let drain_release = self.servers.next_drain_release().unwrap_or(Nanos::MAX);
        Some(
            step.min(retry_at.unwrap_or(Nanos::MAX))
                .min(drain_release)
                .max(self.last_event_at)
                .saturating_sub(EPOCH_OFFSET),
        )
    }

    fn start(&mut self, now: Nanos, wall: Millis, event: &Event, out: &mut Vec<Action>) {
        self.outage_started_at = now;
        let (incarnation, written_at) = match event {
            Event::Started {
                incarnation,
                memory,
            } => (
                *incarnation,
                memory.as_ref().map(|memory| memory.written_at),
            ),
            _ => (0, None),
        };
        self.incarnation = incarnation;
        self.clock = Some(WallClock::new(now, wall, written_at));
        if written_at.is_none() {
            self.log_step(
                out,
                RecoveryStep::MemoryRead,
                "no stored memory was found".into(),
                None,
            );
        }
        self.assess_clock(now, out);
        self.query_next(now, 0, out);
    }

    /// Detects steps of the wall clock and suspensions of the process.
    fn check_clocks(&mut self, now: Nanos, wall: Millis, gap: Nanos, out: &mut Vec<Action>) {
        let suspended_after = self.config.timeouts.suspended_after;
        let clock_step = self
            .clock
            .as_mut()
            .and_then(|clock| clock.detect_step(now, wall, &self.config.retention));
        if let Some(step) = clock_step {
            self.log_step(
                out,
                RecoveryStep::Clock,
                format!("the wall clock was stepped by {step} ms against the monotonic clock"),
                None,
            );
            if step > 0 && step as u64 >= suspended_after / crate::MS {
                self.clock_doubted_until = now.saturating_add(suspended_after);
            }
            self.assess_clock(now, out);
        }
        if gap > suspended_after {
            self.resume(
                now,
                self.last_event_at,
                format!(
                    "no event was handled for {} s: the process was suspended",
                    gap / SECOND
                ),
                out,
            );
        }
    }

    /// Starts the recovery again after a suspension. The known state counts as outdated.
    fn resume(
        &mut self,
        now: Nanos,
        outage_started_at: Nanos,
        reason: String,
        out: &mut Vec<Action>,
    ) {
        self.outage_started_at = outage_started_at;
        self.clock_doubted_until = 0;
        self.servers.demote_to_memory();
        self.scope_finding = None;
        self.curve = None;
        self.admitted_position = 0.0;
        self.admission_started_at = None;
        self.quota = AdmissionQuota::default();
        self.queries = Default::default();
        self.log_step(
            out,
            RecoveryStep::Resumed,
            reason,
            Some(now.saturating_add(self.config.max_time_to_admission())),
        );
        let (kind, validity) = (RememberedKind::ConnectionCounts, Validity::Discarded);
        out.push(Action::RememberedStateAssessed {
            kind,
            validity,
            reason: "the process was suspended in the meantime",
            as_of: None,
        });
        out.push(Action::SetServiceMode {
            mode: ServiceMode::Unavailable,
            reason: "the process was suspended and queries its sources again".into(),
        });
        self.query_next(now, 0, out);
    }

    fn on_peer_status(&mut self, now: Nanos, status: &PeerStatus, out: &mut Vec<Action>) {
        if status.name == self.config.name {
            return;
        }
        let has_restarted = self.evidence.record_peer(now, &self.config.site, status);
        if let (Some(wall), Some(clock)) = (status.wall_clock, self.clock.as_mut()) {
            clock.record_peer(now, &status.name, wall);
        }
        if let Some(previous_clients) = status
            .previous_clients
            .filter(|previous_clients| previous_clients.is_finite() && *previous_clients > 0.0)
        {
            self.peers_previous_clients
                .insert(status.name.clone(), previous_clients);
        }
        let deferred_per_s = if status.deferred_per_s.is_finite() {
            status.deferred_per_s.clamp(0.0, MAX_DEFERRED_PER_S)
        } else {
            0.0
        };
        self.deferring_peers
            .insert(status.name.clone(), (deferred_per_s, now));
        if self.evidence.site_peers() >= self.config.site_peers as usize {
            self.on_answered(EvidenceSource::SitePeers);
        }
        if has_restarted && now < self.clock_doubted_until && self.state == RecoveryState::Serving {
            let outage_started_at = now.saturating_sub(status.uptime);
            self.resume(
                now,
                outage_started_at,
                format!(
                    "the wall clock jumped ahead and peer {} restarted: the process was suspended",
                    status.name
                ),
                out,
            );
        }
        self.align_admission_start(now, status);
        self.assess_clock(now, out);
        self.reassess_scope(now, out);
    }

    /// Handles what depends on time alone: retries, held drains, timeouts and staged admission.
    fn advance_time(&mut self, now: Nanos, out: &mut Vec<Action>) {
        self.retry_due_calls(now, out);
        if self.servers.release_drains(now) > 0 {
            self.log_step(
                out,
                RecoveryStep::Drain,
                "the hold of former drains expired".into(),
                None,
            );
            self.on_servers_changed(now, out);
        }
        while let RecoveryState::Querying(source) = self.state {
            if !self.is_query_done(now, source) {
                return;
            }
            self.finish_query(now, source, out);
        }
        if self.state == RecoveryState::StagedAdmission {
            self.advance_admission(now, out);
        }
    }

    fn on_admission_requested(
        &mut self,
        now: Nanos,
        request: &AdmissionRequest,
        out: &mut Vec<Action>,
    ) {
        match self.state {
            RecoveryState::Serving => out.push(Action::Admit { id: request.id }),
            RecoveryState::StagedAdmission => self.admit_or_defer(now, request, out),
            RecoveryState::NotStarted | RecoveryState::Querying(_) => {
                self.client_count.count(request);
                let remaining = self.step_deadline_at.saturating_sub(now).min(SECOND);
                let retry_after =
                    remaining.saturating_add(self.rng.random_range(SECOND / 4..SECOND));
                out.push(Action::Defer {
                    id: request.id,
                    retry_after,
                    is_final: false,
                });
            }
        }
    }

    pub(crate) fn log_step(
        &self,
        out: &mut Vec<Action>,
        step: RecoveryStep,
        reason: String,
        deadline_at: Option<Nanos>,
    ) {
        out.push(Action::LogStep {
            step,
            reason,
            deadline_at: deadline_at.map(|deadline_at| deadline_at.saturating_sub(EPOCH_OFFSET)),
        });
    }
}

/// The context for a list that is received now.
fn list_context<'a>(
    config: &'a RecoveryConfig,
    clock: Option<&WallClock>,
    now: Nanos,
    written_at: Option<Millis>,
) -> ListContext<'a> {
    let wall_clock = clock
        .filter(|clock| clock.is_reliable())
        .map(|clock| clock.wall_time(now));
    ListContext {
        now,
        wall_clock,
        written_at,
        slow_start: &config.slow_start,
        drain_hold: config.timeouts.drain_hold,
    }
}
