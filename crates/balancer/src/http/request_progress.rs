//! How far the request of a caller has come.

use std::time::{Duration, Instant};

/// Time for a complete request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// A caller is not evicted for a further one before this time. Its request may arrive a little after
/// its connection, and callers that come back without a pause would otherwise evict all others.
const MIN_REQUEST_TIME: Duration = Duration::from_millis(20);

/// The progress of a request that is incomplete.
#[derive(Clone, Copy)]
pub struct RequestProgress {
    accepted_at: Instant,
    last_read_at: Instant,
    /// Whether a part of the request has arrived.
    has_begun: bool,
}

impl RequestProgress {
    /// The progress of a caller that is accepted at a time.
    pub fn start_at(now: Instant) -> RequestProgress {
        RequestProgress {
            accepted_at: now,
            last_read_at: now,
            has_begun: false,
        }
    }

    /// Records that a part of the request has arrived.
    pub fn record_input_at(&mut self, now: Instant) {
        self.last_read_at = now;
        self.has_begun = true;
    }

    /// When input was last received, or the caller was accepted.
    pub fn last_read_at(&self) -> Instant {
        self.last_read_at
    }

    /// When the request times out.
    pub fn deadline_at(&self) -> Instant {
        self.accepted_at + REQUEST_TIMEOUT
    }

    /// Whether a part of the request has arrived.
    pub fn has_begun(&self) -> bool {
        self.has_begun
    }

    /// From when the caller may be evicted for another one.
    pub fn evictable_at(&self) -> Instant {
        self.accepted_at + MIN_REQUEST_TIME
    }
}
