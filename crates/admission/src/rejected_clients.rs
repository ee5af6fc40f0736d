//! Clients that were rejected and are expected to reconnect.

use std::collections::VecDeque;

use rustc_hash::FxHashMap;

use crate::Nanos;

/// Most rejections remembered; a later one replaces the oldest.
const MAX_REMEMBERED_REJECTIONS: usize = 4_096;
/// Time in nanoseconds after a rejection within which a client counts as returning.
const RETURN_WINDOW_NS: Nanos = 30_000_000_000;

/// Clients that had a connection here and were rejected or migrated.
#[derive(Debug, Default)]
pub struct RejectedClients {
    by_client: FxHashMap<u64, Rejections>,
    history: VecDeque<(Nanos, u64)>,
}

/// Rejections of one client.
#[derive(Clone, Copy, Debug, Default)]
struct Rejections {
    /// Rejections of the client in the history.
    remembered: u32,
    /// Rejections after which the client has not returned yet.
    unmatched: u32,
}

impl RejectedClients {
    /// Records that a client was rejected.
    pub fn record_rejection(&mut self, now: Nanos, client: u64) {
        if self.history.len() >= MAX_REMEMBERED_REJECTIONS {
            self.forget_oldest();
        }
        let rejections = self.by_client.entry(client).or_default();
        rejections.remembered += 1;
        rejections.unmatched += 1;
        self.history.push_back((now, client));
    }

    /// Whether a client returns after a rejection. Each rejection counts for one return, so that a
    /// flood of requests under one client's name is preferred no more often than it was rejected.
    pub fn take_return(&mut self, now: Nanos, client: u64) -> bool {
        while self
            .history
            .front()
            .is_some_and(|(rejected_at, _)| now > rejected_at.saturating_add(RETURN_WINDOW_NS))
        {
            self.forget_oldest();
        }
        let unmatched = self
            .by_client
            .get_mut(&client)
            .map(|rejections| &mut rejections.unmatched)
            .filter(|unmatched| **unmatched > 0);
        unmatched.map(|unmatched| *unmatched -= 1).is_some()
    }

    fn forget_oldest(&mut self) {
        let Some((_, client)) = self.history.pop_front() else {
            return;
        };
        let Some(rejections) = self.by_client.get_mut(&client) else {
            return;
        };
        rejections.remembered -= 1;
        rejections.unmatched = rejections.unmatched.min(rejections.remembered);
        if rejections.remembered == 0 {
            self.by_client.remove(&client);
        }
    }
}
