//! The state machine of one process: its evidence, reports and probes.

use std::collections::VecDeque;

use crate::evidence::{
    Action, Evidence, OperatorMode, Reachability, RejoinStep, RemoteTarget, RequestOutcome,
    UplinkMode, UplinkReport, UplinkState,
};
use crate::probe::{ProbeSchedule, rank};
use crate::transitions::Trend;
use crate::uplink_view::UplinkView;
use crate::{Config, Millis};

/// Maximum interval between two evaluations outside [`UplinkState::Linked`].
const MAX_TICK_INTERVAL_MS: Millis = 500;

/// What a process knows when it starts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Start {
    /// Nothing is known of an earlier run.
    Fresh,
    /// State that the process stored before, or that its peers report.
    Restored {
        /// State before the restart.
        state: UplinkState,
        /// When discovery last confirmed the server list. A restart does not reset its age.
        confirmed_at: Option<Millis>,
        /// Operator mode that was in effect.
        operator_mode: Option<OperatorMode>,
    },
}

/// One process's view of its site's uplink.
#[derive(Clone, Debug)]
pub struct Edge {
    pub(crate) config: Config,
    pub(crate) state: UplinkState,
    pub(crate) state_since: Millis,
    pub(crate) reason: String,
    pub(crate) operator_mode: Option<OperatorMode>,
    pub(crate) list_confirmed_at: Option<Millis>,
    pub(crate) view: UplinkView,
    pub(crate) is_merged: bool,
    pub(crate) is_starting: bool,
    pub(crate) trend: Option<(Trend, Millis)>,
    /// State changes caused by evidence within the last minute.
    pub(crate) recent_changes: VecDeque<Millis>,
    /// Times within the last minute at which the last reachable target became unreachable.
    pub(crate) flaps: VecDeque<Millis>,
    pub(crate) was_reachable: bool,
    /// Log odds that were investigated without finding a lost uplink, and when.
    pub(crate) dismissed_log_odds: Option<(i32, Millis)>,
    pub(crate) has_operator_mode_expired: bool,
    /// When the last rejoining began, until its merge has been requested.
    pub(crate) pending_merge_since: Option<Millis>,
    pub(crate) probes: ProbeSchedule,
    pub(crate) last_reprobe_at: Option<Millis>,
    last_handled_at: Millis,
}

/// What determines this process's rank among the processes that probe a target.
struct ProbeOrder {
    name: String,
    is_doubtful: bool,
}

impl ProbeOrder {
    /// In doubt, the first two processes probe at once.
    fn rank(&self, view: &UplinkView, target: &RemoteTarget, now: Millis) -> u64 {
        rank(&self.name, target, view.live_peers(now)).saturating_sub(u64::from(self.is_doubtful))
    }
}

impl Edge {
    /// Starts a process at `now`.
    pub fn new(config: Config, now: Millis, start: Start) -> Edge {
        let (state, list_confirmed_at, operator_mode, reason) = match start {
            Start::Fresh => (
                UplinkState::Doubtful,
                None,
                None,
                "just started; no remote target has answered yet",
            ),
            Start::Restored {
                state,
                confirmed_at,
                operator_mode,
            } => {
                let (state, reason) = match state {
                    UplinkState::Isolated => (UplinkState::Isolated, "restarted while isolated"),
                    _ => (
                        UplinkState::Doubtful,
                        "just started; no remote target has answered yet",
                    ),
                };
                // A confirmation in the future means that the clock was set back; the age of the
                // list is then unknown.
                (
                    state,
                    confirmed_at.filter(|at| *at <= now),
                    operator_mode,
                    reason,
                )
            }
        };
        Edge {
            view: UplinkView::new(&config),
            probes: ProbeSchedule::new(&config),
            config,
            state,
            state_since: now,
            reason: reason.into(),
            operator_mode,
            list_confirmed_at,
            is_merged: true,
            is_starting: true,
            trend: None,
            recent_changes: VecDeque::new(),
            flaps: VecDeque::new(),
            was_reachable: false,
            dismissed_log_odds: None,
            has_operator_mode_expired: false,
            pending_merge_since: None,
            last_reprobe_at: None,
            last_handled_at: now,
        }
    }

    /// State of the uplink.
    pub fn state(&self) -> UplinkState {
        self.state
    }

    /// Configuration in effect.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Applies a new configuration (SIGHUP), except for the names of site and process, which take a
    /// restart.
    pub fn reconfigure(&mut self, config: Config) {
        let (site, name) = (self.config.site.clone(), self.config.name.clone());
        self.config = Config {
            site,
            name,
            ..config
        };
        self.view.reconfigure(&self.config);
        self.probes.reconfigure(&self.config);
    }

