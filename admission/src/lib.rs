//! Fair queues at the door, without I/O, clock or globals.
//!
//! A request that has to wait for its set-up waits here, and nowhere else. Three levels share the turns: accounts by
//! their shares, an account's classes by their urgency, and a class's clients over a fixed number of queues. Memory is
//! bounded by [`Limits`]; when it is full, the longest queue of the account furthest over its share gives way.
//!
//! ```
//! use beaconflow_admission::*;
//!
//! let accounts = vec![Account { share: 3.0 }, Account { share: 1.0 }];
//! let classes = vec![Class { urgency: 1.0 }];
//! let mut door = Door::new(accounts, classes, Limits { most: 100, ..Limits::default() }, 7);
//! for id in 0..8 {
//!     let who = Entry { id, account: (id % 2) as usize, class: 0, flow: id, give_up_at: 1_000 };
//!     assert_eq!(door.enter(who), Entered::Waits);
//! }
//! // The first account has three of each four turns while both wait.
//! let first: Vec<usize> = (0..4).filter_map(|_| door.admit()).map(|entry| entry.account).collect();
//! assert_eq!(first.iter().filter(|account| **account == 0).count(), 3);
//! ```

#![forbid(unsafe_code)]

mod door;
mod fair;
mod slab;

pub use door::{Account, Class, Door, Entered, Entry, Limits};

/// A moment or a span, in nanoseconds.
pub type Nanos = u64;
