//! Nodes on a virtual clock, and a net in memory that loses, delays and cuts: for tests.

mod fleet;
mod net;
mod numbers;

pub use fleet::{Fleet, Process};
pub use net::{MemoryLink, MemoryNetwork, NetworkConditions};
pub use numbers::NumberPayload;

use crate::{Configuration, Key, Keys, Member, Millis, Payload, Profile};

/// A body that has nothing to tell and remembers what it was told.
#[derive(Clone, Debug, Default)]
pub struct SilentPayload {
    /// How many processes are there.
    pub member_count: usize,
    /// What came, from whom.
    pub received: Vec<(String, Vec<u8>)>,
}

impl Payload for SilentPayload {
    fn gossip(&mut self, _: usize, _: Millis) -> Vec<u8> {
        Vec::new()
    }

    fn summary(&mut self, _: usize, _: Millis) -> Vec<u8> {
        Vec::new()
    }

    fn answer(&mut self, _: &[u8], _: usize, _: usize, _: Millis) -> Vec<Vec<u8>> {
        Vec::new()
    }

    fn receive(&mut self, from: &Member, bytes: &[u8], _: Millis) {
        self.received.push((from.name.to_string(), bytes.to_vec()));
    }

    fn set_member_count(&mut self, count: usize) {
        self.member_count = count;
    }
}

/// A key for tests, another for each number.
pub fn keys(n: u8) -> Keys {
    Keys::only(Key::new(&[n; crate::MIN_KEY_BYTES]).expect("as long as a key has to be"))
}

/// The profile of the process `name` at port `port` of this machine, in its first life.
pub fn profile(name: &str, port: u16, seeds: &[u16]) -> Profile {
    let local = |port| ([127, 0, 0, 1], port).into();
    Profile {
        name: name.into(),
        address: local(port),
        incarnation: 1,
        seed: port.into(),
        site: "north".into(),
        peer_configuration: Configuration::default(),
        seeds: seeds.iter().map(|port| local(*port)).collect(),
    }
}
