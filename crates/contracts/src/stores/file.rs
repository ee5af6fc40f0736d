//! Stores in a file, on a disk that breaks.

use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use beaconflow_store::disk::Disk;
use redb::{Database, TableDefinition};

use super::{Durable, Emptied, Failed, Loss, Newer, Rows, Store, StoreFault, Subject, Traits};
use crate::disk::{self, BreakingDisk};

/// An open store, and the rows it found.
pub type Opened = Result<(Box<dyn Store>, Rows), Failed>;

/// What is told of a store in a file of the embedded database.
pub trait OnDisk {
    /// The table of the file that holds its schema under `schema`, and the schema that the program writes.
    const SCHEMA: (&'static str, u64);

    /// Opens it.
    fn open(disk: Arc<dyn Disk>, path: &Path) -> Opened;
}

/// Such a store with its disk.
pub struct FileSubject {
    disk: BreakingDisk,
    open: fn(Arc<dyn Disk>, &Path) -> Opened,
    schema: (&'static str, u64),
    newer: Mutex<Vec<u8>>,
}

fn path() -> &'static Path {
    Path::new("/store.redb")
}

impl FileSubject {
    /// One that is empty.
    pub fn new<S: OnDisk>() -> FileSubject {
        let (disk, newer) = (BreakingDisk::default(), Mutex::default());
        FileSubject {
            disk,
            open: S::open,
            schema: S::SCHEMA,
            newer,
        }
    }

    fn bytes(&self) -> Vec<u8> {
        self.disk.read(path()).unwrap_or_default()
    }

    fn raise_schema(&self) -> Result<(), redb::Error> {
        let (table, schema) = self.schema;
        let database = self.disk.create(&Database::builder(), path())?;
        let writing = database.begin_write()?;
        writing
            .open_table(TableDefinition::<&str, u64>::new(table))?
            .insert("schema", schema + 1)?;
        Ok(writing.commit()?)
    }
}

impl Subject for FileSubject {
    fn traits(&self) -> Traits {
        Traits {
            durable: Durable::OnReturn,
            batches: true,
            exclusive: true,
            newer: Newer::LeftAlone,
            wire: false,
        }
    }

    fn open(&self) -> Opened {
        (self.open)(Arc::new(self.disk.clone()), path())
    }

    fn weather(&self, weather: StoreFault) {
        self.disk.set_fault(match weather {
            StoreFault::Full => disk::DiskFault::Full,
            StoreFault::ReadOnly => disk::DiskFault::ReadOnly,
            StoreFault::Slow => disk::DiskFault::Slow(Duration::from_millis(2)),
            _ => disk::DiskFault::Fair,
        });
    }

    fn cut_after(&self, writes: u64) {
        self.disk.cut_after(writes);
    }

    fn is_dark(&self) -> bool {
        self.disk.is_dark()
    }

    fn power_back(&self, loss: Loss) {
        self.disk.power_back(loss);
    }

    fn empty(&self, how: Emptied) {
        self.disk.empty(how);
    }

    fn newer_writes(&self) {
        if self.raise_schema().is_ok()
            && let Ok(mut newer) = self.newer.lock()
        {
            *newer = self.bytes();
        }
    }

    fn is_newer_intact(&self) -> bool {
        let kept = self.bytes();
        !kept.is_empty() && self.newer.lock().is_ok_and(|newer| *newer == kept)
    }
}
