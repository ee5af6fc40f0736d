//! Where files lie: the system's disk, or one that a test breaks.

use std::fmt::Debug;
use std::io;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};

use redb::{Builder, Database, DatabaseError, ReadOnlyDatabase};

/// Which file stands under a name, and how long it is. Only its store changes it while it has it open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Mark {
    /// The device and the number there.
    pub file: (u64, u64),
    /// Its bytes.
    pub length: u64,
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
    fn bytes(&self, path: &Path) -> io::Result<Vec<u8>>;

    /// What stands under a name.
    fn mark(&self, path: &Path) -> io::Result<Mark>;

    /// Gives a file another name.
    fn rename(&self, from: &Path, to: &Path) -> io::Result<()>;
}

/// The system's files.
#[derive(Debug)]
pub struct Files;

impl Disk for Files {
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

    fn bytes(&self, path: &Path) -> io::Result<Vec<u8>> {
        std::fs::read(path)
    }

    fn mark(&self, path: &Path) -> io::Result<Mark> {
        let about = std::fs::metadata(path)?;
        Ok(Mark {
            file: (about.dev(), about.ino()),
            length: about.len(),
        })
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        std::fs::rename(from, to)
    }
}

/// Keeps a file under another name beside its own, which nothing has.
pub(crate) fn keep_aside(
    disk: &dyn Disk,
    path: &Path,
    suffix: &str,
    now_ms: u64,
) -> io::Result<PathBuf> {
    let named = |count: u32| {
        let mut name = path.as_os_str().to_owned();
        name.push(format!(".{suffix}-{now_ms}"));
        if count > 0 {
            name.push(format!("-{count}"));
        }
        PathBuf::from(name)
    };
    let aside = (0..)
        .map(named)
        .find(|name| disk.mark(name).is_err())
        .unwrap_or_else(|| named(0));
    disk.rename(path, &aside).map(|()| aside)
}
