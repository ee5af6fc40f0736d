//! The servers known to the recovery: lists from several sources, held drains and slow start.

use std::collections::BTreeMap;

use crate::config::SlowStartRules;
use crate::{Entry, Lifecycle, List, ListSource, MS, Millis, Nanos};

/// A listed server and what is known about its start.
pub(crate) struct Server {
    pub(crate) entry: Entry,
    /// When it started, on the monotonic clock; negative if before its zero.
    started_at: i64,
    /// Whether a restart was detected since the server was first listed.
    pub(crate) has_restarted: bool,
    /// Until when a former drain is held against discovery; `None` without a held drain.
    drain_held_until: Option<Nanos>,
}

/// The servers by name, with the origin of the present list.
#[derive(Default)]
pub(crate) struct ServerTable {
    servers: BTreeMap<String, Server>,
    origin: Option<ListOrigin>,
    /// Servers count as started at this time at the earliest.
    earliest_start: Option<i64>,
    /// When the next held drain is released. This and `start_range` are cached because every event
    /// reads them.
    next_drain_release_at: Option<Nanos>,
    /// First and last start of the servers that accept new connections.
    start_range: Option<(i64, i64)>,
}

#[derive(Clone, Copy)]
struct ListOrigin {
    source: ListSource,
    incarnation: u64,
    generation: u64,
    /// When the list was current, on the monotonic clock.
    as_of: i64,
}

/// The clocks and rules by which a received list is applied.
#[derive(Clone, Copy)]
pub(crate) struct ListContext<'a> {
    pub(crate) now: Nanos,
    /// Wall time, if it is reliable.
    pub(crate) wall_clock: Option<Millis>,
    /// When the memory was written, for a list from the memory.
    pub(crate) written_at: Option<Millis>,
    pub(crate) slow_start: &'a SlowStartRules,
    pub(crate) drain_hold: Nanos,
}

/// Result of applying a list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ListOutcome {
    /// The list replaced the present one.
    Applied {
        held_drains: usize,
        is_new_incarnation: bool,
    },
    /// The present list is newer or from a source with precedence.
    Rejected,
}

impl Server {
    fn weight(&self) -> f64 {
        let weight = self.entry.weight;
        if weight.is_finite() && weight > 0.0 {
            weight
        } else {
            1.0
        }
    }

    pub(crate) fn accepts_new(&self) -> bool {
        self.entry.lifecycle == Lifecycle::Ready && self.drain_held_until.is_none()
    }

    /// The entry with a held drain applied.
    fn effective_entry(&self) -> Entry {
        let is_held = self.drain_held_until.is_some() && self.entry.lifecycle == Lifecycle::Ready;
        let lifecycle = if is_held {
            Lifecycle::Draining
        } else {
            self.entry.lifecycle
        };
        Entry {
            lifecycle,
            ..self.entry.clone()
        }
    }
}

impl ServerTable {
    /// Applies a list unless the present one is newer. Within an incarnation the higher generation takes
    /// precedence; between incarnations discovery does, then the more recent list.
    pub(crate) fn apply(&mut self, list: &List, list_context: ListContext<'_>) -> ListOutcome {
        let as_of = (list_context.now as i64).saturating_sub(list.age as i64);
        let new = ListOrigin {
            source: list.source,
            incarnation: list.incarnation,
            generation: list.generation,
            as_of,
        };
        let Some(old) = self.origin else {
            return self.replace(list, new, list_context, false);
        };
        let is_count_reset = list.incarnation == old.incarnation
            && list.incarnation == 0
            && list.generation < old.generation;
        let is_same_incarnation = list.incarnation == old.incarnation && !is_count_reset;
        let is_discovery = list.source == ListSource::Discovery;
        let is_better =
            if old.source == ListSource::Configured || list.source == ListSource::Configured {
                list.source != ListSource::Configured
            } else if is_same_incarnation {
                (list.generation, list.source) >= (old.generation, old.source)
            } else {
                is_discovery || (old.source != ListSource::Discovery && as_of > old.as_of)
            };
        if !is_better {
            return ListOutcome::Rejected;
        }
        self.replace(
            list,
            new,
            list_context,
            !is_same_incarnation && is_discovery && old.source != ListSource::Configured,
        )
    }

