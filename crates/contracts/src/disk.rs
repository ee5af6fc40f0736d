//! A disk in memory that loses power, fills up, refuses writing or stands still.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, Error, ErrorKind};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use beaconflow_store::disk::{Disk, FileIdentity};
use redb::{Builder, Database, DatabaseError, ReadOnlyDatabase, StorageBackend};

/// Room is taken by the page.
const PAGE: u64 = 4096;

/// How the disk fares.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DiskFault {
    /// It does what it is told.
    #[default]
    Fair,
    /// Pages that nothing was written to get nothing.
    Full,
    /// It takes no writing.
    ReadOnly,
    /// Each write takes so long.
    Slow(Duration),
    /// Writes stand still until the weather changes.
    Stuck,
}

/// What of the writes that were not yet synced a loss of power takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loss {
    /// Nothing.
    Nothing,
    /// All.
    Everything,
    /// Some of them, and some are torn in the middle; the number draws which.
    Some(u64),
}

/// How a file is emptied behind its reader's back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Emptied {
    /// It is cut to nothing.
    Cut,
    /// It is removed.
    Removed,
}

#[derive(Debug)]
enum Op {
    Write(u64, Vec<u8>),
    Length(u64),
}

#[derive(Debug, Default)]
struct FileState {
    now: Vec<u8>,
    synced: Vec<u8>,
    unsynced: Vec<Op>,
    taken: BTreeSet<u64>,
    /// Someone has it open for writing.
    held: bool,
}

#[derive(Debug, Default)]
struct State {
    names: BTreeMap<PathBuf, u64>,
    files: BTreeMap<u64, FileState>,
    set_fault: DiskFault,
    writes: u64,
    /// The power goes at this write.
    cut_at: Option<u64>,
    dark: bool,
    /// Losses of power so far: what was opened before one is dead.
    lives: u64,
}

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

/// The disk. Its clones are the same disk.
#[derive(Clone, Debug, Default)]
pub struct BreakingDisk(Arc<Shared>);

fn apply(bytes: &mut Vec<u8>, op: &Op) {
    match op {
        Op::Length(length) => bytes.resize(*length as usize, 0),
        Op::Write(at, data) => {
            let (from, to) = (*at as usize, *at as usize + data.len());
            bytes.resize(bytes.len().max(to), 0);
            bytes[from..to].copy_from_slice(data);
        }
    }
}

fn no_power() -> Error {
    Error::other("the power is off")
}

impl BreakingDisk {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes how the disk fares.
    pub fn set_fault(&self, weather: DiskFault) {
        self.lock().set_fault = weather;
        self.0.changed.notify_all();
    }

    /// Writes, cuts and syncs so far.
    pub fn writes(&self) -> u64 {
        self.lock().writes
    }

    /// The power goes at this write from now on; at once if it is 0.
    pub fn cut_after(&self, writes: u64) {
        let mut state = self.lock();
        state.cut_at = Some(state.writes + writes);
        state.dark = writes == 0;
    }

    /// Whether the power is off.
    pub fn is_dark(&self) -> bool {
        self.lock().dark
    }

    /// The power is back. What was opened before stays dead.
    pub fn power_back(&self, loss: Loss) {
        let mut state = self.lock();
        (state.cut_at, state.dark, state.lives) = (None, false, state.lives + 1);
        let mut draw = if let Loss::Some(seed) = loss {
            seed | 1
        } else {
            1
        };
        let mut chance = |parts: u64| {
            draw ^= draw << 13;
            draw ^= draw >> 7;
            draw ^= draw << 17;
            draw % parts
        };
        for file in state.files.values_mut() {
            file.held = false;
            for mut op in std::mem::take(&mut file.unsynced) {
                let kept = match loss {
                    Loss::Nothing => true,
                    Loss::Everything => false,
                    Loss::Some(_) => chance(2) == 0,
                };
                if let (Loss::Some(_), Op::Write(_, data)) = (loss, &mut op)
                    && chance(4) == 0
                {
                    data.truncate(data.len() / 2);
                }
                if kept {
                    apply(&mut file.synced, &op);
                }
            }
            file.now.clone_from(&file.synced);
        }
    }

    /// Empties all files behind their readers' backs.
    pub fn empty(&self, how: Emptied) {
        let mut state = self.lock();
        let State { names, files, .. } = &mut *state;
        for number in names.values() {
            if let (Emptied::Cut, Some(file)) = (how, files.get_mut(number)) {
                let held = file.held;
                *file = FileState {
                    held,
                    ..FileState::default()
                };
            }
        }
        if how == Emptied::Removed {
            names.clear();
        }
    }

    /// Writes a file that is durable at once.
    pub fn place(&self, path: &Path, bytes: Vec<u8>) {
        let mut state = self.lock();
        let number = number_of(&mut state, path);
        let taken = (0..bytes.len() as u64 / PAGE + 1).collect();
        let file = FileState {
            now: bytes.clone(),
            synced: bytes,
            taken,
            ..FileState::default()
        };
        state.files.insert(number, file);
    }

    /// The names there are.
    pub fn names(&self) -> Vec<PathBuf> {
        self.lock().names.keys().cloned().collect()
    }

    fn open(&self, path: &Path, writing: bool) -> Result<Open, DatabaseError> {
        let mut state = self.lock();
        if state.dark {
            return Err(no_power().into());
        }
        let there = state.names.contains_key(path);
        if !there && !writing {
            return Err(Error::from(ErrorKind::NotFound).into());
        }
        if writing && state.set_fault == DiskFault::ReadOnly {
            return Err(Error::from(ErrorKind::ReadOnlyFilesystem).into());
        }
        let number = number_of(&mut state, path);
        let lives = state.lives;
        let file = state.files.entry(number).or_default();
        if file.held {
            return Err(DatabaseError::DatabaseAlreadyOpen);
        }
        file.held = writing;
        Ok(Open {
            disk: self.clone(),
            number,
            lives,
            writing,
        })
    }
}

