//! One connection through a link: what was read on one side and has not gone out on the other.

use std::collections::VecDeque;
use std::io::{self, ErrorKind, Read, Write};
use std::net::Shutdown;
use std::time::{Duration, Instant};

use mio::net::TcpStream;

/// A side is read no further while so much waits for the other.
const MAX_QUEUED_BYTES: usize = 1 << 20;

/// What is done to one direction of a link.
#[derive(Clone, Copy, Debug, Default)]
pub struct Impairment {
    /// What comes is due later by this, and up to as much again.
    pub delay: Duration,
    /// So many bytes may still pass.
    pub remaining_bytes: Option<usize>,
    /// Nothing passes.
    pub partitioned: bool,
    /// Pieces, and the time between them.
    pub throttle: Option<(usize, Duration)>,
    /// The shares of datagrams that are lost and that come twice.
    pub drop_rate: f64,
    /// See `lose`.
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
    /// The source has ended.
    source_closed: bool,
    /// So has the other side, in order.
    sink_closed: bool,
    /// No piece goes out before.
    next_piece_at: Option<Instant>,
}

impl Flow {
    /// Nothing more comes or goes.
    fn discard(&mut self) {
        self.queue.clear();
        self.queued_bytes = 0;
        self.sink_closed = true;
        self.source_closed = true;
    }
}

/// What was seen of a connection, for whoever observes its link.
#[derive(Clone, Copy)]
pub enum Observation<'a> {
    /// Bytes that the near side wrote.
    FromNear(&'a [u8]),
    /// Bytes that have been written to the near side.
    ToNear(&'a [u8]),
    /// The near side ended, in order or not.
    NearClosed,
    /// The near side was told that the far side ended.
    FarClosed,
}

/// What is to be done with a connection after a pump.
pub enum Progress {
    /// It goes on; it wants to be pumped again at this moment, whatever comes.
    Wait(Option<Instant>),
    /// It is over.
    Done,
}

/// A connection: the streams of its near and its far side, and what flows between them.
pub struct Connection {
    /// Near and far.
    pub streams: [TcpStream; 2],
    /// There and back.
    flows: [Flow; 2],
    /// The far side is up.
    connected: bool,
}

impl Connection {
    /// A connection whose far side is coming up.
    pub fn new(near: TcpStream, far: TcpStream) -> Connection {
        Connection {
            streams: [near, far],
            flows: Default::default(),
            connected: false,
        }
    }

    /// Resets both sides.
    pub fn reset(&self) {
        for stream in &self.streams {
            let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
        }
    }

    /// Moves what can be moved.
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
            // The far side says nothing before it is up, and hears nothing.
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

    /// Reads all there is from a direction's source.
    fn read_source(
        &mut self,
        direction: usize,
        delay: Duration,
        observe: &mut dyn FnMut(Observation<'_>),
    ) {
        let mut buffer = [0; 16 << 10];
        let flow = &mut self.flows[direction];
        while !flow.source_closed && flow.queued_bytes < MAX_QUEUED_BYTES {
            // Guards against a delay that ends meanwhile: what came first goes first.
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
                    // A reset overtakes what it broke off.
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

    /// Writes what is due and may pass.
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
                        // Its reader is gone; the reset that it sent is read on the other direction.
                        self.flows[direction].discard();
                        return Progress::Wait(Some(now));
                    }
                },
            }
        }
    }

    /// Writes as much of what waits first as may pass at once.
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
