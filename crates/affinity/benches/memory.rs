//! What the memory costs at 1,000, 100,000 and 1,000,000 placements: a look-up, a merge of news, a merge of what is
//! known, a merge at the bound, where another placement gives way. Keys come in an order that no cache foresees.

use std::hint::black_box;
use std::time::Duration;

use beaconflow_affinity::{
    Bound, Client, EndpointView, Group, How, Key, Limits, Memory, Millis, Placement, ServerNow,
    Stamp, State, Tag, Version,
};
use criterion::{BenchmarkId, Criterion, Throughput};

const NOW: Millis = 1_800_000_000_000;
const SERVERS: u64 = 1_000;

struct AllReady;

impl EndpointView for AllReady {
    fn server(&self, _: Tag) -> Option<ServerNow> {
        Some(ServerNow {
            is_ready: true,
            ready_since: 0,
            started_at: 0,
        })
    }

    fn permits(&self, _: &Client, _: Tag) -> bool {
        true
    }
}

/// A walk over all numbers below `count`, in an order of its own.
struct Walk {
    at: u64,
    count: u64,
}

impl Walk {
    fn next(&mut self) -> u64 {
        self.at = (self.at + 611_953) % self.count;
        self.at
    }
}

/// The fact of a client, in a group of five, that stood so many milliseconds after the start.
fn fact(number: u64, after: Millis) -> Placement {
    Placement {
        key: Key(number.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
        group: Some(Group((number / 5).wrapping_mul(0xd134_2543_de82_ef95))),
        server: Tag((number / 3 % SERVERS).wrapping_mul(0x2545_f491_4f6c_dd1d)),
        encode_version: Version(7),
        stamp: Stamp((NOW + after) << 20 | 5),
        seen_s: ((NOW + after) / 1_000) as u32,
        state: if number.is_multiple_of(4) {
            State::Ended(How::Broke)
        } else {
            State::Established
        },
        twins: 0,
    }
}

fn filled(count: u64) -> Memory {
    let bound = Bound {
        entries: count as usize,
        bytes: usize::MAX,
    };
    let mut memory = Memory::new(
        Limits {
            bound,
            ttl_s: 3_600,
            away_s: 60,
            home_most: 32,
        },
        1,
        2,
    );
    memory.adopt(Version(7), 1, NOW);
    for number in 0..count {
        memory.merge(&fact(number, number % 600_000), NOW + number % 600_000);
    }
    memory
}

/// See the file's head.
fn main() {
    let mut criterion = Criterion::default()
        .measurement_time(Duration::from_secs(4))
        .configure_from_args();
    for count in [1_000, 100_000, 1_000_000_u64] {
        let mut memory = filled(count);
        let mut walk = Walk { at: 0, count };
        let mut group = criterion.benchmark_group("memory");
        group.bench_function(BenchmarkId::new("place", count), |bencher| {
            bencher.iter(|| {
                let key = fact(walk.next(), 0).key;
                let client = Client {
                    key,
                    group: None,
                    tenant: None,
                };
                black_box(memory.place(&client, &AllReady, NOW + 600_000))
            });
        });
        group.bench_function(BenchmarkId::new("place_at_home", count), |bencher| {
            bencher.iter(|| {
                let placed = fact(walk.next(), 0);
                let client = Client {
                    key: Key(!placed.key.0),
                    group: placed.group,
                    tenant: None,
                };
                black_box(memory.place(&client, &AllReady, NOW + 600_000))
            });
        });
        group.bench_function(BenchmarkId::new("merge_known", count), |bencher| {
            bencher.iter(|| {
                let number = walk.next();
                black_box(memory.merge(&fact(number, number % 600_000), NOW + 600_000))
            });
        });
        let mut after = 600_000;
        group.bench_function(BenchmarkId::new("merge_newer", count), |bencher| {
            bencher.iter(|| {
                // A quarter of a millisecond each: 4,000 facts a second.
                after += u64::from(walk.at.is_multiple_of(4));
                black_box(memory.merge(&fact(walk.next(), after), NOW + after))
            });
        });
        let mut page = Vec::new();
        group.throughput(Throughput::Elements(32));
        for (name, step) in [("merge_32_known", 0), ("merge_32_newer", 8)] {
            group.bench_function(BenchmarkId::new(name, count), |bencher| {
                bencher.iter(|| {
                    after += step;
                    page.clear();
                    page.extend((0..32).map(|_| fact(walk.next(), after)));
                    black_box(memory.merge_all(&page, NOW + after))
                });
            });
        }
        group.throughput(Throughput::Elements(1));
        let mut next = count;
        group.bench_function(BenchmarkId::new("merge_at_bound", count), |bencher| {
            bencher.iter(|| {
                next += 1;
                after += u64::from(next.is_multiple_of(4));
                black_box(memory.merge(&fact(next, after), NOW + after))
            });
        });
        group.finish();
    }
    criterion.final_summary();
}
