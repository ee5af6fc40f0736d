//! Peers that go on sending, take nothing, or end, after their last word.

use std::io::{Read, Write};
use std::net::TcpListener;

use super::*;

const FINAL_MESSAGE: &[u8] = b"BUSY\r\n";

/// The program's side of a connection, and the peer's, which blocks.
fn connected_pair() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback");
    let peer = TcpStream::connect(listener.local_addr().expect("bound")).expect("it listens");
    let local = listener.accept().expect("it came").0;
    net::configure_stream(&local).expect("open");
    (local, peer)
}

/// Writes until the other side takes no more; gives how many bytes that were.
fn fill_send_buffer(mut stream: &TcpStream) -> usize {
    stream.set_nonblocking(true).expect("open");
    let mut written = 0;
    while let Ok(count) = stream.write(&[b'x'; 4096]) {
        written += count;
    }
    written
}

#[test]
fn limits_discarded_input_and_delivers_final_message() {
    let (local, mut peer) = connected_pair();
    assert!(fill_send_buffer(&peer) > 64 * 1024);
    let mut lingering = LingeringClose::start(local, WriteBuffer::default(), FINAL_MESSAGE);
    while lingering.interest().contains(EventFlags::IN) {
        lingering.on_ready();
    }
    assert!(lingering.stream_to_read().is_none());
    assert!(!lingering.is_done(), "no reset overtakes the word");
    peer.set_nonblocking(false).expect("open");
    let mut received = Vec::new();
    peer.read_to_end(&mut received).expect("in order");
    assert_eq!(received, FINAL_MESSAGE);
}

#[test]
fn delivers_pending_output_when_peer_has_half_closed() {
    let (local, mut peer) = connected_pair();
    // More than the system keeps for a peer that takes nothing.
    let pending = vec![b'x'; 16 << 20];
    let mut out = WriteBuffer::default();
    out.send(&local, &[&pending]).expect("kept");
    peer.shutdown(std::net::Shutdown::Write).expect("open");
    let mut lingering = LingeringClose::start(local, out, FINAL_MESSAGE);
    lingering.on_ready();
    assert_eq!(
        lingering.interest(),
        EventFlags::OUT,
        "it has ended, and has not taken all"
    );
    let reader = std::thread::spawn(move || {
        let mut received = Vec::new();
        peer.read_to_end(&mut received).map(|_| received)
    });
    while !lingering.is_done() {
        lingering.on_ready();
        std::thread::sleep(Duration::from_millis(1));
    }
    let received = reader.join().expect("it reads").expect("in order");
    assert!(
        received == [pending, FINAL_MESSAGE.to_vec()].concat(),
        "{} bytes",
        received.len()
    );
}

#[test]
fn discards_unread_input_on_close_without_reset() {
    let (local, mut peer) = connected_pair();
    let lingering = LingeringClose::start(local, WriteBuffer::default(), FINAL_MESSAGE);
    peer.write_all(b"crossing\r\n").expect("open");
    drop(lingering);
    let mut received = Vec::new();
    peer.read_to_end(&mut received).expect("in order");
    assert_eq!(received, FINAL_MESSAGE);
    assert!(peer.take_error().expect("open").is_none());
}
