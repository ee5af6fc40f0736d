//! Relay: a standing connection, two pumps, and its end.
//!
//! Three threads share a standing connection. The client's pump reads from the client, the server's pump from
//! the application server; the transaction's own thread waits for orders and for either pump's end. Sockets are
//! read and written through shared references, so that a connection costs two descriptors.

use std::collections::VecDeque;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use beaconflow::api::Note;
use crossbeam_channel::{Receiver, Sender, select};

use crate::clock::nanos;
use crate::core::{Event, Handle, Order};
use crate::front::{Followed, FrameFault, Framer, Front, Probe, Seen, Word};
use crate::net;
use crate::stages::send::{End, Passed};

/// An ended connection is read for so long, so that its last line is not lost to a reset.
const LINGER: Duration = Duration::from_millis(500);
/// A move waits for so long for the end of a message that has begun.
const MOVE_PATIENCE: Duration = Duration::from_millis(900);
/// Bytes relayed at a time.
const CHUNK: usize = 4096;
/// Questions of one connection that may be unanswered at once; a client that asks more is at fault.
const MOST_ASKED: usize = 1024;

/// A panic in another thread of the connection ends that connection in any case; what it held is still sound.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Where the client's bytes go.
enum Flow {
    /// They are kept; a pass may be out.
    Opening(Option<Arc<TcpStream>>),
    /// They go to the application server.
    Standing(Arc<TcpStream>),
    /// They go nowhere.
    Over,
}

/// The client's side: shared by its pump and the transaction.
struct Up {
    flow: Flow,
    framer: Box<dyn Framer>,
    /// What is kept: all that came early, then the beginning of a message that is not whole.
    kept: Vec<u8>,
}

/// The server's side: whoever holds it may write to the client.
struct Down {
    framer: Box<dyn Framer>,
    /// The beginning of a message that is not whole.
    kept: Vec<u8>,
    /// A move waits for the end of a message.
    moving: bool,
    /// Nothing more goes to the client.
    over: bool,
    /// The last word of the server.
    last: Option<Seen>,
}

/// A client's connection and what it is joined to.
pub struct Link {
    client: TcpStream,
    up: Mutex<Up>,
    down: Mutex<Down>,
    over: AtomicBool,
    most_early: usize,
    /// The unanswered questions to the server, the oldest first.
    asked: Mutex<VecDeque<Asked>>,
    probe: Option<Probe>,
}

struct Asked {
    at: Instant,
    /// Whether the balancer asked, and not the client.
    own: bool,
}

/// What a pump tells the transaction at its end.
pub enum PumpEnd {
    /// The client's pump has ended.
    Client(End),
    /// The server's pump has ended.
    Server(End),
}

impl Link {
    /// A link for a client that has sent its opening, and `early` beyond it.
    pub fn new<F: Front>(front: &F, client: TcpStream, early: Vec<u8>) -> Link {
        let up = Up { flow: Flow::Opening(None), framer: front.client_framer(), kept: early };
        let framer = front.server_framer();
        let down = Down { framer, kept: Vec::new(), moving: false, over: false, last: None };
        Link {
            client,
            up: Mutex::new(up),
            down: Mutex::new(down),
            over: AtomicBool::new(false),
            most_early: front.most_early(),
            asked: Mutex::default(),
            probe: front.probe(),
        }
    }

    /// Whether the client has left or has had its answer.
    pub fn is_over(&self) -> bool {
        self.over.load(Ordering::Acquire)
    }

    /// The client's connection.
    pub fn client(&self) -> &TcpStream {
        &self.client
    }

    /// Lets the client's end cut `wait` short, which reads from this server.
    pub fn asking<T>(&self, server: &Arc<TcpStream>, wait: impl FnOnce() -> T) -> T {
        if let Flow::Opening(asked) = &mut lock(&self.up).flow {
            *asked = Some(Arc::clone(server));
        }
        let said = wait();
        if let Flow::Opening(asked) = &mut lock(&self.up).flow {
            *asked = None;
        }
        said
    }

    /// Nothing of the client's goes anywhere from now on; what it sends is read and dropped.
    fn close_flow(&self) {
        self.over.store(true, Ordering::Release);
        if let Flow::Opening(Some(server)) = std::mem::replace(&mut lock(&self.up).flow, Flow::Over) {
            net::end(&server);
        }
    }

