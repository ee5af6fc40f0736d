//! What the door costs: entering and being admitted with so many waiting, and giving way when it is full.

use std::hint::black_box;

use beaconflow_admission::{AdmissionQueue, Bound, Entry, Limits};
use criterion::{BenchmarkId, Criterion};

fn entry(id: u64) -> Entry {
    Entry {
        id,
        account: id % 2,
        share: [0.58, 0.42][(id % 2) as usize],
        class: (id % 3) as usize,
        flow: id.wrapping_mul(0x9e37_79b9_7f4a_7c15),
        deadline: 5_000_000_000 + id,
        is_returning: false,
        bytes: 500,
    }
}

fn filled(waiting: u64) -> AdmissionQueue {
    let limits = Limits {
        all: Bound::NONE,
        account: Bound::NONE,
        queue: Bound::NONE,
        ..Limits::default()
    };
    let (mut door, mut gone) = (AdmissionQueue::new(&[1.0, 1.0, 4.0], limits, 7), Vec::new());
    (0..waiting).for_each(|id| door.enter(entry(id), &mut gone));
    door
}

/// One in, and one out of it again, so that as many wait after it as before.
fn in_and(
    criterion: &mut Criterion,
    what: &str,
    out: impl Fn(&mut AdmissionQueue, u64) -> Option<Entry>,
) {
    let mut group = criterion.benchmark_group(what);
    for waiting in [10, 1_000, 100_000] {
        let (mut door, mut gone, mut next) = (filled(waiting), Vec::new(), waiting);
        group.bench_function(BenchmarkId::from_parameter(waiting), |bencher| {
            bencher.iter(|| {
                next += 1;
                door.enter(black_box(entry(next)), &mut gone);
                black_box(out(&mut door, next))
            });
        });
    }
    group.finish();
}

/// One in where there is no room, by how many accounts there are to choose from.
fn gives_way(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("give way, accounts");
    for accounts in [2, 100, 1_000] {
        let all = Bound {
            entries: 4_096,
            bytes: usize::MAX,
        };
        let limits = Limits {
            all,
            account: all,
            queue: all,
            ..Limits::default()
        };
        let (mut door, mut gone) = (AdmissionQueue::new(&[1.0], limits, 7), Vec::new());
        let of = |id: u64| Entry {
            account: id % accounts,
            share: 1.0,
            ..entry(id)
        };
        (0..4_096).for_each(|id| door.enter(of(id), &mut gone));
        let mut next = 4_096;
        group.bench_function(BenchmarkId::from_parameter(accounts), |bencher| {
            bencher.iter(|| {
                next += 1;
                gone.clear();
                door.enter(black_box(of(next)), &mut gone);
            });
        });
    }
    group.finish();
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    in_and(&mut criterion, "enter and admit", |door, _| door.admit());
    in_and(&mut criterion, "enter and leave", |door, id| door.leave(id));
    gives_way(&mut criterion);
    criterion.final_summary();
}
