//! Clients whose handshake is complete and that wait for a place among the open connections.

use std::collections::VecDeque;
use std::net::TcpStream;
use std::time::{Duration, Instant};

use crate::net::ReadBuffer;

/// Longest wait for a place. What a client that has left held is free within this time.
const MAX_PLACE_WAIT: Duration = Duration::from_millis(100);
/// Longest wait while the clients that wait keep others from being accepted.
const MAX_WAIT_WHILE_FULL: Duration = Duration::from_millis(20);
/// Interval at which a place is looked for.
pub(super) const PLACE_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// A client that waits for a place, with its request.
pub(super) struct AwaitingPlace<R> {
    pub(super) client: TcpStream,
    pub(super) request: R,
    /// The bytes that it has sent beyond its handshake.
    pub(super) read_buffer: ReadBuffer,
    /// When its handshake was complete.
    pub(super) queued_at: Instant,
}

/// The clients that wait, the one that has waited longest first.
pub(super) struct PlaceQueue<R>(VecDeque<AwaitingPlace<R>>);

impl<R> Default for PlaceQueue<R> {
    fn default() -> PlaceQueue<R> {
        PlaceQueue(VecDeque::new())
    }
}

impl<R> PlaceQueue<R> {
    pub(super) fn len(&self) -> usize {
        self.0.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Adds a client behind the others.
    pub(super) fn push(&mut self, waiting: AwaitingPlace<R>) {
        self.0.push_back(waiting);
    }

    /// Takes the client whose turn it is.
    pub(super) fn pop(&mut self) -> Option<AwaitingPlace<R>> {
        self.0.pop_front()
    }

    /// Takes a client that has waited for too long; `is_full` tells whether others can't be accepted
    /// meanwhile.
    pub(super) fn pop_rejected(&mut self, is_full: bool) -> Option<TcpStream> {
        let max_wait = if is_full {
            MAX_WAIT_WHILE_FULL
        } else {
            MAX_PLACE_WAIT
        };
        if self.0.front()?.queued_at.elapsed() < max_wait {
            return None;
        }
        self.pop().map(|waiting| waiting.client)
    }
}
