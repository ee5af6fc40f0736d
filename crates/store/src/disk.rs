//! Where files lie: the system's disk, or one that a test breaks.

use std::fmt::Debug;
use std::io;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};

use redb::{Builder, Database, DatabaseError, ReadOnlyDatabase};

/// Which file stands under a name, and how long it is. Only its store changes it while it has it open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FileIdentity {
    /// The device and the number there.
    pub device_and_inode: (u64, u64),
    /// Its bytes.
    pub length_bytes: u64,
}

/// Holds files.
pub trait Disk: Debug + Send + Sync {
    /// Opens a database for writing, and makes it where there is none.
    fn create(&self, builder: &Builder, path: &Path) -> Result<Database, DatabaseError>;

    /// Opens a database without the leave to write.
    fn open_read_only(
        &self,
        builder: &Builder,
        path: &Path,
    ) -> Result<ReadOnlyDatabase, DatabaseError>;

    /// All bytes of a file.
    fn read(&self, path: &Path) -> io::Result<Vec<u8>>;

    /// What stands under a name.
    fn identity(&self, path: &Path) -> io::Result<FileIdentity>;

    /// Gives a file another name.
    fn rename(&self, from: &Path, to: &Path) -> io::Result<()>;
}

/// The system's files.
#[derive(Debug)]
pub struct SystemDisk;

impl Disk for SystemDisk {
    fn create(&self, builder: &Builder, path: &Path) -> Result<Database, DatabaseError> {
        builder.create(path)
    }

    fn open_read_only(
        &self,
        builder: &Builder,
        path: &Path,
    ) -> Result<ReadOnlyDatabase, DatabaseError> {
        builder.open_read_only(path)
    }

    fn read(&self, path: &Path) -> io::Result<Vec<u8>> {
        std::fs::read(path)
    }

    fn identity(&self, path: &Path) -> io::Result<FileIdentity> {
        let metadata = std::fs::metadata(path)?;
        Ok(FileIdentity {
            device_and_inode: (metadata.dev(), metadata.ino()),
            length_bytes: metadata.len(),
        })
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        std::fs::rename(from, to)
    }
}

/// Keeps a file under another name beside its own, which nothing has.
pub(crate) fn move_aside(
    disk: &dyn Disk,
    path: &Path,
    suffix: &str,
    now_ms: u64,
) -> io::Result<PathBuf> {
    let candidate = |count: u32| {
        let mut name = path.as_os_str().to_owned();
        name.push(format!(".{suffix}-{now_ms}"));
        if count > 0 {
            name.push(format!("-{count}"));
        }
        PathBuf::from(name)
    };
    let moved_path = (0..)
        .map(candidate)
        .find(|name| disk.identity(name).is_err())
        .unwrap_or_else(|| candidate(0));
    disk.rename(path, &moved_path).map(|()| moved_path)
}
