//! Take in: the listener of a front, and the openings that are not whole.
//!
//! One thread serves both, so that a client that says nothing, or nothing sound, costs one descriptor and no thread.

use std::collections::VecDeque;
use std::net::{TcpListener, TcpStream};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use crate::core::lifecycle::State;
use crate::core::{Counted, Handle};
use crate::front::{First, Front, NoOpening, Refusal, Word};
use crate::log::Bounded;
use crate::net::{self, Intake, Listener, ReadError};
use crate::operations;
use crate::pass::Client;
use crate::reload::Sockets;
use crate::stages::relay::Link;
use crate::stages::transaction::{Admitted, Desk};

/// Descriptors that are not clients': standard streams, the listener, the watch, the signals', the operations port's.
const SPARE: usize = 24 + operations::DESCRIPTORS;
/// Openings hold this part of the descriptors at most.
const OPENINGS_PART: usize = 5;
/// A client is not let go for a newcomer before it has had so long to speak. Guards against a site's clients that
/// all come at once and would push one another out; the newcomers wait to be accepted instead.
const HEARING: Duration = Duration::from_millis(100);
/// While clients wait to be heard out, the listener's thread looks this often whether it is to let them go.
const LOOK: Duration = Duration::from_millis(200);
/// The same, while the program leaves.
const LEAVING_LOOK: Duration = Duration::from_millis(20);
/// Clients accepted in one turn, so that those accepted before are heard in between.
const BATCH: usize = 32;
/// A client that was refused is kept for so long, unread, so that its answer is not lost to a reset.
const LAST_WORD: Duration = Duration::from_millis(200);

/// How many openings may wait, and how many connections may be open, each with its client's descriptor and its
/// server's. Guards against two processes on one listener that, while one takes the other's place, hold more than the
/// descriptors of both: each has half of the openings, and room is left for the other's own.
pub fn budget(sockets: usize, shared: bool) -> (usize, usize) {
    let processes = if shared { 2 } else { 1 };
    let openings = (sockets / OPENINGS_PART / processes).max(8);
    (openings, sockets.saturating_sub(processes * (SPARE + openings)).max(2) / 2)
}

/// A client that has not opened its connection.
struct Waiting {
    client: TcpStream,
    intake: Intake,
    since: Instant,
    /// It is let go then.
    until: Instant,
    /// It has said something that was answered.
    spoke: bool,
    refused: bool,
}

/// Accepts clients and hears their openings for as long as the program runs.
pub fn listen<F: Front>(
    front: &Arc<F>,
    listener: &Listener,
    (core, sockets): (&Handle, &Sockets),
    transactions: &Desk<F>,
) {
    let refusals = Arc::new(Bounded::default());
    let (shared, waiting) = (listener.shared, VecDeque::new());
    let mut door = Door { front, core, sockets, shared, transactions, refusals, waiting };
    loop {
        let accepts = door.accepts(listener);
        let has_room = accepts && door.has_room();
        let patience = door.patience(has_room || !accepts);
        let streams = door.waiting.iter().map(Waiting::polled);
        let (clients, heard) = net::ready_of(has_room.then_some(&listener.socket), streams, patience);
        // Those that wait come first: one whose opening is there makes room, and is not let go.
        door.hear(&heard);
        door.let_go();
        if clients && door.accepts(listener) {
            door.accept(&listener.socket);
        }
        door.tell_openings();
        door.refusals.look(front.name());
    }
}

struct Door<'a, F: Front> {
    front: &'a Arc<F>,
    core: &'a Handle,
    sockets: &'a Sockets,
    /// Another process may accept from the same listener.
    shared: bool,
    transactions: &'a Desk<F>,
    refusals: Arc<Bounded>,
    /// The oldest first.
    waiting: VecDeque<Waiting>,
}

impl Waiting {
    fn polled(&self) -> Option<&TcpStream> {
        (!self.refused).then_some(&self.client)
    }

    /// Says its last word to a client; it is kept for a moment.
    fn refuse(&mut self, answer: &[u8]) {
        let _ = net::write_gathered(&self.client, &[answer]);
        net::finish(&self.client);
        self.refused = true;
        self.until = Instant::now() + LAST_WORD;
    }
}

/// What became of a client that was heard.
enum Heard<R> {
    Waits,
    Gone,
    Refused(Refusal),
    Opened(R),
}

