//! Probes: application servers are asked for their load, over one connection to each that is kept while it is used.
//!
//! One thread serves them all and never waits for one of them. What is asked and how an answer is read is the front's.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use beaconflow_policy::ServerId;
use crossbeam_channel::{Receiver, Sender, unbounded};
use socket2::{Domain, Socket, Type};
use tracing::debug;

use crate::core::{ApplicationServer, Asker, LoadAnswer as Answer};
use crate::net::{self, Intake, ReadError};
use crate::poller::{Bell, EventFlags, Poller};

/// Longest answer that is read.
const LONGEST_ANSWER: usize = 4096;
/// A connection over which nothing was asked for so long is closed: it holds a descriptor here and a place there.
const IDLE: Duration = Duration::from_secs(20);
/// Longest wait between two looks at what is overdue or idle.
const LOOK: Duration = Duration::from_secs(1);

/// A front's question for a server's load.
#[derive(Clone, Copy, Debug)]
pub struct Question {
    /// What is written.
    pub words: &'static [u8],
    /// Reads the line that answers it.
    pub read: fn(&[u8]) -> Answer,
}

/// The way to the prober.
#[derive(Clone, Debug)]
pub struct Way {
    asks: Sender<(ServerId, Arc<ApplicationServer>)>,
    bell: Bell,
}

impl Asker for Way {
    fn ask(&self, id: ServerId, server: Arc<ApplicationServer>) {
        // Without a prober the module's own timer goes off.
        let _ = self.asks.send((id, server));
        self.bell.ring();
    }
}

/// A connection to one server.
struct Line {
    stream: TcpStream,
    address: SocketAddr,
    intake: Intake,
    /// What is watched of it.
    watched: EventFlags,
    /// It has not come up yet.
    connecting: bool,
    /// When it was asked what it has not answered.
    asked_at: Option<Instant>,
    used_at: Instant,
}

/// Asks servers and reads their answers.
pub struct Prober {
    asks: Receiver<(ServerId, Arc<ApplicationServer>)>,
    poller: Poller,
    lines: BTreeMap<ServerId, Line>,
    question: Question,
    /// An answer that is not there by then is none.
    patience: Box<dyn Fn() -> Duration + Send>,
    /// How many connections are held, for whoever parts the descriptors.
    held: Arc<AtomicUsize>,
    /// How many may be held now.
    room: Box<dyn Fn() -> usize + Send>,
}

impl Prober {
    /// A prober, and the way to it.
    pub fn new(
        question: Question,
        patience: impl Fn() -> Duration + Send + 'static,
    ) -> io::Result<(Prober, Way)> {
        let patience = Box::new(patience);
        let (ask, asks) = unbounded();
        let poller = Poller::new()?;
        let way = Way {
            asks: ask,
            bell: poller.bell(),
        };
        let (lines, held) = (BTreeMap::new(), Arc::default());
        let room = Box::new(|| usize::MAX);
        Ok((
            Prober {
                asks,
                poller,
                lines,
                question,
                patience,
                held,
                room,
            },
            way,
        ))
    }

    /// Has it tell how many connections it holds, and hold no more than there is room for. Guards against connections
    /// to servers, to discovery or from operators that would find no descriptor.
    pub fn within(
        self,
        held: Arc<AtomicUsize>,
        room: impl Fn() -> usize + Send + 'static,
    ) -> Prober {
        Prober {
            held,
            room: Box::new(room),
            ..self
        }
    }

    /// Serves until nobody can ask any more.
    pub fn run(mut self, tell: impl Fn(ServerId, Option<Answer>)) {
        loop {
            let ready = self.poller.wait(self.until_due());
            for token in ready {
                let id = ServerId(u32::try_from(token).unwrap_or(u32::MAX));
                self.ready(id, &tell);
            }
            loop {
                match self.asks.try_recv() {
                    Ok((id, server)) => self.ask(id, &server, &tell),
                    Err(error) if error.is_disconnected() => return,
                    Err(_) => break,
                }
            }
            self.look(&tell);
            self.tell_held();
        }
    }

    fn tell_held(&self) {
        self.held.store(self.lines.len(), Ordering::Relaxed);
    }

    /// Closes connections over which nothing is being asked, the longest unused first, while there are more than there
    /// is room for beside `more`; false where there is still none.
    fn make_room(&mut self, more: usize) -> bool {
        let room = (self.room)();
        while self.lines.len() + more > room {
            let idle = self
                .lines
                .iter()
                .filter(|(_, line)| line.asked_at.is_none());
            let Some(id) = idle.min_by_key(|(_, line)| line.used_at).map(|(id, _)| *id) else {
                break;
            };
            self.lines.remove(&id);
        }
        self.lines.len() + more <= room
    }

