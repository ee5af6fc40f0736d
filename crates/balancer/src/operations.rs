//! The operations port: whoever runs this program asks whether it serves, has it stand by, and has it take clients
//! again. HTTP, one call a connection; `docs/operations.md` is for its callers.
//!
//! One thread and one loop that waits for nobody: answers are owed in a second under any load, beside callers that
//! hold their connections and say nothing. What it may hold is set aside at the start.

use std::io;
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, Sender, unbounded};
use serde_json::json;
use tracing::{info, warn};

use crate::core::lifecycle::{Refused, State, Word};
use crate::core::{Event, Handle, Told};
use crate::http::{Incoming, Reply, Request, Unread};
use crate::net::{self, Listener, Outflow, ReadError};
use crate::poller::{Bell, EventFlags, Poller};

/// Callers at once; the one that has been silent longest gives way to the next.
const CALLERS: usize = 16;
/// Descriptors that the port holds at most: its callers', its listener, and its poller's two.
pub const DESCRIPTORS: usize = CALLERS + 3;
/// Longest head and longest body of a call.
const LONGEST: (usize, usize) = (4 * 1024, 1024);
/// A call is whole by then or is given up.
const PATIENCE: Duration = Duration::from_secs(5);
/// The cores have followed a word by then, or the caller hears that they have not. An answer is owed in 1 s.
const FOLLOWED: Duration = Duration::from_millis(800);
/// An answered caller is read for so long, so that its answer is not lost to a reset.
const LAST_WORD: Duration = Duration::from_millis(200);
/// What is due without a caller being ready is looked for this often while there are callers.
const LOOK: Duration = Duration::from_millis(50);
/// The listener's token; callers have those from 1 on.
const LISTENER: u64 = 0;

/// The port, set up.
pub struct Operations {
    listener: TcpListener,
    poller: Poller,
    cores: Vec<Handle>,
    callers: Vec<Caller>,
    next: u64,
    followed: (Sender<Followed>, Receiver<Followed>),
}

/// What came of a word, for the caller of that number.
type Followed = (u64, Result<State, Refused>);

struct Caller {
    number: u64,
    stream: TcpStream,
    incoming: Incoming,
    out: Outflow,
    /// When it last said something.
    heard: Instant,
    phase: Phase,
    /// What the poller watches it for.
    watched: EventFlags,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// It has been answered, and is read until then.
    Answered(Instant),
    /// Its call is not whole; it is given up then.
    Calling(Instant),
    /// The cores are to follow its word until then.
    Waiting(Instant),
    /// It is over.
    Over,
}

/// Sets the port up, over all cores of the program.
pub fn listen(
    Listener {
        socket: listener, ..
    }: Listener,
    cores: Vec<Handle>,
) -> io::Result<Operations> {
    let poller = Poller::new()?;
    poller.watch(&listener, LISTENER, (EventFlags::empty(), EventFlags::IN))?;
    info!(part = "operations", on = %listener.local_addr()?, "serves");
    let callers = Vec::with_capacity(CALLERS);
    Ok(Operations {
        listener,
        poller,
        cores,
        callers,
        next: LISTENER + 1,
        followed: unbounded(),
    })
}

impl Operations {
    /// Serves calls for as long as the program runs.
    pub fn run(mut self) {
        loop {
            let patience = if self.callers.is_empty() {
                Duration::from_secs(60)
            } else {
                LOOK
            };
            let ready = self.poller.wait(patience);
            // Those that are here come before those that come: one whose call is there is answered, and not let go.
            for number in ready.iter().filter(|token| **token != LISTENER) {
                self.with(*number, Self::hear);
            }
            while let Ok((number, followed)) = self.followed.1.try_recv() {
                self.with(number, |_, caller| {
                    if let Phase::Waiting(_) = caller.phase {
                        caller.answer(&word_reply(followed));
                    }
                });
            }
            let now = Instant::now();
            let due: Vec<u64> = self
                .callers
                .iter()
                .filter(|caller| caller.is_due(now))
                .map(|caller| caller.number)
                .collect();
            for number in due {
                self.with(number, |_, caller| caller.time_is_up());
            }
            if ready.contains(&LISTENER) {
                self.accept();
            }
        }
    }

