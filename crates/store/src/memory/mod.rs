//! What is worth trusting after darkness: opaque records of this process, in one file.
//!
//! [`open`] raises the process's boot number and gives back what was remembered. A [`Writer`] takes changes from
//! the core without ever waiting for the disk, and writes them in batches. In the file a journal of changes stands
//! beside a snapshot of all records: a small batch writes few pages, and the journal goes over into the snapshot
//! when it passes a bound.

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

/// A record. Its meaning is its writer's.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Record {
    /// Its kind; also its priority: records of the lowest number are evicted last ([`Writer`]).
    pub kind: u32,
    /// Its subject. A later record of the same kind and subject replaces it.
    pub subject: Vec<u8>,
    /// The value.
    pub value: Vec<u8>,
    /// When it was observed, in Unix milliseconds.
    pub observed_at_ms: u64,
}

/// A change of the memory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Store a record.
    Put(Record),
    /// Remove the record of a kind and subject.
    Delete {
        /// The kind.
        kind: u32,
        /// The subject.
        subject: Vec<u8>,
    },
}

/// A file that could not be used and was moved aside.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MovedFile {
    /// Its new path; its old one if the disk is read-only.
    pub path: PathBuf,
    /// Why it could not be used.
    pub reason: UnusableReason,
}

/// Why a file could not be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UnusableReason {
    /// It is damaged; with the database's message.
    Damaged(String),
    /// It belongs to the process of this name.
    Foreign(String),
}

impl fmt::Display for MovedFile {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.reason {
            UnusableReason::Damaged(reason) => write!(f, "damaged ({reason})")?,
            UnusableReason::Foreign(owner) => write!(f, "the memory of {owner:?}")?,
        }
        write!(f, ", kept as {}", self.path.display())
    }
}

/// What a memory contained when it was opened.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MemoryContents {
    /// Incarnation number of this process: one more than the last.
    pub incarnation: u64,
    /// Why the incarnation number could not be written; the next start may get the same one.
    pub write_error: Option<String>,
    /// All records, by kind and subject.
    pub records: Vec<Record>,
    /// Number of unreadable records. They stay in the file.
    pub unreadable_records: u64,
    /// The file that was moved aside.
    pub moved_aside: Option<MovedFile>,
    /// When the file was last written, by the wall clock of then, in Unix milliseconds.
    pub last_written_at_ms: Option<u64>,
    /// Whether the wall clock is before that time; no age can be derived then.
    pub clock_went_back: bool,
}

/// The memory of a process, which has its file exclusively.
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

/// Why changes were not written. None of them was.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WriteError(
    /// The system's message.
    pub String,
);

impl fmt::Display for WriteError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the memory was not written: {}", self.0)
    }
}

impl std::error::Error for WriteError {}

/// What was noticed during a write.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WriteOutcome {
    /// Why the file was recreated; its former contents are lost.
    pub recreated_reason: Option<String>,
}

/// Opens the memory of a process, or creates it. The incarnation number is raised durably by one.
/// A damaged or foreign file is moved aside, and the memory starts empty. A file of a newer program
/// is left alone and causes an error. A read-only disk is read, which [`MemoryContents`] reports.
pub fn open(path: &Path, owner: &str, now_ms: u64) -> Result<(Memory, MemoryContents), OpenError> {
    open_on(Arc::new(SystemDisk), path, owner, now_ms)
}

/// The same on a given disk.
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
    /// The incarnation number of this run.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Sets the size of the journal at which it is merged into the snapshot.
    pub fn set_journal_limit(&mut self, bytes: u64) {
        self.max_journal_bytes = bytes;
    }

    /// Writes changes in order, all or none. They are durable on return.
    pub fn write(&mut self, changes: &[Change], now_ms: u64) -> Result<WriteOutcome, WriteError> {
        let outcome = self.ensure_open(now_ms)?;
        // After a failure the database refuses everything until it is opened again.
        let Some(mut file) = self.file.take() else {
            return Err(WriteError("no file".into()));
        };
        file.append(changes, now_ms).map_err(WriteError)?;
        if file.journal_bytes <= self.max_journal_bytes || file.compact().is_ok() {
            self.file = Some(file);
        }
        self.identity = self.disk.identity(&self.path).ok();
        Ok(outcome)
    }

    /// Ensures that the file is open and unchanged.
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
                Some("removed or emptied by someone".to_owned())
            }
            None => None,
        };
        Ok(WriteOutcome { recreated_reason })
    }

    /// Opens the existing file.
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
                    "the new file is bad too, after {moved_aside}"
                )));
            }
            let suffix = match &reason {
                UnusableReason::Foreign(_) => "foreign",
                UnusableReason::Damaged(_) => "damaged",
            };
            match move_aside(&*self.disk, &self.path, suffix, now_ms) {
                Ok(path) => moved_aside = Some(MovedFile { path, reason }),
                Err(error) => {
                    let write_error = format!("what is there can't be kept aside: {error}");
                    return Ok(MemoryContents {
                        moved_aside: Some(self.file_left_in_place(reason)),
                        ..self.empty_contents(write_error)
                    });
                }
            }
        }
    }

    /// Opens the file for writing, unless it belongs to another owner.
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

    /// Reads the file from a read-only disk.
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

    /// The incarnation number after the one in a file; a file that is opened again in one run gets
    /// the same.
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
