//! Wall time beside the program's own clock.

use crate::{Millis, Override};

/// Differences below this are no step: the two clocks are not read in one instant.
const TOLERANCE: u64 = 1_000;

/// The wall clock has been stepped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step {
    /// By so much since the program's start, in milliseconds; below 0 where it was put back.
    pub ahead_by: i64,
}

/// Notices steps of the wall clock. Overrides follow the program's clock, so that a step neither ends one early nor
/// keeps one on; but people read the wall clock, and so it is said.
#[derive(Clone, Debug, Default)]
pub struct StepWatch {
    ahead_by: i64,
}

impl StepWatch {
    /// Compares the clocks; a step that has not been told yet comes back once.
    pub fn check(&mut self, program: Millis, wall: Millis) -> Option<Step> {
        let ahead_by = wall
            .checked_signed_diff(program)
            .unwrap_or(if wall > program { i64::MAX } else { i64::MIN });
        if ahead_by.abs_diff(self.ahead_by) < TOLERANCE {
            return None;
        }
        self.ahead_by = ahead_by;
        Some(Step { ahead_by })
    }

    /// How far the wall clock was ahead when last told.
    pub fn ahead_by(&self) -> i64 {
        self.ahead_by
    }
}

/// An override with its moments on another clock, which is ahead by so much.
pub fn shifted(one: &Override, by: i64) -> Override {
    let shift = |at: Millis| at.saturating_add_signed(by);
    Override {
        created_at: shift(one.created_at),
        expires_at: shift(one.expires_at),
        removed_at: one.removed_at.map(shift),
        ..one.clone()
    }
}

/// The expiry of an override that is read back from a disk, by a clock that may have been put back meanwhile: none
/// lasts longer from now than it was granted in all. Says by how much it had to be cut.
pub fn bounded_expiry(one: &Override, now: Millis) -> (Millis, Option<Millis>) {
    let latest = now.saturating_add(one.expires_at.saturating_sub(one.created_at));
    if one.expires_at > latest {
        (latest, Some(one.expires_at - latest))
    } else {
        (one.expires_at, None)
    }
}
