//! Forwards datagrams between peers. The relay has one socket per peer, whose address all other peers use for it.

use std::net::SocketAddr;
use std::time::Instant;

use mio::Interest;
use mio::net::UdpSocket;
use rand::Rng as _;

use super::relay::{LinkState, Owner, Relay, random_duration};
use super::timers::TimerKind;
use crate::address;
use crate::flow::Impairment;

/// Size of the receive buffer; no datagram is longer.
const MAX_DATAGRAM_BYTES: usize = 65_536;

/// A peer that sends and receives datagrams.
pub(super) struct Peer {
    /// The socket that other peers send to and receive from.
    socket: UdpSocket,
    /// The address of the peer itself.
    address: SocketAddr,
}

impl Relay {
    /// Adds a peer and its links with the existing peers.
    pub(super) fn add_peer(&mut self, name: &str, address: SocketAddr) -> SocketAddr {
        let mut socket =
            UdpSocket::bind(address::listen_address()).expect("bind a loopback socket");
        let public_address = socket.local_addr().expect("a bound socket has an address");
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

    /// Receives the datagrams sent to a peer. Datagrams from an unknown sender belong to no link and pass without
    /// faults.
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

    /// Schedules the delivery of a datagram once or twice, or drops it, by the impairment of its link.
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

    /// The impairment from one peer to another.
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

    /// Delivers a datagram to its peer. A send error loses the datagram.
    pub(super) fn deliver(&mut self, from: &str, to: &str, bytes: &[u8]) {
        let Some(peer) = self.peers.get(to) else {
            return;
        };
        let sender = self.peers.get(from).unwrap_or(peer);
        let _ = sender.socket.send_to(bytes, peer.address);
    }
}
