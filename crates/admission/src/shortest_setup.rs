//! Estimate of the shortest set-up time.

use crate::Nanos;

/// Weight of a set-up that took longer than the estimate.
const INCREASE_FACTOR: f64 = 0.02;

/// How long a quick set-up takes; a request with less time left is not worth an attempt.
#[derive(Clone, Copy, Debug, Default)]
pub struct ShortestSetup(Option<Nanos>);

impl ShortestSetup {
    /// Records the duration of a set-up.
    pub fn record(&mut self, setup_time: Nanos) {
        let previous = self.0.unwrap_or(setup_time);
        let increase = (setup_time.saturating_sub(previous) as f64 * INCREASE_FACTOR) as Nanos;
        self.0 = Some(if setup_time < previous {
            setup_time
        } else {
            previous + increase
        });
    }

    /// The estimate; 0 before the first set-up.
    pub fn estimate(&self) -> Nanos {
        self.0.unwrap_or(0)
    }
}
