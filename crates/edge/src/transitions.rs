//! State transitions and the conditions for them.

use crate::Millis;
use crate::evidence::{Action, RejoinStep, RemoteTarget, UplinkMode, UplinkState};
use crate::state_machine::Edge;
use crate::uplink_view::{DOUBT_THRESHOLD, LOSS_THRESHOLD};

/// State changes within this span delay the next one.
const RECENT_CHANGES_MS: Millis = 60_000;
/// Losses within one doubt from which on a flapping uplink counts as lost until it is stable.
const MIN_FLAPS: usize = 3;
/// Maximum number of recorded losses.
const MAX_FLAPS: usize = 64;

/// Direction of the evidence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Trend {
    Lost,
    Restored,
}

impl Edge {
    /// The span, doubled for each state change within the last minute beyond the first, up to the
    /// configured maximum.
    fn damped(&self, span: Millis) -> Millis {
        let doublings = self.recent_changes.len().saturating_sub(1).min(20);
        span.saturating_mul(1 << doublings)
            .min(self.config.damp_cap_ms)
    }

    pub(crate) fn evaluate(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let has_expired = self
            .operator_mode
            .as_ref()
            .is_some_and(|operator_mode| operator_mode.expires_at <= now)
            && !self.has_operator_mode_expired;
        if has_expired {
            self.has_operator_mode_expired = true;
            actions.push(Action::Log(
                "the operator mode expired; the state follows the evidence again".into(),
            ));
        }
        let is_reachable = self.view.reachable_target(now).is_some();
        self.record_flaps(now, is_reachable);
        let mode = self.current_mode(now);
        match (mode, self.state) {
            (UplinkMode::Automatic, _) => self.evaluate_evidence(now, is_reachable, actions),
            (UplinkMode::Isolated, UplinkState::Isolated)
            | (UplinkMode::Linked, UplinkState::Linked) => {}
            (UplinkMode::Isolated, _) => {
                self.apply_forced_state(now, UplinkState::Isolated, actions)
            }
            (UplinkMode::Linked, UplinkState::Doubtful) => {
                self.apply_forced_state(now, UplinkState::Linked, actions)
            }
            (UplinkMode::Linked, UplinkState::Isolated) => {
                self.apply_forced_state(now, UplinkState::Rejoining, actions)
            }
            (UplinkMode::Linked, UplinkState::Rejoining) => {
                if self.is_merged || now - self.state_since >= self.config.rejoin_ms {
                    self.apply_forced_state(now, UplinkState::Linked, actions);
                }
            }
        }
        self.request_merge(actions);
    }

    fn record_flaps(&mut self, now: Millis, is_reachable: bool) {
        if self.was_reachable && !is_reachable {
            self.flaps.push_back(now);
        }
        while self
            .flaps
            .front()
            .is_some_and(|at| now - at > RECENT_CHANGES_MS)
            || self.flaps.len() > MAX_FLAPS
        {
            self.flaps.pop_front();
        }
        while self
            .recent_changes
            .front()
            .is_some_and(|at| now - at >= RECENT_CHANGES_MS)
        {
            self.recent_changes.pop_front();
        }
        if !self.was_reachable && is_reachable && self.state == UplinkState::Isolated {
            self.reprobe_all(now);
        }
        self.was_reachable = is_reachable;
    }

    /// Probes the other targets soon after one became reachable, but not each time that the uplink
    /// flaps.
    fn reprobe_all(&mut self, now: Millis) {
        if self
            .last_reprobe_at
            .is_some_and(|at| now - at < self.config.damp_cap_ms)
        {
            return;
        }
        self.last_reprobe_at = Some(now);
        for target in self.view.targets() {
            let rank = self.rank(&target, now);
            self.probes.start(&target, now, rank);
        }
    }

    /// Whether the evidence has indicated the trend without interruption for the span.
    fn has_persisted(
        &mut self,
        now: Millis,
        trend: Trend,
        is_indicated: bool,
        span: Millis,
    ) -> bool {
        let since = match self.trend {
            Some((current, since)) if current == trend => since,
            _ => now,
        };
        self.trend = is_indicated.then_some((trend, since));
        is_indicated && now - since >= span
    }

