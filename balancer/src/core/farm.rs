//! The farm as the core knows it: application servers by name and by the module's number.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use beaconflow::api::{Entry, Nanos, ServerId, State, ZoneId};
use beaconflow_settings::digest;

use crate::farm::{Lifecycle, List, Listed};

/// An application server, for whoever makes a proxy pass to it.
#[derive(Debug)]
pub struct ApplicationServer {
    /// Its name in the list.
    pub name: String,
    /// Where it is reached.
    pub address: SocketAddr,
    leaving: Arc<AtomicBool>,
}

impl ApplicationServer {
    /// An application server that takes new work.
    pub fn new(name: String, address: SocketAddr) -> ApplicationServer {
        ApplicationServer { name, address, leaving: Arc::default() }
    }

    /// Whether the farm has said that it drains or is gone. To be asked just before a pass's first byte.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }
}

struct Known {
    server: Arc<ApplicationServer>,
    entry: Entry,
    /// When slow messages there were last told.
    told_slow_at: Option<Nanos>,
}

/// All application servers that were ever listed.
#[derive(Default)]
pub(super) struct Farm {
    known: Vec<Known>,
    numbers: BTreeMap<String, ServerId>,
}

impl Farm {
    /// Takes a list in; gives its entries for the module. One left out of a whole list is gone.
    pub(super) fn learn(&mut self, list: List, zone: impl Fn(&str) -> Option<u32>) -> Vec<Entry> {
        if list.reset {
            for known in &mut self.known {
                known.server.leaving.store(true, Ordering::Release);
                known.entry.state = State::Gone;
            }
        }
        list.instances.into_iter().filter_map(|listed| self.enter(listed, &zone)).collect()
    }

    fn enter(&mut self, listed: Listed, zone: &impl Fn(&str) -> Option<u32>) -> Option<Entry> {
        let number = self.numbers.get(&listed.instance_id).copied();
        let before = number.and_then(|number| self.known.get(number.0 as usize));
        let address = listed.host_port.or_else(|| before.map(|known| known.server.address))?;
        let number = number.unwrap_or(ServerId(u32::try_from(self.known.len()).unwrap_or(u32::MAX)));
        let entry = Entry {
            server: number,
            tag: digest(&listed.instance_id),
            state: match listed.lifecycle {
                Lifecycle::Serving => State::Ready,
                Lifecycle::Draining => State::Draining,
                Lifecycle::Deleted => State::Gone,
            },
            zone: ZoneId(zone(&listed.zone).unwrap_or(u32::MAX)),
            cell: listed.cell,
            weight: listed.weight,
            started_at: listed.started_at_ms.saturating_mul(1_000_000),
        };
        // Passes on their way keep the mark, so that they see what the farm says now.
        let leaving = before.map(|known| Arc::clone(&known.server.leaving)).unwrap_or_default();
        leaving.store(entry.state != State::Ready, Ordering::Release);
        let server = Arc::new(ApplicationServer { name: listed.instance_id.clone(), address, leaving });
        let known = Known { server, entry: entry.clone(), told_slow_at: None };
        match self.known.get_mut(number.0 as usize) {
            Some(old) => *old = known,
            None => {
                self.numbers.insert(listed.instance_id, number);
                self.known.push(known);
            }
        }
        Some(entry)
    }

    pub(super) fn get(&self, number: ServerId) -> Option<Arc<ApplicationServer>> {
        self.known.get(number.0 as usize).map(|known| Arc::clone(&known.server))
    }

    pub(super) fn by_name(&self, name: &str) -> Option<(ServerId, Arc<ApplicationServer>)> {
        let number = self.numbers.get(name).copied()?;
        Some((number, self.get(number)?))
    }

    /// The present entries of all that are not gone.
    pub(super) fn entries(&self) -> Vec<Entry> {
        let present = self.known.iter().filter(|known| known.entry.state != State::Gone);
        present.map(|known| known.entry.clone()).collect()
    }

    /// Whether the module wants to hear how long a message took: once a period while messages are slow, and
    /// once when they no longer are.
    pub(super) fn delay_is_news(&mut self, at: ServerId, now: Nanos, slow: bool, period: Nanos) -> bool {
        let Some(known) = self.known.get_mut(at.0 as usize) else { return false };
        let told = known.told_slow_at;
        match (slow, told) {
            (true, Some(told)) if now < told.saturating_add(period) => false,
            (true, _) => {
                known.told_slow_at = Some(now);
                true
            }
            (false, Some(told)) if now >= told.saturating_add(period) => {
                known.told_slow_at = None;
                true
            }
            (false, _) => false,
        }
    }

    pub(super) fn look(&self, standing: &BTreeMap<ServerId, usize>) -> Vec<(String, String, bool, usize)> {
        let row = |known: &Known| {
            let server = &known.server;
            let held = standing.get(&known.entry.server).copied().unwrap_or(0);
            (server.name.clone(), server.address.to_string(), server.is_leaving(), held)
        };
        self.known.iter().filter(|known| known.entry.state != State::Gone).map(row).collect()
    }
}