    /// Replaces all servers. If discovery lost its state, servers that were draining before keep
    /// their drain for a time.
    fn replace(
        &mut self,
        list: &List,
        new: ListOrigin,
        list_context: ListContext<'_>,
        is_new_incarnation: bool,
    ) -> ListOutcome {
        self.origin = Some(new);
        let mut known_servers = std::mem::take(&mut self.servers);
        for entry in &list.entries {
            let known_server = known_servers.remove(&entry.name);
            self.servers.insert(
                entry.name.clone(),
                merge_entry(entry, known_server, list_context, is_new_incarnation),
            );
        }
        self.update_summary();
        let held_drains = self
            .servers
            .values()
            .filter(|server| server.drain_held_until.is_some())
            .count();
        ListOutcome::Applied {
            held_drains,
            is_new_incarnation,
        }
    }

    /// Records the start of a server; returns whether it is new.
    pub(crate) fn record_start(
        &mut self,
        name: &str,
        started_at_ms: Millis,
        list_context: ListContext<'_>,
    ) -> bool {
        let Some(server) = self.servers.get_mut(name) else {
            return false;
        };
        if started_at_ms != 0 && started_at_ms <= server.entry.started_at_ms {
            return false;
        }
        server.entry.started_at_ms = started_at_ms.max(server.entry.started_at_ms);
        server.started_at = monotonic_start(started_at_ms, list_context);
        server.has_restarted = true;
        self.update_summary();
        true
    }

    /// Updates the cached times after a change.
    fn update_summary(&mut self) {
        self.next_drain_release_at = self
            .servers
            .values()
            .filter_map(|server| server.drain_held_until)
            .min();
        let accepting = || {
            self.servers
                .values()
                .filter(|server| server.accepts_new())
                .map(|server| server.started_at)
        };
        self.start_range = accepting().min().zip(accepting().max());
    }

    /// Releases held drains whose hold has expired; returns their number.
    pub(crate) fn release_drains(&mut self, now: Nanos) -> usize {
        if self.next_drain_release_at.is_none_or(|next| now < next) {
            return 0;
        }
        let mut released = 0;
        for server in self.servers.values_mut() {
            if server.drain_held_until.is_some_and(|until| now >= until) {
                server.drain_held_until = None;
                released += 1;
            }
        }
        self.update_summary();
        released
    }

    /// When the next held drain is released.
    pub(crate) fn next_drain_release(&self) -> Option<Nanos> {
        self.next_drain_release_at
    }

    /// Gives the present list the precedence of a remembered one, after a suspension.
    pub(crate) fn demote_to_memory(&mut self) {
        if let Some(origin) = &mut self.origin {
            origin.source = origin.source.min(ListSource::Memory);
        }
    }

    pub(crate) fn source(&self) -> Option<ListSource> {
        self.origin.map(|origin| origin.source)
    }

    /// When the present list was current, on the monotonic clock; `None` unless a peer, the shared
    /// store or discovery sent it.
    pub(crate) fn as_of(&self) -> Option<i64> {
        self.origin
            .filter(|origin| origin.source >= ListSource::OtherSite)
            .map(|origin| origin.as_of)
    }

    pub(crate) fn get(&self, name: &str) -> Option<&Server> {
        self.servers.get(name)
    }

    pub(crate) fn effective_entries(&self) -> impl Iterator<Item = Entry> {
        self.servers.values().map(Server::effective_entry)
    }

    /// Sets the earliest start that a server counts with, while no list is newer than an outage
    /// that may have restarted the servers too.
    pub(crate) fn set_earliest_start(&mut self, since: Option<Nanos>) {
        self.earliest_start = since.map(|since| since as i64);
    }

