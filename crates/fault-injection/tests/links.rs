//! Links: each fault does what it says, and what is healed is whole.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::time::{Duration, Instant};

use beaconflow_fault_injection::{Direction, Fault, Link, Net, Record, Script, What, listening};

const PATIENCE: Duration = Duration::from_secs(10);
/// For what must not come. It costs a good run this long.
const NEVER: Duration = Duration::from_millis(150);

struct Pair {
    net: Net,
    record: Record,
    listener: TcpListener,
    at: SocketAddr,
}

impl Pair {
    fn new() -> Pair {
        let record = Record::default();
        let net = Net::start(&record, 3);
        let listener = TcpListener::bind(listening()).expect("loopback");
        let at = net.link(Link::new("a", "b", listener.local_addr().expect("bound")));
        Pair {
            net,
            record,
            listener,
            at,
        }
    }

    fn connect(&self) -> (TcpStream, TcpStream) {
        let near = TcpStream::connect(self.at).expect("the link takes it");
        let (far, _) = self.listener.accept().expect("it comes through");
        for stream in [&near, &far] {
            stream.set_read_timeout(Some(PATIENCE)).expect("open");
        }
        (near, far)
    }

    fn fault(&self, fault: Fault) {
        self.net.fault("a>b", fault);
    }
}

fn hears(stream: &mut TcpStream, words: &[u8]) {
    let mut heard = vec![0; words.len()];
    stream.read_exact(&mut heard).expect("the words come");
    assert_eq!(heard, words);
}

fn hears_nothing(stream: &mut TcpStream) {
    stream.set_read_timeout(Some(NEVER)).expect("open");
    let error = stream.read(&mut [0]).expect_err("nothing comes");
    assert!(
        matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut),
        "{error}"
    );
    stream.set_read_timeout(Some(PATIENCE)).expect("open");
}

fn is_reset(stream: &mut TcpStream) {
    let error = stream.read(&mut [0]).expect_err("a reset");
    assert_eq!(error.kind(), ErrorKind::ConnectionReset);
}

#[test]
fn words_and_ends_go_both_ways_and_each_end_goes_by_itself() {
    let pair = Pair::new();
    let (mut near, mut far) = pair.connect();
    // More than the system and the relay hold, so that the writer has to wait for the reader.
    let long: Vec<u8> = (0..8_000_000_u32).map(|number| number as u8).collect();
    let words = long.clone();
    let mut writer = near.try_clone().expect("open");
    let writes = std::thread::spawn(move || {
        writer
            .write_all(&words)
            .and_then(|()| writer.shutdown(Shutdown::Write))
    });
    let mut heard = Vec::new();
    far.read_to_end(&mut heard).expect("all of it");
    writes.join().expect("no panic").expect("all of it");
    assert!(heard == long);
    far.write_all(b"late").expect("open");
    hears(&mut near, b"late");
    drop(far);
    assert_eq!(near.read(&mut [0]).expect("an end in order"), 0);
}

#[test]
fn a_reset_is_a_reset_and_a_delay_is_a_delay() {
    let pair = Pair::new();
    let (near, mut far) = pair.connect();
    socket2::SockRef::from(&near)
        .set_linger(Some(Duration::ZERO))
        .expect("open");
    drop(near);
    is_reset(&mut far);
    pair.fault(Fault::Delay(Direction::Back, Duration::from_millis(60)));
    let (mut near, mut far) = pair.connect();
    near.write_all(b"x").expect("open");
    hears(&mut far, b"x");
    let sent = Instant::now();
    far.write_all(b"y").expect("open");
    hears(&mut near, b"y");
    assert!(sent.elapsed() >= Duration::from_millis(60));
}

#[test]
fn a_stall_stops_in_the_middle_and_a_dribble_comes_in_pieces() {
    let pair = Pair::new();
    let (mut near, mut far) = pair.connect();
    pair.fault(Fault::Stall(Direction::There, 3));
    near.write_all(b"half").expect("open");
    hears(&mut far, b"hal");
    hears_nothing(&mut far);
    far.write_all(b"back").expect("open");
    hears(&mut near, b"back");
    pair.fault(Fault::Heal);
    hears(&mut far, b"f");
    pair.fault(Fault::Dribble(
        Direction::There,
        2,
        Duration::from_millis(20),
    ));
    let sent = Instant::now();
    near.write_all(b"123456").expect("open");
    hears(&mut far, b"123456");
    assert!(sent.elapsed() >= Duration::from_millis(40));
}

