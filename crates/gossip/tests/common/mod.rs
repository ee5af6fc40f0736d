//! Simulated processes and the exchange of packets between them.
#![allow(dead_code)] // Each test file uses only some of these items.

use beaconflow_gossip::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;

/// The time on a correct clock at which each test starts.
pub const START_MS: Millis = 1_800_000_000_000;
/// Limit on the bytes of a datagram's payload.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;

pub fn process(name: &str, incarnation: u64) -> FactStore {
    FactStore::new(
        Origin {
            name: name.into(),
            incarnation,
        },
        Bounds::default(),
    )
}

pub fn placed_on(server: &str) -> Value {
    Value::Placement(Some(Placement {
        server: server.into(),
        configuration_digest: 7,
        placed_at: START_MS,
    }))
}

pub fn client(key: u64) -> Subject {
    Subject::Placement(PlacementKey::Client(key))
}

pub fn entry(incarnation: u64, generation: u64, lifecycle: Lifecycle) -> Value {
    let position = ListPosition {
        incarnation,
        generation,
    };
    Value::ServerEntry(ServerEntry {
        position,
        lifecycle,
        zone: "a".into(),
        machine_type: "m1".into(),
        cell: 1,
        weight: 1.0,
        address: "127.0.0.1:80".parse().ok(),
        started_at_ms: 5,
    })
}

/// All valid facts of a process without their ages, in an order that depends on nothing but the facts.
pub fn facts_without_ages(store: &FactStore, now: Millis) -> Vec<String> {
    let facts = FactKind::ALL.iter().flat_map(|kind| store.iter(*kind, now));
    let mut facts: Vec<String> = facts
        .map(|fact| {
            format!(
                "{:?}",
                Fact {
                    observed_at: 0,
                    ..fact
                }
            )
        })
        .collect();
    facts.sort();
    facts
}

/// Sends one packet of gossip from one process to the other.
pub fn send_gossip(from: &mut FactStore, to: &mut FactStore, now: Millis) -> Vec<FactChange> {
    let bytes = from.gossip_payload(MAX_DATAGRAM_BYTES, now);
    if bytes.is_empty() {
        Vec::new()
    } else {
        to.merge_packet(&bytes, now).expect("a valid packet")
    }
}

/// Has `to` compare digests with `from` until no pages bring new facts; returns the number of pages sent.
pub fn run_anti_entropy(from: &mut FactStore, to: &mut FactStore, now: Millis) -> usize {
    let mut pages = 0;
    // A differing range is compared in every second summary.
    let mut rounds_without_change = 0;
    while rounds_without_change < 4 {
        let answer = from
            .answer_summary(&to.summary(MAX_DATAGRAM_BYTES), MAX_DATAGRAM_BYTES, 8, now)
            .expect("a valid summary");
        pages += answer.len();
        let new_facts = answer
            .iter()
            .map(|page| to.merge_packet(page, now).expect("a valid page").len())
            .sum::<usize>();
        rounds_without_change = if new_facts == 0 {
            rounds_without_change + 1
        } else {
            0
        };
    }
    pages
}

/// Processes that exchange packets in rounds, over links that lose datagrams.
pub struct SimulatedFleet {
    pub stores: Vec<FactStore>,
    pub now: Millis,
    /// How far the clock of each process is ahead of the correct time.
    pub clock_offsets_ms: Vec<i64>,
    pub loss_rate: f64,
    /// Processes below this number are cut off from the others; 0 means no partition.
    pub partition_size: usize,
    pub rng: Pcg32,
}

impl SimulatedFleet {
    pub fn new(count: usize, loss_rate: f64, seed: u64) -> SimulatedFleet {
        let mut stores: Vec<FactStore> = (0..count)
            .map(|index| process(&format!("p{index}"), 1))
            .collect();
        stores
            .iter_mut()
            .for_each(|store| store.set_member_count(count));
        let rng = Pcg32::seed_from_u64(seed);
        SimulatedFleet {
            stores,
            now: START_MS,
            clock_offsets_ms: vec![0; count],
            loss_rate,
            partition_size: 0,
            rng,
        }
    }

