//! Floods: bad clients on many threads, sound clients beside them, and what both cost the program under test.

use std::fmt;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Threads on which sound clients connect.
const SOUND_THREADS: usize = 8;
/// Pause of a sound thread between two clients.
const SOUND_CLIENT_INTERVAL: Duration = Duration::from_millis(50);
/// Longest wait of a bad client for bytes.
const BAD_CLIENT_READ_TIMEOUT: Duration = Duration::from_secs(3);

/// A flood of one address of a process.
pub struct Flood<'a> {
    /// Name in the report.
    pub name: &'a str,
    /// The process under test.
    pub pid: u32,
    /// The address that is flooded.
    pub address: SocketAddr,
    /// Bad clients at a time, each on a thread of its own.
    pub bad_clients: usize,
    /// Time for which bad clients connect.
    pub duration: Duration,
}

/// What sound clients were answered.
#[derive(Debug, Default)]
pub struct SoundAnswers {
    /// Number of expected answers.
    pub served: usize,
    /// Each other answer, with the time that it took.
    pub other: Vec<String>,
    /// Longest time from the last byte of a request to its answer.
    pub slowest: Duration,
    /// Longest time until a connection was accepted, where the protocol tells. A full accept queue of the system costs a
    /// client a second before its SYN is sent again.
    pub slowest_accept: Duration,
}

/// What a flood cost.
#[derive(Debug)]
pub struct FloodReport {
    name: String,
    /// Connections of bad clients.
    pub bad_connections: usize,
    /// Resident memory before the flood, in KB.
    pub memory_before_kb: usize,
    /// Highest resident memory since the start of the process, in KB.
    pub memory_peak_kb: usize,
    /// The answers to the sound clients.
    pub sound: SoundAnswers,
}

impl SoundAnswers {
    /// Records the answer to a request.
    pub fn record(&mut self, answer: Option<String>, expected_start: &str, took: Duration) {
        self.slowest = self.slowest.max(took);
        match answer {
            Some(answer) if answer.starts_with(expected_start) => self.served += 1,
            answer => self.other.push(format!("{answer:?} after {took:?}")),
        }
    }

    fn add(&mut self, others: SoundAnswers) {
        self.served += others.served;
        self.other.extend(others.other);
        self.slowest = self.slowest.max(others.slowest);
        self.slowest_accept = self.slowest_accept.max(others.slowest_accept);
    }
}

impl fmt::Display for FloodReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}: {} bad connections; memory {} KB before, {} KB at the peak; sound clients served {}, not served {}, \
             slowest answer {:?}, slowest accept {:?}",
            self.name,
            self.bad_connections,
            self.memory_before_kb,
            self.memory_peak_kb,
            self.sound.served,
            self.sound.other.len(),
            self.sound.slowest,
            self.sound.slowest_accept
        )
    }
}

impl Flood<'_> {
    /// Runs the flood. `bad_client` makes one bad connection, and `sound_client` one sound one; both get its number. Floods
    /// of one process run one after another, since they would delay each other's clients.
    pub fn run(
        &self,
        bad_client: impl Fn(&mut TcpStream, usize) + Sync,
        sound_client: impl Fn(usize, &mut SoundAnswers) + Sync,
    ) -> FloodReport {
        static ONE_FLOOD: Mutex<()> = Mutex::new(());
        let _one_flood = ONE_FLOOD.lock().unwrap_or_else(PoisonError::into_inner);
        let memory_before_kb = memory_kb(self.pid, "VmRSS");
        let (has_ended, bad_connections) = (AtomicBool::new(false), AtomicUsize::new(0));
        let mut sound = SoundAnswers::default();
        std::thread::scope(|scope| {
            for _ in 0..self.bad_clients {
                scope.spawn(|| self.run_bad(&bad_client, &bad_connections, &has_ended));
            }
            let (sound_client, has_ended) = (&sound_client, &has_ended);
            let threads: Vec<_> = (0..SOUND_THREADS)
                .map(|first| scope.spawn(move || run_sound(first, sound_client, has_ended)))
                .collect();
            std::thread::sleep(self.duration);
            has_ended.store(true, Ordering::Relaxed);
            for thread in threads {
                sound.add(thread.join().expect("a sound client does not panic"));
            }
        });
        FloodReport {
            name: self.name.to_owned(),
            bad_connections: bad_connections.load(Ordering::Relaxed),
            memory_before_kb,
            memory_peak_kb: memory_kb(self.pid, "VmHWM"),
            sound,
        }
    }

    fn run_bad(
        &self,
        bad_client: &impl Fn(&mut TcpStream, usize),
        connections: &AtomicUsize,
        has_ended: &AtomicBool,
    ) {
        while !has_ended.load(Ordering::Relaxed) {
            let Ok(mut stream) = TcpStream::connect(self.address) else {
                continue;
            };
            // Fails only on a socket that the peer has reset.
            let _ = stream.set_read_timeout(Some(BAD_CLIENT_READ_TIMEOUT));
            bad_client(&mut stream, connections.fetch_add(1, Ordering::Relaxed));
        }
    }
}

/// Connects sound clients one after another until the flood has ended.
fn run_sound(
    first: usize,
    sound_client: &impl Fn(usize, &mut SoundAnswers),
    has_ended: &AtomicBool,
) -> SoundAnswers {
    let mut answers = SoundAnswers::default();
    let mut number = first;
    while !has_ended.load(Ordering::Relaxed) {
        sound_client(number, &mut answers);
        number += SOUND_THREADS;
        std::thread::sleep(SOUND_CLIENT_INTERVAL);
    }
    answers
}

/// Repeats a message and reads what comes back, without a pause, until the duration is over or the connection ends.
pub fn send_without_pause(stream: &mut TcpStream, message: &str, duration: Duration) {
    use std::io::{Read, Write};
    let started_at = Instant::now();
    let messages = message.repeat(100);
    let mut answers = vec![0; 65_536];
    while started_at.elapsed() < duration
        && stream.write_all(messages.as_bytes()).is_ok()
        && stream.read(&mut answers).is_ok_and(|count| count > 0)
    {}
}

/// A field of `/proc/PID/status`, in KB.
///
/// # Panics
///
/// If the process does not run.
pub fn memory_kb(pid: u32, field: &str) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).expect("the process runs");
    let line = status
        .lines()
        .find(|line| line.starts_with(field))
        .expect("the field is known");
    let number = line.split_whitespace().nth(1).expect("a field has a value");
    number.parse().expect("the value is a number")
}
