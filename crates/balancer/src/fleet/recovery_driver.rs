//! The driver of the recovery state machine.
//!
//! `beaconflow-recovery` decides. The driver logs its steps, schedules its queries and turns
//! its other actions into commands.

use beaconflow_policy::{Nanos, Settings};
use beaconflow_recovery::{
    AccountShare, Action, Event, EvidenceSource, Millis, OutageScope, Recovery, RecoveryConfig,
    RecoveryState, RecoveryStep, RequestClass, ServiceMode, SlowStartRules, Timeouts,
};
use beaconflow_settings::{SiteSettings, digest};
use tracing::{info, warn};

use crate::log::RateLimitedLog;
use crate::operator::FleetConfig;

/// Timeout for the site's peers, which have to be found first.
const SITE_PEERS_TIMEOUT: Nanos = 1_000_000_000;

/// A command of the recovery state machine for the fleet thread.
#[derive(Debug)]
pub(super) enum RecoveryCommand {
    /// Query a source.
    Query(EvidenceSource),
    /// Publish the changed list.
    PublishList,
    /// Change how clients are served.
    SetServiceMode(ServiceMode),
    /// Admit a client.
    Admit(u64),
    /// Defer a client.
    Defer(u64, Nanos),
    /// Lend unused quota to a peer: its name, the number of the loan, and the clients.
    LendQuota(String, u64, f64),
}

/// The recovery of this process.
pub(super) struct RecoveryDriver {
    recovery: Recovery,
    /// Scheduled queries.
    queries: Vec<(Nanos, EvidenceSource)>,
    scope: Option<OutageScope>,
    actions: Vec<Action>,
    /// Limits the lines about lists, of which discovery may send many.
    list_steps: RateLimitedLog,
}

/// The configuration of the state machine.
pub(super) fn config(
    fleet: &FleetConfig,
    site: &SiteSettings,
    settings: &Settings,
) -> RecoveryConfig {
    let class = |class: &beaconflow_policy::RequestClass| RequestClass {
        deadline: class.deadline,
    };
    let rules = &settings.rules;
    let defaults = SlowStartRules::default();
    let other_peers = fleet.site_size.saturating_sub(1);
    RecoveryConfig {
        name: fleet.name.clone(),
        site: fleet.site.clone(),
        fleet_size: u32::try_from(fleet.size).unwrap_or(u32::MAX),
        // One more than can report: the fleet thread decides when the site's peers have answered,
        // since not all have to.
        site_peers: if other_peers == 0 {
            0
        } else {
            u32::try_from(other_peers + 1).unwrap_or(u32::MAX)
        },
        timeouts: Timeouts {
            site_peers: SITE_PEERS_TIMEOUT,
            ..Timeouts::default()
        },
        other_sites: fleet.other_sites.clone(),
        has_store: false,
        slow_start: SlowStartRules {
            warm_up_time: rules.warm_up_time,
            initial_capacity: rules.initial_capacity,
            overload_multiple: rules.overload_multiple,
            overload_window: rules.overload_window.max(1),
            clients_per_server_s: fleet
                .clients_per_server_s
                .unwrap_or(defaults.clients_per_server_s),
            variance_margin: fleet.overload_margin,
        },
        classes: settings.classes.iter().map(class).collect(),
        usual_clients: fleet.clients,
        accounts: site
            .tenant_shares()
            .map(|(name, share)| AccountShare {
                account: digest(name),
                share,
            })
            .collect(),
        ..RecoveryConfig::default()
    }
}

impl RecoveryDriver {
    /// Creates the recovery of a process that has not started.
    ///
    /// # Errors
    ///
    /// Fails if fields are outside their range, and names them.
    pub(super) fn new(config: RecoveryConfig, seed: u64) -> Result<RecoveryDriver, String> {
        let recovery = Recovery::new(config, seed).map_err(|errors| {
            let fields: Vec<&str> = errors.iter().map(|error| error.field).collect();
            format!("recovery: settings out of range: {}", fields.join(", "))
        })?;
        Ok(RecoveryDriver {
            recovery,
            queries: Vec::new(),
            scope: None,
            actions: Vec::new(),
            list_steps: RateLimitedLog::default(),
        })
    }

