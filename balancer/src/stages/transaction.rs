//! The chain that transactions pass, from their admission to their end.
//!
//! One thread serves all transactions of a front; only a proxy pass has a thread of its own for as long as it lasts.
//! A thread for each connection was measured to be too dear: where a balancer has a fifth of a core, the platform
//! stops and wakes the whole process, and to do so to 370 threads took 0.18 cores, to 170 took 0.015.

use std::collections::HashMap;
use std::fmt;
use std::io;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, Sender, bounded, unbounded};
use tracing::{error, warn};

use crate::core::{ApplicationServer, Carrier, Counted, Event, Handle, Opening, Order, PassTimes};
use crate::front::{First, Front, Word};
use crate::handover::{Given, Giver, Place};
use crate::net::{self, Outflow, ReadError};
use crate::pass::{Answer, Client, End, PassError};
use crate::poller::{Bell, EventFlags, Poller};
use crate::stages::lingering::Lingering;
use crate::stages::relay::{Link, Side, Standing};
use crate::stages::send::{self, Passed};

/// What is due without a side being ready is looked for this often.
const LOOK: Duration = Duration::from_millis(100);
/// A server is heard out for so long once its client has ended its sending.
const HEARING_OUT: Duration = Duration::from_millis(500);

/// Numbers of connections that the core never heard of begin below this one; two tokens are made of each number.
const LAST_UNBOOKED: u64 = u64::MAX / 2;

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
        Desk { brought: self.brought.clone(), bell: self.bell.clone() }
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

/// Where a transaction is.
enum Phase {
    /// It waits for the core.
    Waiting(Link),
    /// A pass is out, which has the client; the core's final answer may have come meanwhile.
    Passing(Option<Order>, Arc<AtomicBool>),
    Standing(Box<Standing>),
    /// The client has ended its sending; the server is heard out until then.
    HearingOut(Box<Standing>, Instant),
    /// The last word has been said; the client, and the server of a connection that stood, are read until they end.
    Lingering(Lingering, Option<Lingering>),
    /// It is over.
    Over,
}

/// A client that is given to a pass, with what is said for it.
type Lent<F> = Option<(Link, Arc<<F as Front>::Greeting>)>;

struct Transaction<F: Front> {
    id: u64,
    /// Let go before the client hears of its end. Guards against a client that comes again at once and finds what
    /// the greeting holds, its id or its place among its tenant's connections, still taken by itself.
    greeting: Option<Arc<F::Greeting>>,
    phase: Phase,
    /// The application server of its latest pass.
    at: Option<Arc<str>>,
    /// When its latest pass began.
    begun: Instant,
    /// What the poller watches its sides for.
    watched: (EventFlags, EventFlags),
    _counted: Counted,
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
    let desk = Desk { brought, bell: poller.bell() };
    let shared =
        Shared { front: Arc::clone(front), core: core.clone(), moving: front.say(Word::Move), place };
    let server = Server {
        shared,
        poller,
        inbox,
        desk: Arc::new(desk.clone()),
        open: HashMap::new(),
        unbooked: LAST_UNBOOKED,
        giver: None,
        ungiven: Vec::new(),
    };
    std::thread::Builder::new().name("transactions".into()).spawn(move || server.run())?;
    Ok(desk)
}

struct Server<F: Front> {
    shared: Shared<F>,
    poller: Poller,
    inbox: Receiver<Brought<F>>,
    desk: Arc<Desk<F>>,
    open: HashMap<u64, Transaction<F>>,
    /// The latest number of a connection that the core never heard of. They count down, the core's count up.
    unbooked: u64,
    /// The way to the process that takes this one's place, once it has been looked for.
    giver: Option<Option<Giver>>,
    /// Connections that could not be given just now; each look tries them again.
    ungiven: Vec<u64>,
}

