//! The writer of a memory: nobody waits for it, whatever its disk does.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use beaconflow_contracts::disk::{BreakingDisk, DiskFault, Emptied, Loss};
use beaconflow_store::memory::{DiskEvent, Limits, MemoryContents, Record, Writer, open_on};
use crossbeam_channel::{Receiver, unbounded};

const NOW: u64 = 1_700_000_000_000;
/// Longer than anything here takes.
const TIMEOUT: Duration = Duration::from_secs(30);

fn record(kind: u32, subject: u32, value: &str) -> Record {
    Record {
        kind,
        subject: subject.to_be_bytes().to_vec(),
        value: value.into(),
        observed_at_ms: NOW,
    }
}

fn limits() -> Limits {
    let (batch_interval, retry_interval) = (Duration::from_millis(1), Duration::from_millis(5));
    Limits {
        batch_interval,
        retry_interval,
        slow_batch_threshold: TIMEOUT,
        ..Limits::default()
    }
}

fn spawn_writer(disk: &BreakingDisk, limits: Limits) -> (Writer, Receiver<DiskEvent>) {
    let (memory, _) =
        open_on(Arc::new(disk.clone()), Path::new("/m"), "east-1", NOW).expect("a memory");
    let (event_sender, events) = unbounded();
    let writer = Writer::spawn_with(memory, limits, move |event| {
        event_sender.send(event).unwrap_or_default()
    });
    (writer.expect("a thread"), events)
}

fn reopen(disk: &BreakingDisk) -> MemoryContents {
    open_on(Arc::new(disk.clone()), Path::new("/m"), "east-1", NOW)
        .expect("free and sound")
        .1
}

#[test]
fn writes_all_changes_and_frees_file_on_close() {
    let disk = BreakingDisk::default();
    let small_journal = Limits {
        journal_bytes: 500,
        ..limits()
    };
    let (writer, events) = spawn_writer(&disk, small_journal);
    for turn in 0..20 {
        (0..50).for_each(|subject| writer.put(record(4, subject, &format!("{turn}"))));
        writer.delete(4, (turn as u32).to_be_bytes().to_vec());
        assert!(writer.flush(TIMEOUT));
    }
    let records: Vec<Record> = records_after_close(writer, &disk);
    let expected: Vec<Record> = (0..50)
        .filter(|subject| *subject != 19)
        .map(|subject| record(4, subject, "19"))
        .collect();
    assert_eq!(records, expected);
    assert!(events.is_empty());
}

fn records_after_close(writer: Writer, disk: &BreakingDisk) -> Vec<Record> {
    assert!(writer.close(TIMEOUT));
    reopen(disk).records
}

#[test]
fn accepts_and_evicts_changes_when_disk_hangs() {
    let disk = BreakingDisk::default();
    let (writer, _events) = spawn_writer(
        &disk,
        Limits {
            queue_bytes: 20_000,
            ..limits()
        },
    );
    disk.set_fault(DiskFault::Stuck);
    writer.put(record(1, 0, "list"));
    while writer.counts().pending > 0 {
        std::thread::yield_now();
    }
    // These return although the disk never does.
    for turn in 0..100 {
        (0..1_000).for_each(|subject| writer.put(record(9, subject, &format!("{turn}"))));
        (0..10).for_each(|subject| writer.put(record(2, subject, &format!("{turn}"))));
        writer.delete(1, vec![turn]);
    }
    let counts = writer.counts();
    assert!(
        counts.pending_bytes <= 20_000 && counts.evicted > 10_000,
        "{counts:?}"
    );
    assert_eq!(counts.written, 0);
    assert!(
        !writer.flush(Duration::from_millis(1)),
        "it is bounded in time"
    );
    assert!(
        !writer.take_resync_request(),
        "asked for when the disk is well"
    );
    disk.set_fault(DiskFault::Fair);
    assert!(writer.flush(TIMEOUT));
    // The turn after the batch asks.
    assert!(writer.flush(TIMEOUT));
    assert!(writer.take_resync_request() && !writer.take_resync_request());
    let records = records_after_close(writer, &disk);
    for subject in 0..10 {
        assert!(
            records.contains(&record(2, subject, "99")),
            "the weightier kind is whole"
        );
    }
    assert!(
        records
            .iter()
            .all(|record| record.kind != 9 || record.value == b"99"),
        "the last of each subject"
    );
}

