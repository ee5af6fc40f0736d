//! The farm as the core knows it: application servers by name and by the module's number.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use beaconflow_affinity::ServerNow;
use beaconflow_overrides::{Id, Judgement, Millis, Set, Standing, Strictness, judge};
use beaconflow_policy::{Nanos, Pin, ServerEntry, ServerId, ServerState, ZoneId};
use beaconflow_settings::digest;

use super::fleet::Seen;
use crate::farm::{Lifecycle, List, Listed};

/// An application server, for whoever makes a proxy pass to it.
#[derive(Debug)]
pub struct ApplicationServer {
    /// Its name in the list.
    pub name: Arc<str>,
    /// Where it is reached.
    pub address: SocketAddr,
    mark: Arc<Mark>,
}

/// Whether a server takes new work, and how many passes are writing their first byte to it just now.
#[derive(Debug, Default)]
pub struct Mark {
    leaving: AtomicBool,
    writing: AtomicUsize,
}

impl Mark {
    /// Whether nobody is writing a first byte. Once it is so after the mark was set, nobody will.
    pub fn is_quiet(&self) -> bool {
        self.writing.load(Ordering::SeqCst) == 0
    }
}

/// The leave to write a first byte, for as long as it lives.
pub struct Leave<'a>(&'a Mark);

impl Drop for Leave<'_> {
    fn drop(&mut self) {
        self.0.writing.fetch_sub(1, Ordering::SeqCst);
    }
}

impl ApplicationServer {
    /// An application server that takes new work.
    pub fn new(name: String, address: SocketAddr) -> ApplicationServer {
        ApplicationServer {
            name: name.into(),
            address,
            mark: Arc::default(),
        }
    }

    /// The leave to write a pass's first byte now; none where the server drains, is gone or was taken out. It is
    /// counted in before the mark is read. Guards against a first byte that is written after whoever set the mark
    /// was told that there is none.
    pub fn leave_to_write(&self) -> Option<Leave<'_>> {
        self.mark.writing.fetch_add(1, Ordering::SeqCst);
        let leave = Leave(&self.mark);
        (!self.mark.leaving.load(Ordering::SeqCst)).then_some(leave)
    }
}

struct Known {
    server: Arc<ApplicationServer>,
    /// As it is listed.
    listed: ServerEntry,
    /// As the module was told, with the overrides.
    told: ServerEntry,
    zone: String,
    /// Since when it has been ready without a break, if it is; 0 if ever since it was first heard of.
    ready_since: Option<Millis>,
    /// When slow messages there were last told.
    told_slow_at: Option<Nanos>,
}

/// What the site's own evidence makes of a server while its uplink is lost.
#[derive(Clone, Debug, PartialEq)]
pub struct SitePart {
    /// Why it gets nothing new, if it does not.
    pub passed: Option<String>,
    /// The part of its weight that it gets.
    pub part: f64,
    /// When it started anew, as far as nobody could list it, in Unix milliseconds; 0 if it did not.
    pub cold_since: Millis,
}

/// All application servers that were ever listed, and the overrides.
pub(super) struct Farm {
    known: Vec<Known>,
    numbers: BTreeMap<String, ServerId>,
    /// The same by the hashes of their names.
    tags: BTreeMap<u64, ServerId>,
    pub(super) overrides: Set,
    /// Servers that overrides, or the site's evidence, make another than listed.
    changed: BTreeSet<ServerId>,
    /// What that evidence makes of them, by name.
    site: BTreeMap<String, SitePart>,
}

/// A server as the farm shows it to people.
#[derive(Clone, Debug)]
pub struct ServerLook {
    /// Its name.
    pub name: String,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Its zone, by name.
    pub zone: String,
    /// Whether it takes new work, as listed and as the module was told.
    pub state: (ServerState, ServerState),
    /// Its weight, as listed and as the module was told.
    pub weight: (f64, f64),
    /// Connections that stand there.
    pub standing: usize,
    /// What the site's evidence makes of it, where that is not as listed.
    pub site: Option<SitePart>,
}