    /// Gives the final answer and ends the connection in order.
    pub fn answer(&self, words: &[u8]) {
        self.close_flow();
        // A client that is gone needs no answer.
        let _ = (&self.client).write_all(words);
        net::finish(&self.client);
    }

    /// The client's pump: runs from the opening to the client's end.
    pub fn pump_client(&self, core: &Handle, id: u64, ends: &Sender<PumpEnd>) {
        let _ = self.client.set_read_timeout(self.probe.map(|probe| probe.after));
        let mut chunk = [0; CHUNK];
        let end = loop {
            let went = match (&self.client).read(&mut chunk) {
                Ok(0) => break End::ClientEnded,
                Ok(count) => self.forward(&chunk[..count]),
                Err(error) if net::is_wait(&error) => Ok(()),
                Err(_) => break End::ClientBroke,
            };
            if let Err(end) = went.and_then(|()| self.ask()) {
                break end;
            }
        };
        let opening = matches!(lock(&self.up).flow, Flow::Opening(_));
        if opening {
            self.close_flow();
            core.tell(Event::Left(id));
        }
        // The transaction may be over and nobody waiting.
        let _ = ends.send(PumpEnd::Client(end));
    }

    fn forward(&self, bytes: &[u8]) -> Result<(), End> {
        let (server, onward) = {
            let mut up = lock(&self.up);
            match &up.flow {
                Flow::Over => return Ok(()),
                Flow::Opening(_) => {
                    if up.kept.len() + bytes.len() > self.most_early {
                        return Err(End::ClientFault(""));
                    }
                    up.kept.extend_from_slice(bytes);
                    return Ok(());
                }
                Flow::Standing(server) => {
                    let server = Arc::clone(server);
                    up.kept.extend_from_slice(bytes);
                    (server, self.follow_client(&mut up)?)
                }
            }
        };
        (&*server).write_all(&onward).map_err(|_| End::ServerBroke)
    }

    /// Gives what may go on to the server, and keeps the rest.
    fn follow_client(&self, up: &mut Up) -> Result<Vec<u8>, End> {
        let mut questions = 0;
        let followed = up.framer.follow(&up.kept, &mut |seen| {
            questions += usize::from(seen == Seen::Asked);
            true
        });
        let Followed { consumed, .. } = followed.map_err(|FrameFault { answer }| End::ClientFault(answer))?;
        let mut asked = lock(&self.asked);
        if asked.len() + questions > MOST_ASKED {
            return Err(End::ClientFault(""));
        }
        asked.extend((0..questions).map(|_| Asked { at: Instant::now(), own: false }));
        let rest = up.kept.split_off(consumed);
        Ok(std::mem::replace(&mut up.kept, rest))
    }

    /// Asks the server the balancer's own question, if the wire has one and nothing was asked for a while. Only
    /// the client's pump writes to the server, so that the question comes between two messages. Guards against a
    /// silent server whose client asks nothing itself.
    fn ask(&self) -> Result<(), End> {
        let Some(probe) = self.probe else { return Ok(()) };
        let up = lock(&self.up);
        let Flow::Standing(server) = &up.flow else { return Ok(()) };
        let server = Arc::clone(server);
        {
            let mut asked = lock(&self.asked);
            if !asked.is_empty() || !up.framer.is_between() {
                return Ok(());
            }
            asked.push_back(Asked { at: Instant::now(), own: true });
        }
        drop(up);
        (&*server).write_all(probe.words).map_err(|_| End::ServerBroke)
    }

    /// Joins the client to its server: what it sent early goes first. Nothing is joined if it has left.
    fn join(&self, server: &Arc<TcpStream>) -> Result<(), End> {
        let mut up = lock(&self.up);
        if !matches!(up.flow, Flow::Opening(_)) {
            return Err(End::ClientEnded);
        }
        let onward = self.follow_client(&mut up)?;
        (&**server).write_all(&onward).map_err(|_| End::ServerBroke)?;
        up.flow = Flow::Standing(Arc::clone(server));
        Ok(())
    }

