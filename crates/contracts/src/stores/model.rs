//! In-memory remote stores: a correct one, and variants with one defect each.
//!
//! Each defect belongs to one case of the suite, which has to detect it.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use super::{
    ClearMethod, Durability, NewerSchema, Properties, Rows, Store, StoreError, StoreFault, Subject,
    UnsyncedLoss,
};

/// The defect of a store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    /// The store is correct.
    None,
    /// Puts of a key that was removed are ignored.
    IgnoresPutAfterRemove,
    /// Puts are written only when the store is closed.
    DefersPuts,
    /// Rows of a batch are written one by one.
    SplitsBatches,
    /// Removals are written only when the store is closed.
    DefersRemoves,
    /// Recovery after a power loss clears the rows before it rewrites them.
    RecoversInPlace,
    /// Puts are acknowledged although the disk is full.
    AcknowledgesWhenFull,
    /// Puts are acknowledged although the disk is read-only.
    AcknowledgesWhenReadOnly,
    /// Puts are deferred when the disk is slow.
    DefersWhenSlow,
    /// Changes go to the old file after the data was deleted, and are lost.
    IgnoresClear,
    /// Data of a newer schema is opened as if it were of this version.
    OpensNewerSchema,
    /// The store can be opened twice.
    AllowsSecondOpen,
    /// A missing reply counts as success.
    TreatsSilenceAsSuccess,
    /// A partial reply counts as success.
    TreatsPartialReplyAsSuccess,
    /// A put whose reply was lost is rejected because its row exists already.
    RejectsRetry,
    /// Any reply is accepted, whichever command it belongs to.
    AcceptsMismatchedReply,
    /// A loading server is taken for an empty one.
    TreatsLoadingAsEmpty,
}

struct State {
    /// Durable rows.
    rows: Rows,
    /// Changes that are not written yet; `None` is a removal.
    deferred_changes: Vec<(u64, Option<String>)>,
    /// Keys whose puts are ignored because the row was removed.
    removed_keys: BTreeSet<u64>,
    has_newer_schema: bool,
    needs_recovery: bool,
    open_handles: u32,
    fault: StoreFault,
    write_count: u64,
    power_off_at_write: Option<u64>,
    is_power_off: bool,
    power_losses: u64,
    clears: u64,
}

/// An in-memory store under test.
pub struct InMemory {
    state: Arc<Mutex<State>>,
    defect: Defect,
}

struct Handle {
    state: Arc<Mutex<State>>,
    defect: Defect,
    power_losses: u64,
    clears: u64,
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

fn unavailable<T>(reason: &str) -> Result<T, StoreError> {
    Err(StoreError::Unavailable(reason.to_owned()))
}

impl State {
    /// Counts one write; fails if the power is off or goes off at it.
    fn write(&mut self) -> Result<(), StoreError> {
        self.write_count += 1;
        self.is_power_off |= self
            .power_off_at_write
            .is_some_and(|at| self.write_count >= at);
        if self.is_power_off {
            unavailable("the power is off")
        } else {
            Ok(())
        }
    }

    fn apply_deferred(&mut self) {
        for (key, value) in std::mem::take(&mut self.deferred_changes) {
            apply_change(&mut self.rows, key, value);
        }
    }
}

fn apply_change(rows: &mut Rows, key: u64, value: Option<String>) {
    match value {
        Some(value) => drop(rows.insert(key, value)),
        None => drop(rows.remove(&key)),
    }
}

impl InMemory {
    /// Creates an empty store with this defect.
    pub fn new(defect: Defect) -> InMemory {
        let state = State {
            rows: Rows::new(),
            deferred_changes: Vec::new(),
            removed_keys: BTreeSet::new(),
            has_newer_schema: false,
            needs_recovery: false,
            open_handles: 0,
            fault: StoreFault::None,
            write_count: 0,
            power_off_at_write: None,
            is_power_off: false,
            power_losses: 0,
            clears: 0,
        };
        InMemory {
            state: Arc::new(Mutex::new(state)),
            defect,
        }
    }
}

impl Subject for InMemory {
    fn properties(&self) -> Properties {
        Properties {
            durability: Durability::OnReturn,
            has_atomic_batches: true,
            is_exclusive: true,
            newer_schema: NewerSchema::Refused,
            is_remote: true,
        }
    }

    fn open(&self) -> Result<(Box<dyn Store>, Rows), StoreError> {
        let mut state = lock(&self.state);
        match (state.fault, self.defect) {
            _ if state.is_power_off => return unavailable("the power is off"),
            _ if state.open_handles > 0 && self.defect != Defect::AllowsSecondOpen => {
                return unavailable("the store is open already");
            }
            (
                StoreFault::Silent
                | StoreFault::PartialReply
                | StoreFault::Loading
                | StoreFault::DelayedReply,
                _,
            ) => {
                return unavailable("no valid reply");
            }
            _ => {}
        }
        if state.has_newer_schema {
            if self.defect != Defect::OpensNewerSchema {
                return unavailable("the data has a newer schema");
            }
            state.has_newer_schema = false;
        }
        if state.needs_recovery {
            if self.defect == Defect::RecoversInPlace {
                let rows = std::mem::take(&mut state.rows);
                state.write()?;
                state.rows = rows;
            }
            state.write()?;
            state.needs_recovery = false;
        }
        state.open_handles += 1;
        let handle = Handle {
            state: Arc::clone(&self.state),
            defect: self.defect,
            power_losses: state.power_losses,
            clears: state.clears,
        };
        Ok((Box::new(handle), state.rows.clone()))
    }

