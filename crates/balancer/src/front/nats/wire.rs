//! Limits of the wire, as the operator sets them.

use std::time::Duration;

/// Limits of the wire.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Wire {
    /// Largest payload of a client's message.
    pub max_payload: usize,
    /// Most bytes kept of what a client sends before its connection stands.
    pub most_early: usize,
    /// A client that has not sent CONNECT by then is let go.
    pub connect_wait_ms: u64,
    /// A standing server is asked when nothing has been asked for so long.
    pub ping_after_ms: u64,
    /// A server that leaves a PING unanswered for so long is silent.
    pub silence_ms: u64,
    /// When clients are told to come again while the store is away.
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
    /// A client that has not sent CONNECT by then is let go.
    pub fn connect_wait(&self) -> Duration {
        Duration::from_millis(self.connect_wait_ms)
    }

    /// A standing server is asked when nothing has been asked for so long.
    pub fn ping_after(&self) -> Duration {
        // A wait of nothing would be one without an end.
        Duration::from_millis(self.ping_after_ms.max(1))
    }

    /// A server that leaves a PING unanswered for so long is silent.
    pub fn silence(&self) -> Duration {
        Duration::from_millis(self.silence_ms)
    }

    /// When clients are told to come again while the store is away.
    pub fn store_retry(&self) -> Duration {
        Duration::from_millis(self.store_retry_ms)
    }
}
