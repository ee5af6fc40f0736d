//! Records of a process that it uses after a restart, in one file. The values are opaque to this module.
//!
//! [`open`] raises the incarnation number of the process and returns the stored records. A [`Writer`] accepts changes
//! without waiting for the disk and writes them in batches. The file contains a snapshot of the records and a journal
//! of changes, so that a small batch writes few pages. The journal is merged into the snapshot when it exceeds a limit.

mod file;
mod queue;
mod record;
mod writer;

use std::fmt;
use std::io::ErrorKind;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use crate::OpenError;
use crate::database::ReadError;
use crate::disk::{Disk, FileIdentity, SystemDisk, move_aside};

use file::{OpenFile, StoredMemory};
pub use writer::{Counts, DiskEvent, Limits, Writer};

/// Newest schema of the file that this program reads, and the one that it writes.
pub const SCHEMA: u64 = 1;

/// A stored record. Kind, subject and value are defined by the writer.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Record {
    /// Kind, which is also the priority: records of the lowest kind are evicted last ([`Writer`]).
    pub kind: u32,
    /// Key within the kind. A later record of the same kind and subject replaces this one.
    pub subject: Vec<u8>,
    /// Encoded contents.
    pub value: Vec<u8>,
    /// Time of observation, in Unix milliseconds.
    pub observed_at_ms: u64,
}

/// A change of one record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Inserts or replaces a record.
    Put(Record),
    /// Deletes the record of a kind and subject, if there is one.
    Delete {
        /// Kind of the record.
        kind: u32,
        /// Subject of the record.
        subject: Vec<u8>,
    },
}

/// A file that could not be used and was renamed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MovedFile {
    /// New path of the file; the old one if it could not be renamed.
    pub path: PathBuf,
    /// Reason why the file could not be used.
    pub reason: UnusableReason,
}

/// Reason why a file could not be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UnusableReason {
    /// The file is damaged; with the database's message.
    Damaged(String),
    /// The file belongs to the process with this name.
    Foreign(String),
}

impl fmt::Display for MovedFile {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.reason {
            UnusableReason::Damaged(reason) => write!(f, "the file is damaged ({reason})")?,
            UnusableReason::Foreign(owner) => write!(f, "the file belongs to {owner:?}")?,
        }
        write!(f, " and was kept as {}", self.path.display())
    }
}

/// Contents of a memory when it was opened.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MemoryContents {
    /// Incarnation number of this process: one more than the last.
    pub incarnation: u64,
    /// Error that kept the incarnation number from being written; the next start may then get the same number.
    pub write_error: Option<String>,
    /// All records, sorted by kind and subject.
    pub records: Vec<Record>,
    /// Number of records that could not be decoded. They stay in the file.
    pub unreadable_records: u64,
    /// The previous file, if it could not be used.
    pub moved_aside: Option<MovedFile>,
    /// Time of the last write by the wall clock at that time, in Unix milliseconds; `None` for a new file.
    pub last_written_at_ms: Option<u64>,
    /// Whether the wall clock is earlier than the last write, so that ages of records are unknown.
    pub clock_went_back: bool,
}

/// The open memory of a process, which has its file exclusively.
#[derive(Debug)]
pub struct Memory {
    disk: Arc<dyn Disk>,
    path: PathBuf,
    owner: String,
    incarnation: u64,
    max_journal_bytes: u64,
    /// `None` while the disk fails.
    file: Option<Box<OpenFile>>,
    /// The identity of the open file, by which a removed, truncated or replaced one is detected.
    identity: Option<FileIdentity>,
}

/// A write failed. None of its changes is stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WriteError(
    /// Message of the operating system or the database.
    pub String,
);

impl fmt::Display for WriteError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "write to the memory file failed: {}", self.0)
    }
}

impl std::error::Error for WriteError {}

/// Result of a successful write.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WriteOutcome {
    /// Reason why the file was recreated and its former contents are lost; `None` if it was not.
    pub recreated_reason: Option<String>,
}

