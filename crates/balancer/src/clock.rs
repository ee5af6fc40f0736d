//! The one clock of the program: monotonic, and set by the system's time once, at the start.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use beaconflow_policy::Nanos;

/// Gives moments as the decision module counts them. A listed start, Unix time, is a moment of it as it is.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
    unix: Nanos,
}

impl Clock {
    /// Reads the system's time, for the only time.
    pub fn start() -> Clock {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            origin: Instant::now(),
            unix: nanos(unix),
        }
    }

    /// The present moment.
    pub fn now(&self) -> Nanos {
        self.unix.saturating_add(nanos(self.origin.elapsed()))
    }

    /// A moment as the standard library counts it; the past before the start counts as the start.
    pub fn instant(&self, at: Nanos) -> Instant {
        self.origin + Duration::from_nanos(at.saturating_sub(self.unix))
    }
}

/// A span in the module's unit.
pub fn nanos(span: Duration) -> Nanos {
    Nanos::try_from(span.as_nanos()).unwrap_or(Nanos::MAX)
}
