//! Take in: the listener of a front, and the openings that are not whole.
//!
//! One thread serves both, so that a client that says nothing, or nothing sound, costs one descriptor and no thread.

use std::collections::VecDeque;
use std::net::{TcpListener, TcpStream};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crossbeam_channel::bounded;

use crate::core::lifecycle::State;
use crate::core::{Counted, Handle};
use crate::front::{First, Front, NoOpening, Refusal, Word};
use crate::log::Bounded;
use crate::net::{self, Intake, Listener, Outflow, ReadError};
use crate::stages::budget::{Budget, Descriptors};
use crate::stages::lingering::Lingering;
use crate::stages::relay::Link;
use crate::stages::transactions::{Admitted, Desk};

/// A client is not let go for a newcomer before it has had so long to speak. Guards against a site's clients that
/// all come at once and would push one another out; the newcomers wait to be accepted instead.
const HEARING: Duration = Duration::from_millis(100);
/// While clients wait to be heard out, the listener's thread looks this often whether it is to let them go.
const LOOK: Duration = Duration::from_millis(200);
/// The same, while the program leaves.
const LEAVING_LOOK: Duration = Duration::from_millis(20);
/// Clients accepted in one turn, so that those accepted before are heard in between.
const BATCH: usize = 32;
/// Nobody is accepted for so long after a failure. Guards against a busy loop while there are no descriptors to be
/// had; those that wait are heard meanwhile.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// A client that rests is ended so long after this program was told to take no more: newcomers come for 0.4 s more, and
/// a program that leaves stays for 0.7 s at least.
const RESTS_IN_A_DRAIN: Duration = Duration::from_millis(500);
/// A client that was not admitted by a thread of its own is read there for so long.
const LAST_WORD: Duration = Duration::from_millis(200);

/// A client that has not opened its connection.
struct Waiting {
    client: TcpStream,
    intake: Intake,
    accepted: Instant,
    /// Its time runs from here: since it was accepted, since it last asked whether clients are taken, or, after that,
    /// since the beginning of its opening.
    since: Instant,
    /// It has asked something that was answered.
    spoke: bool,
}

