//! The override store on a real disk: what is read back, and which files are left unchanged.

use std::fs;
use std::path::Path;

use beaconflow_overrides::{Draft, Override, OverrideId, OverrideKind};
use beaconflow_store::{OpenError, OverrideStore, SCHEMA, open};
use redb::{Database, TableDefinition};

fn out(id: u64) -> Override {
    let kind = OverrideKind::Out {
        server: format!("s{id}"),
        moves_per_s: None,
    };
    Draft {
        kind,
        who: "ada".into(),
        why: "why".into(),
        expires_at: 2_000,
    }
    .into_override(OverrideId(id), 1_000)
}

fn folder() -> tempfile::TempDir {
    tempfile::tempdir().expect("a temporary folder is created")
}

/// Names of other files in the folder of the store.
fn other_files(path: &Path) -> Vec<String> {
    let all = fs::read_dir(path.parent().expect("the file has a parent folder"))
        .expect("the folder is readable");
    let names = all.map(|entry| {
        entry
            .expect("the entry is readable")
            .file_name()
            .into_string()
            .expect("the name is UTF-8")
    });
    let mut names: Vec<String> = names
        .filter(|name| name.as_str() != path.file_name().expect("the path has a file name"))
        .collect();
    names.sort();
    names
}

#[test]
fn keeps_overrides_and_never_reuses_ids() {
    let folder = folder();
    let path = folder.path().join("overrides.redb");
    let (mut store, contents) = open(&path).expect("a new store opens");
    assert_eq!(contents, Default::default());
    assert_eq!(store.next_id(), OverrideId(1));
    store.put(&[out(1)]).expect("the write succeeds");
    store.put(&[out(2)]).expect("the write succeeds");
    let mut changed = out(1);
    changed.remove(1_500);
    store.put(&[changed.clone()]).expect("the write succeeds");
    store.delete(&[OverrideId(2)]).expect("the write succeeds");
    assert!(
        matches!(open(&path), Err(OpenError::InUse)),
        "a second open of the same file is rejected"
    );
    drop(store);
    let (store, contents) = open(&path).expect("the store opens again");
    assert_eq!(contents.overrides, [changed]);
    assert_eq!(
        store.next_id(),
        OverrideId(3),
        "id 2 is not reused after its deletion"
    );
    assert!(other_files(&path).is_empty());
}

#[test]
fn moves_damaged_file_aside_and_starts_empty() {
    let folder = folder();
    let path = folder.path().join("overrides.redb");
    let intact = {
        let (mut store, _) = open(&path).expect("a new store opens");
        (1..200).for_each(|id| store.put(&[out(id)]).expect("the write succeeds"));
        drop(store);
        fs::read(&path).expect("the file exists")
    };
    let mut corrupted = intact.clone();
    corrupted[4096..].iter_mut().for_each(|byte| *byte ^= 0x5a);
    for damaged in [
        b"no database at all".to_vec(),
        intact[..intact.len() / 2].to_vec(),
        corrupted,
    ] {
        let before = other_files(&path).len();
        fs::write(&path, &damaged).expect("the file is writable");
        let (mut store, contents) = open(&path).expect("an empty store opens");
        let (moved_path, reason) = contents.moved_aside.expect("the damaged file is reported");
        assert!(!reason.is_empty() && contents.overrides.is_empty());
        assert_eq!(other_files(&path).len(), before + 1);
        assert_eq!(
            fs::read(&moved_path)
                .expect("the damaged file is kept")
                .len(),
            damaged.len(),
            "the kept file is not truncated"
        );
        store.put(&[out(1)]).expect("the new store accepts a write");
    }
}

#[test]
fn rejects_newer_schema_and_leaves_file_unchanged() {
    let folder = folder();
    let path = folder.path().join("overrides.redb");
    drop(open(&path).expect("a new store opens"));
    {
        let database = Database::create(&path).expect("the file opens");
        let transaction = database.begin_write().expect("a transaction begins");
        let metadata = TableDefinition::<&str, u64>::new("about");
        transaction
            .open_table(metadata)
            .expect("the table opens")
            .insert("schema", SCHEMA + 1)
            .expect("the insert succeeds");
        transaction.commit().expect("the write succeeds");
    }
    let before = fs::read(&path).expect("the file is readable");
    let error = open(&path)
        .map(drop)
        .expect_err("a newer schema is rejected");
    assert_eq!(
        error,
        OpenError::NewerSchema {
            found: SCHEMA + 1,
            supported: SCHEMA
        }
    );
    assert!(error.to_string().contains("newer program"), "{error}");
    assert!(
        fs::read(&path).expect("the file is readable") == before,
        "the file is unchanged"
    );
    assert!(other_files(&path).is_empty());
}

#[test]
fn reports_unreadable_record_and_reads_others() {
    let folder = folder();
    let path = folder.path().join("overrides.redb");
    let (mut store, _) = open(&path).expect("a new store opens");
    store.put(&[out(1)]).expect("the write succeeds");
    drop(store);
    {
        let database = Database::create(&path).expect("the file opens");
        let transaction = database.begin_write().expect("a transaction begins");
        let table = TableDefinition::<u64, &[u8]>::new("overrides");
        transaction
            .open_table(table)
            .expect("the table opens")
            .insert(5, b"\xff\xff".as_slice())
            .expect("the insert succeeds");
        transaction.commit().expect("the write succeeds");
    }
    let (store, contents) = open(&path).expect("the file is valid as a whole");
    assert_eq!(contents.overrides, [out(1)]);
    assert_eq!(contents.unreadable_ids, [5]);
    assert_eq!(store.next_id(), OverrideId(6));
}

#[test]
fn returns_system_error_and_moves_nothing() {
    let folder = folder();
    let missing_folder = folder.path().join("no-such-folder").join("overrides.redb");
    assert!(matches!(open(&missing_folder), Err(OpenError::System(_))));
    assert!(matches!(open(folder.path()), Err(OpenError::System(_))));
    assert!(
        other_files(&folder.path().join("x")).is_empty(),
        "no file was renamed"
    );
}
