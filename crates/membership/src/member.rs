//! Identity of a process of the fleet, and the order that decides name conflicts.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use foca::Identity;

/// The configuration that a process runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Configuration {
    /// Digest of the configuration's content.
    pub digest: [u8; 32],
    /// Serial number of the configuration; a higher one is newer.
    pub order: u64,
}

/// A process of the fleet, in one incarnation.
///
/// Members are equal if name, incarnation, start nonce and renewal are equal; these four determine
/// the other fields.
#[derive(Clone, Debug)]
pub struct Member {
    /// Name of the process, unique in the fleet.
    pub name: Arc<str>,
    /// Address that the process sends from and receives at.
    pub address: SocketAddr,
    /// Incremented with each start of the process under this name. Log messages call it the boot.
    pub incarnation: u64,
    /// Drawn at random at each start. Distinguishes two starts with the same incarnation, which
    /// happen if a disk was restored, copied or not writable.
    pub start_nonce: u64,
    /// Number of identities announced since the start: after the process was declared down, after a
    /// pause, and with each configuration change.
    pub renewal: u32,
    /// Site of the process.
    pub site: Arc<str>,
    /// Configuration that the process runs.
    pub configuration: Configuration,
}

impl Member {
    /// Whether both are the same process start, regardless of renewals.
    pub fn is_same_incarnation(&self, other: &Self) -> bool {
        self.name == other.name && self.incarnation_id() == other.incarnation_id()
    }

    /// Identifies a process start; of two under one name, the greater is later.
    pub(crate) fn incarnation_id(&self) -> (u64, u64) {
        (self.incarnation, self.start_nonce)
    }

    /// Order of identities with the same name; the highest wins. All processes compare it alike.
    pub(crate) fn rank(&self) -> (u64, u64, u32) {
        (self.incarnation, self.start_nonce, self.renewal)
    }

    pub(crate) fn renewed(&self) -> Self {
        Self {
            renewal: self.renewal.saturating_add(1),
            ..self.clone()
        }
    }
}

impl PartialEq for Member {
    fn eq(&self, other: &Self) -> bool {
        self.rank() == other.rank() && self.name == other.name
    }
}

impl Eq for Member {}

impl fmt::Display for Member {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            out,
            "{} at {} (boot {})",
            self.name, self.address, self.incarnation
        )
    }
}

impl Identity for Member {
    type Addr = Arc<str>;

    fn renew(&self) -> Option<Self> {
        Some(self.renewed())
    }

    fn addr(&self) -> Arc<str> {
        self.name.clone()
    }

    fn win_addr_conflict(&self, adversary: &Self) -> bool {
        self.rank() >= adversary.rank()
    }
}
