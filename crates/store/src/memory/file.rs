//! The file of a memory: a snapshot of the records, and a journal of the changes since then.

use std::collections::BTreeMap;
use std::path::Path;

use redb::backends::InMemoryBackend;
use redb::{
    Builder, Database, ReadableDatabase, ReadableTable, StorageBackend, TableDefinition,
    TableError, TableHandle, WriteTransaction,
};

use super::{Change, MemoryContents, Record, SCHEMA, record};
use crate::OpenError;
use crate::database::{
    MetadataDefinition, ReadError, SCHEMA_KEY, check_schema, open_checked, read_number,
};
use crate::disk::Disk;

const SNAPSHOT: TableDefinition<&[u8], &[u8]> = TableDefinition::new("memory-snapshot");
const JOURNAL: TableDefinition<u64, &[u8]> = TableDefinition::new("memory-journal");
const OWNER: TableDefinition<(), &str> = TableDefinition::new("memory-owner");
const METADATA: MetadataDefinition = TableDefinition::new("memory-about");
const INCARNATION_KEY: &str = "boot";
const WRITTEN_KEY: &str = "written-ms";
/// Size of the database's page cache. A compaction passes over the whole file.
const CACHE_BYTES: usize = 8 << 20;

/// Contents of a valid file.
pub(super) enum StoredMemory {
    Owned(Box<OpenFile>, MemoryContents),
    /// The file belongs to the process with this name.
    Foreign(String),
}

/// An open file.
#[derive(Debug)]
pub(super) struct OpenFile {
    database: Database,
    /// Sequence number of the next journal entry.
    next_sequence: u64,
    /// Size of the entries in the journal.
    pub(super) journal_bytes: u64,
}

fn builder() -> Builder {
    let mut builder = Database::builder();
    builder.set_cache_size(CACHE_BYTES);
    builder
}

/// The database's message for an error.
fn describe_error(error: impl Into<redb::Error>) -> String {
    error.into().to_string()
}

impl OpenFile {
    /// Opens a file and reads all of it. The incarnation number in the result is the last one written.
    pub(super) fn open(
        disk: &dyn Disk,
        path: &Path,
        owner: &str,
    ) -> Result<StoredMemory, ReadError> {
        let (database, _) = open_checked(disk, &builder(), path, METADATA, SCHEMA)?;
        contents(database, owner)
    }

    /// Reads the contents of a file from a copy of its bytes; the file itself is not modified.
    pub(super) fn read_copy(bytes: &[u8], owner: &str) -> Result<StoredMemory, ReadError> {
        let unusable =
            |error: std::io::Error| ReadError::Unusable(OpenError::System(error.to_string()));
        let backend = InMemoryBackend::new();
        backend.set_len(bytes.len() as u64).map_err(unusable)?;
        backend.write(0, bytes).map_err(unusable)?;
        let mut database = builder().create_with_backend(backend)?;
        check_schema(read_number(&database, METADATA, SCHEMA_KEY)?, SCHEMA)?;
        database.check_integrity()?;
        contents(database, owner)
    }

    /// Writes the owner and the incarnation number, which also verifies that the file can be written.
    pub(super) fn write_header(
        &mut self,
        owner: &str,
        incarnation: u64,
        now_ms: u64,
    ) -> Result<(), String> {
        self.write(|transaction| {
            transaction.open_table(OWNER)?.insert((), owner)?;
            let mut metadata = transaction.open_table(METADATA)?;
            metadata.insert(SCHEMA_KEY, SCHEMA)?;
            metadata.insert(INCARNATION_KEY, incarnation)?;
            metadata.insert(WRITTEN_KEY, now_ms)?;
            Ok(())
        })
    }

    /// Appends changes to the journal, all or none.
    pub(super) fn append(&mut self, changes: &[Change], now_ms: u64) -> Result<(), String> {
        let (mut next_sequence, mut bytes) = (self.next_sequence, self.journal_bytes);
        self.write(|transaction| {
            let mut journal = transaction.open_table(JOURNAL)?;
            for change in changes {
                let entry = record::encode_entry(change);
                journal.insert(next_sequence, entry.as_slice())?;
                next_sequence += 1;
                bytes += entry.len() as u64;
            }
            transaction
                .open_table(METADATA)?
                .insert(WRITTEN_KEY, now_ms)?;
            Ok(())
        })?;
        (self.next_sequence, self.journal_bytes) = (next_sequence, bytes);
        Ok(())
    }

