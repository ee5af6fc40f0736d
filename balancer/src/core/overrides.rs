//! Overrides as the core follows them: what the module is told of the farm, the pins of arrivals, and moves.
//!
//! What holds when is the set's word (`beaconflow-overrides`); here it meets the list, the timers and the books.

use std::sync::Arc;
use std::time::Duration;

use beaconflow::api::{self, RequestId};
use beaconflow_overrides::{Id, Millis, Override, Pace};
use crossbeam_channel::Sender;
use tracing::{info, warn};

use super::farm::Mark;
use super::{Core, Due, Order};

/// Moves are looked for no more often than this. Guards against a core that is busy with nothing else.
const LEAST_WAIT: Duration = Duration::from_millis(20);
const LONGEST_WAIT: Duration = Duration::from_millis(500);

/// A change of the overrides.
#[derive(Clone, Debug)]
pub enum OverrideChange {
    /// There is one, or it has changed.
    Put(Box<Override>),
    /// What is left of them is no longer felt.
    Forget(Vec<Id>),
}

/// The module has been told of a change.
#[derive(Debug)]
pub struct InEffect {
    /// Marks of the servers that were taken out: no first byte goes to one once it is quiet.
    pub out: Vec<Arc<Mark>>,
}

impl Core {
    pub(super) fn now_ms(&self) -> Millis {
        self.clock.now() / 1_000_000
    }

    /// Takes changes over. Whoever asked hears of it once the module has.
    pub(super) fn take_overrides(&mut self, changes: Vec<OverrideChange>, answer: Option<Sender<InEffect>>) {
        for change in changes {
            match change {
                OverrideChange::Put(one) => self.farm.overrides.put(*one),
                OverrideChange::Forget(ids) => {
                    ids.into_iter().for_each(|id| drop(self.farm.overrides.forget(id)));
                }
            }
        }
        self.reconsider();
        if let Some(answer) = answer {
            // Nobody waits any more if this fails.
            let _ = answer.try_send(InEffect { out: self.farm.marks_of_out() });
        }
    }

    pub(super) fn overrides_are_due(&mut self) {
        if self.overrides_due.is_some_and(|due| due <= self.clock.now()) {
            self.overrides_due = None;
        }
        self.reconsider();
    }

    /// Tells the module what the overrides have made of the farm and of the transactions that wait.
    fn reconsider(&mut self) {
        let now = self.now_ms();
        let entries = self.farm.reconsider(now);
        if !entries.is_empty() {
            self.decide(api::Event::List { kind: api::ListKind::Changes, entries });
        }
        self.follow_overrides();
    }

    /// What follows from overrides and list alike: pins, moves, a judgement, and when to look again.
    pub(super) fn follow_overrides(&mut self) {
        let now = self.now_ms();
        let farm = &self.farm;
        for (id, pin) in self.ledger.repin(|opening| farm.pin(opening.group, opening.tenant, now)) {
            self.decide(api::Event::Pinned { request: RequestId(id), pin });
        }
        let moving = self.farm.moving(now);
        self.moves.retain(|server, (id, pace)| moving.get(server) == Some(&(*id, pace.rate())));
        let idle = self.moves.is_empty();
        for (server, (id, rate)) in moving {
            self.moves.entry(server).or_insert_with(|| (id, Pace::new(rate, now)));
        }
        if idle && !self.moves.is_empty() {
            self.wake(Duration::ZERO, Due::Moves);
        }
        let judgement = self.farm.judge(now);
        if judgement != self.judgement {
            if judgement.is_sound() {
                info!(part = self.name, "overrides leave a ready server everywhere again");
            } else {
                warn!(part = self.name, what = %judgement, "overrides leave too little");
            }
            self.judgement = judgement;
        }
        let next = self.farm.overrides.next_change(now).map(|at| at.saturating_mul(1_000_000));
        if let Some(next) = next
            && self.overrides_due.is_none_or(|due| next < due)
        {
            self.overrides_due = Some(next);
            self.wake(Duration::from_nanos(next.saturating_sub(self.clock.now())), Due::Overrides);
        }
    }

    /// Orders the moves that are due off servers that were taken out.
    pub(super) fn go_on_moving(&mut self) {
        if self.moves.is_empty() {
            return;
        }
        let now = self.now_ms();
        let mut wait = LONGEST_WAIT;
        for (server, (_, pace)) in &mut self.moves {
            let there: Vec<u64> = self.ledger.movable_at(*server).collect();
            for id in there.iter().take(pace.due(now, there.len())) {
                self.ledger.order(*id, Order::Move);
            }
            wait = wait.min(Duration::from_millis(pace.wait()));
        }
        self.wake(wait.max(LEAST_WAIT), Due::Moves);
    }
}
