//! Judgement of a server by the answers that it owes. It has no clock and does no I/O.
//!
//! A server is asked by its client's requests and, where the protocol has one, by keepalives. It is
//! unresponsive once a request has been unanswered for the response timeout. What it is merely sent
//! says nothing of it. Time in which an answer could not be read does not count.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use super::TICK_INTERVAL;
use crate::front::{Keepalive, MAX_SILENCE};
use crate::handover::UnansweredRequests;

/// A server that returns nothing for this long is unresponsive, also if its answer is queued behind
/// much data or if it can't be asked. Two late checks still keep the bound.
const SILENCE_TIMEOUT: Duration = MAX_SILENCE.saturating_sub(TICK_INTERVAL.saturating_mul(2));
/// An answer to a request behind this many bytes may take longer than the response timeout, since a
/// server handles what it is sent in order.
const BULK_BYTES: u64 = 64 * 1024;
/// Such an answer is missing after this time, also if the server returns other messages.
const MAX_BULK_RESPONSE_TIME: Duration = Duration::from_secs(10);
/// A longer gap between two ticks means that this process was suspended.
const SUSPENSION_GAP: Duration = Duration::from_secs(1);
/// The time that a message of the server takes is excluded as far as it arrives at this rate.
const MIN_TRANSFER_BYTES_PER_MS: u64 = 1;

/// A message to the server that it has to answer.
pub(super) struct PendingRequest {
    pub(super) sent_at: Instant,
    /// Whether the balancer sent it as a keepalive.
    pub(super) is_keepalive: bool,
    /// Time of the server's clock.
    asked_at: Duration,
    /// Number of bytes sent before it.
    offset: u64,
}

/// What one server owes on one connection.
pub(super) struct ServerLiveness {
    /// The unanswered requests, the oldest first.
    pending: VecDeque<PendingRequest>,
    /// Origin of the server's clock, which stands still while no answer can be read.
    started_at: Instant,
    /// Time of the server's clock at its origin.
    initial_time: Duration,
    /// Time for which the server's clock has stood still.
    excluded: Duration,
    ticked_at: Instant,
    /// When the server last sent a byte, in time of its clock.
    heard_at: Duration,
    /// When the server was last asked, in time of its clock.
    asked_at: Duration,
    /// Number of bytes sent to the server.
    sent_bytes: u64,
    /// Number of bytes sent before the latest request that was answered.
    answered_offset: u64,
}

impl ServerLiveness {
    /// Begins to judge a server, which may owe answers from before.
    pub(super) fn new(now: Instant, unanswered: UnansweredRequests) -> ServerLiveness {
        let sent_at = now.checked_sub(unanswered.age).unwrap_or(now);
        let request = |_| PendingRequest {
            sent_at,
            is_keepalive: false,
            asked_at: Duration::ZERO,
            offset: 0,
        };
        ServerLiveness {
            pending: (0..unanswered.count).map(request).collect(),
            started_at: now,
            initial_time: unanswered.age,
            excluded: Duration::ZERO,
            ticked_at: now,
            heard_at: unanswered.age,
            asked_at: unanswered.age,
            sent_bytes: 0,
            answered_offset: 0,
        }
    }

    /// Time of the server's clock.
    fn time(&self, now: Instant) -> Duration {
        let since_start = now.saturating_duration_since(self.started_at);
        (self.initial_time + since_start).saturating_sub(self.excluded)
    }

    /// Sets the server's clock back.
    fn exclude(&mut self, now: Instant, span: Duration) {
        self.excluded += span;
        let time = self.time(now);
        self.heard_at = self.heard_at.min(time);
        self.asked_at = self.asked_at.min(time);
        for request in &mut self.pending {
            request.asked_at = request.asked_at.min(time);
        }
    }

    /// Records the time between two ticks and returns it, or zero if this process was suspended.
    /// `has_unread` says that the client takes nothing while bytes of the server wait to be read.
    pub(super) fn on_tick(&mut self, now: Instant, has_unread: bool) -> Duration {
        let gap = now.saturating_duration_since(self.ticked_at);
        let was_suspended = gap > SUSPENSION_GAP;
        self.ticked_at = now;
        if has_unread || was_suspended {
            self.exclude(now, gap);
        }
        if was_suspended { Duration::ZERO } else { gap }
    }

