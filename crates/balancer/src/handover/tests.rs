//! Tests of the handover between processes over a Unix socket.

use std::io::{Read, Write};
use std::time::Duration;

use socket2::{Domain, SockAddr};

use super::*;
use crate::testing::connected_pair;

const UNANSWERED: UnansweredRequests = UnansweredRequests {
    count: 3,
    age: Duration::from_millis(1_200),
};

#[test]
fn transfers_connection_with_sockets_and_request_line() {
    let directory = tempfile::tempdir().expect("create a temporary directory");
    let address = HandoverAddress::new(directory.path(), "n0");
    assert!(
        address
            .connect()
            .expect("look for a process in an empty directory")
            .is_none()
    );
    std::fs::write(&address.0, "of another time").expect("write a file");
    assert!(
        address.connect().is_ok_and(|sender| sender.is_none()),
        "a file that is not a socket counts as no process"
    );
    let (connection_sender, connections) = crossbeam_channel::unbounded();
    address
        .receive(move |received| {
            connection_sender
                .send(received)
                .expect("the test receives connections")
        })
        .expect("create a socket");
    assert!(
        address
            .connect()
            .expect("connect to the own socket")
            .is_none(),
        "a process does not hand over to itself"
    );

    let socket = Socket::new(Domain::UNIX, SOCKET_TYPE, None).expect("create a socket");
    socket
        .connect(&SockAddr::unix(&address.0).expect("the path fits into a socket address"))
        .expect("connect to the handover socket");
    let mut sender = HandoverSender {
        socket,
        is_greeted: false,
    };
    assert!(sender.is_ready(), "the receiver greets");
    let ((mut client, client_socket), (server_socket, mut server)) =
        (connected_pair(), connected_pair());
    rustix::net::send(
        &sender.socket,
        b"no line and no sockets",
        SendFlags::NOSIGNAL,
    )
    .expect("send an invalid message");
    sender
        .send(
            (&client_socket, &server_socket),
            "s0",
            b"OPEN 01 02 c=chat",
            UNANSWERED,
        )
        .expect("send the connection");
    drop((client_socket, server_socket));
    let received = connections
        .recv_timeout(Duration::from_secs(10))
        .expect("receive the connection");
    assert_eq!(
        (
            received.server_name.as_str(),
            received.request_line.as_slice(),
            received.unanswered
        ),
        ("s0", b"OPEN 01 02 c=chat".as_slice(), UNANSWERED)
    );
    client
        .write_all(b"to the server")
        .expect("write to the received socket");
    server
        .write_all(b"to the client")
        .expect("write to the received socket");
    for (mut socket, expected) in [
        (received.client, b"to the server"),
        (received.server, b"to the client"),
    ] {
        let mut bytes = [0; 13];
        socket
            .read_exact(&mut bytes)
            .expect("read from the received socket");
        assert_eq!(&bytes, expected);
    }
}

/// If a failed accept ended the loop, connections in the socket's queue would be lost.
#[test]
fn continues_after_failed_accept() {
    let (connection_sender, connections) = crossbeam_channel::unbounded();
    // The first accept fails for lack of descriptors, the second returns a sender, and the third
    // blocks.
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
        unix_socket::accept_peers(PART, accept, move |sender| {
            drop(connection_sender.send(sender))
        })
    });
    assert!(
        connections.recv_timeout(Duration::from_secs(10)).is_ok(),
        "a sender is accepted after the failure"
    );
}

/// Guards the bytes of a message: a process of another version must be able to parse them.
#[test]
fn sends_connection_in_stable_wire_format() {
    let (local, remote) =
        Socket::pair(Domain::UNIX, SOCKET_TYPE, None).expect("create a socket pair");
    let ((_client_peer, client), (server, _server_peer)) = (connected_pair(), connected_pair());
    let sender = HandoverSender {
        socket: local,
        is_greeted: true,
    };
    for (unanswered, expected) in [
        (UnansweredRequests::default(), &b"s0\nOPEN 01 02 c=chat"[..]),
        (UNANSWERED, b"s0\nOPEN 01 02 c=chat\n3 1200"),
    ] {
        sender
            .send((&client, &server), "s0", b"OPEN 01 02 c=chat", unanswered)
            .expect("send the connection");
        let mut bytes = [0; 64];
        let (count, _) = rustix::net::recv(&remote, &mut bytes, RecvFlags::empty())
            .expect("receive the message");
        assert_eq!(&bytes[..count], expected);
    }
}

#[test]
fn rejects_unanswered_requests_that_are_no_numbers() {
    for line in [&b""[..], b"3", b"3 x", b"-1 5", b"3 5 7"] {
        assert_eq!(UnansweredRequests::decode(line), None);
    }
    let many = UnansweredRequests::decode(b"99999999 5").expect("two numbers");
    assert_eq!(many.count, MAX_UNANSWERED);
}
