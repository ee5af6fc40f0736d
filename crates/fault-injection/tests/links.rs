//! Faults of links: each has its documented effect, and a healed link forwards everything again.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::time::{Duration, Instant};

use beaconflow_fault_injection::{
    Direction, EventKind, Fault, Link, Net, Record, Script, listen_address,
};

const TIMEOUT: Duration = Duration::from_secs(10);
/// How long a socket must stay silent. Each check takes this long in a passing run.
const SILENCE_PERIOD: Duration = Duration::from_millis(150);

struct LinkFixture {
    net: Net,
    record: Record,
    listener: TcpListener,
    address: SocketAddr,
}

impl LinkFixture {
    fn new() -> LinkFixture {
        let record = Record::default();
        let net = Net::start(&record, 3);
        let listener = TcpListener::bind(listen_address()).expect("bind a loopback socket");
        let address = net.add_link(Link::new(
            "a",
            "b",
            listener
                .local_addr()
                .expect("a bound socket has an address"),
        ));
        LinkFixture {
            net,
            record,
            listener,
            address,
        }
    }

    fn connect(&self) -> (TcpStream, TcpStream) {
        let near = TcpStream::connect(self.address).expect("the link accepts the connection");
        let (far, _) = self.listener.accept().expect("the connection is forwarded");
        for stream in [&near, &far] {
            stream
                .set_read_timeout(Some(TIMEOUT))
                .expect("set the read timeout");
        }
        (near, far)
    }

    fn fault(&self, fault: Fault) {
        self.net.fault("a>b", fault);
    }
}

fn expect_bytes(stream: &mut TcpStream, bytes: &[u8]) {
    let mut received = vec![0; bytes.len()];
    stream
        .read_exact(&mut received)
        .expect("the bytes are forwarded");
    assert_eq!(received, bytes);
}

fn expect_silence(stream: &mut TcpStream) {
    stream
        .set_read_timeout(Some(SILENCE_PERIOD))
        .expect("set the read timeout");
    let error = stream.read(&mut [0]).expect_err("no data is forwarded");
    assert!(
        matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut),
        "{error}"
    );
    stream
        .set_read_timeout(Some(TIMEOUT))
        .expect("set the read timeout");
}

fn expect_reset(stream: &mut TcpStream) {
    let error = stream.read(&mut [0]).expect_err("the connection is reset");
    assert_eq!(error.kind(), ErrorKind::ConnectionReset);
}

#[test]
fn forwards_data_and_half_close_in_both_directions() {
    let fixture = LinkFixture::new();
    let (mut near, mut far) = fixture.connect();
    // More than the socket buffers and the relay hold, so that the writer has to wait for the reader.
    let payload: Vec<u8> = (0..8_000_000_u32).map(|number| number as u8).collect();
    let bytes = payload.clone();
    let mut writer = near.try_clone().expect("clone the stream");
    let writing = std::thread::spawn(move || {
        writer
            .write_all(&bytes)
            .and_then(|()| writer.shutdown(Shutdown::Write))
    });
    let mut received = Vec::new();
    far.read_to_end(&mut received).expect("read all bytes");
    writing
        .join()
        .expect("the writer thread does not panic")
        .expect("write all bytes");
    assert!(received == payload);
    far.write_all(b"late").expect("write to the socket");
    expect_bytes(&mut near, b"late");
    drop(far);
    assert_eq!(
        near.read(&mut [0])
            .expect("the connection closes without a reset"),
        0
    );
}

#[test]
fn forwards_resets_and_delays_data() {
    let fixture = LinkFixture::new();
    let (near, mut far) = fixture.connect();
    socket2::SockRef::from(&near)
        .set_linger(Some(Duration::ZERO))
        .expect("set SO_LINGER");
    drop(near);
    expect_reset(&mut far);
    fixture.fault(Fault::Delay(Direction::Reverse, Duration::from_millis(60)));
    let (mut near, mut far) = fixture.connect();
    near.write_all(b"x").expect("write to the socket");
    expect_bytes(&mut far, b"x");
    let sent = Instant::now();
    far.write_all(b"y").expect("write to the socket");
    expect_bytes(&mut near, b"y");
    assert!(sent.elapsed() >= Duration::from_millis(60));
}

#[test]
fn stalls_at_byte_limit_and_throttles_in_pieces() {
    let fixture = LinkFixture::new();
    let (mut near, mut far) = fixture.connect();
    fixture.fault(Fault::Stall(Direction::Forward, 3));
    near.write_all(b"half").expect("write to the socket");
    expect_bytes(&mut far, b"hal");
    expect_silence(&mut far);
    far.write_all(b"back").expect("write to the socket");
    expect_bytes(&mut near, b"back");
    fixture.fault(Fault::Heal);
    expect_bytes(&mut far, b"f");
    fixture.fault(Fault::Throttle(
        Direction::Forward,
        2,
        Duration::from_millis(20),
    ));
    let sent = Instant::now();
    near.write_all(b"123456").expect("write to the socket");
    expect_bytes(&mut far, b"123456");
    assert!(sent.elapsed() >= Duration::from_millis(40));
}

