//! The file of a memory: a snapshot of all records, and a journal of the changes since.

use std::collections::BTreeMap;
use std::path::Path;

use redb::backends::InMemoryBackend;
use redb::{
    Builder, Database, ReadableDatabase, ReadableTable, StorageBackend, TableDefinition,
    TableError, TableHandle, WriteTransaction,
};

use super::{Change, Record, Remembered, SCHEMA, record};
use crate::OpenError;
use crate::database::{About, SCHEMA_KEY, Unread, number, open_sound, refuse};
use crate::disk::Disk;

const SNAPSHOT: TableDefinition<&[u8], &[u8]> = TableDefinition::new("memory-snapshot");
const JOURNAL: TableDefinition<u64, &[u8]> = TableDefinition::new("memory-journal");
const OWNER: TableDefinition<(), &str> = TableDefinition::new("memory-owner");
const ABOUT: About = TableDefinition::new("memory-about");
const INCARNATION_KEY: &str = "boot";
const WRITTEN_KEY: &str = "written-ms";
/// Bytes of the file that are kept in memory. A compaction passes over all of it.
const CACHE: usize = 8 << 20;

/// What stands in a sound file.
pub(super) enum Found {
    Ours(Box<OpenFile>, Remembered),
    /// The memory of the process of this name.
    Foreign(String),
}

/// An open file.
#[derive(Debug)]
pub(super) struct OpenFile {
    database: Database,
    /// The number of the next change in the journal.
    next: u64,
    /// Bytes of the changes in the journal.
    pub(super) journal_bytes: u64,
}

fn builder() -> Builder {
    let mut builder = Database::builder();
    builder.set_cache_size(CACHE);
    builder
}

/// What failed, in the database's words.
fn describe_error(error: impl Into<redb::Error>) -> String {
    error.into().to_string()
}

impl OpenFile {
    /// Opens a file, and reads all of it. Its boot number is the last one's.
    pub(super) fn open(disk: &dyn Disk, path: &Path, owner: &str) -> Result<Found, Unread> {
        let (database, _) = open_sound(disk, &builder(), path, ABOUT, SCHEMA)?;
        contents(database, owner)
    }

    /// What a file holds, by its bytes. The file is not touched.
    pub(super) fn copy_of(bytes: &[u8], owner: &str) -> Result<Found, Unread> {
        let copied = |error: std::io::Error| Unread::Refused(OpenError::System(error.to_string()));
        let copy = InMemoryBackend::new();
        copy.set_len(bytes.len() as u64).map_err(copied)?;
        copy.write(0, bytes).map_err(copied)?;
        let mut database = builder().create_with_backend(copy)?;
        refuse(number(&database, ABOUT, SCHEMA_KEY)?, SCHEMA)?;
        database.check_integrity()?;
        contents(database, owner)
    }

    /// Writes whose memory it is and the boot number; also the proof that the file can be written.
    pub(super) fn begin(&mut self, owner: &str, boot: u64, now_ms: u64) -> Result<(), String> {
        self.write(|writing| {
            writing.open_table(OWNER)?.insert((), owner)?;
            let mut about = writing.open_table(ABOUT)?;
            about.insert(SCHEMA_KEY, SCHEMA)?;
            about.insert(INCARNATION_KEY, boot)?;
            about.insert(WRITTEN_KEY, now_ms)?;
            Ok(())
        })
    }

    /// Adds changes to the journal.
    pub(super) fn append(&mut self, changes: &[Change], now_ms: u64) -> Result<(), String> {
        let (mut next, mut bytes) = (self.next, self.journal_bytes);
        self.write(|writing| {
            let mut journal = writing.open_table(JOURNAL)?;
            for change in changes {
                let entry = record::entry(change);
                journal.insert(next, entry.as_slice())?;
                next += 1;
                bytes += entry.len() as u64;
            }
            writing.open_table(ABOUT)?.insert(WRITTEN_KEY, now_ms)?;
            Ok(())
        })?;
        (self.next, self.journal_bytes) = (next, bytes);
        Ok(())
    }

