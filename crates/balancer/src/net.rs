//! Sockets: waiting, buffered reads, gathered writes, and the ways to end a connection.
//!
//! Sockets of connections do not block; one thread serves both sides of a connection.

mod buffers;
pub mod unix_socket;

use std::io::{self, ErrorKind, IoSlice, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use rustix::event::{PollFd, Timespec, poll};
use socket2::{Domain, SockRef, Socket, Type};

use buffers::MAX_DISCARDED_BYTES;
pub use buffers::{ReadBuffer, ReadError, WriteBuffer};
pub use rustix::event::PollFlags;

/// Stack of a connection's thread; its buffers of a few KiB are on it.
pub const THREAD_STACK_BYTES: usize = 96 * 1024;
/// A peer that receives nothing for this long is disconnected.
pub const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// Longest accept queue. All of a site's clients may connect at once, and a client dropped from the
/// queue assumes that it is connected.
const BACKLOG: i32 = 4096;

/// Longest time for which a start waits for its port. A process is to be ready within 6 s.
const LISTEN_TIMEOUT: Duration = Duration::from_secs(3);
/// Pause between two tries to listen.
const LISTEN_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Creates a socket for a connection to an address. The system picks its local port, also one that
/// another process is to listen on; the option lets it, while the connection is open and after.
///
/// # Errors
///
/// Fails if the socket can't be created.
pub fn outgoing_socket(address: SocketAddr) -> io::Result<Socket> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    Ok(socket)
}

/// Listens on an address, and waits a while for a port that is in use: a connection of another
/// process may have it for a moment.
fn listen_when_free(address: SocketAddr) -> io::Result<TcpListener> {
    let deadline_at = Instant::now() + LISTEN_TIMEOUT;
    loop {
        match listen(address) {
            Err(error) if error.kind() == ErrorKind::AddrInUse && Instant::now() < deadline_at => {
                std::thread::sleep(LISTEN_RETRY_INTERVAL);
            }
            result => return result,
        }
    }
}

/// Listens on an address.
///
/// # Errors
///
/// Fails if the socket can't be created or bound.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

/// A front's listener.
pub struct Listener {
    /// The non-blocking socket.
    pub socket: TcpListener,
    /// Whether another process accepts from it too.
    pub is_shared: bool,
}

impl Listener {
    /// Creates a listener of this process alone. Waits up to 3 s for a port that is in use.
    ///
    /// # Errors
    ///
    /// Fails if the socket can't be created or bound.
    pub fn bound(address: SocketAddr) -> io::Result<Listener> {
        Listener::nonblocking(listen_when_free(address)?, false)
    }

    /// Wraps a listener that was inherited.
    ///
    /// # Errors
    ///
    /// Fails if the socket can't be made non-blocking.
    pub fn inherited(socket: TcpListener) -> io::Result<Listener> {
        Listener::nonblocking(socket, true)
    }

    /// Makes the listener non-blocking. The flag belongs to the file description and so to all
    /// processes that share it.
    fn nonblocking(socket: TcpListener, is_shared: bool) -> io::Result<Listener> {
        socket.set_nonblocking(true)?;
        Ok(Listener { socket, is_shared })
    }
}

/// Sets a socket up for the relay: without delay and non-blocking.
///
/// # Errors
///
/// Fails if an option can't be set.
pub fn configure_stream(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    stream.set_nonblocking(true)
}

/// Limits what the system buffers of what is written. Without a limit it adapts to the connection.
pub fn limit_send_buffer(stream: &TcpStream, bytes: usize) {
    // The system's own limit stays if this fails.
    let _ = SockRef::from(stream).set_send_buffer_size(bytes);
}

/// Waits until one of the streams is ready or the time is over; returns which ones are. A closed
/// stream or an error counts as ready. A stream without wanted events is left out, since it would
/// end every wait once it is closed.
pub fn wait_ready<const N: usize>(
    interests: [(&TcpStream, PollFlags); N],
    timeout: Duration,
) -> [bool; N] {
    let wanted = interests.iter().filter(|(_, flags)| !flags.is_empty());
    let mut poll_fds: Vec<PollFd<'_>> = wanted
        .map(|(stream, flags)| PollFd::new(*stream, *flags))
        .collect();
    let is_any_ready = poll_for(&mut poll_fds, timeout);
    let mut ready = poll_fds
        .iter()
        .map(|fd| is_any_ready && !fd.revents().is_empty());
    interests.map(|(_, flags)| !flags.is_empty() && ready.next().unwrap_or(false))
}