#[test]
fn restores_traffic_when_partition_heals() {
    let fixture = LinkFixture::new();
    let (mut near, mut far) = fixture.connect();
    fixture.fault(Fault::Partition(Direction::Both));
    near.write_all(b"there").expect("write to the socket");
    far.write_all(b"back").expect("write to the socket");
    expect_silence(&mut far);
    expect_silence(&mut near);
    let error = TcpStream::connect_timeout(&fixture.address, SILENCE_PERIOD)
        .expect_err("the connection times out");
    assert_eq!(error.kind(), ErrorKind::TimedOut);
    fixture.fault(Fault::Heal);
    expect_bytes(&mut far, b"there");
    expect_bytes(&mut near, b"back");
    // The first connection to arrive is the new one: the sockets that filled the accept queue are not forwarded.
    let (mut near, mut far) = fixture.connect();
    near.write_all(b"new").expect("write to the socket");
    expect_bytes(&mut far, b"new");
    fixture.fault(Fault::Partition(Direction::Reverse));
    near.write_all(b"one way").expect("write to the socket");
    expect_bytes(&mut far, b"one way");
    far.write_all(b"lost").expect("write to the socket");
    expect_silence(&mut near);
    fixture.fault(Fault::HealWithReset);
    expect_reset(&mut near);
    expect_reset(&mut far);
}

#[test]
fn refuses_connections_until_link_heals() {
    let fixture = LinkFixture::new();
    let (mut near, mut far) = fixture.connect();
    fixture.fault(Fault::Refuse);
    expect_reset(&mut near);
    expect_reset(&mut far);
    let refused = TcpStream::connect(fixture.address).expect_err("the connection is refused");
    assert_eq!(refused.kind(), ErrorKind::ConnectionRefused);
    fixture.fault(Fault::Heal);
    fixture.connect();
    drop(fixture.listener);
    // If the far side is gone, new connections are reset.
    let mut near = TcpStream::connect(fixture.address).expect("the link accepts the connection");
    near.set_read_timeout(Some(TIMEOUT))
        .expect("set the read timeout");
    expect_reset(&mut near);
}

#[test]
fn drops_duplicates_and_partitions_datagrams() {
    let record = Record::default();
    let net = Net::start(&record, 5);
    let [a, b] =
        [(), ()].map(|()| UdpSocket::bind(listen_address()).expect("bind a loopback socket"));
    let local_address =
        |socket: &UdpSocket| socket.local_addr().expect("a bound socket has an address");
    let (address_of_a, address_of_b) = (
        net.add_peer("a", local_address(&a)),
        net.add_peer("b", local_address(&b)),
    );
    let receive = |socket: &UdpSocket, within: Duration| {
        socket
            .set_read_timeout(Some(within))
            .expect("set the read timeout");
        let mut bytes = [0; 8];
        socket
            .recv_from(&mut bytes)
            .ok()
            .map(|(count, from)| (bytes[..count].to_vec(), from))
    };
    a.send_to(b"hello", address_of_b)
        .expect("send the datagram");
    assert_eq!(
        receive(&b, TIMEOUT),
        Some((b"hello".to_vec(), address_of_a))
    );
    b.send_to(b"you", address_of_a).expect("send the datagram");
    assert_eq!(receive(&a, TIMEOUT), Some((b"you".to_vec(), address_of_b)));
    net.fault("a~b", Fault::Duplicate(Direction::Forward, 1.0));
    a.send_to(b"2", address_of_b).expect("send the datagram");
    assert!(receive(&b, TIMEOUT).is_some() && receive(&b, TIMEOUT).is_some());
    net.fault("a~b", Fault::Partition(Direction::Forward));
    a.send_to(b"lost", address_of_b).expect("send the datagram");
    b.send_to(b"back", address_of_a).expect("send the datagram");
    assert_eq!(
        receive(&a, TIMEOUT).map(|(bytes, _)| bytes),
        Some(b"back".to_vec())
    );
    net.fault("a~b", Fault::Heal);
    net.fault("a~b", Fault::Drop(Direction::Forward, 0.5));
    // One pair at a time, each awaited before the next, so that no datagram is lost to a full socket buffer.
    let received_pairs = (0..200).filter(|_| {
        a.send_to(b"x", address_of_b).expect("send the datagram");
        a.send_to(b"x", address_of_b).expect("send the datagram");
        receive(&b, Duration::from_millis(5)).is_some()
    });
    let received_pairs = received_pairs.count();
    assert!(
        (60..200).contains(&received_pairs),
        "{received_pairs} of 200 pairs were received in part"
    );
}

#[test]
fn plays_and_records_script_in_order() {
    let fixture = LinkFixture::new();
    let (mut near, _far) = fixture.connect();
    let script = Script::default()
        .then(Duration::from_millis(30), "a>b", Fault::Reset)
        .then(
            Duration::ZERO,
            "a>b",
            Fault::Delay(Direction::Both, Duration::from_millis(1)),
        );
    fixture.net.play(script);
    expect_reset(&mut near);
    let faults = fixture.record.wait("both faults of the script", |events| {
        let faults: Vec<Fault> = events
            .iter()
            .filter_map(|event| match event.kind {
                EventKind::Link { fault, .. } => Some(fault),
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
