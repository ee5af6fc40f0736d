//! The override manager: takes changes one by one, makes each durable, and applies it to the cores.
//!
//! Times are the program's clock inside, and the wall clock in the store and for people, so that a
//! step of the wall clock changes no override's duration.

mod apply;
mod audit;
mod housekeeping;
mod restore;
mod view;

use std::collections::HashMap;
use std::path::PathBuf;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

use beaconflow_overrides::{
    ClockStepDetector, CoverageGaps, Draft, FieldError, Limits, Millis, Override, OverrideId,
    OverrideKind, OverrideSet, Replay, with_clock_offset,
};
use beaconflow_store::{OverrideStore, StoreError};
use crossbeam_channel::{Receiver, Sender, bounded};

use crate::clock::Clock;
use crate::core::{CoreHandle, CoreSnapshot, OverrideChange};
use audit::audit;
pub use restore::{RestoredOverrides, restore};
pub use view::OverrideView;
use view::{ListedServers, fronts_left_empty, view_of};

/// The override settings of the operator's file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OverridesConfig {
    /// File of the store; overrides are not persistent without one.
    pub file: Option<PathBuf>,
    /// Limits on overrides.
    pub limits: Limits,
}

/// A front's name and its core.
pub type NamedCore = (&'static str, CoreHandle);

/// State of the store, for people.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StoreStatus {
    /// Whether overrides are persistent.
    pub is_persistent: bool,
    /// Why not, or what was found at the start.
    pub notes: Vec<String>,
}

