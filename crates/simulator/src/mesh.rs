//! How the balancers of a run talk to each other: the real nodes of `peers/` with the real knowledge in them. The engine
//! carries their datagrams.

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

/// Wall time at the start of each run.
pub const START_WALL_CLOCK_MS: Millis = 1_800_000_000_000;
/// Bytes that a balancer's own word takes in a datagram.
const STATUS_BYTES: usize = 200;
/// Bytes of facts that only hosts read.
const MAX_UNKNOWN_FACT_BYTES: usize = 256 << 20;
/// Ports of the balancers, which are all at one address.
const FIRST_PORT: u16 = 10_000;

/// What a balancer says of itself. It travels by number, and takes as many bytes as it would.
#[derive(Clone, Debug)]
pub struct StatusMessage {
    /// Where it is on its way from dark to serving.
    pub peer_status: PeerStatus,
    /// What it sees of its zone's uplink.
    pub uplink_report: Option<UplinkReport>,
}

/// All that was said in a run, by number.
pub type StatusMessages = Rc<RefCell<Vec<Rc<StatusMessage>>>>;

/// What a node carries.
pub struct GossipPayload {
    /// What the balancer knows.
    pub fact_store: FactStore,
    status_messages: StatusMessages,
    current_status: Option<u32>,
    /// What came, for the host to read.
    pub received_statuses: Vec<Rc<StatusMessage>>,
    /// What became known, for the host to read.
    pub fact_changes: Vec<FactChange>,
    /// Who was last heard from each site, and when.
    pub last_seen: BTreeMap<String, (String, Millis)>,
}

impl GossipPayload {
    /// The balancer says this of itself from now on.
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
            && let Some((peer_status, rest)) = facts.split_at_checked(STATUS_BYTES)
        {
            let number = u32::from_le_bytes([
                peer_status[0],
                peer_status[1],
                peer_status[2],
                peer_status[3],
            ]);
            self.received_statuses
                .extend(self.status_messages.borrow().get(number as usize).cloned());
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

/// A balancer's name.
pub fn balancer_name(rank: u32) -> String {
    format!("b{rank}")
}

/// The balancer of that name, if it is one's.
pub fn rank_from_name(name: &str) -> Option<u32> {
    name.strip_prefix('b')?.parse().ok()
}

/// A balancer's address.
pub fn balancer_address(rank: u32) -> SocketAddr {
    ([127, 0, 0, 1], FIRST_PORT + rank as u16).into()
}

/// The balancer at an address.
pub fn rank_from_address(address: SocketAddr) -> u32 {
    u32::from(address.port().saturating_sub(FIRST_PORT))
}

/// Who one of so many balancers is that starts now, under that boot number. It asks its neighbours first.
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

/// What its node carries.
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

/// Its node.
pub fn new_node(
    rank: u32,
    balancer_count: u32,
    incarnation: u64,
    site: &str,
    status_messages: &StatusMessages,
    seed: u64,
) -> Node<GossipPayload> {
    let keys = Keys::only(Key::new(&[7; MIN_KEY_BYTES]).expect("as long as a key has to be"));
    let (profile, payload) = (
        node_profile(rank, balancer_count, incarnation, site, seed),
        gossip_payload(rank, incarnation, status_messages),
    );
    Node::new(profile, keys, Settings::default(), payload).expect("a profile without faults")
}

/// Unix time in milliseconds at a moment of the run.
pub fn wall_clock_ms(now: Nanos) -> Millis {
    START_WALL_CLOCK_MS + now / 1_000_000
}
