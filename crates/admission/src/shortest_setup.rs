//! Estimate of the shortest setup time.

use crate::Nanos;

/// Fraction of the difference by which a slower setup raises the estimate.
const INCREASE_FACTOR: f64 = 0.02;

/// Estimate of the shortest setup time. A request with less time left before its deadline is not
/// attempted. The estimate falls at once to a shorter time and rises slowly.
#[derive(Clone, Copy, Debug, Default)]
pub struct ShortestSetup(Option<Nanos>);

impl ShortestSetup {
    /// Records the duration of a setup.
    pub fn record(&mut self, setup_time: Nanos) {
        let previous = self.0.unwrap_or(setup_time);
        let increase = (setup_time.saturating_sub(previous) as f64 * INCREASE_FACTOR) as Nanos;
        self.0 = Some(if setup_time < previous {
            setup_time
        } else {
            previous + increase
        });
    }

    /// The estimate in nanoseconds; 0 before the first setup.
    pub fn estimate(&self) -> Nanos {
        self.0.unwrap_or(0)
    }
}
