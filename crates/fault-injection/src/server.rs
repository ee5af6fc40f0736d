//! A stand-in for an application server that warms up, overloads, fills up, drains, stops answering and restarts.

use std::collections::{BTreeMap, VecDeque};
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use socket2::SockRef;

use crate::address::ReservedAddress;
use crate::record::{EventKind, Record, ServerEvent};

/// Length of the accept queue.
const BACKLOG: i32 = 1024;
/// Stack size of a connection's thread.
const THREAD_STACK_BYTES: usize = 128 << 10;

/// A server withstands N + m * (sqrt(N) + 1) setups where its rate allows N, with this margin m for chance.
pub(crate) const OVERLOAD_MARGIN: f64 = 3.0;
/// Number of simultaneous setups that are done without waiting.
const SETUP_BURST: u32 = 4;

/// The capacity of a server, and the platform's limits while it warms up.
#[derive(Clone, Copy, Debug)]
pub struct ServerProfile {
    /// Connection setups per second once it is warm.
    pub setups_per_s: f64,
    /// Maximum number of connections.
    pub max_connections: usize,
    /// The share of its setup rate that it has right after a cold start.
    pub cold_share: f64,
    /// Time from a cold start until it is warm.
    pub warm_up_time: Duration,
    /// It fails if it receives more than this multiple of its current setup rate
    pub overload_multiple: f64,
    /// within any window of this length.
    pub overload_window: Duration,
}

impl Default for ServerProfile {
    /// Short times, so that a test covers all of them within seconds.
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
    /// The share of its setup rate that it has this long after a cold start.
    pub fn capacity_fraction(&self, since: Duration) -> f64 {
        let warmed_fraction = (since.as_secs_f64() / self.warm_up_time.as_secs_f64()).min(1.0);
        self.cold_share + (1.0 - self.cold_share) * warmed_fraction
    }

    /// The time from a cold start until this number of setups can be done without idling, in steps of 10 ms.
    pub fn refill_time(&self, setups: usize) -> Duration {
        let step = Duration::from_millis(10);
        let (mut done, mut elapsed) = (0.0, Duration::ZERO);
        while done < setups as f64 {
            done += self.setups_per_s * self.capacity_fraction(elapsed) * step.as_secs_f64();
            elapsed += step;
        }
        elapsed
    }

    /// The most setups that it withstands in `overload_window` at this share of its rate: N + 3 * sqrt(N) + 3.
    pub fn max_setups(&self, capacity_share: f64) -> usize {
        let allowed = self.overload_multiple
            * self.setups_per_s
            * capacity_share
            * self.overload_window.as_secs_f64();
        (allowed + OVERLOAD_MARGIN * (allowed.sqrt() + 1.0)) as usize
    }
}

/// How a draining server sends its clients `MOVE`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainPace {
    /// To all clients at once.
    AtOnce,
    /// To one client per interval.
    Gradual(Duration),
}

struct State {
    /// Incremented on each start and kill: connections of an earlier incarnation are closed.
    incarnation: u64,
    running: bool,
    started_at: Option<Instant>,
    draining: bool,
    unresponsive: bool,
    overloaded: bool,
    recent_setups: VecDeque<Instant>,
    /// The next setup completes at this time at the earliest: setups are done one after another.
    next_setup_at: Instant,
    last_connection: u64,
    streams: BTreeMap<u64, TcpStream>,
    /// Connections that were accepted but get no answer.
    ignored_streams: Vec<TcpStream>,
    /// The client key of each connection.
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

/// The server. It keeps its address across restarts.
pub struct Server {
    /// The address it listens on while it runs.
    pub address: SocketAddr,
    reservation: ReservedAddress,
    shared: Arc<Shared>,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        // The state is valid even if a thread panicked while holding the lock.
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
    /// Starts the server warm.
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
                    .expect("spawn a connection thread");
            }
        });
    }

    /// The name in the record and in discovery.
    pub fn name(&self) -> &str {
        &self.shared.name
    }

    /// Stops as a killed process does: its connections are reset, new ones are refused.
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
            // The shutdown only wakes the reader; dropping the last handle resets the connection.
            let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
            let _ = stream.shutdown(Shutdown::Read);
        }
        // The accepting thread notices the new incarnation at its next connection and then drops the listener.
        while TcpStream::connect(self.address).is_ok() {}
    }

    /// Starts it again, cold, under the same name; returns the start time in Unix milliseconds. Panics if it is
    /// running.
    pub fn restart(&self) -> u64 {
        let incarnation = {
            let mut state = self.shared.lock();
            assert!(!state.running, "{} is already running", self.shared.name);
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

    /// Stops answering on existing and new connections, or answers again.
    pub fn set_unresponsive(&self, unresponsive: bool) {
        self.shared.record_event(if unresponsive {
            ServerEvent::Unresponsive
        } else {
            ServerEvent::Recovered
        });
        self.shared.lock().unresponsive = unresponsive;
        self.shared.changed.notify_all();
    }

    /// Rejects new clients, sends `MOVE` to existing ones and closes its side of their connections.
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

    /// The client keys of the current connections.
    pub fn client_keys(&self) -> Vec<String> {
        self.shared.lock().client_keys.values().cloned().collect()
    }

    /// The number of setups accepted and of lines answered since the first start.
    pub fn counts(&self) -> (u64, u64) {
        let state = self.shared.lock();
        (state.setups, state.answered_lines)
    }
}

/// What is done with an opening line.
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
    // A burst is done at once; setups beyond it are queued.
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

/// Reads the opening line of a connection and admits or rejects it.
fn serve(mut stream: &TcpStream, shared: &Shared, incarnation: u64) {
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    if reader.read_line(&mut line).unwrap_or(0) == 0 || !line.ends_with("\r\n") {
        return;
    }
    let fields: Vec<&str> = line.trim_end().split(' ').collect();
    let ["OPEN", _, key, _] = fields[..] else {
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

/// Serves a client once its queued setup is done, until the client or this incarnation ends.
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

/// Answers each line, none while unresponsive, until the client or this incarnation ends.
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

/// Reads and answers nothing until the client closes the connection or this incarnation ends.
fn read_and_ignore(reader: &mut impl BufRead, shared: &Shared, incarnation: u64) {
    let mut line = String::new();
    while shared.lock().incarnation == incarnation
        && reader.read_line(&mut line).is_ok_and(|count| count > 0)
    {
        line.clear();
    }
}
