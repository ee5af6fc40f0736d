//! The event loop of the thread that serves all transactions of a front.

use std::collections::HashMap;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crossbeam_channel::Receiver;
use tracing::error;

use super::transaction::{Phase, Transaction};
use super::{Admitted, Brought, Desk, Shared, attempt};
use crate::core::{Carrier, Counted, Order};
use crate::front::Front;
use crate::handover::Giver;
use crate::pass::PassError;
use crate::poller::Poller;
use crate::stages::relay::Side;

/// What is due without a side being ready is looked for this often.
const LOOK: Duration = Duration::from_millis(100);
/// Numbers of connections that the core never heard of begin below this one; two tokens are made of each number.
const LAST_UNBOOKED: u64 = u64::MAX / 2;

pub(super) struct Server<F: Front> {
    pub(super) shared: Shared<F>,
    pub(super) poller: Poller,
    inbox: Receiver<Brought<F>>,
    pub(super) desk: Arc<Desk<F>>,
    pub(super) open: HashMap<u64, Transaction<F>>,
    /// The latest number of a connection that the core never heard of. They count down, the core's count up.
    pub(super) unbooked: u64,
    /// The way to the process that takes this one's place, once it has been looked for.
    pub(super) giver: Option<Option<Giver>>,
    /// Connections that could not be given just now; each look tries them again.
    pub(super) ungiven: Vec<u64>,
}

impl<F: Front> Server<F> {
    /// A loop that serves what is brought to it.
    pub(super) fn new(
        shared: Shared<F>,
        poller: Poller,
        (inbox, desk): (Receiver<Brought<F>>, Desk<F>),
    ) -> Server<F> {
        let desk = Arc::new(desk);
        let (open, unbooked, giver, ungiven) = (HashMap::new(), LAST_UNBOOKED, None, Vec::new());
        Server {
            shared,
            poller,
            inbox,
            desk,
            open,
            unbooked,
            giver,
            ungiven,
        }
    }

    /// Serves for as long as the program runs.
    pub(super) fn run(mut self) {
        let mut looked = Instant::now();
        loop {
            let idle = if self.open.is_empty() {
                Duration::from_secs(1)
            } else {
                LOOK
            };
            for token in self.poller.wait(idle.saturating_sub(looked.elapsed())) {
                let side = if token % 2 == 0 {
                    Side::Client
                } else {
                    Side::Server
                };
                self.with(token / 2, |transaction, shared| {
                    transaction.ready(side, shared)
                });
            }
            while let Ok(brought) = self.inbox.try_recv() {
                // Guards against a fault in one connection's code that would end all of them.
                if catch_unwind(AssertUnwindSafe(|| self.take(brought))).is_err() {
                    error!(
                        part = self.shared.front.name(),
                        "what was brought to the connections panicked"
                    );
                }
            }
            if looked.elapsed() >= LOOK {
                looked = Instant::now();
                let all: Vec<u64> = self.open.keys().copied().collect();
                for id in all {
                    self.with(id, Transaction::look);
                }
                for id in std::mem::take(&mut self.ungiven) {
                    self.give(id);
                }
            }
        }
    }

    fn take(&mut self, brought: Brought<F>) {
        match brought {
            Brought::Admitted(admitted) => {
                let Admitted {
                    link,
                    opening,
                    greeting,
                    counted,
                } = *admitted;
                let id = self
                    .shared
                    .core
                    .open(opening, Arc::clone(&self.desk) as Arc<dyn Carrier>);
                self.enter(id, Some(greeting), (Phase::Waiting(link), None), counted);
            }
            Brought::Ordered(id, Order::Pass { to, times }) => {
                let lent = self
                    .open
                    .get_mut(&id)
                    .map(|transaction| transaction.lend(&self.poller, &to));
                let (link, greeting) = match lent {
                    Some(Ok(Some(lent))) => lent,
                    // Guards against a request that the core holds to be sent and nobody sends.
                    Some(Err(_)) => {
                        return self.with(id, |transaction, shared| transaction.panicked(shared));
                    }
                    // The client left, or has had its last word: the core hears of it.
                    Some(Ok(None)) | None => return,
                };
                if let Err(failed) =
                    attempt::start(&self.shared, &self.desk, (id, link, greeting), to, times)
                {
                    let (link, error) = *failed;
                    let error = PassError::NotConnected(error);
                    self.with(id, |transaction, shared| {
                        transaction.passed(link, Some(Err(error)), shared)
                    });
                }
            }
            Brought::Ordered(id, Order::Give) => self.give(id),
            Brought::Given(given, counted) => self.take_over(given, counted),
            Brought::Ordered(id, order) => {
                self.with(id, |transaction, shared| transaction.order(order, shared));
            }
            Brought::Passed(id, link, passed) => {
                self.with(id, |transaction, shared| {
                    transaction.passed(link, passed, shared)
                });
            }
        }
    }

    /// Serves one more transaction.
    pub(super) fn enter(
        &mut self,
        id: u64,
        greeting: Option<F::Greeting>,
        (phase, at): (Phase, Option<Arc<str>>),
        counted: Counted,
    ) {
        self.open
            .insert(id, Transaction::new(id, greeting, (phase, at), counted));
        self.with(id, |_, _| ());
    }

    /// Does something with a transaction, and watches what is wanted of it then.
    pub(super) fn with(&mut self, id: u64, act: impl FnOnce(&mut Transaction<F>, &Shared<F>)) {
        let Some(transaction) = self.open.get_mut(&id) else {
            return;
        };
        let shared = &self.shared;
        // Guards against a fault in one connection's code that would end all of them, or leave its client without
        // an answer.
        if catch_unwind(AssertUnwindSafe(|| act(transaction, shared))).is_err() {
            transaction.panicked(shared);
        }
        if transaction.watch(&self.poller).is_err() {
            transaction.panicked(shared);
        }
        if transaction.is_over() {
            self.open.remove(&id);
        }
    }
}