    /// Weights and starts of the servers that accept new connections.
    pub(crate) fn accepting_servers(&self) -> impl Iterator<Item = (f64, i64)> {
        let earliest_start = self.earliest_start.unwrap_or(i64::MIN);
        let accepting = self.servers.values().filter(|server| server.accepts_new());
        accepting.map(move |server| (server.weight(), server.started_at.max(earliest_start)))
    }

    /// The fraction of the accepting servers' weight that is in slow start; `None` if no server
    /// accepts new connections.
    pub(crate) fn warming_fraction(&self, now: Nanos, slow_start: &SlowStartRules) -> Option<f64> {
        let (earliest_start, is_warming) = (
            self.earliest_start.unwrap_or(i64::MIN),
            |started_at: i64| {
                (now as i64).saturating_sub(started_at) < slow_start.warm_up_time as i64
            },
        );
        match self.start_range {
            Some((first, _)) if is_warming(first.max(earliest_start)) => return Some(1.0),
            Some((_, last)) if !is_warming(last.max(earliest_start)) => return Some(0.0),
            _ => {}
        }
        let (mut total_weight, mut warming_weight) = (0.0, 0.0);
        for (weight, started_at) in self.accepting_servers() {
            total_weight += weight;
            if is_warming(started_at) {
                warming_weight += weight;
            }
        }
        (total_weight > 0.0).then_some(warming_weight / total_weight)
    }
}

/// Merges a listed entry with the known state of the server.
fn merge_entry(
    entry: &Entry,
    known_server: Option<Server>,
    list_context: ListContext<'_>,
    is_new_incarnation: bool,
) -> Server {
    let Some(known_server) = known_server else {
        let started_at = initial_start(entry, list_context);
        return Server {
            entry: entry.clone(),
            started_at,
            has_restarted: false,
            drain_held_until: None,
        };
    };
    let is_same_start =
        entry.started_at_ms == 0 || entry.started_at_ms == known_server.entry.started_at_ms;
    let was_draining = known_server.entry.lifecycle == Lifecycle::Draining;
    let drain_held_until = match known_server.drain_held_until {
        _ if entry.lifecycle != Lifecycle::Ready => None,
        // A restarted server has no connections left to drain.
        _ if !is_same_start => None,
        None if is_new_incarnation && was_draining => {
            Some(list_context.now.saturating_add(list_context.drain_hold))
        }
        until => until,
    };
    let (started_at, has_restarted) = match is_same_start {
        true => (
            known_server
                .started_at
                .min(monotonic_start(entry.started_at_ms, list_context)),
            known_server.has_restarted,
        ),
        false => (monotonic_start(entry.started_at_ms, list_context), true),
    };
    let started_at_ms = entry.started_at_ms.max(if is_same_start {
        known_server.entry.started_at_ms
    } else {
        0
    });
    Server {
        entry: Entry {
            started_at_ms,
            ..entry.clone()
        },
        started_at,
        has_restarted,
        drain_held_until,
    }
}

/// The start of a server on the monotonic clock. If it can't be computed it is the present time,
/// because a wrong wall clock must not make a new server look warm.
fn monotonic_start(started_at_ms: Millis, list_context: ListContext<'_>) -> i64 {
    let now = list_context.now as i64;
    let Some(wall) = list_context.wall_clock.filter(|_| started_at_ms != 0) else {
        return now;
    };
    let age = wall
        .saturating_sub(started_at_ms)
        .min(list_context.slow_start.warm_up_time / MS + 1);
    now.saturating_sub((age * MS) as i64)
}

/// The start of a server that was not known before. A remembered server that was warm when the
/// memory was written counts as warm until a list shows a later start.
fn initial_start(entry: &Entry, list_context: ListContext<'_>) -> i64 {
    match list_context.written_at {
        Some(written_at) => monotonic_start(
            entry.started_at_ms,
            ListContext {
                wall_clock: Some(written_at),
                ..list_context
            },
        ),
        None => monotonic_start(entry.started_at_ms, list_context),
    }
}
