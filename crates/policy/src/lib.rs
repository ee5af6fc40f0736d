//! The decisions of a balancer for long-lived connections, without I/O, clock or globals.
//!
//! A host reports events to [`Balancer::handle`] and carries out the [`Action`]s it returns.
//! Connections are placed by weighted rotation; retries follow a capped exponential backoff with
//! full jitter, within one attempt budget. Times are nanoseconds on the host's monotonic clock.
//!
//! ```
//! use beaconflow_policy::*;
//!
//! let settings = Settings {
//!     balancers: 4,
//!     rank: 0,
//!     classes: vec![RequestClass {
//!         deadline: 1_800_000_000,
//!         retry_safety: RetrySafety::Idempotent,
//!         message_latency_objective: 150_000_000,
//!     }],
//!     discovery: DiscoveryMode::Pushed,
//!     has_live_weights: false,
//!     limits: Limits {
//!         max_attempts: 4,
//!         sends_retry_after: true,
//!         max_retry_after: 1_500_000_000,
//!         can_probe: false,
//!         connect_timeout: 200_000_000,
//!     },
//!     rules: ServerRules {
//!         initial_capacity: 0.2,
//!         warm_up_time: 20_000_000_000,
//!         overload_multiple: 3.0,
//!         overload_window: 1_500_000_000,
//!         list_max_age: 0,
//!     },
//! };
//! let mut balancer = Balancer::new(settings, 7)?;
//! let mut actions = Vec::new();
//!
//! // Discovery lists a server, then a client asks for a connection.
//! let entry = ServerEntry {
//!     server: ServerId(0),
//!     name_hash: 0x5eed,
//!     state: ServerState::Ready,
//!     zone: ZoneId(0),
//!     cell: 0,
//!     machine_type: 0,
//!     weight: 1.0,
//!     target_weight: None,
//!     started_at: 0,
//! };
//! let list = Event::ServerList { update: ListUpdate::Snapshot, entries: vec![entry] };
//! balancer.handle(0, list, &mut actions);
//! let request = ConnectRequest {
//!     request: RequestId(1),
//!     deadline_at: 1_801_000_000,
//!     class: ClassId(0),
//!     client_key: Some(ClientKey(42)),
//!     group: None,
//!     is_reconnect: false,
//!     expected_load: None,
//!     pin: None,
//! };
//! balancer.handle(1_000_000, Event::ConnectRequested(request), &mut actions);
//!
//! // The host carries out the actions in order.
//! let mut attempts = 0;
//! for action in actions.drain(..) {
//!     match action {
//!         Action::StartAttempt { server, .. } => {
//!             assert_eq!(server, ServerId(0));
//!             attempts += 1;
//!         }
//!         Action::SetTimer { .. } => { /* report `Event::TimerFired` after that span */ }
//!         Action::Reject { .. } | Action::Fail(_) => { /* answer the client */ }
//!         Action::Enqueue(_) => { /* report `Event::PermitGranted` in turn */ }
//!         Action::Migrate(..) | Action::ProbeServer(_) => {}
//!         Action::WatchServerList | Action::LogOverload(_) => {}
//!     }
//! }
//! assert_eq!(attempts, 1);
//! # Ok::<(), SettingsError>(())
//! ```
//!
//! [`Balancer`] holds the tables: servers, requests, groups, failures and timers, each of which
//! keeps its own invariants. The rules that read them have a module each, named by what they
//! decide.

mod action;
mod attempts;
mod balancer;
mod concurrency_limit;
mod connection_load;
mod discovery_poll;
mod event;
mod failure_counts;
mod fleet_quota;
mod group_table;
mod ids;
mod load;
mod load_limit;
mod outlier_detection;
mod overload;
mod placement;
mod rebalancing;
mod request_table;
mod retry;
mod rotation;
mod server;
mod server_table;
mod settings;
mod setup_latency;
mod slow_start;
mod time;
mod timers;

pub use action::{Action, MigrationReason, OverloadSummary};
pub use balancer::Balancer;
pub use event::{
    AttemptEnd, AttemptOutcome, ConnectRequest, ConnectionMetric, Event, ListUpdate, Pin,
    ProbeAnswer, ServerEntry, ServerState,
};
pub use ids::{ClassId, ClientKey, GroupId, RequestId, ServerId, TimerId, ZoneId};
pub use settings::{
    DedupScope, DiscoveryMode, Limits, RequestClass, RetrySafety, ServerRules, Settings,
    SettingsError, first_attempt_share,
};
pub use time::Nanos;
