//! Bounded buffers between a socket and its reader or writer.

use std::io::{self, Read};
use std::net::TcpStream;
use std::time::Instant;

use rustix::event::PollFlags;

use super::{is_would_block, shutdown_write, wait_ready, write_gathered};

/// Why a read returned nothing.
#[derive(Debug)]
pub enum ReadError {
    /// The deadline has passed.
    TimedOut,
    /// The peer has closed its write side.
    Ended,
    /// The buffer is full.
    TooLong,
    /// The connection broke.
    Broken(io::Error),
}

/// A bounded buffer of bytes read from a peer.
pub struct ReadBuffer {
    bytes: Vec<u8>,
    limit: usize,
}

impl ReadBuffer {
    /// Creates an empty buffer for at most `limit` bytes.
    pub fn new(limit: usize) -> ReadBuffer {
        ReadBuffer {
            bytes: Vec::new(),
            limit,
        }
    }

    /// Creates a buffer for at most `limit` bytes that holds `bytes`.
    pub fn with_bytes(bytes: Vec<u8>, limit: usize) -> ReadBuffer {
        ReadBuffer { bytes, limit }
    }

    /// The buffered bytes.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Whether the buffer is full.
    pub fn is_full(&self) -> bool {
        self.bytes.len() >= self.limit
    }

    /// Takes the first `count` bytes.
    pub fn take(&mut self, count: usize) -> Vec<u8> {
        let rest = self.bytes.split_off(count.min(self.bytes.len()));
        std::mem::replace(&mut self.bytes, rest)
    }

    /// All buffered bytes.
    pub fn into_rest(self) -> Vec<u8> {
        self.bytes
    }

    /// Reads once, until the deadline at the latest.
    ///
    /// # Errors
    ///
    /// Returns why nothing was read.
    pub fn read(&mut self, mut stream: &TcpStream, deadline_at: Instant) -> Result<(), ReadError> {
        loop {
            if self.bytes.len() >= self.limit {
                return Err(ReadError::TooLong);
            }
            let mut chunk = [0; 2048];
            let max_read = chunk.len().min(self.limit - self.bytes.len());
            match stream.read(&mut chunk[..max_read]) {
                Ok(0) => return Err(ReadError::Ended),
                Ok(count) => {
                    self.bytes.extend_from_slice(&chunk[..count]);
                    return Ok(());
                }
                Err(error) if is_would_block(&error) => {}
                Err(error) => return Err(ReadError::Broken(error)),
            }
            let remaining = deadline_at.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return Err(ReadError::TimedOut);
            }
            wait_ready([(stream, PollFlags::IN)], remaining);
        }
    }

    /// Takes the next line with its end, CRLF or LF, if it is complete.
    pub fn next_line(&mut self) -> Option<Vec<u8>> {
        let line_end = self.bytes.iter().position(|byte| *byte == b'\n')?;
        Some(self.take(line_end + 1))
    }

    /// Reads and takes the next line with its end.
    ///
    /// # Errors
    ///
    /// Returns why there is no complete line.
    pub fn read_line(
        &mut self,
        stream: &TcpStream,
        deadline_at: Instant,
    ) -> Result<Vec<u8>, ReadError> {
        loop {
            if let Some(line) = self.next_line() {
                return Ok(line);
            }
            self.read(stream, deadline_at)?;
        }
    }
}

/// Bytes that could not be sent to a peer yet.
#[derive(Default)]
pub struct WriteBuffer {
    bytes: Vec<u8>,
    /// Number of bytes that the system has taken.
    taken_count: u64,
    /// Bytes of the peer discarded since its final message.
    discarded: usize,
    /// Whether the peer has closed its write side since its final message.
    has_ended: bool,
}

impl WriteBuffer {
    /// Whether everything has been sent.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Number of bytes that have been sent.
    pub fn taken_count(&self) -> u64 {
        self.taken_count
    }

    /// Writes what can be written now and buffers the rest.
    ///
    /// # Errors
    ///
    /// Fails if the connection broke.
    pub fn send(&mut self, stream: &TcpStream, buffers: &[&[u8]]) -> io::Result<()> {
        let mut written = 0;
        if self.bytes.is_empty() {
            match write_gathered(stream, buffers) {
                Ok(()) => {
                    let count: usize = buffers.iter().map(|buffer| buffer.len()).sum();
                    self.taken_count += count as u64;
                    return Ok(());
                }
                Err((count, error)) if is_would_block(&error) => written = count,
                Err((_, error)) => return Err(error),
            }
        }
        self.taken_count += written as u64;
        for buffer in buffers {
            let skipped = written.min(buffer.len());
            written -= skipped;
            self.bytes.extend_from_slice(&buffer[skipped..]);
        }
        Ok(())
    }

    /// Writes the final message, and shuts down the write side if all of it was sent.
    pub fn finish_with(&mut self, stream: &TcpStream, final_message: &[u8]) {
        // A peer that has closed needs no answer.
        let _ = self.send(stream, &[final_message]);
        if self.is_empty() {
            shutdown_write(stream);
        }
    }

    /// Discards input of a peer after its final message, up to a bound. Returns false once the peer
    /// has closed and everything has been sent. Closing with unread input would reset the
    /// connection and destroy that message.
    pub fn discard_input(&mut self, mut stream: &TcpStream) -> bool {
        if !self.is_empty() {
            if self.flush(stream).is_err() {
                return false;
            }
            if self.is_empty() {
                shutdown_write(stream);
            }
        }
        if self.is_reading() {
            match stream.read(&mut [0; 4096]) {
                Ok(0) => self.has_ended = true,
                Ok(count) => self.discarded += count,
                Err(error) if is_would_block(&error) => {}
                Err(_) => return false,
            }
        }
        !(self.has_ended && self.is_empty())
    }

    /// Whether a peer is still to be read after its final message.
    pub fn is_reading(&self) -> bool {
        !self.has_ended && self.discarded < MAX_DISCARDED_BYTES
    }

    /// Writes what is buffered.
    ///
    /// # Errors
    ///
    /// Fails if the connection broke.
    pub fn flush(&mut self, stream: &TcpStream) -> io::Result<()> {
        let unsent = std::mem::take(&mut self.bytes);
        if unsent.is_empty() {
            Ok(())
        } else {
            self.send(stream, &[&unsent])
        }
    }
}

/// Most bytes discarded after a final message.
pub(super) const MAX_DISCARDED_BYTES: usize = 64 * 1024;
