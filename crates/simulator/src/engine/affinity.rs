//! Who returns gets the gateway that it had: each balancer's memory of placements, what its peers tell of theirs, and
//! configurations that are rolled over the balancers.

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

/// Kinds of facts that only hosts read: placements, and versions.
const PLACED: u32 = 100;
const VERSIONS: u32 = 101;
/// Facts of these are good for so long, in milliseconds.
const GOOD: u64 = 3_600_000;
/// Clients that a version causes to be dealt anew, over all balancers, in a second.
const REDEALT: f64 = 40.0;
/// What a balancer runs is told anew after so many seconds.
const VERSION_PERIOD: u64 = 20;

/// What a balancer knows of placements.
pub(super) struct Places {
    memory: PlacementTable,
    /// Since when it has seen each gateway ready.
    ready_since: Vec<Option<u64>>,
    stamps: FxHashMap<u64, Stamp>,
    rebalancer: Rebalancer,
    redealt: FxHashMap<Key, u64>,
}

/// A balancer's view of the farm.
struct View<'a> {
    places: &'a Places,
    all: &'a Configurations,
    runs: usize,
    started: Vec<u64>,
}

impl EndpointView for View<'_> {
    fn server(&self, server: Tag) -> Option<ServerStatus> {
        let at = self.all.gateway(server)? as usize;
        let known = self.all.all[self.runs].gateways[at].is_some_and(|(tag, _)| tag == server);
        known.then(|| ServerStatus {
            is_ready: self.places.ready_since[at].is_some(),
            ready_since: self.places.ready_since[at].unwrap_or(0),
            started_at: self.started[at],
        })
    }

    fn permits(&self, _: &Client, server: Tag) -> bool {
        self.server(server).is_some()
    }
}

fn origin(balancer: u32, boot: u64) -> u64 {
    u64::from(balancer) << 32 | boot
}

