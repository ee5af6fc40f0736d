//! From dark to serving: what was known before the start is gathered, each step with its reason and its bound.
//!
//! The judgement is `beaconflow-recovery`'s. Here its steps meet the log, its questions whoever can answer them, and its
//! word the core.

use beaconflow_policy::{Nanos, Settings};
use beaconflow_recovery::{
    Account, Action, Bounds, Class, Cold, Config, Event, How, Millis, Recovery, Scope, State, Step,
    Whom,
};
use beaconflow_settings::{Setup, digest};
use tracing::{info, warn};

use crate::operator::Fleet;

/// The site's processes are waited for so long: they have to be found first, and then to tell what they know.
const SITE_PEERS: Nanos = 1_000_000_000;

/// What is to be done of what the machine asks for.
#[derive(Debug)]
pub(super) enum Wanted {
    /// Somebody is to be asked.
    Ask(Whom),
    /// The list as it is believed has changed.
    List,
    /// Clients are taken, or not yet.
    Serve(How),
    /// It is that client's turn.
    Admit(u64),
    /// That client is told to come again.
    Defer(u64, Nanos),
    /// A part that would lapse is left to a peer: to whom, which loan, how many clients.
    Lend(String, u64, f64),
}

/// One process on its way.
pub(super) struct Gathering {
    recovery: Recovery,
    /// Who is to be asked when.
    asks: Vec<(Nanos, Whom)>,
    scope: Option<Scope>,
    out: Vec<Action>,
}

/// What the machine is told of its site and fleet.
pub(super) fn config(fleet: &Fleet, setup: &Setup, settings: &Settings) -> Config {
    let class = |class: &beaconflow_policy::RequestClass| Class {
        worth: class.priority_weight,
        aim: class.latency_objective,
    };
    let rules = &settings.rules;
    let usual = Cold::default();
    let others = fleet.site_size.saturating_sub(1);
    Config {
        name: fleet.name.clone(),
        site: fleet.site.clone(),
        fleet: u32::try_from(fleet.size).unwrap_or(u32::MAX),
        // One more than can be heard of: that the site has answered is said by the thread, once what its processes know
        // has come, and not when all have spoken up.
        site_peers: if others == 0 {
            0
        } else {
            u32::try_from(others + 1).unwrap_or(u32::MAX)
        },
        bounds: Bounds {
            site_peers: SITE_PEERS,
            ..Bounds::default()
        },
        other_sites: fleet.other_sites.clone(),
        store: false,
        cold: Cold {
            cold_time: rules.warm_up_time,
            cold_share: rules.initial_capacity,
            tip_multiple: rules.overload_multiple,
            fall_time: rules.overload_window.max(1),
            borne: fleet.borne.unwrap_or(usual.borne),
            slack: usual.slack,
        },
        classes: settings.classes.iter().map(class).collect(),
        clients: fleet.clients,
        accounts: setup
            .shares()
            .map(|(name, share)| Account {
                account: digest(name),
                share,
            })
            .collect(),
        ..Config::default()
    }
}

impl Gathering {
    /// A process that has not started yet.
    pub(super) fn new(config: Config, seed: u64) -> Result<Gathering, String> {
        let recovery = Recovery::new(config, seed).map_err(|faults| {
            let fields: Vec<&str> = faults.iter().map(|fault| fault.field).collect();
            format!("recovery: out of range: {}", fields.join(", "))
        })?;
        Ok(Gathering {
            recovery,
            asks: Vec::new(),
            scope: None,
            out: Vec::new(),
        })
    }

    /// Tells the machine what happened; gives what is to be done.
    pub(super) fn take(&mut self, now: Nanos, wall: Millis, event: Event) -> Vec<Wanted> {
        let mut out = std::mem::take(&mut self.out);
        self.recovery.handle(now, wall, event, &mut out);
        let wanted = out
            .drain(..)
            .filter_map(|action| self.follow(now, action))
            .collect();
        self.out = out;
        wanted
    }

    fn follow(&mut self, now: Nanos, action: Action) -> Option<Wanted> {
        match action {
            Action::Ask { whom, after } => self.asks.push((now.saturating_add(after), whom)),
            Action::Trust {
                kind,
                verdict,
                why,
                as_of,
            } => {
                info!(part = "recovery", kind = ?kind, verdict = ?verdict, why, as_of, "what is known from before");
            }
            Action::ListChanged => return Some(Wanted::List),
            Action::Serve { how, reason } => {
                info!(part = "recovery", how = ?how, why = reason, "clients are taken so");
                return Some(Wanted::Serve(how));
            }
            Action::Scope {
                scope,
                likelihood,
                evidence,
            } => {
                let evidence = evidence.join("; ");
                info!(part = "recovery", scope = %scope, likelihood, evidence, "what went dark");
                self.scope = Some(scope);
            }
            Action::Say {
                step: Step::Woke,
                reason,
                ..
            } => {
                warn!(part = "recovery", step = ?Step::Woke, why = reason, "step");
            }
            Action::Say {
                step,
                reason,
                bound,
            } => {
                let within_ms = bound.map(|bound| bound.saturating_sub(now) / 1_000_000);
                info!(part = "recovery", step = ?step, why = reason, within_ms, "step");
            }
            Action::Admit { id } => return Some(Wanted::Admit(id)),
            Action::Defer {
                id, retry_after, ..
            } => return Some(Wanted::Defer(id, retry_after)),
            Action::Lend {
                to,
                number,
                clients,
            } => return Some(Wanted::Lend(to, number, clients)),
        }
        None
    }

    /// Who is to be asked now, and a tick if one is due.
    pub(super) fn due(&mut self, now: Nanos, wall: Millis) -> Vec<Wanted> {
        let due = |(at, _): &(Nanos, Whom)| *at <= now;
        let mut wanted: Vec<Wanted> = self
            .asks
            .iter()
            .filter(|ask| due(ask))
            .map(|(_, whom)| Wanted::Ask(*whom))
            .collect();
        self.asks.retain(|ask| !due(ask));
        if self.recovery.due().is_some_and(|at| at <= now) {
            wanted.extend(self.take(now, wall, Event::Tick));
        }
        wanted
    }

    /// When something is due next.
    pub(super) fn next(&self) -> Option<Nanos> {
        self.asks
            .iter()
            .map(|(at, _)| *at)
            .chain(self.recovery.due())
            .min()
    }

    pub(super) fn recovery(&self) -> &Recovery {
        &self.recovery
    }

    /// Where it is, in words for people.
    pub(super) fn words(&self) -> String {
        let state = match self.recovery.state() {
            State::Dark => "dark".to_owned(),
            State::Asking(whom) => format!("asking the {whom}"),
            State::Refilling => "taking clients by turns".to_owned(),
            State::Serving => "serving".to_owned(),
        };
        match self.scope {
            Some(scope) => format!("{state}, after a darkness of: {scope}"),
            None => state,
        }
    }
}
