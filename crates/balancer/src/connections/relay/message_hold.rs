//! Holds back a client's incomplete message, so that keepalives can be sent between two messages
//! however long the client takes for one.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Most bytes of incomplete messages that a front holds back for all its clients.
const MAX_HELD_BYTES: usize = 32 << 20;

/// The bytes that a front holds back, shared by its connections.
#[derive(Clone, Debug, Default)]
pub struct HeldBytes(Arc<AtomicUsize>);

impl HeldBytes {
    /// Reserves bytes, if the front may hold them back.
    fn reserve(&self, count: usize) -> bool {
        let reserve = |held: usize| {
            held.checked_add(count)
                .filter(|total| *total <= MAX_HELD_BYTES)
        };
        self.0
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, reserve)
            .is_ok()
    }

    fn release(&self, count: usize) {
        self.0.fetch_sub(count, Ordering::Relaxed);
    }
}

/// The incomplete message of one client.
pub(super) struct MessageHold {
    held: Vec<u8>,
    /// Whether the beginning of the present message has been sent to the server.
    is_split: bool,
    /// `None` where messages are passed on as they come.
    budget: Option<HeldBytes>,
}

impl MessageHold {
    /// Creates an empty hold; without a budget it holds nothing back.
    pub(super) fn new(budget: Option<HeldBytes>) -> MessageHold {
        MessageHold {
            held: Vec::new(),
            is_split: false,
            budget,
        }
    }

    /// Adds framed bytes, of which those before `boundary` complete a message. Returns the bytes to
    /// send.
    pub(super) fn add(&mut self, mut bytes: Vec<u8>, boundary: Option<usize>) -> Vec<u8> {
        let Some(boundary) = boundary else {
            return self.hold(bytes);
        };
        let incomplete = bytes.split_off(boundary);
        let complete = join(self.take(), bytes);
        self.is_split = false;
        join(complete, self.hold(incomplete))
    }

    /// Holds bytes of an incomplete message back, or returns what is to be sent of it at once.
    fn hold(&mut self, mut bytes: Vec<u8>) -> Vec<u8> {
        if bytes.is_empty() {
            return bytes;
        }
        let is_held = !self.is_split
            && self
                .budget
                .as_ref()
                .is_some_and(|budget| budget.reserve(bytes.len()));
        if is_held {
            self.held.append(&mut bytes);
            return bytes;
        }
        self.is_split = true;
        join(self.take(), bytes)
    }

    /// Takes what is held back.
    pub(super) fn take(&mut self) -> Vec<u8> {
        if let Some(budget) = &self.budget {
            budget.release(self.held.len());
        }
        std::mem::take(&mut self.held)
    }

    /// Whether the server has been sent complete messages only.
    pub(super) fn is_between_messages(&self) -> bool {
        !self.is_split
    }
}

/// Joins two pieces; a single one is not copied.
fn join(mut head: Vec<u8>, mut tail: Vec<u8>) -> Vec<u8> {
    if head.is_empty() {
        return tail;
    }
    head.append(&mut tail);
    head
}

impl Drop for MessageHold {
    fn drop(&mut self) {
        self.take();
    }
}

#[cfg(test)]
mod tests;
