//! One gateway: its cores, what stands on it, the set-ups that it works on, how it warms up, and what it does when it has
//! too much.

use std::collections::VecDeque;

use rustc_hash::FxHashMap;
use serde::Deserialize;

use crate::random::RandomSource;
use crate::{Nanos, SECOND, nanos};

/// What a gateway is made of.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct GatewayModel {
    /// Cores.
    pub cores: u32,
    /// Work that a core does, against a core of speed 1, which does a second of work in a second.
    pub speed: f64,
    /// Work of one set-up on a core of speed 1, in milliseconds; exponential with this mean.
    pub set_up_ms: f64,
    /// Set-ups that wait for a core; more are turned away.
    pub waiting: usize,
    /// Connections that may stand; more are turned away.
    pub connections: usize,
    /// Part of its capacity with which it starts cold.
    pub cold_share: f64,
    /// It is warm after this long, in seconds.
    pub cold_s: f64,
    /// Work that a group costs on each gateway that holds any of it, in microseconds a second.
    pub group_us: f64,
    /// Work of one message, in microseconds.
    pub message_us: f64,
    /// It sheds connections while more than this is piled up, in seconds of its capacity.
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

/// What becomes of a set-up that comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SetUpAdmission {
    /// It is worked on until then.
    RunsUntil(Nanos),
    /// It waits for a core.
    Queued,
    /// It is turned away unseen.
    Rejected,
}

/// A connection that stands.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EstablishedConnection {
    /// Work that it asks for, in microseconds a second.
    pub load: f64,
    /// The group with which it shares work.
    pub group: Option<u32>,
}

/// A gateway. Moments that it is handed never go back.
#[derive(Debug)]
pub struct Gateway {
    make: GatewayModel,
    started_at: Option<Nanos>,
    connections: FxHashMap<u64, EstablishedConnection>,
    groups: FxHashMap<u32, u32>,
    /// Work asked for by what stands, in microseconds a second.
    demand: f64,
    /// Work that is piled up, in microseconds.
    backlog_us: f64,
    advanced_to: Nanos,
    busy: u32,
    waiting: VecDeque<u64>,
}

impl Gateway {
    /// A gateway that has been warm for long, or one that starts now.
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

    /// What it is made of.
    pub fn make(&self) -> &GatewayModel {
        &self.make
    }

    /// When it last started; nothing if long ago.
    pub fn started_at(&self) -> Option<Nanos> {
        self.started_at
    }

    /// Part of its full capacity that it has at a moment: a straight ramp from the cold share.
    pub fn capacity_fraction(&self, now: Nanos) -> f64 {
        let Some(started_at) = self.started_at else {
            return 1.0;
        };
        let age = now.saturating_sub(started_at) as f64 / SECOND as f64;
        let cold = self.make.cold_share;
        (cold + (1.0 - cold) * age / self.make.cold_s.max(f64::MIN_POSITIVE)).min(1.0)
    }

    /// Work that it does at a moment, in microseconds a second.
    pub fn capacity(&self, now: Nanos) -> f64 {
        f64::from(self.make.cores) * self.make.speed * 1e6 * self.capacity_fraction(now)
    }

    /// Work asked for by what stands, over what it can do.
    pub fn load(&self, now: Nanos) -> f64 {
        self.demand / self.capacity(now)
    }

    /// Connections that stand.
    pub fn connection_count(&self) -> usize {
        self.connections.len()
    }

    /// All that stand, by number.
    pub fn connection_ids(&self) -> Vec<u64> {
        let mut ids: Vec<u64> = self.connections.keys().copied().collect();
        ids.sort_unstable();
        ids
    }

    /// How long its present work would take, in seconds.
    pub fn backlog_s(&self, now: Nanos) -> f64 {
        self.backlog_us / self.capacity(now)
    }

    /// Brings what is piled up to that moment.
    pub fn advance(&mut self, now: Nanos) {
        let span = now.saturating_sub(self.advanced_to) as f64 / SECOND as f64;
        if span > 0.0 {
            // The ramp is straight between two moments, so that the mean of its ends is exact but for its knee.
            let capacity = (self.capacity(self.advanced_to) + self.capacity(now)) / 2.0;
            self.backlog_us = (self.backlog_us + (self.demand - capacity) * span).max(0.0);
            self.advanced_to = now;
        }
    }

