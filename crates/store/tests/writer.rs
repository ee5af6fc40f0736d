//! The writer of a memory: nobody waits for it, whatever its disk does.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use beaconflow_contracts::disk::{BreakingDisk, DiskFault, Emptied, Loss};
use beaconflow_store::memory::{DiskEvent, Limits, Record, Remembered, Writer, open_on};
use crossbeam_channel::{Receiver, unbounded};

const NOW: u64 = 1_700_000_000_000;
/// Longer than anything here takes.
const PATIENCE: Duration = Duration::from_secs(30);

fn record(kind: u32, subject: u32, value: &str) -> Record {
    Record {
        kind,
        subject: subject.to_be_bytes().to_vec(),
        value: value.into(),
        observed_at_ms: NOW,
    }
}

fn limits() -> Limits {
    let (every, retry) = (Duration::from_millis(1), Duration::from_millis(5));
    Limits {
        every,
        retry,
        slow: PATIENCE,
        ..Limits::default()
    }
}

fn begin(disk: &BreakingDisk, limits: Limits) -> (Writer, Receiver<DiskEvent>) {
    let (memory, _) =
        open_on(Arc::new(disk.clone()), Path::new("/m"), "east-1", NOW).expect("a memory");
    let (say, said) = unbounded();
    let writer = Writer::spawn_with(memory, limits, move |notice| {
        say.send(notice).unwrap_or_default()
    });
    (writer.expect("a thread"), said)
}

fn remembered(disk: &BreakingDisk) -> Remembered {
    open_on(Arc::new(disk.clone()), Path::new("/m"), "east-1", NOW)
        .expect("free and sound")
        .1
}

#[test]
fn what_was_told_is_there_after_the_end_and_the_file_is_free() {
    let disk = BreakingDisk::default();
    let small = Limits {
        journal_bytes: 500,
        ..limits()
    };
    let (writer, said) = begin(&disk, small);
    for turn in 0..20 {
        (0..50).for_each(|subject| writer.remember(record(4, subject, &format!("{turn}"))));
        writer.forget(4, (turn as u32).to_be_bytes().to_vec());
        assert!(writer.flush(PATIENCE));
    }
    let kept: Vec<Record> = remembered_after(writer, &disk);
    let right: Vec<Record> = (0..50)
        .filter(|one| *one != 19)
        .map(|one| record(4, one, "19"))
        .collect();
    assert_eq!(kept, right);
    assert!(said.is_empty());
}

fn remembered_after(writer: Writer, disk: &BreakingDisk) -> Vec<Record> {
    assert!(writer.end(PATIENCE));
    remembered(disk).records
}

#[test]
fn a_disk_that_stands_still_holds_nobody_up_and_the_least_gives_way() {
    let disk = BreakingDisk::default();
    let (writer, _said) = begin(
        &disk,
        Limits {
            queue_bytes: 20_000,
            ..limits()
        },
    );
    disk.set_fault(DiskFault::Stuck);
    writer.remember(record(1, 0, "list"));
    while writer.counts().waiting > 0 {
        std::thread::yield_now();
    }
    // These return although the disk never does.
    for turn in 0..100 {
        (0..1_000).for_each(|subject| writer.remember(record(9, subject, &format!("{turn}"))));
        (0..10).for_each(|subject| writer.remember(record(2, subject, &format!("{turn}"))));
        writer.forget(1, vec![turn]);
    }
    let counts = writer.counts();
    assert!(
        counts.waiting_bytes <= 20_000 && counts.evicted > 10_000,
        "{counts:?}"
    );
    assert_eq!(counts.written, 0);
    assert!(
        !writer.flush(Duration::from_millis(1)),
        "it is bounded in time"
    );
    assert!(!writer.wants_all(), "asked for when the disk is well");
    disk.set_fault(DiskFault::Fair);
    assert!(writer.flush(PATIENCE));
    // The turn after the batch asks.
    assert!(writer.flush(PATIENCE));
    assert!(writer.wants_all() && !writer.wants_all());
    let kept = remembered_after(writer, &disk);
    for subject in 0..10 {
        assert!(
            kept.contains(&record(2, subject, "99")),
            "the weightier kind is whole"
        );
    }
    assert!(
        kept.iter().all(|one| one.kind != 9 || one.value == b"99"),
        "the last of each subject"
    );
}

