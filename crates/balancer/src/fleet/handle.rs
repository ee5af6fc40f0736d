//! The way to the fleet's thread for the other threads, and what they are shown of it.

use std::sync::{Arc, Mutex, PoisonError};

use beaconflow_affinity::Version;
use beaconflow_settings::Setup;
use crossbeam_channel::Sender;

use super::setup::version;
use crate::operator::{self, FarmSource};

/// What people are shown of the fleet.
#[derive(Clone, Debug, Default)]
pub struct Status {
    /// This process and its site.
    pub name: String,
    /// Its site.
    pub site: String,
    /// Its boot number.
    pub boot: u64,
    /// Processes that are there, this one among them, and how many there should be.
    pub processes: (usize, usize),
    /// Where this process is on its way from dark to serving.
    pub recovery: String,
    /// Client keys of which placements have failed, as all processes know.
    pub failing: usize,
    /// Clients that were told to come again in their turn.
    pub deferred: u64,
    /// How the uplink stands and why, where that is judged.
    pub uplink: Option<String>,
    /// Placements that are remembered, where affinity is set up.
    pub placements: Option<usize>,
    /// The version of the configuration.
    pub version: String,
    /// Datagrams that were refused.
    pub refused: u64,
    /// Whether what is known outlives the process.
    pub kept: bool,
}

/// The way to the fleet's thread.
#[derive(Clone)]
pub struct FleetHandle {
    pub(super) commands: Sender<Command>,
    pub(super) shown: Arc<Mutex<Status>>,
}

/// What the thread is told to do.
pub(super) enum Command {
    /// The operator's file says something else.
    Follow(Box<operator::Fleet>),
    /// The configuration says something else of routing from now on.
    Routes(Version),
}

impl FleetHandle {
    /// What people are shown.
    pub fn look(&self) -> Status {
        self.shown
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// A farm that stands in the file is another one from now on: so is the version of the configuration.
    pub fn routes(&self, setup: &Setup, farm: &FarmSource) {
        let _ = self
            .commands
            .send(Command::Routes(version(&setup.module(), Some(farm))));
    }

    /// Takes over of a file what can change while the program runs.
    pub fn follow(&self, file: operator::Fleet) {
        let _ = self.commands.send(Command::Follow(Box::new(file)));
    }
}
