//! The links of a story: one thread, the relay, carries the bytes and datagrams of all of them.
//!
//! [`Net`] is the handle by which a story adds links and breaks them. The parts of the thread:
//!
//! - `relay` waits for sockets, orders and timers, and hands each event to its owner;
//! - `connections` accepts and forwards connections, `datagrams` does the same for datagrams;
//! - `faults` applies a [`Fault`] to a link;
//! - `timers` keeps what is due later.

mod connections;
mod datagrams;
mod faults;
mod relay;
mod timers;

use std::net::{IpAddr, SocketAddr};
use std::sync::mpsc::{Sender, channel};
use std::thread::JoinHandle;

use mio::Waker;

use crate::fault::{Fault, Script};
use crate::flow::Observation;
use crate::record::Record;
use relay::{Command, Relay};

/// Follows one connection of a link from the near side's wire.
pub trait LinkObserver: Send {
    /// Something was seen.
    fn observe(&mut self, observation: Observation<'_>);
}

/// Makes an observer for each connection.
pub type MakeObserver = Box<dyn Fn() -> Box<dyn LinkObserver> + Send>;

/// A link for connections.
pub struct Link {
    /// Its name, `near>far` if nothing else is wanted.
    pub name: String,
    /// Who connects to it.
    pub near: String,
    /// Who is reached through it.
    pub far: String,
    /// Where the far side listens.
    pub target: SocketAddr,
    /// Where the far side sees it come from.
    pub source: Option<IpAddr>,
    /// Who follows its connections.
    pub make_observer: Option<MakeObserver>,
}

impl Link {
    /// A link under its usual name.
    pub fn new(near: &str, far: &str, target: SocketAddr) -> Link {
        let (near, far) = (near.to_owned(), far.to_owned());
        Link {
            name: format!("{near}>{far}"),
            near,
            far,
            target,
            source: None,
            make_observer: None,
        }
    }
}

/// The links of one story. Dropping it ends the thread, and all connections with it.
pub struct Net {
    commands: Sender<Option<Command>>,
    waker: Waker,
    thread: Option<JoinHandle<()>>,
}

impl Net {
    /// Starts the thread. Chance (delays, lost datagrams) comes from the seed.
    pub fn start(record: &Record, seed: u64) -> Net {
        let (mut relay, waker) = Relay::new(record.clone(), seed);
        let (commands, receiver) = channel();
        let thread = std::thread::spawn(move || relay.run(&receiver));
        Net {
            commands,
            waker,
            thread: Some(thread),
        }
    }

    /// Has the thread do something, and gives back what came of it.
    fn call<T: Send + 'static>(&self, command: impl FnOnce(&mut Relay) -> T + Send + 'static) -> T {
        let (send, receive) = channel();
        let command = Box::new(move |relay: &mut Relay| drop(send.send(command(relay))));
        self.commands.send(Some(command)).expect("the relay runs");
        self.waker.wake().expect("an eventfd");
        receive.recv().expect("the relay runs")
    }

    /// Adds a link for connections; gives the address that the near side is to be told.
    pub fn add_link(&self, link: Link) -> SocketAddr {
        self.call(|relay| relay.add_link(link))
    }

    /// Adds a party that sends datagrams from an address and hears them there; gives the address that all others are
    /// to know it by. It has a link with each of those added before, `first~second`.
    pub fn add_peer(&self, name: &str, address: SocketAddr) -> SocketAddr {
        let name = name.to_owned();
        self.call(move |relay| relay.add_peer(&name, address))
    }

    /// Does something to a link, and gives back once it holds.
    pub fn fault(&self, link: &str, fault: Fault) {
        let link = link.to_owned();
        self.call(move |relay| relay.apply(&link, fault));
    }

    /// Does something to each link that a party has at either side.
    pub fn fault_all(&self, peer: &str, fault: Fault) {
        self.links_of(peer)
            .iter()
            .for_each(|link| self.fault(link, fault));
    }

    /// The links that a party has at either side.
    pub fn links_of(&self, peer: &str) -> Vec<String> {
        let peer = peer.to_owned();
        self.call(move |relay| {
            let links = relay
                .links
                .iter()
                .filter(|(_, link)| link.near == peer || link.far == peer);
            links.map(|(name, _)| name.clone()).collect()
        })
    }

    /// Every link.
    pub fn links(&self) -> Vec<String> {
        self.call(|relay| relay.links.keys().cloned().collect())
    }

    /// Plays a script from now on; gives back at once. Each line stands in the record when it is done.
    pub fn play(&self, script: Script) {
        self.call(move |relay| relay.play(script));
    }
}

impl Drop for Net {
    fn drop(&mut self) {
        let _ = self.commands.send(None);
        let _ = self.waker.wake();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
