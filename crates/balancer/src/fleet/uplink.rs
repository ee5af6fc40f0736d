//! The uplink monitor: whether this site is isolated, and how discovery is polled meanwhile.
//!
//! The rules are those of `beaconflow-edge`.

use std::time::Duration;

use beaconflow_edge::{
    Action, Config, Decision, Edge, Evidence, OperatorMode, Permission, RejoinStep, RemoteTarget,
    Start, UplinkMode, UplinkState,
};
use beaconflow_membership::Member;
use tracing::{info, warn};

use super::{Millis, millis};
use crate::operator::{self, EdgeMode};

/// The operator's mode applies until the file changes.
const UNTIL_CHANGED_MS: Millis = Millis::MAX;
/// Discovery is paused for this span at a time, so that the core polls again if this thread stops.
const DISCOVERY_PAUSE: Duration = Duration::from_secs(5);
/// Interval at which the pause and lasting evidence are renewed, in milliseconds.
const REFRESH_INTERVAL_MS: Millis = 1_000;

/// A command of the uplink monitor for the fleet thread.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum UplinkCommand {
    /// Pause polls of discovery.
    PauseDiscovery(Duration),
    /// Poll discovery, if the policy wants it.
    PollDiscovery,
    /// Publish the status at once.
    PublishStatus,
    /// Store the state.
    Persist,
}

/// The uplink as this process sees it.
pub(super) struct Uplink {
    edge: Edge,
    /// Whether the watch on discovery is open.
    is_watch_open: bool,
    /// When discovery is polled after an isolation.
    poll_at: Option<Millis>,
    refresh_at: Millis,
    actions: Vec<Action>,
}

/// The configuration of the state machine.
pub(super) fn config(fleet: &operator::FleetConfig, seed: u64) -> Config {
    let (usual, answer_timeout_ms) = (Config::default(), millis(fleet.edge.isolation_delay));
    let within = |span: Millis| span.min(answer_timeout_ms);
    Config {
        site: fleet.site.clone(),
        name: fleet.name.clone(),
        seed,
        processes: u32::try_from(fleet.size).unwrap_or(u32::MAX),
        confirm_ms: within(usual.confirm_ms),
        steady_ms: within(usual.steady_ms),
        damp_cap_ms: within(usual.damp_cap_ms),
        answer_timeout_ms,
        trust_for_ms: millis(fleet.edge.trust_period),
        ..usual
    }
}

impl Uplink {
    /// Starts monitoring, from what was stored before if there is anything.
    ///
    /// # Errors
    ///
    /// Names the fields outside their range.
    pub(super) fn new(
        config: Config,
        now: Millis,
        before: Option<(bool, Option<Millis>)>,
    ) -> Result<Uplink, String> {
        config.validate().map_err(|faults| {
            let faults: Vec<String> = faults
                .iter()
                .map(|fault| format!("edge: {fault}"))
                .collect();
            faults.join("; ")
        })?;
        let start = match before {
            None => Start::Fresh,
            Some((islanded, confirmed_at)) => {
                let state = if islanded {
                    UplinkState::Isolated
                } else {
                    UplinkState::Linked
                };
                Start::Restored {
                    state,
                    confirmed_at,
                    operator_mode: None,
                }
            }
        };
        let edge = Edge::new(config, now, start);
        Ok(Uplink {
            edge,
            is_watch_open: false,
            poll_at: None,
            refresh_at: 0,
            actions: Vec::new(),
        })
    }

    /// Reports evidence; returns the commands that follow.
    pub(super) fn on_evidence(&mut self, now: Millis, evidence: Evidence) -> Vec<UplinkCommand> {
        match &evidence {
            Evidence::WatchAlive => self.is_watch_open = true,
            Evidence::WatchLost => self.is_watch_open = false,
            _ => {}
        }
        let mut out = std::mem::take(&mut self.actions);
        self.edge.handle(now, evidence, &mut out);
        let mut wanted = Vec::new();
        for action in out.drain(..) {
            self.execute(now, action, &mut wanted);
        }
        self.actions = out;
        wanted
    }

    /// Reports that the watch ended. If it had not sent anything, discovery did not answer.
    pub(super) fn on_discovery_lost(&mut self, now: Millis) -> Vec<UplinkCommand> {
        let was_asked = !self.is_watch_open;
        let mut wanted = self.on_evidence(now, Evidence::WatchLost);
        if was_asked {
            wanted.extend(self.on_evidence(now, Evidence::DiscoveryFailed));
        }
        wanted
    }

    /// Reports a configured list, whose age counts from the start where none older is known.
    pub(super) fn on_configured_list(&mut self, now: Millis) -> Vec<UplinkCommand> {
        if self.edge.list_age(now).is_some() {
            Vec::new()
        } else {
            self.on_evidence(now, Evidence::ListConfirmed { at: now })
        }
    }

