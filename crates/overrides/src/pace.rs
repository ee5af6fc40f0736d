//! Moves at a given rate.

use crate::Millis;

/// Tells how many moves are due. What was not used lapses after a second. Guards against a burst after a spell in
/// which there was nobody to move.
#[derive(Clone, Debug)]
pub struct Pace {
    rate: f64,
    credit: f64,
    at: Millis,
}

impl Pace {
    /// So many a second from now on; the first is due at once.
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

    /// How many are due, of so many that there are.
    pub fn permitted(&mut self, now: Millis, there: usize) -> usize {
        let passed = now.saturating_sub(self.at) as f64 / 1_000.0;
        self.at = now;
        self.credit = (self.credit + passed * self.rate).min(self.rate.max(1.0));
        let due = (self.credit as usize).min(there);
        self.credit -= due as f64;
        due
    }

    /// How long until the next one is due, if it is asked then.
    pub fn wait(&self) -> Millis {
        ((1.0 - self.credit).max(0.0) / self.rate * 1_000.0)
            .ceil()
            .max(1.0) as Millis
    }
}
