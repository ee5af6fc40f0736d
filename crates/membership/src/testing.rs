//! Nodes on a virtual clock, and a net in memory that loses, delays and cuts: for tests.

mod fleet;
mod net;
mod numbers;

pub use fleet::{Fleet, Seat};
pub use net::{Net, Port, Rules};
pub use numbers::Numbers;

use crate::{Body, Configuration, Key, Keys, Member, Millis, Profile};

/// A body that has nothing to tell and remembers what it was told.
#[derive(Clone, Debug, Default)]
pub struct Silent {
    /// How many processes are there.
    pub members: usize,
    /// What came, from whom.
    pub taken: Vec<(String, Vec<u8>)>,
}

impl Body for Silent {
    fn gossip(&mut self, _: usize, _: Millis) -> Vec<u8> {
        Vec::new()
    }

    fn summary(&mut self, _: usize, _: Millis) -> Vec<u8> {
        Vec::new()
    }

    fn answer(&mut self, _: &[u8], _: usize, _: usize, _: Millis) -> Vec<Vec<u8>> {
        Vec::new()
    }

    fn take(&mut self, from: &Member, bytes: &[u8], _: Millis) {
        self.taken.push((from.name.to_string(), bytes.to_vec()));
    }

    fn members(&mut self, n: usize) {
        self.members = n;
    }
}

/// A key for tests, another for each number.
pub fn keys(n: u8) -> Keys {
    Keys::only(Key::new(&[n; crate::SHORTEST_KEY]).expect("as long as a key has to be"))
}

/// The profile of the process `name` at port `port` of this machine, in its first life.
pub fn profile(name: &str, port: u16, seeds: &[u16]) -> Profile {
    let at = |port| ([127, 0, 0, 1], port).into();
    Profile {
        name: name.into(),
        address: at(port),
        incarnation: 1,
        seed: port.into(),
        site: "north".into(),
        peer_configuration: Configuration::default(),
        seeds: seeds.iter().map(|port| at(*port)).collect(),
    }
}
