//! Cost of merging facts from a peer and of looking up placements, by the number of placements.

use std::cell::Cell;
use std::hint::black_box;

use beaconflow_gossip::{
    Bounds, FactKind, FactStore, Millis, Origin, Placement, PlacementKey, Subject, Value,
};
use criterion::{BatchSize, BenchmarkId, Criterion, Throughput};

const NOW: Millis = 1_800_000_000_000;
const VALIDITY_MS: Millis = 3_600_000;
/// Number of facts in a datagram.
const FACTS_PER_DATAGRAM: u64 = 12;

fn process(name: &str) -> FactStore {
    let mut bounds = Bounds::default();
    bounds.of_kind_mut(FactKind::Placement).max_bytes = usize::MAX;
    FactStore::new(
        Origin {
            name: name.into(),
            incarnation: 1,
        },
        bounds,
    )
}

fn observe_placement(store: &mut FactStore, key: u64, now: Millis) {
    let server = format!("server-{:04}", key % 1_000);
    let value = Value::Placement(Some(Placement {
        server,
        configuration_digest: 7,
        placed_at: now,
    }));
    store
        .observe(
            &Subject::Placement(PlacementKey::Client(client_key(key))),
            &value,
            VALIDITY_MS,
            now,
        )
        .expect("the observation is stored");
}

/// Keys are hashes, so they are spread over the whole range.
fn client_key(key: u64) -> u64 {
    key.wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

fn packet(writer: &mut FactStore, keys: impl Iterator<Item = u64>, now: Millis) -> Vec<u8> {
    keys.for_each(|key| observe_placement(writer, key, now));
    writer.gossip_payload(1 << 16, now)
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    for count in [1_000_u64, 100_000, 1_000_000] {
        let mut store = process("one");
        (0..count).for_each(|key| observe_placement(&mut store, key, NOW));
        let (bytes, placement_count) = store.usage(FactKind::Placement);
        println!(
            "{placement_count} placements count for {} bytes each",
            bytes / placement_count
        );
        let mut next = 0;
        criterion.bench_function(&format!("look up/{count}"), |bencher| {
            bencher.iter(|| {
                next = (next + 7_919) % count;
                black_box(store.placement(PlacementKey::Client(client_key(black_box(next))), NOW))
            });
        });
        let mut group = criterion.benchmark_group("merge, each of 12");
        group.throughput(Throughput::Elements(FACTS_PER_DATAGRAM));
        let now = Cell::new(NOW);
        group.bench_function(BenchmarkId::new("later", count), |bencher| {
            bencher.iter_batched(
                || {
                    next = (next + 7_919) % count;
                    now.set(now.get() + 1);
                    packet(
                        &mut process("peer"),
                        (0..FACTS_PER_DATAGRAM).map(|step| (next + step * 997) % count),
                        now.get(),
                    )
                },
                |bytes| {
                    store
                        .merge_packet(&bytes, now.get())
                        .map(|changes| assert_eq!(changes.len(), FACTS_PER_DATAGRAM as usize))
                },
                BatchSize::SmallInput,
            );
        });
        let known = packet(
            &mut process("peer"),
            (0..FACTS_PER_DATAGRAM).map(|step| (step * 997) % count),
            now.get(),
        );
        store.merge_packet(&known, now.get()).expect("valid input");
        group.bench_function(BenchmarkId::new("known", count), |bencher| {
            bencher.iter(|| {
                store
                    .merge_packet(black_box(&known), now.get())
                    .map(|changes| assert_eq!(changes.len(), 0))
            });
        });
        group.finish();
    }
    criterion.final_summary();
}
