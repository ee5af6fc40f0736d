//! Decisions of a balancer for long-lived connections, without I/O, clock or globals.
//!
//! A gateway feeds [`Balancer::handle`] what happens and carries out the [`api::Action`]s it
//! gets back. Connections are placed by weighted turns; every repeated placement and every
//! retry-after is paced by a capped exponential delay with full jitter.
//!
//! ```
//! use beaconflow_policy::Balancer;
//! use beaconflow_policy::api::*;
//!
//! let settings = Settings {
//!     gateways: 4,
//!     rank: 0,
//!     zone: ZoneId(0),
//!     classes: vec![Class {
//!         aim: 300_000_000,
//!         deadline: 1_800_000_000,
//!         repeat: Repeat::Safe,
//!         message_aim: 150_000_000,
//!         worth: 1.0,
//!     }],
//!     discovery: Discovery::Pushed,
//!     live_weights: false,
//!     limits: Limits {
//!         max_attempts: 4,
//!         retry_after: true,
//!         max_retry_after: 1_500_000_000,
//!         may_probe: false,
//!         connect_timeout: 200_000_000,
//!     },
//!     rules: Rules {
//!         cold_share: 0.2,
//!         cold_time: 20_000_000_000,
//!         tip_multiple: 3.0,
//!         fall_time: 1_500_000_000,
//!         ask_within: 0,
//!     },
//!     prices: Prices::default(),
//! };
//! let mut balancer = Balancer::new(settings, 7)?;
//! let mut actions = Vec::new();
//!
//! // The host learns of a server, then a client asks for a connection.
//! let entry = Entry {
//!     server: ServerId(0),
//!     tag: 0x5eed,
//!     state: State::Ready,
//!     zone: ZoneId(0),
//!     cell: 0,
//!     kind: 0,
//!     weight: 1.0,
//!     rises_to: None,
//!     started_at: 0,
//! };
//! balancer.handle(0, Event::List { kind: ListKind::Full, entries: vec![entry] }, &mut actions);
//! let arrival = Arrival {
//!     request: RequestId(1),
//!     give_up_at: 1_801_000_000,
//!     class: ClassId(0),
//!     key: Some(ClientKey(42)),
//!     group: None,
//!     returns: false,
//!     load: None,
//!     pin: None,
//! };
//! balancer.handle(1_000_000, Event::Arrived(arrival), &mut actions);
//!
//! // The host carries the actions out, in order.
//! let mut sent = 0;
//! for action in actions.drain(..) {
//!     match action {
//!         Action::Attempt { server, .. } => {
//!             assert_eq!(server, ServerId(0));
//!             sent += 1;
//!         }
//!         Action::Wake { .. } => { /* call back with `Event::Timer` after that span */ }
//!         Action::Refuse { .. } | Action::Fail(_) => { /* answer the client */ }
//!         Action::Wait(_) => { /* keep it in a line; `Event::Turn` once `Balancer::has_turns` */ }
//!         Action::Move(..) | Action::Probe(_) | Action::Watch | Action::Log(_) => { /* as named */ }
//!     }
//! }
//! assert_eq!(sent, 1);
//! # Ok::<(), SettingsError>(())
//! ```

#![forbid(unsafe_code)]

pub mod api;
mod fleet;
mod pace;
mod rules;
mod span;
mod state;

pub use rules::Balancer;
