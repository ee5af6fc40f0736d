//! Clients: they open through the front, speak lines, are moved, break off, come again, and record what they got.

use std::io::{self, BufRead, BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use rand::{Rng as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;

use crate::front::Front;
use crate::record::{ClientDid, Record, What};

const STACK: usize = 128 << 10;
/// A client looks up so often from what it waits for.
const SLICE: Duration = Duration::from_millis(50);
/// It goes on listening for so long after its time, so that a late answer is seen.
const LATE: Duration = Duration::from_secs(2);
/// A line unanswered for so long is told as held.
pub const MIN_ESTABLISHED: Duration = Duration::from_secs(1);

/// What a client is.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The flow's key, and its name in the record.
    pub key: String,
    /// The group it is of, if any: groups are led to one server by the list alone.
    pub group: Option<String>,
    /// Its class.
    pub class: String,
    /// Its tenant.
    pub tenant: String,
    /// How long it waits for `UP`.
    pub waits: Duration,
    /// It sends a line so often.
    pub every: Duration,
}

impl Plan {
    /// A client with the usual manners.
    pub fn new(key: &str, class: &str, tenant: &str) -> Plan {
        let (key, class, tenant) = (key.to_owned(), class.to_owned(), tenant.to_owned());
        let (waits, every) = (Duration::from_millis(2_500), Duration::from_millis(500));
        Plan {
            group: Some(key.clone()),
            key,
            class,
            tenant,
            waits,
            every,
        }
    }

    /// The same of no group.
    pub fn alone(key: &str, class: &str, tenant: &str) -> Plan {
        Plan {
            group: None,
            ..Plan::new(key, class, tenant)
        }
    }
}

/// A client that comes again until it is told to leave.
pub struct Client {
    over: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Client {
    /// Starts it.
    pub fn start(
        plan: Plan,
        front: &Front,
        record: &Record,
        ids: &Arc<AtomicU64>,
        seed: u64,
    ) -> Client {
        let over = Arc::new(AtomicBool::new(false));
        let life = ClientLoop {
            plan,
            front: front.clone(),
            record: record.clone(),
            ids: Arc::clone(ids),
            over: Arc::clone(&over),
            rng: Pcg64Mcg::seed_from_u64(seed),
            again: false,
            id: String::new(),
            process: String::new(),
        };
        let thread = std::thread::Builder::new()
            .stack_size(STACK)
            .spawn(move || life.run())
            .expect("a thread");
        Client {
            over,
            thread: Some(thread),
        }
    }

    /// Has it end its connection and come no more; does not wait for it.
    pub fn leaves(&self) {
        self.over.store(true, Ordering::Relaxed);
    }

    /// Waits until it is gone.
    pub fn ends(mut self) {
        self.leaves();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

struct ClientLoop {
    plan: Plan,
    front: Front,
    record: Record,
    ids: Arc<AtomicU64>,
    over: Arc<AtomicBool>,
    rng: Pcg64Mcg,
    again: bool,
    id: String,
    process: String,
}

/// What was heard.
enum Reply {
    Line(String),
    Nothing,
    Ended(bool),
}

/// A connection that is read line by line.
struct Lines {
    reader: BufReader<TcpStream>,
    partial: Vec<u8>,
}

impl Lines {
    fn hear(&mut self) -> Reply {
        match self.reader.read_until(b'\n', &mut self.partial) {
            Ok(0) => Reply::Ended(true),
            Ok(_) if self.partial.ends_with(b"\n") => {
                let line = String::from_utf8_lossy(&self.partial).trim_end().to_owned();
                self.partial.clear();
                Reply::Line(line)
            }
            // The end of the connection comes next.
            Ok(_) => Reply::Nothing,
            Err(error)
                if matches!(
                    error.kind(),
                    ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted
                ) =>
            {
                Reply::Nothing
            }
            Err(_) => Reply::Ended(false),
        }
    }
}

impl ClientLoop {
    fn is_over(&self) -> bool {
        self.over.load(Ordering::Relaxed)
    }

    fn note(&self, did: ClientDid) {
        let (client, id, process) = (self.plan.key.clone(), self.id.clone(), self.process.clone());
        self.record.note(What::Client {
            client,
            id,
            process,
            did,
        });
    }

    /// Comes again for as long as it is wanted.
    fn run(mut self) {
        while !self.is_over() {
            let pause = match self.front.deal(&mut self.rng) {
                Some((process, at)) => {
                    self.process = process;
                    self.id = format!("{:x}", self.ids.fetch_add(1, Ordering::Relaxed));
                    self.call(at)
                }
                None => self.about(Duration::from_millis(50)),
            };
            let until = Instant::now() + pause;
            while !self.is_over() && Instant::now() < until {
                std::thread::sleep(SLICE.min(until.saturating_duration_since(Instant::now())));
            }
        }
    }

    /// A time, and up to as much again.
    fn about(&mut self, time: Duration) -> Duration {
        time.mul_f64(self.rng.random_range(1.0..2.0))
    }

    /// One connection to its end; gives how long it waits before the next.
    fn call(&mut self, at: SocketAddr) -> Duration {
        let short = self.about(Duration::from_millis(100));
        let Ok(mut lines) = self.open(at) else {
            self.note(ClientDid::NotTaken);
            return short;
        };
        self.again = true;
        let asked = Instant::now();
        self.note(ClientDid::Asked(self.plan.waits));
        loop {
            match lines.hear() {
                Reply::Line(line) => {
                    self.note(ClientDid::Answered(line.clone()));
                    if let Some(receipt) = line.strip_prefix("UP ") {
                        let server = receipt.split('.').next().unwrap_or_default();
                        self.note(ClientDid::Stands(server.to_owned()));
                        return self.stand(&mut lines);
                    }
                    // Who is told when to come comes then, and a little later: nobody's clock is that good.
                    let told = line
                        .strip_prefix("BUSY ")
                        .and_then(|millis| millis.parse().ok());
                    let late = self.rng.random_range(1.0..1.1);
                    let told = told.map(|millis| Duration::from_millis(millis).mul_f64(late));
                    return told.unwrap_or_else(|| self.about(Duration::from_millis(200)));
                }
                Reply::Ended(in_order) => {
                    self.note(ClientDid::Ended(in_order));
                    return short;
                }
                Reply::Nothing if self.is_over() || asked.elapsed() > self.plan.waits + LATE => {
                    self.note(ClientDid::Left);
                    return short;
                }
                Reply::Nothing => {}
            }
        }
    }

    fn open(&self, at: SocketAddr) -> io::Result<Lines> {
        let mut stream = TcpStream::connect_timeout(&at, self.plan.waits)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(SLICE))?;
        let Plan {
            key,
            group,
            class,
            tenant,
            waits,
            ..
        } = &self.plan;
        let again = if self.again { ",again=1" } else { "" };
        let (wait, group) = (
            waits.as_millis(),
            group.as_ref().map(|group| format!(",g={group}")),
        );
        let group = group.unwrap_or_default();
        write!(
            stream,
            "OPEN {} {key} c={class},t={tenant},d={wait}{group}{again}\r\n",
            self.id
        )?;
        Ok(Lines {
            reader: BufReader::new(stream),
            partial: Vec::new(),
        })
    }

    /// Speaks lines until the connection ends.
    fn stand(&mut self, lines: &mut Lines) -> Duration {
        let soon = self.about(Duration::from_millis(30));
        let mut next = Instant::now() + self.plan.every.mul_f64(self.rng.random_range(0.0..1.0));
        let (mut sent, mut told) = (None::<Instant>, false);
        loop {
            if self.is_over() {
                self.note(ClientDid::Left);
                return soon;
            }
            if sent.is_none() && Instant::now() >= next {
                let written = lines.reader.get_mut().write_all(b"M 1\r\n");
                // A broken connection tells how it ended when it is read.
                sent = written.is_ok().then(Instant::now);
                next = Instant::now() + self.plan.every;
                told = false;
            }
            match lines.hear() {
                Reply::Line(line) if line == "MOVE" => {
                    self.note(ClientDid::Moved);
                    return soon;
                }
                Reply::Line(line) if line.starts_with("OK ") => {
                    if let Some(sent) = sent.take() {
                        self.note(ClientDid::Heard(sent.elapsed()));
                    }
                }
                Reply::Line(_) => {}
                Reply::Ended(in_order) => {
                    self.note(ClientDid::Ended(in_order));
                    return soon;
                }
                Reply::Nothing => {
                    if let Some(waited) = sent
                        .map(|sent| sent.elapsed())
                        .filter(|waited| !told && *waited > MIN_ESTABLISHED)
                    {
                        told = true;
                        self.note(ClientDid::Unheard(waited));
                    }
                }
            }
        }
    }
}
