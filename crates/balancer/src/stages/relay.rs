//! Relay: one standing connection, both directions, and its end.
//!
//! Nothing here blocks or waits: whoever holds a connection waits for its sides and says which one is ready.

use std::collections::VecDeque;
use std::io::{ErrorKind, Read};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use beaconflow_policy::ConnectionMetric;

use crate::clock::nanos;
use crate::core::{Event, Handle};
use crate::front::{Followed, FrameFault, Framer, Front, Probe, Seen};
use crate::net::{self, Outflow, ReadError};
use crate::pass::{Client, End};
use crate::poller::EventFlags;
use crate::stages::lingering::Lingering;

/// A move waits for so long for the end of a message that has begun.
const MOVE_PATIENCE: Duration = Duration::from_millis(700);
/// Bytes relayed at a time.
const CHUNK: usize = 4096;
/// Questions of one connection that may be unanswered at once; a client that asks more is at fault.
const MOST_ASKED: usize = 1024;

/// A client's connection, and what is kept of what it sent and is to hear.
pub struct Link {
    client: TcpStream,
    framer: Box<dyn Framer>,
    /// All that came early, then the beginning of a message that is not whole.
    kept: Vec<u8>,
    /// What it has not taken yet.
    out: Outflow,
    most_early: usize,
    probe: Option<Probe>,
    /// It has had its last word.
    over: bool,
    /// Set while a pass looks after it: whoever holds the other end has its last word.
    given_up: Arc<AtomicBool>,
}

impl Client for Link {
    fn is_given_up(&self) -> bool {
        self.given_up.load(Ordering::Relaxed)
    }

    fn stream(&self) -> &TcpStream {
        &self.client
    }

    fn look(&mut self) -> Result<(), ReadError> {
        let mut chunk = [0; CHUNK];
        loop {
            match (&self.client).read(&mut chunk) {
                Ok(0) => return Err(ReadError::Ended),
                Ok(count) if self.kept.len() + count > self.most_early => {
                    return Err(ReadError::TooLong);
                }
                Ok(count) => self.kept.extend_from_slice(&chunk[..count]),
                Err(error) if net::is_wait(&error) => return Ok(()),
                Err(error) => return Err(ReadError::Broken(error)),
            }
        }
    }
}

struct Asked {
    at: Instant,
    /// Whether the balancer asked, and not the client.
    own: bool,
}

impl Link {
    /// A link for a client that has sent its opening, and `early` beyond it.
    pub fn new<F: Front>(front: &F, client: TcpStream, early: Vec<u8>) -> Link {
        let (framer, most_early, probe) =
            (front.client_framer(), front.most_early(), front.probe());
        let out = Outflow::default();
        let given_up = Arc::default();
        Link {
            client,
            framer,
            kept: early,
            out,
            most_early,
            probe,
            over: false,
            given_up,
        }
    }

    /// To be set when its last word is there and a pass looks after it.
    pub fn give_up(&self) -> Arc<AtomicBool> {
        Arc::clone(&self.given_up)
    }

    /// Says the last word; the client is to be read until it ends.
    pub fn part(self, words: &[u8]) -> Lingering {
        Lingering::begin(self.client, self.out, words)
    }
}

/// A standing connection.
pub struct Standing {
    link: Link,
    server: TcpStream,
    framer: Box<dyn Framer>,
    /// The beginning of a server's message that is not whole.
    kept: Vec<u8>,
    to_server: Outflow,
    /// Why the client can be written to no more. What it said before that, and its end, are still to be read.
    client_lost: Option<ErrorKind>,
    /// The same for the server.
    server_lost: Option<ErrorKind>,
    /// When there was last nothing left to take.
    took_at: Instant,
    /// When the server was last asked anything, or the client last spoke.
    quiet_since: Instant,
    silence: Duration,
    notes: Notes,
}

/// What has been seen of a standing server.
struct Notes {
    core: Handle,
    id: u64,
    /// The unanswered questions to it, the oldest first.
    asked: VecDeque<Asked>,
    was_slow: bool,
    /// When the first byte of the message came that is being read from it.
    message_began: Instant,
    /// When what is being read came.
    came: Instant,
    /// Its last word.
    last: Option<Seen>,
    /// The client is to be moved: since when, and why.
    moving: Option<(Instant, End)>,
}

/// A side of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// The client's.
    Client,
    /// The application server's.
    Server,
}

