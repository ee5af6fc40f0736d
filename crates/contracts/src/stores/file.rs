//! Test subjects for stores in a file on a disk with injectable faults.

use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use beaconflow_store::disk::Disk;
use redb::{Database, TableDefinition};

use super::{
    ClearMethod, Durability, NewerSchema, Properties, Rows, Store, StoreError, StoreFault, Subject,
    UnsyncedLoss,
};
use crate::disk::{self, FaultyDisk};

/// An open store with the rows it contains, or the error of opening it.
pub type OpenResult = Result<(Box<dyn Store>, Rows), StoreError>;

/// A store in a file of the embedded database.
pub trait FileBackedStore {
    /// The table with the schema version under the key `schema`, and the version that this program writes.
    const SCHEMA: (&'static str, u64);

    /// Opens the store in the file at this path.
    fn open(disk: Arc<dyn Disk>, path: &Path) -> OpenResult;
}

/// A file-backed store under test, with its disk.
pub struct FileSubject {
    disk: FaultyDisk,
    open: fn(Arc<dyn Disk>, &Path) -> OpenResult,
    schema: (&'static str, u64),
    newer_bytes: Mutex<Vec<u8>>,
}

fn store_path() -> &'static Path {
    Path::new("/store.redb")
}

impl FileSubject {
    /// Creates a subject with an empty disk.
    pub fn new<S: FileBackedStore>() -> FileSubject {
        let (disk, newer_bytes) = (FaultyDisk::default(), Mutex::default());
        FileSubject {
            disk,
            open: S::open,
            schema: S::SCHEMA,
            newer_bytes,
        }
    }

    fn file_bytes(&self) -> Vec<u8> {
        self.disk.read(store_path()).unwrap_or_default()
    }

    fn raise_schema(&self) -> Result<(), redb::Error> {
        let (table, schema) = self.schema;
        let database = self.disk.create(&Database::builder(), store_path())?;
        let transaction = database.begin_write()?;
        transaction
            .open_table(TableDefinition::<&str, u64>::new(table))?
            .insert("schema", schema + 1)?;
        Ok(transaction.commit()?)
    }
}

impl Subject for FileSubject {
    fn properties(&self) -> Properties {
        Properties {
            durability: Durability::OnReturn,
            has_atomic_batches: true,
            is_exclusive: true,
            newer_schema: NewerSchema::Refused,
            is_remote: false,
        }
    }

    fn open(&self) -> OpenResult {
        (self.open)(Arc::new(self.disk.clone()), store_path())
    }

    fn set_fault(&self, fault: StoreFault) {
        self.disk.set_fault(match fault {
            StoreFault::Full => disk::DiskFault::Full,
            StoreFault::ReadOnly => disk::DiskFault::ReadOnly,
            StoreFault::Slow => disk::DiskFault::Slow(Duration::from_millis(2)),
            _ => disk::DiskFault::None,
        });
    }

    fn cut_power_after(&self, writes: u64) {
        self.disk.cut_power_after(writes);
    }

    fn is_power_off(&self) -> bool {
        self.disk.is_power_off()
    }

    fn restore_power(&self, loss: UnsyncedLoss) {
        self.disk.restore_power(loss);
    }

    fn clear(&self, method: ClearMethod) {
        self.disk.clear_files(method);
    }

    fn write_newer_schema(&self) {
        if self.raise_schema().is_ok()
            && let Ok(mut newer_bytes) = self.newer_bytes.lock()
        {
            *newer_bytes = self.file_bytes();
        }
    }

    fn is_newer_data_intact(&self) -> bool {
        let current = self.file_bytes();
        !current.is_empty()
            && self
                .newer_bytes
                .lock()
                .is_ok_and(|newer_bytes| *newer_bytes == current)
    }
}
