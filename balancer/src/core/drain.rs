//! Drains: on standby and on leaving all clients are moved, spread over a while, and what is on its way is served or
//! finally answered. On standby the program stays and may be told to take clients again, half way too.

use std::sync::atomic::Ordering;
use std::time::Duration;

use beaconflow::api::Nanos;
use tracing::info;

use super::ledger::Place;
use super::lifecycle::{Refused, State, Word};
use super::{Core, Due, Order};

/// The moves of a drain are spread over this. Guards against a herd of clients that all come again at once and
/// overrun the application servers' set-ups: over 1.8 s they had first attempts wait for 1.5 s.
const MOVES: Duration = Duration::from_millis(2_700);
/// A front goes on sending newcomers for a part of a second; they are served for so long, and moved with the others.
const NEWCOMERS: Duration = Duration::from_millis(1_500);
/// Transactions still open after this get their final answer.
const ANSWERS: Duration = Duration::from_millis(2_700);
/// A program that leaves stays for so long, for the newcomers.
const LEAVE_LEAST: Duration = Duration::from_millis(700);
/// It is gone by then; it may be killed 3.7 s after the word.
const LEAVE_MOST: Duration = Duration::from_millis(3_500);
/// Period of the core's own look at what it leaves behind.
const TICK: Duration = Duration::from_millis(20);

/// A drain that is on.
#[derive(Clone, Copy, Debug)]
pub(super) struct Drain {
    /// Which one; what was set for an earlier one is void.
    number: u64,
    since: Nanos,
}

impl Core {
    /// Follows a word on what the program is to be at.
    pub(super) fn follow_word(&mut self, word: Word) -> Result<State, Refused> {
        let before = self.lifecycle.state();
        let after = self.lifecycle.take(word)?;
        if after == before {
            return Ok(after);
        }
        // Shown before anything else is done: nobody is told yes from here on who should hear no.
        self.shown.show(after);
        info!(
            part = self.name,
            from = before.name(),
            to = after.name(),
            clients = self.ledger.len(),
            "state"
        );
        match after {
            State::Standby | State::Leaving => self.begin_drain(),
            State::Starting | State::Serving => self.drain = None,
        }
        Ok(after)
    }

    /// Moves all clients, spread over a while. Those that an earlier drain has told to move are not told again.
    fn begin_drain(&mut self) {
        self.drains += 1;
        self.drain = Some(Drain { number: self.drains, since: self.clock.now() });
        let standing: Vec<u64> = self.ledger.movable().map(|(id, _)| id).collect();
        let count = u32::try_from(standing.len().max(1)).unwrap_or(u32::MAX);
        for (at, id) in (0..).zip(standing) {
            self.offer(id);
            self.wake(MOVES * at / count, Due::Drained(self.drains, id));
        }
        self.wake(self.drain_period(), Due::Drain(self.drains));
    }

    /// One that leaves looks again and again whether it has; on standby one look is enough: nobody comes after it.
    fn drain_period(&self) -> Duration {
        if self.lifecycle.state() == State::Leaving { TICK } else { ANSWERS }
    }

    /// A connection that came to stand in the midst of a drain is moved with the last of the others.
    pub(super) fn drain_stands(&mut self, id: u64) {
        if let Some(drain) = self.drain {
            self.offer(id);
            self.wake(MOVES.saturating_sub(self.drained_for(drain)), Due::Drained(drain.number, id));
        }
    }

    /// One that leaves gives its connections away where it can; what it can't give it moves when their turn comes.
    fn offer(&mut self, id: u64) {
        if self.lifecycle.state() == State::Leaving {
            self.ledger.order(id, Order::Give);
        }
    }

    /// Whether a newcomer is still served.
    pub(super) fn takes_newcomers(&self) -> bool {
        self.drain.is_none_or(|drain| self.drained_for(drain) < NEWCOMERS)
    }

    /// It is a client's turn to be moved, unless the drain has been taken back.
    pub(super) fn drained(&mut self, number: u64, id: u64) {
        if self.drain.is_some_and(|drain| drain.number == number) {
            self.order_move(id, "this balancer drains");
        }
    }

    pub(super) fn go_on_draining(&mut self, number: u64) {
        let Some(drain) = self.drain.filter(|drain| drain.number == number) else { return };
        if self.lifecycle.state() == State::Leaving {
            self.wake(TICK, Due::Drain(number));
        }
        if self.drained_for(drain) < ANSWERS {
            return;
        }
        for (id, place) in self.ledger.places() {
            if !matches!(place, Place::Standing(_)) {
                self.answer(id, Order::Failed);
            }
        }
    }

    fn drained_for(&self, drain: Drain) -> Duration {
        Duration::from_nanos(self.clock.now().saturating_sub(drain.since))
    }

    /// Whether the program has left all that it had, or has run out of time.
    pub(super) fn has_left(&self) -> bool {
        let Some(drain) = self.drain.filter(|_| self.lifecycle.state() == State::Leaving) else {
            return false;
        };
        let left_for = self.drained_for(drain);
        let is_empty = || {
            self.ledger.len() == 0
                && self.shown.openings() == 0
                && self.connections.load(Ordering::Relaxed) == 0
        };
        left_for >= LEAVE_MOST || left_for >= LEAVE_LEAST && is_empty()
    }
}

#[cfg(test)]
mod tests;
