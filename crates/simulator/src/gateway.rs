//! Model of one gateway: its cores, established connections, connection setups, warm-up and overload behaviour.

use std::collections::VecDeque;

use rustc_hash::FxHashMap;
use serde::Deserialize;

use crate::random::RandomSource;
use crate::{Nanos, SECOND, nanos};

/// Parameters of a gateway.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct GatewayModel {
    /// Number of cores, each of which runs one setup at a time.
    pub cores: u32,
    /// Speed of a core; a core of speed 1 does one second of work per second.
    pub speed: f64,
    /// Mean work of one connection setup on a core of speed 1, in milliseconds; exponentially distributed.
    pub set_up_ms: f64,
    /// Maximum number of setups queued for a core; further ones are rejected.
    pub waiting: usize,
    /// Maximum number of connections, including setups in progress; further ones are rejected.
    pub connections: usize,
    /// Fraction of its full capacity that it has right after a cold start.
    pub cold_share: f64,
    /// Duration of the warm-up, in seconds.
    pub cold_s: f64,
    /// Work of a group on every gateway that holds at least one of its connections, in microseconds per second.
    pub group_us: f64,
    /// Work of one message, in microseconds.
    pub message_us: f64,
    /// The gateway sheds connections while its backlog exceeds this, in seconds of its capacity.
    pub sheds_after_s: f64,
}

impl Default for GatewayModel {
    fn default() -> GatewayModel {
        GatewayModel {
            cores: 4,
            speed: 1.0,
            set_up_ms: 8.0,
            waiting: 64,
            connections: 4_000,
            cold_share: 0.2,
            cold_s: 20.0,
            group_us: 200.0,
            message_us: 300.0,
            sheds_after_s: 1.5,
        }
    }
}

/// Result of offering a setup to a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SetupAdmission {
    /// It runs on a core until this time.
    RunsUntil(Nanos),
    /// It waits for a free core.
    Queued,
    /// It is rejected before any work is done.
    Rejected,
}

/// An established connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EstablishedConnection {
    /// Work that it demands, in microseconds per second.
    pub load: f64,
    /// The group whose members share work, if it is in one.
    pub group: Option<u32>,
}

/// A gateway. The timestamps passed to it must not decrease.
#[derive(Debug)]
pub struct Gateway {
    make: GatewayModel,
    started_at: Option<Nanos>,
    connections: FxHashMap<u64, EstablishedConnection>,
    groups: FxHashMap<u32, u32>,
    /// Work demanded by the established connections, in microseconds per second.
    demand: f64,
    /// Work that is waiting to be done, in microseconds.
    backlog_us: f64,
    advanced_to: Nanos,
    busy: u32,
    waiting: VecDeque<u64>,
}

impl Gateway {
    /// A gateway that is fully warm, or one that cold-starts at `now`.
    pub fn new(make: GatewayModel, now: Nanos, warm: bool) -> Gateway {
        Gateway {
            make,
            started_at: (!warm).then_some(now),
            connections: FxHashMap::default(),
            groups: FxHashMap::default(),
            demand: 0.0,
            backlog_us: 0.0,
            advanced_to: now,
            busy: 0,
            waiting: VecDeque::new(),
        }
    }

    /// The parameters it was created with.
    pub fn make(&self) -> &GatewayModel {
        &self.make
    }

    /// Time of its cold start; `None` if it was warm when the run began.
    pub fn started_at(&self) -> Option<Nanos> {
        self.started_at
    }

    /// Fraction of its full capacity at `now`: a linear ramp from the cold share to 1.
    pub fn capacity_fraction(&self, now: Nanos) -> f64 {
        let Some(started_at) = self.started_at else {
            return 1.0;
        };
        let age = now.saturating_sub(started_at) as f64 / SECOND as f64;
        let cold = self.make.cold_share;
        (cold + (1.0 - cold) * age / self.make.cold_s.max(f64::MIN_POSITIVE)).min(1.0)
    }

    /// Work that it can do at `now`, in microseconds per second.
    pub fn capacity(&self, now: Nanos) -> f64 {
        f64::from(self.make.cores) * self.make.speed * 1e6 * self.capacity_fraction(now)
    }

    /// Demanded work divided by capacity; above 1 the gateway is overloaded.
    pub fn load(&self, now: Nanos) -> f64 {
        self.demand / self.capacity(now)
    }

    /// Number of established connections, without setups in progress.
    pub fn connection_count(&self) -> usize {
        self.connections.len()
    }

    /// Ids of the established connections in ascending order.
    pub fn connection_ids(&self) -> Vec<u64> {
        let mut ids: Vec<u64> = self.connections.keys().copied().collect();
        ids.sort_unstable();
        ids
    }

    /// Time to work off the backlog at the present capacity, in seconds.
    pub fn backlog_s(&self, now: Nanos) -> f64 {
        self.backlog_us / self.capacity(now)
    }

