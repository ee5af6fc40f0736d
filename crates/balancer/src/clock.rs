//! The program's clock: monotonic, and set from the system's time once at the start.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use beaconflow_policy::Nanos;

/// Returns times in the policy's unit: nanoseconds of Unix time, as read at the start, plus the
/// monotonic time since then.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
    started_at: Nanos,
}

impl Clock {
    /// Reads the system's time, once.
    pub fn start() -> Clock {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            origin: Instant::now(),
            started_at: nanos(unix),
        }
    }

    /// The present time.
    pub fn now(&self) -> Nanos {
        self.started_at.saturating_add(nanos(self.origin.elapsed()))
    }

    /// A time as an [`Instant`]; times before the start count as the start.
    pub fn instant(&self, at: Nanos) -> Instant {
        self.origin + Duration::from_nanos(at.saturating_sub(self.started_at))
    }
}

/// A span in nanoseconds.
pub fn nanos(span: Duration) -> Nanos {
    Nanos::try_from(span.as_nanos()).unwrap_or(Nanos::MAX)
}
