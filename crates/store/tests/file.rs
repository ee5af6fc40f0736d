//! The store on a real disk: what comes back, and what is left alone.

use std::fs;
use std::path::Path;

use beaconflow_overrides::{Draft, Id, Kind, Override};
use beaconflow_store::{OpenError, OverrideStore, SCHEMA, open};
use redb::{Database, TableDefinition};

fn out(id: u64) -> Override {
    let kind = Kind::Out {
        server: format!("s{id}"),
        moves_per_s: None,
    };
    Draft {
        kind,
        who: "ada".into(),
        why: "why".into(),
        expires_at: 2_000,
    }
    .into_override(Id(id), 1_000)
}

fn folder() -> tempfile::TempDir {
    tempfile::tempdir().expect("a folder for temporary files")
}

/// Files beside the store.
fn other_files(path: &Path) -> Vec<String> {
    let all = fs::read_dir(path.parent().expect("a folder")).expect("it can be read");
    let names = all.map(|entry| {
        entry
            .expect("an entry")
            .file_name()
            .into_string()
            .expect("text")
    });
    let mut names: Vec<String> = names
        .filter(|name| name.as_str() != path.file_name().expect("a name"))
        .collect();
    names.sort();
    names
}

#[test]
fn keeps_overrides_and_never_reuses_ids() {
    let folder = folder();
    let path = folder.path().join("overrides.redb");
    let (mut store, contents) = open(&path).expect("a new store");
    assert_eq!(contents, Default::default());
    assert_eq!(store.next_id(), Id(1));
    store.put(&[out(1)]).expect("durable");
    store.put(&[out(2)]).expect("durable");
    let mut changed = out(1);
    changed.remove(1_500);
    store.put(&[changed.clone()]).expect("durable");
    store.delete(&[Id(2)]).expect("durable");
    assert!(
        matches!(open(&path), Err(OpenError::InUse)),
        "one program at a time"
    );
    drop(store);
    let (store, contents) = open(&path).expect("the same store");
    assert_eq!(contents.overrides, [changed]);
    assert_eq!(store.next_id(), Id(3), "2 was given away");
    assert!(other_files(&path).is_empty());
}

#[test]
fn moves_damaged_file_aside_and_starts_empty() {
    let folder = folder();
    let path = folder.path().join("overrides.redb");
    let intact = {
        let (mut store, _) = open(&path).expect("a new store");
        (1..200).for_each(|id| store.put(&[out(id)]).expect("durable"));
        drop(store);
        fs::read(&path).expect("it is there")
    };
    let mut corrupted = intact.clone();
    corrupted[4096..].iter_mut().for_each(|byte| *byte ^= 0x5a);
    for damaged in [
        b"no database at all".to_vec(),
        intact[..intact.len() / 2].to_vec(),
        corrupted,
    ] {
        let before = other_files(&path).len();
        fs::write(&path, &damaged).expect("it can be written");
        let (mut store, contents) = open(&path).expect("an empty store");
        let (moved_path, reason) = contents.moved_aside.expect("it says so");
        assert!(!reason.is_empty() && contents.overrides.is_empty());
        assert_eq!(other_files(&path).len(), before + 1);
        assert_eq!(
            fs::read(&moved_path).expect("kept").len(),
            damaged.len(),
            "not cut or overwritten"
        );
        store.put(&[out(1)]).expect("the new one works");
    }
}

#[test]
fn rejects_newer_schema_and_leaves_file_unchanged() {
    let folder = folder();
    let path = folder.path().join("overrides.redb");
    drop(open(&path).expect("a new store"));
    {
        let database = Database::create(&path).expect("the same file");
        let transaction = database.begin_write().expect("open");
        let metadata = TableDefinition::<&str, u64>::new("about");
        transaction
            .open_table(metadata)
            .expect("there")
            .insert("schema", SCHEMA + 1)
            .expect("room");
        transaction.commit().expect("durable");
    }
    let before = fs::read(&path).expect("there");
    let error = open(&path).map(drop).expect_err("newer");
    assert_eq!(
        error,
        OpenError::NewerSchema {
            found: SCHEMA + 1,
            supported: SCHEMA
        }
    );
    assert!(error.to_string().contains("newer program"), "{error}");
    assert!(
        fs::read(&path).expect("there") == before,
        "not a byte has changed"
    );
    assert!(other_files(&path).is_empty());
}

#[test]
fn reports_unreadable_record_and_reads_others() {
    let folder = folder();
    let path = folder.path().join("overrides.redb");
    let (mut store, _) = open(&path).expect("a new store");
    store.put(&[out(1)]).expect("durable");
    drop(store);
    {
        let database = Database::create(&path).expect("the same file");
        let transaction = database.begin_write().expect("open");
        let table = TableDefinition::<u64, &[u8]>::new("overrides");
        transaction
            .open_table(table)
            .expect("there")
            .insert(5, b"\xff\xff".as_slice())
            .expect("room");
        transaction.commit().expect("durable");
    }
    let (store, contents) = open(&path).expect("sound as a whole");
    assert_eq!(contents.overrides, [out(1)]);
    assert_eq!(contents.unreadable_ids, [5]);
    assert_eq!(store.next_id(), Id(6));
}

#[test]
fn returns_system_error_and_moves_nothing() {
    let folder = folder();
    let missing_folder = folder.path().join("no-such-folder").join("overrides.redb");
    assert!(matches!(open(&missing_folder), Err(OpenError::System(_))));
    assert!(matches!(open(folder.path()), Err(OpenError::System(_))));
    assert!(
        other_files(&folder.path().join("x")).is_empty(),
        "nothing was kept aside"
    );
}