    /// Part of the messages that are answered within `aim_s`: none while more is piled up; else as in a queue with one
    /// server, random arrivals and random work, whose sojourn time is exponential.
    pub fn fraction_in_time(&self, now: Nanos, aim_s: f64) -> f64 {
        let (capacity, left) = (self.capacity(now), aim_s - self.backlog_s(now));
        if left <= 0.0 || self.demand >= capacity {
            return 0.0;
        }
        let spare = (capacity - self.demand) / self.make.message_us;
        1.0 - (-spare * left).exp()
    }

    /// How long a message takes on average, in seconds.
    pub fn mean_message_s(&self, now: Nanos) -> f64 {
        let spare =
            (self.capacity(now) - self.demand).max(self.make.message_us) / self.make.message_us;
        self.backlog_s(now) + 1.0 / spare
    }

    /// A set-up comes.
    pub fn offer_set_up(&mut self, now: Nanos, id: u64, rng: &mut RandomSource) -> SetUpAdmission {
        self.advance(now);
        if self.connections.len() + self.busy as usize + self.waiting.len() >= self.make.connections
        {
            return SetUpAdmission::Rejected;
        }
        if self.busy < self.make.cores {
            self.busy += 1;
            return SetUpAdmission::RunsUntil(self.set_up_ends(now, rng));
        }
        if self.waiting.len() >= self.make.waiting {
            return SetUpAdmission::Rejected;
        }
        self.waiting.push_back(id);
        SetUpAdmission::Queued
    }

    /// A set-up's work is done: the next one that is worked on, and until when.
    pub fn set_up_done(&mut self, now: Nanos, rng: &mut RandomSource) -> Option<(u64, Nanos)> {
        let Some(next) = self.waiting.pop_front() else {
            self.busy = self.busy.saturating_sub(1);
            return None;
        };
        Some((next, self.set_up_ends(now, rng)))
    }

    fn set_up_ends(&self, now: Nanos, rng: &mut RandomSource) -> Nanos {
        // Work that is piled up takes its part of the cores.
        let slower = 1.0 + self.backlog_s(now);
        let work = rng.exponential(self.make.set_up_ms / 1e3)
            / (self.make.speed * self.capacity_fraction(now));
        now.saturating_add(nanos(work * slower))
    }

    /// A connection stands from now on.
    pub fn establish(&mut self, now: Nanos, id: u64, one: EstablishedConnection) {
        self.advance(now);
        if self.connections.insert(id, one).is_some() {
            return;
        }
        self.demand += one.load;
        if let Some(group) = one.group {
            let count = self.groups.entry(group).or_insert(0);
            *count += 1;
            self.demand += if *count == 1 { self.make.group_us } else { 0.0 };
        }
    }

    /// A connection's load is another one from now on.
    pub fn change_load(&mut self, now: Nanos, id: u64, load: f64) {
        self.advance(now);
        if let Some(one) = self.connections.get_mut(&id) {
            self.demand += load - one.load;
            one.load = load;
        }
    }

    /// A connection has ended; tells whether it stood here.
    pub fn close(&mut self, now: Nanos, id: u64) -> bool {
        self.advance(now);
        let Some(one) = self.connections.remove(&id) else {
            return false;
        };
        self.demand = (self.demand - one.load).max(0.0);
        if let Some(group) = one.group
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

    /// The connections that it drops now since too much is piled up: the heaviest, until what is left fits.
    pub fn shed_connections(&mut self, now: Nanos) -> Vec<u64> {
        self.advance(now);
        if self.backlog_s(now) <= self.make.sheds_after_s {
            return Vec::new();
        }
        let mut by_load: Vec<(f64, u64)> = self
            .connections
            .iter()
            .map(|(id, one)| (one.load, *id))
            .collect();
        by_load.sort_by(|one, other| other.0.total_cmp(&one.0).then(one.1.cmp(&other.1)));
        let mut excess = self.demand - self.capacity(now);
        let mut shed = Vec::new();
        for (load, id) in by_load {
            if excess <= 0.0 {
                break;
            }
            excess -= load;
            shed.push(id);
        }
        // What was piled up by them goes with them.
        self.backlog_us = self
            .backlog_us
            .min(self.make.sheds_after_s * self.capacity(now) / 2.0);
        shed
    }
}