    /// Relays what the server sent, as far as it may go on. A move that waits goes out at the first boundary.
    /// True once the client has been told to move.
    fn backward(&self, bytes: &[u8], words: &[u8], seen: &mut dyn FnMut(Seen) -> bool) -> Result<bool, End> {
        let mut down = lock(&self.down);
        if down.over {
            return Ok(false);
        }
        let down = &mut *down;
        down.kept.extend_from_slice(bytes);
        let followed = down.framer.follow(&down.kept, &mut |what| {
            down.last = Some(what);
            seen(what)
        });
        let Followed { consumed, boundary, dropped } = followed.map_err(|_| End::ServerFault)?;
        let end = boundary.filter(|_| down.moving).unwrap_or(consumed);
        let (mut parts, mut from) = (Vec::with_capacity(dropped.len() + 2), 0);
        for gap in dropped.iter().filter(|gap| gap.end <= end) {
            parts.push(&down.kept[from..gap.start]);
            from = gap.end;
        }
        parts.push(&down.kept[from..end]);
        if down.moving && boundary.is_some() {
            down.over = true;
            parts.push(words);
        }
        net::write_gathered(&self.client, &parts).map_err(|_| End::ClientBroke)?;
        down.kept.drain(..consumed);
        Ok(down.over)
    }

    /// The server's pump: runs for as long as the connection stands.
    fn pump_server(&self, server: &TcpStream, watch: &Watch<'_>) -> End {
        let mut chunk = [0; CHUNK];
        let mut patience = Duration::ZERO;
        loop {
            let oldest = lock(&self.asked).front().map(|asked| asked.at.elapsed());
            let silent_for = oldest.unwrap_or(Duration::ZERO);
            if silent_for >= watch.silence {
                return End::ServerSilent;
            }
            // Guards against a server that is silent with its socket open: the wait ends when it is to answer.
            let wait = (watch.silence - silent_for).max(Duration::from_millis(10));
            if wait != patience {
                patience = wait;
                let _ = server.set_read_timeout(Some(wait));
            }
            match (&*server).read(&mut chunk) {
                Ok(0) => return self.how_ended(),
                Ok(count) => {
                    let relayed =
                        self.backward(&chunk[..count], watch.moving, &mut |seen| self.note(seen, watch));
                    match relayed {
                        Ok(false) => {
                            let leaves = watch.server_leaves.load(Ordering::Relaxed);
                            if leaves && self.tell_to_move(watch.moving) {
                                return End::ServerLeaving;
                            }
                        }
                        Ok(true) => return End::Moved,
                        Err(end) => return end,
                    }
                }
                Err(error) if net::is_wait(&error) => {}
                Err(_) => return End::ServerBroke,
            }
        }
    }

    fn how_ended(&self) -> End {
        match lock(&self.down).last {
            Some(Seen::Goodbye) => End::Served,
            Some(Seen::SentAway) => End::SentAway,
            _ => End::ServerEnded,
        }
    }

    /// Takes note of a server's message; gives whether it goes on to the client.
    fn note(&self, seen: Seen, watch: &Watch<'_>) -> bool {
        let answered = match seen {
            Seen::Answered => {
                let mut asked = lock(&self.asked);
                let oldest = asked.pop_front();
                asked.clear();
                oldest
            }
            Seen::AnsweredOldest => lock(&self.asked).pop_front(),
            Seen::Load(load) => {
                watch.core.tell(Event::Noted(watch.id, Note::Load(load)));
                return true;
            }
            Seen::Leaving => {
                watch.server_leaves.store(true, Ordering::Relaxed);
                return false;
            }
            Seen::Private => return false,
            Seen::Asked | Seen::Goodbye | Seen::SentAway => return true,
        };
        let Some(Asked { at, own }) = answered else { return true };
        let took = at.elapsed();
        let slow = took >= watch.core.slow();
        // Once more when messages are no longer slow, so that the core hears of it.
        if slow || watch.was_slow.load(Ordering::Relaxed) {
            watch.was_slow.store(slow, Ordering::Relaxed);
            watch.core.tell(Event::Noted(watch.id, Note::Delay(nanos(took))));
        }
        !own
    }

    /// Tells the client to move, now or, inside a message, at its end. True if it has been told.
    fn tell_to_move(&self, words: &[u8]) -> bool {
        let mut down = lock(&self.down);
        if down.over {
            return true;
        }
        if !down.framer.is_between() {
            down.moving = true;
            return false;
        }
        down.over = true;
        let _ = (&self.client).write_all(words);
        true
    }
}