impl Standing {
    /// A connection whose pass stands; [`Standing::join`] joins its sides.
    pub fn new<F: Front>(
        front: &F,
        link: Link,
        server: TcpStream,
        core: &Handle,
        id: u64,
    ) -> Standing {
        let now = Instant::now();
        let notes = Notes {
            core: core.clone(),
            id,
            asked: VecDeque::new(),
            was_slow: false,
            message_began: now,
            came: now,
            last: None,
            moving: None,
        };
        Standing {
            link,
            server,
            framer: front.server_framer(),
            kept: Vec::new(),
            to_server: Outflow::default(),
            client_lost: None,
            server_lost: None,
            took_at: now,
            quiet_since: now,
            silence: front.silence(),
            notes,
        }
    }

    /// The client hears the answer, and the server gets what came early; then what it has said ahead goes on.
    pub fn join(&mut self, (answer, ahead): (&[u8], &[u8]), words: &[u8]) -> Result<(), End> {
        self.tell_client(&[answer]);
        self.forward(&[])?;
        self.notes.core.tell(Event::Established(self.notes.id));
        self.backward(ahead, words)
    }

    /// The sockets of both sides.
    pub fn sides(&self) -> (&TcpStream, &TcpStream) {
        (&self.link.client, &self.server)
    }

    /// What is wanted of both sides. One is read only while the other takes what it is sent.
    pub fn wants(&self) -> (EventFlags, EventFlags) {
        let wants = |own: &Outflow, other: &Outflow| {
            let read = if other.is_empty() {
                EventFlags::IN
            } else {
                EventFlags::empty()
            };
            if own.is_empty() {
                read
            } else {
                read | EventFlags::OUT
            }
        };
        (
            wants(&self.link.out, &self.to_server),
            wants(&self.to_server, &self.link.out),
        )
    }

    /// A side is ready: what waits for it is written, and what it has is passed on.
    pub fn ready(&mut self, side: Side, words: &[u8]) -> Result<(), End> {
        self.flush(side);
        let mut chunk = [0; CHUNK];
        match side {
            Side::Client if self.to_server.is_empty() => match (&self.link.client).read(&mut chunk)
            {
                Ok(0) => return Err(self.how_client_ended()),
                Ok(count) => self.forward(&chunk[..count])?,
                Err(error) if net::is_wait(&error) && self.client_lost.is_none() => {}
                Err(_) => return Err(End::ClientBroke),
            },
            Side::Server if self.link.out.is_empty() => match (&self.server).read(&mut chunk) {
                Ok(0) => return Err(self.how_server_ended()),
                Ok(count) => self.backward(&chunk[..count], words)?,
                Err(error) if net::is_wait(&error) && self.server_lost.is_none() => {}
                Err(_) => return Err(self.last_word().unwrap_or(End::ServerBroke)),
            },
            Side::Client | Side::Server => {}
        }
        self.moved(words)
    }

    /// Writes what waits for a side.
    fn flush(&mut self, side: Side) {
        match side {
            Side::Client => self.tell_client(&[]),
            Side::Server => self.tell_server(&[]),
        }
    }

    /// Writes to the client. Guards against a broken write that would end the connection before what the client said
    /// has been read: a peer that ended its connection in order breaks the writes that cross its end.
    fn tell_client(&mut self, parts: &[&[u8]]) {
        let Standing {
            link: Link { client, out, .. },
            client_lost,
            ..
        } = self;
        write(client, out, parts, client_lost);
    }

    /// The same for the server: its last lines go on to the client.
    fn tell_server(&mut self, parts: &[&[u8]]) {
        write(
            &self.server,
            &mut self.to_server,
            parts,
            &mut self.server_lost,
        );
    }

    /// What is due whether a side is ready or not.
    pub fn look(&mut self, words: &[u8]) -> Result<(), End> {
        self.ask();
        if self.link.out.is_empty() && self.to_server.is_empty() {
            self.took_at = Instant::now();
        } else if self.took_at.elapsed() >= net::WRITE_PATIENCE {
            // Only one side is read while the other takes nothing, so it is clear whose fault it is.
            return Err(if self.link.out.is_empty() {
                End::ServerBroke
            } else {
                End::ClientBroke
            });
        }
        if self.notes.unanswered_for() >= self.silence {
            // Guards against a server that is silent with its socket open; and against one taken for silent whose
            // answer lies there unread since this program was held up.
            self.ready(Side::Server, words)?;
            if self.notes.unanswered_for() >= self.silence {
                self.say_move(words);
                return Err(End::ServerSilent);
            }
        }
        self.moved(words)
    }

