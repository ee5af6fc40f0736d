//! Peers that several tests of this package need.

use std::net::{SocketAddr, TcpListener, TcpStream};

use socket2::{Domain, Socket, Type};

/// A listener whose queue one connection fills; the system drops other connects, which keep
/// retrying.
pub fn full_listener() -> (TcpListener, TcpStream) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    socket.bind(&any.into()).expect("loopback");
    socket.listen(0).expect("bound");
    let listener: TcpListener = socket.into();
    let filler = TcpStream::connect(listener.local_addr().expect("bound")).expect("room for one");
    (listener, filler)
}
