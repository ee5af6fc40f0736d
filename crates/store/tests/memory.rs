//! A memory on a disk: what comes back, what is kept aside, and what is never believed.

use std::fs;
use std::path::Path;
use std::sync::Arc;

use beaconflow_contracts::disk::{BreakingDisk, DiskFault};
use beaconflow_store::OpenError;
use beaconflow_store::disk::Disk;
use beaconflow_store::memory::{
    AsideWhy, Change, Memory, Record, Remembered, SCHEMA, open, open_on,
};
use redb::{Database, TableDefinition};

const NOW: u64 = 1_700_000_000_000;
const YEAR: u64 = 365 * 86_400_000;

fn record(kind: u32, subject: &str, value: &str) -> Record {
    Record {
        kind,
        subject: subject.into(),
        value: value.into(),
        observed_at_ms: NOW - 5,
    }
}

fn keep(kind: u32, subject: &str, value: &str) -> Change {
    Change::Keep(record(kind, subject, value))
}

fn forget(kind: u32, subject: &str) -> Change {
    Change::Forget {
        kind,
        subject: subject.into(),
    }
}

fn path() -> &'static Path {
    Path::new("/memory.redb")
}

fn on(disk: &BreakingDisk, owner: &str, now_ms: u64) -> Result<(Memory, Remembered), OpenError> {
    open_on(Arc::new(disk.clone()), path(), owner, now_ms)
}

/// A disk with a memory in it, and its records.
fn written() -> (BreakingDisk, Vec<Record>) {
    let disk = BreakingDisk::default();
    let (mut memory, _) = on(&disk, "east-1", NOW).expect("new");
    memory
        .write(
            &[keep(2, "b", "2"), keep(1, "a", "1"), keep(2, "c", "3")],
            NOW,
        )
        .expect("durable");
    memory
        .write(&[forget(2, "b"), keep(2, "c", "4")], NOW + 9)
        .expect("durable");
    (disk, vec![record(1, "a", "1"), record(2, "c", "4")])
}

#[test]
fn what_was_written_is_remembered_and_each_start_has_its_number() {
    let folder = tempfile::tempdir().expect("a folder for temporary files");
    let path = folder.path().join("memory.redb");
    let (mut memory, remembered) = open(&path, "east-1", NOW).expect("new");
    assert_eq!(
        remembered,
        Remembered {
            incarnation: 1,
            ..Remembered::default()
        }
    );
    memory
        .write(&[keep(1, "a", "1"), keep(9, "", "")], NOW + 7)
        .expect("durable");
    assert_eq!(open(&path, "east-1", NOW).map(drop), Err(OpenError::InUse));
    drop(memory);
    let (memory, remembered) = open(&path, "east-1", NOW + 8).expect("the same");
    assert_eq!((memory.incarnation(), remembered.incarnation), (2, 2));
    assert_eq!(remembered.records, [record(1, "a", "1"), record(9, "", "")]);
    assert_eq!(
        (remembered.last_written_ms, remembered.clock_went_back),
        (Some(NOW + 7), false)
    );
    drop(memory);
    // The start itself is written too: its number is never given again.
    assert_eq!(
        open(&path, "east-1", NOW)
            .expect("the same")
            .1
            .last_written_ms,
        Some(NOW + 8)
    );
}

#[test]
fn a_clock_that_went_back_is_seen_once_and_one_that_is_ahead_hides_nothing() {
    let (disk, records) = written();
    let opened = |now_ms| on(&disk, "east-1", now_ms).expect("sound").1;
    for (now_ms, went_back) in [
        (0, true),
        (1, false),
        (NOW + YEAR, false),
        (NOW, true),
        (NOW, false),
    ] {
        let found = opened(now_ms);
        assert_eq!(
            (found.clock_went_back, &found.records),
            (went_back, &records),
            "at {now_ms}"
        );
    }
    assert_eq!(opened(NOW).incarnation, 7);
}

