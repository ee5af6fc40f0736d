//! One connection through a link, with the data that was read from one side and is not yet written to the other.

use std::collections::VecDeque;
use std::io::{self, ErrorKind, Read, Write};
use std::net::Shutdown;
use std::time::{Duration, Instant};

use mio::net::TcpStream;

/// A side is not read while this many bytes are queued for the other.
const MAX_QUEUED_BYTES: usize = 1 << 20;

/// The active faults of one direction of a link.
#[derive(Clone, Copy, Debug, Default)]
pub struct Impairment {
    /// Minimum delay of data; the actual delay is random, up to twice as long.
    pub delay: Duration,
    /// Number of bytes that may still pass, if limited.
    pub remaining_bytes: Option<usize>,
    /// Whether nothing passes.
    pub partitioned: bool,
    /// Maximum size of a piece in bytes, and the time between pieces.
    pub throttle: Option<(usize, Duration)>,
    /// Share of datagrams that is dropped.
    pub drop_rate: f64,
    /// Share of datagrams that is delivered twice.
    pub duplicate_rate: f64,
}

enum Item {
    Bytes(Vec<u8>),
    Finish,
    Reset,
}

/// One direction of a connection.
#[derive(Default)]
struct Flow {
    queue: VecDeque<(Instant, Item)>,
    queued_bytes: usize,
    /// The source has closed or reset the connection.
    source_closed: bool,
    /// The end of the stream was passed on to the other side.
    sink_closed: bool,
    /// The next piece is written at this time at the earliest.
    next_piece_at: Option<Instant>,
}

impl Flow {
    /// Discards all data and treats both sides as closed.
    fn discard(&mut self) {
        self.queue.clear();
        self.queued_bytes = 0;
        self.sink_closed = true;
        self.source_closed = true;
    }
}

