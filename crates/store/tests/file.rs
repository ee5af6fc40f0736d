//! The store on a real disk: what comes back, and what is left alone.

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
    tempfile::tempdir().expect("a folder for temporary files")
}

/// Files beside the store.
fn beside(path: &Path) -> Vec<String> {
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
fn what_was_put_is_there_after_the_program_and_numbers_are_never_given_twice() {
    let folder = folder();
    let path = folder.path().join("overrides.redb");
    let (mut store, contents) = open(&path).expect("a new store");
    assert_eq!(contents, Default::default());
    assert_eq!(store.next_id(), OverrideId(1));
    store.put(&[out(1)]).expect("durable");
    store.put(&[out(2)]).expect("durable");
    let mut changed = out(1);
    changed.remove(1_500);
    store.put(&[changed.clone()]).expect("durable");
    store.forget(&[OverrideId(2)]).expect("durable");
    assert!(
        matches!(open(&path), Err(OpenError::InUse)),
        "one program at a time"
    );
    drop(store);
    let (store, contents) = open(&path).expect("the same store");
    assert_eq!(contents.overrides, [changed]);
    assert_eq!(store.next_id(), OverrideId(3), "2 was given away");
    assert!(beside(&path).is_empty());
}

#[test]
fn a_damaged_file_is_kept_aside_and_an_empty_store_begins() {
    let folder = folder();
    let path = folder.path().join("overrides.redb");
    let whole = {
        let (mut store, _) = open(&path).expect("a new store");
        (1..200).for_each(|id| store.put(&[out(id)]).expect("durable"));
        drop(store);
        fs::read(&path).expect("it is there")
    };
    let mut rotten = whole.clone();
    rotten[4096..].iter_mut().for_each(|byte| *byte ^= 0x5a);
    for damaged in [
        b"no database at all".to_vec(),
        whole[..whole.len() / 2].to_vec(),
        rotten,
    ] {
        let before = beside(&path).len();
        fs::write(&path, &damaged).expect("it can be written");
        let (mut store, contents) = open(&path).expect("an empty store");
        let (aside, why) = contents.moved_aside.expect("it says so");
        assert!(!why.is_empty() && contents.overrides.is_empty());
        assert_eq!(beside(&path).len(), before + 1);
        assert_eq!(
            fs::read(&aside).expect("kept").len(),
            damaged.len(),
            "not cut or overwritten"
        );
        store.put(&[out(1)]).expect("the new one works");
    }
}

#[test]
fn a_newer_programs_file_is_refused_and_left_as_it_is() {
    let folder = folder();
    let path = folder.path().join("overrides.redb");
    drop(open(&path).expect("a new store"));
    {
        let database = Database::create(&path).expect("the same file");
        let writing = database.begin_write().expect("open");
        let about = TableDefinition::<&str, u64>::new("about");
        writing
            .open_table(about)
            .expect("there")
            .insert("schema", SCHEMA + 1)
            .expect("room");
        writing.commit().expect("durable");
    }
    let before = fs::read(&path).expect("there");
    let refused = open(&path).map(drop).expect_err("newer");
    assert_eq!(
        refused,
        OpenError::Newer {
            found: SCHEMA + 1,
            known: SCHEMA
        }
    );
    assert!(refused.to_string().contains("newer program"), "{refused}");
    assert!(
        fs::read(&path).expect("there") == before,
        "not a byte has changed"
    );
    assert!(beside(&path).is_empty());
}

#[test]
fn a_record_that_cannot_be_read_is_named_and_does_not_hide_the_others() {
    let folder = folder();
    let path = folder.path().join("overrides.redb");
    let (mut store, _) = open(&path).expect("a new store");
    store.put(&[out(1)]).expect("durable");
    drop(store);
    {
        let database = Database::create(&path).expect("the same file");
        let writing = database.begin_write().expect("open");
        let rows = TableDefinition::<u64, &[u8]>::new("overrides");
        writing
            .open_table(rows)
            .expect("there")
            .insert(5, b"\xff\xff".as_slice())
            .expect("room");
        writing.commit().expect("durable");
    }
    let (store, contents) = open(&path).expect("sound as a whole");
    assert_eq!(contents.overrides, [out(1)]);
    assert_eq!(contents.unreadable, [5]);
    assert_eq!(store.next_id(), OverrideId(6));
}

#[test]
fn what_the_system_refuses_is_said_in_its_words() {
    let folder = folder();
    let nowhere = folder.path().join("no-such-folder").join("overrides.redb");
    assert!(matches!(open(&nowhere), Err(OpenError::System(_))));
    assert!(matches!(open(folder.path()), Err(OpenError::System(_))));
    assert!(
        beside(&folder.path().join("x")).is_empty(),
        "nothing was kept aside"
    );
}
