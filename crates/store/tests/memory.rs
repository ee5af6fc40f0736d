//! The memory on a disk: what is read back, which files are renamed, and which contents are ignored.

use std::fs;
use std::path::Path;
use std::sync::Arc;

use beaconflow_contracts::disk::{DiskFault, FaultyDisk};
use beaconflow_store::OpenError;
use beaconflow_store::disk::Disk;
use beaconflow_store::memory::{
    Change, Memory, MemoryContents, Record, SCHEMA, UnusableReason, open, open_on,
};
use redb::{Database, TableDefinition};

const NOW_MS: u64 = 1_700_000_000_000;
const YEAR_MS: u64 = 365 * 86_400_000;

fn record(kind: u32, subject: &str, value: &str) -> Record {
    Record {
        kind,
        subject: subject.into(),
        value: value.into(),
        observed_at_ms: NOW_MS - 5,
    }
}

fn put(kind: u32, subject: &str, value: &str) -> Change {
    Change::Put(record(kind, subject, value))
}

fn delete(kind: u32, subject: &str) -> Change {
    Change::Delete {
        kind,
        subject: subject.into(),
    }
}

fn path() -> &'static Path {
    Path::new("/memory.redb")
}

fn open_at(
    disk: &FaultyDisk,
    owner: &str,
    now_ms: u64,
) -> Result<(Memory, MemoryContents), OpenError> {
    open_on(Arc::new(disk.clone()), path(), owner, now_ms)
}

/// A disk with a memory file, and the records in it.
fn disk_with_records() -> (FaultyDisk, Vec<Record>) {
    let disk = FaultyDisk::default();
    let (mut memory, _) = open_at(&disk, "east-1", NOW_MS).expect("a new memory opens");
    memory
        .write(
            &[put(2, "b", "2"), put(1, "a", "1"), put(2, "c", "3")],
            NOW_MS,
        )
        .expect("the write succeeds");
    memory
        .write(&[delete(2, "b"), put(2, "c", "4")], NOW_MS + 9)
        .expect("the write succeeds");
    (disk, vec![record(1, "a", "1"), record(2, "c", "4")])
}

#[test]
fn restores_records_and_raises_incarnation_at_each_start() {
    let folder = tempfile::tempdir().expect("a temporary folder is created");
    let path = folder.path().join("memory.redb");
    let (mut memory, contents) = open(&path, "east-1", NOW_MS).expect("a new memory opens");
    assert_eq!(
        contents,
        MemoryContents {
            incarnation: 1,
            ..MemoryContents::default()
        }
    );
    memory
        .write(&[put(1, "a", "1"), put(9, "", "")], NOW_MS + 7)
        .expect("the write succeeds");
    assert_eq!(
        open(&path, "east-1", NOW_MS).map(drop),
        Err(OpenError::InUse)
    );
    drop(memory);
    let (memory, contents) = open(&path, "east-1", NOW_MS + 8).expect("the memory opens again");
    assert_eq!((memory.incarnation(), contents.incarnation), (2, 2));
    assert_eq!(contents.records, [record(1, "a", "1"), record(9, "", "")]);
    assert_eq!(
        (contents.last_written_at_ms, contents.clock_went_back),
        (Some(NOW_MS + 7), false)
    );
    drop(memory);
    // The start writes its incarnation number, so that it is not reused.
    assert_eq!(
        open(&path, "east-1", NOW_MS)
            .expect("the memory opens again")
            .1
            .last_written_at_ms,
        Some(NOW_MS + 8)
    );
}

#[test]
fn reports_clock_that_went_back_once() {
    let (disk, records) = disk_with_records();
    let open_contents = |now_ms| {
        open_at(&disk, "east-1", now_ms)
            .expect("the file is valid")
            .1
    };
    for (now_ms, went_back) in [
        (0, true),
        (1, false),
        (NOW_MS + YEAR_MS, false),
        (NOW_MS, true),
        (NOW_MS, false),
    ] {
        let contents = open_contents(now_ms);
        assert_eq!(
            (contents.clock_went_back, &contents.records),
            (went_back, &records),
            "opened at {now_ms} ms"
        );
    }
    assert_eq!(open_contents(NOW_MS).incarnation, 7);
}

