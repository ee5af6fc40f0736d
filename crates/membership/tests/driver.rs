//! Nodes in threads of their own, on sockets of this machine and on a net in memory.

use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use beaconflow_membership::driver::{Handle, Link, Udp, spawn};
use beaconflow_membership::testing::{Net, Rules, Silent, keys};
use beaconflow_membership::{
    Body, Configuration, Event, Member, Millis, Node, Profile, Refusal, Settings,
};
use crossbeam_channel::{Receiver, unbounded};

const LONG: Duration = Duration::from_secs(60);

fn run(
    name: &str,
    address: SocketAddr,
    seeds: Vec<SocketAddr>,
    link: impl Link + 'static,
) -> (Handle, Receiver<Event>) {
    run_with(name, address, seeds, link, Silent::default())
}

fn run_with(
    name: &str,
    address: SocketAddr,
    seeds: Vec<SocketAddr>,
    link: impl Link + 'static,
    body: impl Body + Send + 'static,
) -> (Handle, Receiver<Event>) {
    let profile = Profile {
        name: name.into(),
        address,
        incarnation: 1,
        seed: beaconflow_membership::driver::random(),
        site: "north".into(),
        peer_configuration: Configuration::default(),
        seeds,
    };
    let node = Node::new(profile, keys(1), Settings::default(), body).expect("a good profile");
    let (events, told) = unbounded();
    let start = Instant::now();
    let clock = move || start.elapsed().as_millis() as Millis;
    (spawn(node, link, clock, events).expect("a thread"), told)
}

fn socket() -> (UdpSocket, SocketAddr) {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
    let address = socket.local_addr().expect("bound");
    (socket, address)
}

/// Waits until the log tells it.
fn wait_for(told: &Receiver<Event>, is_it: impl Fn(&Event) -> bool) -> Event {
    let end = Instant::now() + LONG;
    loop {
        let event = told.recv_deadline(end).expect("told within a minute");
        if is_it(&event) {
            return event;
        }
    }
}

fn is_up(name: &str) -> impl Fn(&Event) -> bool {
    move |event| matches!(event, Event::Up(member) if &*member.name == name)
}

#[test]
fn processes_on_sockets_meet_and_part() {
    let ((one, at_one), (two, at_two)) = (socket(), socket());
    let stranger = UdpSocket::bind("127.0.0.1:0").expect("a port");
    let (a, told_a) = run("a", at_one, vec![], Udp::new(one));
    let (b, told_b) = run("b", at_two, vec![at_one], Udp::new(two));
    wait_for(&told_a, is_up("b"));
    wait_for(&told_b, is_up("a"));
    assert_eq!(a.members(), [b.me()]);
    stranger.send_to(&[7; 3_000], at_one).expect("sent");
    let refused = wait_for(&told_a, Event::is_fault);
    assert_eq!(
        refused,
        Event::Refused {
            from: stranger.local_addr().expect("bound"),
            why: Refusal::Huge,
            count: 1
        }
    );
    let configuration = Configuration {
        order: 9,
        ..Configuration::default()
    };
    b.configured(configuration);
    wait_for(
        &told_a,
        |event| matches!(event, Event::Changed { now, .. } if now.configuration == configuration),
    );
    b.stop();
    wait_for(
        &told_a,
        |event| matches!(event, Event::Down(member) if &*member.name == "b"),
    );
    assert!(a.members().is_empty() && a.counts().sent > 0);
}

/// Has one word to tell, again and again.
struct Word(Vec<u8>, crossbeam_channel::Sender<Vec<u8>>);

impl Body for Word {
    fn gossip(&mut self, _: usize, _: Millis) -> Vec<u8> {
        self.0.clone()
    }

    fn summary(&mut self, _: usize, _: Millis) -> Vec<u8> {
        Vec::new()
    }

    fn answer(&mut self, _: &[u8], _: usize, _: usize, _: Millis) -> Vec<Vec<u8>> {
        Vec::new()
    }

    fn take(&mut self, _: &Member, bytes: &[u8], _: Millis) {
        // Nobody waits for it any more once the test is over.
        drop(self.1.send(bytes.to_vec()));
    }

    fn members(&mut self, _: usize) {}
}

#[test]
fn a_body_that_the_host_shares_is_carried_over_a_net_that_loses_and_delays() {
    let mut rules = Rules::new(3);
    (rules.lost, rules.delay) = (100, (0, 20));
    let net = Net::new(rules);
    let at = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
    let (taken, words) = unbounded();
    let shared = Arc::new(Mutex::new(Word(Vec::new(), taken.clone())));
    let (a, told_a) = run_with("a", at(1), vec![at(2)], net.port(at(1)), shared.clone());
    let (b, told_b) = run_with("b", at(2), vec![], net.port(at(2)), Word(Vec::new(), taken));
    wait_for(&told_a, is_up("b"));
    wait_for(&told_b, is_up("a"));
    shared.lock().expect("whole").0 = b"the south is dark".to_vec();
    a.say();
    assert_eq!(
        words.recv_timeout(LONG).expect("carried"),
        b"the south is dark"
    );
    net.change(|rules| rules.part(&[at(1)], &[at(2)]));
    wait_for(&told_b, |event| matches!(event, Event::Down(_)));
    net.change(|rules| rules.cut.clear());
    wait_for(&told_b, is_up("a"));
    drop((a, b));
}