/// An observation on a connection, for the observer of its link.
#[derive(Clone, Copy)]
pub enum Observation<'a> {
    /// Bytes that the near side wrote.
    FromNear(&'a [u8]),
    /// Bytes that were written to the near side.
    ToNear(&'a [u8]),
    /// The near side closed or reset the connection.
    NearClosed,
    /// The close or reset of the far side was passed on to the near side.
    FarClosed,
}

/// The state of a connection after a pump.
pub enum Progress {
    /// The connection is open. It has to be pumped again at this time even without a socket event.
    Wait(Option<Instant>),
    /// The connection is closed.
    Done,
}

/// A connection: the streams of its two sides and the data between them.
pub struct Connection {
    /// The near and the far side.
    pub streams: [TcpStream; 2],
    /// Forward and reverse.
    flows: [Flow; 2],
    /// Whether the connection to the far side is established.
    connected: bool,
}

impl Connection {
    /// A connection whose far side is still connecting.
    pub fn new(near: TcpStream, far: TcpStream) -> Connection {
        Connection {
            streams: [near, far],
            flows: Default::default(),
            connected: false,
        }
    }

    /// Makes both sides reset when they are dropped.
    pub fn reset(&self) {
        for stream in &self.streams {
            let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
        }
    }

    /// Reads and writes as much as possible in both directions without blocking.
    pub fn pump(
        &mut self,
        impairments: &mut [Impairment; 2],
        delay: &mut dyn FnMut(&Impairment) -> Duration,
        observe: &mut dyn FnMut(Observation<'_>),
    ) -> Progress {
        if !self.connected {
            match self.is_connected() {
                Ok(connected) => self.connected = connected,
                Err(_) => {
                    self.reset();
                    observe(Observation::FarClosed);
                    return Progress::Done;
                }
            }
        }
        let mut next_pump_at: Option<Instant> = None;
        for direction in [0, 1] {
            // Before the far side is connected, nothing is read from it or written to it.
            if direction == 0 || self.connected {
                let delay_time = delay(&impairments[direction]);
                self.read_source(direction, delay_time, observe);
            }
            if !self.connected {
                continue;
            }
            let was_full = self.flows[direction].queued_bytes >= MAX_QUEUED_BYTES;
            match self.write_due(direction, &mut impairments[direction], observe) {
                Progress::Done => return Progress::Done,
                Progress::Wait(at) => next_pump_at = [next_pump_at, at].into_iter().flatten().min(),
            }
            if was_full && self.flows[direction].queued_bytes < MAX_QUEUED_BYTES {
                next_pump_at = Some(Instant::now());
            }
        }
        if self.flows.iter().all(|flow| flow.sink_closed) {
            Progress::Done
        } else {
            Progress::Wait(next_pump_at)
        }
    }

    fn is_connected(&self) -> io::Result<bool> {
        if let Some(error) = self.streams[1].take_error()? {
            return Err(error);
        }
        Ok(self.streams[1].peer_addr().is_ok())
    }

    /// Reads all available data from the source of a direction.
    fn read_source(
        &mut self,
        direction: usize,
        delay: Duration,
        observe: &mut dyn FnMut(Observation<'_>),
    ) {
        let mut buffer = [0; 16 << 10];
        let flow = &mut self.flows[direction];
        while !flow.source_closed && flow.queued_bytes < MAX_QUEUED_BYTES {
            // Data is never due before earlier data, even if the delay was shortened in between.
            let due = flow
                .queue
                .back()
                .map_or(Instant::now(), |(due, _)| *due)
                .max(Instant::now() + delay);
            match self.streams[direction].read(&mut buffer) {
                Ok(0) => {
                    flow.source_closed = true;
                    flow.queue.push_back((due, Item::Finish));
                }
                Ok(count) => {
                    flow.queued_bytes += count;
                    flow.queue
                        .push_back((due, Item::Bytes(buffer[..count].to_vec())));
                    if direction == 0 {
                        observe(Observation::FromNear(&buffer[..count]));
                    }
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(error) if error.kind() == ErrorKind::Interrupted => continue,
                Err(_) => {
                    // A reset discards the data queued before it.
                    flow.source_closed = true;
                    flow.queue.clear();
                    flow.queued_bytes = 0;
                    flow.queue.push_back((Instant::now() + delay, Item::Reset));
                }
            }
            if flow.source_closed && direction == 0 {
                observe(Observation::NearClosed);
            }
        }
    }

    /// Writes the data that is due and may pass.
    fn write_due(
        &mut self,
        direction: usize,
        impairment: &mut Impairment,
        observe: &mut dyn FnMut(Observation<'_>),
    ) -> Progress {
        loop {
            let flow = &mut self.flows[direction];
            let Some((due, item)) = flow.queue.front() else {
                return Progress::Wait(None);
            };
            if impairment.partitioned || impairment.remaining_bytes == Some(0) {
                return Progress::Wait(None);
            }
            let now = Instant::now();
            let due = (*due).max(flow.next_piece_at.unwrap_or(*due));
            if due > now {
                return Progress::Wait(Some(due));
            }
            match item {
                Item::Reset => {
                    self.reset();
                    if direction == 1 {
                        observe(Observation::FarClosed);
                    }
                    return Progress::Done;
                }
                Item::Finish => {
                    let _ = self.streams[1 - direction].shutdown(Shutdown::Write);
                    flow.sink_closed = true;
                    flow.queue.pop_front();
                    if direction == 1 {
                        observe(Observation::FarClosed);
                    }
                }
                Item::Bytes(_) => match self.write_piece(direction, impairment, now, observe) {
                    Ok(()) => {}
                    Err(error) if error.kind() == ErrorKind::WouldBlock => {
                        return Progress::Wait(None);
                    }
                    Err(error) if error.kind() == ErrorKind::Interrupted => {}
                    Err(_) => {
                        // The reader is gone; its reset is read in the other direction.
                        self.flows[direction].discard();
                        return Progress::Wait(Some(now));
                    }
                },
            }
        }
    }

    /// Writes as much of the first queued item as may pass at once.
    fn write_piece(
        &mut self,
        direction: usize,
        impairment: &mut Impairment,
        now: Instant,
        observe: &mut dyn FnMut(Observation<'_>),
    ) -> io::Result<()> {
        let flow = &mut self.flows[direction];
        let Some((_, Item::Bytes(bytes))) = flow.queue.front_mut() else {
            return Ok(());
        };
        let max_piece_bytes = impairment.throttle.map_or(usize::MAX, |(size, _)| size);
        let max_bytes = impairment
            .remaining_bytes
            .unwrap_or(usize::MAX)
            .min(max_piece_bytes);
        let piece_bytes = bytes.len().min(max_bytes.max(1));
        let count = self.streams[1 - direction].write(&bytes[..piece_bytes])?;
        if direction == 1 {
            observe(Observation::ToNear(&bytes[..count]));
        }
        bytes.drain(..count);
        flow.queued_bytes -= count;
        impairment.remaining_bytes = impairment
            .remaining_bytes
            .map(|remaining_bytes| remaining_bytes - count);
        flow.next_piece_at = impairment.throttle.map(|(_, interval)| now + interval);
        if bytes.is_empty() {
            flow.queue.pop_front();
        }
        Ok(())
    }
}
