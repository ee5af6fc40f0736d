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
const PROBE_INTERVAL: Duration = Duration::from_millis(50);
/// Whoever has not answered by then has not answered.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1_000);

struct FrontTarget {
    address: SocketAddr,
    is_available: bool,
}

struct Shared {
    targets: Mutex<BTreeMap<String, FrontTarget>>,
    /// A process that has not answered for so long is taken out.
    removal_delay: Duration,
    stopped: AtomicBool,
}

impl Shared {
    fn targets(&self) -> MutexGuard<'_, BTreeMap<String, FrontTarget>> {
        // Plain values, sound at every moment.
        self.targets.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The front.
#[derive(Clone)]
pub struct Front(Arc<Shared>);

impl Front {
    /// A front that takes a process out once it has not answered for `notice`.
    pub fn new(removal_delay: Duration) -> Front {
        Front(Arc::new(Shared {
            targets: Mutex::default(),
            removal_delay,
            stopped: AtomicBool::new(false),
        }))
    }

    /// Asks this process from now on.
    pub fn add_process(&self, process: &str, address: SocketAddr) {
        self.0.targets().insert(
            process.to_owned(),
            FrontTarget {
                address,
                is_available: false,
            },
        );
        let (shared, process) = (Arc::clone(&self.0), process.to_owned());
        std::thread::spawn(move || {
            let mut answered_at = None;
            while !shared.stopped.load(Ordering::Relaxed) {
                if answers_ping(address) {
                    answered_at = Some(Instant::now());
                }
                let is_available = answered_at
                    .is_some_and(|answered_at| answered_at.elapsed() <= shared.removal_delay);
                if let Some(target) = shared.targets().get_mut(&process) {
                    target.is_available = is_available;
                }
                std::thread::sleep(PROBE_INTERVAL);
            }
        });
    }

    /// One of those taken in, by chance; nothing where there is none.
    pub fn pick(&self, rng: &mut Pcg64Mcg) -> Option<(String, SocketAddr)> {
        let targets = self.0.targets();
        let available: Vec<_> = targets
            .iter()
            .filter(|(_, target)| target.is_available)
            .collect();
        if available.is_empty() {
            return None;
        }
        let (name, target) = available[rng.random_range(0..available.len())];
        Some((name.clone(), target.address))
    }

    /// Those taken in.
    pub fn available(&self) -> Vec<String> {
        let targets = self.0.targets();
        targets
            .iter()
            .filter(|(_, target)| target.is_available)
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// Asks nobody any more.
    pub fn stop(&self) {
        self.0.stopped.store(true, Ordering::Relaxed);
    }
}

fn answers_ping(address: SocketAddr) -> bool {
    let probe = || {
        let mut stream = TcpStream::connect_timeout(&address, PROBE_TIMEOUT)?;
        stream.set_read_timeout(Some(PROBE_TIMEOUT))?;
        stream.write_all(b"PING\r\n")?;
        let mut answer = [0; 4];
        stream.read_exact(&mut answer)?;
        std::io::Result::Ok(&answer == b"PONG")
    };
    probe().unwrap_or(false)
}
