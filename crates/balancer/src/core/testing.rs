//! A core without its thread, for tests that pass it inputs one by one.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use beaconflow_overrides::OverrideSet;
use beaconflow_policy::Nanos;

use super::handle::CoreReceiver;
use super::lifecycle::LifecycleCommand;
use super::start::build;
use super::{ClientRequest, CommandSender, ConnectionCommand, Core, CoreConfig, CoreHandle};
use crate::clock::Clock;
use crate::discovery::ServerList;

const SETTINGS: &str = r#"{"discovery": "automatic",
    "lanes": [{"name": "chat", "on-time-ns": 300000000, "hard-limit-ns": 1800000000,
               "effect": "retryable", "value": 1.0}],
    "projects": [{"name": "acme", "share": 0.58}, {"name": "bright", "share": 0.42}],
    "policy-limits": {"max-attempts": 4, "retry-after": true, "max-retry-after-ns": 2000000000},
    "rules": {"cold-share": 0.2, "cold-ns": 20000000000, "tip-multiple": 3.0, "fall-ns": 1500000000}}"#;

pub(super) fn list(rows: &str) -> ServerList {
    let json = format!(r#"{{"generation":1,"reset":true,"instances":[{rows}]}}"#);
    serde_json::from_str(&json).expect("valid list")
}

pub(super) fn row(name: &str) -> String {
    format!(r#"{{"instanceId":"{name}","hostPort":"127.0.0.1:9","lifecycle":"SERVING"}}"#)
}

/// A core with one server and these overrides.
pub(super) fn core(clock: Clock, overrides: OverrideSet) -> Core {
    core_with_channels(clock, overrides).1
}

/// A core with one server and these overrides, with its handle and its receiver.
pub(super) fn core_with_channels(
    clock: Clock,
    overrides: OverrideSet,
) -> (CoreHandle, Core, CoreReceiver) {
    let site = serde_json::from_str(SETTINGS).expect("valid settings");
    let (cached_list, discovery_polls) = (list(&row("s0")), crossbeam_channel::unbounded().0);
    let config = CoreConfig {
        name: "core",
        site,
        seed: 7,
        clock,
        cached_list,
        discovery_polls,
        prober: None,
        overrides,
        admission: Default::default(),
        fleet: None,
    };
    build(config).expect("settings within their ranges")
}

/// Records the commands of all connections.
#[derive(Debug, Default)]
pub(super) struct CommandLog(Mutex<Vec<(u64, ConnectionCommand)>>);

impl CommandSender for CommandLog {
    fn send(&self, id: u64, command: ConnectionCommand) {
        self.0
            .lock()
            .expect("no thread panicked with the lock")
            .push((id, command));
    }
}

impl CommandLog {
    /// How often a client was asked to migrate.
    pub(super) fn migration_count(&self, id: u64) -> usize {
        let commands = self.0.lock().expect("no thread panicked with the lock");
        commands
            .iter()
            .filter(|(request, command)| {
                *request == id && matches!(command, ConnectionCommand::Migrate)
            })
            .count()
    }

    /// All commands in a reproducible text form.
    pub(super) fn as_text(&self) -> String {
        let commands = self.0.lock().expect("no thread panicked with the lock");
        let describe = |command: &ConnectionCommand| match command {
            ConnectionCommand::StartAttempt { endpoint, .. } => {
                format!("StartAttempt to {}", endpoint.name)
            }
            other => format!("{other:?}"),
        };
        commands
            .iter()
            .map(|(id, command)| format!("{id} {}\n", describe(command)))
            .collect()
    }

    /// Number of attempts and of final answers of a request.
    pub(super) fn attempts_and_answers(&self, id: u64) -> (usize, usize) {
        let commands = self.0.lock().expect("no thread panicked with the lock");
        let sent = commands.iter().filter(|(request, _)| *request == id);
        sent.fold((0, 0), |(attempts, answers), (_, command)| match command {
            ConnectionCommand::StartAttempt { .. } => (attempts + 1, answers),
            ConnectionCommand::Reject(_)
            | ConnectionCommand::Fail
            | ConnectionCommand::AbandonAttempt => (attempts, answers + 1),
            ConnectionCommand::Migrate | ConnectionCommand::HandOver => (attempts, answers),
        })
    }
}

/// Opens a request of a client of an account.
pub(super) fn open_request(
    core: &mut Core,
    commands: &Arc<CommandLog>,
    id: u64,
    account: &str,
    client_timeout: Duration,
) {
    let client_request = client_request(id, account, client_timeout, core.clock.now());
    core.on_connect_requested(id, client_request, Arc::<CommandLog>::clone(commands));
}

/// A request of a client of an account.
pub(super) fn client_request(
    id: u64,
    account: &str,
    client_timeout: Duration,
    received_at: Nanos,
) -> ClientRequest {
    ClientRequest {
        class: 0,
        client_key: Some(id),
        group: None,
        tenant: None,
        account: Some(account.into()),
        share: None,
        is_reconnect: false,
        buffered_bytes: 40,
        expected_load: None,
        received_at,
        client_timeout,
        resumed_server: None,
    }
}

impl Core {
    /// Begins a drain and sends its final answers at once.
    pub(super) fn end_drain_now(&mut self) {
        for command in [
            LifecycleCommand::SetListening(true),
            LifecycleCommand::ServersKnown,
            LifecycleCommand::ShutDown,
        ] {
            self.on_lifecycle_command(command)
                .expect("only commands of operators can be refused");
        }
        self.answer_pending_requests();
    }
}
