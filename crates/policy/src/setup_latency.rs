//! Recent latency of connection setup over all servers, from which attempt timeouts follow.

use crate::ids::ServerId;
use crate::time::{Nanos, seconds};

/// Time constant of the average, in seconds.
const AVERAGING_S: f64 = 5.0;
/// A timed-out attempt counts as this multiple of its timeout.
const TIMEOUT_FACTOR: f64 = 2.0;
/// An attempt is allowed this multiple of the average.
const ALLOWED_FACTOR: f64 = 3.0;

/// An exponentially weighted average of setup latency.
#[derive(Default)]
pub(crate) struct SetupLatency {
    /// Decaying sum of latencies, in nanoseconds.
    sum: f64,
    /// Decaying number of attempts.
    count: f64,
    updated_at: Nanos,
    /// The server of the latest timeout, if no attempt has succeeded since.
    last_timed_out: Option<ServerId>,
}

/// The decayed sum and count.
struct Decayed {
    sum: f64,
    count: f64,
}

impl SetupLatency {
    /// A connection was established after `elapsed`.
    pub(crate) fn on_success(&mut self, now: Nanos, elapsed: Nanos) {
        self.last_timed_out = None;
        self.add(now, elapsed as f64);
    }

    /// An attempt timed out. A repeated timeout of one server says nothing about the others.
    pub(crate) fn on_timeout(&mut self, now: Nanos, server: ServerId, elapsed: Nanos) {
        if self.last_timed_out.replace(server) != Some(server) {
            self.add(now, TIMEOUT_FACTOR * elapsed as f64);
        }
    }

    /// The timeout of an attempt: `usual`, or more where setup has been slow. Attempts abandoned
    /// too early would lose their place in a queue that the servers share.
    pub(crate) fn timeout(&self, now: Nanos, usual: Nanos) -> Nanos {
        let Decayed { sum, count } = self.decayed(now);
        usual.max(((usual as f64 + ALLOWED_FACTOR * sum) / (1.0 + count)) as Nanos)
    }

    fn add(&mut self, now: Nanos, latency: f64) {
        let Decayed { sum, count } = self.decayed(now);
        self.sum = sum + latency;
        self.count = count + 1.0;
        self.updated_at = now;
    }

    fn decayed(&self, now: Nanos) -> Decayed {
        let age = seconds(now.saturating_sub(self.updated_at));
        let remaining = (-age / AVERAGING_S).exp();
        Decayed {
            sum: self.sum * remaining,
            count: self.count * remaining,
        }
    }
}