    /// Whether nothing of the connection is here: what has been read has gone on, and both sides are between messages.
    pub fn is_clear(&self) -> bool {
        let unsent = !(self.link.out.is_empty() && self.to_server.is_empty());
        let kept = !(self.link.kept.is_empty() && self.kept.is_empty());
        let between = self.link.framer.is_between() && self.framer.is_between();
        let lost = self.client_lost.is_some() || self.server_lost.is_some();
        between && !unsent && !kept && !lost && !self.link.over && self.notes.moving.is_none()
    }

    /// The client is to be moved, now or, inside a message, at its end.
    pub fn move_on(&mut self, words: &[u8]) -> Result<(), End> {
        self.notes.move_on(End::Moved);
        self.moved(words)
    }

    /// Relays what the client sent, as far as it may go on.
    fn forward(&mut self, bytes: &[u8]) -> Result<(), End> {
        let link = &mut self.link;
        link.kept.extend_from_slice(bytes);
        let mut questions = 0;
        let followed = link.framer.follow(&link.kept, &mut |seen| {
            questions += usize::from(seen == Seen::Asked);
            true
        });
        let Followed { consumed, .. } =
            followed.map_err(|FrameFault { answer }| End::ClientFault(answer))?;
        if self.notes.asked.len() + questions > MOST_ASKED {
            return Err(End::ClientFault(""));
        }
        self.quiet_since = Instant::now();
        self.notes.asked.extend((0..questions).map(|_| Asked {
            at: Instant::now(),
            own: false,
        }));
        let message: Vec<u8> = link.kept.drain(..consumed).collect();
        self.tell_server(&[&message]);
        Ok(())
    }

    /// Asks the server the balancer's own question, if the wire has one and nothing was asked for a while; it
    /// comes between two messages. Guards against a silent server whose client asks nothing itself.
    fn ask(&mut self) {
        let Some(probe) = self.link.probe else { return };
        let idle = self.quiet_since.elapsed() >= probe.after && self.notes.asked.is_empty();
        if !idle || !self.link.framer.is_between() {
            return;
        }
        self.quiet_since = Instant::now();
        self.notes.asked.push_back(Asked {
            at: Instant::now(),
            own: true,
        });
        self.tell_server(&[probe.words]);
    }

    /// Relays what the server sent, as far as it may go on. A move that waits goes out at the last boundary.
    fn backward(&mut self, bytes: &[u8], words: &[u8]) -> Result<(), End> {
        self.notes.came = Instant::now();
        if self.kept.is_empty() && self.framer.is_between() {
            self.notes.message_began = self.notes.came;
        }
        self.kept.extend_from_slice(bytes);
        // A message that comes with the word to move has begun: the move waits for its end.
        let waits = self.notes.moving.is_some();
        let notes = &mut self.notes;
        let followed = self.framer.follow(&self.kept, &mut |seen| notes.note(seen));
        let Followed {
            consumed,
            boundary,
            dropped,
        } = followed.map_err(|_| End::ServerFault)?;
        let last = boundary.filter(|_| waits);
        let end = last.unwrap_or(consumed);
        let message: Vec<u8> = self.kept.drain(..consumed).collect();
        let (mut parts, mut from) = (Vec::with_capacity(dropped.len() + 2), 0);
        for gap in dropped.iter().filter(|gap| gap.end <= end) {
            parts.push(&message[from..gap.start]);
            from = gap.end;
        }
        parts.push(&message[from..end]);
        if last.is_some() {
            parts.push(words);
            self.link.over = true;
        }
        self.tell_client(&parts);
        Ok(())
    }

    /// The end that a server's last line announced.
    fn last_word(&self) -> Option<End> {
        match self.notes.last {
            Some(Seen::Goodbye) => Some(End::Served),
            Some(Seen::SentAway) => Some(End::SentAway),
            _ => None,
        }
    }

    fn how_server_ended(&self) -> End {
        let plain = if was_reset(self.server_lost) {
            End::ServerBroke
        } else {
            End::ServerEnded
        };
        self.last_word().unwrap_or(plain)
    }

    fn how_client_ended(&self) -> End {
        if was_reset(self.client_lost) {
            End::ClientBroke
        } else {
            End::ClientEnded
        }
    }

