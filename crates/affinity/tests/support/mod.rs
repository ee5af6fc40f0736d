//! Endpoints for tests, and helpers that build clients and tables.
#![allow(dead_code)]

pub mod fleet;

use std::collections::{BTreeMap, BTreeSet};

use beaconflow_affinity::*;

pub const T0: Millis = 1_800_000_000_000;

pub fn tag(name: &str) -> Tag {
    Tag::from_name(name)
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
        return_delay_s: 60,
        max_group_per_server: 1_000,
    }
}

/// The table of a process that runs version 1.
pub fn table(origin: u64) -> PlacementTable {
    let mut table = PlacementTable::new(limits(10_000), origin, 9);
    table.adopt(Version(1), 0, T0);
    table
}

/// The listed servers, and those that the configuration does not permit.
#[derive(Clone, Default)]
pub struct TestEndpoints {
    pub servers: BTreeMap<Tag, ServerStatus>,
    pub forbidden: BTreeSet<Tag>,
}

impl TestEndpoints {
    pub fn all_ready(names: &[&str]) -> TestEndpoints {
        let ready = ServerStatus {
            is_ready: true,
            ready_since: 0,
            started_at: 0,
        };
        TestEndpoints {
            servers: names.iter().map(|name| (tag(name), ready)).collect(),
            forbidden: BTreeSet::new(),
        }
    }

    pub fn server_mut(&mut self, name: &str) -> &mut ServerStatus {
        self.servers
            .get_mut(&tag(name))
            .expect("the server is listed")
    }
}

impl EndpointView for TestEndpoints {
    fn server(&self, server: Tag) -> Option<ServerStatus> {
        self.servers.get(&server).copied()
    }

    fn permits(&self, _: &Client, server: Tag) -> bool {
        !self.forbidden.contains(&server)
    }
}

/// The server that a client is advised, and the reason.
pub fn advised(
    table: &PlacementTable,
    client: &Client,
    endpoints: &TestEndpoints,
    now: Millis,
) -> Option<(Tag, AdviceReason)> {
    table
        .advise(client, endpoints, now)
        .map(|advice| (advice.server, advice.reason))
}
