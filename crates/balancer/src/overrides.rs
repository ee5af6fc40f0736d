//! The keeper of overrides: it takes changes one after the other, makes each durable, and then has the cores follow.
//!
//! Inside, moments are those of the program's clock. On the disk and before people they are the wall clock's, so that
//! a step of it moves neither the end of an override that holds nor that of one that is read back.

mod audit;
mod follow;
mod housekeeping;
mod restore;
mod view;

use std::collections::HashMap;
use std::path::PathBuf;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

use beaconflow_overrides::{
    Draft, Fault, Id, Judgement, Kind, Limits, Millis, Override, Replay, Set, StepWatch, shifted,
};
use beaconflow_store::{OverrideStore, StoreError};
use crossbeam_channel::{Receiver, Sender, bounded};

use crate::clock::Clock;
use crate::core::{Handle, Look, OverrideChange};
use audit::audit;
pub use restore::{Restored, restore};
pub use view::Shown;
use view::{ListedServers, leaves_none, shown};

/// What an operator's file says of overrides.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Config {
    /// The file that they are kept in; none are kept where there is none.
    pub file: Option<PathBuf>,
    /// How far they may go.
    pub limits: Limits,
}

/// A front's core, and the name under which it is shown.
pub type NamedCore = (&'static str, Handle);

/// Where overrides are kept, in words for people.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StoreState {
    /// Whether any are kept.
    pub kept: bool,
    /// Why not, or what was found amiss at the start.
    pub notes: Vec<String>,
}