    fn until_due(&self) -> Duration {
        let asked = self.lines.values().filter_map(|line| line.asked_at);
        let left = asked
            .min()
            .map(|at| (self.patience)().saturating_sub(at.elapsed()));
        // A wait of nothing would spin where a clock stands still between two looks.
        left.unwrap_or(LOOK).clamp(Duration::from_millis(1), LOOK)
    }

    fn ask(
        &mut self,
        id: ServerId,
        server: &ApplicationServer,
        tell: &impl Fn(ServerId, Option<Answer>),
    ) {
        // Guards against a server that came back elsewhere under its name.
        if self
            .lines
            .get(&id)
            .is_some_and(|line| line.address != server.address)
        {
            self.lines.remove(&id);
        }
        if !self.lines.contains_key(&id) && !self.make_room(1) {
            debug!(part = "prober", server = %server.name, "no descriptor to spare");
            // Guards against a server that would be passed over for want of this program's descriptors.
            return tell(id, Some(Answer::Nothing));
        }
        let line = match self.lines.entry(id) {
            Entry::Occupied(line) => line.into_mut(),
            Entry::Vacant(none) => match Line::open(server.address) {
                Ok(line) => none.insert(line),
                Err(error) => {
                    debug!(part = "prober", server = %server.name, why = %error, "not connected");
                    return tell(id, None);
                }
            },
        };
        // One question at a time: its answer serves whoever asks meanwhile.
        if line.asked_at.is_some() {
            return;
        }
        line.asked_at = Some(Instant::now());
        line.used_at = Instant::now();
        let asked = if line.connecting {
            Ok(())
        } else {
            line.say(self.question.words)
        };
        let watched = asked.and_then(|()| line.watch(id, &self.poller));
        if watched.is_err() {
            self.end(id, tell);
        }
    }

    fn ready(&mut self, id: ServerId, tell: &impl Fn(ServerId, Option<Answer>)) {
        let Some(line) = self.lines.get_mut(&id) else {
            return;
        };
        if line.connecting {
            let up = line
                .stream
                .take_error()
                .and_then(|error| error.map_or(Ok(()), Err));
            line.connecting = false;
            let asked = up.and_then(|()| line.say(self.question.words));
            if asked.and_then(|()| line.watch(id, &self.poller)).is_err() {
                self.end(id, tell);
            }
            return;
        }
        match line.intake.read(&line.stream, Instant::now()) {
            Ok(()) | Err(ReadError::TimedOut) => {}
            // A part of a line that its connection's end cut short is no answer.
            Err(_) => return self.end(id, tell),
        }
        while let Some(said) = line.intake.whole_line() {
            if line.asked_at.take().is_some() {
                tell(id, Some((self.question.read)(net::trimmed(&said))));
            }
        }
    }

    /// Ends a line; whoever waits for its answer hears that there is none.
    fn end(&mut self, id: ServerId, tell: &impl Fn(ServerId, Option<Answer>)) {
        if self
            .lines
            .remove(&id)
            .is_some_and(|line| line.asked_at.is_some())
        {
            tell(id, None);
        }
    }

    /// Ends what is overdue or idle.
    fn look(&mut self, tell: &impl Fn(ServerId, Option<Answer>)) {
        self.make_room(0);
        let over = |line: &Line| match line.asked_at {
            Some(at) => at.elapsed() >= (self.patience)(),
            None => line.used_at.elapsed() >= IDLE,
        };
        let ended: Vec<ServerId> = self
            .lines
            .iter()
            .filter(|(_, line)| over(line))
            .map(|(id, _)| *id)
            .collect();
        ended.into_iter().for_each(|id| self.end(id, tell));
    }
}

impl Line {
    fn open(address: SocketAddr) -> io::Result<Line> {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
        socket.set_nonblocking(true)?;
        let connecting = match socket.connect(&address.into()) {
            Ok(()) => false,
            Err(error)
                if error.raw_os_error() == Some(rustix::io::Errno::INPROGRESS.raw_os_error()) =>
            {
                true
            }
            Err(error) => return Err(error),
        };
        socket.set_tcp_nodelay(true)?;
        Ok(Line {
            stream: socket.into(),
            address,
            intake: Intake::new(LONGEST_ANSWER),
            watched: EventFlags::empty(),
            connecting,
            asked_at: None,
            used_at: Instant::now(),
        })
    }

    /// A question fits into any socket that takes one at a time.
    fn say(&mut self, words: &[u8]) -> io::Result<()> {
        (&self.stream).write_all(words)
    }

    fn watch(&mut self, id: ServerId, poller: &Poller) -> io::Result<()> {
        let wanted = if self.connecting {
            EventFlags::OUT
        } else {
            EventFlags::IN
        };
        poller.watch(&self.stream, id.0.into(), (self.watched, wanted))?;
        self.watched = wanted;
        Ok(())
    }
}

#[cfg(test)]
mod tests;
