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
use crate::database::Unread;
use crate::disk::{Disk, Files, Mark, keep_aside};

use file::{Found, OpenFile};
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
    Keep(Record),
    /// Remove the record of a kind and subject.
    Forget {
        /// The kind.
        kind: u32,
        /// The subject.
        subject: Vec<u8>,
    },
}

/// A file that could not be used and was moved aside.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Aside {
    /// Its new path; its old one if the disk is read-only.
    pub path: PathBuf,
    /// Why it could not be used.
    pub why: AsideWhy,
}

/// Why a file could not be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AsideWhy {
    /// It is damaged; with the database's message.
    Damaged(String),
    /// It belongs to the process of this name.
    Foreign(String),
}

impl fmt::Display for Aside {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.why {
            AsideWhy::Damaged(why) => write!(f, "damaged ({why})")?,
            AsideWhy::Foreign(owner) => write!(f, "the memory of {owner:?}")?,
        }
        write!(f, ", kept as {}", self.path.display())
    }
}

/// What a memory contained when it was opened.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Remembered {
    /// Incarnation number of this process: one more than the last.
    pub incarnation: u64,
    /// Why the incarnation number could not be written; the next start may get the same one.
    pub unwritable: Option<String>,
    /// All records, by kind and subject.
    pub records: Vec<Record>,
    /// Number of unreadable records. They stay in the file.
    pub unreadable: u64,
    /// The file that was moved aside.
    pub aside: Option<Aside>,
    /// When the file was last written, by the wall clock of then, in Unix milliseconds.
    pub last_written_ms: Option<u64>,
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
    journal_bytes: u64,
    /// `None` while the disk fails.
    file: Option<Box<OpenFile>>,
    /// The identity of the open file, by which a removed, truncated or replaced one is detected.
    mark: Option<Mark>,
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
pub struct Written {
    /// Why the file was recreated; its former contents are lost.
    pub begun_anew: Option<String>,
}

/// Opens the memory of a process, or creates it. The incarnation number is raised durably by one.
/// A damaged or foreign file is moved aside, and the memory starts empty. A file of a newer program
/// is left alone and causes an error. A read-only disk is read, which [`Remembered`] reports.
pub fn open(path: &Path, owner: &str, now_ms: u64) -> Result<(Memory, Remembered), OpenError> {
    open_on(Arc::new(Files), path, owner, now_ms)
}

/// The same on a given disk.
pub fn open_on(
    disk: Arc<dyn Disk>,
    path: &Path,
    owner: &str,
    now_ms: u64,
) -> Result<(Memory, Remembered), OpenError> {
    let journal_bytes = Limits::default().journal_bytes;
    let (path, owner) = (path.to_owned(), owner.to_owned());
    let mut memory = Memory {
        disk,
        path,
        owner,
        incarnation: 0,
        journal_bytes,
        file: None,
        mark: None,
    };
    let mut remembered = memory.find(now_ms)?;
    memory.incarnation = remembered.incarnation;
    let late = remembered.last_written_ms.is_some_and(|then| then > now_ms);
    remembered.clock_went_back = late;
    Ok((memory, remembered))
}

impl Memory {
    /// The incarnation number of this run.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Sets the size of the journal at which it is merged into the snapshot.
    pub fn bound_journal(&mut self, bytes: u64) {
        self.journal_bytes = bytes;
    }

    /// Writes changes in order, all or none. They are durable on return.
    pub fn write(&mut self, changes: &[Change], now_ms: u64) -> Result<Written, WriteError> {
        let written = self.well(now_ms)?;
        // After a failure the database refuses everything until it is opened again.
        let Some(mut held) = self.file.take() else {
            return Err(WriteError("no file".into()));
        };
        held.append(changes, now_ms).map_err(WriteError)?;
        if held.journal_bytes <= self.journal_bytes || held.compact().is_ok() {
            self.file = Some(held);
        }
        self.mark = self.disk.mark(&self.path).ok();
        Ok(written)
    }

