//! Cost of the placement table at 1,000, 100,000 and 1,000,000 placements: a look-up, a merge of a
//! newer fact, a merge of a known fact, and a merge at capacity, which evicts another placement.
//! Keys come in an order that defeats caches.

use std::hint::black_box;
use std::time::Duration;

use beaconflow_affinity::{
    Bound, Client, EndReason, EndpointView, Group, Key, Limits, Millis, Placement, PlacementState,
    PlacementTable, ServerStatus, Stamp, Tag, Version,
};
use criterion::{BenchmarkId, Criterion, Throughput};

const NOW: Millis = 1_800_000_000_000;
const SERVERS: u64 = 1_000;

struct AllReady;

impl EndpointView for AllReady {
    fn server(&self, _: Tag) -> Option<ServerStatus> {
        Some(ServerStatus {
            is_ready: true,
            ready_since: 0,
            started_at: 0,
        })
    }

    fn permits(&self, _: &Client, _: Tag) -> bool {
        true
    }
}

/// Visits all numbers below `count` in a scattered order.
struct ShuffledNumbers {
    at: u64,
    count: u64,
}

impl ShuffledNumbers {
    fn next(&mut self) -> u64 {
        self.at = (self.at + 611_953) % self.count;
        self.at
    }
}

/// The placement of a client in a group of five, made `after` milliseconds after the start.
fn fact(number: u64, after: Millis) -> Placement {
    Placement {
        key: Key(number.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
        group: Some(Group((number / 5).wrapping_mul(0xd134_2543_de82_ef95))),
        server: Tag((number / 3 % SERVERS).wrapping_mul(0x2545_f491_4f6c_dd1d)),
        config_version: Version(7),
        stamp: Stamp((NOW + after) << 20 | 5),
        seen_s: ((NOW + after) / 1_000) as u32,
        state: if number.is_multiple_of(4) {
            PlacementState::Ended(EndReason::ConnectionLost)
        } else {
            PlacementState::Established
        },
        overlap_count: 0,
    }
}

fn filled_table(count: u64) -> PlacementTable {
    let bound = Bound {
        entries: count as usize,
        bytes: usize::MAX,
    };
    let mut table = PlacementTable::new(
        Limits {
            bound,
            ttl_s: 3_600,
            return_delay_s: 60,
            max_group_per_server: 32,
        },
        1,
        2,
    );
    table.adopt(Version(7), 1, NOW);
    for number in 0..count {
        table.merge(&fact(number, number % 600_000), NOW + number % 600_000);
    }
    table
}

/// Runs the benchmarks at each table size.
fn main() {
    let mut criterion = Criterion::default()
        .measurement_time(Duration::from_secs(4))
        .configure_from_args();
    for count in [1_000, 100_000, 1_000_000_u64] {
        let mut table = filled_table(count);
        let mut numbers = ShuffledNumbers { at: 0, count };
        let mut group = criterion.benchmark_group("memory");
        group.bench_function(BenchmarkId::new("place", count), |bencher| {
            bencher.iter(|| {
                let key = fact(numbers.next(), 0).key;
                let client = Client {
                    key,
                    group: None,
                    tenant: None,
                };
                black_box(table.advise(&client, &AllReady, NOW + 600_000))
            });
        });
        group.bench_function(BenchmarkId::new("place_at_home", count), |bencher| {
            bencher.iter(|| {
                let member = fact(numbers.next(), 0);
                let client = Client {
                    key: Key(!member.key.0),
                    group: member.group,
                    tenant: None,
                };
                black_box(table.advise(&client, &AllReady, NOW + 600_000))
            });
        });
        group.bench_function(BenchmarkId::new("merge_known", count), |bencher| {
            bencher.iter(|| {
                let number = numbers.next();
                black_box(table.merge(&fact(number, number % 600_000), NOW + 600_000))
            });
        });
        let mut after = 600_000;
        group.bench_function(BenchmarkId::new("merge_newer", count), |bencher| {
            bencher.iter(|| {
                // A quarter of a millisecond per fact: 4,000 facts a second.
                after += u64::from(numbers.at.is_multiple_of(4));
                black_box(table.merge(&fact(numbers.next(), after), NOW + after))
            });
        });
        let mut batch = Vec::new();
        group.throughput(Throughput::Elements(32));
        for (name, step) in [("merge_32_known", 0), ("merge_32_newer", 8)] {
            group.bench_function(BenchmarkId::new(name, count), |bencher| {
                bencher.iter(|| {
                    after += step;
                    batch.clear();
                    batch.extend((0..32).map(|_| fact(numbers.next(), after)));
                    black_box(table.merge_all(&batch, NOW + after))
                });
            });
        }
        group.throughput(Throughput::Elements(1));
        let mut next = count;
        group.bench_function(BenchmarkId::new("merge_at_bound", count), |bencher| {
            bencher.iter(|| {
                next += 1;
                after += u64::from(next.is_multiple_of(4));
                black_box(table.merge(&fact(next, after), NOW + after))
            });
        });
        group.finish();
    }
    criterion.final_summary();
}
