//! Peers that go on sending, take nothing, or end, after their last word.

use std::io::{Read, Write};
use std::net::TcpListener;

use super::*;

const WORD: &[u8] = b"BUSY\r\n";

/// The program's side of a connection, and the peer's, which blocks.
fn pair() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback");
    let peer = TcpStream::connect(listener.local_addr().expect("bound")).expect("it listens");
    let own = listener.accept().expect("it came").0;
    net::configure_stream(&own).expect("open");
    (own, peer)
}

/// Writes until the other side takes no more; gives how many bytes that were.
fn fill(mut stream: &TcpStream) -> usize {
    stream.set_nonblocking(true).expect("open");
    let mut written = 0;
    while let Ok(count) = stream.write(&[b'x'; 4096]) {
        written += count;
    }
    written
}

#[test]
fn a_peer_that_sends_without_end_reads_its_word_and_is_read_no_further_than_a_bound() {
    let (own, mut peer) = pair();
    assert!(fill(&peer) > 64 * 1024);
    let mut lingering = LingeringClose::start(own, WriteBuffer::default(), WORD);
    while lingering.interest().contains(EventFlags::IN) {
        lingering.on_ready();
    }
    assert!(lingering.stream_to_read().is_none());
    assert!(!lingering.is_done(), "no reset overtakes the word");
    peer.set_nonblocking(false).expect("open");
    let mut word = Vec::new();
    peer.read_to_end(&mut word).expect("in order");
    assert_eq!(word, WORD);
}

#[test]
fn a_peer_that_has_ended_its_sending_takes_what_waits_for_it_before_the_word() {
    let (own, mut peer) = pair();
    // More than the system keeps for a peer that takes nothing.
    let lines = vec![b'x'; 16 << 20];
    let mut out = WriteBuffer::default();
    out.send(&own, &[&lines]).expect("kept");
    peer.shutdown(std::net::Shutdown::Write).expect("open");
    let mut lingering = LingeringClose::start(own, out, WORD);
    lingering.on_ready();
    assert_eq!(
        lingering.interest(),
        EventFlags::OUT,
        "it has ended, and has not taken all"
    );
    let takes = std::thread::spawn(move || {
        let mut taken = Vec::new();
        peer.read_to_end(&mut taken).map(|_| taken)
    });
    while !lingering.is_done() {
        lingering.on_ready();
        std::thread::sleep(Duration::from_millis(1));
    }
    let taken = takes.join().expect("it reads").expect("in order");
    assert!(
        taken == [lines, WORD.to_vec()].concat(),
        "{} bytes",
        taken.len()
    );
}

#[test]
fn what_lies_there_at_the_close_is_read_and_resets_nothing() {
    let (own, mut peer) = pair();
    let lingering = LingeringClose::start(own, WriteBuffer::default(), WORD);
    peer.write_all(b"crossing\r\n").expect("open");
    drop(lingering);
    let mut word = Vec::new();
    peer.read_to_end(&mut word).expect("in order");
    assert_eq!(word, WORD);
    assert!(peer.take_error().expect("open").is_none());
}
