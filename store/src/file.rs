//! The store as one file of an embedded database.

use std::io::ErrorKind;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};

use beaconflow_overrides::{Id, Override};
use redb::{Database, DatabaseError, ReadableDatabase, ReadableTable, StorageError, TableDefinition};

use crate::record;
use crate::{Contents, OpenError, OverrideStore, StoreError};

/// The newest schema of a file that this program reads, and the one that it writes.
pub const SCHEMA: u64 = 1;

const RECORDS: TableDefinition<u64, &[u8]> = TableDefinition::new("overrides");
const ABOUT: TableDefinition<&str, u64> = TableDefinition::new("about");
const SCHEMA_KEY: &str = "schema";
const NEXT_KEY: &str = "next-id";
/// Bytes of the file that are kept in memory.
const CACHE: usize = 1 << 20;

/// Overrides in a file.
pub struct FileStore {
    database: Database,
    next: Id,
}

/// Why a file could not be read.
enum Unread {
    /// What stands in it is no sound store.
    Damaged(String),
    Refused(OpenError),
}

/// Opens a store, and makes it where there is none. A damaged file is kept aside and an empty one begun.
pub fn open(path: &Path) -> Result<(FileStore, Contents), OpenError> {
    match read(path) {
        Ok(opened) => Ok(opened),
        Err(Unread::Refused(why)) => Err(why),
        Err(Unread::Damaged(why)) => {
            let aside = free_name(path);
            std::fs::rename(path, &aside).map_err(|error| {
                OpenError::System(format!("damaged ({why}), and it can't be kept aside: {error}"))
            })?;
            match read(path) {
                Ok((store, contents)) => Ok((store, Contents { kept_aside: Some((aside, why)), ..contents })),
                Err(Unread::Refused(error)) => Err(error),
                Err(Unread::Damaged(why)) => Err(OpenError::System(why)),
            }
        }
    }
}

/// A name beside the file that nothing has.
fn free_name(path: &Path) -> PathBuf {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
    let named = |count: u32| {
        let mut name = path.as_os_str().to_owned();
        name.push(format!(".damaged-{now}"));
        if count > 0 {
            name.push(format!("-{count}"));
        }
        PathBuf::from(name)
    };
    (0..).map(named).find(|name| !name.exists()).unwrap_or_else(|| named(0))
}

fn read(path: &Path) -> Result<(FileStore, Contents), Unread> {
    // Guards against a damage that the database's own checks take for their programmer's fault.
    let read = catch_unwind(AssertUnwindSafe(|| read_file(path)));
    read.unwrap_or_else(|_| Err(Unread::Damaged("the database panicked over it".into())))
}

fn read_file(path: &Path) -> Result<(FileStore, Contents), Unread> {
    refuse_newer(path)?;
    let mut database = Database::builder().set_cache_size(CACHE).create(path)?;
    let (found, next) = about(&database)?;
    refuse(found)?;
    database.check_integrity()?;
    let contents = contents(&database)?;
    let highest = contents.overrides.iter().map(|one| one.id.0 + 1);
    let next = highest.chain(contents.unreadable.iter().map(|id| id + 1)).chain([next, 1]).max();
    let mut store = FileStore { database, next: Id(next.unwrap_or(1)) };
    if found != Some(SCHEMA) {
        // Also the proof that the file can be written.
        store
            .write(|_, about| about.insert(SCHEMA_KEY, SCHEMA).map(drop))
            .map_err(|error| Unread::Refused(OpenError::System(error.0)))?;
    }
    Ok((store, contents))
}

/// Looks at a file without the leave to write. Guards against a newer program's file that is so much as tidied up.
fn refuse_newer(path: &Path) -> Result<(), Unread> {
    if !path.exists() {
        return Ok(());
    }
    match Database::builder().set_cache_size(CACHE).open_read_only(path) {
        Ok(database) => refuse(about(&database)?.0),
        // After a crash it has to be repaired before it can be read.
        Err(DatabaseError::RepairAborted) => Ok(()),
        Err(error) => Err(error.into()),
    }
}

fn refuse(found: Option<u64>) -> Result<(), Unread> {
    match found {
        Some(found) if found > SCHEMA => Err(Unread::Refused(OpenError::Newer { found, known: SCHEMA })),
        _ => Ok(()),
    }
}

fn about(database: &impl ReadableDatabase) -> Result<(Option<u64>, u64), Unread> {
    let reading = database.begin_read()?;
    let table = match reading.open_table(ABOUT) {
        Ok(table) => table,
        Err(redb::TableError::TableDoesNotExist(_)) => return Ok((None, 1)),
        Err(error) => return Err(error.into()),
    };
    let number = |key| Ok::<_, StorageError>(table.get(key)?.map(|held| held.value()));
    Ok((number(SCHEMA_KEY)?, number(NEXT_KEY)?.unwrap_or(1)))
}

fn contents(database: &Database) -> Result<Contents, Unread> {
    let reading = database.begin_read()?;
    let table = match reading.open_table(RECORDS) {
        Ok(table) => table,
        Err(redb::TableError::TableDoesNotExist(_)) => return Ok(Contents::default()),
        Err(error) => return Err(error.into()),
    };
    let mut contents = Contents::default();
    for row in table.iter()? {
        let (id, bytes) = row?;
        match record::decode(bytes.value()).filter(|one| one.id.0 == id.value()) {
            Some(one) => contents.overrides.push(one),
            None => contents.unreadable.push(id.value()),
        }
    }
    Ok(contents)
}

type Rows<'a> = redb::Table<'a, u64, &'static [u8]>;
type About<'a> = redb::Table<'a, &'static str, u64>;

impl FileStore {
    /// Writes in one transaction; it is on the disk when this returns.
    fn write(
        &mut self,
        run: impl FnOnce(&mut Rows<'_>, &mut About<'_>) -> Result<(), StorageError>,
    ) -> Result<(), StoreError> {
        let failed = |error: redb::Error| StoreError(error.to_string());
        let writing = self.database.begin_write().map_err(|error| failed(error.into()))?;
        {
            let mut rows = writing.open_table(RECORDS).map_err(|error| failed(error.into()))?;
            let mut about = writing.open_table(ABOUT).map_err(|error| failed(error.into()))?;
            run(&mut rows, &mut about).map_err(|error| failed(error.into()))?;
        }
        writing.commit().map_err(|error| failed(error.into()))
    }
}

impl OverrideStore for FileStore {
    fn put(&mut self, all: &[Override]) -> Result<(), StoreError> {
        let next = all.iter().map(|one| Id(one.id.0.saturating_add(1))).fold(self.next, Id::max);
        self.write(|rows, about| {
            for one in all {
                rows.insert(one.id.0, record::encode(one).as_slice())?;
            }
            about.insert(NEXT_KEY, next.0).map(drop)
        })?;
        self.next = next;
        Ok(())
    }

    fn forget(&mut self, ids: &[Id]) -> Result<(), StoreError> {
        if ids.is_empty() {
            return Ok(());
        }
        self.write(|rows, _| ids.iter().try_for_each(|id| rows.remove(id.0).map(drop)))
    }

    fn next_id(&self) -> Id {
        self.next
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
                if !matches!(cause.kind(), ErrorKind::InvalidData | ErrorKind::UnexpectedEof) =>
            {
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
