//! Session affinity: each balancer's placement table, the placements gossiped by its peers, and configurations that are
//! rolled out over the balancers.

use beaconflow_affinity::{
    Bound, Client, EndReason, EndpointView, Group, Key, Limits, Placement, PlacementTable,
    Rebalancer, ServerStatus, Stamp, Tag, Version, VersionFact,
};
use beaconflow_gossip::{FactChange, FactStore, Subject, Value};
use beaconflow_policy::{ListUpdate, MigrationReason, Pin, ServerId, ServerState};
use rustc_hash::FxHashMap;

use super::{Engine, Phase};
use crate::mesh;
use crate::scenario::Failure;
use crate::versions::Configurations;

/// Fact kinds that only the simulated hosts read: placements and configuration versions.
const PLACEMENT_FACT_KIND: u32 = 100;
const VERSION_FACT_KIND: u32 = 101;
/// Lifetime of placement and version facts, in milliseconds.
const FACT_TTL_MS: u64 = 3_600_000;
/// Clients that a configuration change may migrate per second, over all balancers.
const REBALANCED_CLIENTS_PER_S: f64 = 40.0;
/// Interval at which a balancer republishes its configuration versions, in seconds.
const VERSION_PUBLISH_PERIOD_S: u64 = 20;

/// What a balancer knows about placements.
pub(super) struct BalancerPlacements {
    table: PlacementTable,
    /// Wall clock time since which it has seen each gateway ready; `None` if it is not ready.
    ready_since: Vec<Option<u64>>,
    stamps: FxHashMap<u64, Stamp>,
    rebalancer: Rebalancer,
    pending_requests: FxHashMap<Key, u64>,
}

/// A balancer's view of the gateways.
struct GatewayView<'a> {
    placements: &'a BalancerPlacements,
    configurations: &'a Configurations,
    configuration_index: usize,
    started_at_ms: Vec<u64>,
}

impl EndpointView for GatewayView<'_> {
    fn server(&self, server: Tag) -> Option<ServerStatus> {
        let index = self.configurations.gateway(server)? as usize;
        let is_known = self.configurations.all[self.configuration_index].gateways[index]
            .is_some_and(|(tag, _)| tag == server);
        is_known.then(|| ServerStatus {
            is_ready: self.placements.ready_since[index].is_some(),
            ready_since: self.placements.ready_since[index].unwrap_or(0),
            started_at: self.started_at_ms[index],
        })
    }

    fn permits(&self, _: &Client, server: Tag) -> bool {
        self.server(server).is_some()
    }
}

fn origin(balancer: u32, incarnation: u64) -> u64 {
    u64::from(balancer) << 32 | incarnation
}

