//! The writer of a memory does not block its callers, whatever the disk does.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use beaconflow_contracts::disk::{ClearMethod, DiskFault, FaultyDisk, UnsyncedLoss};
use beaconflow_store::memory::{DiskEvent, Limits, MemoryContents, Record, Writer, open_on};
use crossbeam_channel::{Receiver, unbounded};

const NOW: u64 = 1_700_000_000_000;
/// Longer than any operation of these tests takes.
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

fn spawn_writer(disk: &FaultyDisk, limits: Limits) -> (Writer, Receiver<DiskEvent>) {
    let (memory, _) =
        open_on(Arc::new(disk.clone()), Path::new("/m"), "east-1", NOW).expect("the memory opens");
    let (event_sender, events) = unbounded();
    let writer = Writer::spawn_with(memory, limits, move |event| {
        event_sender.send(event).unwrap_or_default()
    });
    (writer.expect("the thread starts"), events)
}

fn reopen(disk: &FaultyDisk) -> MemoryContents {
    open_on(Arc::new(disk.clone()), Path::new("/m"), "east-1", NOW)
        .expect("the file is closed and valid")
        .1
}

#[test]
fn writes_all_changes_and_frees_file_on_close() {
    let disk = FaultyDisk::default();
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

fn records_after_close(writer: Writer, disk: &FaultyDisk) -> Vec<Record> {
    assert!(writer.close(TIMEOUT));
    reopen(disk).records
}

#[test]
fn accepts_and_evicts_changes_when_disk_hangs() {
    let disk = FaultyDisk::default();
    let (writer, _events) = spawn_writer(
        &disk,
        Limits {
            queue_bytes: 20_000,
            ..limits()
        },
    );
    disk.set_fault(DiskFault::Stalled);
    writer.put(record(1, 0, "list"));
    while writer.counts().pending > 0 {
        std::thread::yield_now();
    }
    // These calls return although the disk hangs.
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
        "flush returns after its timeout"
    );
    assert!(
        !writer.take_resync_request(),
        "a resync is requested only after the disk has recovered"
    );
    disk.set_fault(DiskFault::None);
    assert!(writer.flush(TIMEOUT));
    // The iteration after the batch requests the resync.
    assert!(writer.flush(TIMEOUT));
    assert!(writer.take_resync_request() && !writer.take_resync_request());
    let records = records_after_close(writer, &disk);
    for subject in 0..10 {
        assert!(
            records.contains(&record(2, subject, "99")),
            "records of the lower kind are complete"
        );
    }
    assert!(
        records
            .iter()
            .all(|record| record.kind != 9 || record.value == b"99"),
        "only the last value of each subject is written"
    );
}

#[test]
fn bounds_close_time_when_disk_hangs() {
    let disk = FaultyDisk::default();
    let (writer, _events) = spawn_writer(&disk, limits());
    disk.set_fault(DiskFault::Stalled);
    writer.put(record(1, 0, "list"));
    assert!(!writer.close(Duration::from_millis(20)));
    disk.set_fault(DiskFault::None);
}

#[test]
fn reports_failing_disk_once_and_writes_after_recovery() {
    for fault in [DiskFault::Full, DiskFault::ReadOnly] {
        let disk = FaultyDisk::default();
        let (writer, events) = spawn_writer(&disk, limits());
        disk.set_fault(fault);
        let large_value = "much".repeat(200_000);
        (0..9).for_each(|subject| writer.put(record(1, subject, &large_value)));
        let first = events.recv_timeout(TIMEOUT).expect("the event is reported");
        assert!(matches!(first, DiskEvent::Failing(_)), "{first}");
        // Further failures are not reported.
        while writer.counts().failed < 4 {
            assert!(!writer.flush(TIMEOUT), "{fault:?}");
        }
        writer.put(record(1, 3, "later"));
        writer.delete(1, 4_u32.to_be_bytes().to_vec());
        assert!(events.is_empty() && writer.counts().is_degraded);
        disk.set_fault(DiskFault::None);
        assert_eq!(events.recv_timeout(TIMEOUT), Ok(DiskEvent::Recovered));
        assert!(writer.flush(TIMEOUT) && !writer.counts().is_degraded);
        assert!(!writer.take_resync_request(), "no change was evicted");
        let records = records_after_close(writer, &disk);
        assert_eq!(records.len(), 8);
        assert!(
            records.contains(&record(1, 3, "later")),
            "a later change replaces the failed one"
        );
        assert!(events.is_empty());
    }
}

#[test]
fn reports_slow_disk_once() {
    let disk = FaultyDisk::default();
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
    for loss in [ClearMethod::Truncate, ClearMethod::Remove] {
        let disk = FaultyDisk::default();
        let (writer, events) = spawn_writer(&disk, limits());
        writer.put(record(1, 1, "before"));
        assert!(writer.flush(TIMEOUT) && !writer.take_resync_request());
        disk.clear_files(loss);
        writer.put(record(1, 2, "after"));
        assert!(writer.flush(TIMEOUT));
        let event = events.recv_timeout(TIMEOUT).expect("the event is reported");
        assert!(matches!(event, DiskEvent::FileRecreated(_)), "{event}");
        assert!(writer.take_resync_request());
        writer.put(record(1, 1, "before"));
        let records = records_after_close(writer, &disk);
        assert_eq!(records, [record(1, 1, "before"), record(1, 2, "after")]);
    }
}

#[test]
fn writes_pending_changes_when_dropped() {
    let disk = FaultyDisk::default();
    let (writer, events) = spawn_writer(&disk, limits());
    writer.put(record(1, 1, "last"));
    drop(writer);
    // The channel closes when the thread ends.
    assert!(events.recv_timeout(TIMEOUT).is_err());
    disk.restore_power(UnsyncedLoss::All);
    assert_eq!(reopen(&disk).records, [record(1, 1, "last")]);
}