    /// Records a request that the server has to answer.
    pub(super) fn on_request(&mut self, now: Instant, is_keepalive: bool) {
        self.asked_at = self.time(now);
        self.pending.push_back(PendingRequest {
            sent_at: now,
            is_keepalive,
            asked_at: self.asked_at,
            offset: self.sent_bytes,
        });
    }

    /// Records bytes that are sent to the server.
    pub(super) fn on_sent(&mut self, bytes: usize) {
        self.sent_bytes += bytes as u64;
    }

    /// Records that the server sent bytes; `is_mid_message` says that they continue a message.
    /// Answers come behind that message, so the time that its transfer takes does not count.
    pub(super) fn on_received(&mut self, now: Instant, bytes: usize, is_mid_message: bool) {
        if is_mid_message {
            let gap = self.time(now).saturating_sub(self.heard_at);
            let transfer_time = Duration::from_millis(bytes as u64 / MIN_TRANSFER_BYTES_PER_MS);
            self.exclude(now, gap.min(transfer_time));
        }
        self.heard_at = self.time(now);
    }

    /// Removes the oldest request, which the server has answered.
    pub(super) fn answer_oldest(&mut self) -> Option<PendingRequest> {
        let request = self.pending.pop_front()?;
        self.answered_offset = request.offset;
        Some(request)
    }

    /// Removes all requests, which the server has answered; returns the oldest.
    pub(super) fn answer_all(&mut self) -> Option<PendingRequest> {
        let latest_offset = self.pending.back()?.offset;
        let oldest = self.pending.pop_front();
        self.pending.clear();
        self.answered_offset = latest_offset;
        oldest
    }

    /// Number of unanswered requests.
    pub(super) fn unanswered_count(&self) -> usize {
        self.pending.len()
    }

    /// The unanswered requests, for another process.
    pub(super) fn unanswered(&self, now: Instant) -> UnansweredRequests {
        UnansweredRequests {
            count: self.pending.len(),
            age: self
                .pending
                .front()
                .map_or(Duration::ZERO, |oldest| self.age(oldest, now)),
        }
    }

    fn age(&self, request: &PendingRequest, now: Instant) -> Duration {
        self.time(now).saturating_sub(request.asked_at)
    }

    /// Whether the server is to be asked, since nobody has for the idle interval. It is asked up to a
    /// tick earlier, so that it is never asked late.
    pub(super) fn needs_keepalive(&self, now: Instant, keepalive: &Keepalive) -> bool {
        let interval = keepalive.idle_interval.saturating_sub(TICK_INTERVAL);
        self.pending.is_empty() && self.time(now).saturating_sub(self.asked_at) >= interval
    }

    /// Time until the server is unresponsive, unless it answers; zero if it is, and `None` if it owes
    /// nothing. `is_keepalive_blocked` says that it can't be asked though it is to be; it is then
    /// judged by its silence alone.
    pub(super) fn time_left(
        &self,
        now: Instant,
        response_timeout: Duration,
        is_keepalive_blocked: bool,
    ) -> Option<Duration> {
        let silence = self.time(now).saturating_sub(self.heard_at);
        let silence_left = SILENCE_TIMEOUT.saturating_sub(silence);
        let Some(oldest) = self.pending.front() else {
            return is_keepalive_blocked.then_some(silence_left);
        };
        let age = self.age(oldest, now);
        let answer_left = response_timeout.saturating_sub(age);
        let is_behind_bulk = oldest.offset - self.answered_offset >= BULK_BYTES;
        Some(if is_behind_bulk {
            let bulk_answer_left = MAX_BULK_RESPONSE_TIME.saturating_sub(age);
            answer_left.max(silence_left.min(bulk_answer_left))
        } else {
            answer_left
        })
    }
}

#[cfg(test)]
mod tests;
