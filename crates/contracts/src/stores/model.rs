//! A store in memory, behind a wire of its own: a sound one, and ones with one defect each.
//!
//! Each defect is there for one case of the suite, which has to catch it.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use super::{Durable, Emptied, Failed, Loss, Newer, Rows, Store, StoreFault, Subject, Traits};

/// What is wrong with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    /// Nothing.
    None,
    /// What was removed can't be put again.
    RemovesForGood,
    /// A put is written when the store is closed.
    WritesBehind,
    /// The rows of a put are written one by one.
    RowByRow,
    /// What is removed is written when the store is closed.
    RemovesBehind,
    /// After a loss of power it clears what it holds and writes it again.
    MendsInPlace,
    /// A put is answered with yes when there is no room.
    TakesAllWhenFull,
    /// A put is answered with yes when nothing may be written.
    TakesAllWhenReadOnly,
    /// A put is written behind when the disk is slow.
    BehindWhenSlow,
    /// It goes on with what it had open after that was emptied.
    HoldsTheRemoved,
    /// It takes what a newer program wrote for its own.
    ReadsTheNewer,
    /// Two may have it open.
    OpensTwice,
    /// No answer is taken for yes.
    SilenceIsYes,
    /// Half an answer is taken for a whole one.
    HalfIsWhole,
    /// A put that is repeated is refused, as there is such a row.
    RepeatIsRefused,
    /// The next answer is taken, whatever it answers.
    AnyAnswerDoes,
    /// A server that loads is taken for one that holds nothing.
    LoadingIsEmpty,
}

struct State {
    /// What is durable.
    rows: Rows,
    /// What is written behind, with what is removed as none.
    behind: Vec<(u64, Option<String>)>,
    /// Keys that can't be put again.
    gone: BTreeSet<u64>,
    newer: bool,
    unclean: bool,
    open: u32,
    weather: StoreFault,
    writes: u64,
    cut_at: Option<u64>,
    dark: bool,
    lives: u64,
    emptied: u64,
}

/// The store's ground.
pub struct InMemory {
    state: Arc<Mutex<State>>,
    defect: Defect,
}

struct Handle {
    state: Arc<Mutex<State>>,
    defect: Defect,
    lives: u64,
    emptied: u64,
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

fn unable<T>(why: &str) -> Result<T, Failed> {
    Err(Failed::Unable(why.to_owned()))
}

impl State {
    /// One write; the power may go at it.
    fn write(&mut self) -> Result<(), Failed> {
        self.writes += 1;
        self.dark |= self.cut_at.is_some_and(|at| self.writes >= at);
        if self.dark {
            unable("the power is off")
        } else {
            Ok(())
        }
    }

    fn settle(&mut self) {
        for (key, value) in std::mem::take(&mut self.behind) {
            set(&mut self.rows, key, value);
        }
    }
}

fn set(rows: &mut Rows, key: u64, value: Option<String>) {
    match value {
        Some(value) => drop(rows.insert(key, value)),
        None => drop(rows.remove(&key)),
    }
}

impl InMemory {
    /// One with this defect.
    pub fn new(defect: Defect) -> InMemory {
        let state = State {
            rows: Rows::new(),
            behind: Vec::new(),
            gone: BTreeSet::new(),
            newer: false,
            unclean: false,
            open: 0,
            weather: StoreFault::Fair,
            writes: 0,
            cut_at: None,
            dark: false,
            lives: 0,
            emptied: 0,
        };
        InMemory {
            state: Arc::new(Mutex::new(state)),
            defect,
        }
    }
}

impl Subject for InMemory {
    fn traits(&self) -> Traits {
        Traits {
            durable: Durable::OnReturn,
            batches: true,
            exclusive: true,
            newer: Newer::LeftAlone,
            wire: true,
        }
    }

    fn open(&self) -> Result<(Box<dyn Store>, Rows), Failed> {
        let mut state = lock(&self.state);
        match (state.weather, self.defect) {
            _ if state.dark => return unable("the power is off"),
            _ if state.open > 0 && self.defect != Defect::OpensTwice => {
                return unable("it is open");
            }
            (
                StoreFault::Silent
                | StoreFault::HalfAnswer
                | StoreFault::Loading
                | StoreFault::Late,
                _,
            ) => {
                return unable("no answer");
            }
            _ => {}
        }
        if state.newer {
            if self.defect != Defect::ReadsTheNewer {
                return unable("a newer program's");
            }
            state.newer = false;
        }
        if state.unclean {
            if self.defect == Defect::MendsInPlace {
                let rows = std::mem::take(&mut state.rows);
                state.write()?;
                state.rows = rows;
            }
            state.write()?;
            state.unclean = false;
        }
        state.open += 1;
        let handle = Handle {
            state: Arc::clone(&self.state),
            defect: self.defect,
            lives: state.lives,
            emptied: state.emptied,
        };
        Ok((Box::new(handle), state.rows.clone()))
    }

