//! The override manager: serializes changes, stores each one durably and applies it to the cores.
//!
//! Internal times are on the process's monotonic clock; times in the store and in views are on the
//! wall clock. A step of the wall clock therefore changes no override's duration.

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

/// Configuration of overrides in the operator's file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OverridesConfig {
    /// File of the store. Without one, changes are refused.
    pub file: Option<PathBuf>,
    /// Limits on the number and duration of overrides.
    pub limits: Limits,
}

/// A front's name and its core.
pub type NamedCore = (&'static str, CoreHandle);

/// State of the store, as shown to operators.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StoreStatus {
    /// Whether overrides are persistent.
    pub is_persistent: bool,
    /// Reasons why overrides are not persistent, or problems found while they were restored.
    pub notes: Vec<String>,
}

/// Reason why a change was refused. A refused change has no effect.
#[derive(Debug)]
pub enum OverrideError {
    /// There is no store; contains the reason.
    NoStore(String),
    /// These fields are invalid.
    Invalid(Vec<FieldError>),
    /// No active override has this id.
    Unknown,
    /// The expected revision does not match; contains the current one.
    Stale(u64),
    /// The change would leave a front or zone without a ready server and was not forced.
    LeavesNoServer(Vec<(&'static str, CoverageGaps)>),
    /// The maximum number of overrides, contained here, is reached.
    Full(usize),
    /// The idempotency key was used for a different request.
    KeyReused,
    /// The change could not be written to the store.
    Store(StoreError),
}

/// Result of a change.
#[derive(Debug)]
pub struct ChangeResult {
    /// The override as changed.
    pub view: OverrideView,
    /// Whether every core has applied the change in time. Late cores apply it afterwards.
    pub is_in_effect: bool,
    /// Whether the request repeated an earlier one with the same idempotency key and changed
    /// nothing.
    pub is_replay: bool,
}

struct OverrideState {
    set: OverrideSet,
    store: Option<Box<dyn OverrideStore>>,
    store_status: StoreStatus,
    /// Overrides by idempotency key.
    by_key: HashMap<String, OverrideId>,
    clock_steps: ClockStepDetector,
    /// Expirations up to this time have been logged.
    reported_until: Millis,
}

impl StoreStatus {
    /// The error that changes return without a store.
    fn refusal(&self) -> OverrideError {
        OverrideError::NoStore(self.notes.join("; "))
    }
}

impl OverrideState {
    /// Finds the override that an earlier request with the same idempotency key created.
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

/// Manages the overrides of all cores of the process.
pub struct OverrideManager {
    state: Mutex<OverrideState>,
    cores: Vec<NamedCore>,
    clock: Clock,
    limits: Limits,
    wall_clock: WallClock,
    change_sender: Sender<()>,
    change_receiver: Receiver<()>,
}

/// A function that returns the wall clock time, in Unix milliseconds.
pub type WallClock = Box<dyn Fn() -> Millis + Send + Sync>;

/// The system's wall clock time, in Unix milliseconds.
pub fn wall_clock_ms() -> Millis {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Millis::try_from(now.as_millis()).unwrap_or(Millis::MAX)
}

impl OverrideManager {
    /// Creates a manager of restored overrides. The cores must have been started with them.
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

    /// Locks the state. It is valid between any two changes, so a poisoned lock can be used.
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

    /// The state of the store.
    pub fn store_status(&self) -> StoreStatus {
        self.lock().store_status.clone()
    }

    /// Sum of the wall clock's steps since the start, in milliseconds.
    pub fn wall_clock_offset_ms(&self) -> i64 {
        self.lock().clock_steps.ahead_by_ms()
    }

    /// Converts a wall clock time to the process's monotonic clock.
    pub fn from_wall_clock(&self, at: Millis) -> Millis {
        at.saturating_add_signed(-self.wall_clock_offset_ms())
    }

    /// The time after a duration from now, on the process's monotonic clock.
    pub fn from_now(&self, duration: Millis) -> Millis {
        self.now().saturating_add(duration)
    }

    fn core_snapshots(&self) -> Vec<(&'static str, Option<CoreSnapshot>)> {
        self.cores
            .iter()
            .map(|(front, core)| (*front, core.snapshot()))
            .collect()
    }

    /// All active overrides.
    pub fn list(&self) -> Vec<OverrideView> {
        let fronts = self.listed_servers();
        let (state, now) = (self.lock(), self.now());
        state
            .set
            .active(now)
            .map(|record| view_of(&state, record, &fronts, now))
            .collect()
    }

    /// The override with this id, if it is active.
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

    /// Creates an override. A repetition with the same idempotency key returns the existing one.
    ///
    /// # Errors
    ///
    /// Returns the reason of a refusal; nothing has changed then.
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

    /// Changes the expiry of an active override, if it has the expected revision.
    ///
    /// # Errors
    ///
    /// Returns the reason of a refusal; nothing has changed then.
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

    /// Removes an active override, if it has the expected revision.
    ///
    /// # Errors
    ///
    /// Returns the reason of a refusal; nothing has changed then.
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
        action: &str,
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
        audit(action, &record, now);
        Ok(ChangeResult {
            view: self.view(&record),
            is_in_effect,
            is_replay: false,
        })
    }

    /// Stores an override, then applies it to the cores; returns whether all have applied it in
    /// time.
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