impl<F: Front> Server<F> {
    fn run(mut self) {
        let mut looked = Instant::now();
        loop {
            let idle = if self.open.is_empty() { Duration::from_secs(1) } else { LOOK };
            for token in self.poller.wait(idle.saturating_sub(looked.elapsed())) {
                let side = if token % 2 == 0 { Side::Client } else { Side::Server };
                self.with(token / 2, |transaction, shared| transaction.ready(side, shared));
            }
            while let Ok(brought) = self.inbox.try_recv() {
                self.take(brought);
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
                let Admitted { link, opening, greeting, counted } = *admitted;
                let id = self.shared.core.open(opening, Arc::clone(&self.desk) as Arc<dyn Carrier>);
                self.enter(id, Some(greeting), (Phase::Waiting(link), None), counted);
            }
            Brought::Ordered(id, Order::Pass { to, times }) => {
                let lent = self.open.get_mut(&id).map(|transaction| transaction.lend(&self.poller, &to));
                let (link, greeting) = match lent {
                    Some(Ok(Some(lent))) => lent,
                    // Guards against a request that the core holds to be sent and nobody sends.
                    Some(Err(_)) => return self.with(id, |transaction, shared| transaction.panicked(shared)),
                    // The client left, or has had its last word: the core hears of it.
                    Some(Ok(None)) | None => return,
                };
                if let Err(failed) = pass(&self.shared, &self.desk, (id, link, greeting), to, times) {
                    let (link, error) = *failed;
                    let error = PassError::NotConnected(error);
                    self.with(id, |transaction, shared| transaction.passed(link, Some(Err(error)), shared));
                }
            }
            Brought::Ordered(id, Order::Give) => self.give(id),
            Brought::Given(given, counted) => self.take_over(given, counted),
            Brought::Ordered(id, order) => {
                self.with(id, |transaction, shared| transaction.order(order, shared));
            }
            Brought::Passed(id, link, passed) => {
                self.with(id, |transaction, shared| transaction.passed(link, passed, shared));
            }
        }
    }

    /// Gives a standing connection to the process that takes this one's place, if there is one. It can be given while
    /// nothing of it is here and the other takes it; until then it is tried again, or moved when its turn comes.
    fn give(&mut self, id: u64) {
        let Server { shared, poller, giver, open, ungiven, .. } = self;
        let Some(transaction) = open.get_mut(&id) else { return };
        let (Phase::Standing(standing), Some(greeting), Some(at)) =
            (&transaction.phase, transaction.greeting.as_deref(), transaction.at.as_deref())
        else {
            return;
        };
        let Some(line) = shared.front.opening(greeting) else { return };
        let found = giver.get_or_insert_with(|| {
            let found = shared.place.as_ref().map_or(Ok(None), Place::find);
            found.unwrap_or_else(|error| {
                warn!(part = shared.front.name(), why = %error, "nobody to hand over to");
                None
            })
        });
        let Some(giver) = found else { return };
        if !standing.is_clear() {
            return ungiven.push(id);
        }
        let (client, server) = standing.sides();
        // The other process has the same sockets: left in this poller they would be told ready here for what is there.
        let nothing = EventFlags::empty();
        let unwatched = poller
            .watch(client, id * 2, (transaction.watched.0, nothing))
            .and_then(|()| poller.watch(server, id * 2 + 1, (transaction.watched.1, nothing)));
        if unwatched.is_err() {
            return;
        }
        transaction.watched = (nothing, nothing);
        match giver.give((client, server), at, line) {
            Ok(()) => {
                transaction.book(&PassError::Standing(End::Given), shared);
                self.open.remove(&id);
            }
            Err(error) => {
                if net::is_wait(&error) {
                    ungiven.push(id);
                } else {
                    warn!(part = shared.front.name(), transaction = id, why = %error, "not handed over");
                }
                self.with(id, |_, _| ());
            }
        }
    }

