//! Route: the module is told what happens, and what it decides becomes orders.

use std::cmp::Reverse;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::time::Duration;

use beaconflow_admission::Miss;
use beaconflow_policy::Balancer;
use beaconflow_policy::{self as policy, Action, Nanos};
use tracing::{debug, error, info};

use super::ledger::{Place, Transaction};
use super::{Core, Due, Order, PassTimes, ties};

impl Core {
    /// Hands an event to the module, carries out what it decides, and gives turns to those who wait.
    pub(super) fn decide(&mut self, event: policy::Event) {
        self.handle(event);
        self.give_turns();
    }

    /// Hands an event to the module and carries out what it decides.
    pub(super) fn handle(&mut self, event: policy::Event) {
        let now = self.clock.now();
        let mut actions = std::mem::take(&mut self.actions);
        let (balancer, out) = (&mut self.balancer, &mut actions);
        let handled = catch_unwind(AssertUnwindSafe(|| balancer.handle(now, event, out)));
        if handled.is_err() {
            actions.clear();
            self.start_anew();
        }
        for action in actions.drain(..) {
            self.carry_out(now, action);
        }
        self.actions = actions;
    }

    /// Carries out what the module decided at that moment.
    fn carry_out(&mut self, decided_at: Nanos, action: Action) {
        match action {
            Action::StartAttempt {
                request,
                server,
                begin_within,
                timeout,
            } => match self.farm.get(server) {
                Some(to) => {
                    let within = Duration::from_nanos(timeout);
                    debug!(part = self.name, transaction = request.0, server = %to.name, ?within, "pass");
                    let moment = |span| self.clock.instant(decided_at.saturating_add(span));
                    let times = PassTimes {
                        begin_by: moment(begin_within),
                        until: moment(timeout),
                    };
                    let (now, order) = (self.clock.now(), Order::Pass { to, times });
                    self.witness_pass(server, now);
                    if let Some((entry, waited)) = self.ledger.pass(request.0, server, order, now) {
                        self.gate.admitted(now, &entry, waited);
                    }
                }
                None => self.give_up_on(request.0),
            },
            Action::Reject {
                request,
                retry_after,
            } => {
                self.answer(
                    request.0,
                    Order::Unavailable(retry_after.map(Duration::from_nanos)),
                );
            }
            Action::Fail(request) => self.answer(request.0, Order::Failed),
            Action::Migrate(request, why) => {
                self.untie(request.0, ties::moved_for(why));
                self.order_move(request.0, moved_for(why));
            }
            Action::Enqueue(request) => {
                if let Some(entry) = self
                    .ledger
                    .get(request.0)
                    .map(|transaction| transaction.entry)
                {
                    self.gate.wait(entry);
                }
            }
            Action::SetTimer { after, timer } => {
                self.wake(Duration::from_nanos(after), Due::Module(timer))
            }
            Action::ProbeServer(server) => {
                if let (Some(asker), Some(to)) = (&self.asker, self.farm.get(server)) {
                    asker.ask(server, to);
                }
            }
            Action::WatchServerList => self.ask_discovery(),
            Action::LogOverload(text) => {
                info!(part = self.name, says = %text, "word of the module")
            }
        }
    }

    pub(super) fn answer(&mut self, id: u64, order: Order) {
        debug!(part = self.name, transaction = id, answer = ?order, "last word");
        match order {
            Order::Unavailable(_) => self.ledger.counts.unavailable += 1,
            _ => self.ledger.counts.failed += 1,
        }
        self.ledger.order(id, order);
        if let Some(transaction) = self.ledger.close(id) {
            self.missed(&transaction, None);
        }
    }

    /// Gives the final answer to one that the module does not decide on any more.
    pub(super) fn give_up_on(&mut self, id: u64) {
        if let Some(order) = self.ledger.get(id).map(Transaction::last_word) {
            self.answer(id, order);
        }
    }

    /// A transaction is over and waits no more; if it never had an attempt, that is counted.
    pub(super) fn missed(&mut self, transaction: &Transaction, how: Option<Miss>) {
        self.gate.leave(transaction.entry.id);
        if transaction.never_passed() {
            let late = transaction.late || self.clock.now() >= transaction.give_up_at;
            let how = how.unwrap_or(if late { Miss::GivenUp } else { Miss::Refused });
            self.gate.missed(&transaction.entry, how);
        }
    }

    /// Tells a client to move, and remembers it for when it comes again.
    pub(super) fn order_move(&mut self, id: u64, why: &'static str) {
        debug!(part = self.name, transaction = id, why, "told to move");
        self.ledger.order(id, Order::Move);
        if let Some(key) = self
            .ledger
            .get(id)
            .and_then(|transaction| transaction.opening.key)
        {
            self.gate.told_to_move(self.clock.now(), key);
        }
    }

    /// Guards against a module that panicked and left its books half written: a new one takes over what stands,
    /// and what was on its way gets its final answer.
    pub(super) fn start_anew(&mut self) {
        error!(part = self.name, "module panicked; a new one takes over");
        self.seed = self.seed.wrapping_add(1);
        let Ok(balancer) = Balancer::new(self.settings.clone(), self.seed) else {
            return;
        };
        self.balancer = balancer;
        self.timers
            .retain(|Reverse((_, _, due))| !matches!(due, Due::Module(_)));
        self.decide(policy::Event::ServerList {
            update: policy::ListUpdate::Snapshot,
            entries: self.farm.entries(),
        });
        // Where lists are pushed the module speaks up after a failure only. Guards against a watch that waits for ever
        // to be asked for: the call that was due went with the old module. A watch that stands feels nothing of it.
        if self.settings.discovery == policy::DiscoveryMode::Pushed {
            self.ask_discovery();
        }
        for (id, place) in self.ledger.places() {
            match place {
                Place::Standing(server) => {
                    let Some(request) = self.ledger.restart(id) else {
                        continue;
                    };
                    self.decide(policy::Event::ConnectionAdopted { request, server });
                }
                Place::Held(_) => {}
                Place::Waiting | Place::Out(_) => self.give_up_on(id),
            }
        }
    }
}

/// The module's reason to move a client, in the words of the log.
fn moved_for(why: policy::MigrationReason) -> &'static str {
    match why {
        policy::MigrationReason::ServerLeaving => "its server leaves",
        policy::MigrationReason::SlowMessages => "messages at its server are late",
        policy::MigrationReason::Rebalancing => "its server holds too much",
        policy::MigrationReason::SlowStart => "a cold server has room",
    }
}

#[cfg(test)]
mod tests;
