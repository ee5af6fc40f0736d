//! Today's stores, brought to the suite.

mod tenants;

use std::path::Path;
use std::sync::Arc;

use beaconflow_contracts::stores::{Failed, OnDisk, Opened, Rows, Store};
use beaconflow_overrides::{Draft, Override, OverrideId, OverrideKind};
use beaconflow_store::disk::Disk;
use beaconflow_store::memory::{Change, Memory, Record, open_on};
use beaconflow_store::{FileStore, OverrideStore};

pub use tenants::RedisTenants;

fn unable(why: impl ToString) -> Failed {
    Failed::Unable(why.to_string())
}

fn only_when_opened() -> Result<Rows, Failed> {
    Err(Failed::Refused(
        "its rows are given when it is opened".into(),
    ))
}

/// The overrides' store in a file.
pub struct Overrides;

struct OverridesOpen(FileStore);

fn to_override((key, value): (&u64, &String)) -> Override {
    let kind = OverrideKind::Out {
        server: value.clone(),
        moves_per_s: None,
    };
    let draft = Draft {
        kind,
        who: "ada".into(),
        why: "why".into(),
        expires_at: 2_000,
    };
    draft.into_override(OverrideId(*key), 1_000)
}

fn to_row(one: Override) -> (u64, String) {
    match one.kind {
        OverrideKind::Out { server, .. } => (one.id.0, server),
        other => (one.id.0, format!("{other:?}")),
    }
}

impl OnDisk for Overrides {
    const SCHEMA: (&'static str, u64) = ("about", beaconflow_store::SCHEMA);

    fn open(disk: Arc<dyn Disk>, path: &Path) -> Opened {
        let (store, contents) = beaconflow_store::open_on(disk, path).map_err(unable)?;
        Ok((
            Box::new(OverridesOpen(store)),
            contents.overrides.into_iter().map(to_row).collect(),
        ))
    }
}

impl Store for OverridesOpen {
    fn put(&mut self, rows: &Rows) -> Result<(), Failed> {
        let all: Vec<Override> = rows.iter().map(to_override).collect();
        self.0.put(&all).map_err(unable)
    }

    fn remove(&mut self, key: u64) -> Result<(), Failed> {
        self.0.delete(&[OverrideId(key)]).map_err(unable)
    }

    fn rows(&mut self) -> Result<Rows, Failed> {
        only_when_opened()
    }
}

/// A process's memory in a file, whose journal goes over into the snapshot at so many bytes.
pub struct MemoryFile<const JOURNAL: u64>;

struct MemoryOpen(Memory);

const KIND: u32 = 7;
const NOW_MS: u64 = 1_700_000_000_000;

impl<const JOURNAL: u64> OnDisk for MemoryFile<JOURNAL> {
    const SCHEMA: (&'static str, u64) = ("memory-about", beaconflow_store::memory::SCHEMA);

    fn open(disk: Arc<dyn Disk>, path: &Path) -> Opened {
        let (mut memory, remembered) = open_on(disk, path, "east-1", NOW_MS).map_err(unable)?;
        memory.set_journal_limit(JOURNAL);
        let key = |subject: &[u8]| subject.try_into().map_or(u64::MAX, u64::from_be_bytes);
        let row = |record: Record| {
            (
                key(&record.subject),
                String::from_utf8_lossy(&record.value).into_owned(),
            )
        };
        Ok((
            Box::new(MemoryOpen(memory)),
            remembered.records.into_iter().map(row).collect(),
        ))
    }
}

impl MemoryOpen {
    fn write(&mut self, changes: &[Change]) -> Result<(), Failed> {
        self.0.write(changes, NOW_MS).map(drop).map_err(unable)
    }
}

impl Store for MemoryOpen {
    fn put(&mut self, rows: &Rows) -> Result<(), Failed> {
        let keep = |(key, value): (&u64, &String)| {
            let subject = key.to_be_bytes().to_vec();
            Change::Put(Record {
                kind: KIND,
                subject,
                value: value.clone().into_bytes(),
                observed_at_ms: NOW_MS,
            })
        };
        self.write(&rows.iter().map(keep).collect::<Vec<Change>>())
    }

    fn remove(&mut self, key: u64) -> Result<(), Failed> {
        self.write(&[Change::Delete {
            kind: KIND,
            subject: key.to_be_bytes().to_vec(),
        }])
    }

    fn rows(&mut self) -> Result<Rows, Failed> {
        only_when_opened()
    }
}
