//! Observation of the server: unanswered messages, latencies and announced ends.

use std::time::Instant;

use beaconflow_policy::ConnectionMetric;

use super::liveness::{PendingRequest, ServerLiveness};
use crate::attempt::ConnectionEnd;
use crate::clock::nanos;
use crate::core::{CoreHandle, CoreInput};
use crate::front::MessageKind;

/// Observations of one server over one connection.
pub(super) struct ServerMonitor {
    pub(super) core: CoreHandle,
    pub(super) id: u64,
    /// What the server owes.
    pub(super) liveness: ServerLiveness,
    pub(super) was_slow: bool,
    /// When the first byte of the present message arrived.
    pub(super) message_started_at: Instant,
    /// When the present bytes arrived.
    pub(super) received_at: Instant,
    /// The latest message.
    pub(super) last_message: Option<MessageKind>,
    /// When and why a migration was requested.
    pub(super) migration: Option<(Instant, ConnectionEnd)>,
}

impl ServerMonitor {
    /// Evaluates a server's message; returns whether it is relayed.
    pub(super) fn on_server_message(&mut self, kind: MessageKind) -> bool {
        self.last_message = Some(kind);
        // The next message begins with the same bytes.
        let message_started_at = std::mem::replace(&mut self.message_started_at, self.received_at);
        let answered = match kind {
            MessageKind::AnswerToAll => self.liveness.answer_all(),
            MessageKind::AnswerToOldest => self.liveness.answer_oldest(),
            MessageKind::Load(load) => {
                self.core.send(CoreInput::ConnectionMeasured {
                    id: self.id,
                    metric: ConnectionMetric::Load(load),
                });
                return true;
            }
            MessageKind::ShutdownNotice => {
                self.start_migration(ConnectionEnd::ServerLeaving);
                return false;
            }
            MessageKind::BalancerOnly => return false,
            MessageKind::Request | MessageKind::Goodbye | MessageKind::Redirect => return true,
        };
        let Some(PendingRequest {
            sent_at,
            is_keepalive,
            ..
        }) = answered
        else {
            return true;
        };
        // Latency counts to the first byte of the answer, which may arrive in pieces.
        let latency = message_started_at.saturating_duration_since(sent_at);
        let is_slow = latency >= self.core.slow_message_threshold();
        // The first fast message after slow ones is reported too, so that the core sees the
        // recovery.
        if is_slow || self.was_slow {
            self.was_slow = is_slow;
            self.core.send(CoreInput::ConnectionMeasured {
                id: self.id,
                metric: ConnectionMetric::MessageLatency(nanos(latency)),
            });
        }
        !is_keepalive
    }

    /// Requests a migration; the first request counts.
    pub(super) fn start_migration(&mut self, end: ConnectionEnd) {
        self.migration.get_or_insert_with(|| (Instant::now(), end));
    }
}
