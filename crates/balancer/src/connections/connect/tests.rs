//! A connect and a first byte, beside a client that leaves, a last word and moments that go by.

use std::io::Read;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use super::*;
use crate::net::ReadError;
use crate::testing::full_listener;

/// Longer than a test waits for anything.
const LONG_TIMEOUT: Duration = Duration::from_secs(30);

/// A client whose other end the test holds.
struct TestClient {
    stream: TcpStream,
    is_abandoned: Arc<AtomicBool>,
}

impl WaitingClient for TestClient {
    fn stream(&self) -> &TcpStream {
        &self.stream
    }

    fn is_abandoned(&self) -> bool {
        self.is_abandoned.load(Ordering::Relaxed)
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

fn test_client() -> (TestClient, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback");
    let client_end = TcpStream::connect(listener.local_addr().expect("bound")).expect("it listens");
    let stream = listener.accept().expect("it came").0;
    net::configure_stream(&stream).expect("open");
    (
        TestClient {
            stream,
            is_abandoned: Arc::default(),
        },
        client_end,
    )
}

fn timing_after(delay: Duration) -> AttemptTiming {
    let deadline_at = Instant::now() + delay;
    AttemptTiming {
        begin_by: deadline_at,
        deadline_at,
    }
}

#[test]
fn fails_when_connect_exceeds_either_deadline() {
    let (listener, _filler) = full_listener();
    let address = listener.local_addr().expect("bound");
    let (mut client, _client_end) = test_client();
    let result = connect(
        address,
        &mut client,
        timing_after(Duration::from_millis(50)),
        LONG_TIMEOUT,
    );
    assert!(
        matches!(result, Err(AttemptError::NotConnected(_))),
        "{result:?}"
    );
    let result = connect(
        address,
        &mut client,
        timing_after(LONG_TIMEOUT),
        Duration::from_millis(50),
    );
    assert!(
        matches!(result, Err(AttemptError::NotConnected(_))),
        "{result:?}"
    );
}

#[test]
fn does_not_connect_for_departed_abandoned_or_late_client() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback");
    let address = listener.local_addr().expect("bound");
    let (mut departed, client_end) = test_client();
    drop(client_end);
    let result = connect(
        address,
        &mut departed,
        timing_after(LONG_TIMEOUT),
        LONG_TIMEOUT,
    );
    assert!(
        matches!(result, Err(AttemptError::ClientLeft(ReadError::Ended))),
        "{result:?}"
    );
    let (mut abandoned, _client_end) = test_client();
    abandoned.is_abandoned.store(true, Ordering::Relaxed);
    let result = connect(
        address,
        &mut abandoned,
        timing_after(LONG_TIMEOUT),
        LONG_TIMEOUT,
    );
    assert!(matches!(result, Err(AttemptError::NotSent)), "{result:?}");
    let (mut late, _client_end) = test_client();
    let result = connect(
        address,
        &mut late,
        timing_after(Duration::ZERO),
        LONG_TIMEOUT,
    );
    assert!(matches!(result, Err(AttemptError::NotSent)), "{result:?}");
    listener.set_nonblocking(true).expect("open");
    assert!(listener.accept().is_err(), "no connection came");
}

#[test]
fn stops_connect_when_attempt_is_abandoned() {
    let (listener, _filler) = full_listener();
    let address = listener.local_addr().expect("bound");
    let (mut client, _client_end) = test_client();
    let (is_abandoned, started_at) = (Arc::clone(&client.is_abandoned), Instant::now());
    let abandoner = std::thread::spawn(move || {
        std::thread::sleep(Duration::from_millis(20));
        is_abandoned.store(true, Ordering::Relaxed);
    });
    let result = connect(
        address,
        &mut client,
        timing_after(LONG_TIMEOUT),
        LONG_TIMEOUT,
    );
    assert!(matches!(result, Err(AttemptError::NotSent)), "{result:?}");
    assert!(started_at.elapsed() < LONG_TIMEOUT / 3);
    abandoner.join().expect("it ran");
}

#[test]
fn reports_refused_and_successful_connects() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback");
    let address = listener.local_addr().expect("bound");
    let (mut client, _client_end) = test_client();
    assert!(
        connect(
            address,
            &mut client,
            timing_after(LONG_TIMEOUT),
            LONG_TIMEOUT
        )
        .is_ok()
    );
    drop(listener);
    let result = connect(
        address,
        &mut client,
        timing_after(LONG_TIMEOUT),
        LONG_TIMEOUT,
    );
    assert!(
        matches!(result, Err(AttemptError::NotConnected(_))),
        "{result:?}"
    );
}

#[test]
fn does_not_write_request_when_late_or_abandoned() {
    for is_abandoned in [false, true] {
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback");
        let endpoint = Endpoint::new("s0".into(), listener.local_addr().expect("bound"));
        let (mut client, _client_end) = test_client();
        client.is_abandoned.store(is_abandoned, Ordering::Relaxed);
        let server = TcpStream::connect(endpoint.address).expect("it listens");
        let begin_by = if is_abandoned {
            Instant::now() + LONG_TIMEOUT
        } else {
            Instant::now()
        };
        let timing = AttemptTiming {
            begin_by,
            deadline_at: Instant::now() + LONG_TIMEOUT,
        };
        let mut exchange = ServerExchange::new(server, &endpoint, &mut client, timing);
        let result = exchange.write_request(&[b"OPEN\r\n"]);
        assert!(matches!(result, Err(AttemptError::NotSent)), "{result:?}");
        drop(exchange);
        let mut received = String::new();
        listener
            .accept()
            .expect("it came")
            .0
            .read_to_string(&mut received)
            .expect("text");
        assert_eq!(received, "");
    }
}
