//! A disk in memory that loses power, fills up, refuses writing or stands still.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, Error, ErrorKind};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use beaconflow_store::disk::{Disk, FileIdentity};
use redb::{Builder, Database, DatabaseError, ReadOnlyDatabase, StorageBackend};

/// Room is taken by the page.
const PAGE_BYTES: u64 = 4096;

/// How the disk fares.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DiskFault {
    /// It does what it is told.
    #[default]
    None,
    /// Pages that nothing was written to get nothing.
    Full,
    /// It takes no writing.
    ReadOnly,
    /// Each write takes so long.
    Slow(Duration),
    /// Writes stand still until the weather changes.
    Stalled,
}

/// What of the writes that were not yet synced a loss of power takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnsyncedLoss {
    /// Nothing.
    None,
    /// All.
    All,
    /// Some of them, and some are torn in the middle; the number draws which.
    Partial(u64),
}

/// How a file is emptied behind its reader's back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClearMethod {
    /// It is cut to nothing.
    Truncate,
    /// It is removed.
    Remove,
}

#[derive(Debug)]
enum WriteOp {
    Write(u64, Vec<u8>),
    SetLength(u64),
}

#[derive(Debug, Default)]
struct FileState {
    current: Vec<u8>,
    synced: Vec<u8>,
    unsynced_ops: Vec<WriteOp>,
    allocated_pages: BTreeSet<u64>,
    /// Someone has it open for writing.
    is_open_for_writing: bool,
}

#[derive(Debug, Default)]
struct State {
    numbers_by_path: BTreeMap<PathBuf, u64>,
    files: BTreeMap<u64, FileState>,
    fault: DiskFault,
    write_count: u64,
    /// The power goes at this write.
    power_off_at_write: Option<u64>,
    is_power_off: bool,
    /// Losses of power so far: what was opened before one is dead.
    power_losses: u64,
}

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

/// The disk. Its clones are the same disk.
#[derive(Clone, Debug, Default)]
pub struct FaultyDisk(Arc<Shared>);

fn apply(bytes: &mut Vec<u8>, op: &WriteOp) {
    match op {
        WriteOp::SetLength(length) => bytes.resize(*length as usize, 0),
        WriteOp::Write(at, data) => {
            let (from, to) = (*at as usize, *at as usize + data.len());
            bytes.resize(bytes.len().max(to), 0);
            bytes[from..to].copy_from_slice(data);
        }
    }
}

fn power_off_error() -> Error {
    Error::other("the power is off")
}

impl FaultyDisk {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes how the disk fares.
    pub fn set_fault(&self, fault: DiskFault) {
        self.lock().fault = fault;
        self.0.changed.notify_all();
    }

    /// Writes, cuts and syncs so far.
    pub fn write_count(&self) -> u64 {
        self.lock().write_count
    }

    /// The power goes at this write from now on; at once if it is 0.
    pub fn cut_power_after(&self, writes: u64) {
        let mut state = self.lock();
        state.power_off_at_write = Some(state.write_count + writes);
        state.is_power_off = writes == 0;
    }

    /// Whether the power is off.
    pub fn is_power_off(&self) -> bool {
        self.lock().is_power_off
    }

    /// The power is back. What was opened before stays dead.
    pub fn restore_power(&self, loss: UnsyncedLoss) {
        let mut state = self.lock();
        (
            state.power_off_at_write,
            state.is_power_off,
            state.power_losses,
        ) = (None, false, state.power_losses + 1);
        let mut random = if let UnsyncedLoss::Partial(seed) = loss {
            seed | 1
        } else {
            1
        };
        let mut random_below = |parts: u64| {
            random ^= random << 13;
            random ^= random >> 7;
            random ^= random << 17;
            random % parts
        };
        for file in state.files.values_mut() {
            file.is_open_for_writing = false;
            for mut op in std::mem::take(&mut file.unsynced_ops) {
                let is_kept = match loss {
                    UnsyncedLoss::None => true,
                    UnsyncedLoss::All => false,
                    UnsyncedLoss::Partial(_) => random_below(2) == 0,
                };
                if let (UnsyncedLoss::Partial(_), WriteOp::Write(_, data)) = (loss, &mut op)
                    && random_below(4) == 0
                {
                    data.truncate(data.len() / 2);
                }
                if is_kept {
                    apply(&mut file.synced, &op);
                }
            }
            file.current.clone_from(&file.synced);
        }
    }

