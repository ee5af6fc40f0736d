//! The books: each open transaction with its orders' channel, and what has been counted.

use std::collections::BTreeMap;
use std::sync::Arc;

use beaconflow_policy::{
    AttemptOutcome, ClassId, ClientKey, ConnectRequest, GroupId, Nanos, Pin, RequestId, ServerId,
};

use beaconflow_admission::Entry;

use super::{Carrier, Opening, Order};
use crate::clock::nanos;

/// Where a transaction is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Place {
    /// No pass is out.
    Waiting,
    /// A pass is out.
    Out(ServerId),
    /// The same, to the application server that held the connection before the start.
    Held(ServerId),
    /// The connection stands.
    Standing(ServerId),
}

pub(super) struct Transaction {
    pub(super) opening: Opening,
    pub(super) give_up_at: Nanos,
    /// What the line at the door is told of it.
    pub(super) entry: Entry,
    /// Its time was up while it waited there.
    pub(super) late: bool,
    /// When its latest pass was made.
    passed_at: Nanos,
    orders: Arc<dyn Carrier>,
    place: Place,
    /// Passes so far, as the module counts them.
    passes: u32,
    /// A pass that has ended may have run.
    may_have_run: bool,
    /// Its client has been told to move, or is about to be.
    moving: bool,
    /// Where an operator wants it, or where it is led, as the module was last told.
    pin: Option<Pin>,
    /// Where it is led where no operator says anything.
    tie: Option<Pin>,
}

/// What ended.
pub(super) struct Ended {
    pub(super) attempt: u32,
    pub(super) server: ServerId,
    pub(super) stood: bool,
    pub(super) held: bool,
}

/// A pass that stands.
pub(super) struct Stands {
    /// Which pass, from 0.
    pub(super) attempt: u32,
    pub(super) server: ServerId,
    /// The server held the connection before the start.
    pub(super) held: bool,
    pub(super) class: usize,
    /// Since the pass was made.
    pub(super) took: Nanos,
}

/// What has been counted since the start.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    /// Transactions opened.
    pub opened: u64,
    /// Standing connections taken over from another process.
    pub adopted: u64,
    /// Connections that came to stand.
    pub served: u64,
    /// Unavailable answers given.
    pub unavailable: u64,
    /// Transactions failed.
    pub failed: u64,
    /// Clients that left before an answer.
    pub left: u64,
    /// Clients ordered to move.
    pub moved: u64,
    /// Transactions opened under an operator's pin.
    pub pinned: u64,
    /// Proxy passes made.
    pub passes: u64,
    /// How proxy passes and connections ended, in the order of [`Outcome`].
    pub ends: [u64; 8],
}

const END_NAMES: [&str; 8] = [
    "ok",
    "error",
    "full",
    "timed-out",
    "connect-failed",
    "reset",
    "cancelled",
    "not-sent",
];

impl Counts {
    /// The ends of passes and connections, by name.
    pub fn ends(&self) -> impl Iterator<Item = (&'static str, u64)> {
        END_NAMES.into_iter().zip(self.ends)
    }
}

/// All open transactions.
#[derive(Default)]
pub(super) struct Ledger {
    open: BTreeMap<u64, Transaction>,
    pub(super) counts: Counts,
}

impl Ledger {
    /// Books a transaction with an operator's pin, or with where it is led; gives what the module is told of it.
    pub(super) fn open(
        &mut self,
        id: u64,
        opening: Opening,
        orders: Arc<dyn Carrier>,
        (pin, tie): (Option<Pin>, Option<Pin>),
        entry: Entry,
    ) -> ConnectRequest {
        self.counts.opened += 1;
        self.counts.pinned += u64::from(pin.is_some());
        let give_up_at = opening.taken_at.saturating_add(nanos(opening.patience));
        let transaction = Transaction {
            opening,
            give_up_at,
            entry,
            late: false,
            passed_at: 0,
            orders,
            place: Place::Waiting,
            passes: 0,
            may_have_run: false,
            moving: false,
            pin: pin.or(tie),
            tie,
        };
        let arrival = transaction.arrival(id);
        self.open.insert(id, transaction);
        arrival
    }

