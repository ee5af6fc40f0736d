//! Test subjects for the file-backed stores and the tenant store in Redis.

mod tenants;

use std::path::Path;
use std::sync::Arc;

use beaconflow_contracts::stores::{FileBackedStore, OpenResult, Rows, Store, StoreError};
use beaconflow_overrides::{Draft, Override, OverrideId, OverrideKind};
use beaconflow_store::disk::Disk;
use beaconflow_store::memory::{Change, Memory, Record, open_on};
use beaconflow_store::{FileStore, OverrideStore};

pub use tenants::RedisTenants;

fn unavailable(error: impl ToString) -> StoreError {
    StoreError::Unavailable(error.to_string())
}

fn rows_not_supported() -> Result<Rows, StoreError> {
    Err(StoreError::Rejected(
        "a file-backed store returns its rows only when it is opened".into(),
    ))
}

/// The store of overrides in a file.
pub struct Overrides;

struct OpenOverrides(FileStore);

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

fn to_row(entry: Override) -> (u64, String) {
    match entry.kind {
        OverrideKind::Out { server, .. } => (entry.id.0, server),
        other => (entry.id.0, format!("{other:?}")),
    }
}

impl FileBackedStore for Overrides {
    const SCHEMA: (&'static str, u64) = ("about", beaconflow_store::SCHEMA);

    fn open(disk: Arc<dyn Disk>, path: &Path) -> OpenResult {
        let (store, contents) = beaconflow_store::open_on(disk, path).map_err(unavailable)?;
        Ok((
            Box::new(OpenOverrides(store)),
            contents.overrides.into_iter().map(to_row).collect(),
        ))
    }
}

impl Store for OpenOverrides {
    fn put(&mut self, rows: &Rows) -> Result<(), StoreError> {
        let overrides: Vec<Override> = rows.iter().map(to_override).collect();
        self.0.put(&overrides).map_err(unavailable)
    }

    fn remove(&mut self, key: u64) -> Result<(), StoreError> {
        self.0.delete(&[OverrideId(key)]).map_err(unavailable)
    }

    fn rows(&mut self) -> Result<Rows, StoreError> {
        rows_not_supported()
    }
}

/// The memory file of a process, whose journal is merged into the snapshot at this size.
pub struct MemoryFile<const JOURNAL_LIMIT_BYTES: u64>;

struct OpenMemory(Memory);

const KIND: u32 = 7;
const NOW_MS: u64 = 1_700_000_000_000;

impl<const JOURNAL_LIMIT_BYTES: u64> FileBackedStore for MemoryFile<JOURNAL_LIMIT_BYTES> {
    const SCHEMA: (&'static str, u64) = ("memory-about", beaconflow_store::memory::SCHEMA);

    fn open(disk: Arc<dyn Disk>, path: &Path) -> OpenResult {
        let (mut memory, contents) = open_on(disk, path, "east-1", NOW_MS).map_err(unavailable)?;
        memory.set_journal_limit(JOURNAL_LIMIT_BYTES);
        let key = |subject: &[u8]| subject.try_into().map_or(u64::MAX, u64::from_be_bytes);
        let row = |record: Record| {
            (
                key(&record.subject),
                String::from_utf8_lossy(&record.value).into_owned(),
            )
        };
        Ok((
            Box::new(OpenMemory(memory)),
            contents.records.into_iter().map(row).collect(),
        ))
    }
}

impl OpenMemory {
    fn write(&mut self, changes: &[Change]) -> Result<(), StoreError> {
        self.0.write(changes, NOW_MS).map(drop).map_err(unavailable)
    }
}

impl Store for OpenMemory {
    fn put(&mut self, rows: &Rows) -> Result<(), StoreError> {
        let to_change = |(key, value): (&u64, &String)| {
            let subject = key.to_be_bytes().to_vec();
            Change::Put(Record {
                kind: KIND,
                subject,
                value: value.clone().into_bytes(),
                observed_at_ms: NOW_MS,
            })
        };
        self.write(&rows.iter().map(to_change).collect::<Vec<Change>>())
    }

    fn remove(&mut self, key: u64) -> Result<(), StoreError> {
        self.write(&[Change::Delete {
            kind: KIND,
            subject: key.to_be_bytes().to_vec(),
        }])
    }

    fn rows(&mut self) -> Result<Rows, StoreError> {
        rows_not_supported()
    }
}
