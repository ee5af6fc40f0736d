//! The peers' sealed datagrams, brought to the suite: an end is what a process tells the others through its node.

use std::collections::VecDeque;
use std::net::UdpSocket;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use beaconflow_contracts::transports::{
    End, LinkFault, Pair, Properties, Received, Subject, TIMEOUT,
};
use beaconflow_fault_injection::{Net, Record, listen_address};
use beaconflow_membership::driver::{Handle, Udp, random_seed, spawn};
use beaconflow_membership::{
    Configuration, Event, Key, Keys, MIN_KEY_BYTES, Member, Millis, Node, Payload, Profile,
    Settings,
};
use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, unbounded};

use crate::fault;

/// What stands between two messages in one datagram.
const MARK: u8 = b'\n';
/// What a node with a name of eight letters has room for, without the mark.
const LONGEST: usize = 1_123 - 1;

/// Two nodes a pair, each with its own socket, and a link between them.
pub struct Peers {
    net: Net,
    weather: LinkFault,
    pairs: usize,
    waiting: Vec<Waiting>,
}

/// What an end has been given to send and its node has not taken yet.
#[derive(Clone, Default)]
struct Waiting(Arc<(Mutex<VecDeque<String>>, Condvar)>);

impl Waiting {
    fn lock(&self) -> MutexGuard<'_, VecDeque<String>> {
        // Whole messages, sound at every moment.
        self.0.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until the node has taken all of it.
    fn is_out(&self) -> bool {
        let wait = self
            .0
            .1
            .wait_timeout_while(self.lock(), TIMEOUT, |waiting| !waiting.is_empty());
        wait.unwrap_or_else(PoisonError::into_inner).0.is_empty()
    }
}

/// Tells the other end what waits, as much as there is room for.
struct Words {
    waiting: Waiting,
    heard: Sender<String>,
}

impl Payload for Words {
    fn gossip(&mut self, room: usize, _: Millis) -> Vec<u8> {
        let mut waiting = self.waiting.lock();
        let mut bytes = Vec::new();
        while let Some(next) = waiting.front() {
            // One that is too long for any datagram goes to the node alone: what becomes of it is the node's.
            if !bytes.is_empty() && bytes.len() + next.len() + 1 > room {
                break;
            }
            bytes.extend(next.bytes().chain([MARK]));
            waiting.pop_front();
        }
        self.waiting.0.1.notify_all();
        bytes
    }

    fn summary(&mut self, _: usize, _: Millis) -> Vec<u8> {
        Vec::new()
    }

    fn answer(&mut self, _: &[u8], _: usize, _: usize, _: Millis) -> Vec<Vec<u8>> {
        Vec::new()
    }

    fn receive(&mut self, _: &Member, bytes: &[u8], _: Millis) {
        for message in bytes
            .split(|byte| *byte == MARK)
            .filter(|message| !message.is_empty())
        {
            let _ = self
                .heard
                .send(String::from_utf8_lossy(message).into_owned());
        }
    }

    fn set_member_count(&mut self, _: usize) {}
}

struct Process {
    waiting: Waiting,
    heard: Receiver<String>,
    told: Receiver<Event>,
    node: Handle,
}

impl Default for Peers {
    fn default() -> Peers {
        let net = Net::start(&Record::default(), 4);
        Peers {
            net,
            weather: LinkFault::None,
            pairs: 0,
            waiting: Vec::new(),
        }
    }
}

impl Subject for Peers {
    fn properties(&self) -> Properties {
        // A datagram may be lost and overtaken, and one that is doubled is taken once.
        Properties {
            is_ordered: false,
            is_reliable: false,
            deduplicates: true,
            signals_close: false,
            max_message_bytes: LONGEST,
            silence_timeout: None,
        }
    }

    fn pair(&mut self) -> Pair {
        self.pairs += 1;
        // They meet in fair weather.
        let names = ["near", "away"].map(|side| format!("{side}{:04}", self.pairs));
        let sockets = [(), ()].map(|()| UdpSocket::bind(listen_address()).expect("loopback"));
        let at = |end: usize| {
            self.net
                .add_peer(&names[end], sockets[end].local_addr().expect("bound"))
        };
        let known = [at(0), at(1)];
        let [near, far] = sockets;
        let process = |end: usize, socket: UdpSocket| {
            let (waiting, (tell, heard)) = (Waiting::default(), unbounded());
            let profile = Profile {
                name: names[end].as_str().into(),
                address: known[end],
                incarnation: 1,
                seed: random_seed(),
                site: "north".into(),
                peer_configuration: Configuration::default(),
                seeds: known.to_vec(),
            };
            let keys = Keys::only(Key::new(&[7; MIN_KEY_BYTES]).expect("long enough"));
            let body = Words {
                waiting: waiting.clone(),
                heard: tell,
            };
            let node = Node::new(profile, keys, Settings::default(), body).expect("a good profile");
            let start = Instant::now();
            let clock = move || Millis::try_from(start.elapsed().as_millis()).expect("soon");
            let (events, told) = unbounded();
            let node = spawn(node, Udp::new(socket), clock, events).expect("a thread");
            Process {
                waiting,
                heard,
                told,
                node,
            }
        };
        let ends = [process(0, near), process(1, far)];
        for end in &ends {
            let met = |event: Event| matches!(event, Event::Up(_));
            assert!(
                end.told.recv_timeout(TIMEOUT).is_ok_and(met),
                "they do not meet"
            );
        }
        self.waiting
            .extend(ends.iter().map(|end| end.waiting.clone()));
        self.set_fault(self.weather);
        let [near, far] = ends;
        (Box::new(near), Box::new(far))
    }

    fn set_fault(&mut self, weather: LinkFault) {
        // What was sent goes out in the weather that it was sent in.
        assert!(
            self.waiting.iter().all(Waiting::is_out),
            "a node takes nothing"
        );
        self.weather = weather;
        for link in self.net.links() {
            self.net.fault(&link, fault(weather));
        }
    }
}

impl End for Process {
    fn send(&mut self, message: &str) -> Result<(), String> {
        self.waiting.lock().push_back(message.to_owned());
        self.node.gossip_soon();
        Ok(())
    }

    fn send_partial(&mut self, _: &str, _: usize) {
        unreachable!("a datagram has no parts");
    }

    fn receive(&mut self, within: Duration) -> Received {
        match self.heard.recv_timeout(within) {
            Ok(message) => Received::Message(message),
            Err(RecvTimeoutError::Timeout) => Received::Nothing,
            Err(RecvTimeoutError::Disconnected) => Received::Closed,
        }
    }

    fn finish(&mut self) {}

    fn reset(self: Box<Self>) {}
}
