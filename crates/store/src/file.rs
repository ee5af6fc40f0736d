//! Override store in one file of an embedded database.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use beaconflow_overrides::{Override, OverrideId};
use redb::{Database, ReadableDatabase, ReadableTable, StorageError, TableDefinition};

use crate::database::{
    MetadataDefinition, ReadError, SCHEMA_KEY, catch_panic, open_checked, read_number,
};
use crate::disk::{Disk, FileIdentity, SystemDisk, move_aside};
use crate::record;
use crate::{Contents, OpenError, OverrideStore, StoreError};

/// Newest schema that this program reads, and the one that it writes.
pub const SCHEMA: u64 = 1;

const OVERRIDES: TableDefinition<u64, &[u8]> = TableDefinition::new("overrides");
const METADATA: MetadataDefinition = TableDefinition::new("about");
const NEXT_ID_KEY: &str = "next-id";
/// Size of the database's page cache.
const CACHE_BYTES: usize = 1 << 20;

/// Override store in a file that it opens exclusively.
pub struct FileStore {
    disk: Arc<dyn Disk>,
    path: PathBuf,
    /// `None` after a failure, since the database then rejects every operation until it is opened again.
    database: Option<Database>,
    /// Identity of the open file, by which a removed or truncated file is detected; writes to it would be lost.
    identity: Option<FileIdentity>,
    next_id: OverrideId,
}

/// Opens a store, and creates it if there is none. A damaged file is renamed and an empty store created.
pub fn open(path: &Path) -> Result<(FileStore, Contents), OpenError> {
    open_on(Arc::new(SystemDisk), path)
}

/// Like [`open`], on a given disk.
pub fn open_on(disk: Arc<dyn Disk>, path: &Path) -> Result<(FileStore, Contents), OpenError> {
    let read_store = || catch_panic(|| read_file(&disk, path));
    match read_store() {
        Ok(opened) => Ok(opened),
        Err(ReadError::Unusable(reason)) => Err(reason),
        Err(ReadError::Damaged(reason)) => {
            let now = SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .unwrap_or_default();
            let now_ms = u64::try_from(now.as_millis()).unwrap_or(u64::MAX);
            let moved_path = move_aside(&*disk, path, "damaged", now_ms).map_err(|error| {
                OpenError::System(format!(
                    "the file is damaged ({reason}) and cannot be renamed: {error}"
                ))
            })?;
            match read_store() {
                Ok((store, contents)) => Ok((
                    store,
                    Contents {
                        moved_aside: Some((moved_path, reason)),
                        ..contents
                    },
                )),
                Err(ReadError::Unusable(error)) => Err(error),
                Err(ReadError::Damaged(reason)) => Err(OpenError::System(reason)),
            }
        }
    }
}

fn open_database(disk: &dyn Disk, path: &Path) -> Result<(Database, Option<u64>), ReadError> {
    let mut builder = Database::builder();
    builder.set_cache_size(CACHE_BYTES);
    open_checked(disk, &builder, path, METADATA, SCHEMA)
}

fn read_file(disk: &Arc<dyn Disk>, path: &Path) -> Result<(FileStore, Contents), ReadError> {
    let (database, found) = open_database(&**disk, path)?;
    let next_id = read_number(&database, METADATA, NEXT_ID_KEY)?.unwrap_or(1);
    let contents = contents(&database)?;
    let ids_after = contents.overrides.iter().map(|record| record.id.0 + 1);
    let next_id = ids_after
        .chain(contents.unreadable_ids.iter().map(|id| id + 1))
        .chain([next_id, 1])
        .max();
    let identity = disk.identity(path).ok();
    let (disk, path, next_id) = (
        Arc::clone(disk),
        path.to_owned(),
        OverrideId(next_id.unwrap_or(1)),
    );
    let mut store = FileStore {
        disk,
        path,
        database: Some(database),
        identity,
        next_id,
    };
    if found != Some(SCHEMA) {
        // Also verifies that the file can be written.
        store
            .write(|_, metadata| metadata.insert(SCHEMA_KEY, SCHEMA).map(drop))
            .map_err(|error| ReadError::Unusable(OpenError::System(error.0)))?;
    }
    Ok((store, contents))
}

fn contents(database: &Database) -> Result<Contents, ReadError> {
    let transaction = database.begin_read()?;
    let table = match transaction.open_table(OVERRIDES) {
        Ok(table) => table,
        Err(redb::TableError::TableDoesNotExist(_)) => return Ok(Contents::default()),
        Err(error) => return Err(error.into()),
    };
    let mut contents = Contents::default();
    for row in table.iter()? {
        let (id, bytes) = row?;
        match record::decode(bytes.value()).filter(|record| record.id.0 == id.value()) {
            Some(record) => contents.overrides.push(record),
            None => contents.unreadable_ids.push(id.value()),
        }
    }
    Ok(contents)
}

type OverrideTable<'a> = redb::Table<'a, u64, &'static [u8]>;
type MetadataTable<'a> = redb::Table<'a, &'static str, u64>;

impl FileStore {
    /// Writes in one transaction, which is durable on return.
    fn write(
        &mut self,
        run: impl FnOnce(&mut OverrideTable<'_>, &mut MetadataTable<'_>) -> Result<(), StorageError>,
    ) -> Result<(), StoreError> {
        let database = self.take_database()?;
        let write = || -> Result<(), redb::Error> {
            let transaction = database.begin_write()?;
            run(
                &mut transaction.open_table(OVERRIDES)?,
                &mut transaction.open_table(METADATA)?,
            )?;
            Ok(transaction.commit()?)
        };
        write().map_err(|error| StoreError(error.to_string()))?;
        self.database = Some(database);
        self.identity = self.disk.identity(&self.path).ok();
        Ok(())
    }

    /// Takes the database if its file is still the one that was opened. After a failure, opens it again.
    fn take_database(&mut self) -> Result<Database, StoreError> {
        let current = self.disk.identity(&self.path).ok();
        let replaced_error =
            || StoreError("the file was removed, truncated or modified by another program".into());
        let is_same_file = current.map(|identity| identity.device_and_inode)
            == self.identity.map(|identity| identity.device_and_inode);
        match self.database.take() {
            Some(database) if current == self.identity => Ok(database),
            None if is_same_file => match catch_panic(|| open_database(&*self.disk, &self.path)) {
                Ok((database, Some(_))) => Ok(database),
                Ok((_, None)) => Err(replaced_error()),
                Err(ReadError::Damaged(reason)) => {
                    Err(StoreError(format!("the file is damaged: {reason}")))
                }
                Err(ReadError::Unusable(reason)) => Err(StoreError(reason.to_string())),
            },
            _ => {
                self.identity = None;
                Err(replaced_error())
            }
        }
    }
}

impl OverrideStore for FileStore {
    fn put(&mut self, overrides: &[Override]) -> Result<(), StoreError> {
        let next_id = overrides
            .iter()
            .map(|record| OverrideId(record.id.0.saturating_add(1)))
            .fold(self.next_id, OverrideId::max);
        self.write(|table, metadata| {
            for record in overrides {
                table.insert(record.id.0, record::encode(record).as_slice())?;
            }
            metadata.insert(NEXT_ID_KEY, next_id.0).map(drop)
        })?;
        self.next_id = next_id;
        Ok(())
    }

    fn delete(&mut self, ids: &[OverrideId]) -> Result<(), StoreError> {
        if ids.is_empty() {
            return Ok(());
        }
        self.write(|table, _| ids.iter().try_for_each(|id| table.remove(id.0).map(drop)))
    }

    fn next_id(&self) -> OverrideId {
        self.next_id
    }
}