    fn set_fault(&self, fault: StoreFault) {
        lock(&self.state).fault = fault;
    }

    fn cut_power_after(&self, writes: u64) {
        let mut state = lock(&self.state);
        state.power_off_at_write = Some(state.write_count + writes);
        state.is_power_off = writes == 0;
    }

    fn is_power_off(&self) -> bool {
        lock(&self.state).is_power_off
    }

    fn restore_power(&self, loss: UnsyncedLoss) {
        let mut state = lock(&self.state);
        (
            state.is_power_off,
            state.power_off_at_write,
            state.open_handles,
            state.needs_recovery,
        ) = (false, None, 0, true);
        state.power_losses += 1;
        match loss {
            UnsyncedLoss::None => state.apply_deferred(),
            UnsyncedLoss::All | UnsyncedLoss::Partial(_) => state.deferred_changes.clear(),
        }
    }

    fn clear(&self, _: ClearMethod) {
        let mut state = lock(&self.state);
        state.rows.clear();
        state.deferred_changes.clear();
        state.clears += 1;
    }

    fn write_newer_schema(&self) {
        lock(&self.state).has_newer_schema = true;
    }

    fn is_newer_data_intact(&self) -> bool {
        lock(&self.state).has_newer_schema
    }
}

impl Handle {
    /// Applies changes, subject to the current fault and the defect.
    fn change(&self, changes: Vec<(u64, Option<String>)>) -> Result<(), StoreError> {
        let mut state = lock(&self.state);
        if state.is_power_off || state.power_losses != self.power_losses {
            return unavailable("the power is off");
        }
        let has_removal = changes.iter().any(|(_, value)| value.is_none());
        let is_deferred = match (self.defect, state.fault) {
            (Defect::DefersPuts, _) => !has_removal,
            (Defect::DefersRemoves, _) => has_removal,
            (Defect::DefersWhenSlow, StoreFault::Slow) => true,
            (Defect::IgnoresClear, _) if state.clears != self.clears => return Ok(()),
            (Defect::AcknowledgesWhenFull, StoreFault::Full) => return Ok(()),
            (Defect::AcknowledgesWhenReadOnly, StoreFault::ReadOnly) => return Ok(()),
            (_, StoreFault::Full | StoreFault::ReadOnly) => {
                return unavailable("writes are refused");
            }
            (_, StoreFault::Loading) => return unavailable("the server is loading its data"),
            _ => false,
        };
        if is_deferred {
            state.deferred_changes.extend(changes);
            return Ok(());
        }
        let mut rows = state.rows.clone();
        for (key, value) in changes {
            state.write()?;
            if self.defect == Defect::IgnoresPutAfterRemove && value.is_none() {
                state.removed_keys.insert(key);
            }
            if !state.removed_keys.contains(&key) || value.is_none() {
                apply_change(&mut rows, key, value);
            }
            if self.defect == Defect::SplitsBatches {
                state.rows = rows.clone();
            }
        }
        state.write()?;
        state.rows = rows;
        self.reply(&mut state)
    }

    /// The result that the caller sees of a change that was applied.
    fn reply(&self, state: &mut State) -> Result<(), StoreError> {
        match (state.fault, self.defect) {
            (StoreFault::Silent, Defect::TreatsSilenceAsSuccess)
            | (StoreFault::PartialReply, Defect::TreatsPartialReplyAsSuccess) => Ok(()),
            (StoreFault::Silent | StoreFault::PartialReply | StoreFault::DelayedReply, _) => {
                unavailable("no valid reply")
            }
            (StoreFault::Reset, defect) => {
                state.fault = StoreFault::None;
                match defect {
                    Defect::RejectsRetry => {
                        Err(StoreError::Rejected("the row exists already".into()))
                    }
                    _ => Ok(()),
                }
            }
            _ => Ok(()),
        }
    }
}

impl Store for Handle {
    fn put(&mut self, rows: &Rows) -> Result<(), StoreError> {
        self.change(
            rows.iter()
                .map(|(key, value)| (*key, Some(value.clone())))
                .collect(),
        )
    }

    fn remove(&mut self, key: u64) -> Result<(), StoreError> {
        self.change(vec![(key, None)])
    }

    fn rows(&mut self) -> Result<Rows, StoreError> {
        let state = lock(&self.state);
        match (state.fault, self.defect) {
            (StoreFault::DelayedReply, Defect::AcceptsMismatchedReply) => Ok(Rows::new()),
            (StoreFault::Loading, Defect::TreatsLoadingAsEmpty) => Ok(Rows::new()),
            (
                StoreFault::Silent
                | StoreFault::PartialReply
                | StoreFault::DelayedReply
                | StoreFault::Loading,
                _,
            ) => unavailable("no valid reply"),
            _ => Ok(state.rows.clone()),
        }
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        let mut state = lock(&self.state);
        if !state.is_power_off && state.power_losses == self.power_losses {
            state.apply_deferred();
            state.open_handles = state.open_handles.saturating_sub(1);
        }
    }
}
