//! Abstraction of the disk, which tests replace by one with injected faults.

use std::fmt::Debug;
use std::io;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};

use redb::{Builder, Database, DatabaseError, ReadOnlyDatabase};

/// Identity and length of the file at a path. While a store has the file open, only the store changes them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FileIdentity {
    /// Device and inode number.
    pub device_and_inode: (u64, u64),
    /// Length in bytes.
    pub length_bytes: u64,
}

/// File operations that the stores need.
pub trait Disk: Debug + Send + Sync {
    /// Opens a database for writing, and creates it if there is none.
    fn create(&self, builder: &Builder, path: &Path) -> Result<Database, DatabaseError>;

    /// Opens an existing database read-only.
    fn open_read_only(
        &self,
        builder: &Builder,
        path: &Path,
    ) -> Result<ReadOnlyDatabase, DatabaseError>;

    /// Reads a whole file.
    fn read(&self, path: &Path) -> io::Result<Vec<u8>>;

    /// Identity of the file at a path; an error if there is none.
    fn identity(&self, path: &Path) -> io::Result<FileIdentity>;

    /// Renames a file.
    fn rename(&self, from: &Path, to: &Path) -> io::Result<()>;
}

/// The file system of the operating system.
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

/// Renames a file to an unused name in the same folder; returns the new path.
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
