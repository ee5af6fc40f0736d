//! A stand-in for an application server on the platform's wire: it warms, tips, fills up, drains, hangs and restarts.

use std::collections::{BTreeMap, VecDeque};
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use socket2::SockRef;

use crate::address::ReservedAddress;
use crate::record::{EventKind, Record, ServerEvent};

/// Connections that wait to be taken.
const BACKLOG: i32 = 1024;
/// Stacks of a connection's thread.
const THREAD_STACK_BYTES: usize = 128 << 10;

/// So many set-ups that come together are done at once.
const SETUP_BURST: u32 = 4;

/// What a server can do, and the platform's rules for cold ones.
#[derive(Clone, Copy, Debug)]
pub struct ServerProfile {
    /// Set-ups a second once it is warm.
    pub setups_per_s: f64,
    /// Most connections.
    pub max_connections: usize,
    /// The share of its rate that it starts with.
    pub cold_share: f64,
    /// It is warm after so long.
    pub warm_up_time: Duration,
    /// It falls over when sent more than so many times what it can do,
    pub overload_multiple: f64,
    /// in any time of this length.
    pub overload_window: Duration,
}

impl Default for ServerProfile {
    /// Small times, so that a story sees all of it within seconds.
    fn default() -> ServerProfile {
        ServerProfile {
            setups_per_s: 100.0,
            max_connections: 1_000,
            cold_share: 0.2,
            warm_up_time: Duration::from_secs(5),
            overload_multiple: 3.0,
            overload_window: Duration::from_millis(1_500),
        }
    }
}

impl ServerProfile {
    /// The share of its rate that it has so long after a cold start.
    pub fn capacity_fraction(&self, since: Duration) -> f64 {
        let warmed_fraction = (since.as_secs_f64() / self.warm_up_time.as_secs_f64()).min(1.0);
        self.cold_share + (1.0 - self.cold_share) * warmed_fraction
    }

    /// How long it takes from a cold start to do so many set-ups, if not a moment is lost.
    pub fn refill_time(&self, setups: usize) -> Duration {
        let step = Duration::from_millis(10);
        let (mut done, mut elapsed) = (0.0, Duration::ZERO);
        while done < setups as f64 {
            done += self.setups_per_s * self.capacity_fraction(elapsed) * step.as_secs_f64();
            elapsed += step;
        }
        elapsed
    }

    /// So many set-ups in `fall` are borne at this warmth: N + 3 x root of N + 3.
    pub fn max_setups(&self, capacity_share: f64) -> usize {
        let allowed = self.overload_multiple
            * self.setups_per_s
            * capacity_share
            * self.overload_window.as_secs_f64();
        (allowed + 3.0 * allowed.sqrt() + 3.0) as usize
    }
}

/// How it has its clients leave when it drains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainPace {
    /// All at once.
    AtOnce,
    /// One each time.
    Gradual(Duration),
}

struct State {
    /// Grows with each start and each end: a connection of another life is over.
    incarnation: u64,
    running: bool,
    started_at: Option<Instant>,
    draining: bool,
    unresponsive: bool,
    overloaded: bool,
    recent_setups: VecDeque<Instant>,
    /// No set-up is done before: they are done in turn.
    next_setup_at: Instant,
    last_connection: u64,
    streams: BTreeMap<u64, TcpStream>,
    /// Connections that were taken and hear nothing.
    ignored_streams: Vec<TcpStream>,
    /// Which client key stands on which connection.
    client_keys: BTreeMap<u64, String>,
    answered_lines: u64,
    setups: u64,
}

struct Shared {
    name: String,
    profile: ServerProfile,
    record: Record,
    state: Mutex<State>,
    changed: Condvar,
}

/// The server. It keeps its address over restarts.
pub struct Server {
    /// Where it listens while it runs.
    pub address: SocketAddr,
    reservation: ReservedAddress,
    shared: Arc<Shared>,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        // Plain values, sound at every moment.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn record_event(&self, event: ServerEvent) {
        self.record.append(EventKind::Server {
            server: self.name.clone(),
            event,
        });
    }
}

