//! Incomplete handshakes and reading them.

use std::net::TcpStream;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::time::{Duration, Instant};

use crate::core::CoreHandle;
use crate::front::{Front, HandshakeError, HandshakeLine, Rejection};
use crate::net::{self, ReadBuffer, ReadError};

/// A client is not evicted for a new one before this time. Clients that arrive together would
/// otherwise evict one another.
pub(super) const MIN_HANDSHAKE_TIME: Duration = Duration::from_millis(100);

/// A client that has waited to be accepted has less time for its handshake, but for this much.
const MAX_ACCEPT_DELAY: Duration = Duration::from_millis(400);

/// An idle client is closed this long after a drain began: new requests arrive for 0.4 s, and a
/// shutdown takes at least 0.7 s.
const IDLE_TIMEOUT_IN_DRAIN: Duration = Duration::from_millis(500);

/// A client with an incomplete handshake.
pub(super) struct Handshake {
    pub(super) client: TcpStream,
    pub(super) read_buffer: ReadBuffer,
    pub(super) accepted_at: Instant,
    /// When the client had not connected yet: the accept queue was empty.
    not_connected_at: Instant,
    /// Start of the timeout: the accept, the last readiness query, or the first byte after it.
    timeout_started_at: Instant,
    /// Whether the client has sent a readiness query.
    has_queried: bool,
}

impl Handshake {
    /// Creates the handshake of a client that was accepted now and had not connected at
    /// `not_connected_at`.
    pub(super) fn new(
        client: TcpStream,
        max_line_bytes: usize,
        not_connected_at: Instant,
    ) -> Handshake {
        let now = Instant::now();
        Handshake {
            client,
            read_buffer: ReadBuffer::new(max_line_bytes),
            accepted_at: now,
            not_connected_at,
            timeout_started_at: now,
            has_queried: false,
        }
    }

    /// Whether the client has sent nothing since its last readiness query.
    pub(super) fn is_idle(&self) -> bool {
        self.has_queried && self.read_buffer.bytes().is_empty()
    }

    /// Whether [`MIN_HANDSHAKE_TIME`] has passed since the accept.
    pub(super) fn has_had_min_time(&self) -> bool {
        self.accepted_at.elapsed() >= MIN_HANDSHAKE_TIME
    }

    /// The end of a timeout. Before its first readiness query a client's time runs from its connect,
    /// of which only the earliest moment is known.
    fn deadline_after(&self, timeout: Duration) -> Instant {
        let deadline_at = self.timeout_started_at + timeout;
        if self.has_queried {
            return deadline_at;
        }
        let from_connect = self.not_connected_at + timeout + MAX_ACCEPT_DELAY;
        deadline_at.min(from_connect.max(self.accepted_at + MIN_HANDSHAKE_TIME))
    }

    /// When the handshake times out, which is earlier for an idle client during a drain.
    pub(super) fn deadline_at(
        &self,
        front: &impl Front,
        drain_started_at: Option<Instant>,
    ) -> Instant {
        if !self.read_buffer.bytes().is_empty() {
            return self.deadline_after(front.partial_handshake_timeout());
        }
        let deadline_at = self.deadline_after(front.handshake_timeout());
        let drain_started_at = drain_started_at.filter(|_| self.has_queried);
        drain_started_at.map_or(deadline_at, |started_at| {
            deadline_at.min(
                (started_at + IDLE_TIMEOUT_IN_DRAIN).max(self.accepted_at + MIN_HANDSHAKE_TIME),
            )
        })
    }
}

/// The result of reading a handshake.
pub(super) enum HandshakeOutcome<R> {
    Incomplete,
    Closed,
    Rejected(Rejection),
    Complete(R),
}

/// Reads a handshake; a panic rejects that client and does not end the acceptor.
pub(super) fn read_handshake_guarded<F: Front>(
    front: &F,
    handshake: &mut Handshake,
    core: &CoreHandle,
) -> HandshakeOutcome<F::Request> {
    let outcome = catch_unwind(AssertUnwindSafe(|| read_handshake(front, handshake, core)));
    outcome.unwrap_or_else(|_| {
        HandshakeOutcome::Rejected(front.handshake_error(HandshakeError::TooLong))
    })
}

/// Reads once and parses what has arrived.
fn read_handshake<F: Front>(
    front: &F,
    handshake: &mut Handshake,
    core: &CoreHandle,
) -> HandshakeOutcome<F::Request> {
    let was_idle = handshake.is_idle();
    let Handshake {
        client,
        read_buffer,
        timeout_started_at,
        has_queried,
        ..
    } = handshake;
    match read_buffer.read(client, Instant::now()) {
        Ok(()) => {}
        Err(ReadError::TimedOut) => return HandshakeOutcome::Incomplete,
        Err(ReadError::Ended | ReadError::Broken(_)) => return HandshakeOutcome::Closed,
        Err(ReadError::TooLong) => {
            return HandshakeOutcome::Rejected(front.handshake_error(HandshakeError::TooLong));
        }
    }
    if was_idle {
        *timeout_started_at = Instant::now();
    }
    while let Some(line) = read_buffer.next_line() {
        let reply = match front.parse_handshake(&line, core.clock().now()) {
            HandshakeLine::Reply(reply) => reply,
            HandshakeLine::ReadinessQuery => {
                front.readiness_answer(core.lifecycle().state(), core.lifecycle().is_ready())
            }
            HandshakeLine::Rejected(rejection) => return HandshakeOutcome::Rejected(rejection),
            HandshakeLine::Connect(_) if read_buffer.bytes().len() > front.max_early_bytes() => {
                return HandshakeOutcome::Rejected(
                    front.handshake_error(HandshakeError::ExtraBytes),
                );
            }
            HandshakeLine::Connect(request) => return HandshakeOutcome::Complete(request),
        };
        *has_queried = true;
        if net::write_gathered(client, &[reply]).is_err() {
            return HandshakeOutcome::Closed;
        }
    }
    if read_buffer.is_full() {
        HandshakeOutcome::Rejected(front.handshake_error(HandshakeError::TooLong))
    } else {
        HandshakeOutcome::Incomplete
    }
}
