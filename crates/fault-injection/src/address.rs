//! Addresses on loopback that nobody else in this process or another test's has.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU8, Ordering};

use socket2::{Domain, Socket, Type};

/// An address of 127/8 made from this process's id; `kind` keeps what listens apart from what connects.
fn process_address(kind: u8, last: u8) -> Ipv4Addr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, high & 0x3f | kind, low, last)
}

/// Where something of this process may listen: the port is the system's choice.
pub fn listen_address() -> SocketAddr {
    SocketAddr::new(IpAddr::V4(process_address(0x80, 1)), 0)
}

/// An address that whatever connects on behalf of one party connects from, so that its peers can tell it.
pub fn source_address() -> IpAddr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let last = NEXT.fetch_add(1, Ordering::Relaxed);
    assert!(last != 0, "a test process has room for 255 parties");
    IpAddr::V4(process_address(0xc0, last))
}

/// An address that is kept: nobody else is given its port, and whoever owns it may listen there, end, and listen anew.
#[derive(Debug)]
pub struct ReservedAddress {
    /// The address.
    pub address: SocketAddr,
    /// Bound and never listening. Guards against the port being given away while its owner is down.
    _reservation: Socket,
}

impl Default for ReservedAddress {
    fn default() -> ReservedAddress {
        let reservation = bound(listen_address());
        let address = reservation
            .local_addr()
            .ok()
            .and_then(|address| address.as_socket())
            .expect("bound");
        ReservedAddress {
            address,
            _reservation: reservation,
        }
    }
}

impl ReservedAddress {
    /// Listens there.
    pub fn listen(&self, backlog: i32) -> TcpListener {
        let socket = bound(self.address);
        socket
            .listen(backlog)
            .unwrap_or_else(|error| panic!("{}: {error}", self.address));
        socket.into()
    }
}

fn bound(address: SocketAddr) -> Socket {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_reuse_address(true).expect("open");
    socket
        .bind(&address.into())
        .unwrap_or_else(|error| panic!("{address}: {error}"));
    socket
}
