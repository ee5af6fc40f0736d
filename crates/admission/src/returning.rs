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
pub struct Returning {
    words: FxHashMap<u64, Words>,
    told: VecDeque<(Nanos, u64)>,
}

/// Of one client.
#[derive(Clone, Copy, Debug, Default)]
struct Words {
    /// Words that are remembered.
    told: u32,
    /// Those of them that it has not come for.
    owed: u32,
}

impl Returning {
    /// A client was told.
    pub fn told(&mut self, now: Nanos, client: u64) {
        if self.told.len() >= MOST_RETURNING {
            self.forget_first();
        }
        let words = self.words.entry(client).or_default();
        words.told += 1;
        words.owed += 1;
        self.told.push_back((now, client));
    }

    /// A client comes; whether it is one that was told. Each word counts once: a flood under a client's name gains no
    /// more by it than the client has lost.
    pub fn comes(&mut self, now: Nanos, client: u64) -> bool {
        while self
            .told
            .front()
            .is_some_and(|(at, _)| now > at.saturating_add(COMES_WITHIN))
        {
            self.forget_first();
        }
        let owed = self
            .words
            .get_mut(&client)
            .map(|words| &mut words.owed)
            .filter(|owed| **owed > 0);
        owed.map(|owed| *owed -= 1).is_some()
    }

    fn forget_first(&mut self) {
        let Some((_, client)) = self.told.pop_front() else {
            return;
        };
        let Some(words) = self.words.get_mut(&client) else {
            return;
        };
        words.told -= 1;
        words.owed = words.owed.min(words.told);
        if words.told == 0 {
            self.words.remove(&client);
        }
    }
}