impl<F: Front> Door<'_, F> {
    /// Until the next client is to be let go, or may be.
    fn patience(&self, has_room: bool) -> Duration {
        let heard = |waiting: &Waiting| if has_room { waiting.until } else { waiting.since + HEARING };
        let next = self.waiting.iter().map(heard).min();
        let left = next.map(|until| until.saturating_duration_since(Instant::now()));
        let left = left.unwrap_or(Duration::from_secs(1)).max(Duration::from_millis(1));
        let leaves = self.core.shown().state() == State::Leaving;
        left.min(match (self.waiting.is_empty(), leaves) {
            (true, _) => Duration::from_secs(1),
            (false, true) => LEAVING_LOOK,
            (false, false) => LOOK,
        })
    }

    fn budget(&self) -> (usize, usize) {
        budget(self.sockets.load(Ordering::Relaxed), self.shared)
    }

    /// Whether newcomers are this process's to accept: one that leaves a shared listener leaves them to the others.
    fn accepts(&self, listener: &Listener) -> bool {
        !listener.shared || self.core.shown().state() != State::Leaving
    }

    /// Tells how many clients have not been heard out. Guards against a program that leaves them unanswered.
    fn tell_openings(&self) {
        let unheard =
            |waiting: &&Waiting| !(waiting.refused || waiting.spoke && waiting.intake.bytes().is_empty());
        self.core.shown().has_openings(self.waiting.iter().filter(unheard).count());
    }

    /// Whether one more client can be accepted, if need be for another's place.
    fn has_room(&self) -> bool {
        let (openings, _) = self.budget();
        self.waiting.len() < openings || self.dispensable().is_some()
    }

    /// The client that makes room first: one that has had its last word, the one that has been silent longest, or
    /// the oldest.
    fn dispensable(&self) -> Option<usize> {
        let refused = self.waiting.iter().position(|waiting| waiting.refused);
        let heard = |waiting: &Waiting| waiting.since.elapsed() >= HEARING;
        let silent = |waiting: &Waiting| heard(waiting) && waiting.intake.bytes().is_empty();
        refused
            .or_else(|| self.waiting.iter().position(silent))
            .or_else(|| self.waiting.iter().position(heard))
    }

    fn accept(&mut self, listener: &TcpListener) {
        for _ in 0..BATCH {
            if !self.has_room() {
                return;
            }
            let client = match listener.accept() {
                Ok((client, _)) => client,
                Err(error) if net::is_wait(&error) => return,
                Err(error) => {
                    self.refusals.warn(self.front.name(), "accept failed", &error);
                    // Guards against a busy loop while there are no descriptors to be had.
                    return std::thread::sleep(Duration::from_millis(10));
                }
            };
            self.make_room();
            if net::prepare(&client).is_err() {
                continue;
            }
            // A client that takes no greeting is let go with the others that say nothing.
            let _ = net::write_gathered(&client, &[&self.front.greet()]);
            let (intake, since) = (Intake::new(self.front.longest_opening()), Instant::now());
            let until = since + self.front.opening_wait();
            self.waiting.push_back(Waiting { client, intake, since, until, spoke: false, refused: false });
        }
    }

    /// Guards against hundreds that connect and say nothing: the one that has been silent longest makes room.
    fn make_room(&mut self) {
        let (openings, _) = self.budget();
        let place = self.dispensable().filter(|_| self.waiting.len() >= openings);
        let Some(waiting) = place.and_then(|place| self.waiting.remove(place)) else { return };
        if !waiting.refused {
            let _ = net::write_gathered(&waiting.client, &[&self.front.say(Word::Unavailable(None))]);
            net::finish(&waiting.client);
            self.refusals.warn(self.front.name(), "too many openings", &"the oldest was let go");
        }
    }

    /// Hears the clients that have something to say.
    fn hear(&mut self, heard: &[bool]) {
        let mut place = 0;
        for heard in heard {
            let Some(waiting) = self.waiting.get_mut(place).filter(|_| *heard) else {
                place += 1;
                continue;
            };
            let (front, core) = (self.front, self.core);
            // Guards against a fault in the reading of one opening that would end the listener.
            let became = catch_unwind(AssertUnwindSafe(|| hear(&**front, waiting, core)));
            match became.unwrap_or_else(|_| Heard::Refused(front.no_opening(NoOpening::TooLong))) {
                Heard::Waits => place += 1,
                Heard::Gone => drop(self.waiting.remove(place)),
                Heard::Refused(Refusal { answer, why }) => {
                    self.refusals.warn(front.name(), "opening refused", &why);
                    waiting.refuse(&answer);
                    place += 1;
                }
                Heard::Opened(request) => {
                    if let Some(Waiting { client, intake, .. }) = self.waiting.remove(place) {
                        self.open(client, request, intake);
                    }
                }
            }
        }
    }

    /// Has a client admitted.
    fn open(&mut self, client: TcpStream, request: F::Request, intake: Intake) {
        let (_, most) = self.budget();
        let unavailable = self.front.say(Word::Unavailable(None));
        let Some(counted) = self.core.count_in(most) else {
            self.refusals.warn(self.front.name(), "too many connections", &"one was turned away");
            let _ = net::write_gathered(&client, &[&unavailable]);
            return net::finish(&client);
        };
        let link = Link::new(&**self.front, client, intake.into_rest());
        if !F::ADMIT_WAITS {
            return admit(&**self.front, link, request, counted, (self.transactions, &self.refusals));
        }
        let (front, refusals) = (Arc::clone(self.front), Arc::clone(&self.refusals));
        let transactions = self.transactions.clone();
        let run = move || admit(&*front, link, request, counted, (&transactions, &refusals));
        let named = std::thread::Builder::new().name("admit".into()).stack_size(self.front.stack());
        if let Err(error) = named.spawn(run) {
            // The client went with the thread that was not had.
            self.refusals.warn(self.front.name(), "no thread", &error);
        }
    }

    /// Lets those go whose time is up.
    fn let_go(&mut self) {
        let now = Instant::now();
        self.waiting.retain(|waiting| !waiting.refused || now < waiting.until);
        let hears = self.core.shown().hears_openings();
        let is_over = |waiting: &&mut Waiting| !waiting.refused && (!hears || now >= waiting.until);
        for waiting in self.waiting.iter_mut().filter(is_over) {
            if waiting.spoke && waiting.intake.bytes().is_empty() {
                // The check that a balancer lives, kept open: it ends without a word.
                waiting.refuse(&[]);
                continue;
            }
            let Refusal { answer, why } = self.front.no_opening(NoOpening::Late);
            self.refusals.warn(self.front.name(), "opening refused", &why);
            waiting.refuse(&answer);
        }
    }
}