impl Engine<'_> {
    /// Gives a starting balancer an empty placement table, if affinity is on.
    pub(super) fn init_placements(&mut self, balancer: u32) {
        if !self.scenario.fleet.affinity {
            return;
        }
        let incarnation = u64::from(self.balancers[balancer as usize].incarnation) + 1;
        let (origin, wall) = (origin(balancer, incarnation), mesh::wall_clock_ms(self.now));
        let bound = Bound {
            entries: 400_000,
            bytes: usize::MAX,
        };
        let limits = Limits {
            bound,
            ttl_s: 3_600,
            return_delay_s: 60,
            max_group_per_server: 64,
        };
        let mut table = PlacementTable::new(limits, origin, origin);
        let configuration_index = self.hosts[balancer as usize].configuration_index;
        table.adopt(
            self.configurations.all[configuration_index].version,
            0,
            wall,
        );
        // Placements of the balancer's previous incarnation are no longer held by a process.
        table.record_balancer_death(self::origin(balancer, incarnation - 1));
        self.hosts[balancer as usize].placements = Some(BalancerPlacements {
            table,
            ready_since: vec![Some(0); self.gateways.len()],
            stamps: FxHashMap::default(),
            rebalancer: Rebalancer::new(REBALANCED_CLIENTS_PER_S, self.scenario.balancers, origin),
            pending_requests: FxHashMap::default(),
        });
        self.publish_versions(balancer);
    }

    /// Updates since when each gateway is ready from the balancer's current list.
    pub(super) fn update_ready_since(&mut self, balancer: u32) {
        let wall = mesh::wall_clock_ms(self.now);
        let host = &mut self.hosts[balancer as usize];
        let (Some(placements), Some(list)) = (&mut host.placements, &host.list) else {
            return;
        };
        for (since, listed) in placements.ready_since.iter_mut().zip(list.iter()) {
            *since = if listed.state == ServerState::Ready {
                Some(since.unwrap_or(wall))
            } else {
                None
            };
        }
    }

    fn client_of(&self, client: u64) -> Client {
        let client_state = &self.clients[&client];
        Client {
            key: Key(client_state.key),
            group: client_state.group.map(|group| Group(u64::from(group))),
            tenant: None,
        }
    }

    /// The gateway that affinity prefers for a client, if any.
    pub(super) fn affinity_pin(&self, balancer: u32, client: u64) -> Option<Pin> {
        let host = &self.hosts[balancer as usize];
        let (placements, list) = (host.placements.as_ref()?, host.list.as_ref()?);
        let started_at_ms = list
            .iter()
            .map(|listed| listed.started_at.map_or(0, mesh::wall_clock_ms))
            .collect();
        let view = GatewayView {
            placements,
            configurations: &self.configurations,
            configuration_index: host.configuration_index,
            started_at_ms,
        };
        let advice = placements.table.advise(
            &self.client_of(client),
            &view,
            mesh::wall_clock_ms(self.now),
        )?;
        let server = self.configurations.gateway(advice.server).map(ServerId);
        Some(Pin {
            server,
            strict: false,
        })
    }

    /// Records and publishes the placement of a connection established through a balancer.
    pub(super) fn record_placement(
        &mut self,
        balancer: u32,
        request: u64,
        client: u64,
        gateway: u32,
    ) {
        let (client_id, wall) = (self.client_of(client), mesh::wall_clock_ms(self.now));
        let configuration_index = self.hosts[balancer as usize].configuration_index;
        let Some((tag, _)) =
            self.configurations.all[configuration_index].gateways[gateway as usize]
        else {
            return;
        };
        let Some(placements) = &mut self.hosts[balancer as usize].placements else {
            return;
        };
        if let Ok(placement) = placements.table.record_established(&client_id, tag, wall) {
            placements.stamps.insert(request, placement.stamp);
            self.publish_placement(balancer, &placement);
        }
    }

    /// Records the placement of a connection that exists when the run begins; all balancers know it at once.
    pub(super) fn record_initial_placement(
        &mut self,
        balancer: u32,
        request: u64,
        client: u64,
        gateway: u32,
    ) {
        self.record_placement(balancer, request, client, gateway);
        let key = Key(self.clients[&client].key);
        let wall = mesh::wall_clock_ms(self.now);
        let placement = self.hosts[balancer as usize]
            .placements
            .as_ref()
            .and_then(|placements| placements.table.get(key));
        let Some(placement) = placement else { return };
        let name = mesh::balancer_name(balancer);
        let fact_store = self.hosts[balancer as usize]
            .node
            .as_ref()
            .map(|node| &node.payload().fact_store);
        let Some(record) =
            fact_store.and_then(|facts| facts.export_fact(&placement_subject(key), &name, wall))
        else {
            return;
        };
        for host in &mut self.hosts {
            if let (Some(placements), Some(node)) = (&mut host.placements, &mut host.node) {
                placements.table.merge(&placement, wall);
                node.payload_mut().fact_store.import([&record[..]], 0, wall);
            }
        }
    }

    /// Records and publishes the end of a connection through a balancer.
    pub(super) fn record_placement_ended(
        &mut self,
        balancer: u32,
        request: u64,
        client: u64,
        reason: EndReason,
    ) {
        let wall = mesh::wall_clock_ms(self.now);
        let Some(key) = self
            .clients
            .get(&client)
            .map(|client_state| Key(client_state.key))
        else {
            return;
        };
        let Some(placements) = &mut self.hosts[balancer as usize].placements else {
            return;
        };
        let Some(stamp) = placements.stamps.remove(&request) else {
            return;
        };
        if let Some(ended) = placements.table.record_ended(key, stamp, reason, wall) {
            self.publish_placement(balancer, &ended);
        }
    }

    fn fact_store(&mut self, balancer: u32) -> Option<&mut FactStore> {
        Some(
            &mut self.hosts[balancer as usize]
                .node
                .as_mut()?
                .payload_mut()
                .fact_store,
        )
    }

    fn publish_placement(&mut self, balancer: u32, placement: &Placement) {
        let (bytes, wall) = (encode_placement(placement), mesh::wall_clock_ms(self.now));
        if let Some(fact_store) = self.fact_store(balancer) {
            // A fact that exceeds the store's bounds is not published.
            drop(fact_store.observe(
                &placement_subject(placement.key),
                &Value::Unknown(bytes),
                FACT_TTL_MS,
                wall,
            ));
        }
    }

    /// Publishes the configuration versions that a balancer knows.
    pub(super) fn publish_versions(&mut self, balancer: u32) {
        let wall = mesh::wall_clock_ms(self.now);
        let Some(placements) = &mut self.hosts[balancer as usize].placements else {
            return;
        };
        placements.table.refresh_current_version(wall);
        let facts: Vec<VersionFact> = placements.table.versions().facts().copied().collect();
        let Some(fact_store) = self.fact_store(balancer) else {
            return;
        };
        for fact in facts {
            let key = fact.version.0.to_be_bytes().to_vec();
            let subject = Subject::Unknown {
                kind: VERSION_FACT_KIND,
                key,
                is_per_process: true,
            };
            drop(fact_store.observe(
                &subject,
                &Value::Unknown(encode_version(&fact)),
                FACT_TTL_MS,
                wall,
            ));
        }
    }

    /// Merges placements and versions received from peers.
    pub(super) fn on_changes(&mut self, balancer: u32, changes: &[FactChange]) {
        let wall = mesh::wall_clock_ms(self.now);
        let Some(placements) = &mut self.hosts[balancer as usize].placements else {
            return;
        };
        for fact in changes.iter().filter_map(FactChange::after) {
            match (fact.subject, fact.value) {
                (
                    Subject::Unknown {
                        kind: PLACEMENT_FACT_KIND,
                        ..
                    },
                    Value::Unknown(bytes),
                ) => {
                    if let Some(placement) = decode_placement(&bytes) {
                        placements.table.merge(&placement, wall);
                    }
                }
                (
                    Subject::Unknown {
                        kind: VERSION_FACT_KIND,
                        ..
                    },
                    Value::Unknown(bytes),
                ) => {
                    if let Some(fact) = decode_version(&bytes) {
                        placements.table.merge_version(&fact, wall);
                    }
                }
                _ => {}
            }
        }
    }

    /// Tells a balancer that an incarnation of a peer has ended.
    pub(super) fn on_balancer_died(&mut self, balancer: u32, peer: u32, incarnation: u64) {
        if let Some(placements) = &mut self.hosts[balancer as usize].placements {
            placements
                .table
                .record_balancer_death(origin(peer, incarnation));
        }
    }

    /// Switches a balancer to the configuration of a roll.
    pub(super) fn adopt_configuration(&mut self, balancer: u32, failure: u32) {
        let is_roll = |at: &u32| {
            matches!(
                self.scenario.failures[*at as usize].get_ref(),
                Failure::ConfigRoll { .. }
            )
        };
        let number = (0..=failure).filter(is_roll).count();
        self.hosts[balancer as usize].configuration_index = number;
        let configured = &self.configurations.all[number];
        self.newest_configuration = self.newest_configuration.max(number);
        let (version, renames) = (configured.version, configured.renames.clone());
        let wall = mesh::wall_clock_ms(self.now);
        if let Some(placements) = &mut self.hosts[balancer as usize].placements {
            placements.table.adopt(version, 0, wall);
            renames
                .iter()
                .for_each(|(old, new)| placements.table.rename_server(*old, *new));
            self.publish_versions(balancer);
            self.start_rebalancing(balancer);
        }
        self.send_server_list(balancer, ListUpdate::Snapshot);
    }

    /// Queues the connections to gateways that the new configuration no longer contains for rebalancing.
    fn start_rebalancing(&mut self, balancer: u32) {
        let gateways =
            &self.configurations.all[self.hosts[balancer as usize].configuration_index].gateways;
        let is_stranded = |request_state: &super::Request| match request_state.phase {
            Phase::Established { gateway } => {
                gateways[gateway as usize].is_none() && request_state.balancer == balancer
            }
            _ => false,
        };
        let stranded = self
            .requests
            .iter()
            .filter(|(_, request_state)| is_stranded(request_state));
        let stranded: Vec<(Key, Option<Group>, u64)> = stranded
            .map(|(id, request_state)| {
                let client = self.client_of(request_state.client);
                (client.key, client.group, *id)
            })
            .collect();
        let Some(placements) = &mut self.hosts[balancer as usize].placements else {
            return;
        };
        placements.pending_requests = stranded
            .iter()
            .map(|(key, _, request)| (*key, *request))
            .collect();
        placements
            .rebalancer
            .set_pending(stranded.into_iter().map(|(key, group, _)| (key, group)));
    }

    /// Runs every second: migrates the connections whose turn it is and republishes versions periodically.
    pub(super) fn run_rebalancers(&mut self) {
        let wall = mesh::wall_clock_ms(self.now);
        for balancer in 0..self.hosts.len() as u32 {
            let Some(placements) = &mut self.hosts[balancer as usize].placements else {
                continue;
            };
            let due_keys = placements.rebalancer.take_permitted(wall);
            let requests: Vec<u64> = due_keys
                .iter()
                .filter_map(|key| placements.pending_requests.remove(key))
                .collect();
            for request in requests {
                if matches!(
                    self.requests
                        .get(&request)
                        .map(|request_state| request_state.phase),
                    Some(Phase::Established { .. })
                ) {
                    self.measures.fleet.redealt += 1;
                    self.migrate(request, MigrationReason::ServerLeaving, true);
                }
            }
            if (wall / 1_000 + u64::from(balancer)).is_multiple_of(VERSION_PUBLISH_PERIOD_S) {
                self.publish_versions(balancer);
            }
        }
    }

    /// Counts a reconnected client whose previous gateway was still available, and whether it got that gateway.
    pub(super) fn count_return(&mut self, client: u64, gateway: u32) {
        let Some(last_gateway) = self.clients[&client].last_gateway else {
            return;
        };
        let gateway_state = &self.gateways[last_gateway.gateway as usize];
        let started_at = gateway_state.gateway.started_at().unwrap_or(0);
        let stays = self.configurations.all[self.newest_configuration].gateways
            [last_gateway.gateway as usize]
            .is_some();
        if !last_gateway.was_migrated
            && stays
            && gateway_state.is_up
            && gateway_state.listed == ServerState::Ready
            && started_at <= last_gateway.established_at
        {
            self.measures.fleet.owed += 1;
            self.measures.fleet.landed += u64::from(gateway == last_gateway.gateway);
        }
    }
}

