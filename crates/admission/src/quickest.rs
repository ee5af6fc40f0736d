//! Estimate of the shortest set-up time.

use crate::Nanos;

/// Weight of a set-up that took longer than the estimate.
const FOLLOWS: f64 = 0.02;

/// How long a quick set-up takes; a request with less time left is not worth an attempt.
#[derive(Clone, Copy, Debug, Default)]
pub struct Quickest(Option<Nanos>);

impl Quickest {
    /// Records the duration of a set-up.
    pub fn took(&mut self, span: Nanos) {
        let before = self.0.unwrap_or(span);
        let up = (span.saturating_sub(before) as f64 * FOLLOWS) as Nanos;
        self.0 = Some(if span < before { span } else { before + up });
    }

    /// The estimate; 0 before the first set-up.
    pub fn get(&self) -> Nanos {
        self.0.unwrap_or(0)
    }
}
