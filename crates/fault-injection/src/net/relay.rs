//! The relay thread: polls sockets, commands and timers, and dispatches each event to its owner.

use std::collections::BTreeMap;
use std::io;
use std::sync::mpsc::Receiver;
use std::time::{Duration, Instant};

use mio::event::{Event, Source};
use mio::{Events, Interest, Poll, Token, Waker};
use rand::{Rng as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;

use super::connections::{ForwardedConnection, LinkListener};
use super::datagrams::Peer;
use super::timers::{TimerKind, Timers};
use crate::fault::Script;
use crate::flow::Impairment;
use crate::record::Record;

const WAKER: Token = Token(0);
/// Maximum number of events per poll.
const MAX_EVENTS_PER_POLL: usize = 512;
/// Added to a poll timeout, which is truncated to whole milliseconds.
const POLL_ROUNDING: Duration = Duration::from_millis(1);

/// A command for the relay thread.
pub(super) type Command = Box<dyn FnOnce(&mut Relay) + Send>;

/// The state of a link.
pub(super) struct LinkState {
    pub(super) near: String,
    pub(super) far: String,
    /// The impairment of each direction: forward, reverse.
    pub(super) impairments: [Impairment; 2],
    /// The listener of its connections. A link for datagrams has none: each of its peers has a socket.
    pub(super) listener: Option<LinkListener>,
}

/// The owner of the events of a token.
#[derive(Clone)]
pub(super) enum Owner {
    /// The listener of a link.
    Listener(String),
    /// A connection, by its number.
    Connection(usize),
    /// The datagram socket of a peer.
    Datagrams(String),
}

/// The state of the relay thread.
pub(super) struct Relay {
    poll: Poll,
    pub(super) record: Record,
    pub(super) rng: Pcg64Mcg,
    pub(super) links: BTreeMap<String, LinkState>,
    pub(super) peers: BTreeMap<String, Peer>,
    pub(super) connections: BTreeMap<usize, ForwardedConnection>,
    owners: BTreeMap<usize, Owner>,
    pub(super) timers: Timers,
    /// The last number given to a token or a connection.
    last_number: usize,
}

impl Relay {
    /// A relay without links, and the waker of its thread.
    pub(super) fn new(record: Record, seed: u64) -> (Relay, Waker) {
        let poll = Poll::new().expect("create an epoll instance");
        let waker = Waker::new(poll.registry(), WAKER).expect("create an eventfd");
        let relay = Relay {
            poll,
            record,
            rng: Pcg64Mcg::seed_from_u64(seed),
            links: BTreeMap::new(),
            peers: BTreeMap::new(),
            connections: BTreeMap::new(),
            owners: BTreeMap::new(),
            timers: Timers::default(),
            last_number: WAKER.0,
        };
        (relay, waker)
    }

    /// Runs until it receives `None` as a command.
    pub(super) fn run(&mut self, commands: &Receiver<Option<Command>>) {
        let mut events = Events::with_capacity(MAX_EVENTS_PER_POLL);
        loop {
            self.wait(&mut events);
            for owner in self.owners_of(&events) {
                self.handle(&owner);
            }
            while let Ok(command) = commands.try_recv() {
                let Some(command) = command else { return };
                command(self);
            }
            while let Some(due) = self.timers.take_expired() {
                self.run_timer(due);
            }
        }
    }

    fn wait(&mut self, events: &mut Events) {
        // Rounding up prevents a busy loop over polls that return just before a timer is due.
        let timeout = self.timers.time_to_next().map(|timeout| {
            if timeout.is_zero() {
                timeout
            } else {
                timeout + POLL_ROUNDING
            }
        });
        match self.poll.poll(events, timeout) {
            Err(error) if error.kind() != io::ErrorKind::Interrupted => {
                panic!("polling sockets failed: {error}")
            }
            _ => {}
        }
    }

    /// The owners of the events, closed connections first. Otherwise a connection that closed before another opened
    /// would be observed to outlast it.
    fn owners_of(&self, events: &Events) -> Vec<Owner> {
        let mut all: Vec<&Event> = events.iter().collect();
        all.sort_by_key(|event| !(event.is_read_closed() || event.is_error()));
        all.iter()
            .filter_map(|event| self.owners.get(&event.token().0).cloned())
            .collect()
    }

    fn handle(&mut self, owner: &Owner) {
        match owner {
            Owner::Listener(link) => self.accept(link),
            Owner::Connection(number) => self.pump(*number),
            Owner::Datagrams(peer) => self.receive(peer),
        }
    }

    fn run_timer(&mut self, kind: TimerKind) {
        match kind {
            TimerKind::Pump(number) => self.pump(number),
            TimerKind::Deliver(from, to, bytes) => self.deliver(&from, &to, &bytes),
            TimerKind::Play(link, fault) => self.apply(&link, fault),
        }
    }

    /// Schedules the faults of a script that starts now.
    pub(super) fn play(&mut self, script: Script) {
        let now = Instant::now();
        for line in script.0 {
            self.timers
                .schedule(now + line.after, TimerKind::Play(line.link, line.fault));
        }
    }

    /// A new unique number for a token or a connection.
    pub(super) fn next_number(&mut self) -> usize {
        self.last_number += 1;
        self.last_number
    }

    /// Registers a socket for an owner until `deregister`; returns its token.
    pub(super) fn register(
        &mut self,
        socket: &mut impl Source,
        owner: Owner,
        interest: Interest,
    ) -> usize {
        let token = self.next_number();
        self.owners.insert(token, owner);
        self.poll
            .registry()
            .register(socket, Token(token), interest)
            .expect("register a socket with epoll");
        token
    }

    /// Ignores the events of a token from now on.
    pub(super) fn deregister(&mut self, token: usize) {
        self.owners.remove(&token);
    }

    /// Ignores the events of the listener of a link from now on.
    pub(super) fn deregister_listener(&mut self, link: &str) {
        self.owners
            .retain(|_, owner| !matches!(owner, Owner::Listener(of) if of == link));
    }
}

/// A random duration between the given time and twice that.
pub(super) fn random_duration(rng: &mut Pcg64Mcg, time: Duration) -> Duration {
    if time.is_zero() {
        time
    } else {
        time.mul_f64(rng.random_range(1.0..2.0))
    }
}
