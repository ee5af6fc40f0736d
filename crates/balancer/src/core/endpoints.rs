//! The endpoint registry: all servers by name and by id, with overrides and site assessments.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;

use beaconflow_affinity::ServerStatus;
use beaconflow_overrides::{
    CoverageGaps, Millis, OverrideId, OverrideSet, ServerAdjustment, Strictness, find_coverage_gaps,
};
use beaconflow_policy::{Nanos, Pin, ServerEntry, ServerId, ServerState, ZoneId};
use beaconflow_settings::digest;

use super::effective_entry::{SiteAssessment, effective_entry, ready_since};
use super::endpoint::{DrainState, Endpoint};
use super::fleet_link::ServerIdentity;
use crate::discovery::{ListedServer, ServerLifecycle, ServerList};

struct KnownServer {
    endpoint: Arc<Endpoint>,
    /// Entry as listed.
    listed: ServerEntry,
    /// Entry as the policy sees it, with overrides and assessments.
    effective: ServerEntry,
    zone: String,
    /// Since when it has been ready without interruption; 0 if since it was first listed.
    ready_since: Option<Millis>,
    /// When slow messages were last reported.
    slow_reported_at: Option<Nanos>,
    /// Number of the list that removed it, if it is not listed.
    removed_by: Option<u64>,
}

/// Most removed servers whose records are kept for their return.
const MAX_REMOVED_SERVERS: usize = 1_024;

/// All listed servers, and those that were removed lately.
pub(super) struct EndpointRegistry {
    servers: BTreeMap<ServerId, KnownServer>,
    /// Id of the next new server. Ids are not used again.
    next_id: ServerId,
    /// Removed servers by the list that removed them.
    removed: BTreeSet<(u64, ServerId)>,
    /// Number of lists applied so far.
    lists_applied: u64,
    ids: BTreeMap<String, ServerId>,
    /// Ids by the hash of the server's name.
    ids_by_hash: BTreeMap<u64, ServerId>,
    pub(super) overrides: OverrideSet,
    /// Servers whose effective entry may differ from the listed one.
    adjusted: BTreeSet<ServerId>,
    /// Site assessments by server name.
    assessments: BTreeMap<String, SiteAssessment>,
}

/// A snapshot of one server.
#[derive(Clone, Debug)]
pub struct ServerSnapshot {
    /// Name in the server list.
    pub name: String,
    /// Address that attempts connect to.
    pub address: SocketAddr,
    /// Name of its zone.
    pub zone: String,
    /// Whether it accepts new connections: as listed, and in effect.
    pub state: (ServerState, ServerState),
    /// Weight: as listed, and in effect.
    pub weight: (f64, f64),
    /// Number of established connections.
    pub established: usize,
    /// Its site assessment, if it differs from the listed state.
    pub assessment: Option<SiteAssessment>,
}

impl EndpointRegistry {
    /// Creates a registry without servers.
    pub(super) fn new(overrides: OverrideSet) -> EndpointRegistry {
        EndpointRegistry {
            servers: BTreeMap::new(),
            next_id: ServerId(0),
            removed: BTreeSet::new(),
            lists_applied: 0,
            ids: BTreeMap::new(),
            ids_by_hash: BTreeMap::new(),
            overrides,
            adjusted: BTreeSet::new(),
            assessments: BTreeMap::new(),
        }
    }

    /// Applies a list; returns the effective entries. A server missing in a snapshot is removed.
    pub(super) fn apply_list(
        &mut self,
        list: ServerList,
        now: Millis,
        zone: impl Fn(&str) -> Option<u32>,
    ) -> Vec<ServerEntry> {
        self.lists_applied += 1;
        if list.reset {
            // Drain states follow below: an attempt must not see a server as removed while the list
            // is read.
            for known in self.servers.values_mut() {
                (known.listed.state, known.effective.state) =
                    (ServerState::Removed, ServerState::Removed);
            }
        }
        let is_snapshot = list.reset;
        let entries = list
            .instances
            .into_iter()
            .filter_map(|listed| self.apply_entry(listed, now, &zone))
            .collect();
        if is_snapshot {
            self.mark_unlisted();
        }
        entries
    }

