//! Files written by the first released version are read in full.

use std::path::{Path, PathBuf};

use beaconflow_overrides::{Draft, Override, OverrideId, OverrideKind, Strictness, Subject};
use beaconflow_store::memory::{self, Record};
use beaconflow_store::{OverrideStore, open};

const NOW: u64 = 1_700_000_000_000;

/// Copies a stored file into a temporary folder.
fn copy_fixture(name: &str) -> (tempfile::TempDir, PathBuf) {
    let folder = tempfile::tempdir().expect("a temporary folder is created");
    let path = folder.path().join(name);
    let stored = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/data")
        .join(name);
    std::fs::copy(stored, &path).expect("the stored file is copied");
    (folder, path)
}

fn overrides() -> Vec<Override> {
    let kinds = [
        OverrideKind::Out {
            server: "s1".into(),
            moves_per_s: Some(2.5),
        },
        OverrideKind::Weight {
            server: "s2".into(),
            factor: 0.5,
        },
        OverrideKind::Pin {
            subject: Subject::Group("north".into()),
            server: "s3".into(),
            strictness: Strictness::Strict,
        },
    ];
    let draft = |kind| Draft {
        kind,
        who: "ada".into(),
        why: "maintenance".into(),
        expires_at: 9_000,
    };
    let numbered = (1..)
        .zip(kinds)
        .map(|(id, kind)| draft(kind).into_override(OverrideId(id), 1_000));
    numbered.collect()
}

fn record(kind: u32, subject: &str, value: &str) -> Record {
    Record {
        kind,
        subject: subject.into(),
        value: value.into(),
        observed_at_ms: NOW - 5,
    }
}

#[test]
fn reads_stored_overrides_file() {
    let (_folder, path) = copy_fixture("overrides.redb");
    let (store, contents) = open(&path).expect("the file opens");
    assert_eq!(contents.overrides, overrides());
    assert!(contents.unreadable_ids.is_empty() && contents.moved_aside.is_none());
    assert_eq!(store.next_id(), OverrideId(4));
}

#[test]
fn reads_stored_memory_with_snapshot_journal_and_owner() {
    let (_folder, path) = copy_fixture("memory.redb");
    let (memory, restored) = memory::open(&path, "east-1", NOW + 20).expect("the file opens");
    assert_eq!(
        restored.records,
        [record(1, "list", "one"), record(4, "client", "two")]
    );
    assert_eq!(
        (restored.incarnation, restored.last_written_at_ms),
        (3, Some(NOW + 9))
    );
    assert!(restored.unreadable_records == 0 && restored.moved_aside.is_none());
    drop(memory);
    let (_, foreign) = memory::open(&path, "west-2", NOW + 30).expect("a new memory is created");
    assert!(foreign.moved_aside.is_some() && foreign.records.is_empty());
}