    /// Takes the journal over into the snapshot. A change that can't be read stays in the journal.
    pub(super) fn compact(&mut self) -> Result<(), String> {
        self.write(|writing| {
            let mut changes = BTreeMap::new();
            let mut unread = Vec::new();
            for row in writing.open_table(JOURNAL)?.iter()? {
                let (at, bytes) = row?;
                match record::read_entry(bytes.value()) {
                    Some((key, row)) => drop(changes.insert(key, row)),
                    None => unread.push((at.value(), bytes.value().to_vec())),
                }
            }
            writing.delete_table(JOURNAL)?;
            let mut journal = writing.open_table(JOURNAL)?;
            for (at, bytes) in &unread {
                journal.insert(at, bytes.as_slice())?;
            }
            let mut snapshot = writing.open_table(SNAPSHOT)?;
            for (key, row) in &changes {
                match row {
                    Some(row) => drop(snapshot.insert(key.as_slice(), row.as_slice())?),
                    None => drop(snapshot.remove(key.as_slice())?),
                }
            }
            Ok(())
        })?;
        self.journal_bytes = 0;
        Ok(())
    }

    /// Writes in one transaction; it is on the disk when this returns.
    fn write(
        &mut self,
        run: impl FnOnce(&WriteTransaction) -> Result<(), redb::Error>,
    ) -> Result<(), String> {
        let writing = self.database.begin_write().map_err(describe_error)?;
        run(&writing).map_err(describe_error)?;
        writing.commit().map_err(describe_error)
    }
}

/// All that an open file holds, if it is this owner's.
fn contents(database: Database, owner: &str) -> Result<Found, Unread> {
    let reading = database.begin_read()?;
    match reading.open_table(OWNER) {
        Ok(table) => match table.get(())? {
            Some(found) if found.value() == owner => {}
            found => {
                let found = found.map(|name| name.value().to_owned());
                return Ok(Found::Foreign(found.unwrap_or_default()));
            }
        },
        Err(TableError::TableDoesNotExist(_)) => {
            // Guards against a wrong path in the operator's file that would move another store away.
            if let Some(other) = reading.list_tables()?.next() {
                let why = format!("it holds {}, and no memory", other.name());
                return Err(Unread::Refused(OpenError::System(why)));
            }
        }
        Err(error) => return Err(error.into()),
    }
    let (mut kept, mut unreadable) = (BTreeMap::new(), 0);
    let (mut next, mut journal_bytes) = (0, 0);
    if let Some(table) = there(reading.open_table(JOURNAL))? {
        for row in table.iter()? {
            let (at, bytes) = row?;
            next = at.value() + 1;
            match record::read_entry(bytes.value()) {
                Some((key, row)) => {
                    journal_bytes += bytes.value().len() as u64;
                    kept.insert(key, row);
                }
                None => unreadable += 1,
            }
        }
    }
    let mut records = Vec::new();
    let mut take = |key: &[u8], row: &[u8]| match record::read_row(key, row) {
        Some(record) => records.push(record),
        None => unreadable += 1,
    };
    if let Some(table) = there(reading.open_table(SNAPSHOT))? {
        for row in table.iter()? {
            let (key, row) = row?;
            if !kept.contains_key(key.value()) {
                take(key.value(), row.value());
            }
        }
    }
    let changed = kept
        .iter()
        .filter_map(|(key, row)| Some((key, row.as_ref()?)));
    changed.for_each(|(key, row)| take(key, row));
    records.sort_unstable_by(|one: &Record, other| {
        (one.kind, &one.subject).cmp(&(other.kind, &other.subject))
    });
    drop(reading);
    let remembered = Remembered {
        incarnation: number(&database, ABOUT, INCARNATION_KEY)?.unwrap_or(0),
        records,
        unreadable,
        last_written_ms: number(&database, ABOUT, WRITTEN_KEY)?,
        ..Remembered::default()
    };
    Ok(Found::Ours(
        Box::new(OpenFile {
            database,
            next,
            journal_bytes,
        }),
        remembered,
    ))
}

fn there<T>(table: Result<T, TableError>) -> Result<Option<T>, Unread> {
    match table {
        Ok(table) => Ok(Some(table)),
        Err(TableError::TableDoesNotExist(_)) => Ok(None),
        Err(error) => Err(error.into()),
    }
}