/// Accepts clients and hears their openings for as long as the program runs.
pub fn listen<F: Front>(
    front: &Arc<F>,
    listener: &Listener,
    (core, descriptors): (&Handle, &Descriptors),
    transactions: &Desk<F>,
) {
    let mut door = Door {
        front,
        core,
        descriptors,
        transactions,
        refusals: Arc::new(Bounded::default()),
        waiting: VecDeque::new(),
        lingering: VecDeque::new(),
        accepts_from: Instant::now(),
        drains_since: None,
    };
    loop {
        door.look_at_state();
        let accepts = door.accepts(listener);
        let has_room = accepts && door.has_room();
        let patience = door.patience(has_room || !accepts);
        let waiting = door.waiting.iter().map(|waiting| Some(&waiting.client));
        let lingering = door.lingering.iter().map(Lingering::polled);
        let streams = waiting.chain(lingering);
        let (clients, ready) =
            net::ready_of(has_room.then_some(&listener.socket), streams, patience);
        let (heard, ended) = ready.split_at(door.waiting.len());
        door.read_on(ended);
        // Those that wait come before those that come: one whose opening is there makes room, and is not let go.
        door.hear(heard);
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
    descriptors: &'a Descriptors,
    transactions: &'a Desk<F>,
    refusals: Arc<Bounded>,
    /// The oldest first.
    waiting: VecDeque<Waiting>,
    /// Refused clients, which are read until they end; the oldest first.
    lingering: VecDeque<Lingering>,
    /// Nobody is accepted before then.
    accepts_from: Instant,
    /// When it was first seen that this program takes no more clients.
    drains_since: Option<Instant>,
}

impl Waiting {
    fn new(client: TcpStream, longest: usize) -> Waiting {
        let now = Instant::now();
        Waiting {
            client,
            intake: Intake::new(longest),
            accepted: now,
            since: now,
            spoke: false,
        }
    }

    /// Whether it has been answered and said nothing since.
    fn rests(&self) -> bool {
        self.spoke && self.intake.bytes().is_empty()
    }

    /// Whether it has had its time to speak.
    fn is_heard(&self) -> bool {
        self.accepted.elapsed() >= HEARING
    }

    /// It is let go then.
    fn until(&self, front: &impl Front, drains_since: Option<Instant>) -> Instant {
        if !self.intake.bytes().is_empty() {
            return self.since + front.begun_opening_wait();
        }
        let until = self.since + front.opening_wait();
        let drains = drains_since.filter(|_| self.spoke);
        drains.map_or(until, |since| {
            until.min((since + RESTS_IN_A_DRAIN).max(self.accepted + HEARING))
        })
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
    /// Until the next client is to be let go, or may be, or newcomers are accepted again.
    fn patience(&self, has_room: bool) -> Duration {
        let now = Instant::now();
        let heard = |waiting: &Waiting| {
            if has_room {
                waiting.until(&**self.front, self.drains_since)
            } else {
                waiting.accepted + HEARING
            }
        };
        let next = self
            .waiting
            .iter()
            .map(heard)
            .chain(self.lingering.iter().map(Lingering::until))
            .min();
        let left = next.map_or(Duration::from_secs(1), |until| {
            until.saturating_duration_since(now)
        });
        let paused = self.accepts_from.saturating_duration_since(now);
        let left = if paused.is_zero() {
            left
        } else {
            left.min(paused)
        };
        left.clamp(Duration::from_millis(1), self.longest_wait())
    }

    /// How long nothing is looked at that no socket and no time that is known tells.
    fn longest_wait(&self) -> Duration {
        let leaves = self.core.shown().state() == State::Leaving;
        match (self.waiting.is_empty(), leaves) {
            (true, _) => Duration::from_secs(1),
            (false, true) => LEAVING_LOOK,
            (false, false) => LOOK,
        }
    }

    fn budget(&self) -> Budget {
        self.descriptors.budget()
    }

    /// Whether newcomers are this process's to accept: one that leaves a shared listener leaves them to the others.
    fn accepts(&self, listener: &Listener) -> bool {
        let leaves = self.core.shown().state() == State::Leaving;
        (!listener.shared || !leaves) && Instant::now() >= self.accepts_from
    }

    /// Looks whether this program still takes clients.
    fn look_at_state(&mut self) {
        match self.core.shown().state() {
            State::Starting | State::Serving => self.drains_since = None,
            State::Standby | State::Leaving => {
                self.drains_since.get_or_insert_with(Instant::now);
            }
        }
    }

    /// Tells how many clients have not been heard out, or have not had the end of their last word. Guards against a
    /// program that leaves them unanswered.
    fn tell_openings(&self) {
        self.core
            .shown()
            .has_openings(self.waiting.len() + self.lingering.len());
    }

    /// Whether one more client can be accepted, if need be for another's place.
    fn has_room(&self) -> bool {
        self.waiting.len() < self.budget().openings || self.dispensable().is_some()
    }

    /// The client that makes room first: the one that has been silent longest, or the oldest.
    fn dispensable(&self) -> Option<usize> {
        let silent = |waiting: &Waiting| waiting.is_heard() && waiting.intake.bytes().is_empty();
        self.waiting
            .iter()
            .position(silent)
            .or_else(|| self.waiting.iter().position(Waiting::is_heard))
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
                    self.refusals
                        .warn(self.front.name(), "accept failed", &error);
                    self.accepts_from = Instant::now() + ACCEPT_PAUSE;
                    return;
                }
            };
            self.make_room();
            if net::prepare(&client).is_err() {
                continue;
            }
            // A client that takes no greeting is let go with the others that say nothing.
            let _ = net::write_gathered(&client, &[&self.front.greet()]);
            self.waiting
                .push_back(Waiting::new(client, self.front.longest_opening()));
        }
    }

    /// Guards against hundreds that connect and say nothing: the one that has been silent longest makes room.
    fn make_room(&mut self) {
        let openings = self.budget().openings;
        let place = self
            .dispensable()
            .filter(|_| self.waiting.len() >= openings);
        let Some(waiting) = place.and_then(|place| self.waiting.remove(place)) else {
            return;
        };
        self.refuse(waiting.client, &self.front.say(Word::Unavailable(None)));
        self.refusals.warn(
            self.front.name(),
            "too many openings",
            &"the oldest was let go",
        );
    }

    /// Says its last word to a client, and has it read until it ends.
    fn refuse(&mut self, client: TcpStream, answer: &[u8]) {
        self.linger(Lingering::begin(client, Outflow::default(), answer));
    }

    /// Has a client read until it ends; where there are too many of them, the oldest is closed.
    fn linger(&mut self, client: Lingering) {
        self.lingering.push_back(client);
        let most = self.budget().lingering;
        while self.lingering.len() > most {
            self.lingering.pop_front();
        }
    }

    /// Reads refused clients on that have said something, and closes those that have ended.
    fn read_on(&mut self, ready: &[bool]) {
        for (client, _) in self
            .lingering
            .iter_mut()
            .zip(ready)
            .filter(|(_, ready)| **ready)
        {
            client.ready();
        }
        self.lingering.retain(|client| !client.is_over());
    }

    /// Hears the clients that have something to say.
    fn hear(&mut self, heard: &[bool]) {
        let mut place = 0;
        for heard in heard {
            let Some(waiting) = self.waiting.get_mut(place).filter(|_| *heard) else {
                place += 1;
                continue;
            };
            let became = hear_guarded(&**self.front, waiting, self.core);
            if matches!(became, Heard::Waits) {
                place += 1;
            } else if let Some(waiting) = self.waiting.remove(place) {
                self.follow(waiting, became);
            }
        }
    }

    /// Does what a client that was heard asks for. It waits no more.
    fn follow(&mut self, waiting: Waiting, became: Heard<F::Request>) {
        match became {
            Heard::Refused(Refusal { answer, why }) => {
                self.refusals
                    .warn(self.front.name(), "opening refused", &why);
                self.refuse(waiting.client, &answer);
            }
            Heard::Opened(request) => self.open(waiting.client, request, waiting.intake),
            Heard::Gone | Heard::Waits => {}
        }
    }

    /// Has a client admitted.
    fn open(&mut self, client: TcpStream, request: F::Request, intake: Intake) {
        let Some(counted) = self.core.count_in(self.budget().connections) else {
            self.refusals.warn(
                self.front.name(),
                "too many connections",
                &"one was turned away",
            );
            return self.refuse(client, &self.front.say(Word::Unavailable(None)));
        };
        let link = Link::new(&**self.front, client, intake.into_rest());
        let admission = Admission {
            link,
            request,
            counted,
        };
        if F::ADMIT_WAITS {
            return self.admit_on_a_thread(admission);
        }
        if let Some(refused) = admit(
            &**self.front,
            admission,
            (self.transactions, &self.refusals),
        ) {
            self.linger(refused);
        }
    }

    /// Has a client admitted where that may wait for something.
    fn admit_on_a_thread(&mut self, admission: Admission<F>) {
        let (front, refusals) = (Arc::clone(self.front), Arc::clone(&self.refusals));
        let transactions = self.transactions.clone();
        let (give, take) = bounded::<Admission<F>>(1);
        let run = move || {
            let Ok(admission) = take.recv() else { return };
            if let Some(refused) = admit(&*front, admission, (&transactions, &refusals)) {
                net::drain(refused.stream(), LAST_WORD);
            }
        };
        let named = std::thread::Builder::new()
            .name("admit".into())
            .stack_size(self.front.stack());
        let unserved = match named.spawn(run) {
            Ok(_) => give.send(admission).err().map(|unsent| unsent.into_inner()),
            Err(error) => {
                self.refusals.warn(self.front.name(), "no thread", &error);
                Some(admission)
            }
        };
        if let Some(Admission { link, .. }) = unserved {
            self.linger(link.part(&self.front.say(Word::Unavailable(None))));
        }
    }

    /// Lets those go whose time is up.
    fn let_go(&mut self) {
        let now = Instant::now();
        let hears = self.core.shown().hears_openings();
        let mut place = 0;
        while let Some(waiting) = self.waiting.get_mut(place) {
            if hears && now < waiting.until(&**self.front, self.drains_since) {
                place += 1;
                continue;
            }
            // Guards against an opening that came since the wait, and that its client's end would cross: it is heard.
            let became = hear_guarded(&**self.front, waiting, self.core);
            let late = !hears || now >= waiting.until(&**self.front, self.drains_since);
            if matches!(became, Heard::Waits) && !late {
                place += 1;
                continue;
            }
            let Some(waiting) = self.waiting.remove(place) else {
                return;
            };
            if matches!(became, Heard::Waits) {
                self.end(waiting);
            } else {
                self.follow(waiting, became);
            }
        }
        self.lingering.retain(|client| !client.is_over());
    }

    /// Ends a client that has not opened its connection in time. One that rests has done no wrong: it is told to come
    /// again, which answers an opening of it that crosses this end.
    fn end(&mut self, waiting: Waiting) {
        if waiting.rests() {
            return self.refuse(waiting.client, &self.front.say(Word::Unavailable(None)));
        }
        let Refusal { answer, why } = self.front.no_opening(NoOpening::Late);
        self.refusals
            .warn(self.front.name(), "opening refused", &why);
        self.refuse(waiting.client, &answer);
    }
}

