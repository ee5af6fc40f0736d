//! Cluster membership: which processes of a fleet are running, in which incarnation, with which
//! configuration and at which site; and the authenticated datagrams between them.
//!
//! A [`Node`] has no socket and no clock. It takes inputs with the present time, and returns
//! datagrams to send, events, and the time at which it must run again. Its datagrams also carry the
//! opaque bytes of a [`Payload`]. [`driver::spawn`] runs a node on a socket in its own thread.
//!
//! Failure detection is SWIM, by the library `foca`. Every datagram carries a keyed digest and its
//! sender's counter and has at most [`MAX_DATAGRAM_BYTES`] bytes. Datagrams that were not sealed
//! with a key of the fleet, and replayed ones, are refused and have no effect on membership.

#![forbid(unsafe_code)]

mod codec;
pub mod driver;
mod event;
mod key;
mod member;
mod node;
mod payload;
mod senders;
mod settings;
#[cfg(feature = "testing")]
pub mod testing;
mod unknown_senders;
mod wire;

pub use event::{Counts, Event};
pub use key::{Key, KeyError, Keys, MIN_KEY_BYTES};
pub use member::{Configuration, Member};
pub use node::{Input, Node, Output};
pub use payload::Payload;
pub use settings::{
    MAX_DATAGRAM_BYTES, MAX_NAME_BYTES, MAX_SITE_BYTES, Profile, ProfileError, Settings,
};
pub use wire::Refusal;

/// A time on the program's monotonic clock, in milliseconds.
pub type Millis = u64;
