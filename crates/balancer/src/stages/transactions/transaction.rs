//! The states of one transaction, and all that changes them.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use tracing::{error, warn};

use super::Shared;
use crate::core::{ApplicationServer, Counted, Event, Order};
use crate::front::{Front, Word};
use crate::net::ReadError;
use crate::pass::{Answer, Client, End, PassError};
use crate::poller::{EventFlags, Poller};
use crate::stages::lingering::Lingering;
use crate::stages::relay::{Link, Side, Standing};
use crate::stages::send::Passed;

/// A server is heard out for so long once its client has ended its sending.
const HEARING_OUT: Duration = Duration::from_millis(500);

/// Where a transaction is.
pub(super) enum Phase {
    /// It waits for the core.
    Waiting(Link),
    /// A pass is out, which has the client; the core's final answer may have come meanwhile.
    Passing(Option<Order>, Arc<AtomicBool>),
    /// Both sides are joined.
    Standing(Box<Standing>),
    /// The client has ended its sending; the server is heard out until then.
    HearingOut(Box<Standing>, Instant),
    /// The last word has been said; the client, and the server of a connection that stood, are read until they end.
    Lingering(Lingering, Option<Lingering>),
    /// It is over.
    Over,
}

/// A client that is given to a pass, with what is said for it.
pub(super) type Lent<F> = Option<(Link, Arc<<F as Front>::Greeting>)>;

/// One transaction: its state, and all that changes it.
pub(super) struct Transaction<F: Front> {
    id: u64,
    /// Let go before the client hears of its end. Guards against a client that comes again at once and finds what
    /// the greeting holds, its id or its place among its tenant's connections, still taken by itself.
    pub(super) greeting: Option<Arc<F::Greeting>>,
    pub(super) phase: Phase,
    /// The application server of its latest pass.
    pub(super) at: Option<Arc<str>>,
    /// When its latest pass began.
    begun: Instant,
    /// What the poller watches its sides for.
    pub(super) watched: (EventFlags, EventFlags),
    _counted: Counted,
}

impl<F: Front> Transaction<F> {
    /// A transaction in its first phase.
    pub(super) fn new(
        id: u64,
        greeting: Option<F::Greeting>,
        (phase, at): (Phase, Option<Arc<str>>),
        counted: Counted,
    ) -> Transaction<F> {
        let (greeting, begun) = (greeting.map(Arc::new), Instant::now());
        let watched = (EventFlags::empty(), EventFlags::empty());
        Transaction {
            id,
            greeting,
            phase,
            at,
            begun,
            watched,
            _counted: counted,
        }
    }

    /// Whether nothing of it is left.
    pub(super) fn is_over(&self) -> bool {
        matches!(self.phase, Phase::Over)
    }

