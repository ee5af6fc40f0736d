//! The chain that transactions pass, from their admission to their end.
//!
//! One thread serves all transactions of a front; only a proxy pass has a thread of its own for as long as it lasts.
//! A thread for each connection was measured to be too dear: where a balancer has a fifth of a core, the platform
//! stops and wakes the whole process, and to do so to 370 threads took 0.18 cores, to 170 took 0.015.

mod attempt;
mod event_loop;
mod handing_over;
mod transaction;

use std::fmt;
use std::io;
use std::sync::Arc;

use crossbeam_channel::{Sender, unbounded};

use crate::core::{Carrier, Counted, Handle, Opening, Order};
use crate::front::{Front, Word};
use crate::handover::{Given, Place};
use crate::pass::PassError;
use crate::poller::{Bell, Poller};
use crate::stages::relay::Link;
use crate::stages::send::Passed;

use event_loop::Server;

/// A client that has been admitted.
pub struct Admitted<F: Front> {
    /// Its connection, and what it sent beyond its opening.
    pub link: Link,
    /// What it asks for.
    pub opening: Opening,
    /// What is said for it.
    pub greeting: F::Greeting,
    /// Its place among the connections.
    pub counted: Counted,
}

/// What is brought to the thread that serves transactions.
enum Brought<F: Front> {
    Admitted(Box<Admitted<F>>),
    Ordered(u64, Order),
    /// Another process gives this connection.
    Given(Given, Counted),
    /// A pass has ended; nothing if it panicked.
    Passed(u64, Link, Option<Result<Passed, PassError>>),
}

/// The way to the thread that serves a front's transactions.
pub struct Desk<F: Front> {
    brought: Sender<Brought<F>>,
    bell: Bell,
}

impl<F: Front> Clone for Desk<F> {
    fn clone(&self) -> Desk<F> {
        Desk {
            brought: self.brought.clone(),
            bell: self.bell.clone(),
        }
    }
}

impl<F: Front> fmt::Debug for Desk<F> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Desk")
    }
}

impl<F: Front> Desk<F> {
    fn bring(&self, what: Brought<F>) {
        // Without that thread the program is about to end.
        let _ = self.brought.send(what);
        self.bell.ring();
    }

    /// Brings a connection that another process gives.
    pub fn take_over(&self, given: Given, counted: Counted) {
        self.bring(Brought::Given(given, counted));
    }

    /// Brings an admitted client.
    pub fn admit(&self, admitted: Admitted<F>) {
        self.bring(Brought::Admitted(Box::new(admitted)));
    }
}

impl<F: Front> Carrier for Desk<F> {
    fn carry(&self, id: u64, order: Order) {
        self.bring(Brought::Ordered(id, order));
    }
}

/// What all transactions of a front share.
struct Shared<F: Front> {
    front: Arc<F>,
    core: Handle,
    /// The words of a move.
    moving: Vec<u8>,
    /// Where this process and the one that takes its place meet.
    place: Option<Place>,
}

/// Serves a front's transactions on a thread of its own.
pub fn serve<F: Front>(front: &Arc<F>, core: &Handle, place: Option<Place>) -> io::Result<Desk<F>> {
    let poller = Poller::new()?;
    let (brought, inbox) = unbounded();
    let desk = Desk {
        brought,
        bell: poller.bell(),
    };
    let shared = Shared {
        front: Arc::clone(front),
        core: core.clone(),
        moving: front.say(Word::Move),
        place,
    };
    let server = Server::new(shared, poller, (inbox, desk.clone()));
    std::thread::Builder::new()
        .name("transactions".into())
        .spawn(move || server.run())?;
    Ok(desk)
}

#[cfg(test)]
mod tests;
