//! Cost of a memory with a million placements of 64 bytes: start time, file size, and sustained write rate.
//! `cargo bench -p beaconflow-store --bench memory`

use std::path::Path;
use std::time::{Duration, Instant};

use beaconflow_store::memory::{Change, Limits, Record, Writer, open};

const COUNT: u64 = 1_000_000;
const BATCH: u64 = 50_000;
const NOW: u64 = 1_700_000_000_000;
const OWNER: &str = "east-1";

/// 4 bytes of kind, 16 of subject, 36 of value and 8 of time.
fn placement(number: u64, value_byte: u8) -> Record {
    // Subjects are digests, so that they arrive in no particular order.
    let mixed_bits = number.wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(31);
    let subject = [mixed_bits.to_be_bytes(), number.to_be_bytes()].concat();
    Record {
        kind: 9,
        subject,
        value: vec![value_byte; 36],
        observed_at_ms: NOW,
    }
}

fn file_size_mib(path: &Path) -> u64 {
    std::fs::metadata(path).map_or(0, |metadata| metadata.len()) >> 20
}

fn main() {
    // Cargo also runs benchmarks as tests, for which this one takes too long.
    if !std::env::args().any(|argument| argument == "--bench") {
        return;
    }
    let folder = tempfile::tempdir().expect("a temporary folder is created");
    let path = folder.path().join("memory.redb");
    let (mut memory, _) = open(&path, OWNER, NOW).expect("a new memory opens");
    let started_at = Instant::now();
    for batch in 0..COUNT / BATCH {
        let numbers = batch * BATCH..(batch + 1) * BATCH;
        let changes: Vec<Change> = numbers
            .map(|number| Change::Put(placement(number, 0)))
            .collect();
        memory.write(&changes, NOW).expect("the write succeeds");
    }
    let per_s = COUNT as f64 / started_at.elapsed().as_secs_f64();
    println!(
        "first writing: {per_s:.0} records a second, {} MiB",
        file_size_mib(&path)
    );
    drop(memory);
    for _ in 0..3 {
        let started_at = Instant::now();
        let (memory, contents) = open(&path, OWNER, NOW).expect("the file is valid");
        println!(
            "start with {}: {} ms, {} MiB",
            contents.records.len(),
            started_at.elapsed().as_millis(),
            file_size_mib(&path)
        );
        drop((memory, contents));
    }
    let copy = folder.path().join("crashed.redb");
    let (memory, _) = open(&path, OWNER, NOW).expect("the file is valid");
    std::fs::copy(&path, &copy).expect("the file is copied");
    drop(memory);
    let started_at = Instant::now();
    let contents = open(&copy, OWNER, NOW).expect("the file is repaired").1;
    println!(
        "start after a crash with {}: {} ms",
        contents.records.len(),
        started_at.elapsed().as_millis()
    );
    drop(contents);
    let limits = Limits::default();
    bench_sustained_writes(&path, limits);
    println!("without a journal, every batch into the snapshot:");
    bench_sustained_writes(
        &path,
        Limits {
            journal_bytes: 0,
            ..limits
        },
    );
}

/// Writes random placements as fast as the writer allows; each batch is followed by a flush.
fn bench_sustained_writes(path: &Path, limits: Limits) {
    let (memory, _) = open(path, OWNER, NOW).expect("the file is valid");
    let writer =
        Writer::spawn_with(memory, limits, |event| println!("{event}")).expect("the thread starts");
    for batch_size in [1_000, 10_000, 100_000] {
        let (started_at, mut number, mut call_time) = (Instant::now(), 0, Duration::ZERO);
        while started_at.elapsed() < Duration::from_secs(5) {
            let records: Vec<Record> = (0..batch_size)
                .map(|_| {
                    number += 1;
                    placement(number * 7_919 % COUNT, 1)
                })
                .collect();
            let call_started_at = Instant::now();
            records.into_iter().for_each(|record| writer.put(record));
            call_time += call_started_at.elapsed();
            assert!(writer.flush(Duration::from_secs(60)));
        }
        let (per_s, call_ns) = (
            number as f64 / started_at.elapsed().as_secs_f64(),
            call_time.as_nanos() / u128::from(number),
        );
        println!(
            "batches of {batch_size}: {per_s:.0} records a second, {call_ns} ns a call, {} MiB",
            file_size_mib(path)
        );
    }
    let counts = writer.counts();
    println!("{} changes evicted", counts.evicted);
    assert!(writer.close(Duration::from_secs(60)));
}