    /// Empties all files behind their readers' backs.
    pub fn clear_files(&self, method: ClearMethod) {
        let mut state = self.lock();
        let State {
            numbers_by_path,
            files,
            ..
        } = &mut *state;
        for number in numbers_by_path.values() {
            if let (ClearMethod::Truncate, Some(file)) = (method, files.get_mut(number)) {
                let is_open_for_writing = file.is_open_for_writing;
                *file = FileState {
                    is_open_for_writing,
                    ..FileState::default()
                };
            }
        }
        if method == ClearMethod::Remove {
            numbers_by_path.clear();
        }
    }

    /// Writes a file that is durable at once.
    pub fn write_synced(&self, path: &Path, bytes: Vec<u8>) {
        let mut state = self.lock();
        let number = file_number(&mut state, path);
        let allocated_pages = (0..bytes.len() as u64 / PAGE_BYTES + 1).collect();
        let file = FileState {
            current: bytes.clone(),
            synced: bytes,
            allocated_pages,
            ..FileState::default()
        };
        state.files.insert(number, file);
    }

    /// The paths there are.
    pub fn paths(&self) -> Vec<PathBuf> {
        self.lock().numbers_by_path.keys().cloned().collect()
    }

    fn open(&self, path: &Path, writable: bool) -> Result<OpenFile, DatabaseError> {
        let mut state = self.lock();
        if state.is_power_off {
            return Err(power_off_error().into());
        }
        let exists = state.numbers_by_path.contains_key(path);
        if !exists && !writable {
            return Err(Error::from(ErrorKind::NotFound).into());
        }
        if writable && state.fault == DiskFault::ReadOnly {
            return Err(Error::from(ErrorKind::ReadOnlyFilesystem).into());
        }
        let number = file_number(&mut state, path);
        let power_losses = state.power_losses;
        let file = state.files.entry(number).or_default();
        if file.is_open_for_writing {
            return Err(DatabaseError::DatabaseAlreadyOpen);
        }
        file.is_open_for_writing = writable;
        Ok(OpenFile {
            disk: self.clone(),
            number,
            power_losses,
            writable,
        })
    }
}

fn file_number(state: &mut State, path: &Path) -> u64 {
    let next = state.files.keys().next_back().map_or(1, |last| last + 1);
    *state.numbers_by_path.entry(path.to_owned()).or_insert(next)
}

impl Disk for FaultyDisk {
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
        if state.is_power_off {
            return Err(power_off_error());
        }
        let file = state
            .numbers_by_path
            .get(path)
            .and_then(|number| state.files.get(number));
        file.map(|file| file.current.clone())
            .ok_or(ErrorKind::NotFound.into())
    }

    fn identity(&self, path: &Path) -> io::Result<FileIdentity> {
        let state = self.lock();
        let number = state.numbers_by_path.get(path).ok_or(ErrorKind::NotFound)?;
        let length = state
            .files
            .get(number)
            .map_or(0, |file| file.current.len() as u64);
        Ok(FileIdentity {
            device_and_inode: (1, *number),
            length_bytes: length,
        })
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        let mut state = self.lock();
        if state.is_power_off {
            return Err(power_off_error());
        }
        if state.fault == DiskFault::ReadOnly {
            return Err(ErrorKind::ReadOnlyFilesystem.into());
        }
        let number = state
            .numbers_by_path
            .remove(from)
            .ok_or(ErrorKind::NotFound)?;
        state.numbers_by_path.insert(to.to_owned(), number);
        Ok(())
    }
}

