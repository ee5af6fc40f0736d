//! Clients that were told to come again.

use std::collections::VecDeque;

use rustc_hash::FxHashMap;

use crate::Nanos;

/// Clients that are remembered at once; a later one takes the place of the one told longest ago.
const MOST_RETURNING: usize = 4_096;
/// A client that has not come back by then is a new one, in nanoseconds.
const COMES_WITHIN: Nanos = 30_000_000_000;

/// Clients that had a connection here and were told to come again.
#[derive(Debug, Default)]
pub struct RejectedClients {
    by_client: FxHashMap<u64, Rejections>,
    history: VecDeque<(Nanos, u64)>,
}

/// Of one client.
#[derive(Clone, Copy, Debug, Default)]
struct Rejections {
    /// Words that are remembered.
    remembered: u32,
    /// Those of them that it has not come for.
    unmatched: u32,
}

impl RejectedClients {
    /// A client was told.
    pub fn record_rejection(&mut self, now: Nanos, client: u64) {
        if self.history.len() >= MOST_RETURNING {
            self.forget_first();
        }
        let rejections = self.by_client.entry(client).or_default();
        rejections.remembered += 1;
        rejections.unmatched += 1;
        self.history.push_back((now, client));
    }

    /// A client comes; whether it is one that was told. Each word counts once: a flood under a client's name gains no
    /// more by it than the client has lost.
    pub fn take_return(&mut self, now: Nanos, client: u64) -> bool {
        while self
            .history
            .front()
            .is_some_and(|(at, _)| now > at.saturating_add(COMES_WITHIN))
        {
            self.forget_first();
        }
        let unmatched = self
            .by_client
            .get_mut(&client)
            .map(|rejections| &mut rejections.unmatched)
            .filter(|unmatched| **unmatched > 0);
        unmatched.map(|unmatched| *unmatched -= 1).is_some()
    }

    fn forget_first(&mut self) {
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
