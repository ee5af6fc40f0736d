//! Conformance suite for stores of rows.
//!
//! A store under test implements [`Subject`]: how it is opened, how faults are injected into its disk or server, and
//! its [`Properties`], which declare where stores differ by design. Declared properties are tested too.

mod cases;
mod file;
pub mod model;
mod remote;

use std::collections::BTreeMap;
use std::fmt;

pub use crate::disk::{ClearMethod, UnsyncedLoss};
pub use file::{FileBackedStore, FileSubject, OpenResult};

/// Contents of a store: values by key.
pub type Rows = BTreeMap<u64, String>;

/// Why a store operation failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreError {
    /// The disk or the server failed; the operation may succeed later.
    Unavailable(String),
    /// The store rejects the operation regardless of faults.
    Rejected(String),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StoreError::Unavailable(reason) => write!(f, "store unavailable: {reason}"),
            StoreError::Rejected(reason) => write!(f, "operation rejected: {reason}"),
        }
    }
}

/// An open store.
pub trait Store {
    /// Inserts rows and replaces those with the same keys.
    fn put(&mut self, rows: &Rows) -> Result<(), StoreError>;

    /// Deletes the row with this key.
    fn remove(&mut self, key: u64) -> Result<(), StoreError>;

    /// All current rows. Called only on remote stores; others return their rows when they are opened.
    fn rows(&mut self) -> Result<Rows, StoreError>;
}

/// The time from which a row is durable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Durability {
    /// Rows are durable when `put` returns.
    OnReturn,
    /// Rows are durable once the server has saved them. The latest rows may be lost, but none appears that was not put.
    ByServer,
}

/// How a store handles data that a newer version of the program wrote.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NewerSchema {
    /// The store refuses to open and leaves every byte unchanged.
    Refused,
    /// The store reads the fields it knows, and preserves unknown fields when it changes a row.
    Preserved,
}

/// Properties that a store declares and the suite verifies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Properties {
    /// The time from which a row is durable.
    pub durability: Durability,
    /// Whether a put of several rows is atomic; otherwise only each single row is.
    pub has_atomic_batches: bool,
    /// Whether only one handle can be open at a time; otherwise each handle sees the rows that others put.
    pub is_exclusive: bool,
    /// How data of a newer version of the program is handled.
    pub newer_schema: NewerSchema,
    /// Whether the store is a server on the network, which has additional failure modes.
    pub is_remote: bool,
}

/// The fault that is injected into the disk or the server of a store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreFault {
    /// No fault.
    None,
    /// The disk or the memory of the server is full.
    Full,
    /// Writes are refused.
    ReadOnly,
    /// Every write is delayed.
    Slow,
    /// The server executes commands and sends no replies.
    Silent,
    /// The server sends only the first half of each reply.
    PartialReply,
    /// The server closes the connection in the middle of one reply, then works normally.
    Reset,
    /// The server sends each reply only when the next command arrives.
    DelayedReply,
    /// The server is loading its data and refuses all commands meanwhile.
    Loading,
}

/// A store under test, with its faults and declared properties. Each case uses an empty one of its own.
pub trait Subject {
    /// Properties that the store declares.
    fn properties(&self) -> Properties;

    /// Opens the store as at program start, and returns it with the rows it contains.
    fn open(&self) -> Result<(Box<dyn Store>, Rows), StoreError>;

    /// Sets the current fault of the disk or the server.
    fn set_fault(&self, fault: StoreFault);

    /// Turns the power off at the given write, counted from now; immediately if `writes` is 0.
    fn cut_power_after(&self, writes: u64);

    /// Whether the power is off.
    fn is_power_off(&self) -> bool;

    /// Turns the power on again, after all handles that were opened before have been dropped.
    fn restore_power(&self, loss: UnsyncedLoss);

    /// Deletes all data while the store may be open.
    fn clear(&self, method: ClearMethod);

    /// Writes data as a newer version of the program would; the store is not open meanwhile.
    fn write_newer_schema(&self);

    /// Whether everything that the newer version wrote and this one does not know is still stored.
    fn is_newer_data_intact(&self) -> bool;
}

/// Creates a new, empty store for each call.
pub type SubjectFactory<'a> = &'a dyn Fn() -> Box<dyn Subject>;

/// Result of a case; the error describes how the store violates the contract.
pub type CaseResult = Result<(), String>;

/// Runs a case against new stores.
pub type CaseFn = fn(SubjectFactory<'_>) -> CaseResult;

/// One case of the suite.
pub struct Case {
    /// Name of the case in failure reports.
    pub name: &'static str,
    /// Runs the case and reports the first violation.
    pub run: CaseFn,
}

/// All cases. Cases for remote stores pass without checks when a store is not remote.
pub fn cases() -> Vec<Case> {
    [cases::CASES, remote::CASES]
        .concat()
        .into_iter()
        .map(|(name, run)| Case { name, run })
        .collect()
}

/// Runs all cases against a store.
///
/// # Panics
///
/// If any case fails; the message lists all failed cases.
pub fn assert_conforms<S: Subject + 'static>(make_subject: impl Fn() -> S) {
    let make_subject = || Box::new(make_subject()) as Box<dyn Subject>;
    let failures = cases()
        .into_iter()
        .filter_map(|case| Some((case.name, (case.run)(&make_subject).err()?)));
    let failed: Vec<String> = failures
        .map(|(name, reason)| format!("{name}: {reason}"))
        .collect();
    assert!(
        failed.is_empty(),
        "the store violates its contract:\n{}",
        failed.join("\n")
    );
}
