//! Unix sockets through which the processes of one balancer find each other: each new process puts
//! its own in the place of the former one's.

use std::io;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use socket2::{Domain, SockAddr, Socket, Type};
use tracing::warn;

/// Connections that wait to be accepted.
const BACKLOG: i32 = 4;
/// Pause after a failed accept, which avoids a busy loop without descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Listens at a path, in the place of the process that had it.
///
/// # Errors
///
/// Fails if the socket can't be created or put in place.
pub fn listen_in_place(path: &Path, socket_type: Type) -> io::Result<Socket> {
    let own_path = path.with_extension(std::process::id().to_string());
    // A former process with the same id may have left its socket.
    let _ = std::fs::remove_file(&own_path);
    let listener = Socket::new(Domain::UNIX, socket_type, None)?;
    listener.bind(&SockAddr::unix(&own_path)?)?;
    listener.listen(BACKLOG)?;
    std::fs::rename(&own_path, path)?;
    Ok(listener)
}

/// Connects to the process that listens at a path, if there is one.
///
/// # Errors
///
/// Fails if the socket can't be used.
pub fn connect_if_present(path: &Path, socket_type: Type) -> io::Result<Option<Socket>> {
    let socket = Socket::new(Domain::UNIX, socket_type, None)?;
    match socket.connect(&SockAddr::unix(path)?) {
        Ok(()) => Ok(Some(socket)),
        // The process that owned the socket has ended, or there is none.
        Err(error)
            if matches!(
                error.kind(),
                io::ErrorKind::ConnectionRefused | io::ErrorKind::NotFound
            ) =>
        {
            Ok(None)
        }
        Err(error) => Err(error),
    }
}

/// Accepts processes while the program runs. A lack of descriptors must not end this: connections in
/// the socket's queue would be lost with their clients.
pub fn accept_peers(
    part: &str,
    mut accept: impl FnMut() -> io::Result<Socket>,
    start_peer: impl Fn(Socket),
) {
    loop {
        match accept() {
            Ok(peer) => start_peer(peer),
            Err(error) => {
                warn!(part, why = %error, "accept failed");
                std::thread::sleep(ACCEPT_PAUSE);
            }
        }
    }
}

/// A bound on the processes that are connected, each of which holds a descriptor and threads.
pub struct PeerLimit {
    max_peers: usize,
    /// Shared with the places.
    in_use: Arc<()>,
}

/// The place of one connected process, free again on drop.
pub struct PeerPlace(#[expect(dead_code, reason = "counted by its limit")] Arc<()>);

impl PeerLimit {
    /// Creates a limit.
    pub fn new(max_peers: usize) -> PeerLimit {
        PeerLimit {
            max_peers,
            in_use: Arc::new(()),
        }
    }

    /// Takes a place for one more process; `None` if there are too many. One thread takes all places.
    pub fn take(&self) -> Option<PeerPlace> {
        let taken = Arc::strong_count(&self.in_use) - 1;
        (taken < self.max_peers).then(|| PeerPlace(Arc::clone(&self.in_use)))
    }
}
