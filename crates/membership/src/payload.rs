//! Data of other components that membership datagrams carry.

use std::sync::{Arc, Mutex, PoisonError};

use crate::{Member, Millis};

/// State that a node replicates for another component. All bytes are opaque to the node.
pub trait Payload {
    /// Recent changes, in at most `max_bytes`. An empty result sends nothing.
    fn gossip(&mut self, max_bytes: usize, now: Millis) -> Vec<u8>;
    /// Summary of the known state, from which a peer derives what is missing, in at most
    /// `max_bytes`. An empty result sends no request.
    fn summary(&mut self, max_bytes: usize, now: Millis) -> Vec<u8>;
    /// What a member with this summary lacks, in at most `max_pages` pages of at most `max_bytes`
    /// each.
    fn answer(
        &mut self,
        summary: &[u8],
        max_bytes: usize,
        max_pages: usize,
        now: Millis,
    ) -> Vec<Vec<u8>>;
    /// Handles gossip or a page from a live member.
    fn receive(&mut self, from: &Member, bytes: &[u8], now: Millis);
    /// Reports the number of live processes, including this one.
    fn set_member_count(&mut self, count: usize);
}

/// A payload shared with other threads. It is locked for each call separately.
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
