//! One process: what it takes in, what it tells, and what it asks.

use std::collections::VecDeque;

use crate::evidence::{
    Action, Evidence, OperatorMode, Reachability, RejoinStep, RemoteTarget, RequestOutcome,
    UplinkMode, UplinkReport, UplinkState,
};
use crate::probe::{ProbeSchedule, rank};
use crate::transitions::Trend;
use crate::uplink_view::UplinkView;
use crate::{Config, Millis};

/// Longest span between two looks at the time.
const MAX_TICK_INTERVAL_MS: Millis = 500;

/// What a process knows when it starts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Start {
    /// Nothing of what was.
    Fresh,
    /// What it wrote down before, or its peers tell.
    Restored {
        /// The state that it was in.
        state: UplinkState,
        /// When discovery last confirmed the list in hand. Its age goes on: a restart makes nothing fresh.
        confirmed_at: Option<Millis>,
        /// The operator's word that held.
        operator_mode: Option<OperatorMode>,
    },
}

/// What one process makes of its site's link.
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
    /// Changes by evidence within the last minute.
    pub(crate) recent_changes: VecDeque<Millis>,
    /// When what answered stopped to, within the last minute.
    pub(crate) flaps: VecDeque<Millis>,
    pub(crate) was_reachable: bool,
    /// Odds that were looked into and found to say nothing of the link, and when.
    pub(crate) dismissed: Option<(i32, Millis)>,
    pub(crate) operator_mode_expired: bool,
    /// When the last rejoining began, until its merge has been asked for.
    pub(crate) pending_merge_since: Option<Millis>,
    pub(crate) probes: ProbeSchedule,
    pub(crate) last_reprobe_at: Option<Millis>,
    last_handled_at: Millis,
}

/// By what a process has its turn with a place.
struct ProbeOrder {
    name: String,
    is_doubtful: bool,
}

impl ProbeOrder {
    /// While it is in doubt the first two ask at once.
    fn rank(&self, view: &UplinkView, target: &RemoteTarget, now: Millis) -> u64 {
        rank(&self.name, target, view.live_peers(now)).saturating_sub(u64::from(self.is_doubtful))
    }
}

impl Edge {
    /// A process that starts at this moment.
    pub fn new(config: Config, now: Millis, start: Start) -> Edge {
        let (state, list_confirmed_at, operator_mode, reason) = match start {
            Start::Fresh => (
                UplinkState::Doubtful,
                None,
                None,
                "just started, nothing has answered yet",
            ),
            Start::Restored {
                state,
                confirmed_at,
                operator_mode,
            } => {
                let (state, reason) = match state {
                    UplinkState::Isolated => (UplinkState::Isolated, "restarted on the island"),
                    _ => (
                        UplinkState::Doubtful,
                        "just started, nothing has answered yet",
                    ),
                };
                // Guards against a clock that was set back: an age that nobody knows is no age.
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
            dismissed: None,
            operator_mode_expired: false,
            pending_merge_since: None,
            last_reprobe_at: None,
            last_handled_at: now,
        }
    }

    /// Its state.
    pub fn state(&self) -> UplinkState {
        self.state
    }

    /// How it is set up.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Takes other settings over (SIGHUP), but for the names of site and process, which take a restart.
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

    /// Takes the evidence in, and says what is to be done. A moment before the last one counts as the last one.
    pub fn handle(&mut self, now: Millis, evidence: Evidence, actions: &mut Vec<Action>) {
        let now = now.max(self.last_handled_at);
        if now - self.last_handled_at > 2 * self.config.fresh_ms.max(MAX_TICK_INTERVAL_MS) {
            self.view.reset(&self.config);
            self.trend = None;
            actions.push(Action::Log(format!(
                "nothing happened here for {} s: what was seen before says nothing of the link",
                (now - self.last_handled_at) / 1_000
            )));
        }
        self.last_handled_at = now;
        self.apply_evidence(now, evidence, actions);
        self.evaluate(now, actions);
        self.issue_probes(now, actions);
    }

    /// When it wants to be told of the time ([`Evidence::Tick`]), if nothing comes before.
    pub fn next_tick_at(&self, now: Millis) -> Millis {
        match self.state {
            UplinkState::Linked => now + self.config.fresh_ms.div_ceil(2),
            _ => (now + MAX_TICK_INTERVAL_MS)
                .min(self.probes.next_due_at().unwrap_or(Millis::MAX))
                .max(now + 1),
        }
    }

    /// What it tells the other processes of its site, again and again.
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
            // One that belongs to a former rejoining is none.
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

    /// The latest word holds; of two that were given at once all take the same one.
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
                "{} says: {}",
                operator_mode.set_by,
                self.operator_mode_text(&operator_mode)
            )));
            actions.push(Action::PublishReport);
        }
        (self.operator_mode, self.operator_mode_expired) = (Some(operator_mode), false);
    }

    pub(crate) fn operator_mode_text(&self, operator_mode: &OperatorMode) -> String {
        let text = match operator_mode.mode {
            UplinkMode::Automatic => "the evidence decides",
            UplinkMode::Isolated => "this site is an island",
            UplinkMode::Linked => "this site is linked",
        };
        format!("{text} ({})", operator_mode.reason)
    }

    /// The operator's word at this moment.
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

    /// This process's turn with a place.
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

    /// What is lost, in a sentence.
    pub(crate) fn describe_losses(&self, now: Millis) -> String {
        let mut lost: Vec<String> = Vec::new();
        for target in self.view.targets() {
            match self.view.reachability(&target, now) {
                Some((Reachability::Unreachable, _)) => {
                    lost.push(format!("{target} does not answer"))
                }
                Some((Reachability::OneWay, _)) => {
                    lost.push(format!("{target} is heard but does not hear"))
                }
                _ => {}
            }
        }
        if lost.is_empty() {
            return "nothing is seen to be lost".into();
        }
        let local_servers = match self.view.local_servers_reachability(now) {
            Some(Reachability::Unreachable) => "; nor do the servers here",
            Some(_) => "; the servers here do",
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
