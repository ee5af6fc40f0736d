//! Who a process of the fleet is, and which of two that bear one name counts.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use foca::Identity;

/// The configuration that a process runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Configuration {
    /// Its digest.
    pub digest: [u8; 32],
    /// Its place in the order of configurations: the higher is the newer.
    pub order: u64,
}

/// A process of the fleet, in one of its lives.
///
/// Two are equal when name, boot number, life and renewal are: the rest follows from these four.
#[derive(Clone, Debug)]
pub struct Member {
    /// The process's name, one of its kind in the fleet.
    pub name: Arc<str>,
    /// Where its datagrams come from and go to.
    pub address: SocketAddr,
    /// Grows with each start of the process under this name.
    pub incarnation: u64,
    /// Drawn at random at each start: guards against a boot number that was used before (a disk that was restored,
    /// copied or could not be written).
    pub start_nonce: u64,
    /// How often the process had to announce itself anew since its start: after it was declared down, after a pause,
    /// and whenever its configuration changes.
    pub renewal: u32,
    /// The site that it stands in.
    pub site: Arc<str>,
    /// The configuration that it runs.
    pub configuration: Configuration,
}

impl Member {
    /// Whether both are one life of one process, whatever it announced since.
    pub fn is_same_incarnation(&self, other: &Self) -> bool {
        self.name == other.name && self.incarnation_id() == other.incarnation_id()
    }

    /// What tells a life from the one before: the later counts.
    pub(crate) fn incarnation_id(&self) -> (u64, u64) {
        (self.incarnation, self.start_nonce)
    }

    /// Of two that bear one name the higher counts. The same for all who compare them.
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