/// Opens the memory of a process, or creates it. The incarnation number is raised durably by one.
/// A damaged or foreign file is renamed, and the memory starts empty. A file of a newer program is
/// left unchanged and causes an error. The contents are read from a read-only disk, which
/// [`MemoryContents::write_error`] reports.
pub fn open(path: &Path, owner: &str, now_ms: u64) -> Result<(Memory, MemoryContents), OpenError> {
    open_on(Arc::new(SystemDisk), path, owner, now_ms)
}

/// Like [`open`], on a given disk.
pub fn open_on(
    disk: Arc<dyn Disk>,
    path: &Path,
    owner: &str,
    now_ms: u64,
) -> Result<(Memory, MemoryContents), OpenError> {
    let max_journal_bytes = Limits::default().journal_bytes;
    let (path, owner) = (path.to_owned(), owner.to_owned());
    let mut memory = Memory {
        disk,
        path,
        owner,
        incarnation: 0,
        max_journal_bytes,
        file: None,
        identity: None,
    };
    let mut contents = memory.open_or_recreate(now_ms)?;
    memory.incarnation = contents.incarnation;
    let clock_went_back = contents
        .last_written_at_ms
        .is_some_and(|written_at| written_at > now_ms);
    contents.clock_went_back = clock_went_back;
    Ok((memory, contents))
}

impl Memory {
    /// Incarnation number of this run; greater than that of every earlier run whose number was written.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Sets the size of the journal in bytes above which it is merged into the snapshot.
    pub fn set_journal_limit(&mut self, bytes: u64) {
        self.max_journal_bytes = bytes;
    }

    /// Writes changes in order, all or none. They are durable on return.
    pub fn write(&mut self, changes: &[Change], now_ms: u64) -> Result<WriteOutcome, WriteError> {
        let outcome = self.ensure_open(now_ms)?;
        // After a failure the database rejects every operation until it is opened again.
        let Some(mut file) = self.file.take() else {
            return Err(WriteError("the file is not open".into()));
        };
        file.append(changes, now_ms).map_err(WriteError)?;
        if file.journal_bytes <= self.max_journal_bytes || file.compact().is_ok() {
            self.file = Some(file);
        }
        self.identity = self.disk.identity(&self.path).ok();
        Ok(outcome)
    }

    /// Ensures that the file is open and has not been replaced; recreates a lost one.
    fn ensure_open(&mut self, now_ms: u64) -> Result<WriteOutcome, WriteError> {
        let (previous, current) = (self.identity, self.disk.identity(&self.path).ok());
        if self.file.is_some() && current == previous {
            return Ok(WriteOutcome::default());
        }
        self.file = None;
        let found = self
            .open_or_recreate(now_ms)
            .map_err(|error| WriteError(error.to_string()))?;
        if let Some(reason) = found.write_error {
            return Err(WriteError(reason));
        }
        let is_same_file = previous.is_none_or(|previous| {
            current.is_some_and(|current| current.device_and_inode == previous.device_and_inode)
        });
        let recreated_reason = match found.moved_aside {
            Some(moved_aside) => Some(moved_aside.to_string()),
            None if !is_same_file || (previous.is_some() && found.last_written_at_ms.is_none()) => {
                Some("the file was removed or truncated by another program".to_owned())
            }
            None => None,
        };
        Ok(WriteOutcome { recreated_reason })
    }