    /// Accepts those that come, as far as there is room; for one of them room is made. Guards against callers that
    /// have left or have their call there and would give way unheard.
    fn accept(&mut self) {
        for accepted in 0..CALLERS {
            if accepted > 0 && self.callers.len() == CALLERS {
                return;
            }
            let stream = match self.listener.accept() {
                Ok((stream, _)) => stream,
                Err(error) if net::is_wait(&error) => return,
                Err(error) => {
                    warn!(part = "operations", why = %error, "accept failed");
                    // Guards against a busy loop while there are no descriptors to be had.
                    return std::thread::sleep(Duration::from_millis(10));
                }
            };
            self.make_room();
            if net::prepare(&stream).is_err() {
                continue;
            }
            let (number, heard) = (self.next, Instant::now());
            self.next += 1;
            self.callers.push(Caller {
                number,
                stream,
                incoming: Incoming::new(LONGEST),
                out: Outflow::default(),
                heard,
                phase: Phase::Calling(heard + PATIENCE),
                watched: EventFlags::empty(),
            });
            // A call is mostly there with its connection.
            self.with(number, Self::hear);
        }
    }

    /// Guards against callers that connect and say nothing: one that has been answered, or else the one that has been
    /// silent longest, makes room.
    fn make_room(&mut self) {
        if self.callers.len() < CALLERS {
            return;
        }
        let rank = |caller: &Caller| match caller.phase {
            Phase::Answered(_) | Phase::Over => (0, caller.heard),
            Phase::Calling(_) => (1, caller.heard),
            Phase::Waiting(_) => (2, caller.heard),
        };
        let first = (0..self.callers.len()).min_by_key(|at| rank(&self.callers[*at]));
        let Some(mut caller) = first.map(|at| self.callers.swap_remove(at)) else {
            return;
        };
        if !matches!(caller.phase, Phase::Answered(_)) {
            caller.answer(&Reply::error(503, "too many callers at once"));
        }
        net::close(&caller.stream);
    }

    /// Does something with a caller, and watches what is wanted of it then.
    fn with(&mut self, number: u64, act: impl FnOnce(&mut Operations, &mut Caller)) {
        let Some(at) = self
            .callers
            .iter()
            .position(|caller| caller.number == number)
        else {
            return;
        };
        let mut caller = self.callers.swap_remove(at);
        act(self, &mut caller);
        let wanted = caller.wants();
        let watched = self
            .poller
            .watch(&caller.stream, number, (caller.watched, wanted));
        caller.watched = wanted;
        if watched.is_ok() && caller.phase != Phase::Over {
            return self.callers.push(caller);
        }
        net::close(&caller.stream);
    }

    fn hear(&mut self, caller: &mut Caller) {
        match caller.phase {
            Phase::Answered(_) => {
                if !caller.out.linger(&caller.stream) {
                    caller.phase = Phase::Over;
                }
            }
            // Until it is whole or nothing is left to be read: what a call may hold bounds this.
            Phase::Calling(_) => {
                while matches!(caller.phase, Phase::Calling(_)) && self.hear_on(caller) {}
            }
            Phase::Waiting(_) | Phase::Over => {}
        }
    }

    /// Reads on once; false where there is nothing more to be read now.
    fn hear_on(&mut self, caller: &mut Caller) -> bool {
        let heard = match caller.incoming.read(&caller.stream, Instant::now()) {
            Err(ReadError::TimedOut) => return false,
            heard => heard.map_err(Unread::from),
        };
        match heard.and_then(|()| caller.incoming.whole()) {
            Ok(Some(request)) => self.call(caller, &request),
            Ok(None) => caller.heard = Instant::now(),
            Err(Unread::Gone) => caller.phase = Phase::Over,
            Err(Unread::Refused(reply)) => caller.answer(&reply),
        }
        true
    }