    /// Moves a client that is to be moved, if it can be; then the connection has ended.
    fn moved(&mut self, words: &[u8]) -> Result<(), End> {
        let Some((since, why)) = self.notes.moving else {
            return Ok(());
        };
        if self.say_move(words) {
            return Err(why);
        }
        if since.elapsed() >= MOVE_PATIENCE {
            Err(End::Cut)
        } else {
            Ok(())
        }
    }

    /// Tells the client to move, but not inside a message. True if it has been told.
    fn say_move(&mut self, words: &[u8]) -> bool {
        if !self.link.over && self.framer.is_between() {
            self.link.over = true;
            self.tell_client(&[words]);
        }
        self.link.over
    }

    /// What the server still says goes on to a client that has only ended its sending; an error once it has ended.
    pub fn hear_out(&mut self, side: Side, words: &[u8]) -> Result<(), End> {
        if self.link.over {
            return Err(End::Moved);
        }
        match side {
            // It has ended its sending: there is nothing to be read, and what waits for it is to be written.
            Side::Client => self.flush(Side::Client),
            Side::Server => self.ready(Side::Server, words)?,
        }
        if self.client_lost.is_some() {
            Err(End::ClientBroke)
        } else {
            Ok(())
        }
    }

    /// Ends both sides the way that the connection ended. What comes of it are the client and the server, which are
    /// to be read until they end; nothing where both were reset.
    pub fn wind_up(mut self, end: End) -> Option<(Lingering, Lingering)> {
        match end {
            End::ClientBroke => {
                net::reset(&self.server);
                net::reset(&self.link.client);
                return None;
            }
            End::ServerBroke => {
                net::reset(&self.link.client);
                return None;
            }
            End::ClientFault(words) if !self.link.over && self.framer.is_between() => {
                self.tell_client(&[words.as_bytes()]);
            }
            _ => {}
        }
        // What the server has not taken is the client's that ends, or that is to move.
        let server = Lingering::begin(self.server, Outflow::default(), b"");
        Some((self.link.part(b""), server))
    }

    /// Ends the sending to a server whose client has ended its own.
    pub fn finish_server(&mut self) {
        self.flush(Side::Server);
        net::finish(&self.server);
    }
}

/// Writes what can be written now. A side that is lost is written to no more.
fn write(to: &TcpStream, out: &mut Outflow, parts: &[&[u8]], lost: &mut Option<ErrorKind>) {
    if lost.is_some() {
        return;
    }
    let written = if parts.is_empty() {
        out.flush(to)
    } else {
        out.send(to, parts)
    };
    if let Err(error) = written {
        *lost = Some(error.kind());
        *out = Outflow::default();
    }
}

/// Whether a side that can be written to no more was reset. One that had ended in order breaks a pipe.
fn was_reset(lost: Option<ErrorKind>) -> bool {
    lost.is_some_and(|kind| kind != ErrorKind::BrokenPipe)
}

impl Notes {
    /// For how long the oldest question has been unanswered.
    fn unanswered_for(&self) -> Duration {
        self.asked
            .front()
            .map_or(Duration::ZERO, |asked| asked.at.elapsed())
    }

    /// Takes note of a server's message; gives whether it goes on to the client.
    fn note(&mut self, seen: Seen) -> bool {
        self.last = Some(seen);
        // What follows in the same bytes begins with them.
        let began = std::mem::replace(&mut self.message_began, self.came);
        let answered = match seen {
            Seen::Answered => {
                let oldest = self.asked.pop_front();
                self.asked.clear();
                oldest
            }
            Seen::AnsweredOldest => self.asked.pop_front(),
            Seen::Load(load) => {
                self.core
                    .tell(Event::Noted(self.id, ConnectionMetric::Load(load)));
                return true;
            }
            Seen::Leaving => {
                self.move_on(End::ServerLeaving);
                return false;
            }
            Seen::Private => return false,
            Seen::Asked | Seen::Goodbye | Seen::SentAway => return true,
        };
        let Some(Asked { at, own }) = answered else {
            return true;
        };
        // Guards against a network that delivers an answer in pieces: a server shows its strain by when it begins one.
        let took = began.saturating_duration_since(at);
        let slow = took >= self.core.slow();
        // Once more when messages are no longer slow, so that the core hears of it.
        if slow || self.was_slow {
            self.was_slow = slow;
            self.core.tell(Event::Noted(
                self.id,
                ConnectionMetric::MessageLatency(nanos(took)),
            ));
        }
        !own
    }

    /// The client is to be moved, now or, inside a message, at its end.
    fn move_on(&mut self, why: End) {
        self.moving.get_or_insert_with(|| (Instant::now(), why));
    }
}
