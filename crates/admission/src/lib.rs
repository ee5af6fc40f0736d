//! Fair admission queues, without I/O, clock or globals.
//!
//! All requests that wait for a connection setup wait in this queue. Permits are divided at three levels: among
//! accounts by share, among the classes of an account by weight, and among the clients of a class over a fixed number
//! of queues. [`Limits`] bound the memory; at the limit, entries are evicted from the longest queue of the account
//! with the most entries for its share.
//!
//! ```
//! use beaconflow_admission::*;
//!
//! let mut queue = AdmissionQueue::new(&[1.0], Limits::default(), 7);
//! let mut evicted = Vec::new();
//! for id in 0..8 {
//!     let (account, share) = if id % 2 == 0 { (10, 3.0) } else { (20, 1.0) };
//!     let entry = Entry { id, account, share, class: 0, flow: id, deadline: 1_000, bytes: 1 };
//!     queue.enqueue(entry, &mut evicted);
//! }
//! assert!(evicted.is_empty());
//! // The first account gets three of four permits while both have entries.
//! let first: Vec<u64> = (0..4).filter_map(|_| queue.admit()).map(|entry| entry.account).collect();
//! assert_eq!(first.iter().filter(|account| **account == 10).count(), 3);
//! ```

#![forbid(unsafe_code)]

mod fair_scheduler;
mod queue;
mod shortest_setup;
mod slab;
mod statistics;

pub use queue::{AdmissionQueue, Entry, Limits, QueueSize};
pub use shortest_setup::ShortestSetup;
pub use statistics::{AccountStatistics, AccountTable, Counts, NotAdmitted, ShareExcess};

/// A point in time on the caller's monotonic clock, or a duration, in nanoseconds.
pub type Nanos = u64;
