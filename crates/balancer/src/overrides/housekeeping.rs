//! Housekeeping: logs expirations, removes overrides without remaining effect, and detects steps of
//! the wall clock.

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::time::Duration;

use beaconflow_overrides::{Millis, Override, with_clock_offset};
use beaconflow_store::{OverrideStore, StoreError};
use crossbeam_channel::RecvTimeoutError;
use tracing::{error, warn};

use super::audit::audit;
use super::{OverrideManager, OverrideState};
use crate::core::{CoreInput, OverrideChange};

/// Interval at which the wall clock is compared with the monotonic clock.
const WALL_CLOCK_CHECK_INTERVAL: Duration = Duration::from_secs(1);

impl OverrideManager {
    /// Runs housekeeping until the process ends.
    pub fn run(&self) {
        loop {
            // A panic must not end this thread: it is the only one that logs expirations.
            let next =
                catch_unwind(AssertUnwindSafe(|| self.run_due_tasks())).unwrap_or_else(|_| {
                    error!(
                        part = "overrides",
                        "override housekeeping panicked and continues"
                    );
                    None
                });
            let wait = next.map_or(WALL_CLOCK_CHECK_INTERVAL, |at| {
                Duration::from_millis(at.saturating_sub(self.now()).max(1))
                    .min(WALL_CLOCK_CHECK_INTERVAL)
            });
            if self.change_receiver.recv_timeout(wait) == Err(RecvTimeoutError::Disconnected) {
                return;
            }
        }
    }

    /// Runs the tasks that are due; returns when the next override changes, if one does.
    pub fn run_due_tasks(&self) -> Option<Millis> {
        let mut state = self.lock();
        let now = self.now();
        audit_expired(&mut state, now);
        self.handle_clock_step(&mut state, now);
        self.remove_expired(&mut state, now);
        state.set.next_change(now)
    }

    /// Rewrites the stored times after a step of the wall clock, since a restart reads them by that
    /// clock.
    fn handle_clock_step(&self, state: &mut OverrideState, now: Millis) {
        let Some(step) = state.clock_steps.check(now, (self.wall_clock)()) else {
            return;
        };
        warn!(
            part = "overrides",
            ahead_ms = step.ahead_by_ms,
            "wall clock was stepped; override durations are unchanged"
        );
        let all: Vec<Override> = state
            .set
            .iter()
            .map(|record| with_clock_offset(record, step.ahead_by_ms))
            .collect();
        state.write(|store| store.put(&all));
    }

    /// Removes overrides without remaining effect from the state, the store and the cores.
    fn remove_expired(&self, state: &mut OverrideState, now: Millis) {
        let expired = state.set.expired_effects(now);
        if expired.is_empty() {
            return;
        }
        state.write(|store| store.delete(&expired));
        expired.iter().for_each(|id| drop(state.set.discard(*id)));
        state.by_key.retain(|_, id| !expired.contains(id));
        let change = OverrideChange::Forget(expired);
        for (_, core) in &self.cores {
            core.send(CoreInput::OverridesChanged {
                changes: vec![change.clone()],
                reply: None,
            });
        }
    }
}

impl OverrideState {
    /// Writes to the store, if there is one. Errors are logged.
    fn write(&mut self, write: impl FnOnce(&mut dyn OverrideStore) -> Result<(), StoreError>) {
        if let Some(store) = &mut self.store
            && let Err(error) = write(store.as_mut())
        {
            error!(part = "overrides", why = %error, "failed to write to the override store");
        }
    }
}

/// Logs the overrides that have expired since the last call.
fn audit_expired(state: &mut OverrideState, now: Millis) {
    for id in state.set.ended_between(state.reported_until, now) {
        if let Some(record) = state
            .set
            .get(id)
            .filter(|record| record.removed_at.is_none())
        {
            audit("expired", record, now);
        }
    }
    state.reported_until = now.max(state.reported_until);
}
