//! One connection through a link: what was read on one side and has not gone out on the other.

use std::collections::VecDeque;
use std::io::{self, ErrorKind, Read, Write};
use std::net::Shutdown;
use std::time::{Duration, Instant};

use mio::net::TcpStream;

/// A side is read no further while so much waits for the other.
const MOST_WAITING: usize = 1 << 20;

/// What is done to one direction of a link.
#[derive(Clone, Copy, Debug, Default)]
pub struct Impairment {
    /// What comes is due later by this, and up to as much again.
    pub delay: Duration,
    /// So many bytes may still pass.
    pub left: Option<usize>,
    /// Nothing passes.
    pub cut: bool,
    /// Pieces, and the time between them.
    pub dribble: Option<(usize, Duration)>,
    /// The shares of datagrams that are lost and that come twice.
    pub lose: f64,
    /// See `lose`.
    pub double: f64,
}

enum Item {
    Bytes(Vec<u8>),
    Finish,
    Reset,
}

/// One direction of a connection.
#[derive(Default)]
struct Flow {
    waiting: VecDeque<(Instant, Item)>,
    bytes: usize,
    /// The source has ended.
    ended: bool,
    /// So has the other side, in order.
    finished: bool,
    /// No piece goes out before.
    next_piece: Option<Instant>,
}

impl Flow {
    /// Nothing more comes or goes.
    fn give_up(&mut self) {
        self.waiting.clear();
        self.bytes = 0;
        self.finished = true;
        self.ended = true;
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
    NearEnded,
    /// The near side was told that the far side ended.
    FarEnded,
}

/// What is to be done with a connection after a pump.
pub enum Progress {
    /// It goes on; it wants to be pumped again at this moment, whatever comes.
    Wait(Option<Instant>),
    /// It is over.
    Over,
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
            match self.is_up() {
                Ok(up) => self.connected = up,
                Err(_) => {
                    self.reset();
                    observe(Observation::FarEnded);
                    return Progress::Over;
                }
            }
        }
        let mut again: Option<Instant> = None;
        for direction in [0, 1] {
            // The far side says nothing before it is up, and hears nothing.
            if direction == 0 || self.connected {
                let by = delay(&impairments[direction]);
                self.take_in(direction, by, observe);
            }
            if !self.connected {
                continue;
            }
            let was_full = self.flows[direction].bytes >= MOST_WAITING;
            match self.give_out(direction, &mut impairments[direction], observe) {
                Progress::Over => return Progress::Over,
                Progress::Wait(at) => again = [again, at].into_iter().flatten().min(),
            }
            if was_full && self.flows[direction].bytes < MOST_WAITING {
                again = Some(Instant::now());
            }
        }
        if self.flows.iter().all(|flow| flow.finished) {
            Progress::Over
        } else {
            Progress::Wait(again)
        }
    }

    fn is_up(&self) -> io::Result<bool> {
        if let Some(error) = self.streams[1].take_error()? {
            return Err(error);
        }
        Ok(self.streams[1].peer_addr().is_ok())
    }

    /// Reads all there is from a direction's source.
    fn take_in(
        &mut self,
        direction: usize,
        delay: Duration,
        observe: &mut dyn FnMut(Observation<'_>),
    ) {
        let mut buffer = [0; 16 << 10];
        let flow = &mut self.flows[direction];
        while !flow.ended && flow.bytes < MOST_WAITING {
            // Guards against a delay that ends meanwhile: what came first goes first.
            let due = flow
                .waiting
                .back()
                .map_or(Instant::now(), |(due, _)| *due)
                .max(Instant::now() + delay);
            match self.streams[direction].read(&mut buffer) {
                Ok(0) => {
                    flow.ended = true;
                    flow.waiting.push_back((due, Item::Finish));
                }
                Ok(count) => {
                    flow.bytes += count;
                    flow.waiting
                        .push_back((due, Item::Bytes(buffer[..count].to_vec())));
                    if direction == 0 {
                        observe(Observation::FromNear(&buffer[..count]));
                    }
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(error) if error.kind() == ErrorKind::Interrupted => continue,
                Err(_) => {
                    // A reset overtakes what it broke off.
                    flow.ended = true;
                    flow.waiting.clear();
                    flow.bytes = 0;
                    flow.waiting
                        .push_back((Instant::now() + delay, Item::Reset));
                }
            }
            if flow.ended && direction == 0 {
                observe(Observation::NearEnded);
            }
        }
    }

    /// Writes what is due and may pass.
    fn give_out(
        &mut self,
        direction: usize,
        impairment: &mut Impairment,
        observe: &mut dyn FnMut(Observation<'_>),
    ) -> Progress {
        loop {
            let flow = &mut self.flows[direction];
            let Some((due, item)) = flow.waiting.front() else {
                return Progress::Wait(None);
            };
            if impairment.cut || impairment.left == Some(0) {
                return Progress::Wait(None);
            }
            let now = Instant::now();
            let due = (*due).max(flow.next_piece.unwrap_or(*due));
            if due > now {
                return Progress::Wait(Some(due));
            }
            match item {
                Item::Reset => {
                    self.reset();
                    if direction == 1 {
                        observe(Observation::FarEnded);
                    }
                    return Progress::Over;
                }
                Item::Finish => {
                    let _ = self.streams[1 - direction].shutdown(Shutdown::Write);
                    flow.finished = true;
                    flow.waiting.pop_front();
                    if direction == 1 {
                        observe(Observation::FarEnded);
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
                        self.flows[direction].give_up();
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
        let Some((_, Item::Bytes(bytes))) = flow.waiting.front_mut() else {
            return Ok(());
        };
        let most_at_once = impairment.dribble.map_or(usize::MAX, |(size, _)| size);
        let most = impairment.left.unwrap_or(usize::MAX).min(most_at_once);
        let piece = bytes.len().min(most.max(1));
        let count = self.streams[1 - direction].write(&bytes[..piece])?;
        if direction == 1 {
            observe(Observation::ToNear(&bytes[..count]));
        }
        bytes.drain(..count);
        flow.bytes -= count;
        impairment.left = impairment.left.map(|left| left - count);
        flow.next_piece = impairment.dribble.map(|(_, every)| now + every);
        if bytes.is_empty() {
            flow.waiting.pop_front();
        }
        Ok(())
    }
}