#[test]
fn the_memory_of_another_process_is_kept_aside_and_named() {
    let (disk, records) = written();
    let (memory, found) = on(&disk, "west-2", NOW).expect("begun anew");
    let aside = found.aside.expect("named");
    assert_eq!(aside.why, AsideWhy::Foreign("east-1".into()));
    assert_eq!(
        (
            found.incarnation,
            found.records.len(),
            found.last_written_ms
        ),
        (1, 0, None)
    );
    drop(memory);
    let (_, back) = open_on(Arc::new(disk.clone()), &aside.path, "east-1", NOW).expect("as it was");
    assert_eq!(back.records, records);
    assert_eq!(disk.names().len(), 2);
}

#[test]
fn a_file_of_something_else_is_left_in_its_place() {
    let folder = tempfile::tempdir().expect("a folder for temporary files");
    let path = folder.path().join("overrides.redb");
    drop(beaconflow_store::open(&path).expect("new"));
    let refused = open(&path, "east-1", NOW)
        .map(drop)
        .expect_err("not a memory");
    assert!(
        matches!(&refused, OpenError::System(why) if why.contains("no memory")),
        "{refused}"
    );
    drop(beaconflow_store::open(&path).expect("still there"));
    assert_eq!(fs::read_dir(folder.path()).expect("a folder").count(), 1);
    assert!(matches!(
        open(folder.path(), "east-1", NOW),
        Err(OpenError::System(_))
    ));
}

#[test]
fn a_newer_programs_memory_is_left_as_it_is() {
    let (disk, _) = written();
    {
        let database = disk.create(&Database::builder(), path()).expect("sound");
        let writing = database.begin_write().expect("open");
        let about = TableDefinition::<&str, u64>::new("memory-about");
        writing
            .open_table(about)
            .expect("there")
            .insert("schema", SCHEMA + 1)
            .expect("room");
        writing.commit().expect("durable");
    }
    let before = disk.bytes(path()).expect("there");
    // Also where nothing can be written.
    for weather in [DiskFault::Fair, DiskFault::ReadOnly] {
        disk.set_fault(weather);
        let refused = on(&disk, "east-1", NOW).map(drop);
        assert_eq!(
            refused,
            Err(OpenError::Newer {
                found: SCHEMA + 1,
                known: SCHEMA
            })
        );
    }
    assert!(disk.bytes(path()).expect("there") == before);
}

#[test]
fn a_record_that_cannot_be_read_stays_and_does_not_hide_the_others() {
    let (disk, mut records) = written();
    {
        let database = disk.create(&Database::builder(), path()).expect("sound");
        let writing = database.begin_write().expect("open");
        let journal = TableDefinition::<u64, &[u8]>::new("memory-journal");
        writing
            .open_table(journal)
            .expect("there")
            .insert(90, b"\xff\xff".as_slice())
            .expect("room");
        let snapshot = TableDefinition::<&[u8], &[u8]>::new("memory-snapshot");
        writing
            .open_table(snapshot)
            .expect("made")
            .insert(b"x".as_slice(), b"".as_slice())
            .expect("room");
        writing.commit().expect("durable");
    }
    // Also through a journal that goes over into the snapshot.
    let large = "x".repeat(17 << 20);
    for _ in 0..2 {
        let (mut memory, found) = on(&disk, "east-1", NOW).expect("sound");
        assert_eq!((found.unreadable, found.records.len()), (2, records.len()));
        assert!(found.records == records);
        memory.write(&[keep(3, "d", &large)], NOW).expect("durable");
        records.truncate(2);
        records.push(record(3, "d", &large));
    }
}

