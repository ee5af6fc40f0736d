//! Rate limit for migrations.

use crate::Millis;

/// Limits migrations to a rate. At most one second's permits accumulate, so that unused ones cause
/// no burst.
#[derive(Clone, Debug)]
pub struct MigrationPacer {
    rate: f64,
    credit: f64,
    updated_at: Millis,
}

impl MigrationPacer {
    /// Creates a limit with a rate per second. The first migration is permitted at once.
    pub fn new(rate: f64, now: Millis) -> MigrationPacer {
        MigrationPacer {
            rate,
            credit: 1.0,
            updated_at: now,
        }
    }

    /// Rate in migrations per second.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Uses up and returns the permits that are due now, at most `available`.
    pub fn take_permits(&mut self, now: Millis, available: usize) -> usize {
        let elapsed_s = now.saturating_sub(self.updated_at) as f64 / 1_000.0;
        self.updated_at = now;
        self.credit = (self.credit + elapsed_s * self.rate).min(self.rate.max(1.0));
        let permits = (self.credit as usize).min(available);
        self.credit -= permits as f64;
        permits
    }

    /// Time until the next permit is due, at least 1 ms.
    pub fn time_to_next_ms(&self) -> Millis {
        ((1.0 - self.credit).max(0.0) / self.rate * 1_000.0)
            .ceil()
            .max(1.0) as Millis
    }
}
