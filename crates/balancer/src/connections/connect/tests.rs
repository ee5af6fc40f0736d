//! Connects and first writes while the client leaves, the attempt is abandoned or its time is over.

use std::io::Read;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use super::*;
use crate::net::ReadError;
use crate::testing::full_listener;

/// Longer than any wait of a passing test.
const LONG_TIMEOUT: Duration = Duration::from_secs(30);

/// A waiting client; the test holds the other end of its connection.
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
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind to a loopback port");
    let client_end = TcpStream::connect(listener.local_addr().expect("local address"))
        .expect("connect to the listener");
    let stream = listener.accept().expect("accept the connection").0;
    net::configure_stream(&stream).expect("configure the client's socket");
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

/// The connect is bounded by the begin of the attempt and by the connect timeout.
#[test]
fn fails_when_connect_exceeds_either_deadline() {
    let (listener, _filler) = full_listener();
    let address = listener.local_addr().expect("local address");
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
fn skips_connect_for_departed_abandoned_or_late_client() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind to a loopback port");
    let address = listener.local_addr().expect("local address");
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
    listener
        .set_nonblocking(true)
        .expect("make the listener non-blocking");
    assert!(listener.accept().is_err(), "no connect was started");
}

#[test]
fn stops_connect_when_attempt_is_abandoned() {
    let (listener, _filler) = full_listener();
    let address = listener.local_addr().expect("local address");
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
    assert!(
        started_at.elapsed() < LONG_TIMEOUT / 3,
        "the connect ends soon after it was abandoned"
    );
    abandoner.join().expect("the thread does not panic");
}

#[test]
fn reports_refused_and_successful_connects() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind to a loopback port");
    let address = listener.local_addr().expect("local address");
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

/// A request written after the core has given up the attempt could be executed twice.
#[test]
fn withholds_request_when_late_or_abandoned() {
    for is_abandoned in [false, true] {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind to a loopback port");
        let endpoint = Endpoint::new("s0".into(), listener.local_addr().expect("local address"));
        let (mut client, _client_end) = test_client();
        client.is_abandoned.store(is_abandoned, Ordering::Relaxed);
        let server = TcpStream::connect(endpoint.address).expect("connect to the listener");
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
            .expect("accept the connection")
            .0
            .read_to_string(&mut received)
            .expect("read up to the close");
        assert_eq!(received, "", "nothing was sent to the server");
    }
}
