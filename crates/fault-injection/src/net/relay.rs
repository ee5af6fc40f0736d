//! The relay's thread: it waits for sockets, orders and timers, and hands each event to whoever owns it.

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
/// Events that are taken from the system at once.
const MAX_EVENTS_PER_POLL: usize = 512;
/// The wait counts whole milliseconds; it is rounded up by this.
const POLL_ROUNDING: Duration = Duration::from_millis(1);

/// Something that the thread is asked to do.
pub(super) type Command = Box<dyn FnOnce(&mut Relay) + Send>;

/// A link as the relay has it.
pub(super) struct LinkState {
    pub(super) near: String,
    pub(super) far: String,
    /// What is wrong with each direction: there, and back.
    pub(super) impairments: [Impairment; 2],
    /// Where its connections come in. A link for datagrams has none: its parties have a socket each.
    pub(super) listener: Option<LinkListener>,
}

/// Whose events a token stands for.
#[derive(Clone)]
pub(super) enum Owner {
    /// A link's listener.
    Listener(String),
    /// A connection, by its number.
    Connection(usize),
    /// A party's datagrams.
    Datagrams(String),
}

/// Everything that the thread has.
pub(super) struct Relay {
    poll: Poll,
    pub(super) record: Record,
    pub(super) rng: Pcg64Mcg,
    pub(super) links: BTreeMap<String, LinkState>,
    pub(super) peers: BTreeMap<String, Peer>,
    pub(super) connections: BTreeMap<usize, ForwardedConnection>,
    owners: BTreeMap<usize, Owner>,
    pub(super) timers: Timers,
    /// Tokens and connections are numbered on from here.
    last_number: usize,
}

impl Relay {
    /// A relay without links, and what wakes its thread.
    pub(super) fn new(record: Record, seed: u64) -> (Relay, Waker) {
        let poll = Poll::new().expect("epoll");
        let waker = Waker::new(poll.registry(), WAKER).expect("an eventfd");
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

    /// Runs until an order without content comes.
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
        // Guards against a wait that is cut short and would spin.
        let left = self.timers.time_to_next().map(|left| {
            if left.is_zero() {
                left
            } else {
                left + POLL_ROUNDING
            }
        });
        match self.poll.poll(events, left) {
            Err(error) if error.kind() != io::ErrorKind::Interrupted => panic!("epoll: {error}"),
            _ => {}
        }
    }

    /// Whose events came. Ends go first. Guards against a connection that was ended before another was begun, and
    /// seems to outlast it.
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

    /// Enters the lines of a script, which begins now.
    pub(super) fn play(&mut self, script: Script) {
        let now = Instant::now();
        for line in script.0 {
            self.timers
                .schedule(now + line.after, TimerKind::Play(line.link, line.fault));
        }
    }

    /// A number that nothing else has.
    pub(super) fn next_number(&mut self) -> usize {
        self.last_number += 1;
        self.last_number
    }

    /// Has a socket's events go to an owner, until `disown`; gives their token.
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
            .expect("epoll");
        token
    }

    /// A token's events are left out from now on.
    pub(super) fn deregister(&mut self, token: usize) {
        self.owners.remove(&token);
    }

    /// The events of a link's listener are left out from now on.
    pub(super) fn deregister_listener(&mut self, link: &str) {
        self.owners
            .retain(|_, owner| !matches!(owner, Owner::Listener(of) if of == link));
    }
}

/// A time, and up to as much again.
pub(super) fn random_duration(rng: &mut Pcg64Mcg, time: Duration) -> Duration {
    if time.is_zero() {
        time
    } else {
        time.mul_f64(rng.random_range(1.0..2.0))
    }
}
