//! A core that nobody runs, for tests: its events are handed over one by one.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use beaconflow_overrides::Set;
use beaconflow_policy::Nanos;

use super::handle::Inbox;
use super::lifecycle::Word;
use super::start::build;
use super::{Carrier, Core, Handle, Opening, Order, Start};
use crate::clock::Clock;
use crate::farm::List;

const SETTINGS: &str = r#"{"discovery": "automatic",
    "lanes": [{"name": "chat", "on-time-ns": 300000000, "hard-limit-ns": 1800000000,
               "effect": "retryable", "value": 1.0}],
    "projects": [{"name": "acme", "share": 0.58}, {"name": "bright", "share": 0.42}],
    "policy-limits": {"max-attempts": 4, "retry-after": true, "max-retry-after-ns": 2000000000},
    "rules": {"cold-share": 0.2, "cold-ns": 20000000000, "tip-multiple": 3.0, "fall-ns": 1500000000}}"#;

pub(super) fn list(text: &str) -> List {
    let rows = format!(r#"{{"generation":1,"reset":true,"instances":[{text}]}}"#);
    serde_json::from_str(&rows).expect("a list")
}

pub(super) fn row(name: &str) -> String {
    format!(r#"{{"instanceId":"{name}","hostPort":"127.0.0.1:9","lifecycle":"SERVING"}}"#)
}

/// A core with one server and these overrides.
pub(super) fn core(clock: Clock, overrides: Set) -> Core {
    told_core(clock, overrides).1
}

/// The same, with the way to it and what it hears.
pub(super) fn told_core(clock: Clock, overrides: Set) -> (Handle, Core, Inbox) {
    let setup = serde_json::from_str(SETTINGS).expect("settings");
    let (known, watch) = (list(&row("s0")), crossbeam_channel::unbounded().0);
    let start = Start {
        name: "core",
        setup,
        seed: 7,
        clock,
        known,
        watch,
        asker: None,
        overrides,
        door: Default::default(),
        fleet: None,
    };
    build(start).expect("sound settings")
}

/// Keeps the orders of all transactions.
#[derive(Debug, Default)]
pub(super) struct Orders(Mutex<Vec<(u64, Order)>>);

impl Carrier for Orders {
    fn carry(&self, id: u64, order: Order) {
        self.0.lock().expect("sound").push((id, order));
    }
}

impl Orders {
    /// How often a client was told to move.
    pub(super) fn moves(&self, id: u64) -> usize {
        let orders = self.0.lock().expect("sound");
        orders
            .iter()
            .filter(|(of, order)| *of == id && matches!(order, Order::Move))
            .count()
    }

    /// All of them, in words that are the same in each run.
    pub(super) fn words(&self) -> String {
        let orders = self.0.lock().expect("sound");
        let word = |order: &Order| match order {
            Order::Pass { to, .. } => format!("Pass to {}", to.name),
            other => format!("{other:?}"),
        };
        orders
            .iter()
            .map(|(id, order)| format!("{id} {}\n", word(order)))
            .collect()
    }

    /// How many passes a transaction was ordered, and how many final answers.
    pub(super) fn of(&self, id: u64) -> (usize, usize) {
        let orders = self.0.lock().expect("sound");
        let own = orders.iter().filter(|(of, _)| *of == id);
        own.fold((0, 0), |(passes, answers), (_, order)| match order {
            Order::Pass { .. } => (passes + 1, answers),
            Order::Unavailable(_) | Order::Failed | Order::GiveUp => (passes, answers + 1),
            Order::Move | Order::Give => (passes, answers),
        })
    }
}

/// A client of an account opens.
pub(super) fn opens(
    core: &mut Core,
    orders: &Arc<Orders>,
    id: u64,
    account: &str,
    patience: Duration,
) {
    let opening = opening(id, account, patience, core.clock.now());
    core.admit(id, opening, Arc::<Orders>::clone(orders));
}

/// What such a client asks for.
pub(super) fn opening(id: u64, account: &str, patience: Duration, taken_at: Nanos) -> Opening {
    Opening {
        class: 0,
        key: Some(id),
        group: None,
        tenant: None,
        account: Some(account.into()),
        share: None,
        again: false,
        bytes: 40,
        load: None,
        taken_at,
        patience,
        held_by: None,
    }
}

impl Core {
    /// Begins a drain whose last answers are due at once, and has them given.
    pub(super) fn end_drain_now(&mut self) {
        for word in [Word::Listens(true), Word::Knows, Word::Leave] {
            self.follow_word(word).expect("no order of an operator's");
        }
        self.answer_all_that_is_on_its_way();
    }
}
