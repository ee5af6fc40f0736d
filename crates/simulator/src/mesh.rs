//! Gossip between the balancers of a run: the production membership nodes with the production fact stores. The engine
//! delivers their datagrams.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use beaconflow_edge::UplinkReport;
use beaconflow_gossip::{Bounds, FactChange, FactKind, FactStore, Origin};
use beaconflow_membership::{
    Key, Keys, MIN_KEY_BYTES, Member, Millis, Node, Payload, Profile, Settings,
};
use beaconflow_recovery::PeerStatus;

use crate::Nanos;

/// Wall clock at the start of each run, in Unix milliseconds.
pub const START_WALL_CLOCK_MS: Millis = 1_800_000_000_000;
/// Bytes that a balancer's own status takes in a datagram.
const STATUS_BYTES: usize = 200;
/// Limit on the bytes of facts whose kinds only the simulated hosts read.
const MAX_UNKNOWN_FACT_BYTES: usize = 256 << 20;
/// Port of balancer 0; all balancers share one IP address and count up from this port.
const FIRST_PORT: u16 = 10_000;

/// The status that a balancer gossips. A datagram carries its index, padded to the size of the encoded status.
#[derive(Clone, Debug)]
pub struct StatusMessage {
    /// Progress of its recovery towards full service.
    pub peer_status: PeerStatus,
    /// What it observes of its zone's uplink; `None` if it does not judge it.
    pub uplink_report: Option<UplinkReport>,
}

/// All status messages published in a run, by index; shared by the nodes.
pub type StatusMessages = Rc<RefCell<Vec<Rc<StatusMessage>>>>;

/// Gossip payload of a balancer's membership node.
pub struct GossipPayload {
    /// Facts known to the balancer.
    pub fact_store: FactStore,
    status_messages: StatusMessages,
    current_status: Option<u32>,
    /// Status messages received since the host last took them.
    pub received_statuses: Vec<Rc<StatusMessage>>,
    /// Fact changes merged from peers since the host last took them.
    pub fact_changes: Vec<FactChange>,
    /// For each site the peer that was last heard from, and the wall clock time of it.
    pub last_seen: BTreeMap<String, (String, Millis)>,
}

impl GossipPayload {
    /// Replaces the status that the balancer gossips.
    pub fn publish_status(&mut self, status: StatusMessage) {
        let mut status_messages = self.status_messages.borrow_mut();
        self.current_status = Some(status_messages.len() as u32);
        status_messages.push(Rc::new(status));
    }
}

impl Payload for GossipPayload {
    fn gossip(&mut self, room: usize, now: Millis) -> Vec<u8> {
        let mut bytes = Vec::new();
        if let Some(current_status) = self.current_status {
            bytes.extend_from_slice(&current_status.to_le_bytes());
            bytes.resize(STATUS_BYTES, 0);
        }
        let facts = self
            .fact_store
            .gossip_payload(room.saturating_sub(1 + bytes.len()), now);
        if bytes.is_empty() && facts.is_empty() {
            return Vec::new();
        }
        bytes.insert(0, u8::from(self.current_status.is_some()));
        bytes.extend_from_slice(&facts);
        bytes
    }

    fn summary(&mut self, room: usize, _: Millis) -> Vec<u8> {
        self.fact_store.summary(room)
    }

    fn answer(
        &mut self,
        summary: &[u8],
        room: usize,
        max_packets: usize,
        now: Millis,
    ) -> Vec<Vec<u8>> {
        let mut packets = self
            .fact_store
            .answer_summary(summary, room - 1, max_packets, now)
            .unwrap_or_default();
        packets.iter_mut().for_each(|packet| packet.insert(0, 0));
        packets
    }

    fn receive(&mut self, from: &Member, bytes: &[u8], now: Millis) {
        self.last_seen
            .insert(from.site.to_string(), (from.name.to_string(), now));
        let Some((has_status, mut facts)) = bytes.split_first() else {
            return;
        };
        if *has_status == 1
            && let Some((status_bytes, rest)) = facts.split_at_checked(STATUS_BYTES)
        {
            let index = u32::from_le_bytes([
                status_bytes[0],
                status_bytes[1],
                status_bytes[2],
                status_bytes[3],
            ]);
            self.received_statuses
                .extend(self.status_messages.borrow().get(index as usize).cloned());
            facts = rest;
        }
        if let Ok(changes) = self.fact_store.merge_packet(facts, now) {
            self.fact_changes.extend(changes);
        }
    }

    fn set_member_count(&mut self, n: usize) {
        self.fact_store.set_member_count(n);
    }
}

/// Node name of a balancer.
pub fn balancer_name(rank: u32) -> String {
    format!("b{rank}")
}

/// Rank of the balancer with this name; `None` if the name is not a balancer's.
pub fn rank_from_name(name: &str) -> Option<u32> {
    name.strip_prefix('b')?.parse().ok()
}

/// Gossip address of a balancer.
pub fn balancer_address(rank: u32) -> SocketAddr {
    ([127, 0, 0, 1], FIRST_PORT + rank as u16).into()
}

/// Rank of the balancer at an address.
pub fn rank_from_address(address: SocketAddr) -> u32 {
    u32::from(address.port().saturating_sub(FIRST_PORT))
}

/// Membership profile of a balancer that starts now with this incarnation. Its seeds are the next two ranks and those a
/// third and a half of the fleet further on.
pub fn node_profile(
    rank: u32,
    balancer_count: u32,
    incarnation: u64,
    site: &str,
    seed: u64,
) -> Profile {
    let name = balancer_name(rank);
    Profile {
        name: name.as_str().into(),
        address: balancer_address(rank),
        incarnation,
        seed: seed ^ (u64::from(rank) << 20) ^ incarnation,
        site: site.into(),
        peer_configuration: beaconflow_membership::Configuration::default(),
        seeds: [1, 2, balancer_count / 3, balancer_count / 2]
            .map(|step| balancer_address((rank + step) % balancer_count))
            .to_vec(),
    }
}

/// Gossip payload of a balancer that starts with no facts.
pub fn gossip_payload(
    rank: u32,
    incarnation: u64,
    status_messages: &StatusMessages,
) -> GossipPayload {
    let mut bounds = Bounds::default();
    bounds.of_kind_mut(FactKind::Unknown).max_bytes = MAX_UNKNOWN_FACT_BYTES;
    let fact_store = FactStore::new(
        Origin {
            name: balancer_name(rank),
            incarnation,
        },
        bounds,
    );
    let (received_statuses, fact_changes) = (Vec::new(), Vec::new());
    GossipPayload {
        fact_store,
        status_messages: status_messages.clone(),
        current_status: None,
        received_statuses,
        fact_changes,
        last_seen: BTreeMap::new(),
    }
}

/// Membership node of a balancer that starts now with this incarnation.
pub fn new_node(
    rank: u32,
    balancer_count: u32,
    incarnation: u64,
    site: &str,
    status_messages: &StatusMessages,
    seed: u64,
) -> Node<GossipPayload> {
    let keys = Keys::only(Key::new(&[7; MIN_KEY_BYTES]).expect("the key has the minimum length"));
    let (profile, payload) = (
        node_profile(rank, balancer_count, incarnation, site, seed),
        gossip_payload(rank, incarnation, status_messages),
    );
    Node::new(profile, keys, Settings::default(), payload)
        .expect("the profile and settings are valid")
}

/// Wall clock in Unix milliseconds at a virtual time.
pub fn wall_clock_ms(now: Nanos) -> Millis {
    START_WALL_CLOCK_MS + now / 1_000_000
}