#[test]
fn moves_memory_of_other_owner_aside() {
    let (disk, records) = disk_with_records();
    let (memory, contents) = open_at(&disk, "west-2", NOW_MS).expect("a new memory is created");
    let moved = contents.moved_aside.expect("the renamed file is reported");
    assert_eq!(moved.reason, UnusableReason::Foreign("east-1".into()));
    assert_eq!(
        (
            contents.incarnation,
            contents.records.len(),
            contents.last_written_at_ms
        ),
        (1, 0, None)
    );
    drop(memory);
    let (_, restored) = open_on(Arc::new(disk.clone()), &moved.path, "east-1", NOW_MS)
        .expect("the renamed file is unchanged");
    assert_eq!(restored.records, records);
    assert_eq!(disk.paths().len(), 2);
}

#[test]
fn leaves_file_of_other_store_in_place() {
    let folder = tempfile::tempdir().expect("a temporary folder is created");
    let path = folder.path().join("overrides.redb");
    drop(beaconflow_store::open(&path).expect("a new memory opens"));
    let error = open(&path, "east-1", NOW_MS)
        .map(drop)
        .expect_err("a file of another store is rejected");
    assert!(
        matches!(&error, OpenError::System(reason) if reason.contains("no memory")),
        "{error}"
    );
    drop(beaconflow_store::open(&path).expect("the override store opens as before"));
    assert_eq!(
        fs::read_dir(folder.path())
            .expect("the folder is readable")
            .count(),
        1
    );
    assert!(matches!(
        open(folder.path(), "east-1", NOW_MS),
        Err(OpenError::System(_))
    ));
}

#[test]
fn leaves_memory_with_newer_schema_unchanged() {
    let (disk, _) = disk_with_records();
    {
        let database = disk
            .create(&Database::builder(), path())
            .expect("the file is valid");
        let transaction = database.begin_write().expect("a transaction begins");
        let metadata = TableDefinition::<&str, u64>::new("memory-about");
        transaction
            .open_table(metadata)
            .expect("the table opens")
            .insert("schema", SCHEMA + 1)
            .expect("the insert succeeds");
        transaction.commit().expect("the write succeeds");
    }
    let before = disk.read(path()).expect("the file is readable");
    // Also on a read-only disk.
    for fault in [DiskFault::None, DiskFault::ReadOnly] {
        disk.set_fault(fault);
        let error = open_at(&disk, "east-1", NOW_MS).map(drop);
        assert_eq!(
            error,
            Err(OpenError::NewerSchema {
                found: SCHEMA + 1,
                supported: SCHEMA
            })
        );
    }
    assert!(disk.read(path()).expect("the file is readable") == before);
}

#[test]
fn keeps_unreadable_records_and_reads_others() {
    let (disk, mut records) = disk_with_records();
    {
        let database = disk
            .create(&Database::builder(), path())
            .expect("the file is valid");
        let transaction = database.begin_write().expect("a transaction begins");
        let journal = TableDefinition::<u64, &[u8]>::new("memory-journal");
        transaction
            .open_table(journal)
            .expect("the table opens")
            .insert(90, b"\xff\xff".as_slice())
            .expect("the insert succeeds");
        let snapshot = TableDefinition::<&[u8], &[u8]>::new("memory-snapshot");
        transaction
            .open_table(snapshot)
            .expect("the table is created")
            .insert(b"x".as_slice(), b"".as_slice())
            .expect("the insert succeeds");
        transaction.commit().expect("the write succeeds");
    }
    // The value exceeds the journal limit, so that the journal is merged into the snapshot.
    let large = "x".repeat(17 << 20);
    for _ in 0..2 {
        let (mut memory, contents) = open_at(&disk, "east-1", NOW_MS).expect("the file is valid");
        assert_eq!(
            (contents.unreadable_records, contents.records.len()),
            (2, records.len())
        );
        assert!(contents.records == records);
        memory
            .write(&[put(3, "d", &large)], NOW_MS)
            .expect("the write succeeds");
        records.truncate(2);
        records.push(record(3, "d", &large));
    }
}

