//! Helpers shared by the tests of this crate.

use std::net::{SocketAddr, TcpListener, TcpStream};

use socket2::{Domain, Socket, Type};

/// Both ends of a connection, the connecting one first.
pub fn connected_pair() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind to a loopback port");
    let address = listener.local_addr().expect("local address");
    let connecting_end = TcpStream::connect(address).expect("connect to the listener");
    let accepted = listener.accept().expect("accept the connection");
    (connecting_end, accepted.0)
}

/// A listener whose backlog is filled by one connection. The kernel drops the SYNs of further
/// connects, which stay in progress.
pub fn full_listener() -> (TcpListener, TcpStream) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("create a socket");
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    socket.bind(&any.into()).expect("bind to loopback");
    socket.listen(0).expect("listen on the bound socket");
    let listener: TcpListener = socket.into();
    let filler = TcpStream::connect(
        listener
            .local_addr()
            .expect("local address of the listener"),
    )
    .expect("connect while the backlog is empty");
    (listener, filler)
}
