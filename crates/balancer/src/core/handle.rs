//! The way to the core, for all other threads.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use crossbeam_channel::{Receiver, Sender, unbounded};

use super::lifecycle::Shown;
use super::{Carrier, DoorLook, Event, Figures, Look, Opening};
use crate::clock::Clock;
use crate::farm::News;

/// The way to the core.
#[derive(Clone)]
pub struct Handle {
    pub(super) told: Outbox,
    pub(super) next: Arc<AtomicU64>,
    /// Open connections, also those that have had their answer and linger.
    pub(super) connections: Arc<AtomicUsize>,
    pub(super) shown: Shown,
    pub(super) clock: Clock,
    pub(super) figures: Arc<Figures>,
}

/// The sending ends of what the core hears.
#[derive(Clone)]
pub(super) struct Outbox {
    events: Sender<Event>,
    farm: Sender<News>,
}

/// What the core hears: events in their order, and what is told of the farm, which goes ahead of them.
pub(super) struct Inbox {
    pub(super) events: Receiver<Event>,
    pub(super) farm: Receiver<News>,
}

/// Both ends.
pub(super) fn boxes() -> (Outbox, Inbox) {
    let ((events, heard), (farm, listed)) = (unbounded(), unbounded());
    (
        Outbox { events, farm },
        Inbox {
            events: heard,
            farm: listed,
        },
    )
}

/// Counts one connection for as long as it lives.
pub struct Counted(Arc<AtomicUsize>);

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Handle {
    /// Opens a transaction.
    pub fn open(&self, opening: Opening, orders: Arc<dyn Carrier>) -> u64 {
        let id = self.next.fetch_add(1, Ordering::Relaxed);
        self.tell(Event::Opened(id, opening, orders));
        id
    }

    /// Takes over a connection that stands.
    pub fn adopt(&self, opening: Opening, server: Arc<str>, orders: Arc<dyn Carrier>) -> u64 {
        let id = self.next.fetch_add(1, Ordering::Relaxed);
        self.tell(Event::Adopted(id, opening, server, orders));
        id
    }

    /// Tells the core. Once the core is gone, nothing is left to be told.
    pub fn tell(&self, event: Event) {
        let _ = self.told.events.send(event);
    }

    /// Tells the core what discovery says. It goes ahead of the events that were told before it.
    pub fn tell_of_servers(&self, news: News) {
        let _ = self.told.farm.send(news);
        self.tell(Event::ServersTold);
    }

    /// The clock of the program.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// A connection not up by then has failed.
    pub fn connect_timeout(&self) -> Duration {
        self.figures.connect_timeout()
    }

    /// A message that takes this long is news.
    pub fn slow(&self) -> Duration {
        self.figures.slow()
    }

    /// Counts a connection in, if there are not too many.
    pub fn count_in(&self, most: usize) -> Option<Counted> {
        let before = self.connections.fetch_add(1, Ordering::Relaxed);
        let counted = Counted(Arc::clone(&self.connections));
        (before < most).then_some(counted)
    }

    /// How many connections are open.
    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::Relaxed)
    }

    /// What the program is at, as the core shows it: nobody waits for it.
    pub fn shown(&self) -> &Shown {
        &self.shown
    }

    /// A look at the core; nothing if it does not answer.
    pub fn look(&self) -> Option<Look> {
        self.ask(Event::Look)
    }

    /// A look at the door; nothing if the core does not answer.
    pub fn look_at_door(&self) -> Option<DoorLook> {
        self.ask(Event::LookAtDoor)
    }

    fn ask<T>(&self, what: impl FnOnce(Sender<T>) -> Event) -> Option<T> {
        let (ask, answer) = crossbeam_channel::bounded(1);
        self.tell(what(ask));
        answer.recv_timeout(Duration::from_secs(1)).ok()
    }
}
