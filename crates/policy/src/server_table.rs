//! All servers that are or were listed, their loads and the rotation over the ready ones.

use std::collections::{BTreeMap, BTreeSet};

use crate::event::{ProbeAnswer, ServerEntry, ServerState};
use crate::ids::{ClassId, ServerId};
use crate::load::{DecayingCount, LoadSum, MeanLoad};
use crate::rotation::Rotation;
use crate::server::{LoadReport, Server};
use crate::settings::Settings;
use crate::slow_start::FleetCapacity;
use crate::time::{Nanos, is_within};

/// A server that reports this fraction of its capacity gets no new connections.
const FULL_LOAD: f64 = 0.7;
/// Time constant of the count of reset connections, in seconds.
const RESET_COUNT_S: f64 = 5.0;

/// The load of a ready server and the weight by which it is judged.
#[derive(Clone, Copy)]
pub(crate) struct WeighedLoad {
    pub(crate) server: ServerId,
    pub(crate) load: f64,
    pub(crate) weight: f64,
}

/// Ready servers with known message latency, and how many of them are slow.
#[derive(Clone, Copy, Default)]
pub(crate) struct SlowServers {
    pub(crate) known: f64,
    pub(crate) slow: f64,
}

/// The servers.
pub(crate) struct ServerTable {
    servers: BTreeMap<ServerId, Server>,
    rotation: Rotation,
    /// Load of all connections.
    load: LoadSum,
    /// Mean load of a connection, by class.
    class_means: Vec<MeanLoad>,
    /// Recent resets of established connections on all servers.
    resets: DecayingCount,
    /// The greatest weight seen of each machine type, where weights fall with load.
    machine_sizes: Option<BTreeMap<u64, f64>>,
}

impl ServerTable {
    pub(crate) fn new(settings: &Settings) -> ServerTable {
        let classes = settings.classes.len();
        ServerTable {
            servers: BTreeMap::new(),
            rotation: Rotation::default(),
            load: LoadSum::new(classes),
            class_means: vec![MeanLoad::default(); classes],
            resets: DecayingCount::default(),
            machine_sizes: settings.has_live_weights.then(BTreeMap::new),
        }
    }

    // ---- servers ----

    pub(crate) fn get(&self, id: ServerId) -> Option<&Server> {
        self.servers.get(&id)
    }

    pub(crate) fn get_mut(&mut self, id: ServerId) -> Option<&mut Server> {
        self.servers.get_mut(&id)
    }

    /// A server that was listed.
    ///
    /// # Panics
    ///
    /// Panics if it was not.
    pub(crate) fn listed(&self, id: ServerId) -> &Server {
        &self.servers[&id]
    }

    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Server> {
        self.servers.values_mut()
    }

    /// The servers that accept new connections.
    pub(crate) fn ready(&self) -> impl Iterator<Item = &Server> {
        self.servers.values().filter(|server| server.is_ready)
    }

    pub(crate) fn is_ready(&self, id: ServerId) -> bool {
        self.get(id).is_some_and(|server| server.is_ready)
    }

    /// The servers that drain or were removed, without those that an operator took out of service.
    pub(crate) fn leaving(&self) -> Vec<ServerId> {
        let is_leaving =
            |server: &&Server| !server.is_ready && server.entry.state != ServerState::OutOfService;
        self.servers
            .values()
            .filter(is_leaving)
            .map(Server::id)
            .collect()
    }

    // ---- the list ----

    /// Marks all servers as not ready, before a list that names every server.
    pub(crate) fn clear_ready(&mut self) {
        self.servers
            .values_mut()
            .for_each(|server| server.is_ready = false);
    }

    /// Takes over a list entry.
    pub(crate) fn upsert(&mut self, entry: ServerEntry) {
        let (id, classes) = (entry.server, self.class_means.len());
        let server = self
            .servers
            .entry(id)
            .or_insert_with(|| Server::new(entry.clone(), classes));
        let before = server.weight();
        server.update(entry);
        let after = server.weight();
        if let Some(sizes) = &mut self.machine_sizes {
            let size = sizes.entry(server.entry.machine_type).or_insert(0.0);
            *size = size.max(after);
        }
        self.rotation.reweigh(id, &mut server.slot, before, after);
    }