/// Waits until a client can be accepted, one of the streams can be read or the time is over;
/// returns whether the listener and which streams are ready. Absent ones are left out.
pub fn wait_listener_or_streams<'a>(
    listener: Option<&'a TcpListener>,
    streams: impl Iterator<Item = Option<&'a TcpStream>>,
    timeout: Duration,
) -> (bool, Vec<bool>) {
    let streams: Vec<Option<&TcpStream>> = streams.collect();
    let mut poll_fds: Vec<PollFd<'_>> = listener
        .iter()
        .map(|listener| PollFd::new(*listener, PollFlags::IN))
        .collect();
    poll_fds.extend(
        streams
            .iter()
            .flatten()
            .map(|stream| PollFd::new(*stream, PollFlags::IN)),
    );
    let is_any_ready = poll_for(&mut poll_fds, timeout);
    let mut ready = poll_fds
        .iter()
        .map(|fd| is_any_ready && !fd.revents().is_empty());
    let is_listener_ready = listener.is_some() && ready.next().unwrap_or(false);
    (
        is_listener_ready,
        streams
            .iter()
            .map(|stream| stream.is_some() && ready.next().unwrap_or(false))
            .collect(),
    )
}

/// Whether a connection waits to be accepted.
pub fn has_waiting_connection(listener: &TcpListener) -> bool {
    poll_for(&mut [PollFd::new(listener, PollFlags::IN)], Duration::ZERO)
}

/// Whether anything is ready. May return early.
fn poll_for(poll_fds: &mut [PollFd<'_>], timeout: Duration) -> bool {
    let seconds = i64::try_from(timeout.as_secs()).unwrap_or(i64::MAX);
    let timespec = Timespec {
        tv_sec: seconds,
        tv_nsec: timeout.subsec_nanos().into(),
    };
    poll(poll_fds, Some(&timespec)).unwrap_or(0) > 0
}

/// Whether an error means that an operation would block, timed out or was interrupted.
pub fn is_would_block(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted
    )
}

/// A line without its end, CRLF or LF.
pub fn trim_line_end(line: &[u8]) -> &[u8] {
    let line = line.strip_suffix(b"\n").unwrap_or(line);
    line.strip_suffix(b"\r").unwrap_or(line)
}

/// Writes all buffers by gathered writes.
///
/// # Errors
///
/// Returns the number of bytes written before the error, also if the write would block.
pub fn write_gathered(mut to: &TcpStream, buffers: &[&[u8]]) -> Result<(), (usize, io::Error)> {
    let mut slices: Vec<IoSlice<'_>> = buffers.iter().map(|buffer| IoSlice::new(buffer)).collect();
    let (mut left, mut written) = (slices.as_mut_slice(), 0);
    IoSlice::advance_slices(&mut left, 0);
    while !left.is_empty() {
        match to.write_vectored(left) {
            Ok(0) => return Err((written, ErrorKind::WriteZero.into())),
            Ok(count) => {
                written += count;
                IoSlice::advance_slices(&mut left, count);
            }
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) => return Err((written, error)),
        }
    }
    Ok(())
}

/// Writes all buffers by gathered writes and waits for a slow peer until the deadline.
///
/// # Errors
///
/// Returns the number of bytes written before the error.
pub fn write_until(
    to: &TcpStream,
    buffers: &[&[u8]],
    deadline_at: Instant,
) -> Result<(), (usize, io::Error)> {
    let all = buffers.concat();
    let mut written = 0;
    loop {
        match write_gathered(to, &[&all[written..]]) {
            Ok(()) => return Ok(()),
            Err((count, error)) if is_would_block(&error) && Instant::now() < deadline_at => {
                written += count;
                wait_ready(
                    [(to, PollFlags::OUT)],
                    deadline_at.saturating_duration_since(Instant::now()),
                );
            }
            Err((count, error)) => return Err((written + count, error)),
        }
    }
}

/// Shuts down the write side. Errors are ignored, since the connection may be closed already.
pub fn shutdown_write(stream: &TcpStream) {
    let _ = stream.shutdown(Shutdown::Write);
}

/// Discards input of a peer after its final message until it closes, for a bounded time and at most
/// 64 KiB.
pub fn discard_until_end(mut stream: &TcpStream, timeout: Duration) {
    let deadline_at = Instant::now() + timeout;
    let (mut chunk, mut left) = ([0; 2048], MAX_DISCARDED_BYTES);
    loop {
        match stream.read(&mut chunk) {
            Ok(0) => return,
            Ok(count) if count < left => left -= count,
            Err(error) if is_would_block(&error) => {}
            _ => return,
        }
        let wait = deadline_at.saturating_duration_since(Instant::now());
        if wait.is_zero() {
            return;
        }
        wait_ready([(stream, PollFlags::IN)], wait);
    }
}

/// Closes a connection after its final message; unread input is discarded first.
pub fn close(stream: &TcpStream) {
    shutdown_write(stream);
    discard_until_end(stream, Duration::ZERO);
}

/// Shuts down both directions; a thread that reads from the socket wakes.
pub fn shutdown_both(stream: &TcpStream) {
    let _ = stream.shutdown(Shutdown::Both);
}

/// Makes the close that follows a reset.
pub fn reset_on_close(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}
