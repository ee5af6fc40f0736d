//! What knowing costs: merging facts that a peer sent, and looking up where a client stands, by how many stand.

use std::cell::Cell;
use std::hint::black_box;

use beaconflow_gossip::{
    Bounds, FactStore, Holder, Kind, Millis, Origin, Placement, Subject, Value,
};
use criterion::{BatchSize, BenchmarkId, Criterion, Throughput};

const NOW: Millis = 1_800_000_000_000;
const LONG: Millis = 3_600_000;
/// Facts in a datagram.
const DATAGRAM: u64 = 12;

fn process(name: &str) -> FactStore {
    let mut bounds = Bounds::default();
    bounds.of_mut(Kind::Placement).bytes = usize::MAX;
    FactStore::new(
        Origin {
            name: name.into(),
            incarnation: 1,
        },
        bounds,
    )
}

fn place(one: &mut FactStore, key: u64, now: Millis) {
    let server = format!("server-{:04}", key % 1_000);
    let value = Value::Placement(Some(Placement {
        server,
        configuration: 7,
        since: now,
    }));
    one.observe(
        &Subject::Placement(Holder::Client(spread(key))),
        &value,
        LONG,
        now,
    )
    .expect("taken");
}

/// Keys are hashes.
fn spread(key: u64) -> u64 {
    key.wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

fn packet(writer: &mut FactStore, keys: impl Iterator<Item = u64>, now: Millis) -> Vec<u8> {
    keys.for_each(|key| place(writer, key, now));
    writer.gossip_payload(1 << 16, now)
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    for count in [1_000_u64, 100_000, 1_000_000] {
        let mut one = process("one");
        (0..count).for_each(|key| place(&mut one, key, NOW));
        let (bytes, held) = one.size(Kind::Placement);
        println!("{held} placements count for {} bytes each", bytes / held);
        let mut next = 0;
        criterion.bench_function(&format!("look up/{count}"), |bencher| {
            bencher.iter(|| {
                next = (next + 7_919) % count;
                black_box(one.placement(Holder::Client(spread(black_box(next))), NOW))
            });
        });
        let mut group = criterion.benchmark_group("merge, each of 12");
        group.throughput(Throughput::Elements(DATAGRAM));
        let now = Cell::new(NOW);
        group.bench_function(BenchmarkId::new("later", count), |bencher| {
            bencher.iter_batched(
                || {
                    next = (next + 7_919) % count;
                    now.set(now.get() + 1);
                    packet(
                        &mut process("peer"),
                        (0..DATAGRAM).map(|step| (next + step * 997) % count),
                        now.get(),
                    )
                },
                |bytes| {
                    one.take(&bytes, now.get())
                        .map(|changes| assert_eq!(changes.len(), DATAGRAM as usize))
                },
                BatchSize::SmallInput,
            );
        });
        let known = packet(
            &mut process("peer"),
            (0..DATAGRAM).map(|step| (step * 997) % count),
            now.get(),
        );
        one.take(&known, now.get()).expect("sound");
        group.bench_function(BenchmarkId::new("known", count), |bencher| {
            bencher.iter(|| {
                one.take(black_box(&known), now.get())
                    .map(|changes| assert_eq!(changes.len(), 0))
            });
        });
        group.finish();
    }
    criterion.final_summary();
}