    /// Marks the servers that a snapshot did not name. This follows once the whole list was applied: a
    /// server that is listed again must not be refused in between.
    fn mark_unlisted(&mut self) {
        let removed = self
            .servers
            .iter_mut()
            .filter(|(_, known)| known.effective.state == ServerState::Removed);
        for (id, known) in removed {
            known.ready_since = None;
            known.endpoint.drain_state.set_leaving(true);
            let removed_by = *known.removed_by.get_or_insert(self.lists_applied);
            self.removed.insert((removed_by, *id));
        }
    }

    /// Whether more removed servers are known than are kept.
    pub(super) fn has_excess_removed(&self) -> bool {
        self.removed.len() > MAX_REMOVED_SERVERS
    }

    /// Forgets the servers that were removed first, beyond those that are kept, but none of the
    /// referenced ones. Returns the forgotten ones.
    pub(super) fn forget_removed(&mut self, referenced: &BTreeSet<ServerId>) -> Vec<ServerId> {
        let excess = self.removed.len().saturating_sub(MAX_REMOVED_SERVERS);
        let unreferenced = self
            .removed
            .iter()
            .filter(|(_, id)| !referenced.contains(id));
        let forgotten: Vec<(u64, ServerId)> = unreferenced.take(excess).copied().collect();
        for entry in &forgotten {
            self.removed.remove(entry);
            self.forget(entry.1);
        }
        forgotten.into_iter().map(|(_, id)| id).collect()
    }

    fn forget(&mut self, id: ServerId) {
        self.adjusted.remove(&id);
        if let Some(known) = self.servers.remove(&id) {
            self.ids.remove(&*known.endpoint.name);
            self.ids_by_hash.remove(&known.listed.name_hash);
        }
    }

    fn apply_entry(
        &mut self,
        listed: ListedServer,
        now: Millis,
        zone: &impl Fn(&str) -> Option<u32>,
    ) -> Option<ServerEntry> {
        let known_id = self.ids.get(&listed.instance_id).copied();
        let previous = known_id.and_then(|id| self.servers.get(&id));
        let address = listed
            .host_port
            .or_else(|| previous.map(|known| known.endpoint.address))?;
        let id = known_id.unwrap_or(self.next_id);
        let entry = policy_entry(&listed, id, zone);
        let adjustment = self.adjustment(&listed.instance_id, now);
        let assessment = self.assessments.get(&listed.instance_id);
        if adjustment != ServerAdjustment::AS_LISTED || assessment.is_some() {
            self.adjusted.insert(id);
        }
        let effective = effective_entry(&entry, adjustment, assessment);
        // Attempts in flight share the drain state and see the change.
        let drain_state = previous
            .map(|known| Arc::clone(&known.endpoint.drain_state))
            .unwrap_or_default();
        drain_state.set_leaving(effective.state != ServerState::Ready);
        let previous_ready_since = previous.map(|known| known.ready_since);
        let previously_removed_by = previous.and_then(|known| known.removed_by);
        let removed_by = (entry.state == ServerState::Removed)
            .then(|| previously_removed_by.unwrap_or(self.lists_applied));
        if let Some(number) = previously_removed_by {
            self.removed.remove(&(number, id));
        }
        if let Some(number) = removed_by {
            self.removed.insert((number, id));
        }
        let endpoint = Endpoint {
            name: listed.instance_id.as_str().into(),
            address,
            drain_state,
        };
        let server = KnownServer {
            endpoint: Arc::new(endpoint),
            listed: entry,
            effective: effective.clone(),
            zone: listed.zone,
            ready_since: ready_since(effective.state, previous_ready_since, now),
            slow_reported_at: None,
            removed_by,
        };
        self.insert(id, listed.instance_id, server);
        Some(effective)
    }

    fn insert(&mut self, id: ServerId, name: String, server: KnownServer) {
        if id == self.next_id {
            self.next_id = ServerId(id.0.saturating_add(1));
            self.ids_by_hash.insert(server.listed.name_hash, id);
            self.ids.insert(name, id);
        }
        self.servers.insert(id, server);
    }

    /// Applies other zone numbers; returns the entries that changed.
    pub(super) fn renumber_zones(
        &mut self,
        zone: impl Fn(&str) -> Option<u32>,
    ) -> Vec<ServerEntry> {
        let mut changed = Vec::new();
        for known in self.servers.values_mut() {
            let number = ZoneId(zone(&known.zone).unwrap_or(u32::MAX));
            if known.effective.zone != number {
                (known.listed.zone, known.effective.zone) = (number, number);
                changed.push(known.effective.clone());
            }
        }
        changed
    }