fn number_of(state: &mut State, path: &Path) -> u64 {
    let next = state.files.keys().next_back().map_or(1, |last| last + 1);
    *state.names.entry(path.to_owned()).or_insert(next)
}

impl Disk for BreakingDisk {
    fn create(&self, builder: &Builder, path: &Path) -> Result<Database, DatabaseError> {
        builder.create_with_backend(self.open(path, true)?)
    }

    fn open_read_only(
        &self,
        builder: &Builder,
        path: &Path,
    ) -> Result<ReadOnlyDatabase, DatabaseError> {
        builder.open_read_only_with_backend(self.open(path, false)?)
    }

    fn read(&self, path: &Path) -> io::Result<Vec<u8>> {
        let state = self.lock();
        if state.dark {
            return Err(no_power());
        }
        let file = state
            .names
            .get(path)
            .and_then(|number| state.files.get(number));
        file.map(|file| file.now.clone())
            .ok_or(ErrorKind::NotFound.into())
    }

    fn identity(&self, path: &Path) -> io::Result<FileIdentity> {
        let state = self.lock();
        let number = state.names.get(path).ok_or(ErrorKind::NotFound)?;
        let length = state
            .files
            .get(number)
            .map_or(0, |file| file.now.len() as u64);
        Ok(FileIdentity {
            device_and_inode: (1, *number),
            length_bytes: length,
        })
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        let mut state = self.lock();
        if state.dark {
            return Err(no_power());
        }
        if state.set_fault == DiskFault::ReadOnly {
            return Err(ErrorKind::ReadOnlyFilesystem.into());
        }
        let number = state.names.remove(from).ok_or(ErrorKind::NotFound)?;
        state.names.insert(to.to_owned(), number);
        Ok(())
    }
}

/// An open file.
#[derive(Debug)]
struct Open {
    disk: BreakingDisk,
    number: u64,
    lives: u64,
    writing: bool,
}

impl Open {
    fn file<T>(&self, run: impl FnOnce(&mut FileState) -> io::Result<T>) -> io::Result<T> {
        let mut state = self.disk.lock();
        if state.dark || state.lives != self.lives {
            return Err(no_power());
        }
        state
            .files
            .get_mut(&self.number)
            .map_or(Err(ErrorKind::NotFound.into()), run)
    }

    /// Waits, fails or goes dark as the weather has it, before something is written to pages.
    fn weather(&self, mut pages: impl Iterator<Item = u64>) -> io::Result<()> {
        let mut state = self.disk.lock();
        while state.set_fault == DiskFault::Stuck {
            state = self
                .disk
                .0
                .changed
                .wait(state)
                .unwrap_or_else(PoisonError::into_inner);
        }
        state.writes += 1;
        state.dark |= state.cut_at.is_some_and(|at| state.writes >= at);
        let weather = state.set_fault;
        let taken = |page| {
            state
                .files
                .get(&self.number)
                .is_some_and(|file| file.taken.contains(&page))
        };
        let full = weather == DiskFault::Full && !pages.all(taken);
        drop(state);
        match weather {
            DiskFault::ReadOnly => Err(ErrorKind::ReadOnlyFilesystem.into()),
            DiskFault::Full if full => Err(ErrorKind::StorageFull.into()),
            DiskFault::Slow(time) => {
                std::thread::sleep(time);
                Ok(())
            }
            _ => Ok(()),
        }
    }

    fn change(&self, op: Op) -> io::Result<()> {
        let mut state = self.disk.lock();
        if state.dark && state.cut_at == Some(state.writes) && state.lives == self.lives {
            // What was being written when the power went may be there, or half of it.
            if let Some(file) = state.files.get_mut(&self.number) {
                file.unsynced.push(op);
            }
            return Err(no_power());
        }
        drop(state);
        self.file(|file| {
            if let Op::Write(at, data) = &op {
                file.taken
                    .extend(at / PAGE..=(at + data.len() as u64).saturating_sub(1) / PAGE);
            }
            apply(&mut file.now, &op);
            file.unsynced.push(op);
            Ok(())
        })
    }
}

impl StorageBackend for Open {
    fn len(&self) -> io::Result<u64> {
        self.file(|file| Ok(file.now.len() as u64))
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        self.file(|file| {
            let part = file.now.get(offset as usize..offset as usize + out.len());
            part.map(|part| out.copy_from_slice(part))
                .ok_or(ErrorKind::UnexpectedEof.into())
        })
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        self.weather(std::iter::empty())?;
        self.change(Op::Length(len))
    }

    fn sync_data(&self) -> io::Result<()> {
        self.weather(std::iter::empty())?;
        self.file(|file| {
            let FileState {
                synced, unsynced, ..
            } = file;
            unsynced.drain(..).for_each(|op| apply(synced, &op));
            Ok(())
        })
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.weather(offset / PAGE..(offset + data.len() as u64).div_ceil(PAGE))?;
        self.change(Op::Write(offset, data.to_vec()))
    }

    fn close(&self) -> io::Result<()> {
        Ok(())
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        let mut state = self.disk.lock();
        if self.writing
            && state.lives == self.lives
            && let Some(file) = state.files.get_mut(&self.number)
        {
            file.held = false;
        }
    }
}
