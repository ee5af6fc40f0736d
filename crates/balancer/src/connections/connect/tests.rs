//! A connect and a first byte, beside a client that leaves, a last word and moments that go by.

use std::io::Read;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use super::*;
use crate::net::ReadError;
use crate::testing::full_listener;

/// Longer than a test waits for anything.
const LONG: Duration = Duration::from_secs(30);

/// A client whose other end the test holds.
struct Waits {
    stream: TcpStream,
    is_given_up: Arc<AtomicBool>,
}

impl WaitingClient for Waits {
    fn stream(&self) -> &TcpStream {
        &self.stream
    }

    fn is_abandoned(&self) -> bool {
        self.is_given_up.load(Ordering::Relaxed)
    }

    fn read_early(&mut self) -> Result<(), ReadError> {
        match (&self.stream).read(&mut [0; 8]) {
            Ok(0) => Err(ReadError::Ended),
            Ok(_) => Ok(()),
            Err(error) if net::is_would_block(&error) => Ok(()),
            Err(error) => Err(ReadError::Broken(error)),
        }
    }
}

fn client() -> (Waits, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback");
    let far = TcpStream::connect(listener.local_addr().expect("bound")).expect("it listens");
    let stream = listener.accept().expect("it came").0;
    net::configure_stream(&stream).expect("open");
    (
        Waits {
            stream,
            is_given_up: Arc::default(),
        },
        far,
    )
}

fn after(span: Duration) -> AttemptTiming {
    let moment = Instant::now() + span;
    AttemptTiming {
        begin_by: moment,
        deadline_at: moment,
    }
}

#[test]
fn a_connect_that_is_not_up_when_the_attempt_may_no_longer_begin_has_failed() {
    let (listener, _filler) = full_listener();
    let to = listener.local_addr().expect("bound");
    let (mut client, _far) = client();
    let ended = connect(to, &mut client, after(Duration::from_millis(50)), LONG);
    assert!(
        matches!(ended, Err(AttemptError::NotConnected(_))),
        "{ended:?}"
    );
    let ended = connect(to, &mut client, after(LONG), Duration::from_millis(50));
    assert!(
        matches!(ended, Err(AttemptError::NotConnected(_))),
        "{ended:?}"
    );
}

#[test]
fn no_connect_is_begun_for_one_that_has_left_or_was_given_up_on_or_is_full_listener() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback");
    let to = listener.local_addr().expect("bound");
    let (mut left, far) = client();
    drop(far);
    let ended = connect(to, &mut left, after(LONG), LONG);
    assert!(
        matches!(ended, Err(AttemptError::ClientLeft(ReadError::Ended))),
        "{ended:?}"
    );
    let (mut given_up, _far) = client();
    given_up.is_given_up.store(true, Ordering::Relaxed);
    let ended = connect(to, &mut given_up, after(LONG), LONG);
    assert!(matches!(ended, Err(AttemptError::NotSent)), "{ended:?}");
    let (mut late, _far) = client();
    let ended = connect(to, &mut late, after(Duration::ZERO), LONG);
    assert!(matches!(ended, Err(AttemptError::NotSent)), "{ended:?}");
    listener.set_nonblocking(true).expect("open");
    assert!(listener.accept().is_err(), "no connection came");
}

#[test]
fn one_that_is_given_up_on_during_the_connect_ends_it() {
    let (listener, _filler) = full_listener();
    let to = listener.local_addr().expect("bound");
    let (mut client, _far) = client();
    let (is_given_up, began) = (Arc::clone(&client.is_given_up), Instant::now());
    let gives_up = std::thread::spawn(move || {
        std::thread::sleep(Duration::from_millis(20));
        is_given_up.store(true, Ordering::Relaxed);
    });
    let ended = connect(to, &mut client, after(LONG), LONG);
    assert!(matches!(ended, Err(AttemptError::NotSent)), "{ended:?}");
    assert!(began.elapsed() < LONG / 3);
    gives_up.join().expect("it ran");
}

#[test]
fn a_refused_connect_has_failed_and_one_that_comes_up_is_up() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback");
    let to = listener.local_addr().expect("bound");
    let (mut client, _far) = client();
    assert!(connect(to, &mut client, after(LONG), LONG).is_ok());
    drop(listener);
    let ended = connect(to, &mut client, after(LONG), LONG);
    assert!(
        matches!(ended, Err(AttemptError::NotConnected(_))),
        "{ended:?}"
    );
}

#[test]
fn no_first_byte_is_written_too_late_or_after_the_last_word() {
    for is_given_up in [false, true] {
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback");
        let to = Endpoint::new("s0".into(), listener.local_addr().expect("bound"));
        let (mut client, _far) = client();
        client.is_given_up.store(is_given_up, Ordering::Relaxed);
        let server = TcpStream::connect(to.address).expect("it listens");
        let begin_by = if is_given_up {
            Instant::now() + LONG
        } else {
            Instant::now()
        };
        let times = AttemptTiming {
            begin_by,
            deadline_at: Instant::now() + LONG,
        };
        let mut exchange = ServerExchange::new(server, &to, &mut client, times);
        let ended = exchange.write_request(&[b"OPEN\r\n"]);
        assert!(matches!(ended, Err(AttemptError::NotSent)), "{ended:?}");
        drop(exchange);
        let mut words = String::new();
        listener
            .accept()
            .expect("it came")
            .0
            .read_to_string(&mut words)
            .expect("text");
        assert_eq!(words, "");
    }
}