#[test]
fn an_end_on_a_disk_that_stands_still_is_bounded_in_time() {
    let disk = BreakingDisk::default();
    let (writer, _said) = begin(&disk, limits());
    disk.set_fault(DiskFault::Stuck);
    writer.remember(record(1, 0, "list"));
    assert!(!writer.end(Duration::from_millis(20)));
    disk.set_fault(DiskFault::Fair);
}

#[test]
fn an_ill_disk_is_said_once_and_so_is_a_well_one_and_then_all_is_written() {
    for weather in [DiskFault::Full, DiskFault::ReadOnly] {
        let disk = BreakingDisk::default();
        let (writer, said) = begin(&disk, limits());
        disk.set_fault(weather);
        let big = "much".repeat(200_000);
        (0..9).for_each(|subject| writer.remember(record(1, subject, &big)));
        let first = said.recv_timeout(PATIENCE).expect("it is said");
        assert!(matches!(first, DiskEvent::Ailing(_)), "{first}");
        // More fail, and nothing is said of them.
        while writer.counts().failed < 4 {
            assert!(!writer.flush(PATIENCE), "{weather:?}");
        }
        writer.remember(record(1, 3, "later"));
        writer.forget(1, 4_u32.to_be_bytes().to_vec());
        assert!(said.is_empty() && writer.counts().degraded);
        disk.set_fault(DiskFault::Fair);
        assert_eq!(said.recv_timeout(PATIENCE), Ok(DiskEvent::Recovered));
        assert!(writer.flush(PATIENCE) && !writer.counts().degraded);
        assert!(!writer.wants_all(), "nothing gave way");
        let kept = remembered_after(writer, &disk);
        assert_eq!(kept.len(), 8);
        assert!(
            kept.contains(&record(1, 3, "later")),
            "what was told later holds"
        );
        assert!(said.is_empty());
    }
}

#[test]
fn a_slow_disk_is_said_once() {
    let disk = BreakingDisk::default();
    let (writer, said) = begin(
        &disk,
        Limits {
            slow: Duration::ZERO,
            ..limits()
        },
    );
    for subject in 0..3 {
        writer.remember(record(1, subject, "x"));
        assert!(writer.flush(PATIENCE));
    }
    assert!(matches!(
        said.recv_timeout(PATIENCE),
        Ok(DiskEvent::Slow(_))
    ));
    assert!(writer.end(PATIENCE) && said.is_empty());
}

#[test]
fn a_file_that_was_lost_is_begun_anew_and_all_is_asked_for() {
    for how in [Emptied::Cut, Emptied::Removed] {
        let disk = BreakingDisk::default();
        let (writer, said) = begin(&disk, limits());
        writer.remember(record(1, 1, "before"));
        assert!(writer.flush(PATIENCE) && !writer.wants_all());
        disk.empty(how);
        writer.remember(record(1, 2, "after"));
        assert!(writer.flush(PATIENCE));
        let notice = said.recv_timeout(PATIENCE).expect("it is said");
        assert!(matches!(notice, DiskEvent::BegunAnew(_)), "{notice}");
        assert!(writer.wants_all());
        writer.remember(record(1, 1, "before"));
        let kept = remembered_after(writer, &disk);
        assert_eq!(kept, [record(1, 1, "before"), record(1, 2, "after")]);
    }
}

#[test]
fn a_writer_that_is_dropped_writes_what_waits_if_it_lives_so_long() {
    let disk = BreakingDisk::default();
    let (writer, said) = begin(&disk, limits());
    writer.remember(record(1, 1, "last"));
    drop(writer);
    // The thread ends, and what it says with it.
    assert!(said.recv_timeout(PATIENCE).is_err());
    disk.power_back(Loss::Everything);
    assert_eq!(remembered(&disk).records, [record(1, 1, "last")]);
}
