//! Tests of handing connections over.

use std::io::{Read, Write};
use std::net::TcpListener;

use super::*;

fn pair() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback");
    let one = TcpStream::connect(listener.local_addr().expect("bound")).expect("loopback");
    (one, listener.accept().expect("it came").0)
}

#[test]
fn a_connection_is_given_with_both_sockets_and_its_opening() {
    let folder = tempfile::tempdir().expect("a folder");
    let place = HandoverAddress::new(folder.path(), "n0");
    assert!(place.connect().expect("an empty folder").is_none());
    std::fs::write(&place.0, "of another time").expect("room");
    assert!(
        place.connect().is_ok_and(|found| found.is_none()),
        "what is no socket is survived"
    );
    let (send, taken) = crossbeam_channel::unbounded();
    place
        .receive(move |given| send.send(given).expect("the test waits"))
        .expect("a socket");
    assert!(
        place.connect().expect("its own").is_none(),
        "nobody gives to itself"
    );

    let socket = Socket::new(Domain::UNIX, SOCKET_TYPE, None).expect("a socket");
    socket
        .connect(&SockAddr::unix(&place.0).expect("short"))
        .expect("it takes");
    let giver = HandoverSender(socket);
    let ((mut client, near), (far, mut server)) = (pair(), pair());
    rustix::net::send(&giver.0, b"no line and no sockets", SendFlags::NOSIGNAL).expect("open");
    giver
        .send((&near, &far), "s0", b"OPEN 01 02 c=chat")
        .expect("it is taken");
    drop((near, far));
    let given = taken
        .recv_timeout(Duration::from_secs(10))
        .expect("it comes");
    assert_eq!(
        (given.server_name.as_str(), given.request_line.as_slice()),
        ("s0", b"OPEN 01 02 c=chat".as_slice())
    );
    client.write_all(b"to the server").expect("open");
    server.write_all(b"to the client").expect("open");
    for (mut socket, words) in [
        (given.client, b"to the server"),
        (given.server, b"to the client"),
    ] {
        let mut heard = [0; 13];
        socket.read_exact(&mut heard).expect("open");
        assert_eq!(&heard, words);
    }
}

#[test]
fn an_accept_that_fails_once_does_not_cost_those_who_give_later() {
    let (given, taken) = crossbeam_channel::unbounded();
    // No descriptor, then a giver, then nobody for as long as the test runs.
    let mut came = 0;
    let accept = move || {
        came += 1;
        match came {
            1 => Err(io::Error::from_raw_os_error(
                rustix::io::Errno::MFILE.raw_os_error(),
            )),
            2 => Socket::new(Domain::UNIX, SOCKET_TYPE, None),
            _ => loop {
                std::thread::park();
            },
        }
    };
    std::thread::spawn(move || accept_senders(accept, move |giver| drop(given.send(giver))));
    assert!(
        taken.recv_timeout(Duration::from_secs(10)).is_ok(),
        "the second is served"
    );
}

#[test]
fn a_connection_is_given_in_the_form_that_was_first_sent() {
    let (near, far) = Socket::pair(Domain::UNIX, SOCKET_TYPE, None).expect("a pair of sockets");
    let ((_client, one), (other, _server)) = (pair(), pair());
    HandoverSender(near)
        .send((&one, &other), "s0", b"OPEN 01 02 c=chat")
        .expect("room in the socket");
    let mut bytes = [0; 64];
    let (count, _) = rustix::net::recv(&far, &mut bytes, RecvFlags::empty()).expect("a message");
    assert_eq!(&bytes[..count], b"s0\nOPEN 01 02 c=chat");
}
