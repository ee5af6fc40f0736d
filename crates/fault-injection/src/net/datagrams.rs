//! Datagrams between parties. Each party has a socket here, by which all others know it.

use std::net::SocketAddr;
use std::time::Instant;

use mio::Interest;
use mio::net::UdpSocket;
use rand::Rng as _;

use super::relay::{LinkState, Owner, Relay, random_duration};
use super::timers::TimerKind;
use crate::address;
use crate::flow::Impairment;

/// Longest datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 65_536;

/// Somebody who sends datagrams and hears them.
pub(super) struct Peer {
    /// Where the others send to, and what they hear comes from.
    socket: UdpSocket,
    /// Where it is itself.
    address: SocketAddr,
}

impl Relay {
    /// Adds a party, and its links with those that are there.
    pub(super) fn add_peer(&mut self, name: &str, address: SocketAddr) -> SocketAddr {
        let mut socket = UdpSocket::bind(address::listen_address()).expect("loopback");
        let public_address = socket.local_addr().expect("bound");
        self.register(
            &mut socket,
            Owner::Datagrams(name.to_owned()),
            Interest::READABLE,
        );
        for near in self.peers.keys() {
            let (link, near, far) = (format!("{near}~{name}"), near.clone(), name.to_owned());
            self.links.insert(
                link,
                LinkState {
                    near,
                    far,
                    impairments: Default::default(),
                    listener: None,
                },
            );
        }
        self.peers.insert(name.to_owned(), Peer { socket, address });
        public_address
    }

    /// Takes in what was sent to a party. What comes from a stranger is nobody's to break, and passes.
    pub(super) fn receive(&mut self, to: &str) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let Some(peer) = self.peers.get(to) else {
                return;
            };
            let Ok((count, from)) = peer.socket.recv_from(&mut buffer) else {
                return;
            };
            let sender = self
                .peers
                .iter()
                .find(|(_, peer)| peer.address == from)
                .map(|(name, _)| name);
            let from = sender.cloned().unwrap_or_default();
            self.schedule_delivery(&from, to, &buffer[..count]);
        }
    }

    /// Has a datagram arrive later, once, twice or not at all, as its way is.
    fn schedule_delivery(&mut self, from: &str, to: &str, bytes: &[u8]) {
        let impairment = self.impairment(from, to);
        if impairment.partitioned || self.rng.random_bool(impairment.drop_rate) {
            return;
        }
        let copies = 1 + usize::from(self.rng.random_bool(impairment.duplicate_rate));
        for _ in 0..copies {
            let due = Instant::now() + random_duration(&mut self.rng, impairment.delay);
            self.timers.schedule(
                due,
                TimerKind::Deliver(from.to_owned(), to.to_owned(), bytes.to_vec()),
            );
        }
    }

    /// What is wrong with the way from one party to another.
    fn impairment(&self, from: &str, to: &str) -> Impairment {
        let forward = self
            .links
            .get(&format!("{from}~{to}"))
            .map(|link| link.impairments[0]);
        let reverse = || {
            self.links
                .get(&format!("{to}~{from}"))
                .map(|link| link.impairments[1])
        };
        forward.or_else(reverse).unwrap_or_default()
    }

    /// Gives a datagram to its party. One that finds nobody is lost.
    pub(super) fn deliver(&mut self, from: &str, to: &str, bytes: &[u8]) {
        let Some(peer) = self.peers.get(to) else {
            return;
        };
        let sender = self.peers.get(from).unwrap_or(peer);
        let _ = sender.socket.send_to(bytes, peer.address);
    }
}
