//! Which server a client had: a long-lived client that returns after a move, a break or a balancer's death, to whichever
//! process, gets it again for as long as that server stands and is ready, while configurations change.
//!
//! A [`PlacementTable`] holds one [`Placement`] for each client. The host tells it what stood and what ended here, and what
//! peers say ([`PlacementTable::merge`]); it asks [`PlacementTable::advise`] for each arrival and makes the [`Advice`] a pin that is not
//! strict. No advice is the rotation's turn. No I/O, no clock, no globals: moments are Unix milliseconds by the host's
//! own clock, and equal calls give equal answers.

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

/// Milliseconds; a moment is since the start of 1970.
pub type Millis = u64;

/// A client: a hash of what it is, the same at every process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(pub u64);

impl Key {
    /// The key of a NATS client: its account, and its own name there.
    pub fn for_nats_client(account: &str, name: &str) -> Key {
        // The length parts the two. Guards against ("ab", "c") and ("a", "bc") as one client.
        Key(digest(&format!("{}:{account}{name}", account.len())))
    }
}

/// A group: a hash, the same at every process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Group(pub u64);

/// An application server: a hash of its name, the same at every process, as the decision module has it in its list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Tag(pub u64);

impl Tag {
    /// The tag of a server of this name.
    pub fn from_name(name: &str) -> Tag {
        Tag(digest(name))
    }
}

/// Spreads what is alike over all 64 bits.
fn mix64(value: u64) -> u64 {
    let mut mixed = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
