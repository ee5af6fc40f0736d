//! Recovery of a balancer process, from its start or its resumption to full service, without I/O,
//! clock or globals.
//!
//! A host reports events to [`Recovery::handle`] and executes the [`Action`]s it returns. Each step
//! has a reason and a timeout, so that a process reaches full service even if no source answers.
//! The host reports [`Event::Tick`] at [`Recovery::next_tick_at`].
//!
//! ```
//! use beaconflow_recovery::*;
//!
//! let config = RecoveryConfig {
//!     name: "b1".into(),
//!     site: "north".into(),
//!     fleet_size: 2,
//!     ..RecoveryConfig::default()
//! };
//! let max_time = config.max_time_to_full_service();
//! let mut recovery = Recovery::new(config, 7)?;
//! let (mut now, mut actions) = (0, Vec::new());
//! let started = Event::Started { incarnation: 1, memory: None };
//! recovery.handle(now, 1_700_000_000_000, started, &mut actions);
//! // No source ever answers; the process still reaches full service within the limit.
//! while let Some(next) = recovery.next_tick_at() {
//!     now = next;
//!     recovery.handle(now, 1_700_000_000_000, Event::Tick, &mut actions);
//!     if recovery.state() == RecoveryState::Serving {
//!         break;
//!     }
//! }
//! assert!(recovery.state() == RecoveryState::Serving && now <= max_time);
//! # Ok::<(), Vec<ConfigError>>(())
//! ```

mod accessors;
mod admission_curve;
mod admission_order;
mod admission_quota;
mod api;
mod clock;
mod config;
mod queries;
mod recovery;
mod scope;
mod server_table;
mod staged_admission;
mod validity;

pub use api::{
    Action, AdmissionRequest, Entry, Event, EvidenceSource, Lifecycle, List, ListSource, Memory,
    OutageScope, PeerStatus, PreviousClients, RecoveryState, RecoveryStep, RememberedKind,
    ServiceMode, Validity,
};
pub use config::{
    AccountShare, ConfigError, RecoveryConfig, RequestClass, Retention, SlowStartRules, Timeouts,
};
pub use recovery::Recovery;

/// A time or a duration on the host's monotonic clock, in nanoseconds.
pub type Nanos = u64;

/// A Unix time or a duration, in milliseconds.
pub type Millis = u64;

/// Nanoseconds per millisecond.
pub(crate) const MS: Nanos = 1_000_000;
/// Nanoseconds per second.
pub(crate) const SECOND: Nanos = 1_000_000_000;
