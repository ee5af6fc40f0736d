//! Nodes on a virtual clock, and an in-memory network with loss, delay and partitions, for tests.

mod fleet;
mod net;
mod numbers;

pub use fleet::{Fleet, Process};
pub use net::{MemoryLink, MemoryNetwork, NetworkConditions};
pub use numbers::NumberPayload;

use crate::{Configuration, Key, Keys, Member, Millis, Payload, Profile};

/// A payload that sends nothing and records what it receives.
#[derive(Clone, Debug, Default)]
pub struct SilentPayload {
    /// Number of live processes as last reported.
    pub member_count: usize,
    /// Received bytes, each with its sender's name.
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

/// A test key that depends on the number.
pub fn keys(n: u8) -> Keys {
    Keys::only(Key::new(&[n; crate::MIN_KEY_BYTES]).expect("the test key has the minimum length"))
}

/// Profile of a process at a port of the loopback address, in its first incarnation.
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
