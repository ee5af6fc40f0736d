//! The start of a core: what it is given, and why it may not start.

use std::collections::{BTreeMap, BinaryHeap};
use std::io;
use std::sync::Arc;
use std::thread::JoinHandle;

use beaconflow_overrides::{Judgement, Set};
use beaconflow_policy::Balancer;
use beaconflow_policy::SettingsError;
use beaconflow_settings::{InForce, Setup};
use crossbeam_channel::Sender;

use super::door::Gate;
use super::farm::Farm;
use super::fleet::Tie;
use super::handle::{self, Inbox};
use super::ledger::Ledger;
use super::lifecycle::{Lifecycle, Shown};
use super::{Asker, Core, DoorConfig, Figures, Handle, settings};
use crate::clock::Clock;
use crate::farm::List;

/// What a core is started with.
pub struct Start {
    /// The name under which it logs.
    pub name: &'static str,
    /// The settings of the site.
    pub setup: Setup,
    /// For the module's random numbers.
    pub seed: u64,
    /// The clock of the program.
    pub clock: Clock,
    /// The farm as it was last known.
    pub known: List,
    /// Asks for the farm; [`Handle::tell_of_servers`] follows.
    pub watch: Sender<()>,
    /// Asks servers for their load, where the wire has a question for it; [`Event::Probed`](super::Event::Probed) follows.
    pub asker: Option<Box<dyn Asker>>,
    /// The overrides that were restored.
    pub overrides: Set,
    /// What the operator's file says of admission.
    pub door: DoorConfig,
    /// What ties the core to the fleet's thread, where a fleet is set up.
    pub fleet: Option<Tie>,
}

/// Why a core does not start.
#[derive(Debug)]
pub enum StartError {
    /// A setting is out of its range.
    Range(SettingsError),
    /// There is no thread to be had.
    Thread(io::Error),
}

impl std::fmt::Display for StartError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            StartError::Range(error) => error.fmt(f),
            StartError::Thread(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for StartError {}

/// Starts a core on a thread of its own, which ends once it has been told to leave and has left.
pub fn start(start: Start) -> Result<(Handle, JoinHandle<()>), StartError> {
    let name = start.name;
    let (handle, mut core, inbox) = build(start)?;
    let run = move || core.run(&inbox);
    let thread = std::thread::Builder::new()
        .name(format!("core-{name}"))
        .spawn(run);
    Ok((handle, thread.map_err(StartError::Thread)?))
}

pub(super) fn build(start: Start) -> Result<(Handle, Core, Inbox), StartError> {
    let in_force = Arc::new(InForce::new(start.setup));
    let settings = settings::of(&in_force, start.asker.is_some());
    let (told, inbox) = handle::boxes();
    let handle = Handle {
        told,
        next: Arc::default(),
        connections: Arc::default(),
        shown: Shown::default(),
        clock: start.clock,
        figures: Arc::new(Figures::of(&settings)),
    };
    let gate = Gate::new(Arc::clone(&in_force), start.door, start.seed);
    let balancer = Balancer::new(settings.clone(), start.seed).map_err(StartError::Range)?;
    let mut core = Core {
        name: start.name,
        in_force,
        settings,
        seed: start.seed,
        clock: start.clock,
        balancer,
        farm: Farm::new(start.overrides),
        ledger: Ledger::default(),
        gate,
        timers: BinaryHeap::new(),
        set: 0,
        watch: start.watch,
        asker: start.asker,
        figures: Arc::clone(&handle.figures),
        lifecycle: Lifecycle::default(),
        shown: handle.shown.clone(),
        connections: Arc::clone(&handle.connections),
        drain: None,
        drains: 0,
        actions: Vec::new(),
        moves: BTreeMap::new(),
        judgement: Judgement::default(),
        overrides_due: None,
        overrides_lost: false,
        bond: None,
    };
    if let Some(tie) = start.fleet {
        core.bind(tie);
    }
    core.take_list(start.known, true);
    Ok((handle, core, inbox))
}