/// An open file.
#[derive(Debug)]
struct OpenFile {
    disk: FaultyDisk,
    number: u64,
    power_losses: u64,
    writable: bool,
}

impl OpenFile {
    fn file<T>(&self, run: impl FnOnce(&mut FileState) -> io::Result<T>) -> io::Result<T> {
        let mut state = self.disk.lock();
        if state.is_power_off || state.power_losses != self.power_losses {
            return Err(power_off_error());
        }
        state
            .files
            .get_mut(&self.number)
            .map_or(Err(ErrorKind::NotFound.into()), run)
    }

    /// Waits, fails or goes dark as the weather has it, before something is written to pages.
    fn prepare_write(&self, mut pages: impl Iterator<Item = u64>) -> io::Result<()> {
        let mut state = self.disk.lock();
        while state.fault == DiskFault::Stalled {
            state = self
                .disk
                .0
                .changed
                .wait(state)
                .unwrap_or_else(PoisonError::into_inner);
        }
        state.write_count += 1;
        state.is_power_off |= state
            .power_off_at_write
            .is_some_and(|at| state.write_count >= at);
        let fault = state.fault;
        let is_allocated = |page| {
            state
                .files
                .get(&self.number)
                .is_some_and(|file| file.allocated_pages.contains(&page))
        };
        let is_full = fault == DiskFault::Full && !pages.all(is_allocated);
        drop(state);
        match fault {
            DiskFault::ReadOnly => Err(ErrorKind::ReadOnlyFilesystem.into()),
            DiskFault::Full if is_full => Err(ErrorKind::StorageFull.into()),
            DiskFault::Slow(delay) => {
                std::thread::sleep(delay);
                Ok(())
            }
            _ => Ok(()),
        }
    }

    fn change(&self, op: WriteOp) -> io::Result<()> {
        let mut state = self.disk.lock();
        if state.is_power_off
            && state.power_off_at_write == Some(state.write_count)
            && state.power_losses == self.power_losses
        {
            // What was being written when the power went may be there, or half of it.
            if let Some(file) = state.files.get_mut(&self.number) {
                file.unsynced_ops.push(op);
            }
            return Err(power_off_error());
        }
        drop(state);
        self.file(|file| {
            if let WriteOp::Write(at, data) = &op {
                file.allocated_pages.extend(
                    at / PAGE_BYTES..=(at + data.len() as u64).saturating_sub(1) / PAGE_BYTES,
                );
            }
            apply(&mut file.current, &op);
            file.unsynced_ops.push(op);
            Ok(())
        })
    }
}

impl StorageBackend for OpenFile {
    fn len(&self) -> io::Result<u64> {
        self.file(|file| Ok(file.current.len() as u64))
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        self.file(|file| {
            let part = file
                .current
                .get(offset as usize..offset as usize + out.len());
            part.map(|part| out.copy_from_slice(part))
                .ok_or(ErrorKind::UnexpectedEof.into())
        })
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        self.prepare_write(std::iter::empty())?;
        self.change(WriteOp::SetLength(len))
    }

    fn sync_data(&self) -> io::Result<()> {
        self.prepare_write(std::iter::empty())?;
        self.file(|file| {
            let FileState {
                synced,
                unsynced_ops,
                ..
            } = file;
            unsynced_ops.drain(..).for_each(|op| apply(synced, &op));
            Ok(())
        })
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.prepare_write(offset / PAGE_BYTES..(offset + data.len() as u64).div_ceil(PAGE_BYTES))?;
        self.change(WriteOp::Write(offset, data.to_vec()))
    }

    fn close(&self) -> io::Result<()> {
        Ok(())
    }
}

impl Drop for OpenFile {
    fn drop(&mut self) {
        let mut state = self.disk.lock();
        if self.writable
            && state.power_losses == self.power_losses
            && let Some(file) = state.files.get_mut(&self.number)
        {
            file.is_open_for_writing = false;
        }
    }
}