    /// Updates the capacities and sizes of all servers; returns whether any has changed.
    pub(crate) fn update_capacities(
        &mut self,
        now: Nanos,
        capacity_of: impl Fn(&ServerEntry) -> f64,
    ) -> bool {
        let mut has_changed = false;
        for server in self.servers.values_mut() {
            let sizes = self.machine_sizes.as_ref();
            let size = sizes.and_then(|sizes| sizes.get(&server.entry.machine_type).copied());
            let (capacity, size) = (
                capacity_of(&server.entry),
                size.unwrap_or_else(|| server.weight()),
            );
            // Otherwise every balancer would admit a client to a new server at once.
            if capacity < 1.0 && server.is_warm() {
                server.slow_start_considered_at = now;
            }
            if (capacity, size) != (server.capacity, server.size) {
                (server.capacity, server.size) = (capacity, size);
                has_changed = true;
            }
        }
        has_changed
    }

    /// The capacity of all ready servers.
    pub(crate) fn capacity(&self) -> FleetCapacity {
        let mut capacity = FleetCapacity::new(self.machine_sizes.is_some());
        self.ready()
            .for_each(|server| capacity.add(server.size, server.capacity));
        capacity
    }

    /// Forgets removed servers, and the sizes of machine types that no server has any more.
    pub(crate) fn forget(&mut self, forgotten: &[ServerId]) {
        for id in forgotten {
            self.servers.remove(id);
        }
        if let Some(sizes) = &mut self.machine_sizes {
            let machine_type = |server: &Server| server.entry.machine_type;
            let present: BTreeSet<u64> = self.servers.values().map(machine_type).collect();
            sizes.retain(|machine_type, _| present.contains(machine_type));
        }
    }

    // ---- the rotation ----

    /// The ready servers in the order of the rotation.
    pub(crate) fn rotation(&self) -> impl Iterator<Item = ServerId> {
        self.rotation.iter()
    }

    /// Adds servers that have become ready to the rotation, each its lead after the present round,
    /// and removes those that are no longer ready.
    pub(crate) fn update_rotation(&mut self, mut lead_of: impl FnMut(&Server) -> f64) {
        for (id, server) in &mut self.servers {
            let lead = lead_of(server);
            self.rotation
                .update(*id, &mut server.slot, server.is_ready, lead);
        }
    }

    /// Moves a selected server back by `stride`.
    pub(crate) fn advance_rotation(&mut self, id: ServerId, stride: f64) {
        if let Some(server) = self.servers.get_mut(&id) {
            self.rotation.advance(id, &mut server.slot, stride);
        }
    }

    // ---- load ----

    pub(crate) fn add_load(&mut self, id: ServerId, class: ClassId, load: Option<f64>) {
        if let Some(server) = self.servers.get_mut(&id) {
            server.load.add(class, load);
            self.load.add(class, load);
        }
    }

    pub(crate) fn remove_load(&mut self, id: ServerId, class: ClassId, load: Option<f64>) {
        if let Some(server) = self.servers.get_mut(&id) {
            server.load.remove(class, load);
            self.load.remove(class, load);
        }
    }

    /// Replaces the load of one connection by a measured one.
    pub(crate) fn replace_load(
        &mut self,
        id: ServerId,
        class: ClassId,
        old: Option<f64>,
        new: f64,
    ) {
        self.class_means[class.0].add(new);
        if let Some(server) = self.servers.get_mut(&id) {
            for load in [&mut server.load, &mut self.load] {
                load.remove(class, old);
                load.add(class, Some(new));
            }
        }
    }

    /// Load of this balancer's connections on a server.
    pub(crate) fn load_on(&self, server: &Server) -> f64 {
        server.load.total(&self.class_means)
    }

    pub(crate) fn load_on_id(&self, id: ServerId) -> Option<f64> {
        self.get(id).map(|server| self.load_on(server))
    }

    /// Load of all connections of this balancer.
    pub(crate) fn total_load(&self) -> f64 {
        self.load.total(&self.class_means)
    }

    /// The given load, or the mean of the class if it is not known.
    pub(crate) fn load_or_mean(&self, class: ClassId, load: Option<f64>) -> f64 {
        load.unwrap_or_else(|| self.class_means[class.0].value())
    }

