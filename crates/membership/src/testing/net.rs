//! What happens to datagrams on their way, and a link that it happens to.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, Sender, unbounded};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::Millis;
use crate::driver::{Link, Waker};

/// What happens to datagrams on their way.
#[derive(Clone, Debug)]
pub struct Rules {
    /// So many of a thousand are lost.
    pub lost: u32,
    /// So many of a thousand come twice.
    pub doubled: u32,
    /// The shortest and the longest time on the way.
    pub delay: (Millis, Millis),
    /// From the first address none comes to the second.
    pub cut: BTreeSet<(SocketAddr, SocketAddr)>,
    rng: Pcg64Mcg,
}

impl Rules {
    /// All come, after 0 to 2 ms, until the fields are set otherwise.
    pub fn new(seed: u64) -> Self {
        let rng = Pcg64Mcg::seed_from_u64(seed);
        Self {
            lost: 0,
            doubled: 0,
            delay: (0, 2),
            cut: BTreeSet::new(),
            rng,
        }
    }

    /// Cuts all ways between two groups.
    pub fn part(&mut self, one: &[SocketAddr], other: &[SocketAddr]) {
        for a in one {
            self.cut
                .extend(other.iter().flat_map(|b| [(*a, *b), (*b, *a)]));
        }
    }

    /// After which times copies of a datagram come.
    pub fn fate(&mut self, from: SocketAddr, to: SocketAddr) -> Vec<Millis> {
        if self.cut.contains(&(from, to)) || self.rng.random_range(0..1_000) < self.lost {
            return Vec::new();
        }
        let copies = if self.rng.random_range(0..1_000) < self.doubled {
            2
        } else {
            1
        };
        (0..copies)
            .map(|_| self.rng.random_range(self.delay.0..=self.delay.1))
            .collect()
    }
}

struct Letter {
    due: Instant,
    from: SocketAddr,
    bytes: Vec<u8>,
}

struct Inner {
    rules: Rules,
    ports: BTreeMap<SocketAddr, Sender<Option<Letter>>>,
}

/// A net in memory that threads share.
#[derive(Clone)]
pub struct Net(Arc<Mutex<Inner>>);

impl Net {
    /// A net with these rules.
    pub fn new(rules: Rules) -> Self {
        Self(Arc::new(Mutex::new(Inner {
            rules,
            ports: BTreeMap::new(),
        })))
    }

    /// Changes the rules for what is sent from now on.
    pub fn change(&self, change: impl FnOnce(&mut Rules)) {
        change(&mut self.lock().rules);
    }

    /// A link at this address. One that was there before hears nothing any more.
    pub fn port(&self, address: SocketAddr) -> Port {
        let (sender, letters) = unbounded();
        self.lock().ports.insert(address, sender.clone());
        Port {
            net: self.clone(),
            address,
            sender,
            letters,
            on_the_way: Vec::new(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A [`Link`] on a [`Net`].
pub struct Port {
    net: Net,
    address: SocketAddr,
    sender: Sender<Option<Letter>>,
    letters: Receiver<Option<Letter>>,
    on_the_way: Vec<Letter>,
}

impl Port {
    fn due(&mut self, now: Instant) -> Option<Letter> {
        let (at, first) = self
            .on_the_way
            .iter()
            .enumerate()
            .min_by_key(|(_, letter)| letter.due)?;
        (first.due <= now).then(|| self.on_the_way.remove(at))
    }
}

impl Link for Port {
    fn send(&mut self, to: SocketAddr, bytes: &[u8]) -> io::Result<()> {
        let mut inner = self.net.lock();
        let fate = inner.rules.fate(self.address, to);
        let Some(port) = inner.ports.get(&to) else {
            return Ok(());
        };
        for delay in fate {
            let due = Instant::now() + Duration::from_millis(delay);
            // Fails when the receiver is gone: then the datagram is lost like any other.
            drop(port.send(Some(Letter {
                due,
                from: self.address,
                bytes: bytes.to_vec(),
            })));
        }
        Ok(())
    }

    fn receive(
        &mut self,
        buffer: &mut [u8],
        wait: Duration,
    ) -> io::Result<Option<(usize, SocketAddr)>> {
        let end = Instant::now() + wait;
        loop {
            if let Some(letter) = self.due(Instant::now()) {
                let bytes = letter.bytes.len().min(buffer.len());
                buffer[..bytes].copy_from_slice(&letter.bytes[..bytes]);
                return Ok(Some((bytes, letter.from)));
            }
            let next = self.on_the_way.iter().map(|letter| letter.due).min();
            match self
                .letters
                .recv_deadline(next.map_or(end, |next| next.min(end)))
            {
                Ok(Some(letter)) => self.on_the_way.push(letter),
                Ok(None) => return Ok(None),
                Err(_) if Instant::now() >= end => return Ok(None),
                Err(_) => {}
            }
        }
    }

    fn waker(&self) -> io::Result<Waker> {
        let sender = self.sender.clone();
        Ok(Box::new(move || drop(sender.send(None))))
    }
}
