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
    let (defaults, isolation_delay_ms) = (Config::default(), millis(fleet.edge.isolation_delay));
    let capped = |span: Millis| span.min(isolation_delay_ms);
    Config {
        site: fleet.site.clone(),
        name: fleet.name.clone(),
        seed,
        processes: u32::try_from(fleet.size).unwrap_or(u32::MAX),
        confirm_ms: capped(defaults.confirm_ms),
        steady_ms: capped(defaults.steady_ms),
        damp_cap_ms: capped(defaults.damp_cap_ms),
        isolation_delay_ms,
        trust_for_ms: millis(fleet.edge.trust_period),
        ..defaults
    }
}

impl Uplink {
    /// Starts monitoring, from the stored state if there is one.
    ///
    /// # Errors
    ///
    /// Fails if fields are outside their range, and names them.
    pub(super) fn new(
        config: Config,
        now: Millis,
        stored: Option<(bool, Option<Millis>)>,
    ) -> Result<Uplink, String> {
        config.validate().map_err(|errors| {
            let errors: Vec<String> = errors
                .iter()
                .map(|error| format!("edge: {error}"))
                .collect();
            errors.join("; ")
        })?;
        let start = match stored {
            None => Start::Fresh,
            Some((was_isolated, confirmed_at)) => {
                let state = if was_isolated {
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
        let mut commands = Vec::new();
        for action in out.drain(..) {
            self.execute(now, action, &mut commands);
        }
        self.actions = out;
        commands
    }

    /// Reports that the watch ended. If it had not sent anything, discovery did not answer.
    pub(super) fn on_discovery_lost(&mut self, now: Millis) -> Vec<UplinkCommand> {
        let was_query = !self.is_watch_open;
        let mut commands = self.on_evidence(now, Evidence::WatchLost);
        if was_query {
            commands.extend(self.on_evidence(now, Evidence::DiscoveryFailed));
        }
        commands
    }

    /// Reports a configured list, whose age counts from the start where none older is known.
    pub(super) fn on_configured_list(&mut self, now: Millis) -> Vec<UplinkCommand> {
        if self.edge.list_age(now).is_some() {
            Vec::new()
        } else {
            self.on_evidence(now, Evidence::ListConfirmed { at: now })
        }
    }

    fn execute(&mut self, now: Millis, action: Action, commands: &mut Vec<UplinkCommand>) {
        match action {
            Action::StateChanged {
                from,
                to: UplinkState::Isolated,
                reason: why,
            } => {
                warn!(part = "edge", from = %from, to = %UplinkState::Isolated, why, "uplink state changed");
                commands.extend([
                    UplinkCommand::PauseDiscovery(DISCOVERY_PAUSE),
                    UplinkCommand::Persist,
                ]);
            }
            Action::StateChanged {
                from,
                to,
                reason: why,
            } => {
                info!(part = "edge", from = %from, to = %to, why, "uplink state changed");
                commands.push(UplinkCommand::Persist);
            }
            Action::Probe {
                target: RemoteTarget::Discovery,
            } => {
                info!(part = "edge", "this process polls discovery for the site");
                commands.push(UplinkCommand::PollDiscovery);
            }
            // The front of the store polls it, and reports on other sites arrive through the peers.
            Action::Probe { .. } => {}
            Action::PublishReport => commands.push(UplinkCommand::PublishStatus),
            Action::Log(why) => info!(part = "edge", why, "uplink monitor report"),
            Action::Rejoin(RejoinStep::Reconnect {
                target: RemoteTarget::Discovery,
                delay_ms,
            }) => {
                self.poll_at = Some(now.saturating_add(delay_ms));
            }
            Action::Rejoin(RejoinStep::Reconnect { .. }) => {}
            // The policy merges the list; no client is migrated because an entry looks different.
            Action::Rejoin(RejoinStep::Merge) => {
                info!(
                    part = "edge",
                    "changes of both sides merged: the list by its entries, overrides by their expiry"
                );
                let mut actions = Vec::new();
                self.edge.handle(
                    now,
                    Evidence::RejoinStepDone(RejoinStep::Merge),
                    &mut actions,
                );
                actions
                    .into_iter()
                    .for_each(|action| self.execute(now, action, commands));
            }
        }
    }

    /// Handles timeouts. `members_of_other_sites` are the processes present at
    /// other sites.
    pub(super) fn on_timer(
        &mut self,
        now: Millis,
        members_of_other_sites: &[Member],
    ) -> Vec<UplinkCommand> {
        let mut commands = Vec::new();
        if self.poll_at.is_some_and(|at| at <= now) {
            self.poll_at = None;
            commands.push(UplinkCommand::PollDiscovery);
        }
        if now >= self.refresh_at {
            self.refresh_at = now.saturating_add(REFRESH_INTERVAL_MS);
            // A watch counts as open until the watcher ends it.
            if self.is_watch_open {
                commands.extend(self.on_evidence(now, Evidence::WatchAlive));
            }
            for member in members_of_other_sites {
                let (name, site) = (member.name.to_string(), member.site.to_string());
                commands.extend(self.on_evidence(
                    now,
                    Evidence::PeerMessage {
                        name,
                        site,
                        is_bidirectional: true,
                    },
                ));
            }
            if self.edge.state() == UplinkState::Isolated {
                commands.push(UplinkCommand::PauseDiscovery(DISCOVERY_PAUSE));
            }
        }
        commands.extend(self.on_evidence(now, Evidence::Tick));
        commands
    }

    /// Applies the operator's mode.
    pub(super) fn apply_operator_mode(
        &mut self,
        now: Millis,
        mode: EdgeMode,
    ) -> Vec<UplinkCommand> {
        let uplink_mode = match mode {
            EdgeMode::Automatic => UplinkMode::Automatic,
            EdgeMode::Isolated => UplinkMode::Isolated,
            EdgeMode::Linked => UplinkMode::Linked,
        };
        let (set_by, reason) = ("the operator's file".into(), "edge.word".into());
        self.on_evidence(
            now,
            Evidence::OperatorModeSet(OperatorMode {
                set_at: now,
                mode: uplink_mode,
                expires_at: UNTIL_CHANGED_MS,
                set_by,
                reason,
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

    /// Whether the site is cut off from discovery, and the reason to skip servers without
    /// evidence of health, if there is one.
    pub(super) fn isolation(&self, now: Millis) -> (bool, Option<&'static str>) {
        let denial_reason = |decision: Decision| match self.edge.permission(now, &decision) {
            Permission::Denied { reason, .. } => Some(reason),
            Permission::Granted => None,
        };
        let site = self.edge.config().site.clone();
        let unproven_reason = denial_reason(Decision::PlaceClient {
            site,
            is_listed: true,
            is_healthy: false,
        });
        (
            denial_reason(Decision::Rebalance).is_some(),
            unproven_reason,
        )
    }

    /// Description of the state for operators.
    pub(super) fn describe(&self, now: Millis) -> String {
        self.edge.snapshot(now).lines().join("; ")
    }
}
