//! Nodes in their own threads, on loopback sockets and on an in-memory network.

use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use beaconflow_membership::driver::{Handle, Link, Udp, spawn};
use beaconflow_membership::testing::{MemoryNetwork, NetworkConditions, SilentPayload, keys};
use beaconflow_membership::{
    Configuration, Event, Member, Millis, Node, Payload, Profile, Refusal, Settings,
};
use crossbeam_channel::{Receiver, unbounded};

const TIMEOUT: Duration = Duration::from_secs(60);

fn spawn_node(
    name: &str,
    address: SocketAddr,
    seeds: Vec<SocketAddr>,
    link: impl Link + 'static,
) -> (Handle, Receiver<Event>) {
    spawn_node_with(name, address, seeds, link, SilentPayload::default())
}

fn spawn_node_with(
    name: &str,
    address: SocketAddr,
    seeds: Vec<SocketAddr>,
    link: impl Link + 'static,
    payload: impl Payload + Send + 'static,
) -> (Handle, Receiver<Event>) {
    let profile = Profile {
        name: name.into(),
        address,
        incarnation: 1,
        seed: beaconflow_membership::driver::random_seed(),
        site: "north".into(),
        peer_configuration: Configuration::default(),
        seeds,
    };
    let node =
        Node::new(profile, keys(1), Settings::default(), payload).expect("the profile is valid");
    let (sender, events) = unbounded();
    let start = Instant::now();
    let clock = move || start.elapsed().as_millis() as Millis;
    (
        spawn(node, link, clock, sender).expect("the thread starts"),
        events,
    )
}

fn socket() -> (UdpSocket, SocketAddr) {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a free port");
    let address = socket.local_addr().expect("the socket is bound");
    (socket, address)
}

/// Waits until the node reports an expected event.
fn wait_for(events: &Receiver<Event>, is_expected: impl Fn(&Event) -> bool) -> Event {
    let end = Instant::now() + TIMEOUT;
    loop {
        let event = events
            .recv_deadline(end)
            .expect("the event is reported within a minute");
        if is_expected(&event) {
            return event;
        }
    }
}

fn is_up(name: &str) -> impl Fn(&Event) -> bool {
    move |event| matches!(event, Event::Up(member) if &*member.name == name)
}

#[test]
fn discovers_and_loses_peers_over_udp() {
    let ((socket_a, address_a), (socket_b, address_b)) = (socket(), socket());
    let unknown_sender = UdpSocket::bind("127.0.0.1:0").expect("a free port");
    let (a, events_a) = spawn_node("a", address_a, vec![], Udp::new(socket_a));
    let (b, events_b) = spawn_node("b", address_b, vec![address_a], Udp::new(socket_b));
    wait_for(&events_a, is_up("b"));
    wait_for(&events_b, is_up("a"));
    assert_eq!(a.members(), [b.local_member()]);
    unknown_sender
        .send_to(&[7; 3_000], address_a)
        .expect("the datagram is sent");
    let refused = wait_for(&events_a, Event::is_fault);
    assert_eq!(
        refused,
        Event::DatagramsRefused {
            from: unknown_sender.local_addr().expect("the socket is bound"),
            reason: Refusal::TooLarge,
            count: 1
        }
    );
    let configuration = Configuration {
        order: 9,
        ..Configuration::default()
    };
    b.set_configuration(configuration);
    wait_for(
        &events_a,
        |event| matches!(event, Event::Changed { current, .. } if current.configuration == configuration),
    );
    b.stop();
    wait_for(
        &events_a,
        |event| matches!(event, Event::Down(member) if &*member.name == "b"),
    );
    assert!(a.members().is_empty() && a.counts().sent > 0);
}

/// Gossips the same bytes in each round, and forwards what it receives.
struct FixedPayload(Vec<u8>, crossbeam_channel::Sender<Vec<u8>>);

impl Payload for FixedPayload {
    fn gossip(&mut self, _: usize, _: Millis) -> Vec<u8> {
        self.0.clone()
    }

    fn summary(&mut self, _: usize, _: Millis) -> Vec<u8> {
        Vec::new()
    }

    fn answer(&mut self, _: &[u8], _: usize, _: usize, _: Millis) -> Vec<Vec<u8>> {
        Vec::new()
    }

    fn receive(&mut self, _: &Member, bytes: &[u8], _: Millis) {
        // Fails once the test has dropped the receiver.
        drop(self.1.send(bytes.to_vec()));
    }

    fn set_member_count(&mut self, _: usize) {}
}

#[test]
fn carries_shared_payload_over_lossy_network() {
    let mut conditions = NetworkConditions::new(3);
    (conditions.loss_per_mille, conditions.delay_ms) = (100, (0, 20));
    let memory_network = MemoryNetwork::new(conditions);
    let local = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
    let (received, payloads) = unbounded();
    let shared = Arc::new(Mutex::new(FixedPayload(Vec::new(), received.clone())));
    let (a, events_a) = spawn_node_with(
        "a",
        local(1),
        vec![local(2)],
        memory_network.link(local(1)),
        shared.clone(),
    );
    let (b, events_b) = spawn_node_with(
        "b",
        local(2),
        vec![],
        memory_network.link(local(2)),
        FixedPayload(Vec::new(), received),
    );
    wait_for(&events_a, is_up("b"));
    wait_for(&events_b, is_up("a"));
    shared.lock().expect("the lock is not poisoned").0 = b"site south is isolated".to_vec();
    a.gossip_soon();
    assert_eq!(
        payloads
            .recv_timeout(TIMEOUT)
            .expect("the payload is delivered"),
        b"site south is isolated"
    );
    memory_network.update_conditions(|conditions| conditions.partition(&[local(1)], &[local(2)]));
    wait_for(&events_b, |event| matches!(event, Event::Down(_)));
    memory_network.update_conditions(|conditions| conditions.cut_links.clear());
    wait_for(&events_b, is_up("a"));
    drop((a, b));
}
