//! Migrations at a given rate.

use crate::Millis;

/// Counts permitted migrations. Unused permits expire after a second, so that they cause no burst.
#[derive(Clone, Debug)]
pub struct Pace {
    rate: f64,
    credit: f64,
    at: Millis,
}

impl Pace {
    /// Starts at a rate per second; the first is permitted at once.
    pub fn new(rate: f64, now: Millis) -> Pace {
        Pace {
            rate,
            credit: 1.0,
            at: now,
        }
    }

    /// Its rate.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Number permitted now, at most `there`.
    pub fn permitted(&mut self, now: Millis, there: usize) -> usize {
        let passed = now.saturating_sub(self.at) as f64 / 1_000.0;
        self.at = now;
        self.credit = (self.credit + passed * self.rate).min(self.rate.max(1.0));
        let due = (self.credit as usize).min(there);
        self.credit -= due as f64;
        due
    }

    /// Time until the next one is permitted.
    pub fn wait(&self) -> Millis {
        ((1.0 - self.credit).max(0.0) / self.rate * 1_000.0)
            .ceil()
            .max(1.0) as Millis
    }
}
