//! What an edge site does while its uplink is lost: whether it is, what the site decides alone meanwhile, which of
//! its servers it passes over, who asks beyond the link, and how it comes back without moving anybody.
//!
//! There is no I/O, clock or global here. A host tells an [`Edge`] what it saw ([`Evidence`]) and at which moment,
//! and does what it is told ([`Action`]). The same evidence at the same moments gives the same actions.
//!
//! ```
//! use beaconflow_edge::*;
//!
//! let config = Config { site: "moy".into(), name: "n1".into(), ..Config::default() };
//! let (mut edge, mut actions) = (Edge::new(config, 0, Start::Anew), Vec::new());
//! edge.handle(0, Evidence::WatchStands, &mut actions);
//! assert_eq!(edge.state(), State::Linked);
//! // Discovery and the store fall silent at once, and nobody else is heard from beyond.
//! for now in (10_000..20_000).step_by(500) {
//!     edge.handle(now, Evidence::WatchLost, &mut actions);
//!     edge.handle(now, Evidence::StoreFailed, &mut actions);
//! }
//! assert_eq!(edge.state(), State::Islanded);
//! assert!(matches!(edge.may(20_000, &Decision::ChangeShare), Permission::Denied { .. }));
//! assert_eq!(edge.may(20_000, &Decision::GoOn), Permission::Granted);
//! ```

#![forbid(unsafe_code)]

mod config;
mod decide;
mod evidence;
mod health_reports;
mod merge;
mod pace;
mod probe;
mod rejoin;
mod server_assessment;
mod snapshot;
mod state_machine;
mod transit;
mod uplink_view;

pub use config::{Config, Fault};
pub use decide::{Decision, Permission};
pub use evidence::{
    Action, Evidence, Force, OperatorMode, Outcome, Place, Reachability, State, Step, UplinkReport,
};
pub use health_reports::{Before, HealthReport, HealthReports, ServerHealth};
pub use merge::{Change, Doing, MergedOverrides, merge_overrides};
pub use pace::{Counts, Pace, SlowStartQuota};
pub use rejoin::{IslandServer, Keep, ListOrigin, Listed, Move, Plan, Ready, Why, plan_rejoin};
pub use server_assessment::{Known, ServerAssessment, standings};
pub use snapshot::{EdgeSnapshot, PlaceSnapshot};
pub use state_machine::{Edge, Start};

/// A moment on the program's clock: Unix time in milliseconds as it was at the program's start, and followed
/// monotonically from then on. Spans are in milliseconds too.
pub type Millis = u64;
