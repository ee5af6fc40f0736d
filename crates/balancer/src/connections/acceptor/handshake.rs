//! Handshakes that are not complete, and how they are read.

use std::net::TcpStream;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::time::{Duration, Instant};

use crate::core::CoreHandle;
use crate::front::{Front, HandshakeError, HandshakeLine, Rejection};
use crate::net::{self, ReadBuffer, ReadError};

/// A client is not evicted for a new one before this time. Clients that arrive together would
/// otherwise evict one another.
pub(super) const MIN_HANDSHAKE_TIME: Duration = Duration::from_millis(100);

/// An idle client is closed this long after a drain began: new requests arrive for 0.4 s, and a
/// shutdown takes at least 0.7 s.
const IDLE_TIMEOUT_IN_DRAIN: Duration = Duration::from_millis(500);

/// A client with an incomplete handshake.
pub(super) struct Handshake {
    pub(super) client: TcpStream,
    pub(super) intake: ReadBuffer,
    pub(super) accepted_at: Instant,
    /// Start of its timeout: the accept, its last readiness query, or the first byte after that.
    timeout_from: Instant,
    /// Whether it sent a readiness query.
    has_asked: bool,
}

impl Handshake {
    pub(super) fn new(client: TcpStream, longest: usize) -> Handshake {
        let now = Instant::now();
        Handshake {
            client,
            intake: ReadBuffer::new(longest),
            accepted_at: now,
            timeout_from: now,
            has_asked: false,
        }
    }

    /// Whether it has sent nothing since its last query.
    pub(super) fn is_idle(&self) -> bool {
        self.has_asked && self.intake.bytes().is_empty()
    }

    /// Whether it has had its minimum time.
    pub(super) fn has_had_min_time(&self) -> bool {
        self.accepted_at.elapsed() >= MIN_HANDSHAKE_TIME
    }

    /// When it is closed.
    pub(super) fn deadline_at(&self, front: &impl Front, drains_since: Option<Instant>) -> Instant {
        if !self.intake.bytes().is_empty() {
            return self.timeout_from + front.begun_handshake_timeout();
        }
        let until = self.timeout_from + front.handshake_timeout();
        let drains = drains_since.filter(|_| self.has_asked);
        drains.map_or(until, |since| {
            until.min((since + IDLE_TIMEOUT_IN_DRAIN).max(self.accepted_at + MIN_HANDSHAKE_TIME))
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

/// A panic in reading one handshake must not end the acceptor.
pub(super) fn read_handshake_guarded<F: Front>(
    front: &F,
    waiting: &mut Handshake,
    core: &CoreHandle,
) -> HandshakeOutcome<F::Request> {
    let became = catch_unwind(AssertUnwindSafe(|| read_handshake(front, waiting, core)));
    became.unwrap_or_else(|_| {
        HandshakeOutcome::Rejected(front.handshake_error(HandshakeError::TooLong))
    })
}

/// Reads once and parses what has arrived.
fn read_handshake<F: Front>(
    front: &F,
    waiting: &mut Handshake,
    core: &CoreHandle,
) -> HandshakeOutcome<F::Request> {
    let rested = waiting.is_idle();
    let Handshake {
        client,
        intake,
        timeout_from,
        has_asked,
        ..
    } = waiting;
    match intake.read(client, Instant::now()) {
        Ok(()) => {}
        Err(ReadError::TimedOut) => return HandshakeOutcome::Incomplete,
        Err(ReadError::Ended | ReadError::Broken(_)) => return HandshakeOutcome::Closed,
        Err(ReadError::TooLong) => {
            return HandshakeOutcome::Rejected(front.handshake_error(HandshakeError::TooLong));
        }
    }
    if rested {
        *timeout_from = Instant::now();
    }
    while let Some(line) = intake.next_line() {
        let reply = match front.parse_handshake(&line, core.clock().now()) {
            HandshakeLine::Reply(words) => words,
            HandshakeLine::ReadinessQuery => {
                front.readiness_answer(core.lifecycle().state(), core.lifecycle().is_ready())
            }
            HandshakeLine::Rejected(refusal) => return HandshakeOutcome::Rejected(refusal),
            HandshakeLine::Connect(_) if intake.bytes().len() > front.max_early_bytes() => {
                return HandshakeOutcome::Rejected(
                    front.handshake_error(HandshakeError::ExtraBytes),
                );
            }
            HandshakeLine::Connect(request) => return HandshakeOutcome::Complete(request),
        };
        *has_asked = true;
        if net::write_gathered(client, &[reply]).is_err() {
            return HandshakeOutcome::Closed;
        }
    }
    if intake.is_full() {
        HandshakeOutcome::Rejected(front.handshake_error(HandshakeError::TooLong))
    } else {
        HandshakeOutcome::Incomplete
    }
}