    /// Opens the file. A damaged or foreign file is renamed and replaced by a new one; a read-only
    /// one is only read.
    fn open_or_recreate(&mut self, now_ms: u64) -> Result<MemoryContents, OpenError> {
        let mut moved_aside: Option<MovedFile> = None;
        loop {
            let reason = match self.open_for_writing(now_ms) {
                Ok(Ok(contents)) => {
                    return Ok(MemoryContents {
                        moved_aside,
                        ..contents
                    });
                }
                Ok(Err(owner)) => UnusableReason::Foreign(owner),
                Err(ReadError::Damaged(reason)) => UnusableReason::Damaged(reason),
                Err(ReadError::Unusable(OpenError::System(reason))) => {
                    let found = self.open_read_only(reason)?;
                    return Ok(MemoryContents {
                        moved_aside: moved_aside.or(found.moved_aside),
                        ..found
                    });
                }
                Err(ReadError::Unusable(error)) => return Err(error),
            };
            if let Some(moved_aside) = moved_aside {
                return Err(OpenError::System(format!(
                    "the new file cannot be used either; before, {moved_aside}"
                )));
            }
            let suffix = match &reason {
                UnusableReason::Foreign(_) => "foreign",
                UnusableReason::Damaged(_) => "damaged",
            };
            match move_aside(&*self.disk, &self.path, suffix, now_ms) {
                Ok(path) => moved_aside = Some(MovedFile { path, reason }),
                Err(error) => {
                    let write_error = format!("the unusable file cannot be renamed: {error}");
                    return Ok(MemoryContents {
                        moved_aside: Some(self.file_left_in_place(reason)),
                        ..self.empty_contents(write_error)
                    });
                }
            }
        }
    }

    /// Opens the file for writing; returns the owner as the inner error if it belongs to another one.
    fn open_for_writing(
        &mut self,
        now_ms: u64,
    ) -> Result<Result<MemoryContents, String>, ReadError> {
        let found =
            crate::database::catch_panic(|| OpenFile::open(&*self.disk, &self.path, &self.owner))?;
        let (mut file, mut contents) = match found {
            StoredMemory::Owned(file, contents) => (file, contents),
            StoredMemory::Foreign(owner) => return Ok(Err(owner)),
        };
        contents.incarnation = self.next_incarnation(contents.incarnation);
        let header = file.write_header(&self.owner, contents.incarnation, now_ms);
        header.map_err(|reason| ReadError::Unusable(OpenError::System(reason)))?;
        self.identity = self.disk.identity(&self.path).ok();
        self.file = Some(file);
        Ok(Ok(contents))
    }

    /// Reads the file without writing to it. `reason` is the error that prevents writing.
    fn open_read_only(&self, reason: String) -> Result<MemoryContents, OpenError> {
        let bytes = match self.disk.read(&self.path) {
            Ok(bytes) => bytes,
            Err(error) if error.kind() == ErrorKind::NotFound => Vec::new(),
            Err(_) => return Err(OpenError::System(reason)),
        };
        match crate::database::catch_panic(|| OpenFile::read_copy(&bytes, &self.owner)) {
            Ok(StoredMemory::Owned(_, found)) => Ok(MemoryContents {
                incarnation: self.next_incarnation(found.incarnation),
                write_error: Some(reason),
                ..found
            }),
            Ok(StoredMemory::Foreign(owner)) => Ok(MemoryContents {
                moved_aside: Some(self.file_left_in_place(UnusableReason::Foreign(owner))),
                ..self.empty_contents(reason)
            }),
            Err(ReadError::Damaged(damage)) => Ok(MemoryContents {
                moved_aside: Some(self.file_left_in_place(UnusableReason::Damaged(damage))),
                ..self.empty_contents(reason)
            }),
            Err(ReadError::Unusable(error)) => Err(error),
        }
    }

    /// Incarnation number of this run, given the one found in the file. A file that is reopened in
    /// the same run keeps its number.
    fn next_incarnation(&self, found: u64) -> u64 {
        if self.incarnation > 0 {
            self.incarnation.max(found)
        } else {
            found + 1
        }
    }

    fn file_left_in_place(&self, reason: UnusableReason) -> MovedFile {
        MovedFile {
            path: self.path.clone(),
            reason,
        }
    }

    fn empty_contents(&self, write_error: String) -> MemoryContents {
        MemoryContents {
            incarnation: self.next_incarnation(0),
            write_error: Some(write_error),
            ..MemoryContents::default()
        }
    }
}
