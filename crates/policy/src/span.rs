//! Spans of time, in parts and in seconds.

use crate::api::Nanos;

/// A part of a span of time.
pub(crate) fn part(span: Nanos, share: f64) -> Nanos {
    (span as f64 * share) as Nanos
}

/// A span of time in seconds.
pub(crate) fn seconds(span: Nanos) -> f64 {
    span as f64 / 1e9
}

/// Whether something happened, and not longer than `span` ago.
pub(crate) fn within(at: Option<Nanos>, now: Nanos, span: Nanos) -> bool {
    at.is_some_and(|at| now < at.saturating_add(span))
}
