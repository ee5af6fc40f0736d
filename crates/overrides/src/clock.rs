//! The wall clock beside the program's own clock.

use crate::{Millis, Override};

/// Smaller differences are no step: the two clocks are not read at the same instant.
const STEP_TOLERANCE_MS: u64 = 1_000;

/// A step of the wall clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockStep {
    /// Total lead since the program's start, in milliseconds; negative if it was set back.
    pub ahead_by_ms: i64,
}

/// Detects steps of the wall clock. Overrides follow the program's clock, so that a step does not
/// change their duration; people read the wall clock, so steps are reported.
#[derive(Clone, Debug, Default)]
pub struct ClockStepDetector {
    ahead_by_ms: i64,
}

impl ClockStepDetector {
    /// Compares the clocks; returns each step once.
    pub fn check(&mut self, program_clock: Millis, wall_clock: Millis) -> Option<ClockStep> {
        let ahead_by_ms = wall_clock.checked_signed_diff(program_clock).unwrap_or(
            if wall_clock > program_clock {
                i64::MAX
            } else {
                i64::MIN
            },
        );
        if ahead_by_ms.abs_diff(self.ahead_by_ms) < STEP_TOLERANCE_MS {
            return None;
        }
        self.ahead_by_ms = ahead_by_ms;
        Some(ClockStep { ahead_by_ms })
    }

    /// The reported lead of the wall clock, in milliseconds.
    pub fn ahead_by_ms(&self) -> i64 {
        self.ahead_by_ms
    }
}

/// An override with its times on another clock that is ahead by `by`.
pub fn with_clock_offset(record: &Override, offset_ms: i64) -> Override {
    let shift = |at: Millis| at.saturating_add_signed(offset_ms);
    Override {
        created_at: shift(record.created_at),
        expires_at: shift(record.expires_at),
        removed_at: record.removed_at.map(shift),
        ..record.clone()
    }
}

/// Expiry of an override that is read from a disk, after the clock may have been set back: it is
/// never later than its granted duration from now. Returns by how much it was cut.
pub fn bounded_expiry(record: &Override, now: Millis) -> (Millis, Option<Millis>) {
    let latest = now.saturating_add(record.expires_at.saturating_sub(record.created_at));
    if record.expires_at > latest {
        (latest, Some(record.expires_at - latest))
    } else {
        (record.expires_at, None)
    }
}