    fn call(&mut self, caller: &mut Caller, request: &Request) {
        let path = request.path.split('?').next().unwrap_or_default();
        let word = match (path, request.method.as_str()) {
            ("/status", "GET") => return caller.answer(&self.status()),
            ("/standby", "POST") => Word::Standby,
            ("/active", "POST") => Word::Active,
            ("/status", _) => return caller.answer(&not_here("GET")),
            ("/standby" | "/active", _) => return caller.answer(&not_here("POST")),
            _ => return caller.answer(&Reply::error(404, "no such path")),
        };
        info!(part = "audit", word = ?word, who = %peer(&caller.stream), "operator's word");
        caller.phase = Phase::Waiting(Instant::now() + FOLLOWED);
        let told = Arc::new(Answers {
            left: AtomicUsize::new(self.cores.len()),
            number: caller.number,
            to: self.followed.0.clone(),
            bell: self.poller.bell(),
        });
        for core in &self.cores {
            let told = Arc::clone(&told);
            core.tell(Event::Told(
                word,
                Some(Told::new(move |followed| told.take(followed))),
            ));
        }
    }

    fn status(&self) -> Reply {
        let shown: Vec<_> = self.cores.iter().map(Handle::shown).collect();
        let ready = shown.iter().all(|shown| shown.is_ready());
        // That front whose state keeps the program from being ready, if one does.
        let told = shown
            .iter()
            .find(|shown| !shown.is_ready())
            .or_else(|| shown.first());
        let state = told.map_or("starting", |shown| shown.state().name());
        let core = if shown.iter().all(|shown| shown.works()) {
            "works"
        } else {
            "silent"
        };
        let open: usize = self.cores.iter().map(Handle::connections).sum();
        let body = json!({ "ready": ready, "state": state, "core": core, "connections": open });
        Reply::new(if ready { 200 } else { 503 }, body)
    }
}

/// Gathers what the cores make of one word.
struct Answers {
    left: AtomicUsize,
    number: u64,
    to: Sender<Followed>,
    bell: Bell,
}

impl Answers {
    /// The last of the cores, or the first that refuses, has the caller answered.
    fn take(&self, followed: Result<State, Refused>) {
        let last = self.left.fetch_sub(1, Ordering::SeqCst) == 1;
        if last || followed.is_err() {
            // A caller that has been answered hears no second answer.
            let _ = self.to.send((self.number, followed));
            self.bell.ring();
        }
    }
}

fn word_reply(followed: Result<State, Refused>) -> Reply {
    match followed {
        Ok(state) => Reply::new(200, json!({ "state": state.name() })),
        Err(refused) => Reply::error(409, refused.to_string()),
    }
}

fn not_here(allowed: &'static str) -> Reply {
    Reply::error(405, "no such method here").with("Allow", allowed)
}

fn peer(stream: &TcpStream) -> String {
    stream
        .peer_addr()
        .map_or_else(|_| "gone".into(), |peer| peer.to_string())
}

impl Caller {
    fn answer(&mut self, reply: &Reply) {
        self.phase = Phase::Answered(Instant::now() + LAST_WORD);
        self.out.part(&self.stream, &reply.bytes());
    }

    fn is_due(&self, now: Instant) -> bool {
        match self.phase {
            Phase::Answered(until) | Phase::Calling(until) | Phase::Waiting(until) => now >= until,
            Phase::Over => true,
        }
    }

    fn time_is_up(&mut self) {
        match self.phase {
            Phase::Calling(_) => self.answer(&Reply::error(408, "the call did not come in time")),
            Phase::Waiting(_) => self.answer(&Reply::error(
                503,
                "not followed in time; ask for the status",
            )),
            Phase::Answered(_) | Phase::Over => self.phase = Phase::Over,
        }
    }

    fn wants(&self) -> EventFlags {
        match self.phase {
            Phase::Answered(_) => {
                let mut wants = EventFlags::empty();
                wants.set(EventFlags::IN, self.out.reads_on());
                wants.set(EventFlags::OUT, !self.out.is_empty());
                wants
            }
            Phase::Calling(_) => EventFlags::IN,
            // One that leaves meanwhile is answered in vain.
            Phase::Waiting(_) | Phase::Over => EventFlags::empty(),
        }
    }
}
