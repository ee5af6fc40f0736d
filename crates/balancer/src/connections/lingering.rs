//! Lingering close, the only way to close a connection without a reset.
//!
//! Closing a socket with unread input resets the connection, and the reset destroys the answer
//! written before it. A peer that was sent its final message is read until it closes, for a bounded
//! time and number of bytes.

use std::net::TcpStream;
use std::time::{Duration, Instant};

use crate::net::{self, WriteBuffer};
use crate::poller::EventFlags;

/// Time for which a peer is read after it has received its final message.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for a peer to receive its final message. Well below the time for a shutdown.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// One side of a connection after its final message.
pub struct LingeringClose {
    stream: TcpStream,
    outgoing: WriteBuffer,
    /// When the final message was written, or when the peer had read it.
    phase_started_at: Instant,
    is_closed: bool,
}

impl LingeringClose {
    /// Writes the final message after what is still outgoing; the write side is shut down once all
    /// of it has been sent. A peer that has closed before is done at once.
    pub fn start(
        stream: TcpStream,
        mut outgoing: WriteBuffer,
        final_message: &[u8],
    ) -> LingeringClose {
        outgoing.finish_with(&stream, final_message);
        let is_closed = !outgoing.discard_input(&stream);
        LingeringClose {
            stream,
            outgoing,
            phase_started_at: Instant::now(),
            is_closed,
        }
    }

    /// The socket of the peer.
    pub fn stream(&self) -> &TcpStream {
        &self.stream
    }

    /// The events to poll for.
    pub fn interest(&self) -> EventFlags {
        let mut interest = EventFlags::empty();
        interest.set(
            EventFlags::IN,
            !self.is_closed && self.outgoing.is_reading(),
        );
        interest.set(
            EventFlags::OUT,
            !self.is_closed && !self.outgoing.is_empty(),
        );
        interest
    }

    /// Reads and writes what is ready.
    pub fn on_ready(&mut self) {
        let had_drained = self.outgoing.is_empty();
        self.is_closed |= !self.outgoing.discard_input(&self.stream);
        if !had_drained && self.outgoing.is_empty() {
            self.phase_started_at = Instant::now();
        }
    }

    /// The socket, if it is still to be read.
    pub fn stream_to_read(&self) -> Option<&TcpStream> {
        (!self.is_closed && self.outgoing.is_reading()).then_some(&self.stream)
    }

    /// When the close ends at the latest.
    pub fn deadline_at(&self) -> Instant {
        self.phase_started_at
            + if self.outgoing.is_empty() {
                LINGER_TIMEOUT
            } else {
                WRITE_TIMEOUT
            }
    }

    /// Whether the peer has closed, or the deadline has passed.
    pub fn is_done(&self) -> bool {
        self.is_closed || Instant::now() >= self.deadline_at()
    }
}

impl Drop for LingeringClose {
    fn drop(&mut self) {
        net::close(&self.stream);
    }
}

#[cfg(test)]
mod tests;