    /// Takes over a connection that another process gives. One that can't be read is moved.
    fn take_over(&mut self, given: Given, counted: Counted) {
        let Given { client, server, at, line } = given;
        let Shared { front, core, moving, .. } = &self.shared;
        let read = match front.first(&line, core.clock().now()) {
            First::Opening(request) => front.admit(request).ok(),
            _ => None,
        };
        let link = Link::new(&**front, client, Vec::new());
        let Some((opening, greeting)) = read else {
            warn!(part = front.name(), "a connection handed over could not be read");
            let server = Lingering::begin(server, Outflow::default(), b"");
            let phase = Phase::Lingering(link.part(moving), Some(server));
            self.unbooked -= 1;
            return self.enter(self.unbooked, None, (phase, None), counted);
        };
        let (opening, at) = (Opening { held_by: None, ..opening }, Arc::from(at));
        let id = core.adopt(opening, Arc::clone(&at), Arc::clone(&self.desk) as Arc<dyn Carrier>);
        let standing = Standing::new(&**front, link, server, core, id);
        self.enter(id, Some(greeting), (Phase::Standing(Box::new(standing)), Some(at)), counted);
    }

    /// Serves one more transaction.
    fn enter(
        &mut self,
        id: u64,
        greeting: Option<F::Greeting>,
        (phase, at): (Phase, Option<Arc<str>>),
        _counted: Counted,
    ) {
        let (greeting, begun) = (greeting.map(Arc::new), Instant::now());
        let watched = (EventFlags::empty(), EventFlags::empty());
        self.open.insert(id, Transaction { id, greeting, phase, at, begun, watched, _counted });
        self.with(id, |_, _| ());
    }

    /// Does something with a transaction, and watches what is wanted of it then.
    fn with(&mut self, id: u64, act: impl FnOnce(&mut Transaction<F>, &Shared<F>)) {
        let Some(transaction) = self.open.get_mut(&id) else { return };
        let shared = &self.shared;
        // Guards against a fault in one connection's code that would end all of them, or leave its client without
        // an answer.
        if catch_unwind(AssertUnwindSafe(|| act(transaction, shared))).is_err() {
            transaction.panicked(shared);
        }
        if transaction.watch(&self.poller).is_err() {
            transaction.panicked(shared);
        }
        if matches!(transaction.phase, Phase::Over) {
            self.open.remove(&id);
        }
    }
}

/// Makes a pass on a thread of its own; gives the client back if there is no thread to be had.
fn pass<F: Front>(
    shared: &Shared<F>,
    desk: &Arc<Desk<F>>,
    (id, link, greeting): (u64, Link, Arc<F::Greeting>),
    to: Arc<ApplicationServer>,
    times: PassTimes,
) -> Result<(), Box<(Link, io::Error)>> {
    let (front, desk, connect) = (Arc::clone(&shared.front), Arc::clone(desk), shared.core.connect_timeout());
    let (give, take) = bounded::<Link>(1);
    let run = move || {
        let Ok(mut link) = take.recv() else { return };
        let made = || send::pass(&*front, &mut link, &greeting, &to, times, connect);
        let passed = catch_unwind(AssertUnwindSafe(made)).ok();
        drop(greeting);
        desk.bring(Brought::Passed(id, link, passed));
    };
    match std::thread::Builder::new().name("pass".into()).stack_size(shared.front.stack()).spawn(run) {
        Ok(_) => give.send(link).map_err(|error| Box::new((error.into_inner(), io::ErrorKind::Other.into()))),
        Err(error) => Err(Box::new((link, error))),
    }
}

impl<F: Front> Transaction<F> {
    /// Gives the client to a pass, which looks after it from now on.
    fn lend(&mut self, poller: &Poller, to: &ApplicationServer) -> io::Result<Lent<F>> {
        let (Phase::Waiting(link), Some(greeting)) = (&self.phase, &self.greeting) else { return Ok(None) };
        let greeting = Arc::clone(greeting);
        let nothing = EventFlags::empty();
        // One that can't be left alone would cut the waits of all others short.
        poller.watch(link.stream(), self.id * 2, (self.watched.0, nothing))?;
        self.watched = (nothing, nothing);
        self.begun = Instant::now();
        self.at = Some(Arc::clone(&to.name));
        let passing = Phase::Passing(None, link.give_up());
        let Phase::Waiting(link) = std::mem::replace(&mut self.phase, passing) else {
            return Ok(None);
        };
        Ok(Some((link, greeting)))
    }

