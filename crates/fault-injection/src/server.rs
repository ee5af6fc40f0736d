//! A stand-in for an application server on the platform's wire: it warms, tips, fills up, drains, hangs and restarts.

use std::collections::{BTreeMap, VecDeque};
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use socket2::SockRef;

use crate::address::ReservedAddress;
use crate::record::{Record, ServerDid, What};

/// Connections that wait to be taken.
const BACKLOG: i32 = 1024;
/// Stacks of a connection's thread.
const STACK: usize = 128 << 10;

/// So many set-ups that come together are done at once.
const BURST: u32 = 4;

/// What a server can do, and the platform's rules for cold ones.
#[derive(Clone, Copy, Debug)]
pub struct Ability {
    /// Set-ups a second once it is warm.
    pub rate: f64,
    /// Most connections.
    pub capacity: usize,
    /// The share of its rate that it starts with.
    pub cold_share: f64,
    /// It is warm after so long.
    pub cold: Duration,
    /// It falls over when sent more than so many times what it can do,
    pub tip_multiple: f64,
    /// in any time of this length.
    pub fall: Duration,
}

impl Default for Ability {
    /// Small times, so that a story sees all of it within seconds.
    fn default() -> Ability {
        Ability {
            rate: 100.0,
            capacity: 1_000,
            cold_share: 0.2,
            cold: Duration::from_secs(5),
            tip_multiple: 3.0,
            fall: Duration::from_millis(1_500),
        }
    }
}

impl Ability {
    /// The share of its rate that it has so long after a cold start.
    pub fn capacity_fraction(&self, since: Duration) -> f64 {
        let part = (since.as_secs_f64() / self.cold.as_secs_f64()).min(1.0);
        self.cold_share + (1.0 - self.cold_share) * part
    }

    /// How long it takes from a cold start to do so many set-ups, if not a moment is lost.
    pub fn refill(&self, set_ups: usize) -> Duration {
        let step = Duration::from_millis(10);
        let (mut done, mut took) = (0.0, Duration::ZERO);
        while done < set_ups as f64 {
            done += self.rate * self.capacity_fraction(took) * step.as_secs_f64();
            took += step;
        }
        took
    }

    /// So many set-ups in `fall` are borne at this warmth: N + 3 x root of N + 3.
    pub fn bears(&self, warmth: f64) -> usize {
        let allowed = self.tip_multiple * self.rate * warmth * self.fall.as_secs_f64();
        (allowed + 3.0 * allowed.sqrt() + 3.0) as usize
    }
}

/// How it has its clients leave when it drains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Leaves {
    /// All at once.
    AtOnce,
    /// One each time.
    BitByBit(Duration),
}

struct State {
    /// Grows with each start and each end: a connection of another life is over.
    life: u64,
    running: bool,
    started_at: Option<Instant>,
    draining: bool,
    hanging: bool,
    tipped: bool,
    came: VecDeque<Instant>,
    /// No set-up is done before: they are done in turn.
    free_at: Instant,
    next: u64,
    streams: BTreeMap<u64, TcpStream>,
    /// Connections that were taken and hear nothing.
    unheard: Vec<TcpStream>,
    /// Which client key stands on which connection.
    keys: BTreeMap<u64, String>,
    lines: u64,
    set_ups: u64,
}

struct Shared {
    name: String,
    ability: Ability,
    record: Record,
    state: Mutex<State>,
    changed: Condvar,
}

/// The server. It keeps its address over restarts.
pub struct Server {
    /// Where it listens while it runs.
    pub at: SocketAddr,
    reservation: ReservedAddress,
    shared: Arc<Shared>,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        // Plain values, sound at every moment.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn note(&self, did: ServerDid) {
        self.record.note(What::Server {
            server: self.name.clone(),
            did,
        });
    }
}

