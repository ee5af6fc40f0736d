//! Lingering close: the one way in which a connection ends in order.
//!
//! A close with bytes unread is a reset, and the reset destroys the answer that was written before it. So whoever has
//! had its last word is read until it ends, for a bounded time and a bounded count of bytes, and only then closed.

use std::net::TcpStream;
use std::time::{Duration, Instant};

use crate::net::{self, Outflow};
use crate::poller::EventFlags;

/// A peer that has taken its last word is read for so long. A peer that writes slowly ends within it once it has read
/// that word; one that never ends costs its descriptor no longer.
const LINGER: Duration = Duration::from_millis(500);
/// A peer that has not taken its last word is given so long. Well under what a program that leaves may stay.
const TAKING: Duration = Duration::from_secs(2);

/// One side of a connection after its last word.
pub struct Lingering {
    stream: TcpStream,
    out: Outflow,
    /// Since its last word, or since it has taken that.
    since: Instant,
    over: bool,
}

impl Lingering {
    /// Says the last word behind what has not been taken yet; the sending ends in order once all has been taken.
    pub fn begin(stream: TcpStream, mut out: Outflow, words: &[u8]) -> Lingering {
        out.part(&stream, words);
        Lingering {
            stream,
            out,
            since: Instant::now(),
            over: false,
        }
    }

    /// Its connection.
    pub fn stream(&self) -> &TcpStream {
        &self.stream
    }

    /// What is wanted of it.
    pub fn wants(&self) -> EventFlags {
        let mut wants = EventFlags::empty();
        wants.set(EventFlags::IN, !self.over && self.out.reads_on());
        wants.set(EventFlags::OUT, !self.over && !self.out.is_empty());
        wants
    }

    /// It is ready for what is wanted of it.
    pub fn ready(&mut self) {
        let had_taken_all = self.out.is_empty();
        self.over |= !self.out.linger(&self.stream);
        if !had_taken_all && self.out.is_empty() {
            self.since = Instant::now();
        }
    }

    /// Its connection, where it is still to be read.
    pub fn polled(&self) -> Option<&TcpStream> {
        (!self.over && self.out.reads_on()).then_some(&self.stream)
    }

    /// Its time is up then.
    pub fn until(&self) -> Instant {
        self.since + if self.out.is_empty() { LINGER } else { TAKING }
    }

    /// Whether it has ended, or its time is up.
    pub fn is_over(&self) -> bool {
        self.over || Instant::now() >= self.until()
    }
}

impl Drop for Lingering {
    fn drop(&mut self) {
        net::close(&self.stream);
    }
}

#[cfg(test)]
mod tests;
