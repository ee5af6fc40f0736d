//! Adapter of the peers' encrypted datagrams to the contract suite: an end sends through the gossip of its node.

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

use crate::link_fault;

/// Separator between messages in one datagram.
const MESSAGE_SEPARATOR: u8 = b'\n';
/// Room in a datagram of a node with an eight-letter name, without the separator.
const MAX_MESSAGE_BYTES: usize = 1_123 - 1;

/// Pairs of nodes, each node with its own socket, and a link between the two.
pub struct PeerDatagrams {
    net: Net,
    conditions: LinkFault,
    pairs: usize,
    send_queues: Vec<SendQueue>,
}

/// Messages that an end was given to send and that its node has not taken yet.
#[derive(Clone, Default)]
struct SendQueue(Arc<(Mutex<VecDeque<String>>, Condvar)>);

impl SendQueue {
    fn lock(&self) -> MutexGuard<'_, VecDeque<String>> {
        // The queue holds whole messages and is consistent even after a panic.
        self.0.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until the node has taken all messages; false after the timeout.
    fn wait_until_sent(&self) -> bool {
        let wait = self
            .0
            .1
            .wait_timeout_while(self.lock(), TIMEOUT, |messages| !messages.is_empty());
        wait.unwrap_or_else(PoisonError::into_inner).0.is_empty()
    }
}

/// Payload that gossips the queued messages, as many as there is room for.
struct QueuePayload {
    send_queue: SendQueue,
    received: Sender<String>,
}

impl Payload for QueuePayload {
    fn gossip(&mut self, room: usize, _: Millis) -> Vec<u8> {
        let mut messages = self.send_queue.lock();
        let mut bytes = Vec::new();
        while let Some(next) = messages.front() {
            // A message too long for any datagram is passed on alone; how it is handled is up to the node.
            if !bytes.is_empty() && bytes.len() + next.len() + 1 > room {
                break;
            }
            bytes.extend(next.bytes().chain([MESSAGE_SEPARATOR]));
            messages.pop_front();
        }
        self.send_queue.0.1.notify_all();
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
            .split(|byte| *byte == MESSAGE_SEPARATOR)
            .filter(|message| !message.is_empty())
        {
            let _ = self
                .received
                .send(String::from_utf8_lossy(message).into_owned());
        }
    }

    fn set_member_count(&mut self, _: usize) {}
}

struct PeerEnd {
    send_queue: SendQueue,
    received: Receiver<String>,
    events: Receiver<Event>,
    node: Handle,
}

impl Default for PeerDatagrams {
    fn default() -> PeerDatagrams {
        let net = Net::start(&Record::default(), 4);
        PeerDatagrams {
            net,
            conditions: LinkFault::None,
            pairs: 0,
            send_queues: Vec::new(),
        }
    }
}

impl Subject for PeerDatagrams {
    fn properties(&self) -> Properties {
        // A datagram may be lost or overtaken, and a duplicate is delivered once.
        Properties {
            is_ordered: false,
            is_reliable: false,
            deduplicates: true,
            signals_close: false,
            max_message_bytes: MAX_MESSAGE_BYTES,
            silence_timeout: None,
        }
    }

    fn pair(&mut self) -> Pair {
        self.pairs += 1;
        // The two nodes meet over a link without faults.
        let names = ["near", "away"].map(|side| format!("{side}{:04}", self.pairs));
        let sockets =
            [(), ()].map(|()| UdpSocket::bind(listen_address()).expect("loopback socket is bound"));
        let link_address = |end: usize| {
            self.net.add_peer(
                &names[end],
                sockets[end]
                    .local_addr()
                    .expect("bound socket has a local address"),
            )
        };
        let addresses = [link_address(0), link_address(1)];
        let [near, far] = sockets;
        let process = |end: usize, socket: UdpSocket| {
            let (send_queue, (received_sender, received)) = (SendQueue::default(), unbounded());
            let profile = Profile {
                name: names[end].as_str().into(),
                address: addresses[end],
                incarnation: 1,
                seed: random_seed(),
                site: "north".into(),
                peer_configuration: Configuration::default(),
                seeds: addresses.to_vec(),
            };
            let keys = Keys::only(Key::new(&[7; MIN_KEY_BYTES]).expect("key is long enough"));
            let payload = QueuePayload {
                send_queue: send_queue.clone(),
                received: received_sender,
            };
            let node =
                Node::new(profile, keys, Settings::default(), payload).expect("profile is valid");
            let start = Instant::now();
            let clock = move || {
                Millis::try_from(start.elapsed().as_millis())
                    .expect("elapsed time fits in milliseconds")
            };
            let (event_sender, events) = unbounded();
            let node =
                spawn(node, Udp::new(socket), clock, event_sender).expect("node thread starts");
            PeerEnd {
                send_queue,
                received,
                events,
                node,
            }
        };
        let ends = [process(0, near), process(1, far)];
        for end in &ends {
            let is_up = |event: Event| matches!(event, Event::Up(_));
            assert!(
                end.events.recv_timeout(TIMEOUT).is_ok_and(is_up),
                "the two nodes do not meet"
            );
        }
        self.send_queues
            .extend(ends.iter().map(|end| end.send_queue.clone()));
        self.set_fault(self.conditions);
        let [near, far] = ends;
        (Box::new(near), Box::new(far))
    }

    fn set_fault(&mut self, conditions: LinkFault) {
        // Messages sent so far go out before the link conditions change.
        assert!(
            self.send_queues.iter().all(SendQueue::wait_until_sent),
            "a node does not take its messages"
        );
        self.conditions = conditions;
        for link in self.net.links() {
            self.net.fault(&link, link_fault(conditions));
        }
    }
}

impl End for PeerEnd {
    fn send(&mut self, message: &str) -> Result<(), String> {
        self.send_queue.lock().push_back(message.to_owned());
        self.node.gossip_soon();
        Ok(())
    }

    fn send_partial(&mut self, _: &str, _: usize) {
        unreachable!("a datagram has no parts");
    }

    fn receive(&mut self, within: Duration) -> Received {
        match self.received.recv_timeout(within) {
            Ok(message) => Received::Message(message),
            Err(RecvTimeoutError::Timeout) => Received::Nothing,
            Err(RecvTimeoutError::Disconnected) => Received::Closed,
        }
    }

    fn finish(&mut self) {}

    fn reset(self: Box<Self>) {}
}
