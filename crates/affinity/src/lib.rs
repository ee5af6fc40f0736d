//! Which server a client had: a long-lived client that returns after a move, a break or a balancer's death, to whichever
//! process, gets it again for as long as that server stands and is ready, while configurations change.
//!
//! A [`Memory`] holds one [`Placement`] for each client. The host tells it what stood and what ended here, and what
//! peers say ([`Memory::merge`]); it asks [`Memory::place`] for each arrival and makes the [`Advice`] a pin that is not
//! strict. No advice is the rotation's turn. No I/O, no clock, no globals: moments are Unix milliseconds by the host's
//! own clock, and equal calls give equal answers.

#![forbid(unsafe_code)]

mod advice;
mod ages;
mod changes;
mod entry;
mod group_counts;
mod index;
mod limits;
mod memory;
mod names;
mod placement;
mod rebalancing;
mod routing;
mod versions;

pub use advice::{Advice, Client, EndpointView, PlacementValidity, ServerNow, Why};
pub use changes::Changes;
pub use limits::{Bound, Counts, Limits};
pub use memory::Memory;
pub use placement::{How, MergeOutcome, Placement, Refused, Stamp, State};
pub use rebalancing::Rebalancer;
pub use routing::{Class, Fault, Routing, Server, renames};
pub use versions::{Adopted, Version, VersionFact, Versions};

use beaconflow_settings::digest;

/// Milliseconds; a moment is since the start of 1970.
pub type Millis = u64;

/// A client: a hash of what it is, the same at every process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(pub u64);

impl Key {
    /// The key of a NATS client: its account, and its own name there.
    pub fn named(account: &str, name: &str) -> Key {
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
    pub fn of(name: &str) -> Tag {
        Tag(digest(name))
    }
}

/// Spreads what is alike over all 64 bits.
fn mix(word: u64) -> u64 {
    let mut mixed = word.wrapping_add(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