    pub(super) fn get(&self, id: u64) -> Option<&Transaction> {
        self.open.get(&id)
    }

    /// What the module is told of a transaction.
    pub(super) fn arrival(&self, id: u64) -> Option<ConnectRequest> {
        self.open
            .get(&id)
            .map(|transaction| transaction.arrival(id))
    }

    pub(super) fn len(&self) -> usize {
        self.open.len()
    }

    /// Sends an order. A transaction that is gone has told of its end or is about to.
    pub(super) fn order(&mut self, id: u64, order: Order) {
        if let Some(transaction) = self.open.get_mut(&id) {
            if matches!(order, Order::Move) {
                self.counts.moved += 1;
                transaction.moving = true;
            }
            transaction.orders.carry(id, order);
        }
    }

    /// Makes a pass; the first one the module asks for gives what was told of it and how long it waited.
    pub(super) fn pass(
        &mut self,
        id: u64,
        server: ServerId,
        order: Order,
        now: Nanos,
    ) -> Option<(Entry, Nanos)> {
        let transaction = self.open.get_mut(&id)?;
        let first = (transaction.passes == 0 && transaction.opening.held_by.is_none()).then(|| {
            (
                transaction.entry,
                now.saturating_sub(transaction.opening.taken_at),
            )
        });
        transaction.passed_at = now;
        let held = transaction.opening.held_by.is_some();
        transaction.place = if held {
            Place::Held(server)
        } else {
            Place::Out(server)
        };
        transaction.passes += 1;
        self.counts.passes += 1;
        self.order(id, order);
        first
    }

    /// A transaction's time was up while it waited at the door.
    pub(super) fn late(&mut self, id: u64) {
        if let Some(transaction) = self.open.get_mut(&id) {
            transaction.late = true;
        }
    }

    /// The pass stands.
    pub(super) fn stands(&mut self, id: u64, now: Nanos) -> Option<Stands> {
        let transaction = self.open.get_mut(&id)?;
        let (server, held) = match transaction.place {
            Place::Out(server) => (server, false),
            Place::Held(server) => (server, true),
            Place::Waiting | Place::Standing(_) => return None,
        };
        transaction.place = Place::Standing(server);
        self.counts.served += 1;
        let took = now.saturating_sub(transaction.passed_at);
        Some(Stands {
            attempt: transaction.passes - 1,
            server,
            held,
            class: transaction.opening.class,
            took,
        })
    }

    /// The connection stands at that server from the outset.
    pub(super) fn adopt(&mut self, id: u64, server: ServerId) -> Option<ConnectRequest> {
        self.open.get_mut(&id)?.place = Place::Standing(server);
        self.counts.adopted += 1;
        self.restart(id)
    }

    /// Numbers the standing connection as the module does that takes it over.
    pub(super) fn restart(&mut self, id: u64) -> Option<ConnectRequest> {
        let transaction = self.open.get_mut(&id)?;
        transaction.passes = 1;
        Some(transaction.arrival(id))
    }

