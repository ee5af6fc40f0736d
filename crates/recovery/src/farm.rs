//! The farm as it is believed: lists of several sources, drains that hold, and how warm each server is.

use std::collections::BTreeMap;

use crate::config::Cold;
use crate::{Entry, Lifecycle, List, MS, Millis, Nanos, Source};

/// A server.
pub(crate) struct Server {
    pub(crate) entry: Entry,
    /// When it started, on the monotonic clock; below 0 if before the machine's.
    born: i64,
    /// It has started since it was last known.
    pub(crate) started_since: bool,
    /// A former drain holds until then.
    held_until: Option<Nanos>,
}

/// What is believed, and whose word it is.
#[derive(Default)]
pub(crate) struct Farm {
    servers: BTreeMap<String, Server>,
    from: Option<From>,
    /// No server counts as started before then.
    floor: Option<i64>,
    /// When the first former drain is let go, and when the first and the last of those that take new work started.
    /// Guards against a walk over the whole farm with each event.
    next_let_go: Option<Nanos>,
    starts: Option<(i64, i64)>,
}

#[derive(Clone, Copy)]
struct From {
    source: Source,
    life: u64,
    generation: u64,
    /// When it was true.
    as_of: i64,
}

/// What is known of clocks as a list comes.
#[derive(Clone, Copy)]
pub(crate) struct Hearing<'a> {
    pub(crate) now: Nanos,
    /// Wall time, if it can be believed.
    pub(crate) wall: Option<Millis>,
    /// When the list's own memory was written, for lists from memory.
    pub(crate) written_at: Option<Millis>,
    pub(crate) cold: &'a Cold,
    pub(crate) drain_hold: Nanos,
}

