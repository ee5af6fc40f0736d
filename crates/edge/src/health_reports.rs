//! What the processes of a site make of its servers, put together.
//!
//! Of each process and server the latest judgement counts, and of two at one moment the graver. Merging is so
//! commutative, associative and idempotent: all who heard the same know the same, in whatever order it came.

use std::collections::BTreeMap;

use crate::Millis;

/// Most processes whose judgement of one server is kept; the latest are.
const MOST_ORIGINS: usize = 64;
/// Most servers; the first by name are kept. Guards against names without end.
const MOST_SERVERS: usize = 4_096;
/// The weight of one process's evidence at most.
const HEAVIEST: u32 = 4;
/// Evidence fades to nothing over this span.
pub(crate) const FADE: Millis = 30_000;
/// Who is well again gets its part back over this span.
pub(crate) const RAMP: Millis = 10_000;

/// What a server was found to be; the graver last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ServerHealth {
    /// It took a new connection.
    Well,
    /// It said `BUSY`.
    Busy,
    /// It did not answer.
    Hung,
    /// It refused a connection.
    Refused,
    /// It said that it drains (`MOVE`).
    Drains,
    /// It is gone.
    Gone,
}

/// What a process found before its present judgement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Before {
    /// When it was last witnessed.
    pub until_ms: Millis,
    /// What it was.
    pub health: ServerHealth,
    /// How much evidence there was.
    pub weight: u32,
}

/// One process's judgement of one server.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct HealthReport {
    /// When it was last witnessed.
    pub observed_at_ms: Millis,
    /// What the server was found to be.
    pub health: ServerHealth,
    /// How much evidence there is.
    pub weight: u32,
    /// Since when it has been found so without a break.
    pub since_ms: Millis,
    /// What it was found to be before, where that was not well.
    pub before: Option<Before>,
    /// When the server started, as far as was known; what is said of an earlier start is void.
    pub started_ms: Millis,
    /// The server's name in the list.
    pub server: String,
    /// The process that witnessed it.
    pub origin: String,
}

/// The judgements of all processes of a site.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HealthReports {
    of: BTreeMap<String, BTreeMap<String, HealthReport>>,
}

impl HealthReports {
    /// None.
    pub fn new() -> HealthReports {
        HealthReports::default()
    }

    /// This process has found a server, of this start, to be something; gives what others are to be told.
    pub fn observe(
        &mut self,
        now: Millis,
        origin: &str,
        server: &str,
        started_ms: Millis,
        health: ServerHealth,
    ) -> HealthReport {
        let known = self.of.get(server).and_then(|origins| origins.get(origin));
        let known = known.filter(|known| known.started_ms == started_ms);
        // A judgement is felt for as long as its end is.
        let known = known.filter(|known| now.saturating_sub(known.observed_at_ms) <= FADE + RAMP);
        let (mut since_ms, mut weight, mut before) = (now, 1, None);
        match known {
            Some(known) if known.health == health => {
                let lasting = now.saturating_sub(known.observed_at_ms) <= FADE;
                let piled = if lasting { known.weight } else { 0 };
                weight = piled.saturating_add(1).min(HEAVIEST);
                (since_ms, before) = (known.since_ms, known.before);
            }
            Some(known) if known.health != ServerHealth::Well => {
                let (until_ms, health, weight) = (known.observed_at_ms, known.health, known.weight);
                before = Some(Before {
                    until_ms,
                    health,
                    weight,
                });
            }
            _ => {}
        }
        let (server, origin) = (server.to_owned(), origin.to_owned());
        let told = HealthReport {
            observed_at_ms: now,
            health,
            weight,
            since_ms,
            before,
            started_ms,
            server,
            origin,
        };
        self.put(told.clone());
        told
    }

    /// Takes a judgement in; gives whether it said anything new.
    pub fn put(&mut self, one: HealthReport) -> bool {
        let origins = self.of.entry(one.server.clone()).or_default();
        match origins.get(&one.origin) {
            Some(known) if *known >= one => return false,
            _ => {}
        }
        let (server, origin) = (one.server.clone(), one.origin.clone());
        origins.insert(origin.clone(), one);
        if origins.len() > MOST_ORIGINS {
            let oldest = origins.values().min().map(|one| one.origin.clone());
            oldest.map(|oldest| origins.remove(&oldest));
        }
        if self.of.len() > MOST_SERVERS {
            self.of.pop_last();
        }
        self.of
            .get(&server)
            .is_some_and(|origins| origins.contains_key(&origin))
    }

    /// Takes in all that another process knows.
    pub fn merge(&mut self, other: &HealthReports) {
        for one in other.iter() {
            self.put(one.clone());
        }
    }

    /// All of them, in order.
    pub fn iter(&self) -> impl Iterator<Item = &HealthReport> {
        self.of.values().flat_map(BTreeMap::values)
    }

    /// Those of a server.
    pub fn of(&self, server: &str) -> impl Iterator<Item = &HealthReport> {
        self.of.get(server).into_iter().flat_map(BTreeMap::values)
    }

    /// Forgets what says nothing any more: all that was last witnessed before.
    pub fn prune(&mut self, before: Millis) {
        for origins in self.of.values_mut() {
            origins.retain(|_, one| one.observed_at_ms >= before);
        }
        self.of.retain(|_, origins| !origins.is_empty());
    }
}