    /// Updates the backlog to `now`.
    pub fn advance(&mut self, now: Nanos) {
        let elapsed_s = now.saturating_sub(self.advanced_to) as f64 / SECOND as f64;
        if elapsed_s > 0.0 {
            // The ramp is linear, so the mean of both ends is exact except where the ramp reaches full capacity.
            let capacity = (self.capacity(self.advanced_to) + self.capacity(now)) / 2.0;
            self.backlog_us = (self.backlog_us + (self.demand - capacity) * elapsed_s).max(0.0);
            self.advanced_to = now;
        }
    }

    /// Fraction of the messages that are answered within `aim_s`: 0 while the backlog takes longer than that, otherwise
    /// that of an M/M/1 queue, whose sojourn time is exponential.
    pub fn fraction_in_time(&self, now: Nanos, aim_s: f64) -> f64 {
        let (capacity, left) = (self.capacity(now), aim_s - self.backlog_s(now));
        if left <= 0.0 || self.demand >= capacity {
            return 0.0;
        }
        let spare = (capacity - self.demand) / self.make.message_us;
        1.0 - (-spare * left).exp()
    }

    /// Mean time of a message, in seconds.
    pub fn mean_message_s(&self, now: Nanos) -> f64 {
        let spare =
            (self.capacity(now) - self.demand).max(self.make.message_us) / self.make.message_us;
        self.backlog_s(now) + 1.0 / spare
    }

    /// Offers a connection setup to the gateway.
    pub fn offer_setup(&mut self, now: Nanos, id: u64, rng: &mut RandomSource) -> SetupAdmission {
        self.advance(now);
        if self.connections.len() + self.busy as usize + self.waiting.len() >= self.make.connections
        {
            return SetupAdmission::Rejected;
        }
        if self.busy < self.make.cores {
            self.busy += 1;
            return SetupAdmission::RunsUntil(self.setup_ends_at(now, rng));
        }
        if self.waiting.len() >= self.make.waiting {
            return SetupAdmission::Rejected;
        }
        self.waiting.push_back(id);
        SetupAdmission::Queued
    }

    /// Completes a setup. Returns the queued setup that starts next and when that one ends.
    pub fn finish_setup(&mut self, now: Nanos, rng: &mut RandomSource) -> Option<(u64, Nanos)> {
        let Some(next) = self.waiting.pop_front() else {
            self.busy = self.busy.saturating_sub(1);
            return None;
        };
        Some((next, self.setup_ends_at(now, rng)))
    }

    fn setup_ends_at(&self, now: Nanos, rng: &mut RandomSource) -> Nanos {
        // The backlog takes its share of the cores, which slows the setup down.
        let slowdown = 1.0 + self.backlog_s(now);
        let work = rng.exponential(self.make.set_up_ms / 1e3)
            / (self.make.speed * self.capacity_fraction(now));
        now.saturating_add(nanos(work * slowdown))
    }

    /// Adds an established connection; has no effect on the load if the id is already known.
    pub fn establish(&mut self, now: Nanos, id: u64, connection: EstablishedConnection) {
        self.advance(now);
        if self.connections.insert(id, connection).is_some() {
            return;
        }
        self.demand += connection.load;
        if let Some(group) = connection.group {
            let count = self.groups.entry(group).or_insert(0);
            *count += 1;
            self.demand += if *count == 1 { self.make.group_us } else { 0.0 };
        }
    }

    /// Changes the load of a connection; ignored if the connection is unknown.
    pub fn change_load(&mut self, now: Nanos, id: u64, load: f64) {
        self.advance(now);
        if let Some(connection) = self.connections.get_mut(&id) {
            self.demand += load - connection.load;
            connection.load = load;
        }
    }

    /// Removes a connection. Returns whether it was established here.
    pub fn close(&mut self, now: Nanos, id: u64) -> bool {
        self.advance(now);
        let Some(connection) = self.connections.remove(&id) else {
            return false;
        };
        self.demand = (self.demand - connection.load).max(0.0);
        if let Some(group) = connection.group
            && let Some(count) = self.groups.get_mut(&group)
        {
            *count -= 1;
            if *count == 0 {
                self.groups.remove(&group);
                self.demand = (self.demand - self.make.group_us).max(0.0);
            }
        }
        true
    }

    /// Selects the connections to drop because of the backlog: the heaviest ones, until the remaining load fits.
    pub fn shed_connections(&mut self, now: Nanos) -> Vec<u64> {
        self.advance(now);
        if self.backlog_s(now) <= self.make.sheds_after_s {
            return Vec::new();
        }
        let mut by_load: Vec<(f64, u64)> = self
            .connections
            .iter()
            .map(|(id, connection)| (connection.load, *id))
            .collect();
        by_load.sort_by(|left, right| right.0.total_cmp(&left.0).then(left.1.cmp(&right.1)));
        let mut excess = self.demand - self.capacity(now);
        let mut shed = Vec::new();
        for (load, id) in by_load {
            if excess <= 0.0 {
                break;
            }
            excess -= load;
            shed.push(id);
        }
        // The backlog that the dropped connections caused goes with them.
        self.backlog_us = self
            .backlog_us
            .min(self.make.sheds_after_s * self.capacity(now) / 2.0);
        shed
    }
}
