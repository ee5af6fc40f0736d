//! Durable state: overrides behind the [`OverrideStore`] trait, and the [`memory`] of a process, each in one file of an
//! embedded database.
//!
//! Overrides are on disk when [`OverrideStore::put`] returns. [`open`] never destroys data that it cannot read: a
//! damaged file is renamed, and a file written by a newer program is left unchanged.

#![forbid(unsafe_code)]

mod database;
pub mod disk;
mod file;
pub mod memory;
mod record;

use std::fmt;
use std::path::PathBuf;

use beaconflow_overrides::{Override, OverrideId};

pub use file::{FileStore, SCHEMA, open, open_on};

/// Stores overrides durably.
pub trait OverrideStore: Send {
    /// Inserts or replaces overrides by id, all or none. They are durable on return.
    fn put(&mut self, overrides: &[Override]) -> Result<(), StoreError>;

    /// Deletes overrides by id, all or none. An unknown id is ignored.
    fn delete(&mut self, ids: &[OverrideId]) -> Result<(), StoreError>;

    /// Id for the next new override. Ids are not reused, even after the override is deleted.
    fn next_id(&self) -> OverrideId;
}

/// A write failed. None of its changes is stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreError(
    /// Message of the operating system or the database.
    pub String,
);

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "write to the override store failed: {}", self.0)
    }
}

impl std::error::Error for StoreError {}

/// A store could not be opened. Its file is unchanged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OpenError {
    /// The file was written by a newer program.
    NewerSchema {
        /// Schema of the file.
        found: u64,
        /// Newest schema that this program reads.
        supported: u64,
    },
    /// Another program has the file open.
    InUse,
    /// The operating system reported an error, or a damaged file could not be renamed.
    System(String),
}

impl fmt::Display for OpenError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            OpenError::NewerSchema { found, supported } => {
                write!(
                    f,
                    "written by a newer program: schema {found}, this program reads up to {supported}"
                )
            }
            OpenError::InUse => f.write_str("another program has the file open"),
            OpenError::System(why) => f.write_str(why),
        }
    }
}

impl std::error::Error for OpenError {}

/// Contents of a store when it was opened.
#[derive(Debug, Default, PartialEq)]
pub struct Contents {
    /// All overrides that could be decoded.
    pub overrides: Vec<Override>,
    /// Ids of records that could not be decoded. They stay in the file.
    pub unreadable_ids: Vec<u64>,
    /// New path of a damaged file and the reason, if the store was started empty because of it.
    pub moved_aside: Option<(PathBuf, String)>,
}
