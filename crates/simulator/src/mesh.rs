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
pub const WALL: Millis = 1_800_000_000_000;
/// Bytes that a balancer's own word takes in a datagram.
const STATUS_BYTES: usize = 200;
/// Bytes of facts that only hosts read.
const HOSTS_OWN: usize = 256 << 20;
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
pub type Letters = Rc<RefCell<Vec<Rc<StatusMessage>>>>;

/// What a node carries.
pub struct Talk {
    /// What the balancer knows.
    pub knowledge: FactStore,
    letters: Letters,
    own: Option<u32>,
    /// What came, for the host to read.
    pub received: Vec<Rc<StatusMessage>>,
    /// What became known, for the host to read.
    pub changes: Vec<FactChange>,
    /// Who was last heard from each site, and when.
    pub last_seen: BTreeMap<String, (String, Millis)>,
}

impl Talk {
    /// The balancer says this of itself from now on.
    pub fn say(&mut self, said: StatusMessage) {
        let mut letters = self.letters.borrow_mut();
        self.own = Some(letters.len() as u32);
        letters.push(Rc::new(said));
    }
}

impl Payload for Talk {
    fn gossip(&mut self, room: usize, now: Millis) -> Vec<u8> {
        let mut bytes = Vec::new();
        if let Some(own) = self.own {
            bytes.extend_from_slice(&own.to_le_bytes());
            bytes.resize(STATUS_BYTES, 0);
        }
        let facts = self
            .knowledge
            .gossip_payload(room.saturating_sub(1 + bytes.len()), now);
        if bytes.is_empty() && facts.is_empty() {
            return Vec::new();
        }
        bytes.insert(0, u8::from(self.own.is_some()));
        bytes.extend_from_slice(&facts);
        bytes
    }

    fn summary(&mut self, room: usize, _: Millis) -> Vec<u8> {
        self.knowledge.summary(room)
    }

    fn answer(&mut self, summary: &[u8], room: usize, most: usize, now: Millis) -> Vec<Vec<u8>> {
        let mut pages = self
            .knowledge
            .answer_summary(summary, room - 1, most, now)
            .unwrap_or_default();
        pages.iter_mut().for_each(|page| page.insert(0, 0));
        pages
    }

    fn receive(&mut self, from: &Member, bytes: &[u8], now: Millis) {
        self.last_seen
            .insert(from.site.to_string(), (from.name.to_string(), now));
        let Some((with_word, mut facts)) = bytes.split_first() else {
            return;
        };
        if *with_word == 1
            && let Some((peer_status, rest)) = facts.split_at_checked(STATUS_BYTES)
        {
            let number = u32::from_le_bytes([
                peer_status[0],
                peer_status[1],
                peer_status[2],
                peer_status[3],
            ]);
            self.received
                .extend(self.letters.borrow().get(number as usize).cloned());
            facts = rest;
        }
        if let Ok(news) = self.knowledge.merge_packet(facts, now) {
            self.changes.extend(news);
        }
    }

    fn set_member_count(&mut self, n: usize) {
        self.knowledge.set_member_count(n);
    }
}

/// A balancer's name.
pub fn name(rank: u32) -> String {
    format!("b{rank}")
}

/// The balancer of that name, if it is one's.
pub fn rank(name: &str) -> Option<u32> {
    name.strip_prefix('b')?.parse().ok()
}

/// A balancer's address.
pub fn address(rank: u32) -> SocketAddr {
    ([127, 0, 0, 1], FIRST_PORT + rank as u16).into()
}

/// The balancer at an address.
pub fn at(address: SocketAddr) -> u32 {
    u32::from(address.port().saturating_sub(FIRST_PORT))
}

/// Who one of so many balancers is that starts now, under that boot number. It asks its neighbours first.
pub fn profile(rank: u32, of: u32, incarnation: u64, site: &str, seed: u64) -> Profile {
    let name = name(rank);
    Profile {
        name: name.as_str().into(),
        address: address(rank),
        incarnation,
        seed: seed ^ (u64::from(rank) << 20) ^ incarnation,
        site: site.into(),
        peer_configuration: beaconflow_membership::Configuration::default(),
        seeds: [1, 2, of / 3, of / 2]
            .map(|step| address((rank + step) % of))
            .to_vec(),
    }
}

/// What its node carries.
pub fn talk(rank: u32, incarnation: u64, letters: &Letters) -> Talk {
    let mut bounds = Bounds::default();
    bounds.of_kind_mut(FactKind::Unknown).max_bytes = HOSTS_OWN;
    let knowledge = FactStore::new(
        Origin {
            name: name(rank),
            incarnation,
        },
        bounds,
    );
    let (received, changes) = (Vec::new(), Vec::new());
    Talk {
        knowledge,
        letters: letters.clone(),
        own: None,
        received,
        changes,
        last_seen: BTreeMap::new(),
    }
}

/// Its node.
pub fn node(rank: u32, of: u32, boot: u64, site: &str, letters: &Letters, seed: u64) -> Node<Talk> {
    let keys = Keys::only(Key::new(&[7; MIN_KEY_BYTES]).expect("as long as a key has to be"));
    let (profile, talk) = (
        profile(rank, of, boot, site, seed),
        talk(rank, boot, letters),
    );
    Node::new(profile, keys, Settings::default(), talk).expect("a profile without faults")
}

/// Unix time in milliseconds at a moment of the run.
pub fn wall(now: Nanos) -> Millis {
    WALL + now / 1_000_000
}
