//! Drains: on standby and on leaving all clients are moved, spread over a while, and what is on its way is served or
//! finally answered. On standby the program stays and may be told to take clients again, half way too.

use std::sync::atomic::Ordering;
use std::time::Duration;

use beaconflow_policy::Nanos;
use tracing::info;

use super::ledger::Place;
use super::lifecycle::{Refused, State, Word};
use super::{Core, Due, Order};

/// Deadlines longer than this count as this long for the moment at which a program that leaves may be killed.
const LONGEST_DEADLINE: Duration = Duration::from_secs(3);
/// A program that leaves may be killed so long after the longest deadline, both counted from SIGTERM.
const KILL_AFTER_DEADLINE: Duration = Duration::from_millis(700);
/// It is gone so long before: the last answers are still on their way then, and a machine may be slow.
const LEFT_BEFORE_KILL: Duration = Duration::from_millis(200);
/// The last move is ordered, and transactions still open get their final answer, so long before the program is gone.
/// A client in the midst of a message is moved up to 0.7 s after the order.
const MOVED_BEFORE_LEFT: Duration = Duration::from_millis(800);
/// Clients that have not been heard out are let go so long before the program is gone: each is left its last answer.
const HEARD_BEFORE_LEFT: Duration = Duration::from_millis(400);
/// Newcomers are served for this part of the span in which clients are moved, so that there is time left to move them.
const NEWCOMERS_PART: f64 = 5.0 / 9.0;
/// They are served for so long at least: a front goes on sending them for 0.2 to 0.4 s.
const NEWCOMERS_LEAST: Duration = Duration::from_millis(500);
/// A program that leaves stays for so long, for the newcomers.
const LEAVE_LEAST: Duration = Duration::from_millis(700);
/// Period of the core's own look at what it leaves behind.
const TICK: Duration = Duration::from_millis(20);

/// A drain that is on.
#[derive(Clone, Copy, Debug)]
pub(super) struct Drain {
    /// Which one; what was set for an earlier one is void.
    number: u64,
    since: Nanos,
    spans: Spans,
}

/// How a drain's time is divided, each span counted from its beginning.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Spans {
    /// Newcomers are served for so long, and moved with the others.
    newcomers: Duration,
    /// The moves are spread over this, and transactions still open after it get their final answer. Guards against a
    /// herd of clients that all come again at once and overrun the application servers' set-ups: over 1.8 s they had
    /// first attempts wait for 1.5 s.
    moves: Duration,
    /// Clients are heard out for so long.
    heard: Duration,
    /// A program that leaves is gone by then.
    left: Duration,
}

impl Spans {
    /// The spans of a site with that longest deadline: the program may be killed soon after it.
    fn of(longest_deadline: Duration) -> Spans {
        let left = longest_deadline.min(LONGEST_DEADLINE) + KILL_AFTER_DEADLINE - LEFT_BEFORE_KILL;
        let moves = left.saturating_sub(MOVED_BEFORE_LEFT).max(left / 2);
        let newcomers = moves.mul_f64(NEWCOMERS_PART).max(NEWCOMERS_LEAST);
        let heard = left.saturating_sub(HEARD_BEFORE_LEFT).max(left / 2);
        Spans {
            newcomers,
            moves,
            heard,
            left,
        }
    }
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
        let spans = self.drain_spans();
        self.drain = Some(Drain {
            number: self.drains,
            since: self.clock.now(),
            spans,
        });
        let standing: Vec<u64> = self.ledger.movable().map(|(id, _)| id).collect();
        let count = u32::try_from(standing.len().max(1)).unwrap_or(u32::MAX);
        for (at, id) in (0..).zip(standing) {
            self.offer(id);
            self.wake(spans.moves * at / count, Due::Drained(self.drains, id));
        }
        let looks_after = if self.lifecycle.state() == State::Leaving {
            TICK
        } else {
            spans.moves
        };
        self.wake(looks_after, Due::Drain(self.drains));
    }

    /// Whoever stands by is not killed, and takes its time whatever the deadlines are.
    fn drain_spans(&self) -> Spans {
        if self.lifecycle.state() != State::Leaving {
            return Spans::of(LONGEST_DEADLINE);
        }
        let longest = self
            .settings
            .classes
            .iter()
            .map(|class| class.deadline)
            .max();
        Spans::of(Duration::from_nanos(longest.unwrap_or(0)))
    }

    /// A connection that came to stand in the midst of a drain is moved with the last of the others.
    pub(super) fn drain_stands(&mut self, id: u64) {
        if let Some(drain) = self.drain {
            self.offer(id);
            let left = drain.spans.moves.saturating_sub(self.drained_for(drain));
            self.wake(left, Due::Drained(drain.number, id));
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
        self.drain
            .is_none_or(|drain| self.drained_for(drain) < drain.spans.newcomers)
    }

    /// It is a client's turn to be moved, unless the drain has been taken back.
    pub(super) fn drained(&mut self, number: u64, id: u64) {
        if self.drain.is_some_and(|drain| drain.number == number) {
            self.order_move(id, "this balancer drains");
        }
    }

    pub(super) fn go_on_draining(&mut self, number: u64) {
        let Some(drain) = self.drain.filter(|drain| drain.number == number) else {
            return;
        };
        if self.lifecycle.state() == State::Leaving {
            // One that leaves looks again and again whether it has; on standby one look is enough: nobody comes after it.
            self.wake(TICK, Due::Drain(number));
            if self.drained_for(drain) >= drain.spans.heard {
                self.shown.hears_nobody();
            }
        }
        if self.drained_for(drain) >= drain.spans.moves {
            self.answer_all_that_is_on_its_way();
        }
    }

    /// Gives the final answer to whoever waits or is being sent.
    pub(super) fn answer_all_that_is_on_its_way(&mut self) {
        for (id, place) in self.ledger.places() {
            if !matches!(place, Place::Standing(_)) {
                self.give_up_on(id);
            }
        }
    }

    fn drained_for(&self, drain: Drain) -> Duration {
        Duration::from_nanos(self.clock.now().saturating_sub(drain.since))
    }

    /// Whether the program has left all that it had, or has run out of time.
    pub(super) fn has_left(&self) -> bool {
        let Some(drain) = self
            .drain
            .filter(|_| self.lifecycle.state() == State::Leaving)
        else {
            return false;
        };
        let left_for = self.drained_for(drain);
        let is_empty = || {
            self.ledger.len() == 0
                && self.shown.openings() == 0
                && self.connections.load(Ordering::Relaxed) == 0
        };
        left_for >= drain.spans.left || left_for >= LEAVE_LEAST && is_empty()
    }
}

#[cfg(test)]
mod tests;