/// What the server's pump goes by.
struct Watch<'a> {
    core: &'a Handle,
    id: u64,
    silence: Duration,
    moving: &'a [u8],
    was_slow: AtomicBool,
    server_leaves: AtomicBool,
}

/// Keeps a connection standing until it ends; gives how. The server's pump runs on a thread of its own.
pub fn stand<F: Front>(
    front: &F,
    link: &Arc<Link>,
    core: &Handle,
    id: u64,
    passed: &Passed,
    channels: (&Receiver<Order>, &Sender<PumpEnd>, &Receiver<PumpEnd>),
) -> End {
    let Passed { server, answer, ahead } = passed;
    let (orders, end, ends) = channels;
    let moving = front.say(Word::Move);
    if (&link.client).write_all(answer).is_err() {
        return End::ClientBroke;
    }
    if let Err(end) = link.join(server) {
        return end;
    }
    core.tell(Event::Established(id));
    let pump = {
        let (link, server, core, end) = (Arc::clone(link), Arc::clone(server), core.clone(), end.clone());
        let (silence, moving, ahead) = (front.silence(), moving.clone(), ahead.clone());
        let run = move || {
            let (was_slow, server_leaves) = (AtomicBool::new(false), AtomicBool::new(false));
            let watch = Watch { core: &core, id, silence, moving: &moving, was_slow, server_leaves };
            let ended = match link.backward(&ahead, &moving, &mut |seen| link.note(seen, &watch)) {
                Ok(_) => link.pump_server(&server, &watch),
                Err(end) => end,
            };
            // Nobody waits once the transaction is over.
            let _ = end.send(PumpEnd::Server(ended));
        };
        std::thread::Builder::new().stack_size(net::STACK).spawn(run)
    };
    if pump.is_err() {
        return if link.tell_to_move(&moving) { End::Moved } else { End::Cut };
    }
    let ended = select! {
        recv(ends) -> ended => match ended {
            Ok(PumpEnd::Client(end) | PumpEnd::Server(end)) => Some(end),
            Err(_) => Some(End::Cut),
        },
        // Without the core nobody is left to order anything; the program is about to end.
        recv(orders) -> _ => None,
    };
    match ended {
        Some(end @ (End::ServerSilent | End::ServerLeaving)) => {
            link.tell_to_move(&moving);
            end
        }
        Some(end) => end,
        None if link.tell_to_move(&moving) => End::Moved,
        None => match ends.recv_timeout(MOVE_PATIENCE) {
            Ok(PumpEnd::Client(end) | PumpEnd::Server(end)) => end,
            Err(_) => End::Cut,
        },
    }
}

/// Ends both sides the way that the connection ended, in order or by a reset.
pub fn wind_up(link: &Link, server: &TcpStream, end: End, words: &[u8], ends: &Receiver<PumpEnd>) {
    link.close_flow();
    match end {
        End::ClientBroke => {
            net::reset(server);
            net::reset(&link.client);
            return;
        }
        End::ServerBroke => {
            lock(&link.down).over = true;
            net::reset(&link.client);
            net::end(server);
            return;
        }
        End::ClientEnded => {
            net::finish(server);
            // What the server still says goes on to the client, which has only ended its sending.
            let _ = ends.recv_timeout(LINGER);
            lock(&link.down).over = true;
            net::end(server);
            net::end(&link.client);
            return;
        }
        End::ClientFault(_) => {
            let mut down = lock(&link.down);
            if down.framer.is_between() && !down.over {
                let _ = (&link.client).write_all(words);
            }
            down.over = true;
        }
        End::Served
        | End::SentAway
        | End::ServerEnded
        | End::ServerLeaving
        | End::ServerSilent
        | End::ServerFault
        | End::Moved
        | End::Cut => lock(&link.down).over = true,
    }
    net::finish(&link.client);
    net::finish(server);
    linger(link, ends);
    net::end(server);
}

/// Reads a client that has had its last word until it ends, for a bounded time.
pub fn linger(link: &Link, ends: &Receiver<PumpEnd>) {
    let until = Instant::now() + LINGER;
    while let Ok(ended) = ends.recv_deadline(until) {
        if matches!(ended, PumpEnd::Client(_)) {
            break;
        }
    }
    net::end(&link.client);
}
