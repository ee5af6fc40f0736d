//! What travels between the processes beside word of who is there.

use std::sync::{Arc, Mutex, PoisonError};

use crate::{Member, Millis};

/// What a node carries for another part of the program. All bytes are opaque to the node.
pub trait Body {
    /// What is new, in `room` bytes at most; nothing to tell is an empty answer.
    fn gossip(&mut self, room: usize, now: Millis) -> Vec<u8>;
    /// What is known, so that another can tell what is missing, in `room` bytes at most; empty asks nothing.
    fn summary(&mut self, room: usize, now: Millis) -> Vec<u8>;
    /// What a member with this summary lacks: `most` pages at most, each in `room` bytes.
    fn answer(&mut self, summary: &[u8], room: usize, most: usize, now: Millis) -> Vec<Vec<u8>>;
    /// Rumours or a page from a live member.
    fn take(&mut self, from: &Member, bytes: &[u8], now: Millis);
    /// How many processes are there now, this one among them.
    fn members(&mut self, n: usize);
}

/// A body that other threads use too: locked for each call, never across two.
impl<B: Body> Body for Arc<Mutex<B>> {
    fn gossip(&mut self, room: usize, now: Millis) -> Vec<u8> {
        self.lock()
            .unwrap_or_else(PoisonError::into_inner)
            .gossip(room, now)
    }

    fn summary(&mut self, room: usize, now: Millis) -> Vec<u8> {
        self.lock()
            .unwrap_or_else(PoisonError::into_inner)
            .summary(room, now)
    }

    fn answer(&mut self, summary: &[u8], room: usize, most: usize, now: Millis) -> Vec<Vec<u8>> {
        self.lock()
            .unwrap_or_else(PoisonError::into_inner)
            .answer(summary, room, most, now)
    }

    fn take(&mut self, from: &Member, bytes: &[u8], now: Millis) {
        self.lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take(from, bytes, now);
    }

    fn members(&mut self, n: usize) {
        self.lock()
            .unwrap_or_else(PoisonError::into_inner)
            .members(n);
    }
}