    pub fn clock(&self, index: usize) -> Millis {
        self.now.saturating_add_signed(self.clock_offsets_ms[index])
    }

    fn arrives(&mut self, from: usize, to: usize) -> bool {
        let is_lost = self.rng.random_bool(self.loss_rate);
        !is_lost && (from < self.partition_size) == (to < self.partition_size)
    }

    fn random_peer(&mut self, of: usize) -> usize {
        (of + self.rng.random_range(1..self.stores.len())) % self.stores.len()
    }

    /// Each process sends gossip to two others and compares digests with one.
    pub fn round(&mut self) {
        self.now += 200;
        for from in 0..self.stores.len() {
            for _ in 0..2 {
                let (to, clock) = (self.random_peer(from), self.clock(from));
                let bytes = self.stores[from].gossip_payload(MAX_DATAGRAM_BYTES, clock);
                self.deliver(from, to, &bytes);
            }
            let peer = self.random_peer(from);
            let summary = self.stores[from].summary(MAX_DATAGRAM_BYTES);
            if self.arrives(from, peer) {
                let clock = self.clock(peer);
                let pages = self.stores[peer]
                    .answer_summary(&summary, MAX_DATAGRAM_BYTES, 4, clock)
                    .expect("a valid summary");
                pages.iter().for_each(|page| self.deliver(peer, from, page));
            }
            let clock = self.clock(from);
            self.stores[from].expire(clock);
        }
    }

    fn deliver(&mut self, from: usize, to: usize, bytes: &[u8]) {
        if !bytes.is_empty() && self.arrives(from, to) {
            let clock = self.clock(to);
            self.stores[to]
                .merge_packet(bytes, clock)
                .expect("a valid packet");
        }
    }

    pub fn has_converged(&self) -> bool {
        let first = facts_without_ages(&self.stores[0], self.clock(0));
        (1..self.stores.len())
            .all(|index| facts_without_ages(&self.stores[index], self.clock(index)) == first)
    }

    /// Runs rounds until all processes know the same facts; returns the number of rounds before the one that achieved
    /// it.
    pub fn rounds_until_converged(&mut self, max_rounds: usize) -> Option<usize> {
        (0..max_rounds).find(|_| {
            self.round();
            self.has_converged()
        })
    }
}

/// A subject and a value of every kind.
pub fn facts_of_every_kind() -> [(Subject, Value); 11] {
    let override_set = Override::Set {
        expires_at: START_MS + 600_000,
        bytes: vec![9; 30],
    };
    let list_version = ListVersion {
        position: ListPosition {
            incarnation: 1,
            generation: 4,
        },
        digest: 3,
    };
    let unknown = Subject::Unknown {
        kind: 77,
        key: vec![1, 2],
        is_per_process: true,
    };
    [
        (
            Subject::ServerEntry("s1".into()),
            entry(1, 4, Lifecycle::Draining),
        ),
        (Subject::ListVersion, Value::ListVersion(list_version)),
        (
            Subject::ServerEvidence("s1".into()),
            Value::ServerEvidence(ServerEvidence {
                observed: ObservedHealth::Refused,
                weight: 2.0,
            }),
        ),
        (
            Subject::SlowStartSends("s1".into()),
            Value::SlowStartSends(3.5),
        ),
        (
            Subject::PlacementFailures(5),
            Value::PlacementFailures(PlacementFailures {
                count: 2,
                last_success_age: Some(10),
            }),
        ),
        (client(5), placed_on("s1")),
        (
            Subject::Placement(PlacementKey::Group(5)),
            Value::Placement(None),
        ),
        (Subject::Override(vec![1]), Value::Override(override_set)),
        (
            Subject::Override(vec![2]),
            Value::Override(Override::Removed),
        ),
        (
            Subject::Configuration,
            Value::Configuration(Configuration {
                digest: 1,
                number: 2,
            }),
        ),
        (unknown, Value::Unknown(vec![1, 2, 3])),
    ]
}
