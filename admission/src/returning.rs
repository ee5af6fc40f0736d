//! Clients that were told to come again, and how quick a set-up can be.

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
    /// How often each was told and has not come since.
    owed: FxHashMap<u64, u32>,
    told: VecDeque<(Nanos, u64)>,
}

impl Returning {
    /// A client was told.
    pub fn told(&mut self, now: Nanos, client: u64) {
        if self.told.len() >= MOST_RETURNING {
            self.forget_first();
        }
        *self.owed.entry(client).or_insert(0) += 1;
        self.told.push_back((now, client));
    }

    /// A client comes; whether it is one that was told. Each word counts once: a flood under a client's name gains no
    /// more by it than the client has lost.
    pub fn comes(&mut self, now: Nanos, client: u64) -> bool {
        while self.told.front().is_some_and(|(at, _)| now > at.saturating_add(COMES_WITHIN)) {
            self.forget_first();
        }
        let Some(owed) = self.owed.get_mut(&client) else { return false };
        *owed -= 1;
        if *owed == 0 {
            self.owed.remove(&client);
        }
        true
    }

    fn forget_first(&mut self) {
        // Word that has been made good already has no count left to take.
        let Some((_, client)) = self.told.pop_front() else { return };
        let later = self.told.iter().filter(|(_, other)| *other == client).count() as u32;
        if let Some(owed) = self.owed.get_mut(&client) {
            *owed = (*owed).min(later);
            if *owed == 0 {
                self.owed.remove(&client);
            }
        }
    }
}

/// Part of the way by which the figure follows a set-up that took longer.
const FOLLOWS: f64 = 0.02;

/// How long a set-up takes when it is quick: less time left than this is of no use.
#[derive(Clone, Copy, Debug, Default)]
pub struct Quickest(Option<Nanos>);

impl Quickest {
    /// A set-up took so long.
    pub fn took(&mut self, span: Nanos) {
        let before = self.0.unwrap_or(span);
        let up = (span.saturating_sub(before) as f64 * FOLLOWS) as Nanos;
        self.0 = Some(if span < before { span } else { before + up });
    }

    /// The figure; 0 before the first.
    pub fn get(&self) -> Nanos {
        self.0.unwrap_or(0)
    }
}
