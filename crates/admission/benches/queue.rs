//! Cost of the admission queue: enqueueing with admission or removal by queue length, and eviction at the limit.

use std::hint::black_box;

use beaconflow_admission::{AdmissionQueue, Entry, Limits, QueueSize};
use criterion::{BenchmarkId, Criterion};

fn entry(id: u64) -> Entry {
    Entry {
        id,
        account: id % 2,
        share: [0.58, 0.42][(id % 2) as usize],
        class: (id % 3) as usize,
        flow: id.wrapping_mul(0x9e37_79b9_7f4a_7c15),
        deadline: 5_000_000_000 + id,
        bytes: 500,
    }
}

fn filled_queue(waiting: u64) -> AdmissionQueue {
    let limits = Limits {
        total: QueueSize::UNLIMITED,
        per_account: QueueSize::UNLIMITED,
        per_queue: QueueSize::UNLIMITED,
        ..Limits::default()
    };
    let (mut queue, mut evicted) = (AdmissionQueue::new(&[1.0, 1.0, 4.0], limits, 7), Vec::new());
    (0..waiting).for_each(|id| queue.enqueue(entry(id), &mut evicted));
    queue
}

/// Enqueues one entry and removes one, so that the queue keeps its length.
fn bench_enqueue_and(
    criterion: &mut Criterion,
    name: &str,
    remove: impl Fn(&mut AdmissionQueue, u64) -> Option<Entry>,
) {
    let mut group = criterion.benchmark_group(name);
    for waiting in [10, 1_000, 100_000] {
        let (mut queue, mut evicted, mut next_id) = (filled_queue(waiting), Vec::new(), waiting);
        group.bench_function(BenchmarkId::from_parameter(waiting), |bencher| {
            bencher.iter(|| {
                next_id += 1;
                queue.enqueue(black_box(entry(next_id)), &mut evicted);
                black_box(remove(&mut queue, next_id))
            });
        });
    }
    group.finish();
}

/// Enqueues an entry into a full queue, by number of accounts to evict from.
fn bench_eviction(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("give way, accounts");
    for accounts in [2, 100, 1_000] {
        let limit = QueueSize {
            entries: 4_096,
            bytes: usize::MAX,
        };
        let limits = Limits {
            total: limit,
            per_account: limit,
            per_queue: limit,
            ..Limits::default()
        };
        let (mut queue, mut evicted) = (AdmissionQueue::new(&[1.0], limits, 7), Vec::new());
        let entry_of = |id: u64| Entry {
            account: id % accounts,
            share: 1.0,
            ..entry(id)
        };
        (0..4_096).for_each(|id| queue.enqueue(entry_of(id), &mut evicted));
        let mut next_id = 4_096;
        group.bench_function(BenchmarkId::from_parameter(accounts), |bencher| {
            bencher.iter(|| {
                next_id += 1;
                evicted.clear();
                queue.enqueue(black_box(entry_of(next_id)), &mut evicted);
            });
        });
    }
    group.finish();
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    bench_enqueue_and(&mut criterion, "enter and admit", |queue, _| queue.admit());
    bench_enqueue_and(&mut criterion, "enter and leave", |queue, id| {
        queue.remove(id)
    });
    bench_eviction(&mut criterion);
    criterion.final_summary();
}