    /// What the admission queue knows of all open requests.
    pub(super) fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.open.values().map(|transaction| &transaction.entry)
    }

    /// Changes what the admission queue knows of all open requests.
    pub(super) fn rebook(&mut self, entry: impl Fn(&Opening, Entry) -> Entry) {
        for transaction in self.open.values_mut() {
            transaction.entry = entry(&transaction.opening, transaction.entry);
        }
    }

    /// The server that its pass is at, or its connection.
    pub(super) fn server_of(&self, id: u64) -> Option<ServerId> {
        match self.open.get(&id)?.place {
            Place::Waiting => None,
            Place::Out(server) | Place::Held(server) | Place::Standing(server) => Some(server),
        }
    }

    pub(super) fn standing(&self, id: u64) -> Option<(u32, ServerId)> {
        match self.open.get(&id)? {
            Transaction {
                place: Place::Standing(server),
                passes,
                ..
            } => Some((passes - 1, *server)),
            _ => None,
        }
    }

    pub(super) fn ended(&mut self, id: u64, outcome: AttemptOutcome) -> Option<Ended> {
        let transaction = self.open.get_mut(&id)?;
        let (server, stood, held) = match transaction.place {
            Place::Waiting => return None,
            Place::Out(server) => (server, false, false),
            Place::Held(server) => (server, false, true),
            Place::Standing(server) => (server, true, false),
        };
        transaction.place = Place::Waiting;
        transaction.may_have_run |= !outcome.proves_not_executed();
        self.counts.ends[outcome as usize] += 1;
        Some(Ended {
            attempt: transaction.passes - 1,
            server,
            stood,
            held,
        })
    }

    pub(super) fn close(&mut self, id: u64) -> Option<Transaction> {
        self.open.remove(&id)
    }

    pub(super) fn places(&self) -> Vec<(u64, Place)> {
        self.open
            .iter()
            .map(|(id, transaction)| (*id, transaction.place))
            .collect()
    }

    /// The connections that stand and have not been told to move, with their servers, the longest open first.
    pub(super) fn movable(&self) -> impl Iterator<Item = (u64, ServerId)> {
        self.open
            .iter()
            .filter_map(|(id, transaction)| match transaction.place {
                Place::Standing(server) if !transaction.moving => Some((*id, server)),
                _ => None,
            })
    }

    /// Those of them at one server.
    pub(super) fn movable_at(&self, at: ServerId) -> impl Iterator<Item = u64> {
        self.movable()
            .filter(move |(_, server)| *server == at)
            .map(|(id, _)| id)
    }

    /// Gives every transaction that does not stand the pin that it has now; names those for which it is another one.
    pub(super) fn repin(
        &mut self,
        pin: impl Fn(&Opening) -> Option<Pin>,
    ) -> Vec<(u64, Option<Pin>)> {
        let mut changed = Vec::new();
        for (id, transaction) in &mut self.open {
            if !matches!(transaction.place, Place::Waiting | Place::Out(_)) {
                continue;
            }
            let now = pin(&transaction.opening).or(transaction.tie);
            if transaction.pin != now {
                transaction.pin = now;
                changed.push((*id, now));
            }
        }
        changed
    }

    pub(super) fn standing_at(&self) -> BTreeMap<ServerId, usize> {
        let mut counts = BTreeMap::new();
        for transaction in self.open.values() {
            if let Place::Standing(server) = transaction.place {
                *counts.entry(server).or_insert(0) += 1;
            }
        }
        counts
    }
}

impl Transaction {
    /// It waits for the module and has had no pass.
    pub(super) fn never_passed(&self) -> bool {
        self.passes == 0 && self.opening.held_by.is_none()
    }

    /// The final answer to one that is given up on without a decision of the module's. What was never sent on is
    /// not failed: its client may try again without harm.
    pub(super) fn last_word(&self) -> Order {
        match self.place {
            Place::Waiting if !self.may_have_run => Order::Unavailable(None),
            Place::Out(_) if !self.may_have_run => Order::GiveUp,
            Place::Waiting | Place::Out(_) | Place::Held(_) | Place::Standing(_) => Order::Failed,
        }
    }

    fn arrival(&self, id: u64) -> ConnectRequest {
        ConnectRequest {
            request: RequestId(id),
            deadline_at: self.give_up_at,
            class: ClassId(self.opening.class),
            client_key: self.opening.key.map(ClientKey),
            group: self.opening.group.map(GroupId),
            is_reconnect: self.opening.again,
            expected_load: self.opening.load,
            pin: self.pin,
        }
    }
}
