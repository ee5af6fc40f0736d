//! Differences between the wall clock and the program's own clock.

use crate::{Millis, Override};

/// Smallest change of the difference that counts as a step, since the two clocks are not read at
/// the same instant.
const STEP_TOLERANCE_MS: u64 = 1_000;

/// A step of the wall clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockStep {
    /// Total lead of the wall clock since the program's start, in milliseconds; negative if it was
    /// set back.
    pub ahead_by_ms: i64,
}

/// Detects steps of the wall clock. Overrides follow the program's clock, so that a step does not
/// change their duration. Operators read times by the wall clock, so steps are reported.
#[derive(Clone, Debug, Default)]
pub struct ClockStepDetector {
    ahead_by_ms: i64,
}

impl ClockStepDetector {
    /// Compares the clocks; returns a step at the first call after it.
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

    /// The lead of the wall clock at the last reported step, in milliseconds.
    pub fn ahead_by_ms(&self) -> i64 {
        self.ahead_by_ms
    }
}

/// Returns the override with its times on a clock that is ahead by `offset_ms`.
pub fn with_clock_offset(record: &Override, offset_ms: i64) -> Override {
    let shift = |at: Millis| at.saturating_add_signed(offset_ms);
    Override {
        created_at: shift(record.created_at),
        expires_at: shift(record.expires_at),
        removed_at: record.removed_at.map(shift),
        ..record.clone()
    }
}

/// The expiry of an override that is read from disk. The clock may have been set back since it was
/// written, so the expiry is limited to the granted duration from now. Also returns by how much it
/// was shortened.
pub fn bounded_expiry(record: &Override, now: Millis) -> (Millis, Option<Millis>) {
    let latest = now.saturating_add(record.expires_at.saturating_sub(record.created_at));
    if record.expires_at > latest {
        (latest, Some(record.expires_at - latest))
    } else {
        (record.expires_at, None)
    }
}
