//! Shared by all stores: opens a database file with its integrity checked, and never destroys data that cannot be read.

use std::io::ErrorKind;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::Path;

use redb::{Builder, Database, DatabaseError, ReadableDatabase, StorageError, TableDefinition};

use crate::OpenError;
use crate::disk::Disk;

/// Table of named numbers about a file, such as its schema. Each store has its own.
pub(crate) type MetadataDefinition = TableDefinition<'static, &'static str, u64>;
pub(crate) const SCHEMA_KEY: &str = "schema";

/// A file could not be read.
#[derive(Debug)]
pub(crate) enum ReadError {
    /// The contents are not a valid store.
    Damaged(String),
    /// The contents may be valid, but the file cannot be used.
    Unusable(OpenError),
}

/// Runs a read of a possibly damaged file and turns a panic into an error.
pub(crate) fn catch_panic<T>(run: impl FnOnce() -> Result<T, ReadError>) -> Result<T, ReadError> {
    // The database panics on some damage that it takes for a programming error.
    let result = catch_unwind(AssertUnwindSafe(run));
    result.unwrap_or_else(|_| {
        Err(ReadError::Damaged(
            "the database panicked while reading the file".into(),
        ))
    })
}

/// Opens a file of at most this schema and checks every page. The returned schema is `None` for a new file.
pub(crate) fn open_checked(
    disk: &dyn Disk,
    builder: &Builder,
    path: &Path,
    metadata: MetadataDefinition,
    supported: u64,
) -> Result<(Database, Option<u64>), ReadError> {
    check_schema_read_only(disk, builder, path, metadata, supported)?;
    let mut database = disk.create(builder, path)?;
    let found = read_number(&database, metadata, SCHEMA_KEY)?;
    check_schema(found, supported)?;
    database.check_integrity()?;
    Ok((database, found))
}

/// Checks the schema with the file opened read-only, since opening it for writing may modify the file of a newer
/// program.
fn check_schema_read_only(
    disk: &dyn Disk,
    builder: &Builder,
    path: &Path,
    metadata: MetadataDefinition,
    supported: u64,
) -> Result<(), ReadError> {
    if disk.identity(path).is_err() {
        return Ok(());
    }
    match disk.open_read_only(builder, path) {
        Ok(database) => check_schema(read_number(&database, metadata, SCHEMA_KEY)?, supported),
        // After a crash the file has to be repaired before it can be read.
        Err(DatabaseError::RepairAborted) => Ok(()),
        Err(error) => Err(error.into()),
    }
}

pub(crate) fn check_schema(found: Option<u64>, supported: u64) -> Result<(), ReadError> {
    match found {
        Some(found) if found > supported => Err(ReadError::Unusable(OpenError::NewerSchema {
            found,
            supported,
        })),
        _ => Ok(()),
    }
}

/// Reads a number about a file; `None` if it is absent.
pub(crate) fn read_number(
    database: &impl ReadableDatabase,
    metadata: MetadataDefinition,
    key: &str,
) -> Result<Option<u64>, ReadError> {
    let transaction = database.begin_read()?;
    match transaction.open_table(metadata) {
        Ok(table) => Ok(table.get(key)?.map(|number| number.value())),
        Err(redb::TableError::TableDoesNotExist(_)) => Ok(None),
        Err(error) => Err(error.into()),
    }
}

impl From<DatabaseError> for ReadError {
    fn from(error: DatabaseError) -> ReadError {
        match error {
            DatabaseError::DatabaseAlreadyOpen => ReadError::Unusable(OpenError::InUse),
            DatabaseError::Storage(error) => error.into(),
            DatabaseError::UpgradeRequired(version) => ReadError::Unusable(OpenError::System(
                format!("database file format {version} is not supported"),
            )),
            error => ReadError::Damaged(error.to_string()),
        }
    }
}

impl From<StorageError> for ReadError {
    fn from(error: StorageError) -> ReadError {
        match &error {
            StorageError::Io(cause)
                if !matches!(
                    cause.kind(),
                    ErrorKind::InvalidData | ErrorKind::UnexpectedEof
                ) =>
            {
                ReadError::Unusable(OpenError::System(error.to_string()))
            }
            // The disk failed earlier, which does not tell whether the file is damaged.
            StorageError::PreviousIo | StorageError::DatabaseClosed => {
                ReadError::Unusable(OpenError::System(error.to_string()))
            }
            _ => ReadError::Damaged(error.to_string()),
        }
    }
}

impl From<redb::TransactionError> for ReadError {
    fn from(error: redb::TransactionError) -> ReadError {
        match error {
            redb::TransactionError::Storage(error) => error.into(),
            error => ReadError::Damaged(error.to_string()),
        }
    }
}

impl From<redb::TableError> for ReadError {
    fn from(error: redb::TableError) -> ReadError {
        match error {
            redb::TableError::Storage(error) => error.into(),
            error => ReadError::Damaged(error.to_string()),
        }
    }
}