#[test]
fn a_cut_is_silent_new_connections_never_come_up_and_a_heal_brings_all_back() {
    let pair = Pair::new();
    let (mut near, mut far) = pair.connect();
    pair.fault(Fault::Cut(Direction::Both));
    near.write_all(b"there").expect("the system takes it");
    far.write_all(b"back").expect("the system takes it");
    hears_nothing(&mut far);
    hears_nothing(&mut near);
    let never = TcpStream::connect_timeout(&pair.at, NEVER).expect_err("it never comes up");
    assert_eq!(never.kind(), ErrorKind::TimedOut);
    pair.fault(Fault::Heal);
    hears(&mut far, b"there");
    hears(&mut near, b"back");
    // The first that comes through is this one: what filled the queue is no connection of the story's.
    let (mut near, mut far) = pair.connect();
    near.write_all(b"new").expect("open");
    hears(&mut far, b"new");
    pair.fault(Fault::Cut(Direction::Back));
    near.write_all(b"one way").expect("open");
    hears(&mut far, b"one way");
    far.write_all(b"lost").expect("the system takes it");
    hears_nothing(&mut near);
    pair.fault(Fault::HealWithReset);
    is_reset(&mut near);
    is_reset(&mut far);
}

#[test]
fn what_is_refused_is_refused_until_it_is_healed() {
    let pair = Pair::new();
    let (mut near, mut far) = pair.connect();
    pair.fault(Fault::Refuse);
    is_reset(&mut near);
    is_reset(&mut far);
    let refused = TcpStream::connect(pair.at).expect_err("nobody listens");
    assert_eq!(refused.kind(), ErrorKind::ConnectionRefused);
    pair.fault(Fault::Heal);
    pair.connect();
    drop(pair.listener);
    // A far side that has gone resets whoever comes.
    let mut near = TcpStream::connect(pair.at).expect("the link takes it");
    near.set_read_timeout(Some(PATIENCE)).expect("open");
    is_reset(&mut near);
}

#[test]
fn datagrams_come_from_whom_their_hearer_knows_and_are_lost_doubled_and_cut() {
    let record = Record::default();
    let net = Net::start(&record, 5);
    let [a, b] = [(), ()].map(|()| UdpSocket::bind(listening()).expect("loopback"));
    let at = |socket: &UdpSocket| socket.local_addr().expect("bound");
    let (a_of_b, b_of_a) = (net.party("a", at(&a)), net.party("b", at(&b)));
    let hear = |socket: &UdpSocket, within: Duration| {
        socket.set_read_timeout(Some(within)).expect("open");
        let mut bytes = [0; 8];
        socket
            .recv_from(&mut bytes)
            .ok()
            .map(|(count, from)| (bytes[..count].to_vec(), from))
    };
    a.send_to(b"hello", b_of_a).expect("sent");
    assert_eq!(hear(&b, PATIENCE), Some((b"hello".to_vec(), a_of_b)));
    b.send_to(b"you", a_of_b).expect("sent");
    assert_eq!(hear(&a, PATIENCE), Some((b"you".to_vec(), b_of_a)));
    net.fault("a~b", Fault::Double(Direction::There, 1.0));
    a.send_to(b"2", b_of_a).expect("sent");
    assert!(hear(&b, PATIENCE).is_some() && hear(&b, PATIENCE).is_some());
    net.fault("a~b", Fault::Cut(Direction::There));
    a.send_to(b"lost", b_of_a).expect("sent");
    b.send_to(b"back", a_of_b).expect("sent");
    assert_eq!(
        hear(&a, PATIENCE).map(|(bytes, _)| bytes),
        Some(b"back".to_vec())
    );
    net.fault("a~b", Fault::Heal);
    net.fault("a~b", Fault::Lose(Direction::There, 0.5));
    // One at a time, each followed by a word that the other way can't lose: nothing is lost for want of room.
    let came = (0..200).filter(|_| {
        a.send_to(b"x", b_of_a).expect("sent");
        a.send_to(b"x", b_of_a).expect("sent");
        hear(&b, Duration::from_millis(5)).is_some()
    });
    let came = came.count();
    assert!((60..200).contains(&came), "{came} of 200 pairs");
}

#[test]
fn a_script_is_played_in_order_and_stands_in_the_record() {
    let pair = Pair::new();
    let (mut near, _far) = pair.connect();
    let script = Script::default()
        .then(Duration::from_millis(30), "a>b", Fault::Reset)
        .then(
            Duration::ZERO,
            "a>b",
            Fault::Delay(Direction::Both, Duration::from_millis(1)),
        );
    pair.net.play(script);
    is_reset(&mut near);
    let faults = pair.record.wait("both lines", |events| {
        let faults: Vec<Fault> = events
            .iter()
            .filter_map(|event| match event.what {
                What::Link { fault, .. } => Some(fault),
                _ => None,
            })
            .collect();
        (faults.len() == 2).then_some(faults)
    });
    assert!(
        matches!(faults[..], [Fault::Delay(..), Fault::Reset]),
        "{faults:?}"
    );
}