/// Why a change was refused. Nothing has been changed.
#[derive(Debug)]
pub enum OverrideError {
    /// There is no store, with the reason.
    NoStore(String),
    /// Fields are invalid.
    Invalid(Vec<FieldError>),
    /// No override in effect has this id.
    Unknown,
    /// The override has another revision.
    Stale(u64),
    /// It would leave no ready server and was not forced.
    LeavesNoServer(Vec<(&'static str, CoverageGaps)>),
    /// The limit on overrides is reached.
    Full(usize),
    /// The idempotency key was used for another request.
    KeyReused,
    /// It could not be stored.
    Store(StoreError),
}

/// Result of a change.
#[derive(Debug)]
pub struct ChangeResult {
    /// The override as changed.
    pub view: OverrideView,
    /// Whether every core has applied it; the others will.
    pub is_in_effect: bool,
    /// Whether the request is a repetition, which changed nothing.
    pub is_replay: bool,
}

struct OverrideState {
    set: OverrideSet,
    store: Option<Box<dyn OverrideStore>>,
    store_status: StoreStatus,
    /// Overrides by idempotency key.
    by_key: HashMap<String, OverrideId>,
    clock_steps: ClockStepDetector,
    /// Expirations up to then have been logged.
    reported_until: Millis,
}

impl StoreStatus {
    /// The error without a store.
    fn refusal(&self) -> OverrideError {
        OverrideError::NoStore(self.notes.join("; "))
    }
}

impl OverrideState {
    /// The override that an earlier request with the same key created.
    fn find_replayed(&self, replay: Option<&Replay>) -> Result<Option<Override>, OverrideError> {
        let replayed = replay.and_then(|replay| self.by_key.get(&replay.key));
        let Some(record) = replayed.and_then(|id| self.set.get(*id)) else {
            return Ok(None);
        };
        if record.replay.as_ref() == replay {
            Ok(Some(record.clone()))
        } else {
            Err(OverrideError::KeyReused)
        }
    }
}

/// Manages the overrides of the program.
pub struct OverrideManager {
    state: Mutex<OverrideState>,
    cores: Vec<NamedCore>,
    clock: Clock,
    limits: Limits,
    wall_clock: WallClock,
    change_sender: Sender<()>,
    change_receiver: Receiver<()>,
}

/// Reads the wall clock, in Unix milliseconds.
pub type WallClock = Box<dyn Fn() -> Millis + Send + Sync>;

/// The system's wall clock, in Unix milliseconds.
pub fn wall_clock_ms() -> Millis {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Millis::try_from(now.as_millis()).unwrap_or(Millis::MAX)
}

impl OverrideManager {
    /// Manages restored overrides for cores that were started with them.
    pub fn new(
        restored: RestoredOverrides,
        cores: Vec<NamedCore>,
        clock: Clock,
        limits: Limits,
        wall_clock: WallClock,
    ) -> OverrideManager {
        let RestoredOverrides {
            store,
            store_status,
            set,
        } = restored;
        let keys = set
            .iter()
            .filter_map(|record| Some((record.replay.as_ref()?.key.clone(), record.id)));
        let by_key = keys.collect();
        let reported_until = clock.now() / 1_000_000;
        let state = OverrideState {
            set,
            store,
            store_status,
            by_key,
            clock_steps: ClockStepDetector::default(),
            reported_until,
        };
        let (change_sender, change_receiver) = bounded(1);
        OverrideManager {
            state: Mutex::new(state),
            cores,
            clock,
            limits,
            wall_clock,
            change_sender,
            change_receiver,
        }
    }

    /// The state is valid between any two changes.
    fn lock(&self) -> MutexGuard<'_, OverrideState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> Millis {
        self.clock.now() / 1_000_000
    }

    /// The limits on overrides.
    pub fn limits(&self) -> Limits {
        self.limits
    }

    /// State of the store.
    pub fn store_status(&self) -> StoreStatus {
        self.lock().store_status.clone()
    }

    /// Total steps of the wall clock since the start, in milliseconds.
    pub fn wall_clock_offset_ms(&self) -> i64 {
        self.lock().clock_steps.ahead_by_ms()
    }

    /// Converts a wall clock time to the program's clock.
    pub fn from_wall_clock(&self, at: Millis) -> Millis {
        at.saturating_add_signed(-self.wall_clock_offset_ms())
    }

    /// A time from now, by the program's clock.
    pub fn from_now(&self, duration: Millis) -> Millis {
        self.now().saturating_add(duration)
    }

    fn core_snapshots(&self) -> Vec<(&'static str, Option<CoreSnapshot>)> {
        self.cores
            .iter()
            .map(|(front, core)| (*front, core.snapshot()))
            .collect()
    }

    /// All overrides in effect.
    pub fn list(&self) -> Vec<OverrideView> {
        let fronts = self.listed_servers();
        let (state, now) = (self.lock(), self.now());
        state
            .set
            .active(now)
            .map(|record| view_of(&state, record, &fronts, now))
            .collect()
    }

    /// One override in effect.
    pub fn get(&self, id: OverrideId) -> Option<OverrideView> {
        let fronts = self.listed_servers();
        let (state, now) = (self.lock(), self.now());
        let record = state
            .set
            .get(id)
            .filter(|record| record.is_active_at(now))?;
        Some(view_of(&state, record, &fronts, now))
    }

    fn listed_servers(&self) -> Vec<ListedServers> {
        self.core_snapshots()
            .into_iter()
            .map(|(front, snapshot)| ListedServers::from_snapshot(front, snapshot))
            .collect()
    }

    /// Creates an override.
    ///
    /// # Errors
    ///
    /// Returns why it was refused.
    pub fn add(
        &self,
        draft: Draft,
        force: bool,
        replay: Option<Replay>,
    ) -> Result<ChangeResult, OverrideError> {
        let mut state = self.lock();
        let now = self.now();
        if let Some(record) = state.find_replayed(replay.as_ref())? {
            drop(state);
            return Ok(ChangeResult {
                view: self.view(&record),
                is_in_effect: true,
                is_replay: true,
            });
        }
        draft
            .check(now, &self.limits)
            .map_err(OverrideError::Invalid)?;
        if state.set.active(now).count() >= self.limits.max_count {
            return Err(OverrideError::Full(self.limits.max_count));
        }
        let store = state
            .store
            .as_ref()
            .ok_or_else(|| state.store_status.refusal())?;
        let mut record = draft.into_override(store.next_id(), now);
        (record.forced, record.replay) = (force, replay);
        if matches!(record.kind, OverrideKind::Out { .. }) && !force {
            let empty = fronts_left_empty(&mut state.set, &record, &self.core_snapshots(), now);
            if !empty.is_empty() {
                return Err(OverrideError::LeavesNoServer(empty));
            }
        }
        let is_in_effect = self.apply(&mut state, record.clone())?;
        if let Some(replay) = &record.replay {
            state.by_key.insert(replay.key.clone(), record.id);
        }
        drop(state);
        audit("created", &record, now);
        Ok(ChangeResult {
            view: self.view(&record),
            is_in_effect,
            is_replay: false,
        })
    }

    /// Changes the expiry of an override.
    ///
    /// # Errors
    ///
    /// Returns why it was refused.
    pub fn extend(
        &self,
        id: OverrideId,
        expires_at: Millis,
        revision: Option<u64>,
    ) -> Result<ChangeResult, OverrideError> {
        self.change("extended", id, revision, |record, now| {
            record
                .extend(expires_at, now, &self.limits)
                .map_err(|fault| OverrideError::Invalid(vec![fault]))
        })
    }

    /// Removes an override.
    ///
    /// # Errors
    ///
    /// Returns why it was refused.
    pub fn remove(
        &self,
        id: OverrideId,
        revision: Option<u64>,
    ) -> Result<ChangeResult, OverrideError> {
        self.change("removed", id, revision, |record, now| {
            record.remove(now);
            Ok(())
        })
    }

    fn change(
        &self,
        what: &str,
        id: OverrideId,
        revision: Option<u64>,
        change: impl FnOnce(&mut Override, Millis) -> Result<(), OverrideError>,
    ) -> Result<ChangeResult, OverrideError> {
        let mut state = self.lock();
        let now = self.now();
        let mut record = state
            .set
            .get(id)
            .filter(|record| record.is_active_at(now))
            .ok_or(OverrideError::Unknown)?
            .clone();
        if revision.is_some_and(|revision| revision != record.revision) {
            return Err(OverrideError::Stale(record.revision));
        }
        change(&mut record, now)?;
        let is_in_effect = self.apply(&mut state, record.clone())?;
        drop(state);
        audit(what, &record, now);
        Ok(ChangeResult {
            view: self.view(&record),
            is_in_effect,
            is_replay: false,
        })
    }

    /// Stores an override and applies it to the cores; returns whether all have applied it.
    fn apply(&self, state: &mut OverrideState, record: Override) -> Result<bool, OverrideError> {
        let offset_ms = state.clock_steps.ahead_by_ms();
        let store = state
            .store
            .as_mut()
            .ok_or_else(|| state.store_status.refusal())?;
        store
            .put(&[with_clock_offset(&record, offset_ms)])
            .map_err(OverrideError::Store)?;
        state.set.insert(record.clone());
        let is_in_effect = self.apply_to_cores(OverrideChange::Put(Box::new(record)));
        let _ = self.change_sender.try_send(());
        Ok(is_in_effect)
    }

    fn view(&self, record: &Override) -> OverrideView {
        let fronts = self.listed_servers();
        view_of(&self.lock(), record, &fronts, self.now())
    }
}