#[test]
fn a_disk_that_takes_no_writing_is_read_and_says_so() {
    let (disk, records) = written();
    disk.cut_after(1);
    drop(on(&disk, "east-1", NOW));
    disk.power_back(beaconflow_contracts::disk::Loss::Nothing);
    // After a crash, too: it is mended in memory.
    disk.set_fault(DiskFault::ReadOnly);
    let before = disk.bytes(path()).expect("there");
    let (mut memory, found) = on(&disk, "east-1", NOW + 10).expect("read");
    assert!(found.unwritable.is_some());
    assert_eq!((found.incarnation, found.records), (2, records.clone()));
    assert!(memory.write(&[keep(1, "z", "z")], NOW).is_err());
    assert!(disk.bytes(path()).expect("there") == before);
    disk.set_fault(DiskFault::Fair);
    assert_eq!(
        memory
            .write(&[keep(1, "z", "z")], NOW)
            .expect("well again")
            .begun_anew,
        None
    );
    drop(memory);
    let found = on(&disk, "east-1", NOW).expect("sound").1;
    assert_eq!(
        (found.incarnation, found.records.len()),
        (3, records.len() + 1)
    );
    // What is torn or another's and can't be moved is named where it is, and no word of it is believed.
    disk.set_fault(DiskFault::ReadOnly);
    let found = on(&disk, "west-2", NOW).expect("nothing").1;
    assert_eq!(
        (found.aside.map(|aside| aside.path), found.records.len()),
        (Some(path().to_owned()), 0)
    );
}

/// Cut at each byte of its first and last pages and of each page's edges, and at many in between.
#[test]
fn a_file_cut_anywhere_begins_safely_and_tells_nothing_that_was_not_written() {
    let (disk, records) = written();
    let whole = disk.bytes(path()).expect("there");
    let near_an_edge = |at: usize| at % 4096 < 2 || at % 4096 > 4094;
    let cuts =
        (0..whole.len()).filter(|at| *at < 600 || (near_an_edge(*at) && at % 24_576 < 8_192));
    let (mut kept_aside, mut all) = (0, 0);
    for cut in cuts.chain((0..whole.len()).step_by(39_989)) {
        let disk = BreakingDisk::default();
        disk.place(path(), whole[..cut].to_vec());
        let (mut memory, found) = on(&disk, "east-1", NOW).expect("a safe start");
        assert!(
            found.records.is_empty() || found.records == records,
            "cut at {cut}: {:?}",
            found.records
        );
        let boot = found.incarnation;
        assert!(
            boot == 1 || (boot == 2 && !found.records.is_empty()),
            "cut at {cut}: boot {boot}"
        );
        kept_aside += usize::from(found.aside.is_some());
        all += 1;
        memory.write(&[keep(1, "on", "")], NOW).expect("it works");
    }
    assert!(
        kept_aside > all / 2,
        "{kept_aside} of {all} were kept aside"
    );
}

#[test]
fn a_file_with_any_page_rotten_begins_safely() {
    let (disk, records) = written();
    let whole = disk.bytes(path()).expect("there");
    for page in 0..whole.len() / 4096 {
        for at in [page * 4096, page * 4096 + 77, page * 4096 + 2_048] {
            let mut rotten = whole.clone();
            rotten[at..at + 16]
                .iter_mut()
                .for_each(|byte| *byte ^= 0x5a);
            let disk = BreakingDisk::default();
            disk.place(path(), rotten);
            match on(&disk, "east-1", NOW) {
                // Of the last two states, each is one that was written.
                Ok((_, found)) if found.aside.is_none() => {
                    let before = [
                        record(1, "a", "1"),
                        record(2, "b", "2"),
                        record(2, "c", "3"),
                    ];
                    let known = found.records.is_empty()
                        || found.records == records
                        || found.records == before;
                    assert!(known, "rotten at {at}: {:?}", found.records);
                }
                Ok((_, found)) => assert!(found.records.is_empty()),
                Err(error) => assert!(
                    matches!(error, OpenError::System(_)),
                    "rotten at {at}: {error}"
                ),
            }
        }
    }
}
