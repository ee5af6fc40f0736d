//! What every store in a file does alike: opens it soundly, and never destroys what it can't read.

use std::io::ErrorKind;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::Path;

use redb::{Builder, Database, DatabaseError, ReadableDatabase, StorageError, TableDefinition};

use crate::OpenError;
use crate::disk::Disk;

/// Numbers about a file, by name; each store has its own table of them.
pub(crate) type About = TableDefinition<'static, &'static str, u64>;
pub(crate) const SCHEMA_KEY: &str = "schema";

/// Why a file could not be read.
#[derive(Debug)]
pub(crate) enum Unread {
    /// What stands in it is no sound store.
    Damaged(String),
    Refused(OpenError),
}

/// Reads what may be damaged.
pub(crate) fn read<T>(run: impl FnOnce() -> Result<T, Unread>) -> Result<T, Unread> {
    // Guards against a damage that the database's own checks take for their programmer's fault.
    let read = catch_unwind(AssertUnwindSafe(run));
    read.unwrap_or_else(|_| Err(Unread::Damaged("the database panicked over it".into())))
}

/// Opens a file of this schema or an older one, with every page checked. The schema is none in a new file.
pub(crate) fn open_sound(
    disk: &dyn Disk,
    builder: &Builder,
    path: &Path,
    about: About,
    known: u64,
) -> Result<(Database, Option<u64>), Unread> {
    refuse_newer(disk, builder, path, about, known)?;
    let mut database = disk.create(builder, path)?;
    let found = number(&database, about, SCHEMA_KEY)?;
    refuse(found, known)?;
    database.check_integrity()?;
    Ok((database, found))
}

/// Looks at a file without the leave to write. Guards against a newer program's file that is so much as tidied up.
fn refuse_newer(
    disk: &dyn Disk,
    builder: &Builder,
    path: &Path,
    about: About,
    known: u64,
) -> Result<(), Unread> {
    if disk.mark(path).is_err() {
        return Ok(());
    }
    match disk.open_read_only(builder, path) {
        Ok(database) => refuse(number(&database, about, SCHEMA_KEY)?, known),
        // After a crash it has to be repaired before it can be read.
        Err(DatabaseError::RepairAborted) => Ok(()),
        Err(error) => Err(error.into()),
    }
}

pub(crate) fn refuse(found: Option<u64>, known: u64) -> Result<(), Unread> {
    match found {
        Some(found) if found > known => Err(Unread::Refused(OpenError::Newer { found, known })),
        _ => Ok(()),
    }
}

/// A number about a file.
pub(crate) fn number(
    database: &impl ReadableDatabase,
    about: About,
    key: &str,
) -> Result<Option<u64>, Unread> {
    let reading = database.begin_read()?;
    match reading.open_table(about) {
        Ok(table) => Ok(table.get(key)?.map(|held| held.value())),
        Err(redb::TableError::TableDoesNotExist(_)) => Ok(None),
        Err(error) => Err(error.into()),
    }
}

impl From<DatabaseError> for Unread {
    fn from(error: DatabaseError) -> Unread {
        match error {
            DatabaseError::DatabaseAlreadyOpen => Unread::Refused(OpenError::InUse),
            DatabaseError::Storage(error) => error.into(),
            DatabaseError::UpgradeRequired(version) => Unread::Refused(OpenError::System(format!(
                "the database's own format {version} is not read here"
            ))),
            error => Unread::Damaged(error.to_string()),
        }
    }
}

impl From<StorageError> for Unread {
    fn from(error: StorageError) -> Unread {
        match &error {
            StorageError::Io(cause)
                if !matches!(
                    cause.kind(),
                    ErrorKind::InvalidData | ErrorKind::UnexpectedEof
                ) =>
            {
                Unread::Refused(OpenError::System(error.to_string()))
            }
            // The disk failed before; it says nothing of what stands in the file.
            StorageError::PreviousIo | StorageError::DatabaseClosed => {
                Unread::Refused(OpenError::System(error.to_string()))
            }
            _ => Unread::Damaged(error.to_string()),
        }
    }
}

impl From<redb::TransactionError> for Unread {
    fn from(error: redb::TransactionError) -> Unread {
        match error {
            redb::TransactionError::Storage(error) => error.into(),
            error => Unread::Damaged(error.to_string()),
        }
    }
}

impl From<redb::TableError> for Unread {
    fn from(error: redb::TableError) -> Unread {
        match error {
            redb::TableError::Storage(error) => error.into(),
            error => Unread::Damaged(error.to_string()),
        }
    }
}