    fn ready(&mut self, side: Side, shared: &Shared<F>) {
        match &mut self.phase {
            Phase::Waiting(link) => {
                if let Err(why) = link.look() {
                    self.left(&why, shared);
                }
            }
            Phase::Standing(standing) => {
                let went = standing.ready(side, &shared.moving);
                self.go_on(went, shared);
            }
            Phase::HearingOut(standing, _) => {
                if standing.hear_out(side, &shared.moving).is_err() {
                    self.wound_up(End::ClientEnded);
                }
            }
            Phase::Lingering(client, server) => {
                match (side, server) {
                    (Side::Client, _) => client.ready(),
                    (Side::Server, Some(server)) => server.ready(),
                    (Side::Server, None) => {}
                }
                self.close_if_over();
            }
            Phase::Passing(..) | Phase::Over => {}
        }
    }

    fn look(&mut self, shared: &Shared<F>) {
        match &mut self.phase {
            Phase::Standing(standing) => {
                let went = standing.look(&shared.moving);
                self.go_on(went, shared);
            }
            Phase::HearingOut(_, until) if Instant::now() >= *until => self.wound_up(End::ClientEnded),
            Phase::Lingering(..) => self.close_if_over(),
            _ => {}
        }
    }

    fn order(&mut self, order: Order, shared: &Shared<F>) {
        match (&mut self.phase, order) {
            // A last word that crossed the server's answer: the core knows of it no more, so nobody else moves it.
            (
                Phase::Standing(standing),
                Order::Move | Order::Unavailable(_) | Order::Failed | Order::GiveUp,
            ) => {
                let went = standing.move_on(&shared.moving);
                self.go_on(went, shared);
            }
            // A move was ordered when the connection had just ended, or before it stands.
            (_, Order::Move | Order::Pass { .. } | Order::Give) => {}
            // Guards against a last word that waits for a server that says nothing, while the program leaves.
            (Phase::Passing(answer, give_up), order) => {
                give_up.store(true, Ordering::Relaxed);
                *answer = Some(order);
            }
            (Phase::Waiting(_), Order::Unavailable(after)) => self.answer(Word::Unavailable(after), shared),
            (Phase::Waiting(_), Order::Failed | Order::GiveUp) => self.answer(Word::Failed, shared),
            _ => {}
        }
    }

    /// A pass has ended.
    fn passed(&mut self, link: Link, passed: Option<Result<Passed, PassError>>, shared: &Shared<F>) {
        let answer = match std::mem::replace(&mut self.phase, Phase::Waiting(link)) {
            Phase::Passing(answer, _) => answer,
            _ => None,
        };
        let Some(passed) = passed else { return self.panicked(shared) };
        match (answer, passed) {
            (Some(Order::GiveUp), Err(error)) if error.outcome().never_ran() => {
                self.order(Order::Unavailable(None), shared);
            }
            // The core has given it up meanwhile.
            (Some(answer), _) => self.order(answer, shared),
            (None, Ok(passed)) => self.stand(passed, shared),
            (None, Err(PassError::ClientLeft(why))) => self.left(&why, shared),
            (None, Err(error)) => self.book(&error, shared),
        }
    }

    fn stand(&mut self, Passed { server, answer, ahead }: Passed, shared: &Shared<F>) {
        let Phase::Waiting(link) = std::mem::replace(&mut self.phase, Phase::Over) else { return };
        let mut standing = Box::new(Standing::new(&*shared.front, link, server, &shared.core, self.id));
        let went = standing.join((&answer, &ahead), &shared.moving);
        self.phase = Phase::Standing(standing);
        self.go_on(went, shared);
    }

