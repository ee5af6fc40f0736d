//! Drains: on standby and on leaving all clients are moved, spread over a while, and what is on its way is served or
//! finally answered. On standby the program stays and may be told to take clients again, half way too.

mod spans;

use std::sync::atomic::Ordering;
use std::time::Duration;

use beaconflow::api::Nanos;
use tracing::info;

use spans::Spans;

use super::ledger::Place;
use super::lifecycle::{Refused, State, Word};
use super::{Core, Due, Order};

/// The moves of a drain are spread over this, and less where deadlines are short ([`Spans`]). Guards against a herd of clients that all come again at once and
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
            self.wake(self.spans().moves * at / count, Due::Drained(self.drains, id));
        }
        self.wake(self.drain_period(), Due::Drain(self.drains));
    }

    /// One that leaves looks again and again whether it has; on standby one look is enough: nobody comes after it.
    fn drain_period(&self) -> Duration {
        if self.lifecycle.state() == State::Leaving { TICK } else { ANSWERS }
    }

    /// How long what lasts, as the settings in force have it.
    fn spans(&self) -> Spans {
        if self.lifecycle.state() != State::Leaving {
            return Spans::UNBOUNDED;
        }
        let longest = self.settings.classes.iter().map(|class| class.deadline).max();
        Spans::within(Duration::from_nanos(longest.unwrap_or(0)))
    }

    /// A connection that came to stand in the midst of a drain is moved with the last of the others.
    pub(super) fn drain_stands(&mut self, id: u64) {
        if let Some(drain) = self.drain {
            self.offer(id);
            let left = self.spans().moves.saturating_sub(self.drained_for(drain));
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
        self.drain.is_none_or(|drain| self.drained_for(drain) < self.spans().newcomers)
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
        if self.drained_for(drain) < self.spans().answers {
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
        left_for >= self.spans().most || left_for >= self.spans().least && is_empty()
    }
}

#[cfg(test)]
mod tests {
    use std::sync::Arc;

    use beaconflow_overrides::Set;

    use super::super::testing::{self, Orders};
    use super::*;
    use crate::clock::Clock;

    /// A core with so many standing connections, numbered from 0.
    fn standing(count: u64) -> (Core, Arc<Orders>) {
        let mut core = testing::core(Clock::start(), Set::default());
        let orders = Arc::new(Orders::default());
        for word in [Word::Listens(true), Word::Knows] {
            core.follow_word(word).expect("no order of an operator's");
        }
        for id in 0..count {
            testing::opens(&mut core, &orders, id, "acme", Duration::from_secs(1));
            core.established(id);
        }
        (core, orders)
    }

    #[test]
    fn clients_whose_turn_has_not_come_stay_when_a_drain_is_undone() {
        let (mut core, orders) = standing(3);
        assert_eq!(core.follow_word(Word::Standby), Ok(State::Standby));
        core.drained(1, 0);
        assert_eq!(core.follow_word(Word::Active), Ok(State::Serving));
        core.drained(1, 1);
        assert_eq!([0, 1, 2].map(|id| orders.moves(id)), [1, 0, 0]);
        // The next drain leaves those alone that the first one moved.
        assert_eq!(core.follow_word(Word::Standby), Ok(State::Standby));
        assert_eq!(core.timers.iter().filter(|timer| matches!(timer.0.2, Due::Drained(2, _))).count(), 2);
        core.drained(2, 1);
        assert_eq!(orders.moves(1), 1);
        assert!(!core.has_left(), "the program stays");
        assert_eq!(core.follow_word(Word::Leave), Ok(State::Leaving));
        assert_eq!(core.follow_word(Word::Active), Err(Refused(State::Leaving)));
    }

    #[test]
    fn one_that_stands_only_in_the_drain_is_moved_with_the_last() {
        let (mut core, orders) = standing(0);
        core.follow_word(Word::Standby).expect("it serves");
        assert!(core.takes_newcomers());
        testing::opens(&mut core, &orders, 7, "acme", Duration::from_secs(1));
        assert_eq!(orders.of(7), (1, 0), "a newcomer is served");
        core.established(7);
        assert!(core.timers.iter().any(|timer| timer.0.2 == Due::Drained(1, 7)));
    }

    #[test]
    fn the_program_does_not_leave_a_client_that_has_not_been_heard_out() {
        let (mut core, _) = standing(0);
        core.follow_word(Word::Leave).expect("always");
        let since = |core: &Core, ago| core.clock.now() - crate::clock::nanos(ago);
        core.shown.has_openings(1);
        core.drain = Some(Drain { number: 1, since: since(&core, LEAVE_LEAST) });
        assert!(!core.has_left());
        core.shown.has_openings(0);
        assert!(core.has_left());
        core.shown.has_openings(1);
        core.drain = Some(Drain { number: 1, since: since(&core, LEAVE_MOST) });
        assert!(core.has_left(), "it may be killed any time now");
    }

    #[test]
    fn whoever_waits_at_the_door_or_is_being_opened_gets_one_final_answer_in_a_drain() {
        let (mut core, orders) = standing(0);
        // More than are let in at once: the rest wait at the door.
        for id in 0..20 {
            testing::opens(&mut core, &orders, id, "acme", Duration::from_secs(60));
        }
        let waiting = (0..20).filter(|id| orders.of(*id) == (0, 0)).count();
        assert!(waiting > 0 && waiting < 20, "{waiting} wait");
        core.follow_word(Word::Standby).expect("it serves");
        core.go_on_draining(1);
        assert!((0..20).all(|id| orders.of(id).1 == 0), "not before their time");
        let since = core.clock.now() - crate::clock::nanos(ANSWERS);
        core.drain = Some(Drain { number: 1, since });
        core.go_on_draining(1);
        core.go_on_draining(1);
        assert!((0..20).all(|id| orders.of(id).1 == 1));
        assert_eq!((core.ledger.len(), core.gate.waiting()), (0, 0));
    }
}
