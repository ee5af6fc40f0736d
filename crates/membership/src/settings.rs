//! What a node is told at its start, and the checks on it.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::{Configuration, Millis};

/// The largest datagram that is sent or taken, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;
/// The longest name of a process, in bytes: up to three stand in one datagram.
pub const MAX_NAME_BYTES: usize = 64;
/// The longest name of a site, in bytes.
pub const MAX_SITE_BYTES: usize = 32;

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
pub enum ProfileError {
    /// The name is empty, too long or holds control characters.
    InvalidName,
    /// The site is too long or holds control characters.
    InvalidSite,
    /// The address is one that nobody can send to (no port, or any address).
    InvalidAddress,
}

impl std::fmt::Display for ProfileError {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::InvalidName => {
                write!(
                    out,
                    "the name has to have 1 to {MAX_NAME_BYTES} bytes without control characters"
                )
            }
            Self::InvalidSite => {
                write!(
                    out,
                    "the site has to have {MAX_SITE_BYTES} bytes at most, none a control character"
                )
            }
            Self::InvalidAddress => {
                write!(out, "the address has to be one that the others can send to")
            }
        }
    }
}

impl std::error::Error for ProfileError {}

impl Profile {
    /// Everything that is wrong with it.
    ///
    /// # Errors
    /// All faults at once.
    pub fn check(&self) -> Result<(), Vec<ProfileError>> {
        let mut errors = Vec::new();
        if !is_name(&self.name) {
            errors.push(ProfileError::InvalidName);
        }
        if !is_site(&self.site) {
            errors.push(ProfileError::InvalidSite);
        }
        if !is_reachable(self.address) {
            errors.push(ProfileError::InvalidAddress);
        }
        if errors.is_empty() {
            Ok(())
        } else {
            Err(errors)
        }
    }
}

pub(crate) fn is_name(name: &str) -> bool {
    !name.is_empty() && name.len() <= MAX_NAME_BYTES && !name.chars().any(char::is_control)
}

pub(crate) fn is_site(site: &str) -> bool {
    site.len() <= MAX_SITE_BYTES && !site.chars().any(char::is_control)
}

pub(crate) fn is_reachable(address: SocketAddr) -> bool {
    address.port() != 0 && !address.ip().is_unspecified()
}

/// The times and bounds of a node. The defaults are those that were measured; all processes of a fleet should have
/// the same.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Each member probes one other in this time.
    pub probe_interval_ms: Millis,
    /// After this long without an answer others are asked to probe.
    pub probe_timeout_ms: Millis,
    /// How long a suspect has to speak up before it is declared down.
    pub suspicion_timeout_ms: Millis,
    /// What is new is told in rounds this far apart, a quarter more or less.
    pub gossip_interval_ms: Millis,
    /// To this many members at random in each round.
    pub gossip_fanout: usize,
    /// One random member is asked for what is missing in this time, a quarter more or less.
    pub summary_interval_ms: Millis,
    /// At most this many pages answer a summary.
    pub max_pages: usize,
    /// A node that was not run for this long announces itself anew: the others may have declared it down.
    pub pause_threshold_ms: Millis,
    /// A member that is down is forgotten after this.
    pub forget_down_after_ms: Millis,
    /// Bodies may fill this many bytes a second.
    pub payload_bytes_per_s: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            probe_interval_ms: 500,
            probe_timeout_ms: 200,
            suspicion_timeout_ms: 3_000,
            gossip_interval_ms: 200,
            gossip_fanout: 3,
            summary_interval_ms: 1_000,
            max_pages: 4,
            pause_threshold_ms: 3_500,
            forget_down_after_ms: 24 * 3_600_000,
            payload_bytes_per_s: 64 * 1_024,
        }
    }
}