    /// Merges the journal into the snapshot. Entries that cannot be decoded stay in the journal.
    pub(super) fn compact(&mut self) -> Result<(), String> {
        self.write(|transaction| {
            let mut changes = BTreeMap::new();
            let mut unreadable = Vec::new();
            for row in transaction.open_table(JOURNAL)?.iter()? {
                let (sequence, bytes) = row?;
                match record::decode_entry(bytes.value()) {
                    Some((key, row)) => drop(changes.insert(key, row)),
                    None => unreadable.push((sequence.value(), bytes.value().to_vec())),
                }
            }
            transaction.delete_table(JOURNAL)?;
            let mut journal = transaction.open_table(JOURNAL)?;
            for (sequence, bytes) in &unreadable {
                journal.insert(sequence, bytes.as_slice())?;
            }
            let mut snapshot = transaction.open_table(SNAPSHOT)?;
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

    /// Writes in one transaction, which is durable on return.
    fn write(
        &mut self,
        run: impl FnOnce(&WriteTransaction) -> Result<(), redb::Error>,
    ) -> Result<(), String> {
        let transaction = self.database.begin_write().map_err(describe_error)?;
        run(&transaction).map_err(describe_error)?;
        transaction.commit().map_err(describe_error)
    }
}

/// Reads the contents of an open file if it belongs to this owner.
fn contents(database: Database, owner: &str) -> Result<StoredMemory, ReadError> {
    let transaction = database.begin_read()?;
    match transaction.open_table(OWNER) {
        Ok(table) => match table.get(())? {
            Some(found) if found.value() == owner => {}
            found => {
                let found = found.map(|name| name.value().to_owned());
                return Ok(StoredMemory::Foreign(found.unwrap_or_default()));
            }
        },
        Err(TableError::TableDoesNotExist(_)) => {
            // Rejects another kind of store, which a wrong path in the configuration would otherwise rename.
            if let Some(table) = transaction.list_tables()?.next() {
                let reason = format!("the file contains {} and no memory", table.name());
                return Err(ReadError::Unusable(OpenError::System(reason)));
            }
        }
        Err(error) => return Err(error.into()),
    }
    let (mut latest_rows, mut unreadable) = (BTreeMap::new(), 0);
    let (mut next_sequence, mut journal_bytes) = (0, 0);
    if let Some(table) = if_exists(transaction.open_table(JOURNAL))? {
        for row in table.iter()? {
            let (sequence, bytes) = row?;
            next_sequence = sequence.value() + 1;
            match record::decode_entry(bytes.value()) {
                Some((key, row)) => {
                    journal_bytes += bytes.value().len() as u64;
                    latest_rows.insert(key, row);
                }
                None => unreadable += 1,
            }
        }
    }
    let mut records = Vec::new();
    let mut read_row = |key: &[u8], row: &[u8]| match record::decode_row(key, row) {
        Some(record) => records.push(record),
        None => unreadable += 1,
    };
    if let Some(table) = if_exists(transaction.open_table(SNAPSHOT))? {
        for row in table.iter()? {
            let (key, row) = row?;
            if !latest_rows.contains_key(key.value()) {
                read_row(key.value(), row.value());
            }
        }
    }
    let journal_rows = latest_rows
        .iter()
        .filter_map(|(key, row)| Some((key, row.as_ref()?)));
    journal_rows.for_each(|(key, row)| read_row(key, row));
    records.sort_unstable_by(|a: &Record, b| (a.kind, &a.subject).cmp(&(b.kind, &b.subject)));
    drop(transaction);
    let contents = MemoryContents {
        incarnation: read_number(&database, METADATA, INCARNATION_KEY)?.unwrap_or(0),
        records,
        unreadable_records: unreadable,
        last_written_at_ms: read_number(&database, METADATA, WRITTEN_KEY)?,
        ..MemoryContents::default()
    };
    Ok(StoredMemory::Owned(
        Box::new(OpenFile {
            database,
            next_sequence,
            journal_bytes,
        }),
        contents,
    ))
}

fn if_exists<T>(table: Result<T, TableError>) -> Result<Option<T>, ReadError> {
    match table {
        Ok(table) => Ok(Some(table)),
        Err(TableError::TableDoesNotExist(_)) => Ok(None),
        Err(error) => Err(error.into()),
    }
}
