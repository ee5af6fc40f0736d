//! Simulated network conditions, and an in-memory link that is subject to them.

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

/// Loss, duplication, delay and partitions of a simulated network.
#[derive(Clone, Debug)]
pub struct NetworkConditions {
    /// Lost datagrams per thousand.
    pub loss_per_mille: u32,
    /// Duplicated datagrams per thousand.
    pub duplicates_per_mille: u32,
    /// Minimum and maximum delay, in milliseconds.
    pub delay_ms: (Millis, Millis),
    /// Datagrams from the first address to the second are lost.
    pub cut_links: BTreeSet<(SocketAddr, SocketAddr)>,
    rng: Pcg64Mcg,
}

impl NetworkConditions {
    /// A network without loss or duplication, and with delays of 0 to 2 ms.
    pub fn new(seed: u64) -> Self {
        let rng = Pcg64Mcg::seed_from_u64(seed);
        Self {
            loss_per_mille: 0,
            duplicates_per_mille: 0,
            delay_ms: (0, 2),
            cut_links: BTreeSet::new(),
            rng,
        }
    }

    /// Cuts all links between two groups, in both directions.
    pub fn partition(&mut self, left: &[SocketAddr], right: &[SocketAddr]) {
        for a in left {
            self.cut_links
                .extend(right.iter().flat_map(|b| [(*a, *b), (*b, *a)]));
        }
    }

    /// Delays of the delivered copies of a datagram; empty if it is lost.
    pub fn delivery_delays(&mut self, from: SocketAddr, to: SocketAddr) -> Vec<Millis> {
        if self.cut_links.contains(&(from, to))
            || self.rng.random_range(0..1_000) < self.loss_per_mille
        {
            return Vec::new();
        }
        let copies = if self.rng.random_range(0..1_000) < self.duplicates_per_mille {
            2
        } else {
            1
        };
        (0..copies)
            .map(|_| self.rng.random_range(self.delay_ms.0..=self.delay_ms.1))
            .collect()
    }
}

struct QueuedDatagram {
    due_at: Instant,
    from: SocketAddr,
    bytes: Vec<u8>,
}

struct Inner {
    conditions: NetworkConditions,
    links: BTreeMap<SocketAddr, Sender<Option<QueuedDatagram>>>,
}

/// An in-memory network shared by threads.
#[derive(Clone)]
pub struct MemoryNetwork(Arc<Mutex<Inner>>);

impl MemoryNetwork {
    /// Creates a network with these conditions.
    pub fn new(conditions: NetworkConditions) -> Self {
        Self(Arc::new(Mutex::new(Inner {
            conditions,
            links: BTreeMap::new(),
        })))
    }

    /// Changes the conditions for datagrams sent from now on.
    pub fn update_conditions(&self, change: impl FnOnce(&mut NetworkConditions)) {
        change(&mut self.lock().conditions);
    }

    /// A link at this address. It replaces a previous link there, which receives nothing further.
    pub fn link(&self, address: SocketAddr) -> MemoryLink {
        let (sender, datagrams) = unbounded();
        self.lock().links.insert(address, sender.clone());
        MemoryLink {
            network: self.clone(),
            address,
            sender,
            datagrams,
            in_flight: Vec::new(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A [`Link`] on a [`MemoryNetwork`].
pub struct MemoryLink {
    network: MemoryNetwork,
    address: SocketAddr,
    sender: Sender<Option<QueuedDatagram>>,
    datagrams: Receiver<Option<QueuedDatagram>>,
    in_flight: Vec<QueuedDatagram>,
}

impl MemoryLink {
    fn take_due(&mut self, now: Instant) -> Option<QueuedDatagram> {
        let (index, first) = self
            .in_flight
            .iter()
            .enumerate()
            .min_by_key(|(_, datagram)| datagram.due_at)?;
        (first.due_at <= now).then(|| self.in_flight.remove(index))
    }
}

impl Link for MemoryLink {
    fn send(&mut self, to: SocketAddr, bytes: &[u8]) -> io::Result<()> {
        let mut inner = self.network.lock();
        let delays = inner.conditions.delivery_delays(self.address, to);
        let Some(link) = inner.links.get(&to) else {
            return Ok(());
        };
        for delay in delays {
            let due_at = Instant::now() + Duration::from_millis(delay);
            // Fails if the receiver was dropped; the datagram is lost then.
            drop(link.send(Some(QueuedDatagram {
                due_at,
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
            if let Some(datagram) = self.take_due(Instant::now()) {
                let bytes = datagram.bytes.len().min(buffer.len());
                buffer[..bytes].copy_from_slice(&datagram.bytes[..bytes]);
                return Ok(Some((bytes, datagram.from)));
            }
            let next = self.in_flight.iter().map(|datagram| datagram.due_at).min();
            match self
                .datagrams
                .recv_deadline(next.map_or(end, |next| next.min(end)))
            {
                Ok(Some(datagram)) => self.in_flight.push(datagram),
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
