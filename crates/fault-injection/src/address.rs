//! Loopback addresses that are unique to this process and to each peer within it.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU8, Ordering};

use socket2::{Domain, Socket, Type};

/// Kind of the addresses on which this process and its programs listen.
const LISTEN_KIND: u8 = 0x80;
/// Kind of the addresses from which peers connect.
const SOURCE_KIND: u8 = 0xc0;
/// Last octet of the addresses where the system chooses the port.
const LISTEN_HOST: u8 = 1;
/// Last octet of the addresses of `ReservedAddress::datagram_address`.
const DATAGRAM_HOST: u8 = 2;

/// An address in 127/8 derived from the id of this process; `kind` separates listening from connecting addresses.
fn process_address(kind: u8, last: u8) -> Ipv4Addr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, high & 0x3f | kind, low, last)
}

/// An address for a listener of this process, with port 0 so that the system chooses the port.
pub fn listen_address() -> SocketAddr {
    SocketAddr::new(IpAddr::V4(process_address(LISTEN_KIND, LISTEN_HOST)), 0)
}

/// A new source address for the connections of one peer, by which others can identify it. Panics after 255 addresses.
pub fn source_address() -> IpAddr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let last = NEXT.fetch_add(1, Ordering::Relaxed);
    assert!(last != 0, "a test process has at most 255 source addresses");
    IpAddr::V4(process_address(SOURCE_KIND, last))
}

/// A reserved address: the system gives its port to nobody else, and its owner can close its listener and listen again.
#[derive(Debug)]
pub struct ReservedAddress {
    /// The reserved address, including the port that the system chose.
    pub address: SocketAddr,
    /// A bound socket that never listens. It keeps the port from being reused while the owner is down.
    _reservation: Socket,
}

impl Default for ReservedAddress {
    fn default() -> ReservedAddress {
        let reservation = bound(listen_address());
        let address = reservation
            .local_addr()
            .ok()
            .and_then(|address| address.as_socket())
            .expect("a bound socket has an address");
        ReservedAddress {
            address,
            _reservation: reservation,
        }
    }
}

impl ReservedAddress {
    /// An address for datagrams with the reserved port. No other socket of this process or of its programs is bound there:
    /// the system chooses ports on the host of `listen_address` alone.
    pub fn datagram_address(&self) -> SocketAddr {
        let host = process_address(LISTEN_KIND, DATAGRAM_HOST);
        SocketAddr::new(IpAddr::V4(host), self.address.port())
    }

    /// Listens on the address. Panics if that fails, for example because a listener is already open.
    pub fn listen(&self, backlog: i32) -> TcpListener {
        let socket = bound(self.address);
        socket
            .listen(backlog)
            .unwrap_or_else(|error| panic!("listening on {} failed: {error}", self.address));
        socket.into()
    }
}

fn bound(address: SocketAddr) -> Socket {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("create a TCP socket");
    socket.set_reuse_address(true).expect("set SO_REUSEADDR");
    socket
        .bind(&address.into())
        .unwrap_or_else(|error| panic!("binding {address} failed: {error}"));
    socket
}
