//! Measures how fast facts spread in a fleet, and the traffic that this takes, on a virtual clock: 300 processes,
//! rounds of 200 ms, gossip to three peers in each, 5% of datagrams lost.
//!
//! `cargo run --release -p beaconflow-gossip --example spread [processes] [loss]`

use beaconflow_gossip::{
    Bounds, Configuration, FactStore, Lifecycle, ListPosition, ListVersion, Millis, Origin,
    Placement, PlacementKey, ServerEntry, Subject, Value,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;

const ROUND_MS: Millis = 200;
const FANOUT: usize = 3;
const MAX_DATAGRAM_BYTES: usize = 1_200;
/// Each process compares digests with one peer once in this many rounds.
const ROUNDS_PER_COMPARISON: u64 = 5;
/// Validity of a process's facts about itself, which are renewed after half of it.
const VALIDITY_MS: Millis = 10 * 60_000;

struct Fleet {
    stores: Vec<FactStore>,
    now: Millis,
    loss_rate: f64,
    rng: Pcg32,
    sent_bytes: usize,
    datagrams: usize,
}

impl Fleet {
    fn random_peer(&mut self, of: usize) -> usize {
        (of + self.rng.random_range(1..self.stores.len())) % self.stores.len()
    }

    /// Counts a datagram with the overhead of the transport: 28 bytes of headers and some 60 of its own.
    fn deliver(&mut self, to: usize, bytes: &[u8]) {
        self.sent_bytes += bytes.len() + 88;
        self.datagrams += 1;
        if !self.rng.random_bool(self.loss_rate) {
            self.stores[to]
                .merge_packet(bytes, self.now)
                .expect("valid input");
        }
    }

    fn round(&mut self) {
        self.now += ROUND_MS;
        for from in 0..self.stores.len() {
            for _ in 0..FANOUT {
                let (to, bytes) = (
                    self.random_peer(from),
                    self.stores[from].gossip_payload(MAX_DATAGRAM_BYTES, self.now),
                );
                if !bytes.is_empty() {
                    self.deliver(to, &bytes);
                }
            }
            if (self.now / ROUND_MS + from as u64).is_multiple_of(ROUNDS_PER_COMPARISON) {
                self.compare(from);
            }
            if self.now.is_multiple_of(VALIDITY_MS / 2) {
                self.stores[from].expire(self.now);
            }
        }
    }

    fn compare(&mut self, from: usize) {
        let (peer, summary) = (
            self.random_peer(from),
            self.stores[from].summary(MAX_DATAGRAM_BYTES),
        );
        self.sent_bytes += summary.len() + 88;
        self.datagrams += 1;
        if !self.rng.random_bool(self.loss_rate) {
            let pages = self.stores[peer]
                .answer_summary(&summary, MAX_DATAGRAM_BYTES, 4, self.now)
                .expect("valid input");
            pages.iter().for_each(|page| self.deliver(from, page));
        }
    }

    /// Renews the facts of a process about itself.
    fn refresh(&mut self, index: usize, now: Millis) {
        let configuration = Value::Configuration(Configuration {
            digest: 1,
            number: 1,
        });
        self.stores[index]
            .observe(&Subject::Configuration, &configuration, VALIDITY_MS, now)
            .expect("the observation is stored");
        let list_version = ListVersion {
            position: ListPosition {
                incarnation: 1,
                generation: 1,
            },
            digest: 1,
        };
        self.stores[index]
            .observe(
                &Subject::ListVersion,
                &Value::ListVersion(list_version),
                VALIDITY_MS,
                now,
            )
            .expect("the observation is stored");
    }

    /// Runs the fleet without new facts for a time; returns bytes and datagrams per second and process.
    fn run_idle(&mut self, duration_ms: Millis) -> (f64, f64) {
        (self.sent_bytes, self.datagrams) = (0, 0);
        let end = self.now + duration_ms;
        while self.now < end {
            for index in 0..self.stores.len() {
                let refresh_offset =
                    index as u64 * (VALIDITY_MS / 2) / self.stores.len() as u64 / ROUND_MS
                        * ROUND_MS;
                if self.now % (VALIDITY_MS / 2) == refresh_offset {
                    self.refresh(index, self.now);
                }
            }
            self.round();
        }
        let process_seconds = self.stores.len() as f64 * duration_ms as f64 / 1_000.0;
        (
            self.sent_bytes as f64 / process_seconds,
            self.datagrams as f64 / process_seconds,
        )
    }
}

fn percentile(delays: &mut [Millis], fraction: f64) -> Millis {
    delays.sort_unstable();
    delays[((delays.len() as f64 * fraction).ceil() as usize).clamp(1, delays.len()) - 1]
}

fn main() {
    let mut args = std::env::args().skip(1);
    let count: usize = args.next().and_then(|arg| arg.parse().ok()).unwrap_or(300);
    let loss_rate: f64 = args.next().and_then(|arg| arg.parse().ok()).unwrap_or(0.05);
    let new_store = |index| {
        FactStore::new(
            Origin {
                name: format!("process-{index:03}"),
                incarnation: 1,
            },
            Bounds::default(),
        )
    };
    let stores: Vec<FactStore> = (0..count).map(new_store).collect();
    let now = 1_800_000_000_000;
    let mut fleet = Fleet {
        stores,
        now,
        loss_rate,
        rng: Pcg32::seed_from_u64(5),
        sent_bytes: 0,
        datagrams: 0,
    };
    for index in 0..count {
        fleet.stores[index].set_member_count(count);
        for server in 0..1_000 {
            let entry = ServerEntry {
                position: ListPosition {
                    incarnation: 1,
                    generation: 1,
                },
                lifecycle: Lifecycle::Serving,
                zone: "a".into(),
                machine_type: "m1".into(),
                cell: 0,
                weight: 1.0,
                address: None,
                started_at_ms: 0,
            };
            let subject = Subject::ServerEntry(format!("server-{server:04}"));
            fleet.stores[index]
                .observe(&subject, &Value::ServerEntry(entry), 24 * VALIDITY_MS, now)
                .expect("the observation is stored");
        }
        fleet.refresh(index, now);
    }
    let started_at = fleet.now;
    while (0..count).any(|index| fleet.stores[index].configurations(fleet.now).len() < count) {
        fleet.round();
    }
    println!(
        "{count} processes, loss rate {loss_rate}: all processes known to all after {} ms",
        fleet.now - started_at
    );
    fleet.run_idle(30_000);
    let (bytes, datagrams) = fleet.run_idle(60_000);
    println!(
        "idle, per process: {:.1} KiB/s in {datagrams:.1} datagrams a second",
        bytes / 1024.0
    );
    let (mut delays, mut last_delays) = (Vec::new(), Vec::new());
    for key in 0..100 {
        fleet.run_idle(ROUND_MS * 7);
        let placement = Placement {
            server: "server-0001".into(),
            configuration_digest: 1,
            placed_at: fleet.now,
        };
        let (index, observed_at) = (fleet.rng.random_range(0..count), fleet.now);
        let subject = Subject::Placement(PlacementKey::Client(key));
        fleet.stores[index]
            .observe(
                &subject,
                &Value::Placement(Some(placement)),
                VALIDITY_MS,
                observed_at,
            )
            .expect("the observation is stored");
        let has_placement = |fleet: &Fleet, index: usize| {
            fleet.stores[index]
                .placement(PlacementKey::Client(key), fleet.now)
                .is_some()
        };
        let mut uninformed: Vec<usize> = (0..count).filter(|other| *other != index).collect();
        while !uninformed.is_empty() {
            fleet.round();
            let before = uninformed.len();
            uninformed.retain(|index| !has_placement(&fleet, *index));
            delays.extend(std::iter::repeat_n(
                fleet.now - observed_at,
                before - uninformed.len(),
            ));
        }
        last_delays.extend(delays.last().copied());
    }
    let (p50, p99, last_p99) = (
        percentile(&mut delays, 0.5),
        percentile(&mut delays, 0.99),
        percentile(&mut last_delays, 0.99),
    );
    println!(
        "time until a fact is known: p50 {p50} ms, p99 {p99} ms; last process: p99 {last_p99} ms"
    );
}