/// Brings a client to the transactions, if its front admits it.
fn admit<F: Front>(
    front: &F,
    mut link: Link,
    request: F::Request,
    counted: Counted,
    (transactions, refusals): (&Desk<F>, &Bounded),
) {
    match front.admit(request) {
        Ok((opening, greeting)) => transactions.admit(Admitted { link, opening, greeting, counted }),
        Err(Refusal { answer, why }) => {
            refusals.warn(front.name(), "opening refused", &why);
            link.answer(&answer);
            net::drain(link.stream(), LAST_WORD);
        }
    }
}

/// Reads on, once, and makes of it what can be made.
fn hear<F: Front>(front: &F, waiting: &mut Waiting, core: &Handle) -> Heard<F::Request> {
    let Waiting { client, intake, spoke, .. } = waiting;
    match intake.read(client, Instant::now()) {
        Ok(()) => {}
        Err(ReadError::TimedOut) => return Heard::Waits,
        Err(ReadError::Ended | ReadError::Broken(_)) => return Heard::Gone,
        Err(ReadError::TooLong) => return Heard::Refused(front.no_opening(NoOpening::TooLong)),
    }
    while let Some(line) = intake.whole_line() {
        let reply = match front.first(&line, core.clock().now()) {
            First::Reply(words) => words,
            First::Asks => front.state(core.shown().state(), core.shown().is_ready()),
            First::Refused(refusal) => return Heard::Refused(refusal),
            First::Opening(_) if intake.bytes().len() > front.most_early() => {
                return Heard::Refused(front.no_opening(NoOpening::Piled));
            }
            First::Opening(request) => return Heard::Opened(request),
        };
        *spoke = true;
        if net::write_gathered(client, &[reply]).is_err() {
            return Heard::Gone;
        }
    }
    if intake.is_full() { Heard::Refused(front.no_opening(NoOpening::TooLong)) } else { Heard::Waits }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn two_processes_on_one_listener_stay_within_the_descriptors_of_both() {
        for sockets in [192, 256, 384, 1024, 4096] {
            let (openings, connections) = budget(sockets, true);
            // One is full, the other has all its openings and what stands there besides clients.
            assert!(2 * (SPARE + openings) + 2 * connections <= sockets, "{sockets}");
            let (alone, more) = budget(sockets, false);
            assert!(SPARE + alone + 2 * more <= sockets && alone >= openings && more >= connections);
        }
    }
}