    /// Goes on with a standing connection, or ends it.
    fn go_on(&mut self, went: Result<(), End>, shared: &Shared<F>) {
        let Err(end) = went else { return };
        self.greeting = None;
        if !matches!(end, End::Served | End::SentAway | End::ClientEnded | End::ClientBroke | End::Moved) {
            warn!(part = shared.front.name(), transaction = self.id, how = ?end, "connection ended");
        }
        self.book(&PassError::Standing(end), shared);
        if end == End::ClientEnded {
            if let Phase::Standing(mut standing) = std::mem::replace(&mut self.phase, Phase::Over) {
                standing.finish_server();
                self.phase = Phase::HearingOut(standing, Instant::now() + HEARING_OUT);
            }
        } else {
            self.wound_up(end);
        }
    }

    fn wound_up(&mut self, end: End) {
        let (Phase::Standing(standing) | Phase::HearingOut(standing, _)) =
            std::mem::replace(&mut self.phase, Phase::Over)
        else {
            return;
        };
        if let Some((client, server)) = standing.wind_up(end) {
            self.phase = Phase::Lingering(client, Some(server));
        }
    }

    /// Closes both sides once they have ended, or their time is up.
    fn close_if_over(&mut self) {
        let Phase::Lingering(client, server) = &self.phase else { return };
        if client.is_over() && server.as_ref().is_none_or(Lingering::is_over) {
            self.phase = Phase::Over;
        }
    }

    /// The client left before its answer, or did not wait for it.
    fn left(&mut self, why: &ReadError, shared: &Shared<F>) {
        shared.core.tell(Event::Left(self.id));
        if matches!(why, ReadError::TooLong) {
            self.answer(Word::Failed, shared);
        } else {
            self.phase = Phase::Over;
        }
    }

    fn answer(&mut self, word: Word, shared: &Shared<F>) {
        self.greeting = None;
        if let Phase::Waiting(link) = std::mem::replace(&mut self.phase, Phase::Over) {
            self.phase = Phase::Lingering(link.part(&shared.front.say(word)), None);
        }
    }

    fn panicked(&mut self, shared: &Shared<F>) {
        error!(part = shared.front.name(), transaction = self.id, "transaction panicked");
        shared.core.tell(Event::Lost(self.id));
        self.answer(Word::Failed, shared);
        if !matches!(self.phase, Phase::Lingering(..)) {
            self.phase = Phase::Over;
        }
    }

    fn book(&self, error: &PassError, shared: &Shared<F>) {
        if matches!(error, PassError::Answered(Answer::SentAway) | PassError::Standing(End::SentAway)) {
            shared.core.tell(Event::SentAway(self.id));
        }
        shared.core.tell(Event::Ended(self.id, error.outcome(), self.begun.elapsed()));
    }

    /// Has the poller watch what is wanted of both sides.
    fn watch(&mut self, poller: &Poller) -> io::Result<()> {
        let nothing = EventFlags::empty();
        let (client, server, wanted) = match &self.phase {
            Phase::Waiting(link) => (link.stream(), None, (EventFlags::IN, nothing)),
            Phase::Lingering(client, server) => {
                let wants_server = server.as_ref().map_or(nothing, Lingering::wants);
                (client.stream(), server.as_ref().map(Lingering::stream), (client.wants(), wants_server))
            }
            Phase::Standing(standing) => {
                let (client, server) = standing.sides();
                (client, Some(server), standing.wants())
            }
            Phase::HearingOut(standing, _) => {
                let (client, server) = standing.sides();
                // A client that has ended its sending is ready to be read at all times.
                let (wants_client, wants_server) = standing.wants();
                (client, Some(server), (wants_client & EventFlags::OUT, wants_server))
            }
            Phase::Passing(..) | Phase::Over => return Ok(()),
        };
        poller.watch(client, self.id * 2, (self.watched.0, wanted.0))?;
        if let Some(server) = server {
            poller.watch(server, self.id * 2 + 1, (self.watched.1, wanted.1))?;
        }
        self.watched = wanted;
        Ok(())
    }
}

#[cfg(test)]
mod tests;