    /// The effect of overrides on a server. A panic in their evaluation must not lose the list.
    fn adjustment(&self, name: &str, now: Millis) -> ServerAdjustment {
        let evaluate = AssertUnwindSafe(|| self.overrides.server_adjustment(name, now));
        catch_unwind(evaluate).unwrap_or(ServerAdjustment::AS_LISTED)
    }

    /// Evaluates overrides and assessments again; returns the entries that changed.
    pub(super) fn refresh(&mut self, now: Millis) -> Vec<ServerEntry> {
        let named = self
            .overrides
            .affected_servers()
            .filter_map(|name| self.ids.get(name).copied());
        let servers: BTreeSet<ServerId> = named.chain(self.adjusted.iter().copied()).collect();
        let mut changed = Vec::new();
        for id in servers {
            let Some(known) = self.servers.get_mut(&id) else {
                continue;
            };
            let adjustment = self.overrides.server_adjustment(&known.endpoint.name, now);
            let assessment = self.assessments.get(&*known.endpoint.name);
            if adjustment == ServerAdjustment::AS_LISTED && assessment.is_none() {
                self.adjusted.remove(&id);
            } else {
                self.adjusted.insert(id);
            }
            let effective = effective_entry(&known.listed, adjustment, assessment);
            if effective != known.effective {
                let is_leaving = effective.state != ServerState::Ready;
                known.endpoint.drain_state.set_leaving(is_leaving);
                known.ready_since = ready_since(effective.state, Some(known.ready_since), now);
                known.effective = effective.clone();
                changed.push(effective);
            }
        }
        changed
    }

    /// Replaces the site assessments; [`EndpointRegistry::refresh`] follows.
    pub(super) fn set_assessments(&mut self, assessments: BTreeMap<String, SiteAssessment>) {
        let previous = std::mem::replace(&mut self.assessments, assessments);
        let names = previous.keys().chain(self.assessments.keys());
        self.adjusted
            .extend(names.filter_map(|name| self.ids.get(name).copied()));
    }

    /// The pin of a request, by the hashes of its group and tenant.
    pub(super) fn pin(&self, group: Option<u64>, tenant: Option<u64>, now: Millis) -> Option<Pin> {
        if !self.overrides.has_pins() {
            return None;
        }
        let pin = self.overrides.pin(group, tenant, now)?;
        let server = self.ids.get(pin.server).copied();
        Some(Pin {
            server,
            strict: pin.strictness == Strictness::Strict,
        })
    }

    /// The servers that an operator empties, with their overrides and rates.
    pub(super) fn emptied_servers(&self, now: Millis) -> BTreeMap<ServerId, (OverrideId, f64)> {
        let rate = |id: &ServerId| {
            let name = &self.servers.get(id)?.endpoint.name;
            Some((*id, self.overrides.migration_rate(name, now)?))
        };
        self.adjusted.iter().filter_map(rate).collect()
    }

    /// Zones that overrides leave without a ready server.
    pub(super) fn coverage(&self, now: Millis) -> CoverageGaps {
        if self.adjusted.is_empty() {
            return CoverageGaps::default();
        }
        let ready = self
            .servers
            .values()
            .filter(|known| known.listed.state == ServerState::Ready);
        find_coverage_gaps(
            ready.map(|known| (&*known.endpoint.name, known.zone.as_str())),
            &self.overrides,
            now,
        )
    }

    /// Drain states of the servers that operators have taken out of service.
    pub(super) fn drain_states_out_of_service(&self) -> Vec<Arc<DrainState>> {
        let adjusted = self.adjusted.iter().filter_map(|id| self.servers.get(id));
        let out_of_service =
            adjusted.filter(|known| known.effective.state == ServerState::OutOfService);
        out_of_service
            .map(|known| Arc::clone(&known.endpoint.drain_state))
            .collect()
    }

    pub(super) fn endpoint(&self, id: ServerId) -> Option<Arc<Endpoint>> {
        self.servers
            .get(&id)
            .map(|known| Arc::clone(&known.endpoint))
    }

    /// Name and start of a server.
    pub(super) fn identity(&self, id: ServerId) -> Option<ServerIdentity> {
        let known = self.servers.get(&id)?;
        let name = Arc::clone(&known.endpoint.name);
        Some(ServerIdentity {
            name,
            started_at_ms: known.listed.started_at / 1_000_000,
        })
    }

