//! Limits of the NATS front, as configured by the operator.

use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;

use crate::front::{Keepalive, MAX_SILENCE, ResponseLimits};

/// The keepalive of the protocol.
const KEEPALIVE_REQUEST: &[u8] = b"PING\r\n";

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

    /// How long servers may leave clients without an answer.
    pub fn response_limits(&self) -> ResponseLimits {
        ResponseLimits {
            response_timeout: Duration::from_millis(self.response_timeout_ms),
            keepalive: Some(Keepalive {
                request: KEEPALIVE_REQUEST,
                idle_interval: Duration::from_millis(self.keepalive_interval_ms),
            }),
        }
    }

    /// Whether a silent server is found within the time that is allowed.
    pub fn is_detection_in_time(&self) -> bool {
        let ResponseLimits {
            response_timeout,
            keepalive,
        } = self.response_limits();
        let interval = keepalive.map_or(Duration::ZERO, |keepalive| keepalive.idle_interval);
        interval.saturating_add(response_timeout) <= MAX_SILENCE
    }

    /// These limits with the keepalive interval and the response timeout of others.
    #[must_use]
    pub fn with_response_limits_of(self, other: &NatsLimits) -> NatsLimits {
        NatsLimits {
            keepalive_interval_ms: other.keepalive_interval_ms,
            response_timeout_ms: other.response_timeout_ms,
            ..self
        }
    }

    /// Retry-after while the store is unavailable.
    pub fn store_retry_after(&self) -> Duration {
        Duration::from_millis(self.store_retry_after_ms)
    }
}

/// The response limits in effect, which a reload replaces for established connections too.
#[derive(Clone, Debug)]
pub struct SharedResponseLimits(Arc<RwLock<ResponseLimits>>);

impl SharedResponseLimits {
    /// Shares these limits.
    pub fn new(limits: &NatsLimits) -> SharedResponseLimits {
        SharedResponseLimits(Arc::new(RwLock::new(limits.response_limits())))
    }

    /// The limits in effect.
    pub fn current(&self) -> ResponseLimits {
        *self.0.read().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces them.
    pub fn replace(&self, limits: &NatsLimits) {
        *self.0.write().unwrap_or_else(PoisonError::into_inner) = limits.response_limits();
    }
}
