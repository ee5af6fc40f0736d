//! Small things done with sockets: reads with a deadline, gathered writes, and ways to end a connection.

use std::io::{self, ErrorKind, IoSlice, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use socket2::{Domain, SockRef, Socket, Type};

/// The stack of a connection's thread. They keep their buffers on it, which are a few KiB.
pub const STACK: usize = 96 * 1024;
/// A peer that takes nothing for this long is given up.
const WRITE_PATIENCE: Duration = Duration::from_secs(5);

/// Clients that may wait to be accepted. Guards against a start at which all of a site's clients come at once:
/// the standard library's 128 overflow, and a client that the system has dropped believes that it is connected.
const BACKLOG: i32 = 4096;

/// Listens on an address.
pub fn listen(on: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(on), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&on.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

/// Sets a socket up for the relay. A line goes out when it comes in; a peer that reads nothing costs its own
/// connection and no more.
pub fn prepare(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    stream.set_write_timeout(Some(WRITE_PATIENCE))
}

/// Why a read gave nothing.
#[derive(Debug)]
pub enum ReadError {
    /// The moment came first.
    TimedOut,
    /// The peer ended its sending.
    Ended,
    /// More came than is kept.
    TooLong,
    /// The connection broke.
    Broken(io::Error),
}

/// Whether an error only says that a wait was over or cut short.
pub fn is_wait(error: &io::Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted)
}

/// Bytes read ahead from a peer that is still speaking its opening.
pub struct Intake {
    bytes: Vec<u8>,
    most: usize,
}

impl Intake {
    /// Keeps `most` bytes.
    pub fn new(most: usize) -> Intake {
        Intake { bytes: Vec::new(), most }
    }

    /// Keeps `most` bytes, of which some have been read.
    pub fn holding(bytes: Vec<u8>, most: usize) -> Intake {
        Intake { bytes, most }
    }

    /// What has been read and not taken.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Takes the first `count` bytes off.
    pub fn take(&mut self, count: usize) -> Vec<u8> {
        let rest = self.bytes.split_off(count.min(self.bytes.len()));
        std::mem::replace(&mut self.bytes, rest)
    }

    /// All that was read ahead.
    pub fn into_rest(self) -> Vec<u8> {
        self.bytes
    }

    /// Reads on once, until the deadline at the latest.
    pub fn read(&mut self, mut from: &TcpStream, until: Instant) -> Result<(), ReadError> {
        if self.bytes.len() >= self.most {
            return Err(ReadError::TooLong);
        }
        let mut chunk = [0; 2048];
        let room = chunk.len().min(self.most - self.bytes.len());
        loop {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(ReadError::TimedOut);
            }
            // The system counts in coarser steps; a wait of nothing would mean one without an end.
            let wait = from.set_read_timeout(Some(left.max(Duration::from_millis(1))));
            match wait.and_then(|()| from.read(&mut chunk[..room])) {
                Ok(0) => return Err(ReadError::Ended),
                Ok(count) => {
                    self.bytes.extend_from_slice(&chunk[..count]);
                    return Ok(());
                }
                Err(error) if is_wait(&error) => {}
                Err(error) => return Err(ReadError::Broken(error)),
            }
        }
    }

    /// The next line with its end, CRLF or LF; it is taken off.
    pub fn line(&mut self, from: &TcpStream, until: Instant) -> Result<Vec<u8>, ReadError> {
        let mut looked = 0;
        loop {
            if let Some(end) = self.bytes[looked..].iter().position(|byte| *byte == b'\n') {
                return Ok(self.take(looked + end + 1));
            }
            looked = self.bytes.len();
            self.read(from, until)?;
        }
    }
}

/// A line without its end.
pub fn trimmed(line: &[u8]) -> &[u8] {
    let line = line.strip_suffix(b"\n").unwrap_or(line);
    line.strip_suffix(b"\r").unwrap_or(line)
}

/// Writes all parts by gathered writes; an error comes with the number of bytes that were written before it.
pub fn write_gathered(mut to: &TcpStream, parts: &[&[u8]]) -> Result<(), (usize, io::Error)> {
    let mut slices: Vec<IoSlice<'_>> = parts.iter().map(|part| IoSlice::new(part)).collect();
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

/// Ends the sending on a connection in order. That it is gone already is no news.
pub fn finish(stream: &TcpStream) {
    let _ = stream.shutdown(Shutdown::Write);
}

/// Reads a peer that has had its last word until it ends, for a bounded time. Guards against a reset, which the
/// system makes of a close with bytes unread, and which would overtake that word.
pub fn drain(mut stream: &TcpStream, patience: Duration) {
    let until = Instant::now() + patience;
    let mut chunk = [0; 512];
    let _ = stream.set_read_timeout(Some(patience));
    while Instant::now() < until && matches!(stream.read(&mut chunk), Ok(1..)) {}
}

/// Ends a connection in both directions; a thread that reads from it wakes.
pub fn end(stream: &TcpStream) {
    let _ = stream.shutdown(Shutdown::Both);
}

/// Makes the close of a connection a reset, and wakes the thread that reads from it.
pub fn reset(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
    let _ = stream.shutdown(Shutdown::Read);
}
