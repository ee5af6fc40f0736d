//! Where what the program knows outlives it: overrides behind a trait, and the process's [`memory`], each in a file
//! of an embedded database.
//!
//! What [`OverrideStore::put`] has taken is on the disk when it returns. [`open`] never destroys what it can't read:
//! a damaged file is kept aside under another name, and one of a newer program is left as it is.

#![forbid(unsafe_code)]

mod database;
pub mod disk;
mod file;
pub mod memory;
mod record;

use std::fmt;
use std::path::PathBuf;

use beaconflow_overrides::{Id, Override};

pub use file::{FileStore, SCHEMA, open, open_on};

/// Keeps overrides.
pub trait OverrideStore: Send {
    /// Takes overrides, or what they have become, all or none. They are durable when this returns.
    fn put(&mut self, all: &[Override]) -> Result<(), StoreError>;

    /// Forgets overrides.
    fn delete(&mut self, ids: &[Id]) -> Result<(), StoreError>;

    /// The number that the next new override gets; a number is never given twice, also after what had it was
    /// forgotten.
    fn next_id(&self) -> Id;
}

/// Why a store did not take what it was given. Nothing of it is kept then.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreError(
    /// In the system's words.
    pub String,
);

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the store of overrides failed: {}", self.0)
    }
}

impl std::error::Error for StoreError {}

/// Why a store can't be had. Its file stays as it is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OpenError {
    /// A newer program wrote it.
    NewerSchema {
        /// Its schema.
        found: u64,
        /// The newest that this program reads.
        supported: u64,
    },
    /// Another program has it open.
    InUse,
    /// The system refuses it, or what is damaged could not be kept aside.
    System(String),
}

impl fmt::Display for OpenError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            OpenError::NewerSchema { found, supported } => {
                write!(
                    f,
                    "written by a newer program: schema {found}, this one reads up to {supported}"
                )
            }
            OpenError::InUse => f.write_str("another program has it open"),
            OpenError::System(why) => f.write_str(why),
        }
    }
}

impl std::error::Error for OpenError {}

/// What an opened store held.
#[derive(Debug, Default, PartialEq)]
pub struct Contents {
    /// The overrides that could be read.
    pub overrides: Vec<Override>,
    /// Numbers of records that could not be read. They stay in the file.
    pub unreadable_ids: Vec<u64>,
    /// The file was damaged, and is kept under this name; the store begins empty.
    pub moved_aside: Option<(PathBuf, String)>,
}
