//! Small things done with sockets: waits, reads with a deadline, gathered writes, and ways to end a connection.
//!
//! Sockets of connections do not block: one thread serves both sides of a connection and waits for either.

use std::io::{self, ErrorKind, IoSlice, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use rustix::event::{PollFd, Timespec, poll};
use socket2::{Domain, SockRef, Socket, Type};

pub use rustix::event::PollFlags;

/// The stack of a connection's thread. They keep their buffers on it, which are a few KiB.
pub const STACK: usize = 96 * 1024;
/// A peer that takes nothing for this long is given up.
pub const WRITE_PATIENCE: Duration = Duration::from_secs(5);

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

/// A front's listener.
pub struct Listener {
    /// It does not block.
    pub socket: TcpListener,
    /// Another process accepts from it too, or is about to: what has not been accepted is left to it.
    pub shared: bool,
}

impl Listener {
    /// A listener of this program alone.
    pub fn bound(on: SocketAddr) -> io::Result<Listener> {
        Listener::of(listen(on)?, false)
    }

    /// A listener that whoever started this program holds.
    pub fn inherited(socket: TcpListener) -> io::Result<Listener> {
        Listener::of(socket, true)
    }

    /// The flag is the file description's, and so the same for all processes that share it.
    fn of(socket: TcpListener, shared: bool) -> io::Result<Listener> {
        socket.set_nonblocking(true)?;
        Ok(Listener { socket, shared })
    }
}

/// Sets a socket up for the relay. A line goes out when it comes in, and nothing done with it blocks.
pub fn prepare(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    stream.set_nonblocking(true)
}

/// Waits until one of the streams is ready for what is wanted of it, or the span is over; tells for each whether
/// it is. An end or an error counts as ready, the read or write that follows shows it. A stream of which nothing
/// is wanted is left out: its end would cut every wait short.
pub fn ready<const N: usize>(wants: [(&TcpStream, PollFlags); N], patience: Duration) -> [bool; N] {
    let wanted = wants.iter().filter(|(_, flags)| !flags.is_empty());
    let mut asked: Vec<PollFd<'_>> = wanted
        .map(|(stream, flags)| PollFd::new(*stream, *flags))
        .collect();
    let any = poll_for(&mut asked, patience);
    let mut told = asked.iter().map(|fd| any && !fd.revents().is_empty());
    wants.map(|(_, flags)| !flags.is_empty() && told.next().unwrap_or(false))
}

/// The same for a listener and streams to be read, of which some are left out.
pub fn ready_of<'a>(
    listener: Option<&'a TcpListener>,
    streams: impl Iterator<Item = Option<&'a TcpStream>>,
    patience: Duration,
) -> (bool, Vec<bool>) {
    let streams: Vec<Option<&TcpStream>> = streams.collect();
    let mut asked: Vec<PollFd<'_>> = listener
        .iter()
        .map(|listener| PollFd::new(*listener, PollFlags::IN))
        .collect();
    asked.extend(
        streams
            .iter()
            .flatten()
            .map(|stream| PollFd::new(*stream, PollFlags::IN)),
    );
    let any = poll_for(&mut asked, patience);
    let mut told = asked.iter().map(|fd| any && !fd.revents().is_empty());
    let clients = listener.is_some() && told.next().unwrap_or(false);
    (
        clients,
        streams
            .iter()
            .map(|stream| stream.is_some() && told.next().unwrap_or(false))
            .collect(),
    )
}

