//! Tests of handing connections over.

use std::io::{Read, Write};
use std::net::TcpListener;

use super::*;

fn connected_pair() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback");
    let client = TcpStream::connect(listener.local_addr().expect("bound")).expect("loopback");
    (client, listener.accept().expect("it came").0)
}

#[test]
fn transfers_connection_with_sockets_and_request_line() {
    let directory = tempfile::tempdir().expect("a folder");
    let address = HandoverAddress::new(directory.path(), "n0");
    assert!(address.connect().expect("an empty folder").is_none());
    std::fs::write(&address.0, "of another time").expect("room");
    assert!(
        address.connect().is_ok_and(|sender| sender.is_none()),
        "what is no socket is survived"
    );
    let (connection_sender, connections) = crossbeam_channel::unbounded();
    address
        .receive(move |received| connection_sender.send(received).expect("the test waits"))
        .expect("a socket");
    assert!(
        address.connect().expect("its own").is_none(),
        "nobody gives to itself"
    );

    let socket = Socket::new(Domain::UNIX, SOCKET_TYPE, None).expect("a socket");
    socket
        .connect(&SockAddr::unix(&address.0).expect("short"))
        .expect("it takes");
    let sender = HandoverSender(socket);
    let ((mut client, client_socket), (server_socket, mut server)) =
        (connected_pair(), connected_pair());
    rustix::net::send(&sender.0, b"no line and no sockets", SendFlags::NOSIGNAL).expect("open");
    sender
        .send((&client_socket, &server_socket), "s0", b"OPEN 01 02 c=chat")
        .expect("it is taken");
    drop((client_socket, server_socket));
    let received = connections
        .recv_timeout(Duration::from_secs(10))
        .expect("it comes");
    assert_eq!(
        (
            received.server_name.as_str(),
            received.request_line.as_slice()
        ),
        ("s0", b"OPEN 01 02 c=chat".as_slice())
    );
    client.write_all(b"to the server").expect("open");
    server.write_all(b"to the client").expect("open");
    for (mut socket, expected) in [
        (received.client, b"to the server"),
        (received.server, b"to the client"),
    ] {
        let mut bytes = [0; 13];
        socket.read_exact(&mut bytes).expect("open");
        assert_eq!(&bytes, expected);
    }
}

#[test]
fn continues_after_failed_accept() {
    let (connection_sender, connections) = crossbeam_channel::unbounded();
    // No descriptor, then a giver, then nobody for as long as the test runs.
    let mut calls = 0;
    let accept = move || {
        calls += 1;
        match calls {
            1 => Err(io::Error::from_raw_os_error(
                rustix::io::Errno::MFILE.raw_os_error(),
            )),
            2 => Socket::new(Domain::UNIX, SOCKET_TYPE, None),
            _ => loop {
                std::thread::park();
            },
        }
    };
    std::thread::spawn(move || {
        accept_senders(accept, move |sender| drop(connection_sender.send(sender)))
    });
    assert!(
        connections.recv_timeout(Duration::from_secs(10)).is_ok(),
        "the second is served"
    );
}

#[test]
fn sends_connection_in_stable_wire_format() {
    let (local, remote) = Socket::pair(Domain::UNIX, SOCKET_TYPE, None).expect("a pair of sockets");
    let ((_client_peer, client), (server, _server_peer)) = (connected_pair(), connected_pair());
    HandoverSender(local)
        .send((&client, &server), "s0", b"OPEN 01 02 c=chat")
        .expect("room in the socket");
    let mut bytes = [0; 64];
    let (count, _) = rustix::net::recv(&remote, &mut bytes, RecvFlags::empty()).expect("a message");
    assert_eq!(&bytes[..count], b"s0\nOPEN 01 02 c=chat");
}