impl Farm {
    /// A farm without servers.
    pub(super) fn new(overrides: Set) -> Farm {
        Farm {
            known: Vec::new(),
            numbers: BTreeMap::new(),
            tags: BTreeMap::new(),
            overrides,
            changed: BTreeSet::new(),
            site: BTreeMap::new(),
        }
    }

    /// Takes a list in; gives its entries for the module. One left out of a whole list is gone.
    pub(super) fn learn(
        &mut self,
        list: List,
        now: Millis,
        zone: impl Fn(&str) -> Option<u32>,
    ) -> Vec<ServerEntry> {
        if list.reset {
            // The marks follow below. Guards against a pass that finds its server gone for as long as the list is read.
            for known in &mut self.known {
                (known.listed.state, known.told.state) =
                    (ServerState::Removed, ServerState::Removed);
            }
        }
        let reset = list.reset;
        let entries = list
            .instances
            .into_iter()
            .filter_map(|listed| self.enter(listed, now, &zone))
            .collect();
        if reset {
            let gone = self
                .known
                .iter_mut()
                .filter(|known| known.told.state == ServerState::Removed);
            for known in gone {
                known.ready_since = None;
                // Only now: one that is listed again is not marked in between, under a pass that is about to begin.
                known.server.mark.leaving.store(true, Ordering::SeqCst);
            }
        }
        entries
    }

    fn enter(
        &mut self,
        listed: Listed,
        now: Millis,
        zone: &impl Fn(&str) -> Option<u32>,
    ) -> Option<ServerEntry> {
        let number = self.numbers.get(&listed.instance_id).copied();
        let before = number.and_then(|number| self.known.get(number.0 as usize));
        let address = listed
            .host_port
            .or_else(|| before.map(|known| known.server.address))?;
        let number = number.unwrap_or(ServerId(
            u32::try_from(self.known.len()).unwrap_or(u32::MAX),
        ));
        let entry = ServerEntry {
            server: number,
            name_hash: digest(&listed.instance_id),
            state: match listed.lifecycle {
                Lifecycle::Serving => ServerState::Ready,
                Lifecycle::Draining => ServerState::Draining,
                Lifecycle::Deleted => ServerState::Removed,
            },
            zone: ZoneId(zone(&listed.zone).unwrap_or(u32::MAX)),
            cell: listed.cell,
            machine_type: digest(&listed.machine_type),
            weight: listed.weight,
            target_weight: None,
            started_at: listed.started_at_ms.saturating_mul(1_000_000),
        };
        let standing = self.standing(&listed.instance_id, now);
        let part = self.site.get(&listed.instance_id);
        if standing != Standing::AS_LISTED || part.is_some() {
            self.changed.insert(number);
        }
        let told = under(&entry, standing, part);
        // Passes on their way keep the mark, so that they see what the farm says now.
        let mark = before
            .map(|known| Arc::clone(&known.server.mark))
            .unwrap_or_default();
        mark.leaving
            .store(told.state != ServerState::Ready, Ordering::SeqCst);
        let server = Arc::new(ApplicationServer {
            name: listed.instance_id.as_str().into(),
            address,
            mark,
        });
        let ready_before = before.map(|known| known.ready_since);
        let known = Known {
            server,
            listed: entry,
            told: told.clone(),
            zone: listed.zone,
            ready_since: ready_since(told.state, ready_before, now),
            told_slow_at: None,
        };
        match self.known.get_mut(number.0 as usize) {
            Some(old) => *old = known,
            None => {
                self.tags.insert(known.listed.name_hash, number);
                self.numbers.insert(listed.instance_id, number);
                self.known.push(known);
            }
        }
        Some(told)
    }

    /// The zones have other numbers from now on; gives the entries that differ for the module.
    pub(super) fn renumber_zones(
        &mut self,
        zone: impl Fn(&str) -> Option<u32>,
    ) -> Vec<ServerEntry> {
        let mut changed = Vec::new();
        for known in &mut self.known {
            let number = ZoneId(zone(&known.zone).unwrap_or(u32::MAX));
            if known.told.zone != number {
                (known.listed.zone, known.told.zone) = (number, number);
                changed.push(known.told.clone());
            }
        }
        changed
    }