    /// The greatest mean load of a class, at least 1.
    pub(crate) fn greatest_mean_load(&self) -> f64 {
        self.class_means
            .iter()
            .map(MeanLoad::value)
            .fold(1.0, f64::max)
    }

    /// The ready servers with their loads and target weights.
    pub(crate) fn loads_of_ready(&self) -> Vec<WeighedLoad> {
        let weigh = |server: &Server| WeighedLoad {
            server: server.id(),
            load: self.load_on(server),
            weight: server.target_weight(),
        };
        self.ready().map(weigh).collect()
    }

    /// Load of this balancer on the ready servers that are warm.
    pub(crate) fn load_on_warm(&self) -> f64 {
        self.ready()
            .filter(|server| server.is_warm())
            .map(|server| self.load_on(server))
            .sum()
    }

    /// Load of this balancer on the ready servers in slow start.
    pub(crate) fn load_on_warming_servers(&self) -> f64 {
        self.ready()
            .filter(|server| !server.is_warm())
            .map(|server| self.load_on(server))
            .sum()
    }

    // ---- health ----

    pub(crate) fn record_probe_answer(&mut self, now: Nanos, id: ServerId, answer: ProbeAnswer) {
        let is_full = match answer {
            ProbeAnswer::Load(load) => load >= FULL_LOAD,
            ProbeAnswer::NoLoad => false,
            ProbeAnswer::Unhealthy => true,
        };
        if let Some(server) = self.servers.get_mut(&id) {
            server.has_reported_load |= matches!(answer, ProbeAnswer::Load(_));
            server.load_report = Some(LoadReport {
                received_at: now,
                is_full,
            });
        }
    }

    pub(crate) fn record_slow_messages(&mut self, now: Nanos, id: ServerId) {
        if let Some(server) = self.servers.get_mut(&id) {
            server.slow_messages_at = Some(now);
        }
    }

    /// Counts a reset of an established connection whose load is still counted. Returns how many
    /// times more resets the server had recently than its share of the load explains.
    pub(crate) fn record_reset(&mut self, now: Nanos, id: ServerId) -> f64 {
        let share = self.load_on_id(id).unwrap_or(0.0) / self.total_load().max(f64::MIN_POSITIVE);
        self.resets.add(now, 1.0, RESET_COUNT_S);
        let Some(server) = self.servers.get_mut(&id) else {
            return 0.0;
        };
        server.resets.add(now, 1.0, RESET_COUNT_S);
        server.resets.value() / (self.resets.value() * share).max(f64::MIN_POSITIVE)
    }

    /// Counts ready servers whose message latency is known, since they hold load or were slow
    /// within `span`, and those that were slow.
    pub(crate) fn slow_servers(&self, now: Nanos, span: Nanos) -> SlowServers {
        let mut count = SlowServers::default();
        for server in self.ready() {
            let is_slow = is_within(server.slow_messages_at, now, span);
            if is_slow || self.load_on(server) > 0.0 {
                count.known += 1.0;
            }
            if is_slow {
                count.slow += 1.0;
            }
        }
        count
    }

    // ---- settings ----

    /// Takes over other settings. No ejection outlasts the longest deadline, and signs of overload
    /// that were judged by other classes are dropped.
    pub(crate) fn replace_settings(&mut self, now: Nanos, before: &Settings, after: &Settings) {
        let classes = after.classes.len();
        self.class_means.resize_with(classes, MeanLoad::default);
        self.load.resize(classes);
        if before.has_live_weights != after.has_live_weights {
            self.machine_sizes = after.has_live_weights.then(|| self.greatest_weights());
        }
        let latest_ejection = now.saturating_add(after.longest_deadline());
        for server in self.servers.values_mut() {
            server.load.resize(classes);
            server.ejected_until = server.ejected_until.min(latest_ejection);
            if before.classes != after.classes {
                server.clear_overload();
            }
        }
    }

    /// The greatest present weight of each machine type.
    fn greatest_weights(&self) -> BTreeMap<u64, f64> {
        let mut sizes = BTreeMap::new();
        for server in self.servers.values() {
            let size = sizes.entry(server.entry.machine_type).or_insert(0.0_f64);
            *size = size.max(server.weight());
        }
        sizes
    }
}
