//! Admit: a transaction is booked and goes on to the module, or back to the application server that held it.

use std::sync::Arc;

use beaconflow_policy as policy;
use tracing::debug;

use crate::clock::nanos;

use super::{Carrier, Core, Due, HELD_PATIENCE, HELD_RETRY, Opening, Order, PassTimes};

impl Core {
    /// Takes a transaction in. One that stood before the start goes to its application server without a
    /// decision; every other one is the module's.
    pub(super) fn admit(&mut self, id: u64, opening: Opening, orders: Arc<dyn Carrier>) {
        let held = opening.held_by.is_some();
        let now = self.now_ms();
        let pin = self
            .guarded(|core| core.farm.pin(opening.group, opening.tenant, now))
            .flatten();
        let tie = if held || pin.is_some() {
            None
        } else {
            self.led(id, &opening)
        };
        let give_up_at = opening.taken_at.saturating_add(nanos(opening.patience));
        let entry = self.gate.entry(id, &opening, give_up_at, self.clock.now());
        if !held {
            self.gate.asked(self.clock.now(), &opening, &entry);
        }
        debug!(
            part = self.name,
            transaction = id,
            key = opening.key,
            group = opening.group,
            class = opening.class,
            load = opening.load,
            again = opening.again,
            held_by = opening.held_by.as_deref(),
            patience_ms = opening.patience.as_millis(),
            "opened"
        );
        let arrival = self.ledger.open(id, opening, orders, (pin, tie), entry);
        if !self.takes_newcomers() {
            // Guards against newcomers placed through a program that is about to move them again.
            self.answer(id, Order::Unavailable(None));
        } else if held {
            self.reopen(id);
        } else if !self.waits_its_turn(id) {
            self.decide(policy::Event::ConnectRequested(arrival));
        }
    }

    /// Books a connection that stands already. One at a server that this program has not heard of is moved.
    pub(super) fn adopt(
        &mut self,
        id: u64,
        opening: Opening,
        server: &str,
        orders: Arc<dyn Carrier>,
    ) {
        let entry = self
            .gate
            .entry(id, &opening, opening.taken_at, self.clock.now());
        self.ledger.open(id, opening, orders, (None, None), entry);
        let Some((server, _)) = self.farm.by_name(server) else {
            self.order_move(id, "its server is not known here");
            return drop(self.ledger.close(id));
        };
        if let Some(request) = self.ledger.adopt(id, server) {
            self.decide(policy::Event::ConnectionAdopted { request, server });
            self.witness_stands(id, server);
            self.drain_stands(id);
        }
    }

    /// Sends a connection that stood before the start to its application server.
    pub(super) fn reopen(&mut self, id: u64) {
        let Some(transaction) = self.ledger.get(id) else {
            return;
        };
        let now = self.clock.now();
        if now >= transaction.give_up_at {
            return self.answer(id, Order::Failed);
        }
        // Guards against one pass without an answer that would take up all of a patience without an end.
        let until = self.clock.instant(
            transaction
                .give_up_at
                .min(now.saturating_add(nanos(HELD_PATIENCE))),
        );
        let times = PassTimes {
            begin_by: until,
            until,
        };
        let name = transaction.opening.held_by.as_deref().unwrap_or_default();
        match self.farm.by_name(name) {
            Some((server, to)) => {
                self.ledger.pass(id, server, Order::Pass { to, times }, now);
            }
            None => self.wake(HELD_RETRY, Due::Held(id)),
        }
    }
}
