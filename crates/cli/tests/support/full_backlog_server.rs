//! A stand-in for an application server to which connections come up late: when the test lets them.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use super::{Peer, TEST_TIMEOUT, listener};

/// The server. One connection fills its queue, so that the system leaves further ones unanswered; they try again
/// after about a second.
pub struct FullBacklogServer {
    pub address: SocketAddr,
    listener: TcpListener,
    backlog_filler: TcpStream,
}

impl FullBacklogServer {
    pub fn start() -> FullBacklogServer {
        let listener = listener();
        let address = listener.local_addr().expect("bound");
        rustix::net::listen(&listener, 0).expect("it listens already");
        let backlog_filler = TcpStream::connect(address).expect("room for one");
        FullBacklogServer {
            address,
            listener,
            backlog_filler,
        }
    }

    /// Waits until a connection is under way, or none is any more.
    pub fn wait_until_connecting_is(&self, is_connecting: bool) {
        let deadline = Instant::now() + TEST_TIMEOUT;
        while is_connecting_to(self.address) != is_connecting {
            assert!(
                Instant::now() < deadline,
                "never so: connecting {is_connecting}"
            );
            std::thread::sleep(Duration::from_millis(2));
        }
    }

    /// Makes room, so that what still tries comes up.
    pub fn free_backlog(self) -> TcpListener {
        drop(self.listener.accept().expect("the one that filled it"));
        drop(self.backlog_filler);
        self.listener
    }

    /// Makes room and gives the first words that anybody says within this span.
    pub fn free_backlog_and_read(self, within: Duration) -> Option<String> {
        first_line_received(&self.free_backlog(), within)
    }
}

/// The first words that anybody says to a server within this span; connections that end without words are none.
pub fn first_line_received(listener: &TcpListener, within: Duration) -> Option<String> {
    listener.set_nonblocking(true).expect("open");
    let deadline = Instant::now() + within;
    while Instant::now() < deadline {
        let Ok((stream, _)) = listener.accept() else {
            std::thread::sleep(Duration::from_millis(2));
            continue;
        };
        stream.set_nonblocking(false).expect("open");
        if let Some(line) = Peer::new(stream).read_line_or_end() {
            return Some(line);
        }
    }
    None
}

/// Whether the system has a connection to that address under way.
fn is_connecting_to(address: SocketAddr) -> bool {
    /// The state of a connection whose first packet has not been answered, in the system's table.
    const SYN_SENT: &str = "02";
    let SocketAddr::V4(address) = address else {
        return false;
    };
    let peer = format!(
        "{:08X}:{:04X}",
        u32::from_ne_bytes(address.ip().octets()),
        address.port()
    );
    let table = std::fs::read_to_string("/proc/net/tcp").expect("the system's table");
    table.lines().any(|line| {
        let mut fields = line.split_whitespace().skip(2);
        fields.next() == Some(&peer) && fields.next() == Some(SYN_SENT)
    })
}