/// What came of a list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Taken {
    /// It is believed now; so many former drains hold against it.
    Yes { held: usize, reborn: bool },
    /// What is believed is newer or better founded.
    No,
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

    pub(crate) fn takes_new(&self) -> bool {
        self.entry.lifecycle == Lifecycle::Ready && self.held_until.is_none()
    }

    /// As it is shown.
    fn shown(&self) -> Entry {
        let held = self.held_until.is_some() && self.entry.lifecycle == Lifecycle::Ready;
        let lifecycle = if held {
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

impl Farm {
    /// Takes a list, unless what is believed is newer. Lists of one life are told apart by generation. Of different
    /// lives discovery's own word goes first; among others the younger.
    pub(crate) fn take(&mut self, list: &List, hearing: Hearing<'_>) -> Taken {
        let as_of = (hearing.now as i64).saturating_sub(list.age as i64);
        let new = From {
            source: list.source,
            life: list.life,
            generation: list.generation,
            as_of,
        };
        let Some(old) = self.from else {
            return self.replace(list, new, hearing, false);
        };
        let counts_anew =
            list.life == old.life && list.life == 0 && list.generation < old.generation;
        let same_life = list.life == old.life && !counts_anew;
        let is_discovery = list.source == Source::Discovery;
        let is_better = if old.source == Source::Known || list.source == Source::Known {
            list.source != Source::Known
        } else if same_life {
            (list.generation, list.source) >= (old.generation, old.source)
        } else {
            is_discovery || (old.source != Source::Discovery && as_of > old.as_of)
        };
        if !is_better {
            return Taken::No;
        }
        self.replace(
            list,
            new,
            hearing,
            !same_life && is_discovery && old.source != Source::Known,
        )
    }

    /// The whole of it: whoever is left out is gone. Former drains hold against a discovery that has lost its state.
    fn replace(&mut self, list: &List, new: From, hearing: Hearing<'_>, reborn: bool) -> Taken {
        self.from = Some(new);
        let mut before = std::mem::take(&mut self.servers);
        for entry in &list.entries {
            let known = before.remove(&entry.name);
            self.servers
                .insert(entry.name.clone(), taken(entry, known, hearing, reborn));
        }
        self.sum_up();
        let held = self
            .servers
            .values()
            .filter(|server| server.held_until.is_some())
            .count();
        Taken::Yes { held, reborn }
    }

    /// A server was seen to start.
    pub(crate) fn started(&mut self, name: &str, at: Millis, hearing: Hearing<'_>) -> bool {
        let Some(server) = self.servers.get_mut(name) else {
            return false;
        };
        if at != 0 && at <= server.entry.started_at_ms {
            return false;
        }
        server.entry.started_at_ms = at.max(server.entry.started_at_ms);
        server.born = born(at, hearing);
        server.started_since = true;
        self.sum_up();
        true
    }

    /// To be called after each change of the servers.
    fn sum_up(&mut self) {
        self.next_let_go = self
            .servers
            .values()
            .filter_map(|server| server.held_until)
            .min();
        let able = || {
            self.servers
                .values()
                .filter(|server| server.takes_new())
                .map(|server| server.born)
        };
        self.starts = able().min().zip(able().max());
    }

    /// Lets former drains go whose time is over; how many.
    pub(crate) fn let_go(&mut self, now: Nanos) -> usize {
        if self.next_let_go.is_none_or(|next| now < next) {
            return 0;
        }
        let mut gone = 0;
        for server in self.servers.values_mut() {
            if server.held_until.is_some_and(|until| now >= until) {
                server.held_until = None;
                gone += 1;
            }
        }
        self.sum_up();
        gone
    }

    /// The next moment at which a former drain is let go.
    pub(crate) fn next_let_go(&self) -> Option<Nanos> {
        self.next_let_go
    }

    /// What is believed becomes memory: after a stop anybody knows better.
    pub(crate) fn doubt(&mut self) {
        if let Some(from) = &mut self.from {
            from.source = from.source.min(Source::Memory);
        }
    }

    pub(crate) fn source(&self) -> Option<Source> {
        self.from.map(|from| from.source)
    }

    /// When what is believed was true, on the monotonic clock; nothing if that is not known or nobody told it.
    pub(crate) fn as_of(&self) -> Option<i64> {
        self.from
            .filter(|from| from.source >= Source::OtherSite)
            .map(|from| from.as_of)
    }

    pub(crate) fn get(&self, name: &str) -> Option<&Server> {
        self.servers.get(name)
    }

    pub(crate) fn shown(&self) -> impl Iterator<Item = Entry> {
        self.servers.values().map(Server::shown)
    }

    /// Nothing told says what has started since then: no server counts as older. Guards against a memory in which all
    /// are warm, after a power loss that they went through too.
    pub(crate) fn doubt_starts(&mut self, since: Option<Nanos>) {
        self.floor = since.map(|since| since as i64);
    }

    /// Those that take new work: weight, and when they started.
    pub(crate) fn able(&self) -> impl Iterator<Item = (f64, i64)> {
        let floor = self.floor.unwrap_or(i64::MIN);
        let able = self.servers.values().filter(|server| server.takes_new());
        able.map(move |server| (server.weight(), server.born.max(floor)))
    }

    /// The part of what takes new work, by weight, that is cold; nothing if there is none.
    pub(crate) fn cold_part(&self, now: Nanos, cold: &Cold) -> Option<f64> {
        let (floor, is_cold) = (self.floor.unwrap_or(i64::MIN), |born: i64| {
            (now as i64).saturating_sub(born) < cold.cold_time as i64
        });
        match self.starts {
            Some((first, _)) if is_cold(first.max(floor)) => return Some(1.0),
            Some((_, last)) if !is_cold(last.max(floor)) => return Some(0.0),
            _ => {}
        }
        let (mut all, mut cold_ones) = (0.0, 0.0);
        for (weight, born) in self.able() {
            all += weight;
            if is_cold(born) {
                cold_ones += weight;
            }
        }
        (all > 0.0).then_some(cold_ones / all)
    }
}

/// A server as a list tells it.
fn taken(entry: &Entry, known: Option<Server>, hearing: Hearing<'_>, reborn: bool) -> Server {
    let Some(known) = known else {
        let born = first_born(entry, hearing);
        return Server {
            entry: entry.clone(),
            born,
            started_since: false,
            held_until: None,
        };
    };
    let is_same = entry.started_at_ms == 0 || entry.started_at_ms == known.entry.started_at_ms;
    let drained = known.entry.lifecycle == Lifecycle::Draining;
    let held_until = match known.held_until {
        _ if entry.lifecycle != Lifecycle::Ready => None,
        // A server that has started since has nothing left to drain.
        _ if !is_same => None,
        None if reborn && drained => Some(hearing.now.saturating_add(hearing.drain_hold)),
        held => held,
    };
    let (born, started_since) = match is_same {
        true => (
            known.born.min(born(entry.started_at_ms, hearing)),
            known.started_since,
        ),
        false => (born(entry.started_at_ms, hearing), true),
    };
    let started_at_ms = entry.started_at_ms.max(if is_same {
        known.entry.started_at_ms
    } else {
        0
    });
    Server {
        entry: Entry {
            started_at_ms,
            ..entry.clone()
        },
        born,
        started_since,
        held_until,
    }
}

/// When a server started that started then by wall time. Where that can't be told it is as good as new: guards
/// against a farm that a clock ahead by a year calls warm.
fn born(started_at: Millis, hearing: Hearing<'_>) -> i64 {
    let now = hearing.now as i64;
    let Some(wall) = hearing.wall.filter(|_| started_at != 0) else {
        return now;
    };
    let age = wall
        .saturating_sub(started_at)
        .min(hearing.cold.cold_time / MS + 1);
    now.saturating_sub((age * MS) as i64)
}

/// The same for one that was never known. One that was warm as memory was written has been so since, if it has not
/// started anew; the list that comes next tells that.
fn first_born(entry: &Entry, hearing: Hearing<'_>) -> i64 {
    match hearing.written_at {
        Some(written_at) => born(
            entry.started_at_ms,
            Hearing {
                wall: Some(written_at),
                ..hearing
            },
        ),
        None => born(entry.started_at_ms, hearing),
    }
}