    /// Reports an event; returns the commands that follow.
    pub(super) fn handle(
        &mut self,
        now: Nanos,
        wall_ms: Millis,
        event: Event,
    ) -> Vec<RecoveryCommand> {
        let mut out = std::mem::take(&mut self.actions);
        self.recovery.handle(now, wall_ms, event, &mut out);
        let commands = out
            .drain(..)
            .filter_map(|action| self.execute(now, action))
            .collect();
        self.actions = out;
        commands
    }

    fn execute(&mut self, now: Nanos, action: Action) -> Option<RecoveryCommand> {
        match action {
            Action::Query { source, delay } => {
                self.queries.push((now.saturating_add(delay), source))
            }
            Action::RememberedStateAssessed {
                kind,
                validity,
                reason,
                as_of,
            } => {
                info!(part = "recovery", kind = ?kind, verdict = ?validity, reason, as_of, "remembered state assessed");
            }
            Action::ListChanged => return Some(RecoveryCommand::PublishList),
            Action::SetServiceMode { mode, reason } => {
                info!(part = "recovery", how = ?mode, why = reason, "service mode changed");
                return Some(RecoveryCommand::SetServiceMode(mode));
            }
            Action::ScopeDecided {
                scope,
                likelihood,
                evidence,
            } => {
                let evidence = evidence.join("; ");
                info!(part = "recovery", scope = %scope, likelihood, evidence, "outage scope decided");
                self.scope = Some(scope);
            }
            Action::LogStep {
                step: RecoveryStep::List,
                ..
            } if !self.list_steps.is_allowed("recovery") => {}
            Action::LogStep {
                step: RecoveryStep::Resumed,
                reason,
                ..
            } => {
                warn!(part = "recovery", step = ?RecoveryStep::Resumed, why = reason, "recovery step");
            }
            Action::LogStep {
                step,
                reason,
                deadline_at,
            } => {
                let within_ms =
                    deadline_at.map(|deadline_at| deadline_at.saturating_sub(now) / 1_000_000);
                info!(part = "recovery", step = ?step, why = reason, within_ms, "recovery step");
            }
            Action::Admit { id } => return Some(RecoveryCommand::Admit(id)),
            Action::Defer {
                id, retry_after, ..
            } => return Some(RecoveryCommand::Defer(id, retry_after)),
            Action::LendQuota {
                to,
                number,
                clients,
            } => return Some(RecoveryCommand::LendQuota(to, number, clients)),
        }
        None
    }

    /// Queries that are due, and a tick if one is due.
    pub(super) fn on_timer(&mut self, now: Nanos, wall_ms: Millis) -> Vec<RecoveryCommand> {
        let is_due = |(at, _): &(Nanos, EvidenceSource)| *at <= now;
        let mut commands: Vec<RecoveryCommand> = self
            .queries
            .iter()
            .filter(|query| is_due(query))
            .map(|(_, source)| RecoveryCommand::Query(*source))
            .collect();
        self.queries.retain(|query| !is_due(query));
        if self.recovery.next_tick_at().is_some_and(|at| at <= now) {
            commands.extend(self.handle(now, wall_ms, Event::Tick));
        }
        commands
    }

    /// When the next query or tick is due.
    pub(super) fn next(&self) -> Option<Nanos> {
        self.queries
            .iter()
            .map(|(at, _)| *at)
            .chain(self.recovery.next_tick_at())
            .min()
    }

    pub(super) fn recovery(&self) -> &Recovery {
        &self.recovery
    }

    /// Description of the state for operators.
    pub(super) fn describe(&self) -> String {
        let state = match self.recovery.state() {
            RecoveryState::NotStarted => "dark".to_owned(),
            RecoveryState::Querying(source) => format!("querying the {source}"),
            RecoveryState::StagedAdmission => "admitting clients in stages".to_owned(),
            RecoveryState::Serving => "serving".to_owned(),
        };
        match self.scope {
            Some(scope) => format!("{state}; outage scope: {scope}"),
            None => state,
        }
    }
}

#[cfg(test)]
mod tests;
