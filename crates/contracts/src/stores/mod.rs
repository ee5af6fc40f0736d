//! What every store of rows must keep to.
//!
//! A store is brought here as a [`Subject`]: how it is opened, how the ground under it breaks, and its [`Properties`]:
//! what it declares of itself where stores differ by design. A declared trait is tested too.

mod cases;
mod file;
pub mod model;
mod remote;

use std::collections::BTreeMap;
use std::fmt;

pub use crate::disk::{ClearMethod, UnsyncedLoss};
pub use file::{FileBackedStore, FileSubject, OpenResult};

/// What a store holds.
pub type Rows = BTreeMap<u64, String>;

/// Why a store did not do what it was asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreError {
    /// It could not: the disk or the server fails it.
    Unavailable(String),
    /// It would not take this row, whatever the weather.
    Rejected(String),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StoreError::Unavailable(reason) => write!(f, "unable: {reason}"),
            StoreError::Rejected(reason) => write!(f, "refused: {reason}"),
        }
    }
}

/// An open store.
pub trait Store {
    /// Takes rows in the place of those with the same keys.
    fn put(&mut self, rows: &Rows) -> Result<(), StoreError>;

    /// Forgets a row.
    fn remove(&mut self, key: u64) -> Result<(), StoreError>;

    /// All rows as they are now. Only stores behind a wire are asked; others give their rows when they are opened.
    fn rows(&mut self) -> Result<Rows, StoreError>;
}

/// When a row is durable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Durability {
    /// When its put returns.
    OnReturn,
    /// When its server has saved it: of the last rows some may be lost, but none comes that was not put.
    ByServer,
}

/// What is done with what a newer program wrote.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NewerSchema {
    /// The store is not opened, and not a byte of it changes.
    Refused,
    /// It is read as far as it is known, and what is not known stays in it through changes.
    Preserved,
}

/// What a store declares of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Properties {
    /// When a row is durable.
    pub durability: Durability,
    /// Whether several rows are put all or none; if not, each row by itself is.
    pub has_atomic_batches: bool,
    /// Whether one at a time has it open; if not, each sees what the others put.
    pub is_exclusive: bool,
    /// What is done with what a newer program wrote.
    pub newer_schema: NewerSchema,
    /// Whether it is a server behind a wire, which has failures of its own.
    pub is_remote: bool,
}

/// How the ground fares.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreFault {
    /// As it should.
    None,
    /// There is no room.
    Full,
    /// Nothing may be written.
    ReadOnly,
    /// Every write takes its time.
    Slow,
    /// The server does what it is asked and says nothing.
    Silent,
    /// It says half of each answer.
    PartialReply,
    /// It hangs up in the middle of one answer, and serves then.
    Reset,
    /// Each answer comes when the next thing is asked.
    DelayedReply,
    /// It reads its data back and refuses everything until it has.
    Loading,
}

/// A store, its ground and what it declares. Each case has one of its own, empty.
pub trait Subject {
    /// What it declares.
    fn properties(&self) -> Properties;

    /// Opens it, as a program that starts: the store, and the rows it found.
    fn open(&self) -> Result<(Box<dyn Store>, Rows), StoreError>;

    /// Changes how the ground fares.
    fn set_fault(&self, fault: StoreFault);

    /// The power goes at this write from now on; at once if it is 0.
    fn cut_power_after(&self, writes: u64);

    /// Whether the power is off.
    fn is_power_off(&self) -> bool;

    /// The power is back. What was opened before is dropped then.
    fn restore_power(&self, loss: UnsyncedLoss);

    /// Empties it behind its reader's back.
    fn clear(&self, method: ClearMethod);

    /// A newer program writes here; nobody has it open.
    fn write_newer_schema(&self);

    /// Whether all that the newer program wrote, and this one does not know, is still there.
    fn is_newer_data_intact(&self) -> bool;
}

/// Makes stores, each new and empty.
pub type SubjectFactory<'a> = &'a dyn Fn() -> Box<dyn Subject>;

/// What is wrong with a store, if anything is.
pub type CaseResult = Result<(), String>;

/// Puts stores through a case.
pub type CaseFn = fn(SubjectFactory<'_>) -> CaseResult;

/// One case of the suite.
pub struct Case {
    /// Its name.
    pub name: &'static str,
    /// Puts stores through it, and says what they did wrong.
    pub run: CaseFn,
}

/// All cases; those of the wire say nothing of a store without one.
pub fn cases() -> Vec<Case> {
    [cases::CASES, remote::CASES]
        .concat()
        .into_iter()
        .map(|(name, run)| Case { name, run })
        .collect()
}

/// Puts a store through all cases.
///
/// # Panics
///
/// If it fails one, with all that it failed.
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
        "the store fails its contract:\n{}",
        failed.join("\n")
    );
}