fn placement_subject(key: Key) -> Subject {
    Subject::Unknown {
        kind: PLACEMENT_FACT_KIND,
        key: key.0.to_be_bytes().to_vec(),
        is_per_process: false,
    }
}

fn encode_placement(placement: &Placement) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(64);
    let group = placement.group.map_or(0, |group| group.0);
    for word in [
        placement.key.0,
        group,
        placement.server.0,
        placement.stamp.0,
        u64::from(placement.seen_s),
    ] {
        bytes.extend_from_slice(&word.to_le_bytes());
    }
    bytes.extend_from_slice(&placement.config_version.0.to_le_bytes());
    bytes.extend_from_slice(&[
        placement.state.to_byte(),
        placement.overlap_count,
        u8::from(placement.group.is_some()),
    ]);
    bytes
}

fn decode_u64s<const N: usize>(bytes: &[u8]) -> Option<([u64; N], &[u8])> {
    let (head, rest) = bytes.split_at_checked(8 * N)?;
    let word = |at: usize| {
        head[8 * at..8 * at + 8]
            .try_into()
            .map_or(0, u64::from_le_bytes)
    };
    Some((std::array::from_fn(word), rest))
}

fn decode_placement(bytes: &[u8]) -> Option<Placement> {
    let ([key, group, server, stamp, seen_s, low, high], rest) = decode_u64s(bytes)?;
    let [state, overlap_count, has_group] = *rest else {
        return None;
    };
    Some(Placement {
        key: Key(key),
        group: (has_group == 1).then_some(Group(group)),
        server: Tag(server),
        config_version: Version(u128::from(high) << 64 | u128::from(low)),
        stamp: Stamp(stamp),
        seen_s: seen_s as u32,
        state: beaconflow_affinity::PlacementState::from_byte(state),
        overlap_count,
    })
}

fn encode_version(fact: &VersionFact) -> Vec<u8> {
    let (low, high) = (fact.version.0 as u64, (fact.version.0 >> 64) as u64);
    let words = [
        low,
        high,
        u64::from(fact.term),
        fact.serial,
        fact.adopted_at,
        fact.last_run_at,
    ];
    words.iter().flat_map(|word| word.to_le_bytes()).collect()
}

fn decode_version(bytes: &[u8]) -> Option<VersionFact> {
    let ([low, high, term, serial, adopted_at, last_run_at], _) = decode_u64s(bytes)?;
    let version = Version(u128::from(high) << 64 | u128::from(low));
    Some(VersionFact {
        version,
        term: term as u32,
        serial,
        adopted_at,
        last_run_at,
    })
}
