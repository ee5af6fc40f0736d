//! The front that spreads clients over the processes: it takes one in at its PONG, and notices a death late.

use std::collections::BTreeMap;
use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use rand::Rng as _;
use rand_pcg::Pcg64Mcg;

/// It asks each process so often.
const EVERY: Duration = Duration::from_millis(50);
/// Whoever has not answered by then has not answered.
const ANSWER: Duration = Duration::from_millis(1_000);

struct FrontDoor {
    at: SocketAddr,
    taken_in: bool,
}

struct Shared {
    doors: Mutex<BTreeMap<String, FrontDoor>>,
    /// A process that has not answered for so long is taken out.
    notice: Duration,
    over: AtomicBool,
}

impl Shared {
    fn doors(&self) -> MutexGuard<'_, BTreeMap<String, FrontDoor>> {
        // Plain values, sound at every moment.
        self.doors.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The front.
#[derive(Clone)]
pub struct Front(Arc<Shared>);

impl Front {
    /// A front that takes a process out once it has not answered for `notice`.
    pub fn new(notice: Duration) -> Front {
        Front(Arc::new(Shared {
            doors: Mutex::default(),
            notice,
            over: AtomicBool::new(false),
        }))
    }

    /// Asks this process from now on.
    pub fn watches(&self, process: &str, at: SocketAddr) {
        self.0.doors().insert(
            process.to_owned(),
            FrontDoor {
                at,
                taken_in: false,
            },
        );
        let (shared, process) = (Arc::clone(&self.0), process.to_owned());
        std::thread::spawn(move || {
            let mut heard = None;
            while !shared.over.load(Ordering::Relaxed) {
                if answers(at) {
                    heard = Some(Instant::now());
                }
                let taken_in = heard.is_some_and(|heard| heard.elapsed() <= shared.notice);
                if let Some(door) = shared.doors().get_mut(&process) {
                    door.taken_in = taken_in;
                }
                std::thread::sleep(EVERY);
            }
        });
    }

    /// One of those taken in, by chance; nothing where there is none.
    pub fn deal(&self, chance: &mut Pcg64Mcg) -> Option<(String, SocketAddr)> {
        let doors = self.0.doors();
        let open: Vec<_> = doors.iter().filter(|(_, door)| door.taken_in).collect();
        if open.is_empty() {
            return None;
        }
        let (name, door) = open[chance.random_range(0..open.len())];
        Some((name.clone(), door.at))
    }

    /// Those taken in.
    pub fn open(&self) -> Vec<String> {
        let doors = self.0.doors();
        doors
            .iter()
            .filter(|(_, door)| door.taken_in)
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// Asks nobody any more.
    pub fn ends(&self) {
        self.0.over.store(true, Ordering::Relaxed);
    }
}

fn answers(at: SocketAddr) -> bool {
    let ask = || {
        let mut stream = TcpStream::connect_timeout(&at, ANSWER)?;
        stream.set_read_timeout(Some(ANSWER))?;
        stream.write_all(b"PING\r\n")?;
        let mut answer = [0; 4];
        stream.read_exact(&mut answer)?;
        std::io::Result::Ok(&answer == b"PONG")
    };
    ask().unwrap_or(false)
}