    /// What a server is under the overrides. Guards against a fault in them that would lose a list.
    fn standing(&self, name: &str, now: Millis) -> Standing {
        let look = AssertUnwindSafe(|| self.overrides.server(name, now));
        catch_unwind(look).unwrap_or(Standing::AS_LISTED)
    }

    /// Looks at the overrides anew; gives the entries that differ for the module.
    pub(super) fn reconsider(&mut self, now: Millis) -> Vec<ServerEntry> {
        let named = self
            .overrides
            .servers()
            .filter_map(|name| self.numbers.get(name).copied());
        let servers: BTreeSet<ServerId> = named.chain(self.changed.iter().copied()).collect();
        let mut news = Vec::new();
        for id in servers {
            let known = &mut self.known[id.0 as usize];
            let standing = self.overrides.server(&known.server.name, now);
            let part = self.site.get(&*known.server.name);
            if standing == Standing::AS_LISTED && part.is_none() {
                self.changed.remove(&id);
            } else {
                self.changed.insert(id);
            }
            let told = under(&known.listed, standing, part);
            if told != known.told {
                known
                    .server
                    .mark
                    .leaving
                    .store(told.state != ServerState::Ready, Ordering::SeqCst);
                known.ready_since = ready_since(told.state, Some(known.ready_since), now);
                known.told = told.clone();
                news.push(told);
            }
        }
        news
    }

    /// Takes over what the site's evidence makes of servers; [`Farm::reconsider`] follows.
    pub(super) fn follow_site(&mut self, site: BTreeMap<String, SitePart>) {
        let before = std::mem::replace(&mut self.site, site);
        let named = before.keys().chain(self.site.keys());
        self.changed
            .extend(named.filter_map(|name| self.numbers.get(name).copied()));
    }

    /// Where an arrival is pinned to, by the hashes of its group and tenant.
    pub(super) fn pin(&self, group: Option<u64>, tenant: Option<u64>, now: Millis) -> Option<Pin> {
        if !self.overrides.has_pins() {
            return None;
        }
        let pin = self.overrides.pin(group, tenant, now)?;
        let server = self.numbers.get(pin.server).copied();
        Some(Pin {
            server,
            strict: pin.strictness == Strictness::Strict,
        })
    }

    /// The servers whose standing connections an operator moves, and the rate of each.
    pub(super) fn moving(&self, now: Millis) -> BTreeMap<ServerId, (Id, f64)> {
        let rate = |id: &ServerId| {
            let name = &self.known.get(id.0 as usize)?.server.name;
            Some((*id, self.overrides.moves(name, now)?))
        };
        self.changed.iter().filter_map(rate).collect()
    }

    /// Where the overrides leave no ready server.
    pub(super) fn judge(&self, now: Millis) -> Judgement {
        if self.changed.is_empty() {
            return Judgement::default();
        }
        let ready = self
            .known
            .iter()
            .filter(|known| known.listed.state == ServerState::Ready);
        judge(
            ready.map(|known| (&*known.server.name, known.zone.as_str())),
            &self.overrides,
            now,
        )
    }

    /// Marks of the servers that take nothing new by an operator's word.
    pub(super) fn marks_of_out(&self) -> Vec<Arc<Mark>> {
        let known = self
            .changed
            .iter()
            .filter_map(|id| self.known.get(id.0 as usize));
        let out = known.filter(|known| known.told.state == ServerState::OutOfService);
        out.map(|known| Arc::clone(&known.server.mark)).collect()
    }

    pub(super) fn get(&self, number: ServerId) -> Option<Arc<ApplicationServer>> {
        self.known
            .get(number.0 as usize)
            .map(|known| Arc::clone(&known.server))
    }

    /// A server as whoever is told of it knows it.
    pub(super) fn seen(&self, number: ServerId) -> Option<Seen> {
        let known = self.known.get(number.0 as usize)?;
        let name = Arc::clone(&known.server.name);
        Some(Seen {
            name,
            started_ms: known.listed.started_at / 1_000_000,
        })
    }

    /// The hash of a server's name, the same at every process.
    pub(super) fn tag(&self, number: ServerId) -> Option<u64> {
        self.known
            .get(number.0 as usize)
            .map(|known| known.listed.name_hash)
    }

