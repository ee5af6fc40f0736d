//! Limits of the NATS protocol, as the operator sets them.

use std::time::Duration;

/// Limits of the protocol.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Wire {
    /// Largest payload of a client's message.
    pub max_payload: usize,
    /// Most bytes kept of what a client sends before it is connected.
    pub most_early: usize,
    /// Time for a client to send CONNECT.
    pub connect_wait_ms: u64,
    /// Idle time after which a keepalive is sent.
    pub ping_after_ms: u64,
    /// A server that leaves a PING unanswered for this long is unresponsive.
    pub silence_ms: u64,
    /// Retry-after while the store is unavailable.
    pub store_retry_ms: u64,
}

impl Default for Wire {
    fn default() -> Wire {
        Wire {
            max_payload: 1 << 20,
            most_early: 64 << 10,
            connect_wait_ms: 2_000,
            ping_after_ms: 2_000,
            silence_ms: 3_000,
            store_retry_ms: 1_000,
        }
    }
}

impl Wire {
    /// Time for a client to send CONNECT.
    pub fn connect_wait(&self) -> Duration {
        Duration::from_millis(self.connect_wait_ms)
    }

    /// Idle time after which a keepalive is sent.
    pub fn ping_after(&self) -> Duration {
        // Zero would mean no timeout.
        Duration::from_millis(self.ping_after_ms.max(1))
    }

    /// A server that leaves a PING unanswered for this long is unresponsive.
    pub fn silence(&self) -> Duration {
        Duration::from_millis(self.silence_ms)
    }

    /// Retry-after while the store is unavailable.
    pub fn store_retry(&self) -> Duration {
        Duration::from_millis(self.store_retry_ms)
    }
}