/// Why a change is refused. Nothing has been changed then.
#[derive(Debug)]
pub enum Refused {
    /// None are kept here, and why.
    NoStore(String),
    /// Fields are at fault.
    Faults(Vec<Fault>),
    /// There is no override of that number that holds.
    Unknown,
    /// It has another revision.
    Stale(u64),
    /// It leaves no ready server, and was not forced.
    LeavesNone(Vec<(&'static str, Judgement)>),
    /// There are as many as may be.
    Full(usize),
    /// The key was used for another request.
    KeyReused,
    /// It could not be made durable.
    Store(StoreError),
}

/// What became of a change.
#[derive(Debug)]
pub struct Changed {
    /// The override now.
    pub shown: Shown,
    /// Whether every core follows it already; if not, it will as soon as it can.
    pub settled: bool,
    /// The same request had come before, and nothing was done now.
    pub replayed: bool,
}

struct State {
    set: Set,
    store: Option<Box<dyn OverrideStore>>,
    about: StoreState,
    /// Overrides by the keys of the requests that made them.
    by_key: HashMap<String, Id>,
    steps: StepWatch,
    /// Ends up to here have been told.
    told_until: Millis,
}

impl StoreState {
    /// Why no change is taken, where none are kept.
    fn refusal(&self) -> Refused {
        Refused::NoStore(self.notes.join("; "))
    }
}

impl State {
    /// The override that the same request has made before, if it has.
    fn made_by(&self, replay: Option<&Replay>) -> Result<Option<Override>, Refused> {
        let made = replay.and_then(|replay| self.by_key.get(&replay.key));
        let Some(one) = made.and_then(|id| self.set.get(*id)) else {
            return Ok(None);
        };
        if one.replay.as_ref() == replay {
            Ok(Some(one.clone()))
        } else {
            Err(Refused::KeyReused)
        }
    }
}

/// Keeps the overrides of the program.
pub struct Keeper {
    state: Mutex<State>,
    cores: Vec<NamedCore>,
    clock: Clock,
    limits: Limits,
    wall: WallClock,
    changed: Sender<()>,
    changes: Receiver<()>,
}

/// Reads the wall clock, in Unix milliseconds.
pub type WallClock = Box<dyn Fn() -> Millis + Send + Sync>;

/// The system's wall clock.
pub fn wall() -> Millis {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Millis::try_from(now.as_millis()).unwrap_or(Millis::MAX)
}

impl Keeper {
    /// Keeps what was restored, for these cores, which have been given the same.
    pub fn new(
        restored: Restored,
        cores: Vec<NamedCore>,
        clock: Clock,
        limits: Limits,
        wall: WallClock,
    ) -> Keeper {
        let Restored { store, about, set } = restored;
        let keys = set
            .iter()
            .filter_map(|one| Some((one.replay.as_ref()?.key.clone(), one.id)));
        let by_key = keys.collect();
        let told_until = clock.now() / 1_000_000;
        let state = State {
            set,
            store,
            about,
            by_key,
            steps: StepWatch::default(),
            told_until,
        };
        let (changed, changes) = bounded(1);
        Keeper {
            state: Mutex::new(state),
            cores,
            clock,
            limits,
            wall,
            changed,
            changes,
        }
    }

    /// Changes are made to a state that is sound between any two of them.
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> Millis {
        self.clock.now() / 1_000_000
    }

    /// The limits that hold.
    pub fn limits(&self) -> Limits {
        self.limits
    }

    /// Where overrides are kept.
    pub fn about(&self) -> StoreState {
        self.lock().about.clone()
    }

    /// How far the wall clock was stepped ahead since the start, in milliseconds.
    pub fn wall_ahead(&self) -> i64 {
        self.lock().steps.ahead_by()
    }

    /// A moment of the wall clock on the program's.
    pub fn from_wall(&self, at: Millis) -> Millis {
        at.saturating_add_signed(-self.wall_ahead())
    }

    /// A moment from now on the program's clock.
    pub fn after(&self, span: Millis) -> Millis {
        self.now().saturating_add(span)
    }

    fn looks(&self) -> Vec<(&'static str, Option<Look>)> {
        self.cores
            .iter()
            .map(|(front, core)| (*front, core.look()))
            .collect()
    }

    /// Every override that holds.
    pub fn list(&self) -> Vec<Shown> {
        let fronts = self.listed_servers();
        let (state, now) = (self.lock(), self.now());
        state
            .set
            .holding(now)
            .map(|one| shown(&state, one, &fronts, now))
            .collect()
    }

    /// One that holds.
    pub fn get(&self, id: Id) -> Option<Shown> {
        let fronts = self.listed_servers();
        let (state, now) = (self.lock(), self.now());
        let one = state.set.get(id).filter(|one| one.holds(now))?;
        Some(shown(&state, one, &fronts, now))
    }

    fn listed_servers(&self) -> Vec<ListedServers> {
        self.looks()
            .into_iter()
            .map(|(front, look)| ListedServers::seen(front, look))
            .collect()
    }

    /// Enters an override.
    pub fn add(
        &self,
        draft: Draft,
        force: bool,
        replay: Option<Replay>,
    ) -> Result<Changed, Refused> {
        let mut state = self.lock();
        let now = self.now();
        if let Some(one) = state.made_by(replay.as_ref())? {
            drop(state);
            return Ok(Changed {
                shown: self.show(&one),
                settled: true,
                replayed: true,
            });
        }
        draft.check(now, &self.limits).map_err(Refused::Faults)?;
        if state.set.holding(now).count() >= self.limits.most {
            return Err(Refused::Full(self.limits.most));
        }
        let store = state.store.as_ref().ok_or_else(|| state.about.refusal())?;
        let mut one = draft.into_override(store.next_id(), now);
        (one.forced, one.replay) = (force, replay);
        if matches!(one.kind, Kind::Out { .. }) && !force {
            let empty = leaves_none(&mut state.set, &one, &self.looks(), now);
            if !empty.is_empty() {
                return Err(Refused::LeavesNone(empty));
            }
        }
        let settled = self.enter(&mut state, one.clone())?;
        if let Some(replay) = &one.replay {
            state.by_key.insert(replay.key.clone(), one.id);
        }
        drop(state);
        audit("created", &one, now);
        Ok(Changed {
            shown: self.show(&one),
            settled,
            replayed: false,
        })
    }

    /// Changes when an override ends.
    pub fn extend(
        &self,
        id: Id,
        expires_at: Millis,
        revision: Option<u64>,
    ) -> Result<Changed, Refused> {
        self.change("extended", id, revision, |one, now| {
            one.extend(expires_at, now, &self.limits)
                .map_err(|fault| Refused::Faults(vec![fault]))
        })
    }

    /// Ends an override.
    pub fn remove(&self, id: Id, revision: Option<u64>) -> Result<Changed, Refused> {
        self.change("removed", id, revision, |one, now| {
            one.remove(now);
            Ok(())
        })
    }

    fn change(
        &self,
        what: &str,
        id: Id,
        revision: Option<u64>,
        change: impl FnOnce(&mut Override, Millis) -> Result<(), Refused>,
    ) -> Result<Changed, Refused> {
        let mut state = self.lock();
        let now = self.now();
        let mut one = state
            .set
            .get(id)
            .filter(|one| one.holds(now))
            .ok_or(Refused::Unknown)?
            .clone();
        if revision.is_some_and(|revision| revision != one.revision) {
            return Err(Refused::Stale(one.revision));
        }
        change(&mut one, now)?;
        let settled = self.enter(&mut state, one.clone())?;
        drop(state);
        audit(what, &one, now);
        Ok(Changed {
            shown: self.show(&one),
            settled,
            replayed: false,
        })
    }

    /// Makes an override durable and then has the cores follow it; tells whether all do.
    fn enter(&self, state: &mut State, one: Override) -> Result<bool, Refused> {
        let ahead = state.steps.ahead_by();
        let store = state.store.as_mut().ok_or_else(|| state.about.refusal())?;
        store.put(&[shifted(&one, ahead)]).map_err(Refused::Store)?;
        state.set.put(one.clone());
        let settled = self.have_followed(OverrideChange::Put(Box::new(one)));
        let _ = self.changed.try_send(());
        Ok(settled)
    }

    fn show(&self, one: &Override) -> Shown {
        let fronts = self.listed_servers();
        shown(&self.lock(), one, &fronts, self.now())
    }
}