    /// Handles evidence and appends the resulting actions. A time before that of the last call
    /// counts as that time.
    pub fn handle(&mut self, now: Millis, evidence: Evidence, actions: &mut Vec<Action>) {
        let now = now.max(self.last_handled_at);
        if now - self.last_handled_at > 2 * self.config.fresh_ms.max(MAX_TICK_INTERVAL_MS) {
            self.view.reset(&self.config);
            self.trend = None;
            actions.push(Action::Log(format!(
                "no event was handled for {} s; earlier evidence on the uplink is discarded",
                (now - self.last_handled_at) / 1_000
            )));
        }
        self.last_handled_at = now;
        self.apply_evidence(now, evidence, actions);
        self.evaluate(now, actions);
        self.issue_probes(now, actions);
    }

    /// When to pass [`Evidence::Tick`] at the latest, if no other evidence comes first.
    pub fn next_tick_at(&self, now: Millis) -> Millis {
        match self.state {
            UplinkState::Linked => now + self.config.fresh_ms.div_ceil(2),
            _ => (now + MAX_TICK_INTERVAL_MS)
                .min(self.probes.next_due_at().unwrap_or(Millis::MAX))
                .max(now + 1),
        }
    }

    /// Report to publish periodically to the other processes of the site.
    pub fn report(&self, now: Millis) -> UplinkReport {
        let now = now.max(self.last_handled_at);
        let reachability = |target: RemoteTarget| {
            self.view
                .reachability(&target, now)
                .map(|(reachability, age)| (target, reachability, age))
        };
        UplinkReport {
            name: self.config.name.clone(),
            site: self.config.site.clone(),
            state: self.state,
            targets: self
                .view
                .targets()
                .into_iter()
                .filter_map(reachability)
                .collect(),
            probes: self.probes.last_probes(now),
            operator_mode: self.operator_mode.clone(),
        }
    }

    fn apply_evidence(&mut self, now: Millis, evidence: Evidence, actions: &mut Vec<Action>) {
        match evidence {
            Evidence::Tick => {}
            Evidence::WatchLost => self.view.record_watch(now, false),
            Evidence::WatchAlive => {
                self.view.record_watch(now, true);
                self.list_confirmed_at = Some(now);
            }
            Evidence::DiscoveryFailed => self.view.record_discovery(now, None),
            Evidence::DiscoveryAnswered { latency_ms } => {
                self.view.record_discovery(now, Some(latency_ms))
            }
            Evidence::DiscoveryAddressChanged => {
                self.view.reset_discovery();
                self.probes.probe_now(&RemoteTarget::Discovery, now);
            }
            Evidence::StoreFailed => self.view.record_store(now, None),
            Evidence::StoreAnswered { latency_ms } => self.view.record_store(now, Some(latency_ms)),
            Evidence::PeerMessage {
                name,
                site,
                is_bidirectional,
            } if site != self.config.site => {
                let reachability = if is_bidirectional {
                    Reachability::Reachable
                } else {
                    Reachability::OneWay
                };
                self.view.record_peer(now, &site, &name, reachability);
            }
            Evidence::PeerSilent { name, site } if site != self.config.site => {
                self.view
                    .record_peer(now, &site, &name, Reachability::Unreachable);
            }
            Evidence::PeerMessage { .. } | Evidence::PeerSilent { .. } => {}
            Evidence::PeerReport(report) => self.apply_report(now, report, actions),
            Evidence::RemoteServerRequest { site, outcome } if site != self.config.site => {
                self.view
                    .record_remote_servers(now, &site, latency(outcome));
            }
            Evidence::RemoteServerRequest { outcome, .. }
            | Evidence::LocalServerRequest { outcome } => {
                self.view.record_local_servers(now, latency(outcome));
            }
            Evidence::ListConfirmed { at } => {
                self.list_confirmed_at = self.list_confirmed_at.max(Some(at.min(now)))
            }
            Evidence::OperatorModeSet(operator_mode) => {
                self.apply_operator_mode(now, operator_mode, actions)
            }
            // Ignores the merge of an earlier rejoining.
            Evidence::RejoinStepDone(RejoinStep::Merge) => {
                self.is_merged |= self.pending_merge_since.is_none()
            }
            Evidence::RejoinStepDone(RejoinStep::Reconnect { .. }) => {}
        }
    }

