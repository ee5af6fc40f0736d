//! Cost of the override store: one durable write, and a start with many records.

use std::time::Duration;

use beaconflow_overrides::{Draft, Override, OverrideId, OverrideKind};
use beaconflow_store::{OverrideStore, open};
use criterion::{BenchmarkId, Criterion};

fn out(id: u64) -> Override {
    let kind = OverrideKind::Out {
        server: format!("server-{id}"),
        moves_per_s: Some(2.0),
    };
    let draft = Draft {
        kind,
        who: "ada".into(),
        why: "a reason of ordinary length".into(),
        expires_at: 2_000,
    };
    draft.into_override(OverrideId(id), 1_000)
}

fn benches(criterion: &mut Criterion) {
    let folder = tempfile::tempdir().expect("a temporary folder is created");
    let mut starts = criterion.benchmark_group("start with records");
    starts
        .sample_size(10)
        .measurement_time(Duration::from_secs(5));
    for count in [100, 10_000, 100_000] {
        let path = folder.path().join(format!("{count}.redb"));
        let all: Vec<Override> = (1..=count).map(out).collect();
        open(&path)
            .expect("a new store opens")
            .0
            .put(&all)
            .expect("the write succeeds");
        starts.bench_function(BenchmarkId::from_parameter(count), |bencher| {
            bencher.iter(|| open(&path).expect("the store opens").1.overrides.len());
        });
    }
    starts.finish();
    let mut puts = criterion.benchmark_group("one durable override");
    puts.sample_size(50);
    let (mut store, _) = open(&folder.path().join("100.redb")).expect("the store opens");
    let one = out(1);
    puts.bench_function("put", |bencher| {
        bencher.iter(|| {
            store
                .put(std::slice::from_ref(&one))
                .expect("the write succeeds")
        })
    });
    puts.finish();
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    benches(&mut criterion);
    criterion.final_summary();
}
