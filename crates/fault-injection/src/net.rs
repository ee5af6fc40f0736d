//! The links of a test. One thread, the relay, forwards the connections and datagrams of all links.
//!
//! [`Net`] is the handle that adds links and applies faults to them. The modules of the relay:
//!
//! - `relay` polls sockets, commands and timers, and dispatches each event to its owner;
//! - `connections` accepts and forwards connections, `datagrams` forwards datagrams;
//! - `faults` applies a [`Fault`] to a link;
//! - `timers` holds the scheduled actions.

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

/// Observes one connection of a link, as seen from its near side.
pub trait LinkObserver: Send {
    /// Called by the relay for each observation, in order. Must not block.
    fn observe(&mut self, observation: Observation<'_>);
}

/// Creates an observer for each connection.
pub type MakeObserver = Box<dyn Fn() -> Box<dyn LinkObserver> + Send>;

/// A link for connections.
pub struct Link {
    /// The name that faults refer to; `near>far` by default.
    pub name: String,
    /// The name of the side that connects.
    pub near: String,
    /// The name of the side that is connected to.
    pub far: String,
    /// The address the far side listens on.
    pub target: SocketAddr,
    /// The source address that the far side sees; chosen by the system if absent.
    pub source: Option<IpAddr>,
    /// Creates the observers of its connections; without it, they are not observed.
    pub make_observer: Option<MakeObserver>,
}

impl Link {
    /// A link with the default name, any source address and no observers.
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

/// The links of one test. Dropping it stops the relay thread and closes all connections.
pub struct Net {
    commands: Sender<Option<Command>>,
    waker: Waker,
    thread: Option<JoinHandle<()>>,
}

impl Net {
    /// Starts the relay thread. The seed determines random delays and datagram loss.
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

    /// Runs a command on the relay thread and returns its result.
    fn call<T: Send + 'static>(&self, command: impl FnOnce(&mut Relay) -> T + Send + 'static) -> T {
        let (send, receive) = channel();
        let command = Box::new(move |relay: &mut Relay| drop(send.send(command(relay))));
        self.commands
            .send(Some(command))
            .expect("the relay thread is running");
        self.waker.wake().expect("wake the relay thread");
        receive.recv().expect("the relay thread is running")
    }

    /// Adds a link for connections; returns the address that the near side is to connect to.
    pub fn add_link(&self, link: Link) -> SocketAddr {
        self.call(|relay| relay.add_link(link))
    }

    /// Adds a peer that sends and receives datagrams at an address; returns the address that all other peers are to use
    /// for it. It gets a link `first~second` with each peer added before.
    pub fn add_peer(&self, name: &str, address: SocketAddr) -> SocketAddr {
        let name = name.to_owned();
        self.call(move |relay| relay.add_peer(&name, address))
    }

    /// Applies a fault to a link; returns once it is in effect. The relay panics if there is no such link.
    pub fn fault(&self, link: &str, fault: Fault) {
        let link = link.to_owned();
        self.call(move |relay| relay.apply(&link, fault));
    }

    /// Applies a fault to each link that has this name on either side.
    pub fn fault_all(&self, peer: &str, fault: Fault) {
        self.links_of(peer)
            .iter()
            .for_each(|link| self.fault(link, fault));
    }

    /// The names of the links that have this name on either side.
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

    /// The names of all links.
    pub fn links(&self) -> Vec<String> {
        self.call(|relay| relay.links.keys().cloned().collect())
    }

    /// Starts a script and returns at once. Each fault is recorded when it is applied.
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
