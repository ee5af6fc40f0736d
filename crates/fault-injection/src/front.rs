//! The front that distributes clients over the processes: it adds a process when it answers PONG and removes a dead one
//! after a delay.

use std::collections::BTreeMap;
use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use rand::Rng as _;
use rand_pcg::Pcg64Mcg;

/// Time between two probes of a process.
const PROBE_INTERVAL: Duration = Duration::from_millis(50);
/// A probe without an answer by then has failed.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1_000);

struct FrontTarget {
    address: SocketAddr,
    is_available: bool,
}

struct Shared {
    targets: Mutex<BTreeMap<String, FrontTarget>>,
    /// A process that has answered no probe for this long is unavailable.
    removal_delay: Duration,
    stopped: AtomicBool,
}

impl Shared {
    fn targets(&self) -> MutexGuard<'_, BTreeMap<String, FrontTarget>> {
        // The targets are valid even if a thread panicked while holding the lock.
        self.targets.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The front. Clones share the same targets.
#[derive(Clone)]
pub struct Front(Arc<Shared>);

impl Front {
    /// A front without processes. A process is unavailable once it has answered no probe for `removal_delay`.
    pub fn new(removal_delay: Duration) -> Front {
        Front(Arc::new(Shared {
            targets: Mutex::default(),
            removal_delay,
            stopped: AtomicBool::new(false),
        }))
    }

    /// Adds a process and probes it from now on.
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

    /// A random available process; `None` if there is none.
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

    /// The names of the available processes.
    pub fn available(&self) -> Vec<String> {
        let targets = self.0.targets();
        targets
            .iter()
            .filter(|(_, target)| target.is_available)
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// Stops probing.
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
