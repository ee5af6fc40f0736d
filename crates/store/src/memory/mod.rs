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

/// The newest schema of a memory's file that this program reads, and the one that it writes.
pub const SCHEMA: u64 = 1;

/// One thing that is remembered. Its meaning is its writer's.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Record {
    /// What kind of thing; also its weight, as [`Writer`] tells: the lowest number gives way last.
    pub kind: u32,
    /// Whom or what it is about. A later record of the same kind and subject takes its place.
    pub subject: Vec<u8>,
    /// What is known.
    pub value: Vec<u8>,
    /// When it was seen to be so, in Unix milliseconds.
    pub observed_at_ms: u64,
}

/// A change of what is remembered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Remember this.
    Keep(Record),
    /// Forget what stands under this kind and subject.
    Forget {
        /// The kind.
        kind: u32,
        /// The subject.
        subject: Vec<u8>,
    },
}

/// A file that is not read, and was kept under another name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Aside {
    /// Where it is now. It is still in its place if the disk takes no writing.
    pub path: PathBuf,
    /// Why it is not read.
    pub why: AsideWhy,
}

/// Why a file is not read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AsideWhy {
    /// It is torn or damaged: in the database's words.
    Damaged(String),
    /// It is the memory of the process of this name.
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

/// What a memory held when it was opened.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Remembered {
    /// This process's boot number: one more than the last.
    pub incarnation: u64,
    /// Why the boot number is not on the disk: the disk takes no writing. The next start may get the same number.
    pub unwritable: Option<String>,
    /// All that was remembered, by kind and subject.
    pub records: Vec<Record>,
    /// Records that could not be read. They stay in the file.
    pub unreadable: u64,
    /// The file that stood there and is not read.
    pub aside: Option<Aside>,
    /// When the file was last written, by the wall clock of then, in Unix milliseconds.
    pub last_written_ms: Option<u64>,
    /// The wall clock stands before that moment: one of the two is wrong, and no age can be told from them.
    pub clock_went_back: bool,
}

/// The memory of a process. One at a time has its file.
#[derive(Debug)]
pub struct Memory {
    disk: Arc<dyn Disk>,
    path: PathBuf,
    owner: String,
    incarnation: u64,
    journal_bytes: u64,
    /// None while the disk is ill.
    file: Option<Box<OpenFile>>,
    /// The file that was open last. Guards against one that was removed, cut or changed for another.
    mark: Option<Mark>,
}

/// Why changes were not written. None of them was, then.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WriteError(
    /// In the system's words.
    pub String,
);

impl fmt::Display for WriteError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the memory was not written: {}", self.0)
    }
}

impl std::error::Error for WriteError {}

/// What a write found besides.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Written {
    /// Why the file had to be begun anew: what was written before is no longer in it.
    pub begun_anew: Option<String>,
}

/// Opens the memory of a process, and makes it where there is none. The boot number is raised, durably, by one.
///
/// A file that is damaged or another process's is kept aside, and the memory begins empty. One of a newer program is
/// left as it is, with an error. From a disk that takes no writing, what is there is read and [`Remembered`] says so.
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
    /// The boot number of this run.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Sets the bytes of the journal that go over into the snapshot.
    pub fn bound_journal(&mut self, bytes: u64) {
        self.journal_bytes = bytes;
    }

    /// Writes changes, all or none, in their order. They are durable when this returns.
    pub fn write(&mut self, changes: &[Change], now_ms: u64) -> Result<Written, WriteError> {
        let written = self.well(now_ms)?;
        // The database refuses everything after a failure, until it is opened anew: it is let go of then.
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

    /// Sees to it that the file is open and still the one that was opened.
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

    /// Opens what is there.
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

    /// Opens the file for writing, if it is not the one of another owner.
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

    /// Reads what is on a disk that takes no writing.
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

    /// The boot number after the one in a file; a file that is opened again in one run gets the run's.
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