    fn evaluate_evidence(&mut self, now: Millis, is_reachable: bool, actions: &mut Vec<Action>) {
        if self.state == UplinkState::Linked && !self.view.has_losses(now) {
            return;
        }
        let log_odds = self.view.log_odds(now, true);
        let has_dwelt = now - self.state_since >= self.damped(self.config.confirm_ms);
        match self.state {
            UplinkState::Linked => self.evaluate_linked(now, log_odds, has_dwelt, actions),
            UplinkState::Doubtful => {
                self.evaluate_doubt(now, log_odds, is_reachable, has_dwelt, actions)
            }
            UplinkState::Isolated => {
                let steady_ms = self.damped(self.config.steady_ms);
                if self.has_persisted(now, Trend::Restored, is_reachable, steady_ms) && has_dwelt {
                    let reason = format!(
                        "remote targets have been reachable for {} s",
                        steady_ms.div_ceil(1_000)
                    );
                    self.transition(now, UplinkState::Rejoining, reason, actions);
                }
            }
            UplinkState::Rejoining => {
                let is_lost = log_odds >= LOSS_THRESHOLD && !is_reachable;
                if self.has_persisted(now, Trend::Lost, is_lost, self.config.confirm_ms)
                    && has_dwelt
                {
                    let reason =
                        format!("the uplink was lost again: {}", self.describe_losses(now));
                    self.transition(now, UplinkState::Isolated, reason, actions);
                } else if self.is_merged && is_reachable && has_dwelt {
                    self.transition(
                        now,
                        UplinkState::Linked,
                        "the changes of both sides are merged".into(),
                        actions,
                    );
                } else if now - self.state_since >= self.config.rejoin_ms {
                    self.end_rejoining(now, is_reachable, actions);
                }
            }
        }
    }

    fn end_rejoining(&mut self, now: Millis, is_reachable: bool, actions: &mut Vec<Action>) {
        let waited_s = self.config.rejoin_ms / 1_000;
        let (to, reason) = if is_reachable {
            (
                UplinkState::Linked,
                format!(
                    "the uplink is available, but no server list arrived within {waited_s} s; the previous one stays in use"
                ),
            )
        } else {
            (
                UplinkState::Isolated,
                format!("no remote target answers after {waited_s} s of rejoining"),
            )
        };
        self.transition(now, to, reason, actions);
    }

    fn evaluate_linked(
        &mut self,
        now: Millis,
        log_odds: i32,
        has_dwelt: bool,
        actions: &mut Vec<Action>,
    ) {
        if self
            .dismissed_log_odds
            .is_some_and(|(_, at)| now - at > RECENT_CHANGES_MS)
            && log_odds < DOUBT_THRESHOLD
        {
            self.dismissed_log_odds = None;
        }
        let is_new = self
            .dismissed_log_odds
            .is_none_or(|(dismissed, _)| log_odds > dismissed);
        let is_lost_by_own_evidence = self.view.log_odds(now, false) >= LOSS_THRESHOLD;
        if (log_odds >= DOUBT_THRESHOLD || is_lost_by_own_evidence) && is_new && has_dwelt {
            let reason = self.describe_losses(now);
            self.transition(now, UplinkState::Doubtful, reason, actions);
        }
    }

    fn evaluate_doubt(
        &mut self,
        now: Millis,
        log_odds: i32,
        is_reachable: bool,
        has_dwelt: bool,
        actions: &mut Vec<Action>,
    ) {
        if self.is_starting && is_reachable {
            return self.transition(
                now,
                UplinkState::Linked,
                "a remote target answered".into(),
                actions,
            );
        }
        let is_lost_by_own_evidence = self.view.log_odds(now, false) >= LOSS_THRESHOLD;
        let (is_lost, is_restored) = (
            log_odds >= LOSS_THRESHOLD,
            log_odds < DOUBT_THRESHOLD
                && !is_lost_by_own_evidence
                && (!self.is_starting || is_reachable),
        );
        let trend = if is_lost {
            Trend::Lost
        } else {
            Trend::Restored
        };
        let span = if is_lost {
            self.config.confirm_ms
        } else {
            self.damped(self.config.steady_ms)
        };
        if self.has_persisted(now, trend, is_lost || is_restored, span) && has_dwelt {
            if is_lost {
                let reason = self.describe_losses(now);
                return self.transition(now, UplinkState::Isolated, reason, actions);
            }
            let reason =
                "the uplink is available: the unreachable targets failed on their own".into();
            return self.transition(now, UplinkState::Linked, reason, actions);
        }
        if now - self.state_since >= self.config.isolation_delay_ms {
            self.resolve_doubt(now, log_odds, actions);
        }
    }

