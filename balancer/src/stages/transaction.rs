//! The chain that one transaction passes, on a thread of its own.

use std::net::TcpStream;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, Sender, unbounded};

use crate::core::{Event, Handle, Order};
use crate::front::{Front, OpeningError, Word};
use crate::log::{self, Level};
use crate::net::{self, Intake, ReadError};
use crate::stages::relay::{self, Link, PumpEnd};
use crate::stages::send::{self, End, PassError, Passed};

/// A client whose opening was refused is read for so long.
const LAST_WORD: Duration = Duration::from_millis(200);

/// Takes a client's connection from its opening to its end.
pub fn run<F: Front>(front: &Arc<F>, client: TcpStream, core: &Handle) {
    if net::prepare(&client).is_err() {
        return;
    }
    let mut intake = Intake::new(front.most_early());
    let (opening, greeting) = match front.take_in(&client, &mut intake, core.clock().now()) {
        Ok(taken) => taken,
        // The front's check that a balancer lives ends without an opening, and without a word.
        Err(OpeningError::Gone(ReadError::Ended)) if intake.bytes().is_empty() => return,
        Err(OpeningError::Gone(why)) => {
            return log::line(Level::Warn, front.name(), format_args!("no opening: {why:?}"));
        }
        Err(OpeningError::Refused { answer, why }) => {
            log::line(Level::Warn, front.name(), format_args!("opening refused: {why}"));
            let _ = net::write_gathered(&client, &[&answer]);
            net::finish(&client);
            return net::drain(&client, LAST_WORD);
        }
    };
    let link = Arc::new(Link::new(&**front, client, intake.into_rest()));
    let (orders_in, orders) = unbounded();
    let id = core.open(opening, orders_in);
    let transaction = Transaction { front, link: &link, core, id, greeting: &greeting };
    // Guards against a fault in one connection's code that would leave its client without an answer.
    if catch_unwind(AssertUnwindSafe(|| transaction.carry(&orders))).is_err() {
        log::line(Level::Error, front.name(), format_args!("transaction {id} panicked"));
        if !link.is_over() {
            link.answer(&front.say(Word::Failed));
        }
        net::end(link.client());
        core.tell(Event::Lost(id));
    }
}

struct Transaction<'a, F: Front> {
    front: &'a Arc<F>,
    link: &'a Arc<Link>,
    core: &'a Handle,
    id: u64,
    greeting: &'a F::Greeting,
}

impl<F: Front> Transaction<'_, F> {
    fn carry(&self, orders: &Receiver<Order>) {
        let (end, ends) = unbounded();
        let (link, core, id, pump_end) = (Arc::clone(self.link), self.core.clone(), self.id, end.clone());
        let pump = move || link.pump_client(&core, id, &pump_end);
        if std::thread::Builder::new().stack_size(net::STACK).spawn(pump).is_err() {
            self.link.answer(&self.front.say(Word::Unavailable(None)));
            return self.core.tell(Event::Left(self.id));
        }
        // The core drops the orders' other end once it has answered or the client has left.
        while let Ok(order) = orders.recv() {
            match order {
                Order::Pass { to, within } => {
                    let begun = Instant::now();
                    let connect = self.core.connect_timeout();
                    let passed = send::pass(&**self.front, self.link, self.greeting, &to, within, connect);
                    match passed {
                        Ok(passed) => return self.stand(&passed, (orders, &end, &ends), begun),
                        Err(error) => self.book(&error, begun),
                    }
                }
                Order::Unavailable(after) => return self.answer(Word::Unavailable(after), &ends),
                Order::Failed => return self.answer(Word::Failed, &ends),
                // It was ordered when the connection had just ended, or before it stands.
                Order::Move => {}
            }
        }
        net::end(self.link.client());
    }

    fn stand(
        &self,
        passed: &Passed,
        channels: (&Receiver<Order>, &Sender<PumpEnd>, &Receiver<PumpEnd>),
        begun: Instant,
    ) {
        let end = relay::stand(&**self.front, self.link, self.core, self.id, passed, channels);
        if !matches!(end, End::Served | End::SentAway | End::ClientEnded | End::ClientBroke | End::Moved) {
            log::line(Level::Warn, self.front.name(), format_args!("transaction {} ended: {end:?}", self.id));
        }
        self.book(&PassError::Standing(end), begun);
        let words = if let End::ClientFault(words) = end { words } else { "" };
        relay::wind_up(self.link, &passed.server, end, words.as_bytes(), channels.2);
    }

    fn answer(&self, word: Word, ends: &Receiver<PumpEnd>) {
        self.link.answer(&self.front.say(word));
        relay::linger(self.link, ends);
    }

    fn book(&self, error: &PassError, begun: Instant) {
        self.core.tell(Event::Ended(self.id, error.outcome(), begun.elapsed()));
    }
}
