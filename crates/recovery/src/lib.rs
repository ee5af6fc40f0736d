//! From dark to serving: what a balancer's process does between its start, or its waking, and ordinary service, without
//! I/O, clock or globals.
//!
//! A host tells [`Recovery::handle`] what happens and carries out the [`Action`]s it gets back. Each step has its reason
//! and a bound in time, so that every process ends up serving whatever is missing. The host calls again with
//! [`Event::Tick`] at [`Recovery::due`].
//!
//! ```
//! use beaconflow_recovery::*;
//!
//! let config = Config { name: "b1".into(), site: "north".into(), fleet: 2, ..Config::default() };
//! let bound = config.serves_within();
//! let mut recovery = Recovery::new(config, 7)?;
//! let (mut now, mut out) = (0, Vec::new());
//! recovery.handle(now, 1_700_000_000_000, Event::Started { boot: 1, memory: None }, &mut out);
//! // Nobody ever answers: it serves all the same, within the bound.
//! while let Some(due) = recovery.due() {
//!     now = due;
//!     recovery.handle(now, 1_700_000_000_000, Event::Tick, &mut out);
//!     if recovery.state() == State::Serving {
//!         break;
//!     }
//! }
//! assert!(recovery.state() == State::Serving && now <= bound);
//! # Ok::<(), Vec<Fault>>(())
//! ```

#![forbid(unsafe_code)]

mod api;
mod ask;
mod clock;
mod config;
mod curve;
mod farm;
mod machine;
mod order;
mod part;
mod refill;
mod scope;
mod trust;
mod view;

pub use api::{
    Action, Arrival, Entry, Event, Former, How, Kind, Lifecycle, List, Memory, PeerWord, Scope,
    Source, State, Step, Verdict, Whom,
};
pub use config::{Account, Ages, Bounds, Class, Cold, Config, Fault};
pub use machine::Recovery;

/// A moment or a span on the host's own clock, which only goes forward, in nanoseconds.
pub type Nanos = u64;

/// A moment of wall time (Unix), or a span of it, in milliseconds.
pub type Millis = u64;

/// Nanoseconds of a millisecond.
pub(crate) const MS: Nanos = 1_000_000;
/// Nanoseconds of a second.
pub(crate) const SECOND: Nanos = 1_000_000_000;
