//! Tests of the port's callers.

use std::io::Write;
use std::net::SocketAddr;

use super::*;

/// Longest wait for the port to have accepted its callers.
const ACCEPT_LIMIT: Duration = Duration::from_secs(5);
/// Time after which a caller may be evicted.
const EVICTABLE_AFTER: Duration = Duration::from_millis(50);

/// A port that commands no core, so that no command is ever answered.
fn port_without_cores() -> (Operations, SocketAddr) {
    let socket = TcpListener::bind(("127.0.0.1", 0)).expect("a port is free");
    let address = socket.local_addr().expect("the socket is bound");
    let listener = Listener::inherited(socket).expect("the socket is open");
    (
        listen(listener, Vec::new()).expect("a poller is free"),
        address,
    )
}

fn connect(operations: &mut Operations, address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("the port listens");
    let started_at = Instant::now();
    let next_id = operations.next_id;
    while operations.next_id == next_id {
        assert!(started_at.elapsed() < ACCEPT_LIMIT, "not accepted");
        operations.accept();
    }
    stream
}

/// Guards against a command that is carried out and answered 503, because it arrived as its caller was about to be evicted.
#[test]
fn command_that_arrives_before_eviction_awaits_its_result() {
    let (mut operations, address) = port_without_cores();
    let mut command = connect(&mut operations, address);
    let command_id = operations.callers[0].id;
    let _others: Vec<TcpStream> = (1..MAX_CALLERS)
        .map(|_| connect(&mut operations, address))
        .collect();
    std::thread::sleep(EVICTABLE_AFTER);
    command
        .write_all(b"POST /standby HTTP/1.1\r\n\r\n")
        .expect("the caller is connected");
    let _further = connect(&mut operations, address);
    let caller = operations
        .callers
        .iter()
        .find(|caller| caller.id == command_id)
        .expect("the caller is kept");
    assert!(matches!(caller.state, CallerState::AwaitingCores(_)));
}

/// Guards against a further caller that evicts two, the second one for nobody.
#[test]
fn further_caller_evicts_one() {
    let (mut operations, address) = port_without_cores();
    let _callers: Vec<TcpStream> = (0..MAX_CALLERS)
        .map(|_| connect(&mut operations, address))
        .collect();
    std::thread::sleep(EVICTABLE_AFTER);
    let _further = connect(&mut operations, address);
    assert_eq!(operations.callers.len(), MAX_CALLERS);
}
