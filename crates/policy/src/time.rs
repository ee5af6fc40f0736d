//! Arithmetic on moments and spans of time.

/// A moment or a span of time, in nanoseconds.
pub type Nanos = u64;

/// Nanoseconds in a second.
const NANOS_PER_SECOND: f64 = 1e9;

/// A fraction of a span.
pub(crate) fn fraction_of(span: Nanos, fraction: f64) -> Nanos {
    (span as f64 * fraction) as Nanos
}

/// A span in seconds.
pub(crate) fn seconds(span: Nanos) -> f64 {
    span as f64 / NANOS_PER_SECOND
}

/// Whether something happened at most `span` ago.
pub(crate) fn is_within(at: Option<Nanos>, now: Nanos, span: Nanos) -> bool {
    at.is_some_and(|at| now < at.saturating_add(span))
}
