//! An in-memory disk that can lose power, fill up, become read-only, slow down or stall.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, Error, ErrorKind};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use beaconflow_store::disk::{Disk, FileIdentity};
use redb::{Builder, Database, DatabaseError, ReadOnlyDatabase, StorageBackend};

/// The disk allocates space in pages of this size.
const PAGE_BYTES: u64 = 4096;

/// The fault that is injected into the disk.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DiskFault {
    /// The disk works normally.
    #[default]
    None,
    /// Writes to pages that are not allocated yet fail; allocated pages can be rewritten.
    Full,
    /// Writes, length changes, syncs, renames and opening for writing fail.
    ReadOnly,
    /// Each write, length change or sync is delayed by this time.
    Slow(Duration),
    /// Writes, length changes and syncs block until another fault is set.
    Stalled,
}

/// Which of the writes that were not synced a power loss discards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnsyncedLoss {
    /// All writes survive.
    None,
    /// No write survives.
    All,
    /// Some writes are discarded and some are torn in the middle, chosen by this random seed.
    Partial(u64),
}

/// How files are cleared while a store has them open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClearMethod {
    /// Files are truncated to length zero.
    Truncate,
    /// Files are unlinked; open handles keep the old contents.
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
    /// Whether a handle for writing exists; a file that has one cannot be opened again.
    is_open_for_writing: bool,
}

#[derive(Debug, Default)]
struct State {
    numbers_by_path: BTreeMap<PathBuf, u64>,
    files: BTreeMap<u64, FileState>,
    fault: DiskFault,
    write_count: u64,
    /// The write at which the power goes off, counted as in `write_count`.
    power_off_at_write: Option<u64>,
    is_power_off: bool,
    /// Power losses so far; a handle that was opened before the last one is unusable.
    power_losses: u64,
}

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

/// A disk with injectable faults. Clones share the same files and faults.
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

    /// Sets the current fault and wakes stalled writes.
    pub fn set_fault(&self, fault: DiskFault) {
        self.lock().fault = fault;
        self.0.changed.notify_all();
    }

    /// Number of writes, length changes and syncs so far.
    pub fn write_count(&self) -> u64 {
        self.lock().write_count
    }

    /// Turns the power off at the given write, counted from now; immediately if `writes` is 0.
    pub fn cut_power_after(&self, writes: u64) {
        let mut state = self.lock();
        state.power_off_at_write = Some(state.write_count + writes);
        state.is_power_off = writes == 0;
    }

    /// Whether the power is off.
    pub fn is_power_off(&self) -> bool {
        self.lock().is_power_off
    }

    /// Turns the power on again. Files that were opened before stay unusable and have to be reopened.
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

    /// Clears all files while stores may have them open.
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

    /// Creates or replaces a file whose contents are durable immediately.
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

    /// Paths of all files on the disk.
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

/// A handle of an open file.
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

    /// Counts a write to these pages, and blocks, fails or turns the power off as the fault requires.
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
            // The write during which the power went off may be kept, torn or lost.
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