#[test]
fn reads_memory_from_read_only_disk() {
    let (disk, records) = disk_with_records();
    disk.cut_power_after(1);
    drop(open_at(&disk, "east-1", NOW_MS));
    disk.restore_power(beaconflow_contracts::disk::UnsyncedLoss::None);
    // Also after a crash: the file is repaired in a copy in memory.
    disk.set_fault(DiskFault::ReadOnly);
    let before = disk.read(path()).expect("the file is readable");
    let (mut memory, contents) =
        open_at(&disk, "east-1", NOW_MS + 10).expect("the contents are readable");
    assert!(contents.write_error.is_some());
    assert_eq!(
        (contents.incarnation, contents.records),
        (2, records.clone())
    );
    assert!(memory.write(&[put(1, "z", "z")], NOW_MS).is_err());
    assert!(disk.read(path()).expect("the file is readable") == before);
    disk.set_fault(DiskFault::None);
    assert_eq!(
        memory
            .write(&[put(1, "z", "z")], NOW_MS)
            .expect("the disk has recovered")
            .recreated_reason,
        None
    );
    drop(memory);
    let contents = open_at(&disk, "east-1", NOW_MS)
        .expect("the file is valid")
        .1;
    assert_eq!(
        (contents.incarnation, contents.records.len()),
        (3, records.len() + 1)
    );
    // A foreign file that cannot be renamed is reported at its path, and its records are ignored.
    disk.set_fault(DiskFault::ReadOnly);
    let contents = open_at(&disk, "west-2", NOW_MS)
        .expect("an empty memory opens")
        .1;
    assert_eq!(
        (
            contents.moved_aside.map(|moved| moved.path),
            contents.records.len()
        ),
        (Some(path().to_owned()), 0)
    );
}

/// Truncates the file at every one of the first 600 bytes, around the edges of some pages, and at many lengths in between.
#[test]
fn starts_safely_from_truncated_file() {
    let (disk, records) = disk_with_records();
    let intact = disk.read(path()).expect("the file is readable");
    let near_an_edge = |at: usize| at % 4096 < 2 || at % 4096 > 4094;
    let cut_lengths =
        (0..intact.len()).filter(|at| *at < 600 || (near_an_edge(*at) && at % 24_576 < 8_192));
    let (mut moved_count, mut total) = (0, 0);
    for cut in cut_lengths.chain((0..intact.len()).step_by(39_989)) {
        let disk = FaultyDisk::default();
        disk.write_synced(path(), intact[..cut].to_vec());
        let (mut memory, contents) =
            open_at(&disk, "east-1", NOW_MS).expect("a truncated file does not prevent the start");
        assert!(
            contents.records.is_empty() || contents.records == records,
            "truncated to {cut} bytes: {:?}",
            contents.records
        );
        let incarnation = contents.incarnation;
        assert!(
            incarnation == 1 || (incarnation == 2 && !contents.records.is_empty()),
            "truncated to {cut} bytes: incarnation {incarnation}"
        );
        moved_count += usize::from(contents.moved_aside.is_some());
        total += 1;
        memory
            .write(&[put(1, "on", "")], NOW_MS)
            .expect("the memory accepts a write");
    }
    assert!(
        moved_count > total / 2,
        "only {moved_count} of {total} files were renamed"
    );
}

#[test]
fn starts_safely_from_corrupted_page() {
    let (disk, records) = disk_with_records();
    let intact = disk.read(path()).expect("the file is readable");
    for page in 0..intact.len() / 4096 {
        for at in [page * 4096, page * 4096 + 77, page * 4096 + 2_048] {
            let mut corrupted = intact.clone();
            corrupted[at..at + 16]
                .iter_mut()
                .for_each(|byte| *byte ^= 0x5a);
            let disk = FaultyDisk::default();
            disk.write_synced(path(), corrupted);
            match open_at(&disk, "east-1", NOW_MS) {
                // Either of the last two states is one that was written.
                Ok((_, contents)) if contents.moved_aside.is_none() => {
                    let before = [
                        record(1, "a", "1"),
                        record(2, "b", "2"),
                        record(2, "c", "3"),
                    ];
                    let was_written = contents.records.is_empty()
                        || contents.records == records
                        || contents.records == before;
                    assert!(
                        was_written,
                        "corrupted at byte {at}: {:?}",
                        contents.records
                    );
                }
                Ok((_, contents)) => assert!(contents.records.is_empty()),
                Err(error) => assert!(
                    matches!(error, OpenError::System(_)),
                    "corrupted at byte {at}: {error}"
                ),
            }
        }
    }
}