    pub(super) fn by_tag(&self, tag: u64) -> Option<ServerId> {
        self.tags.get(&tag).copied()
    }

    /// What is known of a server now, for whoever would lead a client to it.
    pub(super) fn server_now(&self, tag: u64) -> Option<ServerNow> {
        let known = self.known.get(self.by_tag(tag)?.0 as usize)?;
        let (is_ready, ready_since) = (
            known.told.state == ServerState::Ready,
            known.ready_since.unwrap_or(0),
        );
        let started_at = known.listed.started_at / 1_000_000;
        Some(ServerNow {
            is_ready,
            ready_since,
            started_at,
        })
    }

    /// Hashes and moments of all that are known to have started.
    pub(super) fn starts(&self) -> impl Iterator<Item = (u64, Millis)> {
        let started = self
            .known
            .iter()
            .filter(|known| known.listed.started_at > 0);
        started.map(|known| (known.listed.name_hash, known.listed.started_at / 1_000_000))
    }

    pub(super) fn by_name(&self, name: &str) -> Option<(ServerId, Arc<ApplicationServer>)> {
        let number = self.numbers.get(name).copied()?;
        Some((number, self.get(number)?))
    }

    /// The present entries of all that are not gone.
    pub(super) fn entries(&self) -> Vec<ServerEntry> {
        let present = self
            .known
            .iter()
            .filter(|known| known.told.state != ServerState::Removed);
        present.map(|known| known.told.clone()).collect()
    }

    /// Whether the module wants to hear how long a message took: once a period while messages are slow, and
    /// once when they no longer are.
    pub(super) fn delay_is_news(
        &mut self,
        at: ServerId,
        now: Nanos,
        slow: bool,
        period: Nanos,
    ) -> bool {
        let Some(known) = self.known.get_mut(at.0 as usize) else {
            return false;
        };
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

    /// Whether no server is known that is there.
    pub(super) fn is_empty(&self) -> bool {
        self.known
            .iter()
            .all(|known| known.listed.state == ServerState::Removed)
    }

    pub(super) fn look(&self, standing: &BTreeMap<ServerId, usize>) -> Vec<ServerLook> {
        let row = |known: &Known| ServerLook {
            name: known.server.name.to_string(),
            address: known.server.address,
            zone: known.zone.clone(),
            state: (known.listed.state, known.told.state),
            weight: (known.listed.weight, known.told.weight),
            standing: standing.get(&known.listed.server).copied().unwrap_or(0),
            site: self.site.get(&*known.server.name).cloned(),
        };
        self.known
            .iter()
            .filter(|known| known.listed.state != ServerState::Removed)
            .map(row)
            .collect()
    }
}

/// Since when a server has been ready that is this now, from the same of before.
fn ready_since(state: ServerState, before: Option<Option<Millis>>, now: Millis) -> Option<Millis> {
    let is_ready = state == ServerState::Ready;
    is_ready.then(|| before.map_or(0, |since| since.unwrap_or(now)))
}

/// A listed server under the overrides and the site's evidence. A server listed without a weight counts as one of
/// weight 1.
fn under(listed: &ServerEntry, standing: Standing, site: Option<&SitePart>) -> ServerEntry {
    let mut told = listed.clone();
    let part = site.map_or(1.0, |site| site.part);
    let standing = Standing {
        factor: standing.factor * part,
        ..standing
    };
    let out = standing.out || site.is_some_and(|site| site.passed.is_some());
    let cold_since = site
        .map_or(0, |site| site.cold_since)
        .saturating_mul(1_000_000);
    told.started_at = told.started_at.max(cold_since);
    if out && told.state == ServerState::Ready {
        told.state = ServerState::OutOfService;
    }
    if !out && standing.factor != 1.0 {
        // Its weight tells nothing of the size of others any more.
        told.machine_type = listed.name_hash;
        let weight = if told.weight.is_finite() && told.weight > 0.0 {
            told.weight
        } else {
            1.0
        };
        told.weight = weight * standing.factor;
        told.target_weight = (standing.factor < standing.to).then_some(weight * standing.to);
    }
    told
}

#[cfg(test)]
mod tests;
