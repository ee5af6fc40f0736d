//! What a node is told at its start, and the checks on it.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::{Configuration, Millis};

/// The largest datagram that is sent or taken, in bytes.
pub const LARGEST: usize = 1_200;
/// The longest name of a process, in bytes: up to three stand in one datagram.
pub const LONGEST_NAME: usize = 64;
/// The longest name of a site, in bytes.
pub const LONGEST_SITE: usize = 32;

/// Who this process is, and whom it asks first.
#[derive(Clone, Debug)]
pub struct Profile {
    /// Its name, one of its kind in the fleet.
    pub name: Arc<str>,
    /// The address that the others reach it at.
    pub address: SocketAddr,
    /// Has to be higher than at the start before. When the fleet knows a higher one, [`crate::Event::BootRaised`]
    /// tells which to keep.
    pub incarnation: u64,
    /// Drawn at random at each start.
    pub seed: u64,
    /// The site that it stands in.
    pub site: Arc<str>,
    /// The configuration that it runs.
    pub peer_configuration: Configuration,
    /// Addresses of processes that may be there; its own among them is passed over.
    pub seeds: Vec<SocketAddr>,
}

/// What is wrong with a [`Profile`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProfileFault {
    /// The name is empty, too long or holds control characters.
    Name,
    /// The site is too long or holds control characters.
    Site,
    /// The address is one that nobody can send to (no port, or any address).
    Address,
}

impl std::fmt::Display for ProfileFault {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Name => {
                write!(
                    out,
                    "the name has to have 1 to {LONGEST_NAME} bytes without control characters"
                )
            }
            Self::Site => {
                write!(
                    out,
                    "the site has to have {LONGEST_SITE} bytes at most, none a control character"
                )
            }
            Self::Address => write!(out, "the address has to be one that the others can send to"),
        }
    }
}

impl std::error::Error for ProfileFault {}

impl Profile {
    /// Everything that is wrong with it.
    ///
    /// # Errors
    /// All faults at once.
    pub fn check(&self) -> Result<(), Vec<ProfileFault>> {
        let mut faults = Vec::new();
        if !is_name(&self.name) {
            faults.push(ProfileFault::Name);
        }
        if !is_site(&self.site) {
            faults.push(ProfileFault::Site);
        }
        if !is_reachable(self.address) {
            faults.push(ProfileFault::Address);
        }
        if faults.is_empty() {
            Ok(())
        } else {
            Err(faults)
        }
    }
}

pub(crate) fn is_name(name: &str) -> bool {
    !name.is_empty() && name.len() <= LONGEST_NAME && !name.chars().any(char::is_control)
}

pub(crate) fn is_site(site: &str) -> bool {
    site.len() <= LONGEST_SITE && !site.chars().any(char::is_control)
}

pub(crate) fn is_reachable(address: SocketAddr) -> bool {
    address.port() != 0 && !address.ip().is_unspecified()
}

/// The times and bounds of a node. The defaults are those that were measured; all processes of a fleet should have
/// the same.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Each member probes one other in this time.
    pub probe: Millis,
    /// After this long without an answer others are asked to probe.
    pub answer: Millis,
    /// How long a suspect has to speak up before it is declared down.
    pub suspect: Millis,
    /// What is new is told in rounds this far apart, a quarter more or less.
    pub round: Millis,
    /// To this many members at random in each round.
    pub gossip_fanout: usize,
    /// One random member is asked for what is missing in this time, a quarter more or less.
    pub summary: Millis,
    /// At most this many pages answer a summary.
    pub pages: usize,
    /// A node that was not run for this long announces itself anew: the others may have declared it down.
    pub pause: Millis,
    /// A member that is down is forgotten after this.
    pub forget: Millis,
    /// Bodies may fill this many bytes a second.
    pub bytes_per_s: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            probe: 500,
            answer: 200,
            suspect: 3_000,
            round: 200,
            gossip_fanout: 3,
            summary: 1_000,
            pages: 4,
            pause: 3_500,
            forget: 24 * 3_600_000,
            bytes_per_s: 64 * 1_024,
        }
    }
}
