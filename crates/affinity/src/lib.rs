//! Session affinity: a client that reconnects, at whichever balancer process, gets its previous
//! server again for as long as that server runs and is ready. This covers migrations, lost
//! connections, the death of a balancer and changes of the configuration.
//!
//! A [`PlacementTable`] holds one [`Placement`] per client. The host records the connections that
//! are established and ended here, merges the facts of its peers ([`PlacementTable::merge`]), asks
//! [`PlacementTable::advise`] for each arriving client and turns the [`Advice`] into a pin that is
//! not strict. Without advice the rotation selects the server. The crate has no I/O, clock or
//! global state: times are Unix milliseconds by the host's clock, and equal calls give equal
//! results.

#![forbid(unsafe_code)]

mod advice;
mod ages;
mod changes;
mod entry;
mod group_counts;
mod index;
mod interning;
mod limits;
mod placement;
mod placement_table;
mod rebalancing;
mod routing;
mod versions;

pub use advice::{Advice, AdviceReason, Client, EndpointView, PlacementValidity, ServerStatus};
pub use changes::Changes;
pub use limits::{Bound, Counts, Limits};
pub use placement::{EndReason, MergeOutcome, Placement, PlacementError, PlacementState, Stamp};
pub use placement_table::PlacementTable;
pub use rebalancing::Rebalancer;
pub use routing::{Class, Routing, RoutingError, Server, renames};
pub use versions::{AdoptOutcome, Version, VersionFact, Versions};

use beaconflow_settings::digest;

/// Milliseconds; a point in time is counted from the Unix epoch.
pub type Millis = u64;

/// A client: a hash of its identity, equal at every process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(pub u64);

impl Key {
    /// The key of a NATS client, from its account and its name within the account.
    pub fn for_nats_client(account: &str, name: &str) -> Key {
        // The length separates account and name, so that ("ab", "c") and ("a", "bc") are two
        // clients.
        Key(digest(&format!("{}:{account}{name}", account.len())))
    }
}

/// A group of clients that are preferably placed on one server: a hash, equal at every process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Group(pub u64);

/// An application server: a hash of its name, equal at every process and equal to the name hash in
/// the list of the policy module.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Tag(pub u64);

impl Tag {
    /// The tag of the server with this name.
    pub fn from_name(name: &str) -> Tag {
        Tag(digest(name))
    }
}

/// Mixes the bits so that similar values spread over all 64 bits.
fn mix64(value: u64) -> u64 {
    let mut mixed = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