#[test]
fn bounds_close_time_when_disk_hangs() {
    let disk = BreakingDisk::default();
    let (writer, _events) = spawn_writer(&disk, limits());
    disk.set_fault(DiskFault::Stuck);
    writer.put(record(1, 0, "list"));
    assert!(!writer.close(Duration::from_millis(20)));
    disk.set_fault(DiskFault::Fair);
}

#[test]
fn reports_failing_disk_once_and_writes_after_recovery() {
    for fault in [DiskFault::Full, DiskFault::ReadOnly] {
        let disk = BreakingDisk::default();
        let (writer, events) = spawn_writer(&disk, limits());
        disk.set_fault(fault);
        let large_value = "much".repeat(200_000);
        (0..9).for_each(|subject| writer.put(record(1, subject, &large_value)));
        let first = events.recv_timeout(TIMEOUT).expect("it is said");
        assert!(matches!(first, DiskEvent::Failing(_)), "{first}");
        // More fail, and nothing is said of them.
        while writer.counts().failed < 4 {
            assert!(!writer.flush(TIMEOUT), "{fault:?}");
        }
        writer.put(record(1, 3, "later"));
        writer.delete(1, 4_u32.to_be_bytes().to_vec());
        assert!(events.is_empty() && writer.counts().is_degraded);
        disk.set_fault(DiskFault::Fair);
        assert_eq!(events.recv_timeout(TIMEOUT), Ok(DiskEvent::Recovered));
        assert!(writer.flush(TIMEOUT) && !writer.counts().is_degraded);
        assert!(!writer.take_resync_request(), "nothing gave way");
        let records = records_after_close(writer, &disk);
        assert_eq!(records.len(), 8);
        assert!(
            records.contains(&record(1, 3, "later")),
            "what was told later holds"
        );
        assert!(events.is_empty());
    }
}

#[test]
fn reports_slow_disk_once() {
    let disk = BreakingDisk::default();
    let (writer, events) = spawn_writer(
        &disk,
        Limits {
            slow_batch_threshold: Duration::ZERO,
            ..limits()
        },
    );
    for subject in 0..3 {
        writer.put(record(1, subject, "x"));
        assert!(writer.flush(TIMEOUT));
    }
    assert!(matches!(
        events.recv_timeout(TIMEOUT),
        Ok(DiskEvent::Slow(_))
    ));
    assert!(writer.close(TIMEOUT) && events.is_empty());
}

#[test]
fn recreates_lost_file_and_requests_resync() {
    for loss in [Emptied::Cut, Emptied::Removed] {
        let disk = BreakingDisk::default();
        let (writer, events) = spawn_writer(&disk, limits());
        writer.put(record(1, 1, "before"));
        assert!(writer.flush(TIMEOUT) && !writer.take_resync_request());
        disk.empty(loss);
        writer.put(record(1, 2, "after"));
        assert!(writer.flush(TIMEOUT));
        let event = events.recv_timeout(TIMEOUT).expect("it is said");
        assert!(matches!(event, DiskEvent::FileRecreated(_)), "{event}");
        assert!(writer.take_resync_request());
        writer.put(record(1, 1, "before"));
        let records = records_after_close(writer, &disk);
        assert_eq!(records, [record(1, 1, "before"), record(1, 2, "after")]);
    }
}

#[test]
fn writes_pending_changes_when_dropped() {
    let disk = BreakingDisk::default();
    let (writer, events) = spawn_writer(&disk, limits());
    writer.put(record(1, 1, "last"));
    drop(writer);
    // The thread ends, and what it says with it.
    assert!(events.recv_timeout(TIMEOUT).is_err());
    disk.power_back(Loss::Everything);
    assert_eq!(reopen(&disk).records, [record(1, 1, "last")]);
}
