//! Discovery by the script of a test, and the lists that it tells.

use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::Duration;

use super::{Peer, TEST_TIMEOUT, listener};

/// Discovery: each watch begins with the present list and is then told what the test says. It beats unless told not
/// to: a story that is slow on a loaded machine would talk to a watch that the program has given up.
pub struct Discovery {
    pub address: SocketAddr,
    watches: Receiver<Peer>,
    sends_heartbeats: Arc<AtomicBool>,
}

impl Discovery {
    pub fn start() -> Discovery {
        let listener = listener();
        let address = listener.local_addr().expect("bound");
        let (watch_sender, watches) = channel();
        let sends_heartbeats = Arc::new(AtomicBool::new(true));
        let heartbeat_flag = Arc::clone(&sends_heartbeats);
        std::thread::spawn(move || accept_watches(&listener, &watch_sender, &heartbeat_flag));
        Discovery {
            address,
            watches,
            sends_heartbeats,
        }
    }

    /// The next watch that is asked for.
    pub fn accept_watch(&self) -> Peer {
        self.watches.recv_timeout(TEST_TIMEOUT).expect("a watch")
    }

    /// The same, if one is asked for within so long.
    pub fn accept_watch_within(&self, timeout: Duration) -> Option<Peer> {
        self.watches.recv_timeout(timeout).ok()
    }

    /// Sends heartbeats again on watches that are asked for from now on.
    pub fn resume_heartbeats(&self) {
        self.sends_heartbeats.store(true, Ordering::Relaxed);
    }

    /// Sends no more heartbeats.
    pub fn stop_heartbeats(&self) {
        self.sends_heartbeats.store(false, Ordering::Relaxed);
    }
}

fn accept_watches(
    listener: &TcpListener,
    watch_sender: &Sender<Peer>,
    sends_heartbeats: &Arc<AtomicBool>,
) {
    loop {
        let Ok((stream, _)) = listener.accept() else {
            return;
        };
        let mut peer = Peer::new(stream);
        let request_line = peer.read_line().expect("a request");
        assert!(
            request_line.starts_with("GET /api/targets?watch=1&from="),
            "{request_line}"
        );
        while peer.read_line().is_some_and(|line| !line.is_empty()) {}
        peer.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        let (mut stream, sends_heartbeats) = (
            peer.stream.try_clone().expect("open"),
            Arc::clone(sends_heartbeats),
        );
        std::thread::spawn(move || {
            while sends_heartbeats.load(Ordering::Relaxed)
                && stream.write_all(b"1\r\n\n\r\n").is_ok()
            {
                std::thread::sleep(Duration::from_millis(500));
            }
        });
        if watch_sender.send(peer).is_err() {
            return;
        }
    }
}

/// Tells a watch of servers: name, address, lifecycle.
pub fn send_endpoints(
    watch: &mut Peer,
    generation: u32,
    reset: bool,
    servers: &[(&str, SocketAddr, &str)],
) {
    let list = endpoint_list(generation, reset, servers);
    watch.send(&format!("{:x}\r\n{list}\n\r\n", list.len() + 1));
}

pub fn endpoint_list(generation: u32, reset: bool, servers: &[(&str, SocketAddr, &str)]) -> String {
    let row = |(name, address, state): &(&str, SocketAddr, &str)| {
        format!(
            r#"{{"instanceId":"{name}","hostPort":"{address}","zone":"a","lifecycle":"{state}","weight":1.0}}"#
        )
    };
    let rows: Vec<String> = servers.iter().map(row).collect();
    format!(
        r#"{{"generation":{generation},"reset":{reset},"instances":[{}]}}"#,
        rows.join(",")
    )
}
