//! Clients: they connect through the front, send lines, reconnect when moved or disconnected, and record what they
//! receive.

use std::io::{self, BufRead, BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use rand::{Rng as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;

use crate::front::Front;
use crate::record::{ClientEvent, EventKind, Record};

const THREAD_STACK_BYTES: usize = 128 << 10;
/// How often a client checks whether it is to stop while it waits.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// How long a client keeps reading after its timeout, so that a late answer is recorded.
const LATE_ANSWER_GRACE: Duration = Duration::from_secs(2);
/// A line without an answer for this long is recorded as unanswered.
pub const LINE_ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// The configuration of a client.
#[derive(Clone, Debug)]
pub struct ClientConfig {
    /// The client key, also its name in the record.
    pub key: String,
    /// The affinity group, if any. The endpoint list alone determines the server of a group.
    pub group: Option<String>,
    /// The request class.
    pub class: String,
    /// The tenant sent with the request.
    pub tenant: String,
    /// How long it waits for an answer; also the connect timeout.
    pub answer_timeout: Duration,
    /// Time between two lines.
    pub line_interval: Duration,
}

impl ClientConfig {
    /// A client in a group of its own, with a timeout of 2.5 s and a line every 500 ms.
    pub fn new(key: &str, class: &str, tenant: &str) -> ClientConfig {
        let (key, class, tenant) = (key.to_owned(), class.to_owned(), tenant.to_owned());
        let (answer_timeout, line_interval) =
            (Duration::from_millis(2_500), Duration::from_millis(500));
        ClientConfig {
            group: Some(key.clone()),
            key,
            class,
            tenant,
            answer_timeout,
            line_interval,
        }
    }

    /// As [`ClientConfig::new`], but without a group.
    pub fn without_group(key: &str, class: &str, tenant: &str) -> ClientConfig {
        ClientConfig {
            group: None,
            ..ClientConfig::new(key, class, tenant)
        }
    }
}

/// A client that reconnects until it is stopped.
pub struct Client {
    stopped: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Client {
    /// Starts the client on a thread of its own. `ids` supplies the request ids, `seed` its random choices.
    pub fn start(
        config: ClientConfig,
        front: &Front,
        record: &Record,
        ids: &Arc<AtomicU64>,
        seed: u64,
    ) -> Client {
        let stopped = Arc::new(AtomicBool::new(false));
        let client_loop = ClientLoop {
            config,
            front: front.clone(),
            record: record.clone(),
            ids: Arc::clone(ids),
            stopped: Arc::clone(&stopped),
            rng: Pcg64Mcg::seed_from_u64(seed),
            has_connected: false,
            id: String::new(),
            process: String::new(),
        };
        let thread = std::thread::Builder::new()
            .stack_size(THREAD_STACK_BYTES)
            .spawn(move || client_loop.run())
            .expect("spawn a client thread");
        Client {
            stopped,
            thread: Some(thread),
        }
    }

    /// Makes it close its connection and not reconnect; does not wait for that.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
    }

    /// Stops the client and waits for its thread.
    pub fn join(mut self) {
        self.stop();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

struct ClientLoop {
    config: ClientConfig,
    front: Front,
    record: Record,
    ids: Arc<AtomicU64>,
    stopped: Arc<AtomicBool>,
    rng: Pcg64Mcg,
    has_connected: bool,
    id: String,
    process: String,
}

/// The result of one read with a timeout.
enum Reply {
    Line(String),
    Timeout,
    Closed(bool),
}

/// Reads a connection line by line and keeps a partial line across timeouts.
struct LineReader {
    reader: BufReader<TcpStream>,
    partial: Vec<u8>,
}

impl LineReader {
    fn read_line(&mut self) -> Reply {
        match self.reader.read_until(b'\n', &mut self.partial) {
            Ok(0) => Reply::Closed(true),
            Ok(_) if self.partial.ends_with(b"\n") => {
                let line = String::from_utf8_lossy(&self.partial).trim_end().to_owned();
                self.partial.clear();
                Reply::Line(line)
            }
            // A partial line at the end of the stream: the next read reports the end.
            Ok(_) => Reply::Timeout,
            Err(error)
                if matches!(
                    error.kind(),
                    ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted
                ) =>
            {
                Reply::Timeout
            }
            Err(_) => Reply::Closed(false),
        }
    }
}

impl ClientLoop {
    fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Relaxed)
    }

    fn record_event(&self, event: ClientEvent) {
        let (client, id, process) = (
            self.config.key.clone(),
            self.id.clone(),
            self.process.clone(),
        );
        self.record.append(EventKind::Client {
            client,
            id,
            process,
            event,
        });
    }

    /// Connects again and again until the client is stopped.
    fn run(mut self) {
        while !self.is_stopped() {
            let delay = match self.front.pick(&mut self.rng) {
                Some((process, address)) => {
                    self.process = process;
                    self.id = format!("{:x}", self.ids.fetch_add(1, Ordering::Relaxed));
                    self.run_connection(address)
                }
                None => self.jittered(Duration::from_millis(50)),
            };
            let deadline = Instant::now() + delay;
            while !self.is_stopped() && Instant::now() < deadline {
                std::thread::sleep(
                    POLL_INTERVAL.min(deadline.saturating_duration_since(Instant::now())),
                );
            }
        }
    }

    /// A random duration between the given time and twice that.
    fn jittered(&mut self, time: Duration) -> Duration {
        time.mul_f64(self.rng.random_range(1.0..2.0))
    }

    /// Runs one connection until it ends; returns the delay before the next.
    fn run_connection(&mut self, address: SocketAddr) -> Duration {
        let retry_delay = self.jittered(Duration::from_millis(100));
        let Ok(mut lines) = self.open(address) else {
            self.record_event(ClientEvent::ConnectFailed);
            return retry_delay;
        };
        self.has_connected = true;
        let sent_at = Instant::now();
        self.record_event(ClientEvent::RequestSent(self.config.answer_timeout));
        loop {
            match lines.read_line() {
                Reply::Line(line) => {
                    self.record_event(ClientEvent::Answered(line.clone()));
                    if let Some(receipt) = line.strip_prefix("UP ") {
                        let server = receipt.split('.').next().unwrap_or_default();
                        self.record_event(ClientEvent::Established(server.to_owned()));
                        return self.send_lines(&mut lines);
                    }
                    // A retry time is followed with up to 10 % more: no real client is exactly on time.
                    let retry_after = line
                        .strip_prefix("BUSY ")
                        .and_then(|millis| millis.parse().ok());
                    let jitter = self.rng.random_range(1.0..1.1);
                    let retry_after =
                        retry_after.map(|millis| Duration::from_millis(millis).mul_f64(jitter));
                    return retry_after
                        .unwrap_or_else(|| self.jittered(Duration::from_millis(200)));
                }
                Reply::Closed(is_clean) => {
                    self.record_event(ClientEvent::Disconnected(is_clean));
                    return retry_delay;
                }
                Reply::Timeout
                    if self.is_stopped()
                        || sent_at.elapsed() > self.config.answer_timeout + LATE_ANSWER_GRACE =>
                {
                    self.record_event(ClientEvent::Closed);
                    return retry_delay;
                }
                Reply::Timeout => {}
            }
        }
    }

    fn open(&self, address: SocketAddr) -> io::Result<LineReader> {
        let mut stream = TcpStream::connect_timeout(&address, self.config.answer_timeout)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(POLL_INTERVAL))?;
        let ClientConfig {
            key,
            group,
            class,
            tenant,
            answer_timeout,
            ..
        } = &self.config;
        let again_field = if self.has_connected { ",again=1" } else { "" };
        let (wait, group) = (
            answer_timeout.as_millis(),
            group.as_ref().map(|group| format!(",g={group}")),
        );
        let group = group.unwrap_or_default();
        write!(
            stream,
            "OPEN {} {key} c={class},t={tenant},d={wait}{group}{again_field}\r\n",
            self.id
        )?;
        Ok(LineReader {
            reader: BufReader::new(stream),
            partial: Vec::new(),
        })
    }

    /// Sends lines until the connection ends; returns the delay before the next connection.
    fn send_lines(&mut self, lines: &mut LineReader) -> Duration {
        let reconnect_delay = self.jittered(Duration::from_millis(30));
        let mut next_line_at = Instant::now()
            + self
                .config
                .line_interval
                .mul_f64(self.rng.random_range(0.0..1.0));
        let (mut line_sent_at, mut reported) = (None::<Instant>, false);
        loop {
            if self.is_stopped() {
                self.record_event(ClientEvent::Closed);
                return reconnect_delay;
            }
            if line_sent_at.is_none() && Instant::now() >= next_line_at {
                let written = lines.reader.get_mut().write_all(b"M 1\r\n");
                // A failed write is ignored: the next read reports how the connection ended.
                line_sent_at = written.is_ok().then(Instant::now);
                next_line_at = Instant::now() + self.config.line_interval;
                reported = false;
            }
            match lines.read_line() {
                Reply::Line(line) if line == "MOVE" => {
                    self.record_event(ClientEvent::MoveReceived);
                    return reconnect_delay;
                }
                Reply::Line(line) if line.starts_with("OK ") => {
                    if let Some(line_sent_at) = line_sent_at.take() {
                        self.record_event(ClientEvent::LineAnswered(line_sent_at.elapsed()));
                    }
                }
                Reply::Line(_) => {}
                Reply::Closed(is_clean) => {
                    self.record_event(ClientEvent::Disconnected(is_clean));
                    return reconnect_delay;
                }
                Reply::Timeout => {
                    if let Some(waited) = line_sent_at
                        .map(|line_sent_at| line_sent_at.elapsed())
                        .filter(|waited| !reported && *waited > LINE_ANSWER_TIMEOUT)
                    {
                        reported = true;
                        self.record_event(ClientEvent::LineUnanswered(waited));
                    }
                }
            }
        }
    }
}