    /// Gives the client to a pass, which looks after it from now on.
    pub(super) fn lend(&mut self, poller: &Poller, to: &ApplicationServer) -> io::Result<Lent<F>> {
        let (Phase::Waiting(link), Some(greeting)) = (&self.phase, &self.greeting) else {
            return Ok(None);
        };
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

    /// A side is ready for what is wanted of it.
    pub(super) fn ready(&mut self, side: Side, shared: &Shared<F>) {
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

    /// What is due whether a side is ready or not.
    pub(super) fn look(&mut self, shared: &Shared<F>) {
        match &mut self.phase {
            Phase::Standing(standing) => {
                let went = standing.look(&shared.moving);
                self.go_on(went, shared);
            }
            Phase::HearingOut(_, until) if Instant::now() >= *until => {
                self.wound_up(End::ClientEnded)
            }
            Phase::Lingering(..) => self.close_if_over(),
            _ => {}
        }
    }

    /// The core orders something.
    pub(super) fn order(&mut self, order: Order, shared: &Shared<F>) {
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
            (Phase::Waiting(_), Order::Unavailable(after)) => {
                self.answer(Word::Unavailable(after), shared)
            }
            (Phase::Waiting(_), Order::Failed | Order::GiveUp) => self.answer(Word::Failed, shared),
            _ => {}
        }
    }

    /// A pass has ended.
    pub(super) fn passed(
        &mut self,
        link: Link,
        passed: Option<Result<Passed, PassError>>,
        shared: &Shared<F>,
    ) {
        let answer = match std::mem::replace(&mut self.phase, Phase::Waiting(link)) {
            Phase::Passing(answer, _) => answer,
            _ => None,
        };
        let Some(passed) = passed else {
            return self.panicked(shared);
        };
        match (answer, passed) {
            (Some(Order::GiveUp), Err(error)) if error.outcome().proves_not_executed() => {
                self.order(Order::Unavailable(None), shared);
            }
            // The core has given it up meanwhile.
            (Some(answer), _) => self.order(answer, shared),
            (None, Ok(passed)) => self.stand(passed, shared),
            (None, Err(PassError::ClientLeft(why))) => self.left(&why, shared),
            (None, Err(error)) => self.book(&error, shared),
        }
    }

    fn stand(
        &mut self,
        Passed {
            server,
            answer,
            ahead,
        }: Passed,
        shared: &Shared<F>,
    ) {
        let Phase::Waiting(link) = std::mem::replace(&mut self.phase, Phase::Over) else {
            return;
        };
        let mut standing = Box::new(Standing::new(
            &*shared.front,
            link,
            server,
            &shared.core,
            self.id,
        ));
        let went = standing.join((&answer, &ahead), &shared.moving);
        self.phase = Phase::Standing(standing);
        self.go_on(went, shared);
    }

    /// Goes on with a standing connection, or ends it.
    fn go_on(&mut self, went: Result<(), End>, shared: &Shared<F>) {
        let Err(end) = went else { return };
        self.greeting = None;
        if !matches!(
            end,
            End::Served | End::SentAway | End::ClientEnded | End::ClientBroke | End::Moved
        ) {
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
        let Phase::Lingering(client, server) = &self.phase else {
            return;
        };
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

    /// Something panicked at work on it: it ends, after its final answer.
    pub(super) fn panicked(&mut self, shared: &Shared<F>) {
        error!(
            part = shared.front.name(),
            transaction = self.id,
            "transaction panicked"
        );
        shared.core.tell(Event::Lost(self.id));
        self.answer(Word::Failed, shared);
        if matches!(self.phase, Phase::Standing(_) | Phase::HearingOut(..)) {
            self.wound_up(End::Cut);
        }
        if !matches!(self.phase, Phase::Lingering(..)) {
            self.phase = Phase::Over;
        }
    }

    /// Tells the core how an attempt, or the connection, ended.
    pub(super) fn book(&self, error: &PassError, shared: &Shared<F>) {
        if matches!(
            error,
            PassError::Answered(Answer::SentAway) | PassError::Standing(End::SentAway)
        ) {
            shared.core.tell(Event::SentAway(self.id));
        }
        shared
            .core
            .tell(Event::Ended(self.id, error.outcome(), self.begun.elapsed()));
    }

    /// Has the poller watch what is wanted of both sides.
    pub(super) fn watch(&mut self, poller: &Poller) -> io::Result<()> {
        let nothing = EventFlags::empty();
        let (client, server, wanted) = match &self.phase {
            Phase::Waiting(link) => (link.stream(), None, (EventFlags::IN, nothing)),
            Phase::Lingering(client, server) => {
                let wants_server = server.as_ref().map_or(nothing, Lingering::wants);
                (
                    client.stream(),
                    server.as_ref().map(Lingering::stream),
                    (client.wants(), wants_server),
                )
            }
            Phase::Standing(standing) => {
                let (client, server) = standing.sides();
                (client, Some(server), standing.wants())
            }
            Phase::HearingOut(standing, _) => {
                let (client, server) = standing.sides();
                // A client that has ended its sending is ready to be read at all times.
                let (wants_client, wants_server) = standing.wants();
                (
                    client,
                    Some(server),
                    (wants_client & EventFlags::OUT, wants_server),
                )
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