/// Whether anything is ready. A wait that is cut short is as good as one that is over: whoever waits looks again.
fn poll_for(asked: &mut [PollFd<'_>], patience: Duration) -> bool {
    let seconds = i64::try_from(patience.as_secs()).unwrap_or(i64::MAX);
    let until = Timespec {
        tv_sec: seconds,
        tv_nsec: patience.subsec_nanos().into(),
    };
    poll(asked, Some(&until)).unwrap_or(0) > 0
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
    matches!(
        error.kind(),
        ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted
    )
}

/// Bytes read ahead from a peer that is still speaking its opening.
pub struct Intake {
    bytes: Vec<u8>,
    most: usize,
}

impl Intake {
    /// Keeps `most` bytes.
    pub fn new(most: usize) -> Intake {
        Intake {
            bytes: Vec::new(),
            most,
        }
    }

    /// Keeps `most` bytes, of which some have been read.
    pub fn holding(bytes: Vec<u8>, most: usize) -> Intake {
        Intake { bytes, most }
    }

    /// What has been read and not taken.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Whether no more is kept.
    pub fn is_full(&self) -> bool {
        self.bytes.len() >= self.most
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
        loop {
            if self.bytes.len() >= self.most {
                return Err(ReadError::TooLong);
            }
            let mut chunk = [0; 2048];
            let room = chunk.len().min(self.most - self.bytes.len());
            match from.read(&mut chunk[..room]) {
                Ok(0) => return Err(ReadError::Ended),
                Ok(count) => {
                    self.bytes.extend_from_slice(&chunk[..count]);
                    return Ok(());
                }
                Err(error) if is_wait(&error) => {}
                Err(error) => return Err(ReadError::Broken(error)),
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(ReadError::TimedOut);
            }
            ready([(from, PollFlags::IN)], left);
        }
    }

    /// The next line with its end, CRLF or LF, if it has been read; it is taken off.
    pub fn whole_line(&mut self) -> Option<Vec<u8>> {
        let end = self.bytes.iter().position(|byte| *byte == b'\n')?;
        Some(self.take(end + 1))
    }

    /// The next line with its end; it is taken off.
    pub fn line(&mut self, from: &TcpStream, until: Instant) -> Result<Vec<u8>, ReadError> {
        loop {
            if let Some(line) = self.whole_line() {
                return Ok(line);
            }
            self.read(from, until)?;
        }
    }
}

/// A line without its end.
pub fn trimmed(line: &[u8]) -> &[u8] {
    let line = line.strip_suffix(b"\n").unwrap_or(line);
    line.strip_suffix(b"\r").unwrap_or(line)
}

/// Writes all parts by gathered writes; an error comes with the number of bytes that were written before it. That
/// the peer takes no more just now is an error too.
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

/// The same, and waits for a peer that takes its time.
pub fn write_until(
    to: &TcpStream,
    parts: &[&[u8]],
    until: Instant,
) -> Result<(), (usize, io::Error)> {
    let whole = parts.concat();
    let mut written = 0;
    loop {
        match write_gathered(to, &[&whole[written..]]) {
            Ok(()) => return Ok(()),
            Err((count, error)) if is_wait(&error) && Instant::now() < until => {
                written += count;
                ready(
                    [(to, PollFlags::OUT)],
                    until.saturating_duration_since(Instant::now()),
                );
            }
            Err((count, error)) => return Err((written + count, error)),
        }
    }
}

/// What a peer has not taken yet.
#[derive(Default)]
pub struct Outflow {
    bytes: Vec<u8>,
    /// Bytes read of it since its last word.
    drained: usize,
    /// It has ended its own sending since its last word.
    ended: bool,
}

impl Outflow {
    /// Whether all has been taken.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Writes what can be written now by gathered writes and keeps the rest.
    pub fn send(&mut self, to: &TcpStream, parts: &[&[u8]]) -> io::Result<()> {
        let mut written = 0;
        if self.bytes.is_empty() {
            match write_gathered(to, parts) {
                Ok(()) => return Ok(()),
                Err((count, error)) if is_wait(&error) => written = count,
                Err((_, error)) => return Err(error),
            }
        }
        for part in parts {
            let skipped = written.min(part.len());
            written -= skipped;
            self.bytes.extend_from_slice(&part[skipped..]);
        }
        Ok(())
    }

    /// Says the last word, and ends the sending in order once it has been taken.
    pub fn part(&mut self, to: &TcpStream, words: &[u8]) {
        // A peer that is gone needs no answer.
        let _ = self.send(to, &[words]);
        if self.is_empty() {
            finish(to);
        }
    }

    /// Reads a peer that has had its last word; false once it has ended and has taken all. Guards against a reset,
    /// which the system makes of a close with bytes unread and which would overtake that word, and against a peer that
    /// goes on sending at full speed: beyond a bound nothing more is read of it.
    pub fn linger(&mut self, mut of: &TcpStream) -> bool {
        if !self.is_empty() {
            if self.flush(of).is_err() {
                return false;
            }
            if self.is_empty() {
                finish(of);
            }
        }
        if self.reads_on() {
            match of.read(&mut [0; 4096]) {
                Ok(0) => self.ended = true,
                Ok(count) => self.drained += count,
                Err(error) if is_wait(&error) => {}
                Err(_) => return false,
            }
        }
        !(self.ended && self.is_empty())
    }

    /// Whether a peer that has had its last word is still to be read.
    pub fn reads_on(&self) -> bool {
        !self.ended && self.drained < MOST_DRAINED
    }

    /// Goes on writing what was kept.
    pub fn flush(&mut self, to: &TcpStream) -> io::Result<()> {
        let kept = std::mem::take(&mut self.bytes);
        if kept.is_empty() {
            Ok(())
        } else {
            self.send(to, &[&kept])
        }
    }
}

/// Ends the sending on a connection in order. That it is gone already is no news.
pub fn finish(stream: &TcpStream) {
    let _ = stream.shutdown(Shutdown::Write);
}

/// Reads a peer that has had its last word until it ends, for a bounded time. Guards against a reset, which the
/// system makes of a close with bytes unread, and which would overtake that word; and against one that goes on
/// sending at full speed: no more than 64 KiB is read.
pub fn drain(mut stream: &TcpStream, patience: Duration) {
    let until = Instant::now() + patience;
    let (mut chunk, mut left) = ([0; 2048], MOST_DRAINED);
    loop {
        match stream.read(&mut chunk) {
            Ok(0) => return,
            Ok(count) if count < left => left -= count,
            Err(error) if is_wait(&error) => {}
            _ => return,
        }
        let wait = until.saturating_duration_since(Instant::now());
        if wait.is_zero() {
            return;
        }
        ready([(stream, PollFlags::IN)], wait);
    }
}

/// Most that is read of a peer that has had its last word.
const MOST_DRAINED: usize = 64 * 1024;

/// Closes a connection that has had its last word: what lies there is read first. Guards against a reset, which the
/// system makes of a close with bytes unread, and which would destroy that word.
pub fn close(stream: &TcpStream) {
    finish(stream);
    drain(stream, Duration::ZERO);
}

/// Ends a connection in both directions; a thread that reads from it wakes.
pub fn end(stream: &TcpStream) {
    let _ = stream.shutdown(Shutdown::Both);
}

/// Makes the close of a connection, which follows, a reset.
pub fn reset(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}
