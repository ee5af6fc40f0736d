//! The keeper of overrides: it takes changes one after the other, makes each durable, and then has the cores follow.
//!
//! Inside, moments are those of the program's clock. On the disk and before people they are the wall clock's, so that
//! a step of it moves neither the end of an override that holds nor that of one that is read back.

use std::collections::HashMap;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::PathBuf;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use beaconflow_overrides::{
    Draft, Effect, Fault, Id, Judgement, Kind, Limits, Listed, Millis, Override, Replay, Set, StepWatch,
    bounded_expiry, judge, shifted,
};
use beaconflow_store::{Contents, OpenError, OverrideStore, StoreError};
use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, bounded};
use tracing::{error, info, warn};

use crate::clock::Clock;
use crate::core::{Handle, InEffect, Look, OverrideChange};

/// The wall clock is compared this often.
const WALL_PERIOD: Duration = Duration::from_secs(1);
/// A core that has not followed by then is answered for as late.
const CORE_PATIENCE: Duration = Duration::from_secs(1);
/// Passes that write a first byte just now are waited for so long.
const QUIET_PATIENCE: Duration = Duration::from_secs(1);

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

/// An override as people see it: its moments are the wall clock's.
#[derive(Clone, Debug)]
pub struct Shown {
    /// The override.
    pub one: Override,
    /// How long it still holds, in milliseconds.
    pub remaining: Millis,
    /// What it does now at each front.
    pub effects: Vec<(&'static str, Effect)>,
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

/// What was found at the start.
pub struct Restored {
    store: Option<Box<dyn OverrideStore>>,
    about: StoreState,
    /// The overrides, for the cores.
    pub set: Set,
}

/// Reads the wall clock, in Unix milliseconds.
pub type WallClock = Box<dyn Fn() -> Millis + Send + Sync>;

/// The system's wall clock.
pub fn wall() -> Millis {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Millis::try_from(now.as_millis()).unwrap_or(Millis::MAX)
}

impl Restored {
    /// Nothing, to be kept in this store from now on.
    pub fn kept_in(store: Box<dyn OverrideStore>, limits: Limits) -> Restored {
        let about = StoreState { kept: true, notes: Vec::new() };
        Restored { store: Some(store), about, set: Set::new(limits.ramp) }
    }
}

/// Opens the store that the operator's file names. Whatever is wrong with it is said, and the program serves.
pub fn restore(config: &Config, clock: Clock) -> Restored {
    let Some(file) = &config.file else {
        let about = StoreState { kept: false, notes: vec!["no store is set (overrides.file)".into()] };
        return Restored { store: None, about, set: Set::new(config.limits.ramp) };
    };
    match beaconflow_store::open(file) {
        Ok((store, contents)) => take_back(Box::new(store), contents, config, clock.now() / 1_000_000),
        Err(error) => {
            let what = match &error {
                OpenError::Newer { .. } | OpenError::InUse => "is left alone",
                OpenError::System(_) => "can't be opened",
            };
            let note = format!("the store {} {what}: {error}", file.display());
            error!(part = "overrides", why = note, "none are restored or kept");
            let about = StoreState { kept: false, notes: vec![note] };
            Restored { store: None, about, set: Set::new(config.limits.ramp) }
        }
    }
}

/// Takes back what a store held.
fn take_back(
    mut store: Box<dyn OverrideStore>,
    contents: Contents,
    config: &Config,
    now: Millis,
) -> Restored {
    let mut notes = Vec::new();
    if let Some((aside, why)) = contents.kept_aside {
        notes.push(format!(
            "the store was damaged ({why}): it is kept as {}, and none of its overrides are restored",
            aside.display()
        ));
    }
    if !contents.unreadable.is_empty() {
        notes.push(format!("records that can't be read were left out: {:?}", contents.unreadable));
    }
    let mut set = Set::new(config.limits.ramp);
    let (mut holding, mut spent) = (0, Vec::new());
    for mut one in contents.overrides {
        let (expires_at, cut) = bounded_expiry(&one, now);
        if let Some(cut) = cut {
            notes.push(format!(
                "the wall clock stands before override {} began: it ends {} s earlier by that clock, after no more \
                 than its whole span",
                one.id,
                cut / 1_000
            ));
        }
        (one.created_at, one.expires_at) = (one.created_at.min(now), expires_at);
        one.removed_at = one.removed_at.map(|at| at.min(now));
        if one.removed_at.is_none() && !one.holds(now) {
            audit("found expired", &one, now);
        }
        if one.end().saturating_add(config.limits.ramp) > now {
            holding += usize::from(one.holds(now));
            set.put(one);
        } else {
            spent.push(one.id);
        }
    }
    // Guards against a file that grows with every override that ended while no program ran.
    if let Err(error) = store.forget(&spent) {
        error!(part = "overrides", why = %error, "not written");
    }
    for note in &notes {
        warn!(part = "overrides", what = note, "found at the start");
    }
    info!(part = "overrides", restored = holding, "restored");
    Restored { store: Some(store), about: StoreState { kept: true, notes }, set }
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
        let keys = set.iter().filter_map(|one| Some((one.replay.as_ref()?.key.clone(), one.id)));
        let by_key = keys.collect();
        let told_until = clock.now() / 1_000_000;
        let state = State { set, store, about, by_key, steps: StepWatch::default(), told_until };
        let (changed, changes) = bounded(1);
        Keeper { state: Mutex::new(state), cores, clock, limits, wall, changed, changes }
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
        self.cores.iter().map(|(front, core)| (*front, core.look())).collect()
    }

    /// Every override that holds.
    pub fn list(&self) -> Vec<Shown> {
        let farms = self.farms();
        let (state, now) = (self.lock(), self.now());
        state.set.holding(now).map(|one| shown(&state, one, &farms, now)).collect()
    }

    /// One that holds.
    pub fn get(&self, id: Id) -> Option<Shown> {
        let farms = self.farms();
        let (state, now) = (self.lock(), self.now());
        let one = state.set.get(id).filter(|one| one.holds(now))?;
        Some(shown(&state, one, &farms, now))
    }

    fn farms(&self) -> Vec<Farm> {
        let farm = |(front, look): (&'static str, Option<Look>)| {
            let listed = look.map_or_else(HashMap::new, |look| {
                look.farm.into_iter().map(|server| (server.name, server.state.0)).collect()
            });
            Farm { front, listed }
        };
        self.looks().into_iter().map(farm).collect()
    }

    /// Enters an override.
    pub fn add(&self, draft: Draft, force: bool, replay: Option<Replay>) -> Result<Changed, Refused> {
        let mut state = self.lock();
        let now = self.now();
        if let Some(id) = replay.as_ref().and_then(|replay| state.by_key.get(&replay.key)).copied()
            && let Some(one) = state.set.get(id)
        {
            if one.replay != replay {
                return Err(Refused::KeyReused);
            }
            let one = one.clone();
            drop(state);
            return Ok(Changed { shown: self.show(&one), settled: true, replayed: true });
        }
        draft.check(now, &self.limits).map_err(Refused::Faults)?;
        if state.set.holding(now).count() >= self.limits.most {
            return Err(Refused::Full(self.limits.most));
        }
        let store = state.store.as_ref().ok_or_else(|| Refused::NoStore(state.about.notes.join("; ")))?;
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
        Ok(Changed { shown: self.show(&one), settled, replayed: false })
    }

    /// Changes when an override ends.
    pub fn extend(&self, id: Id, expires_at: Millis, revision: Option<u64>) -> Result<Changed, Refused> {
        self.change("extended", id, revision, |one, now| {
            one.extend(expires_at, now, &self.limits).map_err(|fault| Refused::Faults(vec![fault]))
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
        let mut one = state.set.get(id).filter(|one| one.holds(now)).ok_or(Refused::Unknown)?.clone();
        if revision.is_some_and(|revision| revision != one.revision) {
            return Err(Refused::Stale(one.revision));
        }
        change(&mut one, now)?;
        let settled = self.enter(&mut state, one.clone())?;
        drop(state);
        audit(what, &one, now);
        Ok(Changed { shown: self.show(&one), settled, replayed: false })
    }

    /// Makes an override durable and then has the cores follow it; tells whether all do.
    fn enter(&self, state: &mut State, one: Override) -> Result<bool, Refused> {
        let ahead = state.steps.ahead_by();
        let store = state.store.as_mut().ok_or_else(|| Refused::NoStore(state.about.notes.join("; ")))?;
        store.put(&[shifted(&one, ahead)]).map_err(Refused::Store)?;
        state.set.put(one.clone());
        let settled = self.have_followed(OverrideChange::Put(Box::new(one)));
        let _ = self.changed.try_send(());
        Ok(settled)
    }

    /// Tells the cores, and waits until each follows and no first byte is being written to a server that is out.
    fn have_followed(&self, change: OverrideChange) -> bool {
        let told: Vec<Receiver<InEffect>> = self
            .cores
            .iter()
            .map(|(_, core)| {
                let (answer, told) = bounded(1);
                core.tell(crate::core::Event::Overrides(vec![change.clone()], Some(answer)));
                told
            })
            .collect();
        let until = Instant::now() + CORE_PATIENCE;
        let effects: Vec<Option<InEffect>> = told.iter().map(|told| told.recv_deadline(until).ok()).collect();
        let followed = effects.iter().all(Option::is_some);
        let marks = || effects.iter().flatten().flat_map(|effect| &effect.out);
        let until = Instant::now() + QUIET_PATIENCE;
        // A write that does not block takes microseconds; there is no event that tells of its end.
        while !marks().all(|mark| mark.is_quiet()) && Instant::now() < until {
            std::thread::sleep(Duration::from_micros(50));
        }
        followed && marks().all(|mark| mark.is_quiet())
    }

    fn show(&self, one: &Override) -> Shown {
        let farms = self.farms();
        shown(&self.lock(), one, &farms, self.now())
    }

    /// Tells of overrides that end, forgets those that are no longer felt, and watches the wall clock, for as long as
    /// the program runs.
    pub fn run(&self) {
        loop {
            // Guards against a fault that would end this thread, and with it every word of what expires.
            let next = catch_unwind(AssertUnwindSafe(|| self.look_after())).unwrap_or_else(|_| {
                error!(part = "overrides", "housekeeping panicked; it goes on");
                None
            });
            let wait = next.map_or(WALL_PERIOD, |at| {
                Duration::from_millis(at.saturating_sub(self.now()).max(1)).min(WALL_PERIOD)
            });
            if self.changes.recv_timeout(wait) == Err(RecvTimeoutError::Disconnected) {
                return;
            }
        }
    }

    /// Does what is due; gives the moment at which something will be.
    pub fn look_after(&self) -> Option<Millis> {
        let mut state = self.lock();
        let now = self.now();
        for id in state.set.ended_between(state.told_until, now) {
            if let Some(one) = state.set.get(id).filter(|one| one.removed_at.is_none()) {
                audit("expired", one, now);
            }
        }
        state.told_until = now.max(state.told_until);
        if let Some(step) = state.steps.look(now, (self.wall)()) {
            warn!(
                part = "overrides",
                ahead_ms = step.ahead_by,
                "the wall clock was stepped; overrides keep their spans"
            );
            // What is read back after a restart goes by the wall clock as it is then.
            let all: Vec<Override> = state.set.iter().map(|one| shifted(one, step.ahead_by)).collect();
            if let Some(store) = &mut state.store
                && let Err(error) = store.put(&all)
            {
                error!(part = "overrides", why = %error, "not written");
            }
        }
        let spent = state.set.spent(now);
        if !spent.is_empty() {
            if let Some(store) = &mut state.store
                && let Err(error) = store.forget(&spent)
            {
                error!(part = "overrides", why = %error, "not written");
            }
            spent.iter().for_each(|id| drop(state.set.forget(*id)));
            state.by_key.retain(|_, id| !spent.contains(id));
            let change = OverrideChange::Forget(spent);
            for (_, core) in &self.cores {
                core.tell(crate::core::Event::Overrides(vec![change.clone()], None));
            }
        }
        state.set.next_change(now)
    }
}

/// What a front's farm lists.
struct Farm {
    front: &'static str,
    listed: HashMap<String, beaconflow::api::State>,
}

fn shown(state: &State, one: &Override, farms: &[Farm], now: Millis) -> Shown {
    let effect = |farm: &Farm| {
        use beaconflow::api::State;
        let listed = match farm.listed.get(one.kind.server()) {
            Some(State::Ready | State::Out) => Listed::Ready,
            Some(State::Draining) => Listed::Leaving,
            Some(State::Gone) | None => Listed::Absent,
        };
        (farm.front, state.set.effect(one.id, listed, now).unwrap_or(Effect::Ended))
    };
    Shown {
        remaining: one.end().saturating_sub(now),
        effects: farms.iter().map(effect).collect(),
        one: shifted(one, state.steps.ahead_by()),
    }
}

/// Where a new override leaves no ready server that was one before.
fn leaves_none(
    set: &mut Set,
    one: &Override,
    looks: &[(&'static str, Option<Look>)],
    now: Millis,
) -> Vec<(&'static str, Judgement)> {
    let judged = |set: &Set| -> Vec<Judgement> {
        let of = |look: &Option<Look>| {
            let servers = look.iter().flat_map(|look| &look.farm);
            let ready = servers.filter(|server| server.state.0 == beaconflow::api::State::Ready);
            judge(ready.map(|server| (server.name.as_str(), server.zone.as_str())), set, now)
        };
        looks.iter().map(|(_, look)| of(look)).collect()
    };
    let before = judged(set);
    set.put(one.clone());
    let after = judged(set);
    set.forget(one.id);
    let worse = after.iter().zip(&before).map(|(after, before)| after.beyond(before));
    let fronts = looks.iter().map(|(front, _)| *front);
    fronts.zip(worse).filter(|(_, judgement)| !judgement.is_sound()).collect()
}

/// An event for whoever asks later who did what.
fn audit(what: &str, one: &Override, now: Millis) {
    info!(
        part = "audit",
        id = one.id.0,
        kind = one.kind.name(),
        server = one.kind.server(),
        remaining_s = one.end().saturating_sub(now) / 1_000,
        revision = one.revision,
        forced = one.forced,
        who = one.who,
        why = one.why,
        "override {what}"
    );
}
