//! The store as one file of an embedded database.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use beaconflow_overrides::{Override, OverrideId};
use redb::{Database, ReadableDatabase, ReadableTable, StorageError, TableDefinition};

use crate::database::{About, SCHEMA_KEY, Unread, number, open_sound, read};
use crate::disk::{Disk, Files, Mark, keep_aside};
use crate::record;
use crate::{Contents, OpenError, OverrideStore, StoreError};

/// The newest schema of a file that this program reads, and the one that it writes.
pub const SCHEMA: u64 = 1;

const RECORDS: TableDefinition<u64, &[u8]> = TableDefinition::new("overrides");
const ABOUT: About = TableDefinition::new("about");
const NEXT_KEY: &str = "next-id";
/// Bytes of the file that are kept in memory.
const CACHE: usize = 1 << 20;

/// Overrides in a file.
pub struct FileStore {
    disk: Arc<dyn Disk>,
    path: PathBuf,
    /// None after a failure: the database refuses everything then, until it is opened anew.
    database: Option<Database>,
    /// The file that is open. Guards against a put into one that was removed or cut, which would be lost.
    mark: Option<Mark>,
    next: OverrideId,
}

/// Opens a store, and makes it where there is none. A damaged file is kept aside and an empty one begun.
pub fn open(path: &Path) -> Result<(FileStore, Contents), OpenError> {
    open_on(Arc::new(Files), path)
}

/// The same on a given disk.
pub fn open_on(disk: Arc<dyn Disk>, path: &Path) -> Result<(FileStore, Contents), OpenError> {
    let read = || read(|| read_file(&disk, path));
    match read() {
        Ok(opened) => Ok(opened),
        Err(Unread::Refused(why)) => Err(why),
        Err(Unread::Damaged(why)) => {
            let now = SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .unwrap_or_default();
            let now_ms = u64::try_from(now.as_millis()).unwrap_or(u64::MAX);
            let aside = keep_aside(&*disk, path, "damaged", now_ms).map_err(|error| {
                OpenError::System(format!(
                    "damaged ({why}), and it can't be kept aside: {error}"
                ))
            })?;
            match read() {
                Ok((store, contents)) => Ok((
                    store,
                    Contents {
                        moved_aside: Some((aside, why)),
                        ..contents
                    },
                )),
                Err(Unread::Refused(error)) => Err(error),
                Err(Unread::Damaged(why)) => Err(OpenError::System(why)),
            }
        }
    }
}

fn open_database(disk: &dyn Disk, path: &Path) -> Result<(Database, Option<u64>), Unread> {
    let mut builder = Database::builder();
    builder.set_cache_size(CACHE);
    open_sound(disk, &builder, path, ABOUT, SCHEMA)
}

fn read_file(disk: &Arc<dyn Disk>, path: &Path) -> Result<(FileStore, Contents), Unread> {
    let (database, found) = open_database(&**disk, path)?;
    let next = number(&database, ABOUT, NEXT_KEY)?.unwrap_or(1);
    let contents = contents(&database)?;
    let highest = contents.overrides.iter().map(|one| one.id.0 + 1);
    let next = highest
        .chain(contents.unreadable.iter().map(|id| id + 1))
        .chain([next, 1])
        .max();
    let mark = disk.mark(path).ok();
    let (disk, path, next) = (
        Arc::clone(disk),
        path.to_owned(),
        OverrideId(next.unwrap_or(1)),
    );
    let mut store = FileStore {
        disk,
        path,
        database: Some(database),
        mark,
        next,
    };
    if found != Some(SCHEMA) {
        // Also the proof that the file can be written.
        store
            .write(|_, about| about.insert(SCHEMA_KEY, SCHEMA).map(drop))
            .map_err(|error| Unread::Refused(OpenError::System(error.0)))?;
    }
    Ok((store, contents))
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
type Numbers<'a> = redb::Table<'a, &'static str, u64>;

impl FileStore {
    /// Writes in one transaction; it is on the disk when this returns.
    fn write(
        &mut self,
        run: impl FnOnce(&mut Rows<'_>, &mut Numbers<'_>) -> Result<(), StorageError>,
    ) -> Result<(), StoreError> {
        let database = self.well()?;
        let write = || -> Result<(), redb::Error> {
            let writing = database.begin_write()?;
            run(
                &mut writing.open_table(RECORDS)?,
                &mut writing.open_table(ABOUT)?,
            )?;
            Ok(writing.commit()?)
        };
        write().map_err(|error| StoreError(error.to_string()))?;
        self.database = Some(database);
        self.mark = self.disk.mark(&self.path).ok();
        Ok(())
    }

    /// The database, if its file is the one that was opened; after a failure it is opened anew.
    fn well(&mut self) -> Result<Database, StoreError> {
        let here = self.disk.mark(&self.path).ok();
        let changed = || StoreError("the file was removed, emptied or changed by someone".into());
        let same = here.map(|mark| mark.file) == self.mark.map(|mark| mark.file);
        match self.database.take() {
            Some(database) if here == self.mark => Ok(database),
            None if same => match read(|| open_database(&*self.disk, &self.path)) {
                Ok((database, Some(_))) => Ok(database),
                Ok((_, None)) => Err(changed()),
                Err(Unread::Damaged(why)) => Err(StoreError(format!("damaged: {why}"))),
                Err(Unread::Refused(why)) => Err(StoreError(why.to_string())),
            },
            _ => {
                self.mark = None;
                Err(changed())
            }
        }
    }
}

impl OverrideStore for FileStore {
    fn put(&mut self, all: &[Override]) -> Result<(), StoreError> {
        let next = all
            .iter()
            .map(|one| OverrideId(one.id.0.saturating_add(1)))
            .fold(self.next, OverrideId::max);
        self.write(|rows, about| {
            for one in all {
                rows.insert(one.id.0, record::encode(one).as_slice())?;
            }
            about.insert(NEXT_KEY, next.0).map(drop)
        })?;
        self.next = next;
        Ok(())
    }

    fn forget(&mut self, ids: &[OverrideId]) -> Result<(), StoreError> {
        if ids.is_empty() {
            return Ok(());
        }
        self.write(|rows, _| ids.iter().try_for_each(|id| rows.remove(id.0).map(drop)))
    }

    fn next_id(&self) -> OverrideId {
        self.next
    }
}