    fn execute(&mut self, now: Millis, action: Action, wanted: &mut Vec<UplinkCommand>) {
        match action {
            Action::StateChanged {
                from,
                to: UplinkState::Isolated,
                reason: why,
            } => {
                warn!(part = "edge", from = %from, to = %UplinkState::Isolated, why, "state");
                wanted.extend([
                    UplinkCommand::PauseDiscovery(DISCOVERY_PAUSE),
                    UplinkCommand::Persist,
                ]);
            }
            Action::StateChanged {
                from,
                to,
                reason: why,
            } => {
                info!(part = "edge", from = %from, to = %to, why, "state");
                wanted.push(UplinkCommand::Persist);
            }
            Action::Probe {
                target: RemoteTarget::Discovery,
            } => {
                info!(part = "edge", "this process asks discovery for the site");
                wanted.push(UplinkCommand::PollDiscovery);
            }
            // The store is called by its front, and other sites are heard of through the peers.
            Action::Probe { .. } => {}
            Action::PublishReport => wanted.push(UplinkCommand::PublishStatus),
            Action::Log(why) => info!(part = "edge", why, "says"),
            Action::Rejoin(RejoinStep::Reconnect {
                target: RemoteTarget::Discovery,
                delay_ms: in_ms,
            }) => {
                self.poll_at = Some(now.saturating_add(in_ms));
            }
            Action::Rejoin(RejoinStep::Reconnect { .. }) => {}
            // The policy merges the list; no client is migrated because an entry looks different.
            Action::Rejoin(RejoinStep::Merge) => {
                info!(
                    part = "edge",
                    "both sides are merged: the list goes by its entries, overrides by their ends"
                );
                let mut more = Vec::new();
                self.edge
                    .handle(now, Evidence::RejoinStepDone(RejoinStep::Merge), &mut more);
                more.into_iter()
                    .for_each(|action| self.execute(now, action, wanted));
            }
        }
    }

    /// Handles timeouts. `others` are the present processes of other sites.
    pub(super) fn on_timer(&mut self, now: Millis, others: &[Member]) -> Vec<UplinkCommand> {
        let mut wanted = Vec::new();
        if self.poll_at.is_some_and(|at| at <= now) {
            self.poll_at = None;
            wanted.push(UplinkCommand::PollDiscovery);
        }
        if now >= self.refresh_at {
            self.refresh_at = now.saturating_add(REFRESH_INTERVAL_MS);
            // A watch counts as open until the watcher ends it.
            if self.is_watch_open {
                wanted.extend(self.on_evidence(now, Evidence::WatchAlive));
            }
            for other in others {
                let (name, site) = (other.name.to_string(), other.site.to_string());
                wanted.extend(self.on_evidence(
                    now,
                    Evidence::PeerMessage {
                        name,
                        site,
                        is_bidirectional: true,
                    },
                ));
            }
            if self.edge.state() == UplinkState::Isolated {
                wanted.push(UplinkCommand::PauseDiscovery(DISCOVERY_PAUSE));
            }
        }
        wanted.extend(self.on_evidence(now, Evidence::Tick));
        wanted
    }

    /// Applies the operator's mode.
    pub(super) fn apply_operator_mode(
        &mut self,
        now: Millis,
        mode: EdgeMode,
    ) -> Vec<UplinkCommand> {
        let force = match mode {
            EdgeMode::Automatic => UplinkMode::Automatic,
            EdgeMode::Isolated => UplinkMode::Isolated,
            EdgeMode::Linked => UplinkMode::Linked,
        };
        let (who, why) = ("the operator's file".into(), "edge.word".into());
        self.on_evidence(
            now,
            Evidence::OperatorModeSet(OperatorMode {
                set_at: now,
                mode: force,
                expires_at: UNTIL_CHANGED_MS,
                set_by: who,
                reason: why,
            }),
        )
    }

    pub(super) fn edge(&self) -> &Edge {
        &self.edge
    }

    /// Whether the site is isolated, and when discovery last confirmed the list.
    pub(super) fn persistent_state(&self, now: Millis) -> (bool, Option<Millis>) {
        let confirmed_at = self.edge.list_age(now).map(|age| now.saturating_sub(age));
        (self.edge.state() == UplinkState::Isolated, confirmed_at)
    }

    /// Whether the site has to do without discovery, and the reason to skip servers without
    /// evidence of health, if there is one.
    pub(super) fn isolation(&self, now: Millis) -> (bool, Option<&'static str>) {
        let is_no = |decision: Decision| match self.edge.permission(now, &decision) {
            Permission::Denied { reason: why, .. } => Some(why),
            Permission::Granted => None,
        };
        let site = self.edge.config().site.clone();
        let unproven = is_no(Decision::PlaceClient {
            site,
            is_listed: true,
            is_healthy: false,
        });
        (is_no(Decision::Rebalance).is_some(), unproven)
    }

    /// The state in words for people.
    pub(super) fn describe(&self, now: Millis) -> String {
        self.edge.snapshot(now).lines().join("; ")
    }
}
