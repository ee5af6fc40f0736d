//! What travels between the processes beside word of who is there.

use std::sync::{Arc, Mutex, PoisonError};

use crate::{Member, Millis};

/// What a node carries for another part of the program. All bytes are opaque to the node.
pub trait Payload {
    /// What is new, in `room` bytes at most; nothing to tell is an empty answer.
    fn gossip(&mut self, max_bytes: usize, now: Millis) -> Vec<u8>;
    /// What is known, so that another can tell what is missing, in `room` bytes at most; empty asks nothing.
    fn summary(&mut self, max_bytes: usize, now: Millis) -> Vec<u8>;
    /// What a member with this summary lacks: `most` pages at most, each in `room` bytes.
    fn answer(
        &mut self,
        summary: &[u8],
        max_bytes: usize,
        max_pages: usize,
        now: Millis,
    ) -> Vec<Vec<u8>>;
    /// Rumours or a page from a live member.
    fn receive(&mut self, from: &Member, bytes: &[u8], now: Millis);
    /// How many processes are there now, this one among them.
    fn set_member_count(&mut self, count: usize);
}

/// A body that other threads use too: locked for each call, never across two.
impl<B: Payload> Payload for Arc<Mutex<B>> {
    fn gossip(&mut self, max_bytes: usize, now: Millis) -> Vec<u8> {
        self.lock()
            .unwrap_or_else(PoisonError::into_inner)
            .gossip(max_bytes, now)
    }

    fn summary(&mut self, max_bytes: usize, now: Millis) -> Vec<u8> {
        self.lock()
            .unwrap_or_else(PoisonError::into_inner)
            .summary(max_bytes, now)
    }

    fn answer(
        &mut self,
        summary: &[u8],
        max_bytes: usize,
        max_pages: usize,
        now: Millis,
    ) -> Vec<Vec<u8>> {
        self.lock()
            .unwrap_or_else(PoisonError::into_inner)
            .answer(summary, max_bytes, max_pages, now)
    }

    fn receive(&mut self, from: &Member, bytes: &[u8], now: Millis) {
        self.lock()
            .unwrap_or_else(PoisonError::into_inner)
            .receive(from, bytes, now);
    }

    fn set_member_count(&mut self, count: usize) {
        self.lock()
            .unwrap_or_else(PoisonError::into_inner)
            .set_member_count(count);
    }
}
