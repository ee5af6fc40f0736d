//! A stand-in for an application server whose connections are established only when the test frees its backlog.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use super::{Peer, TEST_TIMEOUT, listener};

/// Application server with a full backlog. One connection fills the backlog, so the kernel leaves further SYN packets
/// unanswered; they are sent again after about a second.
pub struct FullBacklogServer {
    pub address: SocketAddr,
    listener: TcpListener,
    backlog_filler: TcpStream,
}

impl FullBacklogServer {
    pub fn start() -> FullBacklogServer {
        let listener = listener();
        let address = listener
            .local_addr()
            .expect("bound socket has a local address");
        rustix::net::listen(&listener, 0).expect("socket is listening");
        let backlog_filler =
            TcpStream::connect(address).expect("backlog has room for one connection");
        FullBacklogServer {
            address,
            listener,
            backlog_filler,
        }
    }

    /// Waits until a connect to this server is pending, or until none is.
    pub fn wait_until_connecting_is(&self, is_connecting: bool) {
        let deadline = Instant::now() + TEST_TIMEOUT;
        while is_connecting_to(self.address) != is_connecting {
            assert!(
                Instant::now() < deadline,
                "pending connect did not become {is_connecting}"
            );
            std::thread::sleep(Duration::from_millis(2));
        }
    }

    /// Frees the backlog, so that pending connects succeed.
    pub fn free_backlog(self) -> TcpListener {
        drop(
            self.listener
                .accept()
                .expect("connection that fills the backlog"),
        );
        drop(self.backlog_filler);
        self.listener
    }

    /// Frees the backlog and returns the first line received within this time.
    pub fn free_backlog_and_read(self, within: Duration) -> Option<String> {
        first_line_received(&self.free_backlog(), within)
    }
}

/// Returns the first line that any connection sends within this time; connections that close without data are ignored.
pub fn first_line_received(listener: &TcpListener, within: Duration) -> Option<String> {
    listener.set_nonblocking(true).expect("socket is open");
    let deadline = Instant::now() + within;
    while Instant::now() < deadline {
        let Ok((stream, _)) = listener.accept() else {
            std::thread::sleep(Duration::from_millis(2));
            continue;
        };
        stream.set_nonblocking(false).expect("socket is open");
        if let Some(line) = Peer::new(stream).read_line_or_end() {
            return Some(line);
        }
    }
    None
}

/// Whether the kernel has a pending connect to this address.
fn is_connecting_to(address: SocketAddr) -> bool {
    /// State in `/proc/net/tcp` of a connection whose SYN has not been answered.
    const SYN_SENT: &str = "02";
    let SocketAddr::V4(address) = address else {
        return false;
    };
    let peer = format!(
        "{:08X}:{:04X}",
        u32::from_ne_bytes(address.ip().octets()),
        address.port()
    );
    let table = std::fs::read_to_string("/proc/net/tcp").expect("/proc/net/tcp is readable");
    table.lines().any(|line| {
        let mut fields = line.split_whitespace().skip(2);
        fields.next() == Some(&peer) && fields.next() == Some(SYN_SENT)
    })
}
