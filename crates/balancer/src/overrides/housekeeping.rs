//! What the overrides' thread does by itself: it tells what ends, forgets what is no longer felt, and watches the
//! wall clock.

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::time::Duration;

use beaconflow_overrides::{Millis, Override, shifted};
use beaconflow_store::{OverrideStore, StoreError};
use crossbeam_channel::RecvTimeoutError;
use tracing::{error, warn};

use super::audit::audit;
use super::{Keeper, State};
use crate::core::{Event, OverrideChange};

/// The wall clock is compared this often.
const WALL_PERIOD: Duration = Duration::from_secs(1);

impl Keeper {
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
        tell_expired(&mut state, now);
        self.follow_wall_clock(&mut state, now);
        self.forget_spent(&mut state, now);
        state.set.next_change(now)
    }

    /// Has the store hold what is read back right after a restart, which goes by the wall clock as it is then.
    fn follow_wall_clock(&self, state: &mut State, now: Millis) {
        let Some(step) = state.steps.look(now, (self.wall)()) else {
            return;
        };
        warn!(
            part = "overrides",
            ahead_ms = step.ahead_by,
            "the wall clock was stepped; overrides keep their spans"
        );
        let all: Vec<Override> = state
            .set
            .iter()
            .map(|one| shifted(one, step.ahead_by))
            .collect();
        state.write(|store| store.put(&all));
    }

    /// Forgets, here and at the cores, what is no longer felt.
    fn forget_spent(&self, state: &mut State, now: Millis) {
        let spent = state.set.spent(now);
        if spent.is_empty() {
            return;
        }
        state.write(|store| store.forget(&spent));
        spent.iter().for_each(|id| drop(state.set.forget(*id)));
        state.by_key.retain(|_, id| !spent.contains(id));
        let change = OverrideChange::Forget(spent);
        for (_, core) in &self.cores {
            core.tell(Event::Overrides(vec![change.clone()], None));
        }
    }
}

impl State {
    /// Writes to the store, where there is one. A fault there is logged, and costs what is read back at most.
    fn write(&mut self, write: impl FnOnce(&mut dyn OverrideStore) -> Result<(), StoreError>) {
        if let Some(store) = &mut self.store
            && let Err(error) = write(store.as_mut())
        {
            error!(part = "overrides", why = %error, "not written");
        }
    }
}

/// Tells of the overrides that have ended by themselves since the last time.
fn tell_expired(state: &mut State, now: Millis) {
    for id in state.set.ended_between(state.told_until, now) {
        if let Some(one) = state.set.get(id).filter(|one| one.removed_at.is_none()) {
            audit("expired", one, now);
        }
    }
    state.told_until = now.max(state.told_until);
}