impl Server {
    /// Starts it warm.
    pub fn start(name: &str, ability: Ability, record: &Record) -> Server {
        let reservation = ReservedAddress::default();
        let listener = reservation.listen(BACKLOG);
        let state = State {
            life: 0,
            running: true,
            started_at: None,
            draining: false,
            hanging: false,
            tipped: false,
            came: VecDeque::new(),
            free_at: Instant::now(),
            next: 0,
            streams: BTreeMap::new(),
            unheard: Vec::new(),
            keys: BTreeMap::new(),
            lines: 0,
            set_ups: 0,
        };
        let shared = Shared {
            name: name.to_owned(),
            ability,
            record: record.clone(),
            state: Mutex::new(state),
            changed: Condvar::new(),
        };
        let server = Server {
            at: reservation.at,
            reservation,
            shared: Arc::new(shared),
        };
        server.shared.note(ServerDid::Started { cold: false });
        server.take(listener, 0);
        server
    }

    fn take(&self, listener: TcpListener, life: u64) {
        let shared = Arc::clone(&self.shared);
        std::thread::spawn(move || {
            while let Ok((stream, _)) = listener.accept() {
                if shared.lock().life != life {
                    return;
                }
                let shared = Arc::clone(&shared);
                let serve = move || serve(&stream, &shared, life);
                std::thread::Builder::new()
                    .stack_size(STACK)
                    .spawn(serve)
                    .expect("a thread");
            }
        });
    }

    /// Its name.
    pub fn name(&self) -> &str {
        &self.shared.name
    }

    /// Ends as a process dies: its connections are reset, new ones are refused.
    pub fn kill(&self) {
        self.shared.note(ServerDid::Killed);
        let streams = {
            let mut state = self.shared.lock();
            state.life += 1;
            state.running = false;
            state.keys.clear();
            let unheard = std::mem::take(&mut state.unheard);
            std::mem::take(&mut state.streams)
                .into_values()
                .chain(unheard)
                .collect::<Vec<TcpStream>>()
        };
        self.shared.changed.notify_all();
        for stream in streams {
            // Only wakes whoever reads it: the last one that lets go of it resets it.
            let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
            let _ = stream.shutdown(Shutdown::Read);
        }
        // The thread that accepts sees the new life at the next connection, and takes its listener with it.
        while TcpStream::connect(self.at).is_ok() {}
    }

    /// Starts again under the same name, cold; gives the moment of the start in Unix milliseconds.
    pub fn restart(&self) -> u64 {
        let life = {
            let mut state = self.shared.lock();
            assert!(!state.running, "{} runs", self.shared.name);
            state.life += 1;
            state.running = true;
            state.started_at = Some(Instant::now());
            state.came.clear();
            (state.draining, state.hanging, state.tipped) = (false, false, false);
            state.life
        };
        self.shared.note(ServerDid::Started { cold: true });
        self.take(self.reservation.listen(BACKLOG), life);
        self.shared.record.unix_ms(self.shared.record.now())
    }

    /// Answers nothing any more, neither on standing connections nor on new ones, or answers again.
    pub fn hangs(&self, hangs: bool) {
        self.shared.note(if hangs {
            ServerDid::Hangs
        } else {
            ServerDid::Recovers
        });
        self.shared.lock().hanging = hangs;
        self.shared.changed.notify_all();
    }

    /// Takes nothing new and has its clients leave.
    pub fn drains(&self, leaves: Leaves) {
        self.shared.note(ServerDid::Drains);
        let life = {
            let mut state = self.shared.lock();
            state.draining = true;
            state.life
        };
        let shared = Arc::clone(&self.shared);
        std::thread::spawn(move || {
            loop {
                let mut state = shared.lock();
                if state.life != life {
                    return;
                }
                let Some((number, stream)) = state.streams.pop_first() else {
                    return;
                };
                state.keys.remove(&number);
                let _ = (&stream).write_all(b"MOVE\r\n");
                let _ = stream.shutdown(Shutdown::Write);
                if let Leaves::BitByBit(every) = leaves {
                    let over = |state: &mut State| state.life == life;
                    drop(shared.changed.wait_timeout_while(state, every, over));
                }
            }
        });
    }

    /// The client keys that stand here.
    pub fn keys(&self) -> Vec<String> {
        self.shared.lock().keys.values().cloned().collect()
    }

    /// How many set-ups it has taken, and how many lines it has answered.
    pub fn counts(&self) -> (u64, u64) {
        let state = self.shared.lock();
        (state.set_ups, state.lines)
    }
}

/// What is made of an opening.
enum Admission {
    Serve { number: u64, at: Instant },
    Busy,
    Hang,
    Over,
}

