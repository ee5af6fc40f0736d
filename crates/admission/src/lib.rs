//! Fair admission queues, without I/O, clock or globals.
//!
//! A request that has to wait for its set-up waits here, and nowhere else. Three levels share the permits: accounts by
//! their shares, an account's classes by their urgency, and a class's clients over a fixed number of queues. Memory is
//! bounded by [`Limits`]; when it is full, the longest queue of the account furthest over its share gives way.
//!
//! ```
//! use beaconflow_admission::*;
//!
//! let mut queue = AdmissionQueue::new(&[1.0], Limits::default(), 7);
//! let mut shed = Vec::new();
//! for id in 0..8 {
//!     let (account, share) = if id % 2 == 0 { (10, 3.0) } else { (20, 1.0) };
//!     let entry = Entry { id, account, share, class: 0, flow: id, deadline: 1_000, is_returning: false, bytes: 1 };
//!     queue.enqueue(entry, &mut shed);
//! }
//! assert!(shed.is_empty());
//! // The first account has three of each four turns while both wait.
//! let first: Vec<u64> = (0..4).filter_map(|_| queue.admit()).map(|entry| entry.account).collect();
//! assert_eq!(first.iter().filter(|account| **account == 10).count(), 3);
//! ```

#![forbid(unsafe_code)]

mod fair_scheduler;
mod queue;
mod rejected_clients;
mod shortest_setup;
mod slab;
mod statistics;

pub use queue::{AdmissionQueue, Entry, Limits, QueueSize};
pub use rejected_clients::RejectedClients;
pub use shortest_setup::ShortestSetup;
pub use statistics::{AccountStatistics, AccountTable, Counts, NotAdmitted, QuotaExcess};

/// A time or a span, in nanoseconds.
pub type Nanos = u64;