impl Server {
    /// Starts it warm.
    pub fn start(name: &str, profile: ServerProfile, record: &Record) -> Server {
        let reservation = ReservedAddress::default();
        let listener = reservation.listen(BACKLOG);
        let state = State {
            incarnation: 0,
            running: true,
            started_at: None,
            draining: false,
            unresponsive: false,
            overloaded: false,
            recent_setups: VecDeque::new(),
            next_setup_at: Instant::now(),
            last_connection: 0,
            streams: BTreeMap::new(),
            ignored_streams: Vec::new(),
            client_keys: BTreeMap::new(),
            answered_lines: 0,
            setups: 0,
        };
        let shared = Shared {
            name: name.to_owned(),
            profile,
            record: record.clone(),
            state: Mutex::new(state),
            changed: Condvar::new(),
        };
        let server = Server {
            address: reservation.address,
            reservation,
            shared: Arc::new(shared),
        };
        server
            .shared
            .record_event(ServerEvent::Started { cold: false });
        server.accept_connections(listener, 0);
        server
    }

    fn accept_connections(&self, listener: TcpListener, incarnation: u64) {
        let shared = Arc::clone(&self.shared);
        std::thread::spawn(move || {
            while let Ok((stream, _)) = listener.accept() {
                if shared.lock().incarnation != incarnation {
                    return;
                }
                let shared = Arc::clone(&shared);
                let serve = move || serve(&stream, &shared, incarnation);
                std::thread::Builder::new()
                    .stack_size(THREAD_STACK_BYTES)
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
        self.shared.record_event(ServerEvent::Killed);
        let streams = {
            let mut state = self.shared.lock();
            state.incarnation += 1;
            state.running = false;
            state.client_keys.clear();
            let ignored_streams = std::mem::take(&mut state.ignored_streams);
            std::mem::take(&mut state.streams)
                .into_values()
                .chain(ignored_streams)
                .collect::<Vec<TcpStream>>()
        };
        self.shared.changed.notify_all();
        for stream in streams {
            // Only wakes whoever reads it: the last one that lets go of it resets it.
            let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
            let _ = stream.shutdown(Shutdown::Read);
        }
        // The thread that accepts sees the new life at the next connection, and takes its listener with it.
        while TcpStream::connect(self.address).is_ok() {}
    }

    /// Starts again under the same name, cold; gives the moment of the start in Unix milliseconds.
    pub fn restart(&self) -> u64 {
        let incarnation = {
            let mut state = self.shared.lock();
            assert!(!state.running, "{} runs", self.shared.name);
            state.incarnation += 1;
            state.running = true;
            state.started_at = Some(Instant::now());
            state.recent_setups.clear();
            (state.draining, state.unresponsive, state.overloaded) = (false, false, false);
            state.incarnation
        };
        self.shared
            .record_event(ServerEvent::Started { cold: true });
        self.accept_connections(self.reservation.listen(BACKLOG), incarnation);
        self.shared.record.unix_ms(self.shared.record.now())
    }

    /// Answers nothing any more, neither on standing connections nor on new ones, or answers again.
    pub fn set_unresponsive(&self, unresponsive: bool) {
        self.shared.record_event(if unresponsive {
            ServerEvent::Unresponsive
        } else {
            ServerEvent::Recovered
        });
        self.shared.lock().unresponsive = unresponsive;
        self.shared.changed.notify_all();
    }

    /// Takes nothing new and has its clients leave.
    pub fn drain(&self, pace: DrainPace) {
        self.shared.record_event(ServerEvent::Draining);
        let incarnation = {
            let mut state = self.shared.lock();
            state.draining = true;
            state.incarnation
        };
        let shared = Arc::clone(&self.shared);
        std::thread::spawn(move || {
            loop {
                let mut state = shared.lock();
                if state.incarnation != incarnation {
                    return;
                }
                let Some((number, stream)) = state.streams.pop_first() else {
                    return;
                };
                state.client_keys.remove(&number);
                let _ = (&stream).write_all(b"MOVE\r\n");
                let _ = stream.shutdown(Shutdown::Write);
                if let DrainPace::Gradual(interval) = pace {
                    let is_running = |state: &mut State| state.incarnation == incarnation;
                    drop(
                        shared
                            .changed
                            .wait_timeout_while(state, interval, is_running),
                    );
                }
            }
        });
    }

    /// The client keys that stand here.
    pub fn client_keys(&self) -> Vec<String> {
        self.shared.lock().client_keys.values().cloned().collect()
    }

    /// How many set-ups it has taken, and how many lines it has answered.
    pub fn counts(&self) -> (u64, u64) {
        let state = self.shared.lock();
        (state.setups, state.answered_lines)
    }
}

/// What is made of an opening.
enum Admission {
    Serve { number: u64, at: Instant },
    Reject,
    Ignore,
    Stopped,
}

fn admit(shared: &Shared, key: &str, stream: &TcpStream, incarnation: u64) -> Admission {
    let mut state = shared.lock();
    let now = Instant::now();
    if state.incarnation != incarnation {
        return Admission::Stopped;
    }
    let capacity_share = state
        .started_at
        .map_or(1.0, |since| shared.profile.capacity_fraction(now - since));
    state.recent_setups.push_back(now);
    while state
        .recent_setups
        .front()
        .is_some_and(|arrived_at| now - *arrived_at > shared.profile.overload_window)
    {
        state.recent_setups.pop_front();
    }
    let (setups, limit) = (
        state.recent_setups.len(),
        shared.profile.max_setups(capacity_share),
    );
    if capacity_share < 1.0 && setups > limit && !state.overloaded {
        state.overloaded = true;
        shared.record_event(ServerEvent::Overloaded { setups, limit });
    }
    if state.unresponsive || state.overloaded {
        state.ignored_streams.extend(stream.try_clone());
        return Admission::Ignore;
    }
    if state.draining || state.streams.len() >= shared.profile.max_connections {
        return Admission::Reject;
    }
    let setup_time = Duration::from_secs_f64(1.0 / (shared.profile.setups_per_s * capacity_share));
    // A few are done at once; what comes beyond that takes its turn.
    state.next_setup_at = state
        .next_setup_at
        .max(now.checked_sub(setup_time * SETUP_BURST).unwrap_or(now))
        + setup_time;
    state.last_connection += 1;
    state.setups += 1;
    let number = state.last_connection;
    if let Ok(handle) = stream.try_clone() {
        state.streams.insert(number, handle);
    }
    state.client_keys.insert(number, key.to_owned());
    shared.record_event(ServerEvent::Accepted(key.to_owned()));
    Admission::Serve {
        number,
        at: state.next_setup_at,
    }
}

/// Hears an opening, and does what is made of it.
fn serve(mut stream: &TcpStream, shared: &Shared, incarnation: u64) {
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
    match admit(shared, key, stream, incarnation) {
        Admission::Serve { number, at } => {
            serve_client(at, number, &mut reader, shared, incarnation)
        }
        Admission::Reject => drop(stream.write_all(b"BUSY\r\n")),
        Admission::Ignore => read_and_ignore(&mut reader, shared, incarnation),
        Admission::Stopped => {}
    }
}

/// Serves a client once its set-up is done, until either ends. Set-ups are its work: they take their turn.
fn serve_client(
    at: Instant,
    number: u64,
    reader: &mut BufReader<&TcpStream>,
    shared: &Shared,
    incarnation: u64,
) {
    std::thread::sleep(at.saturating_duration_since(Instant::now()));
    if shared.lock().incarnation != incarnation {
        return;
    }
    let mut stream = *reader.get_ref();
    let receipt = format!("UP {}.{incarnation}.{number}\r\n", shared.name);
    if stream.write_all(receipt.as_bytes()).is_ok() {
        answer_lines(reader, shared, incarnation);
    }
    let mut state = shared.lock();
    if state.incarnation != incarnation {
        return;
    }
    state.streams.remove(&number);
    state.client_keys.remove(&number);
    drop(state);
    let _ = stream.shutdown(Shutdown::Both);
}

/// Answers line by line, none while it hangs, until the client ends or this life does.
fn answer_lines(reader: &mut BufReader<&TcpStream>, shared: &Shared, incarnation: u64) {
    let mut stream = *reader.get_ref();
    let mut line = String::new();
    while reader.read_line(&mut line).unwrap_or(0) > 0 {
        let state = shared.lock();
        let mut state = shared
            .changed
            .wait_while(state, |state| {
                state.unresponsive && state.incarnation == incarnation
            })
            .unwrap_or_else(PoisonError::into_inner);
        if state.incarnation != incarnation {
            return;
        }
        state.answered_lines += 1;
        drop(state);
        let answer = line.replacen("M ", "OK ", 1);
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
        line.clear();
    }
}

/// Hears whatever comes and says nothing, until the peer has enough.
fn read_and_ignore(reader: &mut impl BufRead, shared: &Shared, incarnation: u64) {
    let mut line = String::new();
    while shared.lock().incarnation == incarnation
        && reader.read_line(&mut line).is_ok_and(|count| count > 0)
    {
        line.clear();
    }
}
