//! Configuration of a node, and its validation.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::{Configuration, Millis};

/// Maximum size of a datagram, sent or received, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;
/// Maximum length of a process name, in bytes. One datagram holds up to three names.
pub const MAX_NAME_BYTES: usize = 64;
/// Maximum length of a site name, in bytes.
pub const MAX_SITE_BYTES: usize = 32;

/// Identity of this process, and the addresses that it contacts first.
#[derive(Clone, Debug)]
pub struct Profile {
    /// Name of the process, unique in the fleet.
    pub name: Arc<str>,
    /// Address at which peers reach the process.
    pub address: SocketAddr,
    /// Must be higher than at the previous start. If the fleet knows a higher one,
    /// [`crate::Event::IncarnationRaised`] reports the number to store.
    pub incarnation: u64,
    /// Drawn at random at each start.
    pub seed: u64,
    /// Site of the process.
    pub site: Arc<str>,
    /// Configuration that the process runs at its start.
    pub peer_configuration: Configuration,
    /// Addresses of processes that may be running. The process's own address is ignored.
    pub seeds: Vec<SocketAddr>,
}

/// Why a [`Profile`] is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProfileError {
    /// The name is empty, too long or contains control characters.
    InvalidName,
    /// The site is too long or contains control characters.
    InvalidSite,
    /// The address cannot be a destination: its port is zero or its IP address is unspecified.
    InvalidAddress,
}

impl std::fmt::Display for ProfileError {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::InvalidName => {
                write!(
                    out,
                    "the name must have 1 to {MAX_NAME_BYTES} bytes and no control characters"
                )
            }
            Self::InvalidSite => {
                write!(
                    out,
                    "the site must have at most {MAX_SITE_BYTES} bytes and no control characters"
                )
            }
            Self::InvalidAddress => {
                write!(
                    out,
                    "the address must have a nonzero port and a specific IP address"
                )
            }
        }
    }
}

impl std::error::Error for ProfileError {}

impl Profile {
    /// Validates the profile.
    ///
    /// # Errors
    ///
    /// Returns all errors at once.
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

/// Intervals and limits of a node. All processes of a fleet should use the same values.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Interval at which each member probes one other member.
    pub probe_interval_ms: Millis,
    /// Time without an answer after which other members are asked to probe.
    pub probe_timeout_ms: Millis,
    /// Time that a suspected member has to refute the suspicion before it is declared down.
    pub suspicion_timeout_ms: Millis,
    /// Interval between gossip rounds, with a jitter of a quarter.
    pub gossip_interval_ms: Millis,
    /// Random members that receive gossip in each round.
    pub gossip_fanout: usize,
    /// Interval at which missing state is requested from one random member, with a jitter of a
    /// quarter.
    pub summary_interval_ms: Millis,
    /// Maximum number of pages that answer a summary.
    pub max_pages: usize,
    /// A node that did not run for this long announces a new identity, because its peers may have
    /// declared it down.
    pub pause_threshold_ms: Millis,
    /// Time after which a down member is forgotten.
    pub forget_down_after_ms: Millis,
    /// Maximum rate of payload bytes.
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