    /// Ensures that the file is open and unchanged.
    fn well(&mut self, now_ms: u64) -> Result<Written, WriteError> {
        let (before, here) = (self.mark, self.disk.mark(&self.path).ok());
        if self.file.is_some() && here == before {
            return Ok(Written::default());
        }
        self.file = None;
        let found = self
            .find(now_ms)
            .map_err(|error| WriteError(error.to_string()))?;
        if let Some(why) = found.unwritable {
            return Err(WriteError(why));
        }
        let same = before.is_none_or(|before| here.is_some_and(|here| here.file == before.file));
        let begun_anew = match found.aside {
            Some(aside) => Some(aside.to_string()),
            None if !same || (before.is_some() && found.last_written_ms.is_none()) => {
                Some("removed or emptied by someone".to_owned())
            }
            None => None,
        };
        Ok(Written { begun_anew })
    }

    /// Opens the existing file.
    fn find(&mut self, now_ms: u64) -> Result<Remembered, OpenError> {
        let mut aside: Option<Aside> = None;
        loop {
            let why = match self.try_open(now_ms) {
                Ok(Ok(remembered)) => {
                    return Ok(Remembered {
                        aside,
                        ..remembered
                    });
                }
                Ok(Err(owner)) => AsideWhy::Foreign(owner),
                Err(Unread::Damaged(why)) => AsideWhy::Damaged(why),
                Err(Unread::Refused(OpenError::System(why))) => {
                    let found = self.read_only(why)?;
                    return Ok(Remembered {
                        aside: aside.or(found.aside),
                        ..found
                    });
                }
                Err(Unread::Refused(error)) => return Err(error),
            };
            if let Some(aside) = aside {
                return Err(OpenError::System(format!(
                    "the new file is bad too, after {aside}"
                )));
            }
            let word = match &why {
                AsideWhy::Foreign(_) => "foreign",
                AsideWhy::Damaged(_) => "damaged",
            };
            match keep_aside(&*self.disk, &self.path, word, now_ms) {
                Ok(path) => aside = Some(Aside { path, why }),
                Err(error) => {
                    let said = format!("what is there can't be kept aside: {error}");
                    return Ok(Remembered {
                        aside: Some(self.unmoved(why)),
                        ..self.nothing(said)
                    });
                }
            }
        }
    }

    /// Opens the file for writing, unless it belongs to another owner.
    fn try_open(&mut self, now_ms: u64) -> Result<Result<Remembered, String>, Unread> {
        let found = crate::database::read(|| OpenFile::open(&*self.disk, &self.path, &self.owner))?;
        let (mut held, mut remembered) = match found {
            Found::Ours(held, remembered) => (held, remembered),
            Found::Foreign(owner) => return Ok(Err(owner)),
        };
        remembered.incarnation = self.raised(remembered.incarnation);
        let begun = held.begin(&self.owner, remembered.incarnation, now_ms);
        begun.map_err(|why| Unread::Refused(OpenError::System(why)))?;
        self.mark = self.disk.mark(&self.path).ok();
        self.file = Some(held);
        Ok(Ok(remembered))
    }

    /// Reads the file from a read-only disk.
    fn read_only(&self, why: String) -> Result<Remembered, OpenError> {
        let bytes = match self.disk.bytes(&self.path) {
            Ok(bytes) => bytes,
            Err(error) if error.kind() == ErrorKind::NotFound => Vec::new(),
            Err(_) => return Err(OpenError::System(why)),
        };
        match crate::database::read(|| OpenFile::copy_of(&bytes, &self.owner)) {
            Ok(Found::Ours(_, found)) => Ok(Remembered {
                incarnation: self.raised(found.incarnation),
                unwritable: Some(why),
                ..found
            }),
            Ok(Found::Foreign(owner)) => Ok(Remembered {
                aside: Some(self.unmoved(AsideWhy::Foreign(owner))),
                ..self.nothing(why)
            }),
            Err(Unread::Damaged(damage)) => Ok(Remembered {
                aside: Some(self.unmoved(AsideWhy::Damaged(damage))),
                ..self.nothing(why)
            }),
            Err(Unread::Refused(error)) => Err(error),
        }
    }

    /// The incarnation number after the one in a file; a file that is opened again in one run gets
    /// the same.
    fn raised(&self, found: u64) -> u64 {
        if self.incarnation > 0 {
            self.incarnation.max(found)
        } else {
            found + 1
        }
    }

    fn unmoved(&self, why: AsideWhy) -> Aside {
        Aside {
            path: self.path.clone(),
            why,
        }
    }

    fn nothing(&self, unwritable: String) -> Remembered {
        Remembered {
            incarnation: self.raised(0),
            unwritable: Some(unwritable),
            ..Remembered::default()
        }
    }
}
