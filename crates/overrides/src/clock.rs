//! The wall clock beside the program's own clock.

use crate::{Millis, Override};

/// Smaller differences are no step: the two clocks are not read at the same instant.
const TOLERANCE: u64 = 1_000;

/// A step of the wall clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step {
    /// Total lead since the program's start, in milliseconds; negative if it was set back.
    pub ahead_by: i64,
}

/// Detects steps of the wall clock. Overrides follow the program's clock, so that a step does not
/// change their duration; people read the wall clock, so steps are reported.
#[derive(Clone, Debug, Default)]
pub struct StepWatch {
    ahead_by: i64,
}

impl StepWatch {
    /// Compares the clocks; returns each step once.
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

    /// The reported lead of the wall clock, in milliseconds.
    pub fn ahead_by(&self) -> i64 {
        self.ahead_by
    }
}

/// An override with its times on another clock that is ahead by `by`.
pub fn shifted(one: &Override, by: i64) -> Override {
    let shift = |at: Millis| at.saturating_add_signed(by);
    Override {
        created_at: shift(one.created_at),
        expires_at: shift(one.expires_at),
        removed_at: one.removed_at.map(shift),
        ..one.clone()
    }
}

/// Expiry of an override that is read from a disk, after the clock may have been set back: it is
/// never later than its granted duration from now. Returns by how much it was cut.
pub fn bounded_expiry(one: &Override, now: Millis) -> (Millis, Option<Millis>) {
    let latest = now.saturating_add(one.expires_at.saturating_sub(one.created_at));
    if one.expires_at > latest {
        (latest, Some(one.expires_at - latest))
    } else {
        (one.expires_at, None)
    }
}