/// A client whose opening is sound.
struct Admission<F: Front> {
    link: Link,
    request: F::Request,
    counted: Counted,
}

/// Brings a client to the transactions, if its front admits it; else it has had its last word.
fn admit<F: Front>(
    front: &F,
    Admission {
        link,
        request,
        counted,
    }: Admission<F>,
    (transactions, refusals): (&Desk<F>, &Bounded),
) -> Option<Lingering> {
    match front.admit(request) {
        Ok((opening, greeting)) => {
            transactions.admit(Admitted {
                link,
                opening,
                greeting,
                counted,
            });
            None
        }
        Err(Refusal { answer, why }) => {
            refusals.warn(front.name(), "opening refused", &why);
            Some(link.part(&answer))
        }
    }
}

/// Guards against a fault in the reading of one opening that would end the listener.
fn hear_guarded<F: Front>(front: &F, waiting: &mut Waiting, core: &Handle) -> Heard<F::Request> {
    let became = catch_unwind(AssertUnwindSafe(|| hear(front, waiting, core)));
    became.unwrap_or_else(|_| Heard::Refused(front.no_opening(NoOpening::TooLong)))
}

/// Reads on, once, and makes of it what can be made.
fn hear<F: Front>(front: &F, waiting: &mut Waiting, core: &Handle) -> Heard<F::Request> {
    let rested = waiting.rests();
    let Waiting {
        client,
        intake,
        since,
        spoke,
        ..
    } = waiting;
    match intake.read(client, Instant::now()) {
        Ok(()) => {}
        Err(ReadError::TimedOut) => return Heard::Waits,
        Err(ReadError::Ended | ReadError::Broken(_)) => return Heard::Gone,
        Err(ReadError::TooLong) => return Heard::Refused(front.no_opening(NoOpening::TooLong)),
    }
    if rested {
        *since = Instant::now();
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
    if intake.is_full() {
        Heard::Refused(front.no_opening(NoOpening::TooLong))
    } else {
        Heard::Waits
    }
}