    /// Hash of a server's name; equal at every process.
    pub(super) fn name_hash(&self, id: ServerId) -> Option<u64> {
        self.servers.get(&id).map(|known| known.listed.name_hash)
    }

    pub(super) fn by_hash(&self, name_hash: u64) -> Option<ServerId> {
        self.ids_by_hash.get(&name_hash).copied()
    }

    /// Status of a server for session affinity.
    pub(super) fn affinity_target(&self, name_hash: u64) -> Option<ServerStatus> {
        let known = self.servers.get(&self.by_hash(name_hash)?)?;
        let (is_ready, ready_since) = (
            known.effective.state == ServerState::Ready,
            known.ready_since.unwrap_or(0),
        );
        let started_at = known.listed.started_at / 1_000_000;
        Some(ServerStatus {
            is_ready,
            ready_since,
            started_at,
        })
    }

    /// Name hashes and start times of all servers with a known start.
    pub(super) fn starts(&self) -> impl Iterator<Item = (u64, Millis)> {
        let started = self
            .servers
            .values()
            .filter(|known| known.listed.started_at > 0);
        started.map(|known| (known.listed.name_hash, known.listed.started_at / 1_000_000))
    }

    pub(super) fn by_name(&self, name: &str) -> Option<(ServerId, Arc<Endpoint>)> {
        let id = self.ids.get(name).copied()?;
        Some((id, self.endpoint(id)?))
    }

    /// The effective entries of all servers that have not been removed.
    pub(super) fn entries(&self) -> Vec<ServerEntry> {
        let present = self
            .servers
            .values()
            .filter(|known| known.effective.state != ServerState::Removed);
        present.map(|known| known.effective.clone()).collect()
    }

    /// Whether a message's latency is reported to the policy: once per period while messages are
    /// slow, and once when they no longer are.
    pub(super) fn should_report_latency(
        &mut self,
        server: ServerId,
        now: Nanos,
        is_slow: bool,
        period: Nanos,
    ) -> bool {
        let Some(known) = self.servers.get_mut(&server) else {
            return false;
        };
        let reported_at = known.slow_reported_at;
        match (is_slow, reported_at) {
            (true, Some(reported_at)) if now < reported_at.saturating_add(period) => false,
            (true, _) => {
                known.slow_reported_at = Some(now);
                true
            }
            (false, Some(reported_at)) if now >= reported_at.saturating_add(period) => {
                known.slow_reported_at = None;
                true
            }
            (false, _) => false,
        }
    }

    /// Whether every known server has been removed.
    pub(super) fn is_empty(&self) -> bool {
        self.servers
            .values()
            .all(|known| known.listed.state == ServerState::Removed)
    }

    pub(super) fn snapshots(&self, established: &BTreeMap<ServerId, usize>) -> Vec<ServerSnapshot> {
        let snapshot_of = |known: &KnownServer| ServerSnapshot {
            name: known.endpoint.name.to_string(),
            address: known.endpoint.address,
            zone: known.zone.clone(),
            state: (known.listed.state, known.effective.state),
            weight: (known.listed.weight, known.effective.weight),
            established: established.get(&known.listed.server).copied().unwrap_or(0),
            assessment: self.assessments.get(&*known.endpoint.name).cloned(),
        };
        self.servers
            .values()
            .filter(|known| known.listed.state != ServerState::Removed)
            .map(snapshot_of)
            .collect()
    }
}

/// The policy's entry of a listed server.
fn policy_entry(
    listed: &ListedServer,
    id: ServerId,
    zone: impl Fn(&str) -> Option<u32>,
) -> ServerEntry {
    ServerEntry {
        server: id,
        name_hash: digest(&listed.instance_id),
        state: match listed.lifecycle {
            ServerLifecycle::Serving => ServerState::Ready,
            ServerLifecycle::Draining => ServerState::Draining,
            ServerLifecycle::Deleted => ServerState::Removed,
        },
        zone: ZoneId(zone(&listed.zone).unwrap_or(u32::MAX)),
        cell: listed.cell,
        machine_type: digest(&listed.machine_type),
        weight: listed.weight,
        target_weight: None,
        started_at: listed.started_at_ms.saturating_mul(1_000_000),
    }
}

#[cfg(test)]
mod tests;