impl Engine<'_> {
    /// A balancer begins with an empty memory of placements.
    pub(super) fn has_places(&mut self, balancer: u32) {
        if !self.scenario.fleet.affinity {
            return;
        }
        let start = u64::from(self.nodes[balancer as usize].start) + 1;
        let (origin, wall) = (origin(balancer, start), mesh::wall(self.now));
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
        let mut memory = PlacementTable::new(limits, origin, origin);
        let runs = self.hosts[balancer as usize].runs;
        memory.adopt(self.configurations.all[runs].version, 0, wall);
        // Its own former life is over.
        memory.record_balancer_death(self::origin(balancer, start - 1));
        self.hosts[balancer as usize].places = Some(Places {
            memory,
            ready_since: vec![Some(0); self.machines.len()],
            stamps: FxHashMap::default(),
            rebalancer: Rebalancer::new(REDEALT, self.scenario.balancers, origin),
            redealt: FxHashMap::default(),
        });
        self.publish_versions(balancer);
    }

    /// The gateways that a balancer has heard to be ready.
    pub(super) fn sees_ready(&mut self, balancer: u32) {
        let wall = mesh::wall(self.now);
        let host = &mut self.hosts[balancer as usize];
        let (Some(places), Some(list)) = (&mut host.places, &host.list) else {
            return;
        };
        for (since, listed) in places.ready_since.iter_mut().zip(list.iter()) {
            *since = if listed.state == ServerState::Ready {
                Some(since.unwrap_or(wall))
            } else {
                None
            };
        }
    }

    fn client_of(&self, client: u64) -> Client {
        let one = &self.clients[&client];
        Client {
            key: Key(one.key),
            group: one.group.map(|group| Group(u64::from(group))),
            tenant: None,
        }
    }

    /// Where a client that comes to a balancer is led, if anywhere.
    pub(super) fn pin(&self, balancer: u32, client: u64) -> Option<Pin> {
        let host = &self.hosts[balancer as usize];
        let (places, list) = (host.places.as_ref()?, host.list.as_ref()?);
        let started = list
            .iter()
            .map(|one| one.started_at.map_or(0, mesh::wall))
            .collect();
        let view = View {
            places,
            all: &self.configurations,
            runs: host.runs,
            started,
        };
        let advice = places
            .memory
            .advise(&self.client_of(client), &view, mesh::wall(self.now))?;
        let server = self.configurations.gateway(advice.server).map(ServerId);
        Some(Pin {
            server,
            strict: false,
        })
    }

    /// A connection stands through a balancer.
    pub(super) fn is_placed(&mut self, balancer: u32, request: u64, client: u64, gateway: u32) {
        let (who, wall) = (self.client_of(client), mesh::wall(self.now));
        let runs = self.hosts[balancer as usize].runs;
        let Some((tag, _)) = self.configurations.all[runs].gateways[gateway as usize] else {
            return;
        };
        let Some(places) = &mut self.hosts[balancer as usize].places else {
            return;
        };
        if let Ok(placed) = places.memory.record_established(&who, tag, wall) {
            places.stamps.insert(request, placed.stamp);
            self.publish_placement(balancer, &placed);
        }
    }

    /// One that stood when the run began is known to all.
    pub(super) fn was_placed(&mut self, balancer: u32, request: u64, client: u64, gateway: u32) {
        self.is_placed(balancer, request, client, gateway);
        let key = Key(self.clients[&client].key);
        let wall = mesh::wall(self.now);
        let placed = self.hosts[balancer as usize]
            .places
            .as_ref()
            .and_then(|places| places.memory.get(key));
        let Some(placed) = placed else { return };
        let name = mesh::name(balancer);
        let knowledge = self.hosts[balancer as usize]
            .node
            .as_ref()
            .map(|node| &node.payload().knowledge);
        let Some(record) =
            knowledge.and_then(|known| known.export_fact(&subject(key), &name, wall))
        else {
            return;
        };
        for host in &mut self.hosts {
            if let (Some(places), Some(node)) = (&mut host.places, &mut host.node) {
                places.memory.merge(&placed, wall);
                node.payload_mut().knowledge.import([&record[..]], 0, wall);
            }
        }
    }

    /// A connection through a balancer has ended.
    pub(super) fn is_gone(&mut self, balancer: u32, request: u64, client: u64, how: EndReason) {
        let wall = mesh::wall(self.now);
        let Some(key) = self.clients.get(&client).map(|one| Key(one.key)) else {
            return;
        };
        let Some(places) = &mut self.hosts[balancer as usize].places else {
            return;
        };
        let Some(stamp) = places.stamps.remove(&request) else {
            return;
        };
        if let Some(ended) = places.memory.record_ended(key, stamp, how, wall) {
            self.publish_placement(balancer, &ended);
        }
    }

    fn knowledge(&mut self, balancer: u32) -> Option<&mut FactStore> {
        Some(
            &mut self.hosts[balancer as usize]
                .node
                .as_mut()?
                .payload_mut()
                .knowledge,
        )
    }

    fn publish_placement(&mut self, balancer: u32, placed: &Placement) {
        let (bytes, wall) = (encode(placed), mesh::wall(self.now));
        if let Some(knowledge) = self.knowledge(balancer) {
            // One that finds no room is not told.
            drop(knowledge.observe(&subject(placed.key), &Value::Unknown(bytes), GOOD, wall));
        }
    }

    /// A balancer tells what it knows of versions.
    pub(super) fn publish_versions(&mut self, balancer: u32) {
        let wall = mesh::wall(self.now);
        let Some(places) = &mut self.hosts[balancer as usize].places else {
            return;
        };
        places.memory.refresh_current_version(wall);
        let facts: Vec<VersionFact> = places.memory.versions().facts().copied().collect();
        let Some(knowledge) = self.knowledge(balancer) else {
            return;
        };
        for fact in facts {
            let key = fact.version.0.to_be_bytes().to_vec();
            let subject = Subject::Unknown {
                kind: VERSIONS,
                key,
                is_per_process: true,
            };
            drop(knowledge.observe(&subject, &Value::Unknown(encode_version(&fact)), GOOD, wall));
        }
    }

    /// What peers told of placements and versions.
    pub(super) fn on_changes(&mut self, balancer: u32, news: &[FactChange]) {
        let wall = mesh::wall(self.now);
        let Some(places) = &mut self.hosts[balancer as usize].places else {
            return;
        };
        for fact in news.iter().filter_map(FactChange::after) {
            match (fact.subject, fact.value) {
                (Subject::Unknown { kind: PLACED, .. }, Value::Unknown(bytes)) => {
                    if let Some(placed) = decode(&bytes) {
                        places.memory.merge(&placed, wall);
                    }
                }
                (Subject::Unknown { kind: VERSIONS, .. }, Value::Unknown(bytes)) => {
                    if let Some(fact) = decode_version(&bytes) {
                        places.memory.merge_version(&fact, wall);
                    }
                }
                _ => {}
            }
        }
    }

    /// A balancer's peers find that another life of a balancer is over.
    pub(super) fn on_balancer_died(&mut self, balancer: u32, of: u32, boot: u64) {
        if let Some(places) = &mut self.hosts[balancer as usize].places {
            places.memory.record_balancer_death(origin(of, boot));
        }
    }

    /// A balancer takes the configuration of a roll over.
    pub(super) fn adopts(&mut self, balancer: u32, failure: u32) {
        let is_roll = |at: &u32| {
            matches!(
                self.scenario.failures[*at as usize].get_ref(),
                Failure::ConfigRoll { .. }
            )
        };
        let number = (0..=failure).filter(is_roll).count();
        self.hosts[balancer as usize].runs = number;
        let configured = &self.configurations.all[number];
        self.newest = self.newest.max(number);
        let (version, renames) = (configured.version, configured.renames.clone());
        let wall = mesh::wall(self.now);
        if let Some(places) = &mut self.hosts[balancer as usize].places {
            places.memory.adopt(version, 0, wall);
            renames
                .iter()
                .for_each(|(old, new)| places.memory.rename_server(*old, *new));
            self.publish_versions(balancer);
            self.start_rebalancing(balancer);
        }
        self.tell_module(balancer, ListUpdate::Snapshot);
    }

    /// Those that stand where the new configuration has them no longer are to be dealt anew.
    fn start_rebalancing(&mut self, balancer: u32) {
        let gateways = &self.configurations.all[self.hosts[balancer as usize].runs].gateways;
        let stands = |one: &super::Request| match one.phase {
            Phase::Stands { gateway } => {
                gateways[gateway as usize].is_none() && one.balancer == balancer
            }
            _ => false,
        };
        let barred = self.requests.iter().filter(|(_, one)| stands(one));
        let barred: Vec<(Key, Option<Group>, u64)> = barred
            .map(|(id, one)| {
                let client = self.client_of(one.client);
                (client.key, client.group, *id)
            })
            .collect();
        let Some(places) = &mut self.hosts[balancer as usize].places else {
            return;
        };
        places.redealt = barred
            .iter()
            .map(|(key, _, request)| (*key, *request))
            .collect();
        places
            .rebalancer
            .set_pending(barred.into_iter().map(|(key, group, _)| (key, group)));
    }

    /// Each second: those due are dealt anew, and what runs is told again.
    pub(super) fn deals_anew(&mut self) {
        let wall = mesh::wall(self.now);
        for balancer in 0..self.hosts.len() as u32 {
            let Some(places) = &mut self.hosts[balancer as usize].places else {
                continue;
            };
            let due = places.rebalancer.take_permitted(wall);
            let requests: Vec<u64> = due
                .iter()
                .filter_map(|key| places.redealt.remove(key))
                .collect();
            for request in requests {
                if matches!(
                    self.requests.get(&request).map(|one| one.phase),
                    Some(Phase::Stands { .. })
                ) {
                    self.measures.fleet.redealt += 1;
                    self.moves(request, MigrationReason::ServerLeaving, true);
                }
            }
            if (wall / 1_000 + u64::from(balancer)).is_multiple_of(VERSION_PERIOD) {
                self.publish_versions(balancer);
            }
        }
    }

    /// A client that returned stands: whether it was owed the gateway that it had, and got it.
    pub(super) fn judges_return(&mut self, client: u64, gateway: u32) {
        let Some(had) = self.clients[&client].had else {
            return;
        };
        let machine = &self.machines[had.gateway as usize];
        let started = machine.gateway.started_at().unwrap_or(0);
        let stays = self.configurations.all[self.newest].gateways[had.gateway as usize].is_some();
        if !had.moved
            && stays
            && machine.up
            && machine.listed == ServerState::Ready
            && started <= had.since
        {
            self.measures.fleet.owed += 1;
            self.measures.fleet.landed += u64::from(gateway == had.gateway);
        }
    }
}

fn subject(key: Key) -> Subject {
    Subject::Unknown {
        kind: PLACED,
        key: key.0.to_be_bytes().to_vec(),
        is_per_process: false,
    }
}

fn encode(placed: &Placement) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(64);
    let group = placed.group.map_or(0, |group| group.0);
    for word in [
        placed.key.0,
        group,
        placed.server.0,
        placed.stamp.0,
        u64::from(placed.seen_s),
    ] {
        bytes.extend_from_slice(&word.to_le_bytes());
    }
    bytes.extend_from_slice(&placed.config_version.0.to_le_bytes());
    bytes.extend_from_slice(&[
        placed.state.to_byte(),
        placed.overlap_count,
        u8::from(placed.group.is_some()),
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

fn decode(bytes: &[u8]) -> Option<Placement> {
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
