//! Which processes of a fleet are there, since when, under which configuration and in which site; and the datagrams
//! between them.
//!
//! A [`Node`] has no socket and no clock: it is handed moments and datagrams and answers with datagrams to send,
//! events and the moment at which it wants to be run again. It carries the opaque words of a [`Body`] beside its
//! own. [`driver::spawn`] runs a node on a socket in a thread of its own.
//!
//! Who is there is found out by the SWIM protocol (the library `foca`). Every datagram is sealed with a keyed digest,
//! numbered by its sender and at most [`LARGEST`] bytes long; whatever was not sealed with the fleet's key, or came
//! before, steers nobody.

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

/// A moment on the program's clock, in milliseconds. It never runs backwards.
pub type Millis = u64;
