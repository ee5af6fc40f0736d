//! How quick a set-up can be.

use crate::Nanos;

/// Part of the way by which the figure follows a set-up that took longer.
const FOLLOWS: f64 = 0.02;

/// How long a set-up takes when it is quick: less time left than this is of no use.
#[derive(Clone, Copy, Debug, Default)]
pub struct Quickest(Option<Nanos>);

impl Quickest {
    /// A set-up took so long.
    pub fn took(&mut self, span: Nanos) {
        let before = self.0.unwrap_or(span);
        let up = (span.saturating_sub(before) as f64 * FOLLOWS) as Nanos;
        self.0 = Some(if span < before { span } else { before + up });
    }

    /// The figure; 0 before the first.
    pub fn get(&self) -> Nanos {
        self.0.unwrap_or(0)
    }
}
