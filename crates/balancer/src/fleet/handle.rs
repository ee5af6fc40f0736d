//! Access to the fleet thread for other threads.

use std::sync::{Arc, Mutex, PoisonError};

use beaconflow_affinity::Version;
use beaconflow_settings::SiteSettings;
use crossbeam_channel::Sender;

use super::setup::routing_version;
use crate::operator::{self, EndpointSource};

/// The status of the fleet, for operators.
#[derive(Clone, Debug, Default)]
pub struct FleetStatus {
    /// Name of this process.
    pub name: String,
    /// Name of its site.
    pub site: String,
    /// Its incarnation number.
    pub incarnation: u64,
    /// Processes present, including this one, and processes expected.
    pub processes: (usize, usize),
    /// Description of the state of the recovery.
    pub recovery: String,
    /// Number of client keys with failures, over all processes.
    pub failing_clients: usize,
    /// Number of clients deferred by staged admission.
    pub deferred: u64,
    /// Description of the state of the uplink, where it is monitored.
    pub uplink: Option<String>,
    /// Number of remembered placements, where session affinity is enabled.
    pub placements: Option<usize>,
    /// Version of the routing configuration.
    pub version: String,
    /// Number of datagrams refused, for any reason.
    pub refused_datagrams: u64,
    /// Whether the memory is stored and outlives the process.
    pub is_persistent: bool,
}

/// A handle to the fleet thread.
#[derive(Clone)]
pub struct FleetHandle {
    pub(super) commands: Sender<FleetCommand>,
    pub(super) status: Arc<Mutex<FleetStatus>>,
}

/// A command for the fleet thread.
pub(super) enum FleetCommand {
    /// The operator's file changed.
    Reconfigure(Box<operator::FleetConfig>),
    /// The routing configuration has another version.
    SetVersion(Version),
}

impl FleetHandle {
    /// The status as last published by the fleet thread.
    pub fn status_snapshot(&self) -> FleetStatus {
        self.status
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Applies another endpoint source, which changes the version of the configuration.
    pub fn set_endpoint_source(&self, settings: &SiteSettings, endpoints: &EndpointSource) {
        let _ = self.commands.send(FleetCommand::SetVersion(routing_version(
            &settings.policy_settings(),
            Some(endpoints),
        )));
    }

    /// Applies the settings of the operator's file that can change at runtime.
    pub fn reconfigure(&self, file: operator::FleetConfig) {
        let _ = self
            .commands
            .send(FleetCommand::Reconfigure(Box::new(file)));
    }
}
