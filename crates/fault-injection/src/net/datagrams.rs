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
const LONGEST_DATAGRAM: usize = 65_536;

/// Somebody who sends datagrams and hears them.
pub(super) struct Party {
    /// Where the others send to, and what they hear comes from.
    socket: UdpSocket,
    /// Where it is itself.
    at: SocketAddr,
}

impl Relay {
    /// Adds a party, and its links with those that are there.
    pub(super) fn add_party(&mut self, name: &str, at: SocketAddr) -> SocketAddr {
        let mut socket = UdpSocket::bind(address::listening()).expect("loopback");
        let known = socket.local_addr().expect("bound");
        self.own(
            &mut socket,
            Owner::Datagrams(name.to_owned()),
            Interest::READABLE,
        );
        for near in self.parties.keys() {
            let (link, near, far) = (format!("{near}~{name}"), near.clone(), name.to_owned());
            self.links.insert(
                link,
                LinkState {
                    near,
                    far,
                    impairments: Default::default(),
                    listening: None,
                },
            );
        }
        self.parties.insert(name.to_owned(), Party { socket, at });
        known
    }

    /// Takes in what was sent to a party. What comes from a stranger is nobody's to break, and passes.
    pub(super) fn receive(&mut self, to: &str) {
        let mut buffer = vec![0; LONGEST_DATAGRAM];
        loop {
            let Some(party) = self.parties.get(to) else {
                return;
            };
            let Ok((count, from)) = party.socket.recv_from(&mut buffer) else {
                return;
            };
            let known = self
                .parties
                .iter()
                .find(|(_, party)| party.at == from)
                .map(|(name, _)| name);
            let from = known.cloned().unwrap_or_default();
            self.send_on(&from, to, &buffer[..count]);
        }
    }

    /// Has a datagram arrive later, once, twice or not at all, as its way is.
    fn send_on(&mut self, from: &str, to: &str, bytes: &[u8]) {
        let impairment = self.impairment(from, to);
        if impairment.cut || self.rng.random_bool(impairment.lose) {
            return;
        }
        let copies = 1 + usize::from(self.rng.random_bool(impairment.double));
        for _ in 0..copies {
            let due = Instant::now() + random_duration(&mut self.rng, impairment.delay);
            self.timers.enter(
                due,
                TimerKind::Deliver(from.to_owned(), to.to_owned(), bytes.to_vec()),
            );
        }
    }

    /// What is wrong with the way from one party to another.
    fn impairment(&self, from: &str, to: &str) -> Impairment {
        let there = self
            .links
            .get(&format!("{from}~{to}"))
            .map(|link| link.impairments[0]);
        let back = || {
            self.links
                .get(&format!("{to}~{from}"))
                .map(|link| link.impairments[1])
        };
        there.or_else(back).unwrap_or_default()
    }

    /// Gives a datagram to its party. One that finds nobody is lost.
    pub(super) fn deliver(&mut self, from: &str, to: &str, bytes: &[u8]) {
        let Some(party) = self.parties.get(to) else {
            return;
        };
        let by = self.parties.get(from).unwrap_or(party);
        let _ = by.socket.send_to(bytes, party.at);
    }
}
