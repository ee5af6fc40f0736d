//! Limits of the NATS front, as configured by the operator.

use std::time::Duration;

/// Limits of the NATS front.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NatsLimits {
    /// Largest payload of a client's message, in bytes.
    pub max_payload_bytes: usize,
    /// Most bytes kept of what a client sends before it is connected.
    pub max_early_bytes: usize,
    /// Time for a client to send CONNECT, in milliseconds.
    pub handshake_timeout_ms: u64,
    /// Idle time after which a keepalive is sent, in milliseconds.
    pub keepalive_interval_ms: u64,
    /// A server that leaves a PING unanswered for this many milliseconds is unresponsive.
    pub response_timeout_ms: u64,
    /// Retry-after while the store is unavailable, in milliseconds.
    pub store_retry_after_ms: u64,
}

impl Default for NatsLimits {
    fn default() -> NatsLimits {
        NatsLimits {
            max_payload_bytes: 1 << 20,
            max_early_bytes: 64 << 10,
            handshake_timeout_ms: 2_000,
            keepalive_interval_ms: 2_000,
            response_timeout_ms: 3_000,
            store_retry_after_ms: 1_000,
        }
    }
}

impl NatsLimits {
    /// Time for a client to send CONNECT.
    pub fn handshake_timeout(&self) -> Duration {
        Duration::from_millis(self.handshake_timeout_ms)
    }

    /// Idle time after which a keepalive is sent.
    pub fn keepalive_interval(&self) -> Duration {
        // Zero would mean no timeout.
        Duration::from_millis(self.keepalive_interval_ms.max(1))
    }

    /// A server that leaves a PING unanswered for this long is unresponsive.
    pub fn response_timeout(&self) -> Duration {
        Duration::from_millis(self.response_timeout_ms)
    }

    /// Retry-after while the store is unavailable.
    pub fn store_retry_after(&self) -> Duration {
        Duration::from_millis(self.store_retry_after_ms)
    }
}
