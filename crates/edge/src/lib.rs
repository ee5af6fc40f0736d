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
//! let (mut edge, mut actions) = (Edge::new(config, 0, Start::Fresh), Vec::new());
//! edge.handle(0, Evidence::WatchAlive, &mut actions);
//! assert_eq!(edge.state(), UplinkState::Linked);
//! // Discovery and the store fall silent at once, and nobody else is heard from beyond.
//! for now in (10_000..20_000).step_by(500) {
//!     edge.handle(now, Evidence::WatchLost, &mut actions);
//!     edge.handle(now, Evidence::StoreFailed, &mut actions);
//! }
//! assert_eq!(edge.state(), UplinkState::Isolated);
//! assert!(matches!(edge.permission(20_000, &Decision::ChangeAdmissionLimits), Permission::Denied { .. }));
//! assert_eq!(edge.permission(20_000, &Decision::KeepConnection), Permission::Granted);
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
mod transitions;
mod uplink_view;

pub use config::{Config, ConfigError};
pub use decide::{Decision, Permission};
pub use evidence::{
    Action, Evidence, OperatorMode, Reachability, RejoinStep, RemoteTarget, RequestOutcome,
    UplinkMode, UplinkReport, UplinkState,
};
pub use health_reports::{HealthReport, HealthReports, PreviousFinding, ServerHealth};
pub use merge::{MergedOverrides, OverrideKind, OverrideRecord, merge_overrides};
pub use pace::{MigrationPacer, ProcessCounts, SlowStartQuota};
pub use rejoin::{
    KeptServer, KnownServer, ListOrigin, ListedServer, Migration, MigrationReason, Readiness,
    RejoinPlan, plan_rejoin,
};
pub use server_assessment::{AssessedServer, ServerAssessment, assess_servers};
pub use snapshot::{EdgeSnapshot, TargetSnapshot};
pub use state_machine::{Edge, Start};

/// A moment on the program's clock: Unix time in milliseconds as it was at the program's start, and followed
/// monotonically from then on. Spans are in milliseconds too.
pub type Millis = u64;