fn admit(shared: &Shared, key: &str, stream: &TcpStream, life: u64) -> Admission {
    let mut state = shared.lock();
    let now = Instant::now();
    if state.life != life {
        return Admission::Over;
    }
    let warmth = state
        .started_at
        .map_or(1.0, |since| shared.ability.capacity_fraction(now - since));
    state.came.push_back(now);
    while state
        .came
        .front()
        .is_some_and(|came| now - *came > shared.ability.fall)
    {
        state.came.pop_front();
    }
    let (came, bears) = (state.came.len(), shared.ability.bears(warmth));
    if warmth < 1.0 && came > bears && !state.tipped {
        state.tipped = true;
        shared.note(ServerDid::Tipped { came, bears });
    }
    if state.hanging || state.tipped {
        state.unheard.extend(stream.try_clone());
        return Admission::Hang;
    }
    if state.draining || state.streams.len() >= shared.ability.capacity {
        return Admission::Busy;
    }
    let gap = Duration::from_secs_f64(1.0 / (shared.ability.rate * warmth));
    // A few are done at once; what comes beyond that takes its turn.
    state.free_at = state
        .free_at
        .max(now.checked_sub(gap * BURST).unwrap_or(now))
        + gap;
    state.next += 1;
    state.set_ups += 1;
    let number = state.next;
    if let Ok(own) = stream.try_clone() {
        state.streams.insert(number, own);
    }
    state.keys.insert(number, key.to_owned());
    shared.note(ServerDid::Took(key.to_owned()));
    Admission::Serve {
        number,
        at: state.free_at,
    }
}

/// Hears an opening, and does what is made of it.
fn serve(mut stream: &TcpStream, shared: &Shared, life: u64) {
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    if reader.read_line(&mut line).unwrap_or(0) == 0 || !line.ends_with("\r\n") {
        return;
    }
    let words: Vec<&str> = line.trim_end().split(' ').collect();
    let ["OPEN", _, key, _] = words[..] else {
        let _ = stream.write_all(b"SYNTAX\r\n");
        return;
    };
    match admit(shared, key, stream, life) {
        Admission::Serve { number, at } => serve_from(at, number, &mut reader, shared, life),
        Admission::Busy => drop(stream.write_all(b"BUSY\r\n")),
        Admission::Hang => hang(&mut reader, shared, life),
        Admission::Over => {}
    }
}

/// Serves a client once its set-up is done, until either ends. Set-ups are its work: they take their turn.
fn serve_from(
    at: Instant,
    number: u64,
    reader: &mut BufReader<&TcpStream>,
    shared: &Shared,
    life: u64,
) {
    std::thread::sleep(at.saturating_duration_since(Instant::now()));
    if shared.lock().life != life {
        return;
    }
    let mut stream = *reader.get_ref();
    let receipt = format!("UP {}.{life}.{number}\r\n", shared.name);
    if stream.write_all(receipt.as_bytes()).is_ok() {
        answer_lines(reader, shared, life);
    }
    let mut state = shared.lock();
    if state.life != life {
        return;
    }
    state.streams.remove(&number);
    state.keys.remove(&number);
    drop(state);
    let _ = stream.shutdown(Shutdown::Both);
}

/// Answers line by line, none while it hangs, until the client ends or this life does.
fn answer_lines(reader: &mut BufReader<&TcpStream>, shared: &Shared, life: u64) {
    let mut stream = *reader.get_ref();
    let mut line = String::new();
    while reader.read_line(&mut line).unwrap_or(0) > 0 {
        let state = shared.lock();
        let mut state = shared
            .changed
            .wait_while(state, |state| state.hanging && state.life == life)
            .unwrap_or_else(PoisonError::into_inner);
        if state.life != life {
            return;
        }
        state.lines += 1;
        drop(state);
        let answer = line.replacen("M ", "OK ", 1);
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
        line.clear();
    }
}

/// Hears whatever comes and says nothing, until the peer has enough.
fn hang(reader: &mut impl BufRead, shared: &Shared, life: u64) {
    let mut line = String::new();
    while shared.lock().life == life && reader.read_line(&mut line).is_ok_and(|count| count > 0) {
        line.clear();
    }
}