    fn apply_report(&mut self, now: Millis, report: UplinkReport, actions: &mut Vec<Action>) {
        if report.site != self.config.site || report.name == self.config.name {
            return;
        }
        self.view.record_report(now, &report);
        for (target, attempts, age) in &report.probes {
            let (order, at) = (self.probe_order(), now.saturating_sub(*age));
            self.probes.record_peer_probe(target, *attempts, at, || {
                order.rank(&self.view, target, now)
            });
        }
        if let Some(operator_mode) = report.operator_mode {
            self.apply_operator_mode(now, operator_mode, actions);
        }
    }

    /// The latest mode applies; of two set at the same time, all processes choose the same one.
    fn apply_operator_mode(
        &mut self,
        now: Millis,
        operator_mode: OperatorMode,
        actions: &mut Vec<Action>,
    ) {
        if self
            .operator_mode
            .as_ref()
            .is_some_and(|current| *current >= operator_mode)
        {
            return;
        }
        if operator_mode.expires_at > now {
            actions.push(Action::Log(format!(
                "operator mode set by {}: {}",
                operator_mode.set_by,
                self.operator_mode_text(&operator_mode)
            )));
            actions.push(Action::PublishReport);
        }
        (self.operator_mode, self.has_operator_mode_expired) = (Some(operator_mode), false);
    }

    pub(crate) fn operator_mode_text(&self, operator_mode: &OperatorMode) -> String {
        let text = match operator_mode.mode {
            UplinkMode::Automatic => "the state follows the evidence",
            UplinkMode::Isolated => "the site is isolated",
            UplinkMode::Linked => "the site is linked",
        };
        format!("{text} ({})", operator_mode.reason)
    }

    /// Operator mode in effect at `now`.
    pub(crate) fn current_mode(&self, now: Millis) -> UplinkMode {
        let active_mode = self
            .operator_mode
            .as_ref()
            .filter(|operator_mode| operator_mode.expires_at > now);
        active_mode.map_or(UplinkMode::Automatic, |operator_mode| operator_mode.mode)
    }

    fn probe_order(&self) -> ProbeOrder {
        ProbeOrder {
            name: self.config.name.clone(),
            is_doubtful: self.state == UplinkState::Doubtful,
        }
    }

    /// Position of this process in the order of probing a target.
    pub(crate) fn rank(&self, target: &RemoteTarget, now: Millis) -> u64 {
        self.probe_order().rank(&self.view, target, now)
    }

    fn issue_probes(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let is_probing = matches!(self.state, UplinkState::Doubtful | UplinkState::Isolated);
        if !is_probing || self.current_mode(now) != UplinkMode::Automatic {
            return;
        }
        let mut may_confirm = !self.was_reachable;
        for target in self.view.targets() {
            let reachability = self.view.reachability(&target, now);
            let is_due = match reachability {
                Some((Reachability::Reachable, age)) if age < self.config.fresh_ms / 2 => false,
                Some((Reachability::Reachable, _)) => {
                    self.probes.take_due_confirmation(&target, now)
                }
                _ if self
                    .view
                    .peer_reachability(&target, now)
                    .is_some_and(|(reachability, ..)| reachability == Reachability::Reachable) =>
                {
                    std::mem::take(&mut may_confirm)
                        && self.probes.take_due_confirmation(&target, now)
                }
                _ => {
                    let order = self.probe_order();
                    self.probes
                        .take_due(&target, now, || order.rank(&self.view, &target, now))
                }
            };
            if is_due {
                actions.push(Action::Probe { target });
            }
        }
    }

    /// Describes the unreachable targets in a sentence.
    pub(crate) fn describe_losses(&self, now: Millis) -> String {
        let mut lost: Vec<String> = Vec::new();
        for target in self.view.targets() {
            match self.view.reachability(&target, now) {
                Some((Reachability::Unreachable, _)) => {
                    lost.push(format!("{target} does not answer"))
                }
                Some((Reachability::OneWay, _)) => {
                    lost.push(format!("{target} sends messages but does not answer"))
                }
                _ => {}
            }
        }
        if lost.is_empty() {
            return "no target is known to be unreachable".into();
        }
        let local_servers = match self.view.local_servers_reachability(now) {
            Some(Reachability::Unreachable) => "; the servers of this site do not answer either",
            Some(_) => "; the servers of this site answer",
            None => "",
        };
        format!("{}{local_servers}", lost.join(", "))
    }
}

fn latency(outcome: RequestOutcome) -> Option<Millis> {
    match outcome {
        RequestOutcome::Answered { latency_ms } => Some(latency_ms),
        RequestOutcome::Failed => None,
    }
}
