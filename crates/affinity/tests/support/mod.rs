//! A farm for tests, and short ways to say things.
#![allow(dead_code)]

pub mod fleet;

use std::collections::{BTreeMap, BTreeSet};

use beaconflow_affinity::*;

pub const T0: Millis = 1_800_000_000_000;

pub fn tag(name: &str) -> Tag {
    Tag::of(name)
}

pub fn client(key: u64, group: Option<u64>) -> Client {
    Client {
        key: Key(key),
        group: group.map(Group),
        tenant: Some(1),
    }
}

pub fn limits(entries: usize) -> Limits {
    let bound = Bound {
        entries,
        bytes: usize::MAX,
    };
    Limits {
        bound,
        ttl_s: 3_600,
        away_s: 60,
        home_most: 1_000,
    }
}

/// A process's memory under version 1.
pub fn memory(origin: u64) -> Memory {
    let mut memory = Memory::new(limits(10_000), origin, 9);
    memory.adopt(Version(1), 0, T0);
    memory
}

/// Servers as listed, and those that the configuration does not permit.
#[derive(Clone, Default)]
pub struct Farm {
    pub servers: BTreeMap<Tag, ServerNow>,
    pub barred: BTreeSet<Tag>,
}

impl Farm {
    pub fn of(names: &[&str]) -> Farm {
        let ready = ServerNow {
            is_ready: true,
            ready_since: 0,
            started_at: 0,
        };
        Farm {
            servers: names.iter().map(|name| (tag(name), ready)).collect(),
            barred: BTreeSet::new(),
        }
    }

    pub fn at(&mut self, name: &str) -> &mut ServerNow {
        self.servers.get_mut(&tag(name)).expect("listed")
    }
}

impl EndpointView for Farm {
    fn server(&self, server: Tag) -> Option<ServerNow> {
        self.servers.get(&server).copied()
    }

    fn permits(&self, _: &Client, server: Tag) -> bool {
        !self.barred.contains(&server)
    }
}

/// What a client is advised, in short.
pub fn advised(memory: &Memory, client: &Client, farm: &Farm, now: Millis) -> Option<(Tag, Why)> {
    memory
        .place(client, farm, now)
        .map(|advice| (advice.server, advice.why))
}
