//! Behaviour of an edge site while its uplink is lost: detecting the loss, the decisions that the site
//! takes by itself meanwhile, skipping unhealthy servers, sharing probes among its processes, and
//! rejoining without needless migrations.
//!
//! There is no I/O, clock or global state here. A host passes its observations ([`Evidence`]) and the
//! time to an [`Edge`], and carries out the resulting commands ([`Action`]). The same evidence at the
//! same times gives the same actions.
//!
//! ```
//! use beaconflow_edge::*;
//!
//! let config = Config { site: "moy".into(), name: "n1".into(), ..Config::default() };
//! let (mut edge, mut actions) = (Edge::new(config, 0, Start::Fresh), Vec::new());
//! edge.handle(0, Evidence::WatchAlive, &mut actions);
//! assert_eq!(edge.state(), UplinkState::Linked);
//! // Discovery and the store stop answering, and there is no other remote target.
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

/// Unix time in milliseconds: read from the wall clock when the program starts and advanced by the
/// monotonic clock from then on. Spans are in milliseconds too.
pub type Millis = u64;