    fn weather(&self, weather: StoreFault) {
        lock(&self.state).weather = weather;
    }

    fn cut_after(&self, writes: u64) {
        let mut state = lock(&self.state);
        state.cut_at = Some(state.writes + writes);
        state.dark = writes == 0;
    }

    fn is_dark(&self) -> bool {
        lock(&self.state).dark
    }

    fn power_back(&self, loss: Loss) {
        let mut state = lock(&self.state);
        (state.dark, state.cut_at, state.open, state.unclean) = (false, None, 0, true);
        state.lives += 1;
        match loss {
            Loss::Nothing => state.settle(),
            Loss::Everything | Loss::Some(_) => state.behind.clear(),
        }
    }

    fn empty(&self, _: Emptied) {
        let mut state = lock(&self.state);
        state.rows.clear();
        state.behind.clear();
        state.emptied += 1;
    }

    fn newer_writes(&self) {
        lock(&self.state).newer = true;
    }

    fn is_newer_intact(&self) -> bool {
        lock(&self.state).newer
    }
}

impl Handle {
    /// Changes rows as the weather and the defect have it.
    fn change(&self, all: Vec<(u64, Option<String>)>) -> Result<(), Failed> {
        let mut state = lock(&self.state);
        if state.dark || state.lives != self.lives {
            return unable("the power is off");
        }
        let removes = all.iter().any(|(_, value)| value.is_none());
        let behind = match (self.defect, state.weather) {
            (Defect::WritesBehind, _) => !removes,
            (Defect::RemovesBehind, _) => removes,
            (Defect::BehindWhenSlow, StoreFault::Slow) => true,
            (Defect::HoldsTheRemoved, _) if state.emptied != self.emptied => return Ok(()),
            (Defect::TakesAllWhenFull, StoreFault::Full) => return Ok(()),
            (Defect::TakesAllWhenReadOnly, StoreFault::ReadOnly) => return Ok(()),
            (_, StoreFault::Full | StoreFault::ReadOnly) => return unable("nothing is written"),
            (_, StoreFault::Loading) => return unable("loading"),
            _ => false,
        };
        if behind {
            state.behind.extend(all);
            return Ok(());
        }
        let mut rows = state.rows.clone();
        for (key, value) in all {
            state.write()?;
            if self.defect == Defect::RemovesForGood && value.is_none() {
                state.gone.insert(key);
            }
            if !state.gone.contains(&key) || value.is_none() {
                set(&mut rows, key, value);
            }
            if self.defect == Defect::RowByRow {
                state.rows = rows.clone();
            }
        }
        state.write()?;
        state.rows = rows;
        self.answer(&mut state)
    }

    /// What its caller hears of a change that is done.
    fn answer(&self, state: &mut State) -> Result<(), Failed> {
        match (state.weather, self.defect) {
            (StoreFault::Silent, Defect::SilenceIsYes)
            | (StoreFault::HalfAnswer, Defect::HalfIsWhole) => Ok(()),
            (StoreFault::Silent | StoreFault::HalfAnswer | StoreFault::Late, _) => {
                unable("no answer")
            }
            (StoreFault::Reset, defect) => {
                state.weather = StoreFault::Fair;
                match defect {
                    Defect::RepeatIsRefused => Err(Failed::Refused("there is such a row".into())),
                    _ => Ok(()),
                }
            }
            _ => Ok(()),
        }
    }
}

impl Store for Handle {
    fn put(&mut self, rows: &Rows) -> Result<(), Failed> {
        self.change(
            rows.iter()
                .map(|(key, value)| (*key, Some(value.clone())))
                .collect(),
        )
    }

    fn remove(&mut self, key: u64) -> Result<(), Failed> {
        self.change(vec![(key, None)])
    }

    fn rows(&mut self) -> Result<Rows, Failed> {
        let state = lock(&self.state);
        match (state.weather, self.defect) {
            (StoreFault::Late, Defect::AnyAnswerDoes) => Ok(Rows::new()),
            (StoreFault::Loading, Defect::LoadingIsEmpty) => Ok(Rows::new()),
            (
                StoreFault::Silent
                | StoreFault::HalfAnswer
                | StoreFault::Late
                | StoreFault::Loading,
                _,
            ) => unable("no answer"),
            _ => Ok(state.rows.clone()),
        }
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        let mut state = lock(&self.state);
        if !state.dark && state.lives == self.lives {
            state.settle();
            state.open = state.open.saturating_sub(1);
        }
    }
}