    /// Decides by the evidence at hand when the maximum time in doubt has elapsed.
    fn resolve_doubt(&mut self, now: Millis, log_odds: i32, actions: &mut Vec<Action>) {
        let flaps = self
            .flaps
            .iter()
            .filter(|at| **at >= self.state_since)
            .count();
        // If a single target flaps, the fault is its own rather than that of the uplink.
        let contacted_targets = self
            .view
            .targets()
            .into_iter()
            .filter(|target| self.view.reachability(target, now).is_some());
        let has_several_targets = contacted_targets.count() > 1;
        if self.view.log_odds(now, false) >= LOSS_THRESHOLD {
            let reason = format!(
                "{}; peers of this site report otherwise: only this process is cut off",
                self.describe_losses(now)
            );
            self.transition(now, UplinkState::Isolated, reason, actions);
        } else if flaps >= MIN_FLAPS && has_several_targets {
            let reason =
                format!("the uplink flapped {flaps} times; it is not used until it is stable");
            self.transition(now, UplinkState::Isolated, reason, actions);
        } else {
            self.dismissed_log_odds = Some((log_odds, now));
            let reason = format!(
                "not enough evidence of an uplink failure: {}",
                self.describe_losses(now)
            );
            self.transition(now, UplinkState::Linked, reason, actions);
        }
    }

    fn apply_forced_state(&mut self, now: Millis, to: UplinkState, actions: &mut Vec<Action>) {
        let reason = self.operator_mode.as_ref().map(|operator_mode| {
            format!(
                "operator mode set by {}: {}",
                operator_mode.set_by,
                self.operator_mode_text(operator_mode)
            )
        });
        self.enter(now, to, reason.unwrap_or_default(), actions);
    }

    fn transition(
        &mut self,
        now: Millis,
        to: UplinkState,
        reason: String,
        actions: &mut Vec<Action>,
    ) {
        self.recent_changes.push_back(now);
        self.enter(now, to, reason, actions);
    }

    fn enter(&mut self, now: Millis, to: UplinkState, reason: String, actions: &mut Vec<Action>) {
        actions.push(Action::StateChanged {
            from: self.state,
            to,
            reason: reason.clone(),
        });
        actions.push(Action::PublishReport);
        let from = self.state;
        (self.state, self.state_since, self.reason) = (to, now, reason);
        (self.trend, self.is_starting) = (None, false);
        match to {
            UplinkState::Linked => self.probes.clear(),
            UplinkState::Doubtful => self.begin_probes(now),
            UplinkState::Isolated if from != UplinkState::Doubtful => self.begin_probes(now),
            UplinkState::Isolated => {}
            UplinkState::Rejoining => self.begin_rejoining(now, actions),
        }
    }

    fn begin_probes(&mut self, now: Millis) {
        for target in self.view.targets() {
            let rank = self.rank(&target, now);
            self.probes.start(&target, now, rank);
        }
    }

    /// Spreads requests to discovery and the store over a span that grows with the fleet, to avoid
    /// a request spike when all processes rejoin together.
    fn begin_rejoining(&mut self, now: Millis, actions: &mut Vec<Action>) {
        self.probes.clear();
        (self.is_merged, self.pending_merge_since) = (false, Some(now));
        let span = self.config.spread_ms * Millis::from(self.config.processes);
        for target in self.view.targets() {
            if matches!(target, RemoteTarget::Discovery | RemoteTarget::Store) {
                let delay_ms = self.probes.random_delay(span);
                actions.push(Action::Rejoin(RejoinStep::Reconnect { target, delay_ms }));
            }
        }
    }

    /// Requests the merge once the server list was confirmed after the isolation, even if that
    /// happens late.
    fn request_merge(&mut self, actions: &mut Vec<Action>) {
        let may_merge = matches!(self.state, UplinkState::Linked | UplinkState::Rejoining);
        if may_merge
            && self
                .pending_merge_since
                .is_some_and(|since| self.list_confirmed_at >= Some(since))
        {
            self.pending_merge_since = None;
            actions.push(Action::Rejoin(RejoinStep::Merge));
        }
    }
}
